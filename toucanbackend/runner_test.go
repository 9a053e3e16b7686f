package toucanbackend_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/platform"
	"toucanhaven/platform/platformtest"
	"toucanhaven/toucanbackend"
	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
	"toucanhaven/toucanpeer"
	"toucanhaven/toucanretry"
)

func newRunner(t *testing.T) (*toucanbackend.Runner, *platformtest.Backend) {
	b := platformtest.NewBackend(t, "orders", "i-1", "")
	clock := toucanclock.System{}
	r := toucanbackend.NewRunner(toucanbackend.Options{
		Names: platform.Headers(), Clock: clock, Log: slog.New(slog.DiscardHandler),
		Repeats:  toucanretry.NewBudget(clock, 10*time.Second, 0.2, 10),
		Siblings: func(string) int { return 1 }, OnChange: func(toucanbackend.Server) {},
	})
	r.Observe(toucanbackend.Heartbeat{
		Instance: "i-1", Service: "orders", Address: b.Address, Slots: 4, State: toucanbackend.Ready, Sequence: 1, Born: 1,
	})
	return r, b
}

func call(id string) *toucanpeer.Call {
	return &toucanpeer.Call{ID: id, Service: "orders", Method: "POST", URI: "/order/1", Host: "h", Left: 2 * time.Second, Target: time.Second}
}

// A node that asks late for the outcome of a call must not hear that the call
// did not run, and the call does not run again.
func TestOutcomeOfForgottenRunIsUnknown(t *testing.T) {
	is := is.New(t)
	r, b := newRunner(t)
	ctx := context.Background()
	is.Equal(r.Run(ctx, call("x")).Outcome, toucancall.Answered)
	is.Equal(r.Await(ctx, "x").Outcome, toucancall.Answered) // kept for a while
	time.Sleep(2500 * time.Millisecond)
	is.Equal(r.Await(ctx, "x").Outcome, toucancall.Unknown)
	is.Equal(r.Run(ctx, call("x")).Outcome, toucancall.Unknown)
	is.Equal(b.Runs("x"), 1)
}

// A call that was asked for before it arrived never runs.
func TestAwaitBarsACall(t *testing.T) {
	is := is.New(t)
	r, b := newRunner(t)
	ctx := context.Background()
	is.Equal(r.Await(ctx, "x").Outcome, toucancall.NotRun)
	is.Equal(r.Run(ctx, call("x")).Outcome, toucancall.NotRun)
	is.Equal(b.Runs("x"), 0)
}

// Two copies of a call run once and get the same answer.
func TestCopiesRunOnce(t *testing.T) {
	is := is.New(t)
	r, b := newRunner(t)
	b.SetAnswer(platformtest.RespondAfter(100 * time.Millisecond))
	results := make(chan toucanpeer.Result, 2)
	for range 2 {
		go func() { results <- r.Run(context.Background(), call("x")) }()
	}
	for range 2 {
		is.Equal((<-results).Outcome, toucancall.Answered)
	}
	is.Equal(b.Runs("x"), 1)
}

// Waiting calls start in order of priority and never exceed the slots.
func TestUrgentCallsStartFirst(t *testing.T) {
	is := is.New(t)
	r, b := newRunner(t)
	b.SetAnswer(platformtest.RespondAfter(80 * time.Millisecond))
	ends := make(chan string, 32)
	ask := func(id string, priority int) {
		c := call(id)
		c.Priority = priority
		if r.Run(context.Background(), c).Outcome == toucancall.Answered {
			ends <- id
		}
	}
	for i := range 12 {
		go ask(string(rune('a'+i)), 2)
	}
	time.Sleep(20 * time.Millisecond)
	is.True(r.Report().Running <= 4)
	go ask("urgent", 0)
	for i := range 13 {
		if <-ends == "urgent" {
			is.True(i < 9) // before at least a third of those that came first
			return
		}
	}
	t.Fatal("the urgent call got no answer")
}
