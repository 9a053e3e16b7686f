package toucanscenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"toucanhaven/toucanclass"
)

// Service describes the backend servers of one service.
type Service struct {
	Name        string
	Servers     int
	Slots       int
	Connections int
	OwnTime     time.Duration // mean, without child calls
}

// Class is a class of requests with its chain of calls.
type Class struct {
	toucanclass.Class
	Path  []int   // services called, each by the one before it
	Share float64 // of all requests
}

// Topology is a deployment and the requests it gets.
type Topology struct {
	Name     string
	Services []Service
	Classes  []Class       // most urgent first
	Hop      time.Duration // one way between nodes
	ToCaller time.Duration // one way between caller and entry
	Tenants  int
}

// baseUse is the part of the capacity that the ordinary demand needs.
const baseUse = 0.75

func class(name string, latency time.Duration, success, share float64, atMostOnce bool, path ...int) Class {
	return Class{
		Class: toucanclass.Class{Name: name, Latency: latency, Success: success, AtMostOnce: atMostOnce},
		Path:  path, Share: share,
	}
}

// Padana is the deployment of Gruppo Porte Girevoli Ricambi Padana. The own
// times are assumptions; they make magazzino the narrowest service.
func Padana() Topology {
	const vetrina, ordini, assistenza, magazzino = 0, 1, 2, 3
	ms := time.Millisecond
	return Topology{
		Name: "padana", Hop: 1 * ms, ToCaller: 3 * ms, Tenants: 20,
		Services: []Service{
			{"vetrina", 4, 200, 1400, 40 * ms},
			{"ordini", 3, 300, 1800, 60 * ms},
			{"assistenza", 3, 300, 1800, 60 * ms},
			{"magazzino", 3, 30, 250, 25 * ms},
		},
		Classes: []Class{
			class("availability", 400*ms, 0.9999, 0.10, false, vetrina, magazzino),
			class("order", 800*ms, 0.9999, 0.10, true, ordini, magazzino),
			class("dispatch", 1000*ms, 0.999, 0.05, true, assistenza, magazzino),
			class("browse", 1500*ms, 0.95, 0.35, false, vetrina, magazzino),
			class("catalogue", 2000*ms, 0.95, 0.20, false, vetrina),
			class("report", 3000*ms, 0.9, 0.20, false, magazzino),
		},
	}
}

// NoordHolland is the deployment of Graveerders Coöperatie Noord-Holland. The
// own times are assumptions; they make werkstatus the narrowest service.
func NoordHolland() Topology {
	const catalogus, bestelling, proefdruk, werkstatus = 0, 1, 2, 3
	ms := time.Millisecond
	return Topology{
		Name: "noord-holland", Hop: 1500 * time.Microsecond, ToCaller: 8 * ms, Tenants: 20,
		Services: []Service{
			{"catalogus", 5, 50, 400, 40 * ms},
			{"bestelling", 3, 75, 550, 50 * ms},
			{"proefdruk", 3, 75, 550, 50 * ms},
			{"werkstatus", 3, 30, 300, 25 * ms},
		},
		Classes: []Class{
			class("approval", 500*ms, 0.9999, 0.10, true, proefdruk, werkstatus),
			class("order", 800*ms, 0.9999, 0.10, true, bestelling, werkstatus),
			class("status", 800*ms, 0.99, 0.30, false, werkstatus),
			class("browse", 1500*ms, 0.95, 0.30, false, catalogus, werkstatus),
			class("trophies", 2000*ms, 0.95, 0.20, false, catalogus),
		},
	}
}

// chainDepth is the number of services of Chain.
const chainDepth = 9

// Chain is a chain of nine services of which the last is the narrowest.
func Chain() Topology {
	ms := time.Millisecond
	t := Topology{Name: "chain", Hop: 1 * ms, ToCaller: 3 * ms, Tenants: 20}
	path := make([]int, chainDepth)
	for i := range path {
		path[i] = i
		t.Services = append(t.Services, Service{fmt.Sprint("s", i+1), 3, 100, 700, 5 * ms})
	}
	t.Services[chainDepth-1] = Service{fmt.Sprint("s", chainDepth), 3, 6, 100, 20 * ms}
	t.Classes = []Class{
		class("urgent", 600*ms, 0.9999, 0.2, false, path...),
		class("normal", 1000*ms, 0.99, 0.4, false, path...),
		class("batch", 2000*ms, 0.9, 0.4, false, path...),
	}
	return t
}

// Topologies returns all deployments.
func Topologies() []Topology { return []Topology{Padana(), NoordHolland(), Chain()} }

// hold returns how long one request of a class occupies a slot of each service
// when nothing waits. A slot stays occupied during child calls.
func (t Topology) hold(c Class, slow func(service int) float64) map[int]float64 {
	holds, below := make(map[int]float64), 0.0
	for _, s := range slices.Backward(c.Path) {
		below += t.Services[s].OwnTime.Seconds() * slow(s)
		holds[s] = below
		below += 2 * t.Hop.Seconds()
	}
	return holds
}

// onTime returns the share of requests of a class that meet their latency
// target when nothing waits.
func (t Topology) onTime(c Class, slow func(service int) float64) float64 {
	const samples = 4_000
	rng, n := rand.New(rand.NewPCG(1, 1)), 0
	for range samples {
		d := 2 * t.ToCaller
		for _, s := range c.Path {
			d += 2*t.Hop + drawOwnTime(rng, t.Services[s].OwnTime, slow(s)/2) + drawOwnTime(rng, t.Services[s].OwnTime, slow(s)/2)
		}
		if d <= c.Latency {
			n++
		}
	}
	return float64(n) / samples
}

// drawOwnTime returns a random part of the work of a call.
func drawOwnTime(rng *rand.Rand, mean time.Duration, factor float64) time.Duration {
	return time.Duration(float64(mean) * factor * (0.5 + 0.5*rng.ExpFloat64()))
}

// ideal returns the requests a second of each class that can be answered on
// time when ranks are served in their order and nothing waits.
func (t Topology) ideal(demand []float64, slow, capacity func(service int) float64) []float64 {
	free := make([]float64, len(t.Services))
	for i, s := range t.Services {
		free[i] = float64(s.Servers*s.Slots) * capacity(i)
	}
	served := make([]float64, len(demand))
	for i, c := range t.Classes {
		rate, holds := demand[i], t.hold(c, slow)
		for s, hold := range holds {
			rate = min(rate, free[s]/hold)
		}
		served[i] = rate * t.onTime(c, slow)
		for s, hold := range holds {
			free[s] -= rate * hold
		}
	}
	return served
}

// baseDemand returns the requests a second of each class at demand 1.
func (t Topology) baseDemand() []float64 {
	use := make([]float64, len(t.Services))
	for _, c := range t.Classes {
		for s, hold := range t.hold(c, constant(1)) {
			use[s] += c.Share * hold
		}
	}
	worst := 0.0
	for i, s := range t.Services {
		worst = max(worst, use[i]/float64(s.Servers*s.Slots))
	}
	demand := make([]float64, len(t.Classes))
	for i, c := range t.Classes {
		demand[i] = c.Share * baseUse / worst
	}
	return demand
}

func constant(f float64) func(int) float64 { return func(int) float64 { return f } }
