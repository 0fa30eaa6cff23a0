package executor

import (
	"cmp"
	"slices"

	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/messenger"
)

// merge returns the best hits of all lists, at most limit, by descending score, then by ID. Of several hits with the same ID only
// the best is returned.
func merge(limit int, lists [][]connector.Hit) []messenger.Hit {
	n := 0
	for _, list := range lists {
		n += len(list)
	}
	if n == 0 || limit <= 0 {
		return nil
	}
	all := make([]connector.Hit, 0, n)
	for _, list := range lists {
		all = append(all, list...)
	}
	slices.SortFunc(all, func(a, b connector.Hit) int {
		if c := cmp.Compare(b.Score, a.Score); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	seen := make(map[string]struct{}, min(n, limit))
	best := make([]messenger.Hit, 0, min(n, limit))
	for _, h := range all {
		if _, ok := seen[h.ID]; ok {
			continue
		}
		seen[h.ID] = struct{}{}
		best = append(best, messenger.Hit(h))
		if len(best) == limit {
			break
		}
	}
	return best
}
