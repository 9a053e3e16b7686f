package toucanfleet

import (
	"context"
	"time"

	"toucanhaven/toucanpeer"
)

const (
	// unlistedNoticeTime is how long after Unlist pings tell a connected member
	// that the store no longer lists it.
	unlistedNoticeTime = 3 * time.Second
	// sameDCProbeInterval and crossDCProbeInterval are the intervals between
	// probes of a link without calls, to a node of the same data centre and of
	// another one. With more than probeScaleNodes nodes the intervals grow in
	// proportion to the number of nodes, which bounds the rate of the probes that
	// a node sends.
	sameDCProbeInterval  = time.Second
	crossDCProbeInterval = 2 * time.Second
	probeScaleNodes      = 60
	// tickInterval is the interval between checks of all links.
	tickInterval = 50 * time.Millisecond
)

// pingTo returns the ping for the node at a peer address.
func (f *Fleet) pingTo(address string) toucanpeer.Ping {
	p := f.ping()
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.nodes[address]; n != nil && !n.listed {
		p.Unlisted = f.clock.Now().Sub(n.unlistedAt) < unlistedNoticeTime
	}
	return p
}

// Announce sends the state of this node to all connected nodes. It returns true
// as soon as one of them has answered, and false if none answers before ctx ends.
func (f *Fleet) Announce(ctx context.Context) bool {
	f.mu.Lock()
	delivered := make(chan bool, len(f.nodes))
	links := 0
	for _, n := range f.nodes {
		if n.link != nil && n.connected {
			links++
			go func() { delivered <- n.link.Announce(ctx) }()
		}
	}
	f.mu.Unlock()
	for range links {
		if <-delivered {
			return true
		}
	}
	return false
}

// LinkUp marks a node as connected and applies its reply to the hello of this
// node.
func (f *Fleet) LinkUp(addr string, reply toucanpeer.HelloReply) {
	f.mu.Lock()
	n := f.nodes[addr]
	if n == nil {
		f.mu.Unlock()
		return
	}
	n.connected, n.lastSeen = true, f.clock.Now()
	f.setMember(n, reply.Self)
	n.setReport(reply.Report, f.clock.Now())
	link := n.link
	for _, m := range reply.Members {
		if f.nodes[m.Address] == nil {
			f.addNode(m)
		}
	}
	f.mu.Unlock()
	f.log.Info("peer connected", "node", reply.Self.Node, "address", addr, "version", reply.Report.Version)
	f.onSelfRecord(addr, reply.You)
	f.checkDocumentVersion(reply.Report, link)
}

// LinkDown marks a node as unreachable.
func (f *Fleet) LinkDown(addr string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.nodes[addr]; n != nil {
		n.connected, n.disconnectedAt = false, f.clock.Now()
		f.log.Info("peer lost", "node", n.member.Node, "address", addr, "listed", n.listed, "err", err)
	}
}

// ReportReceived applies the report that came with a message of another node. self
// is nil if the message has no member record.
func (f *Fleet) ReportReceived(addr string, self *toucanpeer.Member, r toucanpeer.Report) {
	f.mu.Lock()
	n := f.nodes[addr]
	if n == nil {
		f.mu.Unlock()
		return
	}
	now := f.clock.Now()
	n.lastSeen = now
	if self != nil {
		f.setMember(n, *self)
	}
	n.setReport(r, now)
	link := n.link
	f.mu.Unlock()
	f.checkDocumentVersion(r, link)
}

// checkDocumentVersion calls onNewerDocument if the report is of a node with a
// newer configuration document.
func (f *Fleet) checkDocumentVersion(r toucanpeer.Report, link *toucanpeer.Link) {
	if r.Version > f.documentVersion() {
		f.onNewerDocument(r.Version, link)
	}
}

func (n *node) setReport(r toucanpeer.Report, now time.Time) {
	n.report, n.reportedAt = r, now
	n.otherCalls = max(0, r.Running+r.Queued-n.inFlight)
}

// Run checks all links at each tickInterval until stop is closed.
func (f *Fleet) Run(stop <-chan struct{}) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f.tickLinks()
		case <-stop:
			return
		}
	}
}

// Close closes all links.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.link != nil {
			n.link.Close()
		}
	}
}

// tickLinks removes the nodes that have been unlisted and unreachable for longer
// than unlistedRetention and ticks the links of all others.
func (f *Fleet) tickLinks() {
	now := f.clock.Now()
	f.mu.Lock()
	type probe struct {
		link     *toucanpeer.Link
		interval time.Duration
	}
	probes := make([]probe, 0, len(f.nodes))
	for addr, n := range f.nodes {
		switch {
		case n.link == nil:
		case !n.listed && !n.connected && now.Sub(n.lastSeen) > unlistedRetention:
			n.link.Close()
			f.removeFromService(n)
			delete(f.nodes, addr)
			f.log.Info("member dropped", "node", n.member.Node, "address", addr)
		default:
			probes = append(probes, probe{n.link, f.probeInterval(n)})
		}
	}
	f.mu.Unlock()
	for _, p := range probes {
		p.link.Tick(now, p.interval)
	}
}

// probeInterval returns the interval between probes of a node's link while it has
// no calls. f.mu must be held.
func (f *Fleet) probeInterval(n *node) time.Duration {
	interval := crossDCProbeInterval
	if n.member.DataCentre == f.self.DataCentre {
		interval = sameDCProbeInterval
	}
	return interval * time.Duration(max(len(f.nodes), probeScaleNodes)) / probeScaleNodes
}
