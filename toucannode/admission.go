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

// admissionTickInterval is how often expired calls are removed from the queue
// and the threshold is updated.
const admissionTickInterval = 10 * time.Millisecond

// adaptiveAdmission is the Admission of the local backend server. It runs a
// toucanadmission.Controller, which adapts the concurrency limit.
type adaptiveAdmission struct {
	mu               sync.Mutex
	controller       *toucanadmission.Controller
	subtreeThreshold func(class string, r toucanclass.Rank) toucanadmission.Threshold
	lastID           uint64
	waiting          map[uint64]chan toucanadmission.Effect
}

func newAdaptiveAdmission(clock toucanclock.Clock, gates *adaptiveGate) *adaptiveAdmission {
	return &adaptiveAdmission{
		controller:       toucanadmission.NewController(clock),
		subtreeThreshold: gates.subtreeThreshold,
		waiting:          map[uint64]chan toucanadmission.Effect{},
	}
}

// Admit waits until the call may start.
func (a *adaptiveAdmission) Admit(ctx context.Context, c toucancall.Call) (Slot, toucancall.Reason) {
	subtree := a.subtreeThreshold(c.Class, c.Rank)
	a.mu.Lock()
	a.lastID++
	id := a.lastID
	d := a.controller.OfferCall(toucanadmission.Call{
		ID: id, Rank: c.Rank, Level: c.Level, Tenant: c.Tenant, Depth: c.Depth, Deadline: c.Deadline, SubtreeThreshold: &subtree,
	})
	a.applyEffects(d.Effects)
	slot := &adaptiveSlot{admission: a, id: id, level: d.Level}
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
		a.cancelWaiting(id)
		return nil, toucancall.ReasonCancelled
	}
}

// cancelWaiting removes a waiting call. If the call has just been started, it
// ends it.
func (a *adaptiveAdmission) cancelWaiting(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, id)
	a.applyEffects(a.controller.CancelCall(id))
}

// applyEffects wakes the calls that the controller started or refused. The
// caller must hold the mutex.
func (a *adaptiveAdmission) applyEffects(effects []toucanadmission.Effect) {
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

func (a *adaptiveAdmission) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyEffects(a.controller.Tick())
}

// Threshold returns the threshold that answers to calls of rank r carry.
func (a *adaptiveAdmission) Threshold(r toucanclass.Rank) toucanadmission.Threshold {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.ThresholdFor(r)
}

// Load returns the load of the backend server.
func (a *adaptiveAdmission) Load() toucanadmission.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Load()
}

// Status returns the concurrency limit and the numbers of running and waiting
// calls.
func (a *adaptiveAdmission) Status() AdmissionStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	return AdmissionStatus{Limit: a.controller.Limit(), Running: a.controller.Running(), Queued: a.controller.Queued()}
}

// adaptiveSlot is the slot of a call that adaptiveAdmission started.
type adaptiveSlot struct {
	admission *adaptiveAdmission
	id        uint64
	level     int
}

// Level returns the tenant-fair level that child calls carry.
func (s *adaptiveSlot) Level() int { return s.level }

// Release ends the call and reports its result to admission control.
func (s *adaptiveSlot) Release(r RunResult) {
	a := s.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyEffects(a.controller.FinishCall(s.id, toucanadmission.Result{Outcome: r.Outcome, Reason: r.Reason, ChildTime: r.ChildTime}))
}

// adaptiveGate holds one gate for requests of callers and one for child calls
// of the local backend server. The second one also provides the thresholds of
// the services that the running calls reach.
type adaptiveGate struct {
	mu       sync.Mutex
	requests *toucanadmission.Gate
	children *toucanadmission.Gate
}

func newAdaptiveGate(clock toucanclock.Clock) *adaptiveGate {
	return &adaptiveGate{
		requests: toucanadmission.NewGate(clock, newRandom()),
		children: toucanadmission.NewGate(clock, newRandom()),
	}
}

// newRandom returns a randomly seeded random source.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Check returns the tenant-fair level of a call, or a reason to refuse it.
func (g *adaptiveGate) Check(c toucancall.Call, child bool) (int, toucancall.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if child {
		return c.Level, g.children.CheckCall(c.Service, c.Class, c.Rank, c.Level).Reason
	}
	level, d := g.requests.CheckRequest(c.Service, c.Class, c.Rank, c.Tenant)
	return level, d.Reason
}

// ObserveThreshold records the threshold that an answer to call c carried.
func (g *adaptiveGate) ObserveThreshold(c toucancall.Call, child bool, t toucanadmission.Threshold) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gate := g.requests
	if child {
		gate = g.children
	}
	gate.ObserveThreshold(c.Service, c.Class, t)
}

// SetServers sets the number of backend servers over which calls to a service
// are spread.
func (g *adaptiveGate) SetServers(service string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests.SetServers(service, n)
}

// subtreeThreshold returns the most restrictive threshold among the services
// that calls of a class reach from this node.
func (g *adaptiveGate) subtreeThreshold(class string, r toucanclass.Rank) toucanadmission.Threshold {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.children.SubtreeThreshold(class, r)
}
