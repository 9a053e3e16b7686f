package toucanmemory

import "sync"

// Reservation is memory that was taken of a budget before it is known how much is needed. The zero
// value reserves nothing.
type Reservation struct {
	budget *Budget
	grow   func(held, n int64) (ok bool)
	left   int64
}

// NewReservation takes n bytes of b by calling grow, which does what the Grow method of b does. It
// reports whether they could be taken.
func NewReservation(b *Budget, grow func(held, n int64) (ok bool), n int64) (r *Reservation, ok bool) {
	r = &Reservation{budget: b, grow: grow}
	if n > 0 {
		if !grow(0, n) {
			return r, false
		}
		r.left = n
	}
	return r, true
}

// Grow takes n bytes of what is reserved, and further ones of the budget. It implements what
// the field Grow of a Reader needs.
func (r *Reservation) Grow(held, n int64) (ok bool) {
	reserved := min(n, r.left)
	if n > reserved && !r.grow(held+reserved, n-reserved) {
		return false
	}
	r.left -= reserved
	return true
}

// Release releases what is left.
func (r *Reservation) Release() {
	r.budget.Release(r.left)
	r.left = 0
}

const (
	// sizeWeight is the weight of a new size in the moving average of Sizes.
	sizeWeight = 0.25
	// maxSizes bounds the routes that Sizes remembers. Configurations that change often bring
	// new names.
	maxSizes = 4096
)

// Sizes tells how much memory the responses of a route are expected to take, by the moving average
// of those before. The zero value is ready to use. It is safe for concurrent use.
type Sizes struct {
	mu     sync.Mutex
	routes map[string]float64
}

// Expected returns the expected bytes of a response, or 0 before the first one.
func (s *Sizes) Expected(route string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.routes[route])
}

// Record records the bytes of a response.
func (s *Sizes) Record(route string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	average, known := s.routes[route]
	if !known {
		average = float64(bytes)
	}
	if s.routes == nil || !known && len(s.routes) == maxSizes {
		s.routes = make(map[string]float64)
	}
	s.routes[route] = average + sizeWeight*(float64(bytes)-average)
}
