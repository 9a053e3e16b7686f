package toucanmember

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanhaven/toucanbalance"
)

// Guards against members that do not find each other, contacts that are rewritten
// although nothing changed, and entries that see only part of a service.
func TestViewsConverge(t *testing.T) {
	for _, n := range []int{1, 2, 3, 5, 20, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			b := newTestBus(1)
			b.startService(n, 4)
			b.advance(time.Minute) // the coordinators wait up to 23 s before they add contacts
			is.True(b.viewsAgree())
			is.Equal(len(b.kv.addresses), min(n, MaxContacts))
			for _, e := range b.entries() {
				is.Equal(len(e.servers), min(n, 20))
			}
			writes := b.kv.writes
			b.advance(10 * time.Minute / time.Duration(n))
			is.True(b.viewsAgree())
			is.Equal(b.kv.writes, writes) // writes without a change
			is.Equal(len(b.removals), 0)
		})
	}
}

// memberFaults are faults that a test can apply to one member.
var memberFaults = map[string]func(b *testBus, n *testNode){
	"crashed": func(b *testBus, n *testNode) { n.crashed = true; n.generation++ },
	"leaving": func(b *testBus, n *testNode) { b.step(n, n.group, Leave{}) },
	"paused":  func(b *testBus, n *testNode) { n.pausedUntil = b.clock.Now().Add(30 * time.Second) },
}

// exclusionTimes measures how long entries still choose a member after its fault.
func exclusionTimes(n, entries, trials int, fault string, seed uint64) (times []time.Duration, b *testBus) {
	b = newTestBus(seed)
	b.startService(n, entries)
	for range trials {
		members := b.members()
		victim := members[b.random.IntN(len(members))]
		b.advance(time.Duration(b.random.Int64N(int64(3 * time.Second))))
		for b.entriesChoosing(victim.id) == 0 { // an entry knows only a subset of a large service
			victim = members[b.random.IntN(len(members))]
		}
		start := b.clock.Now()
		memberFaults[fault](b, victim)
		b.advance(20*time.Second, func() bool { return b.entriesChoosing(victim.id) == 0 })
		times = append(times, b.clock.Now().Sub(start))
		b.advance(35 * time.Second)
		if fault != "paused" {
			victim.crashed = true
			b.advance(time.Second)
			b.startMember(victim.id, victim.dataCentre)
		}
		b.advance(25 * time.Second)
	}
	slices.Sort(times)
	return times, b
}

var full = flag.Bool("full", false, "measure all service sizes with more trials")

// Guards against entries that choose a crashed, leaving or paused member for more
// than 5 s, and against the removal of other members during that time. With -v and
// -full it prints the times for all service sizes.
func TestEntriesStopChoosingFailedMember(t *testing.T) {
	sizes, trials := []int{3, 5, 20}, map[int]int{3: 6, 5: 6, 20: 3}
	if *full {
		sizes, trials = []int{3, 5, 20, 100, 300}, map[int]int{3: 200, 5: 200, 20: 100, 100: 30, 300: 12}
	}
	for _, n := range sizes {
		for _, fault := range []string{"crashed", "leaving", "paused"} {
			t.Run(fmt.Sprintf("%d_%s", n, fault), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				times, b := exclusionTimes(n, 30, trials[n], fault, uint64(n))
				removed := 0
				for _, count := range b.removals {
					removed += count
				}
				t.Logf("members=%d fault=%s trials=%d p50=%v max=%v removal_reports=%d", n, fault, len(times),
					times[len(times)/2].Round(10*time.Millisecond), times[len(times)-1].Round(10*time.Millisecond), removed)
				is.True(times[len(times)-1] <= 5*time.Second)
				is.True(removed <= trials[n]*n) // one report by each member for each trial
				is.True(b.viewsAgree())
			})
		}
	}
}

// dataCentreCutOff blocks messages between data centre a and the others.
func dataCentreCutOff(from, to *testNode) bool {
	return (from.dataCentre == "a") != (to.dataCentre == "a")
}

