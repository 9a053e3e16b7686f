// Package toucancall defines the metadata of a call, the outcomes of a call and the
// HTTP header fields that carry them.
package toucancall

import (
	"time"

	"toucanhaven/toucanclass"
)

// Outcome is the result of a call, as far as its sender knows it. There are no values
// other than these four.
type Outcome string

const (
	// Answered means that the backend server gave a complete response with any status.
	Answered Outcome = "answered"
	// NotRun means that the request did not run and will not run.
	NotRun Outcome = "not_run"
	// Failed means that the request ran and its response was cut off.
	Failed Outcome = "failed"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Valid reports whether o is one of the four outcomes.
func (o Outcome) Valid() bool {
	switch o {
	case Answered, NotRun, Failed, Unknown:
		return true
	}
	return false
}

// Reason says why a call has another outcome than Answered. Package toucanentry
// defines two more values.
type Reason string

const (
	// ReasonOverload means that admission control refused the call.
	ReasonOverload Reason = "overload"
	// ReasonTenantShare means that the tenant exceeds its fair share.
	ReasonTenantShare Reason = "tenant_share"
	// ReasonDeadline means that the deadline passed or could not be met.
	ReasonDeadline Reason = "deadline"
	// ReasonCancelled means that the caller cancelled the call or disconnected.
	ReasonCancelled Reason = "cancelled"
	// ReasonLeaving means that the backend server, or the node that the request
	// reached, is shutting down.
	ReasonLeaving Reason = "leaving"
	// ReasonNoBackend means that no backend server of the service is known.
	ReasonNoBackend Reason = "no_backend"
	// ReasonConnect means that no connection could be made.
	ReasonConnect Reason = "connect"
	// ReasonConnectionLost means that a connection broke after bytes were sent.
	ReasonConnectionLost Reason = "connection_lost"
	// ReasonBackendRefused means that the backend server said that it did not run the call.
	ReasonBackendRefused Reason = "backend_refused"
	// ReasonUnprovenRefusal means that the backend server answered with a status that
	// promises "not run" and did not say that it did not run the call, or that its
	// refusal may belong to another call.
	ReasonUnprovenRefusal Reason = "unproven_refusal"
	// ReasonNotForwarded means that this attempt was not forwarded, while an
	// earlier or concurrent attempt with the same idempotency key may have run.
	ReasonNotForwarded Reason = "not_forwarded"
	// ReasonKeyUnknown means that the home of the idempotency key has no record of it.
	ReasonKeyUnknown Reason = "key_unknown"
	// ReasonKeyRefused means that the idempotency key has been refused permanently.
	ReasonKeyRefused Reason = "key_refused"
	// ReasonAnswerForgotten means that the request ran and its response is not, or no
	// longer, stored.
	ReasonAnswerForgotten Reason = "answer_forgotten"
	// ReasonBadRequest means that the metadata of the call is malformed.
	ReasonBadRequest Reason = "bad_request"
	// ReasonTooLarge means that the request is over the size limit.
	ReasonTooLarge Reason = "too_large"
	// ReasonSlowSender means that the request body arrived too slowly.
	ReasonSlowSender Reason = "slow_sender"
	// ReasonTooDeep means that the call is more than MaxDepth hops away from its entry.
	ReasonTooDeep Reason = "too_deep"
)

// Call is the metadata of one call. It is immutable; the With methods return
// changed copies.
type Call struct {
	RequestID      string // the same for a request and all its child calls
	Service        string
	Tenant         string
	Class          string
	Rank           toucanclass.Rank
	Level          int // tenant fairness level within the rank; level 0 is refused last
	Deadline       time.Time
	Retries        int // retries lent to this call and its child calls; the response returns the unspent ones
	Depth          int // hops from the entry
	IdempotencyKey string
}

// WithService returns the call addressed to another service, one hop deeper.
func (c Call) WithService(service string) Call {
	c.Service, c.Depth = service, c.Depth+1
	return c
}

// WithClass returns the call with the name and rank of class.
func (c Call) WithClass(class toucanclass.Class) Call {
	c.Class, c.Rank = class.Name, class.Rank()
	return c
}

// WithLevel returns the call with another tenant fairness level.
func (c Call) WithLevel(level int) Call {
	c.Level = level
	return c
}

// WithRetries returns the call with another retry allowance.
func (c Call) WithRetries(retries int) Call {
	c.Retries = retries
	return c
}

// WithIdempotencyKey returns the call with another idempotency key.
func (c Call) WithIdempotencyKey(key string) Call {
	c.IdempotencyKey = key
	return c
}

// Remaining returns the time until the deadline, at least 0.
func (c Call) Remaining(now time.Time) time.Duration {
	return max(c.Deadline.Sub(now), 0)
}
