package toucanmesh

import (
	"context"
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
	// maxHealthChecks bounds the health checks after a start; heartbeats take their place.
	// healthRetryDelay is the delay after one that did not show whether the
	// server takes calls.
	maxHealthChecks  = 4
	healthRetryDelay = 250 * time.Millisecond
	// maxKnownServers bounds the servers that a node keeps until one of them has shown that
	// it takes calls.
	maxKnownServers = 8
)

// startupState is what a node knows about its backend server before it may use the
// server. An earlier start of the node may have acknowledged a departure that is
// recorded nowhere any more, because the store was down and all nodes have ended since. So
// neither the store nor another node can show that the server has not left, only
// the server itself: by a health check, or by going on to report that it is ready.
type startupState struct {
	changed chan struct{} // signals a change to proveServer

	mu           sync.Mutex
	proven       bool                    // the server has shown that it takes calls
	storeRead    bool                    // departures in the store are known
	pending      toucanbackend.Heartbeat // newest heartbeat, until one is used
	firstArrival time.Time               // arrival of the first heartbeat of that start of the server
	healthChecks int                     // since the start of this node or that of the server
	known        []toucanpeer.Member     // servers of which the store or another node has a record
}

// admitHeartbeat reports whether a heartbeat may be used now. Until the server has shown
// that it takes calls, only a draining heartbeat may be used, and the newest other one is
// kept for proveServer.
func (n *Node) admitHeartbeat(h toucanbackend.Heartbeat) bool {
	s := &n.startup
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.proven || h.State == toucanbackend.Draining {
		return true
	}
	now := n.clock.Now()
	sameStart := h.Instance == s.pending.Instance && h.Born == s.pending.Born
	if sameStart && h.Sequence > s.pending.Sequence && now.Sub(s.firstArrival).Seconds() > freshHeartbeatShare*n.settings.Load().Heartbeat.Seconds() {
		s.proven = true
		n.log.Info("server proven", "source", "heartbeats", "instance", h.Instance)
		return true
	}
	switch {
	case sameStart && h.Sequence > s.pending.Sequence:
		s.pending = h
	case !sameStart && h.Born >= s.pending.Born:
		s.pending, s.firstArrival, s.healthChecks = h, now, 0
	}
	wake(s.changed)
	return false
}

