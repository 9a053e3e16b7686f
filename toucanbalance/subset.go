package toucanbalance

import (
	"cmp"
	"slices"
)

// remoteShare is the share of a subset reserved for other data centres, so that
// calls can spill over when the local servers are overloaded or unreachable.
const remoteShare = 0.3

// Subset returns at most n of the servers for one entry. It selects them by
// rendezvous hashing: a change of one server changes only a few servers of the
// subset, and entries spread evenly over the servers. Leaving servers are left out.
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
	var local, remote []Server
	for _, s := range ranked {
		if s.DataCentre == dataCentre {
			local = append(local, s)
		} else {
			remote = append(remote, s)
		}
	}
	remoteCount := min(len(remote), max(int(remoteShare*float64(n)), n-len(local)))
	return append(local[:n-remoteCount:n-remoteCount], remote[:remoteCount]...)
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

// Hash returns the rendezvous hash of a pair of names: FNV-1a with a final mix.
// Without the mix, names that differ only in their last byte have similar hashes.
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
