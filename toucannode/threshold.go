package toucannode

import (
	"fmt"
	"strconv"
	"strings"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
)

// Threshold is the last pair of rank and level that is served. Calls that come
// after it are refused.
type Threshold struct {
	Rank  toucanclass.Rank
	Level int
}

// OpenThreshold refuses nothing.
var OpenThreshold = Threshold{Rank: toucanclass.LowestRank, Level: toucancall.MaxLevel}

// Before reports whether t refuses more than other.
func (t Threshold) Before(other Threshold) bool {
	if t.Rank != other.Rank {
		return t.Rank.Before(other.Rank)
	}
	return t.Level < other.Level
}

// String returns the form rank.level that answers carry.
func (t Threshold) String() string { return t.Rank.String() + "." + strconv.Itoa(t.Level) }

func parseThreshold(s string) (t Threshold, err error) {
	rank, level, ok := strings.Cut(s, ".")
	if !ok {
		return t, fmt.Errorf("threshold %q: want rank.level", s)
	}
	if t.Rank, err = toucanclass.ParseRank(rank); err != nil {
		return t, fmt.Errorf("threshold %q: %w", s, err)
	}
	if t.Level, err = strconv.Atoi(level); err != nil || t.Level < 0 || t.Level > toucancall.MaxLevel {
		return t, fmt.Errorf("threshold %q: want a level between 0 and %d", s, toucancall.MaxLevel)
	}
	return t, nil
}
