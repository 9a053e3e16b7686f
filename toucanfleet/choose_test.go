package toucanfleet

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
	"toucanhaven/toucanpeer"
)

type idleReporter struct{}

func (idleReporter) Report() toucanpeer.Report { return toucanpeer.Report{} }

// newFleet returns the fleet of a node in data centre "a". It has one connected
// member of the service "s" for each letter of dataCentres, which names the
// member's data centre.
func newFleet(dataCentres string) (*Fleet, *toucanclock.Manual) {
	clock := toucanclock.NewManual(time.Unix(1000, 0))
	f := New(Options{Clock: clock, Log: slog.New(slog.DiscardHandler), Self: toucanpeer.Member{Node: "self", Address: "self", DataCentre: "a", Service: "other"}, Local: idleReporter{}})
	for i, dc := range dataCentres {
		n := &node{
			link: toucanpeer.NewLink("127.0.0.1:1", func() toucanpeer.Hello { return toucanpeer.Hello{} }, nil, f, toucanpeer.MessageMemory{}), connected: true, listed: true,
			report: toucanpeer.Report{Serving: true, Limit: 10}, reportedAt: clock.Now(),
		}
		m := toucanpeer.Member{Node: fmt.Sprint(i), Address: fmt.Sprint(i), DataCentre: string(dc), Service: "s", Serving: true}
		f.nodes[m.Address] = n
		f.setMember(n, m)
	}
	return f, clock
}

// callShares returns the share of calls that Choose sends to each member. It
// calls done with the target of each call.
func callShares(f *Fleet, done func(t Target)) map[string]float64 {
	const calls = 1000
	counts := make(map[string]float64)
	for range calls {
		t, ok := f.Choose("s", "r", time.Second, nil)
		if ok {
			counts[t.Node] += 1.0 / calls
			done(t)
		}
	}
	return counts
}

func TestMembersOfSameDataCentreArePreferred(t *testing.T) {
	is := is.New(t)
	f, _ := newFleet("abb")
	answered := func(t Target) {
		f.Done(t, "r", 50*time.Millisecond, toucanpeer.Result{Outcome: toucancall.Answered, Status: 200})
	}
	is.True(callShares(f, answered)["0"] > 0.95)
	f.nodes["0"].otherCalls = 10 // full
	is.True(callShares(f, answered)["0"] < 0.1)
	f.nodes["0"].otherCalls = 0
	f.nodes["0"].report.Failures = 0.5
	is.True(callShares(f, answered)["0"] < 0.1)
	f.nodes["0"].report.Failures = 0
	f.nodes["0"].report.Duration, f.nodes["1"].report.Duration, f.nodes["2"].report.Duration = 900*time.Millisecond, 30*time.Millisecond, 30*time.Millisecond
	f.routes["r"] = routeStats{latency: 0.4}
	is.True(callShares(f, answered)["0"] < 0.1) // slow
}

func TestLoadIsSpread(t *testing.T) {
	is := is.New(t)
	f, _ := newFleet("bbb")
	inFlight := 0
	shares := callShares(f, func(t Target) {
		if inFlight++; inFlight > 12 { // the first 12 calls stay in flight
			f.Done(t, "r", time.Millisecond, toucanpeer.Result{Outcome: toucancall.Answered, Status: 200})
		}
	})
	for _, s := range shares {
		is.True(s > 0.2)
	}
}

func TestUnavailableMembersAreExcluded(t *testing.T) {
	is := is.New(t)
	f, _ := newFleet("aaa")
	f.LinkDown("0", nil)
	f.nodes["1"].report.Serving = false
	target, ok := f.Choose("s", "r", time.Second, nil)
	is.True(ok)
	is.Equal(target.Node, "2")
	_, ok = f.Choose("s", "r", time.Second, []string{"2"})
	is.True(!ok)
	_, ok = f.Choose("nobody", "r", time.Second, nil)
	is.True(!ok)
	is.Equal(f.CountServing("s"), 1)
}

// The entry of a node in the store expires when the node cannot reach the store.
// A member whose link is connected must stay in use.
func TestConnectedUnlistedMemberIsKept(t *testing.T) {
	is := is.New(t)
	f, clock := newFleet("ab")
	f.SetListed(nil)
	clock.Advance(time.Minute)
	f.tickLinks()
	is.Equal(f.CountServing("s"), 2)
	f.nodes["0"].connected = false
	f.tickLinks()
	is.Equal(len(f.byService["s"]), 1)
}

// A node that restarts after its backend server left must learn of the departure
// from other nodes, even when it has already sent them its own new record without
// a backend server.
func TestDepartureIsKeptAcrossNodeRestart(t *testing.T) {
	is := is.New(t)
	f, _ := newFleet("a")
	m := f.nodes["0"].member
	m.Instance, m.Born = "i-1", 100
	f.PutConnected(m)
	m.Left, m.Serving = true, false
	f.PutConnected(m)
	fresh := toucanpeer.Member{Node: "0", Address: "0", DataCentre: "a", Service: "s"}
	f.PutConnected(fresh)
	is.Equal(f.LastKnown("0").Instance, "i-1")
	is.True(f.LastKnown("0").Left)
	fresh.Instance, fresh.Born = "i-2", 200
	f.PutConnected(fresh)
	is.Equal(f.LastKnown("0").Instance, "i-2")
}
