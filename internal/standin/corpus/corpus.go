// Package corpus defines the synthetic index that the backend server stand-in searches. All functions are pure, so that a test
// can compute the expected answer to any query.
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
	// DocumentCount is the number of document IDs, which range from 0 to DocumentCount-1.
	DocumentCount = 2000
	// missingDocumentModulus sets which documents a snapshot lacks: those whose hash is divisible by it. The hash includes the
	// snapshot, so that each snapshot lacks different documents, about one in ten.
	missingDocumentModulus = 10
	// PartsPerShard is the number of parts of a shard that can be searched separately.
	PartsPerShard = 4
)

// Documents returns the IDs of the documents in a shard, in ascending order. The snapshot is divided into shardCount shards,
// which count from 0; with a shardCount of 1, shard 0 contains the whole snapshot.
func Documents(snapshot uint64, shard, shardCount int) []uint64 {
	var ids []uint64
	for id := uint64(shard); id < DocumentCount; id += uint64(shardCount) {
		if hash(snapshot, id, nil)%missingDocumentModulus != 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// TopShardHits returns up to limit hits of a shard with the highest scores, ordered by descending score and then by ID, compared
// as a string.
func TopShardHits(snapshot uint64, shard, shardCount int, query []byte, limit int) []connector.Hit {
	return TopPartialShardHits(snapshot, shard, shardCount, PartsPerShard, query, limit)
}

// TopHits returns up to limit hits of a whole snapshot with the highest scores, in the order of TopShardHits.
func TopHits(snapshot uint64, query []byte, limit int) []connector.Hit {
	return TopShardHits(snapshot, 0, 1, query, limit)
}

// TopPartialShardHits returns the hits that TopShardHits would return if only the first searchedParts of the PartsPerShard parts
// of the shard were searched.
func TopPartialShardHits(snapshot uint64, shard, shardCount, searchedParts int, query []byte, limit int) []connector.Hit {
	var hits []connector.Hit
	for _, id := range Documents(snapshot, shard, shardCount) {
		if int(id)/shardCount%PartsPerShard < searchedParts {
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

// score returns a value in [0, 1) that does not depend on the snapshot.
func score(id uint64, query []byte) float64 {
	return float64(hash(id, 0, query)>>11) / (1 << 53)
}

func hash(a, b uint64, query []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	_, _ = d.Write(buf[:])
	_, _ = d.Write(query)
	return d.Sum64()
}
