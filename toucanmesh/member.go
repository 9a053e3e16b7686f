package toucanmesh

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"toucanhaven/toucanbackend"
	"toucanhaven/toucanpeer"
	"toucanhaven/toucanstore"
)

const (
	memberPrefix = "members/"
	// leaseTTL is how long a member stays listed after its node fell silent, and
	// renewTime the time between renewals.
	leaseTTL  = 5 * time.Second
	renewTime = 1500 * time.Millisecond
	// startRetry is the pause after a failed call to the store at the start, and
	// lostRetry the one while it is away: what lapsed meanwhile must be back within
	// 2 s of its return.
	startRetry = 300 * time.Millisecond
	lostRetry  = 700 * time.Millisecond
	// maxAsked is how many nodes are asked for all members by one that has not read
	// them from the store.
	maxAsked = 5
	// refreshTime is the time between reads of the members while one that is listed
	// cannot be reached, to drop those that are gone.
	refreshTime = 5 * time.Second
)

// registration keeps this node's member in the store.
type registration struct {
	kick chan struct{} // the member has changed

	mu       sync.Mutex
	lease    int64
	revision uint64
	written  toucanpeer.Member
	missing  bool // someone removed the key

	unread    atomic.Bool  // the members must be read
	read      atomic.Bool  // they were read at least once
	asked     atomic.Int32 // nodes that were asked for them
	refreshed time.Time    // last read of them for those that are gone; used by register alone
}

// self describes this node.
func (n *Node) self() toucanpeer.Member {
	s, b := n.settings.Load(), n.runner.Server()
	m := toucanpeer.Member{
		Node: s.Node, Address: s.PeerAdvertised, DataCentre: s.DataCentre, Service: s.Service,
		Instance: b.Instance, Born: b.Born, Slots: b.Slots, Left: b.Left,
		Serving: b.Serving() && !n.leaving.Load(),
	}
	if b.Instance != "" {
		m.Service = b.Service
	}
	return m
}

func (n *Node) hello() toucanpeer.Hello {
	return toucanpeer.Hello{From: n.self(), WantMembers: !n.member.read.Load() && n.member.asked.Add(1) <= maxAsked}
}

// backendChanged is told when the backend server starts or stops taking calls.
func (n *Node) backendChanged(s toucanbackend.Server) {
	n.log.Info("backend server changed", "instance", s.Instance, "born", s.Born, "service", s.Service, "serving", s.Serving(), "slots", s.Slots, "sequence", s.Sequence)
	n.changed()
}

// changed spreads a change of this node.
func (n *Node) changed() {
	n.fleet.SetSelf(n.self())
	signal(n.member.kick)
	n.announce()
}

// announce tells the connected nodes how this one is now.
func (n *Node) announce() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), markTimeout)
		defer cancel()
		n.fleet.Announce(ctx)
	}()
}

// register keeps the member in the store until ctx ends.
func (n *Node) register(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		err := n.registerOnce(ctx)
		n.noteStore(err)
		if first {
			n.member.unread.Store(true)
		}
		pause := renewTime
		if err != nil {
			pause = lostRetry
		} else if n.fleet.HasUnreachableMember() {
			n.refreshMembers(ctx)
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-n.member.kick:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// registerOnce renews the lease, or writes the member when it has changed or is
// gone.
func (n *Node) registerOnce(ctx context.Context) (err error) {
	r := &n.member
	r.mu.Lock()
	lease, revision, written, missing := r.lease, r.revision, r.written, r.missing
	r.mu.Unlock()
	self := n.self()
	if lease != 0 && written == self && !missing {
		err := n.store.Renew(ctx, lease)
		if !errors.Is(err, toucanstore.ErrLeaseEnded) {
			return err
		}
		n.log.Info("lease ended", "lease", lease)
		lease = 0
	}
	if lease == 0 {
		if lease, err = n.store.Grant(ctx, leaseTTL); err != nil {
			return err
		}
	}
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	key := memberPrefix + self.Node
	next, err := n.store.Put(ctx, key, value, lease, revision)
	var conflict *toucanstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		revision = conflict.Current.Revision
		next, err = n.store.Put(ctx, key, value, lease, revision)
	case errors.Is(err, toucanstore.ErrLeaseEnded):
		lease = 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if lease != r.lease { // others may have come while this node was not listed
		r.unread.Store(true)
	}
	r.lease = lease
	if err != nil {
		r.revision = revision
		return err
	}
	r.revision, r.written, r.missing = next, self, false
	n.log.Info("member written", "service", self.Service, "instance", self.Instance, "serving", self.Serving, "lease", lease, "revision", next)
	return nil
}

// unregister removes the member from the store.
func (n *Node) unregister() {
	n.member.mu.Lock()
	revision := n.member.revision
	n.member.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), stopReserve/2)
	defer cancel()
	if err := n.store.Delete(ctx, memberPrefix+n.settings.Load().Node, revision); err != nil {
		n.log.Warn("member not removed", "err", err)
	}
}

// takeMembers takes the members that the store lists.
func (n *Node) takeMembers(l toucanstore.Listing) {
	n.member.unread.Store(false)
	n.member.read.Store(true)
	members := n.decodeMembers(l)
	n.fleet.SetListed(members)
	own := n.settings.Load().Node
	if !slices.ContainsFunc(members, func(m toucanpeer.Member) bool { return m.Node == own }) {
		n.noteMissing()
	}
}

func (n *Node) decodeMembers(l toucanstore.Listing) (members []toucanpeer.Member) {
	for _, i := range l.Items {
		if m, ok := n.decodeMember(i); ok {
			members = append(members, m)
		}
	}
	return members
}

// refreshMembers reads the members to drop those that are gone, unless that was
// done not long ago. What it reads may be old, which only keeps them longer.
func (n *Node) refreshMembers(ctx context.Context) {
	now := n.clock.Now()
	if now.Sub(n.member.refreshed) < refreshTime {
		return
	}
	n.member.refreshed = now
	l, err := n.store.List(ctx, memberPrefix, toucanstore.Recent)
	if err != nil {
		n.log.Warn("list failed", "prefix", memberPrefix, "err", err)
		return
	}
	n.fleet.SetListed(n.decodeMembers(l))
}

func (n *Node) memberEvent(i toucanstore.Item) {
	name := strings.TrimPrefix(i.Key, memberPrefix)
	switch {
	case !i.Removed:
		if m, ok := n.decodeMember(i); ok {
			n.fleet.PutListed(m)
		}
	case name == n.settings.Load().Node:
		n.noteMissing()
	default:
		n.fleet.Unlist(name)
	}
}

// noteMissing writes the member again when its key was removed by someone else.
func (n *Node) noteMissing() {
	n.member.mu.Lock()
	written := n.member.written.Node != ""
	if written && !n.stopping.Load() {
		n.member.missing, n.member.revision = true, 0
	}
	n.member.mu.Unlock()
	if written {
		signal(n.member.kick)
	}
}

func (n *Node) decodeMember(i toucanstore.Item) (m toucanpeer.Member, ok bool) {
	if err := json.Unmarshal(i.Value, &m); err != nil || m.Address == "" || m.Node == "" {
		n.log.Warn("unreadable member", "key", i.Key, "err", err)
		return m, false
	}
	return m, true
}
