// Package planner selects the targets of the sub-requests of a query: the version, the snapshot, and the replica and its owner
// for each shard. The decisions depend only on sections of the blackboard and on the time and random source that the caller
// passes.
package planner

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/hasher"
	"github.com/anvildyke/anvildyke/internal/parser"
)

// MaxShards is the maximum number of shards of a snapshot that a backend server may report. Reports with a larger number are
// ignored.
const MaxShards = 1 << 16

// MaxSnapshots is the maximum number of snapshots per application that are considered, the newest ones first.
const MaxSnapshots = 16

// perMille is the denominator of traffic shares.
const perMille = 1000

// Distances between the zones of this VM and a replica, in ascending order of network latency.
const (
	distanceSameZone = iota
	distanceSameRegion
	distanceOtherRegion
)

// Sections contains the sections of the blackboard on which decisions depend. No field is nil.
type Sections struct {
	Config   *blackboard.Config
	Members  *blackboard.Members
	Replicas *blackboard.Replicas
	Moves    *blackboard.Moves
}

// EntryVM identifies a VM that accepts requests from callers and may own replicas. The sub-requests and operations for a replica
// are sent to the VM that owns it.
type EntryVM struct {
	Name    string
	Address netip.AddrPort
	// Self is set for the VM on which this process runs.
	Self bool
}

// VersionChoice is the version selected for one query. The zero value allows every version.
type VersionChoice struct {
	Version string
	// Fallback is the version to use for shards without a replica of Version. It is empty if there is none.
	Fallback string
}

// Candidate is a replica that may serve a shard. It is immutable.
type Candidate struct {
	Replica          string
	Version          string
	AvailabilityZone string
	Owner            *EntryVM
	// Unreported is set if there is no current report about the replica.
	Unreported bool
	// OtherRegion is set if the replica is in another region than this VM.
	OtherRegion bool

	region    string
	distance  int
	cold      bool
	load      int
	allowance int // at least 1
	slots     int // at least 1
	shard     int // shard of the service in the configuration
	held      []heldShard
}

type heldShard struct {
	snapshot  uint64
	shard, of int
}

// Index contains the data for decisions, derived from one set of sections. It is immutable and safe for concurrent use.
type Index struct {
	sections Sections
	owners   map[string]*EntryVM
	apps     map[string]*application
}

type application struct {
	candidates []*Candidate
	shards     int

	mu           sync.Mutex
	shardMapSets map[VersionChoice]*shardMapSet
}

// shardMapSet contains the shard maps for one version choice. They are built on first use.
type shardMapSet struct {
	once      sync.Once
	ranked    []*ShardMap
	operation *ShardMap
}

// NewIndex computes the candidates of each application from s. The data in s must not be modified afterwards.
func NewIndex(s Sections) *Index {
	x := &Index{
		sections: s,
		owners:   make(map[string]*EntryVM, len(s.Members.ByName)),
		apps:     make(map[string]*application, len(s.Config.Applications)),
	}
	for name, m := range s.Members.ByName {
		x.owners[name] = &EntryVM{
			Name:    name,
			Address: m.Address,
			Self:    name == s.Members.Self,
		}
	}
	ownerNames := x.ownerNames()
	for app := range s.Config.Applications {
		a := &application{
			shards:       s.Config.ShardCount[app],
			shardMapSets: map[VersionChoice]*shardMapSet{},
		}
		for i := range s.Config.ServersByApplication[app] {
			if c := x.candidate(&s.Config.ServersByApplication[app][i], ownerNames); c != nil {
				a.candidates = append(a.candidates, c)
			}
		}
		x.apps[app] = a
	}
	return x
}

