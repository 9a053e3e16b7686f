package toucanscenario

import (
	"slices"
	"strconv"
	"time"

	"toucanhaven/toucanadmission"
	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
	"toucanhaven/toucanretry"
)

const (
	// maxHopRetries is the number of retries at every hop for the methods without
	// a shared retry allowance. hopRetryDelay is the delay before the first
	// retry; it doubles with each further retry.
	maxHopRetries = 3
	hopRetryDelay = 20 * time.Millisecond
	// timeoutFactor is the timeout of a caller as a multiple of the latency target
	// of the class. Methods without a shared deadline use the same timeout for each
	// attempt of a call.
	timeoutFactor = 2
	// maxAggressiveRetries is the number of retries of a caller that retries
	// aggressively. aggressiveRetryDelay is the minimum delay before each of
	// them.
	maxAggressiveRetries = 10
	aggressiveRetryDelay = 50 * time.Millisecond
)

// request is one request of a caller with all its retries.
type request struct {
	id                 string
	class              *Class
	classIndex         int
	rank               toucanclass.Rank
	tenant             string
	fromOrdinaryTenant bool
	entry              *node
	createdAt          time.Duration
	sentAt             time.Duration // time of the latest attempt of the caller
	deadline           time.Duration
	retriesLeft        int           // retries that the caller may still make
	attemptsByService  []uint16      // attempts of all nodes, by index of the called service
	activeAttempts     []*attempt    // attempts that have not ended at their sender
	workTime           time.Duration // work of backend servers until the request finished
	finished           bool
	onTime             bool // answered within the latency target
	callerAttempt      int  // identifies the current attempt of the caller; changes when it starts and when it ends
}

// addWork counts work that a backend server did for the request.
func (r *request) addWork(s *simulation, d time.Duration) {
	if r.finished {
		s.metrics.addWork(r, d)
		return
	}
	r.workTime += d
}

// sendRequest starts the first or another attempt of the caller.
func (s *simulation) sendRequest(r *request) {
	r.sentAt = s.now
	r.deadline = s.now + timeoutFactor*r.class.Latency
	r.callerAttempt++
	callerAttempt := r.callerAttempt
	s.runAfter(timeoutFactor*r.class.Latency, func() {
		if callerAttempt == r.callerAttempt && !r.finished {
			s.cancelActiveAttempts(r)
			s.finishCallerAttempt(r, false)
		}
	})
	s.runAfter(s.topology.CallerLatency, func() { s.receiveAtEntry(r) })
}

// cancelActiveAttempts cancels all attempts for a caller that no longer waits.
// Only Toucan propagates cancellation.
func (s *simulation) cancelActiveAttempts(r *request) {
	if s.method != Toucan {
		return
	}
	for _, a := range r.activeAttempts {
		a.endedAtSender = true
		a.call.sender.statsOf(a.target).inFlight--
		if a.call.position == 0 {
			a.call.finish(false)
		}
		a.call.finished = true
		s.runAfter(time.Duration(a.call.position+1)*s.topology.HopLatency, func() { a.target.cancelAttempt(a) })
	}
	r.activeAttempts = nil
}

// finishCallerAttempt handles the end of one attempt of the caller.
func (s *simulation) finishCallerAttempt(r *request, ok bool) {
	latency := s.now - r.sentAt
	r.callerAttempt++
	if ok {
		s.metrics.recordLatency(r, latency)
	}
	if onTime := ok && latency <= r.class.Latency; !onTime && r.retriesLeft > 0 {
		r.retriesLeft--
		s.runAfter(aggressiveRetryDelay+time.Duration(s.rng.Int64N(int64(aggressiveRetryDelay))), func() { s.sendRequest(r) })
		return
	} else {
		r.onTime = onTime
	}
	r.finished = true
	s.metrics.recordFinished(r)
}

// receiveAtEntry handles an attempt of the caller that arrives at its entry.
func (s *simulation) receiveAtEntry(r *request) {
	callerAttempt := r.callerAttempt
	done := func(ok bool) {
		s.runAfter(s.topology.CallerLatency, func() {
			if callerAttempt == r.callerAttempt && !r.finished {
				s.finishCallerAttempt(r, ok)
			}
		})
	}
	c := &call{sim: s, sender: r.entry, request: r, callerAttempt: callerAttempt, startedAt: s.now}
	if s.method != Toucan {
		c.onDone = done
		c.sendAttempt()
		return
	}
	allowance, ok := r.entry.retrier.BeginRequest(r.entry.serviceName(r, 0), r.id)
	if !ok {
		done(false)
		return
	}
	level, d := r.entry.entryGate.CheckRequest(r.entry.serviceName(r, 0), r.class.Name, r.rank, r.tenant)
	if d.Verdict == toucanadmission.Refuse {
		r.entry.retrier.WithdrawRequest(r.id)
		done(false)
		return
	}
	c.level, c.allowance = level, &allowance
	c.onDone = func(ok bool) {
		r.entry.retrier.EndRequest(r.id, allowance)
		done(ok)
	}
	c.sendAttempt()
}

func (n *node) serviceName(r *request, position int) string {
	return n.sim.topology.Services[r.class.Path[position]].Name
}

