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

// issuedKey reports whether the key looks like an issued one. Such a key makes
// its request at-most-once even where the class file is older or absent.
func issuedKey(key string) bool {
	if key == "" {
		return false
	}
	_, err := toucanonce.ParseKey(key)
	return !errors.Is(err, toucanonce.ErrNotIssued)
}

// callerKey returns the key that the caller made up when the call travels under
// an issued one, or "".
func callerKey(c toucancall.Call, r *http.Request) string {
	if key := r.Header.Get(toucancall.HeaderIdempotencyKey); key != c.IdempotencyKey {
		return key
	}
	return ""
}

// restoreCallerKey gives the backend server the key that the caller sent.
func restoreCallerKey(h http.Header) {
	if key := h.Get(toucancall.HeaderCallerKey); key != "" {
		h.Set(toucancall.HeaderIdempotencyKey, key)
		h.Del(toucancall.HeaderCallerKey)
	}
}

// findServer finds a backend server of a service in the directory.
func (n *Node) findServer(ctx context.Context, service, nodeID string) (toucanbalance.Server, bool) {
	for _, s := range n.directory.BackendServers(ctx, service) {
		if s.ID == nodeID {
			return s, true
		}
	}
	return toucanbalance.Server{}, false
}

func (e *entry) keyed() bool { return e.once && e.call.IdempotencyKey != "" }

// serveKeyed takes a call with a key to the home of the key.
func (e *entry) serveKeyed(ctx context.Context) *reply {
	var rep *reply
	forward := func(k toucanonce.Key) (toucanonce.Delivery, toucancall.Reason) {
		e.call = e.call.WithIdempotencyKey(k.String())
		rep = e.attempts(ctx, k.Node)
		return e.delivery(rep)
	}
	refusal := e.n.once.Enter(ctx, e.call, forward)
	if refusal == nil {
		return rep
	}
	if rep != nil && rep.own && refusal.Outcome == rep.refusal.Outcome && refusal.Reason == toucancall.ReasonConnectionLost {
		return rep // it says more about the connection
	}
	end := &reply{refusal: refusal, hop: hopReport{threshold: toucanadmission.AdmitAll}}
	if rep != nil {
		end.hop = rep.hop
	}
	return end
}

// delivery says what became of a forwarded call. A reason means that nothing was
// forwarded and that the entry refuses the call.
func (e *entry) delivery(rep *reply) (toucanonce.Delivery, toucancall.Reason) {
	r := rep.refusal
	switch {
	case r == nil:
		return toucanonce.Replied, ""
	case !rep.own && r.Outcome == toucancall.Unknown && r.Reason == toucancall.ReasonKeyUnknown:
		return toucanonce.KeyUnknown, ""
	case !rep.own:
		return toucanonce.Replied, ""
	case e.lost || r.Outcome != toucancall.NotRun:
		return toucanonce.Lost, ""
	case r.Reason == toucancall.ReasonConnect || r.Reason == toucancall.ReasonNoBackend:
		return toucanonce.NotSent, ""
	}
	return toucanonce.NotSent, r.Reason
}

// Enter implements Once.
func (o *keyedOnce) Enter(ctx context.Context, c toucancall.Call, forward Forward) *Refusal {
	return o.drive(ctx, c, "", forward)
}

// Refuse implements Once.
func (o *keyedOnce) Refuse(ctx context.Context, c toucancall.Call, reason toucancall.Reason) *Refusal {
	return o.drive(ctx, c, reason, nil)
}

const (
	// maxClaimWait and claimShare bound the time that one call spends on its
	// claim, so that an outage of the KV costs it little of its deadline.
	maxClaimWait = time.Second
	claimShare   = 4
)

// keyedCall carries out the effects of one attempt at its entry.
type keyedCall struct {
	o       *keyedOnce
	service string
	forward Forward
	attempt *toucanonce.Attempt
	wait    context.Context // bounds the claim
}

