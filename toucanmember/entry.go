package toucanmember

import (
	"math/rand/v2"
	"slices"
	"time"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucanclock"
)

const (
	// PollPeriod is how often an entry polls one member of a called service.
	PollPeriod = 2 * time.Second
	// pollTimeout lets an entry poll two members and still be up to date within 5 s
	// of a crash.
	pollTimeout = 500 * time.Millisecond
	// refusedOverrideTime is how long a server that refused a call counts as leaving
	// while the view says otherwise.
	refusedOverrideTime = 30 * time.Second
	// unreachableOverrideTime and maxUnreachableOverride are the minimum and maximum
	// time for which a server that this entry could not reach counts as suspect while
	// the other members see it alive.
	unreachableOverrideTime = 3 * time.Second
	maxUnreachableOverride  = time.Minute
	// doubtsToAccept is the number of members that must set Doubt in their answer, or
	// not answer after another member did, before an entry accepts a doubted view.
	doubtsToAccept = 2
	// minContactsDelay and maxContactsDelay bound the delay between reads of the
	// contacts. While the KV is reachable, maxContactsDelayReachable is the maximum,
	// because the contacts change within seconds when all members are replaced.
	minContactsDelay          = time.Second
	maxContactsDelay          = 30 * time.Second
	maxContactsDelayReachable = 5 * time.Second
)

// Entry is the view that an entry has of one service that it calls. It is not
// safe for concurrent use.
type Entry struct {
	clock      toucanclock.Clock
	random     *rand.Rand
	service    string
	id         string
	dataCentre string
	subset     int

	members   map[string]Member
	overrides map[string]stateOverride
	contacts  []string
	revision  uint64

	source        string // member that gave the last answer without Doubt
	version       uint64 // version of the view at source
	nextPoll      time.Time
	pollSeq       uint64 // of the pending poll, 0 if none
	polledMember  string // member of the pending poll
	pollDeadline  time.Time
	excluded      []string // members that failed or doubted their view in this round
	doubtedAnswer *ViewAnswer
	doubtCount    int // polls since the first doubted answer of this round, with it

	nextContactsRead time.Time
	readingContacts  bool
	contactsReads    int // since the last answer without Doubt
	effects          []Effect
}

// stateOverride is a state of a server that this entry has detected itself. It
// overrides the state in the members' view.
type stateOverride struct {
	state       toucanbalance.State
	incarnation int64
	refutations uint32
	until       time.Time
	count       int // successive overrides of this server
}

// NewEntry returns the view of a service for the node with the given id. It
// starts to poll with the first Tick.
func NewEntry(clock toucanclock.Clock, random *rand.Rand, service, id, dataCentre string) *Entry {
	return &Entry{
		clock: clock, random: random, service: service, id: id, dataCentre: dataCentre,
		subset:    toucanbalance.DefaultSubset,
		members:   make(map[string]Member),
		overrides: make(map[string]stateOverride),
	}
}

// Step handles one event and returns the effects for the caller to carry out.
func (e *Entry) Step(event Event) []Effect {
	e.effects = nil
	now := e.clock.Now()
	switch v := event.(type) {
	case Tick:
		e.handleTick(now)
	case Contacts:
		e.handleContacts(v, now)
	case Reply:
		if a, ok := v.Message.(ViewAnswer); ok && v.Seq == e.pollSeq && e.pollSeq != 0 {
			e.handleAnswer(a, now)
		}
	case Failure:
		if v.Seq == e.pollSeq && e.pollSeq != 0 {
			e.handlePollFailure(now)
		}
	case Revision:
		e.revision = max(e.revision, v.Number)
	case ServerRefused:
		e.overrideState(v.ID, toucanbalance.Leaving, refusedOverrideTime, now)
	case ServerUnreachable:
		count := e.overrides[v.ID].count
		e.overrideState(v.ID, toucanbalance.Suspect, min(unreachableOverrideTime<<min(count, 10), maxUnreachableOverride), now)
	}
	return e.effects
}

func (e *Entry) emit(f Effect) { e.effects = append(e.effects, f) }

// ContactIDs returns the ids of the known members, or of the contacts if no member is
// known. Another node asks for them when its KV is unreachable.
func (e *Entry) ContactIDs() []string {
	if len(e.members) == 0 {
		return slices.Clone(e.contacts)
	}
	return sortedKeys(e.members)
}

