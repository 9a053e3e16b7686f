package toucanadmission

import (
	"math"
	"time"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
)

const (
	// rateWindow is the time constant of a tenant's measured rate. Shorter
	// windows make the rate of a small tenant too noisy to rank it fairly.
	rateWindow = 2 * time.Second
	// levelsPerOctave and lowestPosition set the scale of levels: 16 octaves
	// from 0.05 requests a second up, in steps of 9%.
	levelsPerOctave = 8
	lowestPosition  = 0.05
	// maxTenants bounds the tenants tracked apart. A table entry that has been
	// idle for tenantIdle may be replaced.
	maxTenants     = 4_096
	overflowShares = 64
	tenantIdle     = 10 * time.Second
	// sweepPerCall bounds the entries looked at for eviction in one call.
	sweepPerCall = 4
)

// levelOf returns the level of a position. The position of a call is a random
// point between 0 and the measured rate of its tenant, in requests a second. A
// threshold at the level of position p therefore admits min(rate, p) of every
// tenant, which is the max-min fair share, and the callee needs no table of
// tenants to apply it.
func levelOf(position float64) int {
	if position <= lowestPosition {
		return 0
	}
	return min(int(levelsPerOctave*math.Log2(position/lowestPosition)), toucancall.MaxLevel)
}

// positionTable holds the middle of each level on the scale of levelOf.
var positionTable = func() (t [toucancall.MaxLevel + 1]float64) {
	for i := range t {
		t[i] = lowestPosition * math.Exp2((float64(i)+0.5)/levelsPerOctave)
	}
	return t
}()

func positionOf(level int) float64 {
	return positionTable[min(max(level, 0), toucancall.MaxLevel)]
}

// tenantKey tells tenants apart inside one rank.
type tenantKey struct {
	service string
	tenant  string
	rank    toucanclass.Rank
}

// tenantUse is the decayed use of one tenant.
type tenantUse struct {
	rate     float64 // requests a second
	position float64 // sum of positions claimed, decayed like rate
	last     time.Time
}

func (u *tenantUse) add(now time.Time, position float64) {
	if dt := now.Sub(u.last); dt > 0 {
		decay := math.Exp(-dt.Seconds() / rateWindow.Seconds())
		u.rate *= decay
		u.position *= decay
		u.last = now
	}
	u.rate += 1 / rateWindow.Seconds()
	u.position += position / rateWindow.Seconds()
}

// tenantTable measures the rates of a bounded number of tenants. When it is
// full, further tenants share hashed buckets and are measured together; tenants
// that were already tracked keep their own entry while they are active.
type tenantTable struct {
	uses     map[tenantKey]*tenantUse
	ring     []tenantKey // tracked keys in no order, for eviction
	hand     int
	overflow [overflowShares]tenantUse
}

func newTenantTable() *tenantTable {
	return &tenantTable{uses: make(map[tenantKey]*tenantUse)}
}

// use returns the entry of a tenant, its own or a shared one.
func (t *tenantTable) use(key tenantKey, now time.Time) *tenantUse {
	if u := t.uses[key]; u != nil {
		return u
	}
	if len(t.ring) < maxTenants {
		t.ring = append(t.ring, key)
	} else if !t.evict(key, now) {
		return &t.overflow[hashTenant(key)%overflowShares]
	}
	u := &tenantUse{last: now}
	t.uses[key] = u
	return u
}

// evict replaces an idle entry by key, if it finds one near the hand.
func (t *tenantTable) evict(key tenantKey, now time.Time) bool {
	for range sweepPerCall {
		t.hand = (t.hand + 1) % len(t.ring)
		old := t.ring[t.hand]
		if now.Sub(t.uses[old].last) >= tenantIdle {
			delete(t.uses, old)
			t.ring[t.hand] = key
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
