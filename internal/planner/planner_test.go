package planner

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/goccy/go-yaml"
	"gotest.tools/v3/assert"
)

// decisionCase is one case in testdata/decisions.yaml.
type decisionCase struct {
	Name      string              `yaml:"Name"`
	Out       []string            `yaml:"Out"`
	Gone      []string            `yaml:"Gone"`
	Shards    int                 `yaml:"Shards"`
	Version   string              `yaml:"Version"`
	Fallback  string              `yaml:"Fallback"`
	Servers   []string            `yaml:"Servers"`
	Snapshot  uint64              `yaml:"Snapshot"`
	Of        int                 `yaml:"Of"`
	Covered   int                 `yaml:"Covered"`
	Picks     map[int][]string    `yaml:"Picks"`
	Excluded  map[string][]string `yaml:"Excluded"`
	MoreOften string              `yaml:"MoreOften"`
	Owner     string              `yaml:"Owner"`
}

var states = map[string]blackboard.ReplicaState{
	"Warm":     blackboard.ReplicaWarm,
	"Leaving":  blackboard.ReplicaWarm,
	"Cold":     blackboard.ReplicaCold,
	"Draining": blackboard.ReplicaDraining,
	"Down":     blackboard.ReplicaDown,
}

func (d *decisionCase) sections(t testing.TB) Sections {
	set := parser.Set{testApplication()}
	members := &blackboard.Members{
		Self:   "a1",
		ByName: map[string]blackboard.Member{},
		ByZone: map[string][]blackboard.Member{},
	}
	for _, z := range []string{"a", "b", "c"} {
		zone := parser.AvailabilityZone{
			Name:   z,
			Region: map[string]string{"a": "r1", "b": "r1", "c": "r2"}[z],
			State:  parser.ZoneInService,
		}
		if slices.Contains(d.Out, z) {
			zone.State = parser.ZoneOutOfService
		}
		set = append(set, zone)
		for i := 1; i <= 2; i++ {
			m := blackboard.Member{
				Name:             z + strconv.Itoa(i),
				AvailabilityZone: z,
				Address:          netip.MustParseAddrPort("127.0.0.1:1"),
				State:            blackboard.MemberAlive,
			}
			if slices.Contains(d.Gone, m.Name) {
				m.State = blackboard.MemberGone
			} else {
				members.ByZone[z] = append(members.ByZone[z], m)
			}
			members.ByName[m.Name] = m
		}
	}
	for i := range d.Shards {
		set = append(set, parser.Service{
			Name:        "s" + strconv.Itoa(i),
			Application: "app",
			Shard:       i,
		})
	}
	replicas := &blackboard.Replicas{
		ByName: map[string]blackboard.Replica{},
	}
	for _, line := range d.Servers {
		f := strings.Fields(line)
		set = append(set, parser.BackendServer{
			Name:             f[0],
			Service:          "s" + f[1],
			Version:          f[2],
			AvailabilityZone: f[3],
			Slots:            3,
		})
		if f[4] != "-" {
			replicas.ByName[f[0]] = report(t, f)
		}
	}
	return Sections{
		Config:   blackboard.NewConfig(1, set),
		Members:  members,
		Replicas: replicas,
		Moves:    &blackboard.Moves{},
	}
}

func testApplication() parser.Application {
	return parser.Application{
		Name: "app",
	}
}

func report(t testing.TB, f []string) blackboard.Replica {
	r := blackboard.Replica{
		Name:    f[0],
		Owner:   f[6],
		State:   states[f[4]],
		Leaving: f[4] == "Leaving",
	}
	_, err := fmt.Sscanf(f[5], "%d/%d", &r.Load, &r.Allowance)
	assert.NilError(t, err)
	for _, text := range strings.Split(f[7], ",") {
		var h connector.HeldSnapshot
		_, err := fmt.Sscanf(text, "%d:%d/%d", &h.Snapshot, &h.Shard, &h.Of)
		assert.NilError(t, err)
		r.Held = append(r.Held, h)
	}
	return r
}

// pickCounts returns how often each replica is selected in 500 picks.
func pickCounts(m *ShardMap, shard int, excluded []*Candidate) map[string]int {
	rng := rand.New(rand.NewPCG(1, 2))
	counts := map[string]int{}
	for range 500 {
		if c := m.Pick(shard, excluded, rng); c != nil {
			counts[c.Replica]++
		}
	}
	return counts
}

func names(counts map[string]int) []string {
	list := []string{}
	for n := range counts {
		list = append(list, n)
	}
	slices.Sort(list)
	return list
}

// Guards against requests to replicas that must not receive any, and against a wrong order of preference, mixed versions and a
// wrong number of shards.
func TestDecisions(t *testing.T) {
	data, err := os.ReadFile("testdata/decisions.yaml")
	assert.NilError(t, err)
	var cases []decisionCase
	assert.NilError(t, yaml.UnmarshalWithOptions(data, &cases, yaml.Strict()))
	for _, d := range cases {
		t.Run(d.Name, func(t *testing.T) {
			x := NewIndex(d.sections(t))
			m := x.ChooseSnapshot("app", VersionChoice{
				Version:  d.Version,
				Fallback: d.Fallback,
			}, 0)
			if d.Snapshot == 0 {
				assert.Assert(t, m == nil)
				return
			}
			assert.Equal(t, m.Snapshot, d.Snapshot)
			assert.Equal(t, m.ShardCount, d.Of)
			assert.Equal(t, m.CoveredShards, d.Covered)
			for shard, want := range d.Picks {
				got := pickCounts(m, shard, nil)
				assert.DeepEqual(t, names(got), want)
				if d.MoreOften != "" {
					assert.Assert(t, got[d.MoreOften] > 300, "%v", got)
				}
			}
			for name, want := range d.Excluded {
				assert.DeepEqual(t, names(pickCounts(m, 0, []*Candidate{findCandidate(m, name)})), want)
			}
			if d.Owner != "" {
				assert.Equal(t, m.Pick(0, nil, rand.New(rand.NewPCG(1, 1))).Owner.Name, d.Owner)
			}
		})
	}
}

