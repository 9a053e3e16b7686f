package toucanmember

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"toucanhaven/toucanbalance"
)

const (
	// MaxContacts is the number of contacts of a service in the KV.
	MaxContacts = 3
	// watchers is the number of members that watch the configuration. The same
	// members keep the contacts.
	watchers = 2
	// keepPeriod is how often a member looks at its duties as a keeper.
	keepPeriod = time.Second
	// keeperPause is how long the contacts must be wrong before they are replaced.
	keeperPause = 3 * time.Second
	// keeperSpread keeps the keepers of hundreds of services, which a lost data
	// centre affects at once, from writing in the same second.
	keeperSpread = 10 * time.Second
	// lostSpread is the same while no contact is alive, because new entries cannot
	// find the service then.
	lostSpread = 5 * time.Second
	// keeperDelay is how much longer the second keeper waits than the first.
	keeperDelay = 10 * time.Second
	// rereadPeriod is how often the first keeper reads the contacts without cause,
	// so that two groups that lost each other merge again.
	rereadPeriod = 10 * time.Minute
	// aloneRead bounds the pause between reads of a member that knows no other.
	aloneRead = 30 * time.Second
	// staleContact is how long an unreachable contact keeps its place while
	// another contact is alive. Regions are cut off from each other for an hour;
	// both sides would otherwise replace each other's contacts all that time.
	staleContact = 90 * time.Minute
	// staleSpread spreads the replacement of contacts that went at the same time.
	staleSpread = 30 * time.Minute
)

// keeper is a member's knowledge of the contacts in the KV.
type keeper struct {
	known     bool
	addresses []string
	index     uint64
	busy      time.Time // a read or write is under way until then
	readAt    time.Time // next read
	failures  int
	watching  bool
	due       time.Time // next look at the duties
	badSince  time.Time
	missing   map[string]time.Time // since when a contact is not a live member
}

// rank is this member's place among the keepers; it is one when below watchers.
func (g *Group) rank() int {
	if g.self.State != toucanbalance.Alive {
		return watchers
	}
	own := toucanbalance.Hash(g.service, g.self.ID)
	rank := 0
	for id, r := range g.members {
		if r != g.self && r.State == toucanbalance.Alive && toucanbalance.Hash(g.service, id) < own {
			rank++
		}
	}
	return rank
}

// keep does the duties of a keeper: it watches, reads and repairs the contacts.
func (g *Group) keep(now time.Time) {
	k := &g.keeper
	if now.Before(k.due) {
		return
	}
	k.due = now.Add(keepPeriod)
	rank := g.rank()
	if on := rank < watchers; on != k.watching {
		k.watching = on
		g.emit(WatchConfiguration{On: on})
	}
	alone := len(g.ring) < 2
	if now.Before(k.busy) || rank >= watchers && !alone || g.self.State != toucanbalance.Alive {
		return
	}
	if (alone || rank == 0 || !k.known) && !now.Before(k.readAt) {
		g.read(now)
		return
	}
	if !k.known {
		return
	}
	want := g.wanted(now)
	if slices.Equal(want, k.addresses) {
		k.badSince = time.Time{}
		return
	}
	if k.badSince.IsZero() {
		k.badSince = now
	}
	if now.Sub(k.badSince) >= time.Duration(rank)*keeperDelay+g.keeperPause() {
		k.busy = now.Add(kvTimeout)
		g.emit(WriteContacts{Addresses: want, Index: k.index})
	}
}

// keeperPause gives contacts that this member has not met time to answer, and a
// view that is still growing time to settle. A service without contacts gets its
// first one at once.
func (g *Group) keeperPause() time.Duration {
	switch {
	case len(g.keeper.addresses) == 0:
		return 0
	case !slices.ContainsFunc(g.keeper.addresses, g.isLive):
		return keeperPause + spreadOver(lostSpread, g.self.ID)
	}
	return keeperPause + spreadOver(keeperSpread, g.self.ID)
}

// isLive reports whether the id is a member that runs, as far as is known.
func (g *Group) isLive(id string) bool {
	r := g.members[id]
	return r != nil && (r.State == toucanbalance.Alive || r.State == toucanbalance.Suspect)
}

