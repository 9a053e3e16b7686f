package toucanfleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucanpeer"
)

// The rate of the probes that a node sends is bounded for any number of nodes.
func TestProbesAreBounded(t *testing.T) {
	for _, size := range []int{3, 12, 69, 300, 3000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f, _ := newFleet(strings.Repeat("abc", size/3))
			perSecond := 0.0
			for _, n := range f.nodes {
				if n.link != nil {
					perSecond += 1 / f.probeInterval(n).Seconds()
				}
			}
			if perSecond > probeScaleNodes {
				t.Errorf("%.1f probes per second, want at most %d", perSecond, probeScaleNodes)
			}
		})
	}
}

// Nodes that are connected to each other have distinct ranks. A node for which
// the store is unreachable frees its rank for the next node, and a node without
// connections has rank 0.
func TestRank(t *testing.T) {
	is := is.New(t)
	f, _ := newFleet(strings.Repeat("abc", 7))
	nodes := make([]*node, 0, len(f.nodes))
	for _, n := range f.nodes {
		if n.link != nil {
			nodes = append(nodes, n)
		}
	}
	before := 0
	for _, n := range nodes {
		n.report.Store = true
		if rankHash(n.member.Node) < rankHash(f.self.Node) {
			before++
		}
	}
	is.Equal(f.Rank(), before)
	for _, n := range nodes {
		if rankHash(n.member.Node) < rankHash(f.self.Node) {
			n.report.Store = false
			before--
			is.Equal(f.Rank(), before)
		}
	}
	for _, n := range nodes {
		n.report.Store, n.connected = true, false
	}
	is.Equal(f.Rank(), 0)
}

// A listed member that stays unreachable must be reported until the store stops
// listing it. Pings to a connected member must tell it for unlistedNoticeTime that
// it was removed from the store.
func TestUnreachableAndUnlisted(t *testing.T) {
	is := is.New(t)
	f, clock := newFleet("ab")
	unreachable, reachable := f.nodes["0"], f.nodes["1"]
	f.ping = func() toucanpeer.Ping { return toucanpeer.Ping{} }
	is.True(!f.HasUnreachableMember())
	f.LinkDown(unreachable.member.Address, nil)
	is.True(!f.HasUnreachableMember())
	clock.Advance(unreachableDelay + time.Millisecond)
	is.True(f.HasUnreachableMember())
	f.SetListed([]toucanpeer.Member{reachable.member})
	is.True(!f.HasUnreachableMember())

	f.Unlist(reachable.member.Node)
	is.True(f.pingTo(reachable.member.Address).Unlisted)
	is.True(!f.pingTo(unreachable.member.Address).Unlisted)
	clock.Advance(unlistedNoticeTime)
	is.True(!f.pingTo(reachable.member.Address).Unlisted)
}
