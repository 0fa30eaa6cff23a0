package planner

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/anvildyke/anvildyke/internal/hasher"
	"github.com/cespare/xxhash/v2"
)

// coldDivisor lowers the share of a cold replica: it is chosen with probability allowance / (coldDivisor * slots). Without
// any share it would get no answers and its ramp would never grow; with the whole share a zone that returns from outage
// would shed most of its queries.
const coldDivisor = 2

// Levels of preference between groups of candidates.
const (
	levelChosen = iota
	levelFallback
	levelUnknown
	levelUnknownFallback
)

// ShardMap lists the candidates for each shard of one snapshot. It is immutable and safe for concurrent use.
type ShardMap struct {
	Snapshot uint64
	// ShardCount is the number of shards.
	ShardCount int
	// CoveredShards is the number of shards that a usable replica holds.
	CoveredShards int

	chosen int // shards that a usable replica of the chosen version holds
	any    int // shards with any candidate
	shards [][]entry
}

// entry is a candidate with its preference. Entries of a shard are ordered by level, distance and cold.
type entry struct {
	level uint8
	*Candidate
}

func (e entry) compare(other entry) int {
	if c := cmp.Compare(e.level, other.level); c != 0 {
		return c
	}
	if c := cmp.Compare(e.distance, other.distance); c != 0 {
		return c
	}
	if e.cold != other.cold {
		if e.cold {
			return 1
		}
		return -1
	}
	return cmp.Compare(e.Replica, other.Replica)
}

// level returns the level of the candidate, or false when the choice does not allow its version.
func (ch VersionChoice) level(c *Candidate) (uint8, bool) {
	switch {
	case ch.Version == "" || c.Version == ch.Version:
		if c.Unreported {
			return levelUnknown, true
		}
		return levelChosen, true
	case ch.Fallback != "" && c.Version == ch.Fallback:
		if c.Unreported {
			return levelUnknownFallback, true
		}
		return levelFallback, true
	default:
		return 0, false
	}
}

// partition counts the replicas that state the partition size of a snapshot.
type partition struct {
	of, reported, unknown int
}

// snapshotSizes returns the partition size of each snapshot: the size that most usable replicas state, on a tie the larger
// one, so that coverage is not overstated. Replicas without a current report count only where no other one speaks.
func (a *application) snapshotSizes(choice VersionChoice) map[uint64]int {
	counts := map[uint64][]partition{}
	for _, c := range a.candidates {
		if _, ok := choice.level(c); !ok {
			continue
		}
		for _, h := range c.held {
			list := counts[h.snapshot]
			i := slices.IndexFunc(list, func(p partition) bool { return p.of == h.of })
			if i < 0 {
				i = len(list)
				list = append(list, partition{
					of: h.of,
				})
			}
			if c.Unreported {
				list[i].unknown++
			} else {
				list[i].reported++
			}
			counts[h.snapshot] = list
		}
	}
	sizes := make(map[uint64]int, len(counts))
	for snapshot, list := range counts {
		sizes[snapshot] = slices.MaxFunc(list, func(a, b partition) int {
			return cmp.Or(cmp.Compare(a.reported, b.reported), cmp.Compare(a.unknown, b.unknown), cmp.Compare(a.of, b.of))
		}).of
	}
	return sizes
}

// buildViews returns one view per snapshot, the preferred one first.
func (a *application) buildViews(choice VersionChoice) []*ShardMap {
	sizes := a.snapshotSizes(choice)
	newest := make([]uint64, 0, len(sizes))
	for s := range sizes {
		newest = append(newest, s)
	}
	slices.SortFunc(newest, func(a, b uint64) int { return cmp.Compare(b, a) })
	newest = newest[:min(len(newest), MaxSnapshots)]
	views := make([]*ShardMap, 0, len(newest))
	for _, s := range newest {
		v := newView(s, sizes[s])
		for _, c := range a.candidates {
			if level, ok := choice.level(c); ok {
				v.addHeld(c, level, a.shards)
			}
		}
		v.finish()
		views = append(views, v)
	}
	slices.SortStableFunc(views, comparePreference)
	return views
}

