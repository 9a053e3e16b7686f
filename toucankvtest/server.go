// Package toucankvtest is a stand-in for the platform's key-value service with
// faults that tests set.
package toucankvtest

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"toucanhaven/toucankv"
)

const (
	defaultWait = 5 * time.Minute  // the protocol's wait of a blocking query that names none
	maxWait     = 10 * time.Minute // the protocol's longest wait
	minTTL      = 10 * time.Second // the protocol's shortest session
	maxTTL      = 24 * time.Hour   // the protocol's longest session
)

// Faults are the faults that are in force. The zero value is a healthy service.
type Faults struct {
	Down        bool          // connections break, before anything takes effect
	Delay       time.Duration // added before each request is processed
	LoseReplies int           // replies of so many writes are lost after they took effect
	// DownAfterWrite takes the service down after the next write took effect, and
	// loses its reply.
	DownAfterWrite bool
}

// Counters count the calls received; a waiting watch counts as one.
type Counters struct {
	Reads    int `json:"reads"`
	Watches  int `json:"watches"`
	Writes   int `json:"writes"`
	Sessions int `json:"sessions"`
}

// Total returns the number of all calls.
func (c Counters) Total() int { return c.Reads + c.Watches + c.Writes + c.Sessions }

// Server is the stand-in. It speaks the KV and session part of Consul's HTTP
// protocol, and has its own paths below /test/ for faults and counters. Its
// zero value is ready to use and safe for concurrent use.
type Server struct {
	mu       sync.Mutex
	index    uint64
	pairs    map[string]toucankv.Pair
	sessions map[string]*session
	changed  chan struct{} // closed and replaced on every change of state or faults
	faults   Faults
	counters Counters
}

type session struct {
	ttl       time.Duration
	behaviour toucankv.Behaviour
	timer     *time.Timer
}

// SetFaults replaces the faults in force. Going down breaks waiting watches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
}

// Faults returns the faults in force, with the replies still to be lost.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counters returns the calls received so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// ExpireSession ends a session as if its TTL had run out. It reports whether the
// session existed.
func (s *Server) ExpireSession(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endSession(id)
}

// ExpireAllSessions ends all sessions.
func (s *Server) ExpireAllSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range slices.Collect(maps.Keys(s.sessions)) {
		s.endSession(id)
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/test/") {
		s.serveTest(w, r)
		return
	}
	s.delay(r)
	body, err := io.ReadAll(io.LimitReader(r.Body, toucankv.MaxValueBytes+1))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	key, isKey := strings.CutPrefix(r.URL.Path, "/v1/kv/")
	renewed, isRenew := strings.CutPrefix(r.URL.Path, "/v1/session/renew/")
	switch {
	case isKey && r.Method == http.MethodGet:
		s.serveRead(w, r, key)
	case isKey && r.Method == http.MethodPut:
		s.serveWrite(w, r, key, body)
	case r.URL.Path == "/v1/session/create" && r.Method == http.MethodPut:
		s.serveCreateSession(w, body)
	case isRenew && r.Method == http.MethodPut:
		s.serveRenewSession(w, renewed)
	default:
		http.Error(w, "not part of the stand-in", http.StatusMethodNotAllowed)
	}
}

