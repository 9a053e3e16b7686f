package toucanscenario

import (
	"math/rand/v2"
	"strconv"
	"time"

	"toucanhaven/toucanadmission"
	"toucanhaven/toucanretry"
)

// simulation is one run of a scenario with one method.
type simulation struct {
	*eventLoop
	rng           *rand.Rand
	method        Method
	topology      Topology
	scenario      Scenario
	services      [][]*node
	nodes         []*node
	metrics       *metrics
	lastAttemptID uint64
	requestCount  int
}

// Run simulates a scenario with one method and returns the measurements. The same
// seed gives the same measurements.
func Run(sc Scenario, m Method, seed uint64) Report {
	s := &simulation{
		eventLoop: newEventLoop(), rng: rand.New(rand.NewPCG(seed, 0x746f7563616e)), method: m,
		topology: sc.Topology, scenario: sc, metrics: newMetrics(sc),
	}
	s.buildNodes()
	for i := range s.topology.Classes {
		s.scheduleArrivals(i, false)
		s.scheduleArrivals(i, true)
	}
	s.runUntil(sc.ArrivalEnd + timeoutFactor*s.longestLatencyTarget())
	return s.metrics.buildReport(m)
}

func (s *simulation) buildNodes() {
	for i, service := range s.topology.Services {
		var servers []*node
		for j := range service.Servers {
			n := &node{sim: s, index: j, service: service, peers: make(map[*node]*peerStats)}
			n.server = &server{
				sim: s, node: n, slots: service.Slots, maxCalls: service.Connections,
				behaviourAt: func(at time.Duration) behaviour { return s.scenario.serverBehaviour(i, j, at) },
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
		n.queued = make(map[uint64]*attempt)
		n.admission = toucanadmission.NewController(s.clock, toucanadmission.WithPolicy(s.scenario.admissionPolicy()))
		n.entryGate = toucanadmission.NewGate(s.clock, s.rng)
		n.childGate = toucanadmission.NewGate(s.clock, s.rng)
		n.retrier = toucanretry.NewRetrier(s.clock, s.rng)
		for _, service := range s.topology.Services {
			n.entryGate.SetServers(service.Name, service.Servers)
		}
		s.runAfter(time.Duration(s.rng.Int64N(int64(tickInterval))), n.tick)
	}
}

func (s *simulation) longestLatencyTarget() (longest time.Duration) {
	for _, c := range s.topology.Classes {
		longest = max(longest, c.Latency)
	}
	return longest
}

// scheduleArrivals creates the requests of a class at the arrival rate of the
// scenario, either for all ordinary tenants or for the flooding tenant.
func (s *simulation) scheduleArrivals(class int, floodingTenant bool) {
	rate := s.scenario.arrivalRate(class, s.now, floodingTenant)
	if s.now >= s.scenario.ArrivalEnd {
		return
	}
	if rate <= 0 {
		s.runAfter(rateCheckInterval, func() { s.scheduleArrivals(class, floodingTenant) })
		return
	}
	gap := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	if gap > rateCheckInterval {
		// The rate may change before the next arrival. Exponential gaps are
		// memoryless, so drawing a new gap is exact.
		s.runAfter(rateCheckInterval, func() { s.scheduleArrivals(class, floodingTenant) })
		return
	}
	s.runAfter(gap, func() {
		s.createRequest(class, floodingTenant)
		s.scheduleArrivals(class, floodingTenant)
	})
}

// rateCheckInterval is the longest time for which one value of the arrival rate
// is used.
const rateCheckInterval = 50 * time.Millisecond

func (s *simulation) createRequest(class int, floodingTenant bool) {
	c := &s.topology.Classes[class]
	s.requestCount++
	r := &request{
		id: strconv.Itoa(s.requestCount), class: c, classIndex: class, rank: c.Rank(), fromOrdinaryTenant: !floodingTenant,
		tenant: "flooding", createdAt: s.now, attemptsByService: make([]uint16, len(s.topology.Services)),
	}
	if floodingTenant {
		r.entry = s.nodes[s.rng.IntN(len(s.nodes))]
	} else {
		// Each ordinary tenant uses one entry only. This is the worst case in a
		// comparison with a tenant that uses all entries.
		i := s.rng.IntN(s.topology.Tenants)
		r.tenant, r.entry = tenantName(i), s.nodes[i%len(s.nodes)]
	}
	if s.scenario.AggressiveRetries && s.scenario.duringOverload(s.now) {
		r.retriesLeft = maxAggressiveRetries
	}
	s.metrics.countOffered(r)
	s.sendRequest(r)
}

func (s *simulation) nextAttemptID() uint64 {
	s.lastAttemptID++
	return s.lastAttemptID
}

// sendsAbsurdThreshold reports whether a node sends thresholds that admit
// nothing.
func (s *simulation) sendsAbsurdThreshold(n *node) bool {
	return s.scenario.AbsurdThreshold && s.scenario.duringOverload(s.now) && n.index == 0
}