// ownerNames returns the names of the members of each zone that may own replicas. Leaving members are included only if the zone
// has no other members.
func (x *Index) ownerNames() map[string][]string {
	names := make(map[string][]string, len(x.sections.Members.ByZone))
	for zone, members := range x.sections.Members.ByZone {
		var staying, leaving []string
		for _, m := range members {
			if m.State == blackboard.MemberLeaving {
				leaving = append(leaving, m.Name)
			} else {
				staying = append(staying, m.Name)
			}
		}
		if len(staying) == 0 {
			staying = leaving
		}
		names[zone] = staying
	}
	return names
}

// candidate returns the candidate for a server, or nil if the replica must not receive requests or has no possible owner.
func (x *Index) candidate(server *parser.BackendServer, ownerNames map[string][]string) *Candidate {
	zone, ok := x.sections.Config.Zones[server.AvailabilityZone]
	if !ok || zone.State == parser.ZoneOutOfService {
		return nil
	}
	report := x.sections.Replicas.ByName[server.Name]
	if report.Leaving || report.State == blackboard.ReplicaDraining || report.State == blackboard.ReplicaDown {
		return nil
	}
	owner := x.owner(server, report.Owner, ownerNames)
	if owner == nil {
		return nil
	}
	c := &Candidate{
		Replica:          server.Name,
		Version:          server.Version,
		AvailabilityZone: server.AvailabilityZone,
		Owner:            owner,
		Unreported:       report.State == blackboard.ReplicaUnknown,
		OtherRegion:      x.distance(zone) == distanceOtherRegion,
		region:           zone.Region,
		distance:         x.distance(zone),
		cold:             report.State == blackboard.ReplicaCold,
		load:             report.Load,
		allowance:        max(1, report.Allowance),
		slots:            max(1, server.Slots),
		shard:            x.sections.Config.Services[server.Service].Shard,
	}
	for _, h := range report.Held {
		if h.Of < 1 || h.Of > MaxShards || h.Shard < 0 || h.Shard >= h.Of {
			continue
		}
		c.held = append(c.held, heldShard{
			snapshot: h.Snapshot,
			shard:    h.Shard,
			of:       h.Of,
		})
	}
	return c
}

func (x *Index) owner(server *parser.BackendServer, reported string, ownerNames map[string][]string) *EntryVM {
	if m, ok := x.sections.Members.ByName[reported]; ok && m.State != blackboard.MemberGone {
		return x.owners[reported]
	}
	return x.owners[hasher.Best(server.Name, ownerNames[server.AvailabilityZone])]
}

func (x *Index) distance(zone parser.AvailabilityZone) int {
	own := x.sections.Members.ByName[x.sections.Members.Self].AvailabilityZone
	switch {
	case zone.Name == own:
		return distanceSameZone
	case zone.Region != "" && zone.Region == x.sections.Config.Zones[own].Region:
		return distanceSameRegion
	default:
		return distanceOtherRegion
	}
}

// Config returns the configuration from which the index was derived.
func (x *Index) Config() *blackboard.Config {
	return x.sections.Config
}

// Member returns the entry VM with the name, or nil if it is unknown or gone.
func (x *Index) Member(name string) *EntryVM {
	if m, ok := x.sections.Members.ByName[name]; !ok || m.State == blackboard.MemberGone {
		return nil
	}
	return x.owners[name]
}

// Successor returns the member of the replica's zone that ranks first by rendezvous hashing without the failed owner, or nil if
// there is none. Leaving members are excluded.
func (x *Index) Successor(c *Candidate, failed string) *EntryVM {
	var names []string
	for _, m := range x.sections.Members.ByZone[c.AvailabilityZone] {
		if m.Name != failed && m.State != blackboard.MemberLeaving {
			names = append(names, m.Name)
		}
	}
	return x.owners[hasher.Best(c.Replica, names)]
}

