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
	// throttleHalfLife is the half-life of the counts of requests and answers.
	throttleHalfLife = 500 * time.Millisecond
	// throttleFactor is how many requests are let through for each that is
	// answered well. Above 1, so that the rate grows again after an overload.
	throttleFactor = 1.25
	// throttleFloor is the least part of the requests that is let through, and
	// throttleMin the number of requests below which none is held back.
	throttleFloor = 0.05
	throttleMin   = 5
	// failureHalfLife is the half-life of the failures by which a route is known
	// to depend on what is short, and failureMin their least number.
	failureHalfLife = 5 * time.Second
	failureMin      = 2
	// pressureGain is the weight of a new report in the pressure below a service,
	// and pressureTime how long the last one counts.
	pressureGain = 0.3
	pressureTime = time.Second
	// pressureCalls is the number of calls that the share of refusals is taken of
	// besides those made, so that one refusal is no shortage.
	pressureCalls = 20
	// pressureMin is the pressure from which requests are held back.
	pressureMin = 0.03
)

// throttle holds back requests at the entry whose calls would be refused deeper
// in the graph. It needs two signs: the nodes of the service report that calls
// below them are refused for overload, and the route's own requests fail. Its
// zero value is ready to use.
type throttle struct {
	mu       sync.Mutex
	routes   map[string]*tally
	services map[string]*pressure // as the entry sees them
	below    map[string]*pressure // of the calls that the backend server makes
}

// tally counts the requests of a route and those that were answered well.
type tally struct {
	priority          int
	requests, answers float64
	failures          float64 // with the longer half-life
	pressed           bool    // at the last request, calls were refused below the service
	updated           time.Time
}

// admitted is the part of the route's requests that is let through.
func (c *tally) admitted() float64 {
	if !c.pressed || c.requests < throttleMin {
		return 1
	}
	return min(1, max(throttleFloor, throttleFactor*c.answers/c.requests))
}

// pressure is what is known of the calls to a service: how many are refused for
// overload there, and what its nodes report of the calls below them.
type pressure struct {
	calls, refusals float64
	below           float64
	updated         time.Time
}

// at returns the share of calls that are refused, at the service or below it.
// It falls with time when nothing is refused, however few calls there are.
func (p *pressure) at(now time.Time) float64 {
	if p == nil {
		return 0
	}
	age := now.Sub(p.updated)
	if age > pressureTime {
		return 0
	}
	fade := math.Exp2(-age.Seconds() / throttleHalfLife.Seconds())
	return max(p.refusals*fade/(p.calls*fade+pressureCalls), p.below)
}

func (p *pressure) note(refused bool, below float64, now time.Time) {
	age := now.Sub(p.updated)
	if age > pressureTime {
		*p = pressure{}
	}
	fade := math.Exp2(-age.Seconds() / throttleHalfLife.Seconds())
	p.calls, p.refusals = p.calls*fade+1, p.refusals*fade
	if refused {
		p.refusals++
	}
	p.below += pressureGain * (below - p.below)
	p.updated = now
}

// admit counts a request and reports whether it may go on, with the part of the
// route's requests that is let through and the pressure of its service. No
// route that depends on what is short is let through more than a more urgent
// one.
func (t *throttle) admit(r *toucanroute.Route, service string, now time.Time) (ok bool, admitted, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.tally(r.Name, now)
	c.requests++
	share = t.services[service].at(now)
	c.priority, c.pressed = r.Priority, share >= pressureMin
	admitted = c.admitted()
	if c.pressed && c.failures >= failureMin {
		for _, other := range t.routes {
			if other.priority < c.priority && other.failures >= failureMin {
				admitted = min(admitted, other.admitted())
			}
		}
	}
	return admitted >= 1 || rand.Float64() < admitted, admitted, share
}

// answered notes the answer of a backend server. A success counts for the rate
// at which requests are let through.
func (t *throttle) answered(route string, status int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.tally(route, now)
	switch {
	case status < 500:
		c.answers++
	case c.pressed:
		c.failures++
	}
}

// withdrawn takes back a request that ended for another reason than overload
// below its service.
func (t *throttle) withdrawn(route string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.tally(route, now)
	c.requests = max(0, c.requests-1)
}

// tally returns the counts of a route as of now. mu is held.
func (t *throttle) tally(route string, now time.Time) *tally {
	c := t.routes[route]
	if c == nil {
		c = &tally{updated: now}
		if t.routes == nil {
			t.routes = make(map[string]*tally)
		}
		t.routes[route] = c
	}
	age := now.Sub(c.updated).Seconds()
	fade := math.Exp2(-age / throttleHalfLife.Seconds())
	c.requests, c.answers, c.updated = c.requests*fade, c.answers*fade, now
	c.failures *= math.Exp2(-age / failureHalfLife.Seconds())
	return c
}

// note takes the outcome of a call to a node of a service.
func (t *throttle) note(service string, r toucanpeer.Result, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	refused := r.Outcome == toucancall.NotRun && r.Reason == toucancall.ReasonOverload
	if t.services == nil {
		t.services, t.below = make(map[string]*pressure), make(map[string]*pressure)
	}
	seen := []map[string]*pressure{t.services}
	if r.Child {
		seen = append(seen, t.below)
	}
	for _, m := range seen {
		if m[service] == nil {
			m[service] = &pressure{}
		}
		m[service].note(refused, r.Report.Pressure, now)
	}
}

// Pressure is the highest pressure of the services that the backend server of
// this VM calls, as it is reported to the nodes that call this one. Requests of
// callers do not count: what they meet says nothing of this service.
func (e *Entry) Pressure() float64 {
	now := e.Clock.Now()
	e.throttle.mu.Lock()
	defer e.throttle.mu.Unlock()
	highest := 0.0
	for _, p := range e.throttle.below {
		highest = max(highest, p.at(now))
	}
	return highest
}
