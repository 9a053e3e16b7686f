// Package toucanclock defines the clock that decision packages are given.
package toucanclock

import (
	"sync"
	"time"
)

// Clock tells the current time. Decision packages read time only through it.
type Clock interface {
	Now() time.Time
}

// System is the clock of the operating system. Its zero value is ready to use.
type System struct{}

// Now returns the current time with its monotonic reading.
func (System) Now() time.Time { return time.Now() }

// Manual is a clock that moves only when told to. It is safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a manual clock that stands at start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time the clock stands at.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d. A negative d is ignored, so that the
// clock never runs backwards.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d > 0 {
		m.now = m.now.Add(d)
	}
}

// Set moves the clock to t unless t lies before the current reading.
func (m *Manual) Set(t time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.After(m.now) {
		m.now = t
	}
}
