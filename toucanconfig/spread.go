package toucanconfig

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"toucanhaven/toucanclock"
	"toucanhaven/toucankv"
)

const (
	// pushFanout is the number of members that a node pushes a newly installed
	// document to. With 4, all but about 2% of a large service get it by push;
	// the revision on the probes reaches the others.
	pushFanout = 4
	// watchers is the number of members that watch the key-value service.
	watchers = 2
	// WatchWait is the wait of one watch. With 3,500 services and two watchers
	// each, 5 minutes cost about 23 calls a second.
	WatchWait = 5 * time.Minute
	// startAnswers is the number of peers a starting or resumed node asks.
	startAnswers = 3
	// startWait is how long a starting node waits for the other answers after the
	// first one.
	startWait = 2 * time.Second
	// fetchTimeout frees a node from a peer that does not answer a fetch.
	fetchTimeout = time.Second
	// silenceLimit is how long a node goes without a revision from any member, due
	// every second or two, before it asks one itself. Without it, an entry whose
	// polls went to a frozen member was late by 0.6 s in one of 2,812 schedules.
	silenceLimit = 2500 * time.Millisecond
	// pauseLimit is the gap between two ticks, due every second, after which the
	// process counts as paused.
	pauseLimit = 3 * time.Second
	// Failed watches are retried after a doubling delay. At the longest one the
	// 7,000 watchers of 3,500 services make about 930 calls a second, within the
	// rate that the key-value service handles when it returns.
	firstWatchDelay   = time.Second
	longestWatchDelay = 10 * time.Second
	// idleWatchDelay follows a watch that brought nothing new. The protocol lets
	// watches of an absent key return on writes of other keys, which would
	// otherwise turn into a loop.
	idleWatchDelay = time.Second
)

// Event is what happened at a node with regard to one service. It is one of
// TickEvent, MembersEvent, PeerRevisionEvent, DocumentEvent, FetchFailedEvent,
// WatchEvent and ReadEvent.
type Event interface{ event() }

// TickEvent is due once a second.
type TickEvent struct{}

// MembersEvent replaces the live view of the service. It includes the node
// itself when it is a member.
type MembersEvent struct{ Members []string }

// PeerRevisionEvent says which revision a peer has, as learned from a probe, a poll or
// an answer.
type PeerRevisionEvent struct {
	From     string
	Revision uint64
}

// DocumentEvent is a document that a peer pushed or answered a fetch with, or
// with an empty From one that was applied at this node.
type DocumentEvent struct {
	From     string
	Document Document
}

// FetchFailedEvent says that a peer did not answer a fetch. An answer without a
// newer document is a PeerRevisionEvent.
type FetchFailedEvent struct{ From string }

// WatchEvent is the result of a WatchEffect.
type WatchEvent struct {
	Snapshot toucankv.Snapshot
	Err      error
}

// ReadEvent is the result of a ReadEffect; a missing key has the error of a Get.
type ReadEvent struct {
	Pair toucankv.Pair
	Err  error
}

func (TickEvent) event()         {}
func (MembersEvent) event()      {}
func (PeerRevisionEvent) event() {}
func (DocumentEvent) event()     {}
func (FetchFailedEvent) event()  {}
func (WatchEvent) event()        {}
func (ReadEvent) event()         {}

// Effect is what the daemon must do. It is one of PushEffect, FetchEffect,
// WatchEffect, StopWatchEffect, ReadEffect, InstalledEffect and RejectedEffect.
type Effect interface{ effect() }

// PushEffect sends a document to a peer. The revision in the peer's answer, if
// any, is a PeerRevisionEvent.
type PushEffect struct {
	To       string
	Document Document
}

// FetchEffect asks a peer for a document newer than a revision.
type FetchEffect struct {
	From  string
	Newer uint64
}

// WatchEffect starts a watch of the service's key after a delay, and ends the
// one before, whose result must be discarded.
type WatchEffect struct {
	Key   string
	Index uint64
	Wait  time.Duration
	Delay time.Duration
}

// StopWatchEffect ends the watch.
type StopWatchEffect struct{}

// ReadEffect reads the service's key.
type ReadEffect struct{ Key string }

// InstalledEffect says that a document is in force from now on.
type InstalledEffect struct{ Document Document }

// RejectedEffect says that the key-value service holds a document that this node
// cannot read. The one before stays in force.
type RejectedEffect struct{ Err error }

func (PushEffect) effect()      {}
func (FetchEffect) effect()     {}
func (WatchEffect) effect()     {}
func (StopWatchEffect) effect() {}
func (ReadEffect) effect()      {}
func (InstalledEffect) effect() {}
func (RejectedEffect) effect()  {}

// Replicator decides for one node how the documents of one service reach it and
// travel on. Members of the service watch and push; a node that only calls the
// service fetches what it hears of.
type Replicator struct {
	service string
	self    string
	clock   toucanclock.Clock
	random  *rand.Rand
	store   *Store

	members    []string
	watching   bool
	watchIndex uint64
	watchDelay time.Duration
	heard      map[string]uint64 // revisions of live members
	fetching   map[string]time.Time
	lastTick   time.Time
	lastHeard  time.Time // from any member
	avoid      string    // member that failed to answer last
	starting   bool
	firstHeard time.Time // first answer while starting
	pending    int       // answers still due while starting
}

