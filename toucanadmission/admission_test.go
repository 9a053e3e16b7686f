package toucanadmission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucancall"
	"toucanhaven/toucanclass"
	"toucanhaven/toucanclock"
)

var (
	testStart  = time.Unix(1_800_000_000, 0)
	urgentRank = toucanclass.RankOf(200*time.Millisecond, 0.999)
	browseRank = toucanclass.RankOf(time.Second, 0.9)
)

func newTestClock() *toucanclock.Manual { return toucanclock.NewManual(testStart) }

func TestControllerOrder(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	c := NewController(clock, WithLimits(1, 1, 1))
	is.Equal(c.OfferCall(Call{ID: 1, Rank: browseRank}).Verdict, Start)
	is.Equal(c.OfferCall(Call{ID: 2, Rank: browseRank}).Verdict, Wait)
	is.Equal(c.OfferCall(Call{ID: 3, Rank: urgentRank}).Verdict, Wait)
	is.Equal(c.OfferCall(Call{ID: 4, Rank: urgentRank, Deadline: testStart.Add(5 * time.Millisecond)}).Verdict, Wait)
	is.Equal(len(c.CancelCall(3)), 0)
	clock.Advance(10 * time.Millisecond)
	effects := c.FinishCall(1, Result{Outcome: toucancall.Answered})
	is.Equal(effects, []Effect{Refused{ID: 4, Reason: toucancall.ReasonDeadline}, Started{ID: 2}})
	is.Equal(len(c.FinishCall(2, Result{Outcome: toucancall.Answered})), 0)
	is.Equal(c.Running()+c.Queued(), 0)
	is.Equal(len(c.queued), 0)
}

// Guards against refusing an urgent call because less urgent calls fill the queue.
func TestFullQueueKeepsUrgentCalls(t *testing.T) {
	is := is.New(t)
	c := NewController(newTestClock(), WithLimits(1, 1, 1))
	for id := range uint64(1 + minQueueBound) {
		c.OfferCall(Call{ID: id, Rank: browseRank})
	}
	d := c.OfferCall(Call{ID: 100, Rank: urgentRank})
	is.Equal(d.Verdict, Wait)
	is.Equal(len(d.Effects), 1)
	is.Equal(c.OfferCall(Call{ID: 101, Rank: browseRank}).Verdict, Refuse)
}

// Guards against a limit that drifts upwards because of noise, or downwards because
// service times change or a called service is slow. The limit must stay between one
// probe step below the number of slots and two steps above it.
func TestLimitFollowsSlots(t *testing.T) {
	tests := []struct {
		name      string
		slots     int
		slowdown  float64       // factor of the own time in the second half
		childTime time.Duration // in the second half
	}{
		{"30_slots", 30, 1, 0},
		{"300_slots", 300, 1, 0},
		{"slow_server", 30, 10, 0},
		{"slow_child", 200, 1, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock, rng := newTestClock(), rand.New(rand.NewPCG(1, 2))
			c := NewController(clock)
			const steps = 40
			for step := range steps {
				factor, childTime := 1.0, time.Duration(0)
				if step >= steps/2 {
					factor, childTime = tt.slowdown, tt.childTime
				}
				saturateLimit(c, clock, rng, tt.slots, factor, childTime, 3*time.Second)
				if step > steps/4 {
					is.True(float64(c.limiter.settledLimit()) >= probeDownFactor*float64(tt.slots))
					is.True(float64(c.limiter.settledLimit()) <= probeUpFactor*probeUpFactor*float64(tt.slots))
				}
			}
		})
	}
}

// saturateLimit feeds the limiter for a period in which the limit is always reached.
// Own times are 20 ms with noise. Above the number of slots they grow in proportion to
// the number of running calls.
func saturateLimit(c *Controller, clock *toucanclock.Manual, rng *rand.Rand, slots int, factor float64, childTime, period time.Duration) {
	end := clock.Now().Add(period)
	for clock.Now().Before(end) {
		limit := c.limiter.currentLimit()
		mean := 0.02 * factor * max(1, float64(limit)/float64(slots))
		duration := time.Duration(mean*float64(time.Second)) + childTime
		clock.Advance(duration / time.Duration(limit))
		ownTime := time.Duration(mean * (0.5 + 0.5*rng.ExpFloat64()) * float64(time.Second))
		now := clock.Now()
		c.limiter.addSample(now.Add(-duration), now, ownTime)
	}
}

// Guards against one faulty backend server of three whose absurd threshold blocks the
// service for all callers.
func TestGateIgnoresAbsurdThreshold(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	g := NewGate(clock, rand.New(rand.NewPCG(1, 2)))
	refused := 0
	for i := range 30_000 {
		if _, d := g.CheckRequest("ordini", "order", urgentRank, "t"); d.Verdict != Start {
			refused++
		}
		t := AdmitAll
		if i%3 == 0 {
			t = Threshold{}
		}
		g.ObserveThreshold("ordini", "order", t)
		clock.Advance(time.Millisecond)
	}
	is.Equal(refused, 0)
}

// Guards against a service that stays blocked because no call reaches it any more and
// no response brings a new threshold.
func TestGateAges(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	g := NewGate(clock, rand.New(rand.NewPCG(1, 2)))
	for range maxObservations {
		g.ObserveThreshold("ordini", "order", Threshold{Rank: urgentRank - 1})
	}
	is.Equal(g.CheckCall("ordini", "order", urgentRank, 0).Verdict, Refuse)
	clock.Advance(agingStart * 5 / 4) // the aging factors of gates differ by up to a fifth
	is.Equal(g.CheckCall("ordini", "order", urgentRank, 0).Verdict, Start)
	is.Equal(g.CheckCall("ordini", "order", urgentRank, 100).Verdict, Refuse)
	clock.Advance(5 * time.Second)
	is.Equal(g.CheckCall("ordini", "order", urgentRank, 100).Verdict, Start)
}

