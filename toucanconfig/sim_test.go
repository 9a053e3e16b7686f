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

// variant is a deliberate fault that a check must find.
type variant string

const (
	correct           variant = ""
	installUnchecked  variant = "install without the revision check"
	blindRetry        variant = "take a lost reply for a failure and retry"
	trustLostReply    variant = "take a lost reply for a success"
	watchOnly         variant = "spread through the key-value service alone"
	noRevalidation    variant = "no revalidation after a pause"
	serveAtOnce       variant = "serve before anybody answered"
	acceptBeforeWrite variant = "reply before the write is confirmed"
)

const (
	simService = "ordini"
	viewDelay  = 5 * time.Second // until an unreachable member leaves the live views
	bound      = 8 * time.Second
)

// sim runs nodes, a key-value service and operators in virtual time.
type sim struct {
	clock   *toucanclock.Manual
	start   time.Time
	random  *rand.Rand
	variant variant
	queue   timers
	nodes   []*simNode
	kv      simKV
	history
	splitSince, healed time.Time // of the partition into even and odd nodes
	split              bool
	pushes, fetches    int
	bytes              int
	installed          map[uint64][]time.Duration // by revision, since start
}

type simNode struct {
	*sim
	id                 int
	label              string
	member, up         bool
	life               int // counts restarts
	reader             int // in the history
	frozenUntil        time.Time
	downSince, resumed time.Time
	spread             *Replicator
	store              *Store
	watch              int // counts watches; results of ended ones are discarded
	members            int
	ticks              int
	acked              func() // called on the first answer to a push
}

type timer struct {
	at  time.Time
	seq int
	run func()
}

type timers []timer

func (q timers) Len() int { return len(q) }
func (q timers) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timers) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timers) Pop() any {
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
		n.boot()
	}
	return s
}

func (s *sim) now() time.Time         { return s.clock.Now() }
func (s *sim) elapsed() time.Duration { return s.now().Sub(s.start) }

