// Package hasher assigns keys to entry VMs by rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to
// increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998). When a VM joins or leaves, only its keys move.
package hasher

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// score is the weight of a name for a key.
func score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Best returns the name with the highest rank for the key, or "" when names is empty. It allocates nothing.
func Best(key string, names []string) string {
	var best string
	var top uint64
	for _, n := range names {
		if s := score(key, n); best == "" || s > top {
			best, top = n, s
		}
	}
	return best
}

// Rank returns all names, the highest rank for the key first.
func Rank(key string, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		if c := cmp.Compare(score(key, b), score(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked
}
