// Package toucanmember tracks which nodes serve a service.
//
// A Group is a member's view of the other members: members probe each other and
// spread changes by gossip. An Entry is the view of a node that calls the
// service: it polls one member at a time. Both are state machines that take
// events and return effects; the caller does the I/O.
package toucanmember

import (
	"cmp"
	"maps"
	"slices"

	"toucanhaven/toucanbalance"
)

// Removed is the state of a member that left or was unreachable for too long.
// Its record is kept for a day, and it is probed occasionally. The other states
// are those of toucanbalance: alive, suspect and leaving.
const Removed toucanbalance.State = "removed"

// Member is the record of one member that members send to each other.
type Member struct {
	toucanbalance.Server
	// Refutations is incremented each time the member refutes a suspicion. It is
	// separate from Incarnation, which identifies the process that idempotency keys
	// belong to.
	Refutations uint32
}

// stateOrder orders records with equal Incarnation and Refutations.
var stateOrder = map[toucanbalance.State]int{
	toucanbalance.Alive: 0, toucanbalance.Suspect: 1, toucanbalance.Leaving: 2, Removed: 3,
}

// Supersedes reports whether m is newer than other, a record with the same id.
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

// digest returns a hash of the ID and of the fields of m that change.
func (m Member) digest() uint64 {
	h := toucanbalance.Hash(m.ID, string(m.State))
	h ^= uint64(m.Incarnation) * 0x9e3779b97f4a7c15
	h ^= uint64(m.Refutations+1) * 0xc2b2ae3d27d4eb4f
	return h ^ h>>29
}

// digestOf combines the digests of the members. Their order does not matter.
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
