package toucanscenario

import (
	"time"

	"toucanhaven/toucanadmission"
)

const (
	// A run starts with ordinary demand, during which limits are learned and
	// the earlier goodput is measured. Then the cause lasts for a while and
	// ends, and the run continues to show the recovery.
	warmUp    = 3 * time.Second
	causeFrom = 6 * time.Second
	causeTo   = 16 * time.Second
	runEnd    = 24 * time.Second

	slowFactor = 10
	coldFactor = 5
	floodLoad  = 10
)

// Scenario is a deployment with a cause of overload.
type Scenario struct {
	Name     string
	Topology Topology
	From, To time.Duration // of the cause
	End      time.Duration // of arrivals
	Policy   toucanadmission.Policy

	Demand      float64 // factor on all classes during the cause; 0 means 1
	Flood       int     // class that floods during the cause, -1 for none
	TenantFlood bool    // one tenant adds floodLoad times the demand of all classes
	SlowService int     // service that slows down during the cause, -1 for none
	HardRetries bool
	Lying       bool // one server of the last service fails and reports itself idle
	Cold        bool // half of the last service starts cold at the cause
	Sheds       bool // backend servers refuse calls beyond their slots
	Absurd      bool // the first server of each service sends absurd thresholds
}

func scenario(name string, t Topology, change func(*Scenario)) Scenario {
	sc := Scenario{
		Name: name, Topology: t, From: causeFrom, To: causeTo, End: runEnd, Flood: -1, SlowService: -1,
	}
	change(&sc)
	return sc
}

// Scenarios returns all scenarios of a deployment.
func Scenarios(t Topology) []Scenario {
	deepest, least := len(t.Services)-1, len(t.Classes)-1
	return []Scenario{
		scenario("slow", t, func(s *Scenario) { s.SlowService = deepest }),
		scenario("demand-2x", t, func(s *Scenario) { s.Demand = 2 }),
		scenario("demand-5x", t, func(s *Scenario) { s.Demand = 5 }),
		scenario("demand-10x", t, func(s *Scenario) { s.Demand = 10 }),
		scenario("hard-retries", t, func(s *Scenario) { s.Demand, s.HardRetries = 5, true }),
		scenario("flood-least", t, func(s *Scenario) { s.Flood = least }),
		scenario("flood-urgent", t, func(s *Scenario) { s.Flood = 0 }),
		scenario("flood-tenant", t, func(s *Scenario) { s.TenantFlood = true }),
		scenario("lying-server", t, func(s *Scenario) { s.Lying = true }),
		scenario("absurd-threshold", t, func(s *Scenario) { s.Absurd = true }),
		scenario("cold-half", t, func(s *Scenario) { s.Cold = true }),
		scenario("shedding-5x", t, func(s *Scenario) { s.Demand, s.Sheds = 5, true }),
		scenario("slow-and-5x", t, func(s *Scenario) { s.SlowService, s.Demand = deepest, 5 }),
		scenario("cold-and-tenant", t, func(s *Scenario) { s.Cold, s.TenantFlood = true, true }),
	}
}

func (sc Scenario) during(at time.Duration) bool { return at >= sc.From && at < sc.To }

func (sc Scenario) policy() toucanadmission.Policy {
	if sc.Policy == nil {
		return toucanadmission.StrictPriority{}
	}
	return sc.Policy
}

// rate returns the requests a second of a class, of the ordinary tenants
// together or of the flooding tenant.
func (sc Scenario) rate(class int, at time.Duration, flood bool) float64 {
	base := sc.Topology.baseDemand()[class]
	if flood {
		if sc.TenantFlood && sc.during(at) {
			return base * floodLoad
		}
		return 0
	}
	if !sc.during(at) {
		return base
	}
	if sc.Demand > 0 {
		base *= sc.Demand
	}
	if sc.Flood == class {
		total := 0.0
		for _, d := range sc.Topology.baseDemand() {
			total += d
		}
		return total * floodLoad
	}
	return base
}

// condition returns how one server behaves.
func (sc Scenario) condition(service, index int, at time.Duration) condition {
	c := condition{slow: 1, sheds: sc.Sheds}
	last := service == len(sc.Topology.Services)-1
	if !sc.during(at) {
		return c
	}
	if service == sc.SlowService {
		c.slow = slowFactor
	}
	if sc.Lying && last && index == 0 {
		c.failing, c.reportsIdle = true, true
	}
	if sc.Cold && last && index < (sc.Topology.Services[service].Servers+1)/2 {
		// A cold start fades over the length of the cause.
		left := float64(sc.To-at) / float64(sc.To-sc.From)
		c.slow = 1 + (coldFactor-1)*left
	}
	return c
}

// capacityFactor is the part of a service's capacity that is left during the
// cause, for the ideal.
func (sc Scenario) capacityFactor(service int) float64 {
	servers := sc.Topology.Services[service].Servers
	sum := 0.0
	for i := range servers {
		c := sc.condition(service, i, (sc.From+sc.To)/2)
		switch {
		case c.failing:
		case service == sc.SlowService:
			sum++ // the ideal counts the slowness as a longer hold
		default:
			sum += 1 / c.slow
		}
	}
	return sum / float64(servers)
}

// ideal returns the ideal goodput of each class during the cause.
func (sc Scenario) ideal() []float64 {
	demand := make([]float64, len(sc.Topology.Classes))
	at := (sc.From + sc.To) / 2
	for i := range demand {
		demand[i] = sc.rate(i, at, false) + sc.rate(i, at, true)
	}
	return sc.Topology.ideal(demand, func(service int) float64 {
		if service == sc.SlowService {
			return slowFactor
		}
		return 1
	}, sc.capacityFactor)
}
