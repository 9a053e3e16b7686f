package toucanfleet

import (
	"context"
	"time"

	"toucanhaven/toucanpeer"
)

const (
	// unlistedHint is how long a connected member is told that it is not listed.
	unlistedHint = 3 * time.Second
	// nearProbe and farProbe are the times between probes of a link without calls,
	// in a data centre and between two. From manyNodes on they grow with the
	// number of nodes, so that a node sends no more probes in a larger deployment.
	nearProbe = time.Second
	farProbe  = 2 * time.Second
	manyNodes = 60
	// tickTime is the time between looks at the links.
	tickTime = 50 * time.Millisecond
)

// pingTo describes this node to the one at an address.
func (f *Fleet) pingTo(address string) toucanpeer.Ping {
	p := f.ping()
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.nodes[address]; n != nil && !n.listed {
		p.Unlisted = f.clock.Now().Sub(n.unlisted) < unlistedHint
	}
	return p
}

// Announce tells the connected nodes how this one is now. It returns when one of
// them has heard it, or false when none did before ctx ended.
func (f *Fleet) Announce(ctx context.Context) bool {
	f.mu.Lock()
	heard := make(chan bool, len(f.nodes))
	links := 0
	for _, n := range f.nodes {
		if n.link != nil && n.up {
			links++
			go func() { heard <- n.link.Announce(ctx) }()
		}
	}
	f.mu.Unlock()
	for range links {
		if <-heard {
			return true
		}
	}
	return false
}

// LinkUp takes the first message of a node.
func (f *Fleet) LinkUp(addr string, reply toucanpeer.HelloReply) {
	f.mu.Lock()
	n := f.nodes[addr]
	if n == nil {
		f.mu.Unlock()
		return
	}
	n.up, n.seen = true, f.clock.Now()
	f.setMember(n, reply.Self)
	n.setReport(reply.Report, f.clock.Now())
	link := n.link
	for _, m := range reply.Members {
		if f.nodes[m.Address] == nil {
			f.add(m)
		}
	}
	f.mu.Unlock()
	f.log.Info("peer connected", "node", reply.Self.Node, "address", addr, "version", reply.Report.Version)
	f.told(addr, reply.You)
	f.checkVersion(reply.Report, link)
}

// LinkDown notes that a node cannot be reached.
func (f *Fleet) LinkDown(addr string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.nodes[addr]; n != nil {
		n.up, n.lost = false, f.clock.Now()
		f.log.Info("peer lost", "node", n.member.Node, "address", addr, "listed", n.listed, "err", err)
	}
}

// Reported takes the report that came with an answer. self is nil when the
// answer does not describe the node.
func (f *Fleet) Reported(addr string, self *toucanpeer.Member, r toucanpeer.Report) {
	f.mu.Lock()
	n := f.nodes[addr]
	if n == nil {
		f.mu.Unlock()
		return
	}
	now := f.clock.Now()
	n.seen = now
	if self != nil {
		f.setMember(n, *self)
	}
	n.setReport(r, now)
	link := n.link
	f.mu.Unlock()
	f.checkVersion(r, link)
}

func (f *Fleet) checkVersion(r toucanpeer.Report, link *toucanpeer.Link) {
	if r.Version > f.version() {
		f.newer(r.Version, link)
	}
}

func (n *node) setReport(r toucanpeer.Report, now time.Time) {
	n.report, n.reported = r, now
	n.others = max(0, r.Running+r.Queued-n.inFlight)
}

// Run looks after the links until stop is closed.
func (f *Fleet) Run(stop <-chan struct{}) {
	t := time.NewTicker(tickTime)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f.tick()
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

func (f *Fleet) tick() {
	now := f.clock.Now()
	f.mu.Lock()
	type probe struct {
		link  *toucanpeer.Link
		every time.Duration
	}
	probes := make([]probe, 0, len(f.nodes))
	for addr, n := range f.nodes {
		switch {
		case n.link == nil:
		case !n.listed && !n.up && now.Sub(n.seen) > unlistedTime:
			n.link.Close()
			f.removeFromService(n)
			delete(f.nodes, addr)
			f.log.Info("member dropped", "node", n.member.Node, "address", addr)
		default:
			probes = append(probes, probe{n.link, f.probeTime(n)})
		}
	}
	f.mu.Unlock()
	for _, p := range probes {
		p.link.Tick(now, p.every)
	}
}

// probeTime is the time between probes of a link without calls. mu is held.
func (f *Fleet) probeTime(n *node) time.Duration {
	every := farProbe
	if n.member.DataCentre == f.self.DataCentre {
		every = nearProbe
	}
	return every * time.Duration(max(len(f.nodes), manyNodes)) / manyNodes
}
