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

// TestRepeatedRefusalOnKeptConnection guards against the outcome "not run" for a
// request that ran, taken from a refusal that a backend server wrote again.
func TestRepeatedRefusalOnKeptConnection(t *testing.T) {
	plain := func(answer string, _ *http.Request) string { return answer }
	tests := []struct {
		name          string
		copiesAtOnce  int           // written with the refusal
		copiesLater   int           // written laterDelay after the refusal
		copiesRead    int           // written once the next request was read
		copiesAfter   int           // written with the answer of the next request
		otherFirst    bool          // an answered request comes first on the connection
		runTime       time.Duration // of the next request, after the copies
		name1stAnswer func(string, *http.Request) string
	}{
		{name: "none", name1stAnswer: plain},
		{name: "at_once", copiesAtOnce: 1, name1stAnswer: plain},
		{name: "at_once_several", copiesAtOnce: 3, name1stAnswer: plain},
		{name: "while_idle", copiesLater: 1, name1stAnswer: plain},
		{name: "while_idle_several", copiesLater: 3, name1stAnswer: plain},
		{name: "after_next_request", copiesRead: 1, name1stAnswer: plain},
		{name: "after_next_request_several", copiesRead: 3, name1stAnswer: plain},
		{name: "after_next_request_long_run", copiesRead: 1, runTime: 20 * time.Millisecond, name1stAnswer: plain},
		{name: "after_next_request_other_first", copiesRead: 1, otherFirst: true, name1stAnswer: plain},
		{name: "after_next_answer", copiesAfter: 1, name1stAnswer: plain},
		{name: "after_next_answer_several", copiesAfter: 3, name1stAnswer: plain},
		{name: "named_at_once", copiesAtOnce: 1, name1stAnswer: namedAnswer},
		{name: "named_while_idle", copiesLater: 1, name1stAnswer: namedAnswer},
		{name: "named_after_next_request", copiesRead: 1, name1stAnswer: namedAnswer},
		{name: "named_after_next_request_several", copiesRead: 3, name1stAnswer: namedAnswer},
		{name: "named_after_next_answer", copiesAfter: 1, name1stAnswer: namedAnswer},
	}
	for _, tt := range tests {
		for _, method := range []string{"POST", "GET"} {
			for _, nodes := range []int{1, 2, 3} { // the backend server's; with an entry; with a second server
				t.Run(fmt.Sprintf("%s/%s/%d", tt.name, method, nodes), func(t *testing.T) {
					is := is.New(t)
					var mu sync.Mutex
					runs := map[string]int{}
					laterWritten := make(chan struct{}, 100)
					serve := func(c *scriptedConn) {
						refusal, ran := "", tt.otherFirst
						for req := c.readRequest(); req != nil; req = c.readRequest() {
							if c.number == 0 && refusal == "" && !ran {
								refusal = tt.name1stAnswer(refusalAnswer, req)
								io.WriteString(c, strings.Repeat(refusal, 1+tt.copiesAtOnce))
								if tt.copiesLater > 0 {
									time.Sleep(5 * time.Millisecond)
									io.WriteString(c, strings.Repeat(refusal, tt.copiesLater))
								}
								laterWritten <- struct{}{}
								continue
							}
							mu.Lock()
							runs[req.Header.Get(toucancall.HeaderRequestID)]++
							mu.Unlock()
							ran = false
							if refusal != "" {
								io.WriteString(c, strings.Repeat(refusal, tt.copiesRead))
							}
							time.Sleep(tt.runTime)
							io.WriteString(c, wholeAnswer)
							if refusal != "" {
								io.WriteString(c, strings.Repeat(refusal, tt.copiesAfter))
							}
						}
					}
					f := newTestFleet(t)
					node := f.startNode("", nil)
					node.announceBackend("ordini", newScriptedBackend(t, serve).Addr().String())
					entry := node
					if nodes > 1 {
						entry = f.startNode("", nil)
					}
					if nodes == 3 {
						f.startNode("", nil).announceBackend("ordini", newScriptedBackend(t, serve).Addr().String())
					}
					for i := range 10 {
						id := fmt.Sprintf("r%d", i)
						resp, _ := f.do(entry, method, "/orders", strings.NewReader("cup"), toucancall.HeaderRequestID, id, toucancall.HeaderTimeout, "1000")
						mu.Lock()
						n := runs[id]
						mu.Unlock()
						if got := outcome(resp); n > 0 && strings.HasPrefix(got, "not_run") {
							t.Errorf("request %d: status %d, outcome %s, but it ran", i, resp.StatusCode, got)
						}
						if method == "POST" && n > 1 {
							t.Errorf("request %d ran %d times", i, n)
						}
						if i == 0 && !tt.otherFirst && method == "POST" && nodes < 3 {
							is.Equal(outcome(resp), "not_run backend_refused")
							<-laterWritten
						}
						if tt.copiesLater > 0 || tt.copiesAfter > 0 {
							time.Sleep(5 * time.Millisecond) // lets the copies arrive
						}
					}
				})
			}
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
			node := f.startNode("", nil)
			node.announceBackend("ordini", b.Addr().String())
			entry := node
			if hops == 2 {
				entry = f.startNode("", nil)
			}
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
