package planner

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/anvildyke/anvildyke/internal/hasher"
	"github.com/cespare/xxhash/v2"
)

// coldShareDivisor reduces the traffic share of a cold replica, which is chosen with the probability allowance /
// (coldShareDivisor * slots). Without any traffic, it would return no answers and its allowance would never increase. With a full
// share, a zone that returns after an outage would shed most of its queries.
const coldShareDivisor = 2

// Preference levels of candidates, in descending order.
const (
	levelChosen = iota
	levelFallback
	levelUnreported
	levelUnreportedFallback
)

// ShardMap contains the candidates for each shard of one snapshot. It is immutable and safe for concurrent use.
type ShardMap struct {
	Snapshot uint64
	// ShardCount is the number of shards into which the snapshot is divided.
	ShardCount int
	// CoveredShards is the number of shards held by at least one usable replica with a current report.
	CoveredShards int

	chosenVersionShards int // shards held by a usable replica of the chosen version
	candidateShards     int // shards with at least one candidate
	shards              [][]rankedCandidate
}

// rankedCandidate is a candidate with its preference level. The candidates of a shard are ordered by level, distance, warm before
// cold, and name.
type rankedCandidate struct {
	level uint8
	*Candidate
}

func (rc rankedCandidate) compare(other rankedCandidate) int {
	if c := cmp.Compare(rc.level, other.level); c != 0 {
		return c
	}
	if c := cmp.Compare(rc.distance, other.distance); c != 0 {
		return c
	}
	if rc.cold != other.cold {
		if rc.cold {
			return 1
		}
		return -1
	}
	return cmp.Compare(rc.Replica, other.Replica)
}

// level returns the preference level of the candidate. It returns false if the choice does not allow its version.
func (ch VersionChoice) level(c *Candidate) (uint8, bool) {
	switch {
	case ch.Version == "" || c.Version == ch.Version:
		if c.Unreported {
			return levelUnreported, true
		}
		return levelChosen, true
	case ch.Fallback != "" && c.Version == ch.Fallback:
		if c.Unreported {
			return levelUnreportedFallback, true
		}
		return levelFallback, true
	default:
		return 0, false
	}
}

// shardCountVotes counts the replicas that report the same number of shards for a snapshot, with and without a current report.
type shardCountVotes struct {
	shardCount, reported, unreported int
}

// shardCounts returns the number of shards of each snapshot. It is the number that most replicas with a current report state.
// Ties are decided by the replicas without a current report, then in favor of the larger number, so that the coverage is not
// overstated.
func (a *application) shardCounts(choice VersionChoice) map[uint64]int {
	votes := map[uint64][]shardCountVotes{}
	for _, c := range a.candidates {
		if _, ok := choice.level(c); !ok {
			continue
		}
		for _, h := range c.held {
			list := votes[h.snapshot]
			i := slices.IndexFunc(list, func(v shardCountVotes) bool { return v.shardCount == h.of })
			if i < 0 {
				i = len(list)
				list = append(list, shardCountVotes{
					shardCount: h.of,
				})
			}
			if c.Unreported {
				list[i].unreported++
			} else {
				list[i].reported++
			}
			votes[h.snapshot] = list
		}
	}
	counts := make(map[uint64]int, len(votes))
	for snapshot, list := range votes {
		counts[snapshot] = slices.MaxFunc(list, func(a, b shardCountVotes) int {
			return cmp.Or(cmp.Compare(a.reported, b.reported), cmp.Compare(a.unreported, b.unreported), cmp.Compare(a.shardCount, b.shardCount))
		}).shardCount
	}
	return counts
}

// buildShardMaps returns one shard map per snapshot, in descending order of preference.
func (a *application) buildShardMaps(choice VersionChoice) []*ShardMap {
	counts := a.shardCounts(choice)
	newest := make([]uint64, 0, len(counts))
	for s := range counts {
		newest = append(newest, s)
	}
	slices.SortFunc(newest, func(a, b uint64) int { return cmp.Compare(b, a) })
	newest = newest[:min(len(newest), MaxSnapshots)]
	shardMaps := make([]*ShardMap, 0, len(newest))
	for _, s := range newest {
		m := newShardMap(s, counts[s])
		for _, c := range a.candidates {
			if level, ok := choice.level(c); ok {
				m.addHeld(c, level, a.shards)
			}
		}
		m.sortAndCount()
		shardMaps = append(shardMaps, m)
	}
	slices.SortStableFunc(shardMaps, compareShardMaps)
	return shardMaps
}

