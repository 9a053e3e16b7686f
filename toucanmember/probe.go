package toucanmember

import (
	"slices"
	"strconv"
	"time"

	"toucanhaven/toucanbalance"
)

const (
	// probeTimeout covers a round trip between the farthest regions and the response
	// time of a busy peer.
	probeTimeout = 300 * time.Millisecond
	// indirectProbeTimeout covers a helper's own probe and the round trip to the
	// helper.
	indirectProbeTimeout = 500 * time.Millisecond
	// helperCount is the number of members asked to probe a target on this member's
	// behalf.
	helperCount = 3
	// correlatedProbeBatch is the number of members of the target's data centre that
	// are probed at once when a probe fails, because the whole data centre may be
	// unreachable. Without these probes, the smaller side of a partition of 20
	// members took over 15 s to detect it.
	correlatedProbeBatch = 4
	// smallGroupSize is the group size up to which a failed probe causes probes of
	// members in any data centre, since each may be the only one in its data centre.
	smallGroupSize = 5
	// maxProbedTargets limits the targets that are being probed when a failed probe
	// causes further probes.
	maxProbedTargets = 8
	// maxReceiveAge is the maximum time since the last message from any node for this
	// member to suspect a target that neither it nor a helper reached, when no helper
	// answered. After a longer time without messages, this member may itself be cut off.
	maxReceiveAge = 2 * time.Second
	// removedProbePeriod is the mean time between the probes that one removed member
	// receives from the whole group.
	removedProbePeriod = 5 * time.Second
)

// pendingMessage is a sent message without a reply so far. The failure of a
// message without round and onBehalf has no effect.
type pendingMessage struct {
	deadline time.Time
	round    *probeRound // the round of a probe or an indirect probe
	indirect bool        // the message is a ProbeFor
	call     uint64      // the ProbeFor request that an onBehalf probe answers
	onBehalf bool        // the probe was requested by a ProbeFor
}

// probeRound is one probe of one target with its indirect probes.
type probeRound struct {
	target             string
	done               bool
	helpersPending     int
	helperMissedTarget bool // a helper reported that the target did not answer it
}

// sendMessage sends a message and adds it to the pending ones.
func (g *Group) sendMessage(to string, m Message, timeout time.Duration, p *pendingMessage, now time.Time) {
	g.lastSeq++
	p.deadline = now.Add(timeout)
	g.pending[g.lastSeq] = p
	g.emit(Send{Seq: g.lastSeq, To: to, Message: m, Timeout: timeout})
}

// probeNextMember sends this second's probe when it is due. All members derive
// from the second the same rotation of the sorted ring, which determines the
// target of each member, so every member is probed about once a second. If members
// chose targets independently, one in twenty members would not be probed for 3 s.
func (g *Group) probeNextMember(now time.Time) {
	second := now.UnixMilli() / 1000
	if second == g.lastProbeSecond {
		return
	}
	g.refreshRing()
	if len(g.ring) < 2 {
		g.lastProbeSecond = second
		g.probeRemoved(now)
		return
	}
	rotation := 1 + toucanbalance.Hash(g.service, strconv.FormatInt(second, 10))%uint64(len(g.ring)-1)
	i, _ := slices.BinarySearch(g.ring, g.self.ID)
	target := g.ring[(i+int(rotation))%len(g.ring)]
	// The time within the second depends on the target only, so that the probes it
	// receives from different members are a second apart.
	if now.UnixMilli()%1000 < int64(toucanbalance.Hash("phase", target)%900) {
		return
	}
	g.lastProbeSecond = second
	g.probeMember(target, now)
	g.probeRemoved(now)
}

func (g *Group) probeMember(id string, now time.Time) {
	g.sendMessage(id, g.probeMessage(id), probeTimeout, &pendingMessage{round: &probeRound{target: id}}, now)
}

// probeCorrelated probes members that may have failed together with the target:
// members of its data centre or, if anyDataCentre is set, of any data centre.
func (g *Group) probeCorrelated(target *record, anyDataCentre bool, now time.Time) {
	probed := map[string]bool{target.ID: true}
	for _, p := range g.pending {
		if p.round != nil {
			probed[p.round.target] = true
		}
	}
	started := 0
	for _, id := range g.randomMembers(len(g.ring), target.ID) {
		if started >= correlatedProbeBatch || len(probed) >= maxProbedTargets {
			return
		}
		if !probed[id] && (anyDataCentre || g.members[id].DataCentre == target.DataCentre) {
			probed[id] = true
			started++
			g.probeMember(id, now)
		}
	}
}

