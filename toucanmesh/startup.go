package toucanmesh

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
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
	// healthRetryDelay is the delay after a health check that did not show whether the
	// server takes calls.
	healthRetryDelay = 250 * time.Millisecond
)

// proofState is what a node needs to know to check whether its backend server takes calls. An
// earlier start of the node may have acknowledged a departure that is recorded nowhere any more,
// because the store was down and all nodes have ended since. So neither the store nor another
// node can show that the server has not left, only the server itself: by a health check, or by
// going on to report that it is ready.
type proofState struct {
	changed   chan struct{} // signals to proveServers that a check may be due
	storeRead atomic.Bool   // departures in the store are known
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
		if n.runner.Server().Serving() {
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
	l, err := n.store.List(ctx, memberPrefix, toucanstore.Latest, n.isMember)
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
		n.markLeft(d.Instance, d.Born)
	}
	if len(departed) == 0 {
		n.awaitNeighbours(ctx)
	}
	if stored.Current.Revision != 0 {
		if m, ok := n.decodeMember(stored.Current); ok {
			n.recallServer(m)
		}
	}
	n.markStoreRead(departed...)
}

func (n *Node) markStoreRead(departed ...departure) {
	n.proof.storeRead.Store(true)
	n.log.Info("departures known", "departed", fmt.Sprint(departed))
	wake(n.proof.changed)
}

// handlePeerReply handles what another node knows about this one.
func (n *Node) handlePeerReply(reply toucanpeer.HelloReply) {
	for _, d := range reply.Departures {
		n.markLeft(d.Instance, d.Born)
		n.startRecording(departure{d.Instance, d.Born}) // the store had none when the other node was asked to keep it
	}
	switch m := reply.You; {
	case m.Left:
		n.markLeft(m.Instance, m.Born)
	case m.Instance != "":
		n.recallServer(m)
	}
}

// recallServer holds a server back of which the store or another node has a record.
func (n *Node) recallServer(m toucanpeer.Member) {
	s := n.settings.Load()
	if m.Instance == "" || m.Left || m.Service != s.Service {
		return
	}
	n.runner.Recall(toucanbackend.Heartbeat{
		Instance: m.Instance, Service: m.Service, Address: s.BackendAddress, Slots: m.Slots, State: toucanbackend.Ready, Born: m.Born,
	})
	wake(n.proof.changed)
}

// proveServers checks the health of the backend server while a start of it is held back
// until the server has shown that it takes calls.
func (n *Node) proveServers(ctx context.Context) {
	for ctx.Err() == nil {
		path := n.healthPath()
		if path == "" || !n.departuresKnown() || !n.runner.TakeHealthCheck() {
			n.awaitChange(ctx)
			continue
		}
		instance, err := n.runner.ProveServer(ctx, n.settings.Load().BackendAddress, path)
		if err != nil {
			n.log.Warn("server not proven", "err", err)
			sleep(ctx, healthRetryDelay)
			continue
		}
		n.log.Info("server proven", "instance", instance)
	}
}

// awaitChange waits until a server may have to be checked. Until one is known it also looks
// at intervals, because the configuration and the state of the store may be known by then.
func (n *Node) awaitChange(ctx context.Context) {
	var interval <-chan time.Time
	if n.runner.Server().Instance == "" {
		t := time.NewTimer(peerReportWait)
		defer t.Stop()
		interval = t.C
	}
	select {
	case <-n.proof.changed:
	case <-interval:
	case <-ctx.Done():
	}
}

// departuresKnown reports whether the departures that others remember are known, or cannot
// be known now.
func (n *Node) departuresKnown() bool {
	return n.proof.storeRead.Load() || n.store.isUnreachable() && n.clock.Now().Sub(n.started) >= peerReportWait
}

func (n *Node) healthPath() string {
	table := n.entry.Table.Load()
	if table == nil {
		return ""
	}
	return table.HealthPath(n.settings.Load().Service)
}
