// Package toucankvtest implements an in-memory stand-in for the platform's
// key-value service, with fault injection for tests.
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
	defaultWait = 5 * time.Minute  // used by the protocol for a blocking query without a wait
	maxWait     = 10 * time.Minute // longest wait that the protocol allows
	minTTL      = 10 * time.Second // shortest session TTL that the protocol allows
	maxTTL      = 24 * time.Hour   // longest session TTL that the protocol allows
)

// Faults specifies the faults that the server injects. The zero value injects
// none. Session requests count as writes.
type Faults struct {
	Down        bool          // abort every request before it takes effect
	Delay       time.Duration // added before each request is processed
	LoseReplies int           // number of writes whose response is lost after they take effect
	// DownAfterWrite sets Down as soon as the next write has taken effect, and loses
	// the response to that write.
	DownAfterWrite bool
}

// Counters holds the number of requests received by kind. A watch counts as one
// request however long it waits.
type Counters struct {
	Reads    int `json:"reads"`
	Watches  int `json:"watches"`
	Writes   int `json:"writes"`
	Sessions int `json:"sessions"`
}

// Total returns the number of requests of all kinds.
func (c Counters) Total() int { return c.Reads + c.Watches + c.Writes + c.Sessions }

// Server is the HTTP handler of the stand-in. It implements the KV and session
// parts of Consul's HTTP protocol and serves the faults and counters under
// /test/. The zero value is ready to use, and a Server is safe for concurrent use.
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

// SetFaults replaces the injected faults. Setting Down aborts waiting watches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatches()
}

// Faults returns the injected faults. Its LoseReplies is the number of responses
// still to be lost.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counters returns the numbers of requests received so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// ExpireSession ends a session as if its TTL had expired. It reports whether the
// session existed.
func (s *Server) ExpireSession(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endSession(id)
}

// ExpireAllSessions ends all sessions as if their TTLs had expired.
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
		s.serveTestPath(w, r)
		return
	}
	s.delayRequest(r)
	body, err := io.ReadAll(io.LimitReader(r.Body, toucankv.MaxValueBytes+1))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	key, isKey := strings.CutPrefix(r.URL.Path, "/v1/kv/")
	renewedID, isRenew := strings.CutPrefix(r.URL.Path, "/v1/session/renew/")
	switch {
	case isKey && r.Method == http.MethodGet:
		s.serveRead(w, r, key)
	case isKey && r.Method == http.MethodPut:
		s.serveWrite(w, r, key, body)
	case r.URL.Path == "/v1/session/create" && r.Method == http.MethodPut:
		s.serveCreateSession(w, body)
	case isRenew && r.Method == http.MethodPut:
		s.serveRenewSession(w, renewedID)
	default:
		http.Error(w, "not part of the stand-in", http.StatusMethodNotAllowed)
	}
}

