package toucanmember

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucanclock"
)

// testBus simulates the network between nodes in virtual time, with faults.
type testBus struct {
	clock  *toucanclock.Manual
	start  time.Time
	random *rand.Rand
	queue  callQueue
	seq    int

	nodes     map[string]*testNode
	nodeOrder []*testNode
	kv        testKV
	blocked   func(from, to *testNode) bool // reports whether messages are dropped
	lossRate  float64
	delay     func(from, to *testNode) time.Duration

	messages     int
	bytes        int
	stepTime     time.Duration     // real time spent in Step
	pollStepTime time.Duration     // share of stepTime for polls, at entries and members
	sizeOf       func(Message) int // if nil, bytes are not counted
	removals     map[string]int    // number of StateChanged effects with Removed by member
}

// testNode is a node: a member of the service, an entry, or both.
type testNode struct {
	id, dataCentre string
	crashed        bool
	pausedUntil    time.Time
	group          *Group
	entry          *Entry
	servers        []toucanbalance.Server // the entry's view
	pendingCalls   map[uint64]func(Message)
	lastCall       uint64
	generation     int // number of processes started at this address
}

// testKV is a KV that holds the contacts of the service.
type testKV struct {
	unreachable   bool
	addresses     []string
	index         uint64
	reads, writes int
}

type scheduledCall struct {
	at  time.Time
	seq int
	run func()
}

type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newTestBus(seed uint64) *testBus {
	start := time.Unix(1_000_000, 0)
	return &testBus{
		clock: toucanclock.NewManual(start), start: start, random: rand.New(rand.NewPCG(seed, 1)),
		nodes: make(map[string]*testNode), removals: make(map[string]int),
		blocked: func(from, to *testNode) bool { return false },
		delay: func(from, to *testNode) time.Duration {
			if from.dataCentre == to.dataCentre {
				return 300 * time.Microsecond
			}
			return 1500 * time.Microsecond
		},
	}
}

func (b *testBus) schedule(d time.Duration, run func()) {
	b.seq++
	heap.Push(&b.queue, scheduledCall{b.clock.Now().Add(d), b.seq, run})
}

// advance advances time by d, or until done returns true. It reports whether done
// returned true.
func (b *testBus) advance(d time.Duration, done ...func() bool) bool {
	end := b.clock.Now().Add(d)
	for len(b.queue) > 0 && !b.queue[0].at.After(end) {
		e := heap.Pop(&b.queue).(scheduledCall)
		b.clock.Set(e.at)
		e.run()
		if len(done) > 0 && done[0]() {
			return true
		}
	}
	b.clock.Set(end)
	return false
}

// startMember starts a member, or a new process at the address of an earlier one.
func (b *testBus) startMember(id, dataCentre string) *testNode {
	n := b.node(id, dataCentre)
	self := toucanbalance.Server{ID: id, Incarnation: b.clock.Now().UnixNano(), PeerAddress: id + "p", DataCentre: dataCentre}
	n.group = NewGroup(b.clock, rand.New(rand.NewPCG(b.random.Uint64(), 2)), "ordini", self)
	n.generation++
	generation := n.generation
	b.schedule(0, func() { b.step(n, n.group, Announce{PeerAddress: self.PeerAddress}) })
	b.scheduleTicks(n, func() bool { return n.generation == generation }, func() { b.step(n, n.group, Tick{}) })
	return n
}

// startEntry starts an entry that calls the service.
func (b *testBus) startEntry(id, dataCentre string) *testNode {
	n := b.node(id, dataCentre)
	n.entry = NewEntry(b.clock, rand.New(rand.NewPCG(b.random.Uint64(), 3)), "ordini", id, dataCentre)
	b.scheduleTicks(n, func() bool { return true }, func() { b.step(n, n.entry, Tick{}) })
	return n
}

func (b *testBus) node(id, dataCentre string) *testNode {
	n := b.nodes[id]
	if n == nil {
		n = &testNode{id: id, dataCentre: dataCentre, pendingCalls: make(map[uint64]func(Message))}
		b.nodes[id] = n
		b.nodeOrder = append(b.nodeOrder, n)
	}
	n.crashed = false
	return n
}

// scheduleTicks sends ticks to a state machine. A paused node receives its missed
// ticks all at once when the pause ends.
func (b *testBus) scheduleTicks(n *testNode, current func() bool, tick func()) {
	var next func()
	next = func() {
		if !current() {
			return
		}
		b.whenRunning(n, tick)
		b.schedule(TickPeriod, next)
	}
	b.schedule(time.Duration(b.random.Int64N(int64(TickPeriod))), next)
}

// whenRunning calls f now, or at the end of the node's pause. It does not call f if
// the node has crashed.
func (b *testBus) whenRunning(n *testNode, f func()) {
	now := b.clock.Now()
	switch {
	case n.crashed:
	case now.Before(n.pausedUntil):
		b.schedule(n.pausedUntil.Sub(now), func() { b.whenRunning(n, f) })
	default:
		f()
	}
}

