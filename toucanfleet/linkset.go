package toucanfleet

import (
	"cmp"
	"slices"
	"time"

	"toucanhaven/toucanpeer"
)

const (
	// fullMeshNodes is the number of nodes up to which a node keeps a link to every
	// other one.
	fullMeshNodes = 32
	// A node keeps a link to every node of its own data centre. It keeps links to
	// further members of a service until minServiceLinks members take calls, at least
	// minCrossDCLinks of them in other data centres.
	minServiceLinks = 6
	minCrossDCLinks = 2
	// While all linked members of a service are full, one more link is added each
	// extraLinkInterval, up to maxExtraLinks. The extra links are given up after
	// extraLinkTTL without overload.
	extraLinkInterval = 200 * time.Millisecond
	maxExtraLinks     = minServiceLinks
	extraLinkTTL      = 20 * time.Second
	// unusedLinkTTL is how long a link is kept that is no longer wanted.
	unusedLinkTTL = 30 * time.Second
	// listWait is how long after the start of the node no link to another data centre
	// is made before the members have been listed. The nodes that are known first are
	// not those that the node prefers.
	listWait = time.Second
	// linkSetInterval is the time between two selections of the wanted links, unless
	// a change of the members causes an earlier one.
	linkSetInterval = time.Second
)

// extraLinks counts the links that overload adds to those of a service.
type extraLinks struct {
	count   int
	updated time.Time // last time at which all linked members were full
}

// noteOverload records that all linked members of a service are full. f.mu must be
// held.
func (f *Fleet) noteOverload(service string, now time.Time) {
	x := f.extraLinks[service]
	switch {
	case now.Sub(x.updated) < extraLinkInterval:
		return
	case now.Sub(x.updated) > extraLinkTTL:
		x.count = 0
	}
	if x.count < maxExtraLinks {
		x.count++
		f.linksDue = true
	}
	x.updated = now
	f.extraLinks[service] = x
}

// selectLinks marks the nodes that this node keeps a link to and closes links that
// have not been wanted for unusedLinkTTL. f.mu must be held.
func (f *Fleet) selectLinks(now time.Time) {
	f.linksDue, f.linksSelectedAt = false, now
	crossDC := f.listRead || now.Sub(f.started) >= listWait
	full := crossDC && len(f.nodes) <= fullMeshNodes
	for _, n := range f.nodes {
		n.wanted = full || n.member.DataCentre == f.self.DataCentre
	}
	if crossDC && !full {
		for service, members := range f.byService {
			f.selectServiceLinks(service, members, now)
		}
	}
	f.linkCount = 0
	for _, n := range f.nodes {
		switch {
		case n.link == nil:
		case n.wanted:
			f.linkCount++
			n.wantedAt = now
		case n.connected && n.inFlight == 0 && now.Sub(n.wantedAt) > unusedLinkTTL:
			f.replaceLink(n)
		}
	}
}

// selectServiceLinks marks the members of a service in other data centres that this
// node keeps a link to. Each node prefers other members, by hash, so that the links
// are spread over them. Members that take calls come first. One that is unreachable does
// not count, and one more is marked in its place.
func (f *Fleet) selectServiceLinks(service string, members []*node, now time.Time) {
	missing, others := minServiceLinks, make([]*node, 0, len(members))
	for _, n := range members {
		switch {
		case n.member.DataCentre != f.self.DataCentre:
			others = append(others, n)
		case f.mayTakeCalls(n, now):
			missing--
		}
	}
	missing = max(missing, minCrossDCLinks)
	if x := f.extraLinks[service]; now.Sub(x.updated) <= extraLinkTTL {
		missing += x.count
	}
	slices.SortFunc(others, func(a, b *node) int { return cmp.Compare(a.preference, b.preference) })
	for _, n := range others {
		switch {
		case missing <= 0:
		case f.mayTakeCalls(n, now):
			n.wanted = true
			missing--
		case n.unreachable: // dialled until it returns
			n.wanted = true
		}
	}
	for _, n := range others { // too few take calls: the others may soon
		if missing > 0 && !n.wanted {
			n.wanted = true
			missing--
		}
	}
}

// mayTakeCalls reports whether a node takes calls or, if it has no connected link,
// whether it is expected to. f.mu must be held.
func (f *Fleet) mayTakeCalls(n *node, now time.Time) bool {
	if n.link == nil || n.connected {
		return f.usable(n, now)
	}
	return n.member.Serving && !n.unreachable
}

// replaceLink closes the link of a node, which can be dialled again later. f.mu must
// be held.
func (f *Fleet) replaceLink(n *node) {
	n.link.Close()
	n.connected = false
	f.log.Info("link closed", "node", n.member.Node, "address", n.member.Address)
	f.newLink(n)
}

// newLink gives a node a link that is not connected. f.mu must be held.
func (f *Fleet) newLink(n *node) {
	n.link = toucanpeer.NewLink(n.member.Address, func() toucanpeer.Hello { return f.hello(f.isNear(n)) }, f.ping, f, f.messages)
}

// isNear reports whether a node is in the data centre of this one, or no node there is
// connected.
func (f *Fleet) isNear(n *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.member.DataCentre == f.self.DataCentre {
		return true
	}
	for _, other := range f.nodes {
		if other.link != nil && other.connected && other.member.DataCentre == f.self.DataCentre {
			return false
		}
	}
	return true
}
