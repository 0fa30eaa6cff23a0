package integration_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/administrator"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/publisher"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
	"github.com/anvildyke/anvildyke/internal/standin/platform"
	"github.com/anvildyke/anvildyke/internal/storeclient"
)

const (
	// installTimeout is the target for the time from the acceptance of a configuration set until every VM has installed it.
	installTimeout = 9 * time.Second
	// applyTimeout exceeds the server's own time limit for an apply.
	applyTimeout   = 15 * time.Second
	statusInterval = 30 * time.Millisecond
	statusTimeout  = time.Second
)

// configuration is a deployment whose VMs are polled for their configuration generation until the test ends.
type configuration struct {
	*deployment
	client *http.Client
	stop   chan struct{}
	polls  sync.WaitGroup

	mu sync.Mutex
	// generations holds the latest generation that the current process of each VM reported; it must not decrease. epochs counts the
	// processes started under each name.
	generations map[string]uint64
	epochs      map[string]int
	violations  []string
}

func deployConfiguration(t *testing.T, s deploymentSpec) *configuration {
	t.Helper()
	c := &configuration{
		deployment: deploy(t, s),
		client: &http.Client{
			Transport: &http.Transport{
				DisableKeepAlives: true,
			},
		},
		stop:        make(chan struct{}),
		generations: map[string]uint64{},
		epochs:      map[string]int{},
	}
	for _, v := range c.VMs() {
		name := v.Name
		c.polls.Go(func() { c.poll(name, v.Operator) })
	}
	t.Cleanup(func() {
		close(c.stop)
		c.polls.Wait()
		assert.Check(t, len(c.violations) == 0, "%v", c.violations)
	})
	c.awaitGeneration(1, c.vmNames()...)
	return c
}

func (c *configuration) vmNames() []string {
	var names []string
	for _, v := range c.VMs() {
		names = append(names, v.Name)
	}
	return names
}

// poll reads the status of one VM until the test ends and records each decrease of its generation.
func (c *configuration) poll(name string, address netip.AddrPort) {
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(statusInterval):
		}
		c.mu.Lock()
		epoch := c.epochs[name]
		c.mu.Unlock()
		var s administrator.StatusResponse
		if code, err := c.get(address, "/v1/status", statusTimeout, &s); err != nil || code != http.StatusOK {
			continue
		}
		c.mu.Lock()
		if epoch == c.epochs[name] {
			if s.Generation < c.generations[name] {
				c.violations = append(c.violations, fmt.Sprintf("the generation of %s decreased from %d to %d", name, c.generations[name], s.Generation))
			}
			c.generations[name] = s.Generation
		}
		c.mu.Unlock()
	}
}

func (c *configuration) get(address netip.AddrPort, path string, timeout time.Duration, out any) (int, error) {
	return c.call(http.MethodGet, address, path, nil, timeout, out)
}

