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
	// pollTimeout lets an entry try two members and still be up to date within 5 s
	// of a crash.
	pollTimeout = 500 * time.Millisecond
	// refusedTime is how long a refusal counts while the view says otherwise.
	refusedTime = 30 * time.Second
	// unreachableTime and unreachableMax bound how long a server that this entry
	// could not reach stays suspect while its members see it alive.
	unreachableTime = 3 * time.Second
	unreachableMax  = time.Minute
	// maxDoubts is the number of members that must doubt their own view, or not
	// answer after one that does, before an entry believes a doubted view.
	maxDoubts = 2
	// contactsPause and contactsMax bound the pause between reads of the contacts,
	// and answeredMax the one while the KV answers: the contacts of a service that
	// was replaced change within seconds.
	contactsPause = time.Second
	contactsMax   = 30 * time.Second
	answeredMax   = 5 * time.Second
)

// Entry is an entry's view of one service that it calls. It is not safe for
// concurrent use.
type Entry struct {
	clock      toucanclock.Clock
	random     *rand.Rand
	service    string
	id         string
	dataCentre string
	subset     int

	members  map[string]Member
	marks    map[string]mark
	contacts []string
	revision uint64

	source   string // member that answered last
	version  uint64 // its version of the view
	pollAt   time.Time
	seq      uint64 // of the poll under way; 0 when there is none
	asked    string // member of that poll
	deadline time.Time
	tried    []string // members that failed in this round
	doubted  *ViewAnswer
	doubts   int // doubted answers in this round

	readAt   time.Time // next read of the contacts
	reading  bool
	failures int
	out      []Effect
}

// mark is what this entry found out about a server by itself.
type mark struct {
	state       toucanbalance.State
	incarnation int64
	refutations uint32
	until       time.Time
	times       int
}

// NewEntry returns the view of a service for the node with the given id. It
// starts with the first Tick.
func NewEntry(clock toucanclock.Clock, random *rand.Rand, service, id, dataCentre string) *Entry {
	return &Entry{
		clock: clock, random: random, service: service, id: id, dataCentre: dataCentre,
		subset:  toucanbalance.DefaultSubset,
		members: make(map[string]Member),
		marks:   make(map[string]mark),
	}
}

// Step takes one event and returns what is to be done.
func (e *Entry) Step(event Event) []Effect {
	e.out = nil
	now := e.clock.Now()
	switch v := event.(type) {
	case Tick:
		e.tick(now)
	case Contacts:
		e.contactsRead(v, now)
	case Reply:
		if a, ok := v.Message.(ViewAnswer); ok && v.Seq == e.seq && e.seq != 0 {
			e.answered(a, now)
		}
	case Failure:
		if v.Seq == e.seq && e.seq != 0 {
			e.pollFailed(now)
		}
	case Revision:
		e.revision = max(e.revision, v.Number)
	case ServerRefused:
		e.mark(v.ID, toucanbalance.Leaving, refusedTime, now)
	case ServerUnreachable:
		times := e.marks[v.ID].times
		e.mark(v.ID, toucanbalance.Suspect, min(unreachableTime<<min(times, 10), unreachableMax), now)
	}
	return e.out
}

func (e *Entry) emit(f Effect) { e.out = append(e.out, f) }

// Members returns the ids of the members and contacts the entry knows, for a
// node that asks for contacts because its KV does not answer.
func (e *Entry) Members() []string {
	if len(e.members) == 0 {
		return slices.Clone(e.contacts)
	}
	return sortedKeys(e.members)
}

// Servers returns the servers as the picker should see them.
func (e *Entry) Servers() []toucanbalance.Server {
	now := e.clock.Now()
	out := make([]toucanbalance.Server, 0, len(e.members))
	for _, id := range sortedKeys(e.members) {
		s := e.members[id].Server
		if m, ok := e.marks[id]; ok && e.holds(m, now) && stateOrder[m.state] > stateOrder[s.State] && e.covers(m, e.members[id]) {
			s.State = m.state
		}
		out = append(out, s)
	}
	return out
}

func (e *Entry) holds(m mark, now time.Time) bool { return now.Before(m.until) }

// covers reports whether the member has not restarted or refuted since the mark.
func (e *Entry) covers(m mark, member Member) bool {
	return m.incarnation == member.Incarnation &&
		(m.state == toucanbalance.Suspect || m.refutations == member.Refutations)
}

// mark overrides the view of a server until the time is over.
func (e *Entry) mark(id string, s toucanbalance.State, d time.Duration, now time.Time) {
	member, ok := e.members[id]
	if !ok {
		return
	}
	old := e.marks[id]
	if e.holds(old, now) && old.state == s {
		return // calls that failed together count once
	}
	e.marks[id] = mark{s, member.Incarnation, member.Refutations, now.Add(d), old.times + 1}
	if id == e.source {
		e.source, e.version = "", 0
	}
	e.emit(ViewChanged{e.Servers()})
}

// expireMarks drops marks that ended, with a grace time in which a repeated
// failure still doubles the next one.
func (e *Entry) expireMarks(now time.Time) {
	changed := false
	for id, m := range e.marks {
		if !e.holds(m, now) {
			changed = changed || now.Sub(m.until) < 2*TickPeriod
			if now.Sub(m.until) > unreachableMax {
				delete(e.marks, id)
			}
		}
	}
	if changed {
		e.emit(ViewChanged{e.Servers()})
	}
}