// addHeld adds the candidate to every shard of the snapshot that it holds; after a repartition one server may hold several. A
// replica about which nothing is known is assumed to hold the shard of its service.
func (v *ShardMap) addHeld(c *Candidate, level uint8, services int) {
	for i, h := range c.held {
		if h.snapshot == v.Snapshot && h.of == v.ShardCount && !slices.Contains(c.held[:i], h) {
			v.add(c, level, h.shard)
		}
	}
	if c.Unreported && len(c.held) == 0 && v.ShardCount == services {
		v.add(c, level, c.shard)
	}
}

func (a *application) buildOperation(choice VersionChoice) *ShardMap {
	v := newView(0, a.shards)
	for _, c := range a.candidates {
		if level, ok := choice.level(c); ok {
			v.add(c, level, c.shard)
		}
	}
	v.finish()
	return v
}

func newView(snapshot uint64, of int) *ShardMap {
	return &ShardMap{
		Snapshot:   snapshot,
		ShardCount: of,
		shards:     make([][]entry, of),
	}
}

func (v *ShardMap) add(c *Candidate, level uint8, shard int) {
	if shard < 0 || shard >= v.ShardCount {
		return
	}
	if v.shards[shard] == nil {
		v.shards[shard] = make([]entry, 0, 4)
	}
	v.shards[shard] = append(v.shards[shard], entry{
		level:     level,
		Candidate: c,
	})
}

func (v *ShardMap) finish() {
	for _, es := range v.shards {
		if len(es) == 0 {
			continue
		}
		slices.SortFunc(es, entry.compare)
		v.any++
		if es[0].level <= levelFallback {
			v.CoveredShards++
		}
		if es[0].level == levelChosen {
			v.chosen++
		}
	}
}

// comparePreference orders views by the covered fraction, then by the fraction that the chosen version covers, then by the
// fraction that has any candidate, then newest first.
func comparePreference(a, b *ShardMap) int {
	return cmp.Or(
		cmp.Compare(b.CoveredShards*a.ShardCount, a.CoveredShards*b.ShardCount),
		cmp.Compare(b.chosen*a.ShardCount, a.chosen*b.ShardCount),
		cmp.Compare(b.any*a.ShardCount, a.any*b.ShardCount),
		cmp.Compare(b.Snapshot, a.Snapshot),
	)
}

// Pick returns the candidate for a shard, or nil when all that hold it are excluded. It takes the chosen version before the
// fallback, near zones before far ones, warm replicas before cold ones, and the lower load of two random choices. Without
// exclusions a cold replica gets the share that coldDivisor describes. It allocates nothing.
func (v *ShardMap) Pick(shard int, excluded []*Candidate, rng *rand.Rand) *Candidate {
	if shard < 0 || shard >= v.ShardCount {
		return nil
	}
	es := v.shards[shard]
	for len(es) > 0 {
		n := 1
		for n < len(es) && es[n].level == es[0].level {
			n++
		}
		if c := pickInLevel(es[:n], excluded, rng); c != nil {
			return c
		}
		es = es[n:]
	}
	return nil
}

func pickInLevel(es []entry, excluded []*Candidate, rng *rand.Rand) *Candidate {
	var spare *Candidate
	for len(es) > 0 {
		warm, n := 0, 0
		for n < len(es) && es[n].distance == es[0].distance {
			if !es[n].cold {
				warm++
			}
			n++
		}
		if len(excluded) == 0 && warm < n {
			if c := drawCold(es[warm:n], n, rng); c != nil {
				return c
			}
		}
		if c := lowerOfTwo(es[:warm], excluded, rng); c != nil {
			return c
		}
		if spare == nil {
			spare = lowerOfTwo(es[warm:n], excluded, rng)
		}
		es = es[n:]
	}
	return spare
}