// call returns the HTTP status code and decodes the JSON body into out.
func (c *configuration) call(method string, address netip.AddrPort, path string, body []byte, timeout time.Duration, out any) (int, error) {
	req, err := http.NewRequest(method, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	client := *c.client
	client.Timeout = timeout
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, json.Unmarshal(data, out)
}

// applyResult is the response to an apply. It is a success if Code is OK.
type applyResult struct {
	administrator.ApplyResponse
	administrator.ErrorResponse
}

func (c *configuration) apply(v *launcher.VM, set parser.Set, base uint64) applyResult {
	path := "/v1/apply"
	if base > 0 {
		path += fmt.Sprintf("?Base=%d", base)
	}
	var result applyResult
	_, err := c.call(http.MethodPost, v.Operator, path, parser.EncodeYAML(set), applyTimeout, &result)
	assert.Check(c.t, err)
	return result
}

func (c *configuration) mustApply(v *launcher.VM, set parser.Set) uint64 {
	c.t.Helper()
	result := c.apply(v, set, 0)
	assert.Equal(c.t, result.Code, classifier.OK, result.Message)
	return result.Generation
}

// awaitGeneration waits until the VMs have installed the generation or a later one, for installTimeout at most.
func (c *configuration) awaitGeneration(generation uint64, names ...string) {
	c.t.Helper()
	start := time.Now()
	err := launcher.WaitFor(installTimeout, fmt.Sprintf("generation %d is installed on %v", generation, names), func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !slices.ContainsFunc(names, func(name string) bool {
			return c.generations[name] < generation
		})
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.NilError(c.t, err, "installed generations: %v", c.generations)
	c.t.Logf("generation %d was installed on %d VMs after %s", generation, len(names), time.Since(start).Round(time.Millisecond))
}

// replaceVMs kills VMs and starts new ones under the same names.
func (c *configuration) replaceVMs(names ...string) {
	c.mu.Lock()
	for _, name := range names {
		c.epochs[name]++
		c.generations[name] = 0
	}
	c.mu.Unlock()
	for _, name := range names {
		c.VM(name).Kill()
	}
	for _, name := range names {
		assert.NilError(c.t, c.RestartVM(name))
	}
	// A poll that began before the kill may have recorded the generation of the killed process under the new epoch, so another epoch
	// begins after the restart.
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		c.epochs[name]++
		c.generations[name] = 0
	}
}

func (c *configuration) mustSetPlatformSwitches(switches string) {
	c.t.Helper()
	assert.NilError(c.t, c.SetPlatformSwitches(switches))
}

// withPolicy returns the configuration set of the deployment with one more policy.
func (c *configuration) withPolicy(policy string) parser.Set {
	return append(slices.Clone(c.Set), parser.Policy{
		Name:         policy,
		Inherits:     "default",
		HedgePercent: 5,
	})
}

// policyNames returns the names of the policies that a VM has installed.
func (c *configuration) policyNames(v *launcher.VM) []string {
	c.t.Helper()
	var resp administrator.ObjectsResponse
	_, err := c.get(v.Operator, "/v1/objects/Policy", statusTimeout, &resp)
	assert.NilError(c.t, err)
	set, err := parser.Decode("answer", resp.Objects)
	assert.NilError(c.t, err)
	var names []string
	for _, o := range set {
		names = append(names, o.ObjectName())
	}
	return names
}

// Guards against an accepted set that is not installed within the target time, is published twice or reverts, if the platform
// fails while the set is being distributed.
func TestAcceptedSetIsInstalledDespitePlatformFaults(t *testing.T) {
	t.Parallel()
	c := deployConfiguration(t, smallSpec())
	vms, all := c.VMs(), c.vmNames()

	// The outage begins as soon as the apply is answered. Two zones are partitioned from the platform before that.
	zones := c.ZoneNames()
	first := c.VM(zones[0] + "-1")
	for _, zone := range zones[1:] {
		c.Network.Partition(zone, launcher.PlatformZone)
	}
	generation := c.mustApply(first, c.withPolicy("cut"))
	c.mustSetPlatformSwitches("Outage=true")
	c.awaitGeneration(generation, all...)
	c.mustSetPlatformSwitches("Outage=false")
	for _, zone := range zones[1:] {
		c.Network.Heal(zone, launcher.PlatformZone)
	}

	c.mustSetPlatformSwitches("Slow=700ms")
	next := c.mustApply(vms[3], c.withPolicy("slow"))
	assert.Equal(t, next, generation+1)
	c.awaitGeneration(next, all...)
	c.mustSetPlatformSwitches("Slow=0s")

	c.mustSetPlatformSwitches("LoseAnswers=3")
	lost := c.mustApply(vms[2], c.withPolicy("lost"))
	assert.Equal(t, lost, next+1)
	c.awaitGeneration(lost, all...)
	c.mustSetPlatformSwitches("LoseAnswers=0")
	for _, v := range vms {
		assert.DeepEqual(t, c.policyNames(v), []string{"default", "lost"})
	}
}

// Guards against an accepted set that is not installed because platform reads do not return it yet, and against an apply that
// overwrites a newer set which it could not read.
func TestAcceptedSetIsInstalledDespiteStaleReads(t *testing.T) {
	t.Parallel()
	c := deployConfiguration(t, smallSpec())
	vms := c.VMs()
	c.mustSetPlatformSwitches("StaleReads=true")
	generation := c.mustApply(vms[0], c.withPolicy("hidden"))
	c.awaitGeneration(generation, c.vmNames()...)
	for _, v := range []*launcher.VM{vms[0], vms[5]} {
		result := c.apply(v, c.withPolicy("blind"), 0)
		assert.Equal(t, result.Code, classifier.NotAccepted, result.Message)
	}
	c.mustSetPlatformSwitches("StaleReads=false")
	next := c.mustApply(vms[5], c.withPolicy("shown"))
	assert.Equal(t, next, generation+1)
	c.awaitGeneration(next, c.vmNames()...)
	for _, v := range vms {
		assert.DeepEqual(t, c.policyNames(v), []string{"default", "shown"})
	}
}

// Guards against concurrent applies of which both or neither succeed, a conflict error that does not name the changed object, and
// objects of the rejected set that are published.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	const rounds = 15
	c := deployConfiguration(t, smallSpec())
	vms := c.VMs()
	generation := uint64(1)
	for round := range rounds {
		// In every third round the platform does not respond to some writes that it has performed, among them one of the head.
		if round%3 == 2 {
			c.mustSetPlatformSwitches("LoseAnswers=3")
		}
		var results [2]applyResult
		names := []string{fmt.Sprintf("ana-%d", round), fmt.Sprintf("bo-%d", round)}
		var wg sync.WaitGroup
		for i := range results {
			wg.Go(func() {
				results[i] = c.apply(vms[(round+3*i)%len(vms)], c.withPolicy(names[i]), generation)
			})
		}
		wg.Wait()
		winner := 0
		if results[0].Code != classifier.OK {
			winner = 1
		}
		won, lost := results[winner], results[1-winner]
		assert.Equal(t, won.Code, classifier.OK, won.Message)
		assert.Equal(t, won.Generation, generation+1)
		assert.Equal(t, lost.Code, classifier.Conflict, lost.Message)
		assert.Assert(t, strings.Contains(lost.Message, "Policy/"+names[winner]), lost.Message)
		assert.Assert(t, !strings.Contains(lost.Message, "Policy/"+names[1-winner]), lost.Message)
		generation++
		c.awaitGeneration(generation, c.vmNames()...)
		for _, v := range vms {
			assert.DeepEqual(t, c.policyNames(v), []string{names[winner], "default"})
		}
	}
}

