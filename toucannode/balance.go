package toucannode

import (
	"sync"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucanclock"
)

// balancedChooser keeps a toucanbalance.Picker for each service called.
type balancedChooser struct {
	clock      toucanclock.Clock
	nodeID     string
	dataCentre string
	// resized is told over how many backend servers calls to a service spread.
	resized func(service string, servers int)

	mu      sync.Mutex
	pickers map[string]*servicePicker
}

// servicePicker is the picker of one service with the view it was given.
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

// Choose picks a backend server. A service without any is not remembered, so
// made-up service names take no memory.
func (b *balancedChooser) Choose(service string, servers []toucanbalance.Server, tried []string) (toucanbalance.Server, bool) {
	if len(servers) == 0 {
		return toucanbalance.Server{}, false
	}
	p := b.service(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !sameSlice(p.view, servers) {
		p.view = servers
		p.picker.Update(servers)
		b.resized(service, min(len(servers), toucanbalance.DefaultSubset))
	}
	chosen, ok := p.picker.Pick(tried...)
	if ok {
		p.picker.Start(chosen.ID)
	}
	return chosen, ok
}

// sameSlice reports whether two views are one slice. A directory returns the
// same slice until something changes.
func sameSlice(a, b []toucanbalance.Server) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Start begins an attempt at a server that Choose did not pick.
func (b *balancedChooser) Start(service, nodeID string) {
	p := b.service(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.Start(nodeID)
}

// Done ends an attempt that Choose or Start began.
func (b *balancedChooser) Done(service, nodeID string, a Attempt) {
	p := b.service(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.Done(nodeID, toucanbalance.Result{
		Latency: a.Latency, Target: a.Target, Outcome: a.Outcome, Reason: a.Reason, Status: a.Status,
		Load: float64(a.Load), LoadKnown: a.LoadKnown,
	})
}
