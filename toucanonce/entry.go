package toucanonce

import (
	"errors"

	"toucanhaven/toucancall"
)

// maxClaimAttempts bounds how often an entry tries to acquire one claim when the
// replies of the KV are lost.
const maxClaimAttempts = 2

// Effect is the next step that an attempt requests of its node. The set is closed:
// GetKey, OpenSession, Claim, ReadClaim, Forward, RefuseAtHome, ReadSeal, Reply.
type Effect interface{ effect() }

// GetKey requests an unused issued key of the service from the home that the
// balancer chooses. Its result is a KeyResult.
type GetKey struct{}

// OpenSession requests a new KV session. Its result is a SessionResult.
type OpenSession struct{}

// Claim requests a call of Claims.Acquire. Its result is a ClaimResult.
type Claim struct{ Session, Path, Value string }

// ReadClaim requests a call of Claims.Read after the reply to Acquire was lost.
// Its result is a ClaimResult.
type ReadClaim struct{ Path string }

// Forward requests that the node send the request with the issued key to the home
// of the key. Its result is a ForwardResult.
type Forward struct{ Key Key }

// RefuseAtHome requests that the home refuse the key permanently. Its result is a
// RefuseResult.
type RefuseAtHome struct{ Key Key }

// ReadSeal requests the seal of a home. Its result is a SealResult.
type ReadSeal struct{ Path string }

// Reply ends the attempt. Outcome is empty if the home replied; the node then
// passes the reply of the home to the caller unchanged.
type Reply struct {
	Outcome toucancall.Outcome
	Reason  toucancall.Reason
}

func (GetKey) effect()       {}
func (OpenSession) effect()  {}
func (Claim) effect()        {}
func (ReadClaim) effect()    {}
func (Forward) effect()      {}
func (RefuseAtHome) effect() {}
func (ReadSeal) effect()     {}
func (Reply) effect()        {}

// Event is the result of an effect. The set is closed: KeyResult, SessionResult,
// ClaimResult, ForwardResult, RefuseResult, SealResult.
type Event interface{ event() }

// KeyResult carries an issued key and the time it was received, or an error.
type KeyResult struct {
	Key      Key
	Received Stamp
	Err      error
}

// SessionResult carries a new session and a time read before it was requested, or
// an error.
type SessionResult struct {
	Session string
	Opened  Stamp
	Err     error
}

// ClaimResult carries the value of a claim, which is empty if there is no claim, or
// an error.
type ClaimResult struct {
	Current string
	Err     error
}

// Delivery is the result of sending a request to its home. The set is closed.
type Delivery string

const (
	// Replied means that the home replied in any way other than KeyUnknown.
	Replied Delivery = "replied"
	// KeyUnknown means that the home replied that it has no state of the key.
	KeyUnknown Delivery = "key_unknown"
	// NotSent means that no byte of the request reached the home.
	NotSent Delivery = "not_sent"
	// Lost means that bytes were sent and no reply was received.
	Lost Delivery = "lost"
)

// ForwardResult ends a Forward.
type ForwardResult struct{ Delivery Delivery }

// RefuseResult carries the home's decision on RefuseAtHome, nil if it did not
// reply.
type RefuseResult struct{ Decision Decision }

// SealResult carries the record of a seal, which is nil if there is no seal, or an
// error.
type SealResult struct {
	Record []byte
	Err    error
}

func (KeyResult) event()     {}
func (SessionResult) event() {}
func (ClaimResult) event()   {}
func (ForwardResult) event() {}
func (RefuseResult) event()  {}
func (SealResult) event()    {}

// Attempt is the state machine by which an entry handles one keyed request. The
// node carries out each effect and passes the result to Step until the effect is
// Reply.
type Attempt struct {
	service       string
	callerText    string // key as the caller sent it
	lease         *Lease
	refusal       toucancall.Reason // reason of the entry to refuse the request, or empty
	candidate     Key               // issued key to bind the caller's key to
	received      Stamp
	claim         Claim
	claimAttempts int
	forwardKey    Key // issued key to forward the request with
	delivery      Delivery
}

// NewAttempt returns the attempt for a request with the given service and key. A
// non-empty refusal means that the entry itself refuses the request.
func NewAttempt(service, key string, lease *Lease, refusal toucancall.Reason) *Attempt {
	return &Attempt{service: service, callerText: key, lease: lease, refusal: refusal}
}