func (s *sim) after(d time.Duration, run func()) {
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

// latency is that of one message; one in 50 is late by up to two seconds.
func (s *sim) latency() time.Duration {
	d := time.Millisecond + time.Duration(s.random.Int64N(int64(4*time.Millisecond)))
	if s.random.IntN(50) == 0 {
		d += time.Duration(s.random.Int64N(int64(2 * time.Second)))
	}
	return d
}

func (s *sim) reachable(a, b *simNode) bool {
	return a.up && b.up && !(s.split && a.id%2 != b.id%2)
}

// do runs code of this life of the node after d, or when the node thaws.
func (n *simNode) do(d time.Duration, run func()) {
	life := n.life
	n.after(d, func() {
		if n.life != life || !n.up {
			return
		}
		if wait := n.frozenUntil.Sub(n.now()); wait > 0 {
			n.do(wait, run)
			return
		}
		run()
	})
}

// send delivers a message to another node, or loses it.
func (n *simNode) send(to *simNode, run func()) {
	d := n.latency()
	n.after(d, func() {
		if n.reachable(n, to) {
			to.do(0, run)
		}
	})
}

func (n *simNode) boot() {
	n.up, n.store, n.life = true, &Store{}, n.life+1
	n.reader = n.newReader()
	n.acked = nil
	n.spread = NewReplicator(simService, n.name(), n.clock, rand.New(rand.NewPCG(n.random.Uint64(), 2)), n.store)
	n.execute(n.spread.Start(n.view()))
	n.do(time.Duration(n.random.Int64N(int64(time.Second))), n.tick)
}

func (n *simNode) crash() { n.up, n.downSince = false, n.now() }

func (n *simNode) freeze(d time.Duration) {
	n.frozenUntil, n.downSince = n.now().Add(d), n.now()
	life := n.life
	n.after(d, func() {
		if n.up && n.life == life {
			n.downSince, n.resumed = time.Time{}, n.now()
		}
	})
}

// restart replaces the process; a freeze ends with the one before.
func (n *simNode) restart() {
	n.downSince, n.frozenUntil = time.Time{}, time.Time{}
	n.boot()
}

func (n *simNode) name() string { return n.label }

func (s *sim) node(name string) *simNode {
	id, _ := strconv.Atoi(strings.TrimPrefix(name, "node"))
	return s.nodes[id]
}

// view stands in for the membership: members that were reachable lately.
func (n *simNode) view() (view []string) {
	for _, m := range n.nodes[:min(n.members, len(n.nodes))] {
		gone := !m.downSince.IsZero() && n.now().Sub(m.downSince) > viewDelay
		apart := n.split && m.id%2 != n.id%2 && n.now().Sub(n.splitSince) > viewDelay
		if !gone && !apart {
			view = append(view, m.name())
		}
	}
	return view
}

func (n *simNode) tick() {
	n.do(time.Second, n.tick)
	n.ticks++
	if n.variant == noRevalidation {
		n.spread.lastTick = n.now()
	}
	n.execute(n.spread.Step(MembersEvent{Members: n.view()}))
	n.execute(n.spread.Step(TickEvent{}))
	n.record()
	if peers := n.spread.choose(1, nil); len(peers) > 0 && n.variant != watchOnly && (n.member || n.ticks%2 == 0) {
		n.probe(n.node(peers[0]))
	}
}

// probe exchanges revisions, as a probe of a member or a poll of an entry does.
func (n *simNode) probe(to *simNode) {
	revision := n.spread.Revision()
	n.send(to, func() {
		if n.member {
			to.execute(to.spread.Step(PeerRevisionEvent{From: n.name(), Revision: revision}))
		}
		answer := to.spread.Revision()
		to.send(n, func() { n.execute(n.spread.Step(PeerRevisionEvent{From: to.name(), Revision: answer})) })
	})
}

func (n *simNode) deliver(from string, d Document) {
	if n.variant == installUnchecked {
		n.store.documents = map[string]Document{simService: d}
	}
	n.execute(n.spread.Step(DocumentEvent{From: from, Document: d}))
	n.record()
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
			n.watch++
		case ReadEffect:
			n.kv.read(n, func(p toucankv.Pair, err error) { n.execute(n.spread.Step(ReadEvent{Pair: p, Err: err})) })
		case InstalledEffect:
			r := e.Document.Revision()
			n.installed[r] = append(n.installed[r], n.elapsed())
		}
	}
}

func (n *simNode) push(to *simNode, d Document) {
	if n.variant == watchOnly {
		return
	}
	n.pushes++
	n.count(d)
	n.send(to, func() {
		to.deliver(n.name(), d)
		answer := to.spread.Revision()
		to.send(n, func() {
			n.execute(n.spread.Step(PeerRevisionEvent{From: to.name(), Revision: answer}))
			if n.acked != nil {
				n.acked()
			}
		})
	})
}

func (s *sim) count(d Document) {
	encoded, _ := d.Encode()
	s.bytes += len(encoded)
}

func (n *simNode) fetch(from *simNode, newer uint64) {
	n.fetches++
	answered := false
	n.do(fetchTimeout, func() {
		if !answered {
			n.execute(n.spread.Step(FetchFailedEvent{From: from.name()}))
		}
	})
	n.send(from, func() {
		d, _ := from.store.Get(simService)
		from.send(n, func() {
			answered = true
			if d.Revision() > newer {
				n.count(d)
				n.deliver(from.name(), d)
				return
			}
			n.execute(n.spread.Step(PeerRevisionEvent{From: from.name(), Revision: d.Revision()}))
		})
	})
}

func (n *simNode) startWatch(e WatchEffect) {
	n.watch++
	id := n.watch
	n.do(e.Delay, func() {
		if n.watch == id {
			n.kv.watch(n, id, e.Index)
		}
	})
}

// simKV is a key-value service with one key.
type simKV struct {
	*sim
	pair           toucankv.Pair
	down, downNext bool // downNext: goes down right after the next write
	loseReplies    int
	delay          time.Duration
	watches        []func(err error)
	confirmed      map[uint64]time.Duration // when each revision was written, since start
}

