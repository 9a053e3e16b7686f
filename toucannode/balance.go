package toucannode

import (
	"sync"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucanclock"
)

// balancedChooser keeps one toucanbalance.Picker per called service.
type balancedChooser struct {
	clock      toucanclock.Clock
	nodeID     string
	dataCentre string
	// setServerCount is called with the number of backend servers over which
	// calls to a service are spread.
	setServerCount func(service string, servers int)

	mu      sync.Mutex
	pickers map[string]*servicePicker
}

// servicePicker is the picker of one service with the servers it was last
// given.
type servicePicker struct {
	mu     sync.Mutex
	picker *toucanbalance.Picker
	view   []toucanbalance.Server
}

func (b *balancedChooser) service(name string) *servicePicker {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pickers[name]
	if p == nil {
		p = &servicePicker{picker: toucanbalance.New(b.clock, newRandom(), b.nodeID, b.dataCentre)}
		if b.pickers == nil {
			b.pickers = map[string]*servicePicker{}
		}
		b.pickers[name] = p
	}
	return p
}

// Choose picks a backend server. It creates no picker for a service without
// servers, so that invented service names take no memory.
func (b *balancedChooser) Choose(service string, servers []toucanbalance.Server, excluded []string) (toucanbalance.Server, bool) {
	if len(servers) == 0 {
		return toucanbalance.Server{}, false
	}
	p := b.service(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !sameSlice(p.view, servers) {
		p.view = servers
		p.picker.Update(servers)
		b.setServerCount(service, min(len(servers), toucanbalance.DefaultSubset))
	}
	chosen, ok := p.picker.Pick(excluded...)
	if ok {
		p.picker.Start(chosen.ID)
	}
	return chosen, ok
}

// sameSlice reports whether a and b are the same slice. A directory returns the
// same slice until something changes.
func sameSlice(a, b []toucanbalance.Server) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// StartAttempt counts the start of an attempt at a server that Choose did not
// pick.
func (b *balancedChooser) StartAttempt(service, nodeID string) {
	p := b.service(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.Start(nodeID)
}

// EndAttempt records the end of an attempt that Choose or StartAttempt counted.
func (b *balancedChooser) EndAttempt(service, nodeID string, a Attempt) {
	p := b.service(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.Done(nodeID, toucanbalance.Result{
		Latency: a.Latency, Target: a.Target, Outcome: a.Outcome, Reason: a.Reason, Status: a.Status,
		Load: float64(a.Load), LoadKnown: a.LoadKnown,
	})
}
