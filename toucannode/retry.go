package toucannode

import (
	"sync"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
	"toucanhaven/toucanretry"
)

// boundedRetries takes the retry allowances of calls from one
// toucanretry.Retrier.
type boundedRetries struct {
	mu      sync.Mutex
	retrier *toucanretry.Retrier
}

func newBoundedRetries(clock toucanclock.Clock) *boundedRetries {
	return &boundedRetries{retrier: toucanretry.NewRetrier(clock, newRandom())}
}

// StartRequest starts the retry allowance of a request at its entry. It returns
// false if the caller sent the request again while it is running or after its
// allowance was used up.
func (b *boundedRetries) StartRequest(c toucancall.Call) (Allowance, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	allowance, ok := b.retrier.BeginRequest(c.Service, c.RequestID)
	return &boundedAllowance{retries: b, call: c, allowance: allowance, isRequest: true}, ok
}

// StartChild starts the retry allowance of a child call with what its parent
// lent.
func (b *boundedRetries) StartChild(c toucancall.Call) Allowance {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retrier.CountFirstAttempt(c.Service)
	return &boundedAllowance{retries: b, call: c, allowance: toucanretry.NewAllowance(c.Retries)}
}

// RetryAfter returns the delay after which a refused caller is advised to
// retry.
func (b *boundedRetries) RetryAfter() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retrier.RetryAfter()
}

// boundedAllowance is the allowance of one call. It is used by one goroutine.
type boundedAllowance struct {
	retries   *boundedRetries
	call      toucancall.Call
	allowance toucanretry.Allowance
	attempts  int
	isRequest bool // the call is a request of a caller, not a child call
}

// Lend takes the part of the allowance that is sent with an attempt.
func (a *boundedAllowance) Lend() int {
	a.attempts++
	return a.allowance.Lend()
}

// Return gives back the unused part of what Lend took.
func (a *boundedAllowance) Return(lent, left int) { a.allowance.Return(lent, left) }

// RetriesLeft returns the number of retries that the call still holds.
func (a *boundedAllowance) RetriesLeft() int { return a.allowance.Available() }

// TakeRetry takes one retry for a call whose attempt ended with r. It returns
// the delay before the next attempt.
func (a *boundedAllowance) TakeRetry(r Refusal, safeToRetry bool) (time.Duration, bool) {
	b := a.retries
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retrier.ScheduleRetry(&a.allowance, toucanretry.Attempt{
		Service: a.call.Service, Number: a.attempts, Outcome: r.Outcome, Reason: r.Reason,
		SafeToRetry: safeToRetry, Deadline: a.call.Deadline,
	})
}

// End records the unused allowance of a request that leaves its entry. If no
// attempt was made, it undoes the start of the request, so that a refusal by the
// entry costs the caller no retry.
func (a *boundedAllowance) End() {
	if !a.isRequest {
		return
	}
	b := a.retries
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.attempts == 0 {
		b.retrier.WithdrawRequest(a.call.RequestID)
		return
	}
	b.retrier.EndRequest(a.call.RequestID, a.allowance)
}
