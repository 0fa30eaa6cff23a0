// Package integration_test proves the promises of docs/design.md with real processes: entry VMs, backend servers and a
// platform behind a fault-injecting proxy.
package integration_test

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/standin/corpus"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

const (
	// limit is the wide bound of every wait.
	limit = 30 * time.Second
	// deadline is long enough that a healthy deployment on a busy machine answers in full.
	deadline      = time.Second
	firstSnapshot = 7
	hits          = 10
	application   = "buscador"
	route         = "lost"
	hedgePercent  = 10
	retryPercent  = 20
)

var binDir string

// TestMain finds the programs in TEST_BIN_DIR, where `make test` puts them, or builds them.
func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	if binDir = os.Getenv("TEST_BIN_DIR"); binDir != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "anvildyke-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binDir = dir
	return m.Run()
}

// shape describes a small deployment.
type shape struct {
	zones  int
	vms    int
	shards int
	// replicas is the number of replicas of each shard, which stand in consecutive zones.
	replicas int
	slots    int
	conns    int
	// extra objects are added to the set.
	extra       []parser.Object
	backendArgs []string
	vmArgs      []string
	latency     time.Duration
	// deadline is that of the queries, if it is not the usual one.
	deadline    time.Duration
	unpublished bool
}

func small() shape {
	return shape{
		zones:    3,
		vms:      2,
		shards:   6,
		replicas: 2,
		slots:    3,
		conns:    12,
	}
}

func zoneName(n int) string {
	return []string{"litoral-a", "capital-a", "este-a"}[n]
}

func versionName(n int) string {
	return fmt.Sprintf("%s-v%d", application, n)
}

// set returns the objects of a deployment with one application with one search route and one operation route.
func (s shape) set() parser.Set {
	var set parser.Set
	for n := range s.zones {
		set = append(set, parser.AvailabilityZone{
			Name:   zoneName(n),
			Region: fmt.Sprintf("region-%d", n),
			State:  parser.ZoneInService,
		})
	}
	set = append(set,
		parser.Policy{
			Name:              "default",
			HedgePercent:      hedgePercent,
			RetryPercent:      retryPercent,
			MoveMaxBadPercent: 5,
			MoveMinAnswers:    20,
		},
		parser.Application{
			Name: application,
			Routes: []parser.Route{
				{
					Name: route,
					Kind: parser.RouteSearch,
				},
				{
					Name: "found",
					Kind: parser.RouteSearch,
				},
				{
					Name: "handover",
					Kind: parser.RouteOperation,
				},
			},
			DeadlineDefault: 200 * time.Millisecond,
			DeadlineMax:     5 * time.Second,
			Policy:          "default",
		},
		parser.Version{
			Name:        versionName(1),
			Application: application,
		},
	)
	for n := range s.shards {
		set = append(set, parser.Service{
			Name:        serviceName(n),
			Application: application,
			Shard:       n,
		})
	}
	set = append(set, s.servers(1)...)
	return append(set, s.extra...)
}

func serviceName(n int) string {
	return fmt.Sprintf("%s-%02d", application, n)
}

// servers returns the backend servers of one version.
func (s shape) servers(version int) []parser.Object {
	var servers []parser.Object
	for shard := range s.shards {
		for r := range s.replicas {
			zone := zoneName((shard + r) % s.zones)
			servers = append(servers, parser.BackendServer{
				Name:             fmt.Sprintf("%s-%s-v%d", serviceName(shard), zone, version),
				Service:          serviceName(shard),
				Version:          versionName(version),
				AvailabilityZone: zone,
				Address:          netip.MustParseAddrPort("127.0.0.1:1"),
				Slots:            s.slots,
				Connections:      s.conns,
				ConnectTime:      time.Millisecond,
			})
		}
	}
	return servers
}

// deployment is a running cluster with a caller.
type deployment struct {
	*launcher.Cluster
	t      *testing.T
	caller *launcher.Caller
	// deadline is that of its queries.
	deadline time.Duration
	number   atomic.Int64
}

