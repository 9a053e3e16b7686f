package toucannode

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
)

// MemoryDirectory is a directory inside one process.
type MemoryDirectory struct {
	mu      sync.RWMutex
	servers map[string][]BackendServer
}

// BackendServers returns the backend servers of a service.
func (d *MemoryDirectory) BackendServers(service string) []BackendServer {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.servers[service]
}

// MarkLeaving changes the state of a backend server.
func (d *MemoryDirectory) MarkLeaving(service, nodeID string) {
	d.update(service, nodeID, func(s *BackendServer) { s.State = ServerLeaving })
}

// Announce adds or replaces a backend server.
func (d *MemoryDirectory) Announce(service string, self BackendServer) {
	d.update(service, self.NodeID, func(s *BackendServer) { *s = self })
}

// Leave changes the state of a backend server.
func (d *MemoryDirectory) Leave(service string, self BackendServer) {
	d.MarkLeaving(service, self.NodeID)
}

// update replaces the slice, because readers hold the earlier one.
func (d *MemoryDirectory) update(service, nodeID string, change func(*BackendServer)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := slices.Clone(d.servers[service])
	i := slices.IndexFunc(list, func(s BackendServer) bool { return s.NodeID == nodeID })
	if i < 0 {
		i = len(list)
		list = append(list, BackendServer{NodeID: nodeID})
	}
	change(&list[i])
	if d.servers == nil {
		d.servers = map[string][]BackendServer{}
	}
	d.servers[service] = list
}

// MemoryClassFiles holds class files that were set by hand.
type MemoryClassFiles struct {
	mu    sync.RWMutex
	files map[string]toucanclass.File
}

// Set installs the class file of its service.
func (m *MemoryClassFiles) Set(f toucanclass.File) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.files == nil {
		m.files = map[string]toucanclass.File{}
	}
	m.files[f.Service] = f
}

// ClassFile returns the file of a service; its revision is always 0.
func (m *MemoryClassFiles) ClassFile(service string) (toucanclass.File, uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.files[service], 0
}

// Observe does nothing: there is no later revision to fetch.
func (*MemoryClassFiles) Observe(string, uint64) {}

// openAdmission starts every call at once.
type openAdmission struct{}

func (openAdmission) Admit(context.Context, toucancall.Call) (Slot, toucancall.Reason) {
	return openAdmission{}, ""
}
func (openAdmission) Release(RunResult)    {}
func (openAdmission) Threshold() Threshold { return OpenThreshold }
func (openAdmission) Load() int            { return 0 }

// openGate refuses nothing.
type openGate struct{}

func (openGate) Check(c toucancall.Call, _ bool) (int, toucancall.Reason) { return c.Level, "" }
func (openGate) Observe(string, string, Threshold)                        {}

// randomChooser picks any server that takes calls.
type randomChooser struct{}

func (randomChooser) Choose(_ string, servers []BackendServer, tried []string) (BackendServer, bool) {
	start := 0
	if len(servers) > 0 {
		start = rand.IntN(len(servers))
	}
	for i := range servers {
		s := servers[(start+i)%len(servers)]
		if s.State == ServerAlive && !slices.Contains(tried, s.NodeID) {
			return s, true
		}
	}
	return BackendServer{}, false
}

func (randomChooser) Done(string, string, Attempt) {}

// fixedRetries gives each request the full allowance and retries at once.
type fixedRetries struct{}

func (fixedRetries) Root(toucancall.Call) Allowance {
	return &fixedAllowance{held: toucancall.MaxRetries}
}

func (fixedRetries) Child(c toucancall.Call) Allowance {
	return &fixedAllowance{held: c.Retries}
}

// fixedAllowance is used by one goroutine.
type fixedAllowance struct{ held int }

func (a *fixedAllowance) Lend() int {
	part := half(a.held)
	a.held -= part
	return part
}

func (a *fixedAllowance) Return(left int) { a.held += left }
func (a *fixedAllowance) Left() int       { return a.held }

func (a *fixedAllowance) Retry() (time.Duration, bool) {
	if a.held == 0 {
		return 0, false
	}
	a.held--
	return 0, true
}

// half is the part of an allowance that is lent, rounded up.
func half(held int) int { return (held + 1) / 2 }
