package toucancaller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
	"toucanhaven/toucanonce"
)

// testNode stands in for the caller listener of a node. It calls the handlers in
// order, one for each request, and the last one for all further requests.
type testNode struct {
	*httptest.Server
	mu         sync.Mutex
	handlers   []http.HandlerFunc
	requests   []http.Header
	keyFetches int
	home       *toucanonce.Home // issues the keys; nil if none are issued
}

func startTestNode(home *toucanonce.Home, handlers ...http.HandlerFunc) *testNode {
	n := &testNode{home: home, handlers: handlers}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /keys", n.handleKeys)
	mux.HandleFunc("/", n.handleCall)
	n.Server = httptest.NewServer(mux)
	return n
}

func newTestHome() *toucanonce.Home {
	id := toucanonce.Identity{Service: "ordini", Node: "10.0.0.5:7003", Incarnation: 1}
	home, err := toucanonce.NewHome(id, []byte("0123456789abcdef"), toucanclock.System{})
	if err != nil {
		log.Fatal(err)
	}
	return home
}

func (n *testNode) address() string { return n.Listener.Addr().String() }

func (n *testNode) handleKeys(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.keyFetches++
	if n.home == nil {
		http.Error(w, "no home is known", http.StatusServiceUnavailable)
		return
	}
	count, _ := strconv.Atoi(r.FormValue("count"))
	var answer keysAnswer
	for _, k := range n.home.Issue(count) {
		answer.Keys = append(answer.Keys, k.String())
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (n *testNode) handleCall(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	handler := n.handlers[min(len(n.requests), len(n.handlers)-1)]
	n.requests = append(n.requests, r.Header.Clone())
	n.mu.Unlock()
	handler(w, r)
}

// receivedHeaders returns the headers of the requests so far.
func (n *testNode) receivedHeaders() []http.Header {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requests
}

func respondAnswered(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(toucancall.HeaderOutcome, string(toucancall.Answered))
		fmt.Fprint(w, body)
	}
}

func respondOutcome(o toucancall.Outcome, reason toucancall.Reason, status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(toucancall.HeaderOutcome, string(o))
		w.Header().Set(toucancall.HeaderReason, string(reason))
		w.WriteHeader(status)
	}
}

var (
	respondRefused      = respondOutcome(toucancall.NotRun, toucancall.ReasonOverload, 503)
	respondUnknown      = respondOutcome(toucancall.Unknown, toucancall.ReasonConnectionLost, 504)
	respondNotForwarded = respondOutcome(toucancall.Unknown, toucancall.ReasonNotForwarded, 504)
)

// respondKeyed marks the outcome as one that holds for all attempts with the key.
func respondKeyed(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(toucancall.HeaderKeyed, "true")
		h(w, r)
	}
}

// respondRaw writes text to the connection and closes it.
func respondRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		fmt.Fprint(conn, text)
		conn.Close()
	}
}

func newTestClient(t testing.TB, retries int, nodes ...*testNode) *Client {
	t.Helper()
	var addresses []string
	for _, n := range nodes {
		addresses = append(addresses, n.address())
	}
	c, err := New(addresses, WithRetries(retries), WithBackoff(time.Millisecond), WithRand(rand.New(rand.NewPCG(1, 1))))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.CloseIdle)
	return c
}

var (
	getParts       = Request{Service: "ordini", Path: "/parts"}
	unkeyedOrder   = Request{Service: "ordini", Method: "POST", Path: "/orders", Body: []byte("motor")}
	issuedKeyOrder = Request{Service: "ordini", Method: "POST", Path: "/orders", Body: []byte("motor"), AtMostOnce: true}
	reusedKeyOrder = Request{Service: "ordini", Method: "POST", Path: "/orders", IdempotencyKey: "order-1"}
	newKeyOrder    = Request{Service: "ordini", Method: "POST", Path: "/orders", IdempotencyKey: "order-1", NewKey: true}
)

