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

// Guards against a service whose members do not find each other, contacts that
// are rewritten without cause, and entries that see only part of a service.
func TestSettles(t *testing.T) {
	for _, n := range []int{1, 2, 3, 5, 20, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			b := newBus(1)
			b.service(n, 4)
			b.run(time.Minute) // the keepers wait up to 23 s before they add contacts
			is.True(b.agreed())
			is.Equal(len(b.kv.addresses), min(n, MaxContacts))
			for _, e := range b.entries() {
				is.Equal(len(e.servers), min(n, 20))
			}
			writes := b.kv.write
			b.run(10 * time.Minute / time.Duration(n))
			is.True(b.agreed())
			is.Equal(b.kv.write, writes) // writes without a change
			is.Equal(len(b.removals), 0)
		})
	}
}

// faults of one member, for measurements.
var memberFaults = map[string]func(b *bus, n *busNode){
	"dead":    func(b *bus, n *busNode) { n.dead = true; n.generation++ },
	"leaving": func(b *bus, n *busNode) { b.step(n, n.group, Leave{}) },
	"frozen":  func(b *bus, n *busNode) { n.pausedUntil = b.clock.Now().Add(30 * time.Second) },
}

// leaveTimes measures how long entries still choose a member after its fault.
func leaveTimes(n, entries, trials int, fault string, seed uint64) (times []time.Duration, b *bus) {
	b = newBus(seed)
	b.service(n, entries)
	for range trials {
		members := b.members()
		victim := members[b.random.IntN(len(members))]
		b.run(time.Duration(b.random.Int64N(int64(3 * time.Second))))
		for b.chosen(victim.id) == 0 { // of a large service an entry knows only some
			victim = members[b.random.IntN(len(members))]
		}
		start := b.clock.Now()
		memberFaults[fault](b, victim)
		b.run(20*time.Second, func() bool { return b.chosen(victim.id) == 0 })
		times = append(times, b.clock.Now().Sub(start))
		b.run(35 * time.Second)
		if fault != "frozen" {
			victim.dead = true
			b.run(time.Second)
			b.member(victim.id, victim.dataCentre)
		}
		b.run(25 * time.Second)
	}
	slices.Sort(times)
	return times, b
}

var full = flag.Bool("full", false, "measure all service sizes with more trials")

// Guards against entries that choose a dead, leaving or frozen member for more
// than 5 s, and against the removal of any other member meanwhile. Run with -v
// and -full for the table.
func TestMemberLeavesChoice(t *testing.T) {
	sizes, trials := []int{3, 5, 20}, map[int]int{3: 6, 5: 6, 20: 3}
	if *full {
		sizes, trials = []int{3, 5, 20, 100, 300}, map[int]int{3: 200, 5: 200, 20: 100, 100: 30, 300: 12}
	}
	for _, n := range sizes {
		for _, fault := range []string{"dead", "leaving", "frozen"} {
			t.Run(fmt.Sprintf("%d_%s", n, fault), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				times, b := leaveTimes(n, 30, trials[n], fault, uint64(n))
				removed := 0
				for _, count := range b.removals {
					removed += count
				}
				t.Logf("members=%d fault=%s trials=%d p50=%v max=%v removal_reports=%d", n, fault, len(times),
					times[len(times)/2].Round(10*time.Millisecond), times[len(times)-1].Round(10*time.Millisecond), removed)
				is.True(times[len(times)-1] <= 5*time.Second)
				is.True(removed <= trials[n]*n) // one report by each member for each trial
				is.True(b.agreed())
			})
		}
	}
}

// lostDataCentre cuts data centre a off from the others.
func lostDataCentre(from, to *busNode) bool {
	return (from.dataCentre == "a") != (to.dataCentre == "a")
}

