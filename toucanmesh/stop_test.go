package toucanmesh_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/platform/platformtest"
)

// stoppingNode is a node that stops while its backend server runs a call of another node
// until the end of the grace time.
type stoppingNode struct {
	*testNode
	stock   *platformtest.Backend // beside another node; serves the routes but "hold"
	stopped time.Time             // when the shutdown began
	done    chan struct{}         // closed when Stop has returned
}

// Routes to the service stock, by the time in which its backend server answers.
var stockRoutes = []struct {
	name, kind string
	timeout    time.Duration
	answer     time.Duration
}{
	{"quick", "safe", 300 * time.Millisecond, 0},
	{"slow", "safe", 1500 * time.Millisecond, 1400 * time.Millisecond},
	{"once", "unsafe", 1500 * time.Millisecond, 1400 * time.Millisecond},
	{"long", "safe", 4 * time.Second, 3800 * time.Millisecond},
}

func newStoppingNode(t *testing.T) *stoppingNode {
	hold := platformtest.Route{Name: "hold", Prefix: "/hold/", Type: "safe", Services: map[string]int{"orders": 1}, TimeoutS: 15, TargetS: 0.5}
	routes := []platformtest.Route{hold}
	for _, r := range stockRoutes {
		routes = append(routes, platformtest.Route{
			Name: r.name, Prefix: "/" + r.name + "/", Type: r.kind, Services: map[string]int{"stock": 1}, TimeoutS: r.timeout.Seconds(), TargetS: 0.5,
		})
	}
	s := newDeployment(t, routes...)
	entry, home := s.startNode("a", "stock"), s.startNode("b", "orders")
	entry.awaitServed("/hold/")
	home.awaitServed("/quick/")
	entry.backend.Slots = 400
	entry.sendHeartbeat("ready", http.StatusOK)
	entry.backend.SetAnswer(func(w io.Writer, r *http.Request) {
		for _, route := range stockRoutes {
			if r.URL.Path == "/"+route.name+"/1" {
				time.Sleep(route.answer)
			}
		}
		platformtest.RespondOK(w, r)
	})
	home.backend.SetAnswer(platformtest.RespondAfter(2 * home.settings.Grace.Duration))
	c, err := net.Dial("tcp", entry.settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	io.WriteString(c, requestText("GET", "/hold/1", "hold", 15*time.Second, ""))
	awaitCondition(t, "the call of the other node runs", func() bool { return home.backend.Runs("hold") == 1 })
	return &stoppingNode{testNode: home, stock: entry.backend, done: make(chan struct{})}
}

// stop begins the shutdown.
func (n *stoppingNode) stop() {
	n.testNode.stopped, n.stopped = true, time.Now()
	go func() {
		defer close(n.done)
		n.Stop()
	}()
}

// sinceStop returns the time since the shutdown began.
func (n *stoppingNode) sinceStop() time.Duration { return time.Since(n.stopped) }

// dial connects to the address for callers.
func (n *stoppingNode) dial(t *testing.T) net.Conn {
	c, err := net.Dial("tcp", n.settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// lateRequest is a request to a stopping node.
type lateRequest struct {
	id     string
	behind bool          // sent behind another one on its connection
	sent   time.Duration // since the shutdown began
	took   time.Duration
	response
}

// send sends requests on a connection in one write and waits for their responses.
func (n *stoppingNode) send(c net.Conn, route string, ids ...string) []lateRequest {
	text := ""
	for _, id := range ids {
		text += requestText("POST", "/"+route+"/1", id, 5*time.Second, "")
	}
	sent := n.sinceStop()
	_, err := io.WriteString(c, text)
	r := bufio.NewReader(c)
	var all []lateRequest
	for i, id := range ids {
		l := lateRequest{id: id, behind: i > 0, sent: sent, response: response{err: err}}
		if err == nil {
			l.response = readResponse(r)
		}
		l.took = n.sinceStop() - sent
		all = append(all, l)
	}
	return all
}

// lossSlack is the time after which a request that was read may no longer be cut.
const lossSlack = 200 * time.Millisecond

// checkAnswered checks that a request was answered if it was passed on, and that it was
// refused or its connection closed soon otherwise.
func (n *stoppingNode) checkAnswered(t *testing.T, l lateRequest) {
	runs := n.stock.Runs(l.id)
	switch {
	case runs > 0 && (l.err != nil || l.status != http.StatusOK):
		t.Errorf("request %s, sent %v after the stop, reached a backend server and got status %d, error %v after %v", l.id, l.sent, l.status, l.err, l.took)
	case l.err == nil && runs == 0 && (l.status != http.StatusServiceUnavailable || l.header.Get("Retry-After") == ""):
		t.Errorf("request %s, sent %v after the stop, did not run and got status %d, header %v", l.id, l.sent, l.status, l.header)
	case l.err != nil && !l.behind && l.took > lossSlack:
		t.Errorf("request %s, sent %v after the stop, got error %v after %v", l.id, l.sent, l.err, l.took)
	}
}

// A stopping node must pass on no request that it would cut at its end.
func TestStoppingNodeCutsNoForwardedRequest(t *testing.T) {
	const interval = 50 * time.Millisecond
	n := newStoppingNode(t)
	grace := n.settings.Grace.Duration
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []lateRequest
	start := func(c net.Conn, route string, at time.Duration, ids ...string) {
		wg.Go(func() {
			time.Sleep(at - n.sinceStop())
			if c == nil {
				var err error
				if c, err = net.Dial("tcp", n.settings.CallerAddress); err != nil {
					return
				}
				defer c.Close()
			}
			got := n.send(c, route, ids...)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, got...)
		})
	}
	kept := make(map[time.Duration]net.Conn)
	for at := time.Duration(0); at < grace; at += interval {
		kept[at] = n.dial(t)
		n.send(kept[at], "quick", fmt.Sprintf("kept-%v", at))
	}
	n.stop()
	for at := time.Duration(0); at < grace; at += interval {
		start(kept[at], "once", at, fmt.Sprintf("once-%v", at))
		for _, route := range []string{"quick", "slow", "once"} {
			start(nil, route, at, fmt.Sprintf("%s-new-%v", route, at))
		}
		start(nil, "slow", at, fmt.Sprintf("first-%v", at), fmt.Sprintf("second-%v", at))
	}
	wg.Wait()
	<-n.done
	for _, l := range all {
		n.checkAnswered(t, l)
	}
}

// A stopping node must not pass on a call that may last beyond its end because earlier calls of the
// route were fast: the server that works on it would be cut (review/8).
func TestStoppingNodeCutsNoCallThatTakesLongerThanEarlierOnes(t *testing.T) {
	const interval = 100 * time.Millisecond
	n := newStoppingNode(t)
	n.stock.SetAnswer(platformtest.RespondOK)
	for i := range 20 {
		n.send(n.dial(t), "slow", fmt.Sprintf("fast-%d", i))
	}
	n.stock.SetAnswer(platformtest.RespondAfter(1400 * time.Millisecond))
	n.stop()
	var wg sync.WaitGroup
	for at := n.settings.Grace.Duration/2 + interval; at < n.settings.Grace.Duration; at += interval {
		wg.Go(func() {
			time.Sleep(at - n.sinceStop())
			c, err := net.Dial("tcp", n.settings.CallerAddress)
			if err != nil {
				return
			}
			defer c.Close()
			n.checkAnswered(t, n.send(c, "slow", fmt.Sprintf("slow-%v", at))[0])
		})
	}
	wg.Wait()
	<-n.done
}

// A stopping node must not refuse a call of its backend server that can still end in time.
func TestStoppingNodeServesCallsThatEndInTime(t *testing.T) {
	is := is.New(t)
	n := newStoppingNode(t)
	n.stop()
	for n.sinceStop() < n.settings.Grace.Duration-time.Second {
		id := fmt.Sprintf("quick-%v", n.sinceStop())
		got := n.send(n.dial(t), "quick", id)[0]
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
	<-n.done
}

// A stopping node must pass on no request behind one that may last beyond its end.
func TestStoppingNodeCutsNoPipelinedRequest(t *testing.T) {
	is := is.New(t)
	n := newStoppingNode(t)
	c := n.dial(t)
	n.stop()
	_, err := io.WriteString(c, requestText("GET", "/long/1", "first", 5*time.Second, ""))
	is.NoErr(err)
	time.Sleep(n.settings.Grace.Duration/2 + 200*time.Millisecond)
	_, err = io.WriteString(c, requestText("GET", "/quick/1", "second", 5*time.Second, ""))
	is.NoErr(err)
	<-n.done
	is.Equal(n.stock.Runs("first"), 1)
	is.Equal(n.stock.Runs("second"), 0)
}

// A complete response must not be cut with the request before it on its connection, which runs
// until the end of a stopping node.
func TestStoppingNodeAnswersBehindRequestThatOutlastsIt(t *testing.T) {
	is := is.New(t)
	n := newStoppingNode(t)
	c := n.dial(t)
	n.stop()
	_, err := io.WriteString(c, requestText("GET", "/long/1", "first", 5*time.Second, "")+requestText("GET", "/quick/1", "second", 5*time.Second, ""))
	is.NoErr(err)
	r := bufio.NewReader(c)
	first := readResponse(r)
	is.NoErr(first.err)
	is.Equal(first.status, http.StatusBadGateway)
	is.True(n.sinceStop() > n.settings.Grace.Duration-time.Second) // it had the time that there was
	second := readResponse(r)
	is.NoErr(second.err)
	is.Equal(second.status, http.StatusOK)
	is.Equal(second.body, "body of /quick/1")
	<-n.done
	is.True(n.sinceStop() < n.settings.Grace.Duration)
	is.Equal(n.stock.Runs("second"), 1)
}

// A stopping node must take no call of another node that may last beyond its end, whether or not
// earlier ones were fast: one that may run only once cannot be sent elsewhere afterwards.
func TestStoppingNodeTakesNoRunThatOutlastsIt(t *testing.T) {
	const duration = 2500 * time.Millisecond
	for _, fastBefore := range []bool{false, true} {
		t.Run(fmt.Sprintf("fast_before=%v", fastBefore), func(t *testing.T) {
			route := unsafeRoute()
			route.TimeoutS = 6
			s := newDeployment(t, route)
			entry, home, spare := s.startNode("a", "stock"), s.startNode("b", "orders"), s.startNode("c", "orders")
			entry.awaitServed("/order/")
			setDuration := func(d time.Duration) {
				for _, m := range []*testNode{home, spare} {
					m.backend.SetAnswer(platformtest.RespondAfter(d))
				}
			}
			for _, m := range []*testNode{home, spare} {
				m.awaitServed("/order/")
				m.backend.Slots = 400
				m.sendHeartbeat("ready", http.StatusOK)
			}
			if !fastBefore {
				setDuration(duration)
			}
			send := func(id string) response {
				c, err := net.Dial("tcp", entry.settings.CallerAddress)
				if err != nil {
					return response{err: err}
				}
				defer c.Close()
				io.WriteString(c, requestText("POST", "/order/1", id, 6*time.Second, ""))
				return readResponse(bufio.NewReader(c))
			}
			var wg sync.WaitGroup
			for i := range 200 { // enough for the mean duration of the runs
				wg.Go(func() { send(fmt.Sprintf("before-%d", i)) })
			}
			wg.Wait()
			setDuration(duration)
			home.stopped = true
			wg.Go(home.Stop)
			for i := range 40 {
				time.Sleep(50 * time.Millisecond)
				wg.Go(func() {
					if got := send(fmt.Sprintf("during-%d", i)); got.err != nil || got.status != http.StatusOK {
						t.Errorf("request %d got status %d, error %v", i, got.status, got.err)
					}
				})
			}
			wg.Wait()
		})
	}
}

// A request that a stopping node has passed on must not be cut by the end of another node that
// began to stop before it, also if it may run again: there is no time left then to send it elsewhere.
func TestStopDuringStopOfAnotherNode(t *testing.T) {
	const duration = 2600 * time.Millisecond
	route := safeRoute()
	route.TimeoutS = 3
	s := newDeployment(t, route)
	entry, home, spare := s.startNode("a", "stock"), s.startNode("b", "orders"), s.startNode("c", "orders")
	for _, m := range []*testNode{home, spare} { // the node uses both, and the mean duration of their runs is short
		awaitCondition(t, "the server is used", func() bool {
			entry.awaitServed("/read/")
			return m.backend.RequestCount() >= 30
		})
	}
	home.backend.SetAnswer(platformtest.RespondAfter(duration))
	spare.backend.SetAnswer(platformtest.RespondAfter(duration))
	var wg sync.WaitGroup
	home.stopped, entry.stopped = true, true
	wg.Go(home.Stop)
	time.Sleep(time.Second)
	wg.Go(entry.Stop)
	time.Sleep(100 * time.Millisecond)
	for i := range 10 {
		wg.Go(func() {
			if got := entry.send("GET", "/read/1", fmt.Sprintf("during-%d", i)); got.err != nil || got.status != http.StatusOK {
				t.Errorf("request %d got status %d, error %v", i, got.status, got.err)
			}
		})
	}
	wg.Wait()
}

// A node whose store does not answer must still end within its grace time, also with work
// in progress.
func TestStopEndsWithinGraceWithoutStore(t *testing.T) {
	is := is.New(t)
	n := newStoppingNode(t)
	n.deployment.store.SetFault(platformtest.Unresponsive)
	n.stop()
	<-n.done
	is.True(n.sinceStop() < n.settings.Grace.Duration)
}
