package toucanmesh

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
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
	// A node whose member is removed earlier is told by the node that watches the
	// store.
	leaseTTL      = 15 * time.Second
	renewInterval = 5 * time.Second
	// startRetryDelay is the delay after a failed store call at startup.
	// renewRetryDelay is the delay after a failed renewal or write of the
	// member: a member that expired while the store was unreachable must be
	// listed again within 2 s of the return of the store.
	startRetryDelay = 300 * time.Millisecond
	renewRetryDelay = 700 * time.Millisecond
	// announceTimeout limits a message to other nodes about this node or the members.
	announceTimeout = 500 * time.Millisecond
	// maxMemberRequests is the number of nodes that a node asks for all members
	// as long as it has not read them from the store.
	maxMemberRequests = 5
)

// registration is the state of the member that this node keeps in the store,
// and of its reads of the other members.
type registration struct {
	wakeup chan struct{} // signals that the member must be written again

	mu         sync.Mutex
	lease      int64
	revision   uint64
	written    toucanpeer.Member
	keyRemoved bool              // another process removed the key
	oddEntries map[string]uint64 // revision of each entry that was logged as unreadable, by key

	listDue       atomic.Bool   // the members must be listed again
	readFromStore atomic.Bool   // the members were read at least once
	requestCount  atomic.Int32  // nodes that were asked for all members
	asOf          atomic.Uint64 // revision of the store up to which this node knows the members
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

func (n *Node) newHello(near bool) toucanpeer.Hello {
	return toucanpeer.Hello{From: n.selfMember(), WantMembers: near && !n.member.readFromStore.Load() && n.member.requestCount.Add(1) <= maxMemberRequests}
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
		ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
		defer cancel()
		n.fleet.Announce(ctx)
	}()
}

// register keeps the member in the store until ctx ends.
func (n *Node) register(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		err := n.registerOnce(ctx)
		n.recordStoreHealth(err)
		if first && !n.member.readFromStore.Load() {
			n.member.listDue.Store(true)
		}
		delay := renewInterval
		if err != nil {
			delay = renewRetryDelay
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
	if err := n.probeStore(ctx); err != nil {
		return err
	}
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
	value, lease, err := n.prepareWrite(ctx, self, lease)
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
	r.memberWritten(n.log, self, newRevision)
	return nil
}

// memberWritten records that the store has the member. r.mu must be held.
func (r *registration) memberWritten(log *slog.Logger, self toucanpeer.Member, revision uint64) {
	r.revision, r.written, r.keyRemoved = revision, self, false
	log.Info("member written", "service", self.Service, "instance", self.Instance, "serving", self.Serving, "lease", r.lease, "revision", revision)
}

// probeStore makes a cheap call while the store is unreachable, and returns its error.
// Each call that the store refuses is paid for, and a read that may be stale costs a tenth
// of a write.
func (n *Node) probeStore(ctx context.Context) error {
	if !n.store.isUnreachable() {
		return nil
	}
	_, err := n.store.List(ctx, memberPrefix+n.settings.Load().Node, toucanstore.Recent, nil)
	return err
}

// prepareWrite encodes a member and returns the lease to write it under: the given one,
// or a new one if that is 0.
func (n *Node) prepareWrite(ctx context.Context, m toucanpeer.Member, lease int64) ([]byte, int64, error) {
	value, err := json.Marshal(m)
	if err == nil && lease == 0 {
		lease, err = n.store.Grant(ctx, leaseTTL)
	}
	return value, lease, err
}

// createMember writes the member if the store has neither one of this node nor a
// departure of its backend server.
func (n *Node) createMember(ctx context.Context) (err error) {
	if err := n.probeStore(ctx); err != nil {
		return err
	}
	r, self := &n.member, n.selfMember()
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	value, lease, err := n.prepareWrite(ctx, self, lease)
	if err != nil {
		return err
	}
	revision, err := n.store.Put(ctx, memberPrefix+self.Node, value, lease, 0, departurePrefix+self.Node)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = lease
	if errors.Is(err, toucanstore.ErrLeaseEnded) {
		r.lease = 0
	}
	if err == nil {
		r.memberWritten(n.log, self, revision)
	}
	return err
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

// applyMembers applies the list of members that the store returned, and sends it to
// the nodes of this data centre if this node watches the store for them.
func (n *Node) applyMembers(l toucanstore.Listing) {
	n.member.listDue.Store(false)
	n.member.readFromStore.Store(true)
	n.member.asOf.Store(l.AsOf)
	u := toucanpeer.MemberUpdate{AsOf: l.AsOf, All: true, Members: n.decodeMembers(l)}
	n.updateMembers(u)
	if n.isWatcher() {
		n.pushMembers(u)
	}
}

// applyMemberEvents applies changes of the members that a watch returned, and sends
// them to the nodes of this data centre.
func (n *Node) applyMemberEvents(l toucanstore.Listing) {
	n.member.asOf.Store(l.AsOf)
	if len(l.Items) == 0 {
		return
	}
	u := toucanpeer.MemberUpdate{AsOf: l.AsOf}
	changed := make(map[string]int) // index in l.Items of the last change of each key
	for i, item := range l.Items {
		changed[item.Key] = i
	}
	for i, item := range l.Items {
		if changed[item.Key] != i {
			continue
		}
		if item.Removed {
			u.Removed = append(u.Removed, strings.TrimPrefix(item.Key, memberPrefix))
		} else if m, ok := n.decodeMember(item); ok {
			u.Members = append(u.Members, m)
		}
	}
	n.updateMembers(u)
	n.pushMembers(u)
}

// pushMembers sends a change of the members to the nodes of this data centre.
func (n *Node) pushMembers(u toucanpeer.MemberUpdate) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	n.fleet.PushMembers(ctx, u)
}

// pushAllMembers sends all members to a node that has connected, which may have
// missed changes, if this node watches the store for it.
func (n *Node) pushAllMembers(link *toucanpeer.Link, sameDC bool) {
	if !sameDC || !n.member.readFromStore.Load() || !n.isWatcher() {
		return
	}
	u := toucanpeer.MemberUpdate{AsOf: n.member.asOf.Load(), All: true, Members: n.fleet.Listed()}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
		defer cancel()
		link.PushMembers(ctx, u)
	}()
}

