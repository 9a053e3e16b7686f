package toucanfleet

import (
	"context"
	"sync"
	"time"

	"toucanhaven/toucanpeer"
)

const (
	// sameDCProbeInterval and crossDCProbeInterval are the intervals between
	// probes of a link without calls, to a node of the same data centre and of
	// another one. With more than probeScaleLinks links the intervals grow in
	// proportion to their number, which bounds the rate of the probes that a node
	// sends.
	sameDCProbeInterval  = time.Second
	crossDCProbeInterval = 4 * time.Second
	probeScaleLinks      = 60
	// tickInterval is the interval between checks of all links.
	tickInterval = 50 * time.Millisecond
	// departureRecorders is the number of nodes that are asked at a time to record a
	// departure. One of them may have just lost the store.
	departureRecorders = 2
	// witnessesAsked is the number of nodes that are asked at a time to remember a
	// departure.
	witnessesAsked = 4
)

// Announce sends the state of this node to all connected nodes and waits until they have
// answered or ctx ends.
func (f *Fleet) Announce(ctx context.Context) {
	var wg sync.WaitGroup
	for _, l := range f.connectedLinks(false) {
		wg.Go(func() { l.Announce(ctx) })
	}
	wg.Wait()
}

// RecordDeparture asks some connected nodes that reach the store to record a departure
// there. It returns true as soon as one has done so, and false if none does before ctx
// ends.
func (f *Fleet) RecordDeparture(ctx context.Context, d toucanpeer.Departure) bool {
	links := f.linksToStore(departureRecorders)
	recorded := make(chan bool, len(links))
	for _, l := range links {
		go func() { recorded <- l.RecordDeparture(ctx, d) }()
	}
	for range links {
		if <-recorded {
			return true
		}
	}
	return false
}

// WitnessDeparture asks some connected nodes to remember a departure. It reports whether
// at least want of them answer before ctx ends that they do.
func (f *Fleet) WitnessDeparture(ctx context.Context, d toucanpeer.Departure, want int) bool {
	links := f.connectedLinks(false)
	links = links[:min(len(links), witnessesAsked)]
	kept := make(chan bool, len(links))
	for _, l := range links {
		go func() { kept <- l.WitnessDeparture(ctx, d) }()
	}
	for range links {
		if <-kept {
			want--
		}
		if want <= 0 {
			return true
		}
	}
	return false
}

// linksToStore returns at most count links to connected nodes that reach the store.
func (f *Fleet) linksToStore(count int) (links []*toucanpeer.Link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.link != nil && n.connected && n.report.Store && len(links) < count {
			links = append(links, n.link)
		}
	}
	return links
}

// PushMembers sends a change of the members to the connected nodes of this data
// centre and waits until they have answered or ctx ends.
func (f *Fleet) PushMembers(ctx context.Context, u toucanpeer.MemberUpdate) {
	var wg sync.WaitGroup
	for _, l := range f.connectedLinks(true) {
		wg.Go(func() { l.PushMembers(ctx, u) })
	}
	wg.Wait()
}

// connectedLinks returns the links that are connected, or only those to nodes of
// this data centre.
func (f *Fleet) connectedLinks(onlySameDC bool) (links []*toucanpeer.Link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.link != nil && n.connected && (!onlySameDC || n.member.DataCentre == f.self.DataCentre) {
			links = append(links, n.link)
		}
	}
	return links
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
	if !n.link.Up() { // the link was replaced, or the connection has ended again
		f.mu.Unlock()
		return
	}
	n.connected, n.unreachable, n.lastSeen = true, false, f.clock.Now()
	f.setFirsthand(n, reply.Self)
	n.setReport(reply.Report, f.clock.Now())
	link, sameDC := n.link, n.member.DataCentre == f.self.DataCentre
	for _, m := range reply.Members {
		if f.nodes[m.Address] == nil {
			f.addNode(m)
		}
	}
	f.mu.Unlock()
	f.log.Info("peer connected", "node", reply.Self.Node, "address", addr, "version", reply.Report.Version)
	f.onReply(reply)
	f.onLinkUp(link, sameDC)
	f.checkDocumentVersion(reply.Report, link, sameDC)
}

// LinkDown marks a node as unreachable.
func (f *Fleet) LinkDown(addr string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.nodes[addr]; n != nil {
		n.connected, n.unreachable, f.linksDue = false, true, true
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
		f.setFirsthand(n, *self)
	}
	n.setReport(r, now)
	link, sameDC := n.link, n.member.DataCentre == f.self.DataCentre
	f.mu.Unlock()
	f.checkDocumentVersion(r, link, sameDC)
}

// checkDocumentVersion calls onNewerDocument if the report is of a node with a
// newer configuration document.
func (f *Fleet) checkDocumentVersion(r toucanpeer.Report, link *toucanpeer.Link, sameDC bool) {
	if r.Version > f.documentVersion() {
		f.onNewerDocument(r.Version, link, sameDC)
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
		case <-f.nodeAdded:
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
	if f.linksDue || now.Sub(f.linksSelectedAt) >= linkSetInterval {
		f.selectLinks(now)
	}
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
		case n.wanted || n.connected:
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
	return interval * time.Duration(max(f.linkCount+1, probeScaleLinks)) / probeScaleLinks
}
