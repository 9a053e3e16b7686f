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
	// rememberedThresholds is how many recent observations decide together.
	// Three quarters of them must agree before the gate refuses, so one faulty
	// backend server of several cannot shut off a service.
	rememberedThresholds = 16
	minObservations      = 5
	agreeingShare        = 0.75
	// observationLife bounds the age of observations that decide together,
	// beyond the newest minObservations.
	observationLife = 300 * time.Millisecond
	// agingStart is how long the last observation holds unchanged. After that
	// agingLevels more levels are admitted each agingStep, so that a service
	// that no call reaches is tried again gently.
	agingStart  = 200 * time.Millisecond
	agingStep   = 50 * time.Millisecond
	agingLevels = 8
	// agingFirst admits about one call a second of every tenant, with which a
	// rank that was closed entirely is tried again.
	agingFirst = 35
	// maxGates bounds the pairs of service and class tracked.
	maxGates = 8_192
	// gateIdle is how long an unused pair is kept when room is needed.
	gateIdle = 10 * time.Second
)

type gateKey struct{ service, class string }

type observation struct {
	threshold Threshold
	at        time.Time
}

// gateState is what a gate knows of one service and class.
type gateState struct {
	recent [rememberedThresholds]observation
	next   int
	n      int
	agreed Threshold
	last   time.Time
	// stretch differs between gates, so that they do not reopen together.
	stretch float64
}

// Gate refuses at an entry what the called services would refuse later. A node
// keeps one Gate as an entry and another for child calls of its backend
// server. It is not safe for concurrent use.
type Gate struct {
	clock   toucanclock.Clock
	rng     *rand.Rand
	tenants *tenantTable
	states  map[gateKey]*gateState
	classes map[string][]*gateState // by class, for Subtree
	servers map[string]int
	ring    []gateKey // keys of states, for eviction
	hand    int
}

// NewGate returns a gate that admits every call.
func NewGate(clock toucanclock.Clock, rng *rand.Rand) *Gate {
	return &Gate{
		clock: clock, rng: rng, tenants: newTenantTable(),
		states: make(map[gateKey]*gateState), classes: make(map[string][]*gateState),
		servers: make(map[string]int),
	}
}

// SetServers tells the gate over how many backend servers of a service this
// entry spreads its calls. Levels are compared with rates measured at one
// backend server.
func (g *Gate) SetServers(service string, n int) {
	if n <= 1 {
		delete(g.servers, service)
		return
	}
	g.servers[service] = n
}

// CheckRequest decides about a request that enters here and returns the tenant-fair
// level that it carries when it is admitted.
func (g *Gate) CheckRequest(service, class string, r toucanclass.Rank, tenant string) (level int, d Decision) {
	now := g.clock.Now()
	use := g.tenants.use(tenantKey{service, tenant, r}, now)
	use.add(now, 0)
	level = levelOf(g.rng.Float64() * use.rate / float64(max(g.servers[service], 1)))
	return level, g.decide(service, class, r, level, now)
}

// CheckCall decides about a child call or a retry, which already has a level.
func (g *Gate) CheckCall(service, class string, r toucanclass.Rank, level int) Decision {
	return g.decide(service, class, r, level, g.clock.Now())
}

func (g *Gate) decide(service, class string, r toucanclass.Rank, level int, now time.Time) Decision {
	s := g.states[gateKey{service, class}]
	if s == nil {
		return Decision{Verdict: Start, Level: level}
	}
	t := s.threshold(r, now)
	switch {
	case t.Admits(r, level):
		return Decision{Verdict: Start, Level: level}
	case t.Rank == r:
		return Decision{Verdict: Refuse, Level: level, Reason: toucancall.ReasonTenantShare}
	}
	return Decision{Verdict: Refuse, Level: level, Reason: toucancall.ReasonOverload}
}

// ObserveThreshold takes the threshold that an answer of the service carried.
func (g *Gate) ObserveThreshold(service, class string, t Threshold) {
	now := g.clock.Now()
	s := g.state(gateKey{service, class}, now)
	if s == nil {
		return
	}
	s.recent[s.next] = observation{t, now}
	s.next = (s.next + 1) % rememberedThresholds
	s.n = min(s.n+1, rememberedThresholds)
	s.last = now
	s.agree(now)
}

// SubtreeThreshold returns the most restrictive threshold of all services that calls of
// a class reach from here.
func (g *Gate) SubtreeThreshold(class string, r toucanclass.Rank) Threshold {
	t, now := AdmitAll, g.clock.Now()
	for _, s := range g.classes[class] {
		t = t.Min(s.threshold(r, now))
	}
	return t
}

// agree sets the threshold on which most recent observations agree.
func (s *gateState) agree(now time.Time) {
	var sorted [rememberedThresholds]Threshold
	n := 0
	for i := range s.n {
		o := s.recent[(s.next-1-i+rememberedThresholds)%rememberedThresholds]
		if i >= minObservations && now.Sub(o.at) > observationLife {
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
		case a.before(b):
			return -1
		case b.before(a):
			return 1
		}
		return 0
	})
	s.agreed = sorted[min(int(math.Ceil(agreeingShare*float64(n))), n-1)]
}

// threshold returns the agreed threshold for a rank, aged.
func (s *gateState) threshold(r toucanclass.Rank, now time.Time) Threshold {
	age := time.Duration(float64(now.Sub(s.last)) / s.stretch)
	if age < agingStart || s.agreed == AdmitAll {
		return s.agreed
	}
	t := Threshold{Rank: r, Level: agingFirst + agingLevels*int((age-agingStart)/agingStep)}
	if s.agreed.Rank == r {
		t.Level = max(t.Level, s.agreed.Level+agingLevels)
	}
	if t.Level >= toucancall.MaxLevel {
		return AdmitAll
	}
	if s.agreed.Admits(r, t.Level) {
		return s.agreed
	}
	return t
}

// state returns the state of a pair, or nil when the table is full of pairs in
// use; such a pair stays open.
func (g *Gate) state(key gateKey, now time.Time) *gateState {
	if s := g.states[key]; s != nil {
		return s
	}
	if len(g.states) >= maxGates && !g.evict(now) {
		return nil
	}
	s := &gateState{agreed: AdmitAll, stretch: 0.8 + 0.4*g.rng.Float64()}
	g.states[key] = s
	g.ring = append(g.ring, key)
	g.classes[key.class] = append(g.classes[key.class], s)
	return s
}

// evict drops one unused pair near the hand, if there is one.
func (g *Gate) evict(now time.Time) bool {
	for range sweepPerCall {
		g.hand = (g.hand + 1) % len(g.ring)
		key := g.ring[g.hand]
		s := g.states[key]
		if now.Sub(s.last) < gateIdle {
			continue
		}
		delete(g.states, key)
		g.ring = slices.Delete(g.ring, g.hand, g.hand+1)
		rest := slices.DeleteFunc(g.classes[key.class], func(o *gateState) bool { return o == s })
		if g.classes[key.class] = rest; len(rest) == 0 {
			delete(g.classes, key.class)
		}
		return true
	}
	return false
}
