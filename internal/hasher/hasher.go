// Package hasher assigns keys to entry VMs by rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to
// increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998). When a VM joins or leaves, only its keys move.
package hasher

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// score returns the rendezvous hash of a name for a key.
func score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Best returns the name with the highest score for the key, or "" if names is empty. It does not allocate.
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

// Rank returns all names ordered by their scores for the key, the highest first.
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
