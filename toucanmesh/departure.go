package toucanmesh

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"toucanhaven/toucanbackend"
	"toucanhaven/toucanpeer"
	"toucanhaven/toucanstore"
)

const (
	departurePrefix = "left/"
	// maxDepartures bounds the departures in the record of a node.
	maxDepartures = 8
	// departureTTL is how long the store keeps a departure. It is longer than a
	// backend server continues to run after it announced its departure.
	departureTTL = 60 * time.Second
	// departureAckTimeout limits the wait for the record of a departure, which
	// precedes its acknowledgement. A server that has waited a second for the
	// acknowledgement calls another node.
	departureAckTimeout = 800 * time.Millisecond
	// departureWriteTimeout limits one attempt to record a departure.
	departureWriteTimeout = 2 * time.Second
	// peerReportWait is the longest time in which other nodes may still report a
	// departure when the store has none: another node remembers a departure that was
	// announced but not recorded. peerReportPoll is the interval between looks whether all
	// nodes of the data centre have had the opportunity.
	peerReportWait = 300 * time.Millisecond
	peerReportPoll = 5 * time.Millisecond
	// departureRetryDelay is the delay after a failed attempt to record a departure.
	departureRetryDelay = 700 * time.Millisecond
	// freshHeartbeatShare is a share of the heartbeat interval. A further
	// heartbeat that arrives at least this long after the first one was sent
	// after this node started.
	freshHeartbeatShare = 0.6
)

// startupState is what a node knows about its backend server before it may use
// the server.
type startupState struct {
	mu                sync.Mutex
	departureResolved bool // it is known whether the server left before this node started
	heartbeats        int
	firstArrival      time.Time // arrival of the first heartbeat
	lastHeartbeat     toucanbackend.Heartbeat

	// Last report of another node about the backend server, and the address of
	// that node.
	lastReport   departure
	lastReporter string
}

// recording holds the departures that this node has started to record.
type recording struct {
	mu      sync.Mutex
	started map[departure]chan struct{} // closed when the store has the departure
}

// departure identifies one start of a backend server that has left. The record of a
// node in the store is a JSON array of departures, oldest first.
type departure struct {
	Instance string `json:"instance"`
	Born     int64  `json:"born"`
}

// HandleHeartbeat handles a heartbeat of the backend server. A departure is
// recorded before it is acknowledged, so that this node knows of it after a
// restart.
func (n *Node) HandleHeartbeat(h toucanbackend.Heartbeat) error {
	s := n.settings.Load()
	if h.Service != s.Service || h.Address != s.BackendAddress {
		if n.settingsFile != "" {
			n.Reload()
			s = n.settings.Load()
		}
		if h.Service != s.Service || h.Address != s.BackendAddress {
			return fmt.Errorf("server %s of service %q at %s is not the one on this VM, %q at %s", h.Instance, h.Service, h.Address, s.Service, s.BackendAddress)
		}
	}
	if !n.admitHeartbeat(h) {
		return nil
	}
	return n.observeHeartbeat(h)
}

// admitHeartbeat reports whether a heartbeat may be used now. Until it is known
// whether the server left before this node started, only a draining heartbeat
// may be used, and the newest heartbeat is kept for resolveDeparture. This
// becomes known from the store, from another node, or from a server that
// continues to report that it is ready.
func (n *Node) admitHeartbeat(h toucanbackend.Heartbeat) bool {
	n.startup.mu.Lock()
	defer n.startup.mu.Unlock()
	now := n.clock.Now()
	if n.startup.heartbeats == 0 {
		n.startup.firstArrival = now
	}
	n.startup.heartbeats++
	if now.Sub(n.startup.firstArrival).Seconds() > freshHeartbeatShare*n.settings.Load().Heartbeat.Seconds() && h.Sequence > n.startup.lastHeartbeat.Sequence {
		n.startup.departureResolved = true
	}
	if n.startup.lastHeartbeat.Born <= h.Born {
		n.startup.lastHeartbeat = h
	}
	return n.startup.departureResolved || h.State == toucanbackend.Draining
}

func (n *Node) observeHeartbeat(h toucanbackend.Heartbeat) error {
	verdict := n.runner.Observe(h)
	if verdict == toucanbackend.Late {
		n.log.Info("late heartbeat", "instance", h.Instance, "born", h.Born, "sequence", h.Sequence, "state", string(h.State))
	}
	if h.State != toucanbackend.Draining {
		return nil
	}
	if s := n.runner.Server(); verdict == toucanbackend.Late && s.Instance == h.Instance && s.Born == h.Born && !s.Left {
		return nil // the same start reported later that it is ready
	}
	n.runner.MarkLeft(h.Instance, h.Born)
	return n.recordDeparture(departure{h.Instance, h.Born})
}

