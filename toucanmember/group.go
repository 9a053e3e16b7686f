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
	// pauseThreshold is the time between two ticks from which the process counts as
	// paused. Pending probes are then discarded: their timeouts say nothing about
	// the targets.
	pauseThreshold = 5 * TickPeriod
	// suspectTimeout is how long a suspected member has to refute the suspicion.
	suspectTimeout = 10 * time.Second
	// leavingTimeout is the time after which a leaving member counts as removed.
	// Every entry has polled many times by then.
	leavingTimeout = time.Minute
	// removedRetention is how long the record of a removed member is kept and the
	// member probed.
	removedRetention = 24 * time.Hour
	// gossipFanOut is the number of members that a new change is sent to at once.
	// With only one probe a second, a change would take about 8 s to reach 300
	// members.
	gossipFanOut = 3
	// maxChangesPerMessage limits the changes in one message to about 1.5 KB.
	maxChangesPerMessage = 20
	// minSyncInterval is the minimum time between two comparisons of the whole view
	// with other members.
	minSyncInterval = 5 * time.Second
	// syncBucketCount is the number of buckets in which two views are compared.
	syncBucketCount = 16
	// maxSubset limits the number of servers that an entry can ask for.
	maxSubset = 100
)

// Group is the membership of one service as one member sees it. It is not safe
// for concurrent use.
type Group struct {
	clock   toucanclock.Clock
	random  *rand.Rand
	service string

	self            *record // nil until the backend server is announced
	identity        toucanbalance.Server
	members         map[string]*record // including self
	version         uint64
	minDeltaVersion uint64 // deltas since a lower version are incomplete
	revision        uint64

	changeQueue []*record // changes with transmissions left
	gossipDue   bool      // a change has not been sent yet
	joining     bool      // merging a whole view, whose changes the other members already have
	ringStale   bool      // ring and digest need a refresh
	ring        []string  // sorted ids of the members to probe, including self
	digest      uint64

	cachedVersion uint64 // version that cachedMembers and cachedServers belong to
	cachedMembers []Member
	cachedServers []toucanbalance.Server

	lastSeq         uint64
	pending         map[uint64]*pendingMessage
	lastTick        time.Time
	lastReceived    time.Time // time of the last message from any node
	lastProbeSecond int64     // Unix time of the second of the last probe
	lastSync        time.Time
	lastStateCheck  time.Time
	lastGossip      time.Time

	coordinator coordinator
	effects     []Effect
}

// record is a member with the data that this group keeps about it.
type record struct {
	Member
	version           uint64 // view version of the last change
	changedAt         time.Time
	transmissionsLeft int
	announcedLeave    bool // it was Leaving before it was Removed
}

// View is a list of members with its version.
type View struct {
	Version uint64
	Members []Member
}

// NewGroup returns the group of a service as seen by the local member self. The
// local member joins with the Announce event.
func NewGroup(clock toucanclock.Clock, random *rand.Rand, service string, self toucanbalance.Server) *Group {
	return &Group{
		clock: clock, random: random, service: service, identity: self,
		members: make(map[string]*record),
		pending: make(map[uint64]*pendingMessage),
		version: uint64(self.Incarnation), minDeltaVersion: uint64(self.Incarnation),
		lastTick: clock.Now(),
	}
}

// Step handles one event and returns the effects for the caller to carry out.
func (g *Group) Step(e Event) []Effect {
	g.effects = nil
	now := g.clock.Now()
	switch e := e.(type) {
	case Announce:
		g.announce(e, now)
	case Leave:
		g.leave(now)
	case Revision:
		g.revision = max(g.revision, e.Number)
	case Contacts:
		g.handleContacts(e, now)
	case Tick:
		g.handleTick(now)
	case Request:
		g.handleRequest(e, now)
	case Reply:
		g.handleReply(e, now)
	case Failure:
		g.handleFailure(e.Seq, now)
	}
	if g.gossipDue && g.self != nil && now.Sub(g.lastGossip) >= TickPeriod {
		g.gossip(now)
	}
	return g.effects
}

