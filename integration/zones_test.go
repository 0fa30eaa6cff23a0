package integration_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

// setZoneState publishes a configuration set with the zone in the given state, through a VM of another zone.
func (d *deployment) setZoneState(zone string, state parser.ZoneState) {
	d.t.Helper()
	set := slices.Clone(d.Set)
	for i, o := range set {
		if z, ok := o.(parser.AvailabilityZone); ok && z.Name == zone {
			z.State = state
			set[i] = z
		}
	}
	for _, v := range d.VMs() {
		if v.Zone != zone {
			assert.NilError(d.t, d.Apply(v, set))
			return
		}
	}
}

func (d *deployment) zoneMembers(zone string) (vms []*launcher.VM, servers []*launcher.Backend) {
	for _, v := range d.VMs() {
		if v.Zone == zone {
			vms = append(vms, v)
		}
	}
	for _, b := range d.Backends() {
		if b.Server.AvailabilityZone == zone {
			servers = append(servers, b)
		}
	}
	return vms, servers
}

// zoneRequests returns how many requests the backend servers of a zone have received, and how many of them exceeded the capacity
// of a cold server.
func (d *deployment) zoneRequests(zone string) (all, excess int) {
	d.t.Helper()
	_, servers := d.zoneMembers(zone)
	for _, b := range servers {
		c := d.counters(b)
		all += c.Requests
		excess += c.ColdExcess
	}
	return all, excess
}

// awaitZoneRequests waits until every backend server of a zone has received new requests.
func (d *deployment) awaitZoneRequests(zone string) {
	d.t.Helper()
	const minRequests = 20
	before := map[string]int{}
	_, servers := d.zoneMembers(zone)
	for _, b := range servers {
		before[b.Name] = d.counters(b).Requests
	}
	for _, b := range servers {
		d.await(b.Name+" receives requests", func() bool {
			return d.counters(b).Requests >= before[b.Name]+minRequests
		})
	}
}

// Guards against requests to a zone that is out of service, failed queries of callers that still connect to it, and full load on
// its cold servers when it returns to service.
func TestZoneOutGetsNoRequestsAndReturnsCold(t *testing.T) {
	t.Parallel()
	s := smallSpec()
	s.backendArgs = []string{"-service-time=20ms"}
	d := deploy(t, s)
	l := d.startContinuousLoad(callersPerVM)
	zone := zoneName(0)
	vms, servers := d.zoneMembers(zone)
	d.awaitZoneRequests(zone)
	d.setZoneState(zone, parser.ZoneOutOfService)
	time.Sleep(propagationTime)
	incomplete := l.incomplete()
	before, _ := d.zoneRequests(zone)
	time.Sleep(observationTime)
	after, _ := d.zoneRequests(zone)
	assert.Equal(t, after, before, "the zone still receives requests")
	for _, v := range vms {
		assert.Assert(t, !d.Ready(v), "%s reports that it is ready", v.Name)
		q := d.query()
		resp, err := d.caller.Search(v, q)
		assert.NilError(t, err)
		assert.NilError(t, checkResponse(q, resp))
		assert.Equal(t, resp.Coverage.Fraction, 1.0, "%s does not forward searches to the other zones", v.Name)
	}
	assert.Equal(t, l.incomplete(), incomplete, "not all searches were answered with full coverage; last failure: %q", l.lastFailure())

	// With ColdWork=1 the capacity of a cold server grows by one request for each answer, as does a ramp that starts at 1. An owner
	// that continues to use all slots sends 2 requests too many to each of the 4 servers.
	for _, b := range servers {
		assert.NilError(t, d.SetSwitches(b, "Cold=true&Mislead=true"))
	}
	_, coldBefore := d.zoneRequests(zone)
	d.setZoneState(zone, parser.ZoneInService)
	d.awaitZoneRequests(zone)
	assert.NilError(t, d.WaitReady(waitTimeout))
	d.awaitFullCoverage()
	_, coldAfter := d.zoneRequests(zone)
	t.Logf("%d requests exceeded the capacity of cold servers", coldAfter-coldBefore)
	assert.Assert(t, coldAfter-coldBefore <= 2, "%d requests exceeded the capacity of the zone's cold servers", coldAfter-coldBefore)
	l.finish()
}

