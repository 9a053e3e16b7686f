package toucanadmission

import (
	"math"
	"slices"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
)

const (
	// controlInterval is the time between two settings of the threshold.
	controlInterval = 100 * time.Millisecond
	// minDelayTarget is the queueing delay that is always accepted; longer
	// service times accept delayShare of a service time, because a queue
	// shorter than that would leave slots empty between two calls.
	minDelayTarget = 5 * time.Millisecond
	maxDelayTarget = 100 * time.Millisecond
	delayShare     = 0.25
	// rateWeight smooths measured rates from interval to interval.
	rateWeight = 0.3
	// hiddenDecay ages the rates of levels that the threshold hides from this
	// node, because entries no longer send them.
	hiddenDecay = 0.98
	// creep and rush raise the admitted rate for each interval without
	// overload: slowly near full use, fast when much capacity is idle.
	creep     = 1.02
	rush      = 1.3
	rushBelow = 0.7
	// maxRanks bounds the ranks tracked apart.
	maxRanks = 64
	// rankIdle is how long a rank without calls is kept.
	rankIdle = 30 * time.Second

	allLevels = toucancall.MaxLevel + 1
)

// rankUse is the measured demand of one rank at this node.
type rankUse struct {
	rank       toucanclass.Rank
	rates      [allLevels]float64 // calls a second offered at each level
	counts     [allLevels]int     // in the current interval
	last       time.Time
	level      int // last level admitted, -1 when none
	guaranteed int // last level inside the guaranteed part, -1 when none
}

// total returns the offered rate of all levels.
func (u *rankUse) total() (sum float64) {
	for _, r := range u.rates {
		sum += r
	}
	return sum
}

// levelFor returns the last level at which the rates up to it fit into budget,
// and the part of the budget used.
func (u *rankUse) levelFor(budget float64) (level int, used float64) {
	for i, r := range u.rates {
		if used+r > budget {
			return i - 1, used
		}
		used += r
	}
	return toucancall.MaxLevel, used
}

// shedder sets the threshold of each rank from the queueing delay.
type shedder struct {
	policy Policy
	ranks  []*rankUse // ordered, most urgent first

	budget float64 // admitted calls a second; +Inf when there is no overload

	finished   int
	ownSum     float64
	queueSum   float64
	queueCount int
	overflowed bool

	capacity float64 // finished calls a second, smoothed
	ownMean  float64 // seconds
}

// use returns the entry of a rank. When the table is full the next less urgent
// rank stands in for it, so an unknown rank is never ranked up.
func (s *shedder) use(r toucanclass.Rank, now time.Time) *rankUse {
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
	if !math.IsInf(s.budget, 1) && i > 0 && s.ranks[i-1].level < toucancall.MaxLevel {
		u.level = -1
	}
	s.ranks = slices.Insert(s.ranks, i, u)
	return u
}

// observeQueue adds one sample of the queue length.
func (s *shedder) observeQueue(n int) {
	s.queueSum += float64(n)
	s.queueCount++
}

// control sets budget and thresholds at the end of an interval.
func (s *shedder) control(now time.Time, elapsed time.Duration, running, limit int, oldest time.Duration) {
	seconds := elapsed.Seconds()
	s.measure(now, seconds)
	delay := s.delay(oldest)
	target := s.delayTarget()
	switch {
	case delay > target || s.overflowed:
		// The rate that finished in this interval is what can be admitted,
		// less a part that lets the queue shrink.
		cut := min(max(target/max(delay, 1e-9), 0.7), 0.97)
		s.budget = min(s.budget, s.capacity) * cut
		s.budget = max(s.budget, 0.5*s.capacity)
	case math.IsInf(s.budget, 1):
	case float64(running) < rushBelow*float64(limit):
		s.budget *= rush
	default:
		s.budget *= creep
	}
	s.overflowed = false
	s.setLevels(now)
}

func (s *shedder) measure(now time.Time, seconds float64) {
	s.capacity += rateWeight * (float64(s.finished)/seconds - s.capacity)
	if s.finished > 0 {
		s.ownMean += rateWeight * (s.ownSum/float64(s.finished) - s.ownMean)
	}
	s.finished, s.ownSum = 0, 0
	for _, u := range s.ranks {
		for i := range u.rates {
			rate := float64(u.counts[i]) / seconds
			if i <= u.level {
				u.rates[i] += rateWeight * (rate - u.rates[i])
			} else {
				u.rates[i] = max(u.rates[i]*hiddenDecay, rate)
			}
			u.counts[i] = 0
		}
	}
	s.ranks = slices.DeleteFunc(s.ranks, func(u *rankUse) bool { return now.Sub(u.last) > rankIdle })
}

// delay returns the mean queueing delay in seconds by Little's law, or the age
// of the oldest queued call when nothing finished.
func (s *shedder) delay(oldest time.Duration) float64 {
	if s.queueCount == 0 {
		return 0
	}
	mean := s.queueSum / float64(s.queueCount)
	s.queueSum, s.queueCount = 0, 0
	if s.capacity < 1 {
		return oldest.Seconds()
	}
	return mean / s.capacity
}

func (s *shedder) delayTarget() float64 {
	return min(max(delayShare*s.ownMean, minDelayTarget.Seconds()), maxDelayTarget.Seconds())
}

// setLevels divides the budget among the ranks.
func (s *shedder) setLevels(now time.Time) {
	if math.IsInf(s.budget, 1) {
		return
	}
	demand := 0.0
	for _, u := range s.ranks {
		demand += u.total()
	}
	if demand*openMargin <= s.budget && s.budget > s.capacity {
		s.budget = math.Inf(1)
		for _, u := range s.ranks {
			u.level, u.guaranteed = toucancall.MaxLevel, -1
		}
		return
	}
	s.policy.divide(s.budget, s.ranks)
}

// openMargin is how far the budget must exceed the demand before the threshold
// opens fully.
const openMargin = 1.1

// Policy says what less urgent ranks keep while a more urgent rank alone
// exceeds the capacity.
type Policy interface {
	divide(budget float64, ranks []*rankUse)
}

// Strict serves ranks in their order; a less urgent rank gets what is left.
type Strict struct{}

func (Strict) divide(budget float64, ranks []*rankUse) {
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

// Floors guarantees part of the capacity to the ranks behind the most urgent
// one, divided equally among them; the rest is served in order. What a rank
// does not use of its floor goes to the others.
type Floors struct {
	Share float64 // of the capacity, between 0 and 1
}

func (f Floors) divide(budget float64, ranks []*rankUse) {
	if len(ranks) < 2 {
		Strict{}.divide(budget, ranks)
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

// Shares gives every rank the same part of the capacity; what a rank does not
// use is served in order.
type Shares struct{}

func (Shares) divide(budget float64, ranks []*rankUse) {
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
			reserved += u.rates[i]
		}
		var used float64
		u.level, used = u.levelFor(max(left, 0) + reserved)
		left -= used - reserved
		if u.level < toucancall.MaxLevel {
			left = 0
		}
	}
}