// delay holds a request for the delay in force.
func (s *Server) delay(r *http.Request) {
	faults := s.Faults()
	if faults.Delay > 0 {
		timer := time.NewTimer(faults.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// breakIfDown ends a request without a reply. The caller holds the lock.
func (s *Server) breakIfDown() {
	if s.faults.Down {
		panic(http.ErrAbortHandler)
	}
}

// notify wakes the waiting watches. The caller holds the lock.
func (s *Server) notify() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request, key string) {
	query := r.URL.Query()
	index, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	wait := defaultWait
	if d, err := time.ParseDuration(query.Get("wait")); err == nil {
		wait = min(d, maxWait)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if index == 0 {
		s.counters.Reads++
	} else {
		s.counters.Watches++
	}
	s.breakIfDown()
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for index > 0 && s.readIndex(key) <= index && s.await(r, deadline.C) {
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(s.readIndex(key), 10))
	if query.Has("keys") || query.Has("recurse") {
		s.writeUnder(w, key, query.Has("keys"))
		return
	}
	pair, ok := s.pairs[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, []wirePair{toWire(pair)})
}

// await releases the lock until something changed, and reports false when the
// deadline has passed. The caller holds the lock.
func (s *Server) await(r *http.Request, deadline <-chan time.Time) bool {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	changed, inTime := s.changed, true
	s.mu.Unlock()
	select {
	case <-changed:
	case <-deadline:
		inTime = false
	case <-r.Context().Done():
		inTime = false
	}
	s.mu.Lock()
	s.breakIfDown()
	return inTime
}

// readIndex is the index a read of the key reports: that of the pair, or of the
// whole store for an absent key.
func (s *Server) readIndex(key string) uint64 {
	if pair, ok := s.pairs[key]; ok {
		return pair.Index
	}
	return max(s.index, 1)
}

func (s *Server) writeUnder(w http.ResponseWriter, prefix string, namesOnly bool) {
	var found []wirePair
	var names []string
	for key, pair := range s.pairs {
		if strings.HasPrefix(key, prefix) {
			found, names = append(found, toWire(pair)), append(names, key)
		}
	}
	if len(found) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if namesOnly {
		slices.Sort(names)
		writeJSON(w, names)
		return
	}
	slices.SortFunc(found, func(a, b wirePair) int { return cmp.Compare(a.Key, b.Key) })
	writeJSON(w, found)
}

func (s *Server) serveWrite(w http.ResponseWriter, r *http.Request, key string, value []byte) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Writes++
	s.breakIfDown()
	if len(value) > toucankv.MaxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	pair, exists := s.pairs[key]
	next := toucankv.Pair{Key: key, Value: value, Session: pair.Session}
	switch {
	case query.Has("cas") && query.Has("acquire"):
		http.Error(w, "conflicting flags", http.StatusBadRequest)
		return
	case query.Has("cas"):
		want, err := strconv.ParseUint(query.Get("cas"), 10, 64)
		if err != nil {
			http.Error(w, "bad cas index", http.StatusBadRequest)
			return
		}
		if want != pair.Index || (want == 0 && exists) {
			fmt.Fprint(w, "false")
			return
		}
	case query.Has("acquire"):
		id := query.Get("acquire")
		if s.sessions[id] == nil {
			http.Error(w, fmt.Sprintf("invalid session %q", id), http.StatusInternalServerError)
			return
		}
		if pair.Session != "" && pair.Session != id {
			fmt.Fprint(w, "false")
			return
		}
		next.Session = id
	}
	s.put(next)
	s.loseReply()
	fmt.Fprint(w, "true")
}

// put stores a pair under a new index. The caller holds the lock.
func (s *Server) put(pair toucankv.Pair) {
	if s.pairs == nil {
		s.pairs = make(map[string]toucankv.Pair)
	}
	s.index = max(s.index, 1) + 1
	pair.Index = s.index
	s.pairs[pair.Key] = pair
	s.notify()
}

// loseReply breaks the connection if a reply is to be lost. The caller holds the
// lock and has made the change.
func (s *Server) loseReply() {
	if s.faults.DownAfterWrite {
		s.faults.DownAfterWrite, s.faults.Down = false, true
		s.notify()
		panic(http.ErrAbortHandler)
	}
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) serveCreateSession(w http.ResponseWriter, body []byte) {
	var request struct{ TTL, Behavior string }
	err := json.Unmarshal(body, &request)
	ttl, err2 := time.ParseDuration(request.TTL)
	if err != nil || err2 != nil || ttl < minTTL || ttl > maxTTL {
		http.Error(w, fmt.Sprintf("TTL %q must lie between %s and %s", request.TTL, minTTL, maxTTL), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Sessions++
	s.breakIfDown()
	s.index = max(s.index, 1) + 1
	id := fmt.Sprintf("00000000-0000-0000-0000-%012d", s.index)
	if s.sessions == nil {
		s.sessions = make(map[string]*session)
	}
	s.sessions[id] = &session{
		ttl:       ttl,
		behaviour: cmp.Or(toucankv.Behaviour(request.Behavior), toucankv.Release),
		timer:     time.AfterFunc(ttl, func() { s.ExpireSession(id) }),
	}
	s.loseReply()
	writeJSON(w, map[string]string{"ID": id})
}

func (s *Server) serveRenewSession(w http.ResponseWriter, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Sessions++
	s.breakIfDown()
	renewed := s.sessions[id]
	if renewed == nil {
		http.Error(w, fmt.Sprintf("Session id %q not found", id), http.StatusNotFound)
		return
	}
	renewed.timer.Reset(renewed.ttl)
	s.loseReply()
	writeJSON(w, []map[string]string{{"ID": id}})
}

// endSession ends a session and frees or deletes its keys. The caller holds the
// lock.
func (s *Server) endSession(id string) bool {
	ended := s.sessions[id]
	if ended == nil {
		return false
	}
	ended.timer.Stop()
	delete(s.sessions, id)
	for key, pair := range s.pairs {
		if pair.Session != id {
			continue
		}
		if ended.behaviour == toucankv.Delete {
			delete(s.pairs, key)
			s.index++
		} else {
			pair.Session = ""
			s.put(pair)
		}
	}
	s.notify()
	return true
}

// The field names are those of the protocol.
type wirePair struct {
	Key         string
	Value       []byte
	Session     string `json:",omitempty"`
	ModifyIndex uint64
}

func toWire(p toucankv.Pair) wirePair {
	return wirePair{Key: p.Key, Value: p.Value, Session: p.Session, ModifyIndex: p.Index}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