// recoverState writes the member of this node for the first time, under the condition
// that the store has neither a departure of its backend server nor a member of an
// earlier start of this node. If the condition fails, the store returns both. It
// retries until the store answers, also if the server is in use meanwhile: late
// heartbeats may have put one into use that has left.
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
			n.markStoreRead()
			return
		case errors.As(err, &conflict):
			n.applyStoredState(ctx, conflict)
			return
		}
		n.log.Warn("departures not read", "err", err)
		if n.isServerProven() {
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

// applyStoredState applies the departures that the store has. The server that this node
// served before it restarted may be used without a heartbeat once a health check shows
// that it takes calls.
func (n *Node) applyStoredState(ctx context.Context, stored *toucanstore.ConflictError) {
	n.member.mu.Lock()
	n.member.revision = stored.Current.Revision
	n.member.mu.Unlock()
	var departed []departure
	for _, i := range stored.Others {
		departed = append(departed, n.decodeDepartures(i)...)
	}
	for _, d := range departed {
		n.runner.MarkLeft(d.Instance, d.Born)
	}
	if len(departed) == 0 {
		n.awaitNeighbours(ctx)
	}
	if stored.Current.Revision != 0 {
		if m, ok := n.decodeMember(stored.Current); ok {
			n.addKnownServer(m)
		}
	}
	n.markStoreRead(departed...)
}

func (n *Node) markStoreRead(departed ...departure) {
	n.startup.mu.Lock()
	n.startup.storeRead = true
	n.startup.mu.Unlock()
	n.log.Info("departures known", "departed", fmt.Sprint(departed))
	wake(n.startup.changed)
}

// handlePeerReply handles what another node knows about this one.
func (n *Node) handlePeerReply(reply toucanpeer.HelloReply) {
	for _, d := range reply.Departures {
		n.runner.MarkLeft(d.Instance, d.Born)
		n.startRecording(departure{d.Instance, d.Born}) // the store had none when the other node was asked to keep it
	}
	switch m := reply.You; {
	case m.Left:
		n.runner.MarkLeft(m.Instance, m.Born)
	case m.Instance != "":
		n.addKnownServer(m)
	}
}

func (n *Node) addKnownServer(m toucanpeer.Member) {
	s := &n.startup
	s.mu.Lock()
	defer s.mu.Unlock()
	same := func(k toucanpeer.Member) bool { return k.Instance == m.Instance && k.Born == m.Born }
	if !s.proven && len(s.known) < maxKnownServers && !slices.ContainsFunc(s.known, same) {
		s.known = append(s.known, m)
		wake(s.changed)
	}
}

func (n *Node) isServerProven() bool {
	n.startup.mu.Lock()
	defer n.startup.mu.Unlock()
	return n.startup.proven
}

// proveServer checks the health of the backend server until that shows that the server
// takes calls, or heartbeats do.
func (n *Node) proveServer(ctx context.Context) {
	t := time.NewTicker(peerReportWait)
	defer t.Stop()
	for !n.isServerProven() {
		select {
		case <-n.startup.changed:
		case <-t.C:
		case <-ctx.Done():
			return
		}
		path := n.healthPath()
		if path == "" || !n.takeHealthCheck() {
			continue
		}
		instance, err := n.runner.CheckHealth(ctx, n.settings.Load().BackendAddress, path)
		if err != nil {
			n.log.Warn("server not proven", "err", err)
			sleep(ctx, healthRetryDelay)
			continue
		}
		n.useProvenServer(instance)
	}
}

func (n *Node) healthPath() string {
	table := n.entry.Table.Load()
	if table == nil {
		return ""
	}
	return table.HealthPath(n.settings.Load().Service)
}

// takeHealthCheck reports whether a health check is due, and counts it: there is a server
// to use, and the departures that others remember are known or cannot be known now.
func (n *Node) takeHealthCheck() bool {
	s := &n.startup
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.storeRead || n.store.isUnreachable() && n.clock.Now().Sub(n.started) >= peerReportWait
	if !known || s.pending.Instance == "" && len(s.known) == 0 || s.healthChecks >= maxHealthChecks {
		return false
	}
	s.healthChecks++
	return true
}

// useProvenServer uses the server that has shown that it takes calls.
func (n *Node) useProvenServer(instance string) {
	s := &n.startup
	s.mu.Lock()
	wasProven := s.proven
	s.proven = true
	h, found := s.pending, s.pending.Instance == instance
	known := s.known
	s.known = nil
	s.mu.Unlock()
	if wasProven {
		return
	}
	n.log.Info("server proven", "source", "health", "instance", instance)
	if found {
		if err := n.observeHeartbeat(h); err != nil {
			n.log.Warn("held heartbeat failed", "err", err)
		}
		return
	}
	for _, m := range known {
		if m.Instance == instance {
			n.resumeServer(m)
		}
	}
}

// resumeServer uses a backend server without waiting for its next heartbeat, unless that
// start of it has left or the node already knows a server.
func (n *Node) resumeServer(m toucanpeer.Member) {
	s := n.settings.Load()
	left := m.Left || n.runner.HasLeft(m.Instance, m.Born)
	if left || m.Service != s.Service || n.runner.Server().Instance != "" {
		return
	}
	n.log.Info("resume", "instance", m.Instance, "born", m.Born)
	n.runner.Observe(toucanbackend.Heartbeat{
		Instance: m.Instance, Service: m.Service, Address: s.BackendAddress, Slots: m.Slots, State: toucanbackend.Ready, Born: m.Born,
	})
}
