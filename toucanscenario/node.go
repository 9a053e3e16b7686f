package toucanscenario

import (
	"fmt"
	"math"
	"time"

	"toucanhaven/toucanadmission"
	"toucanhaven/toucancall"
	"toucanhaven/toucanretry"
)

// Method is an overload control method. None, Fixed and Toucan are the only
// methods.
type Method string

const (
	// None uses no overload control; every hop retries.
	None Method = "none"
	// Fixed limits the running calls of a backend server to its true number of
	// slots; every hop retries.
	Fixed Method = "fixed"
	// Toucan uses the packages toucanadmission and toucanretry.
	Toucan Method = "toucanhaven"
)

// Methods returns all methods in the order of the printed tables.
func Methods() []Method { return []Method{None, Fixed, Toucan} }

// node runs beside one backend server and is an entry for callers.
type node struct {
	sim     *simulation
	index   int // of the backend server within its service
	service Service
	server  *server

	runningCalls int // used by Fixed only

	admission *toucanadmission.Controller
	queued    map[uint64]*attempt   // attempts that wait for admission
	entryGate *toucanadmission.Gate // for requests and calls of callers
	childGate *toucanadmission.Gate // for child calls of the backend server
	retrier   *toucanretry.Retrier

	peers map[*node]*peerStats
}

// peerStats contains what a node knows about a backend server that it calls.
type peerStats struct {
	inFlight  int
	load      float64
	failures  float64 // moving average of the share of failed calls at updatedAt; decays with failureHalfLife
	updatedAt time.Duration
}

// result is the result of one attempt.
type result struct {
	succeeded   bool // the response was complete and successful
	outcome     toucancall.Outcome
	reason      toucancall.Reason
	threshold   toucanadmission.Threshold
	load        float64
	retriesLeft int // lent retries that were not used
}

// attempt is one sending of a call to a backend server.
type attempt struct {
	id            uint64
	call          *call
	target        *node
	lentRetries   int // retries lent to the target for child calls
	level         int
	allowance     toucanretry.Allowance
	childTime     time.Duration
	workStart     time.Duration // negative while the backend server does no work for the attempt
	occupiesSlot  bool
	reachedSlot   bool
	endedAtServer bool // finished, refused or cancelled
	endedAtSender bool // the sender has the result or no longer waits for it
}

// receiveAttempt handles an attempt that arrives from its sender.
func (n *node) receiveAttempt(a *attempt) {
	if a.endedAtServer {
		return
	}
	switch n.sim.method {
	case None:
		n.server.acceptCall(a)
	case Fixed:
		if n.runningCalls >= n.service.Slots {
			n.sendResult(a, result{outcome: toucancall.NotRun, reason: toucancall.ReasonOverload})
			return
		}
		n.runningCalls++
		n.server.acceptCall(a)
	case Toucan:
		n.offerAttempt(a)
	}
}

// offerAttempt starts, queues or refuses an attempt as the admission controller
// decides.
func (n *node) offerAttempt(a *attempt) {
	r := a.call.request
	subtree := n.childGate.SubtreeThreshold(r.class.Name, r.rank)
	d := n.admission.OfferCall(toucanadmission.Call{
		ID: a.id, Rank: r.rank, Level: a.level, Tenant: r.tenant, Depth: a.call.position,
		Deadline: n.sim.start.Add(r.deadline), SubtreeThreshold: &subtree,
	})
	a.level = d.Level
	switch d.Verdict {
	case toucanadmission.Start:
		n.server.acceptCall(a)
	case toucanadmission.Wait:
		n.queued[a.id] = a
	case toucanadmission.Refuse:
		n.sendResult(a, result{outcome: toucancall.NotRun, reason: d.Reason})
	}
	n.applyEffects(d.Effects)
}

// applyEffects starts or refuses queued attempts as the admission controller
// decided.
func (n *node) applyEffects(effects []toucanadmission.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case toucanadmission.Started:
			a := n.queued[e.ID]
			delete(n.queued, e.ID)
			n.server.acceptCall(a)
		case toucanadmission.Refused:
			a := n.queued[e.ID]
			delete(n.queued, e.ID)
			n.sendResult(a, result{outcome: toucancall.NotRun, reason: e.Reason})
		}
	}
}

