package toucanretry

import (
	"sync"
	"time"

	"toucanhaven/toucanclock"
)

const (
	// budgetSlots is the number of slots of a budget's sliding window. The retries
	// of requests that are not urgent are also limited by the newest recentSlots
	// alone.
	budgetSlots = 10
	recentSlots = 2
	// reservePerUrgentRequest is the number of retries per urgent request that is
	// reserved for urgent requests. The reserve is at most maxUrgentShare of the
	// budget.
	reservePerUrgentRequest = 1.3
	maxUrgentShare          = 0.95
)

// Budget limits the retries that a node sends to each service. It is the node's
// part of a budget that all nodes share: a ratio of the requests in a sliding
// window plus a fixed number. It is safe for concurrent use.
type Budget struct {
	clock   toucanclock.Clock
	window  time.Duration
	ratio   float64
	slack   float64 // fixed number of retries per window, over all nodes
	started time.Time

	mu       sync.Mutex
	services map[string]*budgetWindow
}

// budgetWindow holds the counts of one service in each slot of the sliding window.
type budgetWindow struct {
	slot     int64 // number of the newest slot since the start of the budget
	requests [budgetSlots]int
	urgent   [budgetSlots]int // part of the requests
	retries  [budgetSlots]int
}

// NewBudget returns a budget of ratio times the requests of a window plus slack
// retries, over all nodes. One budget may be split into several Budgets, each with
// a part of ratio and slack.
func NewBudget(clock toucanclock.Clock, window time.Duration, ratio, slack float64) *Budget {
	return &Budget{clock: clock, window: window, ratio: ratio, slack: slack, started: clock.Now(), services: make(map[string]*budgetWindow)}
}

// CountRequest adds a request to the window of a service.
func (b *Budget) CountRequest(service string, urgent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowOf(service)
	w.requests[w.slot%budgetSlots]++
	if urgent {
		w.urgent[w.slot%budgetSlots]++
	}
}

// SpendRetry takes one retry from the budget of a service and reports whether there
// was one. nodes is the number of nodes that share the fixed part. During its first
// window a node takes nothing of the fixed part, because the node may have spent it
// before a restart. Requests that are not urgent leave a reserve for urgent ones and
// spend no more than the newest slots allow, so that a long overload does not empty
// the budget at its start.
func (b *Budget) SpendRetry(service string, nodes int, urgent bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowOf(service)
	slack := 0.0
	if b.clock.Now().Sub(b.started) >= b.window {
		slack = b.slack / float64(max(1, nodes))
	}
	if !b.allowsRetry(w, budgetSlots, slack, urgent) || !urgent && !b.allowsRetry(w, recentSlots, slack, urgent) {
		return false
	}
	w.retries[w.slot%budgetSlots]++
	return true
}

// allowsRetry reports whether the budget computed from the newest slots of a window
// allows one more retry.
func (b *Budget) allowsRetry(w *budgetWindow, slots int64, slack float64, urgent bool) bool {
	requests, urgentRequests, retries := 0, 0, 0
	for slot := w.slot; slot > w.slot-slots; slot-- {
		i := (slot + budgetSlots) % budgetSlots
		requests += w.requests[i]
		urgentRequests += w.urgent[i]
		retries += w.retries[i]
	}
	allowed := b.ratio*float64(requests) + slack
	if !urgent {
		allowed -= min(reservePerUrgentRequest*float64(urgentRequests), maxUrgentShare*allowed)
	}
	return float64(retries+1) <= allowed
}

// windowOf returns the window of a service, advanced to the current time. mu is
// held.
func (b *Budget) windowOf(service string) *budgetWindow {
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{}
		b.services[service] = w
	}
	slot := int64(b.clock.Now().Sub(b.started) / (b.window / budgetSlots))
	for w.slot < slot {
		w.slot = max(w.slot+1, slot-budgetSlots+1)
		i := w.slot % budgetSlots
		w.requests[i], w.urgent[i], w.retries[i] = 0, 0, 0
	}
	return w
}
