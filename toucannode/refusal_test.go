package toucannode

import (
	"bufio"
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

	"toucanhaven/toucancall"
)

// scriptedBackend is a backend server whose connections are served by a script.
type scriptedBackend struct {
	net.Listener
	conns atomic.Int64
}

// scriptedConn is one connection to a scriptedBackend.
type scriptedConn struct {
	*net.TCPConn
	number int64 // connections before this one
	in     *bufio.Reader
}

// readRequest reads one request with its body. It returns nil at the end of the
// connection.
func (c *scriptedConn) readRequest() *http.Request {
	req, err := http.ReadRequest(c.in)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return nil
	}
	return req
}

func newScriptedBackend(t *testing.T, serve func(*scriptedConn)) *scriptedBackend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &scriptedBackend{Listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			sc := &scriptedConn{TCPConn: c.(*net.TCPConn), number: b.conns.Add(1) - 1, in: bufio.NewReader(c)}
			go func() {
				defer sc.Close()
				serve(sc)
			}()
		}
	}()
	return b
}

const (
	refusalAnswer = "HTTP/1.1 503 Busy\r\nToucan-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
	wholeAnswer   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

// namedAnswer returns the answer with the token of the call that it belongs to.
func namedAnswer(answer string, req *http.Request) string {
	head, body, _ := strings.Cut(answer, "\r\n\r\n")
	return head + "\r\nToucan-Parent: " + req.Header.Get(toucancall.HeaderParent) + "\r\n\r\n" + body
}

// repeatingBackend refuses the first request on its first connection, or the second one,
// and writes that refusal again later.
type repeatingBackend struct {
	named      bool // the refusal and its copies name their call
	otherFirst bool // an answered request comes first on the connection

	// Copies that are written with the refusal, laterDelay after it, once the next request was
	// read, and with the answer of that request.
	atOnce, later, afterRead, afterAnswer int
	runTime                               time.Duration // of the next request, after the copies

	laterWritten chan struct{} // receives a value when the copies of laterDelay are written
	mu           sync.Mutex
	runs         map[string]int // by request id
}

// laterDelay is the time in which what was written before arrives.
const laterDelay = 5 * time.Millisecond

func (b *repeatingBackend) serve(c *scriptedConn) {
	refusal, ran := "", b.otherFirst
	for req := c.readRequest(); req != nil; req = c.readRequest() {
		if c.number == 0 && refusal == "" && !ran {
			refusal = b.refuse(c, req)
			continue
		}
		b.mu.Lock()
		b.runs[req.Header.Get(toucancall.HeaderRequestID)]++
		b.mu.Unlock()
		ran = false
		io.WriteString(c, strings.Repeat(refusal, b.afterRead))
		time.Sleep(b.runTime)
		io.WriteString(c, wholeAnswer)
		io.WriteString(c, strings.Repeat(refusal, b.afterAnswer))
	}
}

// refuse writes a refusal with the copies that come before the next request, and returns
// the refusal.
func (b *repeatingBackend) refuse(c *scriptedConn, req *http.Request) string {
	refusal := refusalAnswer
	if b.named {
		refusal = namedAnswer(refusal, req)
	}
	io.WriteString(c, strings.Repeat(refusal, 1+b.atOnce))
	if b.later > 0 {
		time.Sleep(laterDelay)
		io.WriteString(c, strings.Repeat(refusal, b.later))
	}
	b.laterWritten <- struct{}{}
	return refusal
}

// check checks the answer to a request against what the backend servers ran.
func (b *repeatingBackend) check(t testing.TB, id, method string, resp *http.Response) {
	b.mu.Lock()
	runs := b.runs[id]
	b.mu.Unlock()
	if got := outcome(resp); runs > 0 && strings.HasPrefix(got, "not_run") {
		t.Errorf("request %s: status %d, outcome %s, but it ran", id, resp.StatusCode, got)
	}
	if method == "POST" && runs > 1 {
		t.Errorf("request %s ran %d times", id, runs)
	}
}

// TestRepeatedRefusalOnKeptConnection guards against the outcome "not run" for a
// request that ran, taken from a refusal that a backend server wrote again.
func TestRepeatedRefusalOnKeptConnection(t *testing.T) {
	for _, tt := range []struct {
		name                                  string
		named, otherFirst                     bool
		atOnce, later, afterRead, afterAnswer int
		runTime                               time.Duration
	}{
		{name: "none"},
		{name: "at_once", atOnce: 1},
		{name: "at_once_several", atOnce: 3},
		{name: "while_idle", later: 1},
		{name: "while_idle_several", later: 3},
		{name: "after_next_request", afterRead: 1},
		{name: "after_next_request_several", afterRead: 3},
		{name: "after_next_request_long_run", afterRead: 1, runTime: 20 * time.Millisecond},
		{name: "after_next_request_other_first", afterRead: 1, otherFirst: true},
		{name: "after_next_answer", afterAnswer: 1},
		{name: "after_next_answer_several", afterAnswer: 3},
		{name: "named_at_once", atOnce: 1, named: true},
		{name: "named_while_idle", later: 1, named: true},
		{name: "named_after_next_request", afterRead: 1, named: true},
		{name: "named_after_next_request_several", afterRead: 3, named: true},
		{name: "named_after_next_answer", afterAnswer: 1, named: true},
	} {
		for _, method := range []string{"POST", "GET"} {
			for _, nodes := range []int{1, 2, 3} { // the backend server's; with an entry; with a second server
				t.Run(fmt.Sprintf("%s/%s/%d", tt.name, method, nodes), func(t *testing.T) {
					b := &repeatingBackend{
						named: tt.named, otherFirst: tt.otherFirst, atOnce: tt.atOnce, later: tt.later, afterRead: tt.afterRead,
						afterAnswer: tt.afterAnswer, runTime: tt.runTime, laterWritten: make(chan struct{}, 100), runs: make(map[string]int),
					}
					f := newTestFleet(t)
					entry := f.startHops(newScriptedBackend(t, b.serve), min(nodes, 2))
					if nodes == 3 {
						f.startNode("", nil).announceBackend("ordini", newScriptedBackend(t, b.serve).Addr().String())
					}
					firstRefused := !tt.otherFirst && method == "POST" && nodes < 3
					f.sendToRepeating(b, entry, method, firstRefused)
				})
			}
		}
	}
}

// sendToRepeating sends requests one after the other and checks the answers.
// firstRefused says that the first one reaches the backend server once and is refused.
func (f *testFleet) sendToRepeating(b *repeatingBackend, entry *Node, method string, firstRefused bool) {
	for i := range 10 {
		id := fmt.Sprintf("r%d", i)
		resp, _ := f.do(entry, method, "/orders", strings.NewReader("cup"), toucancall.HeaderRequestID, id, toucancall.HeaderTimeout, "1000")
		b.check(f.t, id, method, resp)
		if i == 0 && firstRefused {
			if got := outcome(resp); got != "not_run backend_refused" {
				f.t.Fatalf("the refused request has outcome %s", got)
			}
			<-b.laterWritten
		}
		if b.later > 0 || b.afterAnswer > 0 {
			time.Sleep(laterDelay)
		}
	}
}

// TestRefusalNeedsProof checks which refusals of a sound backend server count, and on
// which connections the calls are sent.
func TestRefusalNeedsProof(t *testing.T) {
	tests := []struct {
		name   string
		answer func(string, *http.Request) string
		want   []string // outcomes of the requests in order
		conns  int64
	}{
		{"named", namedAnswer, []string{"not_run backend_refused", "not_run backend_refused", "not_run backend_refused"}, 1},
		{"plain", func(answer string, _ *http.Request) string { return answer },
			[]string{"not_run backend_refused", "unknown unproven_refusal", "not_run backend_refused", "not_run backend_refused"}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := newScriptedBackend(t, func(c *scriptedConn) {
				for req := c.readRequest(); req != nil; req = c.readRequest() {
					io.WriteString(c, tt.answer(refusalAnswer, req))
				}
			})
			f := newTestFleet(t)
			node := f.startNode("", nil)
			node.announceBackend("ordini", b.Addr().String())
			for _, want := range tt.want {
				resp, _ := f.do(node, "POST", "/orders", strings.NewReader("cup"))
				is.Equal(outcome(resp), want)
				is.Equal(resp.Header.Get(toucancall.HeaderParent), "")
			}
			is.Equal(b.conns.Load(), tt.conns)
		})
	}
}