// addHeld adds the candidate to every shard of the snapshot that it holds. After a change of the number of shards, a server may
// hold several. An unreported replica without any known shards is assumed to hold the shard of its service if the snapshot has as
// many shards as the configuration of the application.
func (m *ShardMap) addHeld(c *Candidate, level uint8, configuredShards int) {
	for i, h := range c.held {
		if h.snapshot == m.Snapshot && h.of == m.ShardCount && !slices.Contains(c.held[:i], h) {
			m.add(c, level, h.shard)
		}
	}
	if c.Unreported && len(c.held) == 0 && m.ShardCount == configuredShards {
		m.add(c, level, c.shard)
	}
}

func (a *application) buildOperationShardMap(choice VersionChoice) *ShardMap {
	m := newShardMap(0, a.shards)
	for _, c := range a.candidates {
		if level, ok := choice.level(c); ok {
			m.add(c, level, c.shard)
		}
	}
	m.sortAndCount()
	return m
}

func newShardMap(snapshot uint64, shardCount int) *ShardMap {
	return &ShardMap{
		Snapshot:   snapshot,
		ShardCount: shardCount,
		shards:     make([][]rankedCandidate, shardCount),
	}
}

func (m *ShardMap) add(c *Candidate, level uint8, shard int) {
	if shard < 0 || shard >= m.ShardCount {
		return
	}
	if m.shards[shard] == nil {
		m.shards[shard] = make([]rankedCandidate, 0, 4)
	}
	m.shards[shard] = append(m.shards[shard], rankedCandidate{
		level:     level,
		Candidate: c,
	})
}

func (m *ShardMap) sortAndCount() {
	for _, ranked := range m.shards {
		if len(ranked) == 0 {
			continue
		}
		slices.SortFunc(ranked, rankedCandidate.compare)
		m.candidateShards++
		if ranked[0].level <= levelFallback {
			m.CoveredShards++
		}
		if ranked[0].level == levelChosen {
			m.chosenVersionShards++
		}
	}
}

// compareShardMaps orders shard maps by descending covered fraction, then by the fraction that the chosen version covers, then by
// the fraction with any candidate, then by descending snapshot.
func compareShardMaps(a, b *ShardMap) int {
	return cmp.Or(
		cmp.Compare(b.CoveredShards*a.ShardCount, a.CoveredShards*b.ShardCount),
		cmp.Compare(b.chosenVersionShards*a.ShardCount, a.chosenVersionShards*b.ShardCount),
		cmp.Compare(b.candidateShards*a.ShardCount, a.candidateShards*b.ShardCount),
		cmp.Compare(b.Snapshot, a.Snapshot),
	)
}

// Pick selects a candidate for a shard, or returns nil if all candidates of the shard are excluded. It prefers replicas with a
// current report, then the chosen version to the fallback version, then warm replicas to cold ones, then near zones to distant
// ones. Of two random candidates, it selects the one with the lower load in relation to its allowance. If no candidate is
// excluded, cold replicas receive the share that coldShareDivisor describes. Pick does not allocate memory.
func (m *ShardMap) Pick(shard int, excluded []*Candidate, rng *rand.Rand) *Candidate {
	if shard < 0 || shard >= m.ShardCount {
		return nil
	}
	ranked := m.shards[shard]
	for len(ranked) > 0 {
		n := 1
		for n < len(ranked) && ranked[n].level == ranked[0].level {
			n++
		}
		if c := pickInLevel(ranked[:n], excluded, rng); c != nil {
			return c
		}
		ranked = ranked[n:]
	}
	return nil
}

func pickInLevel(ranked []rankedCandidate, excluded []*Candidate, rng *rand.Rand) *Candidate {
	var coldFallback *Candidate
	for len(ranked) > 0 {
		warm, n := 0, 0
		for n < len(ranked) && ranked[n].distance == ranked[0].distance {
			if !ranked[n].cold {
				warm++
			}
			n++
		}
		if len(excluded) == 0 && warm < n {
			if c := pickCold(ranked[warm:n], n, rng); c != nil {
				return c
			}
		}
		if c := pickLessLoadedOfTwo(ranked[:warm], excluded, rng); c != nil {
			return c
		}
		if coldFallback == nil {
			coldFallback = pickLessLoadedOfTwo(ranked[warm:n], excluded, rng)
		}
		ranked = ranked[n:]
	}
	return coldFallback
}

// pickCold picks one of the cold replicas of a level and distance with the probability of its share, or returns nil. total is the
// number of all replicas of this level and distance.
func pickCold(cold []rankedCandidate, total int, rng *rand.Rand) *Candidate {
	c := cold[rng.IntN(len(cold))].Candidate
	if rng.IntN(coldShareDivisor*c.slots*total) < min(c.allowance, c.slots)*len(cold) {
		return c
	}
	return nil
}