// Guards against new VMs that start with an older generation or none during a platform outage, and against a VM that reverts to
// an older generation after a pause.
func TestReplacedAndPausedVMsInstallNewestGeneration(t *testing.T) {
	t.Parallel()
	c := deployConfiguration(t, smallSpec())
	vms, zone := c.VMs(), c.ZoneNames()[1]
	paused := c.VM(c.ZoneNames()[2] + "-1")
	assert.NilError(t, paused.Pause())
	var generation uint64
	others := slices.DeleteFunc(c.vmNames(), func(name string) bool { return name == paused.Name })
	for n := range 5 {
		generation = c.mustApply(vms[0], c.withPolicy(fmt.Sprintf("change-%d", n)))
		c.awaitGeneration(generation, others...)
	}
	assert.NilError(t, paused.Resume())
	c.awaitGeneration(generation, c.vmNames()...)

	c.mustSetPlatformSwitches("Outage=true")
	c.replaceVMs(zone+"-1", zone+"-2")
	c.awaitGeneration(generation, c.vmNames()...)
	c.mustSetPlatformSwitches("Outage=false")
	for _, v := range vms {
		assert.DeepEqual(t, c.policyNames(v), []string{"change-4", "default"})
	}
	next := c.mustApply(c.VM(zone+"-1"), c.withPolicy("later"))
	assert.Equal(t, next, generation+1)
	c.awaitGeneration(next, c.vmNames()...)
}

// Guards against a VM that installs an older configuration head from a stale watch: new VMs receive the current head from their
// peers, and the platform's delayed response then contains an older one.
func TestStaleWatchesDoNotRevertGeneration(t *testing.T) {
	t.Parallel()
	const (
		slow   = 1500 * time.Millisecond
		settle = slow + 500*time.Millisecond
	)
	c := deployConfiguration(t, smallSpec())
	c.awaitGeneration(c.mustApply(c.VMs()[0], c.withPolicy("old")), c.vmNames()...)
	c.mustSetPlatformSwitches("StaleWatches=true")
	generation := c.mustApply(c.VMs()[1], c.withPolicy("new"))
	c.awaitGeneration(generation, c.vmNames()...)
	for n, zone := range c.ZoneNames()[:2] {
		c.mustSetPlatformSwitches("Slow=" + slow.String())
		c.replaceVMs(zone + "-1")
		c.awaitGeneration(generation, c.vmNames()...)
		// The platform's stale response arrives during this time, and the polls would detect a decrease.
		time.Sleep(settle)
		c.awaitGeneration(generation, c.vmNames()...)
		c.mustSetPlatformSwitches("Slow=0s")
		generation = c.mustApply(c.VM(zone+"-1"), c.withPolicy(fmt.Sprintf("by-%d", n)))
		c.awaitGeneration(generation, c.vmNames()...)
	}
	c.mustSetPlatformSwitches("StaleWatches=false")
	for _, v := range c.VMs() {
		assert.DeepEqual(t, c.policyNames(v), []string{"by-1", "default"})
	}
}

