package toucanscenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"toucanhaven/toucanclass"
)

// Service describes a service and its backend servers.
type Service struct {
	Name            string
	Servers         int
	Slots           int           // of each backend server
	Connections     int           // limit on running and queued calls of each backend server
	MeanServiceTime time.Duration // own work, without child calls
}

// Class is a class of requests with the path of its calls.
type Class struct {
	toucanclass.Class
	Path        []int   // services; each is called by the one before it
	DemandShare float64 // of all requests
}

// Topology is a deployment and the demand on it.
type Topology struct {
	Name          string
	Services      []Service
	Classes       []Class       // most urgent first
	HopLatency    time.Duration // one way between nodes
	CallerLatency time.Duration // one way between caller and entry
	Tenants       int
}

// baseUtilization is the share of the capacity of the bottleneck that the base
// demand uses.
const baseUtilization = 0.75

func newClass(name string, latency time.Duration, success, demandShare float64, atMostOnce bool, path ...int) Class {
	return Class{
		Class: toucanclass.Class{Name: name, Latency: latency, Success: success, AtMostOnce: atMostOnce},
		Path:  path, DemandShare: demandShare,
	}
}

// Padana is the deployment of Gruppo Porte Girevoli Ricambi Padana. The service
// times are assumptions; they make magazzino the bottleneck.
func Padana() Topology {
	const vetrina, ordini, assistenza, magazzino = 0, 1, 2, 3
	ms := time.Millisecond
	return Topology{
		Name: "padana", HopLatency: 1 * ms, CallerLatency: 3 * ms, Tenants: 20,
		Services: []Service{
			{"vetrina", 4, 200, 1400, 40 * ms},
			{"ordini", 3, 300, 1800, 60 * ms},
			{"assistenza", 3, 300, 1800, 60 * ms},
			{"magazzino", 3, 30, 250, 25 * ms},
		},
		Classes: []Class{
			newClass("availability", 400*ms, 0.9999, 0.10, false, vetrina, magazzino),
			newClass("order", 800*ms, 0.9999, 0.10, true, ordini, magazzino),
			newClass("dispatch", 1000*ms, 0.999, 0.05, true, assistenza, magazzino),
			newClass("browse", 1500*ms, 0.95, 0.35, false, vetrina, magazzino),
			newClass("catalogue", 2000*ms, 0.95, 0.20, false, vetrina),
			newClass("report", 3000*ms, 0.9, 0.20, false, magazzino),
		},
	}
}

// NoordHolland is the deployment of Graveerders Coöperatie Noord-Holland. The
// service times are assumptions; they make werkstatus the bottleneck.
func NoordHolland() Topology {
	const catalogus, bestelling, proefdruk, werkstatus = 0, 1, 2, 3
	ms := time.Millisecond
	return Topology{
		Name: "noord-holland", HopLatency: 1500 * time.Microsecond, CallerLatency: 8 * ms, Tenants: 20,
		Services: []Service{
			{"catalogus", 5, 50, 400, 40 * ms},
			{"bestelling", 3, 75, 550, 50 * ms},
			{"proefdruk", 3, 75, 550, 50 * ms},
			{"werkstatus", 3, 30, 300, 25 * ms},
		},
		Classes: []Class{
			newClass("approval", 500*ms, 0.9999, 0.10, true, proefdruk, werkstatus),
			newClass("order", 800*ms, 0.9999, 0.10, true, bestelling, werkstatus),
			newClass("status", 800*ms, 0.99, 0.30, false, werkstatus),
			newClass("browse", 1500*ms, 0.95, 0.30, false, catalogus, werkstatus),
			newClass("trophies", 2000*ms, 0.95, 0.20, false, catalogus),
		},
	}
}

// chainDepth is the number of services of Chain.
const chainDepth = 9

