package toucanscenario

import (
	"fmt"
	"math"
	"time"

	"toucanhaven/toucanadmission"
	"toucanhaven/toucancall"
	"toucanhaven/toucanretry"
)

// Method is the way in which overload is controlled. The set is closed.
type Method string

const (
	// None has no control; every hop retries.
	None Method = "none"
	// Fixed has a concurrency limit equal to the true number of slots; every
	// hop retries.
	Fixed Method = "fixed"
	// Toucan uses the decision packages.
	Toucan Method = "toucanhaven"
)

// Methods returns all methods in the order of the tables.
func Methods() []Method { return []Method{None, Fixed, Toucan} }

// node stands beside one backend server and is an entry for callers.
type node struct {
	sim     *sim
	index   int // of its service
	service Service
	server  *server

	running int // of Fixed

	admission *toucanadmission.Controller
	pending   map[uint64]*attempt
	entry     *toucanadmission.Gate
	children  *toucanadmission.Gate
	retries   *toucanretry.Retrier

	peers map[*node]*peer
}

// peer is what a node remembers of a backend server it calls.
type peer struct {
	inflight int
	load     float64
	failures float64 // decayed share of failed calls
	at       time.Duration
}

// result is the end of one attempt.
type result struct {
	ok        bool // a whole and successful answer
	outcome   toucancall.Outcome
	reason    toucancall.Reason
	threshold toucanadmission.Threshold
	load      float64
	left      int
}

// attempt is one sending of a call to a backend server.
type attempt struct {
	id        uint64
	call      *call
	target    *node
	lent      int
	level     int
	allowance toucanretry.Allowance
	childTime time.Duration
	workBegun time.Duration
	running   bool
	ran       bool // reached a slot
	over      bool // ended or cancelled at the backend server
	answered  bool // the sender has seen its end
}

// receive takes an attempt that arrives from another node.
func (n *node) receive(a *attempt) {
	if a.over {
		return
	}
	switch n.sim.method {
	case None:
		n.server.accept(a)
	case Fixed:
		if n.running >= n.service.Slots {
			n.reply(a, result{outcome: toucancall.NotRun, reason: toucancall.ReasonOverload})
			return
		}
		n.running++
		n.server.accept(a)
	case Toucan:
		n.offer(a)
	}
}

func (n *node) offer(a *attempt) {
	r := a.call.request
	d := n.admission.OfferCall(toucanadmission.Call{
		ID: a.id, Rank: r.rank, Level: a.level, Tenant: r.tenant, Depth: a.call.position,
		Deadline: n.sim.start.Add(r.deadline), SubtreeThreshold: n.children.SubtreeThreshold(r.class.Name, r.rank),
	})
	a.level = d.Level
	switch d.Verdict {
	case toucanadmission.Start:
		n.server.accept(a)
	case toucanadmission.Wait:
		n.pending[a.id] = a
	case toucanadmission.Refuse:
		n.reply(a, result{outcome: toucancall.NotRun, reason: d.Reason})
	}
	n.apply(d.Effects)
}

func (n *node) apply(effects []toucanadmission.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case toucanadmission.Started:
			a := n.pending[e.ID]
			delete(n.pending, e.ID)
			n.server.accept(a)
		case toucanadmission.Refused:
			a := n.pending[e.ID]
			delete(n.pending, e.ID)
			n.reply(a, result{outcome: toucancall.NotRun, reason: e.Reason})
		}
	}
}

// ended takes the end of an attempt at the backend server.
func (n *node) ended(a *attempt, r result) {
	a.over = true
	switch n.sim.method {
	case Fixed:
		n.running--
	case Toucan:
		n.apply(n.admission.FinishCall(a.id, toucanadmission.Result{
			Outcome: r.outcome, Reason: r.reason, ChildTime: a.childTime,
		}))
	}
	n.reply(a, r)
}

// reply sends the end of an attempt back with what answers carry.
func (n *node) reply(a *attempt, r result) {
	a.over = true
	if n.sim.method == Toucan {
		request := a.call.request
		r.threshold = n.admission.ThresholdFor(request.rank).Min(n.children.SubtreeThreshold(request.class.Name, request.rank))
		if n.sim.absurdThreshold(n) {
			r.threshold = toucanadmission.Threshold{}
		}
		r.load = float64(n.admission.Load())
		r.left = a.allowance.Available()
	} else {
		r.load = float64(n.server.busy+len(n.server.queue)) / float64(n.service.Slots)
	}
	if n.server.condition(n.sim.now).reportsIdle {
		r.load = 0
	}
	if !a.ran && r.outcome == toucancall.NotRun {
		r.left = a.lent
	}
	n.sim.after(n.sim.topology.Hop, func() { a.call.answer(a, r) })
}

// cancel stops an attempt whose caller has left.
func (n *node) cancel(a *attempt) {
	if a.over {
		return
	}
	n.server.cancel(a)
	if n.sim.method == Toucan {
		delete(n.pending, a.id)
		n.apply(n.admission.CancelCall(a.id))
	}
}

func (n *node) tick() {
	n.apply(n.admission.Tick())
	n.sim.after(tickInterval, n.tick)
}

const (
	tickInterval = 10 * time.Millisecond
	// failureHalfLife lets a backend server that failed be tried again.
	failureHalfLife = 3 * time.Second
	failureWeight   = 0.3
	failurePenalty  = 20
)

// choose picks a backend server by power of two choices. It stands in for
// toucanbalance and is the same for all methods.
func (n *node) choose(service int) *node {
	servers := n.sim.services[service]
	i := n.sim.rng.IntN(len(servers))
	j := n.sim.rng.IntN(len(servers) - 1)
	if j >= i {
		j++
	}
	if n.score(servers[j]) < n.score(servers[i]) {
		return servers[j]
	}
	return servers[i]
}

func (n *node) score(target *node) float64 {
	p := n.peer(target)
	failures := p.failures * math.Exp2(-(n.sim.now-p.at).Seconds()/failureHalfLife.Seconds())
	return (float64(p.inflight) + 1) * (1 + p.load) * (1 + failurePenalty*failures)
}

func (n *node) peer(target *node) *peer {
	p := n.peers[target]
	if p == nil {
		p = new(peer)
		n.peers[target] = p
	}
	return p
}

func (p *peer) ended(now time.Duration, r result) {
	p.inflight--
	p.load = r.load
	failed := 0.0
	if r.outcome == toucancall.Failed || r.outcome == toucancall.Unknown {
		failed = 1
	}
	p.failures *= math.Exp2(-(now - p.at).Seconds() / failureHalfLife.Seconds())
	p.failures += failureWeight * (failed - p.failures)
	p.at = now
}

func (n *node) String() string { return fmt.Sprintf("%s/%d", n.service.Name, n.index) }
