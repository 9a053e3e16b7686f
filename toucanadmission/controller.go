package toucanadmission

import (
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
	"toucanhaven/toucanclock"
)

// Call is a call offered to a Controller.
type Call struct {
	ID       uint64 // unique among the calls that run or wait
	Rank     toucanclass.Rank
	Level    int // set by the entry
	Tenant   string
	Depth    int // 0 for a call that comes from an entry
	Deadline time.Time
	// SubtreeThreshold is the threshold of the services that this call will call in
	// turn (Gate.SubtreeThreshold). The zero value means that none is known.
	SubtreeThreshold Threshold
}

// Verdict is what becomes of an offered call. The set is closed.
type Verdict string

const (
	// Start means that the call runs now.
	Start Verdict = "start"
	// Wait means that the call is queued; an effect tells its end.
	Wait Verdict = "wait"
	// Refuse means that the call does not run.
	Refuse Verdict = "refuse"
)

// Decision is the answer to an offered or checked call.
type Decision struct {
	Verdict Verdict
	// Level is the tenant-fair level that the call and its child calls carry.
	Level int
	// Reason is set when the call is refused.
	Reason toucancall.Reason
	// Effects concern other calls that had to make room.
	Effects []Effect
}

// Effect is what happens to a queued call: Started or Refused.
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
	// ChildTime is the time during which at least one child call was running.
	// It does not count as the backend server's own time.
	ChildTime time.Duration
}

// running is a call at the backend server.
type running struct {
	begun time.Time
	full  bool // the limit was reached when it started
}

// Controller admits calls to one backend server. It is not safe for concurrent
// use.
type Controller struct {
	clock   toucanclock.Clock
	tenants *tenantTable
	limiter limiter
	shedder shedder
	running map[uint64]running
	waiting map[uint64]*waiting
	queue   queue
	seq     uint64
	lastRun time.Time
}

// Option changes a Controller.
type Option func(*Controller)

// WithLimits sets the bounds and the start of the concurrency limit.
func WithLimits(minLimit, maxLimit, initial int) Option {
	return func(c *Controller) {
		c.limiter = newLimiter(minLimit, maxLimit, initial, c.clock.Now())
	}
}

// WithPolicy sets what less urgent ranks keep during a flood of a more urgent
// one. The default is Strict.
func WithPolicy(p Policy) Option {
	return func(c *Controller) { c.shedder.policy = p }
}