// delayRequest waits for the injected delay. It aborts the request if the client
// disconnects first.
func (s *Server) delayRequest(r *http.Request) {
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

// abortIfDown aborts the request without a response if Faults.Down is set. The
// caller holds the lock.
func (s *Server) abortIfDown() {
	if s.faults.Down {
		panic(http.ErrAbortHandler)
	}
}

// wakeWatches wakes the waiting watches. The caller holds the lock.
func (s *Server) wakeWatches() {
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
	s.abortIfDown()
	waitTimer := time.NewTimer(wait)
	defer waitTimer.Stop()
	for index > 0 && s.indexOfRead(key) <= index && s.waitForChange(r, waitTimer.C) {
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(s.indexOfRead(key), 10))
	if query.Has("keys") || query.Has("recurse") {
		s.writeList(w, key, query.Has("keys"))
		return
	}
	pair, ok := s.pairs[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, []wirePair{toWirePair(pair)})
}

// waitForChange releases the lock until the state or the faults change. It returns
// false if the timeout expires or the request is cancelled first. The caller
// holds the lock.
func (s *Server) waitForChange(r *http.Request, timeout <-chan time.Time) bool {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	changed, woken := s.changed, true
	s.mu.Unlock()
	select {
	case <-changed:
	case <-timeout:
		woken = false
	case <-r.Context().Done():
		woken = false
	}
	s.mu.Lock()
	s.abortIfDown()
	return woken
}

// indexOfRead returns the index that the response to a read of the key contains:
// the index of the pair, or of the whole store if the key does not exist. The
// caller holds the lock.
func (s *Server) indexOfRead(key string) uint64 {
	if pair, ok := s.pairs[key]; ok {
		return pair.Index
	}
	return max(s.index, 1)
}

// writeList writes the response to a read of all pairs, or only the keys, under a
// prefix. The caller holds the lock.
func (s *Server) writeList(w http.ResponseWriter, prefix string, keysOnly bool) {
	var pairs []wirePair
	var keys []string
	for key, pair := range s.pairs {
		if strings.HasPrefix(key, prefix) {
			pairs, keys = append(pairs, toWirePair(pair)), append(keys, key)
		}
	}
	if len(pairs) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if keysOnly {
		slices.Sort(keys)
		writeJSON(w, keys)
		return
	}
	slices.SortFunc(pairs, func(a, b wirePair) int { return cmp.Compare(a.Key, b.Key) })
	writeJSON(w, pairs)
}

func (s *Server) serveWrite(w http.ResponseWriter, r *http.Request, key string, value []byte) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Writes++
	s.abortIfDown()
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
		expected, err := strconv.ParseUint(query.Get("cas"), 10, 64)
		if err != nil {
			http.Error(w, "bad cas index", http.StatusBadRequest)
			return
		}
		if expected != pair.Index || (expected == 0 && exists) {
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
	s.storePair(next)
	s.abortIfReplyLost()
	fmt.Fprint(w, "true")
}

// storePair stores a pair under a new index. The caller holds the lock.
func (s *Server) storePair(pair toucankv.Pair) {
	if s.pairs == nil {
		s.pairs = make(map[string]toucankv.Pair)
	}
	s.index = max(s.index, 1) + 1
	pair.Index = s.index
	s.pairs[pair.Key] = pair
	s.wakeWatches()
}

// abortIfReplyLost aborts the request without a response if the faults require it.
// The caller holds the lock and has already made the change.
func (s *Server) abortIfReplyLost() {
	if s.faults.DownAfterWrite {
		s.faults.DownAfterWrite, s.faults.Down = false, true
		s.wakeWatches()
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
	ttl, ttlErr := time.ParseDuration(request.TTL)
	if err != nil || ttlErr != nil || ttl < minTTL || ttl > maxTTL {
		http.Error(w, fmt.Sprintf("TTL %q must lie between %s and %s", request.TTL, minTTL, maxTTL), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Sessions++
	s.abortIfDown()
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
	s.abortIfReplyLost()
	writeJSON(w, map[string]string{"ID": id})
}

func (s *Server) serveRenewSession(w http.ResponseWriter, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Sessions++
	s.abortIfDown()
	current := s.sessions[id]
	if current == nil {
		http.Error(w, fmt.Sprintf("Session id %q not found", id), http.StatusNotFound)
		return
	}
	current.timer.Reset(current.ttl)
	s.abortIfReplyLost()
	writeJSON(w, []map[string]string{{"ID": id}})
}

// endSession ends a session and releases or deletes its keys. It reports whether
// the session existed. The caller holds the lock.
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
			s.storePair(pair)
		}
	}
	s.wakeWatches()
	return true
}

// wirePair is the JSON form of a pair. The field names are those of the protocol.
type wirePair struct {
	Key         string
	Value       []byte
	Session     string `json:",omitempty"`
	ModifyIndex uint64
}

func toWirePair(p toucankv.Pair) wirePair {
	return wirePair{Key: p.Key, Value: p.Value, Session: p.Session, ModifyIndex: p.Index}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