// Guards against a member that stays removed after a fault has ended. All members
// must then see each other as alive again, and entries must choose them all.
func TestRemovedMembersReturnAfterFault(t *testing.T) {
	pause := func(id string, d time.Duration) func(*testBus) {
		return func(b *testBus) { b.nodes[id].pausedUntil = b.clock.Now().Add(d) }
	}
	cut := func(f func(from, to *testNode) bool) func(*testBus) {
		return func(b *testBus) { b.blocked = f }
	}
	oneWay := func(from, to *testNode) bool { return from.id == "m1" && to.group != nil }
	pair := func(from, to *testNode) bool { return from.id == "m1" && to.id == "m0" }
	tests := []struct {
		name          string
		faults        []func(*testBus)
		faultDuration time.Duration
		maxHealTime   time.Duration // until all members agree again
		removed       bool          // whether the fault may remove members for a time
	}{
		{"short pause", []func(*testBus){pause("m1", 3*time.Second)}, 3 * time.Second, 5 * time.Second, false},
		{"long pause", []func(*testBus){pause("m1", time.Minute)}, time.Minute, 20 * time.Second, true},
		{"cut between two members", []func(*testBus){cut(pair)}, 2 * time.Minute, 10 * time.Second, false},
		{"one member sends nothing", []func(*testBus){cut(oneWay)}, 2 * time.Minute, time.Minute, true},
		{"data centre cut off", []func(*testBus){cut(dataCentreCutOff)}, 10 * time.Minute, time.Minute, true},
		{"data centre cut off and a pause", []func(*testBus){cut(dataCentreCutOff), pause("m1", 10*time.Minute)}, 10 * time.Minute, time.Minute, true},
		{"one-way cut and a pause", []func(*testBus){cut(oneWay), pause("m2", time.Minute)}, time.Minute, time.Minute, true},
		{"KV unreachable and data centre cut off", []func(*testBus){func(b *testBus) { b.kv.unreachable = true }, cut(dataCentreCutOff)}, 10 * time.Minute, time.Minute, true},
		{"loss of 5 in 100 messages", []func(*testBus){func(b *testBus) { b.lossRate = 0.05 }}, 2 * time.Minute, 20 * time.Second, true},
	}
	for _, tt := range tests {
		for _, n := range []int{3, 5, 20} {
			t.Run(fmt.Sprintf("%s/%d", tt.name, n), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				b := newTestBus(3)
				b.startService(n, 6)
				for _, fault := range tt.faults {
					fault(b)
				}
				faultDuration := tt.faultDuration
				if *full {
					faultDuration *= 6 // up to an hour
				}
				b.advance(faultDuration)
				if !tt.removed {
					is.Equal(len(b.removals), 0)
				}
				b.blocked, b.kv.unreachable, b.lossRate = func(from, to *testNode) bool { return false }, false, 0
				start := b.clock.Now()
				b.advance(3*time.Minute, b.viewsAgree)
				healed := b.clock.Now().Sub(start)
				t.Logf("fault=%q members=%d healed_after=%v removed=%d kv_reads=%d kv_writes=%d", tt.name, n,
					healed.Round(10*time.Millisecond), len(b.removals), b.kv.reads, b.kv.writes)
				is.True(healed <= tt.maxHealTime)
				b.advance(10 * time.Second)
				for _, m := range b.members() {
					if n <= 20 {
						is.Equal(b.entriesChoosing(m.id), 6)
					}
				}
			})
		}
	}
}

// Guards against entries that keep choosing members on the other side of a
// partition, and against entries that remove the members on their own side because
// the member they poll is on the other side.
func TestEntriesStopChoosingCutOffDataCentre(t *testing.T) {
	trials := 4
	if *full {
		trials = 40
	}
	for _, n := range []int{3, 5, 20, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newTestBus(6)
			b.startService(n, 12)
			onlyOwnSideChosen := func() bool {
				for _, e := range b.entries() {
					ownSide := 0
					for _, s := range e.servers {
						if s.State != toucanbalance.Alive {
							continue
						}
						if (s.DataCentre == "a") != (e.dataCentre == "a") {
							return false
						}
						ownSide++
					}
					if ownSide == 0 {
						return false
					}
				}
				return true
			}
			var times []time.Duration
			for range trials {
				b.advance(time.Duration(b.random.Int64N(int64(3 * time.Second))))
				start := b.clock.Now()
				b.blocked = dataCentreCutOff
				is.True(b.advance(15*time.Second, onlyOwnSideChosen))
				times = append(times, b.clock.Now().Sub(start))
				b.advance(30 * time.Second)
				is.True(onlyOwnSideChosen())
				b.blocked = func(from, to *testNode) bool { return false }
				b.advance(30 * time.Second)
				is.True(b.viewsAgree())
			}
			slices.Sort(times)
			t.Logf("members=%d trials=%d p50=%v max=%v", n, trials, times[trials/2].Round(10*time.Millisecond), times[trials-1].Round(10*time.Millisecond))
			is.True(times[trials-1] <= 5*time.Second)
		})
	}
}

