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
	// waitTimeout is the wide bound of every wait.
	waitTimeout = 30 * time.Second
	// queryDeadline is long enough that a healthy deployment on a busy machine answers in full.
	queryDeadline = time.Second
	firstSnapshot = 7
	hitLimit      = 10
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

// deploymentSpec describes a small deployment.
type deploymentSpec struct {
	zones  int
	vms    int
	shards int
	// replicas is the number of replicas of each shard, which stand in consecutive zones.
	replicas int
	slots    int
	conns    int
	// extraObjects objects are added to the set.
	extraObjects []parser.Object
	backendArgs  []string
	vmArgs       []string
	zoneLatency  time.Duration
	// deadline is that of the queries, if it is not the usual one.
	deadline    time.Duration
	unpublished bool
}

func smallSpec() deploymentSpec {
	return deploymentSpec{
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
func (s deploymentSpec) set() parser.Set {
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
	return append(set, s.extraObjects...)
}

func serviceName(n int) string {
	return fmt.Sprintf("%s-%02d", application, n)
}

// servers returns the backend servers of one version.
func (s deploymentSpec) servers(version int) []parser.Object {
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
	sequence atomic.Int64
}

// deploy starts a deployment, publishes its set and waits until every VM answers a search in full. It is stopped when the test
// ends; the logs are kept when it fails.
func deploy(t *testing.T, s deploymentSpec) *deployment {
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
		ZoneLatency: s.zoneLatency,
	})
	assert.NilError(t, err)
	d := &deployment{
		Cluster:  c,
		t:        t,
		caller:   launcher.NewCaller(64),
		deadline: cmp.Or(s.deadline, queryDeadline),
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
	assert.NilError(t, c.ApplyAndWait(waitTimeout))
	d.awaitFullCoverage()
	return d
}

// awaitFullCoverage waits until every running VM answers a search in full.
func (d *deployment) awaitFullCoverage() {
	d.t.Helper()
	d.await("every VM answers in full", func() bool {
		for _, v := range d.VMs() {
			if !v.Running() {
				continue
			}
			resp, err := d.caller.Search(v, d.query())
			if err != nil || resp.Coverage.Fraction < 1 {
				return false
			}
		}
		return true
	})
}

func (d *deployment) await(condition string, holds func() bool) {
	d.t.Helper()
	assert.NilError(d.t, launcher.WaitFor(waitTimeout, condition, holds))
}

// query returns a search with a body that no other query of the deployment has.
func (d *deployment) query() launcher.Query {
	return launcher.Query{
		Application: application,
		Route:       route,
		Body:        fmt.Sprintf("brown bear %d", d.sequence.Add(1)),
		Limit:       hitLimit,
		Deadline:    d.deadline,
	}
}

// checkResponse computes the right answer to a query from the corpus and compares it. The hits must be exactly the best ones of
// the shards and parts of shards that the coverage names as searched, all from the snapshot of the answer.
func checkResponse(q launcher.Query, resp launcher.Response) error {
	if !resp.Code.Answered() {
		return nil
	}
	shardCount := resp.Coverage.Of
	searchedParts := slices.Repeat([]int{corpus.PartsPerShard}, shardCount)
	for i, m := range resp.Coverage.Missing {
		if m.Shard < 0 || m.Shard >= shardCount || i > 0 && resp.Coverage.Missing[i-1].Shard >= m.Shard {
			return fmt.Errorf("the missing shards of %+v are not in order", resp.Coverage)
		}
		searchedParts[m.Shard] = 0
		if m.Code == classifier.Partial {
			var total int
			if _, err := fmt.Sscanf(m.Reason, "%d of %d parts", &searchedParts[m.Shard], &total); err != nil || total != corpus.PartsPerShard {
				return fmt.Errorf("the reason %q does not say what was searched", m.Reason)
			}
		}
	}
	if err := checkCoverage(resp, searchedParts); err != nil {
		return err
	}
	var want []connector.Hit
	for shard, parts := range searchedParts {
		want = append(want, corpus.TopPartialShardHits(resp.Snapshot, shard, shardCount, parts, []byte(q.Body), q.Limit)...)
	}
	slices.SortFunc(want, func(a, b connector.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	return checkHits(resp, want[:min(q.Limit, len(want))])
}

// checkCoverage compares the numbers of the coverage with the parts searched of each shard.
func checkCoverage(resp launcher.Response, searchedParts []int) error {
	answered, parts := 0, 0
	for _, n := range searchedParts {
		parts += n
		if n > 0 {
			answered++
		}
	}
	fraction := float64(parts) / float64(corpus.PartsPerShard*len(searchedParts))
	if resp.Coverage.Answered != answered || math.Abs(resp.Coverage.Fraction-fraction) > 1e-9 {
		return fmt.Errorf("the coverage %+v does not add up to %d shards and the fraction %g", resp.Coverage, answered, fraction)
	}
	if full := answered == len(searchedParts) && len(resp.Coverage.Missing) == 0; full != (resp.Code == classifier.OK) {
		return fmt.Errorf("the code %s does not fit the coverage %+v", resp.CodeName, resp.Coverage)
	}
	return nil
}

func checkHits(resp launcher.Response, want []connector.Hit) error {
	if len(resp.Hits) != len(want) {
		return fmt.Errorf("an answer with the coverage %+v has %d hits instead of %d", resp.Coverage, len(resp.Hits), len(want))
	}
	for i, h := range want {
		if resp.Hits[i].ID != h.ID || string(resp.Hits[i].Body) != string(h.Body) {
			return fmt.Errorf("hit %d of an answer with the coverage %+v is %s %s instead of %s %s", i, resp.Coverage, resp.Hits[i].ID, resp.Hits[i].Body, h.ID, h.Body)
		}
	}
	return nil
}
