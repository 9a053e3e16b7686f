package toucanadmission

import (
	"slices"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
)

const (
	// growthGracePeriod is the time for which a queue is tolerated after a step of
	// the limit while the limit still grows.
	growthGracePeriod = 300 * time.Millisecond
	// controlInterval is the time between two updates of the thresholds.
	controlInterval = 100 * time.Millisecond
	// The target of the queueing delay is delayTargetShare of the mean own time of a
	// call, between minDelayTarget and maxDelayTarget. A shorter queue would leave
	// slots empty between two calls.
	minDelayTarget   = 5 * time.Millisecond
	maxDelayTarget   = 25 * time.Millisecond
	delayTargetShare = 0.25
	// smoothingWeight is the weight of the newest interval in the exponential moving
	// averages.
	smoothingWeight = 0.4
	// Entries no longer send the calls of levels that the threshold refuses, so the
	// last measured rates of these levels are kept as hidden rates. They decay by
	// hiddenDecayBusy per interval at full utilization and down to hiddenDecayIdle
	// the more capacity is idle, because then the hidden demand is overestimated.
	// They decay by hiddenDecayAdmitted once the level is admitted again.
	// Utilization from busyUtilization up counts as full; from idleUtilization down,
	// idleness is at its maximum.
	hiddenDecayBusy     = 0.99
	hiddenDecayIdle     = 0.8
	hiddenDecayAdmitted = 0.9
	busyUtilization     = 0.95
	idleUtilization     = 0.6
	// The threshold rises by at most maxRiseBusy levels per interval at full
	// utilization, because the demand of the refused levels is known only from
	// earlier measurements. It rises by up to extraRiseIdle more levels when capacity
	// is idle.
	maxRiseBusy   = 2
	extraRiseIdle = 48
	// The admitted rate is the estimated capacity (limit divided by the mean duration
	// of a call) times a gain between minGain and maxGain. The gain changes by at most
	// gainStep per interval: it falls while the queueing delay is above its target
	// and rises while it is below.
	minGain  = 0.6
	maxGain  = 1.25
	gainStep = 0.05
	// maxRanks bounds the ranks that are measured separately.
	maxRanks = 64
	// rankIdleTimeout is the time after which a rank without calls is removed.
	rankIdleTimeout = 30 * time.Second

	levelCount = toucancall.MaxLevel + 1
)

// rankStats holds the measured demand and the admitted levels of one rank at this node.
type rankStats struct {
	rank            toucanclass.Rank
	rates           [levelCount]float64 // calls a second that arrive at each level
	hiddenRates     [levelCount]float64 // rates from before the level was refused
	arrivals        [levelCount]int     // calls in the current interval
	lastCall        time.Time
	admittedLevel   int // last level admitted, -1 when none
	previousLevel   int // admittedLevel of the previous interval
	guaranteedLevel int // last level within the guaranteed share, -1 when none
}

// demand returns the estimated offered rate of a level.
func (u *rankStats) demand(i int) float64 { return max(u.rates[i], u.hiddenRates[i]) }

// totalDemand returns the estimated offered rate of all levels.
func (u *rankStats) totalDemand() (sum float64) {
	for i := range u.rates {
		sum += u.demand(i)
	}
	return sum
}