// spreadOver returns a share of d that depends on the name.
func spreadOver(d time.Duration, name string) time.Duration {
	return time.Duration(toucanbalance.Hash("spread", name) % uint64(d))
}

// kvTimeout is the time after which a read or write of the KV that brought no
// event is repeated.
const kvTimeout = 10 * time.Second

func (g *Group) read(now time.Time) {
	g.keeper.busy = now.Add(kvTimeout)
	g.keeper.readAt = now.Add(kvTimeout)
	g.emit(ReadContacts{})
}

// contactsRead takes in what the KV, or a known peer, says.
func (g *Group) contactsRead(e Contacts, now time.Time) {
	k := &g.keeper
	if e.FromPeers {
		g.meet(e.Addresses, now)
		return
	}
	k.busy = time.Time{}
	if !e.Known {
		if len(g.ring) < 2 {
			g.emit(AskPeersForContacts{})
		}
		delay := min(time.Second<<min(k.failures, 5), aloneRead)
		k.failures++
		k.known, k.readAt = false, now.Add(g.jitter(delay))
		return
	}
	k.failures = 0
	k.known, k.addresses, k.index = true, e.Addresses, e.Index
	maps.DeleteFunc(k.missing, func(id string, _ time.Time) bool { return !slices.Contains(e.Addresses, id) })
	period := rereadPeriod
	if len(g.ring) < 2 {
		period = aloneRead
	}
	k.readAt = now.Add(g.jitter(period))
	g.meet(e.Addresses, now)
}

// meet compares views with a contact that is no live member here.
func (g *Group) meet(ids []string, now time.Time) {
	if g.self == nil {
		return
	}
	for _, id := range ids {
		if r := g.members[id]; id != g.self.ID && (r == nil || r.State == Removed) {
			g.synced = time.Time{}
			g.sync(id, now)
		}
	}
}

// jitter spreads a delay over 75% to 125%, so that members that started
// together do not read together.
func (g *Group) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(g.random.Int64N(int64(d/2)+1))
}

// wanted returns the contacts that should stand in the KV. Live contacts keep
// their places; others are replaced when they left, when none is alive, or when
// they have been gone for long.
func (g *Group) wanted(now time.Time) []string {
	k := &g.keeper
	var live, gone []string
	for _, id := range k.addresses {
		r := g.members[id]
		switch {
		case g.isLive(id):
			live = append(live, id)
			delete(k.missing, id)
		case r != nil && (r.left || r.State == toucanbalance.Leaving):
		case now.Sub(g.missingSince(id, now)) < staleContact+spreadOver(staleSpread, id):
			gone = append(gone, id)
		}
	}
	if len(live) == 0 {
		gone = gone[:min(len(gone), 1)] // a way back to the other side of a partition
	}
	want := append(live, gone...)
	want = g.fill(want[:min(len(want), MaxContacts)])
	if sameSet(want, k.addresses) {
		return k.addresses
	}
	return want
}

func (g *Group) missingSince(id string, now time.Time) time.Time {
	if g.keeper.missing == nil {
		g.keeper.missing = make(map[string]time.Time)
	}
	if _, ok := g.keeper.missing[id]; !ok {
		g.keeper.missing[id] = now
	}
	return g.keeper.missing[id]
}

// fill adds alive members up to MaxContacts, other data centres first.
func (g *Group) fill(want []string) []string {
	var spare []Member
	used := make(map[string]bool)
	for _, id := range want {
		if r := g.members[id]; r != nil {
			used[r.DataCentre] = true
		}
	}
	for _, m := range g.live() {
		if m.State == toucanbalance.Alive && !slices.Contains(want, m.ID) {
			spare = append(spare, m)
		}
	}
	slices.SortFunc(spare, func(a, b Member) int {
		return cmp.Compare(toucanbalance.Hash(g.service, a.ID), toucanbalance.Hash(g.service, b.ID))
	})
	for len(want) < MaxContacts && len(spare) > 0 {
		i := max(slices.IndexFunc(spare, func(m Member) bool { return !used[m.DataCentre] }), 0)
		want, used[spare[i].DataCentre] = append(want, spare[i].ID), true
		spare = slices.Delete(spare, i, i+1)
	}
	return want
}

func sameSet(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for _, x := range a {
		if !slices.Contains(b, x) {
			return false
		}
	}
	return true
}
