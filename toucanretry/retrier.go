package toucanretry

import (
	"math/rand/v2"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
)

const (
	// idTTL is the time for which a request id is stored, so that a retry by the
	// caller does not get a new allowance.
	idTTL = 10 * time.Minute
	// maxIDs bounds the stored request ids.
	maxIDs = 65_536
	// Retries to a service are limited by a token bucket. retryRatio is the part
	// of a token that each first attempt adds, and so the ratio of retries to
	// requests in the long run; retryBurst is the size of the bucket.
	retryRatio = 0.1
	retryBurst = 10
	// maxServices bounds the token buckets. Further services share one bucket.
	maxServices = 4_096
	// baseDelay and maxDelay bound the exponential backoff before a retry.
	baseDelay = 20 * time.Millisecond
	maxDelay  = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the delay advised to refused callers.
	// The range is wide so that they do not retry at the same time.
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 5 * time.Second
)

// Retrier holds the retry state of one node: the ids of the requests that entered
// the system at this node, and a token bucket of retries for each service that it
// calls. It is not safe for concurrent use.
type Retrier struct {
	clock        toucanclock.Clock
	rng          *rand.Rand
	seed         uint64
	ids          map[uint64]*requestRecord // by hashID
	ring         []uint64                  // ring buffer of the keys of ids, which begins at oldest
	oldest       int
	tokens       map[string]*float64 // by service
	sharedTokens float64             // of the services without a bucket of their own
}

// requestRecord is the state that an entry stores for a request id.
type requestRecord struct {
	retriesLeft int // of the whole request
	started     time.Time
	running     bool
}

// NewRetrier returns the retry state of one node.
func NewRetrier(clock toucanclock.Clock, rng *rand.Rand) *Retrier {
	return &Retrier{
		clock: clock, rng: rng, seed: rng.Uint64(), sharedTokens: retryBurst,
		ids: make(map[uint64]*requestRecord), tokens: make(map[string]*float64),
	}
}

// BeginRequest returns the allowance of a request that enters the system at this
// node. The first request with an id gets the full allowance. If the caller sends
// the request again, that is a retry and spends one of the retries that the earlier
// attempts left. A request without an id cannot be recognised later and gets the full
// allowance.
//
// If ok is false, the request must be refused: either no retry is left, or the
// previous attempt still runs and holds the allowance. The outcome of the request is
// then unknown, because an earlier attempt may have run.
func (r *Retrier) BeginRequest(service, requestID string) (a Allowance, ok bool) {
	if requestID == "" {
		r.CountFirstAttempt(service)
		return NewAllowance(toucancall.MaxRetries), true
	}
	id, now := r.hashID(requestID), r.clock.Now()
	rec := r.ids[id]
	if rec == nil || now.Sub(rec.started) >= idTTL {
		r.CountFirstAttempt(service)
		r.storeID(id, now)
		return NewAllowance(toucancall.MaxRetries), true
	}
	if rec.running || rec.retriesLeft == 0 {
		return Allowance{}, false
	}
	rec.retriesLeft--
	rec.running = true
	return NewAllowance(rec.retriesLeft), true
}

// EndRequest stores the rest of the allowance when a request ends at the entry.
func (r *Retrier) EndRequest(requestID string, a Allowance) {
	rec := r.ids[r.hashID(requestID)]
	if requestID == "" || rec == nil {
		return
	}
	rec.retriesLeft = min(rec.retriesLeft, a.available)
	rec.running = false
}

// WithdrawRequest undoes BeginRequest for a request that was refused before any call
// was forwarded, so that a refusal at the entry costs the caller no retry.
func (r *Retrier) WithdrawRequest(requestID string) {
	rec := r.ids[r.hashID(requestID)]
	if requestID == "" || rec == nil || !rec.running {
		return
	}
	rec.running = false
	rec.retriesLeft = min(rec.retriesLeft+1, toucancall.MaxRetries+1)
}

