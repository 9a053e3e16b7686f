package toucanconfig

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"toucanhaven/toucanclock"
	"toucanhaven/toucankv"
)

// variant is a deliberate fault in the implementation that a check must detect.
type variant string

const (
	correct            variant = ""
	installUnchecked   variant = "install without the revision check"
	retryLostReply     variant = "take a lost reply for a failure and retry"
	acceptLostReply    variant = "take a lost reply for a success"
	spreadByKVOnly     variant = "spread through the key-value service alone"
	noRevalidation     variant = "no revalidation after a pause"
	serveBeforeAnswers variant = "serve before anybody answered"
	acceptBeforeWrite  variant = "reply before the write is confirmed"
)

const (
	simService      = "ordini"
	viewUpdateDelay = 5 * time.Second // until an unreachable member is removed from the views
	maxTimeInForce  = 8 * time.Second
)

// sim simulates nodes, a key-value service and operators in virtual time.
type sim struct {
	clock   *toucanclock.Manual
	start   time.Time
	random  *rand.Rand
	variant variant
	queue   timerQueue
	nodes   []*simNode
	kv      simKV
	history
	partitionedAt, healedAt time.Time // start and end of the partition between even and odd nodes
	partitioned             bool
	pushes, fetches         int
	bytes                   int
	installed               map[uint64][]time.Duration // by revision, since start
}

type simNode struct {
	*sim
	id                          int
	label                       string
	member, running             bool
	generation                  int // number of processes started
	reader                      int // reader number of the process in the history
	pausedUntil                 time.Time
	unreachableSince, resumedAt time.Time
	replicator                  *Replicator
	store                       *Store
	watchCount                  int // number of the current watch; results of earlier ones are discarded
	members                     int
	ticks                       int
	onPushAnswer                func() // called on the first answer to a push
}

type timer struct {
	at  time.Time
	seq int
	run func()
}

type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timerQueue) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timerQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

var simSeq int

func newSim(seed uint64, members, entries int, v variant) *sim {
	start := time.Unix(1000, 0)
	s := &sim{
		clock: toucanclock.NewManual(start), start: start, variant: v,
		random: rand.New(rand.NewPCG(seed, 1)), installed: map[uint64][]time.Duration{},
	}
	s.kv.sim, s.kv.confirmed = s, map[uint64]time.Duration{}
	for id := range members + entries {
		n := &simNode{sim: s, id: id, label: fmt.Sprintf("node%03d", id), member: id < members, members: members}
		s.nodes = append(s.nodes, n)
		n.startProcess()
	}
	return s
}

func (s *sim) now() time.Time         { return s.clock.Now() }
func (s *sim) elapsed() time.Duration { return s.now().Sub(s.start) }

func (s *sim) schedule(d time.Duration, run func()) {
	simSeq++
	heap.Push(&s.queue, timer{at: s.now().Add(d), seq: simSeq, run: run})
}

func (s *sim) runUntil(d time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at.Sub(s.start) <= d {
		next := heap.Pop(&s.queue).(timer)
		s.clock.Set(next.at)
		next.run()
	}
	s.clock.Set(s.start.Add(d))
}

// randomLatency returns the latency of one message. One in 50 messages has an
// additional latency of up to two seconds.
func (s *sim) randomLatency() time.Duration {
	d := time.Millisecond + time.Duration(s.random.Int64N(int64(4*time.Millisecond)))
	if s.random.IntN(50) == 0 {
		d += time.Duration(s.random.Int64N(int64(2 * time.Second)))
	}
	return d
}

func (s *sim) reachable(a, b *simNode) bool {
	return a.running && b.running && !(s.partitioned && a.id%2 != b.id%2)
}

// runAfter calls run after d, or at the end of the node's pause if that is later. It
// does not call run if the process has crashed or restarted.
func (n *simNode) runAfter(d time.Duration, run func()) {
	generation := n.generation
	n.schedule(d, func() {
		if n.generation != generation || !n.running {
			return
		}
		if remaining := n.pausedUntil.Sub(n.now()); remaining > 0 {
			n.runAfter(remaining, run)
			return
		}
		run()
	})
}

