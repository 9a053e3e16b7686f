package toucanmember

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucanclock"
)

const (
	// TickPeriod is how often a Group and an Entry expect a Tick.
	TickPeriod = 100 * time.Millisecond
	// pauseGap is the time between two ticks from which the process counts as
	// paused. Probes that were under way say nothing about their targets then.
	pauseGap = 5 * TickPeriod
	// suspectTime is the time a suspected member has to refute.
	suspectTime = 10 * time.Second
	// leavingTime is the time after which a leaving member counts as removed.
	// Every entry has polled many times by then.
	leavingTime = time.Minute
	// keepRemoved is how long a removed member is remembered and probed.
	keepRemoved = 24 * time.Hour
	// fanOut is the number of members a change is sent to at once. With one probe
	// a second alone, a change would take about 8 s to reach 300 members.
	fanOut = 3
	// maxChanges bounds the changes in one message to about 1.5 KB.
	maxChanges = 20
	// syncPeriod bounds how often a member compares its whole view with another.
	syncPeriod = 5 * time.Second
	// syncBuckets is the number of parts in which two views are compared.
	syncBuckets = 16
	// maxSubset bounds the servers an entry can ask for.
	maxSubset = 100
)

// Group is the membership of one service as one member sees it. It is not safe
// for concurrent use.
type Group struct {
	clock   toucanclock.Clock
	random  *rand.Rand
	service string

	self     *record // nil until the backend server has announced itself
	identity toucanbalance.Server
	members  map[string]*record // including self
	version  uint64
	floor    uint64 // deltas since a lower version are incomplete
	revision uint64

	queue   []*record // changes that are still sent along
	urgent  bool      // a change waits for its first transmission
	joining bool      // taking over a whole view, which the others know already
	dirty   bool      // ring and digest are out of date
	ring    []string  // members that are probed in turn, with self, sorted
	digest  uint64

	liveVersion uint64 // version of the two lists below
	liveMembers []Member
	liveServers []toucanbalance.Server

	sequence uint64
	pending  map[uint64]*attempt
	ticked   time.Time
	heard    time.Time // last message from any node
	probed   int64     // number of the last second in which a probe was sent
	synced   time.Time
	aged     time.Time
	spreadAt time.Time

	keeper keeper
	out    []Effect
}

// record is a member with this group's bookkeeping.
type record struct {
	Member
	version uint64 // view version of the last change
	changed time.Time
	sends   int  // transmissions left
	left    bool // it announced leaving before it was removed
}

// View is the membership with its version.
type View struct {
	Version uint64
	Members []Member
}

// NewGroup returns the group of a service with the local member self. The
// member joins with the Announce event.
func NewGroup(clock toucanclock.Clock, random *rand.Rand, service string, self toucanbalance.Server) *Group {
	return &Group{
		clock: clock, random: random, service: service, identity: self,
		members: make(map[string]*record),
		pending: make(map[uint64]*attempt),
		version: uint64(self.Incarnation), floor: uint64(self.Incarnation),
		ticked: clock.Now(),
	}
}

// Step takes one event and returns what is to be done.
func (g *Group) Step(e Event) []Effect {
	g.out = nil
	now := g.clock.Now()
	switch e := e.(type) {
	case Announce:
		g.announce(e, now)
	case Leave:
		g.leave(now)
	case Revision:
		g.revision = max(g.revision, e.Number)
	case Contacts:
		g.contactsRead(e, now)
	case Tick:
		g.tick(now)
	case Request:
		g.request(e, now)
	case Reply:
		g.reply(e, now)
	case Failure:
		g.failed(e.Seq, now)
	}
	if g.urgent && g.self != nil && now.Sub(g.spreadAt) >= TickPeriod {
		g.spread(now)
	}
	return g.out
}

func (g *Group) emit(e Effect) { g.out = append(g.out, e) }

func (g *Group) announce(e Announce, now time.Time) {
	if g.self == nil {
		g.self = &record{Member: Member{Server: g.identity}}
		g.members[g.identity.ID] = g.self
		g.keeper.readAt = now
	} else {
		g.self.Refutations++
	}
	g.self.PeerAddress, g.self.State = e.PeerAddress, toucanbalance.Alive
	g.touch(g.self, now)
}

func (g *Group) leave(now time.Time) {
	if g.self == nil || g.self.State == toucanbalance.Leaving {
		return
	}
	g.self.State = toucanbalance.Leaving
	g.touch(g.self, now)
}

// touch records that r has changed and queues the change for the others.
func (g *Group) touch(r *record, now time.Time) {
	g.version++
	r.version, r.changed = g.version, now
	g.dirty = true
	if !g.joining {
		g.send(r, 3*bits.Len(uint(len(g.members)))+fanOut)
		g.urgent = g.urgent || r.State != Removed
	}
	g.emit(StateChanged{r.Member})
}