// NewReplicator returns the spread of one service at the node self. It installs into
// the store, which the spreads of a node share.
func NewReplicator(service, self string, clock toucanclock.Clock, random *rand.Rand, store *Store) *Replicator {
	return &Replicator{
		service: service, self: self, clock: clock, random: random, store: store,
		heard: map[string]uint64{}, fetching: map[string]time.Time{}, lastTick: clock.Now(), lastHeard: clock.Now(),
	}
}

// Start asks peers and the key-value service for the highest revision.
func (s *Replicator) Start(members []string) []Effect {
	s.starting = true
	effects := s.setMembers(members)
	fetches := s.fetchFrom(s.choose(startAnswers, nil))
	s.pending = len(fetches) + 1
	return append(append(effects, fetches...), ReadEffect{Key: Key(s.service)})
}

// Ready reports whether the node may serve the service: all peers and the
// key-value service have answered or failed, or two seconds have passed, with at
// least one answer.
func (s *Replicator) Ready() bool {
	if !s.starting {
		return true
	}
	if s.firstHeard.IsZero() {
		return false
	}
	complete := s.pending <= 0 && len(s.choose(1, s.isAhead)) == 0
	return complete || s.clock.Now().Sub(s.firstHeard) >= startWait
}

// isAhead reports whether a peer is known to have a newer revision.
func (s *Replicator) isAhead(id string) bool { return s.heard[id] > s.Revision() }

// Revision returns the revision in force, to be piggybacked.
func (s *Replicator) Revision() uint64 {
	d, _ := s.store.Get(s.service)
	return d.Revision()
}

// Step takes an event and returns what to do.
func (s *Replicator) Step(e Event) []Effect {
	switch e := e.(type) {
	case TickEvent:
		return s.tick()
	case MembersEvent:
		return s.setMembers(e.Members)
	case PeerRevisionEvent:
		return s.hear(e.From, e.Revision, s.answered(e.From))
	case DocumentEvent:
		s.answered(e.From)
		// A node outside the service passes on only what was applied at it.
		return s.receive(e.From, e.Document, e.From == "" || s.isMember(s.self) && s.Ready())
	case FetchFailedEvent:
		s.failed(e.From)
		return s.fetchNewer()
	case WatchEvent:
		return s.watched(e)
	case ReadEvent:
		return s.read(e)
	}
	return nil
}

func (s *Replicator) tick() []Effect {
	now := s.clock.Now()
	// The monotonic reading stands still while a VM is suspended; the wall clock
	// does not.
	gap := max(now.Sub(s.lastTick), now.Round(0).Sub(s.lastTick.Round(0)))
	s.lastTick = now
	for from, at := range s.fetching {
		if now.Sub(at) >= fetchTimeout {
			s.failed(from)
		}
	}
	if gap > pauseLimit {
		return s.revalidate()
	}
	if s.starting && s.firstHeard.IsZero() && s.pending <= 0 {
		return s.Start(s.members) // Nobody answered; ask again.
	}
	return s.fetchNewer()
}

// revalidate asks peers and restarts the watch after a pause: what the node
// holds, hears and waits for may be old.
func (s *Replicator) revalidate() []Effect {
	clear(s.heard)
	clear(s.fetching)
	effects := s.fetchFrom(s.choose(startAnswers, nil))
	if s.watching {
		return append(effects, s.watch(0, 0))
	}
	if len(effects) == 0 {
		return append(effects, ReadEffect{Key: Key(s.service)})
	}
	return effects
}

func (s *Replicator) setMembers(members []string) (effects []Effect) {
	sorted := slices.Compact(slices.Sorted(slices.Values(members)))
	if slices.Equal(sorted, s.members) {
		return nil
	}
	s.members = sorted
	for id := range s.heard {
		if !s.isMember(id) {
			delete(s.heard, id)
		}
	}
	watching := slices.Contains(s.watchers(), s.self)
	if watching == s.watching {
		return nil
	}
	s.watching = watching
	if !watching {
		return []Effect{StopWatchEffect{}}
	}
	s.watchDelay = 0
	return []Effect{s.watch(0, 0)}
}

func (s *Replicator) isMember(id string) bool {
	_, ok := slices.BinarySearch(s.members, id)
	return ok
}

// watchers returns the members with the lowest hashes. Every member computes the
// same ones from the same view, and the services' watches spread over the nodes.
func (s *Replicator) watchers() []string {
	hash := func(id string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(s.service + "\x00" + id))
		return h.Sum64()
	}
	ordered := slices.SortedFunc(slices.Values(s.members), func(a, b string) int {
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
	})
	return ordered[:min(watchers, len(ordered))]
}

