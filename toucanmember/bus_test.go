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

// bus carries messages between nodes in virtual time, with faults.
type bus struct {
	clock  *toucanclock.Manual
	start  time.Time
	random *rand.Rand
	queue  busQueue
	seq    int

	nodes map[string]*busNode
	order []*busNode
	kv    busKV
	cut   func(from, to *busNode) bool // messages that do not arrive
	loss  float64
	delay func(from, to *busNode) time.Duration

	messages int
	bytes    int
	spent    time.Duration     // real time in the state machines
	polling  time.Duration     // part of it for polls, at entries and members
	size     func(Message) int // nil: bytes are not counted
	removals map[string]int    // Removed reports by member
}

// busNode is a node: a member of the service, an entry, or both.
type busNode struct {
	id, dataCentre string
	dead           bool
	pausedUntil    time.Time
	group          *Group
	entry          *Entry
	servers        []toucanbalance.Server // the entry's view
	calls          map[uint64]func(Message)
	call           uint64
	generation     int // of the process at this address
}

// busKV is the contacts record of the service.
type busKV struct {
	down         bool
	addresses    []string
	index        uint64
	reads, write int
}

type busEvent struct {
	at  time.Time
	seq int
	run func()
}

type busQueue []busEvent

func (q busQueue) Len() int { return len(q) }
func (q busQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q busQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *busQueue) Push(x any)   { *q = append(*q, x.(busEvent)) }
func (q *busQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newBus(seed uint64) *bus {
	start := time.Unix(1_000_000, 0)
	return &bus{
		clock: toucanclock.NewManual(start), start: start, random: rand.New(rand.NewPCG(seed, 1)),
		nodes: make(map[string]*busNode), removals: make(map[string]int),
		cut: func(from, to *busNode) bool { return false },
		delay: func(from, to *busNode) time.Duration {
			if from.dataCentre == to.dataCentre {
				return 300 * time.Microsecond
			}
			return 1500 * time.Microsecond
		},
	}
}

func (b *bus) after(d time.Duration, run func()) {
	b.seq++
	heap.Push(&b.queue, busEvent{b.clock.Now().Add(d), b.seq, run})
}

// run moves time on by d, or until done reports true.
func (b *bus) run(d time.Duration, done ...func() bool) bool {
	end := b.clock.Now().Add(d)
	for len(b.queue) > 0 && !b.queue[0].at.After(end) {
		e := heap.Pop(&b.queue).(busEvent)
		b.clock.Set(e.at)
		e.run()
		if len(done) > 0 && done[0]() {
			return true
		}
	}
	b.clock.Set(end)
	return false
}

// member starts a member, or a new process at a known address.
func (b *bus) member(id, dataCentre string) *busNode {
	n := b.node(id, dataCentre)
	self := toucanbalance.Server{ID: id, Incarnation: b.clock.Now().UnixNano(), PeerAddress: id + "p", DataCentre: dataCentre}
	n.group = NewGroup(b.clock, rand.New(rand.NewPCG(b.random.Uint64(), 2)), "ordini", self)
	n.generation++
	generation := n.generation
	b.after(0, func() { b.step(n, n.group, Announce{PeerAddress: self.PeerAddress}) })
	b.ticks(n, func() bool { return n.generation == generation }, func() { b.step(n, n.group, Tick{}) })
	return n
}

// entryNode starts an entry that calls the service.
func (b *bus) entryNode(id, dataCentre string) *busNode {
	n := b.node(id, dataCentre)
	n.entry = NewEntry(b.clock, rand.New(rand.NewPCG(b.random.Uint64(), 3)), "ordini", id, dataCentre)
	b.ticks(n, func() bool { return true }, func() { b.step(n, n.entry, Tick{}) })
	return n
}

func (b *bus) node(id, dataCentre string) *busNode {
	n := b.nodes[id]
	if n == nil {
		n = &busNode{id: id, dataCentre: dataCentre, calls: make(map[uint64]func(Message))}
		b.nodes[id] = n
		b.order = append(b.order, n)
	}
	n.dead = false
	return n
}

// ticks drives a state machine; a paused node gets its ticks late and at once.
func (b *bus) ticks(n *busNode, current func() bool, tick func()) {
	var next func()
	next = func() {
		if !current() {
			return
		}
		b.whenRunning(n, tick)
		b.after(TickPeriod, next)
	}
	b.after(time.Duration(b.random.Int64N(int64(TickPeriod))), next)
}

// whenRunning runs f now, at the end of the node's pause, or never.
func (b *bus) whenRunning(n *busNode, f func()) {
	now := b.clock.Now()
	switch {
	case n.dead:
	case now.Before(n.pausedUntil):
		b.after(n.pausedUntil.Sub(now), func() { b.whenRunning(n, f) })
	default:
		f()
	}
}

type machine interface{ Step(Event) []Effect }

func (b *bus) step(n *busNode, m machine, e Event) {
	began := time.Now()
	effects := m.Step(e)
	took := time.Since(began)
	b.spent += took
	if r, ok := e.(Request); ok {
		if _, poll := r.Message.(ViewRequest); poll {
			b.polling += took
		}
	} else if m == machine(n.entry) {
		b.polling += took
	}
	for _, effect := range effects {
		switch f := effect.(type) {
		case Send:
			b.send(n, m, f)
		case Answer:
			if answer := n.calls[f.Call]; answer != nil {
				delete(n.calls, f.Call)
				answer(f.Message)
			}
		case ReadContacts:
			b.kvCall(n, m, func() { b.kv.reads++ })
		case WriteContacts:
			b.kvCall(n, m, func() {
				b.kv.write++
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

func (b *bus) kvCall(n *busNode, m machine, f func()) {
	b.after(2*time.Millisecond, func() {
		if b.kv.down {
			b.after(time.Second, func() { b.whenRunning(n, func() { b.step(n, m, Contacts{}) }) })
			return
		}
		f()
		c := Contacts{Known: true, Addresses: slices.Clone(b.kv.addresses), Index: b.kv.index}
		b.after(2*time.Millisecond, func() { b.whenRunning(n, func() { b.step(n, m, c) }) })
	})
}

func (b *bus) send(n *busNode, m machine, s Send) {
	to := b.nodes[s.To]
	done := false
	end := func(e Event) {
		if !done {
			done = true
			b.whenRunning(n, func() { b.step(n, m, e) })
		}
	}
	b.after(s.Timeout, func() { end(Failure{s.Seq}) })
	if to == nil || !b.carry(n, to, s.Message) {
		return
	}
	b.after(b.delay(n, to), func() {
		b.whenRunning(to, func() {
			if to.group == nil {
				return
			}
			to.call++
			to.calls[to.call] = func(answer Message) {
				if b.carry(to, n, answer) {
					b.after(b.delay(to, n), func() { end(Reply{s.Seq, answer}) })
				}
			}
			b.step(to, to.group, Request{Call: to.call, Message: s.Message})
		})
	})
}

// carry counts a message and reports whether it arrives.
func (b *bus) carry(from, to *busNode, m Message) bool {
	b.messages++
	if b.size != nil {
		b.bytes += b.size(m)
	}
	return !b.cut(from, to) && (b.loss == 0 || b.random.Float64() >= b.loss)
}

var busDataCentres = []string{"a", "b", "c"}

// service starts n members and some entries and lets them settle.
func (b *bus) service(n, entries int) {
	for i := range n {
		b.member(fmt.Sprintf("m%d", i), busDataCentres[i%3])
		if i == 0 {
			b.run(time.Second) // the first one writes the contacts
		}
	}
	b.run(15 * time.Second)
	for i := range entries {
		b.entryNode(fmt.Sprintf("e%d", i), busDataCentres[i%3])
	}
	b.run(6 * time.Second)
}

func (b *bus) entries() (out []*busNode) {
	for _, n := range b.order {
		if n.entry != nil {
			out = append(out, n)
		}
	}
	return out
}

func (b *bus) members() (out []*busNode) {
	for _, n := range b.order {
		if n.group != nil && !n.dead {
			out = append(out, n)
		}
	}
	return out
}

// chosen counts the entries that would still choose the server.
func (b *bus) chosen(id string) (n int) {
	for _, e := range b.entries() {
		if slices.ContainsFunc(e.servers, func(s toucanbalance.Server) bool {
			return s.ID == id && s.State == toucanbalance.Alive
		}) {
			n++
		}
	}
	return n
}

// agreed reports whether every running member sees exactly the running members
// that are not leaving as alive.
func (b *bus) agreed() bool {
	running := b.members()
	for _, n := range running {
		view := n.group.View().Members
		alive := 0
		for _, m := range view {
			if m.State == toucanbalance.Alive {
				alive++
				if b.nodes[m.ID].dead {
					return false
				}
			}
		}
		want := 0
		for _, r := range running {
			if r.group.self != nil && r.group.self.State == toucanbalance.Alive {
				want++
			}
		}
		if alive != want {
			return false
		}
	}
	return true
}
