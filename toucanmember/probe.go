package toucanmember

import (
	"slices"
	"strconv"
	"time"

	"toucanhaven/toucanbalance"
)

const (
	// probeTimeout covers a round trip between the farthest regions with room for
	// a busy peer.
	probeTimeout = 300 * time.Millisecond
	// indirectTimeout covers a helper's own probe and the way to the helper.
	indirectTimeout = 500 * time.Millisecond
	// helpers is the number of members asked to probe on this member's behalf.
	helpers = 3
	// sweepWidth is the number of members probed at once when a probe fails: others
	// of the target's data centre, which may be lost as a whole. Without it, the
	// smaller side of a partition of 20 members took over 15 s to notice.
	sweepWidth = 4
	// smallGroup is the size up to which a failed probe leads to a probe of any
	// other member: each may be the only one in its data centre.
	smallGroup = 5
	// maxSweep bounds the sweep's probes under way.
	maxSweep = 8
	// heardTime is how long ago the last message of any node may lie for this
	// member to blame a target that it and no helper reached; otherwise it may
	// itself be cut off.
	heardTime = 2 * time.Second
	// revivePeriod is the mean time between the probes that one removed member
	// gets from the whole group.
	revivePeriod = 5 * time.Second
)

// attempt is a message under way. The zero value is a message whose failure
// has no consequence.
type attempt struct {
	deadline time.Time
	round    *round // of a probe or an indirect probe
	indirect bool
	call     uint64 // of the ProbeFor that this probe serves
	helping  bool
}

// round is one probe of one target with its indirect probes.
type round struct {
	target  string
	done    bool
	waiting int  // helpers that have not answered
	helped  bool // a helper answered that it did not reach the target
}

// post sends a message and remembers the attempt.
func (g *Group) post(to string, m Message, timeout time.Duration, a *attempt, now time.Time) {
	g.sequence++
	a.deadline = now.Add(timeout)
	g.pending[g.sequence] = a
	g.emit(Send{Seq: g.sequence, To: to, Message: m, Timeout: timeout})
}

// probe sends this second's probe when it is due. All members derive from the
// second who probes whom, a random rotation of the sorted ring, so every member
// is probed about once a second; members that chose independently would leave
// one in twenty members without a probe for 3 s.
func (g *Group) probe(now time.Time) {
	second := now.UnixMilli() / 1000
	if second == g.probed {
		return
	}
	g.refresh()
	if len(g.ring) < 2 {
		g.probed = second
		g.revive(now)
		return
	}
	rotation := 1 + toucanbalance.Hash(g.service, strconv.FormatInt(second, 10))%uint64(len(g.ring)-1)
	i, _ := slices.BinarySearch(g.ring, g.self.ID)
	target := g.ring[(i+int(rotation))%len(g.ring)]
	// The moment inside the second belongs to the target, so that its probes by
	// different members are a second apart.
	if now.UnixMilli()%1000 < int64(toucanbalance.Hash("phase", target)%900) {
		return
	}
	g.probed = second
	g.probeMember(target, now)
	g.revive(now)
}

func (g *Group) probeMember(id string, now time.Time) {
	g.post(id, g.probeMessage(id), probeTimeout, &attempt{round: &round{target: id}}, now)
}

// sweep probes members that may have failed together with the target: others
// of its data centre, or any when this member has reached no helper.
func (g *Group) sweep(target *record, anywhere bool, now time.Time) {
	underWay := map[string]bool{target.ID: true}
	for _, a := range g.pending {
		if a.round != nil {
			underWay[a.round.target] = true
		}
	}
	started := 0
	for _, id := range g.randomMembers(len(g.ring), target.ID) {
		if started >= sweepWidth || len(underWay) >= maxSweep {
			return
		}
		if !underWay[id] && (anywhere || g.members[id].DataCentre == target.DataCentre) {
			underWay[id] = true
			started++
			g.probeMember(id, now)
		}
	}
}

// revive probes a removed member now and then. It may have been paused or cut
// off, or a new node may have its address.
func (g *Group) revive(now time.Time) {
	var removed []string
	for id, r := range g.members {
		if r.State == Removed {
			removed = append(removed, id)
		}
	}
	chance := float64(len(removed)) / (revivePeriod.Seconds() * float64(max(len(g.ring), 1)))
	if len(removed) == 0 || g.random.Float64() >= chance {
		return
	}
	slices.Sort(removed)
	id := removed[g.random.IntN(len(removed))]
	g.post(id, g.probeMessage(id), probeTimeout, &attempt{}, now)
}

// probeFor probes a target for another member.
func (g *Group) probeFor(m ProbeFor, call uint64, now time.Time) {
	g.merge(m.Target, now)
	id := m.Target.ID
	if id == g.self.ID || id == "" {
		g.emit(Answer{call, ProbeForAnswer{Reached: id != ""}})
		return
	}
	g.post(id, g.probeMessage(id), probeTimeout, &attempt{helping: true, call: call}, now)
}

func (g *Group) reply(e Reply, now time.Time) {
	a := g.pending[e.Seq]
	if a == nil || g.self == nil {
		return
	}
	delete(g.pending, e.Seq)
	g.heard = now
	switch m := e.Message.(type) {
	case Probe:
		g.learn(m, now)
		if a.round != nil {
			a.round.done = true
		}
		if a.helping {
			g.emit(Answer{a.call, ProbeForAnswer{Reached: true}})
		}
	case ProbeForAnswer:
		a.round.done = a.round.done || m.Reached
		a.round.helped = a.round.helped || !m.Reached
		g.helperDone(a.round, now)
	case SyncAnswer:
		g.syncAnswered(m, now)
	}
}

// expire fails the attempts whose time is over.
func (g *Group) expire(now time.Time) {
	for _, seq := range sortedSeqs(g.pending) {
		if a := g.pending[seq]; a != nil && !now.Before(a.deadline) {
			g.failed(seq, now)
		}
	}
}

func sortedSeqs(m map[uint64]*attempt) []uint64 {
	seqs := make([]uint64, 0, len(m))
	for seq := range m {
		seqs = append(seqs, seq)
	}
	slices.Sort(seqs)
	return seqs
}

func (g *Group) failed(seq uint64, now time.Time) {
	a := g.pending[seq]
	if a == nil || g.self == nil {
		return
	}
	delete(g.pending, seq)
	switch {
	case a.helping:
		g.emit(Answer{a.call, ProbeForAnswer{}})
	case a.round == nil || a.round.done:
	case a.indirect:
		g.helperDone(a.round, now)
	default:
		g.askHelpers(a.round, now)
	}
}

func (g *Group) askHelpers(r *round, now time.Time) {
	target := g.members[r.target]
	if target == nil {
		return
	}
	ids := g.randomMembers(helpers, r.target)
	r.waiting = len(ids) + 1
	g.sweep(target, len(g.ring) <= smallGroup, now)
	for _, id := range ids {
		g.post(id, ProbeFor{Service: g.service, From: g.self.ID, Target: target.Member}, indirectTimeout,
			&attempt{round: r, indirect: true}, now)
	}
	g.helperDone(r, now)
}

// helperDone suspects the target when the last helper is done and none reached it.
func (g *Group) helperDone(r *round, now time.Time) {
	r.waiting--
	if r.done || r.waiting > 0 {
		return
	}
	r.done = true
	target := g.members[r.target]
	if target == nil || target.State != toucanbalance.Alive {
		return
	}
	if !r.helped {
		g.sweep(target, true, now)
	}
	if r.helped || now.Sub(g.heard) <= heardTime {
		g.change(target, toucanbalance.Suspect, now)
	}
}
