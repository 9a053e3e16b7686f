package toucannode

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucancall"
	"toucanhaven/toucanconn"
)

// rawBackend is a backend server that writes raw bytes. It reads one request,
// writes the answer and closes the connection.
type rawBackend struct {
	net.Listener
	requests atomic.Int64
	hang     chan struct{} // the connection stays open until hang is closed
}

func newRawBackend(t *testing.T, answer string, hang bool) *rawBackend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &rawBackend{Listener: l, hang: make(chan struct{})}
	if !hang {
		close(b.hang)
	} else {
		t.Cleanup(func() { close(b.hang) })
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c, answer)
		}
	}()
	return b
}

func (b *rawBackend) serve(c net.Conn, answer string) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	b.requests.Add(1)
	io.Copy(io.Discard, req.Body)
	io.WriteString(c, answer)
	<-b.hang
}

// TestOutcomes checks that each fault of a backend server ends in the one
// correct outcome, seen through one node and through two. A request that ran
// must be logged once, and a request that did not run must not be logged as
// run.
func TestOutcomes(t *testing.T) {
	long := strings.Repeat("x", 40_000)
	tests := []struct {
		name, answer string
		hang         bool
		want         string // outcome and reason
		status       int
		runs         int    // request_run lines
		logged       string // part of the line
	}{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, "answered", 200, 1, "outcome=answered"},
		{"whole_chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, "answered", 200, 1, "outcome=answered"},
		{"error_status", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false, "answered", 503, 1, "outcome=answered"},
		{"not_run", "HTTP/1.1 503 Busy\r\nToucan-Not-Run: true\r\nContent-Length: 0\r\n\r\n", false, "not_run backend_refused", 503, 0, ""},
		{"not_run_wrong_status", "HTTP/1.1 500 Busy\r\nToucan-Not-Run: true\r\nContent-Length: 0\r\n\r\n", false, "answered", 500, 1, "outcome=answered"},
		{"forged_outcome", "HTTP/1.1 200 OK\r\nToucan-Outcome: not_run\r\nContent-Length: 0\r\n\r\n", false, "answered", 200, 1, "outcome=answered"},
		{"no_answer", "", false, "unknown connection_lost", 504, 1, "outcome=unknown"},
		{"half_status_line", "HTTP/1.1 20", false, "unknown connection_lost", 504, 1, "outcome=unknown"},
		{"half_header", "HTTP/1.1 200 OK\r\nContent-Le", false, "unknown connection_lost", 504, 1, "outcome=unknown"},
		{"garbage", "no http at all\r\n\r\n", false, "unknown connection_lost", 504, 1, "outcome=unknown"},
		{"half_body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", false, "failed connection_lost", 502, 1, "outcome=failed"},
		{"no_body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", false, "failed connection_lost", 502, 1, "outcome=failed"},
		{"no_length", "HTTP/1.1 200 OK\r\n\r\nhalf", false, "failed connection_lost", 502, 1, "outcome=failed"},
		{"upgrade", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", false, "failed connection_lost", 502, 1, "outcome=failed"},
		{"half_long_body", "HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n" + long, false, "broken", 0, 1, "outcome=failed"},
		{"half_chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false, "broken", 0, 1, "outcome=failed"},
		{"deadline", "", true, "unknown deadline", 504, 1, "outcome=unknown"},
		{"deadline_half_body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true, "failed deadline", 502, 1, "outcome=failed"},
		{"huge_header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", toucanconn.MaxHeaderBytes+1) + "\r\n\r\n", false, "unknown connection_lost", 504, 1, "outcome=unknown"},
	}
	for _, tt := range tests {
		for _, hops := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s/%d", tt.name, hops), func(t *testing.T) {
				is := is.New(t)
				f := newTestFleet(t)
				b := newRawBackend(t, tt.answer, tt.hang)
				node := f.startNode("", nil)
				node.announceBackend("ordini", b.Addr().String())
				entry := node
				if hops == 2 {
					entry = f.startNode("", nil)
				}
				got, status := f.doBreakable(entry, "POST", "/orders", "300")
				if late := "unknown deadline"; hops == 2 && tt.name == "deadline_half_body" && got == late {
					got, status = tt.want, tt.status // the entry timed out before the reply of the peer arrived
				}
				is.Equal(got, tt.want)
				is.Equal(status, tt.status)
				is.Equal(b.requests.Load(), int64(1))
				await(t, func() bool { return node.local.runCount() == 0 })
				runs := f.log.lines("request_run")
				is.Equal(len(runs), tt.runs)
				is.Equal(len(f.log.lines("request_start")), 1)
				is.Equal(len(f.log.lines("request_not_run")), 1-tt.runs)
				if tt.runs == 1 {
					is.True(strings.Contains(runs[0], tt.logged))
				}
			})
		}
	}
}

