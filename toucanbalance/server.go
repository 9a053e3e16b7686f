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

// Server is one backend server of a service in an entry's view.
type Server struct {
	ID          string // control address of the node beside it
	Incarnation int64  // start time of that node in nanoseconds
	PeerAddress string
	DataCentre  string
	State       State
}

// Result is the result of one call to a backend server.
type Result struct {
	Latency time.Duration
	Target  time.Duration // latency target of the class; 0 means the default class
	Outcome toucancall.Outcome
	Reason  toucancall.Reason
	Status  int // HTTP status of an answered call; 0 means unknown
	// Load is the number of running and queued calls of the backend server divided
	// by its concurrency limit; 1 means full with an empty queue.
	Load      float64
	LoadKnown bool
}

// verdict classifies a result by what it says about the server.
type verdict string

const (
	verdictGood    verdict = "good"
	verdictFailure verdict = "failure"
	verdictShed    verdict = "shed"    // refused by load shedding; the server is overloaded, not failing
	verdictLeaving verdict = "leaving" // the server takes no further calls
	verdictNone    verdict = "none"    // says nothing about the server
)

// firstServerError is the lowest HTTP status that counts as a failure of the
// server. A server that answers every call with an error at once would otherwise
// look like the fastest one.
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
		if r.Reason == toucancall.ReasonUnprovenRefusal {
			return verdictShed
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
