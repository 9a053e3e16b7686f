// Package toucanmember keeps the membership of one service: the members' own
// view of each other, and the view that an entry polls.
package toucanmember

import (
	"cmp"
	"maps"
	"slices"

	"toucanhaven/toucanbalance"
)

// Removed is the state of a member that did not answer for too long, or that
// left. It is kept for a day and probed now and then. It completes the states
// of toucanbalance: alive, suspect, leaving.
const Removed toucanbalance.State = "removed"

// Member is one member of a service as the members describe it to each other.
type Member struct {
	toucanbalance.Server
	// Refutations grows each time the member refutes a suspicion. It is kept apart
	// from Incarnation, which names the process that idempotency keys belong to.
	Refutations uint32
}

// stateOrder settles two records of the same incarnation and refutation.
var stateOrder = map[toucanbalance.State]int{
	toucanbalance.Alive: 0, toucanbalance.Suspect: 1, toucanbalance.Leaving: 2, Removed: 3,
}

// Supersedes reports whether m is newer than other, a record of the same id.
func (m Member) Supersedes(other Member) bool {
	return cmp.Or(
		cmp.Compare(m.Incarnation, other.Incarnation),
		cmp.Compare(m.Refutations, other.Refutations),
		cmp.Compare(stateOrder[m.State], stateOrder[other.State]),
	) > 0
}

func (m Member) valid() bool {
	_, known := stateOrder[m.State]
	return known && m.ID != ""
}

// digest is a hash of the parts of a record that change.
func (m Member) digest() uint64 {
	h := toucanbalance.Hash(m.ID, string(m.State))
	h ^= uint64(m.Incarnation) * 0x9e3779b97f4a7c15
	h ^= uint64(m.Refutations+1) * 0xc2b2ae3d27d4eb4f
	return h ^ h>>29
}

// digestOf combines the digests of the members, whatever their order.
func digestOf(members []Member) (d uint64) {
	for _, m := range members {
		d += m.digest()
	}
	return d
}

func servers(members []Member) []toucanbalance.Server {
	out := make([]toucanbalance.Server, len(members))
	for i, m := range members {
		out[i] = m.Server
	}
	return out
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