// pickLessLoadedOfTwo draws two candidates with replacement and returns the less loaded one. Load reports are delayed: without
// replacement, all entry VMs would send their requests to the same one of two replicas until the next report.
func pickLessLoadedOfTwo(ranked []rankedCandidate, excluded []*Candidate, rng *rand.Rand) *Candidate {
	a := pickRandom(ranked, excluded, rng)
	if a == nil || len(ranked) == 1 {
		return a
	}
	b := pickRandom(ranked, excluded, rng)
	if b.load*a.allowance < a.load*b.allowance {
		return b
	}
	return a
}

func pickRandom(ranked []rankedCandidate, excluded []*Candidate, rng *rand.Rand) *Candidate {
	if len(ranked) == 0 {
		return nil
	}
	start := rng.IntN(len(ranked))
	for i := range ranked {
		c := ranked[(start+i)%len(ranked)].Candidate
		if !slices.Contains(excluded, c) {
			return c
		}
	}
	return nil
}

// Placement is a shard with the replica to use for it. The candidate is nil if there is none.
type Placement struct {
	Shard     int
	Candidate *Candidate
}

// CloserThan reports whether the placement is closer to this VM than the other one. It returns false if either has no candidate.
func (p Placement) CloserThan(other Placement) bool {
	return p.Candidate != nil && other.Candidate != nil && p.Candidate.distance < other.Candidate.distance
}

// Canaries returns the two placements on which requests with the fingerprint are tried first. They depend only on the fingerprint
// and the usable replicas, not on the zone of this VM, so that equal requests from all VMs are sent to the same two owners and
// crash at most two backend servers. If possible, the placements belong to different shards and regions, so that most VMs have
// one nearby; otherwise they belong to different zones. Shards with more than one replica are preferred, so that the shard
// remains covered after a crash.
func (m *ShardMap) Canaries(fingerprint uint64) (first, second Placement) {
	first = m.canaryPlacement(fingerprint, func(int, *Candidate) bool { return true })
	if first.Candidate == nil {
		return first, second
	}
	for _, isApart := range []func(shard int, c *Candidate) bool{
		func(shard int, c *Candidate) bool { return shard != first.Shard && c.region != first.Candidate.region },
		func(shard int, c *Candidate) bool {
			return shard != first.Shard && c.AvailabilityZone != first.Candidate.AvailabilityZone
		},
		func(shard int, _ *Candidate) bool { return shard != first.Shard },
		func(_ int, c *Candidate) bool { return c.Replica != first.Candidate.Replica },
	} {
		second = m.canaryPlacement(fingerprint, isApart)
		if second.Candidate != nil {
			break
		}
	}
	return first, second
}

// canaryPlacement returns the first placement for the fingerprint among the allowed ones. Shards with a single replica are the
// last choice.
func (m *ShardMap) canaryPlacement(fingerprint uint64, isAllowed func(shard int, c *Candidate) bool) Placement {
	var soleReplica Placement
	for i := range uint64(m.ShardCount) {
		shard := int((fingerprint + i) % uint64(m.ShardCount))
		c := m.canaryCandidate(shard, fingerprint, isAllowed)
		if c == nil {
			continue
		}
		p := Placement{
			Shard:     shard,
			Candidate: c,
		}
		if len(m.shards[shard]) > 1 {
			return p
		}
		if soleReplica.Candidate == nil {
			soleReplica = p
		}
	}
	return soleReplica
}

func (m *ShardMap) canaryCandidate(shard int, fingerprint uint64, isAllowed func(shard int, c *Candidate) bool) *Candidate {
	ranked := m.shards[shard]
	names := make([]string, 0, len(ranked))
	for _, rc := range ranked {
		if rc.level == ranked[0].level && isAllowed(shard, rc.Candidate) {
			names = append(names, rc.Replica)
		}
	}
	if len(names) == 0 {
		return nil
	}
	best := hasher.Best(strconv.FormatUint(fingerprint, 16), names)
	return ranked[slices.IndexFunc(ranked, func(rc rankedCandidate) bool { return rc.Replica == best })].Candidate
}

// ShardOfKey returns the shard on which operations with the key run.
func (m *ShardMap) ShardOfKey(key string) int {
	if m.ShardCount < 1 {
		return 0
	}
	return int(xxhash.Sum64String(key) % uint64(m.ShardCount))
}