func (g *Group) emit(e Effect) { g.effects = append(g.effects, e) }

func (g *Group) announce(e Announce, now time.Time) {
	if g.self == nil {
		g.self = &record{Member: Member{Server: g.identity}}
		g.members[g.identity.ID] = g.self
		g.coordinator.nextRead = now
	} else {
		g.self.Refutations++
	}
	g.self.PeerAddress, g.self.State = e.PeerAddress, toucanbalance.Alive
	g.recordChange(g.self, now)
}

func (g *Group) leave(now time.Time) {
	if g.self == nil || g.self.State == toucanbalance.Leaving {
		return
	}
	g.self.State = toucanbalance.Leaving
	g.recordChange(g.self, now)
}

// recordChange assigns r a new version and queues it for the other members.
func (g *Group) recordChange(r *record, now time.Time) {
	g.version++
	r.version, r.changedAt = g.version, now
	g.ringStale = true
	if !g.joining {
		g.queueChange(r, 3*bits.Len(uint(len(g.members)))+gossipFanOut)
		g.gossipDue = g.gossipDue || r.State != Removed
	}
	g.emit(StateChanged{r.Member})
}

// queueChange queues a record for at least the given number of transmissions.
func (g *Group) queueChange(r *record, transmissions int) {
	if r.transmissionsLeft == 0 {
		g.changeQueue = append(g.changeQueue, r)
	}
	r.transmissionsLeft = max(r.transmissionsLeft, transmissions)
}

// mergeMember merges a member record received from another node.
func (g *Group) mergeMember(m Member, now time.Time) {
	if !m.valid() {
		return
	}
	if m.ID == g.self.ID {
		g.refuteRecord(m, now)
		return
	}
	r := g.members[m.ID]
	if r == nil {
		// The record of a removed member that is unknown here is ignored. Members
		// would otherwise send each other old records for ever.
		if m.State == Removed {
			return
		}
		r = &record{Member: m}
		g.members[m.ID] = r
		g.recordChange(r, now)
		return
	}
	if m.Supersedes(r.Member) {
		r.announcedLeave = m.State == Removed && (r.announcedLeave || r.State == toucanbalance.Leaving)
		r.Member = m
		g.recordChange(r, now)
	}
}

// refuteRecord refutes a received record of the local member that supersedes its
// own, such as a suspicion.
func (g *Group) refuteRecord(m Member, now time.Time) {
	if !m.Supersedes(g.self.Member) {
		return
	}
	if m.Incarnation > g.self.Incarnation {
		// An earlier process at this address had a clock that was ahead, and so a
		// higher incarnation.
		g.self.Incarnation = m.Incarnation
	}
	g.self.Refutations = m.Refutations + 1
	g.recordChange(g.self, now)
}

// setState sets a member's state to what this member has detected itself.
func (g *Group) setState(r *record, s toucanbalance.State, now time.Time) {
	r.announcedLeave = s == Removed && r.State == toucanbalance.Leaving
	r.State = s
	g.recordChange(r, now)
}

func (g *Group) handleTick(now time.Time) {
	if now.Sub(g.lastTick) >= pauseThreshold {
		clear(g.pending)
	}
	g.lastTick = now
	if g.self == nil {
		return
	}
	g.expirePending(now)
	g.updateExpiredStates(now)
	g.probeNextMember(now)
	g.coordinate(now)
}

// updateExpiredStates removes members whose suspect or leaving timeout has
// expired, and deletes the records of members removed long ago.
func (g *Group) updateExpiredStates(now time.Time) {
	if now.Sub(g.lastStateCheck) < time.Second {
		return
	}
	g.lastStateCheck = now
	for _, id := range sortedKeys(g.members) {
		r := g.members[id]
		timeInState := now.Sub(r.changedAt)
		switch {
		case r == g.self:
		case r.State == toucanbalance.Suspect && timeInState >= suspectTimeout,
			r.State == toucanbalance.Leaving && timeInState >= leavingTimeout:
			g.setState(r, Removed, now)
		case r.State == Removed && timeInState >= removedRetention:
			delete(g.members, id)
			g.minDeltaVersion = g.version
		}
	}
}

