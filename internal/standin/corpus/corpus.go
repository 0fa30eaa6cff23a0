// Package corpus defines the synthetic index of the backend server stand-in. All functions are pure, so that a test can
// compute the correct answer to any query.
package corpus

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/anvildyke/anvildyke/internal/connector"
)

const (
	// DocumentCount is the number of document IDs, which run from 0 to Size-1.
	DocumentCount = 2000
	// absentOneIn documents is missing from each snapshot, a different set in each.
	absentOneIn = 10
	// PartsPerShard is the number of parts of a shard that can be searched separately.
	PartsPerShard = 4
)

// Documents returns the IDs of the documents of shard of partition into of shards, in ascending order. The partition into
// one shard holds the whole snapshot.
func Documents(snapshot uint64, shard, of int) []uint64 {
	var ids []uint64
	for id := uint64(shard); id < DocumentCount; id += uint64(of) {
		if hash(snapshot, id, nil)%absentOneIn != 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// TopShardHits returns the limit best hits of a shard, ordered by descending score, then by ID.
func TopShardHits(snapshot uint64, shard, of int, query []byte, limit int) []connector.Hit {
	return TopPartialShardHits(snapshot, shard, of, PartsPerShard, query, limit)
}

// TopHits returns the limit best hits of a whole snapshot.
func TopHits(snapshot uint64, query []byte, limit int) []connector.Hit {
	return TopShardHits(snapshot, 0, 1, query, limit)
}

// TopPartialShardHits is Top for a search of only the first searched of Parts parts of the shard.
func TopPartialShardHits(snapshot uint64, shard, of, searched int, query []byte, limit int) []connector.Hit {
	var hits []connector.Hit
	for _, id := range Documents(snapshot, shard, of) {
		if int(id)/of%PartsPerShard < searched {
			hits = append(hits, connector.Hit{
				ID:    strconv.FormatUint(id, 10),
				Score: score(id, query),
			})
		}
	}
	slices.SortFunc(hits, func(a, b connector.Hit) int {
		if c := cmp.Compare(b.Score, a.Score); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	hits = hits[:min(limit, len(hits))]
	for i := range hits {
		hits[i].Body = fmt.Appendf(nil, `{"Snapshot":%d,"ID":%s}`, snapshot, hits[i].ID)
	}
	return hits
}

// score is at least 0 and less than 1.
func score(id uint64, query []byte) float64 {
	return float64(hash(id, 0, query)>>11) / (1 << 53)
}

func hash(a, b uint64, query []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:8], a)
	binary.LittleEndian.PutUint64(numbers[8:], b)
	_, _ = d.Write(numbers[:])
	_, _ = d.Write(query)
	return d.Sum64()
}