// hear takes note of a peer's revision. After an answer to a fetch, which held no
// document, the next fetch waits for a tick, so that a peer that claims more than
// it has causes no loop.
func (s *Replicator) hear(from string, revision uint64, answer bool) []Effect {
	s.note(from, revision)
	if answer || revision <= s.Revision() || len(s.fetching) > 0 {
		return nil
	}
	return s.fetchFrom([]string{from})
}

// note remembers the revision of a member.
func (s *Replicator) note(from string, revision uint64) {
	if s.isMember(from) {
		s.heard[from] = revision
		s.lastHeard = s.clock.Now()
	}
}

// fetchNewer asks one of the members known to have a newer revision, or any
// member after a silence.
func (s *Replicator) fetchNewer() []Effect {
	if len(s.fetching) > 0 {
		return nil
	}
	peers := s.choose(1, s.isAhead)
	if silent := s.clock.Now().Sub(s.lastHeard) > silenceLimit; silent && len(peers) == 0 {
		peers = s.choose(1, func(id string) bool { return id != s.avoid })
		if len(peers) == 0 {
			peers = s.choose(1, nil)
		}
	}
	return s.fetchFrom(peers)
}

func (s *Replicator) fetchFrom(peers []string) (effects []Effect) {
	for _, peer := range peers {
		s.fetching[peer] = s.clock.Now()
		effects = append(effects, FetchEffect{From: peer, Newer: s.Revision()})
	}
	return effects
}

// choose returns up to n random members other than the node itself.
func (s *Replicator) choose(n int, accept func(id string) bool) (chosen []string) {
	for _, id := range s.members {
		if id != s.self && (accept == nil || accept(id)) {
			chosen = append(chosen, id)
		}
	}
	n = min(n, len(chosen))
	for i := range n {
		j := i + s.random.IntN(len(chosen)-i)
		chosen[i], chosen[j] = chosen[j], chosen[i]
	}
	return chosen[:n]
}

// answered takes note of an answer of a peer, and reports whether a fetch was
// waiting for it.
func (s *Replicator) answered(from string) bool {
	_, ok := s.fetching[from]
	if ok {
		delete(s.fetching, from)
		s.countAnswer(true)
	}
	return ok
}

// failed takes note of a fetch without an answer. The peer is not asked again
// until it is heard of.
func (s *Replicator) failed(from string) {
	if _, ok := s.fetching[from]; ok {
		delete(s.fetching, from)
		s.countAnswer(false)
	}
	delete(s.heard, from)
	s.avoid = from
}

func (s *Replicator) countAnswer(ok bool) {
	s.pending--
	if ok && s.firstHeard.IsZero() {
		s.firstHeard = s.clock.Now()
	}
}

// receive installs a newer document and passes it on.
func (s *Replicator) receive(from string, d Document, passOn bool) []Effect {
	if d.Service() != s.service {
		return nil
	}
	s.note(from, d.Revision())
	current, _ := s.store.Get(s.service)
	if d.Revision() == current.Revision() && d.Nonce() != current.Nonce() {
		return []Effect{RejectedEffect{Err: fmt.Errorf("revision %d exists twice, by %s and by %s", d.Revision(), current.Author(), d.Author())}}
	}
	if !s.store.Install(d) {
		return nil
	}
	effects := []Effect{InstalledEffect{Document: d}}
	if !passOn {
		return effects
	}
	behind := func(id string) bool { return s.heard[id] < d.Revision() }
	for _, peer := range s.choose(pushFanout, behind) {
		effects = append(effects, PushEffect{To: peer, Document: d})
	}
	return effects
}

func (s *Replicator) watched(e WatchEvent) []Effect {
	if !s.watching {
		return nil
	}
	if e.Err != nil {
		s.watchDelay = min(max(2*s.watchDelay, firstWatchDelay), longestWatchDelay)
		half := s.watchDelay / 2
		return []Effect{s.watch(s.watchIndex, half+time.Duration(s.random.Int64N(int64(half)+1)))}
	}
	s.watchDelay = 0
	effects := s.install(e.Snapshot.Pair, e.Snapshot.Exists)
	delay := idleWatchDelay
	if len(effects) > 0 {
		delay = 0
	}
	return append(effects, s.watch(e.Snapshot.Index, delay))
}

func (s *Replicator) watch(index uint64, delay time.Duration) Effect {
	s.watchIndex = index
	return WatchEffect{Key: Key(s.service), Index: index, Wait: WatchWait, Delay: delay}
}

func (s *Replicator) read(e ReadEvent) []Effect {
	missing := isMissing(e.Err)
	s.countAnswer(e.Err == nil || missing)
	return s.install(e.Pair, e.Err == nil)
}

// install puts in force what the key-value service holds.
func (s *Replicator) install(pair toucankv.Pair, exists bool) []Effect {
	if !exists {
		return nil
	}
	d, err := Decode(pair.Value)
	if err != nil {
		return []Effect{RejectedEffect{Err: err}}
	}
	return s.receive("", d, s.isMember(s.self) && s.Ready())
}