// startChildCall starts the call of a backend server to the next service of the
// path.
func (s *simulation) startChildCall(sender *node, parent *attempt, position int, done func(ok bool)) {
	c := &call{
		sim: s, sender: sender, request: parent.call.request, callerAttempt: parent.call.callerAttempt,
		position: position, level: parent.level, startedAt: s.now, onDone: done,
	}
	if s.method == Toucan {
		lent := parent.allowance.Lend()
		allowance := toucanretry.NewAllowance(lent)
		c.allowance = &allowance
		c.onDone = func(ok bool) {
			parent.allowance.Return(lent, allowance.Available())
			done(ok)
		}
		sender.retrier.CountFirstAttempt(sender.serviceName(c.request, position))
	}
	c.sendAttempt()
}

// call is one call of the chain with all its attempts.
type call struct {
	sim           *simulation
	sender        *node
	request       *request
	callerAttempt int
	position      int // index in the path of the class
	level         int
	startedAt     time.Duration
	attempts      int // made so far
	allowance     *toucanretry.Allowance
	onDone        func(ok bool)
	finished      bool
}

func (c *call) finish(ok bool) {
	if c.finished {
		return
	}
	c.finished = true
	c.onDone(ok)
}

// isAbandoned reports whether the sender knows that the caller no longer waits.
// If cancellation is not propagated, only the entry knows.
func (c *call) isAbandoned() bool {
	ended := c.request.finished || c.request.callerAttempt != c.callerAttempt
	return ended && (c.position == 0 || c.sim.method == Toucan)
}

// sendAttempt sends the call to a backend server. It finishes the call instead if
// the call is abandoned or the gate refuses it.
func (c *call) sendAttempt() {
	if c.finished || c.isAbandoned() {
		c.finish(false)
		return
	}
	s, r := c.sim, c.request
	service := r.class.Path[c.position]
	if s.method == Toucan && (c.position > 0 || c.attempts > 0) && !c.gateAdmits() {
		c.finish(false)
		return
	}
	c.attempts++
	r.attemptsByService[service]++
	a := &attempt{id: s.nextAttemptID(), call: c, target: c.sender.chooseServer(service), level: c.level, workStart: -1}
	if s.method == Toucan {
		a.lentRetries = c.allowance.Lend()
		a.allowance = toucanretry.NewAllowance(a.lentRetries)
	} else {
		s.runAfter(timeoutFactor*r.class.Latency, func() { c.timeOutAttempt(a) })
	}
	c.sender.statsOf(a.target).inFlight++
	r.activeAttempts = append(r.activeAttempts, a)
	s.runAfter(s.topology.HopLatency, func() { a.target.receiveAttempt(a) })
}

// gateAdmits reports whether the gate of the sender admits another attempt.
func (c *call) gateAdmits() bool {
	gate, r := c.sender.childGate, c.request
	if c.position == 0 {
		gate = c.sender.entryGate
	}
	return gate.CheckCall(c.sender.serviceName(r, c.position), r.class.Name, r.rank, c.level).Verdict == toucanadmission.Start
}

// timeOutAttempt ends an attempt at the sender when its timeout expires. Methods
// without a shared deadline use it; they do not inform the backend server.
func (c *call) timeOutAttempt(a *attempt) {
	if a.endedAtSender || c.finished {
		return
	}
	c.receiveResult(a, result{outcome: toucancall.Unknown})
}

// receiveResult handles the end of an attempt at the sender.
func (c *call) receiveResult(a *attempt, r result) {
	if a.endedAtSender {
		return
	}
	a.endedAtSender = true
	c.sender.statsOf(a.target).recordResult(c.sim.now, r)
	if i := slices.Index(c.request.activeAttempts, a); i >= 0 {
		c.request.activeAttempts = slices.Delete(c.request.activeAttempts, i, i+1)
	}
	if c.sim.method == Toucan {
		c.allowance.Return(a.lentRetries, r.retriesLeft)
		gate := c.sender.childGate
		if c.position == 0 {
			gate = c.sender.entryGate
		}
		gate.ObserveThreshold(c.sender.serviceName(c.request, c.position), c.request.class.Name, r.threshold)
	}
	if r.succeeded || c.finished {
		c.finish(r.succeeded)
		return
	}
	delay, allowed := c.scheduleRetry(r)
	if !allowed {
		c.finish(false)
		return
	}
	c.sim.runAfter(delay, c.sendAttempt)
}

// scheduleRetry returns the delay before a retry and whether a retry is allowed.
func (c *call) scheduleRetry(r result) (time.Duration, bool) {
	if c.sim.method == Toucan {
		return c.sender.retrier.ScheduleRetry(c.allowance, toucanretry.Attempt{
			Service: c.sender.serviceName(c.request, c.position), Number: c.attempts,
			Outcome: r.outcome, Reason: r.reason, SafeToRetry: !c.request.class.AtMostOnce,
			Deadline: c.sim.start.Add(c.request.deadline),
		})
	}
	return hopRetryDelay << (c.attempts - 1), c.attempts <= maxHopRetries
}

func tenantName(i int) string { return "tenant-" + strconv.Itoa(i) }
