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
	// pushFanOut is the number of members that a node pushes a newly installed
	// document to. With 4, about 2% of the members of a large service get no push;
	// they learn of the revision from probes.
	pushFanOut = 4
	// watcherCount is the number of members that watch the key-value service.
	watcherCount = 2
	// WatchWait is how long one watch waits for a change. With 3,500 services and two
	// watchers each, 5 minutes cause about 23 calls a second.
	WatchWait = 5 * time.Minute
	// startFetches is the number of peers that a node fetches from when it starts or
	// resumes after a pause.
	startFetches = 3
	// maxStartWait is how long a starting node waits for further answers after the
	// first one.
	maxStartWait = 2 * time.Second
	// fetchTimeout is the timeout of a fetch from a peer. After it the node may fetch
	// from another one.
	fetchTimeout = time.Second
	// maxRevisionGap is the time without a revision from any member after which a
	// node fetches from one. Revisions normally arrive every one or two seconds.
	// Without this limit, an entry that polled a paused member exceeded the time
	// bound for a change by 0.6 s in one of 2,812 schedules.
	maxRevisionGap = 2500 * time.Millisecond
	// pauseThreshold is the time between two ticks above which the process counts as
	// having been paused. Ticks are due every second.
	pauseThreshold = 3 * time.Second
	// minWatchRetryDelay and maxWatchRetryDelay bound the exponential backoff after
	// failed watches, before jitter. At the maximum, the 7,000 watchers of 3,500
	// services make about 930 calls a second, which the key-value service can handle
	// when it is reachable again.
	minWatchRetryDelay = time.Second
	maxWatchRetryDelay = 10 * time.Second
	// idleWatchDelay is the delay after a watch that returned no new document. The
	// watch of an absent key may return when other keys are written, and without the
	// delay the node would then watch in a busy loop.
	idleWatchDelay = time.Second
)

// Event is an input of a Replicator. It is one of TickEvent, MembersEvent,
// PeerRevisionEvent, DocumentEvent, FetchFailedEvent, WatchEvent and ReadEvent.
type Event interface{ event() }

// TickEvent is due once a second.
type TickEvent struct{}

// MembersEvent replaces the list of alive members of the service. It includes the
// node itself if that is a member.
type MembersEvent struct{ Members []string }

// PeerRevisionEvent reports the revision of a peer, as received with a probe, a
// poll or a reply.
type PeerRevisionEvent struct {
	From     string
	Revision uint64
}

// DocumentEvent is a document that a peer pushed or sent in reply to a fetch. If
// From is empty, it is a document that was applied at this node.
type DocumentEvent struct {
	From     string
	Document Document
}

// FetchFailedEvent reports that a peer did not answer a fetch. A reply without a
// newer document is a PeerRevisionEvent instead.
type FetchFailedEvent struct{ From string }

// WatchEvent is the result of a WatchEffect.
type WatchEvent struct {
	Snapshot toucankv.Snapshot
	Err      error
}

// ReadEvent is the result of a ReadEffect. If the key does not exist, Err is a
// *toucankv.NotFoundError.
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

// Effect is an output of a Replicator, for the node to carry out. It is one of
// PushEffect, FetchEffect, WatchEffect, StopWatchEffect, ReadEffect,
// InstalledEffect and RejectedEffect.
type Effect interface{ effect() }

// PushEffect sends a document to a peer. The revision in the peer's reply, if any,
// comes back as a PeerRevisionEvent.
type PushEffect struct {
	To       string
	Document Document
}

// FetchEffect asks a peer for a document with a revision higher than Newer.
type FetchEffect struct {
	From  string
	Newer uint64
}

// WatchEffect starts a watch of the service's key after a delay. It ends the
// previous watch, whose result must be discarded.
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

// InstalledEffect reports that a document is now in force.
type InstalledEffect struct{ Document Document }

// RejectedEffect reports a document that cannot be installed: the key-value service
// holds one that this node cannot decode, or one has the revision but not the nonce
// of the document in force. The document in force stays.
type RejectedEffect struct{ Err error }

