package toucanmesh

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"toucanhaven/toucanbackend"
	"toucanhaven/toucanpeer"
	"toucanhaven/toucanstore"
)

const (
	// peerReportWait is the longest time in which other nodes may still report a
	// departure when the store has none: another node remembers a departure that was
	// announced but not recorded. peerReportPoll is the interval between looks whether all
	// nodes of the data centre have had the opportunity.
	peerReportWait = 300 * time.Millisecond
	peerReportPoll = 5 * time.Millisecond
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
