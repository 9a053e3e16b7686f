// Package toucanbackend runs calls at the backend server beside the node.
//
// It tracks the heartbeats of the server, limits the concurrent calls, queues
// further calls by priority and runs each call at most once.
package toucanbackend

import "time"

// State is the state that a backend server announces. The set is closed.
type State string

const (
	// Ready means that the server takes calls.
	Ready State = "ready"
	// Draining means that the server finishes its calls and takes no new ones.
	Draining State = "draining"
)

// Heartbeat is a message of a backend server about its state.
type Heartbeat struct {
	Instance string // id of the server
	Service  string
	Address  string
	Slots    int // number of requests that it processes concurrently
	State    State
	Sequence uint64 // increases with each heartbeat since the server started
	Born     int64  // start time of the server, in Unix milliseconds of its own clock
}

func (h Heartbeat) start() start { return start{h.Instance, h.Born} }

// Server is the latest start of the backend server that is known.
type Server struct {
	Heartbeat           // newest heartbeat
	HeardAt   time.Time // arrival of the heartbeat
	Left      bool      // this start announced its departure
}

// Serving reports whether the server may be sent calls.
func (s Server) Serving() bool { return s.Instance != "" && !s.Left && s.State == Ready }
