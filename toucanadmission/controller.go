package toucanadmission

import (
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
	"toucanhaven/toucanclock"
)

// Call is a call on which a Controller decides.
type Call struct {
	ID       uint64 // unique among the calls that run or wait
	Rank     toucanclass.Rank
	Level    int // tenant-fair level that the entry set, see levelOf; lower levels are served first
	Tenant   string
	Depth    int // 0 for a call that comes from an entry
	Deadline time.Time
	// SubtreeThreshold is the threshold of the services that the child calls of this
	// call reach (see Gate.SubtreeThreshold), or nil if none is known.
	SubtreeThreshold *Threshold
}

// Verdict is the decision on an offered call. The set is closed.
type Verdict string

const (
	// Start means that the call runs now.
	Start Verdict = "start"
	// Wait means that the call is queued. A later Effect starts or refuses it.
	Wait Verdict = "wait"
	// Refuse means that the call does not run.
	Refuse Verdict = "refuse"
)

// Decision is the result of OfferCall, CheckRequest or CheckCall.
type Decision struct {
	Verdict Verdict
	// Level is the tenant-fair level that the call and its child calls carry.
	Level int
	// Reason is set when the call is refused.
	Reason toucancall.Reason
	// Effects are the effects on other, queued calls that were evicted.
	Effects []Effect
}

// Effect is what happened to a queued call: Started or Refused.
type Effect interface{ effect() }

// Started means that a queued call runs now.
type Started struct{ ID uint64 }

// Refused means that a queued call does not run.
type Refused struct {
	ID     uint64
	Reason toucancall.Reason
}

func (Started) effect() {}
func (Refused) effect() {}

// Result describes a call that has ended at the backend server.
type Result struct {
	Outcome toucancall.Outcome
	Reason  toucancall.Reason
	// ChildTime is the time during which at least one child call was running. The
	// rest of the duration is the own time of the call.
	ChildTime time.Duration
}

// runningCall is a call at the backend server.
type runningCall struct {
	started       time.Time
	limitReached  bool // the limit was reached when the call started
	lightlyLoaded bool // few other calls ran when the call started
}

// Controller is the admission control for calls to one backend server. It is not
// safe for concurrent use.
type Controller struct {
	clock       toucanclock.Clock
	tenants     *tenantTable
	limiter     limiter
	shedder     shedder
	running     map[uint64]runningCall
	queued      map[uint64]*queuedCall
	queue       queue
	seq         uint64
	lastControl time.Time
}

// Option configures a Controller.
type Option func(*Controller)

// WithLimits sets the bounds and the initial value of the concurrency limit.
func WithLimits(minLimit, maxLimit, initial int) Option {
	return func(c *Controller) {
		c.limiter = newLimiter(minLimit, maxLimit, initial, c.clock.Now())
	}
}

// WithPolicy sets how the capacity is divided among the ranks during overload. The
// default is StrictPriority.
func WithPolicy(p Policy) Option {
	return func(c *Controller) { c.shedder.policy = p }
}

