package toucanmesh

import "time"

const (
	// stopIdle is how long a stopping node must have been idle before it goes on,
	// and stopMin the least time it serves callers: the platform asks for
	// readiness once a second and takes a node out after two misses.
	stopIdle = 100 * time.Millisecond
	stopMin  = 2200 * time.Millisecond
	// stopMax is when callers that still come are refused, so that what was begun
	// can end within the grace time.
	stopMax  = 3 * time.Second
	stopPoll = 20 * time.Millisecond
	// leaveMin is the time that other nodes get to hear that this one leaves.
	leaveMin = 200 * time.Millisecond
	// callReserve is the part of the time for ending in which no call is begun.
	callReserve = time.Second
	// stopReserve is the part of the grace time that is left for ending.
	stopReserve = 500 * time.Millisecond
)

// Stop ends the node in order: callers are sent elsewhere while the backend
// server goes on working for other nodes, then those are sent elsewhere too.
// It takes at most the grace time.
func (n *Node) Stop() {
	began, grace := n.clock.Now(), n.settings.Load().Grace.Duration
	end := began.Add(grace - stopReserve)
	n.log.Info("stop", "active", n.server.Active(), "running", n.running())
	n.stopping.Store(true)
	n.server.Drain()
	n.awaitIdle(stopMin, began.Add(min(stopMax, grace/2)), func() bool { return n.server.Active() == 0 })
	n.leaving.Store(true)
	// What the backend server has begun may need further calls.
	lastCall := end.Add(-callReserve)
	n.entry.RefuseWhile(func() bool { return n.running() == 0 || n.clock.Now().After(lastCall) })
	n.changed()
	n.awaitIdle(leaveMin, end, func() bool { return n.server.Active() == 0 && n.running() == 0 })
	n.log.Info("stopped", "active", n.server.Active(), "running", n.running(), "took", n.clock.Now().Sub(began))
	n.unregister()
	n.Kill()
}

// Kill ends the node at once.
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

// awaitIdle waits until the node has been idle for some time and at least the
// minimum has passed, or until the end.
func (n *Node) awaitIdle(atLeast time.Duration, end time.Time, idle func() bool) {
	began := n.clock.Now()
	since := began
	for now := began; now.Before(end); now = n.clock.Now() {
		if !idle() {
			since = now
		}
		if now.Sub(since) >= stopIdle && now.Sub(began) >= atLeast {
			return
		}
		time.Sleep(stopPoll)
	}
}

func (n *Node) running() int {
	r := n.runner.Report()
	return r.Running + r.Queued
}
