package toucannode

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucanadmission"
	"toucanhaven/toucanbalance"
	"toucanhaven/toucancall"
)

// TestCallsOfLeavingServerAreRetried checks that a leaving backend server
// refuses new calls as not run, and that their entry then chooses another
// server for them.
func TestCallsOfLeavingServerAreRetried(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	var leavingRuns atomic.Int64
	first := f.startNode("ordini", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { leavingRuns.Add(1) }))
	second := f.startNode("ordini", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "ok") }))
	entry := f.startNode("", nil)
	resp, err := http.Post("http://"+first.Addresses().Admin+"/drain", "", nil)
	is.NoErr(err)
	var s status
	is.NoErr(json.NewDecoder(resp.Body).Decode(&s))
	resp.Body.Close()
	is.True(s.Leaving)
	is.Equal(s.ID, first.ID())
	f.directory.Announce("ordini", first.selfServer(toucanbalance.Alive)) // the directory does not know yet that it is leaving
	for range 20 {
		resp, _ := f.do(entry, "POST", "/orders", strings.NewReader("cup"))
		is.Equal(outcome(resp), "answered")
	}
	is.Equal(len(f.log.lines("request_run")), 20)
	is.Equal(second.local.runCount(), 0)
	resp, _ = f.do(first, "POST", "/orders", strings.NewReader("cup"))
	is.Equal(outcome(resp), "answered") // the node still serves as an entry
	is.Equal(leavingRuns.Load(), int64(0))
	first.announceBackend("ordini", first.local.address)
	is.True(!first.local.leaving) // an announcement ends the drain
}

// TestStopWaitsForRunningCalls checks that a graceful shutdown lets a running
// call, its child call and its answer end, refuses later calls, and then ends
// soon.
func TestStopWaitsForRunningCalls(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	started, release := make(chan struct{}), make(chan struct{})
	f.startNode("magazzino", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "3 left") }))
	var node *Node
	var ready sync.WaitGroup
	ready.Add(1)
	node = f.startNode("ordini", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ready.Wait()
		close(started)
		<-release
		child, body := f.do(node, "GET", "/stock", nil, toucancall.HeaderService, "magazzino",
			toucancall.HeaderParent, r.Header.Get(toucancall.HeaderParent))
		io.WriteString(w, outcome(child)+" "+body)
	}))
	ready.Done()
	entry := f.startNode("", nil)
	type result struct {
		outcome, body string
	}
	answered := make(chan result)
	go func() {
		resp, body := f.do(entry, "POST", "/orders", strings.NewReader("cup"))
		answered <- result{outcome(resp), body}
	}()
	<-started
	stopped := make(chan error)
	go func() { stopped <- node.Stop(context.Background()) }()
	await(t, func() bool {
		return node.stopping.Load() && f.directory.BackendServers(t.Context(), "ordini")[0].State == toucanbalance.Leaving
	})
	resp, _ := f.do(entry, "POST", "/orders", strings.NewReader("cup"))
	is.Equal(outcome(resp), "not_run no_backend")
	close(release)
	is.Equal(<-answered, result{"answered", "answered 3 left"})
	is.NoErr(<-stopped)
	is.Equal(len(f.log.lines("request_run")), 2)
}

// TestStopTimeout checks that Stop returns an error if it exceeds its timeout.
func TestStopTimeout(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	f.settings.StopTimeout = 300 * time.Millisecond
	started, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	node := f.startNode("ordini", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	}))
	req, err := http.NewRequest("GET", "http://"+node.Addresses().Caller+"/", nil)
	is.NoErr(err)
	req.Header.Set(toucancall.HeaderService, "ordini")
	go func() {
		if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
			resp.Body.Close()
		}
	}()
	<-started
	is.True(node.Stop(context.Background()) != nil)
}

// TestStoppingEntryCutsNoForwardedCall guards against an entry that forwards a call late
// in its stop timeout and closes the connection of the caller before the answer.
func TestStoppingEntryCutsNoForwardedCall(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	f.settings.StopTimeout = time.Second
	var lateRuns atomic.Int64
	f.startNode("magazzino", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/late" {
			lateRuns.Add(1)
			time.Sleep(700 * time.Millisecond)
		}
	}))
	started, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	node := f.startNode("ordini", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	}))
	entry := f.startNode("", nil)
	go func() {
		req, err := http.NewRequest("GET", "http://"+entry.Addresses().Caller+"/", nil)
		if err != nil {
			t.Error(err)
			return
		}
		req.Header.Set(toucancall.HeaderService, "ordini")
		if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
			resp.Body.Close()
		}
	}()
	<-started
	stopped := make(chan error)
	go func() { stopped <- node.Stop(context.Background()) }()
	await(t, node.stopping.Load)
	time.Sleep(500 * time.Millisecond)
	resp, _ := f.do(node, "POST", "/late", nil, toucancall.HeaderService, "magazzino", toucancall.HeaderTimeout, "1000")
	is.Equal(outcome(resp), "not_run leaving")
	is.Equal(lateRuns.Load(), int64(0))
	resp, _ = f.do(node, "POST", "/", nil, toucancall.HeaderService, "magazzino", toucancall.HeaderTimeout, "100")
	is.Equal(outcome(resp), "answered")
	is.True(<-stopped != nil)
}

