package toucanbackend

import (
	"math"
	"time"
)

const (
	// failureGain is the weight of a new outcome in the share of failures.
	failureGain = 0.05
	// failureHalfLife makes a server that is avoided be tried again.
	failureHalfLife = 2 * time.Second
)

// decayingShare is a moving share of events that halves over time.
type decayingShare struct {
	value   float64
	updated time.Time
}

func (d *decayingShare) at(now time.Time) float64 {
	if d.updated.IsZero() {
		return 0
	}
	return d.value * math.Exp2(-now.Sub(d.updated).Seconds()/failureHalfLife.Seconds())
}

func (d *decayingShare) note(failed bool, now time.Time) {
	x := 0.0
	if failed {
		x = 1
	}
	v := d.at(now)
	d.value, d.updated = v+failureGain*(x-v), now
}
