// Package integration_test verifies the guarantees in docs/design.md against real processes: entry VMs, backend servers and a
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
	// waitTimeout bounds every wait for a condition. It is long enough for a busy machine.
	waitTimeout = 30 * time.Second
	// queryDeadline lets a healthy deployment on a busy machine answer with full coverage.
	queryDeadline = time.Second
	firstSnapshot = 7
	hitLimit      = 10
	application   = "buscador"
	route         = "lost"
	hedgePercent  = 10
	retryPercent  = 20
)

var binDir string

// TestMain uses the programs in TEST_BIN_DIR, where `make test` puts them, or builds them.
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

// deploymentSpec is the configuration of a test deployment.
type deploymentSpec struct {
	zones  int
	vms    int
	shards int
	// replicas is the number of replicas of each shard. They are placed in consecutive zones.
	replicas int
	slots    int
	conns    int
	// extraObjects are appended to the configuration set.
	extraObjects []parser.Object
	backendArgs  []string
	vmArgs       []string
	zoneLatency  time.Duration
	// deadline is the deadline of the queries; 0 means queryDeadline.
	deadline time.Duration
	// unpublished makes deploy return before the configuration set is published.
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

// set returns the objects of a deployment with one application, which has two search routes and one operation route.
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

// servers returns the backend servers of one version. The launcher replaces their addresses.
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

// deployment is a running cluster with a client that sends queries to it.
type deployment struct {
	*launcher.Cluster
	t      *testing.T
	caller *launcher.Caller
	// deadline is the deadline of the queries.
	deadline time.Duration
	sequence atomic.Int64
}

// deploy starts a deployment, publishes its configuration set unless s.unpublished is set, and waits until every VM answers with
// full coverage. The deployment is stopped when the test ends; its logs are kept if the test fails.
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
			t.Logf("logs kept in %s", dir)
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

// awaitFullCoverage waits until every running VM answers a search with full coverage.
func (d *deployment) awaitFullCoverage() {
	d.t.Helper()
	d.await("every VM answers with full coverage", func() bool {
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

// query returns a search whose body is unique within the deployment.
func (d *deployment) query() launcher.Query {
	return launcher.Query{
		Application: application,
		Route:       route,
		Body:        fmt.Sprintf("brown bear %d", d.sequence.Add(1)),
		Limit:       hitLimit,
		Deadline:    d.deadline,
	}
}

// checkResponse computes the expected hits of a query from the corpus and compares them with the response. The hits must be
// exactly the best ones of the shards and shard parts that the coverage reports as searched, all from the snapshot of the
// response.
func checkResponse(q launcher.Query, resp launcher.Response) error {
	if !resp.Code.Answered() {
		return nil
	}
	shardCount := resp.Coverage.Of
	searchedParts := slices.Repeat([]int{corpus.PartsPerShard}, shardCount)
	for i, m := range resp.Coverage.Missing {
		if m.Shard < 0 || m.Shard >= shardCount || i > 0 && resp.Coverage.Missing[i-1].Shard >= m.Shard {
			return fmt.Errorf("the missing shards of coverage %+v are invalid or not in ascending order", resp.Coverage)
		}
		searchedParts[m.Shard] = 0
		if m.Code == classifier.Partial {
			var total int
			if _, err := fmt.Sscanf(m.Reason, "%d of %d parts", &searchedParts[m.Shard], &total); err != nil || total != corpus.PartsPerShard {
				return fmt.Errorf("the reason %q does not state how many parts were searched", m.Reason)
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

// checkCoverage compares the coverage with the number of searched parts of each shard.
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
		return fmt.Errorf("coverage is %+v, want %d answered shards and fraction %g", resp.Coverage, answered, fraction)
	}
	if full := answered == len(searchedParts) && len(resp.Coverage.Missing) == 0; full != (resp.Code == classifier.OK) {
		return fmt.Errorf("result code %s contradicts coverage %+v", resp.CodeName, resp.Coverage)
	}
	return nil
}

func checkHits(resp launcher.Response, want []connector.Hit) error {
	if len(resp.Hits) != len(want) {
		return fmt.Errorf("response with coverage %+v has %d hits, want %d", resp.Coverage, len(resp.Hits), len(want))
	}
	for i, h := range want {
		if resp.Hits[i].ID != h.ID || string(resp.Hits[i].Body) != string(h.Body) {
			return fmt.Errorf("hit %d of a response with coverage %+v is %s %s, want %s %s", i, resp.Coverage, resp.Hits[i].ID, resp.Hits[i].Body, h.ID, h.Body)
		}
	}
	return nil
}
