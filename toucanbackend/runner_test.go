package toucanbackend_test

import (
	"context"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/platform"
	"toucanhaven/platform/platformtest"
	"toucanhaven/toucanbackend"
	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
	"toucanhaven/toucanmemory"
	"toucanhaven/toucanpeer"
	"toucanhaven/toucanretry"
)

// testBodyBytes is the memory for bodies of the runners in tests.
const testBodyBytes = 4 << 20

func newRunner(t *testing.T) (*toucanbackend.Runner, *platformtest.Backend) {
	return newRunnerWithClock(t, toucanclock.System{})
}

func newRunnerWithClock(t *testing.T, clock toucanclock.Clock) (*toucanbackend.Runner, *platformtest.Backend) {
	b := platformtest.NewBackend(t, "orders", "i-1", "")
	r := toucanbackend.NewRunner(toucanbackend.Options{
		Names: platform.Headers(), Clock: clock, Log: slog.New(slog.DiscardHandler),
		Bodies:       toucanmemory.NewBudget(testBodyBytes),
		RetryBudget:  toucanretry.NewBudget(clock, 10*time.Second, 0.2, 10),
		CountServing: func(string) int { return 1 }, OnChange: func(toucanbackend.Server) {},
	})
	r.Observe(toucanbackend.Heartbeat{
		Instance: "i-1", Service: "orders", Address: b.Address, Slots: 4, State: toucanbackend.Ready, Sequence: 1, Born: 1,
	})
	return r, b
}

func newCall(id string) *toucanpeer.Call {
	return &toucanpeer.Call{ID: id, Service: "orders", Method: "POST", URI: "/order/1", Host: "h", Left: 2 * time.Second, Target: time.Second}
}

// A node that asks for the outcome of a call after its result has expired must not
// get "not run" as the reply, and the call must not run a second time.
func TestOutcomeOfExpiredRunIsUnknown(t *testing.T) {
	is := is.New(t)
	r, b := newRunner(t)
	ctx := context.Background()
	is.Equal(r.Run(ctx, newCall("x")).Outcome, toucancall.Answered)
	is.Equal(r.Await(ctx, "x").Outcome, toucancall.Answered) // within resultRetention
	time.Sleep(2500 * time.Millisecond)
	is.Equal(r.Await(ctx, "x").Outcome, toucancall.Unknown)
	is.Equal(r.Run(ctx, newCall("x")).Outcome, toucancall.Unknown)
	is.Equal(b.Runs("x"), 1)
}

// A call must not run if it arrives after its outcome was asked for, because the
// reply was "not run".
func TestAwaitedCallThatArrivesLateIsRefused(t *testing.T) {
	is := is.New(t)
	r, b := newRunner(t)
	ctx := context.Background()
	is.Equal(r.Await(ctx, "x").Outcome, toucancall.NotRun)
	is.Equal(r.Run(ctx, newCall("x")).Outcome, toucancall.NotRun)
	is.Equal(b.Runs("x"), 0)
}

// Two concurrent calls with the same id must run once and get the same result.
func TestConcurrentDuplicatesRunOnce(t *testing.T) {
	is := is.New(t)
	r, b := newRunner(t)
	b.SetAnswer(platformtest.RespondAfter(100 * time.Millisecond))
	results := make(chan toucanpeer.Result, 2)
	for range 2 {
		go func() { results <- r.Run(context.Background(), newCall("x")) }()
	}
	for range 2 {
		is.Equal((<-results).Outcome, toucancall.Answered)
	}
	is.Equal(b.Runs("x"), 1)
}

// Waiting calls start in order of priority, and the calls that run never exceed
// the slots.
func TestUrgentCallsStartFirst(t *testing.T) {
	is := is.New(t)
	r, b := newRunner(t)
	b.SetAnswer(platformtest.RespondAfter(80 * time.Millisecond))
	ends := make(chan string, 32)
	runWithPriority := func(id string, priority int) {
		c := newCall(id)
		c.Priority = priority
		if r.Run(context.Background(), c).Outcome == toucancall.Answered {
			ends <- id
		}
	}
	for i := range 12 {
		go runWithPriority(string(rune('a'+i)), 2)
	}
	time.Sleep(20 * time.Millisecond)
	is.True(r.Report().Running <= 4)
	go runWithPriority("urgent", 0)
	for i := range 13 {
		if <-ends == "urgent" {
			is.True(i < 9) // before at least a third of the earlier calls
			return
		}
	}
	t.Fatal("the urgent call got no answer")
}

// A run that has ended must not keep its request, and its result counts in the memory until it has
// expired, once for the caller and for the kept copy.
func TestEndedRunKeepsOnlyItsResult(t *testing.T) {
	is := is.New(t)
	r, _ := newRunner(t)
	released := make(chan struct{})
	var res toucanpeer.Result
	func() {
		c := newCall("x")
		runtime.SetFinalizer(c, func(*toucanpeer.Call) { close(released) })
		res = r.Run(context.Background(), c)
	}()
	is.Equal(res.Outcome, toucancall.Answered)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		runtime.GC()
		select {
		case <-released:
			end = time.Now()
		default:
		}
	}
	select {
	case <-released:
	default:
		t.Error("the call is kept while its result is")
	}
	used := r.UsedMemory()
	is.True(used > 0)
	res.Release()
	is.Equal(r.UsedMemory(), used)
	for end := time.Now().Add(5 * time.Second); r.UsedMemory() > 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
	}
	is.Equal(r.UsedMemory(), int64(0))
}
