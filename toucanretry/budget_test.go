package toucanretry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanhaven/toucanclock"
)

// In no sliding window do all nodes together repeat more than the shared budget
// allows, for the requests of that window, of the one before or of the one half
// a window before.
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
			at     time.Time
			repeat bool
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
		count := func(from time.Time, repeats bool) float64 {
			n := 0.0
			for _, e := range events {
				if e.repeat == repeats && !e.at.Before(from) && e.at.Before(from.Add(window)) {
					n++
				}
			}
			return n
		}
		for _, e := range events {
			requests := max(count(e.at, false), count(e.at.Add(-window), false), count(e.at.Add(-window/2), false))
			if repeats := count(e.at, true); repeats > 0.2*requests+40 {
				t.Fatalf("%v repeats in a window with %v requests", repeats, requests)
			}
		}
	})
}

func TestBudgetKeepsRepeatsForUrgentRequests(t *testing.T) {
	is := is.New(t)
	clock := toucanclock.NewManual(time.Unix(1000, 0))
	b := NewBudget(clock, 10*time.Second, 0.2, 0)
	for range 100 {
		b.CountRequest("s", true)
	}
	plain, urgent := 0, 0
	for b.SpendRetry("s", 1, false) {
		plain++
	}
	for b.SpendRetry("s", 1, true) {
		urgent++
	}
	is.Equal(plain, 1)
	is.Equal(plain+urgent, 20)
}

// A shortage that lasts is not met with all repeats in its first second: urgent
// requests get their part of them until its end, also when there are fewer
// requests than before.
func TestBudgetOutlastsAShortage(t *testing.T) {
	const ratio, urgent, plainBefore, plainDuring, failing = 0.2, 50, 950, 250, 0.55
	clock := toucanclock.NewManual(time.Unix(1000, 0))
	b := NewBudget(clock, 10*time.Second, ratio, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	second := func(plain int, short bool) (granted int) {
		for i := range urgent + plain {
			first := i%(urgent+plain)*urgent/(urgent+plain) != (i+1)*urgent/(urgent+plain) // spread evenly
			b.CountRequest("s", first)
			for short && rng.Float64() < failing && b.SpendRetry("s", 1, first) {
				if first {
					granted++
				}
			}
			clock.Advance(time.Second / time.Duration(urgent+plain))
		}
		return granted
	}
	for range 12 {
		second(plainBefore, false)
	}
	for i := range 8 {
		got := second(plainDuring, true)
		// Half of what the requests of this second allow.
		if want := int(ratio * (urgent + plainDuring) / 2); got < want {
			t.Errorf("second %d: urgent requests got %d repeats, want %d", i, got, want)
		}
	}
}

// A node that has just started takes no part of the fixed number, which an
// earlier start of it may have spent.
func TestBudgetAfterRestart(t *testing.T) {
	is := is.New(t)
	clock := toucanclock.NewManual(time.Unix(1000, 0))
	b := NewBudget(clock, 10*time.Second, 0.2, 40)
	is.Equal(b.SpendRetry("s", 1, true), false)
	clock.Advance(10 * time.Second)
	is.Equal(b.SpendRetry("s", 1, true), true)
}
