package toucanfleet

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"toucanhaven/toucanpeer"
)

// The rate of the probes that a node sends is bounded for any number of nodes.
func TestProbesAreBounded(t *testing.T) {
	for _, size := range []int{3, 12, 69, 300, 3000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f, clock := newFleet(strings.Repeat("abc", size/3))
			f.selectLinks(clock.Now())
			perSecond := 0.0
			for _, n := range f.nodes {
				if n.link != nil && n.wanted {
					perSecond += 1 / f.probeInterval(n).Seconds()
				}
			}
			if perSecond > probeScaleLinks {
				t.Errorf("%.1f probes per second, want at most %d", perSecond, probeScaleLinks)
			}
		})
	}
}

// Nodes of a data centre that are connected to each other have distinct ranks. A node
// for which the store is unreachable frees its rank for the next node, and a node
// without connections has rank 0.
func TestWatchRank(t *testing.T) {
	is := is.New(t)
	f, _ := newFleet(strings.Repeat("abc", 7))
	var near []*node
	before := 0
	for _, n := range f.nodes {
		if n.link == nil {
			continue
		}
		n.report.Store = true
		if n.member.DataCentre == f.self.DataCentre {
			near = append(near, n)
			if n.watchHash < watchHash(f.self.Node) {
				before++
			}
		}
	}
	rank := func() int { r, _ := f.WatchRank(); return r }
	is.Equal(rank(), before)
	for _, n := range near {
		if n.watchHash < watchHash(f.self.Node) {
			n.report.Store = false
			before--
			is.Equal(rank(), before)
		}
	}
	for _, n := range near {
		n.report.Store, n.connected = true, false
	}
	is.Equal(rank(), 0)
}

// Each data centre has a watcher, and all together have at least three.
func TestWatchersOfADataCentre(t *testing.T) {
	for _, tt := range []struct {
		dataCentres string
		want        int
	}{{"a", 3}, {"aa", 3}, {"ab", 2}, {"abc", 1}, {"abcde", 1}} {
		f, _ := newFleet(tt.dataCentres)
		if _, got := f.WatchRank(); got != tt.want {
			t.Errorf("data centres %q: %d watchers, want %d", tt.dataCentres, got, tt.want)
		}
	}
}

// A node that has restarted may use its backend server again on the word of others only if
// they heard of the server from the node itself.
func TestLastKnownIsNotFromTheStore(t *testing.T) {
	is := is.New(t)
	f, _ := newFleet("aa")
	m := toucanpeer.Member{Node: "b", Address: "127.0.0.1:9", DataCentre: "a", Service: "s", Instance: "i-1", Born: 1, Serving: true}
	f.PutListed(m)
	is.Equal(f.LastKnown(m.Address), toucanpeer.Member{})
	f.PutConnected(m)
	is.Equal(f.LastKnown(m.Address), m)
	f.PutListed(m)
	is.Equal(f.LastKnown(m.Address), m)
	newer := m
	newer.Born = 2
	f.PutListed(newer)
	is.Equal(f.LastKnown(m.Address), toucanpeer.Member{})
	newer.Left = true
	f.PutListed(newer)
	is.Equal(f.LastKnown(m.Address), newer) // that a server has left is never out of date
}