type machine interface{ Step(Event) []Effect }

func (b *testBus) step(n *testNode, m machine, e Event) {
	began := time.Now()
	effects := m.Step(e)
	took := time.Since(began)
	b.stepTime += took
	if r, ok := e.(Request); ok {
		if _, poll := r.Message.(ViewRequest); poll {
			b.pollStepTime += took
		}
	} else if m == machine(n.entry) {
		b.pollStepTime += took
	}
	for _, effect := range effects {
		switch f := effect.(type) {
		case Send:
			b.send(n, m, f)
		case Answer:
			if answer := n.pendingCalls[f.Call]; answer != nil {
				delete(n.pendingCalls, f.Call)
				answer(f.Message)
			}
		case ReadContacts:
			b.kvCall(n, m, func() { b.kv.reads++ })
		case WriteContacts:
			b.kvCall(n, m, func() {
				b.kv.writes++
				if b.kv.index == f.Index {
					b.kv.addresses, b.kv.index = slices.Clone(f.Addresses), b.kv.index+1
				}
			})
		case ViewChanged:
			n.servers = f.Servers
		case StateChanged:
			if f.Member.State == Removed {
				b.removals[f.Member.ID]++
			}
		}
	}
}

func (b *testBus) kvCall(n *testNode, m machine, f func()) {
	b.schedule(2*time.Millisecond, func() {
		if b.kv.unreachable {
			b.schedule(time.Second, func() { b.whenRunning(n, func() { b.step(n, m, Contacts{}) }) })
			return
		}
		f()
		c := Contacts{Known: true, Addresses: slices.Clone(b.kv.addresses), Index: b.kv.index}
		b.schedule(2*time.Millisecond, func() { b.whenRunning(n, func() { b.step(n, m, c) }) })
	})
}

func (b *testBus) send(n *testNode, m machine, s Send) {
	to := b.nodes[s.To]
	done := false
	finish := func(e Event) {
		if !done {
			done = true
			b.whenRunning(n, func() { b.step(n, m, e) })
		}
	}
	b.schedule(s.Timeout, func() { finish(Failure{s.Seq}) })
	if to == nil || !b.countAndDeliver(n, to, s.Message) {
		return
	}
	b.schedule(b.delay(n, to), func() {
		b.whenRunning(to, func() {
			if to.group == nil {
				return
			}
			to.lastCall++
			to.pendingCalls[to.lastCall] = func(answer Message) {
				if b.countAndDeliver(to, n, answer) {
					b.schedule(b.delay(to, n), func() { finish(Reply{s.Seq, answer}) })
				}
			}
			b.step(to, to.group, Request{Call: to.lastCall, Message: s.Message})
		})
	})
}

// countAndDeliver counts a message and reports whether it arrives.
func (b *testBus) countAndDeliver(from, to *testNode, m Message) bool {
	b.messages++
	if b.sizeOf != nil {
		b.bytes += b.sizeOf(m)
	}
	return !b.blocked(from, to) && (b.lossRate == 0 || b.random.Float64() >= b.lossRate)
}

var testDataCentres = []string{"a", "b", "c"}

// startService starts n members and some entries and waits until their views are
// stable.
func (b *testBus) startService(n, entries int) {
	for i := range n {
		b.startMember(fmt.Sprintf("m%d", i), testDataCentres[i%3])
		if i == 0 {
			b.advance(time.Second) // the first one writes the contacts
		}
	}
	b.advance(15 * time.Second)
	for i := range entries {
		b.startEntry(fmt.Sprintf("e%d", i), testDataCentres[i%3])
	}
	b.advance(6 * time.Second)
}

func (b *testBus) entries() (out []*testNode) {
	for _, n := range b.nodeOrder {
		if n.entry != nil {
			out = append(out, n)
		}
	}
	return out
}

func (b *testBus) members() (out []*testNode) {
	for _, n := range b.nodeOrder {
		if n.group != nil && !n.crashed {
			out = append(out, n)
		}
	}
	return out
}

// entriesChoosing returns the number of entries whose view has the server as alive.
func (b *testBus) entriesChoosing(id string) (n int) {
	for _, e := range b.entries() {
		if slices.ContainsFunc(e.servers, func(s toucanbalance.Server) bool {
			return s.ID == id && s.State == toucanbalance.Alive
		}) {
			n++
		}
	}
	return n
}

// viewsAgree reports whether every running member sees exactly the running members
// that are not leaving as alive.
func (b *testBus) viewsAgree() bool {
	members := b.members()
	for _, n := range members {
		view := n.group.View().Members
		alive := 0
		for _, m := range view {
			if m.State == toucanbalance.Alive {
				alive++
				if b.nodes[m.ID].crashed {
					return false
				}
			}
		}
		expected := 0
		for _, r := range members {
			if r.group.self != nil && r.group.self.State == toucanbalance.Alive {
				expected++
			}
		}
		if alive != expected {
			return false
		}
	}
	return true
}