// deploy starts a deployment, publishes its set and waits until every VM answers a search in full. It is stopped when the test
// ends; the logs are kept when it fails.
func deploy(t *testing.T, s shape) *deployment {
	t.Helper()
	dir, err := os.MkdirTemp("", "anvildyke-test-")
	assert.NilError(t, err)
	vms := map[string]int{}
	for n := range s.zones {
		vms[zoneName(n)] = s.vms
	}
	c, err := launcher.Start(launcher.Options{
		BinDir:      binDir,
		LogDir:      dir,
		Set:         s.set(),
		VMsPerZone:  vms,
		Snapshot:    firstSnapshot,
		BackendArgs: s.backendArgs,
		VMArgs:      s.vmArgs,
		ZoneLatency: s.latency,
	})
	assert.NilError(t, err)
	d := &deployment{
		Cluster:  c,
		t:        t,
		caller:   launcher.NewCaller(64),
		deadline: cmp.Or(s.deadline, deadline),
	}
	t.Cleanup(func() {
		d.caller.Close()
		c.Stop()
		if t.Failed() {
			t.Logf("the logs are in %s", dir)
			return
		}
		assert.NilError(t, os.RemoveAll(dir))
	})
	if s.unpublished {
		return d
	}
	assert.NilError(t, c.ApplyAndWait(limit))
	d.awaitFull()
	return d
}

// awaitFull waits until every running VM answers a search in full.
func (d *deployment) awaitFull() {
	d.t.Helper()
	d.await("every VM answers in full", func() bool {
		for _, v := range d.VMs() {
			if !v.Running() {
				continue
			}
			a, err := d.caller.Search(v, d.query())
			if err != nil || a.Coverage.Fraction < 1 {
				return false
			}
		}
		return true
	})
}

func (d *deployment) await(condition string, holds func() bool) {
	d.t.Helper()
	assert.NilError(d.t, launcher.WaitFor(limit, condition, holds))
}

// query returns a search with a body that no other query of the deployment has.
func (d *deployment) query() launcher.Query {
	return launcher.Query{
		Application: application,
		Route:       route,
		Body:        fmt.Sprintf("brown bear %d", d.number.Add(1)),
		Limit:       hits,
		Deadline:    d.deadline,
	}
}

// checkAnswer computes the right answer to a query from the corpus and compares it. The hits must be exactly the best ones of
// the shards and parts of shards that the coverage names as searched, all from the snapshot of the answer.
func checkAnswer(q launcher.Query, a launcher.Response) error {
	if !a.Code.Answered() {
		return nil
	}
	of := a.Coverage.Of
	searched := slices.Repeat([]int{corpus.PartsPerShard}, of)
	for i, m := range a.Coverage.Missing {
		if m.Shard < 0 || m.Shard >= of || i > 0 && a.Coverage.Missing[i-1].Shard >= m.Shard {
			return fmt.Errorf("the missing shards of %+v are not in order", a.Coverage)
		}
		searched[m.Shard] = 0
		if m.Code == classifier.Partial {
			var total int
			if _, err := fmt.Sscanf(m.Reason, "%d of %d parts", &searched[m.Shard], &total); err != nil || total != corpus.PartsPerShard {
				return fmt.Errorf("the reason %q does not say what was searched", m.Reason)
			}
		}
	}
	if err := checkCoverage(a, searched); err != nil {
		return err
	}
	var want []connector.Hit
	for shard, parts := range searched {
		want = append(want, corpus.TopPartialShardHits(a.Snapshot, shard, of, parts, []byte(q.Body), q.Limit)...)
	}
	slices.SortFunc(want, func(a, b connector.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	return checkHits(a, want[:min(q.Limit, len(want))])
}

// checkCoverage compares the numbers of the coverage with the parts searched of each shard.
func checkCoverage(a launcher.Response, searched []int) error {
	answered, parts := 0, 0
	for _, n := range searched {
		parts += n
		if n > 0 {
			answered++
		}
	}
	fraction := float64(parts) / float64(corpus.PartsPerShard*len(searched))
	if a.Coverage.Answered != answered || math.Abs(a.Coverage.Fraction-fraction) > 1e-9 {
		return fmt.Errorf("the coverage %+v does not add up to %d shards and the fraction %g", a.Coverage, answered, fraction)
	}
	if full := answered == len(searched) && len(a.Coverage.Missing) == 0; full != (a.Code == classifier.OK) {
		return fmt.Errorf("the code %s does not fit the coverage %+v", a.CodeName, a.Coverage)
	}
	return nil
}

func checkHits(a launcher.Response, want []connector.Hit) error {
	if len(a.Hits) != len(want) {
		return fmt.Errorf("an answer with the coverage %+v has %d hits instead of %d", a.Coverage, len(a.Hits), len(want))
	}
	for i, h := range want {
		if a.Hits[i].ID != h.ID || string(a.Hits[i].Body) != string(h.Body) {
			return fmt.Errorf("hit %d of an answer with the coverage %+v is %s %s instead of %s %s", i, a.Coverage, a.Hits[i].ID, a.Hits[i].Body, h.ID, h.Body)
		}
	}
	return nil
}
