package toucanentry

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucanbackend"
	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
	"toucanhaven/toucanfleet"
	"toucanhaven/toucanmemory"
	"toucanhaven/toucanpeer"
	"toucanhaven/toucanretry"
	"toucanhaven/toucanroute"
	"toucanhaven/toucanserve"
)

// scriptedNodes are nodes of one service. They share a script of results, of which each
// attempt takes the next one, whichever node it reaches.
type scriptedNodes struct {
	mu      sync.Mutex
	script  []toucanpeer.Result
	nextRun int
	asked   []string // names of the nodes in the order of the attempts
}

// scriptedNode is one of the scriptedNodes. It implements toucanpeer.Handler.
type scriptedNode struct {
	*scriptedNodes
	member toucanpeer.Member
}

func (n *scriptedNode) report() toucanpeer.Report {
	return toucanpeer.Report{Serving: true, Limit: 20}
}

func (n *scriptedNode) Run(context.Context, *toucanpeer.Call) toucanpeer.Result {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := toucanpeer.Result{Outcome: toucancall.NotRun, Reason: toucancall.ReasonOverload}
	if n.nextRun < len(n.script) {
		r = n.script[n.nextRun]
	}
	n.nextRun++
	n.asked = append(n.asked, n.member.Node)
	r.Report = n.report()
	return r
}

func (n *scriptedNode) Cancel(string) {}

func (n *scriptedNode) Await(context.Context, toucanpeer.AwaitRequest) toucanpeer.Result {
	return toucanpeer.Result{Outcome: toucancall.Unknown, Reason: toucancall.ReasonConnectionLost}
}

func (n *scriptedNode) Hello(toucanpeer.Hello) toucanpeer.HelloReply {
	return toucanpeer.HelloReply{Self: n.member, Report: n.report()}
}

func (n *scriptedNode) Ping(string, toucanpeer.Ping) toucanpeer.Pong {
	return toucanpeer.Pong{Report: n.report()}
}

func (n *scriptedNode) UpdateMembers(toucanpeer.MemberUpdate) {}

func (n *scriptedNode) RecordDeparture(context.Context, toucanpeer.Departure) bool { return false }
func (n *scriptedNode) WitnessDeparture(toucanpeer.Departure) bool                 { return false }

func (n *scriptedNode) Document() toucanpeer.Document { return toucanpeer.Document{} }

// setScript replaces the script and starts it anew.
func (s *scriptedNodes) setScript(script []toucanpeer.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script, s.nextRun, s.asked = script, 0, nil
}

type noMetrics struct{}

func (noMetrics) Observe(string, int, time.Duration)                 {}
func (noMetrics) CountAttempt(toucancall.Outcome, toucancall.Reason) {}

// newScriptedEntry returns an entry that is connected to count scripted nodes of the
// service orders, and has a route for requests that may run once and one for others.
func newScriptedEntry(t *testing.T, count int) (*Entry, *scriptedNodes) {
	t.Helper()
	clock, log := toucanclock.System{}, slog.New(slog.DiscardHandler)
	runner := toucanbackend.NewRunner(toucanbackend.Options{
		Clock: clock, Log: log, Bodies: &toucanmemory.Budget{}, OnChange: func(toucanbackend.Server) {},
	})
	fleet, nodes := newScriptedFleet(t, runner, count)
	e := &Entry{
		Names: toucanbackend.HeaderNames{RequestID: "X-Request-Id"}, Clock: clock, Log: log, Fleet: fleet, Runner: runner,
		Splitter: toucanroute.NewSplitter(), RetryBudget: toucanretry.NewBudget(clock, 10*time.Second, 1, 100),
		Service: func() string { return "desk" }, Metrics: noMetrics{},
	}
	route := func(name string, repeatable bool) toucanroute.Route {
		return toucanroute.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Repeatable: repeatable, MaxServers: 8,
			Shares: []toucanroute.Share{{Service: "orders", Weight: 1}}, Timeout: 2 * time.Second, Target: time.Second,
		}
	}
	table, err := toucanroute.NewTable(1, []toucanroute.Route{route("once", false), route("read", true)}, []string{"orders"}, toucanroute.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	e.Table.Store(table)
	return e, nodes
}