// send queues a record for a number of transmissions.
func (g *Group) send(r *record, times int) {
	if r.sends == 0 {
		g.queue = append(g.queue, r)
	}
	r.sends = max(r.sends, times)
}

// merge takes in what another node says about a member.
func (g *Group) merge(m Member, now time.Time) {
	if !m.valid() {
		return
	}
	if m.ID == g.self.ID {
		g.refute(m, now)
		return
	}
	r := g.members[m.ID]
	if r == nil {
		// A removed member that is not known here is not taken over: members would
		// otherwise hand each other old records for ever.
		if m.State == Removed {
			return
		}
		r = &record{Member: m}
		g.members[m.ID] = r
		g.touch(r, now)
		return
	}
	if m.Supersedes(r.Member) {
		r.left = m.State == Removed && (r.left || r.State == toucanbalance.Leaving)
		r.Member = m
		g.touch(r, now)
	}
}

// refute answers a record about this member itself that is not right.
func (g *Group) refute(m Member, now time.Time) {
	if !m.Supersedes(g.self.Member) {
		return
	}
	if m.Incarnation > g.self.Incarnation {
		// The clock of an earlier process at this address was ahead.
		g.self.Incarnation = m.Incarnation
	}
	g.self.Refutations = m.Refutations + 1
	g.touch(g.self, now)
}

// change sets the state of a member on this member's own findings.
func (g *Group) change(r *record, s toucanbalance.State, now time.Time) {
	r.left = s == Removed && r.State == toucanbalance.Leaving
	r.State = s
	g.touch(r, now)
}

func (g *Group) tick(now time.Time) {
	if now.Sub(g.ticked) >= pauseGap {
		clear(g.pending)
	}
	g.ticked = now
	if g.self == nil {
		return
	}
	g.expire(now)
	g.age(now)
	g.probe(now)
	g.keep(now)
}

// age moves members on whose time in their state is over.
func (g *Group) age(now time.Time) {
	if now.Sub(g.aged) < time.Second {
		return
	}
	g.aged = now
	for _, id := range sortedKeys(g.members) {
		r := g.members[id]
		age := now.Sub(r.changed)
		switch {
		case r == g.self:
		case r.State == toucanbalance.Suspect && age >= suspectTime,
			r.State == toucanbalance.Leaving && age >= leavingTime:
			g.change(r, Removed, now)
		case r.State == Removed && age >= keepRemoved:
			delete(g.members, id)
			g.floor = g.version
		}
	}
}

// refresh rebuilds the ring and the digest.
func (g *Group) refresh() {
	if !g.dirty {
		return
	}
	g.dirty, g.digest, g.ring = false, 0, g.ring[:0]
	for id, r := range g.members {
		if r.State == Removed {
			continue
		}
		g.digest += r.digest()
		if r == g.self || r.State != toucanbalance.Leaving {
			g.ring = append(g.ring, id)
		}
	}
	slices.Sort(g.ring)
}

// changes takes the records to send along to a member, first what is said
// about that member itself, so that it can refute.
func (g *Group) changes(to string) (out []Member) {
	if r := g.members[to]; r != nil && r.State != toucanbalance.Alive {
		out = append(out, r.Member)
	}
	slices.SortStableFunc(g.queue, func(a, b *record) int { return b.sends - a.sends })
	for _, r := range g.queue {
		if len(out) >= maxChanges {
			break
		}
		if r != g.self && r.ID != to {
			out = append(out, r.Member)
		}
		r.sends--
	}
	g.queue = slices.DeleteFunc(g.queue, func(r *record) bool { return r.sends <= 0 })
	return out
}

func (g *Group) probeMessage(to string) Probe {
	g.refresh()
	return Probe{
		Service: g.service, From: g.self.Member, Changes: g.changes(to),
		Revision: g.revision, Digest: g.digest,
	}
}

// spread sends a change to some members at once.
func (g *Group) spread(now time.Time) {
	g.urgent, g.spreadAt = false, now
	for _, id := range g.randomMembers(fanOut, "") {
		g.post(id, g.probeMessage(id), probeTimeout, &attempt{}, now)
	}
}

// randomMembers returns up to n other members that are alive, without not.
func (g *Group) randomMembers(n int, not string) (ids []string) {
	g.refresh()
	for _, i := range g.random.Perm(len(g.ring)) {
		id := g.ring[i]
		if id != g.self.ID && id != not && g.members[id].State == toucanbalance.Alive {
			if ids = append(ids, id); len(ids) == n {
				break
			}
		}
	}
	return ids
}

func (g *Group) request(e Request, now time.Time) {
	if g.self == nil {
		return
	}
	g.heard = now
	switch m := e.Message.(type) {
	case Probe:
		g.learn(m, now)
		g.emit(Answer{e.Call, g.probeMessage(m.From.ID)})
	case ProbeFor:
		g.probeFor(m, e.Call, now)
	case Sync:
		g.merge(m.From, now)
		g.emit(Answer{e.Call, g.syncAnswer(m)})
	case ViewRequest:
		g.emit(Answer{e.Call, g.ViewSince(m)})
	}
}

