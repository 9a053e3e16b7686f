package toucanadmission

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
	"toucanhaven/toucanclock"
)

const (
	// The gate decides on the last maxObservations observed thresholds, and on at
	// least minObservations. It refuses a call only if agreeingShare of them refuse
	// it, so that one faulty backend server of several cannot block a service.
	maxObservations = 16
	minObservations = 5
	agreeingShare   = 0.75
	// observationMaxAge is the age above which an observation is ignored, unless it
	// is among the newest minObservations.
	observationMaxAge = 300 * time.Millisecond
	// agingStart is the time after the last observation for which the threshold
	// stays unchanged. After that, agingLevelsPerStep more levels are admitted every
	// agingStep, so that calls to a service which no call reaches resume gradually.
	agingStart         = 200 * time.Millisecond
	agingStep          = 50 * time.Millisecond
	agingLevelsPerStep = 8
	// agingFirstLevel is the first level admitted again of a rank that was refused
	// entirely. It admits about one call a second of every tenant.
	agingFirstLevel = 35
	// maxGates bounds the tracked pairs of service and class.
	maxGates = 8_192
	// gateIdleTimeout is the time after the last observation of a pair from which the
	// pair may be evicted when the table is full.
	gateIdleTimeout = 10 * time.Second
)

type gateKey struct{ service, class string }

// observation is a threshold and the time at which a response carried it.
type observation struct {
	threshold Threshold
	at        time.Time
}

// thresholdState holds the observed thresholds of one service and class.
type thresholdState struct {
	recent          [maxObservations]observation
	nextIndex       int
	count           int
	agreedThreshold Threshold
	lastObserved    time.Time
	// agingFactor stretches the aging of the threshold. It is random, so that gates
	// do not admit calls again at the same time.
	agingFactor float64
}

// Gate refuses calls at an entry that the called services would refuse later. A node
// has one Gate for the requests that enter there and another for the child calls of
// its backend server. A Gate is not safe for concurrent use.
type Gate struct {
	clock      toucanclock.Clock
	rng        *rand.Rand
	tenants    *tenantTable
	states     map[gateKey]*thresholdState
	byClass    map[string][]*thresholdState // for SubtreeThreshold
	servers    map[string]int
	keys       []gateKey // keys of states, for eviction
	sweepIndex int
}

// NewGate returns a gate that admits every call.
func NewGate(clock toucanclock.Clock, rng *rand.Rand) *Gate {
	return &Gate{
		clock: clock, rng: rng, tenants: newTenantTable(),
		states: make(map[gateKey]*thresholdState), byClass: make(map[string][]*thresholdState),
		servers: make(map[string]int),
	}
}

// SetServers sets the number of backend servers of a service among which this entry
// distributes its calls. CheckRequest divides a tenant's rate by it, because levels
// are compared with rates measured at one backend server.
func (g *Gate) SetServers(service string, n int) {
	if n <= 1 {
		delete(g.servers, service)
		return
	}
	g.servers[service] = n
}

// CheckRequest decides on a request that enters the system here. It also returns the
// tenant-fair level that the request carries if it is admitted.
func (g *Gate) CheckRequest(service, class string, r toucanclass.Rank, tenant string) (level int, d Decision) {
	now := g.clock.Now()
	stats := g.tenants.statsOf(tenantKey{service, tenant, r}, now)
	stats.addRequest(now, 0)
	level = levelOf(g.rng.Float64() * stats.rate / float64(max(g.servers[service], 1)))
	return level, g.decide(service, class, r, level, now)
}

// CheckCall decides on a child call or a retry, which already has a level.
func (g *Gate) CheckCall(service, class string, r toucanclass.Rank, level int) Decision {
	return g.decide(service, class, r, level, g.clock.Now())
}

func (g *Gate) decide(service, class string, r toucanclass.Rank, level int, now time.Time) Decision {
	s := g.states[gateKey{service, class}]
	if s == nil {
		return Decision{Verdict: Start, Level: level}
	}
	t := s.agedThreshold(r, now)
	switch {
	case t.Admits(r, level):
		return Decision{Verdict: Start, Level: level}
	case t.Rank == r:
		return Decision{Verdict: Refuse, Level: level, Reason: toucancall.ReasonTenantShare}
	}
	return Decision{Verdict: Refuse, Level: level, Reason: toucancall.ReasonOverload}
}

