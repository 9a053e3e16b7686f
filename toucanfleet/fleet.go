// Package toucanfleet knows the members of each service and chooses the one
// that a call is sent to.
package toucanfleet

import (
	"hash/fnv"
	"io"
	"log/slog"
	"sync"
	"time"

	"toucanhaven/toucanclock"
	"toucanhaven/toucanpeer"
)

const (
	// unlistedTime is how long a member that is no longer listed and cannot be
	// reached is dialled on. A node that was cut off from the store may come back
	// at its address.
	unlistedTime = 20 * time.Second
	// unreachableTime is the silence of a listed member after which the store is
	// asked whether it is gone.
	unreachableTime = 3 * time.Second
)

// Local runs calls at the backend server beside this node.
type Local interface {
	Report() toucanpeer.Report
}

// Fleet is this node's view of the other nodes. It is safe for concurrent use.
type Fleet struct {
	clock   toucanclock.Clock
	log     *slog.Logger
	hello   func() toucanpeer.Hello
	version func() uint64
	ping    func() toucanpeer.Ping
	newer   func(version uint64, link *toucanpeer.Link)
	local   Local

	mu        sync.Mutex
	self      toucanpeer.Member
	nodes     map[string]*node // by peer address
	byService map[string][]*node
	routes    map[string]routeStats
	told      func(addr string, m toucanpeer.Member) // what another node knows of this one
}

// node is one member as this node knows it.
type node struct {
	member   toucanpeer.Member
	departed toucanpeer.Member // last member whose backend server left
	link     *toucanpeer.Link  // nil for this node itself
	up       bool
	listed   bool      // in the store
	unlisted time.Time // removed from the store
	seen     time.Time // last listed or connected
	lost     time.Time // since when the link is down
	report   toucanpeer.Report
	reported time.Time
	others   int // calls of other nodes when the report was made
	inFlight int // calls of this node
	stats    stats
}

// Options are what a fleet needs of its node.
type Options struct {
	Clock   toucanclock.Clock
	Log     *slog.Logger
	Self    toucanpeer.Member
	Hello   func() toucanpeer.Hello
	Ping    func() toucanpeer.Ping
	Version func() uint64
	// OnNewerDocument is told when a node has a newer document.
	OnNewerDocument func(version uint64, link *toucanpeer.Link)
	// OnSelfRecord is told what another node knows of this one.
	OnSelfRecord func(addr string, m toucanpeer.Member)
	Local        Local
}

// New returns a fleet that knows only this node.
func New(o Options) *Fleet {
	f := &Fleet{
		clock: o.Clock, log: o.Log, hello: o.Hello, ping: o.Ping, version: o.Version, newer: o.OnNewerDocument, local: o.Local, told: o.OnSelfRecord,
		self: o.Self, nodes: make(map[string]*node), byService: make(map[string][]*node),
		routes: make(map[string]routeStats),
	}
	n := &node{up: true, listed: true}
	f.nodes[o.Self.Address] = n
	f.setMember(n, o.Self)
	return f
}

// SetSelf replaces what is known of this node.
func (f *Fleet) SetSelf(m toucanpeer.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self = m
	f.setMember(f.nodes[m.Address], m)
}

// SetListed replaces the listed members by those of the store.
func (f *Fleet) SetListed(members []toucanpeer.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.Address] = true
		f.put(m)
	}
	for addr, n := range f.nodes {
		if !listed[addr] && n.link != nil {
			n.listed = false
		}
	}
}

// PutListed takes one member from the store.
func (f *Fleet) PutListed(m toucanpeer.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.put(m)
}

// Unlist notes that a member was removed from the store. A node that answers on
// its link stays in use, because a lapsed entry may only mean that the node
// cannot reach the store; it is told.
func (f *Fleet) Unlist(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, n := range f.nodes {
		if n.member.Node == name && n.link != nil && n.listed {
			n.listed, n.unlisted = false, f.clock.Now()
			f.log.Info("member unlisted", "node", name, "address", address, "connected", n.up)
		}
	}
}

