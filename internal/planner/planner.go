// Package planner selects the targets of the sub-requests of a query: the version, the snapshot, and the replica and owner
// of each shard. Its decisions depend only on sections of the blackboard, a time and a random source that the caller passes
// in.
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

// MaxShards bounds the partition size that a backend server may state. A larger statement is ignored.
const MaxShards = 1 << 16

// MaxSnapshots bounds the snapshots of one application that are considered, the newest ones first.
const MaxSnapshots = 16

// perMille is the whole of a share of queries.
const perMille = 1000

// Distances between zones, in ascending order of latency.
const (
	distanceOwn = iota
	distanceZone
	distanceRegion
)

// Sections are the parts of the blackboard that decisions depend on. No field is nil.
type Sections struct {
	Config   *blackboard.Config
	Members  *blackboard.Members
	Replicas *blackboard.Replicas
	Moves    *blackboard.Moves
}

// EntryVM is the entry VM that holds a replica.
type EntryVM struct {
	Name    string
	Address netip.AddrPort
	// Self says that the owner is this VM.
	Self bool
}

// VersionChoice is the version of one query. The zero value lets any version serve.
type VersionChoice struct {
	Version string
	// Fallback is a version that serves shards for which Version has no replica, or is empty.
	Fallback string
}

// Candidate is one replica that may serve a shard. It is immutable.
type Candidate struct {
	Replica          string
	Version          string
	AvailabilityZone string
	Owner            *EntryVM
	// Unreported says that no current report about the replica exists.
	Unreported bool
	// OtherRegion says that the replica is in another region.
	OtherRegion bool

	region    string
	distance  int
	cold      bool
	load      int
	allowance int // at least 1
	slots     int // at least 1
	shard     int // of the service
	held      []heldShard
}

type heldShard struct {
	snapshot  uint64
	shard, of int
}

// Index holds what decisions need, derived from one set of sections. It is immutable and safe for concurrent use.
type Index struct {
	sections Sections
	owners   map[string]*EntryVM
	apps     map[string]*application
}

type application struct {
	candidates []*Candidate
	shards     int

	mu    sync.Mutex
	pools map[VersionChoice]*pool
}

// pool holds the views that one choice of version allows.
type pool struct {
	once      sync.Once
	views     []*ShardMap
	operation *ShardMap
}

// NewIndex derives an index from the sections.
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
	names := x.rankedNames()
	for app := range s.Config.Applications {
		a := &application{
			shards: s.Config.ShardCount[app],
			pools:  map[VersionChoice]*pool{},
		}
		for i := range s.Config.ServersByApplication[app] {
			if c := x.candidate(&s.Config.ServersByApplication[app][i], names); c != nil {
				a.candidates = append(a.candidates, c)
			}
		}
		x.apps[app] = a
	}
	return x
}

// rankedNames returns the members of each zone that may own replicas. Leaving members count only when a zone has no other.
func (x *Index) rankedNames() map[string][]string {
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

// candidate returns nil when the replica must get no work or nobody can own it.
func (x *Index) candidate(server *parser.BackendServer, names map[string][]string) *Candidate {
	zone, ok := x.sections.Config.Zones[server.AvailabilityZone]
	if !ok || zone.State == parser.ZoneOutOfService {
		return nil
	}
	report := x.sections.Replicas.ByName[server.Name]
	if report.Leaving || report.State == blackboard.ReplicaDraining || report.State == blackboard.ReplicaDown {
		return nil
	}
	owner := x.owner(server, report.Owner, names)
	if owner == nil {
		return nil
	}
	c := &Candidate{
		Replica:          server.Name,
		Version:          server.Version,
		AvailabilityZone: server.AvailabilityZone,
		Owner:            owner,
		Unreported:       report.State == blackboard.ReplicaUnknown,
		OtherRegion:      x.distance(zone) == distanceRegion,
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

func (x *Index) owner(server *parser.BackendServer, reported string, names map[string][]string) *EntryVM {
	if m, ok := x.sections.Members.ByName[reported]; ok && m.State != blackboard.MemberGone {
		return x.owners[reported]
	}
	return x.owners[hasher.Best(server.Name, names[server.AvailabilityZone])]
}

func (x *Index) distance(zone parser.AvailabilityZone) int {
	own := x.sections.Members.ByName[x.sections.Members.Self].AvailabilityZone
	switch {
	case zone.Name == own:
		return distanceOwn
	case zone.Region != "" && zone.Region == x.sections.Config.Zones[own].Region:
		return distanceZone
	default:
		return distanceRegion
	}
}

// Config returns the configuration that the index was derived from.
func (x *Index) Config() *blackboard.Config {
	return x.sections.Config
}

// Member returns the owner with the name, or nil when it is unknown or gone.
func (x *Index) Member(name string) *EntryVM {
	if m, ok := x.sections.Members.ByName[name]; !ok || m.State == blackboard.MemberGone {
		return nil
	}
	return x.owners[name]
}

// Successor returns the member of the replica's zone that ranks first when the failed owner is left out, or nil.
func (x *Index) Successor(c *Candidate, failed string) *EntryVM {
	var names []string
	for _, m := range x.sections.Members.ByZone[c.AvailabilityZone] {
		if m.Name != failed && m.State != blackboard.MemberLeaving {
			names = append(names, m.Name)
		}
	}
	return x.owners[hasher.Best(c.Replica, names)]
}

// PickVMInOtherZone returns a random live member of another zone that is in service, or nil. Members of the same region go first.
func (x *Index) PickVMInOtherZone(rng *rand.Rand) *EntryVM {
	own := x.sections.Members.ByName[x.sections.Members.Self].AvailabilityZone
	var best *EntryVM
	nearest, seen := distanceRegion, 0
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

// ChooseVersion returns the version of one query of the application. The state of the current move decides; without a move
// the split decides; without either any version may serve. While a move is configured but has no state yet, the old version
// serves alone.
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

// ChooseSnapshot returns the view of the newest snapshot above after among those that usable replicas cover best, or nil
// when no replica holds such a snapshot. A snapshot that the chosen version covers better goes before one that only the
// fallback version covers equally well, so that a move gets evidence.
func (x *Index) ChooseSnapshot(app string, choice VersionChoice, after uint64) *ShardMap {
	p := x.pool(app, choice)
	if p == nil {
		return nil
	}
	for _, v := range p.views {
		if v.Snapshot > after {
			return v
		}
	}
	return nil
}

// OperationShardMap returns a view over the services of the application, for requests that are not bound to a snapshot, or nil when
// the application is unknown. Its Snapshot is 0.
func (x *Index) OperationShardMap(app string, choice VersionChoice) *ShardMap {
	p := x.pool(app, choice)
	if p == nil {
		return nil
	}
	return p.operation
}

func (x *Index) pool(app string, choice VersionChoice) *pool {
	a := x.apps[app]
	if a == nil {
		return nil
	}
	a.mu.Lock()
	p := a.pools[choice]
	if p == nil {
		p = &pool{}
		a.pools[choice] = p
	}
	a.mu.Unlock()
	p.once.Do(func() {
		p.views = a.buildViews(choice)
		p.operation = a.buildOperation(choice)
	})
	return p
}
