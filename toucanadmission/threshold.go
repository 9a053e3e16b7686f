// Package toucanadmission decides which calls run when not all of them can: a
// learned concurrency limit and a short ordered queue beside each backend
// server, and a gate at each entry that refuses early what would be refused
// later.
package toucanadmission

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
)

// Threshold is the last position in the order (rank, then level) that is still
// admitted. Calls that come after it are refused.
type Threshold struct {
	Rank  toucanclass.Rank
	Level int
}

// AdmitAll admits every call.
var AdmitAll = Threshold{Rank: toucanclass.LowestRank, Level: toucancall.MaxLevel}

// Admits reports whether a call at this rank and level is admitted.
func (t Threshold) Admits(r toucanclass.Rank, level int) bool {
	return r < t.Rank || r == t.Rank && level <= t.Level
}

// Min returns the more restrictive of two thresholds.
func (t Threshold) Min(other Threshold) Threshold {
	if other.before(t) {
		return other
	}
	return t
}

func (t Threshold) before(other Threshold) bool {
	return t.Rank < other.Rank || t.Rank == other.Rank && t.Level < other.Level
}

// String returns the header form "rank.level".
func (t Threshold) String() string { return t.Rank.String() + "." + strconv.Itoa(t.Level) }

// ParseThreshold reads the header form. A malformed threshold yields Open with
// the error, because a faulty peer must not stop calls from running.
func ParseThreshold(s string) (t Threshold, err error) {
	rank, level, found := strings.Cut(s, ".")
	if !found {
		return AdmitAll, fmt.Errorf("threshold %.40q: want rank.level", s)
	}
	if t.Rank, err = toucanclass.ParseRank(rank); err != nil {
		return AdmitAll, fmt.Errorf("threshold %.40q: %w", s, err)
	}
	t.Level, err = strconv.Atoi(level)
	if err != nil || t.Level < 0 || t.Level > toucancall.MaxLevel {
		return AdmitAll, fmt.Errorf("threshold %.40q: want a level from 0 to %d", s, toucancall.MaxLevel)
	}
	return t, nil
}

// closed returns the threshold that refuses all of a rank and nothing before it.
func closed(r toucanclass.Rank) Threshold {
	if r == 0 {
		return Threshold{}
	}
	return Threshold{Rank: r - 1, Level: toucancall.MaxLevel}
}

// Load is the running and queued calls of a backend server as a share of its
// concurrency limit; above 1 there is a queue.
type Load float64

// maxLoad caps a reported load, so that one absurd report cannot dominate sums.
const maxLoad Load = 100

// String returns the header form, a decimal number with two digits after the point.
func (l Load) String() string { return strconv.FormatFloat(float64(l), 'f', 2, 64) }

// ParseLoad reads the header form.
func ParseLoad(s string) (l Load, err error) {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(f) || f < 0 {
		return 0, fmt.Errorf("load %.40q: want a decimal number of at least 0", s)
	}
	return min(Load(f), maxLoad), nil
}
