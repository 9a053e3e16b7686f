package toucanbalance

import (
	"cmp"
	"slices"
)

// farShare is the part of a subset kept for other data centres, so that calls
// can spill over when the near servers are loaded or lost.
const farShare = 0.3

// Subset returns at most n of the servers for one entry, chosen by rendezvous
// hash: a change of one server changes at most a few places of the subset, and
// entries spread evenly over the servers. Servers that are leaving are left out.
func Subset(entry, dataCentre string, servers []Server, n int) []Server {
	ranked := make([]Server, 0, len(servers))
	for _, s := range servers {
		if s.State != Leaving {
			ranked = append(ranked, s)
		}
	}
	if n <= 0 || len(ranked) <= n {
		return ranked
	}
	ranked = sortByHash(entry, ranked)
	var near, far []Server
	for _, s := range ranked {
		if s.DataCentre == dataCentre {
			near = append(near, s)
		} else {
			far = append(far, s)
		}
	}
	fars := min(len(far), max(int(farShare*float64(n)), n-len(near)))
	return append(near[:n-fars:n-fars], far[:fars]...)
}

func sortByHash(entry string, servers []Server) []Server {
	type scored struct {
		hash  uint64
		index int
	}
	all := make([]scored, len(servers))
	for i, s := range servers {
		all[i] = scored{Hash(entry, s.ID), i}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(servers[a.index].ID, servers[b.index].ID))
	})
	out := make([]Server, len(all))
	for i, s := range all {
		out[i] = servers[s.index]
	}
	return out
}

// Hash is the rendezvous hash of a pair of names: FNV-1a with a final mix,
// because FNV alone leaves names that differ in their last byte close together.
func Hash(a, b string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(a) {
		h = (h ^ uint64(a[i])) * prime
	}
	h = (h ^ 0xff) * prime
	for i := range len(b) {
		h = (h ^ uint64(b[i])) * prime
	}
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