// lastLevelWithin returns the last level for which the demand of all levels up to it
// fits into budget, and the part of the budget that this demand uses.
func (u *rankStats) lastLevelWithin(budget float64) (level int, used float64) {
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

// saveHiddenRates stores the rates of the levels that are no longer admitted.
func (u *rankStats) saveHiddenRates() {
	for i := u.admittedLevel + 1; i <= u.previousLevel; i++ {
		u.hiddenRates[i] = max(u.hiddenRates[i], u.rates[i])
	}
}

// shedder sets the threshold of each rank according to the queueing delay.
type shedder struct {
	policy Policy
	ranks  []*rankStats // sorted, most urgent first

	active bool    // the threshold refuses some level
	gain   float64 // see minGain
	budget float64 // admitted calls a second

	finishedCalls  int
	ownTimeSum     float64
	durationSum    float64
	queueLengthSum float64
	utilizationSum float64
	sampleCount    int
	overloadSeen   bool // the queue was full or the backend server refused a call

	overloadedFor time.Duration // duration of the overload since the limit last grew
	lastLimit     int

	utilization  float64 // used share of the limit, moving average
	idleness     float64 // 0 at full utilization, 1 when much capacity is idle
	meanOwnTime  float64 // of a call, in seconds, moving average
	meanDuration float64 // of a call at the backend server, in seconds, moving average
	capacity     float64 // calls a second that the backend server can finish
}

// rankStatsOf returns the entry of a rank. If the table is full, it returns that of the
// next less urgent rank, so that an untracked rank is not treated as more urgent. If
// all ranks in the table are more urgent, it returns the least urgent one.
func (s *shedder) rankStatsOf(r toucanclass.Rank, now time.Time) *rankStats {
	i, found := slices.BinarySearchFunc(s.ranks, r, func(u *rankStats, r toucanclass.Rank) int {
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
	u := &rankStats{rank: r, lastCall: now, admittedLevel: toucancall.MaxLevel, guaranteedLevel: -1}
	if s.active && i > 0 && s.ranks[i-1].admittedLevel < toucancall.MaxLevel {
		u.admittedLevel = -1
	}
	s.ranks = slices.Insert(s.ranks, i, u)
	return u
}

// addSample adds one sample of the queue length and of the used share of the limit.
func (s *shedder) addSample(queued int, utilization float64) {
	s.queueLengthSum += float64(queued)
	s.utilizationSum += utilization
	s.sampleCount++
}

// limitState is the state of the concurrency limit at the end of an interval.
type limitState struct {
	limit   int
	growing bool // the limit has not been found yet
}

// updateThresholds sets the admitted rate and the thresholds at the end of an interval.
func (s *shedder) updateThresholds(now time.Time, elapsed time.Duration, st limitState) {
	s.updateMeasurements(now, elapsed.Seconds(), st)
	delay, target := s.takeQueueDelay(), s.queueDelayTarget()
	overloaded := delay > target || s.overloadSeen
	s.overloadSeen = false
	if st.limit > s.lastLimit {
		s.overloadedFor = 0
	}
	s.lastLimit = st.limit
	switch {
	case !s.active && !overloaded:
		s.overloadedFor = 0
		return
	case st.growing && s.overloadedFor < growthGracePeriod:
		// A short queue may only mean that the limit is still too low.
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
	s.setAdmittedLevels(overloaded)
}

// updateMeasurements adds the interval to the moving averages, decays the hidden rates
// and removes idle ranks.
func (s *shedder) updateMeasurements(now time.Time, seconds float64, st limitState) {
	if s.finishedCalls > 0 {
		n := float64(s.finishedCalls)
		s.meanOwnTime += smoothingWeight * (s.ownTimeSum/n - s.meanOwnTime)
		s.meanDuration += smoothingWeight * (s.durationSum/n - s.meanDuration)
		s.finishedCalls, s.ownTimeSum, s.durationSum = 0, 0, 0
	}
	s.capacity = float64(st.limit) / max(s.meanDuration, minMeanDuration)
	if s.sampleCount > 0 {
		s.utilization += smoothingWeight * (s.utilizationSum/float64(s.sampleCount) - s.utilization)
	}
	s.utilizationSum = 0
	s.idleness = min(max((busyUtilization-s.utilization)/(busyUtilization-idleUtilization), 0), 1)
	decay := hiddenDecayBusy + s.idleness*(hiddenDecayIdle-hiddenDecayBusy)
	for _, u := range s.ranks {
		for i := range u.rates {
			u.rates[i] += smoothingWeight * (float64(u.arrivals[i])/seconds - u.rates[i])
			u.arrivals[i] = 0
			if i > u.admittedLevel {
				u.hiddenRates[i] *= decay
			} else {
				u.hiddenRates[i] *= hiddenDecayAdmitted
			}
		}
	}
	s.ranks = slices.DeleteFunc(s.ranks, func(u *rankStats) bool { return now.Sub(u.lastCall) > rankIdleTimeout })
}

// minMeanDuration, in seconds, keeps the estimated capacity finite.
const minMeanDuration = 1e-5

// takeQueueDelay returns the mean queueing delay of the interval in seconds, by Little's
// law, and resets the samples of the queue length.
func (s *shedder) takeQueueDelay() float64 {
	if s.sampleCount == 0 {
		return 0
	}
	mean := s.queueLengthSum / float64(s.sampleCount)
	s.queueLengthSum, s.sampleCount = 0, 0
	return mean / s.capacity
}

// queueDelayTarget returns the target of the queueing delay in seconds.
func (s *shedder) queueDelayTarget() float64 {
	return min(max(delayTargetShare*s.meanOwnTime, minDelayTarget.Seconds()), maxDelayTarget.Seconds())
}

// setAdmittedLevels divides the budget among the ranks, or admits all levels if the
// demand fits into it. It limits the rise of the admitted levels per interval.
func (s *shedder) setAdmittedLevels(overloaded bool) {
	demand := 0.0
	for _, u := range s.ranks {
		demand += u.totalDemand()
		u.previousLevel = u.admittedLevel
	}
	if !overloaded && demand*admitAllMargin <= s.budget {
		for _, u := range s.ranks {
			u.admittedLevel, u.guaranteedLevel = toucancall.MaxLevel, -1
		}
	} else {
		s.policy.divideBudget(s.budget, s.ranks)
	}
	rise := maxRiseBusy + int(extraRiseIdle*s.idleness*s.idleness)
	s.active = false
	for _, u := range s.ranks {
		u.admittedLevel = min(u.admittedLevel, u.previousLevel+rise)
		rise -= max(u.admittedLevel-u.previousLevel, 0)
		u.saveHiddenRates()
		s.active = s.active || u.admittedLevel < toucancall.MaxLevel
	}
}

// admitAllMargin is the ratio of budget to demand from which all levels are admitted.
const admitAllMargin = 1.1

// Policy divides the capacity among the ranks during overload. It decides how much the
// less urgent ranks get while a more urgent rank alone exceeds the capacity.
type Policy interface {
	divideBudget(budget float64, ranks []*rankStats)
}

// StrictPriority serves the ranks in their order. A less urgent rank gets only the
// capacity that more urgent ranks do not use.
type StrictPriority struct{}

func (StrictPriority) divideBudget(budget float64, ranks []*rankStats) {
	for _, u := range ranks {
		var used float64
		u.admittedLevel, used = u.lastLevelWithin(budget)
		u.guaranteedLevel = -1
		budget -= used
		if u.admittedLevel < toucancall.MaxLevel {
			budget = 0
		}
	}
}

// MinimumShares guarantees a share of the capacity to the ranks behind the most urgent
// one, divided equally among them. The rest of the capacity is given out in order of
// rank, including the guaranteed parts that are not used.
type MinimumShares struct {
	Share float64 // of the capacity, between 0 and 1
}

func (f MinimumShares) divideBudget(budget float64, ranks []*rankStats) {
	if len(ranks) < 2 {
		StrictPriority{}.divideBudget(budget, ranks)
		return
	}
	minimum := f.Share * budget / float64(len(ranks)-1)
	divideWithMinimums(budget, ranks, func(i int) float64 {
		if i == 0 {
			return 0
		}
		return minimum
	})
}

// EqualShares guarantees every rank the same share of the capacity. Shares that are not
// used are given out in order of rank.
type EqualShares struct{}

func (EqualShares) divideBudget(budget float64, ranks []*rankStats) {
	divideWithMinimums(budget, ranks, func(int) float64 { return budget / float64(len(ranks)) })
}

// divideWithMinimums guarantees minimum(i) of the budget to the rank at index i and gives
// out the rest in order of rank.
func divideWithMinimums(budget float64, ranks []*rankStats, minimum func(i int) float64) {
	remaining := budget
	for i, u := range ranks {
		var used float64
		u.guaranteedLevel, used = u.lastLevelWithin(minimum(i))
		remaining -= used
	}
	for _, u := range ranks {
		reserved := 0.0
		for i := 0; i <= u.guaranteedLevel; i++ {
			reserved += u.demand(i)
		}
		var used float64
		u.admittedLevel, used = u.lastLevelWithin(max(remaining, 0) + reserved)
		remaining -= used - reserved
		if u.admittedLevel < toucancall.MaxLevel {
			remaining = 0
		}
	}
}
