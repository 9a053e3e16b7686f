package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, in the form of the platform's page.
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

// store is a stand-in of the platform's store.
type store struct {
	addr string

	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	nextID   int64
	// fault decides how a call fails: "" (served), "busy" (503) or "silent" (no answer).
	fault func(r *http.Request) string
}

func newStore() *store {
	s := &store{changed: make(chan struct{}), revision: 100, items: map[string]item{}, leases: map[int64]*lease{}, nextID: 7000}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.getRange)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.fault
		s.mu.Unlock()
		if f != nil {
			switch f(r) {
			case "busy":
				w.WriteHeader(503)
				return
			case "silent":
				<-r.Context().Done()
				return
			}
		}
		mux.ServeHTTP(w, r)
	}))
	go s.expire()
	return s
}

func (s *store) setFault(f func(r *http.Request) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value []byte, leaseID int64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
	s.notify()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	s.notify()
}

// operatorWrite writes a key as the operator does.
func (s *store) operatorWrite(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, 404, map[string]any{"asOf": s.revision})
		return
	}
	reply(w, 200, struct {
		item
		AsOf uint64 `json:"asOf"`
	}{i, s.revision})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	list := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			list = append(list, i)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	n, size := 0, 0 // a page has at most about 500 items or 1 MB
	for n < len(list) && n < 500 && (n == 0 || size+len(list[n].Value) <= 1<<20) {
		size += len(list[n].Value)
		n++
	}
	more := n < len(list)
	list = list[:n]
	reply(w, 200, map[string]any{"items": list, "hasMore": more, "asOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for done := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		changed, asOf := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 || done {
			reply(w, 200, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
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
		w.WriteHeader(400)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []item{}
	for _, p := range t.Precondition {
		i, ok := s.items[p.Key]
		holds = holds && i.Revision == p.Revision
		if ok {
			current = append(current, i)
		}
	}
	if !holds {
		reply(w, 412, map[string]any{"items": current})
		return
	}
	for _, x := range t.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			w.WriteHeader(403)
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			reply(w, 404, struct{}{})
			return
		}
	}
	for _, x := range t.Writes {
		s.put(x.Key, x.Value, x.Lease)
	}
	for _, k := range t.Deletes {
		s.remove(k)
	}
	reply(w, 200, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var b struct{ TTLS float64 }
	if json.NewDecoder(r.Body).Decode(&b) != nil || b.TTLS <= 0 {
		w.WriteHeader(400)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(max(b.TTLS, 1) * float64(time.Second))
	s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, 200, map[string]any{"lease": s.nextID, "ttlS": ttl.Seconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, 404, struct{}{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, 200, map[string]any{"ttlS": l.ttl.Seconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLease(id)
	reply(w, 200, struct{}{})
}

// route is one route of a configuration.
type route struct {
	name, prefix, kind, service string
	timeoutS, targetS           float64
	priority                    int
}

const host = "hulo84.example"

// configDoc returns a configuration as the operator writes it.
func configDoc(version int, services []string, routes ...route) []byte {
	var list []any
	for _, r := range routes {
		list = append(list, map[string]any{"type": "routes", "metadata": map[string]any{"name": r.name}, "spec": map[string]any{
			"host": host, "prefix": r.prefix, "routeType": r.kind, "timeoutS": r.timeoutS, "targetLatencyS": r.targetS,
			"priority": r.priority, "service": r.service, "attempts": 2,
		}})
	}
	for _, s := range services {
		list = append(list, map[string]any{"type": "services", "metadata": map[string]any{"name": s}, "spec": map[string]any{
			"healthPath": "/healthz", "maxConnections": 1588, "protocol": "h1", "tls": false,
		}})
	}
	list = append(list, map[string]any{"type": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15,
	}})
	data, err := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version), "resources": list})
	if err != nil {
		cannotRun("configuration: %v", err)
	}
	return data
}
