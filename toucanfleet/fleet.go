// Package toucanfleet tracks the members of each service and chooses the member
// that a call is sent to.
//
// A member is a node with the backend server beside it. Members come from the
// store, from nodes that connect to this one and from the nodes it connects to.
package toucanfleet

import (
	"log/slog"
	"sync"
	"time"

	"toucanhaven/toucanbalance"
	"toucanhaven/toucanclock"
	"toucanhaven/toucanpeer"
)

// unlistedRetention is how long this node keeps a member that the store no longer
// lists and that is not connected. A node that could not reach the store may become
// reachable again at the same address.
const unlistedRetention = 20 * time.Second

// LocalReporter reports the state of this node and of the backend server beside
// it.
type LocalReporter interface {
	Report() toucanpeer.Report
}

// Fleet is this node's view of the other nodes. It is safe for concurrent use.
type Fleet struct {
	clock           toucanclock.Clock
	log             *slog.Logger
	hello           func(near bool) toucanpeer.Hello
	documentVersion func() uint64
	ping            func() toucanpeer.Ping
	onNewerDocument func(version uint64, link *toucanpeer.Link, sameDC bool)
	onLinkUp        func(link *toucanpeer.Link, sameDC bool)
	local           LocalReporter
	messages        toucanpeer.MessageMemory

	mu        sync.Mutex
	self      toucanpeer.Member
	nodes     map[string]*node // by peer address
	byService map[string][]*node
	routes    map[string]routeStats
	onReply   func(toucanpeer.HelloReply)

	extraLinks      map[string]extraLinks // by service
	linksDue        bool                  // the wanted links must be selected again
	linksSelectedAt time.Time
	linkCount       int // wanted links
	started         time.Time
	listRead        bool          // SetListed was called
	nodeAdded       chan struct{} // makes Run check the links before the next tick
}

// node is the state that this node keeps of one member.
type node struct {
	member       toucanpeer.Member
	firsthand    bool              // the node itself sent this member record
	lastDeparted toucanpeer.Member // last record of a backend server that left for good (Left is set)
	lastServer   toucanpeer.Member // last record that the node sent of a backend server, unless that left
	link         *toucanpeer.Link  // nil for this node itself
	connected    bool
	unreachable  bool      // the link went down and is not connected again
	wanted       bool      // this node keeps the link connected
	wantedAt     time.Time // when wanted was last set
	preference   uint64    // lower for the members that this node prefers to link to
	watchHash    uint64    // order among the nodes that may watch the store
	listed       bool      // by the store
	lastSeen     time.Time // when it was last listed or sent a message
	report       toucanpeer.Report
	reportedAt   time.Time
	otherCalls   int // running and queued calls from other nodes, at the time of the report
	inFlight     int // calls from this node
	stats        memberStats
}

// Options configures a fleet. All fields but Messages are required.
type Options struct {
	Clock toucanclock.Clock
	Log   *slog.Logger
	Self  toucanpeer.Member
	// Hello returns the first message on a link. near reports whether the link is
	// to a node of the same data centre or none of those is connected.
	Hello   func(near bool) toucanpeer.Hello
	Ping    func() toucanpeer.Ping
	Version func() uint64
	// OnNewerDocument is called when another node reports a configuration
	// document that is newer than Version.
	OnNewerDocument func(version uint64, link *toucanpeer.Link, sameDC bool)
	// OnLinkUp is called when a link connects.
	OnLinkUp func(link *toucanpeer.Link, sameDC bool)
	// OnReply is called, when a link connects, with the other node's reply to the hello.
	OnReply func(toucanpeer.HelloReply)
	Local   LocalReporter
	// Messages bounds the memory of the messages that links read. It may be zero.
	Messages toucanpeer.MessageMemory
}