// updateMembers applies a change of the members that the store lists.
func (n *Node) updateMembers(u toucanpeer.MemberUpdate) {
	own := n.settings.Load().Node
	removed := slices.Contains(u.Removed, own)
	if u.All {
		n.fleet.SetListed(u.Members)
		removed = !slices.ContainsFunc(u.Members, func(m toucanpeer.Member) bool { return m.Node == own })
	} else {
		for _, m := range u.Members {
			n.fleet.PutListed(m)
		}
	}
	for _, name := range u.Removed {
		n.fleet.Unlist(name)
	}
	if removed {
		n.handleKeyRemoval(u.AsOf)
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

// handleKeyRemoval makes register write the member again if its key was removed
// after it was last written and before the revision asOf.
func (n *Node) handleKeyRemoval(asOf uint64) {
	n.member.mu.Lock()
	removed := n.member.written.Node != "" && asOf > n.member.revision && !n.stopping.Load()
	if removed {
		n.member.keyRemoved, n.member.revision = true, 0
	}
	n.member.mu.Unlock()
	if removed {
		wake(n.member.wakeup)
	}
}

// decodeMember decodes an entry of the store. Another process may have written it, so it
// is used only if it describes a member completely.
func (n *Node) decodeMember(i toucanstore.Item) (m toucanpeer.Member, ok bool) {
	if i.Removed {
		return m, false
	}
	err := json.Unmarshal(i.Value, &m)
	if err == nil {
		err = checkMember(strings.TrimPrefix(i.Key, memberPrefix), m)
	}
	if err != nil {
		n.reportOddEntry(i, err)
	}
	return m, err == nil
}

// isMember reports whether an entry of the store describes a member.
func (n *Node) isMember(i toucanstore.Item) bool {
	_, ok := n.decodeMember(i)
	return ok
}

// maxSlots bounds the slots that a member may announce.
const maxSlots = 1_000_000

// checkMember returns an error if m is not a complete member that the node called name
// can have written.
func checkMember(name string, m toucanpeer.Member) error {
	address, err := netip.ParseAddrPort(m.Address)
	switch {
	case err != nil:
		return fmt.Errorf("address: %w", err)
	case address.Port() == 0:
		return fmt.Errorf("address %q has no port", m.Address)
	case m.Node != name:
		return fmt.Errorf("node is %q, want %q", m.Node, name)
	case m.Service == "" || m.DataCentre == "":
		return fmt.Errorf("no service or data centre")
	case m.Slots < 0 || m.Slots > maxSlots:
		return fmt.Errorf("%d slots, want 0 to %d", m.Slots, maxSlots)
	}
	return nil
}

// maxOddEntries bounds the entries of which reportOddEntry remembers that they were
// logged.
const maxOddEntries = 1024

// reportOddEntry counts an entry that cannot be used, and logs it once for each revision.
func (n *Node) reportOddEntry(i toucanstore.Item, err error) {
	n.metrics.oddEntries.Inc()
	n.member.mu.Lock()
	logged := n.member.oddEntries[i.Key] == i.Revision
	if len(n.member.oddEntries) >= maxOddEntries {
		clear(n.member.oddEntries)
	}
	n.member.oddEntries[i.Key] = i.Revision
	n.member.mu.Unlock()
	if !logged {
		n.log.Warn("unreadable member", "key", i.Key, "revision", i.Revision, "bytes", len(i.Value), "err", err)
	}
}
