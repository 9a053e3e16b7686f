package toucanbackend

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulatedStart is one start of the server beside the node. The next one begins after it has ended.
type simulatedStart struct {
	start
	sequence uint64
	leaving  bool // has sent its departure
	acked    bool // the node has acknowledged it
}

// simulatedMessage is a message on its way to the node.
type simulatedMessage struct {
	from     *simulatedStart
	state    State // empty for the message that the server has left
	sequence uint64
}

// simulation plays starts of servers, one after the other at one address, whose messages arrive
// in any order.
type simulation struct {
	healthChecks bool // the servers answer health checks
	setBack      bool // the clock of the VM may be set back between two starts
	starts       starts
	now          time.Time
	wall         int64             // clock of the VM, in milliseconds
	alive        *simulatedStart   // nil if no server runs
	all          []*simulatedStart // oldest first
	inFlight     []simulatedMessage
}

const simulatedInterval = 1500 * time.Millisecond

func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.wall += d.Milliseconds()
}

// restart ends the server that runs and starts another.
func (s *simulation) restart(t *rapid.T) {
	s.advance(time.Millisecond)
	if s.setBack {
		s.wall -= rapid.SampledFrom([]int64{0, 0, 1, 4000, 60_000}).Draw(t, "clock set back by ms")
	}
	next := start{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), s.wall}
	for slices.ContainsFunc(s.all, func(o *simulatedStart) bool { return o.start == next }) {
		next.born++
	}
	s.alive = &simulatedStart{start: next}
	s.all = append(s.all, s.alive)
}

// sendHeartbeat sends a heartbeat of the server that runs.
func (s *simulation) sendHeartbeat() {
	state := Ready
	if s.alive.leaving {
		state = Draining
	}
	s.alive.sequence++
	s.inFlight = append(s.inFlight, simulatedMessage{s.alive, state, s.alive.sequence})
}

// leave sends the departure of the server that runs.
func (s *simulation) leave() {
	s.alive.leaving = true
	s.inFlight = append(s.inFlight, simulatedMessage{from: s.alive})
}

// deliver hands one message to the node, which then makes the health checks that are due.
func (s *simulation) deliver(t *rapid.T) {
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message")
	m := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	if m.state == "" {
		s.starts.markLeft(m.from.start, s.now)
	} else {
		s.starts.observe(Heartbeat{Instance: m.from.instance, Born: m.from.born, State: m.state, Sequence: m.sequence}, s.now)
	}
	m.from.acked = m.from.acked || m.state != Ready
	s.check(t)
}

// check makes a health check. Another message may arrive before its answer has been applied.
func (s *simulation) check(t *rapid.T) {
	if !s.starts.takeCheck() || !s.healthChecks || s.alive == nil {
		return
	}
	defer s.check(t)
	a, leaving := healthAnswer{s.alive.instance, "", s.now}, s.alive.leaving
	s.advance(time.Millisecond)
	if len(s.inFlight) > 0 && rapid.Bool().Draw(t, "message during the check") {
		s.deliver(t)
	}
	if leaving {
		s.starts.failing = a
	} else {
		s.starts.prove(a, s.now)
	}
}

// call sends a call to the server in use. Another server refuses it.
func (s *simulation) call() {
	if s.starts.server.Serving() && s.alive != nil && s.alive.instance != s.starts.server.Instance {
		s.starts.clear()
	}
}

// restartNode replaces the node by one that knows the departures that were acknowledged.
func (s *simulation) restartNode(t *rapid.T) {
	s.starts = starts{heartbeat: simulatedInterval, unproven: true}
	for _, o := range s.all[max(0, len(s.all)-maxDepartures):] {
		if o.acked {
			s.starts.markLeft(o.start, s.now)
		}
	}
	if len(s.all) > 0 {
		o := rapid.SampledFrom(s.all).Draw(t, "recorded start")
		s.starts.recall(Heartbeat{Instance: o.instance, Born: o.born, State: Ready})
	}
}

// serves reports whether the server that runs may be sent calls.
func (s *simulation) serves() bool {
	return s.alive != nil && s.starts.server.Serving() && s.starts.server.Instance == s.alive.instance
}

// In whichever order the messages of successive starts arrive, and however late, no call may
// reach a server whose departure was acknowledged, and a server that takes calls must be in
// use after a few heartbeats.
func TestMessagesOfStartsInAnyOrder(t *testing.T) {
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		checks.Value.Set("10000")
		defer checks.Value.Set(checks.DefValue)
	}
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		seed.Value.Set("1") // runs are reproducible unless another seed is given
		defer seed.Value.Set(seed.DefValue)
	}
	for _, tt := range []struct {
		name                  string
		healthChecks, setBack bool
	}{
		{"health_checks", true, false},
		{"health_checks_and_clock_set_back", true, true},
		{"no_health_checks", false, false}, // with a clock set back nothing would show the order of two starts
	} {
		t.Run(tt.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				playStarts(t, &simulation{
					healthChecks: tt.healthChecks, setBack: tt.setBack,
					starts: starts{heartbeat: simulatedInterval}, now: time.Unix(1000, 0), wall: 1_000_000,
				})
			})
		})
	}
}

func playStarts(t *rapid.T, s *simulation) {
	need := func(ok bool) {
		if !ok {
			t.Skip()
		}
	}
	actions := map[string]func(*rapid.T){
		"restart": func(t *rapid.T) { need(len(s.all) < maxDepartures); s.restart(t) },
		"crash":   func(t *rapid.T) { s.alive = nil },
		"leave":   func(t *rapid.T) { need(s.alive != nil); s.leave() },
		"call":    func(t *rapid.T) { s.call() },
		"restart_node": func(t *rapid.T) {
			s.restartNode(t)
			s.check(t)
		},
		"wait": func(t *rapid.T) {
			s.advance(time.Duration(rapid.SampledFrom([]int{10, 500, 1000, 5000}).Draw(t, "ms")) * time.Millisecond)
		},
		"": func(t *rapid.T) {
			left := s.alive != nil && s.alive.acked
			if left && s.healthChecks && !s.setBack && s.starts.server.Serving() {
				t.Fatalf("start %v is in use after that of %v, which has left", s.starts.server.start(), s.alive.start)
			}
			if left && s.serves() {
				t.Fatalf("server %v is in use as %v, although its departure was acknowledged", s.alive.start, s.starts.server.start())
			}
		},
	}
	for i := range 3 { // heartbeats are the most frequent messages
		actions[fmt.Sprint("heartbeat", i)] = func(t *rapid.T) { need(s.alive != nil); s.sendHeartbeat() }
		actions[fmt.Sprint("deliver", i)] = func(t *rapid.T) { need(len(s.inFlight) > 0); s.deliver(t) }
	}
	t.Repeat(actions)
	for len(s.inFlight) > 0 {
		s.deliver(t)
	}
	if s.alive == nil || s.alive.leaving {
		s.restart(t)
	}
	for i := range 8 {
		s.sendHeartbeat()
		s.deliver(t)
		s.call()
		if i >= 4 && !s.serves() {
			t.Fatalf("server %v is not in use after %d heartbeats, but %v: departed %v, held %v", s.alive.start, i+1, s.starts.server, s.starts.departed, s.starts.held)
		}
		s.advance(simulatedInterval)
	}
}
