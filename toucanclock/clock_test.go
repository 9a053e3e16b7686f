package toucanclock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// With a manual clock that goes backwards, tests of leases and deadlines could pass for
// the wrong reason.
func TestManualNeverRunsBackwards(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	clock := NewManual(start)
	clock.Advance(-time.Second)
	is.Equal(clock.Now(), start)
	clock.Advance(time.Second)
	is.Equal(clock.Now(), start.Add(time.Second))
	clock.Set(start)
	is.Equal(clock.Now(), start.Add(time.Second))
	clock.Set(start.Add(time.Minute))
	is.Equal(clock.Now(), start.Add(time.Minute))
}
