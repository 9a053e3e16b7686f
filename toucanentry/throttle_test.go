package toucanentry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclock"
	"toucanhaven/toucanpeer"
	"toucanhaven/toucanroute"
)

var (
	refusedForOverload  = toucanpeer.Result{Outcome: toucancall.NotRun, Reason: toucancall.ReasonOverload}
	failedUnderPressure = toucanpeer.Result{Outcome: toucancall.Answered, Status: 500, Report: toucanpeer.Report{Pressure: 0.3}}
	succeeded           = toucanpeer.Result{Outcome: toucancall.Answered, Status: 200}
)

// dependentService models a service whose requests fail when a service below it
// refuses their calls. Requests beyond capacity fail.
type dependentService struct {
	capacity float64 // requests a second
	backlog  float64
	updated  time.Time
}

func (d *dependentService) handle(now time.Time) toucanpeer.Result {
	d.backlog = max(0, d.backlog-d.capacity*now.Sub(d.updated).Seconds())
	d.updated = now
	if d.backlog >= d.capacity/10 {
		return failedUnderPressure
	}
	d.backlog++
	return succeeded
}

// sendRequests sends requests of random routes to the service at a constant rate
// and returns for each route how many were admitted and how many succeeded.
func sendRequests(t *throttle, d *dependentService, routes []*toucanroute.Route, perSecond float64, from time.Time, seconds float64) (admitted, successes []int) {
	admitted, successes = make([]int, len(routes)), make([]int, len(routes))
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range int(perSecond * seconds) {
		now := from.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))
		k := rng.IntN(len(routes))
		r := routes[k]
		if ok, _, _ := t.admit(r, "s", now); !ok {
			continue
		}
		admitted[k]++
		res := d.handle(now)
		t.recordResult("s", res, now)
		t.recordResponse(r.Name, res.Status, now)
		if res.Status < 500 {
			successes[k]++
		}
	}
	return admitted, successes
}

func TestThrottleFollowsCapacityBelow(t *testing.T) {
	is := is.New(t)
	var th throttle
	start := time.Unix(1000, 0)
	d := &dependentService{capacity: 50, updated: start}
	r := []*toucanroute.Route{{Name: "r", Priority: 1}}
	admitted, successes := sendRequests(&th, d, r, 100, start, 20)
	is.True(successes[0] > 850)                // of the 1,000 for which there is capacity
	is.True(admitted[0]-successes[0] < 2000/4) // wasted work, which is 1,000 without a throttle
	d.capacity = 200
	admitted, _ = sendRequests(&th, d, r, 100, start.Add(20*time.Second), 10)
	is.True(admitted[0] > 900) // the rate recovers soon after the overload
}

// Guards against throttling a route whose requests fail without overload below the
// service.
func TestThrottleIgnoresOtherFailures(t *testing.T) {
	is := is.New(t)
	var th throttle
	now := time.Unix(1000, 0)
	r := &toucanroute.Route{Name: "r"}
	for range 100 {
		ok, _, _ := th.admit(r, "s", now)
		is.True(ok)
		th.recordResult("s", toucanpeer.Result{Outcome: toucancall.Answered, Status: 500}, now)
		th.recordResponse("r", 500, now)
	}
}

// Guards against throttling a route that does not depend on the overloaded service.
func TestThrottleAdmitsIndependentRoutes(t *testing.T) {
	is := is.New(t)
	var th throttle
	now := time.Unix(1000, 0)
	leaf, deep := &toucanroute.Route{Name: "leaf", Priority: 2}, &toucanroute.Route{Name: "deep", Priority: 1}
	refused := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		ok, _, _ := th.admit(leaf, "s", now)
		is.True(ok)
		th.recordResponse("leaf", 200, now)
		if ok, _, _ := th.admit(deep, "s", now); !ok {
			refused++
			continue
		}
		th.recordResult("s", failedUnderPressure, now)
		th.recordResponse("deep", 500, now)
	}
	is.True(refused > 50)
}

// Guards against admitting a less urgent route more often than a more urgent one when
// both depend on the overloaded service. A difference of 5 in 100 is allowed.
func TestThrottlePrefersUrgentRoutes(t *testing.T) {
	is := is.New(t)
	var th throttle
	start := time.Unix(1000, 0)
	d := &dependentService{capacity: 50, updated: start}
	routes := []*toucanroute.Route{{Name: "urgent", Priority: 1}, {Name: "plain", Priority: 2}}
	admitted, _ := sendRequests(&th, d, routes, 100, start, 20)
	// Each route has about 1,000 requests; 50 are 5 in 100.
	is.True(admitted[0] > admitted[1]-50)
}

// Guards against counting the requests of callers in the pressure that a node
// reports, and against pressure that persists after the refusals have stopped.
func TestPressureOfChildCalls(t *testing.T) {
	is := is.New(t)
	clock := toucanclock.NewManual(time.Unix(1000, 0))
	e := &Entry{Clock: clock}
	now := e.Clock.Now()
	for range 200 {
		e.throttle.recordResult("s", refusedForOverload, now) // a caller's request
	}
	is.Equal(e.Pressure(), 0.0)
	child := refusedForOverload
	child.Child = true
	for range 200 {
		e.throttle.recordResult("s", child, now)
	}
	is.True(e.Pressure() > 0.9)
	// One successful call must lower the pressure, because few calls are made while
	// most requests are throttled.
	clock.Advance(3 * time.Second)
	child = succeeded
	child.Child = true
	e.throttle.recordResult("s", child, clock.Now())
	is.True(e.Pressure() < minThrottlePressure)
}
