package toucanbackend

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanpeer"
)

const (
	// slotShare is the part of the announced slots that is used. Some backend
	// servers slow down when they are nearly full.
	slotShare = 0.94
	// waitShare is the part of the latency objective that a call may wait for a
	// slot.
	waitShare = 0.5
	// durationWeight is the weight of a new run in the mean duration.
	durationWeight = 0.05
	// defaultDuration is assumed before the first run has ended.
	defaultDuration = 20 * time.Millisecond
)

// gate limits the concurrent runs. Waiting calls start in order of priority.
type gate struct {
	mu       sync.Mutex
	limit    int
	running  int
	waiting  waitQueue
	seq      uint64
	duration time.Duration // moving mean of a run
}

type waiter struct {
	priority int
	seq      uint64
	index    int
	granted  chan struct{} // closed when the wait ends
	refused  bool          // set before granted is closed
}

func (g *gate) setSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = max(1, int(float64(slots)*slotShare))
	g.grant()
}

// acquire waits for a slot. It refuses at once when the calls ahead would take
// longer than the call may wait.
func (g *gate) acquire(ctx context.Context, priority int, left, target time.Duration) toucancall.Reason {
	g.mu.Lock()
	if g.running < g.limit && len(g.waiting) == 0 {
		g.running++
		g.mu.Unlock()
		return ""
	}
	allowed := min(time.Duration(float64(target)*waitShare), left-g.mean())
	if g.estimate(priority) > allowed {
		g.mu.Unlock()
		return toucancall.ReasonOverload
	}
	g.seq++
	w := &waiter{priority: priority, seq: g.seq, granted: make(chan struct{})}
	heap.Push(&g.waiting, w)
	g.mu.Unlock()
	t := time.NewTimer(allowed)
	defer t.Stop()
	select {
	case <-w.granted:
		if w.refused {
			return toucancall.ReasonLeaving
		}
		return ""
	case <-t.C:
		return g.withdraw(w, toucancall.ReasonOverload)
	case <-ctx.Done():
		return g.withdraw(w, toucancall.ReasonCancelled)
	}
}

// withdraw ends the wait of a call, unless it was granted a slot meanwhile.
func (g *gate) withdraw(w *waiter, reason toucancall.Reason) toucancall.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index < 0 {
		if w.refused {
			return toucancall.ReasonLeaving
		}
		return ""
	}
	heap.Remove(&g.waiting, w.index)
	return reason
}

// estimate is the time until a new call of the priority would start.
func (g *gate) estimate(priority int) time.Duration {
	ahead := 1
	for _, w := range g.waiting {
		if w.priority <= priority {
			ahead++
		}
	}
	return g.mean() * time.Duration(ahead) / time.Duration(max(1, g.limit))
}

func (g *gate) mean() time.Duration {
	if g.duration == 0 {
		return defaultDuration
	}
	return g.duration
}

// release ends a run. A run that was cut short does not count in the mean.
func (g *gate) release(took time.Duration, whole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if whole {
		g.duration = g.mean() + time.Duration(durationWeight*float64(took-g.mean()))
	}
	g.grant()
}

func (g *gate) grant() {
	for g.running < g.limit && len(g.waiting) > 0 {
		w := heap.Pop(&g.waiting).(*waiter)
		g.running++
		close(w.granted)
	}
}

// refuseWaiting ends all waits, because the server takes no more calls.
func (g *gate) refuseWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.waiting) > 0 {
		w := heap.Pop(&g.waiting).(*waiter)
		w.refused = true
		close(w.granted)
	}
}

func (g *gate) report() toucanpeer.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return toucanpeer.Report{Running: g.running, Queued: len(g.waiting), Limit: g.limit, Duration: g.duration}
}

// waitQueue is a heap of waiting calls, most urgent and oldest first.
type waitQueue []*waiter

func (q waitQueue) Len() int { return len(q) }
func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].seq < q[j].seq
}
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
