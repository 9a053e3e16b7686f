package toucanadmission

import (
	"slices"
	"time"

	"toucanhaven/toucanclass"
)

// position orders queued calls. Calls inside the guaranteed part of their rank
// go first, then rank, then level, then arrival.
type position struct {
	guaranteed bool
	rank       toucanclass.Rank
	level      int
	seq        uint64
}

func (p position) compare(q position) int {
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

// waiting is a queued call.
type waiting struct {
	position
	id       uint64
	arrived  time.Time
	deadline time.Time
}

// queue is kept sorted with the first call to run at the end. It holds at most
// a few hundred calls, for which moving part of the slice is cheaper than a
// heap and allows taking calls from both ends.
type queue []*waiting

func compareWaiting(a, b *waiting) int { return b.compare(a.position) }

func (q *queue) push(w *waiting) {
	i, _ := slices.BinarySearchFunc(*q, w, compareWaiting)
	*q = slices.Insert(*q, i, w)
}

func (q *queue) popFirst() *waiting {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return w
}

func (q *queue) popWorst() *waiting {
	w := (*q)[0]
	*q = slices.Delete(*q, 0, 1)
	return w
}

func (q *queue) remove(w *waiting) {
	if i, found := slices.BinarySearchFunc(*q, w, compareWaiting); found {
		*q = slices.Delete(*q, i, i+1)
	}
}