// finishAttempt handles the end of an attempt at the backend server.
func (n *node) finishAttempt(a *attempt, r result) {
	a.endedAtServer = true
	switch n.sim.method {
	case Fixed:
		n.runningCalls--
	case Toucan:
		n.applyEffects(n.admission.FinishCall(a.id, toucanadmission.Result{
			Outcome: r.outcome, Reason: r.reason, ChildTime: a.childTime,
		}))
	}
	n.sendResult(a, r)
}

// sendResult sends the result of an attempt to its sender, with the threshold,
// the load and the number of unused retries that responses carry.
func (n *node) sendResult(a *attempt, r result) {
	a.endedAtServer = true
	if n.sim.method == Toucan {
		request := a.call.request
		r.threshold = n.admission.ThresholdFor(request.rank).Min(n.childGate.SubtreeThreshold(request.class.Name, request.rank))
		if n.sim.sendsAbsurdThreshold(n) {
			r.threshold = toucanadmission.Threshold{}
		}
		r.load = float64(n.admission.Load())
		r.retriesLeft = a.allowance.Available()
	} else {
		r.load = float64(n.server.busySlots+len(n.server.queue)) / float64(n.service.Slots)
	}
	if n.server.behaviourAt(n.sim.now).reportsIdle {
		r.load = 0
	}
	if !a.reachedSlot && r.outcome == toucancall.NotRun {
		r.retriesLeft = a.lentRetries
	}
	n.sim.runAfter(n.sim.topology.HopLatency, func() { a.call.receiveResult(a, r) })
}

// cancelAttempt cancels an attempt whose caller no longer waits.
func (n *node) cancelAttempt(a *attempt) {
	if a.endedAtServer {
		return
	}
	n.server.cancelCall(a)
	if n.sim.method == Toucan {
		delete(n.queued, a.id)
		n.applyEffects(n.admission.CancelCall(a.id))
	}
}

func (n *node) tick() {
	n.applyEffects(n.admission.Tick())
	n.sim.runAfter(tickInterval, n.tick)
}

const (
	tickInterval = 10 * time.Millisecond
	// failureHalfLife is the half-life of peerStats.failures. Without decay a
	// backend server that failed would not be chosen again.
	failureHalfLife = 3 * time.Second
	failureWeight   = 0.3 // weight of a new result in peerStats.failures
	failurePenalty  = 20  // factor on peerStats.failures in the score of a backend server
)

// chooseServer chooses a backend server by power of two choices. It replaces
// toucanbalance in simulations and is the same for all methods.
func (n *node) chooseServer(service int) *node {
	servers := n.sim.services[service]
	i := n.sim.rng.IntN(len(servers))
	j := n.sim.rng.IntN(len(servers) - 1)
	if j >= i {
		j++
	}
	if n.scoreServer(servers[j]) < n.scoreServer(servers[i]) {
		return servers[j]
	}
	return servers[i]
}

// scoreServer returns the score of a backend server. The server with the lower
// score is chosen.
func (n *node) scoreServer(target *node) float64 {
	p := n.statsOf(target)
	failures := p.failures * math.Exp2(-(n.sim.now-p.updatedAt).Seconds()/failureHalfLife.Seconds())
	return (float64(p.inFlight) + 1) * (1 + p.load) * (1 + failurePenalty*failures)
}

func (n *node) statsOf(target *node) *peerStats {
	p := n.peers[target]
	if p == nil {
		p = new(peerStats)
		n.peers[target] = p
	}
	return p
}

// recordResult updates the statistics with the result of an attempt.
func (p *peerStats) recordResult(now time.Duration, r result) {
	p.inFlight--
	p.load = r.load
	failed := 0.0
	if r.outcome == toucancall.Failed || r.outcome == toucancall.Unknown {
		failed = 1
	}
	p.failures *= math.Exp2(-(now - p.updatedAt).Seconds() / failureHalfLife.Seconds())
	p.failures += failureWeight * (failed - p.failures)
	p.updatedAt = now
}

func (n *node) String() string { return fmt.Sprintf("%s/%d", n.service.Name, n.index) }