// Guards against faults that remove a member for good: every fault ends, and
// then all members must see each other again and entries must choose them all.
func TestFaultsRemoveNobodyForGood(t *testing.T) {
	pause := func(id string, d time.Duration) func(*bus) {
		return func(b *bus) { b.nodes[id].pausedUntil = b.clock.Now().Add(d) }
	}
	cut := func(f func(from, to *busNode) bool) func(*bus) { return func(b *bus) { b.cut = f } }
	oneWay := func(from, to *busNode) bool { return from.id == "m1" && to.group != nil }
	pair := func(from, to *busNode) bool { return from.id == "m1" && to.id == "m0" }
	tests := []struct {
		name    string
		faults  []func(*bus)
		lasts   time.Duration
		heals   time.Duration // time until all agree again
		removed bool          // whether the fault may remove members for a time
	}{
		{"short pause", []func(*bus){pause("m1", 3*time.Second)}, 3 * time.Second, 5 * time.Second, false},
		{"long pause", []func(*bus){pause("m1", time.Minute)}, time.Minute, 20 * time.Second, true},
		{"cut between two members", []func(*bus){cut(pair)}, 2 * time.Minute, 10 * time.Second, false},
		{"one member sends nothing", []func(*bus){cut(oneWay)}, 2 * time.Minute, time.Minute, true},
		{"lost data centre", []func(*bus){cut(lostDataCentre)}, 10 * time.Minute, time.Minute, true},
		{"lost data centre and a pause", []func(*bus){cut(lostDataCentre), pause("m1", 10*time.Minute)}, 10 * time.Minute, time.Minute, true},
		{"one-way cut and a pause", []func(*bus){cut(oneWay), pause("m2", time.Minute)}, time.Minute, time.Minute, true},
		{"KV down and a lost data centre", []func(*bus){func(b *bus) { b.kv.down = true }, cut(lostDataCentre)}, 10 * time.Minute, time.Minute, true},
		{"loss of 5 in 100 messages", []func(*bus){func(b *bus) { b.loss = 0.05 }}, 2 * time.Minute, 20 * time.Second, true},
	}
	for _, tt := range tests {
		for _, n := range []int{3, 5, 20} {
			t.Run(fmt.Sprintf("%s/%d", tt.name, n), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				b := newBus(3)
				b.service(n, 6)
				for _, fault := range tt.faults {
					fault(b)
				}
				lasts := tt.lasts
				if *full {
					lasts *= 6 // up to an hour
				}
				b.run(lasts)
				if !tt.removed {
					is.Equal(len(b.removals), 0)
				}
				b.cut, b.kv.down, b.loss = func(from, to *busNode) bool { return false }, false, 0
				start := b.clock.Now()
				b.run(3*time.Minute, b.agreed)
				healed := b.clock.Now().Sub(start)
				t.Logf("fault=%q members=%d healed_after=%v removed=%d kv_reads=%d kv_writes=%d", tt.name, n,
					healed.Round(10*time.Millisecond), len(b.removals), b.kv.reads, b.kv.write)
				is.True(healed <= tt.heals)
				b.run(10 * time.Second)
				for _, m := range b.members() {
					if n <= 20 {
						is.Equal(b.chosen(m.id), 6)
					}
				}
			})
		}
	}
}

// Guards against entries that go on choosing the far side of a partition, and
// against those that lose the near side with it because their member is cut off.
func TestLostDataCentreLeavesChoice(t *testing.T) {
	trials := 4
	if *full {
		trials = 40
	}
	for _, n := range []int{3, 5, 20, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newBus(6)
			b.service(n, 12)
			oneSided := func() bool {
				for _, e := range b.entries() {
					near := 0
					for _, s := range e.servers {
						if s.State != toucanbalance.Alive {
							continue
						}
						if (s.DataCentre == "a") != (e.dataCentre == "a") {
							return false
						}
						near++
					}
					if near == 0 {
						return false
					}
				}
				return true
			}
			var times []time.Duration
			for range trials {
				b.run(time.Duration(b.random.Int64N(int64(3 * time.Second))))
				start := b.clock.Now()
				b.cut = lostDataCentre
				is.True(b.run(15*time.Second, oneSided))
				times = append(times, b.clock.Now().Sub(start))
				b.run(30 * time.Second)
				is.True(oneSided())
				b.cut = func(from, to *busNode) bool { return false }
				b.run(30 * time.Second)
				is.True(b.agreed())
			}
			slices.Sort(times)
			t.Logf("members=%d trials=%d p50=%v max=%v", n, trials, times[trials/2].Round(10*time.Millisecond), times[trials-1].Round(10*time.Millisecond))
			is.True(times[trials-1] <= 5*time.Second)
		})
	}
}