// CountFirstAttempt adds retryRatio tokens for one first attempt to the bucket of a
// service. BeginRequest calls it for requests; a node calls it for the child calls
// of its backend server.
func (r *Retrier) CountFirstAttempt(service string) {
	b := r.tokensOf(service)
	*b = min(*b+retryRatio, retryBurst)
}

// Attempt describes the last attempt of a call to which no backend server has
// responded.
type Attempt struct {
	Service     string
	Number      int // attempts of this call so far, at least 1
	Outcome     toucancall.Outcome
	Reason      toucancall.Reason
	SafeToRetry bool // the class is not at-most-once
	Deadline    time.Time
}

// ScheduleRetry reports whether a call is retried. If so, it spends one retry of the
// allowance and one token of the service, and the call is to be sent after delay.
func (r *Retrier) ScheduleRetry(a *Allowance, t Attempt) (delay time.Duration, ok bool) {
	if a.Available() == 0 || !retryable(t) {
		return 0, false
	}
	delay = r.backoffDelay(t.Number)
	if r.clock.Now().Add(delay).After(t.Deadline) {
		return 0, false
	}
	b := r.tokensOf(t.Service)
	if *b < 1 {
		return 0, false
	}
	*b--
	return delay, a.SpendRetry()
}

// retryable reports whether another attempt is safe and can have a different
// result.
func retryable(t Attempt) bool {
	switch t.Reason {
	case toucancall.ReasonDeadline, toucancall.ReasonCancelled, toucancall.ReasonTenantShare,
		toucancall.ReasonKeyUnknown, toucancall.ReasonKeyRefused, toucancall.ReasonAnswerForgotten,
		toucancall.ReasonBadRequest, toucancall.ReasonTooLarge, toucancall.ReasonTooDeep:
		return false
	}
	switch t.Outcome {
	case toucancall.NotRun:
		return true
	case toucancall.Failed, toucancall.Unknown:
		return t.SafeToRetry
	}
	return false
}

// backoffDelay returns the delay before the next attempt: exponential backoff, with
// jitter over the upper three quarters of the range, so that retries after an outage
// spread out.
func (r *Retrier) backoffDelay(attempt int) time.Duration {
	d := min(baseDelay<<min(max(attempt-1, 0), 16), maxDelay)
	return d/4 + time.Duration(r.rng.Int64N(int64(d-d/4)))
}

// RetryAfter returns the random delay to advise to a refused caller.
func (r *Retrier) RetryAfter() time.Duration {
	return minRetryAfter + time.Duration(r.rng.Int64N(int64(maxRetryAfter-minRetryAfter)))
}

// tokensOf returns the token bucket of a service.
func (r *Retrier) tokensOf(service string) *float64 {
	b := r.tokens[service]
	if b == nil {
		if len(r.tokens) >= maxServices {
			return &r.sharedTokens
		}
		b = new(float64)
		*b = retryBurst
		r.tokens[service] = b
	}
	return b
}

// storeID stores a new running request with the full allowance. If maxIDs are
// stored, it evicts the oldest.
func (r *Retrier) storeID(id uint64, now time.Time) {
	if old := r.ids[id]; old != nil {
		// The id has expired: it keeps its place in the ring and gets a new record.
		*old = requestRecord{retriesLeft: toucancall.MaxRetries, started: now, running: true}
		return
	}
	if len(r.ring) < maxIDs {
		r.ring = append(r.ring, id)
	} else {
		delete(r.ids, r.ring[r.oldest])
		r.ring[r.oldest] = id
		r.oldest = (r.oldest + 1) % maxIDs
	}
	r.ids[id] = &requestRecord{retriesLeft: toucancall.MaxRetries, started: now, running: true}
}

// hashID returns the FNV-1a hash of an id with a random offset basis. Ids are stored
// as hashes, so the size of the table does not depend on the length of the ids that
// callers choose.
func (r *Retrier) hashID(id string) uint64 {
	h := uint64(14695981039346656037) ^ r.seed
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return h
}
