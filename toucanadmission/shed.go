package toucanadmission

import (
	"slices"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
)

const (
	// growGrace is how long a queue is tolerated after a step of the limit
	// while the limit still grows.
	growGrace = 300 * time.Millisecond
	// controlInterval is the time between two settings of the threshold.
	controlInterval = 100 * time.Millisecond
	// minDelayTarget is the queueing delay that is always accepted; longer
	// service times accept delayShare of a service time, because a queue
	// shorter than that would leave slots empty between two calls.
	minDelayTarget = 5 * time.Millisecond
	maxDelayTarget = 25 * time.Millisecond
	delayShare     = 0.25
	// rateWeight smooths measured rates from interval to interval.
	rateWeight = 0.4
	// Rates of levels that the threshold hides from this node are remembered,
	// because entries no longer send them. They age slowly at full use and the
	// faster the more capacity is idle, because then the hidden demand is
	// overestimated. seenDecay ages them once the level is admitted again.
	busyDecay = 0.99
	idleDecay = 0.8
	seenDecay = 0.9
	busyUse   = 0.95
	idleUse   = 0.6
	// The threshold rises by at most riseBusy levels an interval at full use,
	// because the demand behind it is known only from memory, and by up to
	// riseIdle more when capacity is idle.
	riseBusy = 2
	riseIdle = 48
	// The admitted rate is the estimated capacity (limit over mean time of a
	// call) times a gain, which falls while the queueing delay is over its
	// target and rises while it is under it.
	minGain  = 0.6
	maxGain  = 1.25
	gainStep = 0.05
	// maxRanks bounds the ranks tracked apart.
	maxRanks = 64
	// rankIdle is how long a rank without calls is kept.
	rankIdle = 30 * time.Second

	allLevels = toucancall.MaxLevel + 1
)

// rankUse is the measured demand of one rank at this node.
type rankUse struct {
	rank       toucanclass.Rank
	rates      [allLevels]float64 // calls a second that arrive at each level
	hidden     [allLevels]float64 // remembered from before the level was hidden
	counts     [allLevels]int     // in the current interval
	last       time.Time
	level      int // last level admitted, -1 when none
	before     int // level of the interval before
	guaranteed int // last level inside the guaranteed part, -1 when none
}

// demand returns the estimated offered rate of a level.
func (u *rankUse) demand(i int) float64 { return max(u.rates[i], u.hidden[i]) }

// total returns the estimated offered rate of all levels.
func (u *rankUse) total() (sum float64) {
	for i := range u.rates {
		sum += u.demand(i)
	}
	return sum
}

// levelFor returns the last level at which the demand up to it fits into
// budget, and the part of the budget used.
func (u *rankUse) levelFor(budget float64) (level int, used float64) {
	if budget <= 0 {
		return -1, 0
	}
	for i := range u.rates {
		d := u.demand(i)
		if used+d > budget {
			return i - 1, used
		}
		used += d
	}
	return toucancall.MaxLevel, used
}

// hide remembers the rates of the levels that are no longer admitted.
func (u *rankUse) hide() {
	for i := u.level + 1; i <= u.before; i++ {
		u.hidden[i] = max(u.hidden[i], u.rates[i])
	}
}

// shedder sets the threshold of each rank from the queueing delay.
type shedder struct {
	policy Policy
	ranks  []*rankUse // ordered, most urgent first

	active bool    // whether any call is shed by the threshold
	gain   float64 // see minGain
	budget float64 // admitted calls a second

	finished   int
	ownSum     float64
	holdSum    float64
	queueSum   float64
	useSum     float64
	queueCount int
	overflowed bool

	overloadedFor time.Duration // since the limit last grew
	lastLimit     int

	use      float64 // of the limit, smoothed
	idle     float64 // 0 at full use, 1 when much capacity is idle
	ownMean  float64 // own seconds of a call
	holdMean float64 // seconds of a call at the backend server
	capacity float64 // calls a second that the backend server can finish
}

// rank returns the entry of a rank. When the table is full the next less urgent
// rank stands in for it, so an unknown rank is never ranked up.
func (s *shedder) rank(r toucanclass.Rank, now time.Time) *rankUse {
	i, found := slices.BinarySearchFunc(s.ranks, r, func(u *rankUse, r toucanclass.Rank) int {
		if u.rank < r {
			return -1
		}
		if u.rank > r {
			return 1
		}
		return 0
	})
	if found {
		return s.ranks[i]
	}
	if len(s.ranks) >= maxRanks {
		return s.ranks[min(i, len(s.ranks)-1)]
	}
	u := &rankUse{rank: r, last: now, level: toucancall.MaxLevel, guaranteed: -1}
	if s.active && i > 0 && s.ranks[i-1].level < toucancall.MaxLevel {
		u.level = -1
	}
	s.ranks = slices.Insert(s.ranks, i, u)
	return u
}

// observe adds one sample of the queue length and of the used part of the limit.
func (s *shedder) observe(queued int, use float64) {
	s.queueSum += float64(queued)
	s.useSum += use
	s.queueCount++
}

// state is what the controller tells the shedder at the end of an interval.
type state struct {
	limit   int
	growing bool // the limit is not known yet
}

