package toucanbalance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
)

func newTestPicker(options ...Option) (*Picker, *toucanclock.Manual) {
	clock := toucanclock.NewManual(time.Unix(1000, 0))
	return New(clock, rand.New(rand.NewPCG(1, 2)), "10.0.0.9:7000", "a", options...), clock
}

// newTestServers returns servers s0, s1, ..., assigned to the data centres round
// robin.
func newTestServers(n int, dataCentres ...string) []Server {
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{
			ID: fmt.Sprintf("s%d", i), Incarnation: 1, State: Alive,
			PeerAddress: fmt.Sprintf("10.0.0.%d:7001", i), DataCentre: dataCentres[i%len(dataCentres)],
		}
	}
	return servers
}

func goodResult(load float64) Result {
	return Result{Latency: 20 * time.Millisecond, Target: time.Second, Outcome: toucancall.Answered, Status: 200, Load: load, LoadKnown: true}
}

func failureResult() Result {
	return Result{Latency: time.Millisecond, Target: time.Second, Outcome: toucancall.Answered, Status: 500, LoadKnown: true}
}

// callCounts makes n calls one after another and returns the number of calls that
// each server received.
func callCounts(p *Picker, clock *toucanclock.Manual, n int, result func(id string) Result) map[string]int {
	got := make(map[string]int)
	for range n {
		s, ok := p.Pick()
		if !ok {
			continue
		}
		got[s.ID]++
		p.Start(s.ID)
		clock.Advance(5 * time.Millisecond)
		p.Done(s.ID, result(s.ID))
	}
	return got
}

// Guards against calls to a leaving or excluded server, and to a suspect server
// while another one is alive.
func TestPickSkipsUnusableServers(t *testing.T) {
	withState := func(states ...State) []Server {
		servers := newTestServers(len(states), "a")
		for i := range states {
			servers[i].State = states[i]
		}
		return servers
	}
	tests := []struct {
		name     string
		servers  []Server
		excluded []string
		want     string // the only server allowed; empty for none
	}{
		{"no server", nil, nil, ""},
		{"leaving", withState(Leaving, Alive), nil, "s1"},
		{"all leaving", withState(Leaving, Leaving), nil, ""},
		{"suspect while another is alive", withState(Suspect, Alive), nil, "s1"},
		{"suspect as last resort", withState(Suspect, Leaving), nil, "s0"},
		{"excluded", withState(Alive, Alive, Alive), []string{"s0", "s2"}, "s1"},
		{"all excluded", withState(Alive, Alive), []string{"s0", "s1"}, ""},
		{"suspect when the alive one is excluded", withState(Suspect, Alive), []string{"s1"}, "s0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p, _ := newTestPicker()
			p.Update(tt.servers)
			for range 50 {
				s, ok := p.Pick(tt.excluded...)
				is.Equal(ok, tt.want != "")
				is.Equal(s.ID, tt.want)
			}
		})
	}
}

// Guards against calls to a leaving server after an update with a view that is
// older than the server's refusal.
func TestLeavingRefusalOverridesOutdatedView(t *testing.T) {
	is := is.New(t)
	p, clock := newTestPicker()
	servers := newTestServers(2, "a")
	p.Update(servers)
	p.Start("s0")
	p.Done("s0", Result{Outcome: toucancall.NotRun, Reason: toucancall.ReasonLeaving})
	p.Update(servers)
	is.Equal(callCounts(p, clock, 50, func(string) Result { return goodResult(0) })["s0"], 0)
	servers[0].Incarnation = 2
	p.Update(servers)
	clock.Advance(DefaultSlowStart)
	is.True(callCounts(p, clock, 50, func(string) Result { return goodResult(0) })["s0"] > 0)
}

// Guards against unnecessary calls to other data centres, and against calls that
// stay in the local data centre although its servers are overloaded or failing.
func TestLocalServersPreferredWithSpillover(t *testing.T) {
	localCalls := func(got map[string]int) int { return got["s0"] + got["s2"] }
	tests := []struct {
		name      string
		result    func(id string) Result
		low, high int // bounds on the local calls of 400
	}{
		{"idle", func(string) Result { return goodResult(0.2) }, 400, 400},
		{"local servers full", func(id string) Result {
			if id == "s0" || id == "s2" {
				return goodResult(1.2)
			}
			return goodResult(0.3)
		}, 0, 200},
		{"all full", func(string) Result { return goodResult(1.2) }, 200, 400},
		{"local servers failing", func(id string) Result {
			if id == "s0" || id == "s2" {
				return failureResult()
			}
			return goodResult(0.3)
		}, 0, 60},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p, clock := newTestPicker()
			p.Update(newTestServers(4, "a", "b"))
			n := localCalls(callCounts(p, clock, 400, tt.result))
			is.True(n >= tt.low)
			is.True(n <= tt.high)
		})
	}
}