// NewController returns a Controller that starts with a low concurrency limit.
func NewController(clock toucanclock.Clock, options ...Option) *Controller {
	now := clock.Now()
	c := &Controller{
		clock: clock, tenants: newTenantTable(),
		limiter: newLimiter(defaultMinLimit, defaultMaxLimit, defaultInitialLimit, now),
		shedder: shedder{policy: StrictPriority{}},
		running: make(map[uint64]running), waiting: make(map[uint64]*waiting), lastRun: now,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// OfferCall decides about a call. A call with verdict Start or Wait must later be
// given to Finish or Cancel.
func (c *Controller) OfferCall(w Call) Decision {
	now := c.clock.Now()
	level := c.level(w, now)
	use := c.shedder.rank(w.Rank, now)
	use.last = now
	if !w.Deadline.IsZero() && !now.Add(c.expected()).Before(w.Deadline) {
		return Decision{Verdict: Refuse, Level: level, Reason: toucancall.ReasonDeadline}
	}
	if w.SubtreeThreshold != (Threshold{}) && !w.SubtreeThreshold.Admits(w.Rank, level) {
		return c.refuse(level, w.SubtreeThreshold.Rank == w.Rank)
	}
	// What a deeper service refuses is no demand on this one.
	use.counts[level]++
	// Work has already been spent on a child call, and its senders learn the
	// threshold with a delay. Only a filling queue refuses it.
	// The threshold lags behind the load, so calls after it may use idle slots.
	if level > use.level && !c.idle() && (w.Depth == 0 || len(c.queue) > c.queueBound()/2) {
		return c.refuse(level, use.level >= 0)
	}
	c.seq++
	if len(c.running) < c.limiter.current() && len(c.queue) == 0 {
		c.start(w.ID, now)
		c.observe()
		return Decision{Verdict: Start, Level: level}
	}
	return c.wait(w, level, use, now)
}

// idleShare is the part of the limit below which the threshold refuses nothing.
const idleShare = 0.8

func (c *Controller) idle() bool {
	return len(c.queue) == 0 && float64(len(c.running)) < idleShare*float64(c.limiter.current())
}

// refuse names the tenant's share as the reason when part of the rank is
// admitted, because then only the tenant's rate decides.
func (c *Controller) refuse(level int, rankAdmitted bool) Decision {
	reason := toucancall.ReasonOverload
	if rankAdmitted {
		reason = toucancall.ReasonTenantShare
	}
	return Decision{Verdict: Refuse, Level: level, Reason: reason}
}

// level returns the tenant-fair level of a call. An entry sees only its own
// part of a tenant's calls, while this node sees calls from all entries, so it
// scales the entry's level by the ratio of the tenant's rate here to the rate
// that the levels claim. Child calls keep the level of their root.
func (c *Controller) level(w Call, now time.Time) int {
	level := min(max(w.Level, 0), toucancall.MaxLevel)
	if w.Depth > 0 {
		return level
	}
	use := c.tenants.use(tenantKey{tenant: w.Tenant, rank: w.Rank}, now)
	claimed := positionOf(level)
	use.add(now, claimed)
	mean := use.position / use.rate
	scale := max(use.rate/(2*mean), 1)
	return max(levelOf(claimed*scale), level)
}

func (c *Controller) wait(w Call, level int, use *rankUse, now time.Time) Decision {
	item := &waiting{
		position: position{
			guaranteed: level <= use.guaranteed, rank: w.Rank, level: level, seq: c.seq,
		},
		id: w.ID, arrived: now, deadline: w.Deadline,
	}
	d := Decision{Verdict: Wait, Level: level}
	if len(c.queue) >= c.queueBound() {
		c.shedder.overflowed = true
		if item.compare(c.queue[0].position) > 0 {
			return Decision{Verdict: Refuse, Level: level, Reason: toucancall.ReasonOverload}
		}
		worst := c.queue.popWorst()
		delete(c.waiting, worst.id)
		d.Effects = []Effect{Refused{ID: worst.id, Reason: toucancall.ReasonOverload}}
	}
	c.queue.push(item)
	c.waiting[w.ID] = item
	c.observe()
	return d
}

const (
	// queueTargets is the queue bound in multiples of the delay target.
	queueTargets  = 4
	growQueue     = 8 // in multiples of the limit
	minQueueBound = 8
	maxQueueBound = 1_024
)

func (c *Controller) queueBound() int {
	bound := c.shedder.capacity * c.shedder.delayTarget() * queueTargets
	if c.limiter.phase == phaseGrow && !c.shedder.active {
		// The limit is still too low and the queue must hold what comes until
		// it has grown.
		bound = max(bound, growQueue*c.limiter.limit)
	}
	return int(min(max(bound, minQueueBound), maxQueueBound))
}

func (c *Controller) observe() {
	c.shedder.observe(len(c.queue), float64(len(c.running))/float64(max(c.limiter.current(), 1)))
}

// expected returns a careful estimate of the time that a call needs at the
// backend server. Half of the mean keeps calls that have a fair chance.
func (c *Controller) expected() time.Duration {
	return time.Duration(c.shedder.holdMean / 2 * float64(time.Second))
}

func (c *Controller) start(id uint64, now time.Time) {
	full := len(c.running)+1 >= c.limiter.current()
	c.running[id] = running{begun: now, full: full}
}

// FinishCall takes the end of a running call.
func (c *Controller) FinishCall(id uint64, r Result) []Effect {
	now := c.clock.Now()
	run, ok := c.running[id]
	if !ok {
		return c.CancelCall(id)
	}
	delete(c.running, id)
	c.observe()
	if r.Outcome == toucancall.NotRun {
		if r.Reason == toucancall.ReasonBackendRefused {
			c.limiter.shed(now, len(c.running))
			c.shedder.overflowed = true
		}
		return c.fill(now)
	}
	duration := now.Sub(run.begun)
	own := max(duration-max(r.ChildTime, 0), 0)
	if run.full {
		c.limiter.sample(run.begun, now, own)
	}
	c.shedder.finished++
	c.shedder.ownSum += own.Seconds()
	c.shedder.holdSum += duration.Seconds()
	return c.fill(now)
}

// CancelCall removes a call whose caller has left. A running call counts as ended.
func (c *Controller) CancelCall(id uint64) []Effect {
	if item := c.waiting[id]; item != nil {
		delete(c.waiting, id)
		c.queue.remove(item)
		return nil
	}
	if _, ok := c.running[id]; !ok {
		return nil
	}
	delete(c.running, id)
	return c.fill(c.clock.Now())
}

// fill starts queued calls while there is room and drops those that can no
// longer meet their deadline.
func (c *Controller) fill(now time.Time) (effects []Effect) {
	for len(c.queue) > 0 && len(c.running) < c.limiter.current() {
		item := c.queue.popFirst()
		delete(c.waiting, item.id)
		if c.expired(item, now) {
			effects = append(effects, Refused{ID: item.id, Reason: toucancall.ReasonDeadline})
			continue
		}
		c.start(item.id, now)
		effects = append(effects, Started{ID: item.id})
	}
	return effects
}

func (c *Controller) expired(item *waiting, now time.Time) bool {
	return !item.deadline.IsZero() && !now.Add(c.expected()).Before(item.deadline)
}

// Tick drops expired calls and sets the threshold. It is called every 10 ms or
// so.
func (c *Controller) Tick() (effects []Effect) {
	now := c.clock.Now()
	c.observe()
	kept := c.queue[:0]
	for _, item := range c.queue {
		if c.expired(item, now) {
			delete(c.waiting, item.id)
			effects = append(effects, Refused{ID: item.id, Reason: toucancall.ReasonDeadline})
			continue
		}
		kept = append(kept, item)
	}
	clear(c.queue[len(kept):])
	c.queue = kept
	if elapsed := now.Sub(c.lastRun); elapsed >= controlInterval {
		c.lastRun = now
		c.shedder.control(now, elapsed, state{
			limit: c.limiter.settled(), growing: c.limiter.phase == phaseGrow,
		})
	}
	return append(effects, c.fill(now)...)
}

// Threshold returns the last position in the order that is admitted, under the
// strict policy.
func (c *Controller) Threshold() Threshold {
	for _, u := range c.shedder.ranks {
		if u.level < toucancall.MaxLevel {
			return c.ThresholdFor(u.rank)
		}
	}
	return AdmitAll
}

// ThresholdFor returns the threshold for calls of one rank, which an answer to
// such a call carries. Under a policy with floors it differs from rank to rank.
func (c *Controller) ThresholdFor(r toucanclass.Rank) Threshold {
	u := c.shedder.rank(r, c.clock.Now())
	switch {
	case u.level >= toucancall.MaxLevel:
		return AdmitAll
	case u.level < 0:
		return closed(r)
	}
	return Threshold{Rank: r, Level: u.level}
}

// Load returns the running and queued calls as a share of the limit.
func (c *Controller) Load() Load {
	return Load(float64(len(c.running)+len(c.queue)) / float64(max(c.limiter.current(), 1)))
}

// Limit returns the learned concurrency limit.
func (c *Controller) Limit() int { return c.limiter.current() }

// Running returns the number of calls at the backend server.
func (c *Controller) Running() int { return len(c.running) }

// Queued returns the number of queued calls.
func (c *Controller) Queued() int { return len(c.queue) }
