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
	// coordinatorCount is the number of members that act as coordinators: they watch
	// the configuration in the KV and keep the list of contacts there up to date.
	coordinatorCount = 2
	// coordinatorPeriod is how often a member checks whether it is a coordinator and
	// whether the contacts are right.
	coordinatorPeriod = time.Second
	// replaceDelay is the minimum time for which the contacts must be wrong before
	// they are replaced.
	replaceDelay = 3 * time.Second
	// replaceJitter spreads the writes of the coordinators. The failure of a data
	// centre affects hundreds of services at once, whose coordinators would otherwise
	// all write in the same second.
	replaceJitter = 10 * time.Second
	// noLiveContactJitter is used instead of replaceJitter when no contact is alive.
	// It is shorter because new entries cannot find the service until then.
	noLiveContactJitter = 5 * time.Second
	// coordinatorStagger is how much longer the second coordinator waits than the
	// first before it replaces the contacts.
	coordinatorStagger = 10 * time.Second
	// contactsRereadPeriod is how often the first coordinator reads the contacts
	// when nothing has changed, so that two groups that were cut off from each other
	// merge again.
	contactsRereadPeriod = 10 * time.Minute
	// maxReadDelayAlone is the maximum delay between reads of the contacts by a
	// member that knows no other member.
	maxReadDelayAlone = 30 * time.Second
	// staleContactTime is how long an unreachable contact stays in the list while
	// another contact is alive. Regions can be cut off from each other for an hour,
	// and both sides would otherwise keep replacing each other's contacts.
	staleContactTime = 90 * time.Minute
	// staleContactJitter spreads the replacement of contacts that became unreachable
	// at the same time.
	staleContactJitter = 30 * time.Minute
)

// coordinator is the state of a member's coordinator duties, with its copy of the
// contacts in the KV.
type coordinator struct {
	contactsKnown bool
	addresses     []string
	index         uint64
	busyUntil     time.Time // deadline of the pending read or write
	nextRead      time.Time
	readFailures  int
	watching      bool
	nextCheck     time.Time
	mismatchSince time.Time
	missingSince  map[string]time.Time // for each contact that is not alive or suspect
}

// coordinatorIndex returns this member's position in the order of the alive
// members by hash. Members with an index below coordinatorCount are coordinators;
// a member that is not alive is not one.
func (g *Group) coordinatorIndex() int {
	if g.self.State != toucanbalance.Alive {
		return coordinatorCount
	}
	own := toucanbalance.Hash(g.service, g.self.ID)
	index := 0
	for id, r := range g.members {
		if r != g.self && r.State == toucanbalance.Alive && toucanbalance.Hash(g.service, id) < own {
			index++
		}
	}
	return index
}

// coordinate carries out the coordinator duties: it starts or stops the watch of
// the configuration, and reads the contacts and replaces wrong ones. A member that
// knows no other member reads the contacts even if it is no coordinator.
func (g *Group) coordinate(now time.Time) {
	c := &g.coordinator
	if now.Before(c.nextCheck) {
		return
	}
	c.nextCheck = now.Add(coordinatorPeriod)
	index := g.coordinatorIndex()
	if on := index < coordinatorCount; on != c.watching {
		c.watching = on
		g.emit(WatchConfiguration{On: on})
	}
	alone := len(g.ring) < 2
	if now.Before(c.busyUntil) || index >= coordinatorCount && !alone || g.self.State != toucanbalance.Alive {
		return
	}
	if (alone || index == 0 || !c.contactsKnown) && !now.Before(c.nextRead) {
		g.readContacts(now)
		return
	}
	if !c.contactsKnown {
		return
	}
	want := g.wantedContacts(now)
	if slices.Equal(want, c.addresses) {
		c.mismatchSince = time.Time{}
		return
	}
	if c.mismatchSince.IsZero() {
		c.mismatchSince = now
	}
	if now.Sub(c.mismatchSince) >= time.Duration(index)*coordinatorStagger+g.contactsReplaceDelay() {
		c.busyUntil = now.Add(kvTimeout)
		g.emit(WriteContacts{Addresses: want, Index: c.index})
	}
}

// contactsReplaceDelay returns how long the contacts must be wrong before the
// first coordinator replaces them. The delay lets contacts that are not in this
// member's view answer, and lets a growing view settle. A service without contacts
// gets its first one at once.
func (g *Group) contactsReplaceDelay() time.Duration {
	switch {
	case len(g.coordinator.addresses) == 0:
		return 0
	case !slices.ContainsFunc(g.coordinator.addresses, g.isAliveOrSuspect):
		return replaceDelay + hashJitter(noLiveContactJitter, g.self.ID)
	}
	return replaceDelay + hashJitter(replaceJitter, g.self.ID)
}