func (PushEffect) effect()      {}
func (FetchEffect) effect()     {}
func (WatchEffect) effect()     {}
func (StopWatchEffect) effect() {}
func (ReadEffect) effect()      {}
func (InstalledEffect) effect() {}
func (RejectedEffect) effect()  {}

// Replicator decides for one node how it receives and distributes the documents of
// one service. Members of the service watch the key-value service and push new
// documents to each other. A node that only calls the service fetches a document
// when it receives a higher revision from a member.
type Replicator struct {
	service string
	self    string
	clock   toucanclock.Clock
	random  *rand.Rand
	store   *Store

	members         []string
	watching        bool
	watchIndex      uint64
	watchRetryDelay time.Duration
	peerRevisions   map[string]uint64    // by id of an alive member
	pendingFetches  map[string]time.Time // start of each fetch by peer
	lastTick        time.Time
	lastRevisionAt  time.Time // when any member last sent its revision
	failedPeer      string    // peer of the last failed fetch
	starting        bool
	firstAnswerAt   time.Time // time of the first answer while starting
	pendingAnswers  int       // answers not received yet while starting
}

// NewReplicator returns the replicator of one service at the node self. It installs
// documents into the store, which all replicators of a node share.
func NewReplicator(service, self string, clock toucanclock.Clock, random *rand.Rand, store *Store) *Replicator {
	return &Replicator{
		service: service, self: self, clock: clock, random: random, store: store,
		peerRevisions: map[string]uint64{}, pendingFetches: map[string]time.Time{}, lastTick: clock.Now(), lastRevisionAt: clock.Now(),
	}
}

// Start fetches from peers and reads the key-value service, to find the highest
// revision.
func (r *Replicator) Start(members []string) []Effect {
	r.starting = true
	effects := r.setMembers(members)
	fetches := r.fetchFrom(r.randomMembers(startFetches, nil))
	r.pendingAnswers = len(fetches) + 1
	return append(append(effects, fetches...), ReadEffect{Key: Key(r.service)})
}

// Ready reports whether the node may serve the service. It needs an answer from a
// peer or the key-value service. After that, either all of them must have answered
// or failed, with no peer known to have a newer revision, or two seconds must pass.
func (r *Replicator) Ready() bool {
	if !r.starting {
		return true
	}
	if r.firstAnswerAt.IsZero() {
		return false
	}
	allAnswered := r.pendingAnswers <= 0 && len(r.randomMembers(1, r.hasNewer)) == 0
	return allAnswered || r.clock.Now().Sub(r.firstAnswerAt) >= maxStartWait
}

// hasNewer reports whether a peer is known to have a newer revision.
func (r *Replicator) hasNewer(id string) bool { return r.peerRevisions[id] > r.Revision() }

// Revision returns the revision in force, which the node adds to its membership
// messages.
func (r *Replicator) Revision() uint64 {
	d, _ := r.store.Get(r.service)
	return d.Revision()
}

// Step handles one event and returns the effects for the node to carry out.
func (r *Replicator) Step(e Event) []Effect {
	switch e := e.(type) {
	case TickEvent:
		return r.handleTick()
	case MembersEvent:
		return r.setMembers(e.Members)
	case PeerRevisionEvent:
		return r.handlePeerRevision(e.From, e.Revision, r.recordAnswer(e.From))
	case DocumentEvent:
		r.recordAnswer(e.From)
		// A node that is no member pushes only documents that were applied at it.
		return r.installAndPush(e.From, e.Document, e.From == "" || r.isMember(r.self) && r.Ready())
	case FetchFailedEvent:
		r.recordFetchFailure(e.From)
		return r.fetchNewer()
	case WatchEvent:
		return r.handleWatch(e)
	case ReadEvent:
		return r.handleRead(e)
	}
	return nil
}

