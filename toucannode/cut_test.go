package toucannode

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucancall"
)

// TestCutAnswerIsNotWhole guards against an answer that ended early and reaches the
// caller framed as whole, at whatever byte it ended.
func TestCutAnswerIsNotWhole(t *testing.T) {
	long := strings.Repeat("x", maxBufferedAnswerBytes+100)
	for _, tt := range []struct {
		name, method, answer string
		from                 int // cuts before this byte are left out
	}{
		{"length", "POST", "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\n\r\nhello", 0},
		{"empty", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A: b\r\n\r\n", 0},
		{"chunked", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;ext=1\r\nlo\r\n0\r\n\r\n", 0},
		{"trailer", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n5\r\nhello\r\n0\r\nX-T: 1\r\n\r\n", 0},
		{"after_informational", "POST", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", 0},
		{"no_length", "POST", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", 0},
		{"no_length_http_1_0", "POST", "HTTP/1.0 200 OK\r\nX-A: b\r\n\r\nhello", 0},
		{"no_content", "POST", "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n", 0},
		{"not_modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 0},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\n", 0},
		{"failure", "POST", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno", 0},
		{"long", "POST", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long), len(long)},
		{"long_chunked", "POST", fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long), len(long)},
	} {
		for _, kept := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				for _, hops := range []int{1, 2} {
					t.Run(fmt.Sprintf("%s/kept=%v/reset=%v/%d", tt.name, kept, reset, hops), func(t *testing.T) {
						t.Parallel()
						s := &cuttingServer{answer: tt.answer, kept: kept, reset: reset}
						f := newTestFleet(t)
						entry := f.startHops(newScriptedBackend(t, s.serve), hops)
						for size := tt.from; size < len(tt.answer); size++ {
							s.checkCut(t, entry, tt.method, size)
						}
					})
				}
			}
		}
	}
}

// TestCutRefusalPromisesNothing guards against a refusal of a backend server that ended early
// and reaches the caller as the promise that the request did not run.
func TestCutRefusalPromisesNothing(t *testing.T) {
	for _, tt := range []struct{ name, answer string }{
		{"length", "HTTP/1.1 503 Busy\r\nToucan-Not-Run: true\r\nContent-Length: 5\r\n\r\nlater"},
		{"chunked", "HTTP/1.1 503 Busy\r\nToucan-Not-Run: true\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nlater\r\n0\r\n\r\n"},
	} {
		for _, reset := range []bool{false, true} {
			for _, hops := range []int{1, 2} {
				t.Run(fmt.Sprintf("%s/reset=%v/%d", tt.name, reset, hops), func(t *testing.T) {
					t.Parallel()
					s := &cuttingServer{answer: tt.answer, reset: reset}
					entry := newTestFleet(t).startHops(newScriptedBackend(t, s.serve), hops)
					for size := range len(tt.answer) {
						s.checkCut(t, entry, "POST", size)
					}
					s.size.Store(int64(len(tt.answer)))
					if got := rawExchange(t, entry, "POST", "1.1"); got.outcome != "not_run backend_refused" {
						t.Errorf("whole: the caller got %+v", got)
					}
				})
			}
		}
	}
}

// startHops starts a node beside a backend server, and with two hops an entry before it. It
// returns the node that callers use.
func (f *testFleet) startHops(b net.Listener, hops int) *Node {
	node := f.startNode("", nil)
	node.announceBackend("ordini", b.Addr().String())
	if hops == 1 {
		return node
	}
	return f.startNode("", nil)
}

// cuttingServer closes each connection in the middle of an answer.
type cuttingServer struct {
	answer string
	kept   bool // the answer is the second one on its connection, behind a whole one
	reset  bool // the connection is reset

	size    atomic.Int64 // bytes of the answer that are written
	answers atomic.Int64 // that were cut
}

func (s *cuttingServer) serve(c *scriptedConn) {
	if c.readRequest() == nil {
		return
	}
	if s.kept {
		io.WriteString(c, wholeAnswer)
		if c.readRequest() == nil {
			return
		}
	}
	s.answers.Add(1)
	io.WriteString(c, s.answer[:s.size.Load()])
	if s.reset {
		time.Sleep(2 * time.Millisecond) // lets the bytes arrive before the reset discards them
		c.SetLinger(0)
	}
}

// checkCut checks that a caller of a node gets no whole success and no promise from an
// answer that is cut after size bytes.
func (s *cuttingServer) checkCut(t *testing.T, n *Node, method string, size int) {
	t.Helper()
	s.size.Store(int64(size))
	if s.kept {
		if got := rawExchange(t, n, "POST", "1.1"); got.outcome != "answered" || got.body != "ok" {
			t.Fatalf("the first answer on the connection is %+v", got)
		}
	}
	before := s.answers.Load()
	got := rawExchange(t, n, method, "1.1")
	if s.answers.Load() == before {
		t.Fatalf("%d of %d bytes: the server had no request: %+v", size, len(s.answer), got)
	}
	if got.whole && (got.status < 500 || !strings.HasPrefix(got.outcome, "unknown ") && !strings.HasPrefix(got.outcome, "failed ")) {
		t.Fatalf("%d of %d bytes: the caller got %+v", size, len(s.answer), got)
	}
}

// TestCutAnswerOfNodeIsNotWhole guards against an answer or a refusal of the next node
// that ended early and reaches the caller framed as whole or as a promise.
func TestCutAnswerOfNodeIsNotWhole(t *testing.T) {
	const report = "Toucan-Threshold: 1s/0.9/127\r\nToucan-Load: 0.5\r\nToucan-Retries-Left: 0\r\nToucan-Config-Revision: 1\r\n"
	for _, tt := range []struct{ name, method, answer string }{
		{"length", "POST", "HTTP/1.1 200 OK\r\nToucan-Outcome: answered\r\n" + report + "Content-Length: 5\r\n\r\nhello"},
		{"chunked", "POST", "HTTP/1.1 200 OK\r\nToucan-Outcome: answered\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		{"trailer", "POST", "HTTP/1.1 200 OK\r\nToucan-Outcome: answered\r\nTrailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-T: 1\r\n\r\n"},
		{"no_length", "POST", "HTTP/1.1 200 OK\r\nToucan-Outcome: answered\r\nConnection: close\r\n\r\nhello"},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\nToucan-Outcome: answered\r\nContent-Length: 5\r\n\r\n"},
		{"no_content", "POST", "HTTP/1.1 204 No Content\r\nToucan-Outcome: answered\r\nX-A: b\r\n\r\n"},
		{"refusal", "POST", "HTTP/1.1 503 Service Unavailable\r\nToucan-Outcome: not_run\r\nToucan-Reason: overload\r\n" + report + "Content-Length: 0\r\n\r\n"},
		{"no_outcome", "POST", "HTTP/1.1 503 Service Unavailable\r\nToucan-Not-Run: true\r\nContent-Length: 5\r\n\r\nhello"},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset=%v", tt.name, reset), func(t *testing.T) {
				t.Parallel()
				s := &cuttingServer{answer: tt.answer, reset: reset}
				peer := newScriptedBackend(t, s.serve)
				f := newTestFleet(t)
				f.directory.Announce("ordini", toucanbalance.Server{ID: "peer", PeerAddress: peer.Addr().String(), State: toucanbalance.Alive})
				entry := f.startNode("", nil)
				for size := range len(tt.answer) {
					s.checkCut(t, entry, tt.method, size)
				}
			})
		}
	}
}