// refreshRing rebuilds the ring and the digest if they are stale.
func (g *Group) refreshRing() {
	if !g.ringStale {
		return
	}
	g.ringStale, g.digest, g.ring = false, 0, g.ring[:0]
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

// takeChanges takes the changes for a message to a member. If that member is not
// alive in this view, its own record comes first, so that it can refute it.
func (g *Group) takeChanges(to string) (out []Member) {
	if r := g.members[to]; r != nil && r.State != toucanbalance.Alive {
		out = append(out, r.Member)
	}
	slices.SortStableFunc(g.changeQueue, func(a, b *record) int { return b.transmissionsLeft - a.transmissionsLeft })
	for _, r := range g.changeQueue {
		if len(out) >= maxChangesPerMessage {
			break
		}
		if r != g.self && r.ID != to {
			out = append(out, r.Member)
		}
		r.transmissionsLeft--
	}
	g.changeQueue = slices.DeleteFunc(g.changeQueue, func(r *record) bool { return r.transmissionsLeft <= 0 })
	return out
}

func (g *Group) probeMessage(to string) Probe {
	g.refreshRing()
	return Probe{
		Service: g.service, From: g.self.Member, Changes: g.takeChanges(to),
		Revision: g.revision, Digest: g.digest,
	}
}

// gossip sends the queued changes to gossipFanOut random members at once.
func (g *Group) gossip(now time.Time) {
	g.gossipDue, g.lastGossip = false, now
	for _, id := range g.randomMembers(gossipFanOut, "") {
		g.sendMessage(id, g.probeMessage(id), probeTimeout, &pendingMessage{}, now)
	}
}

// randomMembers returns the ids of up to n other alive members except excluded.
func (g *Group) randomMembers(n int, excluded string) (ids []string) {
	g.refreshRing()
	for _, i := range g.random.Perm(len(g.ring)) {
		id := g.ring[i]
		if id != g.self.ID && id != excluded && g.members[id].State == toucanbalance.Alive {
			if ids = append(ids, id); len(ids) == n {
				break
			}
		}
	}
	return ids
}

func (g *Group) handleRequest(e Request, now time.Time) {
	if g.self == nil {
		return
	}
	g.lastReceived = now
	switch m := e.Message.(type) {
	case Probe:
		g.mergeProbe(m, now)
		g.emit(Answer{e.Call, g.probeMessage(m.From.ID)})
	case ProbeFor:
		g.probeFor(m, e.Call, now)
	case Sync:
		g.mergeMember(m.From, now)
		g.emit(Answer{e.Call, g.syncAnswer(m)})
	case ViewRequest:
		g.emit(Answer{e.Call, g.ViewSince(m)})
	}
}

// mergeProbe merges the contents of a probe or of the reply to one.
func (g *Group) mergeProbe(p Probe, now time.Time) {
	g.mergeMember(p.From, now)
	for _, m := range p.Changes {
		g.mergeMember(m, now)
	}
	if p.Revision > g.revision {
		g.emit(FetchConfiguration{From: p.From.ID, Revision: p.Revision})
	}
	g.refreshRing()
	if p.Digest != g.digest && len(p.Changes) == 0 && len(g.changeQueue) == 0 || len(g.ring) <= 2 && p.Digest != g.digest {
		g.syncWith(p.From.ID, now)
	}
}

// syncWith compares the whole view with another member's, at most once every
// minSyncInterval.
func (g *Group) syncWith(id string, now time.Time) {
	if now.Sub(g.lastSync) < minSyncInterval {
		return
	}
	g.lastSync = now
	g.sendMessage(id, Sync{Service: g.service, From: g.self.Member, Buckets: g.bucketDigests()}, probeTimeout, &pendingMessage{}, now)
}

func bucketOf(id string) int {
	return int(toucanbalance.Hash("bucket", id) % syncBucketCount)
}

func (g *Group) bucketDigests() []uint64 {
	sums := make([]uint64, syncBucketCount)
	for id, r := range g.members {
		if r.State != Removed {
			sums[bucketOf(id)] += r.digest()
		}
	}
	return sums
}

func (g *Group) syncAnswer(s Sync) SyncAnswer {
	a := SyncAnswer{From: g.self.Member, Differs: make([]bool, syncBucketCount)}
	for i, sum := range g.bucketDigests() {
		a.Differs[i] = i >= len(s.Buckets) || s.Buckets[i] != sum
	}
	for _, id := range sortedKeys(g.members) {
		if a.Differs[bucketOf(id)] {
			a.Members = append(a.Members, g.members[id].Member)
		}
	}
	return a
}

// mergeSyncAnswer merges the members of the answer and queues the records that
// the answering member lacks.
func (g *Group) mergeSyncAnswer(a SyncAnswer, now time.Time) {
	g.joining = len(g.members) == 1
	defer func() { g.joining = false }()
	g.mergeMember(a.From, now)
	theirs := make(map[string]Member, len(a.Members))
	for _, m := range a.Members {
		theirs[m.ID] = m
		g.mergeMember(m, now)
	}
	for _, id := range sortedKeys(g.members) {
		if b := bucketOf(id); b >= len(a.Differs) || !a.Differs[b] {
			continue
		}
		r := g.members[id]
		other, known := theirs[id]
		if known && r.Supersedes(other) || !known && r.State != Removed {
			g.queueChange(r, gossipFanOut)
			g.gossipDue = true
		}
	}
}

// View returns all members that are not removed.
func (g *Group) View() View {
	return View{Version: g.version, Members: slices.Clone(g.viewMembers())}
}

// viewMembers returns the members that are not removed, sorted by id. The result
// is cached until the version changes; callers must not modify it.
func (g *Group) viewMembers() []Member {
	if g.cachedVersion == g.version {
		return g.cachedMembers
	}
	g.cachedVersion, g.cachedMembers = g.version, make([]Member, 0, len(g.members))
	for _, id := range sortedKeys(g.members) {
		if r := g.members[id]; r.State != Removed {
			g.cachedMembers = append(g.cachedMembers, r.Member)
		}
	}
	g.cachedServers = servers(g.cachedMembers)
	return g.cachedMembers
}

// ViewSince answers an entry's poll. The answer has no members if the entry's
// view is up to date, a delta if this member has all changes since the entry's
// version, and the whole view otherwise. For a large service, the view is the
// subset for that entry.
func (g *Group) ViewSince(r ViewRequest) ViewAnswer {
	g.lastReceived = g.clock.Now()
	a := ViewAnswer{Version: g.version, Revision: g.revision, Doubt: g.suspectsMajority()}
	if r.Version == g.version {
		return a
	}
	view := g.viewMembers()
	subset := min(max(r.Subset, 1), maxSubset)
	if len(view) > subset {
		view = g.subsetFor(r, subset)
	} else if r.Version >= g.minDeltaVersion && r.Version < g.version {
		a.Members = g.changedSince(r.Version)
		return a
	}
	if digestOf(view) != r.Digest {
		a.Full, a.Members = true, view
	}
	return a
}

func (g *Group) changedSince(version uint64) (out []Member) {
	for _, id := range sortedKeys(g.members) {
		if r := g.members[id]; r.version > version {
			out = append(out, r.Member)
		}
	}
	return out
}

func (g *Group) subsetFor(r ViewRequest, n int) []Member {
	chosen := toucanbalance.Subset(r.Entry, r.DataCentre, g.cachedServers, n)
	out := make([]Member, len(chosen))
	for i, s := range chosen {
		out[i] = g.members[s.ID].Member
	}
	return out
}

// suspectsMajority reports whether this member suspects more members than it
// sees alive.
func (g *Group) suspectsMajority() bool {
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
