// Package toucanclock defines the clock from which other packages read the time.
package toucanclock

import (
	"sync"
	"time"
)

// Clock returns the current time. Packages that decide about calls, such as those for
// admission, balancing and retries, read the time only from a Clock, so tests can
// control it.
type Clock interface {
	Now() time.Time
}

// System is the clock of the operating system. The zero value is ready for use.
type System struct{}

// Now returns the current time with its monotonic reading.
func (System) Now() time.Time { return time.Now() }

// Manual is a clock that changes only by calls of Advance and Set. It is safe for
// concurrent use.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a manual clock that is set to start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time that the clock is set to.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d. A negative d is ignored: the clock never goes
// backwards.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d > 0 {
		m.now = m.now.Add(d)
	}
}

// Set sets the clock to t, unless t is before the current reading.
func (m *Manual) Set(t time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.After(m.now) {
		m.now = t
	}
}
