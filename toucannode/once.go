package toucannode

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"sync"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanonce"
)

const secretBytes = 32

// keyDeduplicator implements Deduplicator with issued keys. It acts as the home
// of the local backend server's service and as the entry of calls with a key.
type keyDeduplicator struct {
	n      *Node
	claims *claims
	seals  sealCache

	entryMu          sync.Mutex // guards lease and timer
	lease            toucanonce.Lease
	timer            *toucanonce.Timer
	sessionOpenToken chan struct{} // holds one token unless a session is being opened

	homesMu sync.Mutex
	// homes holds the home of every service that the backend server announced
	// in this incarnation. The home of an earlier service is kept, because a
	// second home of the same incarnation would refuse keys that the first one
	// ran.
	homes map[string]*home
}

func newKeyDeduplicator(n *Node) (*keyDeduplicator, error) {
	o := &keyDeduplicator{
		n: n, claims: newClaims(n.kv, n.clock, n.log), timer: toucanonce.NewTimer(n.clock),
		sessionOpenToken: make(chan struct{}, 1), homes: map[string]*home{},
	}
	o.sessionOpenToken <- struct{}{}
	n.metrics.set.NewGauge("toucan_keys_outstanding", o.keysOutstanding)
	return o, n.control.RegisterName("Once", &onceMessages{o})
}

// home is the home of one service in this incarnation of the node.
type home struct {
	mu    sync.Mutex
	state *toucanonce.Home
	runs  map[toucanonce.Key]*homeRun
}

// homeRun is a run in progress. done is closed when it ends.
type homeRun struct {
	home *home
	key  toucanonce.Key
	done chan struct{}
}

// homeOf returns the home of a service, or nil if this node has not been its
// home.
func (o *keyDeduplicator) homeOf(service string) *home {
	o.homesMu.Lock()
	defer o.homesMu.Unlock()
	return o.homes[service]
}

// openHome returns the home of a service and creates it if necessary. It
// returns nil if the local backend server belongs to another service or is
// leaving.
func (o *keyDeduplicator) openHome(service string) (*home, error) {
	l := &o.n.local
	l.mu.Lock()
	open := l.service == service && !l.leaving
	l.mu.Unlock()
	if !open || o.n.stopping.Load() {
		return nil, nil
	}
	o.homesMu.Lock()
	defer o.homesMu.Unlock()
	if h := o.homes[service]; h != nil {
		return h, nil
	}
	secret := make([]byte, secretBytes)
	rand.Read(secret) // never fails
	id := toucanonce.Identity{Service: service, Node: o.n.id, Incarnation: o.n.incarnation}
	state, err := toucanonce.NewHome(id, secret, o.n.clock)
	if err != nil {
		return nil, err
	}
	h := &home{state: state, runs: map[toucanonce.Key]*homeRun{}}
	o.homes[service] = h
	return h, nil
}

func (o *keyDeduplicator) allHomes() []*home {
	o.homesMu.Lock()
	defer o.homesMu.Unlock()
	all := make([]*home, 0, len(o.homes))
	for _, h := range o.homes {
		all = append(all, h)
	}
	return all
}

func (o *keyDeduplicator) keysOutstanding() float64 {
	keys := 0
	for _, h := range o.allHomes() {
		h.mu.Lock()
		keys += h.state.Remembered()
		h.mu.Unlock()
	}
	return float64(keys)
}

// issueLocalKeys issues keys of the local home. It returns none if there is no
// home of the service.
func (o *keyDeduplicator) issueLocalKeys(service string, count int) ([]toucanonce.Key, error) {
	h, err := o.openHome(service)
	if h == nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Issue(count), nil
}

// refuseLocalKey refuses a key of the local home for good.
func (o *keyDeduplicator) refuseLocalKey(k toucanonce.Key) toucanonce.Decision {
	h := o.homeOf(k.Service)
	if h == nil {
		return toucanonce.Unknown{Reason: toucancall.ReasonKeyUnknown}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Refuse(k)
}

// BeginRun decides at the home whether a call runs. If a run under the same key
// is in progress, it waits for its end.
func (o *keyDeduplicator) BeginRun(ctx context.Context, c toucancall.Call) (KeyedRun, *StoredAnswer, *Refusal) {
	if c.IdempotencyKey == "" {
		return nil, nil, nil
	}
	k, err := toucanonce.ParseKey(c.IdempotencyKey)
	switch {
	case errors.Is(err, toucanonce.ErrNotIssued):
		// The entry did not know that the class is at-most-once and made no claim,
		// so the key could also run at another home.
		return nil, nil, &Refusal{Outcome: toucancall.Unknown, Reason: toucancall.ReasonNotForwarded,
			Detail: "the entry has an older class file"}
	case err != nil:
		return nil, nil, &Refusal{Outcome: toucancall.NotRun, Reason: toucancall.ReasonBadRequest, Detail: err.Error()}
	case k.Service != c.Service:
		return nil, nil, &Refusal{Outcome: toucancall.NotRun, Reason: toucancall.ReasonBadRequest,
			Detail: "the idempotency key was issued for another service"}
	}
	h := o.homeOf(k.Service)
	if h == nil {
		return nil, nil, &Refusal{Outcome: toucancall.Unknown, Reason: toucancall.ReasonKeyUnknown}
	}
	ctx, cancel := context.WithTimeout(ctx, c.Remaining(o.n.clock.Now()))
	defer cancel()
	return h.beginRun(ctx, k)
}

func (h *home) beginRun(ctx context.Context, k toucanonce.Key) (KeyedRun, *StoredAnswer, *Refusal) {
	for {
		decision, run := h.decide(k)
		switch d := decision.(type) {
		case toucanonce.Run:
			return run, nil, nil
		case toucanonce.Replay:
			return h.replayAnswer(d.Answer)
		case toucanonce.Refused:
			return nil, nil, &Refusal{Outcome: toucancall.NotRun, Reason: d.Reason}
		case toucanonce.Unknown:
			return nil, nil, &Refusal{Outcome: toucancall.Unknown, Reason: d.Reason}
		}
		select {
		case <-run.done:
		case <-ctx.Done():
			reason := toucancall.ReasonCancelled
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				reason = toucancall.ReasonDeadline
			}
			return nil, nil, &Refusal{Outcome: toucancall.Unknown, Reason: reason, Detail: "the run is still in progress"}
		}
	}
}