// TestCutAnswerToOldCaller guards against an answer of unknown length that ended early
// and looks whole to a caller that knows no chunks.
func TestCutAnswerToOldCaller(t *testing.T) {
	long := strings.Repeat("x", maxBufferedAnswerBytes+100)
	for _, tt := range []struct {
		name, answer string
		whole        int // bytes of the body that must arrive, 0 if it is cut
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", 0},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n", 0},
		{"long", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long)+1, long), 0},
		{"long_chunked", fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(long), long), 0},
		{"whole_chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n0\r\n\r\n", 3},
		{"whole_long_chunked", fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long), len(long)},
	} {
		for _, hops := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s/%d", tt.name, hops), func(t *testing.T) {
				f := newTestFleet(t)
				entry := f.startHops(newRawBackend(t, tt.answer, false), hops)
				got := rawExchange(t, entry, "POST", "1.0")
				if success := got.whole && got.status < 500; success != (tt.whole > 0) || success && len(got.body) != tt.whole {
					t.Errorf("the caller got status %d, outcome %q and %d bytes, whole %v", got.status, got.outcome, len(got.body), got.whole)
				}
			})
		}
	}
}

// rawAnswer is an answer as a caller reads it.
type rawAnswer struct {
	whole         bool
	status        int
	outcome, body string
}

// rawExchange sends a request on a new connection and reads the answer by its framing.
func rawExchange(t *testing.T, n *Node, method, version string) rawAnswer {
	t.Helper()
	c, err := net.Dial("tcp", n.Addresses().Caller)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "%s /orders HTTP/%s\r\nHost: h\r\nToucan-Service: ordini\r\nToucan-Timeout: 2000\r\nContent-Length: 0\r\n\r\n", method, version)
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	for err == nil && resp.StatusCode < http.StatusOK {
		resp, err = http.ReadResponse(in, &http.Request{Method: method})
	}
	if err != nil {
		return rawAnswer{}
	}
	body, err := io.ReadAll(resp.Body)
	return rawAnswer{
		whole: err == nil, status: resp.StatusCode, body: string(body),
		outcome: strings.TrimSpace(resp.Header.Get(toucancall.HeaderOutcome) + " " + resp.Header.Get(toucancall.HeaderReason)),
	}
}