// control sets the admitted rate and the thresholds at the end of an interval.
func (s *shedder) control(now time.Time, elapsed time.Duration, st state) {
	s.measure(now, elapsed.Seconds(), st)
	delay, target := s.delay(), s.delayTarget()
	overloaded := delay > target || s.overflowed
	s.overflowed = false
	if st.limit > s.lastLimit {
		s.overloadedFor = 0
	}
	s.lastLimit = st.limit
	switch {
	case !s.active && !overloaded:
		s.overloadedFor = 0
		return
	case st.growing && s.overloadedFor < growGrace:
		// A short queue may say only that the limit is still too low.
		s.overloadedFor += elapsed
		return
	case !s.active:
		s.active, s.gain = true, 1
	case overloaded:
		s.gain -= gainStep * min(max(delay/target-1, 0.1), 1)
	default:
		s.gain += gainStep * (1 - delay/target)
	}
	s.gain = min(max(s.gain, minGain), maxGain)
	s.budget = s.capacity * s.gain
	s.setLevels(overloaded)
}

func (s *shedder) measure(now time.Time, seconds float64, st state) {
	if s.finished > 0 {
		n := float64(s.finished)
		s.ownMean += rateWeight * (s.ownSum/n - s.ownMean)
		s.holdMean += rateWeight * (s.holdSum/n - s.holdMean)
		s.finished, s.ownSum, s.holdSum = 0, 0, 0
	}
	s.capacity = float64(st.limit) / max(s.holdMean, minHold)
	if s.queueCount > 0 {
		s.use += rateWeight * (s.useSum/float64(s.queueCount) - s.use)
	}
	s.useSum = 0
	s.idle = min(max((busyUse-s.use)/(busyUse-idleUse), 0), 1)
	decay := busyDecay + s.idle*(idleDecay-busyDecay)
	for _, u := range s.ranks {
		for i := range u.rates {
			u.rates[i] += rateWeight * (float64(u.counts[i])/seconds - u.rates[i])
			u.counts[i] = 0
			if i > u.level {
				u.hidden[i] *= decay
			} else {
				u.hidden[i] *= seenDecay
			}
		}
	}
	s.ranks = slices.DeleteFunc(s.ranks, func(u *rankUse) bool { return now.Sub(u.last) > rankIdle })
}

// minHold keeps the estimated capacity finite.
const minHold = 1e-5

// delay returns the mean queueing delay in seconds by Little's law.
func (s *shedder) delay() float64 {
	if s.queueCount == 0 {
		return 0
	}
	mean := s.queueSum / float64(s.queueCount)
	s.queueSum, s.queueCount = 0, 0
	return mean / s.capacity
}

func (s *shedder) delayTarget() float64 {
	return min(max(delayShare*s.ownMean, minDelayTarget.Seconds()), maxDelayTarget.Seconds())
}

// setLevels divides the budget among the ranks, or opens the threshold when
// the demand fits, and lets levels rise only step by step.
func (s *shedder) setLevels(overloaded bool) {
	demand := 0.0
	for _, u := range s.ranks {
		demand += u.total()
		u.before = u.level
	}
	if !overloaded && demand*openMargin <= s.budget {
		for _, u := range s.ranks {
			u.level, u.guaranteed = toucancall.MaxLevel, -1
		}
	} else {
		s.policy.divide(s.budget, s.ranks)
	}
	rise := riseBusy + int(riseIdle*s.idle*s.idle)
	s.active = false
	for _, u := range s.ranks {
		u.level = min(u.level, u.before+rise)
		rise -= max(u.level-u.before, 0)
		u.hide()
		s.active = s.active || u.level < toucancall.MaxLevel
	}
}

// openMargin is how far the budget must exceed the demand before the threshold
// opens fully.
const openMargin = 1.1

// Policy says what less urgent ranks keep while a more urgent rank alone
// exceeds the capacity.
type Policy interface {
	divide(budget float64, ranks []*rankUse)
}

// StrictPriority serves ranks in their order; a less urgent rank gets what is left.
type StrictPriority struct{}

func (StrictPriority) divide(budget float64, ranks []*rankUse) {
	for _, u := range ranks {
		var used float64
		u.level, used = u.levelFor(budget)
		u.guaranteed = -1
		budget -= used
		if u.level < toucancall.MaxLevel {
			budget = 0
		}
	}
}

// MinimumShares guarantees part of the capacity to the ranks behind the most urgent
// one, divided equally among them; the rest is served in order. What a rank
// does not use of its floor goes to the others.
type MinimumShares struct {
	Share float64 // of the capacity, between 0 and 1
}

func (f MinimumShares) divide(budget float64, ranks []*rankUse) {
	if len(ranks) < 2 {
		StrictPriority{}.divide(budget, ranks)
		return
	}
	floor := f.Share * budget / float64(len(ranks)-1)
	divideWithFloors(budget, ranks, func(i int) float64 {
		if i == 0 {
			return 0
		}
		return floor
	})
}

// EqualShares gives every rank the same part of the capacity; what a rank does not
// use is served in order.
type EqualShares struct{}

func (EqualShares) divide(budget float64, ranks []*rankUse) {
	divideWithFloors(budget, ranks, func(int) float64 { return budget / float64(len(ranks)) })
}

func divideWithFloors(budget float64, ranks []*rankUse, floor func(i int) float64) {
	left := budget
	for i, u := range ranks {
		var used float64
		u.guaranteed, used = u.levelFor(floor(i))
		left -= used
	}
	for _, u := range ranks {
		reserved := 0.0
		for i := 0; i <= u.guaranteed; i++ {
			reserved += u.demand(i)
		}
		var used float64
		u.level, used = u.levelFor(max(left, 0) + reserved)
		left -= used - reserved
		if u.level < toucancall.MaxLevel {
			left = 0
		}
	}
}