// send delivers a message to another node, or drops it if that is unreachable.
func (n *simNode) send(to *simNode, run func()) {
	d := n.randomLatency()
	n.schedule(d, func() {
		if n.reachable(n, to) {
			to.runAfter(0, run)
		}
	})
}

func (n *simNode) startProcess() {
	n.running, n.store, n.generation = true, &Store{}, n.generation+1
	n.reader = n.newReader()
	n.onPushAnswer = nil
	n.replicator = NewReplicator(simService, n.name(), n.clock, rand.New(rand.NewPCG(n.random.Uint64(), 2)), n.store)
	n.execute(n.replicator.Start(n.view()))
	n.runAfter(time.Duration(n.random.Int64N(int64(time.Second))), n.tick)
}

func (n *simNode) crash() { n.running, n.unreachableSince = false, n.now() }

func (n *simNode) pause(d time.Duration) {
	n.pausedUntil, n.unreachableSince = n.now().Add(d), n.now()
	generation := n.generation
	n.schedule(d, func() {
		if n.running && n.generation == generation {
			n.unreachableSince, n.resumedAt = time.Time{}, n.now()
		}
	})
}

// restart starts a new process. A pause of the previous process ends.
func (n *simNode) restart() {
	n.unreachableSince, n.pausedUntil = time.Time{}, time.Time{}
	n.startProcess()
}

func (n *simNode) name() string { return n.label }

func (s *sim) node(name string) *simNode {
	id, _ := strconv.Atoi(strings.TrimPrefix(name, "node"))
	return s.nodes[id]
}

// view simulates the membership. It returns the members that have not been
// unreachable for longer than viewUpdateDelay.
func (n *simNode) view() (view []string) {
	for _, m := range n.nodes[:min(n.members, len(n.nodes))] {
		unreachable := !m.unreachableSince.IsZero() && n.now().Sub(m.unreachableSince) > viewUpdateDelay
		cutOff := n.partitioned && m.id%2 != n.id%2 && n.now().Sub(n.partitionedAt) > viewUpdateDelay
		if !unreachable && !cutOff {
			view = append(view, m.name())
		}
	}
	return view
}

func (n *simNode) tick() {
	n.runAfter(time.Second, n.tick)
	n.ticks++
	if n.variant == noRevalidation {
		n.replicator.lastTick = n.now()
	}
	n.execute(n.replicator.Step(MembersEvent{Members: n.view()}))
	n.execute(n.replicator.Step(TickEvent{}))
	n.recordRead()
	if peers := n.replicator.randomMembers(1, nil); len(peers) > 0 && n.variant != spreadByKVOnly && (n.member || n.ticks%2 == 0) {
		n.probe(n.node(peers[0]))
	}
}

// probe exchanges revisions, like a probe by a member or a poll by an entry.
func (n *simNode) probe(to *simNode) {
	revision := n.replicator.Revision()
	n.send(to, func() {
		if n.member {
			to.execute(to.replicator.Step(PeerRevisionEvent{From: n.name(), Revision: revision}))
		}
		answer := to.replicator.Revision()
		to.send(n, func() { n.execute(n.replicator.Step(PeerRevisionEvent{From: to.name(), Revision: answer})) })
	})
}

func (n *simNode) deliver(from string, d Document) {
	if n.variant == installUnchecked {
		n.store.documents = map[string]Document{simService: d}
	}
	n.execute(n.replicator.Step(DocumentEvent{From: from, Document: d}))
	n.recordRead()
}

func (n *simNode) execute(effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case PushEffect:
			n.push(n.node(e.To), e.Document)
		case FetchEffect:
			n.fetch(n.node(e.From), e.Newer)
		case WatchEffect:
			n.startWatch(e)
		case StopWatchEffect:
			n.watchCount++
		case ReadEffect:
			n.kv.read(n, func(p toucankv.Pair, err error) { n.execute(n.replicator.Step(ReadEvent{Pair: p, Err: err})) })
		case InstalledEffect:
			r := e.Document.Revision()
			n.installed[r] = append(n.installed[r], n.elapsed())
		}
	}
}

