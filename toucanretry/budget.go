package toucanretry

import (
	"sync"
	"time"

	"toucanhaven/toucanclock"
)

const (
	// budgetSlots is the number of slots of a budget's sliding window, and
	// historySlots that of the slots that are kept: the window and those half a
	// window and a whole window earlier. The retries of requests that are not urgent
	// are also limited by the newest recentSlots alone.
	budgetSlots  = 10
	historySlots = 2 * budgetSlots
	recentSlots  = 2
	// reservePerUrgentRequest is the number of retries per urgent request that is
	// reserved for urgent requests. The reserve is at most maxUrgentShare of the
	// budget.
	reservePerUrgentRequest = 1.3
	maxUrgentShare          = 0.95
	// firstCallShare and secondCallShare are the shares of the budget that retries of
	// the first and second call of a run may fill up. What is left completes runs that
	// are nearer to their end.
	firstCallShare  = 0.3
	secondCallShare = 0.75
)

// Use is what a retry is for. The set is closed.
type Use string

const (
	// Urgent is a retry of an urgent request.
	Urgent Use = "urgent"
	// Ordinary is a retry of a request or call whose answer completes a request or
	// brings it near its end.
	Ordinary Use = "ordinary"
	// FirstCall and SecondCall are retries of the first and second of several calls
	// that a run makes one after the other. Further calls may fail after them.
	FirstCall  Use = "first_call"
	SecondCall Use = "second_call"
)

// share returns the share of the budget that retries of this use may fill up.
func (u Use) share() float64 {
	switch u {
	case FirstCall:
		return firstCallShare
	case SecondCall:
		return secondCallShare
	}
	return 1
}

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
	slot          int64 // number of the newest slot since the start of the budget
	requests      [historySlots]int
	urgent        [historySlots]int // part of the requests
	retries       [historySlots]int
	urgentRetries [historySlots]int // part of the retries
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
	w.requests[w.slot%historySlots]++
	if urgent {
		w.urgent[w.slot%historySlots]++
	}
}

// SpendRetry takes one retry from the budget of a service and reports whether there
// was one. nodes is the number of nodes that share the fixed part. During its first
// window a node takes nothing of the fixed part, because the node may have spent it
// before a restart. Requests that are not urgent leave a reserve for urgent ones and
// spend no more than the newest slots allow, so that a long overload does not empty
// the budget at its start. Under a shortage of retries those for the first calls of a
// run are refused first.
func (b *Budget) SpendRetry(service string, nodes int, use Use) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowOf(service)
	slack := 0.0
	if b.clock.Now().Sub(b.started) >= b.window {
		slack = b.slack / float64(max(1, nodes))
	}
	if !b.allowsRetry(w, budgetSlots, slack, use) || use != Urgent && !b.allowsRetry(w, recentSlots, slack, use) {
		return false
	}
	w.retries[w.slot%historySlots]++
	if use == Urgent {
		w.urgentRetries[w.slot%historySlots]++
	}
	return true
}

// allowsRetry reports whether the budget computed from the newest slots of a window
// allows one more retry. The requests are those of the busiest of the window and the two
// that begin half a window and a whole window earlier: in an overload that breaks off
// runs, the number of calls falls when retries are needed most.
func (b *Budget) allowsRetry(w *budgetWindow, slots int64, slack float64, use Use) bool {
	requests, urgentRequests := w.busiestWindow()
	share := float64(slots) / budgetSlots
	recent, recentUrgent := w.requestsIn(w.slot-slots+1, w.slot)
	requests, urgentRequests = max(recent, share*requests), max(recentUrgent, share*urgentRequests)
	first := w.slot - slots + 1
	if slots == budgetSlots {
		first-- // the newest slot is incomplete, and one more covers a whole window
	}
	retries, urgentRetries := w.retriesSince(first)
	allowed := b.ratio*requests + slack
	if use != Urgent {
		reserve := min(reservePerUrgentRequest*urgentRequests, maxUrgentShare*allowed)
		allowed -= reserve
		retries -= min(urgentRetries, reserve)
	}
	return retries+1 <= use.share()*allowed
}

// busiestWindow returns the requests, and the urgent ones among them, of the window with
// the most requests. A slot is as wide as the error of a window's bounds, so an earlier
// window counts with the lower of two positions that are a slot apart.
func (w *budgetWindow) busiestWindow() (requests, urgent float64) {
	requests, urgent = w.requestsIn(w.slot-budgetSlots+1, w.slot)
	for _, offset := range []int64{budgetSlots / 2, budgetSlots} {
		r, u := w.requestsIn(w.slot-offset-budgetSlots+1, w.slot-offset)
		later, laterUrgent := w.requestsIn(w.slot-offset-budgetSlots+2, w.slot-offset+1)
		if later < r {
			r, u = later, laterUrgent
		}
		if r > requests {
			requests, urgent = r, u
		}
	}
	return requests, urgent
}

// requestsIn returns the requests of a range of slots and the urgent ones among them.
func (w *budgetWindow) requestsIn(first, last int64) (requests, urgent float64) {
	for slot := max(first, 0); slot <= last; slot++ {
		requests += float64(w.requests[slot%historySlots])
		urgent += float64(w.urgent[slot%historySlots])
	}
	return requests, urgent
}

// retriesSince returns the retries from a slot on and the urgent ones among them.
func (w *budgetWindow) retriesSince(first int64) (retries, urgent float64) {
	for slot := max(first, 0); slot <= w.slot; slot++ {
		retries += float64(w.retries[slot%historySlots])
		urgent += float64(w.urgentRetries[slot%historySlots])
	}
	return retries, urgent
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
		w.slot = max(w.slot+1, slot-historySlots+1)
		i := w.slot % historySlots
		w.requests[i], w.urgent[i], w.retries[i], w.urgentRetries[i] = 0, 0, 0, 0
	}
	return w
}
