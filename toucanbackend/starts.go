package toucanbackend

import (
	"slices"
	"time"
)

const (
	// maxDepartures bounds the departures that a runner remembers.
	maxDepartures = 16
	// maxHeld bounds the starts that are held back.
	maxHeld = 8
	// earlierStartDelay is the time without heartbeats of the server in use after which a
	// start with an earlier start time is accepted, because the clock that gives the start
	// times may have been set back.
	earlierStartDelay = 4 * time.Second
	// departureLifetime is longer than a server continues to run after its departure.
	departureLifetime = 60 * time.Second
	// freshHeartbeatShare is a share of the heartbeat interval. A further heartbeat that
	// arrives at least this long after the first one counts as sent after it.
	freshHeartbeatShare = 0.6
	// maxHealthChecks bounds the health checks for a start after it was first held back and after
	// each departure; then there is one for each of its heartbeats.
	maxHealthChecks = 4
)

// Verdict is the effect of a heartbeat. The set is closed.
type Verdict string

const (
	// Current means that the message was applied.
	Current Verdict = "current"
	// Restarted means that the heartbeat is of a new start of the server and was
	// applied.
	Restarted Verdict = "restarted"
	// Late means that the message does not change which server is in use.
	Late Verdict = "late"
	// Held means that the heartbeat is of a start that may have ended. It takes effect
	// once the server has shown that it takes calls.
	Held Verdict = "held"
)

// start identifies one start of a backend server.
type start struct {
	instance string
	born     int64
}

// departedStart is a start that announced its departure.
type departedStart struct {
	start
	at time.Time // when the departure became known
}

// mayHaveEnded reports whether the start s may be an earlier one than d. The servers beside a
// node follow each other at one address, so a departure ends every start before it. The start
// times give that order, but the clock behind them may have been set back. A server refuses a
// call that is meant for another id, so only a start with the id of d is doubted whatever its
// start time is.
func (d departedStart) mayHaveEnded(s start) bool {
	return s != d.start && (s.instance == d.instance || s.born < d.born)
}

// heldStart is a start that may have ended, with its newest heartbeat.
type heldStart struct {
	Heartbeat
	first time.Time // arrival of its first heartbeat; zero if it is known only from a record
}

// healthAnswer is the answer of a server to a health check.
type healthAnswer struct {
	instance string
	address  string    // that was asked
	asked    time.Time // when the check began
}

// starts orders the starts of the servers beside the node by what they say of themselves.
// It decides which of them is in use:
//
//   - A start that announced its departure is not used again.
//   - A start that a departure of another start may have ended is held back until the server
//     itself shows that it takes calls: by a health check that began after the departure, or
//     by further heartbeats where those cannot be of a server that is leaving.
//   - Otherwise the start with the latest start time is used.
//
// Heartbeats may arrive late and in any order.
type starts struct {
	server   Server
	departed []departedStart // oldest first
	held     []heldStart     // oldest first
	healthy  healthAnswer    // newest answer that the server takes calls
	failing  healthAnswer    // newest answer that it is leaving or failing
	// unproven is set until a server has shown that it takes calls. An earlier start of the
	// node may have acknowledged a departure that is recorded nowhere any more.
	unproven  bool
	checks    int           // health checks that are still due
	heartbeat time.Duration // heartbeat interval
}

// observe applies a heartbeat.
func (s *starts) observe(h Heartbeat, now time.Time) Verdict {
	earlier := s.isEarlier(h, now)
	switch {
	case h.State == Draining:
		return s.observeDraining(h, now)
	case s.hasLeft(h.start()):
		return s.observeDeparted(h, now)
	case earlier && h.Instance == s.server.Instance: // a health check cannot tell them apart
		return Late
	case earlier || !s.isProven(h.start()):
		return s.hold(h, now)
	}
	return s.use(h, now)
}

// isEarlier reports whether a heartbeat is of an earlier start than that in use, by the start
// times. After earlierStartDelay they are not trusted any more.
func (s *starts) isEarlier(h Heartbeat, now time.Time) bool {
	return s.server.Serving() && h.start() != s.server.start() && h.Address == s.server.Address && h.Born < s.server.Born && now.Sub(s.server.HeardAt) < earlierStartDelay
}

// use makes the start of a heartbeat the current one.
func (s *starts) use(h Heartbeat, now time.Time) Verdict {
	verdict := Restarted
	if h.start() == s.server.start() {
		if s.isLate(h) {
			return Late
		}
		verdict = Current
	}
	s.server = Server{Heartbeat: h, HeardAt: now, Left: s.hasLeft(h.start())}
	s.held, s.checks = nil, 0
	return verdict
}

// isLate reports whether a heartbeat of the start in use was sent before the newest one. A start
// that is known from a record or from its departure only has no newest one.
func (s *starts) isLate(h Heartbeat) bool {
	return s.server.Sequence != 0 && h.Sequence <= s.server.Sequence
}

// observeDraining applies a heartbeat of a server that is about to leave.
func (s *starts) observeDraining(h Heartbeat, now time.Time) Verdict {
	if h.start() == s.server.start() && !s.server.Left && s.isLate(h) {
		return Late // it reported later that it is ready
	}
	s.markLeft(h.start(), now)
	return s.observeDeparted(h, now)
}

// observeDeparted applies a heartbeat of a start that has left.
func (s *starts) observeDeparted(h Heartbeat, now time.Time) Verdict {
	if s.server.Instance != "" && h.start() != s.server.start() {
		return Late
	}
	return s.use(h, now)
}