// New returns a fleet whose only member is this node.
func New(o Options) *Fleet {
	f := &Fleet{
		clock: o.Clock, log: o.Log, hello: o.Hello, ping: o.Ping, documentVersion: o.Version, onNewerDocument: o.OnNewerDocument,
		onLinkUp: o.OnLinkUp, local: o.Local, messages: o.Messages, onReply: o.OnReply,
		self: o.Self, nodes: make(map[string]*node), byService: make(map[string][]*node),
		routes: make(map[string]routeStats), extraLinks: make(map[string]extraLinks), started: o.Clock.Now(),
		nodeAdded: make(chan struct{}, 1),
	}
	n := &node{connected: true, listed: true}
	f.nodes[o.Self.Address] = n
	f.setFirsthand(n, o.Self)
	return f
}

// SetSelf replaces the member record of this node. Its address must be the one that New
// was given.
func (f *Fleet) SetSelf(m toucanpeer.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self = m
	f.setFirsthand(f.nodes[m.Address], m)
}

// SetListed replaces the set of listed members by the members in the store.
func (f *Fleet) SetListed(members []toucanpeer.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listRead, f.linksDue = true, true
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.Address] = true
		f.putListed(m)
	}
	for addr, n := range f.nodes {
		if !listed[addr] {
			f.unlist(n)
		}
	}
}

// PutListed adds or updates one member that the store lists.
func (f *Fleet) PutListed(m toucanpeer.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.putListed(m)
}

// Unlist records that a node was removed from the store. While its link is
// connected the node stays in use, because its entry in the store also expires
// when only the store is unreachable from it.
func (f *Fleet) Unlist(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.member.Node == name {
			f.unlist(n)
		}
	}
}

// unlist records that the store no longer lists a node. f.mu must be held.
func (f *Fleet) unlist(n *node) {
	if n.link != nil && n.listed {
		n.listed = false
		f.log.Info("member unlisted", "node", n.member.Node, "address", n.member.Address, "connected", n.connected)
	}
}

// WatchRank returns the position of this node, from 0, among the nodes of its data
// centre that may watch the store, which are those that are connected and reach the
// store, and how many of them watch. The order is by a hash of the node name. Each
// data centre has a watcher, and with less than minWatchers data centres some have
// more.
func (f *Fleet) WatchRank() (rank, watchers int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := watchHash(f.self.Node)
	dataCentres := map[string]struct{}{f.self.DataCentre: {}}
	for _, n := range f.nodes {
		if n.link == nil {
			continue
		}
		dataCentres[n.member.DataCentre] = struct{}{}
		if n.member.DataCentre == f.self.DataCentre && n.connected && n.report.Store && n.watchHash < own {
			rank++
		}
	}
	return rank, (minWatchers + len(dataCentres) - 1) / len(dataCentres)
}

// minWatchers is the number of nodes that watch the store at least, over all data
// centres.
const minWatchers = 3

// watchHash orders the nodes that may watch the store.
func watchHash(node string) uint64 { return toucanbalance.Hash("watch", node) }

// PutConnected adds or updates a member that opened a connection to this node.
func (f *Fleet) PutConnected(m toucanpeer.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.Address == "" || m.Address == f.self.Address {
		return
	}
	n := f.nodes[m.Address]
	if n == nil {
		n = f.addNode(m)
	}
	f.setFirsthand(n, m)
	n.lastSeen = f.clock.Now()
}

// Members returns all members, listed or not.
func (f *Fleet) Members() []toucanpeer.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]toucanpeer.Member, 0, len(f.nodes))
	for _, n := range f.nodes {
		list = append(list, n.member)
	}
	return list
}

// NeighboursConnected reports whether all listed nodes of this data centre are connected.
func (f *Fleet) NeighboursConnected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.link != nil && n.listed && !n.connected && n.member.DataCentre == f.self.DataCentre {
			return false
		}
	}
	return true
}

// Listed returns the members that the store lists, and this node.
func (f *Fleet) Listed() []toucanpeer.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]toucanpeer.Member, 0, len(f.nodes))
	for _, n := range f.nodes {
		if n.listed {
			list = append(list, n.member)
		}
	}
	return list
}

