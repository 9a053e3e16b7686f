package toucanroute

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// Splitter distributes the requests of each route among its services by smooth
// weighted round robin. It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]*weightedRoundRobin
}

// weightedRoundRobin is the state of smooth weighted round robin for one route.
type weightedRoundRobin struct {
	shares  []Share
	credits []float64
}

// NewSplitter returns a Splitter that has distributed no requests yet.
func NewSplitter() *Splitter { return &Splitter{routes: make(map[string]*weightedRoundRobin)} }

// NextService returns the service for the next request of the route.
func (s *Splitter) NextService(r *Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.routes[r.Name]
	if w == nil || !slices.Equal(w.shares, r.Shares) {
		w = newWeightedRoundRobin(r.Shares)
		s.routes[r.Name] = w
	}
	return w.nextService()
}

// newWeightedRoundRobin starts with random credits, so that nodes that start at the
// same time do not all send their first requests to the same service.
func newWeightedRoundRobin(shares []Share) *weightedRoundRobin {
	w := &weightedRoundRobin{shares: shares, credits: make([]float64, len(shares))}
	for i, s := range shares {
		w.credits[i] = float64(s.Weight) * rand.Float64()
	}
	return w
}

// nextService adds the weight of each service to its credit and selects the service
// with the highest credit. It subtracts the total weight from that credit.
func (w *weightedRoundRobin) nextService() string {
	selected, total := -1, 0
	for i, s := range w.shares {
		if s.Weight == 0 {
			continue
		}
		total += s.Weight
		w.credits[i] += float64(s.Weight)
		if selected < 0 || w.credits[i] > w.credits[selected] {
			selected = i
		}
	}
	w.credits[selected] -= float64(total)
	return w.shares[selected].Service
}