// drive carries an attempt out to its end. It returns nil if the reply of the
// home is the answer.
func (o *keyedOnce) drive(ctx context.Context, c toucancall.Call, refusal toucancall.Reason, forward Forward) *Refusal {
	remaining := c.Remaining(o.n.clock.Now())
	wait, cancel := context.WithTimeout(ctx, min(maxClaimWait, remaining/claimShare))
	defer cancel()
	k := &keyedCall{o: o, service: c.Service, forward: forward, wait: wait}
	k.attempt = toucanonce.NewAttempt(c.Service, c.IdempotencyKey, &o.lease, refusal)
	effect := k.attempt.Start()
	for {
		if end, ok := effect.(toucanonce.Reply); ok {
			return k.end(end)
		}
		effect = k.carryOut(ctx, effect)
	}
}

func (*keyedCall) end(r toucanonce.Reply) *Refusal {
	if r.Outcome == "" {
		return nil
	}
	return &Refusal{Outcome: r.Outcome, Reason: r.Reason}
}

// carryOut does what the attempt asks for and returns the next effect.
func (k *keyedCall) carryOut(ctx context.Context, effect toucanonce.Effect) toucanonce.Effect {
	o := k.o
	switch effect := effect.(type) {
	case toucanonce.GetKey:
		return k.step(k.getKey())
	case toucanonce.OpenSession:
		return k.step(o.openSession(k.wait))
	case toucanonce.Claim:
		return k.step(o.acquire(k.wait, effect))
	case toucanonce.ReadClaim:
		current, err := o.claims.Read(k.wait, effect.Path)
		return k.step(toucanonce.ClaimResult{Current: current, Err: err})
	case toucanonce.Forward:
		delivery, reason := k.forward(effect.Key)
		if reason != "" {
			return k.attempt.Refuse(reason)
		}
		return k.step(toucanonce.ForwardResult{Delivery: delivery})
	case toucanonce.RefuseAtHome:
		return k.step(toucanonce.RefuseResult{Decision: o.refuseAt(ctx, effect.Key)})
	case toucanonce.ReadSeal:
		record, err := o.readSeal(ctx, effect.Path)
		return k.step(toucanonce.SealResult{Record: record, Err: err})
	}
	return k.step(nil)
}

// step passes a result to the attempt, which shares the lease with others.
func (k *keyedCall) step(e toucanonce.Event) toucanonce.Effect {
	k.o.entryMu.Lock()
	defer k.o.entryMu.Unlock()
	return k.attempt.Step(e)
}

// getKey gets an unused issued key for a claim.
func (k *keyedCall) getKey() toucanonce.KeyResult {
	var tried []string
	failure := errNoKeys
	if !k.o.claims.available() {
		return toucanonce.KeyResult{Err: errShortCircuit} // the key could not be claimed
	}
	for range maxIssueTries {
		texts, nodeID, err := k.o.issueNext(k.wait, k.service, 1, tried)
		if err == nil && len(texts) > 0 {
			key, err := toucanonce.ParseKey(texts[0])
			return toucanonce.KeyResult{Key: key, Received: k.o.now(), Err: err}
		}
		if nodeID == "" {
			break
		}
		tried = append(tried, nodeID)
		failure = errors.Join(failure, err)
	}
	return toucanonce.KeyResult{Err: failure}
}

// now reads the timer against which the lease compares.
func (o *keyedOnce) now() toucanonce.Stamp {
	o.entryMu.Lock()
	defer o.entryMu.Unlock()
	return o.timer.Now()
}

// openSession opens a session, or takes the one that another attempt opened while
// this one waited.
func (o *keyedOnce) openSession(ctx context.Context) toucanonce.SessionResult {
	before := o.now()
	select {
	case <-o.opening:
	case <-ctx.Done():
		return toucanonce.SessionResult{Err: ctx.Err()}
	}
	defer func() { o.opening <- struct{}{} }()
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

// acquire makes a claim and counts its result.
func (o *keyedOnce) acquire(ctx context.Context, c toucanonce.Claim) toucanonce.ClaimResult {
	current, err := o.claims.Acquire(ctx, c.Session, c.Path, c.Value)
	if sessionEnded(err) {
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
	o.n.metrics.count("toucan_claims_total", "result", result)
	return toucanonce.ClaimResult{Current: current, Err: err}
}
