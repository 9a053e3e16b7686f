package toucannode

import (
	"context"
	"errors"
	"net/http"
	"time"

	"toucanhaven/toucanadmission"
	"toucanhaven/toucanbalance"
	"toucanhaven/toucancall"
	"toucanhaven/toucanonce"
)

// isIssuedKey reports whether the key has the form of an issued key. An issued
// key makes its request at-most-once even if the class file is older or
// unknown.
func isIssuedKey(key string) bool {
	if key == "" {
		return false
	}
	_, err := toucanonce.ParseKey(key)
	return !errors.Is(err, toucanonce.ErrNotIssued)
}

// callerKey returns the caller-made key if the call is sent under an issued key
// instead, or "".
func callerKey(c toucancall.Call, r *http.Request) string {
	if key := r.Header.Get(toucancall.HeaderIdempotencyKey); key != c.IdempotencyKey {
		return key
	}
	return ""
}

// restoreCallerKey restores the key that the caller sent, which the backend
// server receives.
func restoreCallerKey(h http.Header) {
	if key := h.Get(toucancall.HeaderCallerKey); key != "" {
		h.Set(toucancall.HeaderIdempotencyKey, key)
		h.Del(toucancall.HeaderCallerKey)
	}
}

// findServer finds a backend server of a service in the directory by its node
// ID.
func (n *Node) findServer(ctx context.Context, service, nodeID string) (toucanbalance.Server, bool) {
	for _, s := range n.directory.BackendServers(ctx, service) {
		if s.ID == nodeID {
			return s, true
		}
	}
	return toucanbalance.Server{}, false
}

func (e *entryCall) keyed() bool { return e.atMostOnce && e.call.IdempotencyKey != "" }

// serveKeyed sends a call with a key to the home of the key.
func (e *entryCall) serveKeyed(ctx context.Context) *reply {
	var rep *reply
	forward := func(k toucanonce.Key) (toucanonce.Delivery, toucancall.Reason) {
		e.call = e.call.WithIdempotencyKey(k.String())
		rep = e.makeAttempts(ctx, k.Node)
		return e.delivery(rep)
	}
	refusal := e.n.deduplicator.ForwardKeyed(ctx, e.call, forward)
	if refusal == nil {
		return rep
	}
	if rep != nil && rep.decidedHere && refusal.Outcome == rep.refusal.Outcome && refusal.Reason == toucancall.ReasonConnectionLost {
		return rep // its detail describes the connection error
	}
	final := &reply{refusal: refusal, hop: hopReport{threshold: toucanadmission.AdmitAll}}
	if rep != nil {
		final.hop = rep.hop
	}
	return final
}

// delivery returns what happened to a forwarded call. A non-empty reason means
// that the call was not forwarded and that the entry refuses it.
func (e *entryCall) delivery(rep *reply) (toucanonce.Delivery, toucancall.Reason) {
	r := rep.refusal
	switch {
	case r == nil:
		return toucanonce.Replied, ""
	case !rep.decidedHere && r.Outcome == toucancall.Unknown && r.Reason == toucancall.ReasonKeyUnknown:
		return toucanonce.KeyUnknown, ""
	case !rep.decidedHere:
		return toucanonce.Replied, ""
	case e.sentWithoutReply || r.Outcome != toucancall.NotRun:
		return toucanonce.Lost, ""
	case r.Reason == toucancall.ReasonConnect || r.Reason == toucancall.ReasonNoBackend:
		return toucanonce.NotSent, ""
	}
	return toucanonce.NotSent, r.Reason
}

// ForwardKeyed implements Deduplicator.
func (o *keyDeduplicator) ForwardKeyed(ctx context.Context, c toucancall.Call, forward Forward) *Refusal {
	return o.runAttempt(ctx, c, "", forward)
}

// RefuseKeyed implements Deduplicator.
func (o *keyDeduplicator) RefuseKeyed(ctx context.Context, c toucancall.Call, reason toucancall.Reason) *Refusal {
	return o.runAttempt(ctx, c, reason, nil)
}

const (
	// maxClaimWait and the remaining time of the call divided by
	// claimDeadlineDivisor bound the time that a call spends on its claim, so
	// that an outage of the KV uses up little of the deadline.
	maxClaimWait         = time.Second
	claimDeadlineDivisor = 4
)

// keyedCall executes the effects of one toucanonce.Attempt at the entry.
type keyedCall struct {
	deduplicator *keyDeduplicator
	service      string
	forward      Forward
	attempt      *toucanonce.Attempt
	claimCtx     context.Context // bounds the time for the claim
}