// Servers returns the servers of the view with the overrides applied, for the
// picker.
func (e *Entry) Servers() []toucanbalance.Server {
	now := e.clock.Now()
	out := make([]toucanbalance.Server, 0, len(e.members))
	for _, id := range sortedKeys(e.members) {
		s := e.members[id].Server
		if o, ok := e.overrides[id]; ok && e.overrideActive(o, now) && stateOrder[o.state] > stateOrder[s.State] && e.overrideApplies(o, e.members[id]) {
			s.State = o.state
		}
		out = append(out, s)
	}
	return out
}

func (e *Entry) overrideActive(o stateOverride, now time.Time) bool { return now.Before(o.until) }

// overrideApplies reports whether the override still holds for the member. A
// restart of the member ends it; a refutation ends one with a state other than
// Suspect.
func (e *Entry) overrideApplies(o stateOverride, member Member) bool {
	return o.incarnation == member.Incarnation &&
		(o.state == toucanbalance.Suspect || o.refutations == member.Refutations)
}

// overrideState overrides the state of a server for the duration d.
func (e *Entry) overrideState(id string, s toucanbalance.State, d time.Duration, now time.Time) {
	member, ok := e.members[id]
	if !ok {
		return
	}
	old := e.overrides[id]
	if e.overrideActive(old, now) && old.state == s {
		return // concurrent failed calls count once
	}
	e.overrides[id] = stateOverride{s, member.Incarnation, member.Refutations, now.Add(d), old.count + 1}
	if id == e.source {
		e.source, e.version = "", 0
	}
	e.emit(ViewChanged{e.Servers()})
}

// expireOverrides removes expired overrides. They are kept for another
// maxUnreachableOverride, in which a new failure doubles the next override.
func (e *Entry) expireOverrides(now time.Time) {
	changed := false
	for id, o := range e.overrides {
		if !e.overrideActive(o, now) {
			changed = changed || now.Sub(o.until) < 2*TickPeriod
			if now.Sub(o.until) > maxUnreachableOverride {
				delete(e.overrides, id)
			}
		}
	}
	if changed {
		e.emit(ViewChanged{e.Servers()})
	}
}

func (e *Entry) handleTick(now time.Time) {
	e.expireOverrides(now)
	if e.pollSeq != 0 && !now.Before(e.pollDeadline) {
		e.handlePollFailure(now)
	}
	if e.pollSeq == 0 && !now.Before(e.nextPoll) {
		e.poll(now)
	}
}

// poll polls the member chosen by pollTarget and ends the round if there is none.
func (e *Entry) poll(now time.Time) {
	target := e.pollTarget()
	if target == "" {
		e.endRound(now)
		return
	}
	e.polledMember, e.pollDeadline = target, now.Add(pollTimeout)
	version := e.version
	if target != e.source {
		version = 0
	}
	e.renewPollSeq()
	e.emit(Send{Seq: e.pollSeq, To: target, Timeout: pollTimeout, Message: ViewRequest{
		Service: e.service, Entry: e.id, DataCentre: e.dataCentre, Subset: e.subset,
		Version: version, Digest: digestOf(e.memberList()),
	}})
}

func (e *Entry) renewPollSeq() {
	e.pollSeq = e.random.Uint64() | 1
}

func (e *Entry) memberList() (out []Member) {
	for _, m := range e.members {
		out = append(out, m)
	}
	return out
}

// pollTarget returns the id of the member to poll, or "" if there is none. It
// prefers the source, then a random member of the first non-empty group: alive
// members in this data centre, other alive members, contacts, other members.
// Excluded members are skipped.
func (e *Entry) pollTarget() string {
	if e.source != "" && !slices.Contains(e.excluded, e.source) {
		return e.source
	}
	var local, remote, notAlive []string
	for _, s := range e.Servers() {
		switch {
		case slices.Contains(e.excluded, s.ID):
		case s.State != toucanbalance.Alive:
			notAlive = append(notAlive, s.ID)
		case s.DataCentre == e.dataCentre:
			local = append(local, s.ID)
		default:
			remote = append(remote, s.ID)
		}
	}
	var contacts []string
	for _, id := range e.contacts {
		if !slices.Contains(e.excluded, id) {
			contacts = append(contacts, id)
		}
	}
	for _, ids := range [][]string{local, remote, contacts, notAlive} {
		if len(ids) > 0 {
			return ids[e.random.IntN(len(ids))]
		}
	}
	return ""
}