// learn takes in a probe or its answer.
func (g *Group) learn(p Probe, now time.Time) {
	g.merge(p.From, now)
	for _, m := range p.Changes {
		g.merge(m, now)
	}
	if p.Revision > g.revision {
		g.emit(FetchConfiguration{From: p.From.ID, Revision: p.Revision})
	}
	g.refresh()
	if p.Digest != g.digest && len(p.Changes) == 0 && len(g.queue) == 0 || len(g.ring) <= 2 && p.Digest != g.digest {
		g.sync(p.From.ID, now)
	}
}

// sync compares the whole view with another member's, at most every syncPeriod.
func (g *Group) sync(id string, now time.Time) {
	if now.Sub(g.synced) < syncPeriod {
		return
	}
	g.synced = now
	g.post(id, Sync{Service: g.service, From: g.self.Member, Buckets: g.buckets()}, probeTimeout, &attempt{}, now)
}

func bucketOf(id string) int {
	return int(toucanbalance.Hash("bucket", id) % syncBuckets)
}

func (g *Group) buckets() []uint64 {
	sums := make([]uint64, syncBuckets)
	for id, r := range g.members {
		if r.State != Removed {
			sums[bucketOf(id)] += r.digest()
		}
	}
	return sums
}

func (g *Group) syncAnswer(s Sync) SyncAnswer {
	a := SyncAnswer{From: g.self.Member, Differs: make([]bool, syncBuckets)}
	for i, sum := range g.buckets() {
		a.Differs[i] = i >= len(s.Buckets) || s.Buckets[i] != sum
	}
	for _, id := range sortedKeys(g.members) {
		if a.Differs[bucketOf(id)] {
			a.Members = append(a.Members, g.members[id].Member)
		}
	}
	return a
}

// syncAnswered takes in the other's part and queues what the other lacks.
func (g *Group) syncAnswered(a SyncAnswer, now time.Time) {
	g.joining = len(g.members) == 1
	defer func() { g.joining = false }()
	g.merge(a.From, now)
	theirs := make(map[string]Member, len(a.Members))
	for _, m := range a.Members {
		theirs[m.ID] = m
		g.merge(m, now)
	}
	for _, id := range sortedKeys(g.members) {
		if b := bucketOf(id); b >= len(a.Differs) || !a.Differs[b] {
			continue
		}
		r := g.members[id]
		other, known := theirs[id]
		if known && r.Supersedes(other) || !known && r.State != Removed {
			g.send(r, fanOut)
			g.urgent = true
		}
	}
}

// View returns all members that are not removed.
func (g *Group) View() View {
	return View{Version: g.version, Members: slices.Clone(g.live())}
}

// live returns the members that are not removed, sorted. The result is shared
// until the version changes.
func (g *Group) live() []Member {
	if g.liveVersion == g.version {
		return g.liveMembers
	}
	g.liveVersion, g.liveMembers = g.version, make([]Member, 0, len(g.members))
	for _, id := range sortedKeys(g.members) {
		if r := g.members[id]; r.State != Removed {
			g.liveMembers = append(g.liveMembers, r.Member)
		}
	}
	g.liveServers = servers(g.liveMembers)
	return g.liveMembers
}

// ViewSince answers an entry's poll: nothing when the entry's view is up to
// date, a delta when this member knows what the entry lacks, or the whole view.
// Of a large service it answers the entry's subset.
func (g *Group) ViewSince(r ViewRequest) ViewAnswer {
	g.heard = g.clock.Now()
	a := ViewAnswer{Version: g.version, Revision: g.revision, Doubt: g.doubt()}
	if r.Version == g.version {
		return a
	}
	view := g.live()
	subset := min(max(r.Subset, 1), maxSubset)
	if len(view) > subset {
		view = g.subset(r, subset)
	} else if r.Version >= g.floor && r.Version < g.version {
		a.Members = g.since(r.Version)
		return a
	}
	if digestOf(view) != r.Digest {
		a.Full, a.Members = true, view
	}
	return a
}

func (g *Group) since(version uint64) (out []Member) {
	for _, id := range sortedKeys(g.members) {
		if r := g.members[id]; r.version > version {
			out = append(out, r.Member)
		}
	}
	return out
}

func (g *Group) subset(r ViewRequest, n int) []Member {
	chosen := toucanbalance.Subset(r.Entry, r.DataCentre, g.liveServers, n)
	out := make([]Member, len(chosen))
	for i, s := range chosen {
		out[i] = g.members[s.ID].Member
	}
	return out
}

// doubt reports whether this member suspects more members than it knows alive.
func (g *Group) doubt() bool {
	var alive, suspect int
	for _, r := range g.members {
		switch r.State {
		case toucanbalance.Alive:
			alive++
		case toucanbalance.Suspect:
			suspect++
		}
	}
	return suspect > alive
}
