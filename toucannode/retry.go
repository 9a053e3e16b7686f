package toucannode

import (
	"sync"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
	"toucanhaven/toucanretry"
)

// boundedRetries gives calls the allowances of one toucanretry.Retrier.
type boundedRetries struct {
	mu      sync.Mutex
	retrier *toucanretry.Retrier
}

func newBoundedRetries(clock toucanclock.Clock) *boundedRetries {
	return &boundedRetries{retrier: toucanretry.NewRetrier(clock, newRandom())}
}

// Root starts the allowance of a request at its entry. It returns false when a
// repeat of the request has used the allowance up.
func (b *boundedRetries) Root(c toucancall.Call) (Allowance, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held, ok := b.retrier.BeginRequest(c.Service, c.RequestID)
	return &boundedAllowance{retries: b, call: c, held: held, root: true}, ok
}

// Child starts the allowance of a child call from what its parent lent.
func (b *boundedRetries) Child(c toucancall.Call) Allowance {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retrier.CountFirstAttempt(c.Service)
	return &boundedAllowance{retries: b, call: c, held: toucanretry.NewAllowance(c.Retries)}
}

// RetryAfter returns the time that a refused caller is advised to wait.
func (b *boundedRetries) RetryAfter() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retrier.RetryAfter()
}

// boundedAllowance is the allowance of one call. It is used by one goroutine.
type boundedAllowance struct {
	retries  *boundedRetries
	call     toucancall.Call
	held     toucanretry.Allowance
	attempts int
	root     bool
}

// Lend takes the part that goes with an attempt.
func (a *boundedAllowance) Lend() int {
	a.attempts++
	return a.held.Lend()
}

// Return gives back the unused part of what was lent.
func (a *boundedAllowance) Return(lent, left int) { a.held.Return(lent, left) }

// Left is what the call still holds.
func (a *boundedAllowance) Left() int { return a.held.Available() }

// Retry takes one retry for a call that ended with r and returns the delay
// before the next attempt.
func (a *boundedAllowance) Retry(r Refusal, safeToRepeat bool) (time.Duration, bool) {
	b := a.retries
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retrier.ScheduleRetry(&a.held, toucanretry.Attempt{
		Service: a.call.Service, Number: a.attempts, Outcome: r.Outcome, Reason: r.Reason,
		SafeToRetry: safeToRepeat, Deadline: a.call.Deadline,
	})
}

// End records what a request left when it leaves its entry. A request of which
// no attempt was made gets its retry back.
func (a *boundedAllowance) End() {
	if !a.root {
		return
	}
	b := a.retries
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.attempts == 0 {
		b.retrier.WithdrawRequest(a.call.RequestID)
		return
	}
	b.retrier.EndRequest(a.call.RequestID, a.held)
}
