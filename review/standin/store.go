package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store.
type store struct {
	address string

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	answerIn time.Duration // time that an answer takes
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	leases   map[int64]*storeLease
	// intercept may replace the answer to a call. It returns false to let the store
	// answer. It is called without the lock.
	intercept func(w http.ResponseWriter, r *http.Request) bool
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), changed: make(chan struct{}), answerIn: 4 * time.Millisecond,
		revision: 10, items: make(map[string]storeItem), leases: make(map[int64]*storeLease),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.handleKey)
	mux.HandleFunc("GET /kv-range", s.handleRange)
	mux.HandleFunc("GET /kv-watch", s.handleWatch)
	mux.HandleFunc("POST /kv-txn", s.handleTransaction)
	mux.HandleFunc("POST /kv-lease", s.handleLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.handleKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.handleLeaseEnd)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		wait, intercept := s.answerIn, s.intercept
		s.mu.Unlock()
		time.Sleep(wait)
		if intercept != nil && intercept(w, r) {
			return
		}
		mux.ServeHTTP(w, r)
	}))
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

// setAnswerTime sets the time that an answer takes.
func (s *store) setAnswerTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerIn = d
}

// setIntercept sets the function that may replace the answer to a call.
func (s *store) setIntercept(f func(w http.ResponseWriter, r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.intercept = f
}

// write writes a key as the operator does.
func (s *store) write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// get returns a key.
func (s *store) get(key string) (storeItem, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i, ok
}

func (s *store) put(key string, value []byte, lease int64) {
	s.revision++
	i := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
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
	s.revision++
	delete(s.items, key)
	s.record(storeItem{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) record(i storeItem) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answerJSON(w, http.StatusNotFound, map[string]uint64{"asOf": s.revision})
		return
	}
	answerJSON(w, http.StatusOK, struct {
		storeItem
		AsOf uint64 `json:"asOf"`
	}{i, s.revision})
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	list := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			list = append(list, i)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	answerJSON(w, http.StatusOK, map[string]any{"items": list, "hasMore": false, "asOf": s.revision})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		answerJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.ContainsFunc(t.Precondition, func(c struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	}) bool {
		return s.items[c.Key].Revision != c.Revision
	}) {
		current := []storeItem{}
		for _, c := range t.Precondition {
			i := s.items[c.Key]
			i.Key = c.Key
			current = append(current, i)
		}
		answerJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, x := range t.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			answerJSON(w, http.StatusNotFound, map[string]string{"error": "no such lease"})
			return
		}
	}
	for _, x := range t.Writes {
		s.put(x.Key, x.Value, x.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	answerJSON(w, http.StatusOK, map[string]uint64{"revision": s.revision})
}

func (s *store) handleLease(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTLS float64 `json:"ttlS"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		answerJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id, ttl := int64(s.revision), time.Duration(b.TTLS*float64(time.Second))
	s.leases[id] = &storeLease{ttl: ttl, end: time.Now().Add(ttl)}
	answerJSON(w, http.StatusOK, map[string]any{"lease": id, "ttlS": b.TTLS})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answerJSON(w, http.StatusNotFound, map[string]string{"error": "no such lease"})
		return
	}
	l.end = time.Now().Add(l.ttl)
	answerJSON(w, http.StatusOK, map[string]any{"lease": id, "ttlS": l.ttl.Seconds()})
}

func (s *store) handleLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	answerJSON(w, http.StatusOK, map[string]any{})
}
