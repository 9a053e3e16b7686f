package toucancall

import (
	"net/http"
	"slices"
	"strings"
)

// Attempts records the attempts to run one request, in order. It is immutable. The zero
// value proves nothing; NewAttempts starts a record.
type Attempts struct {
	complete bool // list has every attempt
	list     []Attempt
}

// NewAttempts returns the record of a request that has not been sent. Each attempt to
// send the request must be added.
func NewAttempts() Attempts { return Attempts{complete: true} }

// Attempt is one sending of a request to a node.
type Attempt struct {
	Node    string
	Outcome Outcome
	Reason  Reason
}

// WithAttempt returns the attempts and a further one, which is about to be sent to a
// node. Its outcome is Unknown until WithOutcome sets it.
func (a Attempts) WithAttempt(node string) Attempts {
	a.list = append(slices.Clip(a.list), Attempt{Node: node, Outcome: Unknown})
	return a
}

// WithOutcome returns the attempts with another outcome of the newest one. An outcome
// that is not valid counts as Unknown. Without an attempt the result proves nothing.
func (a Attempts) WithOutcome(o Outcome, r Reason) Attempts {
	if len(a.list) == 0 {
		return Attempts{}
	}
	if !o.Valid() {
		o = Unknown
	}
	a.list = slices.Clone(a.list)
	newest := &a.list[len(a.list)-1]
	newest.Outcome, newest.Reason = o, r
	return a
}

// Count returns the number of attempts.
func (a Attempts) Count() int { return len(a.list) }

// PossibleRuns returns the number of attempts in which the request may have run.
func (a Attempts) PossibleRuns() int {
	n := 0
	for _, t := range a.list {
		if t.Outcome != NotRun {
			n++
		}
	}
	return n
}

// ReachedBackend reports whether a backend server may have been sent the request, also
// one that did not run it.
func (a Attempts) ReachedBackend() bool {
	return slices.ContainsFunc(a.list, func(t Attempt) bool {
		return t.Outcome != NotRun || t.Reason == ReasonBackendRefused
	})
}

// ProveNotRun returns the proof that the request did not run, if every attempt ended
// with NotRun. No further attempt may be sent after a proof was given out.
func (a Attempts) ProveNotRun() (proof NotRunProof, ok bool) {
	ok = a.complete && a.PossibleRuns() == 0
	return NotRunProof{proven: ok}, ok
}

// String returns the attempts as "node:outcome/reason", separated by commas.
func (a Attempts) String() string {
	var b strings.Builder
	for i, t := range a.list {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(t.Node)
		b.WriteByte(':')
		b.WriteString(string(t.Outcome))
		if t.Reason != "" {
			b.WriteByte('/')
			b.WriteString(string(t.Reason))
		}
	}
	return b.String()
}

// NotRunProof proves that a request did not run and will not run. Attempts.ProveNotRun
// creates it; the zero value proves nothing.
type NotRunProof struct{ proven bool }

// Valid reports whether p proves anything.
func (p NotRunProof) Valid() bool { return p.proven }

// PromisesNotRun reports whether a response with the HTTP status promises that the
// request did not run and will not run.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