// drawCold picks one of the cold replicas with the probability of its share among total replicas of the zone, or nil.
func drawCold(cold []entry, total int, rng *rand.Rand) *Candidate {
	c := cold[rng.IntN(len(cold))].Candidate
	if rng.IntN(coldDivisor*c.slots*total) < min(c.allowance, c.slots)*len(cold) {
		return c
	}
	return nil
}

// lowerOfTwo draws twice with replacement. Reports lag, so without replacement all entry VMs would send to the same one of
// two replicas until the next report.
func lowerOfTwo(es []entry, excluded []*Candidate, rng *rand.Rand) *Candidate {
	a := draw(es, excluded, rng)
	if a == nil || len(es) == 1 {
		return a
	}
	b := draw(es, excluded, rng)
	if b.load*a.allowance < a.load*b.allowance {
		return b
	}
	return a
}

func draw(es []entry, excluded []*Candidate, rng *rand.Rand) *Candidate {
	if len(es) == 0 {
		return nil
	}
	start := rng.IntN(len(es))
	for i := range es {
		c := es[(start+i)%len(es)].Candidate
		if !slices.Contains(excluded, c) {
			return c
		}
	}
	return nil
}

// Placement is a replica of a shard. The candidate is nil when there is none.
type Placement struct {
	Shard     int
	Candidate *Candidate
}

// CloserThan reports whether the place is nearer to this VM than another one. No place is nearer than one that does not exist.
func (p Placement) CloserThan(other Placement) bool {
	return p.Candidate != nil && other.Candidate != nil && p.Candidate.distance < other.Candidate.distance
}

// Canaries returns the two places on which requests with the fingerprint are tried first. They depend on the fingerprint and the
// usable replicas alone, not on the zone of this VM, so that equal requests of all VMs meet at two owners and crash two backend
// servers at most. The places belong to different shards and regions if possible, so that most VMs have one nearby, else to
// different zones. Shards with more than one replica go first, so that a crash leaves the shard covered.
func (v *ShardMap) Canaries(fingerprint uint64) (first, second Placement) {
	first = v.canary(fingerprint, func(int, *Candidate) bool { return true })
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
		second = v.canary(fingerprint, isApart)
		if second.Candidate != nil {
			break
		}
	}
	return first, second
}

// canary returns the first place of the fingerprint among the allowed ones.
func (v *ShardMap) canary(fingerprint uint64, isAllowed func(shard int, c *Candidate) bool) Placement {
	var spare Placement
	for i := range uint64(v.ShardCount) {
		shard := int((fingerprint + i) % uint64(v.ShardCount))
		c := v.canaryOf(shard, fingerprint, isAllowed)
		if c == nil {
			continue
		}
		p := Placement{
			Shard:     shard,
			Candidate: c,
		}
		if len(v.shards[shard]) > 1 {
			return p
		}
		if spare.Candidate == nil {
			spare = p
		}
	}
	return spare
}

func (v *ShardMap) canaryOf(shard int, fingerprint uint64, isAllowed func(shard int, c *Candidate) bool) *Candidate {
	es := v.shards[shard]
	names := make([]string, 0, len(es))
	for _, e := range es {
		if e.level == es[0].level && isAllowed(shard, e.Candidate) {
			names = append(names, e.Replica)
		}
	}
	if len(names) == 0 {
		return nil
	}
	best := hasher.Best(strconv.FormatUint(fingerprint, 16), names)
	return es[slices.IndexFunc(es, func(e entry) bool { return e.Replica == best })].Candidate
}

// ShardOfKey returns the shard that an operation with the key runs on.
func (v *ShardMap) ShardOfKey(key string) int {
	if v.ShardCount < 1 {
		return 0
	}
	return int(xxhash.Sum64String(key) % uint64(v.ShardCount))
}
