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
	// hopRetries is the number of retries at every hop without a shared
	// allowance; hopDelay is the delay before the first and doubles.
	hopRetries = 3
	hopDelay   = 20 * time.Millisecond
	// timeoutTargets is the caller's timeout in multiples of the latency
	// target of its class.
	timeoutTargets = 2
	// hardRepeats is how often a caller that retries hard sends its request
	// again, hardDelay the least delay between two sendings.
	hardRepeats = 10
	hardDelay   = 50 * time.Millisecond
)

// request is one request of a caller with all its repeats.
type request struct {
	id       string
	class    *Class
	classNo  int
	rank     toucanclass.Rank
	tenant   string
	ordinary bool
	entry    *node
	born     time.Duration
	sent     time.Duration // of the latest sending
	deadline time.Duration
	repeats  int // sendings still allowed to the caller
	attempts []uint16
	active   []*attempt
	spent    time.Duration
	over     bool
	good     bool
	sending  int
}

// spend counts work done for the request.
func (r *request) spend(s *sim, d time.Duration) {
	if r.over {
		s.metrics.work(r, d)
		return
	}
	r.spent += d
}

// send lets the caller send the request, for the first time or again.
func (s *sim) send(r *request) {
	r.sent = s.now
	r.deadline = s.now + timeoutTargets*r.class.Latency
	r.sending++
	sending := r.sending
	s.after(timeoutTargets*r.class.Latency, func() {
		if sending == r.sending && !r.over {
			s.leave(r)
			s.settled(r, false)
		}
	})
	s.after(s.topology.ToCaller, func() { s.enter(r) })
}

// leave cancels the chain of a caller that has gone, where the method does so.
func (s *sim) leave(r *request) {
	if s.method != Toucan {
		return
	}
	for _, a := range r.active {
		a.answered = true
		a.call.from.peer(a.target).inflight--
		if a.call.position == 0 {
			a.call.finish(false)
		}
		a.call.over = true
		s.after(time.Duration(a.call.position+1)*s.topology.Hop, func() { a.target.cancel(a) })
	}
	r.active = nil
}

// settled takes the end of one sending at the caller.
func (s *sim) settled(r *request, ok bool) {
	latency := s.now - r.sent
	r.sending++
	if ok {
		s.metrics.answered(r, latency)
	}
	if good := ok && latency <= r.class.Latency; !good && r.repeats > 0 {
		r.repeats--
		s.after(hardDelay+time.Duration(s.rng.Int64N(int64(hardDelay))), func() { s.send(r) })
		return
	} else {
		r.good = good
	}
	r.over = true
	s.metrics.finished(r)
}

// enter takes a sending at its entry.
func (s *sim) enter(r *request) {
	sending := r.sending
	done := func(ok bool) {
		s.after(s.topology.ToCaller, func() {
			if sending == r.sending && !r.over {
				s.settled(r, ok)
			}
		})
	}
	c := &call{sim: s, from: r.entry, request: r, sending: sending, begun: s.now}
	if s.method != Toucan {
		c.done = done
		c.attempt()
		return
	}
	allowance, ok := r.entry.retries.BeginRequest(r.entry.serviceName(r, 0), r.id)
	if !ok {
		done(false)
		return
	}
	level, d := r.entry.entry.CheckRequest(r.entry.serviceName(r, 0), r.class.Name, r.rank, r.tenant)
	if d.Verdict == toucanadmission.Refuse {
		r.entry.retries.WithdrawRequest(r.id)
		done(false)
		return
	}
	c.level, c.allowance = level, &allowance
	c.done = func(ok bool) {
		r.entry.retries.EndRequest(r.id, allowance)
		done(ok)
	}
	c.attempt()
}

func (n *node) serviceName(r *request, position int) string {
	return n.sim.topology.Services[r.class.Path[position]].Name
}