// runAttempt executes an attempt to its end. It returns nil if the reply of the
// home is the answer.
func (o *keyDeduplicator) runAttempt(ctx context.Context, c toucancall.Call, refusal toucancall.Reason, forward Forward) *Refusal {
	remaining := c.Remaining(o.n.clock.Now())
	claimCtx, cancel := context.WithTimeout(ctx, min(maxClaimWait, remaining/claimDeadlineDivisor))
	defer cancel()
	k := &keyedCall{deduplicator: o, service: c.Service, forward: forward, claimCtx: claimCtx}
	k.attempt = toucanonce.NewAttempt(c.Service, c.IdempotencyKey, &o.lease, refusal)
	effect := k.attempt.Start()
	for {
		if r, ok := effect.(toucanonce.Reply); ok {
			return k.replyRefusal(r)
		}
		effect = k.execute(ctx, effect)
	}
}

func (*keyedCall) replyRefusal(r toucanonce.Reply) *Refusal {
	if r.Outcome == "" {
		return nil
	}
	return &Refusal{Outcome: r.Outcome, Reason: r.Reason}
}

// execute executes an effect of the attempt and returns the next one.
func (k *keyedCall) execute(ctx context.Context, effect toucanonce.Effect) toucanonce.Effect {
	o := k.deduplicator
	switch effect := effect.(type) {
	case toucanonce.GetKey:
		return k.step(k.getKey())
	case toucanonce.OpenSession:
		return k.step(o.openSession(k.claimCtx))
	case toucanonce.Claim:
		return k.step(o.acquireClaim(k.claimCtx, effect))
	case toucanonce.ReadClaim:
		current, err := o.claims.Read(k.claimCtx, effect.Path)
		return k.step(toucanonce.ClaimResult{Current: current, Err: err})
	case toucanonce.Forward:
		delivery, reason := k.forward(effect.Key)
		if reason != "" {
			return k.attempt.Refuse(reason)
		}
		return k.step(toucanonce.ForwardResult{Delivery: delivery})
	case toucanonce.RefuseAtHome:
		return k.step(toucanonce.RefuseResult{Decision: o.refuseKeyAt(ctx, effect.Key)})
	case toucanonce.ReadSeal:
		record, err := o.readSeal(ctx, effect.Path)
		return k.step(toucanonce.SealResult{Record: record, Err: err})
	}
	return k.step(nil)
}

// step passes a result to the attempt. It holds the mutex, because all attempts
// share the lease.
func (k *keyedCall) step(e toucanonce.Event) toucanonce.Effect {
	k.deduplicator.entryMu.Lock()
	defer k.deduplicator.entryMu.Unlock()
	return k.attempt.Step(e)
}

// getKey gets an unused issued key to claim.
func (k *keyedCall) getKey() toucanonce.KeyResult {
	var excluded []string
	failure := errNoKeys
	if !k.deduplicator.claims.available() {
		return toucanonce.KeyResult{Err: errBreakerOpen} // the key could not be claimed
	}
	for range maxIssueAttempts {
		keys, nodeID, err := k.deduplicator.issueAtNextHome(k.claimCtx, k.service, 1, excluded)
		if err == nil && len(keys) > 0 {
			key, err := toucanonce.ParseKey(keys[0])
			return toucanonce.KeyResult{Key: key, Received: k.deduplicator.now(), Err: err}
		}
		if nodeID == "" {
			break
		}
		excluded = append(excluded, nodeID)
		failure = errors.Join(failure, err)
	}
	return toucanonce.KeyResult{Err: failure}
}

// now returns the current time of the timer that the lease uses.
func (o *keyDeduplicator) now() toucanonce.Stamp {
	o.entryMu.Lock()
	defer o.entryMu.Unlock()
	return o.timer.Now()
}

// openSession opens a session. If another attempt opened one while this one
// waited, it returns that session.
func (o *keyDeduplicator) openSession(ctx context.Context) toucanonce.SessionResult {
	before := o.now()
	select {
	case <-o.sessionOpenToken:
	case <-ctx.Done():
		return toucanonce.SessionResult{Err: ctx.Err()}
	}
	defer func() { o.sessionOpenToken <- struct{}{} }()
	o.entryMu.Lock()
	session, opened := o.lease.Current()
	o.entryMu.Unlock()
	if session != "" && opened >= before {
		return toucanonce.SessionResult{Session: session, Opened: opened}
	}
	opened = o.now()
	session, err := o.claims.OpenSession(ctx)
	if err == nil {
		o.entryMu.Lock()
		o.lease.Open(session, opened)
		o.entryMu.Unlock()
	}
	return toucanonce.SessionResult{Session: session, Opened: opened, Err: err}
}

// acquireClaim makes a claim and counts its result.
func (o *keyDeduplicator) acquireClaim(ctx context.Context, c toucanonce.Claim) toucanonce.ClaimResult {
	current, err := o.claims.Acquire(ctx, c.Session, c.Path, c.Value)
	if isSessionError(err) {
		o.entryMu.Lock()
		o.lease.Drop(c.Session)
		o.entryMu.Unlock()
	}
	result := "found"
	switch {
	case err != nil:
		result = "failed"
	case current == c.Value:
		result = "created"
	}
	o.n.metrics.increment("toucan_claims_total", "result", result)
	return toucanonce.ClaimResult{Current: current, Err: err}
}
