package toucanscenario

import (
	"time"

	"toucanhaven/toucanadmission"
)

const (
	// A run starts with normal demand. The limits adapt until warmUpEnd, and the
	// goodput before the overload is measured from then until overloadStart.
	// After overloadEnd the run continues until arrivalEnd to measure the
	// recovery.
	warmUpEnd     = 3 * time.Second
	overloadStart = 6 * time.Second
	overloadEnd   = 16 * time.Second
	arrivalEnd    = 24 * time.Second

	slowServiceFactor = 10 // on the service time of a slow service
	coldStartFactor   = 5  // on the service time of a server at its cold start
	floodFactor       = 10 // demand of a flood as a multiple of the base demand of all classes
)

// Scenario is a deployment and the overload that a simulation applies to it.
type Scenario struct {
	Name                       string
	Topology                   Topology
	OverloadStart, OverloadEnd time.Duration
	ArrivalEnd                 time.Duration          // end of request arrivals
	Policy                     toucanadmission.Policy // nil means toucanadmission.StrictPriority

	DemandFactor       float64 // on all classes during the overload; 0 means 1
	FloodClass         int     // class whose demand rises to floodFactor times that of all classes; -1 for none
	TenantFlood        bool    // one tenant adds floodFactor times the demand of all classes
	SlowService        int     // service that slows down during the overload; -1 for none
	AggressiveRetries  bool    // callers retry up to maxAggressiveRetries times
	MisreportingServer bool    // one server of the last service fails every call and reports load 0
	ColdHalf           bool    // half of the servers of the last service start cold at OverloadStart
	BackendsShed       bool    // backend servers refuse calls beyond their slots
	AbsurdThreshold    bool    // the first server of each service sends thresholds that admit nothing
}

// newScenario returns a scenario with the default times, no flood and no slow
// service, changed by configure.
func newScenario(name string, t Topology, configure func(*Scenario)) Scenario {
	sc := Scenario{
		Name: name, Topology: t, OverloadStart: overloadStart, OverloadEnd: overloadEnd,
		ArrivalEnd: arrivalEnd, FloodClass: -1, SlowService: -1,
	}
	configure(&sc)
	return sc
}

// Scenarios returns all scenarios of a deployment.
func Scenarios(t Topology) []Scenario {
	deepest, leastUrgent := len(t.Services)-1, len(t.Classes)-1
	return []Scenario{
		newScenario("slow", t, func(s *Scenario) { s.SlowService = deepest }),
		newScenario("demand-2x", t, func(s *Scenario) { s.DemandFactor = 2 }),
		newScenario("demand-5x", t, func(s *Scenario) { s.DemandFactor = 5 }),
		newScenario("demand-10x", t, func(s *Scenario) { s.DemandFactor = 10 }),
		newScenario("hard-retries", t, func(s *Scenario) { s.DemandFactor, s.AggressiveRetries = 5, true }),
		newScenario("flood-least", t, func(s *Scenario) { s.FloodClass = leastUrgent }),
		newScenario("flood-urgent", t, func(s *Scenario) { s.FloodClass = 0 }),
		newScenario("flood-tenant", t, func(s *Scenario) { s.TenantFlood = true }),
		newScenario("lying-server", t, func(s *Scenario) { s.MisreportingServer = true }),
		newScenario("absurd-threshold", t, func(s *Scenario) { s.AbsurdThreshold = true }),
		newScenario("cold-half", t, func(s *Scenario) { s.ColdHalf = true }),
		newScenario("shedding-5x", t, func(s *Scenario) { s.DemandFactor, s.BackendsShed = 5, true }),
		newScenario("slow-and-5x", t, func(s *Scenario) { s.SlowService, s.DemandFactor = deepest, 5 }),
		newScenario("cold-and-tenant", t, func(s *Scenario) { s.ColdHalf, s.TenantFlood = true, true }),
	}
}

// duringOverload reports whether the overload is in progress at a time.
func (sc Scenario) duringOverload(at time.Duration) bool {
	return at >= sc.OverloadStart && at < sc.OverloadEnd
}

func (sc Scenario) admissionPolicy() toucanadmission.Policy {
	if sc.Policy == nil {
		return toucanadmission.StrictPriority{}
	}
	return sc.Policy
}

// arrivalRate returns the arrival rate of a class in requests per second, either
// of all ordinary tenants together or of the flooding tenant.
func (sc Scenario) arrivalRate(class int, at time.Duration, floodingTenant bool) float64 {
	base := sc.Topology.baseDemand()[class]
	if floodingTenant {
		if sc.TenantFlood && sc.duringOverload(at) {
			return base * floodFactor
		}
		return 0
	}
	if !sc.duringOverload(at) {
		return base
	}
	if sc.DemandFactor > 0 {
		base *= sc.DemandFactor
	}
	if sc.FloodClass == class {
		total := 0.0
		for _, d := range sc.Topology.baseDemand() {
			total += d
		}
		return total * floodFactor
	}
	return base
}

// serverBehaviour returns how a backend server behaves at a time. index is its
// number within the service.
func (sc Scenario) serverBehaviour(service, index int, at time.Duration) behaviour {
	b := behaviour{slowdown: 1, refusesWhenBusy: sc.BackendsShed}
	last := service == len(sc.Topology.Services)-1
	if !sc.duringOverload(at) {
		return b
	}
	if service == sc.SlowService {
		b.slowdown = slowServiceFactor
	}
	if sc.MisreportingServer && last && index == 0 {
		b.failing, b.reportsIdle = true, true
	}
	if sc.ColdHalf && last && index < (sc.Topology.Services[service].Servers+1)/2 {
		// The slowdown of a cold start decreases linearly over the overload.
		remaining := float64(sc.OverloadEnd-at) / float64(sc.OverloadEnd-sc.OverloadStart)
		b.slowdown = 1 + (coldStartFactor-1)*remaining
	}
	return b
}

// capacityFactor returns the share of a service's capacity that remains in the
// middle of the overload. It is used to calculate the ideal goodput.
func (sc Scenario) capacityFactor(service int) float64 {
	servers := sc.Topology.Services[service].Servers
	sum := 0.0
	for i := range servers {
		b := sc.serverBehaviour(service, i, (sc.OverloadStart+sc.OverloadEnd)/2)
		switch {
		case b.failing:
		case service == sc.SlowService:
			sum++ // the ideal goodput counts the slowdown as longer slot times
		default:
			sum += 1 / b.slowdown
		}
	}
	return sum / float64(servers)
}

// idealGoodput returns the ideal goodput of each class during the overload, in
// requests per second.
func (sc Scenario) idealGoodput() []float64 {
	demand := make([]float64, len(sc.Topology.Classes))
	at := (sc.OverloadStart + sc.OverloadEnd) / 2
	for i := range demand {
		demand[i] = sc.arrivalRate(i, at, false) + sc.arrivalRate(i, at, true)
	}
	return sc.Topology.idealGoodput(demand, func(service int) float64 {
		if service == sc.SlowService {
			return slowServiceFactor
		}
		return 1
	}, sc.capacityFactor)
}