var (
	errKVDown = errors.New("down")
	errKVLost = errors.New("reply lost")
)

// call runs a request at the service and its reply at the node.
func (kv *simKV) call(n *simNode, request func() error, reply func(err error)) {
	latency := func() time.Duration {
		return kv.delay + 2*time.Millisecond + time.Duration(kv.random.Int64N(int64(3*time.Millisecond)))
	}
	n.do(latency(), func() {
		err := errKVDown
		if !kv.down {
			err = request()
		}
		n.do(latency(), func() { reply(err) })
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
		if kv.downNext {
			kv.downNext = false
			kv.setDown(true)
			kv.after(30*time.Second, func() { kv.setDown(false) })
		}
		if kv.loseReplies > 0 {
			kv.loseReplies--
			return errKVLost
		}
		return nil
	}, func(err error) {
		if errors.Is(err, errKVDown) || errors.Is(err, errKVLost) {
			err = &toucankv.UnknownResultError{Op: "compare-and-swap", Key: w.Key, Err: err}
		}
		reply(err)
	})
}

func (kv *simKV) setDown(down bool) {
	kv.down = down
	if down {
		kv.endWatches(errKVDown)
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
		n.do(kv.delay+kv.latency(), func() {
			if n.watch != id {
				return
			}
			n.execute(n.spread.Step(WatchEvent{
				Snapshot: toucankv.Snapshot{Pair: pair, Exists: pair.Index > 0, Index: max(pair.Index, 1)}, Err: err,
			}))
			n.record()
		})
	}
	if kv.down {
		reply(errKVDown)
	} else if index != max(kv.pair.Index, 1) {
		reply(nil)
	} else {
		kv.watches = append(kv.watches, reply)
	}
}

// apply runs an application for an operator at a node. The reply is given after
// the first push was answered, or after a second.
func (n *simNode) apply(replaces uint64, nonce string, done func(error)) {
	op := n.beginApply(replaces, nonce, n.elapsed())
	life := n.life
	finish := func(err error) {
		op.end(err, n.elapsed())
		if done != nil {
			done(err)
		}
	}
	n.after(time.Hour, func() { op.end(errKVLost, 0) }) // A crashed node never replies.
	a := NewApplication(n.clock, Request{Service: simService, Replaces: replaces, Author: "operator", Nonce: nonce, Source: simSource}, n.spread.Revision())
	if n.variant == acceptBeforeWrite {
		finish(nil)
	}
	n.runApplication(a, func(d Document, err error) {
		if n.life != life {
			return
		}
		if err != nil {
			finish(err)
			return
		}
		reply := func() {
			if n.acked != nil {
				n.acked = nil
				finish(nil)
			}
		}
		n.acked = reply
		n.do(time.Second, reply)
		n.deliver("", d)
	})
}

func (n *simNode) runApplication(a *Application, done func(Document, error)) {
	switch step := a.Next().(type) {
	case ReadStep:
		n.do(step.Delay, func() {
			n.kv.read(n, func(p toucankv.Pair, err error) {
				a.ReadDone(p, err)
				n.runApplication(a, done)
			})
		})
	case WriteStep:
		n.kv.write(n, step, func(err error) {
			var unknown *toucankv.UnknownResultError
			lost := errors.As(err, &unknown)
			switch {
			case lost && n.variant == blindRetry:
				r := a.request
				n.kv.read(n, func(p toucankv.Pair, _ error) {
					current, _ := Decode(p.Value)
					r.Replaces, r.Nonce = current.Revision(), r.Nonce+"'"
					n.runApplication(NewApplication(n.clock, r, 0), done)
				})
				return
			case lost && n.variant == trustLostReply:
				err = nil
			}
			a.WriteDone(err)
			n.runApplication(a, done)
		})
	case DoneStep:
		done(step.Document, step.Err)
	}
}

// latest returns the time at which the last of the nodes installed a revision.
func (s *sim) latest(revision uint64) time.Duration { return slices.Max(s.installed[revision]) }

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