// ObserveThreshold records the threshold that a response of the service carried.
func (g *Gate) ObserveThreshold(service, class string, t Threshold) {
	now := g.clock.Now()
	s := g.stateOf(gateKey{service, class}, now)
	if s == nil {
		return
	}
	s.recent[s.nextIndex] = observation{t, now}
	s.nextIndex = (s.nextIndex + 1) % maxObservations
	s.count = min(s.count+1, maxObservations)
	s.lastObserved = now
	s.updateAgreed(now)
}

// SubtreeThreshold returns the most restrictive threshold among the services that
// calls of a class from this node reach.
func (g *Gate) SubtreeThreshold(class string, r toucanclass.Rank) Threshold {
	t, now := AdmitAll, g.clock.Now()
	for _, s := range g.byClass[class] {
		t = t.Min(s.agedThreshold(r, now))
	}
	return t
}

// updateAgreed sets the agreed threshold. Every call that it refuses is also refused by
// at least agreeingShare of the recent observations.
func (s *thresholdState) updateAgreed(now time.Time) {
	var sorted [maxObservations]Threshold
	n := 0
	for i := range s.count {
		o := s.recent[(s.nextIndex-1-i+maxObservations)%maxObservations]
		if i >= minObservations && now.Sub(o.at) > observationMaxAge {
			break
		}
		sorted[n] = o.threshold
		n++
	}
	if n < minObservations {
		return
	}
	slices.SortFunc(sorted[:n], func(a, b Threshold) int {
		switch {
		case a.stricterThan(b):
			return -1
		case b.stricterThan(a):
			return 1
		}
		return 0
	})
	s.agreedThreshold = sorted[min(int(math.Ceil(agreeingShare*float64(n))), n-1)]
}

// agedThreshold returns the threshold for a rank: the agreed one, relaxed according to
// the time since the last observation.
func (s *thresholdState) agedThreshold(r toucanclass.Rank, now time.Time) Threshold {
	age := time.Duration(float64(now.Sub(s.lastObserved)) / s.agingFactor)
	if age < agingStart || s.agreedThreshold == AdmitAll {
		return s.agreedThreshold
	}
	t := Threshold{Rank: r, Level: agingFirstLevel + agingLevelsPerStep*int((age-agingStart)/agingStep)}
	if s.agreedThreshold.Rank == r {
		t.Level = max(t.Level, s.agreedThreshold.Level+agingLevelsPerStep)
	}
	if t.Level >= toucancall.MaxLevel {
		return AdmitAll
	}
	if s.agreedThreshold.Admits(r, t.Level) {
		return s.agreedThreshold
	}
	return t
}

// stateOf returns the state of a pair, or nil if the table is full and no pair can be
// evicted. All calls of a pair without state are admitted.
func (g *Gate) stateOf(key gateKey, now time.Time) *thresholdState {
	if s := g.states[key]; s != nil {
		return s
	}
	if len(g.states) >= maxGates && !g.evict(now) {
		return nil
	}
	s := &thresholdState{agreedThreshold: AdmitAll, agingFactor: 0.8 + 0.4*g.rng.Float64()}
	g.states[key] = s
	g.keys = append(g.keys, key)
	g.byClass[key.class] = append(g.byClass[key.class], s)
	return s
}

// evict removes one idle pair among the next pairs after sweepIndex and reports whether
// there was one.
func (g *Gate) evict(now time.Time) bool {
	for range maxSweepPerEviction {
		g.sweepIndex = (g.sweepIndex + 1) % len(g.keys)
		key := g.keys[g.sweepIndex]
		s := g.states[key]
		if now.Sub(s.lastObserved) < gateIdleTimeout {
			continue
		}
		delete(g.states, key)
		g.keys = slices.Delete(g.keys, g.sweepIndex, g.sweepIndex+1)
		remaining := slices.DeleteFunc(g.byClass[key.class], func(o *thresholdState) bool { return o == s })
		if g.byClass[key.class] = remaining; len(remaining) == 0 {
			delete(g.byClass, key.class)
		}
		return true
	}
	return false
}