// Chain is a chain of nine services. The last service is the bottleneck.
func Chain() Topology {
	ms := time.Millisecond
	t := Topology{Name: "chain", HopLatency: 1 * ms, CallerLatency: 3 * ms, Tenants: 20}
	path := make([]int, chainDepth)
	for i := range path {
		path[i] = i
		t.Services = append(t.Services, Service{fmt.Sprint("s", i+1), 3, 100, 700, 5 * ms})
	}
	t.Services[chainDepth-1] = Service{fmt.Sprint("s", chainDepth), 3, 6, 100, 20 * ms}
	t.Classes = []Class{
		newClass("urgent", 600*ms, 0.9999, 0.2, false, path...),
		newClass("normal", 1000*ms, 0.99, 0.4, false, path...),
		newClass("batch", 2000*ms, 0.9, 0.4, false, path...),
	}
	return t
}

// Topologies returns all deployments.
func Topologies() []Topology { return []Topology{Padana(), NoordHolland(), Chain()} }

// slotTimes returns how long one request of a class occupies a slot of each
// service, in seconds, if nothing is queued. A slot stays occupied during child
// calls.
func (t Topology) slotTimes(c Class, slowdown func(service int) float64) map[int]float64 {
	times, total := make(map[int]float64), 0.0
	for _, s := range slices.Backward(c.Path) {
		total += t.Services[s].MeanServiceTime.Seconds() * slowdown(s)
		times[s] = total
		total += 2 * t.HopLatency.Seconds()
	}
	return times
}

// onTimeShare returns the share of requests of a class that meet their latency
// target if nothing is queued.
func (t Topology) onTimeShare(c Class, slowdown func(service int) float64) float64 {
	const samples = 4_000
	rng, count := rand.New(rand.NewPCG(1, 1)), 0
	for range samples {
		d := 2 * t.CallerLatency
		for _, s := range c.Path {
			d += 2*t.HopLatency + drawServiceTime(rng, t.Services[s].MeanServiceTime, slowdown(s)/2) + drawServiceTime(rng, t.Services[s].MeanServiceTime, slowdown(s)/2)
		}
		if d <= c.Latency {
			count++
		}
	}
	return float64(count) / samples
}

// drawServiceTime returns a random service time. Half of it is constant and the
// other half is exponentially distributed; its mean is mean times factor.
func drawServiceTime(rng *rand.Rand, mean time.Duration, factor float64) time.Duration {
	return time.Duration(float64(mean) * factor * (0.5 + 0.5*rng.ExpFloat64()))
}

// idealGoodput returns the requests per second of each class that can be answered
// on time if classes are served in the order of their ranks and nothing is
// queued.
func (t Topology) idealGoodput(demand []float64, slowdown, capacityFactor func(service int) float64) []float64 {
	freeSlots := make([]float64, len(t.Services))
	for i, s := range t.Services {
		freeSlots[i] = float64(s.Servers*s.Slots) * capacityFactor(i)
	}
	served := make([]float64, len(demand))
	for i, c := range t.Classes {
		rate, slotTimes := demand[i], t.slotTimes(c, slowdown)
		for s, slotTime := range slotTimes {
			rate = min(rate, freeSlots[s]/slotTime)
		}
		served[i] = rate * t.onTimeShare(c, slowdown)
		for s, slotTime := range slotTimes {
			freeSlots[s] -= rate * slotTime
		}
	}
	return served
}

// baseDemand returns the requests per second of each class at a demand factor of
// 1.
func (t Topology) baseDemand() []float64 {
	slotSeconds := make([]float64, len(t.Services))
	for _, c := range t.Classes {
		for s, slotTime := range t.slotTimes(c, constantFactor(1)) {
			slotSeconds[s] += c.DemandShare * slotTime
		}
	}
	maxSlotUse := 0.0
	for i, s := range t.Services {
		maxSlotUse = max(maxSlotUse, slotSeconds[i]/float64(s.Servers*s.Slots))
	}
	demand := make([]float64, len(t.Classes))
	for i, c := range t.Classes {
		demand[i] = c.DemandShare * baseUtilization / maxSlotUse
	}
	return demand
}

func constantFactor(f float64) func(int) float64 { return func(int) float64 { return f } }