// HandleDeparture handles the message of a backend server that it has left. The node
// may not know the server: it may have just started, or heard of an earlier one only.
func (n *Node) HandleDeparture(instance string, born int64) error {
	if s := n.runner.Server(); born == 0 && s.Instance == instance {
		born = s.Born
	}
	if born == 0 {
		return fmt.Errorf("departure of server %s, which is not known, has no start time", instance)
	}
	if n.runner.MarkLeft(instance, born) == toucanbackend.Late {
		n.log.Info("departure of another server", "instance", instance, "born", born)
	}
	return n.recordDeparture(departure{instance, born})
}

// recordDeparture waits until the store has a departure. It returns an error if that
// takes too long; the departure must not be acknowledged then, because only the store
// outlives the processes of all nodes. The attempts to record it go on.
func (n *Node) recordDeparture(d departure) error {
	t := time.NewTimer(departureAckTimeout)
	defer t.Stop()
	select {
	case <-n.startRecording(d):
		return nil
	case <-t.C:
		return fmt.Errorf("departure of server %s born %d is not recorded after %v", d.Instance, d.Born, departureAckTimeout)
	}
}

// startRecording starts to record a departure unless that was started before. It returns
// a channel that is closed when the store has the departure.
func (n *Node) startRecording(d departure) <-chan struct{} {
	n.recording.mu.Lock()
	defer n.recording.mu.Unlock()
	if recorded, ok := n.recording.started[d]; ok {
		return recorded
	}
	recorded := make(chan struct{})
	n.recording.started[d] = recorded
	go n.keepRecording(d, recorded)
	return recorded
}

// keepRecording tries to record a departure until that succeeds or the departure no
// longer matters.
func (n *Node) keepRecording(d departure, recorded chan struct{}) {
	end := n.clock.Now().Add(departureTTL)
	for n.clock.Now().Before(end) {
		byPeer, err := n.tryRecord(d)
		n.log.Info("departure", "instance", d.Instance, "born", d.Born, "stored", err == nil, "by_peer", byPeer, "err", err)
		if err == nil {
			close(recorded)
			time.AfterFunc(departureTTL, func() { n.endRecording(d) })
			return
		}
		select {
		case <-n.stop:
			return
		case <-time.After(departureRetryDelay):
		}
	}
	n.endRecording(d)
}

func (n *Node) endRecording(d departure) {
	n.recording.mu.Lock()
	defer n.recording.mu.Unlock()
	delete(n.recording.started, d)
}

// tryRecord records a departure in the store. If the store does not serve this node, it
// asks other nodes to do so, which the store may serve.
func (n *Node) tryRecord(d departure) (byPeer bool, err error) {
	unreachable := n.store.isUnreachable()
	if unreachable && n.recordByPeer(d) {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), departureWriteTimeout)
	defer cancel()
	err = n.probeStore(ctx)
	if err == nil {
		err = n.writeDeparture(ctx, n.settings.Load().Node, d)
	}
	n.recordStoreHealth(err)
	if err != nil && !unreachable && n.recordByPeer(d) {
		return true, nil
	}
	return false, err
}

func (n *Node) recordByPeer(d departure) bool {
	ctx, cancel := context.WithTimeout(context.Background(), departureWriteTimeout)
	defer cancel()
	return n.fleet.RecordDeparture(ctx, toucanpeer.Departure{Node: n.settings.Load().Node, Instance: d.Instance, Born: d.Born})
}

// writeDeparture adds a departure to the record of a node in the store. The record may
// hold departures that this node has not read yet.
func (n *Node) writeDeparture(ctx context.Context, node string, d departure) error {
	lease, err := n.store.Grant(ctx, departureTTL)
	if err != nil {
		return err
	}
	record, revision := []departure{d}, uint64(0)
	for {
		value, err := json.Marshal(record)
		if err != nil {
			return err
		}
		_, err = n.store.Put(ctx, departurePrefix+node, value, lease, revision)
		var conflict *toucanstore.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		stored := n.decodeDepartures(conflict.Current)
		if slices.Contains(stored, d) {
			return nil
		}
		record, revision = append(stored, d), conflict.Current.Revision
		record = record[max(0, len(record)-maxDepartures):]
	}
}

// decodeDepartures decodes a record of departures.
func (n *Node) decodeDepartures(i toucanstore.Item) (list []departure) {
	if len(i.Value) == 0 {
		return nil
	}
	if err := json.Unmarshal(i.Value, &list); err != nil {
		n.log.Error("unreadable departure", "key", i.Key, "err", err)
		return nil
	}
	return slices.DeleteFunc(list, func(d departure) bool { return d.Instance == "" })
}

