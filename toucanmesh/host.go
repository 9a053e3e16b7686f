package toucanmesh

import (
	"context"

	"toucanhaven/toucancall"
	"toucanhaven/toucanpeer"
)

// peerHandler handles the calls of other nodes.
type peerHandler Node

// Run runs a call on the backend server beside this node.
func (h *peerHandler) Run(ctx context.Context, c *toucanpeer.Call) toucanpeer.Result {
	if !(*Node)(h).takesRun(c) {
		return h.completeReport(toucanpeer.Result{Outcome: toucancall.NotRun, Reason: toucancall.ReasonLeaving, Report: h.runner.Report()})
	}
	size := int64(len(c.Body)) + toucanpeer.HeaderMemory(c.Header)
	if !h.runner.Grow(0, size) {
		h.log.Warn("refused", "request", c.ID, "route", c.Route, "reason", string(toucancall.ReasonOverload), "body", size, "bodies", h.bodies.Used())
		return h.completeReport(toucanpeer.Result{Outcome: toucancall.NotRun, Reason: toucancall.ReasonOverload, Report: h.runner.Report()})
	}
	defer h.bodies.Release(size)
	return h.completeReport(h.runner.Run(ctx, c))
}

// Cancel cancels a call whose caller has disconnected.
func (h *peerHandler) Cancel(id string) { h.runner.Cancel(id) }

// Await returns the outcome of a call whose connection broke. The outcome is
// unknown if the call was sent to an earlier start of this node, which may have
// run it.
func (h *peerHandler) Await(ctx context.Context, q toucanpeer.AwaitRequest) toucanpeer.Result {
	if q.Incarnation != h.incarnation {
		return h.completeReport(toucanpeer.Result{Outcome: toucancall.Unknown, Reason: toucancall.ReasonConnectionLost, Report: h.runner.Report()})
	}
	ctx, cancel := context.WithTimeout(ctx, q.Left)
	defer cancel()
	return h.completeReport(h.runner.Await(ctx, q.ID))
}

// Hello answers a node that opened a connection.
func (h *peerHandler) Hello(hello toucanpeer.Hello) toucanpeer.HelloReply {
	n := (*Node)(h)
	reply := toucanpeer.HelloReply{
		Self: n.selfMember(), Incarnation: n.incarnation, Report: h.Report(), You: n.fleet.LastKnown(hello.From.Address),
		Departures: n.witnessed.list(hello.From.Node, n.clock.Now()),
	}
	if hello.WantMembers {
		reply.Members = n.fleet.Members()
	}
	n.fleet.PutConnected(hello.From)
	return reply
}

// Ping records the state of another node and returns the state of this one.
func (h *peerHandler) Ping(address string, p toucanpeer.Ping) toucanpeer.Pong {
	h.fleet.ReportReceived(address, p.From, p.Report)
	own := (*Node)(h).newPing()
	return toucanpeer.Pong{Self: own.From, Report: own.Report}
}

// UpdateMembers applies a change of the members from the node that watches the
// store.
func (h *peerHandler) UpdateMembers(u toucanpeer.MemberUpdate) { (*Node)(h).updateMembers(u) }

// RecordDeparture records the departure of the backend server of another node in the
// store.
func (h *peerHandler) RecordDeparture(ctx context.Context, d toucanpeer.Departure) bool {
	n := (*Node)(h)
	if n.store.isUnreachable() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, departureWriteTimeout)
	defer cancel()
	err := n.writeDeparture(ctx, d.Node, departure{d.Instance, d.Born})
	n.recordStoreHealth(err)
	return err == nil
}

// WitnessDeparture remembers the departure of the backend server of another node, which
// gets it back when it connects after a restart.
func (h *peerHandler) WitnessDeparture(d toucanpeer.Departure) bool {
	kept := h.witnessed.add(d, h.clock.Now())
	h.log.Info("departure witnessed", "node", d.Node, "instance", d.Instance, "born", d.Born, "kept", kept)
	return kept
}

// newPing returns a ping that describes this node.
func (n *Node) newPing() toucanpeer.Ping {
	self := n.selfMember()
	return toucanpeer.Ping{From: &self, Report: (*peerHandler)(n).Report()}
}

// Document returns the configuration in force.
func (h *peerHandler) Document() toucanpeer.Document { return h.config.document() }

// Report returns the load report of this node.
func (h *peerHandler) Report() toucanpeer.Report {
	return h.completeReport(toucanpeer.Result{Report: h.runner.Report()}).Report
}

// completeReport sets the fields of the report that the runner does not know.
func (h *peerHandler) completeReport(r toucanpeer.Result) toucanpeer.Result {
	r.Report.Pressure = h.entry.Pressure()
	r.Report.Version = (*Node)(h).configVersion()
	r.Report.Store = !h.store.isUnreachable()
	r.Report.Serving = r.Report.Serving && !h.leaving.Load()
	return r
}