// NewController returns a Controller. By default its concurrency limit starts low.
func NewController(clock toucanclock.Clock, options ...Option) *Controller {
	now := clock.Now()
	c := &Controller{
		clock: clock, tenants: newTenantTable(),
		limiter: newLimiter(defaultMinLimit, defaultMaxLimit, defaultInitialLimit, now),
		shedder: shedder{policy: StrictPriority{}},
		running: make(map[uint64]runningCall), queued: make(map[uint64]*queuedCall), lastControl: now,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// OfferCall decides on a call. A call with verdict Start or Wait must later be passed
// to FinishCall or CancelCall.
func (c *Controller) OfferCall(call Call) Decision {
	now := c.clock.Now()
	level := c.fairLevel(call, now)
	stats := c.shedder.rankStatsOf(call.Rank, now)
	stats.lastCall = now
	if !call.Deadline.IsZero() && !now.Add(c.minExpectedDuration()).Before(call.Deadline) {
		return Decision{Verdict: Refuse, Level: level, Reason: toucancall.ReasonDeadline}
	}
	if call.SubtreeThreshold != nil && !call.SubtreeThreshold.Admits(call.Rank, level) {
		return c.refuse(level, call.SubtreeThreshold.Rank == call.Rank)
	}
	// Calls that the services below refuse are not counted as demand on this one.
	stats.arrivals[level]++
	// The threshold lags behind the load, so calls after it may use idle slots. A
	// child call after it is refused only when the queue is more than half full,
	// because work has already been done for its request and its senders learn the
	// threshold with a delay.
	if level > stats.admittedLevel && !c.hasIdleSlots() && (call.Depth == 0 || len(c.queue) > c.queueBound()/2) {
		return c.refuse(level, stats.admittedLevel >= 0)
	}
	c.seq++
	if len(c.running) < c.limiter.currentLimit() && len(c.queue) == 0 {
		c.startCall(call.ID, now)
		c.sampleUtilization()
		return Decision{Verdict: Start, Level: level}
	}
	return c.enqueue(call, level, stats, now)
}

// idleLimitShare is the share of the limit below which the threshold refuses nothing.
const idleLimitShare = 0.8

// hasIdleSlots reports whether the queue is empty and the running calls are below
// idleLimitShare of the limit.
func (c *Controller) hasIdleSlots() bool {
	return len(c.queue) == 0 && float64(len(c.running)) < idleLimitShare*float64(c.limiter.currentLimit())
}

// refuse returns a refusal. If some levels of the rank are admitted, the reason is
// the tenant's share, because then only the rate of the tenant decides.
func (c *Controller) refuse(level int, rankAdmitted bool) Decision {
	reason := toucancall.ReasonOverload
	if rankAdmitted {
		reason = toucancall.ReasonTenantShare
	}
	return Decision{Verdict: Refuse, Level: level, Reason: reason}
}

// fairLevel returns the tenant-fair level of a call. An entry measures only its own
// part of a tenant's calls, while this node receives calls from all entries. It
// therefore scales the level of the entry by the ratio of the tenant's rate measured
// here to the rate that the levels of its calls imply. A child call keeps the level of
// its root.
func (c *Controller) fairLevel(call Call, now time.Time) int {
	level := min(max(call.Level, 0), toucancall.MaxLevel)
	if call.Depth > 0 {
		return level
	}
	tenant := c.tenants.statsOf(tenantKey{tenant: call.Tenant, rank: call.Rank}, now)
	claimedPosition := ratePositionOf(level)
	tenant.addRequest(now, claimedPosition)
	mean := tenant.positionSum / tenant.rate
	scale := max(tenant.rate/(2*mean), 1)
	return max(levelOf(claimedPosition*scale), level)
}

// enqueue queues a call. If the queue is full, it refuses the last call in the order,
// which may be the new one.
func (c *Controller) enqueue(call Call, level int, stats *rankStats, now time.Time) Decision {
	item := &queuedCall{
		priority: priority{
			guaranteed: level <= stats.guaranteedLevel, rank: call.Rank, level: level, seq: c.seq,
		},
		id: call.ID, arrived: now, deadline: call.Deadline,
	}
	d := Decision{Verdict: Wait, Level: level}
	if len(c.queue) >= c.queueBound() {
		c.shedder.overloadSeen = true
		if item.compare(c.queue[0].priority) > 0 {
			return Decision{Verdict: Refuse, Level: level, Reason: toucancall.ReasonOverload}
		}
		evicted := c.queue.popLast()
		delete(c.queued, evicted.id)
		d.Effects = []Effect{Refused{ID: evicted.id, Reason: toucancall.ReasonOverload}}
	}
	c.queue.push(item)
	c.queued[call.ID] = item
	c.sampleUtilization()
	return d
}

const (
	// queueBoundTargets is the queue bound as a multiple of the number of calls
	// that finish within the delay target.
	queueBoundTargets = 4
	growthQueueFactor = 8 // queue bound as a multiple of the limit while it still grows
	minQueueBound     = 8
	maxQueueBound     = 1_024
)

// queueBound returns the number of calls that the queue may hold.
func (c *Controller) queueBound() int {
	bound := c.shedder.capacity * c.shedder.queueDelayTarget() * queueBoundTargets
	if c.limiter.phase == phaseGrow && !c.shedder.active {
		// The limit is still too low, and the queue must hold the arriving calls
		// until the limit has grown.
		bound = max(bound, growthQueueFactor*c.limiter.limit)
	}
	return int(min(max(bound, minQueueBound), maxQueueBound))
}

// sampleUtilization passes the queue length and the used share of the limit to the
// shedder.
func (c *Controller) sampleUtilization() {
	c.shedder.addSample(len(c.queue), float64(len(c.running))/float64(max(c.limiter.currentLimit(), 1)))
}

// minExpectedDuration returns a low estimate of the time that a call needs at the
// backend server. It is half of the mean, so that calls which can probably still meet
// their deadline are not refused.
func (c *Controller) minExpectedDuration() time.Duration {
	return time.Duration(c.shedder.meanDuration / 2 * float64(time.Second))
}

func (c *Controller) startCall(id uint64, now time.Time) {
	used, limit := len(c.running)+1, c.limiter.currentLimit()
	c.running[id] = runningCall{
		started: now, limitReached: used >= limit, lightlyLoaded: float64(used) <= lightLoadShare*float64(limit),
	}
}

// FinishCall ends a running call, adds its times to the statistics and starts queued
// calls.
func (c *Controller) FinishCall(id uint64, r Result) []Effect {
	now := c.clock.Now()
	run, ok := c.running[id]
	if !ok {
		return c.CancelCall(id)
	}
	delete(c.running, id)
	c.sampleUtilization()
	refused := r.Reason == toucancall.ReasonBackendRefused || r.Reason == toucancall.ReasonUnprovenRefusal
	if refused {
		c.limiter.reduceAfterRefusal(now, len(c.running))
		c.shedder.overloadSeen = true
	}
	if refused || r.Outcome == toucancall.NotRun {
		return c.startQueued(now)
	}
	duration := now.Sub(run.started)
	own := max(duration-max(r.ChildTime, 0), 0)
	switch {
	case run.limitReached:
		c.limiter.addSample(run.started, now, own)
	case run.lightlyLoaded:
		c.limiter.addLightSample(own)
	}
	c.shedder.finishedCalls++
	c.shedder.ownTimeSum += own.Seconds()
	c.shedder.durationSum += duration.Seconds()
	return c.startQueued(now)
}

// CancelCall removes a call whose caller has cancelled it. A running call counts as
// ended.
func (c *Controller) CancelCall(id uint64) []Effect {
	if item := c.queued[id]; item != nil {
		delete(c.queued, id)
		c.queue.remove(item)
		return nil
	}
	if _, ok := c.running[id]; !ok {
		return nil
	}
	delete(c.running, id)
	return c.startQueued(c.clock.Now())
}

// startQueued starts queued calls up to the limit and refuses those that can no longer
// meet their deadline.
func (c *Controller) startQueued(now time.Time) (effects []Effect) {
	for len(c.queue) > 0 && len(c.running) < c.limiter.currentLimit() {
		item := c.queue.popFirst()
		delete(c.queued, item.id)
		if c.missesDeadline(item, now) {
			effects = append(effects, Refused{ID: item.id, Reason: toucancall.ReasonDeadline})
			continue
		}
		c.startCall(item.id, now)
		effects = append(effects, Started{ID: item.id})
	}
	return effects
}

// missesDeadline reports whether a queued call can no longer meet its deadline.
func (c *Controller) missesDeadline(item *queuedCall, now time.Time) bool {
	return !item.deadline.IsZero() && !now.Add(c.minExpectedDuration()).Before(item.deadline)
}

// Tick refuses queued calls that can no longer meet their deadline, updates the
// thresholds once per controlInterval and starts queued calls. It is to be called
// about every 10 ms.
func (c *Controller) Tick() (effects []Effect) {
	now := c.clock.Now()
	c.sampleUtilization()
	kept := c.queue[:0]
	for _, item := range c.queue {
		if c.missesDeadline(item, now) {
			delete(c.queued, item.id)
			effects = append(effects, Refused{ID: item.id, Reason: toucancall.ReasonDeadline})
			continue
		}
		kept = append(kept, item)
	}
	clear(c.queue[len(kept):])
	c.queue = kept
	if elapsed := now.Sub(c.lastControl); elapsed >= controlInterval {
		c.lastControl = now
		c.shedder.updateThresholds(now, elapsed, limitState{
			limit: c.limiter.settledLimit(), growing: c.limiter.phase == phaseGrow,
		})
	}
	return append(effects, c.startQueued(now)...)
}

// Threshold returns the threshold for all ranks under the StrictPriority policy.
func (c *Controller) Threshold() Threshold {
	for _, u := range c.shedder.ranks {
		if u.admittedLevel < toucancall.MaxLevel {
			return c.ThresholdFor(u.rank)
		}
	}
	return AdmitAll
}

// ThresholdFor returns the threshold for calls of one rank. The response to a call of
// that rank carries it. Under policies other than StrictPriority it differs between
// ranks.
func (c *Controller) ThresholdFor(r toucanclass.Rank) Threshold {
	u := c.shedder.rankStatsOf(r, c.clock.Now())
	switch {
	case u.admittedLevel >= toucancall.MaxLevel:
		return AdmitAll
	case u.admittedLevel < 0:
		return refuseFrom(r)
	}
	return Threshold{Rank: r, Level: u.admittedLevel}
}

// Load returns the number of running and queued calls divided by the limit.
func (c *Controller) Load() Load {
	return Load(float64(len(c.running)+len(c.queue)) / float64(max(c.limiter.currentLimit(), 1)))
}

// Limit returns the current concurrency limit.
func (c *Controller) Limit() int { return c.limiter.currentLimit() }

// Running returns the number of calls at the backend server.
func (c *Controller) Running() int { return len(c.running) }

// Queued returns the number of queued calls.
func (c *Controller) Queued() int { return len(c.queue) }