func (r *Replicator) handleTick() []Effect {
	now := r.clock.Now()
	// The monotonic clock stops while a VM is suspended; the wall clock does not.
	gap := max(now.Sub(r.lastTick), now.Round(0).Sub(r.lastTick.Round(0)))
	r.lastTick = now
	for from, at := range r.pendingFetches {
		if now.Sub(at) >= fetchTimeout {
			r.recordFetchFailure(from)
		}
	}
	if gap > pauseThreshold {
		return r.revalidate()
	}
	if r.starting && r.firstAnswerAt.IsZero() && r.pendingAnswers <= 0 {
		return r.Start(r.members) // Neither a peer nor the key-value service answered.
	}
	return r.fetchNewer()
}

// revalidate fetches from peers and restarts the watch after a pause, because the
// document, the known revisions of peers and the pending watch may be out of date.
func (r *Replicator) revalidate() []Effect {
	clear(r.peerRevisions)
	clear(r.pendingFetches)
	effects := r.fetchFrom(r.randomMembers(startFetches, nil))
	if r.watching {
		return append(effects, r.newWatch(0, 0))
	}
	if len(effects) == 0 {
		return append(effects, ReadEffect{Key: Key(r.service)})
	}
	return effects
}

func (r *Replicator) setMembers(members []string) (effects []Effect) {
	sorted := slices.Compact(slices.Sorted(slices.Values(members)))
	if slices.Equal(sorted, r.members) {
		return nil
	}
	r.members = sorted
	for id := range r.peerRevisions {
		if !r.isMember(id) {
			delete(r.peerRevisions, id)
		}
	}
	watching := slices.Contains(r.watcherIDs(), r.self)
	if watching == r.watching {
		return nil
	}
	r.watching = watching
	if !watching {
		return []Effect{StopWatchEffect{}}
	}
	r.watchRetryDelay = 0
	return []Effect{r.newWatch(0, 0)}
}

func (r *Replicator) isMember(id string) bool {
	_, ok := slices.BinarySearch(r.members, id)
	return ok
}

// watcherIDs returns the members that watch the key-value service, which are those
// with the lowest hashes. All members with the same view compute the same ones. The
// hash includes the service, so that the watches of all services are spread over
// the nodes.
func (r *Replicator) watcherIDs() []string {
	hash := func(id string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(r.service + "\x00" + id))
		return h.Sum64()
	}
	ordered := slices.SortedFunc(slices.Values(r.members), func(a, b string) int {
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
	})
	return ordered[:min(watcherCount, len(ordered))]
}

// handlePeerRevision records a peer's revision and fetches the document if it is
// newer. If the revision came in reply to a fetch, without a document, the next fetch
// waits for a tick. Otherwise a peer that reports a higher revision than it has
// would cause a busy loop.
func (r *Replicator) handlePeerRevision(from string, revision uint64, isFetchAnswer bool) []Effect {
	r.recordRevision(from, revision)
	if isFetchAnswer || revision <= r.Revision() || len(r.pendingFetches) > 0 {
		return nil
	}
	return r.fetchFrom([]string{from})
}

// recordRevision records the revision of a member.
func (r *Replicator) recordRevision(from string, revision uint64) {
	if r.isMember(from) {
		r.peerRevisions[from] = revision
		r.lastRevisionAt = r.clock.Now()
	}
}

// fetchNewer fetches from one of the members known to have a newer revision. If there
// is none and no member has sent its revision for maxRevisionGap, it fetches from any
// member, preferably not from the peer of the last failed fetch.
func (r *Replicator) fetchNewer() []Effect {
	if len(r.pendingFetches) > 0 {
		return nil
	}
	peers := r.randomMembers(1, r.hasNewer)
	if overdue := r.clock.Now().Sub(r.lastRevisionAt) > maxRevisionGap; overdue && len(peers) == 0 {
		peers = r.randomMembers(1, func(id string) bool { return id != r.failedPeer })
		if len(peers) == 0 {
			peers = r.randomMembers(1, nil)
		}
	}
	return r.fetchFrom(peers)
}

func (r *Replicator) fetchFrom(peers []string) (effects []Effect) {
	for _, peer := range peers {
		r.pendingFetches[peer] = r.clock.Now()
		effects = append(effects, FetchEffect{From: peer, Newer: r.Revision()})
	}
	return effects
}

