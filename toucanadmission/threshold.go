// Package toucanadmission is the admission control of calls to backend servers.
//
// A Controller beside each backend server applies an adaptive concurrency limit and
// a short priority queue. A Gate at each entry refuses calls early that the
// Controllers of the called services would refuse later.
package toucanadmission

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
)

// Threshold is the last rank and level, ordered by rank and then by level, that is
// still admitted. Calls after it in that order are refused.
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
	if other.stricterThan(t) {
		return other
	}
	return t
}

// stricterThan reports whether t admits fewer calls than other.
func (t Threshold) stricterThan(other Threshold) bool {
	return t.Rank < other.Rank || t.Rank == other.Rank && t.Level < other.Level
}

// String returns the header form "rank.level".
func (t Threshold) String() string { return t.Rank.String() + "." + strconv.Itoa(t.Level) }

// ParseThreshold parses the header form. For a malformed threshold it returns
// AdmitAll and an error, because a faulty peer must not stop calls from running.
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

// refuseFrom returns the threshold that refuses rank r and all less urgent ranks, and
// admits all more urgent ones. For rank 0 it still admits level 0.
func refuseFrom(r toucanclass.Rank) Threshold {
	if r == 0 {
		return Threshold{}
	}
	return Threshold{Rank: r - 1, Level: toucancall.MaxLevel}
}

// Load is the number of running and queued calls of a backend server divided by its
// concurrency limit. Above 1, calls are queued.
type Load float64

// maxLoad caps a reported load, so that one faulty report cannot dominate sums.
const maxLoad Load = 100

// String returns the header form, a decimal number with two digits after the point.
func (l Load) String() string { return strconv.FormatFloat(float64(l), 'f', 2, 64) }

// ParseLoad parses the header form. A load above maxLoad is capped.
func ParseLoad(s string) (l Load, err error) {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(f) || f < 0 {
		return 0, fmt.Errorf("load %.40q: want a decimal number of at least 0", s)
	}
	return min(Load(f), maxLoad), nil
}