// isAliveOrSuspect reports whether id is a member in state Alive or Suspect.
func (g *Group) isAliveOrSuspect(id string) bool {
	r := g.members[id]
	return r != nil && (r.State == toucanbalance.Alive || r.State == toucanbalance.Suspect)
}

// hashJitter returns a duration from 0 to d that is determined by the name.
func hashJitter(d time.Duration, name string) time.Duration {
	return time.Duration(toucanbalance.Hash("spread", name) % uint64(d))
}

// kvTimeout is the time after which a KV read or write is retried if no event
// reported its result.
const kvTimeout = 10 * time.Second

func (g *Group) readContacts(now time.Time) {
	g.coordinator.busyUntil = now.Add(kvTimeout)
	g.coordinator.nextRead = now.Add(kvTimeout)
	g.emit(ReadContacts{})
}

// handleContacts processes contacts from the KV or from known peers.
func (g *Group) handleContacts(e Contacts, now time.Time) {
	c := &g.coordinator
	if e.FromPeers {
		g.syncWithContacts(e.Addresses, now)
		return
	}
	c.busyUntil = time.Time{}
	if !e.Known {
		if len(g.ring) < 2 {
			g.emit(AskPeersForContacts{})
		}
		delay := min(time.Second<<min(c.readFailures, 5), maxReadDelayAlone)
		c.readFailures++
		c.contactsKnown, c.nextRead = false, now.Add(g.jitter(delay))
		return
	}
	c.readFailures = 0
	c.contactsKnown, c.addresses, c.index = true, e.Addresses, e.Index
	maps.DeleteFunc(c.missingSince, func(id string, _ time.Time) bool { return !slices.Contains(e.Addresses, id) })
	period := contactsRereadPeriod
	if len(g.ring) < 2 {
		period = maxReadDelayAlone
	}
	c.nextRead = now.Add(g.jitter(period))
	g.syncWithContacts(e.Addresses, now)
}

// syncWithContacts compares views with each contact that is unknown or removed
// here.
func (g *Group) syncWithContacts(ids []string, now time.Time) {
	if g.self == nil {
		return
	}
	for _, id := range ids {
		if r := g.members[id]; id != g.self.ID && (r == nil || r.State == Removed) {
			g.lastSync = time.Time{}
			g.syncWith(id, now)
		}
	}
}

// jitter returns a random delay of 75% to 125% of d, so that members that started
// together do not read at the same time.
func (g *Group) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(g.random.Int64N(int64(d/2)+1))
}

// wantedContacts returns the contacts that the KV should hold. Alive and suspect
// contacts stay. Another contact is replaced when it announced leaving, when no
// contact is alive or suspect, or after staleContactTime.
func (g *Group) wantedContacts(now time.Time) []string {
	c := &g.coordinator
	var reachable, missing []string
	for _, id := range c.addresses {
		r := g.members[id]
		switch {
		case g.isAliveOrSuspect(id):
			reachable = append(reachable, id)
			delete(c.missingSince, id)
		case r != nil && (r.announcedLeave || r.State == toucanbalance.Leaving):
		case now.Sub(g.contactMissingSince(id, now)) < staleContactTime+hashJitter(staleContactJitter, id):
			missing = append(missing, id)
		}
	}
	if len(reachable) == 0 {
		missing = missing[:min(len(missing), 1)] // one is kept to find the other side of a partition
	}
	want := append(reachable, missing...)
	want = g.fillContacts(want[:min(len(want), MaxContacts)])
	if sameSet(want, c.addresses) {
		return c.addresses
	}
	return want
}

func (g *Group) contactMissingSince(id string, now time.Time) time.Time {
	if g.coordinator.missingSince == nil {
		g.coordinator.missingSince = make(map[string]time.Time)
	}
	if _, ok := g.coordinator.missingSince[id]; !ok {
		g.coordinator.missingSince[id] = now
	}
	return g.coordinator.missingSince[id]
}

// fillContacts adds alive members up to MaxContacts. Members of data centres
// without a contact come first.
func (g *Group) fillContacts(want []string) []string {
	var spare []Member
	usedDataCentres := make(map[string]bool)
	for _, id := range want {
		if r := g.members[id]; r != nil {
			usedDataCentres[r.DataCentre] = true
		}
	}
	for _, m := range g.viewMembers() {
		if m.State == toucanbalance.Alive && !slices.Contains(want, m.ID) {
			spare = append(spare, m)
		}
	}
	slices.SortFunc(spare, func(a, b Member) int {
		return cmp.Compare(toucanbalance.Hash(g.service, a.ID), toucanbalance.Hash(g.service, b.ID))
	})
	for len(want) < MaxContacts && len(spare) > 0 {
		i := max(slices.IndexFunc(spare, func(m Member) bool { return !usedDataCentres[m.DataCentre] }), 0)
		want, usedDataCentres[spare[i].DataCentre] = append(want, spare[i].ID), true
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