// PickVMInOtherZone returns a random live member of another zone that is in service, or nil if there is none. Members in the same
// region are preferred.
func (x *Index) PickVMInOtherZone(rng *rand.Rand) *EntryVM {
	own := x.sections.Members.ByName[x.sections.Members.Self].AvailabilityZone
	var best *EntryVM
	nearest, seen := distanceOtherRegion, 0
	for _, zone := range slices.Sorted(maps.Keys(x.sections.Members.ByZone)) {
		members := x.sections.Members.ByZone[zone]
		z, ok := x.sections.Config.Zones[zone]
		if zone == own || !ok || z.State == parser.ZoneOutOfService {
			continue
		}
		d := x.distance(z)
		for _, m := range members {
			if m.State != blackboard.MemberAlive || d > nearest {
				continue
			}
			if d < nearest {
				nearest, seen = d, 0
			}
			seen++
			if rng.IntN(seen) == 0 {
				best = x.owners[m.Name]
			}
		}
	}
	return best
}

// ChooseVersion selects the version for one query of the application. The state of the current move has precedence over the
// traffic split. Without either of them, every version is allowed. A move that is configured but has no state yet selects only
// the old version.
func (x *Index) ChooseVersion(app string, rng *rand.Rand) VersionChoice {
	planned, configured := x.sections.Config.Moves[app]
	state, known := x.sections.Moves.ByApplication[app]
	if known && (!configured || state.Move.Name == planned.Name) {
		return chooseByMove(state, rng)
	}
	if configured {
		return VersionChoice{
			Version: planned.From,
		}
	}
	return chooseBySplit(x.sections.Config.Splits[app], rng)
}

func chooseByMove(state blackboard.MoveState, rng *rand.Rand) VersionChoice {
	share := state.SharePerMille
	switch state.Outcome {
	case blackboard.MoveDone:
		return VersionChoice{
			Version: state.Move.To,
		}
	case blackboard.MoveRolledBack:
		share = 0
	}
	if rng.IntN(perMille) < share {
		return VersionChoice{
			Version:  state.Move.To,
			Fallback: state.Move.From,
		}
	}
	return VersionChoice{
		Version: state.Move.From,
	}
}

func chooseBySplit(split parser.Split, rng *rand.Rand) VersionChoice {
	total := 0
	for _, s := range split.Shares {
		total += s.Percent
	}
	if total <= 0 {
		return VersionChoice{}
	}
	n := rng.IntN(total)
	for _, s := range split.Shares {
		if n < s.Percent {
			return VersionChoice{
				Version: s.Version,
			}
		}
		n -= s.Percent
	}
	return VersionChoice{}
}

// ChooseSnapshot returns the shard map of the snapshot with the best coverage by usable replicas among those newer than the
// snapshot after, or nil if no replica holds such a snapshot. Of equally covered snapshots, one that the chosen version covers
// better precedes one that needs the fallback version, so that a move collects evidence about its new version. The newest one
// precedes other equal ones.
func (x *Index) ChooseSnapshot(app string, choice VersionChoice, after uint64) *ShardMap {
	set := x.shardMapSet(app, choice)
	if set == nil {
		return nil
	}
	for _, m := range set.ranked {
		if m.Snapshot > after {
			return m
		}
	}
	return nil
}

// OperationShardMap returns the shard map of the services of the application, for requests that do not depend on a snapshot, or
// nil if the application is unknown. Its Snapshot is 0.
func (x *Index) OperationShardMap(app string, choice VersionChoice) *ShardMap {
	set := x.shardMapSet(app, choice)
	if set == nil {
		return nil
	}
	return set.operation
}

func (x *Index) shardMapSet(app string, choice VersionChoice) *shardMapSet {
	a := x.apps[app]
	if a == nil {
		return nil
	}
	a.mu.Lock()
	set := a.shardMapSets[choice]
	if set == nil {
		set = &shardMapSet{}
		a.shardMapSets[choice] = set
	}
	a.mu.Unlock()
	set.once.Do(func() {
		set.ranked = a.buildShardMaps(choice)
		set.operation = a.buildOperationShardMap(choice)
	})
	return set
}