// Guards against a large set that is rejected, installed in part, installed late, or stored by the platform as one oversized
// value.
func TestLargeSetIsInstalled(t *testing.T) {
	t.Parallel()
	const servers = 4900
	c := deployConfiguration(t, smallSpec())
	vms := c.VMs()
	set := append(slices.Clone(c.Set), largeApplication(c.ZoneNames(), servers)...)
	size := len(parser.EncodeYAML(set))
	assert.Assert(t, size > 900_000, "the set is too small for this test: %d bytes", size)
	start := time.Now()
	generation := c.mustApply(vms[1], set)
	t.Logf("%d objects of %d bytes were accepted after %s", len(set), size, time.Since(start).Round(time.Millisecond))
	c.awaitGeneration(generation, c.vmNames()...)
	c.checkParts(2)
	var first administrator.ObjectsResponse
	for i, v := range vms {
		var resp administrator.ObjectsResponse
		_, err := c.get(v.Operator, "/v1/objects/BackendServer", waitTimeout, &resp)
		assert.NilError(t, err)
		if i == 0 {
			first = resp
		}
		assert.Assert(t, bytes.Equal(resp.Objects, first.Objects), "%s has installed a different set", v.Name)
	}
	assert.Equal(t, bytes.Count(first.Objects, []byte(`"Kind":"BackendServer"`)), servers+len(c.Backends()))
	next := c.mustApply(vms[4], c.withPolicy("small-again"))
	assert.Equal(t, next, generation+1)
	c.awaitGeneration(next, c.vmNames()...)
}

// checkParts checks the number and the sizes of the configuration parts that the platform stores.
func (c *configuration) checkParts(minParts int) {
	c.t.Helper()
	store := storeclient.NewHTTPStore(c.PlatformAddress, netip.Addr{}, waitTimeout)
	parts, err := store.List(c.t.Context(), publisher.KindPart)
	assert.NilError(c.t, err)
	largest := 0
	for _, part := range parts {
		assert.Assert(c.t, len(part.Value) <= 512<<10, "a configuration part has %d bytes", len(part.Value))
		largest = max(largest, len(part.Value))
	}
	c.t.Logf("the platform stores %d configuration parts, the largest of %d bytes", len(parts), largest)
	assert.Assert(c.t, len(parts) >= minParts)
}

// largeApplication returns the objects of an application whose backend servers do not run.
func largeApplication(zones []string, servers int) parser.Set {
	const services = 46
	set := parser.Set{
		parser.Application{
			Name: "almacen",
			Routes: []parser.Route{
				{
					Name: "stock",
					Kind: parser.RouteSearch,
				},
			},
			DeadlineDefault: 200 * time.Millisecond,
			DeadlineMax:     time.Second,
			Policy:          "default",
		},
		parser.Version{
			Name:        "almacen-v1",
			Application: "almacen",
		},
	}
	for n := range services {
		set = append(set, parser.Service{
			Name:        fmt.Sprintf("almacen-%02d", n),
			Application: "almacen",
			Shard:       n,
		})
	}
	for n := range servers {
		// Connections to port 1 of these addresses are refused.
		address := netip.AddrFrom4([4]byte{127, 10, byte(n >> 8), byte(n)})
		set = append(set, parser.BackendServer{
			Name:             fmt.Sprintf("almacen-%02d-%s-%d", n%services, zones[n%len(zones)], n),
			Service:          fmt.Sprintf("almacen-%02d", n%services),
			Version:          "almacen-v1",
			AvailabilityZone: zones[n%len(zones)],
			Address:          netip.AddrPortFrom(address, 1),
			Slots:            3,
			Connections:      30,
			ConnectTime:      6 * time.Millisecond,
		})
	}
	return set
}