func (e *Entry) handlePollFailure(now time.Time) {
	e.pollSeq = 0
	e.excluded = append(e.excluded, e.polledMember)
	if e.polledMember == e.source {
		e.source, e.version = "", 0
	}
	e.continueRound(now)
}

// continueRound polls the next member, or ends the round if the doubted view is
// to be accepted.
func (e *Entry) continueRound(now time.Time) {
	if e.doubtedAnswer != nil {
		e.doubtCount++
	}
	if e.doubtCount >= doubtsToAccept {
		e.endRound(now)
		return
	}
	e.poll(now)
}

// endRound ends a round in which no member gave an answer without Doubt. A doubted
// answer is applied if there is one. Otherwise the old view stays in use and the
// contacts are read again.
func (e *Entry) endRound(now time.Time) {
	e.excluded, e.doubtCount = nil, 0
	e.nextPoll = now.Add(e.jitter(PollPeriod))
	if e.doubtedAnswer != nil {
		a := *e.doubtedAnswer
		e.doubtedAnswer = nil
		e.applyAnswer(a)
		return
	}
	if !e.readingContacts && !now.Before(e.nextContactsRead) {
		e.readingContacts = true
		e.emit(ReadContacts{})
	}
}

func (e *Entry) handleContacts(c Contacts, now time.Time) {
	e.readingContacts = false
	maxDelay := maxContactsDelay
	if c.Known {
		maxDelay = maxContactsDelayReachable
	}
	e.nextContactsRead = now.Add(e.jitter(min(minContactsDelay<<min(e.contactsReads, 5), maxDelay)))
	e.contactsReads++
	if !c.Known {
		if !c.FromPeers {
			e.emit(AskPeersForContacts{})
		}
		return
	}
	e.contacts = c.Addresses
	if e.pollSeq == 0 && len(c.Addresses) > 0 {
		e.nextPoll = now
		e.poll(now)
	}
}

func (e *Entry) handleAnswer(a ViewAnswer, now time.Time) {
	e.pollSeq = 0
	if a.Revision > e.revision {
		e.emit(FetchConfiguration{From: e.polledMember, Revision: a.Revision})
	}
	if a.Doubt {
		if a.Full || e.doubtedAnswer == nil {
			e.doubtedAnswer = &a
		}
		e.excluded = append(e.excluded, e.polledMember)
		e.continueRound(now)
		return
	}
	e.doubtCount = 0
	e.source, e.version = e.polledMember, a.Version
	e.excluded, e.doubtedAnswer, e.contactsReads = nil, nil, 0
	e.nextPoll = now.Add(e.jitter(PollPeriod))
	e.applyAnswer(a)
}

// applyAnswer updates the view from an answer and emits ViewChanged if it changed.
func (e *Entry) applyAnswer(a ViewAnswer) {
	before := digestOf(e.memberList())
	previous := e.members
	if a.Full {
		e.members = make(map[string]Member, len(a.Members))
	}
	for _, m := range a.Members {
		old, known := previous[m.ID]
		switch {
		case !m.valid():
		case known && isOutdated(m, old):
			e.members[m.ID] = old
		case m.State == Removed:
			delete(e.members, m.ID)
		default:
			e.members[m.ID] = m
		}
	}
	if digestOf(e.memberList()) != before {
		e.emit(ViewChanged{e.Servers()})
	}
}

// isOutdated reports whether the received record m is older than the known record
// old. A suspicion in old does not count. The member that reported it may have
// crashed before telling others, and the suspected member would then never refute
// it.
func isOutdated(m, old Member) bool {
	if old.State == toucanbalance.Suspect {
		old.State = toucanbalance.Alive
	}
	return old.Supersedes(m)
}

// jitter returns a random delay of 90% to 100% of d, so that entries do not poll
// at the same time.
func (e *Entry) jitter(d time.Duration) time.Duration {
	return d - time.Duration(e.random.Int64N(int64(d/10)+1))
}