// Rank returns how many of the connected nodes that reach the store come before
// this one.
func (f *Fleet) Rank() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	rank := 0
	own := rankOf(f.self.Node)
	for _, n := range f.nodes {
		if n.link != nil && n.up && n.report.Store && rankOf(n.member.Node) < own {
			rank++
		}
	}
	return rank
}

// rankOf orders nodes evenly over the data centres.
func rankOf(node string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, node)
	return h.Sum64()
}

// HasUnreachableMember reports whether a listed member has been unreachable for some time.
func (f *Fleet) HasUnreachableMember() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, n := range f.nodes {
		if n.link != nil && n.listed && !n.up && now.Sub(n.lost) > unreachableTime {
			return true
		}
	}
	return false
}

// PutConnected takes a member that connected to this node.
func (f *Fleet) PutConnected(m toucanpeer.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.Address == "" || m.Address == f.self.Address {
		return
	}
	n := f.nodes[m.Address]
	if n == nil {
		n = f.add(m)
	}
	f.setMember(n, m)
	n.seen = f.clock.Now()
}

// Members returns all known members.
func (f *Fleet) Members() []toucanpeer.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]toucanpeer.Member, 0, len(f.nodes))
	for _, n := range f.nodes {
		list = append(list, n.member)
	}
	return list
}

// LastKnown returns what is known of the node at an address, for a node that has
// restarted and knows nothing itself. A departure goes first.
func (f *Fleet) LastKnown(address string) toucanpeer.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[address]
	switch {
	case n == nil:
		return toucanpeer.Member{}
	case n.departed.Left && (n.member.Instance == "" || n.member.Instance == n.departed.Instance && n.member.Born == n.departed.Born):
		return n.departed
	}
	return n.member
}

// CountServing returns the number of members of a service that take calls.
func (f *Fleet) CountServing(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count, now := 0, f.clock.Now()
	for _, n := range f.byService[service] {
		if f.usable(n, now) {
			count++
		}
	}
	return count
}

// Size returns the number of nodes that are listed or connected, this one
// included.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	size := 0
	for _, n := range f.nodes {
		if n.listed || n.up {
			size++
		}
	}
	return size
}

// put adds or updates a listed member. mu is held.
func (f *Fleet) put(m toucanpeer.Member) {
	if m.Address == "" || m.Address == f.self.Address {
		return
	}
	n := f.nodes[m.Address]
	if n == nil {
		n = f.add(m)
	}
	n.listed = true
	n.seen = f.clock.Now()
	if !n.up { // what a connected node says of itself is newer
		f.setMember(n, m)
	}
}

// add creates the node of a member and its link. mu is held.
func (f *Fleet) add(m toucanpeer.Member) *node {
	n := &node{seen: f.clock.Now(), lost: f.clock.Now()}
	n.link = toucanpeer.NewLink(m.Address, f.hello, func() toucanpeer.Ping { return f.pingTo(m.Address) }, f)
	f.nodes[m.Address] = n
	f.setMember(n, m)
	f.log.Info("member added", "node", m.Node, "address", m.Address, "service", m.Service)
	n.link.Tick(f.clock.Now(), f.probeTime(n))
	return n
}

// setMember replaces the member of a node. mu is held.
func (f *Fleet) setMember(n *node, m toucanpeer.Member) {
	if n.member == m {
		return
	}
	if n.member.Instance != m.Instance || n.member.Born != m.Born {
		n.stats = stats{}
	}
	if n.member.Serving != m.Serving || n.member.Instance != m.Instance {
		f.log.Info("member changed", "node", m.Node, "service", m.Service, "instance", m.Instance, "serving", m.Serving)
	}
	if n.member.Service != m.Service {
		f.removeFromService(n)
		f.byService[m.Service] = append(f.byService[m.Service], n)
	}
	n.member = m
	if m.Left {
		n.departed = m
	}
}

func (f *Fleet) removeFromService(n *node) {
	list := f.byService[n.member.Service]
	for i, other := range list {
		if other == n {
			f.byService[n.member.Service] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}
