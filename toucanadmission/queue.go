package toucanadmission

import (
	"slices"
	"time"

	"toucanhaven/toucanclass"
)

// priority orders queued calls: first the calls within the guaranteed share of their
// rank, then by rank, by level and by arrival.
type priority struct {
	guaranteed bool
	rank       toucanclass.Rank
	level      int
	seq        uint64
}

// compare returns a negative number if p is served before q, a positive one if it is
// served after q, and 0 if they are equal.
func (p priority) compare(q priority) int {
	switch {
	case p.guaranteed != q.guaranteed:
		if p.guaranteed {
			return -1
		}
		return 1
	case p.rank != q.rank:
		if p.rank < q.rank {
			return -1
		}
		return 1
	case p.level != q.level:
		return p.level - q.level
	case p.seq < q.seq:
		return -1
	case p.seq > q.seq:
		return 1
	}
	return 0
}

// queuedCall is a call in the queue.
type queuedCall struct {
	priority
	id       uint64
	arrived  time.Time
	deadline time.Time
}

// queue is a slice sorted in reverse order: the call to run next is at the end. It
// holds at most a few hundred calls. For that size, moving a part of the slice is
// cheaper than a heap, and calls can be taken from both ends.
type queue []*queuedCall

func compareReversed(a, b *queuedCall) int { return b.compare(a.priority) }

func (q *queue) push(w *queuedCall) {
	i, _ := slices.BinarySearchFunc(*q, w, compareReversed)
	*q = slices.Insert(*q, i, w)
}

// popFirst removes and returns the call to run next.
func (q *queue) popFirst() *queuedCall {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return w
}

// popLast removes and returns the call that would run last.
func (q *queue) popLast() *queuedCall {
	w := (*q)[0]
	*q = slices.Delete(*q, 0, 1)
	return w
}

func (q *queue) remove(w *queuedCall) {
	if i, found := slices.BinarySearchFunc(*q, w, compareReversed); found {
		*q = slices.Delete(*q, i, i+1)
	}
}