// TestAnswerToAnotherCallIsNotForwarded guards against an answer of an earlier call that
// reaches the caller of a later one.
func TestAnswerToAnotherCallIsNotForwarded(t *testing.T) {
	is := is.New(t)
	b := newScriptedBackend(t, func(c *scriptedConn) {
		earlier := ""
		for req := c.readRequest(); req != nil; req = c.readRequest() {
			if earlier != "" {
				io.WriteString(c, earlier)
			}
			earlier = namedAnswer(wholeAnswer, req)
			io.WriteString(c, earlier)
		}
	})
	f := newTestFleet(t)
	node := f.startNode("", nil)
	node.announceBackend("ordini", b.Addr().String())
	for _, want := range []string{"answered", "unknown connection_lost", "answered"} {
		resp, _ := f.do(node, "POST", "/orders", strings.NewReader("cup"))
		is.Equal(outcome(resp), want)
		is.Equal(resp.Header.Get(toucancall.HeaderParent), "")
	}
}

// TestInterimAnswerHidesNodeFields guards against the token of a running call, or an
// outcome made up by a backend server, reaching the caller in an interim answer.
func TestInterimAnswerHidesNodeFields(t *testing.T) {
	for _, hops := range []int{1, 2} {
		t.Run(fmt.Sprint(hops), func(t *testing.T) {
			is := is.New(t)
			b := newScriptedBackend(t, func(c *scriptedConn) {
				for req := c.readRequest(); req != nil; req = c.readRequest() {
					io.WriteString(c, namedAnswer("HTTP/1.1 103 Early Hints\r\nLink: a\r\nToucan-Outcome: not_run\r\n\r\n", req)+wholeAnswer)
				}
			})
			f := newTestFleet(t)
			entry := f.startHops(b, hops)
			c, err := net.Dial("tcp", entry.Addresses().Caller)
			is.NoErr(err)
			defer c.Close()
			io.WriteString(c, "GET /orders HTTP/1.1\r\nHost: h\r\nToucan-Service: ordini\r\n\r\n")
			interim, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(interim.StatusCode, http.StatusEarlyHints)
			is.Equal(interim.Header.Get("Link"), "a")
			is.Equal(interim.Header.Get(toucancall.HeaderParent), "")
			is.Equal(interim.Header.Get(toucancall.HeaderOutcome), "")
		})
	}
}