func (n *simNode) push(to *simNode, d Document) {
	if n.variant == spreadByKVOnly {
		return
	}
	n.pushes++
	n.countBytes(d)
	n.send(to, func() {
		to.deliver(n.name(), d)
		answer := to.replicator.Revision()
		to.send(n, func() {
			n.execute(n.replicator.Step(PeerRevisionEvent{From: to.name(), Revision: answer}))
			if n.onPushAnswer != nil {
				n.onPushAnswer()
			}
		})
	})
}

func (s *sim) countBytes(d Document) {
	encoded, _ := d.Encode()
	s.bytes += len(encoded)
}

func (n *simNode) fetch(from *simNode, newer uint64) {
	n.fetches++
	answered := false
	n.runAfter(fetchTimeout, func() {
		if !answered {
			n.execute(n.replicator.Step(FetchFailedEvent{From: from.name()}))
		}
	})
	n.send(from, func() {
		d, _ := from.store.Get(simService)
		from.send(n, func() {
			answered = true
			if d.Revision() > newer {
				n.countBytes(d)
				n.deliver(from.name(), d)
				return
			}
			n.execute(n.replicator.Step(PeerRevisionEvent{From: from.name(), Revision: d.Revision()}))
		})
	})
}

func (n *simNode) startWatch(e WatchEffect) {
	n.watchCount++
	id := n.watchCount
	n.runAfter(e.Delay, func() {
		if n.watchCount == id {
			n.kv.watch(n, id, e.Index)
		}
	})
}

// simKV is a key-value service with one key.
type simKV struct {
	*sim
	pair                               toucankv.Pair
	unreachable, unreachableAfterWrite bool // the latter: becomes unreachable after the next write
	repliesToLose                      int
	delay                              time.Duration
	watches                            []func(err error)
	confirmed                          map[uint64]time.Duration // write time of each revision, since start
}

var (
	errKVUnreachable = errors.New("unreachable")
	errReplyLost     = errors.New("reply lost")
)

// call runs a request at the key-value service and then reply at the node.
func (kv *simKV) call(n *simNode, request func() error, reply func(err error)) {
	latency := func() time.Duration {
		return kv.delay + 2*time.Millisecond + time.Duration(kv.random.Int64N(int64(3*time.Millisecond)))
	}
	n.runAfter(latency(), func() {
		err := errKVUnreachable
		if !kv.unreachable {
			err = request()
		}
		n.runAfter(latency(), func() { reply(err) })
	})
}

func (kv *simKV) read(n *simNode, reply func(toucankv.Pair, error)) {
	var pair toucankv.Pair
	kv.call(n, func() error {
		pair = kv.pair
		if pair.Index == 0 {
			return &toucankv.NotFoundError{Key: Key(simService)}
		}
		return nil
	}, func(err error) { reply(pair, err) })
}

func (kv *simKV) write(n *simNode, w WriteStep, reply func(error)) {
	kv.call(n, func() error {
		if w.Index != kv.pair.Index {
			return &toucankv.ConflictError{Key: w.Key, Current: kv.pair}
		}
		kv.pair = toucankv.Pair{Key: w.Key, Value: w.Value, Index: kv.pair.Index + 1}
		d, _ := Decode(w.Value)
		kv.confirmed[d.Revision()] = kv.elapsed()
		kv.endWatches(nil)
		if kv.unreachableAfterWrite {
			kv.unreachableAfterWrite = false
			kv.setUnreachable(true)
			kv.schedule(30*time.Second, func() { kv.setUnreachable(false) })
		}
		if kv.repliesToLose > 0 {
			kv.repliesToLose--
			return errReplyLost
		}
		return nil
	}, func(err error) {
		if errors.Is(err, errKVUnreachable) || errors.Is(err, errReplyLost) {
			err = &toucankv.UnknownResultError{Op: "compare-and-swap", Key: w.Key, Err: err}
		}
		reply(err)
	})
}

