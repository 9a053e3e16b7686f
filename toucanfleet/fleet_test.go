package toucanfleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanhaven/toucanpeer"
)

// The probes that a node sends do not grow with the deployment.
func TestProbesAreBounded(t *testing.T) {
	for _, size := range []int{3, 12, 69, 300, 3000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f, _ := newFleet(strings.Repeat("abc", size/3))
			perSecond := 0.0
			for _, n := range f.nodes {
				if n.link != nil {
					perSecond += 1 / f.probeTime(n).Seconds()
				}
			}
			if perSecond > manyNodes {
				t.Errorf("%.1f probes a second, want at most %d", perSecond, manyNodes)
			}
		})
	}
}

// Of nodes that see each other, a fixed number rank first; one that loses the
// store makes room for the next, and a node without connections ranks first.
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
		if rankOf(n.member.Node) < rankOf(f.self.Node) {
			before++
		}
	}
	is.Equal(f.Rank(), before)
	for _, n := range nodes {
		if rankOf(n.member.Node) < rankOf(f.self.Node) {
			n.report.Store = false
			before--
			is.Equal(f.Rank(), before)
		}
	}
	for _, n := range nodes {
		n.report.Store, n.up = true, false
	}
	is.Equal(f.Rank(), 0)
}

// A member that stays unreachable is looked up while it is listed, and one that
// was removed from the store is told so while it answers.
func TestUnreachableAndUnlisted(t *testing.T) {
	is := is.New(t)
	f, clock := newFleet("ab")
	gone, live := f.nodes["0"], f.nodes["1"]
	f.ping = func() toucanpeer.Ping { return toucanpeer.Ping{} }
	is.True(!f.HasUnreachableMember())
	f.LinkDown(gone.member.Address, nil)
	is.True(!f.HasUnreachableMember())
	clock.Advance(unreachableTime + time.Millisecond)
	is.True(f.HasUnreachableMember())
	f.SetListed([]toucanpeer.Member{live.member})
	is.True(!f.HasUnreachableMember())

	f.Unlist(live.member.Node)
	is.True(f.pingTo(live.member.Address).Unlisted)
	is.True(!f.pingTo(gone.member.Address).Unlisted)
	clock.Advance(unlistedHint)
	is.True(!f.pingTo(live.member.Address).Unlisted)
}
