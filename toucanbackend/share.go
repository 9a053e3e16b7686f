package toucanbackend

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of a new outcome in the moving average of
	// failures.
	failureWeight = 0.05
	// failureHalfLife is the half-life of the share of failures. Because of this
	// decay, a server that is avoided for its failures gets calls again.
	failureHalfLife = 2 * time.Second
)

// decayingShare is the moving average of the share of calls that failed. It decays
// with failureHalfLife. The zero value is ready to use.
type decayingShare struct {
	value   float64
	updated time.Time
}

// valueAt returns the share at a time.
func (d *decayingShare) valueAt(now time.Time) float64 {
	if d.updated.IsZero() {
		return 0
	}
	return d.value * math.Exp2(-now.Sub(d.updated).Seconds()/failureHalfLife.Seconds())
}

// record adds the outcome of a call.
func (d *decayingShare) record(failed bool, now time.Time) {
	x := 0.0
	if failed {
		x = 1
	}
	v := d.valueAt(now)
	d.value, d.updated = v+failureWeight*(x-v), now
}
