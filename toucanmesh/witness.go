package toucanmesh

import (
	"slices"
	"sync"
	"time"

	"toucanhaven/toucanpeer"
)

// maxWitnessed bounds the departures that a node remembers for others.
const maxWitnessed = 4096

// witnessedDepartures are departures that a node remembers for other nodes while the
// store does not take them. They protect a node that restarts from late heartbeats of a
// server that has left. The zero value is empty.
type witnessedDepartures struct {
	mu    sync.Mutex
	items []witnessedDeparture // oldest first
}

type witnessedDeparture struct {
	toucanpeer.Departure
	until time.Time
}

// add remembers a departure for departureTTL. It reports false if there are too many.
func (w *witnessedDepartures) add(d toucanpeer.Departure, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.items = slices.DeleteFunc(w.items, func(i witnessedDeparture) bool { return i.Departure == d || !now.Before(i.until) })
	if d.Node == "" || d.Instance == "" || len(w.items) >= maxWitnessed {
		return false
	}
	w.items = append(w.items, witnessedDeparture{d, now.Add(departureTTL)})
	return true
}

// list returns the newest departures of the server beside a node.
func (w *witnessedDepartures) list(node string, now time.Time) (list []toucanpeer.Departure) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.items {
		if i.Node == node && now.Before(i.until) {
			list = append(list, i.Departure)
		}
	}
	return list[max(0, len(list)-maxDepartures):]
}
