package toucannode

import (
	"context"
	"slices"
	"sync"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucanclass"
)

// MemoryDirectory is a Directory for nodes in one process.
type MemoryDirectory struct {
	mu      sync.RWMutex
	servers map[string][]toucanbalance.Server
}

// BackendServers returns the backend servers of a service.
func (d *MemoryDirectory) BackendServers(_ context.Context, service string) []toucanbalance.Server {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.servers[service]
}

// MarkLeaving sets the state of a backend server to leaving.
func (d *MemoryDirectory) MarkLeaving(service, nodeID string) {
	d.update(service, nodeID, func(s *toucanbalance.Server) { s.State = toucanbalance.Leaving })
}

// MarkUnreachable does nothing: an unreachable node in the same process has
// stopped and is marked as leaving.
func (*MemoryDirectory) MarkUnreachable(string, string) {}

// Announce adds or replaces a backend server.
func (d *MemoryDirectory) Announce(service string, self toucanbalance.Server) {
	d.update(service, self.ID, func(s *toucanbalance.Server) { *s = self })
}

// Leave sets the state of a backend server to leaving.
func (d *MemoryDirectory) Leave(service string, self toucanbalance.Server) {
	d.MarkLeaving(service, self.ID)
}

// update changes a copy of the slice, because readers hold the previous one.
func (d *MemoryDirectory) update(service, nodeID string, change func(*toucanbalance.Server)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := slices.Clone(d.servers[service])
	i := slices.IndexFunc(list, func(s toucanbalance.Server) bool { return s.ID == nodeID })
	if i < 0 {
		i = len(list)
		list = append(list, toucanbalance.Server{ID: nodeID})
	}
	change(&list[i])
	if d.servers == nil {
		d.servers = map[string][]toucanbalance.Server{}
	}
	d.servers[service] = list
}

// MemoryClassFiles implements ClassFiles with class files set by Set.
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

// ClassFile returns the class file of a service. Its revision is always 0.
func (m *MemoryClassFiles) ClassFile(_ context.Context, service string) (toucanclass.File, uint64, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.files[service], 0, nil
}

// ObserveRevision does nothing, because there are no later revisions to fetch.
func (*MemoryClassFiles) ObserveRevision(string, string, uint64) {}