// TestChildCallsInherit checks that a child call carries the identity of its
// parent whatever its own headers say, and that it gets no more than the lent
// part of the retry allowance and of the time.
func TestChildCallsInherit(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	var got http.Header
	var arrived time.Time
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got, arrived = r.Header.Clone(), time.Now()
		w.Header().Set(toucancall.HeaderOutcome, "answered")
		w.Header().Set(toucancall.HeaderThreshold, "7.5")
		w.Header().Set(toucancall.HeaderRetriesLeft, "99")
	}))
	defer peer.Close()
	f.directory.Announce("magazzino", toucanbalance.Server{ID: "m", PeerAddress: peer.Listener.Addr().String(), State: toucanbalance.Alive})
	n := f.startNode("", nil)
	call := toucancall.Call{
		RequestID: "r1", Service: "ordini", Tenant: "shop7", Class: "place_order", Rank: 9, Level: 4,
		Deadline: time.Now().Add(2 * time.Second), Retries: 3, Depth: 1,
	}
	p := newParent(call)
	n.parents.add(p)
	resp, _ := f.do(n, "GET", "/stock", nil, toucancall.HeaderService, "magazzino", toucancall.HeaderParent, p.token,
		toucancall.HeaderTenant, "other", toucancall.HeaderRank, "0", toucancall.HeaderLevel, "0", toucancall.HeaderRetries, "3",
		toucancall.HeaderRequestID, "r2", toucancall.HeaderTimeout, "60000")
	is.Equal(outcome(resp), "answered")
	child, err := toucancall.FromNode(got, arrived)
	is.NoErr(err)
	is.True(child.Deadline.Sub(call.Deadline) < time.Second) // sending the remaining time takes a moment
	child.Deadline = time.Time{}
	is.Equal(child, toucancall.Call{
		RequestID: "r1", Service: "magazzino", Tenant: "shop7", Class: "place_order", Rank: 9, Level: 4, Retries: 1, Depth: 2,
	})
	is.Equal(got.Get(toucancall.HeaderParent), "")
	left, threshold := p.finalReport()
	is.Equal(left, 3) // a faulty peer cannot return more retries than it was lent
	is.Equal(threshold, toucanadmission.Threshold{Rank: 7, Level: 5})

	p.call.Depth = toucancall.MaxDepth
	resp, _ = f.do(n, "GET", "/stock", nil, toucancall.HeaderService, "magazzino", toucancall.HeaderParent, p.token)
	is.Equal(outcome(resp), "not_run too_deep")
}

// TestAttemptsAreBounded checks that the retry allowance of a request bounds
// its attempts, whatever fails.
func TestAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	for range 10 {
		b := newRawBackend(t, "", false)
		node := f.startNode("", nil)
		node.announceBackend("ordini", b.Addr().String())
	}
	got, _ := f.doBreakable(f.startNode("", nil), "GET", "/orders", "2000")
	is.Equal(got, "unknown connection_lost")
	is.True(len(f.log.lines("request_run")) > 1)
	is.True(len(f.log.lines("request_run")) <= 1+toucancall.MaxRetries)
}

func TestAdminListener(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	plain := f.startNode("", nil)
	f.settings.Pprof = true
	profiled := f.startNode("", nil)
	get := func(n *Node, method, path, body string) int {
		req, err := http.NewRequest(method, "http://"+n.Addresses().Admin+path, strings.NewReader(body))
		is.NoErr(err)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		resp.Body.Close()
		return resp.StatusCode
	}
	is.Equal(get(plain, "GET", "/healthz", ""), 200)
	is.Equal(get(plain, "GET", "/debug/pprof/", ""), 404)
	is.Equal(get(profiled, "GET", "/debug/pprof/", ""), 200)
	is.Equal(get(plain, "POST", "/announce", `{"service":"ordini","address":"127.0.0.1:0"}`), 400)
	is.Equal(get(plain, "POST", "/announce", `{"service":"","address":"127.0.0.1:1"}`), 400)
	is.Equal(get(plain, "POST", "/announce", `not json`), 400)
	is.Equal(get(plain, "POST", "/announce", `{"service":"ordini","address":"127.0.0.1:1"}`), 204)
	is.Equal(f.directory.BackendServers(t.Context(), "ordini")[0].ID, plain.ID())
	is.Equal(get(plain, "GET", "/announce", ""), 405)
}

// TestKeysAtALeavingNode checks that a key that ran gets its answer again, also
// from a leaving node, and that a refused key does not run later.
func TestKeysAtALeavingNode(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	node := f.startNode("ordini", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "order 1") }))
	order := func(key string) string {
		resp, body := f.do(node, "POST", "/orders", strings.NewReader("cup"), toucancall.HeaderIdempotencyKey, key)
		if outcome(resp) == "answered" {
			return body
		}
		return outcome(resp)
	}
	keys := f.issueKeys(node, "2")
	ran, unused := keys[0], keys[1]
	is.Equal(order(ran), "order 1")
	node.drainBackend()
	f.directory.Announce("ordini", node.selfServer(toucanbalance.Alive)) // the directory does not know yet that it is leaving
	is.Equal(order(ran), "order 1")
	is.Equal(order(unused), "not_run leaving")
	node.announceBackend("ordini", node.local.address)
	is.Equal(order(unused), "not_run key_refused")
	is.Equal(len(f.log.lines("request_run")), 1)
}