// Guards against calls that are admitted although the services below refuse all of them but the
// first level of the most urgent rank, which is the zero value of a threshold.
func TestStrictestSubtreeThresholdHolds(t *testing.T) {
	is := is.New(t)
	c := NewController(newTestClock())
	strictest := refuseFrom(0)
	for id, tt := range []struct {
		level     int
		threshold *Threshold
		want      Verdict
	}{
		{0, &strictest, Start}, {1, &strictest, Refuse}, {100, &strictest, Refuse}, {100, &AdmitAll, Start}, {100, nil, Start},
	} {
		d := c.OfferCall(Call{ID: uint64(id), Depth: 1, Level: tt.level, SubtreeThreshold: tt.threshold})
		is.Equal(d.Verdict, tt.want)
	}
}

// Guards against unbounded memory when callers make up tenants, ranks and classes, and
// against made-up tenants that evict an active one.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	g := NewGate(clock, rand.New(rand.NewPCG(1, 2)))
	c := NewController(clock)
	memberKey := tenantKey{tenant: "member", rank: urgentRank}
	for i := range 100_000 {
		if i%1000 == 0 {
			c.OfferCall(Call{ID: uint64(i), Rank: urgentRank, Tenant: "member"})
		}
		g.CheckRequest("s", "c", urgentRank, fmt.Sprint("made-up", i))
		g.ObserveThreshold(fmt.Sprint("s", i), "c", AdmitAll)
		c.OfferCall(Call{ID: uint64(i), Rank: toucanclass.Rank(i), Tenant: fmt.Sprint("made-up", i)})
		c.CancelCall(uint64(i))
		clock.Advance(100 * time.Microsecond)
	}
	is.True(len(g.tenants.stats) <= maxTenants)
	is.True(len(g.states) <= maxGates)
	is.True(len(c.tenants.stats) <= maxTenants)
	is.True(len(c.shedder.ranks) <= maxRanks)
	is.True(c.tenants.stats[memberKey] != nil)
}

func FuzzParseThreshold(f *testing.F) {
	for _, s := range []string{"0.0", AdmitAll.String(), "1.128", "-1.-1", "1", ".", "99999999999999999999.1", "1.1.1"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		got, err := ParseThreshold(s)
		if err != nil {
			if got != AdmitAll {
				t.Errorf("malformed %q gives threshold %v, want AdmitAll", s, got)
			}
			return
		}
		if again, err := ParseThreshold(got.String()); err != nil || again != got {
			t.Errorf("round trip changed %v to %v: %v", got, again, err)
		}
	})
}

func FuzzParseLoad(f *testing.F) {
	for _, s := range []string{"0.85", "NaN", "Inf", "-1", "1e300", "", "0x1p-2"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		l, err := ParseLoad(s)
		if err == nil && !(l >= 0 && l <= maxLoad) {
			t.Errorf("%q gives load %v", s, l)
		}
	})
}

func BenchmarkOfferFinish(b *testing.B) {
	clock := newTestClock()
	c := NewController(clock, WithLimits(300, 300, 300))
	tenants := make([]string, 1000)
	for i := range tenants {
		tenants[i] = fmt.Sprint("tenant-", i)
	}
	id := uint64(0)
	for b.Loop() {
		id++
		c.OfferCall(Call{ID: id, Rank: urgentRank, Level: int(id % 128), Tenant: tenants[id%1000], Deadline: testStart.Add(time.Hour)})
		if id > 400 {
			c.FinishCall(id-400, Result{Outcome: toucancall.Answered})
		}
	}
}

func BenchmarkTick(b *testing.B) {
	clock := newTestClock()
	c := NewController(clock, WithLimits(300, 300, 300))
	for id := range uint64(400) {
		c.OfferCall(Call{ID: id, Rank: urgentRank + toucanclass.Rank(id%6), Level: int(id % 128)})
	}
	for b.Loop() {
		clock.Advance(10 * time.Millisecond)
		for _, u := range c.shedder.ranks {
			u.lastCall = clock.Now() // a rank without calls would be removed
		}
		c.Tick()
	}
}

func BenchmarkCheckObserve(b *testing.B) {
	g := NewGate(newTestClock(), rand.New(rand.NewPCG(1, 2)))
	for b.Loop() {
		g.CheckRequest("ordini", "order", urgentRank, "tenant")
		g.ObserveThreshold("ordini", "order", AdmitAll)
	}
}

// Guards against a limit that rises while the backend server sheds load, because its
// unproven refusals look like fast runs.
func TestRefusalsLowerTheLimit(t *testing.T) {
	for _, r := range []Result{
		{Outcome: toucancall.NotRun, Reason: toucancall.ReasonBackendRefused},
		{Outcome: toucancall.Unknown, Reason: toucancall.ReasonUnprovenRefusal},
	} {
		t.Run(string(r.Reason), func(t *testing.T) {
			is := is.New(t)
			clock := newTestClock()
			c := NewController(clock, WithLimits(1, 8, 64))
			for id := range uint64(200) {
				is.Equal(c.OfferCall(Call{ID: id, Rank: urgentRank}).Verdict, Start)
				clock.Advance(50 * time.Millisecond)
				c.FinishCall(id, r)
			}
			is.Equal(c.Limit(), 1)
		})
	}
}
