package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is a key of the metadata store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string
	server  *http.Server
	down    atomic.Bool // answers every call with 503

	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	history   []item
	leases    map[int64]lease
	nextLease int64
	changed   chan struct{} // closed and replaced at each change
}

const maxPageItems = 500

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), revision: 1, items: map[string]item{}, leases: map[int64]lease{},
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.commit)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.renew)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		if s.down.Load() {
			reply(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go s.server.Serve(l)
	go s.expire()
	return s, nil
}

// setDown begins or ends an outage. Watches that wait are cut.
func (s *store) setDown(down bool) {
	s.down.Store(down)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// write stores a key without a lease, as the operator does.
func (s *store) write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

func (s *store) put(key string, value []byte, leaseID int64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.record(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if !s.down.Load() && time.Now().After(l.end) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"asOf": s.revision})
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	n := min(len(found), maxPageItems)
	reply(w, http.StatusOK, map[string]any{"items": found[:n], "hasMore": n < len(found), "asOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for timedOut := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		changed, asOf := s.changed, s.revision
		s.mu.Unlock()
		if s.down.Load() {
			reply(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		if len(events) > 0 || timedOut {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []struct {
			Key      string
			Revision uint64
		}
		Writes []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Deletes []string
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, p := range t.Precondition {
		i, ok := s.items[p.Key]
		holds = holds && i.Revision == p.Revision
		if ok {
			current = append(current, i)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, x := range t.Writes {
		if _, ok := s.leases[x.Lease]; !ok && x.Lease != 0 {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	for _, x := range t.Writes {
		s.put(x.Key, x.Value, x.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var b struct{ TTLS float64 }
	if json.NewDecoder(r.Body).Decode(&b) != nil || b.TTLS < 1 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	ttl := time.Duration(b.TTLS * float64(time.Second))
	s.leases[s.nextLease] = lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttlS": b.TTLS})
}

func (s *store) renew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, http.StatusOK, map[string]any{"ttlS": l.ttl.Seconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	s.dropLease(id)
	reply(w, http.StatusOK, struct{}{})
}