// markLeft applies the departure of a start, of which the node may not have heard. A start
// in use that it may have ended is not used any more.
func (s *starts) markLeft(left start, now time.Time) {
	if s.hasLeft(left) {
		return
	}
	d := departedStart{left, now}
	s.departed = append(s.departed, d)
	s.departed = s.departed[max(0, len(s.departed)-maxDepartures):]
	s.restartProofs(left, now)
	current := s.server
	switch {
	case current.start() == left:
		s.server.Left = true
	case current.Serving() && d.mayHaveEnded(current.start()):
		s.server = Server{Heartbeat: current.Heartbeat, HeardAt: now, Left: true}
		s.server.Instance, s.server.Born, s.server.Sequence = left.instance, left.born, 0
		if left.born < current.Born { // probably a late message of an earlier start
			s.hold(current.Heartbeat, now)
		}
	}
}

// restartProofs begins the proofs of the starts that are held back anew: the heartbeats and
// health checks before a departure show nothing about it.
func (s *starts) restartProofs(left start, now time.Time) {
	s.held = slices.DeleteFunc(s.held, func(h heldStart) bool { return h.start() == left })
	s.checks = maxHealthChecks
	for i, k := range s.held {
		if !k.first.IsZero() {
			s.held[i].first = now
		}
	}
}

func (s *starts) hasLeft(of start) bool {
	return slices.ContainsFunc(s.departed, func(d departedStart) bool { return d.start == of })
}

// isProven reports whether nothing that is known may have ended a start, or a health check
// has shown since that its server takes calls.
func (s *starts) isProven(of start) bool {
	return !s.unproven && !slices.ContainsFunc(s.departed, func(d departedStart) bool { return s.inDoubt(of, d) })
}

func (s *starts) inDoubt(of start, d departedStart) bool {
	return d.mayHaveEnded(of) && (s.healthy.instance != of.instance || s.healthy.asked.Before(d.at))
}

// hold keeps a heartbeat of a start that may have ended, unless it completes the proof that
// the server takes calls.
func (s *starts) hold(h Heartbeat, now time.Time) Verdict {
	i := slices.IndexFunc(s.held, func(k heldStart) bool { return k.start() == h.start() })
	if i < 0 {
		s.held = append(s.held, heldStart{h, now})
		s.held = s.held[max(0, len(s.held)-maxHeld):]
		s.checks = maxHealthChecks
		return Held
	}
	k := &s.held[i]
	if k.first.IsZero() {
		k.first = now
	} else if h.Sequence <= k.Sequence {
		return Late
	}
	k.Heartbeat = h
	fresh := now.Sub(k.first).Seconds() > freshHeartbeatShare*s.heartbeat.Seconds()
	if fresh && !s.isEarlier(h, now) && s.heartbeatsProve(h.start(), now) {
		s.unproven = false
		return s.use(h, now)
	}
	s.checks = max(s.checks, 1)
	return Held
}

// heartbeatsProve reports whether further heartbeats show that a start takes calls: not if
// its id has left later by the start times, and not if the server has said since that it is
// leaving or failing.
func (s *starts) heartbeatsProve(of start, now time.Time) bool {
	for _, d := range s.departed {
		if !s.inDoubt(of, d) {
			continue
		}
		sameID := d.instance == of.instance
		if sameID && of.born < d.born && now.Sub(d.at) < departureLifetime {
			return false
		}
		other := s.failing.instance != "" && s.failing.instance != of.instance
		if (sameID || other) && !s.failing.asked.Before(d.at) {
			return false
		}
	}
	return true
}

// recall holds a server back of which another node or the store has a record, unless it has
// left. It is used without a heartbeat once a health check shows that it takes calls.
func (s *starts) recall(h Heartbeat) {
	known := s.hasLeft(h.start()) || slices.ContainsFunc(s.held, func(k heldStart) bool { return k.start() == h.start() })
	if s.unproven && !known && len(s.held) < maxHeld {
		s.held, s.checks = append(s.held, heldStart{Heartbeat: h}), maxHealthChecks
	}
}

// prove applies an answer to a health check which shows that the server takes calls. It uses
// the start that was held back under the id of the server, if there is one.
func (s *starts) prove(a healthAnswer, now time.Time) {
	s.healthy, s.unproven = a, false
	if s.server.Instance == a.instance && s.server.Serving() { // what was held back has ended
		s.held, s.checks = nil, 0
		return
	}
	var found *heldStart
	for i, k := range s.held {
		if k.Instance == a.instance && k.Address == a.address && s.isProven(k.start()) && (found == nil || k.replaces(*found)) {
			found = &s.held[i]
		}
	}
	if found != nil {
		s.use(found.Heartbeat, now)
	}
}

// replaces reports whether k is to be used in place of another start with its id: one that
// sent heartbeats before one that is known from a record, and the later one of two.
func (k heldStart) replaces(other heldStart) bool {
	if k.first.IsZero() != other.first.IsZero() {
		return other.first.IsZero()
	}
	return k.Born > other.Born
}

// clear removes the server after another one answered at its address.
func (s *starts) clear() {
	if s.healthy.instance == s.server.Instance {
		s.healthy = healthAnswer{}
	}
	s.server = Server{}
}

// bornOf returns the start time of the latest start that is known of a server.
func (s *starts) bornOf(instance string) (born int64, ok bool) {
	if s.server.Instance == instance {
		return s.server.Born, true
	}
	for _, k := range s.held {
		if k.Instance == instance && (!ok || k.Born > born) {
			born, ok = k.Born, true
		}
	}
	return born, ok
}

// takeCheck reports whether a health check is due, and counts it.
func (s *starts) takeCheck() bool {
	if len(s.held) == 0 || s.checks == 0 {
		return false
	}
	s.checks--
	return true
}