// Guards against calls concentrating on a server that fails at once and reports
// itself idle, and against ejecting so many servers that the others become
// overloaded.
func TestFailingServers(t *testing.T) {
	for n := 1; n <= 6; n++ {
		for broken := 1; broken <= n; broken++ {
			t.Run(fmt.Sprintf("%d_of_%d", broken, n), func(t *testing.T) {
				is := is.New(t)
				p, clock := newTestPicker()
				p.Update(newTestServers(n, "a"))
				isBroken := func(id string) bool { return id < fmt.Sprintf("s%d", broken) }
				got := callCounts(p, clock, 2000, func(id string) Result {
					if isBroken(id) {
						return failureResult()
					}
					return goodResult(0.6)
				})
				bad := 0
				for id, calls := range got {
					if isBroken(id) {
						bad += calls
					}
				}
				p.refreshCandidates(clock.Now())
				is.True(len(p.ejected) <= (n+2)/3) // ejected share
				is.True(len(p.local) >= 1)
				if broken*3 <= n {
					is.True(bad < 2000/10) // calls to broken servers
				} else if broken < n {
					is.True(bad < 2000*broken/n)
				}
			})
		}
	}
}

// Guards against a repaired server that stays ejected.
func TestEjectedServerReturns(t *testing.T) {
	is := is.New(t)
	p, clock := newTestPicker()
	p.Update(newTestServers(3, "a"))
	broken := true
	result := func(id string) Result {
		if id == "s0" && broken {
			return failureResult()
		}
		return goodResult(0.3)
	}
	for range 10 { // calls in flight when the server starts to fail
		p.Start("s0")
		p.Done("s0", failureResult())
	}
	is.True(callCounts(p, clock, 500, result)["s0"] <= 2) // probes only
	is.Equal(len(p.ejected), 1)
	broken = false
	callCounts(p, clock, int((maxProbeDelay*2+DefaultSlowStart)/(5*time.Millisecond)), result)
	is.Equal(len(p.ejected), 0)
	is.True(callCounts(p, clock, 600, result)["s0"] > 120)
}

// Guards against a new server that receives its full share of calls at once, and
// against one that receives no calls during slow start.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	p, clock := newTestPicker()
	servers := newTestServers(3, "a")
	result := func(string) Result { return goodResult(0.3) }
	p.Update(servers[:2])
	callCounts(p, clock, 100, result)
	p.Update(servers)
	early := callCounts(p, clock, 300, result)["s2"]
	is.True(early > 0)
	is.True(early < 60)
	clock.Advance(DefaultSlowStart)
	is.True(callCounts(p, clock, 600, result)["s2"] > 140)
}

// Guards against a subset that changes much when one server changes, that has no
// servers of other data centres, or that loads servers unevenly.
func TestSubset(t *testing.T) {
	is := is.New(t)
	servers := newTestServers(500, "a", "b", "c")
	before := Subset("e1", "a", servers, 20)
	is.Equal(len(before), 20)
	local := 0
	for _, s := range before {
		if s.DataCentre == "a" {
			local++
		}
	}
	is.Equal(local, 14)
	removed := before[3].ID
	after := Subset("e1", "a", append(append([]Server(nil), servers[:indexOf(servers, removed)]...), servers[indexOf(servers, removed)+1:]...), 20)
	kept := 0
	for _, s := range before {
		if indexOf(after, s.ID) >= 0 {
			kept++
		}
	}
	is.Equal(kept, 19)
	is.Equal(len(Subset("e1", "z", servers, 20)), 20)
	is.Equal(len(Subset("e1", "a", servers[:7], 20)), 7)
	uses := make(map[string]int)
	for e := range 2000 {
		for _, s := range Subset(fmt.Sprintf("e%d", e), []string{"a", "b", "c"}[e%3], servers, 20) {
			uses[s.ID]++
		}
	}
	for _, s := range servers {
		is.True(uses[s.ID] > 40 && uses[s.ID] < 130) // 80 on average
	}
}

func indexOf(servers []Server, id string) int {
	for i, s := range servers {
		if s.ID == id {
			return i
		}
	}
	return -1
}

func BenchmarkPickDone(b *testing.B) {
	for _, n := range []int{3, 5, 20, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := New(toucanclock.System{}, rand.New(rand.NewPCG(1, 2)), "e1", "a")
			p.Update(newTestServers(n, "a", "b", "c"))
			r := goodResult(0.4)
			b.ReportAllocs()
			for b.Loop() {
				s, _ := p.Pick()
				p.Start(s.ID)
				p.Done(s.ID, r)
			}
		})
	}
}

// Guards against ejecting a server that sheds load.
func TestSheddingServersAreNotEjected(t *testing.T) {
	for _, r := range []Result{
		{Outcome: toucancall.NotRun, Reason: toucancall.ReasonBackendRefused},
		{Outcome: toucancall.Unknown, Reason: toucancall.ReasonUnprovenRefusal},
	} {
		t.Run(string(r.Reason), func(t *testing.T) {
			is := is.New(t)
			p, clock := newTestPicker()
			p.Update(newTestServers(3, "a"))
			for range 50 {
				p.Start("s0")
				clock.Advance(5 * time.Millisecond)
				p.Done("s0", r)
			}
			p.refreshCandidates(clock.Now())
			is.Equal(len(p.ejected), 0)
		})
	}
}
