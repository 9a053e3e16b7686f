package toucanclass

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

// Rank orders requests for load shedding: a lower rank is served first and refused
// last. It is derived from the targets of a class alone, so nodes can compare ranks
// of different services without shared configuration.
//
// The upper 32 bits hold the accepted failures per million requests
// (1,000,000 minus the success target in parts per million), the lower 32 bits
// the latency target in milliseconds. A higher success target is therefore served
// first, and of two equal success targets the one with the lower latency target.
type Rank uint64

const perMillion = 1_000_000

// LowestRank is the rank that is served last. ParseRank returns it for an invalid
// rank.
const LowestRank = Rank(perMillion<<32 | math.MaxUint32)

// RankOf returns the rank of a class with the given targets. The success target is a
// share between 0 and 1.
func RankOf(latency time.Duration, success float64) Rank {
	success = min(max(success, 0), 1)
	failures := perMillion - uint64(math.Round(success*perMillion))
	latencyMs := min(max(latency.Milliseconds(), 0), math.MaxUint32)
	return Rank(failures<<32 | uint64(latencyMs))
}

// Before reports whether r is served before other.
func (r Rank) Before(other Rank) bool { return r < other }

// String returns the decimal form, which is used in headers and logs.
func (r Rank) String() string { return strconv.FormatUint(uint64(r), 10) }

// ParseRank parses the form that String returns. With an error it returns LowestRank.
func ParseRank(s string) (r Rank, err error) {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil || Rank(n) > LowestRank {
		return LowestRank, fmt.Errorf("rank %.32q: want a decimal number up to %s", s, LowestRank)
	}
	return Rank(n), nil
}
