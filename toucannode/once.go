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

// keyedOnce runs at-most-once requests with issued keys. It is the home of the
// service of the local backend server and the entry of every keyed call.
type keyedOnce struct {
	n      *Node
	claims *claims
	seals  sealCache

	entryMu sync.Mutex // guards lease and timer
	lease   toucanonce.Lease
	timer   *toucanonce.Timer
	opening chan struct{} // holds one token while nobody opens a session

	homesMu sync.Mutex
	// homes keeps the home of a service that was announced earlier. A second
	// home of the same incarnation would refuse keys that the first one ran.
	homes map[string]*home
}

func newOnce(n *Node) (*keyedOnce, error) {
	o := &keyedOnce{
		n: n, claims: newClaims(n.kv, n.clock, n.log), timer: toucanonce.NewTimer(n.clock),
		opening: make(chan struct{}, 1), homes: map[string]*home{},
	}
	o.opening <- struct{}{}
	n.metrics.set.NewGauge("toucan_keys_outstanding", o.keysOutstanding)
	return o, n.control.RegisterName("Once", &onceMessages{o})
}

// home is the home of one service in this incarnation of the node.
type home struct {
	mu    sync.Mutex
	state *toucanonce.Home
	runs  map[toucanonce.Key]*homeRun
}

// homeRun is a run in progress. It ends when done is closed.
type homeRun struct {
	home *home
	key  toucanonce.Key
	done chan struct{}
}

// home returns the home of a service, or nil if the node never was its home.
func (o *keyedOnce) home(service string) *home {
	o.homesMu.Lock()
	defer o.homesMu.Unlock()
	return o.homes[service]
}

