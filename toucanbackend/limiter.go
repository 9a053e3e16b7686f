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
	// usableSlotShare is the share of the announced slots that is used. Some
	// backend servers slow down when they are nearly full.
	usableSlotShare = 0.94
	// maxWaitShare is the share of the latency objective that a call may wait for
	// a slot.
	maxWaitShare = 0.5
	// durationWeight is the weight of a new run in the moving average of the run
	// duration.
	durationWeight = 0.05
	// defaultRunDuration is the run duration assumed before the first run has
	// ended.
	defaultRunDuration = 20 * time.Millisecond
)

// limiter limits the number of concurrent runs to the slots of the backend server.
// Waiting calls start in order of priority, then of arrival.
type limiter struct {
	mu      sync.Mutex
	limit   int
	running int
	waiting waitQueue
	seq     uint64
	meanRun time.Duration // moving average of the run duration; 0 before the first run
}

type waiter struct {
	priority int
	seq      uint64
	index    int           // in the heap; negative after removal
	done     chan struct{} // closed when the call gets a slot or is refused
	refused  bool          // the wait ended without a slot; set before done is closed
}

// setSlots sets the number of slots that the backend server announced.
func (l *limiter) setSlots(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = max(1, int(float64(slots)*usableSlotShare))
	l.grantSlots()
}

// acquire waits for a slot. It returns the empty reason if the call got one, and
// otherwise the reason of the refusal. It refuses at once if the calls ahead are
// expected to take longer than the call may wait.
func (l *limiter) acquire(ctx context.Context, priority int, remaining, target time.Duration) toucancall.Reason {
	l.mu.Lock()
	if l.running < l.limit && len(l.waiting) == 0 {
		l.running++
		l.mu.Unlock()
		return ""
	}
	maxWait := min(time.Duration(float64(target)*maxWaitShare), remaining-l.meanRunOrDefault())
	if l.estimateWait(priority) > maxWait {
		l.mu.Unlock()
		return toucancall.ReasonOverload
	}
	l.seq++
	w := &waiter{priority: priority, seq: l.seq, done: make(chan struct{})}
	heap.Push(&l.waiting, w)
	l.mu.Unlock()
	t := time.NewTimer(maxWait)
	defer t.Stop()
	select {
	case <-w.done:
		if w.refused {
			return toucancall.ReasonLeaving
		}
		return ""
	case <-t.C:
		return l.cancelWait(w, toucancall.ReasonOverload)
	case <-ctx.Done():
		return l.cancelWait(w, toucancall.ReasonCancelled)
	}
}

// cancelWait removes a call from the queue and returns reason, unless the call got
// a slot or was refused in the meantime.
func (l *limiter) cancelWait(w *waiter, reason toucancall.Reason) toucancall.Reason {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.index < 0 {
		if w.refused {
			return toucancall.ReasonLeaving
		}
		return ""
	}
	heap.Remove(&l.waiting, w.index)
	return reason
}

// estimateWait returns the expected wait of a new call of the priority. l.mu must
// be held.
func (l *limiter) estimateWait(priority int) time.Duration {
	ahead := 1
	for _, w := range l.waiting {
		if w.priority <= priority {
			ahead++
		}
	}
	return l.meanRunOrDefault() * time.Duration(ahead) / time.Duration(max(1, l.limit))
}

// meanRunOrDefault returns the moving average of the run duration. l.mu must be
// held.
func (l *limiter) meanRunOrDefault() time.Duration {
	if l.meanRun == 0 {
		return defaultRunDuration
	}
	return l.meanRun
}

// release returns the slot of a run. Only the duration of a completed run counts
// in the moving average.
func (l *limiter) release(took time.Duration, completed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if completed {
		l.meanRun = l.meanRunOrDefault() + time.Duration(durationWeight*float64(took-l.meanRunOrDefault()))
	}
	l.grantSlots()
}

// grantSlots starts waiting calls while there are free slots. l.mu must be held.
func (l *limiter) grantSlots() {
	for l.running < l.limit && len(l.waiting) > 0 {
		w := heap.Pop(&l.waiting).(*waiter)
		l.running++
		close(w.done)
	}
}

// refuseWaiting refuses all waiting calls, because the server takes no more calls.
func (l *limiter) refuseWaiting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.waiting) > 0 {
		w := heap.Pop(&l.waiting).(*waiter)
		w.refused = true
		close(w.done)
	}
}

func (l *limiter) report() toucanpeer.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return toucanpeer.Report{Running: l.running, Queued: len(l.waiting), Limit: l.limit, Duration: l.meanRun}
}

// waitQueue is a heap of waiting calls, ordered by priority and then by arrival.
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