// LastKnown returns the record of the node at a peer address, for a node that has
// restarted and lost its own state. If the backend server left and no new start
// of it is known, LastKnown returns the record of the departure. If the node has no
// server any more, it returns the record of the last one. It returns the
// zero Member for an unknown address and if the node has not sent its record itself:
// the store may list it as it was before its backend server left.
func (f *Fleet) LastKnown(address string) toucanpeer.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[address]
	switch {
	case n == nil:
		return toucanpeer.Member{}
	case n.lastDeparted.Left && sameStart(n.member, n.lastDeparted):
		return n.lastDeparted
	case n.member.Instance == "" && n.lastServer.Instance != "":
		return n.lastServer
	case n.member.Instance == "":
		return n.lastDeparted
	case !n.firsthand:
		return toucanpeer.Member{}
	}
	return n.member
}

// CountServing returns the number of members of a service that take calls, as far
// as this node knows.
func (f *Fleet) CountServing(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count, now := 0, f.clock.Now()
	for _, n := range f.byService[service] {
		if f.mayTakeCalls(n, now) {
			count++
		}
	}
	return count
}

// Size returns the number of nodes that are listed or connected, including this
// one.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	size := 0
	for _, n := range f.nodes {
		if n.listed || n.connected {
			size++
		}
	}
	return size
}

// putListed adds or updates a listed member. f.mu must be held.
func (f *Fleet) putListed(m toucanpeer.Member) {
	if m.Address == "" || m.Address == f.self.Address {
		return
	}
	n := f.nodes[m.Address]
	if n == nil {
		n = f.addNode(m)
	}
	n.listed = true
	n.lastSeen = f.clock.Now()
	if !n.connected { // a connected node's own messages are newer than the store
		f.setMember(n, m)
	}
}

// addNode creates the node of a member. f.mu must be held.
func (f *Fleet) addNode(m toucanpeer.Member) *node {
	n := &node{lastSeen: f.clock.Now()}
	f.nodes[m.Address] = n
	f.setMember(n, m)
	f.newLink(n)
	f.log.Info("member added", "node", m.Node, "address", m.Address, "service", m.Service)
	select { // dials at once: a restarted node learns from its neighbours what it must know
	case f.nodeAdded <- struct{}{}:
	default:
	}
	return n
}

// setFirsthand replaces the member record of a node by the one that it sent itself. f.mu must
// be held.
func (f *Fleet) setFirsthand(n *node, m toucanpeer.Member) {
	f.setMember(n, m)
	n.firsthand = true
	if m.Instance != "" && !m.Left {
		n.lastServer = m
	}
}

// setMember replaces the member record of a node. f.mu must be held.
func (f *Fleet) setMember(n *node, m toucanpeer.Member) {
	if n.member == m {
		return
	}
	n.firsthand = false
	if n.member.Instance != m.Instance || n.member.Born != m.Born {
		n.stats = memberStats{}
	}
	if n.member.Serving != m.Serving || n.member.Instance != m.Instance {
		f.log.Info("member changed", "node", m.Node, "service", m.Service, "instance", m.Instance, "serving", m.Serving)
	}
	if n.member.Node != m.Node {
		n.preference, n.watchHash = toucanbalance.Hash(f.self.Node, m.Node), watchHash(m.Node)
	}
	if n.member.Service != m.Service {
		f.removeFromService(n)
		f.byService[m.Service] = append(f.byService[m.Service], n)
	}
	n.member = m
	f.linksDue = true
	if m.Left {
		n.lastDeparted = m
		if sameStart(m, n.lastServer) {
			n.lastServer = toucanpeer.Member{}
		}
	}
}

// sameStart reports whether two records are of the same start of a backend server.
func sameStart(a, b toucanpeer.Member) bool { return a.Instance == b.Instance && a.Born == b.Born }

func (f *Fleet) removeFromService(n *node) {
	list := f.byService[n.member.Service]
	for i, other := range list {
		if other == n {
			f.byService[n.member.Service] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}