func (kv *simKV) setUnreachable(unreachable bool) {
	kv.unreachable = unreachable
	if unreachable {
		kv.endWatches(errKVUnreachable)
	}
}

func (kv *simKV) endWatches(err error) {
	ended := kv.watches
	kv.watches = nil
	for _, end := range ended {
		end(err)
	}
}

func (kv *simKV) watch(n *simNode, id int, index uint64) {
	reply := func(err error) {
		pair := kv.pair
		n.runAfter(kv.delay+kv.randomLatency(), func() {
			if n.watchCount != id {
				return
			}
			n.execute(n.replicator.Step(WatchEvent{
				Snapshot: toucankv.Snapshot{Pair: pair, Exists: pair.Index > 0, Index: max(pair.Index, 1)}, Err: err,
			}))
			n.recordRead()
		})
	}
	if kv.unreachable {
		reply(errKVUnreachable)
	} else if index != max(kv.pair.Index, 1) {
		reply(nil)
	} else {
		kv.watches = append(kv.watches, reply)
	}
}

// apply applies a change for an operator at a node. The operator gets the result
// after the first answer to a push, or after a second.
func (n *simNode) apply(replaces uint64, nonce string, done func(error)) {
	op := n.recordApply(replaces, nonce, n.elapsed())
	generation := n.generation
	finish := func(err error) {
		op.recordResult(err, n.elapsed())
		if done != nil {
			done(err)
		}
	}
	n.schedule(time.Hour, func() { op.recordResult(errReplyLost, 0) }) // A crashed node never replies, so the result stays unknown.
	a := NewApplyState(n.clock, Request{Service: simService, Replaces: replaces, Author: "operator", Nonce: nonce, Source: simSource}, n.replicator.Revision())
	if n.variant == acceptBeforeWrite {
		finish(nil)
	}
	n.runApply(a, func(d Document, err error) {
		if n.generation != generation {
			return
		}
		if err != nil {
			finish(err)
			return
		}
		reply := func() {
			if n.onPushAnswer != nil {
				n.onPushAnswer = nil
				finish(nil)
			}
		}
		n.onPushAnswer = reply
		n.runAfter(time.Second, reply)
		n.deliver("", d)
	})
}

func (n *simNode) runApply(a *ApplyState, done func(Document, error)) {
	switch step := a.Next().(type) {
	case ReadStep:
		n.runAfter(step.Delay, func() {
			n.kv.read(n, func(p toucankv.Pair, err error) {
				a.ReadDone(p, err)
				n.runApply(a, done)
			})
		})
	case WriteStep:
		n.kv.write(n, step, func(err error) {
			var unknown *toucankv.UnknownResultError
			resultUnknown := errors.As(err, &unknown)
			switch {
			case resultUnknown && n.variant == retryLostReply:
				r := a.request
				n.kv.read(n, func(p toucankv.Pair, _ error) {
					current, _ := Decode(p.Value)
					r.Replaces, r.Nonce = current.Revision(), r.Nonce+"'"
					n.runApply(NewApplyState(n.clock, r, 0), done)
				})
				return
			case resultUnknown && n.variant == acceptLostReply:
				err = nil
			}
			a.WriteDone(err)
			n.runApply(a, done)
		})
	case DoneStep:
		done(step.Document, step.Err)
	}
}

// lastInstallTime returns when the last node installed a revision, since start.
func (s *sim) lastInstallTime(revision uint64) time.Duration {
	return slices.Max(s.installed[revision])
}

const simSource = `service = "ordini"
[[class]]
name = "place_order"
method = "POST"
path = "/orders"
latency = "800ms"
success = 0.9999
at_most_once = true
[[class]]
name = "catalogue_lookup"
path = "/catalogue"
latency = "1s"
success = 0.95
`
