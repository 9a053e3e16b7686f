package toucanscenario

import (
	"math/rand/v2"
	"strconv"
	"time"

	"toucanhaven/toucanadmission"
	"toucanhaven/toucanretry"
)

// sim is one run of a scenario with one method.
type sim struct {
	*loop
	rng      *rand.Rand
	method   Method
	topology Topology
	scenario Scenario
	services [][]*node
	nodes    []*node
	metrics  *metrics
	lastID   uint64
	requests int
}

// Run plays a scenario with one method and returns what was measured.
func Run(sc Scenario, m Method, seed uint64) Report {
	s := &sim{
		loop: newLoop(), rng: rand.New(rand.NewPCG(seed, 0x746f7563616e)), method: m,
		topology: sc.Topology, scenario: sc, metrics: newMetrics(sc),
	}
	s.build()
	for i := range s.topology.Classes {
		s.arrivals(i, false)
		s.arrivals(i, true)
	}
	s.runUntil(sc.End + timeoutTargets*s.longestTarget())
	return s.metrics.report(m)
}

func (s *sim) build() {
	for i, service := range s.topology.Services {
		var servers []*node
		for j := range service.Servers {
			n := &node{sim: s, index: j, service: service, peers: make(map[*node]*peer)}
			n.server = &server{
				sim: s, node: n, slots: service.Slots, maxCalls: service.Connections,
				condition: func(at time.Duration) condition { return s.scenario.condition(i, j, at) },
			}
			servers = append(servers, n)
		}
		s.services = append(s.services, servers)
		s.nodes = append(s.nodes, servers...)
	}
	if s.method != Toucan {
		return
	}
	for _, n := range s.nodes {
		n.pending = make(map[uint64]*attempt)
		n.admission = toucanadmission.NewController(s.clock, toucanadmission.WithPolicy(s.scenario.policy()))
		n.entry = toucanadmission.NewGate(s.clock, s.rng)
		n.children = toucanadmission.NewGate(s.clock, s.rng)
		n.retries = toucanretry.NewRetrier(s.clock, s.rng)
		for _, service := range s.topology.Services {
			n.entry.SetServers(service.Name, service.Servers)
		}
		s.after(time.Duration(s.rng.Int64N(int64(tickInterval))), n.tick)
	}
}

func (s *sim) longestTarget() (longest time.Duration) {
	for _, c := range s.topology.Classes {
		longest = max(longest, c.Latency)
	}
	return longest
}

// arrivals creates the requests of a class at the rate of the scenario, either
// of all ordinary tenants or of the one tenant that floods.
func (s *sim) arrivals(class int, flood bool) {
	rate := s.scenario.rate(class, s.now, flood)
	if s.now >= s.scenario.End {
		return
	}
	if rate <= 0 {
		s.after(idleStep, func() { s.arrivals(class, flood) })
		return
	}
	gap := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	if gap > idleStep {
		// The rate may change before the next arrival. Exponential gaps have
		// no memory, so drawing anew is exact.
		s.after(idleStep, func() { s.arrivals(class, flood) })
		return
	}
	s.after(gap, func() {
		s.create(class, flood)
		s.arrivals(class, flood)
	})
}

const idleStep = 50 * time.Millisecond

func (s *sim) create(class int, flood bool) {
	c := &s.topology.Classes[class]
	s.requests++
	r := &request{
		id: strconv.Itoa(s.requests), class: c, classNo: class, rank: c.Rank(), ordinary: !flood,
		tenant: "flooding", born: s.now, attempts: make([]uint16, len(s.topology.Services)),
	}
	if flood {
		r.entry = s.nodes[s.rng.IntN(len(s.nodes))]
	} else {
		// Each ordinary tenant stays at one entry, which is the worst case for
		// a comparison with a tenant that uses all of them.
		i := s.rng.IntN(s.topology.Tenants)
		r.tenant, r.entry = tenantName(i), s.nodes[i%len(s.nodes)]
	}
	if s.scenario.HardRetries && s.scenario.during(s.now) {
		r.repeats = hardRepeats
	}
	s.metrics.offered(r)
	s.send(r)
}

func (s *sim) nextID() uint64 {
	s.lastID++
	return s.lastID
}

// absurdThreshold reports whether a node claims to admit nothing.
func (s *sim) absurdThreshold(n *node) bool {
	return s.scenario.Absurd && s.scenario.during(s.now) && n.index == 0
}
