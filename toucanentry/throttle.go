package toucanentry

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanpeer"
	"toucanhaven/toucanroute"
)

const (
	// countHalfLife is the half-life of the counts of requests and successes per
	// route, and of calls and refusals per service.
	countHalfLife = 500 * time.Millisecond
	// admittedPerSuccess is the number of requests admitted for each successful
	// one. It is above 1 so that the rate grows again after an overload.
	admittedPerSuccess = 1.25
	// minAdmittedShare is the least share of a route's requests that is admitted.
	// While the decayed count of requests is below minThrottledRequests, all are
	// admitted.
	minAdmittedShare     = 0.05
	minThrottledRequests = 5
	// A route with at least minFailures recent failures is taken to depend on the
	// overloaded service. failureHalfLife is the half-life of the failure count.
	failureHalfLife = 5 * time.Second
	minFailures     = 2
	// The pressure of a service is the share of its calls, from 0 to 1, that are
	// refused for overload by the service itself or by services below it.
	// pressureWeight is the weight of a new report in the exponential moving
	// average of the pressure that the nodes of a service report. pressureMaxAge
	// is the time after which the last report no longer counts.
	pressureWeight = 0.3
	pressureMaxAge = time.Second
	// pressurePriorCalls is added to the number of calls when the share of
	// refusals is computed, so that a single refusal does not count as overload.
	pressurePriorCalls = 20
	// minThrottlePressure is the pressure from which requests are throttled.
	minThrottlePressure = 0.03
)

// throttle refuses requests at the entry whose calls would be refused deeper in
// the call graph (adaptive throttling). It refuses requests of a route only if the
// nodes of its service report that the calls below them are refused for overload
// and the route's own requests fail. Its zero value is ready to use.
type throttle struct {
	mu         sync.Mutex
	routes     map[string]*routeStats
	services   map[string]*serviceStats // of all calls that the entry sends
	childCalls map[string]*serviceStats // of calls on routes that backend servers use (Result.Child)
}

// routeStats counts the requests of a route and those that succeeded.
type routeStats struct {
	priority            int
	requests, successes float64
	failures            float64 // decays with failureHalfLife
	underPressure       bool    // the pressure reached minThrottlePressure at the last request
	updated             time.Time
}

// admittedShare returns the share of the route's requests to admit.
func (c *routeStats) admittedShare() float64 {
	if !c.underPressure || c.requests < minThrottledRequests {
		return 1
	}
	return min(1, max(minAdmittedShare, admittedPerSuccess*c.successes/c.requests))
}

// serviceStats counts the calls to a service and those that it refused for
// overload, and averages the pressure that its nodes report.
type serviceStats struct {
	calls, refusals  float64
	reportedPressure float64
	updated          time.Time
}

// pressure returns the pressure of the service: the higher of the share of calls that
// the service itself refuses and the pressure that its nodes report. Without refusals
// it decays with time, even if there are few calls.
func (p *serviceStats) pressure(now time.Time) float64 {
	if p == nil {
		return 0
	}
	age := now.Sub(p.updated)
	if age > pressureMaxAge {
		return 0
	}
	decay := math.Exp2(-age.Seconds() / countHalfLife.Seconds())
	return max(p.refusals*decay/(p.calls*decay+pressurePriorCalls), p.reportedPressure)
}

func (p *serviceStats) record(refused bool, reportedPressure float64, now time.Time) {
	age := now.Sub(p.updated)
	if age > pressureMaxAge {
		*p = serviceStats{}
	}
	decay := math.Exp2(-age.Seconds() / countHalfLife.Seconds())
	p.calls, p.refusals = p.calls*decay+1, p.refusals*decay
	if refused {
		p.refusals++
	}
	p.reportedPressure += pressureWeight * (reportedPressure - p.reportedPressure)
	p.updated = now
}

// admit counts a request and reports whether it is admitted. It also returns the
// share of the route's requests that is admitted and the pressure of the service.
// Among the routes that depend on the overloaded service, the share of a route is
// at most that of each more urgent route.
func (t *throttle) admit(r *toucanroute.Route, service string, now time.Time) (ok bool, admittedShare, pressure float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.statsOf(r.Name, now)
	c.requests++
	pressure = t.services[service].pressure(now)
	c.priority, c.underPressure = r.Priority, pressure >= minThrottlePressure
	admittedShare = c.admittedShare()
	if c.underPressure && c.failures >= minFailures {
		for _, other := range t.routes {
			if other.priority < c.priority && other.failures >= minFailures {
				admittedShare = min(admittedShare, other.admittedShare())
			}
		}
	}
	return admittedShare >= 1 || rand.Float64() < admittedShare, admittedShare, pressure
}

// recordResponse counts the response of a backend server as a success or, under
// pressure, as a failure. The successes determine the share that is admitted.
func (t *throttle) recordResponse(route string, status int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.statsOf(route, now)
	switch {
	case status < 500:
		c.successes++
	case c.underPressure:
		c.failures++
	}
}

// withdrawRequest removes a request from the count, because it ended for another
// reason than overload below its service.
func (t *throttle) withdrawRequest(route string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.statsOf(route, now)
	c.requests = max(0, c.requests-1)
}

// statsOf returns the counts of a route, decayed to now. mu is held.
func (t *throttle) statsOf(route string, now time.Time) *routeStats {
	c := t.routes[route]
	if c == nil {
		c = &routeStats{updated: now}
		if t.routes == nil {
			t.routes = make(map[string]*routeStats)
		}
		t.routes[route] = c
	}
	age := now.Sub(c.updated).Seconds()
	decay := math.Exp2(-age / countHalfLife.Seconds())
	c.requests, c.successes, c.updated = c.requests*decay, c.successes*decay, now
	c.failures *= math.Exp2(-age / failureHalfLife.Seconds())
	return c
}

// recordResult records the outcome of a call to a node of a service and the pressure
// that the node reports.
func (t *throttle) recordResult(service string, r toucanpeer.Result, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	refused := r.Outcome == toucancall.NotRun && r.Reason == toucancall.ReasonOverload
	if t.services == nil {
		t.services, t.childCalls = make(map[string]*serviceStats), make(map[string]*serviceStats)
	}
	tables := []map[string]*serviceStats{t.services}
	if r.Child {
		tables = append(tables, t.childCalls)
	}
	for _, m := range tables {
		if m[service] == nil {
			m[service] = &serviceStats{}
		}
		m[service].record(refused, r.Report.Pressure, now)
	}
}

// Pressure returns the highest pressure among the services that the backend server
// of this VM calls. The node reports it to the nodes that call it. Requests of
// callers are left out, because their outcomes say nothing about the service of this
// VM.
func (e *Entry) Pressure() float64 {
	now := e.Clock.Now()
	e.throttle.mu.Lock()
	defer e.throttle.mu.Unlock()
	highest := 0.0
	for _, p := range e.throttle.childCalls {
		highest = max(highest, p.pressure(now))
	}
	return highest
}
