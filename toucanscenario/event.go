// Package toucanscenario runs overload scenarios in virtual time. It connects the
// admission and retry packages to simulated backend servers and measures the
// goodput that callers get.
package toucanscenario

import (
	"time"

	"toucanhaven/toucanclock"
)

// event is a function to run at a virtual time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// eventLoop runs events in the order of their time. Events with equal time run in
// the order of their creation, which makes a run reproducible from its seed.
type eventLoop struct {
	start  time.Time
	clock  *toucanclock.Manual
	now    time.Duration
	seq    uint64
	events []event // binary heap ordered by less
}

func newEventLoop() *eventLoop {
	start := time.Unix(1_800_000_000, 0)
	return &eventLoop{start: start, clock: toucanclock.NewManual(start)}
}

// runAfter schedules f to run after d.
func (l *eventLoop) runAfter(d time.Duration, f func()) {
	l.seq++
	l.events = append(l.events, event{l.now + max(d, 0), l.seq, f})
	i := len(l.events) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !l.less(i, parent) {
			break
		}
		l.events[i], l.events[parent] = l.events[parent], l.events[i]
		i = parent
	}
}

func (l *eventLoop) less(i, j int) bool {
	a, b := &l.events[i], &l.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

// runUntil runs all events up to and including end.
func (l *eventLoop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := l.pop()
		l.now = e.at
		l.clock.Set(l.start.Add(l.now))
		e.run()
	}
}

func (l *eventLoop) pop() event {
	e := l.events[0]
	last := len(l.events) - 1
	l.events[0] = l.events[last]
	l.events[last] = event{}
	l.events = l.events[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && l.less(child+1, child) {
			child++
		}
		if !l.less(child, i) {
			break
		}
		l.events[i], l.events[child] = l.events[child], l.events[i]
		i = child
	}
	return e
}