// Guards against a rejected set that changes the configuration, and against validation errors that are not reported.
func TestRejectedSetChangesNothing(t *testing.T) {
	t.Parallel()
	c := deployConfiguration(t, smallSpec())
	vms := c.VMs()
	set := append(slices.Clone(c.Set), invalidObjects()...)
	var before, after platform.Counters
	assert.NilError(t, c.Counters(c.PlatformAddress, &before))
	for _, v := range vms {
		result := c.apply(v, set, 0)
		assert.Equal(t, result.Code, classifier.InvalidSet, result.Message)
		var faults []string
		for _, f := range result.Faults {
			faults = append(faults, f.Object+" "+f.Field+": "+f.Message)
		}
		for _, want := range []string{
			`Application/nowhere Policy: there is no Policy "missing"`,
			"Application/nowhere : the application has no services",
			"Policy/left Inherits: the references form a cycle",
			"Policy/right Inherits: the references form a cycle",
			"Policy/default : the object is given twice",
			"Split/halves Shares: the shares add up to 90, not 100",
			"AvailabilityZone/norte-a : the zone is in service and has no backend servers",
		} {
			assert.Check(t, slices.Contains(faults, want), "%q is not among the reported faults: %s", want, strings.Join(faults, "\n"))
		}
	}
	assert.NilError(t, c.Counters(c.PlatformAddress, &after))
	assert.Equal(t, after.Writes, before.Writes)
	for _, v := range vms {
		var s administrator.StatusResponse
		_, err := c.get(v.Operator, "/v1/status", statusTimeout, &s)
		assert.NilError(t, err)
		assert.Equal(t, s.Generation, uint64(1))
	}
	assert.Equal(t, c.mustApply(vms[3], c.withPolicy("right-again")), uint64(2))
}

func invalidObjects() parser.Set {
	return parser.Set{
		parser.Application{
			Name: "nowhere",
			Routes: []parser.Route{
				{
					Name: route,
					Kind: parser.RouteSearch,
				},
			},
			DeadlineDefault: time.Second,
			DeadlineMax:     time.Second,
			Policy:          "missing",
		},
		parser.Policy{
			Name:     "left",
			Inherits: "right",
		},
		parser.Policy{
			Name:     "right",
			Inherits: "left",
		},
		parser.Policy{
			Name:         "default",
			HedgePercent: 11,
		},
		parser.Split{
			Name:        "halves",
			Application: application,
			Shares: []parser.Share{
				{
					Version: versionName(1),
					Percent: 90,
				},
			},
		},
		parser.AvailabilityZone{
			Name:   "norte-a",
			Region: "region-9",
			State:  parser.ZoneInService,
		},
	}
}

// Guards against VMs that send requests to the platform although they are not one of the two watchers of their zone.
func TestOnlyWatchersLoadThePlatform(t *testing.T) {
	t.Parallel()
	const (
		watchers = 4 // 2 zones with 2 watchers each
		idle     = 8 * time.Second
		// A watcher VM reads the list of VMs every 2 s in both its gossiper and its watcher part.
		maxReads = 2 * watchers * (int(idle/(2*time.Second)) + 2)
	)
	s := smallSpec()
	s.zones, s.vms = 2, 3
	c := deployConfiguration(t, s)
	c.awaitWatches(watchers)
	var before, after platform.Counters
	assert.NilError(t, c.Counters(c.PlatformAddress, &before))
	end := time.Now().Add(idle)
	maxWaiting := 0
	for time.Now().Before(end) {
		var now platform.Counters
		assert.NilError(t, c.Counters(c.PlatformAddress, &now))
		maxWaiting = max(maxWaiting, now.WaitingWatches)
		time.Sleep(statusInterval)
	}
	assert.NilError(t, c.Counters(c.PlatformAddress, &after))
	t.Logf("6 VMs idle for %s: %d reads, %d writes, %d started watches, at most %d waiting watches", idle,
		after.Reads-before.Reads, after.Writes-before.Writes, after.Watches-before.Watches, maxWaiting)
	assert.Equal(t, maxWaiting, watchers)
	assert.Equal(t, after.Writes, before.Writes)
	assert.Assert(t, after.Reads-before.Reads <= maxReads)
}

// awaitWatches waits until exactly n watches have been open for 2 s, which shows that the watcher roles are stable.
func (c *configuration) awaitWatches(n int) {
	c.t.Helper()
	var since time.Time
	c.await(fmt.Sprintf("%d watches have been open for 2 s", n), func() bool {
		var now platform.Counters
		if c.Counters(c.PlatformAddress, &now) != nil || now.WaitingWatches > n {
			since = time.Time{}
			return false
		}
		if since.IsZero() {
			since = time.Now()
		}
		return now.WaitingWatches == n && time.Since(since) > 2*time.Second
	})
}