// probeRemoved occasionally probes a random removed member. That member may have
// been paused or cut off, or a new node may have its address.
func (g *Group) probeRemoved(now time.Time) {
	var removed []string
	for id, r := range g.members {
		if r.State == Removed {
			removed = append(removed, id)
		}
	}
	chance := float64(len(removed)) / (removedProbePeriod.Seconds() * float64(max(len(g.ring), 1)))
	if len(removed) == 0 || g.random.Float64() >= chance {
		return
	}
	slices.Sort(removed)
	id := removed[g.random.IntN(len(removed))]
	g.sendMessage(id, g.probeMessage(id), probeTimeout, &pendingMessage{}, now)
}

// probeFor probes a target on behalf of another member.
func (g *Group) probeFor(m ProbeFor, call uint64, now time.Time) {
	g.mergeMember(m.Target, now)
	id := m.Target.ID
	if id == g.self.ID || id == "" {
		g.emit(Answer{call, ProbeForAnswer{Reached: id != ""}})
		return
	}
	g.sendMessage(id, g.probeMessage(id), probeTimeout, &pendingMessage{onBehalf: true, call: call}, now)
}

func (g *Group) handleReply(e Reply, now time.Time) {
	p := g.pending[e.Seq]
	if p == nil || g.self == nil {
		return
	}
	delete(g.pending, e.Seq)
	g.lastReceived = now
	switch m := e.Message.(type) {
	case Probe:
		g.mergeProbe(m, now)
		if p.round != nil {
			p.round.done = true
		}
		if p.onBehalf {
			g.emit(Answer{p.call, ProbeForAnswer{Reached: true}})
		}
	case ProbeForAnswer:
		p.round.done = p.round.done || m.Reached
		p.round.helperMissedTarget = p.round.helperMissedTarget || !m.Reached
		g.helperDone(p.round, now)
	case SyncAnswer:
		g.mergeSyncAnswer(m, now)
	}
}

// expirePending fails the pending messages whose deadline has passed.
func (g *Group) expirePending(now time.Time) {
	for _, seq := range sortedSeqs(g.pending) {
		if p := g.pending[seq]; p != nil && !now.Before(p.deadline) {
			g.handleFailure(seq, now)
		}
	}
}

func sortedSeqs(m map[uint64]*pendingMessage) []uint64 {
	seqs := make([]uint64, 0, len(m))
	for seq := range m {
		seqs = append(seqs, seq)
	}
	slices.Sort(seqs)
	return seqs
}

func (g *Group) handleFailure(seq uint64, now time.Time) {
	p := g.pending[seq]
	if p == nil || g.self == nil {
		return
	}
	delete(g.pending, seq)
	switch {
	case p.onBehalf:
		g.emit(Answer{p.call, ProbeForAnswer{}})
	case p.round == nil || p.round.done:
	case p.indirect:
		g.helperDone(p.round, now)
	default:
		g.askHelpers(p.round, now)
	}
}

func (g *Group) askHelpers(r *probeRound, now time.Time) {
	target := g.members[r.target]
	if target == nil {
		return
	}
	ids := g.randomMembers(helperCount, r.target)
	r.helpersPending = len(ids) + 1
	g.probeCorrelated(target, len(g.ring) <= smallGroupSize, now)
	for _, id := range ids {
		g.sendMessage(id, ProbeFor{Service: g.service, From: g.self.ID, Target: target.Member}, indirectProbeTimeout,
			&pendingMessage{round: r, indirect: true}, now)
	}
	g.helperDone(r, now)
}

// helperDone counts down the helpers of a round. After the last one it suspects
// the target if no helper reached it. If no helper answered at all, it also probes
// members of any data centre, because not only the target's may be unreachable.
func (g *Group) helperDone(r *probeRound, now time.Time) {
	r.helpersPending--
	if r.done || r.helpersPending > 0 {
		return
	}
	r.done = true
	target := g.members[r.target]
	if target == nil || target.State != toucanbalance.Alive {
		return
	}
	if !r.helperMissedTarget {
		g.probeCorrelated(target, true, now)
	}
	if r.helperMissedTarget || now.Sub(g.lastReceived) <= maxReceiveAge {
		g.setState(target, toucanbalance.Suspect, now)
	}
}