// decide returns the decision for the key, and the run that it starts or that
// is in progress.
func (h *home) decide(k toucanonce.Key) (toucanonce.Decision, *homeRun) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.state.Begin(k)
	if _, ok := d.(toucanonce.Run); ok {
		h.runs[k] = &homeRun{home: h, key: k, done: make(chan struct{})}
	}
	return d, h.runs[k]
}

func (h *home) replayAnswer(a toucanonce.Answer) (KeyedRun, *StoredAnswer, *Refusal) {
	if a.Outcome != toucancall.Answered {
		return nil, nil, &Refusal{Outcome: a.Outcome, Reason: a.Reason}
	}
	return nil, &StoredAnswer{Status: a.Status, Header: a.Header, Body: a.Body, Trailer: a.Trailer}, nil
}

// ConfirmStart implements KeyedRun.
func (r *homeRun) ConfirmStart() bool {
	r.home.mu.Lock()
	defer r.home.mu.Unlock()
	return r.home.state.Confirm(r.key)
}

// Finish implements KeyedRun.
func (r *homeRun) Finish(o toucancall.Outcome, reason toucancall.Reason, a *StoredAnswer) {
	result := toucanonce.Answer{Outcome: o, Reason: reason}
	switch {
	case o == toucancall.Answered && a == nil:
		// The answer was too long to store. A retry must not get an empty answer.
		result = toucanonce.Answer{Outcome: toucancall.Unknown, Reason: toucancall.ReasonAnswerForgotten}
	case o == toucancall.Answered:
		result.Status, result.Header, result.Body, result.Trailer = a.Status, a.Header, a.Body, a.Trailer
	}
	r.recordAnswer(result)
}

// Withdraw implements KeyedRun.
func (r *homeRun) Withdraw() {
	r.recordAnswer(toucanonce.Answer{Outcome: toucancall.NotRun, Reason: toucancall.ReasonKeyRefused})
}

func (r *homeRun) recordAnswer(result toucanonce.Answer) {
	r.home.mu.Lock()
	defer r.home.mu.Unlock()
	r.home.state.Finish(r.key, result)
	delete(r.home.runs, r.key)
	close(r.done)
}

const (
	// sealRetryDelay is the first delay between two attempts to write a seal.
	// It doubles up to maxSealRetryDelay.
	sealRetryDelay    = 100 * time.Millisecond
	maxSealRetryDelay = 2 * time.Second
)

// WriteSeals writes the seals of the homes that remember keys. It uses at most
// half of the remaining time, so that an outage of the KV does not cut off
// calls for which the node is still the entry.
func (o *keyDeduplicator) WriteSeals(ctx context.Context) (err error) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	for _, h := range o.allHomes() {
		h.mu.Lock()
		seal := h.state.Seal()
		h.mu.Unlock()
		if seal.First == seal.Next {
			continue // the home remembers no key, and an expired key is unknown even with a seal
		}
		writeErr := o.writeSeal(ctx, seal)
		result := "written"
		if writeErr != nil {
			result = "failed"
		} else {
			o.n.log.Info("seal_written", slog.String("service", seal.Service), slog.Uint64("keys", seal.Next-seal.First))
		}
		o.n.metrics.increment("toucan_seals_total", "result", result)
		err = errors.Join(err, writeErr)
	}
	return err
}

// writeSeal writes one seal under a session that outlives the keys. It retries
// with exponential backoff until ctx ends. A retry is safe, because the record
// does not change.
func (o *keyDeduplicator) writeSeal(ctx context.Context, seal toucanonce.Seal) error {
	path, record := toucanonce.SealPath(seal.Identity), seal.Encode()
	for delay := sealRetryDelay; ; delay = min(2*delay, maxSealRetryDelay) {
		err := o.claims.writeSeal(ctx, path, record)
		if err == nil {
			return nil
		}
		t := time.NewTimer(delay)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return err
		}
	}
}
