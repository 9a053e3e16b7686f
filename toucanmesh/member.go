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
	// leaseTTL is how long a member stays listed after its node has stopped
	// renewing the lease. renewInterval is the time between renewals.
	leaseTTL      = 5 * time.Second
	renewInterval = 1500 * time.Millisecond
	// startRetryDelay is the delay after a failed store call at startup.
	// renewRetryDelay is the delay after a failed renewal or write of the
	// member: a member that expired while the store was unreachable must be
	// listed again within 2 s of the return of the store.
	startRetryDelay = 300 * time.Millisecond
	renewRetryDelay = 700 * time.Millisecond
	// maxMemberRequests is the number of nodes that a node asks for all members
	// as long as it has not read them from the store.
	maxMemberRequests = 5
	// refreshInterval is the time between reads of the members while a listed
	// member is unreachable. The reads drop members that are no longer listed.
	refreshInterval = 5 * time.Second
)

// registration is the state of the member that this node keeps in the store,
// and of its reads of the other members.
type registration struct {
	wakeup chan struct{} // signals that the member must be written again

	mu         sync.Mutex
	lease      int64
	revision   uint64
	written    toucanpeer.Member
	keyRemoved bool // another process removed the key

	listDue       atomic.Bool  // the members must be listed again
	readFromStore atomic.Bool  // the members were read at least once
	requestCount  atomic.Int32 // nodes that were asked for all members
	lastRefresh   time.Time    // time of the last refresh; used by the register goroutine only
}

// selfMember returns the member that describes this node.
func (n *Node) selfMember() toucanpeer.Member {
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

func (n *Node) newHello() toucanpeer.Hello {
	return toucanpeer.Hello{From: n.selfMember(), WantMembers: !n.member.readFromStore.Load() && n.member.requestCount.Add(1) <= maxMemberRequests}
}

// backendChanged is called when the backend server starts or stops taking calls,
// restarts or announces another number of slots.
func (n *Node) backendChanged(s toucanbackend.Server) {
	n.log.Info("backend server changed", "instance", s.Instance, "born", s.Born, "service", s.Service, "serving", s.Serving(), "slots", s.Slots, "sequence", s.Sequence)
	n.publishSelf()
}

// publishSelf publishes a change of this node to the store and to the connected
// nodes.
func (n *Node) publishSelf() {
	n.fleet.SetSelf(n.selfMember())
	wake(n.member.wakeup)
	n.announceSelf()
}

// announceSelf sends the state of this node to the connected nodes, in the
// background.
func (n *Node) announceSelf() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		n.fleet.Announce(ctx)
	}()
}

// register keeps the member in the store until ctx ends.
func (n *Node) register(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		err := n.registerOnce(ctx)
		n.recordStoreHealth(err)
		if first {
			n.member.listDue.Store(true)
		}
		delay := renewInterval
		if err != nil {
			delay = renewRetryDelay
		} else if n.fleet.HasUnreachableMember() {
			n.refreshMembers(ctx)
		}
		t := time.NewTimer(delay)
		select {
		case <-t.C:
		case <-n.member.wakeup:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// registerOnce renews the lease, or writes the member if it has changed, its
// key was removed or the lease has ended.
func (n *Node) registerOnce(ctx context.Context) (err error) {
	r := &n.member
	r.mu.Lock()
	lease, revision, written, keyRemoved := r.lease, r.revision, r.written, r.keyRemoved
	r.mu.Unlock()
	self := n.selfMember()
	if lease != 0 && written == self && !keyRemoved {
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
	newRevision, err := n.store.Put(ctx, key, value, lease, revision)
	var conflict *toucanstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		revision = conflict.Current.Revision
		newRevision, err = n.store.Put(ctx, key, value, lease, revision)
	case errors.Is(err, toucanstore.ErrLeaseEnded):
		lease = 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if lease != r.lease { // other members may have joined while this node was not listed
		r.listDue.Store(true)
	}
	r.lease = lease
	if err != nil {
		r.revision = revision
		return err
	}
	r.revision, r.written, r.keyRemoved = newRevision, self, false
	n.log.Info("member written", "service", self.Service, "instance", self.Instance, "serving", self.Serving, "lease", lease, "revision", newRevision)
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

// applyMembers applies the list of members that the store returned.
func (n *Node) applyMembers(l toucanstore.Listing) {
	n.member.listDue.Store(false)
	n.member.readFromStore.Store(true)
	members := n.decodeMembers(l)
	n.fleet.SetListed(members)
	own := n.settings.Load().Node
	if !slices.ContainsFunc(members, func(m toucanpeer.Member) bool { return m.Node == own }) {
		n.handleKeyRemoval()
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

// refreshMembers reads the members and drops those that are no longer listed,
// at most once per refreshInterval. The read may be stale, which only keeps a
// removed member longer.
func (n *Node) refreshMembers(ctx context.Context) {
	now := n.clock.Now()
	if now.Sub(n.member.lastRefresh) < refreshInterval {
		return
	}
	n.member.lastRefresh = now
	l, err := n.store.List(ctx, memberPrefix, toucanstore.Recent)
	if err != nil {
		n.log.Warn("list failed", "prefix", memberPrefix, "err", err)
		return
	}
	n.fleet.SetListed(n.decodeMembers(l))
}

func (n *Node) handleMemberEvent(i toucanstore.Item) {
	name := strings.TrimPrefix(i.Key, memberPrefix)
	switch {
	case !i.Removed:
		if m, ok := n.decodeMember(i); ok {
			n.fleet.PutListed(m)
		}
	case name == n.settings.Load().Node:
		n.handleKeyRemoval()
	default:
		n.fleet.Unlist(name)
	}
}

// handleKeyRemoval makes register write the member again after another process
// has removed its key.
func (n *Node) handleKeyRemoval() {
	n.member.mu.Lock()
	written := n.member.written.Node != ""
	if written && !n.stopping.Load() {
		n.member.keyRemoved, n.member.revision = true, 0
	}
	n.member.mu.Unlock()
	if written {
		wake(n.member.wakeup)
	}
}

func (n *Node) decodeMember(i toucanstore.Item) (m toucanpeer.Member, ok bool) {
	if err := json.Unmarshal(i.Value, &m); err != nil || m.Address == "" || m.Node == "" {
		n.log.Warn("unreadable member", "key", i.Key, "err", err)
		return m, false
	}
	return m, true
}
