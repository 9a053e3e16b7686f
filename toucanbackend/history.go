package toucanbackend

import (
	"time"

	"toucanhaven/toucanpeer"
)

// idHistory is a set of ids. It keeps an id for at least toucanpeer.IDRetention and, as
// long as further ids are added, for about twice that time at most.
type idHistory struct {
	current, previous map[string]struct{}
	currentSince      time.Time // when current was started
}

func (h *idHistory) add(id string, now time.Time) {
	if h.current == nil || now.Sub(h.currentSince) >= toucanpeer.IDRetention {
		h.previous, h.current, h.currentSince = h.current, make(map[string]struct{}), now
	}
	h.current[id] = struct{}{}
}

func (h *idHistory) has(id string) bool {
	if _, ok := h.current[id]; ok {
		return true
	}
	_, ok := h.previous[id]
	return ok
}
