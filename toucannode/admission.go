package toucannode

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"toucanhaven/toucanadmission"
	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
	"toucanhaven/toucanclock"
)

// admissionTick is how often expired calls leave the queue and the threshold
// is set.
const admissionTick = 10 * time.Millisecond

// learnedAdmission runs a toucanadmission.Controller for the local backend
// server.
type learnedAdmission struct {
	mu         sync.Mutex
	controller *toucanadmission.Controller
	subtree    func(class string, r toucanclass.Rank) toucanadmission.Threshold
	lastID     uint64
	waiting    map[uint64]chan toucanadmission.Effect
}

func newLearnedAdmission(clock toucanclock.Clock, gates *learnedGate) *learnedAdmission {
	return &learnedAdmission{
		controller: toucanadmission.NewController(clock),
		subtree:    gates.subtree,
		waiting:    map[uint64]chan toucanadmission.Effect{},
	}
}

// Admit waits until the call may start.
func (a *learnedAdmission) Admit(ctx context.Context, c toucancall.Call) (Slot, toucancall.Reason) {
	subtree := a.subtree(c.Class, c.Rank)
	a.mu.Lock()
	a.lastID++
	id := a.lastID
	d := a.controller.OfferCall(toucanadmission.Call{
		ID: id, Rank: c.Rank, Level: c.Level, Tenant: c.Tenant, Depth: c.Depth, Deadline: c.Deadline, SubtreeThreshold: subtree,
	})
	a.apply(d.Effects)
	slot := &learnedSlot{admission: a, id: id, level: d.Level}
	if d.Verdict != toucanadmission.Wait {
		a.mu.Unlock()
		if d.Verdict == toucanadmission.Refuse {
			return nil, d.Reason
		}
		return slot, ""
	}
	decided := make(chan toucanadmission.Effect, 1)
	a.waiting[id] = decided
	a.mu.Unlock()
	select {
	case effect := <-decided:
		if refused, ok := effect.(toucanadmission.Refused); ok {
			return nil, refused.Reason
		}
		return slot, ""
	case <-ctx.Done():
		a.cancel(id)
		return nil, toucancall.ReasonCancelled
	}
}

// cancel removes a waiting call, or ends it when it was started at the same
// moment.
func (a *learnedAdmission) cancel(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, id)
	a.apply(a.controller.CancelCall(id))
}

// apply wakes the calls that the controller decided about. The mutex is held.
func (a *learnedAdmission) apply(effects []toucanadmission.Effect) {
	for _, effect := range effects {
		var id uint64
		switch e := effect.(type) {
		case toucanadmission.Started:
			id = e.ID
		case toucanadmission.Refused:
			id = e.ID
		}
		if decided := a.waiting[id]; decided != nil {
			decided <- effect
			delete(a.waiting, id)
		}
	}
}

func (a *learnedAdmission) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.controller.Tick())
}

// Threshold returns the threshold that answers to calls of a rank carry.
func (a *learnedAdmission) Threshold(r toucanclass.Rank) toucanadmission.Threshold {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.ThresholdFor(r)
}

// Load returns the load of the backend server.
func (a *learnedAdmission) Load() toucanadmission.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Load()
}

// Status returns the concurrency limit and the calls that run and wait.
func (a *learnedAdmission) Status() AdmissionStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	return AdmissionStatus{Limit: a.controller.Limit(), Running: a.controller.Running(), Queued: a.controller.Queued()}
}

// learnedSlot is a running call of a learnedAdmission.
type learnedSlot struct {
	admission *learnedAdmission
	id        uint64
	level     int
}

// Level returns the tenant-fair level that child calls carry.
func (s *learnedSlot) Level() int { return s.level }

// Release ends the call.
func (s *learnedSlot) Release(r RunResult) {
	a := s.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.controller.FinishCall(s.id, toucanadmission.Result{Outcome: r.Outcome, Reason: r.Reason, ChildTime: r.ChildTime}))
}

// learnedGate holds one gate for requests of callers and one for child calls of
// the local backend server, whose thresholds say what its running calls reach.
type learnedGate struct {
	mu       sync.Mutex
	requests *toucanadmission.Gate
	children *toucanadmission.Gate
}

func newLearnedGate(clock toucanclock.Clock) *learnedGate {
	return &learnedGate{
		requests: toucanadmission.NewGate(clock, newRandom()),
		children: toucanadmission.NewGate(clock, newRandom()),
	}
}

// newRandom returns a random source for one decision part of this process.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Check returns the tenant-fair level of a call, or a reason to refuse it.
func (g *learnedGate) Check(c toucancall.Call, child bool) (int, toucancall.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if child {
		return c.Level, g.children.CheckCall(c.Service, c.Class, c.Rank, c.Level).Reason
	}
	level, d := g.requests.CheckRequest(c.Service, c.Class, c.Rank, c.Tenant)
	return level, d.Reason
}

// Observe notes the threshold that an answer carried.
func (g *learnedGate) Observe(c toucancall.Call, child bool, t toucanadmission.Threshold) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gate := g.requests
	if child {
		gate = g.children
	}
	gate.ObserveThreshold(c.Service, c.Class, t)
}

// SetServers notes over how many backend servers calls to a service spread.
func (g *learnedGate) SetServers(service string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests.SetServers(service, n)
}

func (g *learnedGate) subtree(class string, r toucanclass.Rank) toucanadmission.Threshold {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.children.SubtreeThreshold(class, r)
}