// newScriptedFleet returns the fleet of an entry that is connected to count scripted nodes.
func newScriptedFleet(t *testing.T, local toucanfleet.LocalReporter, count int) (*toucanfleet.Fleet, *scriptedNodes) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	self := toucanpeer.Member{Node: "entry", Address: "127.0.0.1:1", DataCentre: "dc", Service: "desk"}
	fleet := toucanfleet.New(toucanfleet.Options{
		Clock: toucanclock.System{}, Log: log, Self: self, Local: local,
		Hello:           func(bool) toucanpeer.Hello { return toucanpeer.Hello{From: self} },
		Ping:            func() toucanpeer.Ping { return toucanpeer.Ping{} },
		Version:         func() uint64 { return 0 },
		OnNewerDocument: func(uint64, *toucanpeer.Link, bool) {},
		OnLinkUp:        func(*toucanpeer.Link, bool) {},
		OnReply:         func(toucanpeer.HelloReply) {},
	})
	nodes := new(scriptedNodes)
	for i := range count {
		fleet.PutListed(nodes.start(t, fmt.Sprintf("n%d", i)))
	}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop); fleet.Close() })
	go fleet.Run(stop)
	for began := time.Now(); countUsable(fleet, "orders") < count; time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			t.Fatalf("only %d of %d nodes are connected", countUsable(fleet, "orders"), count)
		}
	}
	return fleet, nodes
}

// start starts a node of the service orders and returns its member record.
func (s *scriptedNodes) start(t *testing.T, name string) toucanpeer.Member {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	m := toucanpeer.Member{
		Node: name, Address: l.Addr().String(), DataCentre: "dc", Service: "orders", Instance: "i-" + name, Serving: true, Slots: 20,
	}
	go toucanpeer.Serve(l, &scriptedNode{scriptedNodes: s, member: m}, toucanpeer.MessageMemory{}, slog.New(slog.DiscardHandler))
	return m
}

// countUsable returns the number of members of a service that can be chosen.
func countUsable(f *toucanfleet.Fleet, service string) int {
	var excluded []string
	for {
		target, ok := f.Choose(service, "", time.Second, excluded)
		if !ok {
			return len(excluded)
		}
		f.Done(target, "", 0, toucanpeer.Result{Outcome: toucancall.NotRun, Reason: toucancall.ReasonCancelled})
		excluded = append(excluded, target.Address())
	}
}

// send sends a request of a route and returns the status of its response.
func send(e *Entry, route, id string) int {
	return e.Handle(context.Background(), &toucanserve.Request{
		Method: http.MethodPost, URI: "/" + route + "/1", Path: "/" + route + "/1", Host: "h",
		Header: http.Header{"X-Request-Id": {id}}, Arrived: time.Now(),
	}).Status()
}

// A request of which any attempt may have reached a backend server must not get status 503.
func TestRequestThatMayHaveRunIsNotRefused(t *testing.T) {
	f, err := os.Open("testdata/outcomes.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line, _, _ := strings.Cut(lines.Text(), "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		t.Run(fields[0], func(t *testing.T) {
			is := is.New(t)
			want, err := strconv.Atoi(fields[2])
			is.NoErr(err)
			e, nodes := newScriptedEntry(t, 8) // an entry of its own, as failures make an entry throttle
			nodes.setScript(parseScript(t, fields[3:]))
			is.Equal(send(e, fields[1], t.Name()), want)
		})
	}
}

// Asking a node again for a request that its backend server refused uses up attempts, as
// the node has recorded the refusal.
func TestNoNodeIsAskedTwiceForARequest(t *testing.T) {
	is := is.New(t)
	e, nodes := newScriptedEntry(t, 3)
	for i := range 20 {
		nodes.setScript(parseScript(t, []string{"not_run/backend_refused*6"}))
		is.Equal(send(e, "once", fmt.Sprintf("r%d", i)), http.StatusServiceUnavailable)
		slices.Sort(nodes.asked)
		is.Equal(nodes.asked, []string{"n0", "n1", "n2"})
	}
}

// parseScript returns the results of a script: each word is an outcome, the reason or the
// status after a slash, and how often it comes after an asterisk.
func parseScript(t *testing.T, words []string) (script []toucanpeer.Result) {
	t.Helper()
	for _, w := range words {
		w, times, repeated := strings.Cut(w, "*")
		count := 1
		if repeated {
			n, err := strconv.Atoi(times)
			if err != nil {
				t.Fatal(err)
			}
			count = n
		}
		outcome, detail, _ := strings.Cut(w, "/")
		r := toucanpeer.Result{Outcome: toucancall.Outcome(outcome), Reason: toucancall.Reason(detail), MayRepeat: true}
		if status, err := strconv.Atoi(detail); err == nil {
			r.Status, r.Reason = status, ""
		}
		for range count {
			script = append(script, r)
		}
	}
	return script
}

// A refusal that a node of an earlier version passes on as an answer must not get that status.
func TestRefusalOfEarlierNodeIsNotPassedOn(t *testing.T) {
	e, nodes := newScriptedEntry(t, 1)
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			nodes.setScript([]toucanpeer.Result{{Outcome: toucancall.Answered, Status: status}})
			is.New(t).Equal(send(e, "once", t.Name()), http.StatusBadGateway)
		})
	}
}