func findCandidate(m *ShardMap, name string) *Candidate {
	for _, rc := range m.shards[0] {
		if rc.Replica == name {
			return rc.Candidate
		}
	}
	return nil
}

// Guards against more traffic for a version than its share, and against traffic for a new version before its move has a state.
func TestChooseVersion(t *testing.T) {
	move := parser.Move{
		Name:        "m",
		Application: "app",
		From:        "v1",
		To:          "v2",
	}
	d := decisionCase{}
	s := d.sections(t)
	share := func(state *blackboard.MoveState) int {
		s.Config = blackboard.NewConfig(1, parser.Set{testApplication(), move})
		s.Moves = &blackboard.Moves{}
		if state != nil {
			s.Moves.ByApplication = map[string]blackboard.MoveState{"app": *state}
		}
		rng, n := rand.New(rand.NewPCG(3, 4)), 0
		x := NewIndex(s)
		for range 10000 {
			if c := x.ChooseVersion("app", rng); c.Version == "v2" {
				n++
			}
		}
		return n
	}
	state := &blackboard.MoveState{
		Move:          move,
		SharePerMille: 50,
		Outcome:       blackboard.MoveRunning,
	}
	assert.Equal(t, share(nil), 0)
	n := share(state)
	assert.Assert(t, n > 400 && n < 600, "%d", n)
	state.Outcome = blackboard.MoveRolledBack
	assert.Equal(t, share(state), 0)
	state.Outcome = blackboard.MoveDone
	assert.Equal(t, share(state), 10000)
	state.Move.Name = "another"
	assert.Equal(t, share(state), 0)
}

// Guards against canaries of equal requests that VMs in different zones send to different owners, and against two placements in
// one zone, or in one shard, which would be uncovered if both crashed.
func TestCanariesAreEqualInAllZones(t *testing.T) {
	d := largeCase(8, 3)
	s := d.sections(t)
	zones := map[string]int{}
	for f := range uint64(50) {
		s.Members.Self = "a1"
		first, second := NewIndex(s).ChooseSnapshot("app", VersionChoice{}, 0).Canaries(f)
		s.Members.Self = "c1"
		first2, second2 := NewIndex(s).ChooseSnapshot("app", VersionChoice{}, 0).Canaries(f)
		assert.Equal(t, first.Shard, first2.Shard)
		assert.Equal(t, second.Shard, second2.Shard)
		assert.Equal(t, first.Candidate.Replica, first2.Candidate.Replica)
		assert.Equal(t, second.Candidate.Replica, second2.Candidate.Replica)

		assert.Assert(t, first.Shard != second.Shard)
		assert.Assert(t, first.Candidate.AvailabilityZone != second.Candidate.AvailabilityZone)
		assert.Equal(t, second2.CloserThan(first2), second2.Candidate.AvailabilityZone == "c")
		zones[first.Candidate.AvailabilityZone]++
	}
	assert.Equal(t, len(zones), 3)
}

// largeCase returns a case with the given number of shards and of replicas per shard, which are spread over the zones.
func largeCase(shards, replicas int) *decisionCase {
	d := &decisionCase{
		Shards: shards,
	}
	for i := range shards {
		for k := range replicas {
			zone := string("abc"[k%3])
			d.Servers = append(d.Servers, fmt.Sprintf("s%d-%d %d v1 %s Warm 0/3 %s%d 5:%d/%d,6:%d/%d", i, k, i, zone, zone, 1+k%2, i, shards, i, shards))
		}
	}
	return d
}

// Guards against an index that is older than RebuildIntervalPerReplica allows, and against building the index on each read.
func TestIndexCacheRebuilds(t *testing.T) {
	board := &blackboard.Board{}
	c := NewIndexCache(board)
	start := time.Unix(1000, 0)
	empty := c.Index(start)
	assert.Assert(t, c.Index(start) == empty)
	s := largeCase(2, 3).sections(t)
	board.Config.Write(s.Config)
	board.Members.Write(s.Members)
	board.Replicas.Write(s.Replicas)
	full := c.Index(start)
	assert.Assert(t, full.ChooseSnapshot("app", VersionChoice{}, 0) != nil)
	board.Replicas.Write(&blackboard.Replicas{})
	assert.Assert(t, c.Index(start) == full)
	assert.Assert(t, c.Index(start.Add(6*RebuildIntervalPerReplica)).ChooseSnapshot("app", VersionChoice{}, 0) == nil)
}

// Guards against memory allocations when a candidate is picked, which happens for every shard of every query.
func TestPickDoesNotAllocate(t *testing.T) {
	m := NewIndex(largeCase(4, 9).sections(t)).ChooseSnapshot("app", VersionChoice{}, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	assert.Equal(t, testing.AllocsPerRun(100, func() { m.Pick(3, nil, rng) }), 0.0)
}

func BenchmarkPlan520(b *testing.B) {
	m := NewIndex(largeCase(520, 10).sections(b)).ChooseSnapshot("app", VersionChoice{}, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for b.Loop() {
		for shard := range m.ShardCount {
			m.Pick(shard, nil, rng)
		}
	}
}

func BenchmarkIndex5300(b *testing.B) {
	s := largeCase(530, 10).sections(b)
	b.ReportAllocs()
	for b.Loop() {
		NewIndex(s).ChooseSnapshot("app", VersionChoice{}, 0)
	}
}
