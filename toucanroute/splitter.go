package toucanroute

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// Splitter deals the requests of each route over its services by smooth
// weighted round robin. It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]*split
}

type split struct {
	shares []Share
	credit []float64
}

// NewSplitter returns a splitter without any history.
func NewSplitter() *Splitter { return &Splitter{routes: make(map[string]*split)} }

// NextService returns the service of the route's next request.
func (s *Splitter) NextService(r *Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.routes[r.Name]
	if d == nil || !slices.Equal(d.shares, r.Shares) {
		d = newSplit(r.Shares)
		s.routes[r.Name] = d
	}
	return d.next()
}

// newSplit starts at a random phase, so that nodes that begin together do not
// all send their first requests to the same service.
func newSplit(shares []Share) *split {
	d := &split{shares: shares, credit: make([]float64, len(shares))}
	for i, s := range shares {
		d.credit[i] = float64(s.Weight) * rand.Float64()
	}
	return d
}

func (d *split) next() string {
	best, total := -1, 0
	for i, s := range d.shares {
		if s.Weight == 0 {
			continue
		}
		total += s.Weight
		d.credit[i] += float64(s.Weight)
		if best < 0 || d.credit[i] > d.credit[best] {
			best = i
		}
	}
	d.credit[best] -= float64(total)
	return d.shares[best].Service
}
