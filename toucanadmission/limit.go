package toucanadmission

import "time"

const (
	defaultMinLimit     = 2
	defaultMaxLimit     = 2_048
	defaultInitialLimit = 20
	// growFactor multiplies the limit in each step until the knee of the latency
	// curve is found. probeUpFactor and probeDownFactor multiply it for a probe.
	growFactor      = 2
	probeUpFactor   = 1.25
	probeDownFactor = 0.8
	// A probe is accepted if the ratio of its mean own time to the mean at the old
	// limit is below maxProbeUpRatio or maxProbeDownRatio. Both lie midway between
	// the ratio 1, where own time does not depend on the limit, and the ratio 1.25
	// or 0.8, where own time is proportional to the limit. Noise therefore moves
	// the limit equally rarely in both directions, and the next probe reverses it.
	maxProbeUpRatio   = 1.11
	maxProbeDownRatio = 0.9
	// A window collects calls that started while the limit was reached, until the
	// relative standard error of their mean own time is at most maxStandardError.
	// It takes at least minSamples and at most maxSamples calls. During growth a
	// wrong step costs little, so minGrowSamples calls are enough.
	maxStandardError = 0.035
	minSamples       = 60
	maxSamples       = 800
	minGrowSamples   = 20
	// maxWindowDuration ends a comparison that gets too few samples in that time,
	// because its first samples are then out of date.
	maxWindowDuration = 3 * time.Second
	// probeInterval is the time between two probes, unless a probe was accepted.
	probeInterval = time.Second
	// When the backend server refuses a call, the limit is lowered to refusalFactor
	// times the number of running calls, or times the limit if that is lower. This
	// happens at most once per refusalInterval.
	refusalFactor   = 0.97
	refusalInterval = 50 * time.Millisecond
	// A call is lightly loaded if at most lightLoadShare of the limit was in use when it
	// started. lightOwnTimeWeight is the weight of such a call in the moving average of
	// their own time.
	lightLoadShare     = 1.0 / 3
	lightOwnTimeWeight = 0.02
	// maxFirstGrowRatio is the ratio of the mean own time in the first window at the
	// limit to that of lightly loaded calls from which the limit stops growing: the
	// backend server already makes calls wait.
	maxFirstGrowRatio = 1.5
)

// limitPhase is the purpose of the current measurement window of the limiter.
type limitPhase string

const (
	phaseGrow  limitPhase = "grow"
	phaseHold  limitPhase = "hold"
	phaseProbe limitPhase = "probe"
	phaseCheck limitPhase = "check" // window after a probe, at the old limit
)

// limiter adapts the concurrency limit to a backend server. It compares the mean own
// time of calls (their duration without the time of their child calls) in adjacent
// windows at different limits. Below the number of slots, own time does not depend on
// the limit; above it, own time grows in proportion to the limit. Each comparison
// measures both limits anew, so a change of the service time itself does not move the
// limit.
type limiter struct {
	limit    float64
	min, max float64
	phase    limitPhase

	windowStart      time.Time
	sampleCount      int
	ownTimeSum       float64 // in seconds
	ownTimeSquareSum float64 // sum of the squares of the own times

	meanBefore    float64 // mean own time of the window before the probe
	limitBefore   float64 // limit during that window
	probeMean     float64 // mean own time during the probe
	probeLimit    float64 // limit during the probe
	nextProbeUp   bool    // direction of the next probe
	nextProbe     time.Time
	lastReduction time.Time
	lightOwnTime  float64 // moving average of the own time of lightly loaded calls, in seconds; 0 before the first
}

func newLimiter(minLimit, maxLimit, initial int, now time.Time) limiter {
	return limiter{
		limit: float64(initial), min: float64(minLimit), max: float64(maxLimit),
		phase: phaseGrow, windowStart: now,
	}
}

// currentLimit returns the limit in force, which may be that of a probe.
func (l *limiter) currentLimit() int { return int(l.limit) }

// settledLimit returns the limit without the step of a probe in progress.
func (l *limiter) settledLimit() int {
	if l.phase == phaseProbe {
		return int(l.limitBefore)
	}
	return l.currentLimit()
}

// addSample adds a finished call that started while the limit was reached.
func (l *limiter) addSample(started, now time.Time, own time.Duration) {
	if started.Before(l.windowStart) {
		return // it ran partly under the limit of an earlier window
	}
	if now.Sub(l.windowStart) > maxWindowDuration {
		l.abandonComparison()
		l.startWindow(now)
		return
	}
	l.sampleCount++
	l.ownTimeSum += own.Seconds()
	l.ownTimeSquareSum += own.Seconds() * own.Seconds()
	if l.sampleCount >= l.neededSamples() {
		l.endWindow(now)
	}
}

