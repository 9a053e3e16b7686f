package toucanretry

import (
	"sync"
	"time"

	"toucanhaven/toucanclock"
)

const (
	// budgetSlots divides the window of a budget. The newest paceSlots bound the
	// repeats of requests that are not urgent.
	budgetSlots = 10
	paceSlots   = 2
	// urgentReserve is the number of repeats for each urgent request that other
	// requests leave in the budget, at most urgentShare of the whole.
	urgentReserve = 1.3
	urgentShare   = 0.95
)

// Budget bounds the repeats that a node sends to each service, as its part of a
// budget that all nodes share: a share of the requests of a sliding window and
// a fixed number on top. It is safe for concurrent use.
type Budget struct {
	clock  toucanclock.Clock
	window time.Duration
	ratio  float64
	slack  float64
	began  time.Time

	mu       sync.Mutex
	services map[string]*budgetWindow
}

type budgetWindow struct {
	slot     int64
	requests [budgetSlots]int
	urgent   [budgetSlots]int // part of the requests
	repeats  [budgetSlots]int
}

// NewBudget returns a budget of ratio times the requests of a window plus
// slack, over all nodes. It is safe to give parts of one budget to several.
func NewBudget(clock toucanclock.Clock, window time.Duration, ratio, slack float64) *Budget {
	return &Budget{clock: clock, window: window, ratio: ratio, slack: slack, began: clock.Now(), services: make(map[string]*budgetWindow)}
}

// CountRequest adds a request for a service.
func (b *Budget) CountRequest(service string, urgent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(service)
	w.requests[w.slot%budgetSlots]++
	if urgent {
		w.urgent[w.slot%budgetSlots]++
	}
}

// SpendRetry takes one repeat and reports whether there was one. nodes is the number
// of nodes that share the fixed part. In its first window a node takes none of
// that part, because an earlier start of it may have spent it. Requests that are
// not urgent leave a part of the budget to those that are, and spend no more
// than the newest requests allow, so that a shortage that lasts does not meet an
// empty budget.
func (b *Budget) SpendRetry(service string, nodes int, urgent bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(service)
	slack := 0.0
	if b.clock.Now().Sub(b.began) >= b.window {
		slack = b.slack / float64(max(1, nodes))
	}
	if !b.allows(w, budgetSlots, slack, urgent) || !urgent && !b.allows(w, paceSlots, slack, urgent) {
		return false
	}
	w.repeats[w.slot%budgetSlots]++
	return true
}

// allows reports whether the newest slots of a window have room for one more
// repeat.
func (b *Budget) allows(w *budgetWindow, slots int64, slack float64, urgent bool) bool {
	requests, urgents, repeats := 0, 0, 0
	for slot := w.slot; slot > w.slot-slots; slot-- {
		i := (slot + budgetSlots) % budgetSlots
		requests += w.requests[i]
		urgents += w.urgent[i]
		repeats += w.repeats[i]
	}
	allowed := b.ratio*float64(requests) + slack
	if !urgent {
		allowed -= min(urgentReserve*float64(urgents), urgentShare*allowed)
	}
	return float64(repeats+1) <= allowed
}

// current returns the window of a service, moved to now. mu is held.
func (b *Budget) current(service string) *budgetWindow {
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{}
		b.services[service] = w
	}
	slot := int64(b.clock.Now().Sub(b.began) / (b.window / budgetSlots))
	for w.slot < slot {
		w.slot = max(w.slot+1, slot-budgetSlots+1)
		i := w.slot % budgetSlots
		w.requests[i], w.urgent[i], w.repeats[i] = 0, 0, 0
	}
	return w
}
