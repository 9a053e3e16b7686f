package toucannode

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucanresponse/toucanresponsetest"
)

// respondingServer answers each request with the current answer.
type respondingServer struct {
	answer atomic.Pointer[string]
	kept   bool // connections are kept open
}

func (s *respondingServer) serve(c *scriptedConn) {
	for c.readRequest() != nil {
		io.WriteString(c, *s.answer.Load())
		if !s.kept {
			return
		}
	}
}

// answerPaths are the ways that an answer takes to a caller.
var answerPaths = []struct {
	name             string
	success, refusal string // fields of a success and of a refusal
	hops             int    // nodes between caller and server; 0 if the server stands in for a node
}{
	{name: "server/1", refusal: "Toucan-Not-Run: true\r\n", hops: 1},
	{name: "server/2", refusal: "Toucan-Not-Run: true\r\n", hops: 2},
	{name: "node", success: "Toucan-Outcome: answered\r\n", refusal: "Toucan-Outcome: not_run\r\nToucan-Reason: overload\r\n"},
}

// startResponding starts a server behind a number of nodes and returns the node that callers
// use.
func startResponding(t *testing.T, s *respondingServer, hops int) *Node {
	f := newTestFleet(t)
	l := newScriptedBackend(t, s.serve)
	if hops > 0 {
		return f.startHops(l, hops)
	}
	f.directory.Announce("ordini", toucanbalance.Server{ID: "peer", PeerAddress: l.Addr().String(), State: toucanbalance.Alive})
	return f.startNode("", nil)
}

// TestBrokenAnswerIsNotWhole guards against an answer that is not HTTP and reaches the caller
// framed as whole, or as the promise that its request did not run.
func TestBrokenAnswerIsNotWhole(t *testing.T) {
	for _, path := range answerPaths {
		t.Run(path.name, func(t *testing.T) {
			t.Parallel()
			s := &respondingServer{}
			node := startResponding(t, s, path.hops)
			for _, c := range toucanresponsetest.Broken() {
				for _, answer := range []string{c.Response("200 OK", path.success, "ok"), c.Response("503 Busy", path.refusal, "no")} {
					s.answer.Store(&answer)
					got := rawExchange(t, node, "POST", "1.1")
					if got.whole && (got.status < 500 || !strings.HasPrefix(got.outcome, "unknown ") && !strings.HasPrefix(got.outcome, "failed ")) {
						t.Errorf("%s: %.60q: the caller got %+v", c.Name, answer, got)
					}
					if !got.whole && !c.InBody() {
						t.Errorf("%s: %.60q: the caller got no outcome", c.Name, answer)
					}
				}
			}
			sound := toucanresponsetest.Sound()[0].Response("200 OK", path.success, "ok")
			s.answer.Store(&sound)
			if got := rawExchange(t, node, "POST", "1.1"); got.outcome != "answered" {
				t.Errorf("after broken answers the caller got %+v", got)
			}
		})
	}
}

// TestInvalidStatusKeepsSlots guards against a status below 100 that is passed on as that of an
// interim answer, which makes http.Server panic: the caller gets no outcome, and the slot of the
// call is lost.
func TestInvalidStatusKeepsSlots(t *testing.T) {
	const slots = 20 // the concurrency limit at the start
	s := &respondingServer{}
	node := startResponding(t, s, 1)
	for i := range slots + 1 {
		answer := "HTTP/1.1 000 Zero\r\n\r\n"
		s.answer.Store(&answer)
		if got := rawExchange(t, node, "POST", "1.1"); got.outcome != "unknown connection_lost" {
			t.Fatalf("call %d: the caller got %+v", i, got)
		}
	}
	answer := wholeAnswer
	s.answer.Store(&answer)
	if got := rawExchange(t, node, "POST", "1.1"); got.outcome != "answered" {
		t.Errorf("after invalid statuses the caller got %+v", got)
	}
}

// TestSoundAnswerIsWhole guards against a check that refuses an allowed form of an answer.
func TestSoundAnswerIsWhole(t *testing.T) {
	for _, path := range answerPaths {
		t.Run(path.name, func(t *testing.T) {
			t.Parallel()
			s := &respondingServer{kept: true}
			node := startResponding(t, s, path.hops)
			for _, c := range toucanresponsetest.Sound() {
				answer := c.Response("200 OK", path.success, "ok")
				s.answer.Store(&answer)
				if got := rawExchange(t, node, "POST", "1.1"); !got.whole || got.status >= 500 && got.status != 599 || got.body != "ok" || got.outcome != "answered" {
					t.Errorf("%s: the caller got %+v", c.Name, got)
				}
			}
		})
	}
}
