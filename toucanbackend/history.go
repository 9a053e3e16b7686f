package toucanbackend

import (
	"hash/maphash"
	"time"

	"toucanhaven/toucanpeer"
)

// callKey stands for the id of a call, which may be as long as a header. Two ids have the same key
// with a probability of 2^-128; callers cannot look for such ids, because the seeds are random.
type callKey [2]uint64

var callKeySeeds = [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}

func keyOf(id string) callKey {
	return callKey{maphash.String(callKeySeeds[0], id), maphash.String(callKeySeeds[1], id)}
}

// callHistory is a set of calls. It keeps a call for at least toucanpeer.IDRetention and, as
// long as further calls are added, for about twice that time at most.
type callHistory struct {
	current, previous map[callKey]struct{}
	currentSince      time.Time // when current was started
}

func (h *callHistory) add(k callKey, now time.Time) {
	if h.current == nil || now.Sub(h.currentSince) >= toucanpeer.IDRetention {
		h.previous, h.current, h.currentSince = h.current, make(map[callKey]struct{}), now
	}
	h.current[k] = struct{}{}
}

func (h *callHistory) has(k callKey) bool {
	if _, ok := h.current[k]; ok {
		return true
	}
	_, ok := h.previous[k]
	return ok
}
