// Package toucanbalance chooses a backend server for each call to a service.
package toucanbalance

import (
	"time"

	"toucanhaven/toucancall"
)

// State says whether a backend server may receive new calls. The set is closed.
type State string

const (
	// Alive servers receive calls.
	Alive State = "alive"
	// Suspect servers receive calls only when no server is alive.
	Suspect State = "suspect"
	// Leaving servers receive no calls.
	Leaving State = "leaving"
)

// Server is one backend server of a service as an entry knows it.
type Server struct {
	ID          string // control address of the node beside it
	Incarnation int64  // start time of that node in nanoseconds
	PeerAddress string
	DataCentre  string
	State       State
}

// Result is what the entry learned from one call.
type Result struct {
	Latency time.Duration
	Target  time.Duration // latency target of the class; 0 means the default class
	Outcome toucancall.Outcome
	Reason  toucancall.Reason
	Status  int // HTTP status of an answered call; 0 means unknown
	// Load is the running and queued calls of the backend server as a share of
	// its concurrency limit; 1 means full with an empty queue.
	Load      float64
	LoadKnown bool
}

// verdict is how a result counts against its server.
type verdict string

const (
	verdictGood    verdict = "good"
	verdictFailure verdict = "failure"
	verdictShed    verdict = "shed"    // refused for load; the server is full, not broken
	verdictLeaving verdict = "leaving" // no further calls
	verdictNone    verdict = "none"    // says nothing about the server
)

// firstServerError is the lowest HTTP status that blames the server. A server
// that answers errors at once would otherwise look like the fastest one.
const firstServerError = 500

func (r Result) verdict() verdict {
	switch r.Outcome {
	case toucancall.Answered:
		if r.Status >= firstServerError {
			return verdictFailure
		}
		return verdictGood
	case toucancall.Failed:
		return verdictFailure
	case toucancall.Unknown:
		if r.Reason == toucancall.ReasonCancelled || r.Reason == toucancall.ReasonKeyUnknown ||
			r.Reason == toucancall.ReasonAnswerForgotten || r.Reason == toucancall.ReasonNotForwarded {
			return verdictNone
		}
		return verdictFailure
	}
	switch r.Reason {
	case toucancall.ReasonConnect, toucancall.ReasonConnectionLost:
		return verdictFailure
	case toucancall.ReasonOverload, toucancall.ReasonBackendRefused:
		return verdictShed
	case toucancall.ReasonLeaving:
		return verdictLeaving
	}
	return verdictNone
}