// addLightSample adds a finished call that started while few others ran.
func (l *limiter) addLightSample(own time.Duration) {
	if l.lightOwnTime == 0 {
		l.lightOwnTime = own.Seconds()
	}
	l.lightOwnTime += lightOwnTimeWeight * (own.Seconds() - l.lightOwnTime)
}

// neededSamples returns the number of samples that the current window needs.
func (l *limiter) neededSamples() int {
	if l.phase == phaseGrow {
		return max(l.currentLimit()/4, minGrowSamples)
	}
	mean := l.ownTimeSum / float64(l.sampleCount)
	variance := max(l.ownTimeSquareSum/float64(l.sampleCount)-mean*mean, 0)
	needed := variance / (mean * mean * maxStandardError * maxStandardError)
	return int(min(max(needed, minSamples), maxSamples))
}

// endWindow evaluates the current window according to its phase and begins the next.
func (l *limiter) endWindow(now time.Time) {
	mean := l.ownTimeSum / float64(l.sampleCount)
	switch l.phase {
	case phaseGrow:
		l.endGrowWindow(mean, now)
	case phaseHold:
		l.endHoldWindow(mean, now)
	case phaseProbe:
		l.probeMean = mean
		l.setLimit(l.limitBefore)
		l.phase = phaseCheck
	case phaseCheck:
		l.endCheckWindow(mean, now)
	}
	l.startWindow(now)
}

// abandonComparison ends a comparison for which the limit was reached too rarely.
func (l *limiter) abandonComparison() {
	switch l.phase {
	case phaseGrow:
		l.meanBefore = 0
	case phaseProbe:
		l.setLimit(l.limitBefore)
		l.phase = phaseHold
	case phaseCheck:
		l.phase = phaseHold
	}
}

// endGrowWindow multiplies the limit by growFactor, or ends the growth if the last step
// only added waiting. The first window has no step before it and is compared with
// lightly loaded calls. These may be outdated, so their comparison ends the growth but
// does not lower the limit: if the backend server has become slower, the next probe
// raises the limit again.
func (l *limiter) endGrowWindow(mean float64, now time.Time) {
	if l.meanBefore == 0 && l.lightOwnTime > 0 && mean > maxFirstGrowRatio*l.lightOwnTime {
		l.phase, l.nextProbeUp, l.nextProbe = phaseHold, false, now
		return
	}
	// If own time rises by more than half of the relative step in the limit, the
	// step added waiting instead of throughput.
	if l.meanBefore > 0 && mean > l.meanBefore*(1+0.5*(l.limit/l.limitBefore-1)) {
		l.setLimit(l.limitBefore)
		l.phase, l.nextProbeUp, l.nextProbe = phaseHold, false, now
		return
	}
	l.meanBefore, l.limitBefore = mean, l.limit
	l.setLimit(l.limit * growFactor)
}

// endHoldWindow starts a probe if one is due.
func (l *limiter) endHoldWindow(mean float64, now time.Time) {
	if now.Before(l.nextProbe) {
		return
	}
	l.meanBefore, l.limitBefore = mean, l.limit
	factor := probeDownFactor
	if l.nextProbeUp {
		factor = probeUpFactor
	}
	l.setLimit(l.limit * factor)
	l.probeLimit, l.phase = l.limit, phaseProbe
}

// endCheckWindow compares the mean own time of the probe with the average of the
// windows before and after it, which cancels out a steady change of the service time.
func (l *limiter) endCheckWindow(meanAfter float64, now time.Time) {
	reference := (l.meanBefore + meanAfter) / 2
	maxRatio := maxProbeDownRatio
	if l.nextProbeUp {
		maxRatio = maxProbeUpRatio
	}
	l.phase = phaseHold
	if l.probeMean < reference*maxRatio {
		// An accepted probe is followed by another one in the same direction at once.
		l.setLimit(l.probeLimit)
		return
	}
	l.nextProbeUp, l.nextProbe = !l.nextProbeUp, now.Add(probeInterval)
}

// reduceAfterRefusal lowers the limit because the backend server refused a call while
// it ran other calls.
func (l *limiter) reduceAfterRefusal(now time.Time, running int) {
	if now.Sub(l.lastReduction) < refusalInterval {
		return
	}
	l.lastReduction = now
	l.setLimit(min(l.limit, float64(running)) * refusalFactor)
	l.phase, l.nextProbeUp, l.nextProbe = phaseHold, true, now.Add(probeInterval)
	l.startWindow(now)
}

// setLimit sets the limit within its bounds.
func (l *limiter) setLimit(limit float64) { l.limit = min(max(limit, l.min), l.max) }

// startWindow begins a window without samples.
func (l *limiter) startWindow(now time.Time) {
	l.windowStart, l.sampleCount, l.ownTimeSum, l.ownTimeSquareSum = now, 0, 0, 0
}
