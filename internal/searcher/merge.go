package searcher

import (
	"cmp"

	"github.com/anvildyke/anvildyke/internal/messenger"
)

// merger merges ordered hit lists. It keeps the best hits up to the limit, with unique IDs.
type merger struct {
	limit  int
	hits   []messenger.Hit
	buffer []messenger.Hit
	ids    map[string]struct{}
}

func newMerger(limit int) *merger {
	return &merger{
		limit: limit,
		ids:   make(map[string]struct{}, min(limit, 64)),
	}
}

// compareHits compares by descending score, then by ID.
func compareHits(a, b *messenger.Hit) int {
	if a.Score != b.Score {
		return cmp.Compare(b.Score, a.Score)
	}
	return cmp.Compare(a.ID, b.ID)
}

// add merges an ordered list. Of two hits with the same ID, it keeps the better one.
func (m *merger) add(list []messenger.Hit) {
	if len(list) == 0 || (len(m.hits) >= m.limit && compareHits(&m.hits[m.limit-1], &list[0]) <= 0) {
		return
	}
	old, out := m.hits, m.buffer[:0]
	var replaced []string
	i, j := 0, 0
	for len(out) < m.limit && (i < len(old) || j < len(list)) {
		if j >= len(list) || (i < len(old) && compareHits(&old[i], &list[j]) <= 0) {
			if !contains(replaced, old[i].ID) {
				out = append(out, old[i])
			}
			i++
			continue
		}
		h := list[j]
		j++
		if !m.admit(h.ID, old[i:], &replaced) {
			continue
		}
		out = append(out, h)
	}
	for ; i < len(old); i++ {
		if !contains(replaced, old[i].ID) {
			delete(m.ids, old[i].ID)
		}
	}
	m.hits, m.buffer = out, old
}

// admit reports whether a hit with the ID is new or better than the kept hit with the same ID. A kept hit that is worse is in
// rest; admit adds its ID to replaced.
func (m *merger) admit(id string, rest []messenger.Hit, replaced *[]string) bool {
	if _, ok := m.ids[id]; !ok {
		m.ids[id] = struct{}{}
		return true
	}
	if contains(*replaced, id) {
		return false
	}
	for k := range rest {
		if rest[k].ID == id {
			*replaced = append(*replaced, id)
			return true
		}
	}
	return false
}

func contains(ids []string, id string) bool {
	for _, s := range ids {
		if s == id {
			return true
		}
	}
	return false
}
