package toucanadmission

import "time"

const (
	defaultMinLimit     = 2
	defaultMaxLimit     = 2_048
	defaultInitialLimit = 20
	// growFactor is the step while no knee has been found yet; upFactor and
	// downFactor are the steps of a probe.
	growFactor = 2
	upFactor   = 1.25
	downFactor = 0.8
	// upTolerance and downGain are the middle between "own time does not
	// depend on the limit" (ratio 1) and "own time is proportional to the
	// limit" (ratio 1.25 or 0.8), so noise moves the limit equally rarely in
	// both directions and the next probe undoes it.
	upTolerance = 1.11
	downGain    = 0.9
	// A window collects calls that started while the limit was reached, until
	// the standard error of their mean own time is windowError, within
	// minSamples and maxSamples. Growth can afford a wrong step and uses fewer.
	windowError = 0.035
	minSamples  = 60
	maxSamples  = 800
	growSamples = 20
	// maxWindow ends a comparison that gets too few samples to be current.
	maxWindow = 3 * time.Second
	// probePause is the time between probes.
	probePause = time.Second
	// shedFactor lowers the limit below the number of calls that ran when the
	// backend server refused one; shedPause is the time between two such steps.
	shedFactor = 0.97
	shedPause  = 50 * time.Millisecond
)

// limitPhase is what the current window of the limiter measures.
type limitPhase string

const (
	phaseGrow  limitPhase = "grow"
	phaseHold  limitPhase = "hold"
	phaseProbe limitPhase = "probe"
	phaseCheck limitPhase = "check" // window after a probe, at the old limit
)

// limiter learns the concurrency limit of a backend server. It compares the
// mean own time of calls in adjacent windows at different limits: below the
// number of slots own time does not depend on the limit, above it own time
// grows in proportion. Both sides of a comparison are measured anew each time,
// so a change of the service time itself moves the limit in neither direction.
type limiter struct {
	limit    float64
	min, max float64
	phase    limitPhase

	started time.Time // of the current window
	n       int
	sum     float64 // seconds of own time
	squares float64 // of own times

	before    float64 // mean own time of the window before the probe
	beforeAt  float64 // limit of that window
	probed    float64 // mean own time during the probe
	probeAt   float64 // limit during the probe
	probeUp   bool    // direction of the next probe
	probeNext time.Time
	lastShed  time.Time
}

func newLimiter(minLimit, maxLimit, initial int, now time.Time) limiter {
	return limiter{
		limit: float64(initial), min: float64(minLimit), max: float64(maxLimit),
		phase: phaseGrow, started: now,
	}
}

func (l *limiter) current() int { return int(l.limit) }

// settled returns the limit without the step of a probe under way.
func (l *limiter) settled() int {
	if l.phase == phaseProbe {
		return int(l.beforeAt)
	}
	return l.current()
}

// sample adds one finished call that started while the limit was reached.
func (l *limiter) sample(begun, now time.Time, own time.Duration) {
	if begun.Before(l.started) {
		return // it ran partly under the limit of an earlier window
	}
	if now.Sub(l.started) > maxWindow {
		l.abandon()
		l.startWindow(now)
		return
	}
	l.n++
	l.sum += own.Seconds()
	l.squares += own.Seconds() * own.Seconds()
	if l.n >= l.samples() {
		l.endWindow(now)
	}
}

// samples returns how many samples the current window needs.
func (l *limiter) samples() int {
	if l.phase == phaseGrow {
		return max(l.current()/4, growSamples)
	}
	mean := l.sum / float64(l.n)
	variance := max(l.squares/float64(l.n)-mean*mean, 0)
	needed := variance / (mean * mean * windowError * windowError)
	return int(min(max(needed, minSamples), maxSamples))
}

func (l *limiter) endWindow(now time.Time) {
	mean := l.sum / float64(l.n)
	switch l.phase {
	case phaseGrow:
		l.grow(mean, now)
	case phaseHold:
		l.hold(mean, now)
	case phaseProbe:
		l.probed = mean
		l.set(l.beforeAt)
		l.phase = phaseCheck
	case phaseCheck:
		l.judge(mean, now)
	}
	l.startWindow(now)
}

// abandon gives up a comparison because the limit was reached too rarely.
func (l *limiter) abandon() {
	switch l.phase {
	case phaseGrow:
		l.before = 0
	case phaseProbe:
		l.set(l.beforeAt)
		l.phase = phaseHold
	case phaseCheck:
		l.phase = phaseHold
	}
}

func (l *limiter) grow(mean float64, now time.Time) {
	// Own time that rises by more than half of the step in the limit means
	// that the step added waiting rather than throughput.
	if l.before > 0 && mean > l.before*(1+0.5*(l.limit/l.beforeAt-1)) {
		l.set(l.beforeAt)
		l.phase, l.probeUp, l.probeNext = phaseHold, false, now
		return
	}
	l.before, l.beforeAt = mean, l.limit
	l.set(l.limit * growFactor)
}

func (l *limiter) hold(mean float64, now time.Time) {
	if now.Before(l.probeNext) {
		return
	}
	l.before, l.beforeAt = mean, l.limit
	factor := downFactor
	if l.probeUp {
		factor = upFactor
	}
	l.set(l.limit * factor)
	l.probeAt, l.phase = l.limit, phaseProbe
}

// judge compares the probe with the mean of the windows around it, which
// cancels a steady change of the service time.
func (l *limiter) judge(after float64, now time.Time) {
	reference := (l.before + after) / 2
	bound := downGain
	if l.probeUp {
		bound = upTolerance
	}
	l.phase = phaseHold
	if l.probed < reference*bound {
		// A step that helped is followed by another one at once.
		l.set(l.probeAt)
		return
	}
	l.probeUp, l.probeNext = !l.probeUp, now.Add(probePause)
}

// shed lowers the limit because the backend server refused a call while
// running others.
func (l *limiter) shed(now time.Time, running int) {
	if now.Sub(l.lastShed) < shedPause {
		return
	}
	l.lastShed = now
	l.set(min(l.limit, float64(running)) * shedFactor)
	l.phase, l.probeUp, l.probeNext = phaseHold, true, now.Add(probePause)
	l.startWindow(now)
}

func (l *limiter) set(limit float64) { l.limit = min(max(limit, l.min), l.max) }

func (l *limiter) startWindow(now time.Time) {
	l.started, l.n, l.sum, l.squares = now, 0, 0, 0
}