// Start returns the first effect.
func (a *Attempt) Start() Effect {
	k, err := ParseKey(a.callerText)
	switch {
	case errors.Is(err, ErrNotIssued):
		if a.refusal != "" {
			// A KV write for each refused request would spread an overload to
			// the KV.
			return notForwarded()
		}
		return GetKey{}
	case err != nil || k.Service != a.service:
		// Every entry refuses this pair of service and key.
		return Reply{Outcome: toucancall.NotRun, Reason: toucancall.ReasonBadRequest}
	}
	a.forwardKey = k
	if a.refusal != "" {
		return RefuseAtHome{Key: k}
	}
	return Forward{Key: k}
}

// Step takes the result of the last effect and returns the next one.
func (a *Attempt) Step(e Event) Effect {
	switch e := e.(type) {
	case KeyResult:
		if e.Err != nil {
			return notForwarded()
		}
		a.candidate, a.received = e.Key, e.Received
		return a.acquireClaim(true)
	case SessionResult:
		if e.Err != nil {
			return notForwarded()
		}
		a.lease.Open(e.Session, e.Opened)
		return a.acquireClaim(false)
	case ClaimResult:
		return a.handleClaim(e)
	case ForwardResult:
		return a.handleForward(e)
	case RefuseResult:
		if _, ok := e.Decision.(Refused); ok {
			return Reply{Outcome: toucancall.NotRun, Reason: a.refusal}
		}
		return notForwarded()
	case SealResult:
		return a.handleSeal(e)
	}
	return notForwarded()
}

// Refuse is called instead of Step if the node does not carry out a Forward, for
// example because the deadline has passed. It returns the next effect.
func (a *Attempt) Refuse(reason toucancall.Reason) Effect {
	a.refusal = reason
	return RefuseAtHome{Key: a.forwardKey}
}

// acquireClaim returns the claim to make. If the lease needs a new session, it
// returns OpenSession when mayOpen is set and ends the attempt otherwise.
func (a *Attempt) acquireClaim(mayOpen bool) Effect {
	path := ClaimPath(a.service, a.callerText)
	session, value, ok := a.lease.Bind(path, a.candidate, a.received)
	if !ok && mayOpen {
		return OpenSession{}
	}
	if !ok {
		return notForwarded()
	}
	a.claim = Claim{Session: session, Path: path, Value: value}
	a.claimAttempts++
	return a.claim
}

// handleClaim forwards the key that the claim holds. If the reply to the write was
// lost, it reads the claim. If there is no claim, the write may still take effect
// later, so the attempt acquires the claim again with the same value.
func (a *Attempt) handleClaim(e ClaimResult) Effect {
	switch {
	case e.Err != nil && a.claim != (Claim{}):
		path := a.claim.Path
		a.claim = Claim{}
		return ReadClaim{Path: path}
	case e.Err != nil:
		return notForwarded()
	case e.Current == "" && a.claimAttempts < maxClaimAttempts:
		return a.acquireClaim(false)
	}
	k, err := ParseKey(e.Current)
	if err != nil || k.Service != a.service {
		return notForwarded()
	}
	a.forwardKey = k
	return Forward{Key: k}
}

func (a *Attempt) handleForward(e ForwardResult) Effect {
	if e.Delivery == Replied {
		return Reply{}
	}
	a.delivery = e.Delivery
	return ReadSeal{Path: SealPath(a.forwardKey.Home())}
}

// handleSeal decides by the seal of a home that did not reply or has no state of
// the key.
func (a *Attempt) handleSeal(e SealResult) Effect {
	if seal, err := DecodeSeal(e.Record); e.Err == nil && err == nil {
		if d, ok := seal.Decide(a.forwardKey).(Refused); ok {
			return Reply{Outcome: toucancall.NotRun, Reason: d.Reason}
		}
		return Reply{Outcome: toucancall.Unknown, Reason: toucancall.ReasonKeyUnknown}
	}
	switch a.delivery {
	case NotSent:
		return notForwarded()
	case KeyUnknown:
		return Reply{Outcome: toucancall.Unknown, Reason: toucancall.ReasonKeyUnknown}
	}
	return Reply{Outcome: toucancall.Unknown, Reason: toucancall.ReasonConnectionLost}
}

func notForwarded() Reply {
	return Reply{Outcome: toucancall.Unknown, Reason: toucancall.ReasonNotForwarded}
}
