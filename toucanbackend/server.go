// Package toucanbackend runs calls at the backend server beside the node: it
// follows the server's heartbeats, limits and orders the calls, and runs each at
// most once.
package toucanbackend

import (
	"time"
)

// State is what a backend server says of itself. The set is closed.
type State string

const (
	// Ready servers take calls.
	Ready State = "ready"
	// Draining servers finish their calls and take no new ones.
	Draining State = "draining"
)

// Heartbeat is one message of a backend server about itself.
type Heartbeat struct {
	Instance           string // id of the server
	Service            string
	Address            string
	Slots              int // requests that it processes at the same time
	State              State
	SlowStartRemaining time.Duration // rest of its slow start
	Sequence           uint64        // grows with each heartbeat of one start of the server
	Born               int64         // start of the server, Unix milliseconds of its own clock
}

// silentTime is the silence of a server after which one that claims an earlier
// start is believed: the clock that tells the start may have been set back.
const silentTime = 4 * time.Second

// Server is the backend server as its newest heartbeat describes it.
type Server struct {
	Heartbeat
	HeardAt time.Time
	Left    bool // it said that it leaves; holds until the next start
}

// Serving reports whether the server may be sent calls.
func (s Server) Serving() bool { return s.Instance != "" && !s.Left && s.State == Ready }

// Verdict says what a heartbeat changed. The set is closed.
type Verdict string

const (
	// Current heartbeats were taken.
	Current Verdict = "current"
	// Restarted heartbeats come from a new start of the server.
	Restarted Verdict = "restarted"
	// Late heartbeats are older than what is known and change nothing.
	Late Verdict = "late"
)

// Observe returns the server after a heartbeat. A heartbeat of an earlier start,
// or sent before the newest one, changes nothing.
func (s Server) Observe(h Heartbeat, now time.Time) (Server, Verdict) {
	if s.Instance != h.Instance || s.Born != h.Born {
		if s.Instance != "" && h.Born < s.Born && now.Sub(s.HeardAt) < silentTime {
			return s, Late
		}
		return Server{Heartbeat: h, HeardAt: now, Left: h.State == Draining}, Restarted
	}
	if h.Sequence <= s.Sequence && s.Sequence != 0 {
		return s, Late
	}
	return Server{Heartbeat: h, HeardAt: now, Left: s.Left || h.State == Draining}, Current
}

// MarkLeft returns the server after it said that it is gone. born is 0 when the
// message did not tell which start it speaks of.
func (s Server) MarkLeft(instance string, born int64) (Server, Verdict) {
	if s.Instance != instance || born != 0 && born != s.Born {
		return s, Late
	}
	s.Left = true
	return s, Current
}