// Guards against VMs that continue with an old configuration after a pause during which a zone was taken out of service: one VM
// in another zone, and one that owns replicas in that zone.
func TestZoneOutReachesPausedVMs(t *testing.T) {
	t.Parallel()
	d := deploy(t, smallSpec())
	l := d.startContinuousLoad(2)
	zone := zoneName(0)
	d.awaitZoneRequests(zone)
	paused := []*launcher.VM{d.VM("capital-a-2"), d.VM("litoral-a-1")}
	for _, v := range paused {
		assert.NilError(t, v.Pause())
	}
	d.setZoneState(zone, parser.ZoneOutOfService)
	time.Sleep(observationTime)
	for _, v := range paused {
		assert.NilError(t, v.Resume())
	}
	time.Sleep(propagationTime)
	incomplete := l.incomplete()
	before, _ := d.zoneRequests(zone)
	time.Sleep(observationTime)
	after, _ := d.zoneRequests(zone)
	assert.Equal(t, after, before, "the zone still receives requests")
	assert.Equal(t, l.incomplete(), incomplete, "not all searches were answered with full coverage; last failure: %q", l.lastFailure())
	d.setZoneState(zone, parser.ZoneInService)
	d.awaitZoneRequests(zone)
	l.finish()
}

// Guards against a partitioned zone that stops answering or overstates its coverage, and against effects of the partition that
// remain after it heals.
func TestPartitionedZoneAnswersFromReachableShards(t *testing.T) {
	t.Parallel()
	d := deploy(t, smallSpec())
	l := d.startContinuousLoad(2)
	zone := zoneName(0)
	others := []string{zoneName(1), zoneName(2)}
	platform := []string{launcher.PlatformZone}
	// The zone contains replicas of the shards 0, 2, 3 and 5; the other zones together contain one of each shard.
	const ownShards, allShards = 4, 6
	for _, c := range []struct {
		name   string
		cut    []string
		heal   []string
		shards int
	}{
		{"the platform", platform, nil, allShards},
		{"the platform and the other zones", others, nil, ownShards},
		{"the other zones", nil, platform, ownShards},
		{"nothing", nil, others, allShards},
	} {
		for _, other := range c.cut {
			d.Network.Partition(zone, other)
		}
		for _, other := range c.heal {
			d.Network.Heal(zone, other)
		}
		for _, v := range d.VMs() {
			want := allShards
			if v.Zone == zone {
				want = c.shards
			}
			d.await(v.Name+" answers from all reachable shards while the zone is partitioned from "+c.name, func() bool {
				q := d.query()
				resp, err := d.caller.Search(v, q)
				assert.NilError(t, err)
				assert.NilError(t, checkResponse(q, resp))
				return resp.Coverage.Answered == want
			})
		}
		// The load continues in this state for a while.
		time.Sleep(time.Second)
	}
	d.awaitFullCoverage()
	l.finish()
}

// Guards against a zone that receives no requests, or whose servers receive more than their limits allow, after all its VMs have
// been replaced.
func TestZoneServesAgainAfterAllItsVMsAreReplaced(t *testing.T) {
	t.Parallel()
	d := deploy(t, saturatedSpec())
	l := d.startSaturatingLoad()
	zone := zoneName(0)
	vms, _ := d.zoneMembers(zone)
	for _, v := range vms {
		v.Kill()
	}
	d.awaitFullCoverage()
	before, _ := d.zoneRequests(zone)
	time.Sleep(observationTime)
	after, _ := d.zoneRequests(zone)
	assert.Equal(t, after, before, "servers without an owner receive requests")
	for _, v := range vms {
		assert.NilError(t, d.RestartVM(v.Name))
	}
	assert.NilError(t, d.WaitReady(waitTimeout))
	d.awaitZoneRequests(zone)
	d.awaitFullCoverage()
	l.finish()
	d.checkLimits()
}
