// Package toucanscenario drives the decision packages against small fake
// backend servers in virtual time and measures what callers get.
package toucanscenario

import (
	"time"

	"toucanhaven/toucanclock"
)

// event is a function that runs at a moment of virtual time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// loop runs events in the order of their time, and of their creation when the
// time is equal, so that a run is exactly repeatable.
type loop struct {
	start  time.Time
	clock  *toucanclock.Manual
	now    time.Duration
	seq    uint64
	events []event
}

func newLoop() *loop {
	start := time.Unix(1_800_000_000, 0)
	return &loop{start: start, clock: toucanclock.NewManual(start)}
}

// after runs f once d has passed.
func (l *loop) after(d time.Duration, f func()) {
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

func (l *loop) less(i, j int) bool {
	a, b := &l.events[i], &l.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

// runUntil runs all events up to end.
func (l *loop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := l.pop()
		l.now = e.at
		l.clock.Set(l.start.Add(l.now))
		e.run()
	}
}

func (l *loop) pop() event {
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