// childCall makes the call of a backend server to the next service.
func (s *sim) childCall(from *node, parent *attempt, position int, done func(ok bool)) {
	c := &call{
		sim: s, from: from, request: parent.call.request, sending: parent.call.sending,
		position: position, level: parent.level, begun: s.now, done: done,
	}
	if s.method == Toucan {
		lent := parent.allowance.Lend()
		allowance := toucanretry.NewAllowance(lent)
		c.allowance = &allowance
		c.done = func(ok bool) {
			parent.allowance.Return(lent, allowance.Available())
			done(ok)
		}
		from.retries.CountFirstAttempt(from.serviceName(c.request, position))
	}
	c.attempt()
}

// call is one call of the chain with all its attempts.
type call struct {
	sim       *sim
	from      *node
	request   *request
	sending   int
	position  int // in the path of the class
	level     int
	begun     time.Duration
	number    int
	allowance *toucanretry.Allowance
	done      func(ok bool)
	over      bool
}

func (c *call) finish(ok bool) {
	if c.over {
		return
	}
	c.over = true
	c.done(ok)
}

// abandoned reports whether the sender knows that nobody waits any more. Only
// the entry sees that the caller has left unless cancellation is propagated.
func (c *call) abandoned() bool {
	gone := c.request.over || c.request.sending != c.sending
	return gone && (c.position == 0 || c.sim.method == Toucan)
}

// attempt sends the call to a backend server.
func (c *call) attempt() {
	if c.over || c.abandoned() {
		c.finish(false)
		return
	}
	s, r := c.sim, c.request
	service := r.class.Path[c.position]
	if s.method == Toucan && (c.position > 0 || c.number > 0) && !c.permitted() {
		c.finish(false)
		return
	}
	c.number++
	r.attempts[service]++
	a := &attempt{id: s.nextID(), call: c, target: c.from.choose(service), level: c.level, workBegun: -1}
	if s.method == Toucan {
		a.lent = c.allowance.Lend()
		a.allowance = toucanretry.NewAllowance(a.lent)
	} else {
		s.after(timeoutTargets*r.class.Latency, func() { c.timeout(a) })
	}
	c.from.peer(a.target).inflight++
	r.active = append(r.active, a)
	s.after(s.topology.Hop, func() { a.target.receive(a) })
}

func (c *call) permitted() bool {
	gate, r := c.from.children, c.request
	if c.position == 0 {
		gate = c.from.entry
	}
	return gate.CheckCall(c.from.serviceName(r, c.position), r.class.Name, r.rank, c.level).Verdict == toucanadmission.Start
}

// timeout gives up one attempt without a shared deadline. The backend server
// does not learn of it.
func (c *call) timeout(a *attempt) {
	if a.answered || c.over {
		return
	}
	c.answer(a, result{outcome: toucancall.Unknown})
}

// answer takes the end of an attempt at the sender.
func (c *call) answer(a *attempt, r result) {
	if a.answered {
		return
	}
	a.answered = true
	c.from.peer(a.target).ended(c.sim.now, r)
	if i := slices.Index(c.request.active, a); i >= 0 {
		c.request.active = slices.Delete(c.request.active, i, i+1)
	}
	if c.sim.method == Toucan {
		c.allowance.Return(a.lent, r.left)
		gate := c.from.children
		if c.position == 0 {
			gate = c.from.entry
		}
		gate.ObserveThreshold(c.from.serviceName(c.request, c.position), c.request.class.Name, r.threshold)
	}
	if r.ok || c.over {
		c.finish(r.ok)
		return
	}
	delay, again := c.retry(r)
	if !again {
		c.finish(false)
		return
	}
	c.sim.after(delay, c.attempt)
}

func (c *call) retry(r result) (time.Duration, bool) {
	if c.sim.method == Toucan {
		return c.from.retries.ScheduleRetry(c.allowance, toucanretry.Attempt{
			Service: c.from.serviceName(c.request, c.position), Number: c.number,
			Outcome: r.outcome, Reason: r.reason, SafeToRetry: !c.request.class.AtMostOnce,
			Deadline: c.sim.start.Add(c.request.deadline),
		})
	}
	return hopDelay << (c.number - 1), c.number <= hopRetries
}

func tenantName(i int) string { return "tenant-" + strconv.Itoa(i) }
