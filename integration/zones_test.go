package integration_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

// setZoneState applies a set in which the zone has the state, through a VM of another zone.
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

// zoneMembers returns the VMs and the backend servers of a zone.
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

// zoneRequests returns how many requests the backend servers of a zone have got, and how many of them beyond what cold ones bear.
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

// awaitZoneRequests waits until every backend server of a zone gets work.
func (d *deployment) awaitZoneRequests(zone string) {
	d.t.Helper()
	const minRequests = 20
	before := map[string]int{}
	_, servers := d.zoneMembers(zone)
	for _, b := range servers {
		before[b.Name] = d.counters(b).Requests
	}
	for _, b := range servers {
		d.await(b.Name+" gets work", func() bool {
			return d.counters(b).Requests >= before[b.Name]+minRequests
		})
	}
}

// Guards against work for a zone that is out of service, failed queries of callers that still reach it, and a full load on its
// cold servers when it returns.
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
	assert.Equal(t, after, before, "the zone gets work")
	for _, v := range vms {
		assert.Assert(t, !d.Ready(v), "%s reports that it is ready", v.Name)
		q := d.query()
		resp, err := d.caller.Search(v, q)
		assert.NilError(t, err)
		assert.NilError(t, checkResponse(q, resp))
		assert.Equal(t, resp.Coverage.Fraction, 1.0, "%s does not forward", v.Name)
	}
	assert.Equal(t, l.incomplete(), incomplete, "answers are not full; last failure %q", l.lastFailure())

	// With ColdWork=1 a server bears one more request for each answer, which is what a ramp that starts at 1 sends. One that
	// goes on with all slots sends 2 requests too many to each of the 4 servers.
	for _, b := range servers {
		assert.NilError(t, d.SetSwitches(b, "Cold=true&Mislead=true"))
	}
	_, coldBefore := d.zoneRequests(zone)
	d.setZoneState(zone, parser.ZoneInService)
	d.awaitZoneRequests(zone)
	assert.NilError(t, d.WaitReady(waitTimeout))
	d.awaitFullCoverage()
	_, coldAfter := d.zoneRequests(zone)
	t.Logf("%d requests beyond what the servers bear", coldAfter-coldBefore)
	assert.Assert(t, coldAfter-coldBefore <= 2, "the zone's cold servers got %d requests beyond what they bear", coldAfter-coldBefore)
	l.finish()
}

// Guards against VMs that go on with an old configuration after a pause in which a zone was taken out of service: one in
// another zone, and one that holds replicas in that zone.
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
	assert.Equal(t, after, before, "the zone gets work")
	assert.Equal(t, l.incomplete(), incomplete, "answers are not full; last failure %q", l.lastFailure())
	d.setZoneState(zone, parser.ZoneInService)
	d.awaitZoneRequests(zone)
	l.finish()
}

// Guards against a zone that stops answering, or overstates its coverage, while it is cut off, and against a cut that outlasts
// its end.
func TestPartitionedZoneAnswersFromReachableShards(t *testing.T) {
	t.Parallel()
	d := deploy(t, smallSpec())
	l := d.startContinuousLoad(2)
	zone := zoneName(0)
	others := []string{zoneName(1), zoneName(2)}
	platform := []string{launcher.PlatformZone}
	// The zone has replicas of the shards 0, 2, 3 and 5; the other zones have one of each shard.
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
			d.await(v.Name+" answers what it can while the zone is cut off from "+c.name, func() bool {
				q := d.query()
				resp, err := d.caller.Search(v, q)
				assert.NilError(t, err)
				assert.NilError(t, checkResponse(q, resp))
				return resp.Coverage.Answered == want
			})
		}
		// The callers go on for a while.
		time.Sleep(time.Second)
	}
	d.awaitFullCoverage()
	l.finish()
}

// Guards against a zone that stays without work, or whose servers get more than they bear, when all its VMs are replaced.
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
	assert.Equal(t, after, before, "servers without an owner get work")
	for _, v := range vms {
		assert.NilError(t, d.RestartVM(v.Name))
	}
	assert.NilError(t, d.WaitReady(waitTimeout))
	d.awaitZoneRequests(zone)
	d.awaitFullCoverage()
	l.finish()
	d.checkLimits()
}