// recoverState writes the member of this node for the first time, under the condition
// that the store has neither a departure of its backend server nor a member of an
// earlier start of this node. If the condition fails, the store returns both. It
// retries until the store answers, also if the departure is resolved by other means
// meanwhile: late heartbeats may have put a server into use that has left.
func (n *Node) recoverState(ctx context.Context) {
	for ctx.Err() == nil {
		err := n.createMember(ctx)
		var conflict *toucanstore.ConflictError
		if !errors.As(err, &conflict) {
			n.recordStoreHealth(err)
		}
		switch {
		case err == nil:
			n.awaitNeighbours(ctx)
			n.resolveDeparture("store")
			return
		case errors.As(err, &conflict):
			n.applyStoredState(ctx, conflict)
			return
		}
		n.log.Warn("departures not read", "err", err)
		if n.isDepartureResolved() {
			sleep(ctx, renewRetryDelay)
		} else {
			sleep(ctx, startRetryDelay)
		}
	}
}

// awaitNeighbours reads the members and waits until the other nodes of the data centre
// are connected, for peerReportWait at most. Each of them reports what it knows about this
// node when it connects.
func (n *Node) awaitNeighbours(ctx context.Context) {
	l, err := n.store.List(ctx, memberPrefix, toucanstore.Latest)
	if err != nil {
		n.log.Warn("list failed", "prefix", memberPrefix, "err", err)
		sleep(ctx, peerReportWait)
		return
	}
	n.applyMembers(l)
	end := n.clock.Now().Add(peerReportWait)
	for n.clock.Now().Before(end) && !n.fleet.NeighboursConnected() && ctx.Err() == nil {
		sleep(ctx, peerReportPoll)
	}
}

// applyStoredState resolves the departures that the store has, and resumes the backend
// server that this node served before it restarted, without waiting for the next
// heartbeat: a departure of that server would have been recorded, and a server that
// has replaced it refuses the calls for it.
func (n *Node) applyStoredState(ctx context.Context, stored *toucanstore.ConflictError) {
	n.member.mu.Lock()
	n.member.revision = stored.Current.Revision
	n.member.mu.Unlock()
	for _, i := range stored.Others {
		if departed := n.decodeDepartures(i); len(departed) > 0 {
			n.resolveDeparture("store", departed...)
			return
		}
	}
	n.awaitNeighbours(ctx)
	n.resolveDeparture("store")
	if stored.Current.Revision == 0 {
		return
	}
	if m, ok := n.decodeMember(stored.Current); ok {
		n.resumeServer(m)
	}
}

// handlePeerReport handles what another node knows about this one. While the
// store is unreachable, the backend server is used again once two nodes report
// the same one.
func (n *Node) handlePeerReport(addr string, m toucanpeer.Member) {
	switch {
	case m.Left:
		n.resolveDeparture("peer", departure{m.Instance, m.Born})
	case m.Instance != "" && n.confirmedByPeer(addr, departure{m.Instance, m.Born}):
		n.resolveDeparture("peer")
		n.resumeServer(m)
	}
}

// confirmedByPeer stores a report and reports whether the one before was the
// same and came from another node. It returns false for a server that is known
// to have left.
func (n *Node) confirmedByPeer(addr string, d departure) bool {
	n.startup.mu.Lock()
	defer n.startup.mu.Unlock()
	same := n.startup.lastReport == d && n.startup.lastReporter != addr
	n.startup.lastReport, n.startup.lastReporter = d, addr
	return same && !n.runner.HasLeft(d.Instance, d.Born)
}

// resumeServer uses a backend server without waiting for its next heartbeat,
// unless the server has left or the node already knows one.
func (n *Node) resumeServer(m toucanpeer.Member) {
	s := n.settings.Load()
	left := m.Left || n.runner.HasLeft(m.Instance, m.Born)
	if m.Instance == "" || left || m.Service != s.Service || n.runner.Server().Instance != "" {
		return
	}
	n.log.Info("resume", "instance", m.Instance, "born", m.Born)
	n.runner.Observe(toucanbackend.Heartbeat{
		Instance: m.Instance, Service: m.Service, Address: s.BackendAddress, Slots: m.Slots, State: toucanbackend.Ready, Born: m.Born,
	})
}

func (n *Node) isDepartureResolved() bool {
	n.startup.mu.Lock()
	defer n.startup.mu.Unlock()
	return n.startup.departureResolved
}

// resolveDeparture ends the wait for a departure before this start and handles
// the heartbeat that was kept meanwhile. departed are the servers that have left.
func (n *Node) resolveDeparture(source string, departed ...departure) {
	for _, d := range departed {
		n.runner.MarkLeft(d.Instance, d.Born)
	}
	n.startup.mu.Lock()
	wasResolved := n.startup.departureResolved
	n.startup.departureResolved = true
	pending, count := n.startup.lastHeartbeat, n.startup.heartbeats
	n.startup.mu.Unlock()
	if wasResolved {
		return
	}
	n.log.Info("departures known", "source", source, "departed", fmt.Sprint(departed))
	if count > 0 && n.admitHeartbeat(pending) {
		if err := n.observeHeartbeat(pending); err != nil {
			n.log.Warn("held heartbeat failed", "err", err)
		}
	}
}