// openHome returns the home of the service of the local backend server, nil for
// another service or when the backend server is leaving.
func (o *keyedOnce) openHome(service string) (*home, error) {
	l := &o.n.local
	l.mu.Lock()
	open := l.service == service && !l.leaving
	l.mu.Unlock()
	if !open || o.n.closing.Load() {
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

func (o *keyedOnce) allHomes() []*home {
	o.homesMu.Lock()
	defer o.homesMu.Unlock()
	all := make([]*home, 0, len(o.homes))
	for _, h := range o.homes {
		all = append(all, h)
	}
	return all
}

func (o *keyedOnce) keysOutstanding() float64 {
	keys := 0
	for _, h := range o.allHomes() {
		h.mu.Lock()
		keys += h.state.Remembered()
		h.mu.Unlock()
	}
	return float64(keys)
}

// issueHere issues keys of the local home.
func (o *keyedOnce) issueHere(service string, count int) ([]toucanonce.Key, error) {
	h, err := o.openHome(service)
	if h == nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Issue(count), nil
}

// refuseHere refuses a key of the local home for good.
func (o *keyedOnce) refuseHere(k toucanonce.Key) toucanonce.Decision {
	h := o.home(k.Service)
	if h == nil {
		return toucanonce.Unknown{Reason: toucancall.ReasonKeyUnknown}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Refuse(k)
}

// Begin decides at the home whether a call runs, and waits for the end of a run
// in progress under the same key.
func (o *keyedOnce) Begin(ctx context.Context, c toucancall.Call) (OnceRun, *StoredAnswer, *Refusal) {
	if c.IdempotencyKey == "" {
		return nil, nil, nil
	}
	k, err := toucanonce.ParseKey(c.IdempotencyKey)
	switch {
	case errors.Is(err, toucanonce.ErrNotIssued):
		// The entry did not know that the class is at-most-once, so no claim
		// keeps the key from running at another home.
		return nil, nil, &Refusal{Outcome: toucancall.Unknown, Reason: toucancall.ReasonNotForwarded,
			Detail: "the entry has an older class file"}
	case err != nil:
		return nil, nil, &Refusal{Outcome: toucancall.NotRun, Reason: toucancall.ReasonBadRequest, Detail: err.Error()}
	case k.Service != c.Service:
		return nil, nil, &Refusal{Outcome: toucancall.NotRun, Reason: toucancall.ReasonBadRequest,
			Detail: "the idempotency key was issued for another service"}
	}
	h := o.home(k.Service)
	if h == nil {
		return nil, nil, &Refusal{Outcome: toucancall.Unknown, Reason: toucancall.ReasonKeyUnknown}
	}
	ctx, cancel := context.WithTimeout(ctx, c.Remaining(o.n.clock.Now()))
	defer cancel()
	return h.begin(ctx, k)
}

func (h *home) begin(ctx context.Context, k toucanonce.Key) (OnceRun, *StoredAnswer, *Refusal) {
	for {
		decision, run := h.decide(k)
		switch d := decision.(type) {
		case toucanonce.Run:
			return run, nil, nil
		case toucanonce.Replay:
			return h.repeat(d.Answer)
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

// decide returns the decision for the key and the run that it starts or joins.
func (h *home) decide(k toucanonce.Key) (toucanonce.Decision, *homeRun) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.state.Begin(k)
	if _, ok := d.(toucanonce.Run); ok {
		h.runs[k] = &homeRun{home: h, key: k, done: make(chan struct{})}
	}
	return d, h.runs[k]
}

func (h *home) repeat(a toucanonce.Answer) (OnceRun, *StoredAnswer, *Refusal) {
	if a.Outcome != toucancall.Answered {
		return nil, nil, &Refusal{Outcome: a.Outcome, Reason: a.Reason}
	}
	return nil, &StoredAnswer{Status: a.Status, Header: a.Header, Body: a.Body, Trailer: a.Trailer}, nil
}

// Confirm implements OnceRun.
func (r *homeRun) Confirm() bool {
	r.home.mu.Lock()
	defer r.home.mu.Unlock()
	return r.home.state.Confirm(r.key)
}

// Finish implements OnceRun.
func (r *homeRun) Finish(o toucancall.Outcome, reason toucancall.Reason, a *StoredAnswer) {
	end := toucanonce.Answer{Outcome: o, Reason: reason}
	switch {
	case o == toucancall.Answered && a == nil:
		// The answer was too long to keep. A repeat must not get an empty one.
		end = toucanonce.Answer{Outcome: toucancall.Unknown, Reason: toucancall.ReasonAnswerForgotten}
	case o == toucancall.Answered:
		end.Status, end.Header, end.Body, end.Trailer = a.Status, a.Header, a.Body, a.Trailer
	}
	r.finish(end)
}

// Withdraw implements OnceRun.
func (r *homeRun) Withdraw() {
	r.finish(toucanonce.Answer{Outcome: toucancall.NotRun, Reason: toucancall.ReasonKeyRefused})
}

func (r *homeRun) finish(end toucanonce.Answer) {
	r.home.mu.Lock()
	defer r.home.mu.Unlock()
	r.home.state.Finish(r.key, end)
	delete(r.home.runs, r.key)
	close(r.done)
}

const (
	// sealRetry is the first delay between two tries to write a seal; it doubles
	// up to maxSealRetry.
	sealRetry    = 100 * time.Millisecond
	maxSealRetry = 2 * time.Second
)

// Seal writes the seals of the homes that remember keys. It uses at most half of
// the time left, so that an outage of the KV does not cut off the calls that the
// node still carries as an entry.
func (o *keyedOnce) Seal(ctx context.Context) (err error) {
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
			continue // a forgotten key is unknown with a seal too
		}
		writeErr := o.writeSeal(ctx, seal)
		result := "written"
		if writeErr != nil {
			result = "failed"
		} else {
			o.n.log.Info("seal_written", slog.String("service", seal.Service), slog.Uint64("keys", seal.Next-seal.First))
		}
		o.n.metrics.count("toucan_seals_total", "result", result)
		err = errors.Join(err, writeErr)
	}
	return err
}

// writeSeal writes one seal under a session that outlives the keys, and tries
// again until ctx ends. The record never changes, so a repeated write is safe.
func (o *keyedOnce) writeSeal(ctx context.Context, seal toucanonce.Seal) error {
	path, record := toucanonce.SealPath(seal.Identity), seal.Encode()
	for delay := sealRetry; ; delay = min(2*delay, maxSealRetry) {
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
