package toucanbackend

import "time"

// idHistory remembers ids for one to two times endedTime.
type idHistory struct {
	newer, older map[string]struct{}
	began        time.Time // start of newer
}

func (h *idHistory) add(id string, now time.Time) {
	if h.newer == nil || now.Sub(h.began) >= endedTime {
		h.older, h.newer, h.began = h.newer, make(map[string]struct{}), now
	}
	h.newer[id] = struct{}{}
}

func (h *idHistory) has(id string) bool {
	if _, ok := h.newer[id]; ok {
		return true
	}
	_, ok := h.older[id]
	return ok
}