// doBreakable sends a request whose answer may break off. It returns "broken"
// if only the broken connection shows that the answer is incomplete.
func (f *testFleet) doBreakable(n *Node, method, path, timeout string) (outcome string, status int) {
	f.t.Helper()
	req, err := http.NewRequest(method, "http://"+n.Addresses().Caller+path, strings.NewReader("cup"))
	if err != nil {
		f.t.Fatal(err)
	}
	req.GetBody = nil
	req.Header.Set(toucancall.HeaderService, "ordini")
	req.Header.Set(toucancall.HeaderTimeout, timeout)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return "broken", 0
	}
	return strings.TrimSpace(resp.Header.Get(toucancall.HeaderOutcome) + " " + resp.Header.Get(toucancall.HeaderReason)), resp.StatusCode
}

// await polls until a condition that another goroutine brings about is true.
func await(t testing.TB, ready func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out")
		}
	}
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestRefusedConnectionIsNotRun checks that a call is reported as not run if no
// connection could be made.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	t.Run("backend", func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(t)
		node := f.startNode("", nil)
		node.announceBackend("ordini", closedAddress(t))
		got, status := f.doBreakable(node, "POST", "/orders", "1000")
		is.Equal(got, "not_run connect")
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(len(f.log.lines("request_run")), 0)
		is.Equal(len(f.log.lines("backend_down")), 1)
		is.Equal(f.directory.BackendServers(t.Context(), "ordini")[0].State, toucanbalance.Leaving)
	})
	t.Run("peer", func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(t)
		f.directory.Announce("ordini", toucanbalance.Server{ID: "gone", PeerAddress: closedAddress(t), State: toucanbalance.Alive})
		got, _ := f.doBreakable(f.startNode("", nil), "POST", "/orders", "1000")
		is.Equal(got, "not_run connect")
	})
	t.Run("service", func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(t)
		got, _ := f.doBreakable(f.startNode("", nil), "POST", "/orders", "1000")
		is.Equal(got, "not_run no_backend")
	})
}

// TestClosedIdleConnection guards against a second run and against a failed
// call if the backend server closed a pooled connection.
func TestClosedIdleConnection(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(t)
			b := newRawBackend(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false)
			node := f.startNode("", nil)
			node.announceBackend("ordini", b.Addr().String())
			for i := range 50 {
				got, _ := f.doBreakable(node, method, "/orders", "1000")
				is.Equal(got, "answered")
				is.Equal(b.requests.Load(), int64(i+1))
				// The connection is in the pool; wait until its close is received.
				await(t, func() bool {
					c := node.backends.Pop(b.Addr().String())
					if c == nil {
						return true
					}
					node.backends.Put(c)
					return !c.Usable()
				})
			}
		})
	}
}

// TestBrokenConnectionIsNotRetried guards against a hidden second sending of a
// request whose connection the server closed while it was in flight. Its
// outcome is unknown.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	b := newRawBackend(t, "", false)
	node := f.startNode("", nil)
	node.announceBackend("ordini", b.Addr().String())
	got, _ := f.doBreakable(node, "POST", "/orders", "1000")
	is.Equal(got, "unknown connection_lost")
	is.Equal(b.requests.Load(), int64(1))
}

// TestCancellationReachesTheEndOfTheChain checks that every run of a call chain
// is cancelled if the caller disconnects.
func TestCancellationReachesTheEndOfTheChain(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	reached, cancelled := make(chan struct{}), make(chan struct{})
	f.startNode("magazzino", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(reached)
		<-r.Context().Done()
		close(cancelled)
	}))
	var ordini *Node
	var ready sync.WaitGroup
	ready.Add(1)
	ordini = f.startNode("ordini", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ready.Wait()
		// This backend server ignores the cancellation of its own request.
		req, _ := http.NewRequest("GET", "http://"+ordini.Addresses().Caller+"/stock", nil)
		req.Header.Set(toucancall.HeaderService, "magazzino")
		req.Header.Set(toucancall.HeaderParent, r.Header.Get(toucancall.HeaderParent))
		if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
			resp.Body.Close()
		}
	}))
	ready.Done()
	entry := f.startNode("", nil)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+entry.Addresses().Caller+"/orders", strings.NewReader("cup"))
	is.NoErr(err)
	req.Header.Set(toucancall.HeaderService, "ordini")
	done := make(chan error)
	go func() {
		_, err := http.DefaultTransport.RoundTrip(req)
		done <- err
	}()
	<-reached
	cancel()
	is.True(errors.Is(<-done, context.Canceled))
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		t.Fatal("the run at the end of the chain was not cancelled")
	}
	await(t, func() bool { return len(f.log.lines("request_run")) == 2 })
	for _, line := range f.log.lines("request_run") {
		is.True(strings.Contains(line, "outcome=unknown reason=cancelled"))
	}
}
