package toucanadmission

import (
	"math"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
)

const (
	// rateTimeConstant is the time constant of the exponential decay of a tenant's
	// measured rate. A shorter one makes the rate of a small tenant too noisy to
	// rank it fairly.
	rateTimeConstant = 2 * time.Second
	// levelsPerOctave and lowestRatePosition define the logarithmic scale of
	// levels: 16 octaves upwards from 0.05 requests a second, in steps of 9%.
	levelsPerOctave    = 8
	lowestRatePosition = 0.05
	// maxTenants bounds the tenants with an entry of their own. An entry without
	// requests for tenantIdleTimeout may be evicted.
	maxTenants        = 4_096
	overflowBuckets   = 64
	tenantIdleTimeout = 10 * time.Second
	// maxSweepPerEviction bounds the entries that one eviction examines.
	maxSweepPerEviction = 4
)

// levelOf returns the level of a rate position. The rate position of a call is drawn
// at random between 0 and the measured rate of its tenant, in requests a second. A
// threshold at the level of rate position p therefore admits min(rate, p) requests a
// second of every tenant, which is the max-min fair share. The called service needs
// no table of tenants to apply the threshold.
func levelOf(position float64) int {
	if position <= lowestRatePosition {
		return 0
	}
	return min(int(levelsPerOctave*math.Log2(position/lowestRatePosition)), toucancall.MaxLevel)
}

// levelMidpoints holds the rate position in the middle of each level.
var levelMidpoints = func() (t [toucancall.MaxLevel + 1]float64) {
	for i := range t {
		t[i] = lowestRatePosition * math.Exp2((float64(i)+0.5)/levelsPerOctave)
	}
	return t
}()

// ratePositionOf returns the rate position in the middle of a level.
func ratePositionOf(level int) float64 {
	return levelMidpoints[min(max(level, 0), toucancall.MaxLevel)]
}

// tenantKey identifies a tenant within one service and rank.
type tenantKey struct {
	service string
	tenant  string
	rank    toucanclass.Rank
}

// tenantStats holds the exponentially decayed request rate of one tenant.
type tenantStats struct {
	rate        float64 // requests a second
	positionSum float64 // sum of the rate positions of the requests, decayed like rate
	last        time.Time
}

// addRequest adds a request with a rate position.
func (u *tenantStats) addRequest(now time.Time, position float64) {
	if dt := now.Sub(u.last); dt > 0 {
		decay := math.Exp(-dt.Seconds() / rateTimeConstant.Seconds())
		u.rate *= decay
		u.positionSum *= decay
		u.last = now
	}
	u.rate += 1 / rateTimeConstant.Seconds()
	u.positionSum += position / rateTimeConstant.Seconds()
}

// tenantTable measures the request rates of at most maxTenants tenants. When it is
// full, further tenants are hashed to overflow buckets, and the tenants of one bucket
// are measured together. Tenants with an entry keep it while they are active.
type tenantTable struct {
	stats      map[tenantKey]*tenantStats
	keys       []tenantKey // keys of stats in no order, for eviction
	sweepIndex int
	overflow   [overflowBuckets]tenantStats
}

func newTenantTable() *tenantTable {
	return &tenantTable{stats: make(map[tenantKey]*tenantStats)}
}

// statsOf returns the entry of a tenant, which may be an overflow bucket.
func (t *tenantTable) statsOf(key tenantKey, now time.Time) *tenantStats {
	if u := t.stats[key]; u != nil {
		return u
	}
	if len(t.keys) < maxTenants {
		t.keys = append(t.keys, key)
	} else if !t.evict(key, now) {
		return &t.overflow[hashTenant(key)%overflowBuckets]
	}
	u := &tenantStats{last: now}
	t.stats[key] = u
	return u
}

// evict replaces an idle entry by one for key and reports whether it found one among
// the next entries after sweepIndex.
func (t *tenantTable) evict(key tenantKey, now time.Time) bool {
	for range maxSweepPerEviction {
		t.sweepIndex = (t.sweepIndex + 1) % len(t.keys)
		old := t.keys[t.sweepIndex]
		if now.Sub(t.stats[old].last) >= tenantIdleTimeout {
			delete(t.stats, old)
			t.keys[t.sweepIndex] = key
			return true
		}
	}
	return false
}

func hashTenant(key tenantKey) uint64 {
	h := uint64(14695981039346656037)
	for _, s := range [...]string{key.service, key.tenant} {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * 1099511628211
		}
		h *= 1099511628211
	}
	return h ^ h>>32
}