// randomMembers returns up to n random members other than the node itself for which
// accept returns true. A nil accept accepts all.
func (r *Replicator) randomMembers(n int, accept func(id string) bool) (chosen []string) {
	for _, id := range r.members {
		if id != r.self && (accept == nil || accept(id)) {
			chosen = append(chosen, id)
		}
	}
	n = min(n, len(chosen))
	for i := range n {
		j := i + r.random.IntN(len(chosen)-i)
		chosen[i], chosen[j] = chosen[j], chosen[i]
	}
	return chosen[:n]
}

// recordAnswer records that a peer answered. It reports whether a fetch from that
// peer was pending.
func (r *Replicator) recordAnswer(from string) bool {
	_, ok := r.pendingFetches[from]
	if ok {
		delete(r.pendingFetches, from)
		r.countAnswer(true)
	}
	return ok
}

// recordFetchFailure records that a peer did not answer a fetch. The peer's revision
// counts as unknown until it sends it again.
func (r *Replicator) recordFetchFailure(from string) {
	if _, ok := r.pendingFetches[from]; ok {
		delete(r.pendingFetches, from)
		r.countAnswer(false)
	}
	delete(r.peerRevisions, from)
	r.failedPeer = from
}

func (r *Replicator) countAnswer(ok bool) {
	r.pendingAnswers--
	if ok && r.firstAnswerAt.IsZero() {
		r.firstAnswerAt = r.clock.Now()
	}
}

// installAndPush installs a document if it is newer. If push is set, it also pushes
// it to random members that do not have it.
func (r *Replicator) installAndPush(from string, d Document, push bool) []Effect {
	if d.Service() != r.service {
		return nil
	}
	r.recordRevision(from, d.Revision())
	current, _ := r.store.Get(r.service)
	if d.Revision() == current.Revision() && d.Nonce() != current.Nonce() {
		return []Effect{RejectedEffect{Err: fmt.Errorf("revision %d has two different documents, by %s and by %s", d.Revision(), current.Author(), d.Author())}}
	}
	if !r.store.Install(d) {
		return nil
	}
	effects := []Effect{InstalledEffect{Document: d}}
	if !push {
		return effects
	}
	lacksRevision := func(id string) bool { return r.peerRevisions[id] < d.Revision() }
	for _, peer := range r.randomMembers(pushFanOut, lacksRevision) {
		effects = append(effects, PushEffect{To: peer, Document: d})
	}
	return effects
}

func (r *Replicator) handleWatch(e WatchEvent) []Effect {
	if !r.watching {
		return nil
	}
	if e.Err != nil {
		r.watchRetryDelay = min(max(2*r.watchRetryDelay, minWatchRetryDelay), maxWatchRetryDelay)
		half := r.watchRetryDelay / 2
		return []Effect{r.newWatch(r.watchIndex, half+time.Duration(r.random.Int64N(int64(half)+1)))}
	}
	r.watchRetryDelay = 0
	effects := r.installFromKV(e.Snapshot.Pair, e.Snapshot.Exists)
	delay := idleWatchDelay
	if len(effects) > 0 {
		delay = 0
	}
	return append(effects, r.newWatch(e.Snapshot.Index, delay))
}

func (r *Replicator) newWatch(index uint64, delay time.Duration) Effect {
	r.watchIndex = index
	return WatchEffect{Key: Key(r.service), Index: index, Wait: WatchWait, Delay: delay}
}

func (r *Replicator) handleRead(e ReadEvent) []Effect {
	missing := isNotFound(e.Err)
	r.countAnswer(e.Err == nil || missing)
	return r.installFromKV(e.Pair, e.Err == nil)
}

// installFromKV installs the document that the key-value service holds.
func (r *Replicator) installFromKV(pair toucankv.Pair, exists bool) []Effect {
	if !exists {
		return nil
	}
	d, err := Decode(pair.Value)
	if err != nil {
		return []Effect{RejectedEffect{Err: err}}
	}
	return r.installAndPush("", d, r.isMember(r.self) && r.Ready())
}