// Guards against a fresh member that needs the KV although its old peers still
// know its address.
func TestFreshMemberStartsWithoutKV(t *testing.T) {
	for _, away := range []time.Duration{2 * time.Second, time.Minute, time.Hour} {
		t.Run(away.String(), func(t *testing.T) {
			is := is.New(t)
			b := newBus(4)
			b.service(5, 3)
			b.kv.down = true
			memberFaults["dead"](b, b.nodes["m2"])
			b.run(away)
			b.member("m2", "c")
			start := b.clock.Now()
			is.True(b.run(time.Minute, b.agreed))
			t.Logf("away=%v joined_after=%v", away, b.clock.Now().Sub(start).Round(10*time.Millisecond))
			b.run(5 * time.Second)
			is.Equal(b.chosen("m2"), 3)
		})
	}
}

// Guards against contacts that all died while nobody was there to replace them.
func TestWholeServiceReplaced(t *testing.T) {
	is := is.New(t)
	b := newBus(5)
	b.service(5, 3)
	for _, n := range b.members() {
		memberFaults["dead"](b, n)
	}
	for i := range 5 {
		b.member(fmt.Sprintf("new%d", i), busDataCentres[i%3])
	}
	is.True(b.run(2*time.Minute, b.agreed))
	b.run(time.Minute)
	for i := range 5 {
		is.Equal(b.chosen(fmt.Sprintf("new%d", i)), 3)
	}
}

// Guards against a service that stays unreachable after its only member was
// replaced at another address.
func TestOnlyMemberReplaced(t *testing.T) {
	const foundWithin = 20 * time.Second // also the wait of testdata/script/replace.txtar
	for seed := range uint64(40) {
		b := newBus(seed)
		b.service(1, 3)
		memberFaults["dead"](b, b.nodes["m0"])
		b.run(time.Duration(b.random.Int64N(int64(time.Minute))))
		id := fmt.Sprintf("new%d", seed)
		b.member(id, "a")
		if !b.run(foundWithin, func() bool { return b.chosen(id) == 3 }) {
			t.Errorf("seed %d: %d of 3 entries choose %s after %v", seed, b.chosen(id), id, foundWithin)
		}
	}
}

// Guards against combinations of faults that no table thought of: after any
// schedule of two faults at a time, members agree again and entries choose
// every member that runs.
func TestRandomSchedules(t *testing.T) {
	checks := "100"
	if *full {
		checks = "5000"
	}
	fixed := map[string]string{"rapid.seed": "20261204", "rapid.checks": checks, "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) }) // the command line goes first
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(t, "members")
		b := newBus(rapid.Uint64().Draw(t, "seed"))
		b.service(n, 3)
		steps := rapid.IntRange(1, 4).Draw(t, "steps")
		for range steps {
			for range 2 {
				victim := b.nodes[fmt.Sprintf("m%d", rapid.IntRange(0, n-1).Draw(t, "victim"))]
				switch rapid.SampledFrom([]string{"crash", "leave", "pause", "one_way", "lost", "kv", "loss"}).Draw(t, "fault") {
				case "crash":
					memberFaults["dead"](b, victim)
				case "leave":
					if !victim.dead {
						memberFaults["leaving"](b, victim)
					}
				case "pause":
					victim.pausedUntil = b.clock.Now().Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
				case "one_way":
					b.cut = func(from, to *busNode) bool { return from == victim }
				case "lost":
					b.cut = lostDataCentre
				case "kv":
					b.kv.down = true
				case "loss":
					b.loss = 0.1
				}
			}
			b.run(time.Duration(rapid.IntRange(1, 120).Draw(t, "lasts")) * time.Second)
			for i := range n {
				if m := b.nodes[fmt.Sprintf("m%d", i)]; m.dead || m.group.self.State != "alive" {
					m.dead = true
					b.member(m.id, m.dataCentre)
				}
			}
			b.cut, b.kv.down, b.loss = func(from, to *busNode) bool { return false }, false, 0
			b.run(time.Duration(rapid.IntRange(0, 30).Draw(t, "rest")) * time.Second)
		}
		for _, m := range b.members() { // a pause may outlast its step
			b.run(max(m.pausedUntil.Sub(b.clock.Now()), 0))
		}
		if !b.run(3*time.Minute, b.agreed) {
			t.Fatalf("members do not agree 3 minutes after the last fault")
		}
		b.run(time.Minute)
		for _, m := range b.members() {
			if got := b.chosen(m.id); got != 3 {
				t.Fatalf("%s is chosen by %d of 3 entries a minute after the members agreed", m.id, got)
			}
		}
	})
}