func (e *Entry) tick(now time.Time) {
	e.expireMarks(now)
	if e.seq != 0 && !now.Before(e.deadline) {
		e.pollFailed(now)
	}
	if e.seq == 0 && !now.Before(e.pollAt) {
		e.poll(now)
	}
}

// poll asks the member that answered last, or another one.
func (e *Entry) poll(now time.Time) {
	target := e.target()
	if target == "" {
		e.roundFailed(now)
		return
	}
	e.asked, e.deadline = target, now.Add(pollTimeout)
	version := e.version
	if target != e.source {
		version = 0
	}
	e.sequence()
	e.emit(Send{Seq: e.seq, To: target, Timeout: pollTimeout, Message: ViewRequest{
		Service: e.service, Entry: e.id, DataCentre: e.dataCentre, Subset: e.subset,
		Version: version, Digest: digestOf(e.list()),
	}})
}

func (e *Entry) sequence() {
	e.seq = e.random.Uint64() | 1
}

func (e *Entry) list() (out []Member) {
	for _, m := range e.members {
		out = append(out, m)
	}
	return out
}

// target chooses the member to poll: the last one, a random alive one in this
// data centre, any alive one, any member, a contact. Members that failed in
// this round are left out.
func (e *Entry) target() string {
	if e.source != "" && !slices.Contains(e.tried, e.source) {
		return e.source
	}
	var near, alive, rest []string
	for _, s := range e.Servers() {
		switch {
		case slices.Contains(e.tried, s.ID):
		case s.State != toucanbalance.Alive:
			rest = append(rest, s.ID)
		case s.DataCentre == e.dataCentre:
			near = append(near, s.ID)
		default:
			alive = append(alive, s.ID)
		}
	}
	var contacts []string
	for _, id := range e.contacts {
		if !slices.Contains(e.tried, id) {
			contacts = append(contacts, id)
		}
	}
	for _, ids := range [][]string{near, alive, contacts, rest} {
		if len(ids) > 0 {
			return ids[e.random.IntN(len(ids))]
		}
	}
	return ""
}

func (e *Entry) pollFailed(now time.Time) {
	e.seq = 0
	e.tried = append(e.tried, e.asked)
	if e.asked == e.source {
		e.source, e.version = "", 0
	}
	e.pollNext(now)
}

// pollNext goes on with a round, unless enough members confirm a doubted view.
func (e *Entry) pollNext(now time.Time) {
	if e.doubted != nil {
		e.doubts++
	}
	if e.doubts >= maxDoubts {
		e.roundFailed(now)
		return
	}
	e.poll(now)
}

// roundFailed ends a round in which no member gave an undoubted answer. The old
// view stays in use; the contacts are read again.
func (e *Entry) roundFailed(now time.Time) {
	e.tried, e.doubts = nil, 0
	e.pollAt = now.Add(e.jitter(PollPeriod))
	if e.doubted != nil {
		a := *e.doubted
		e.doubted = nil
		e.install(a)
		return
	}
	if !e.reading && !now.Before(e.readAt) {
		e.reading = true
		e.emit(ReadContacts{})
	}
}

func (e *Entry) contactsRead(c Contacts, now time.Time) {
	e.reading = false
	longest := contactsMax
	if c.Known {
		longest = answeredMax
	}
	e.readAt = now.Add(e.jitter(min(contactsPause<<min(e.failures, 5), longest)))
	e.failures++
	if !c.Known {
		if !c.FromPeers {
			e.emit(AskPeersForContacts{})
		}
		return
	}
	e.contacts = c.Addresses
	if e.seq == 0 && len(c.Addresses) > 0 {
		e.pollAt = now
		e.poll(now)
	}
}

func (e *Entry) answered(a ViewAnswer, now time.Time) {
	e.seq = 0
	if a.Revision > e.revision {
		e.emit(FetchConfiguration{From: e.asked, Revision: a.Revision})
	}
	if a.Doubt {
		if a.Full || e.doubted == nil {
			e.doubted = &a
		}
		e.tried = append(e.tried, e.asked)
		e.pollNext(now)
		return
	}
	e.doubts = 0
	e.source, e.version = e.asked, a.Version
	e.tried, e.doubted, e.failures = nil, nil, 0
	e.pollAt = now.Add(e.jitter(PollPeriod))
	e.install(a)
}

// install takes in an answer and hands the view on when it has changed.
func (e *Entry) install(a ViewAnswer) {
	before := digestOf(e.list())
	known := e.members
	if a.Full {
		e.members = make(map[string]Member, len(a.Members))
	}
	for _, m := range a.Members {
		old, known := known[m.ID]
		switch {
		case !m.valid():
		case known && lagsBehind(m, old):
			e.members[m.ID] = old
		case m.State == Removed:
			delete(e.members, m.ID)
		default:
			e.members[m.ID] = m
		}
	}
	if digestOf(e.list()) != before {
		e.emit(ViewChanged{e.Servers()})
	}
}

// lagsBehind reports whether the member asked knows less than the one before. A
// suspicion alone is no proof: the member that had it may have died with it, and
// the suspected member, which never heard of it, will not refute it.
func lagsBehind(m, old Member) bool {
	if old.State == toucanbalance.Suspect {
		old.State = toucanbalance.Alive
	}
	return old.Supersedes(m)
}

// jitter spreads a delay over 90% to 100%, so that entries do not poll together.
func (e *Entry) jitter(d time.Duration) time.Duration {
	return d - time.Duration(e.random.Int64N(int64(d/10)+1))
}