// Guards against an answer that claims more than is known, and against retries that
// could run a request twice or exceed the maximum number of retries.
func TestOutcomes(t *testing.T) {
	refusedOverload, refusedNotForwarded := Refused{Reason: toucancall.ReasonOverload}, Refused{Reason: toucancall.ReasonNotForwarded}
	connectionLost := Unknown{Reason: toucancall.ReasonConnectionLost}
	head := "HTTP/1.1 200 OK\r\nToucan-Outcome: answered\r\n"
	refusal := "HTTP/1.1 503 Busy\r\nToucan-Outcome: not_run\r\nToucan-Reason: overload\r\nContent-Length: 2\r\n\r\nno"
	failed := Failed{Reason: toucancall.ReasonConnectionLost}
	tests := []struct {
		name     string
		retries  int
		request  Request
		handlers []http.HandlerFunc
		want     Answer
		sent     int // requests that the node received
	}{
		{"retries_are_capped", 100, unkeyedOrder, []http.HandlerFunc{respondRefused}, refusedOverload, 4},
		{"no_retries", 0, unkeyedOrder, []http.HandlerFunc{respondRefused}, refusedOverload, 1},
		{"unknown_without_key_is_final", 3, unkeyedOrder, []http.HandlerFunc{respondUnknown}, connectionLost, 1},
		{"unknown_read_is_retried", 3, getParts, []http.HandlerFunc{respondUnknown}, connectionLost, 4},
		{"refusal_after_unknown_read", 1, getParts, []http.HandlerFunc{respondUnknown, respondRefused}, Unknown{Reason: toucancall.ReasonOverload}, 2},
		{"refusal_after_unknown_with_key", 1, issuedKeyOrder, []http.HandlerFunc{respondUnknown, respondRefused}, refusedOverload, 2},
		{"refusal_after_unknown_with_caller_key", 1, newKeyOrder, []http.HandlerFunc{respondUnknown, respondRefused}, Unknown{Reason: toucancall.ReasonOverload}, 2},
		{"keyed_refusal_after_unknown_with_caller_key", 1, newKeyOrder, []http.HandlerFunc{respondUnknown, respondKeyed(respondRefused)}, refusedOverload, 2},
		{"malformed_after_unknown_with_key", 1, issuedKeyOrder, []http.HandlerFunc{respondUnknown, respondOutcome(toucancall.NotRun, toucancall.ReasonBadRequest, 503)},
			Unknown{Reason: toucancall.ReasonBadRequest}, 2},
		{"only_attempt_not_forwarded", 0, issuedKeyOrder, []http.HandlerFunc{respondNotForwarded}, refusedNotForwarded, 1},
		{"every_attempt_not_forwarded", 1, newKeyOrder, []http.HandlerFunc{respondNotForwarded}, refusedNotForwarded, 2},
		{"not_forwarded_after_unknown", 1, issuedKeyOrder, []http.HandlerFunc{respondUnknown, respondNotForwarded}, Unknown{Reason: toucancall.ReasonNotForwarded}, 2},
		{"not_forwarded_with_used_key", 0, reusedKeyOrder, []http.HandlerFunc{respondNotForwarded}, Unknown{Reason: toucancall.ReasonNotForwarded}, 1},
		{"refused_caller_key_is_not_retried", 3, newKeyOrder, []http.HandlerFunc{respondRefused}, refusedOverload, 1},
		{"truncated_length", 0, unkeyedOrder, []http.HandlerFunc{respondRaw(head + "Content-Length: 9\r\n\r\nshort")}, failed, 1},
		{"truncated_chunks", 0, unkeyedOrder, []http.HandlerFunc{respondRaw(head + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n")}, failed, 1},
		{"truncated_refusal", 0, unkeyedOrder, []http.HandlerFunc{respondRaw(strings.TrimSuffix(refusal, "no"))}, connectionLost, 1},
		{"whole_refusal", 0, unkeyedOrder, []http.HandlerFunc{respondRaw(refusal)}, refusedOverload, 1},
		{"end_not_known", 0, unkeyedOrder, []http.HandlerFunc{respondRaw(head + "Connection: close\r\n\r\nshort")}, failed, 1},
		{"no_outcome", 0, unkeyedOrder, []http.HandlerFunc{respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")}, connectionLost, 1},
		{"no_response", 0, newKeyOrder, []http.HandlerFunc{respondRaw("")}, connectionLost, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := startTestNode(newTestHome(), tt.handlers...)
			defer n.Close()
			a, err := newTestClient(t, tt.retries, n).Do(t.Context(), tt.request)
			is.NoErr(err)
			is.Equal(a, tt.want)
			is.Equal(len(n.receivedHeaders()), tt.sent)
		})
	}
}

// Guards against net/http sending a keyed request again by itself when a reused
// connection breaks. The client would count two attempts as one.
func TestTransportDoesNotRetryKeyedRequests(t *testing.T) {
	is := is.New(t)
	n := startTestNode(newTestHome(), respondAnswered("first"), respondRaw(""), respondNotForwarded)
	defer n.Close()
	c := newTestClient(t, 0, n)
	for _, want := range []string{"toucancaller.Answered", "toucancaller.Unknown"} {
		a, err := c.Do(t.Context(), newKeyOrder)
		is.NoErr(err)
		is.Equal(fmt.Sprintf("%T", a), want)
	}
	is.Equal(len(n.receivedHeaders()), 2)
}

// Guards against a retry with another key while the first attempt may have run, and
// against a retry with a key that was refused permanently.
func TestKeysOfRetries(t *testing.T) {
	is := is.New(t)
	n := startTestNode(newTestHome(), respondUnknown, respondRefused, respondAnswered("ok"))
	defer n.Close()
	a, err := newTestClient(t, 3, n).Do(t.Context(), issuedKeyOrder)
	is.NoErr(err)
	is.Equal(string(a.(Answered).Body), "ok")
	key := func(i int) string { return n.receivedHeaders()[i].Get(toucancall.HeaderIdempotencyKey) }
	is.True(key(0) != "")
	is.Equal(key(0), key(1))
	is.True(key(1) != key(2))
	id := func(i int) string { return n.receivedHeaders()[i].Get(toucancall.HeaderRequestID) }
	is.Equal(id(0), id(2))
}

// Guards against a fetch of keys for every request and against two requests with the
// same key.
func TestKeysArePrefetched(t *testing.T) {
	is := is.New(t)
	n := startTestNode(newTestHome(), respondAnswered("ok"))
	defer n.Close()
	c := newTestClient(t, 0, n)
	var group sync.WaitGroup
	for range 2 * DefaultKeys {
		group.Go(func() { _, _ = c.Do(t.Context(), issuedKeyOrder) })
	}
	group.Wait()
	is.Equal(n.keyFetches, 2)
	used := make(map[string]bool)
	for _, h := range n.receivedHeaders() {
		used[h.Get(toucancall.HeaderIdempotencyKey)] = true
	}
	is.Equal(len(used), 2*DefaultKeys)
}

func TestUnknownWithoutIssuedKeyIsFinal(t *testing.T) {
	is := is.New(t)
	n := startTestNode(nil, respondUnknown)
	defer n.Close()
	a, err := newTestClient(t, 3, n).Do(t.Context(), issuedKeyOrder)
	is.NoErr(err)
	is.Equal(a, Unknown{Reason: toucancall.ReasonConnectionLost})
	is.Equal(len(n.receivedHeaders()), 1)
}

func TestUnreachableEntries(t *testing.T) {
	is := is.New(t)
	unreachable, reachable := startTestNode(nil), startTestNode(nil, respondAnswered("ok"))
	defer reachable.Close()
	unreachable.Close()
	a, err := newTestClient(t, 0, unreachable, reachable).Do(t.Context(), unkeyedOrder)
	is.NoErr(err)
	is.Equal(string(a.(Answered).Body), "ok")
	a, err = newTestClient(t, 0, unreachable).Do(t.Context(), unkeyedOrder)
	is.NoErr(err)
	is.Equal(a, Refused{Reason: toucancall.ReasonNotForwarded})
}

func TestDeadline(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	n := startTestNode(nil, func(http.ResponseWriter, *http.Request) { <-release })
	defer n.Close()
	defer close(release)
	c := newTestClient(t, 3, n)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	a, err := c.Do(ctx, unkeyedOrder)
	is.NoErr(err)
	is.Equal(a, Unknown{Reason: toucancall.ReasonDeadline})
	ms, err := strconv.Atoi(n.receivedHeaders()[0].Get(toucancall.HeaderTimeout))
	is.NoErr(err)
	is.True(ms > 0 && ms <= 50)
	a, err = c.Do(ctx, unkeyedOrder)
	is.NoErr(err)
	is.Equal(a, Refused{Reason: toucancall.ReasonDeadline})
}

func TestMalformedRequestsAreErrors(t *testing.T) {
	n := startTestNode(nil, respondAnswered("ok"))
	defer n.Close()
	c := newTestClient(t, 0, n)
	for _, r := range []Request{{Path: "/x"}, {Service: "ordini", Path: "x"}, {Service: "a b", Path: "/x"},
		{Service: "ordini", Path: "/x", IdempotencyKey: "a b"}, {Service: "ordini", Path: "/%zz"}} {
		if _, err := c.Do(t.Context(), r); err == nil {
			t.Errorf("no error for %+v", r)
		}
	}
	if len(n.receivedHeaders()) != 0 {
		t.Errorf("%d malformed requests were sent", len(n.receivedHeaders()))
	}
}

// Guards against an answer or a refusal that ended early and counts as whole, at whatever
// byte it ended.
func TestCutAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nToucan-Outcome: answered\r\n"
	for _, tt := range []struct{ name, method, answer string }{
		{"length", "POST", head + "Content-Length: 5\r\n\r\nhello"},
		{"chunked", "POST", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"},
		{"trailer", "POST", head + "Trailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-T: 1\r\n\r\n"},
		{"no_length", "POST", head + "Connection: close\r\n\r\nhello"},
		{"after_informational", "POST", "HTTP/1.1 103 Early Hints\r\nToucan-Outcome: not_run\r\n\r\n" + head + "Content-Length: 5\r\n\r\nhello"},
		{"head", "HEAD", head + "Content-Length: 5\r\n\r\n"},
		{"no_content", "POST", "HTTP/1.1 204 No Content\r\nToucan-Outcome: answered\r\n\r\n"},
		{"refusal", "POST", "HTTP/1.1 503 Service Unavailable\r\nToucan-Outcome: not_run\r\nToucan-Reason: overload\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var handlers []http.HandlerFunc
			for n := range len(tt.answer) {
				handlers = append(handlers, respondRaw(tt.answer[:n]))
			}
			node := startTestNode(nil, handlers...)
			defer node.Close()
			c := newTestClient(t, 0, node)
			for n := range len(tt.answer) {
				a, err := c.Do(t.Context(), Request{Service: "ordini", Method: tt.method, Path: "/orders"})
				if err != nil {
					t.Fatal(err)
				}
				switch a.(type) {
				case Failed, Unknown:
				default:
					t.Errorf("%d of %d bytes: got %T %+v", n, len(tt.answer), a, a)
				}
			}
		})
	}
}

// Bytes without end, in as many answers as there are calls, must hold no more memory than the
// client was given, and must not keep out whole answers.
func TestAnswersWithoutEnd(t *testing.T) {
	is := is.New(t)
	const head = "HTTP/1.1 200 OK\r\nToucan-Outcome: answered\r\n"
	node := startTestNode(nil, func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		switch r.URL.Path {
		case "/whole":
			io.WriteString(c, head+"Connection: close\r\nContent-Length: 5\r\n\r\nwhole")
			return
		case "/head":
			io.WriteString(c, head+"X-A: ")
		case "/body":
			io.WriteString(c, head+"Connection: close\r\n\r\n")
		case "/length":
			io.WriteString(c, head+"Content-Length: 9999999999\r\n\r\n")
		}
		for {
			if _, err := c.Write(make([]byte, 16<<10)); err != nil {
				return
			}
		}
	})
	defer node.Close()
	c := newTestClient(t, 0, node)
	WithAnswerMemory(4 << 20)(c)
	WithMaxAnswerBytes(3 << 20)(c)
	var most atomic.Int64
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			a, err := c.Do(t.Context(), Request{Service: "ordini", Path: []string{"/head", "/body", "/length"}[i%3]})
			if _, answered := a.(Answered); err != nil || answered {
				t.Errorf("got %T %+v and error %v", a, a, err)
			}
		})
		wg.Go(func() {
			a, err := c.Do(t.Context(), Request{Service: "ordini", Path: "/whole"})
			if w, answered := a.(Answered); err != nil || !answered || string(w.Body) != "whole" {
				t.Errorf("got %T %+v and error %v", a, a, err)
			}
			most.Store(max(most.Load(), c.answers.Used()))
		})
	}
	wg.Wait()
	is.True(most.Load() <= 4<<20)
	is.Equal(c.answers.Used(), int64(0))
}

// An answer to HEAD has a length but no body.
func TestAnswerToHead(t *testing.T) {
	is := is.New(t)
	node := startTestNode(nil, respondRaw("HTTP/1.1 200 OK\r\nToucan-Outcome: answered\r\nContent-Length: 5\r\n\r\n"))
	defer node.Close()
	a, err := newTestClient(t, 0, node).Do(t.Context(), Request{Service: "ordini", Method: "HEAD", Path: "/orders"})
	is.NoErr(err)
	answer, answered := a.(Answered)
	is.True(answered)
	is.Equal(answer.Header.Get("Content-Length"), "5")
	is.Equal(len(answer.Body), 0)
}
