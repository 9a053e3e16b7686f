package toucanretry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanhaven/toucanclock"
)

// In every sliding window, all nodes together send at most the retries that the
// shared budget allows for the requests of that window, of the previous window, or
// of the window that begins half a window earlier.
func TestBudgetOverAllNodes(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		clock := toucanclock.NewManual(time.Unix(1000, 0))
		nodes := rapid.IntRange(1, 6).Draw(t, "nodes")
		budgets := make([]*Budget, nodes)
		for i := range budgets {
			budgets[i] = NewBudget(clock, window, 0.2, 40)
		}
		type event struct {
			at    time.Time
			retry bool
		}
		var events []event
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
				*b = *NewBudget(clock, window, 0.2, 40)
			}
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				b.CountRequest("s", rapid.Bool().Draw(t, "urgent"))
				events = append(events, event{at: clock.Now()})
				if rapid.Bool().Draw(t, "fails") && b.SpendRetry("s", nodes, rapid.Bool().Draw(t, "urgent repeat")) {
					events = append(events, event{clock.Now(), true})
				}
			}
		}
		count := func(from time.Time, retries bool) float64 {
			n := 0.0
			for _, e := range events {
				if e.retry == retries && !e.at.Before(from) && e.at.Before(from.Add(window)) {
					n++
				}
			}
			return n
		}
		for _, e := range events {
			requests := max(count(e.at, false), count(e.at.Add(-window), false), count(e.at.Add(-window/2), false))
			if retries := count(e.at, true); retries > 0.2*requests+40 {
				t.Fatalf("%v retries in a window with %v requests", retries, requests)
			}
		}
	})
}

func TestBudgetReservesRetriesForUrgentRequests(t *testing.T) {
	is := is.New(t)
	clock := toucanclock.NewManual(time.Unix(1000, 0))
	b := NewBudget(clock, 10*time.Second, 0.2, 0)
	for range 100 {
		b.CountRequest("s", true)
	}
	other, urgent := 0, 0
	for b.SpendRetry("s", 1, false) {
		other++
	}
	for b.SpendRetry("s", 1, true) {
		urgent++
	}
	is.Equal(other, 1)
	is.Equal(other+urgent, 20)
}

// Guards against spending the whole budget in the first second of a long overload.
// Urgent requests must get their part of the retries until its end, even if there
// are fewer requests than before the overload.
func TestBudgetLastsThroughLongOverload(t *testing.T) {
	const ratio, urgent, otherBefore, otherDuring, failureRate = 0.2, 50, 950, 250, 0.55
	clock := toucanclock.NewManual(time.Unix(1000, 0))
	b := NewBudget(clock, 10*time.Second, ratio, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	runSecond := func(other int, overloaded bool) (granted int) {
		for i := range urgent + other {
			isUrgent := i%(urgent+other)*urgent/(urgent+other) != (i+1)*urgent/(urgent+other) // spread evenly
			b.CountRequest("s", isUrgent)
			for overloaded && rng.Float64() < failureRate && b.SpendRetry("s", 1, isUrgent) {
				if isUrgent {
					granted++
				}
			}
			clock.Advance(time.Second / time.Duration(urgent+other))
		}
		return granted
	}
	for range 12 {
		runSecond(otherBefore, false)
	}
	for i := range 8 {
		got := runSecond(otherDuring, true)
		// At least half of the retries that the requests of this second allow.
		if want := int(ratio * (urgent + otherDuring) / 2); got < want {
			t.Errorf("second %d: urgent requests got %d retries, want at least %d", i, got, want)
		}
	}
}

// Guards against a restarted node that spends its part of the fixed number again
// within one window.
func TestBudgetAfterRestart(t *testing.T) {
	is := is.New(t)
	clock := toucanclock.NewManual(time.Unix(1000, 0))
	b := NewBudget(clock, 10*time.Second, 0.2, 40)
	is.Equal(b.SpendRetry("s", 1, true), false)
	clock.Advance(10 * time.Second)
	is.Equal(b.SpendRetry("s", 1, true), true)
}
