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
	is.Equal(len(c.waiting), 0)
}

// Guards against an urgent call refused because less urgent calls fill the queue.
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

// Guards against a limit that drifts up on its own noise, or down because the
// service times change or a deeper service is slow. The bounds are one step of
// a probe beside the slots.
func TestLimitFollowsSlots(t *testing.T) {
	tests := []struct {
		name  string
		slots int
		slow  float64       // factor on own time in the second half
		child time.Duration // in the second half
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
				factor, child := 1.0, time.Duration(0)
				if step >= steps/2 {
					factor, child = tt.slow, tt.child
				}
				saturate(c, clock, rng, tt.slots, factor, child, 3*time.Second)
				if step > steps/4 {
					is.True(float64(c.limiter.settled()) >= downFactor*float64(tt.slots))
					is.True(float64(c.limiter.settled()) <= upFactor*upFactor*float64(tt.slots))
				}
			}
		})
	}
}

// saturate keeps the limit reached for a while. Own times are 20 ms with
// noise, and grow in proportion once more calls run than there are slots.
func saturate(c *Controller, clock *toucanclock.Manual, rng *rand.Rand, slots int, factor float64, child, length time.Duration) {
	end := clock.Now().Add(length)
	for clock.Now().Before(end) {
		limit := c.limiter.current()
		mean := 0.02 * factor * max(1, float64(limit)/float64(slots))
		hold := time.Duration(mean*float64(time.Second)) + child
		clock.Advance(hold / time.Duration(limit))
		own := time.Duration(mean * (0.5 + 0.5*rng.ExpFloat64()) * float64(time.Second))
		now := clock.Now()
		c.limiter.sample(now.Add(-hold), now, own)
	}
}

// Guards against one faulty backend server whose absurd threshold shuts off
// the service for everybody.
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

// Guards against a service that stays shut off because no call reaches it any more.
func TestGateAges(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	g := NewGate(clock, rand.New(rand.NewPCG(1, 2)))
	for range rememberedThresholds {
		g.ObserveThreshold("ordini", "order", Threshold{Rank: urgentRank - 1})
	}
	is.Equal(g.CheckCall("ordini", "order", urgentRank, 0).Verdict, Refuse)
	clock.Advance(agingStart * 5 / 4) // gates differ by up to a fifth
	is.Equal(g.CheckCall("ordini", "order", urgentRank, 0).Verdict, Start)
	is.Equal(g.CheckCall("ordini", "order", urgentRank, 100).Verdict, Refuse)
	clock.Advance(5 * time.Second)
	is.Equal(g.CheckCall("ordini", "order", urgentRank, 100).Verdict, Start)
}

// Guards against unbounded memory under made-up tenants, ranks and classes, and
// against made-up tenants that displace an active one.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	clock := newTestClock()
	g := NewGate(clock, rand.New(rand.NewPCG(1, 2)))
	c := NewController(clock)
	own := tenantKey{tenant: "member", rank: urgentRank}
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
	is.True(len(g.tenants.uses) <= maxTenants)
	is.True(len(g.states) <= maxGates)
	is.True(len(c.tenants.uses) <= maxTenants)
	is.True(len(c.shedder.ranks) <= maxRanks)
	is.True(c.tenants.uses[own] != nil)
}

func FuzzParseThreshold(f *testing.F) {
	for _, s := range []string{"0.0", AdmitAll.String(), "1.128", "-1.-1", "1", ".", "99999999999999999999.1", "1.1.1"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		got, err := ParseThreshold(s)
		if err != nil {
			if got != AdmitAll {
				t.Errorf("malformed %q closes the gate: %v", s, got)
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
			u.last = clock.Now() // a rank without calls would be dropped
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
