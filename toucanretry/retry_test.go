package toucanretry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
)

func newTestRetrier() (*Retrier, *toucanclock.Manual) {
	clock := toucanclock.NewManual(time.Unix(1_800_000_000, 0))
	return NewRetrier(clock, rand.New(rand.NewPCG(1, 2))), clock
}

// Guards against an allowance that grows when a faulty peer returns more retries
// than it was lent, or that is created from an absurd number.
func TestAllowanceNeverGrows(t *testing.T) {
	for _, claimed := range []int{-5, 0, 1, 2, 3, 1_000_000} {
		t.Run(fmt.Sprint(claimed), func(t *testing.T) {
			is := is.New(t)
			a := NewAllowance(1_000_000)
			is.Equal(a.Available(), toucancall.MaxRetries)
			lent := a.Lend()
			is.Equal(lent, 2)
			a.Return(lent, claimed)
			is.True(a.Available() <= toucancall.MaxRetries)
			a.Return(lent, claimed) // a second return of the same retries
			is.True(a.Available() <= toucancall.MaxRetries)
		})
	}
}

// Guards against a chain in which every level retries with its own allowance.
func TestAllowanceBoundsWholeChain(t *testing.T) {
	is := is.New(t)
	var attempts [9]int
	var call func(depth int, a *Allowance)
	call = func(depth int, a *Allowance) {
		if depth == len(attempts) {
			return
		}
		for {
			attempts[depth]++
			lent := a.Lend()
			child := NewAllowance(lent)
			call(depth+1, &child)
			a.Return(lent, child.Available())
			if !a.SpendRetry() {
				return
			}
		}
	}
	a := NewAllowance(toucancall.MaxRetries)
	call(0, &a)
	for _, n := range attempts {
		is.True(n <= 1+toucancall.MaxRetries)
	}
}

// Guards against a caller that gets a new allowance by sending its request again.
func TestCallerRetryDoesNotRefillAllowance(t *testing.T) {
	is := is.New(t)
	r, clock := newTestRetrier()
	a, ok := r.BeginRequest("ordini", "request-1")
	is.True(ok)
	_, ok = r.BeginRequest("ordini", "request-1")
	is.True(!ok) // the first attempt still runs
	is.True(a.SpendRetry())
	r.EndRequest("request-1", a)
	attempts := 2
	for range 10 {
		if _, ok := r.BeginRequest("ordini", "request-1"); ok {
			attempts++
			r.EndRequest("request-1", Allowance{available: 3})
		}
		clock.Advance(time.Second)
	}
	is.Equal(attempts, 1+toucancall.MaxRetries)
	clock.Advance(idTTL)
	_, ok = r.BeginRequest("ordini", "request-1")
	is.True(ok)
}

// Guards against a refusal at the entry that costs the caller its retries.
func TestWithdrawRestoresAllowance(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRetrier()
	for range 20 {
		a, ok := r.BeginRequest("ordini", "request-1")
		is.True(ok)
		is.Equal(a.Available(), toucancall.MaxRetries)
		r.WithdrawRequest("request-1")
	}
}

// Guards against unbounded memory under made-up request ids and services.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRetrier()
	for i := range 2 * maxIDs {
		r.BeginRequest(fmt.Sprint("service", i), fmt.Sprint("request", i))
	}
	is.Equal(len(r.ids), maxIDs)
	is.Equal(len(r.ring), maxIDs)
	is.Equal(len(r.tokens), maxServices)
}

func TestScheduleRetry(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	base := Attempt{
		Service: "ordini", Number: 1, Outcome: toucancall.NotRun, Reason: toucancall.ReasonConnect,
		Deadline: start.Add(time.Second),
	}
	tests := []struct {
		name   string
		modify func(*Attempt)
		want   bool
	}{
		{"not_run", func(*Attempt) {}, true},
		{"overload", func(t *Attempt) { t.Reason = toucancall.ReasonOverload }, true},
		{"tenant_share", func(t *Attempt) { t.Reason = toucancall.ReasonTenantShare }, false},
		{"unknown_at_most_once", func(t *Attempt) { t.Outcome = toucancall.Unknown }, false},
		{"unknown_safe", func(t *Attempt) { t.Outcome, t.SafeToRetry = toucancall.Unknown, true }, true},
		{"answered", func(t *Attempt) { t.Outcome, t.SafeToRetry = toucancall.Answered, true }, false},
		{"deadline_near", func(t *Attempt) { t.Deadline = start.Add(time.Millisecond) }, false},
		{"cancelled", func(t *Attempt) { t.Reason = toucancall.ReasonCancelled }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r, _ := newTestRetrier()
			a := NewAllowance(3)
			attempt := base
			tt.modify(&attempt)
			delay, ok := r.ScheduleRetry(&a, attempt)
			is.Equal(ok, tt.want)
			if ok {
				is.True(delay > 0 && delay <= baseDelay)
				is.Equal(a.Available(), 2)
			}
		})
	}
}

// Guards against a retry storm at one service: retries are limited to 10% of its
// requests plus a burst of 10.
func TestServiceTokenBucket(t *testing.T) {
	is := is.New(t)
	r, clock := newTestRetrier()
	retries := 0
	for i := range 1000 {
		a, _ := r.BeginRequest("ordini", fmt.Sprint(i))
		if _, ok := r.ScheduleRetry(&a, Attempt{
			Service: "ordini", Number: 1, Outcome: toucancall.NotRun, Deadline: clock.Now().Add(time.Second),
		}); ok {
			retries++
		}
	}
	is.True(retries >= 100 && retries <= 110)
}

// Guards against callers and calls that retry at the same time after an outage.
func TestDelaysSpread(t *testing.T) {
	is := is.New(t)
	r, _ := newTestRetrier()
	buckets := map[time.Duration]int{}
	for range 1000 {
		buckets[r.RetryAfter()/(100*time.Millisecond)]++
		d := r.backoffDelay(100)
		is.True(d > 0 && d <= maxDelay)
	}
	for _, n := range buckets {
		is.True(n < 100)
	}
}

func BenchmarkBeginScheduleEnd(b *testing.B) {
	r, clock := newTestRetrier()
	ids := make([]string, 1<<17)
	for i := range ids {
		ids[i] = fmt.Sprint("request-", i)
	}
	for i := 0; b.Loop(); i++ {
		id := ids[i%len(ids)]
		a, _ := r.BeginRequest("ordini", id)
		r.ScheduleRetry(&a, Attempt{Service: "ordini", Number: 1, Outcome: toucancall.NotRun, Deadline: clock.Now().Add(time.Second)})
		r.EndRequest(id, a)
	}
}
