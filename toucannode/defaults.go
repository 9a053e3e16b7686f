package toucannode

import (
	"context"
	"slices"
	"sync"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
)

// MemoryDirectory is a directory inside one process.
type MemoryDirectory struct {
	mu      sync.RWMutex
	servers map[string][]BackendServer
}

// BackendServers returns the backend servers of a service.
func (d *MemoryDirectory) BackendServers(_ context.Context, service string) []BackendServer {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.servers[service]
}

// MarkLeaving changes the state of a backend server.
func (d *MemoryDirectory) MarkLeaving(service, nodeID string) {
	d.update(service, nodeID, func(s *BackendServer) { s.State = ServerLeaving })
}

// MarkUnreachable does nothing: inside one process a node that was unreachable
// has stopped and is marked leaving.
func (*MemoryDirectory) MarkUnreachable(string, string) {}

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
func (m *MemoryClassFiles) ClassFile(_ context.Context, service string) (toucanclass.File, uint64, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.files[service], 0, nil
}

// Observe does nothing: there is no later revision to fetch.
func (*MemoryClassFiles) Observe(string, string, uint64) {}

// half is the part of an allowance that is lent, rounded up.
func half(held int) int { return (held + 1) / 2 }

// memoryOnce remembers keys inside one process. It forwards keys to no home, so
// it protects only calls that reach the same node.
type memoryOnce struct {
	mu   sync.Mutex
	runs map[string]*memoryRun
}

// maxMemoryKeys bounds the keys of a memoryOnce. No key is forgotten, so it
// accepts no new one beyond the bound.
const maxMemoryKeys = 65_536

type memoryRun struct {
	done    chan struct{}
	outcome toucancall.Outcome
	reason  toucancall.Reason
	answer  *StoredAnswer
}

func (*memoryOnce) Home(context.Context, toucancall.Call) (string, *Refusal) { return "", nil }

func (m *memoryOnce) Begin(ctx context.Context, c toucancall.Call) (OnceRun, *StoredAnswer, *Refusal) {
	if c.IdempotencyKey == "" {
		return nil, nil, nil
	}
	key := c.Service + " " + c.IdempotencyKey
	m.mu.Lock()
	earlier := m.runs[key]
	if earlier == nil && len(m.runs) >= maxMemoryKeys {
		m.mu.Unlock()
		return nil, nil, &Refusal{Outcome: toucancall.Unknown, Reason: toucancall.ReasonKeyUnknown}
	}
	if earlier == nil {
		run := &memoryRun{done: make(chan struct{})}
		if m.runs == nil {
			m.runs = map[string]*memoryRun{}
		}
		m.runs[key] = run
		m.mu.Unlock()
		return run, nil, nil
	}
	m.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	select {
	case <-earlier.done:
	case <-ctx.Done():
		return nil, nil, &Refusal{Outcome: toucancall.Unknown, Reason: toucancall.ReasonDeadline}
	}
	if earlier.answer != nil {
		return nil, earlier.answer, nil
	}
	if earlier.outcome == toucancall.Answered {
		return nil, nil, &Refusal{Outcome: toucancall.Unknown, Reason: toucancall.ReasonAnswerForgotten}
	}
	return nil, nil, &Refusal{Outcome: earlier.outcome, Reason: earlier.reason}
}

func (r *memoryRun) Finish(o toucancall.Outcome, reason toucancall.Reason, a *StoredAnswer) {
	r.outcome, r.reason, r.answer = o, reason, a
	close(r.done)
}

func (r *memoryRun) Withdraw() { r.Finish(toucancall.NotRun, toucancall.ReasonKeyRefused, nil) }

func (*memoryOnce) Refuse(_ context.Context, c toucancall.Call) (toucancall.Outcome, toucancall.Reason) {
	return toucancall.Unknown, toucancall.ReasonNotForwarded
}

func (m *memoryOnce) Issue(_ context.Context, _ string, count int) ([]string, error) {
	keys := make([]string, count)
	for i := range keys {
		keys[i] = newToken()
	}
	return keys, nil
}

func (*memoryOnce) Seal(context.Context) error { return nil }
