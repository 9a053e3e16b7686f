package toucancall_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanhaven/toucancall"
)

// A proof exists exactly if every attempt ended with NotRun.
func TestProofNeedsNotRunOfEveryAttempt(t *testing.T) {
	outcomes := []toucancall.Outcome{
		toucancall.NotRun, toucancall.NotRun, toucancall.NotRun, toucancall.Answered, toucancall.Failed, toucancall.Unknown, "", "other",
	}
	rapid.Check(t, func(t *rapid.T) {
		a := toucancall.NewAttempts()
		mayHaveRun := 0
		for i := range rapid.IntRange(0, 8).Draw(t, "attempts") {
			a = a.WithAttempt(fmt.Sprint(i))
			if _, ok := a.ProveNotRun(); ok {
				t.Fatal("proof while an attempt is in progress")
			}
			o := rapid.SampledFrom(outcomes).Draw(t, "outcome")
			a = a.WithOutcome(o, toucancall.ReasonOverload)
			if o != toucancall.NotRun {
				mayHaveRun++
			}
		}
		proof, ok := a.ProveNotRun()
		if want := mayHaveRun == 0; ok != want || proof.Valid() != want || a.PossibleRuns() != mayHaveRun {
			t.Fatalf("proof %v for %v", ok, a)
		}
	})
}

// A record that was not started with NewAttempts may lack attempts.
func TestZeroAttemptsProveNothing(t *testing.T) {
	is := is.New(t)
	var zero toucancall.Attempts
	for _, a := range []toucancall.Attempts{
		zero,
		zero.WithAttempt("a").WithOutcome(toucancall.NotRun, toucancall.ReasonOverload),
		toucancall.NewAttempts().WithOutcome(toucancall.NotRun, toucancall.ReasonOverload),
	} {
		proof, ok := a.ProveNotRun()
		is.Equal(ok, false)
		is.Equal(proof.Valid(), false)
	}
}

// Attempts must not change when others are derived from them.
func TestAttemptsAreImmutable(t *testing.T) {
	is := is.New(t)
	none := toucancall.NewAttempts()
	one := none.WithAttempt("a")
	refused := one.WithOutcome(toucancall.NotRun, toucancall.ReasonOverload)
	answered := one.WithOutcome(toucancall.Answered, "")
	left, right := refused.WithAttempt("b"), refused.WithAttempt("c")
	is.Equal(none.Count(), 0)
	is.Equal(one.String(), "a:unknown")
	is.Equal(answered.String(), "a:answered")
	is.Equal(left.String(), "a:not_run/overload,b:unknown")
	is.Equal(right.String(), "a:not_run/overload,c:unknown")
}

func TestReachedBackend(t *testing.T) {
	for _, tt := range []struct {
		outcome toucancall.Outcome
		reason  toucancall.Reason
		want    bool
	}{
		{toucancall.NotRun, toucancall.ReasonOverload, false},
		{toucancall.NotRun, toucancall.ReasonBackendRefused, true},
		{toucancall.Unknown, toucancall.ReasonConnectionLost, true},
		{toucancall.Answered, "", true},
	} {
		is := is.New(t)
		a := toucancall.NewAttempts().WithAttempt("a").WithOutcome(tt.outcome, tt.reason)
		is.Equal(a.ReachedBackend(), tt.want)
	}
}

func ExampleAttempts() {
	a := toucancall.NewAttempts()
	a = a.WithAttempt("n1").WithOutcome(toucancall.NotRun, toucancall.ReasonOverload)
	a = a.WithAttempt("n2")
	_, ok := a.ProveNotRun()
	fmt.Println(a, ok)
	a = a.WithOutcome(toucancall.NotRun, toucancall.ReasonLeaving)
	_, ok = a.ProveNotRun()
	fmt.Println(a, ok)
	// Output:
	// n1:not_run/overload,n2:unknown false
	// n1:not_run/overload,n2:not_run/leaving true
}
