package toucanretry

import (
	"math/rand/v2"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
)

const (
	// idLife is how long a request id is remembered, so that a caller's own
	// repeat does not refill the allowance.
	idLife = 10 * time.Minute
	// maxIDs bounds the remembered request ids.
	maxIDs = 65_536
	// retryShare is the part of its requests for a service that a node retries
	// in the long run; retryBurst may come on top at once.
	retryShare = 0.1
	retryBurst = 10
	// maxServices bounds the retry budgets; further services share one budget.
	maxServices = 4_096
	// baseDelay and maxDelay bound the exponential delay before a retry.
	baseDelay = 20 * time.Millisecond
	maxDelay  = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the advice given to refused
	// callers. The range is wide so that they do not return together.
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 5 * time.Second
)

// Retrier holds the retry state of one node: the request ids it has seen as an
// entry and a retry budget for each service it calls. It is not safe for
// concurrent use.
type Retrier struct {
	clock   toucanclock.Clock
	rng     *rand.Rand
	seed    uint64
	ids     map[uint64]*record
	order   []uint64 // ring of remembered ids, oldest at next
	next    int
	budgets map[string]*float64
	shared  float64
}

// record is what an entry remembers of a request id.
type record struct {
	left    int // retries left for the whole request
	begun   time.Time
	running bool
}

// NewRetrier returns the retry state of one node.
func NewRetrier(clock toucanclock.Clock, rng *rand.Rand) *Retrier {
	return &Retrier{
		clock: clock, rng: rng, seed: rng.Uint64(), shared: retryBurst,
		ids: make(map[uint64]*record), budgets: make(map[string]*float64),
	}
}

// BeginRequest returns the allowance of a request that enters at this node. The first
// use of a request id gets the full allowance. A repeat by the caller is itself
// a retry and spends one of what the earlier attempts left; ok is false when
// nothing is left, and the repeat must be refused as not run. A repeat that
// overlaps the attempt before it is also refused, because that attempt holds
// the allowance. A request without id cannot be recognised later and gets the
// full allowance.
func (r *Retrier) BeginRequest(service, requestID string) (a Allowance, ok bool) {
	if requestID == "" {
		r.CountFirstAttempt(service)
		return NewAllowance(toucancall.MaxRetries), true
	}
	id, now := r.hash(requestID), r.clock.Now()
	rec := r.ids[id]
	if rec == nil || now.Sub(rec.begun) >= idLife {
		r.CountFirstAttempt(service)
		r.remember(id, now)
		return NewAllowance(toucancall.MaxRetries), true
	}
	if rec.running || rec.left == 0 {
		return Allowance{}, false
	}
	rec.left--
	rec.running = true
	return NewAllowance(rec.left), true
}

// EndRequest records what is left of the allowance when a request leaves the entry.
func (r *Retrier) EndRequest(requestID string, a Allowance) {
	rec := r.ids[r.hash(requestID)]
	if requestID == "" || rec == nil {
		return
	}
	rec.left = min(rec.left, a.held)
	rec.running = false
}

// WithdrawRequest takes back a Begin whose request was refused before any call was
// forwarded, so that a refusal at the entry costs the caller no retry.
func (r *Retrier) WithdrawRequest(requestID string) {
	rec := r.ids[r.hash(requestID)]
	if requestID == "" || rec == nil || !rec.running {
		return
	}
	rec.running = false
	rec.left = min(rec.left+1, toucancall.MaxRetries+1)
}

// CountFirstAttempt adds one first attempt to the retry budget of a service. Begin does so
// for requests; a node calls CountFirstAttempt for the child calls of its backend server.
func (r *Retrier) CountFirstAttempt(service string) {
	b := r.budget(service)
	*b = min(*b+retryShare, retryBurst)
}

// Attempt describes a call that was not answered.
type Attempt struct {
	Service     string
	Number      int // attempts of this call so far, at least 1
	Outcome     toucancall.Outcome
	Reason      toucancall.Reason
	SafeToRetry bool // the class is not at-most-once
	Deadline    time.Time
}

// ScheduleRetry decides whether a call is tried again. When it is, one retry of the
// allowance and of the service's budget is spent, and the call is sent after
// delay.
func (r *Retrier) ScheduleRetry(a *Allowance, t Attempt) (delay time.Duration, ok bool) {
	if a.Available() == 0 || !retryable(t) {
		return 0, false
	}
	delay = r.delay(t.Number)
	if r.clock.Now().Add(delay).After(t.Deadline) {
		return 0, false
	}
	b := r.budget(t.Service)
	if *b < 1 {
		return 0, false
	}
	*b--
	return delay, a.SpendRetry()
}

// retryable reports whether another attempt is safe and can have another
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

// delay doubles with each attempt and is drawn from the upper three quarters
// of its range, so that retries after an outage spread out.
func (r *Retrier) delay(attempt int) time.Duration {
	d := min(baseDelay<<min(max(attempt-1, 0), 16), maxDelay)
	return d/4 + time.Duration(r.rng.Int64N(int64(d-d/4)))
}

// RetryAfter returns a random time to advise to a refused caller.
func (r *Retrier) RetryAfter() time.Duration {
	return minRetryAfter + time.Duration(r.rng.Int64N(int64(maxRetryAfter-minRetryAfter)))
}

func (r *Retrier) budget(service string) *float64 {
	b := r.budgets[service]
	if b == nil {
		if len(r.budgets) >= maxServices {
			return &r.shared
		}
		b = new(float64)
		*b = retryBurst
		r.budgets[service] = b
	}
	return b
}

func (r *Retrier) remember(id uint64, now time.Time) {
	if old := r.ids[id]; old != nil {
		// The slot in the ring stays; only the contents start again.
		*old = record{left: toucancall.MaxRetries, begun: now, running: true}
		return
	}
	if len(r.order) < maxIDs {
		r.order = append(r.order, id)
	} else {
		delete(r.ids, r.order[r.next])
		r.order[r.next] = id
		r.next = (r.next + 1) % maxIDs
	}
	r.ids[id] = &record{left: toucancall.MaxRetries, begun: now, running: true}
}

// hash is FNV-1a from a random start. Ids are kept as hashes, so the table has
// the same size whatever length of ids callers choose.
func (r *Retrier) hash(id string) uint64 {
	h := uint64(14695981039346656037) ^ r.seed
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return h
}
