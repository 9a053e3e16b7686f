package toucanmesh

import (
	"context"

	"toucanhaven/toucancall"
	"toucanhaven/toucanpeer"
)

// host answers other nodes.
type host Node

// Run runs a call at the backend server beside this node.
func (h *host) Run(ctx context.Context, c *toucanpeer.Call) toucanpeer.Result {
	if h.leaving.Load() {
		return h.stamp(toucanpeer.Result{Outcome: toucancall.NotRun, Reason: toucancall.ReasonLeaving, Report: h.runner.Report()})
	}
	return h.stamp(h.runner.Run(ctx, c))
}

// Cancel ends a call whose caller has left.
func (h *host) Cancel(id string) { h.runner.Cancel(id) }

// Await returns the outcome of a call that was sent on a connection that broke.
// An earlier start of this node may have run it.
func (h *host) Await(ctx context.Context, q toucanpeer.AwaitRequest) toucanpeer.Result {
	if q.Incarnation != h.incarnation {
		return h.stamp(toucanpeer.Result{Outcome: toucancall.Unknown, Reason: toucancall.ReasonConnectionLost, Report: h.runner.Report()})
	}
	ctx, cancel := context.WithTimeout(ctx, q.Left)
	defer cancel()
	return h.stamp(h.runner.Await(ctx, q.ID))
}

// Hello answers a node that opened a connection.
func (h *host) Hello(hello toucanpeer.Hello) toucanpeer.HelloReply {
	n := (*Node)(h)
	reply := toucanpeer.HelloReply{
		Self: n.self(), Incarnation: n.incarnation, Report: h.Report(), You: n.fleet.LastKnown(hello.From.Address),
	}
	if hello.WantMembers {
		reply.Members = n.fleet.Members()
	}
	n.fleet.PutConnected(hello.From)
	return reply
}

// Ping takes the state of another node and answers with this one's.
func (h *host) Ping(address string, p toucanpeer.Ping) toucanpeer.Pong {
	if p.Unlisted {
		(*Node)(h).noteMissing()
	}
	h.fleet.ReportReceived(address, p.From, p.Report)
	own := (*Node)(h).ping()
	return toucanpeer.Pong{Self: own.From, Report: own.Report}
}

// ping describes this node.
func (n *Node) ping() toucanpeer.Ping {
	self := n.self()
	return toucanpeer.Ping{From: &self, Report: (*host)(n).Report()}
}

// Document returns the configuration in force.
func (h *host) Document() toucanpeer.Document { return h.config.document() }

// Report describes this node.
func (h *host) Report() toucanpeer.Report {
	return h.stamp(toucanpeer.Result{Report: h.runner.Report()}).Report
}

// stamp adds to a report what the runner does not know.
func (h *host) stamp(r toucanpeer.Result) toucanpeer.Result {
	r.Report.Pressure = h.entry.Pressure()
	r.Report.Version = (*Node)(h).version()
	r.Report.Store = !h.store.isLost()
	r.Report.Serving = r.Report.Serving && !h.leaving.Load()
	return r
}