// Guards against a restarted member that cannot join while the KV is unreachable,
// although its peers still know its address.
func TestRestartedMemberJoinsWithoutKV(t *testing.T) {
	for _, away := range []time.Duration{2 * time.Second, time.Minute, time.Hour} {
		t.Run(away.String(), func(t *testing.T) {
			is := is.New(t)
			b := newTestBus(4)
			b.startService(5, 3)
			b.kv.unreachable = true
			memberFaults["crashed"](b, b.nodes["m2"])
			b.advance(away)
			b.startMember("m2", "c")
			start := b.clock.Now()
			is.True(b.advance(time.Minute, b.viewsAgree))
			t.Logf("away=%v joined_after=%v", away, b.clock.Now().Sub(start).Round(10*time.Millisecond))
			b.advance(5 * time.Second)
			is.Equal(b.entriesChoosing("m2"), 3)
		})
	}
}

// Guards against a service that stays unreachable after all its contacts crashed
// at once, so that no member was left to replace them in the KV.
func TestWholeServiceReplaced(t *testing.T) {
	is := is.New(t)
	b := newTestBus(5)
	b.startService(5, 3)
	for _, n := range b.members() {
		memberFaults["crashed"](b, n)
	}
	for i := range 5 {
		b.startMember(fmt.Sprintf("new%d", i), testDataCentres[i%3])
	}
	is.True(b.advance(2*time.Minute, b.viewsAgree))
	b.advance(time.Minute)
	for i := range 5 {
		is.Equal(b.entriesChoosing(fmt.Sprintf("new%d", i)), 3)
	}
}

// Guards against a service that stays unreachable after its only member was
// replaced at another address.
func TestOnlyMemberReplaced(t *testing.T) {
	const foundWithin = 20 * time.Second // testdata/script/replace.txtar waits as long
	for seed := range uint64(40) {
		b := newTestBus(seed)
		b.startService(1, 3)
		memberFaults["crashed"](b, b.nodes["m0"])
		b.advance(time.Duration(b.random.Int64N(int64(time.Minute))))
		id := fmt.Sprintf("new%d", seed)
		b.startMember(id, "a")
		if !b.advance(foundWithin, func() bool { return b.entriesChoosing(id) == 3 }) {
			t.Errorf("seed %d: %d of 3 entries choose %s after %v", seed, b.entriesChoosing(id), id, foundWithin)
		}
	}
}

// Guards against combinations of faults that the other tests do not list. After
// any schedule of two faults at a time, all members must agree again and entries
// must choose every running member.
func TestRandomSchedules(t *testing.T) {
	checks := "100"
	if *full {
		checks = "5000"
	}
	fixed := map[string]string{"rapid.seed": "20261204", "rapid.checks": checks, "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) }) // flags on the command line take precedence
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(t, "members")
		b := newTestBus(rapid.Uint64().Draw(t, "seed"))
		b.startService(n, 3)
		steps := rapid.IntRange(1, 4).Draw(t, "steps")
		for range steps {
			for range 2 {
				victim := b.nodes[fmt.Sprintf("m%d", rapid.IntRange(0, n-1).Draw(t, "victim"))]
				switch rapid.SampledFrom([]string{"crash", "leave", "pause", "one_way", "cut_off", "kv", "loss"}).Draw(t, "fault") {
				case "crash":
					memberFaults["crashed"](b, victim)
				case "leave":
					if !victim.crashed {
						memberFaults["leaving"](b, victim)
					}
				case "pause":
					victim.pausedUntil = b.clock.Now().Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
				case "one_way":
					b.blocked = func(from, to *testNode) bool { return from == victim }
				case "cut_off":
					b.blocked = dataCentreCutOff
				case "kv":
					b.kv.unreachable = true
				case "loss":
					b.lossRate = 0.1
				}
			}
			b.advance(time.Duration(rapid.IntRange(1, 120).Draw(t, "lasts")) * time.Second)
			for i := range n {
				if m := b.nodes[fmt.Sprintf("m%d", i)]; m.crashed || m.group.self.State != "alive" {
					m.crashed = true
					b.startMember(m.id, m.dataCentre)
				}
			}
			b.blocked, b.kv.unreachable, b.lossRate = func(from, to *testNode) bool { return false }, false, 0
			b.advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "rest")) * time.Second)
		}
		for _, m := range b.members() { // a pause may last longer than its step
			b.advance(max(m.pausedUntil.Sub(b.clock.Now()), 0))
		}
		if !b.advance(3*time.Minute, b.viewsAgree) {
			t.Fatalf("members do not agree 3 minutes after the last fault")
		}
		b.advance(time.Minute)
		for _, m := range b.members() {
			if got := b.entriesChoosing(m.id); got != 3 {
				t.Fatalf("%s is chosen by %d of 3 entries a minute after the members agreed", m.id, got)
			}
		}
	})
}
