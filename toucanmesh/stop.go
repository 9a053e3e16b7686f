package toucanmesh

import (
	"time"

	"toucanhaven/toucanpeer"
)

const (
	// drainIdleTime is how long a draining node must be idle before it goes on
	// to stop. minDrainTime is the shortest time that it serves callers: the
	// platform checks readiness once a second and removes a node after two
	// failed checks.
	drainIdleTime = 100 * time.Millisecond
	minDrainTime  = 2200 * time.Millisecond
	// maxDrainTime is the longest time that all callers are served. Further
	// requests are refused unless they are answered within the grace time. The calls of the
	// runs that are in progress then have 2.6 s of a grace time of 6 s, and the platform
	// holds a node to its promise for requests from 3 s on.
	maxDrainTime      = 2800 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// minLeaveTime is the shortest time that other nodes have to receive the
	// announcement that this node leaves.
	minLeaveTime = 200 * time.Millisecond
	// stopReserve is the part of the grace time that is kept for removing the
	// member and closing the node.
	stopReserve = 500 * time.Millisecond
	// endRequestsTime is the longest time, within stopReserve, in which the last responses are
	// sent.
	endRequestsTime = 100 * time.Millisecond
)

// Stop shuts the node down gracefully. It drains the callers while the backend
// server continues to work for other nodes, then it announces to the other
// nodes that it leaves and refuses their calls. It takes at most the grace
// time.
func (n *Node) Stop() {
	start, grace := n.clock.Now(), n.settings.Load().Grace.Duration
	end := start.Add(grace - stopReserve)
	n.end.Store(&end)
	n.log.Info("stop", "active", n.server.Active(), "running", n.pendingRuns())
	n.stopping.Store(true)
	n.server.Drain()
	n.awaitIdle(minDrainTime, start.Add(min(maxDrainTime, grace/2)), func() bool { return n.server.Active() == 0 })
	n.leaving.Store(true)
	// Runs in progress on the backend server may still make calls through this
	// node.
	n.entry.StopAt(end, func() bool { return n.pendingRuns() == 0 })
	n.publishSelf()
	n.awaitIdle(minLeaveTime, end, func() bool { return n.server.Active() == 0 && n.pendingRuns() == 0 })
	n.endRequests(n.clock.Now().Add(endRequestsTime))
	n.log.Info("stopped", "active", n.server.Active(), "running", n.pendingRuns(), "took", n.clock.Now().Sub(start))
	n.unregister()
	n.Kill()
}

// endRequests ends the requests in progress with responses of their own, until a time at the
// latest. A response that is complete may wait behind them on its connection.
func (n *Node) endRequests(latest time.Time) {
	if n.server.Active() == 0 {
		return
	}
	n.server.CancelRequests()
	for n.server.Active() > 0 && n.clock.Now().Before(latest) {
		time.Sleep(drainPollInterval)
	}
}

// Kill stops the node at once, without draining.
func (n *Node) Kill() {
	close(n.stop)
	for _, l := range n.listeners {
		l.Close()
	}
	for _, srv := range n.servers {
		srv.Close()
	}
	n.server.Close()
	n.fleet.Close()
}

// awaitIdle waits until the node has been idle for drainIdleTime and minWait
// has passed, or until end.
func (n *Node) awaitIdle(minWait time.Duration, end time.Time, idle func() bool) {
	began := n.clock.Now()
	idleSince := began
	for now := began; now.Before(end); now = n.clock.Now() {
		if !idle() {
			idleSince = now
		}
		if now.Sub(idleSince) >= drainIdleTime && now.Sub(began) >= minWait {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// takesRun reports whether the node takes a call of another node. While it stops, it
// takes only one whose deadline is before its end; the other node sends the others elsewhere.
func (n *Node) takesRun(c *toucanpeer.Call) bool {
	end := n.end.Load()
	return !n.leaving.Load() && (end == nil || c.Left <= end.Sub(n.clock.Now()))
}

// pendingRuns returns the number of calls that run or wait in the queue.
func (n *Node) pendingRuns() int {
	r := n.runner.Report()
	return r.Running + r.Queued
}
