package integration_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

// setZone applies a set in which the zone has the state, through a VM of another zone.
func (d *deployment) setZone(zone string, state parser.ZoneState) {
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

// inZone returns the VMs and the backend servers of a zone.
func (d *deployment) inZone(zone string) (vms []*launcher.VM, servers []*launcher.Backend) {
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

// requests returns how many requests the backend servers of a zone have got, and how many of them beyond what cold ones bear.
func (d *deployment) requests(zone string) (all, excess int) {
	d.t.Helper()
	_, servers := d.inZone(zone)
	for _, b := range servers {
		c := d.counters(b)
		all += c.Requests
		excess += c.ColdExcess
	}
	return all, excess
}

// awaitUse waits until every backend server of a zone gets work.
func (d *deployment) awaitUse(zone string) {
	d.t.Helper()
	const enough = 20
	before := map[string]int{}
	_, servers := d.inZone(zone)
	for _, b := range servers {
		before[b.Name] = d.counters(b).Requests
	}
	for _, b := range servers {
		d.await(b.Name+" gets work", func() bool {
			return d.counters(b).Requests >= before[b.Name]+enough
		})
	}
}

// Guards against work for a zone that is out of service, failed queries of callers that still reach it, and a full load on its
// cold servers when it returns.
func TestZoneOutGetsNoWorkAndReturnsAsCold(t *testing.T) {
	t.Parallel()
	s := small()
	s.backendArgs = []string{"-service-time=20ms"}
	d := deploy(t, s)
	l := d.startLoad(loadWorkers)
	zone := zoneName(0)
	vms, servers := d.inZone(zone)
	d.awaitUse(zone)
	d.setZone(zone, parser.ZoneOutOfService)
	time.Sleep(changeTime)
	missed := l.missed()
	before, _ := d.requests(zone)
	time.Sleep(quiet)
	after, _ := d.requests(zone)
	assert.Equal(t, after, before, "the zone gets work")
	for _, v := range vms {
		assert.Assert(t, !d.Ready(v), "%s reports that it is ready", v.Name)
		q := d.query()
		a, err := d.caller.Search(v, q)
		assert.NilError(t, err)
		assert.NilError(t, checkAnswer(q, a))
		assert.Equal(t, a.Coverage.Fraction, 1.0, "%s does not forward", v.Name)
	}
	assert.Equal(t, l.missed(), missed, "answers are not full; last failure %q", l.lastFailure())

	// With ColdWork=1 a server bears one more request for each answer, which is what a ramp that starts at 1 sends. One that
	// goes on with all slots sends 2 requests too many to each of the 4 servers.
	for _, b := range servers {
		assert.NilError(t, d.SetSwitches(b, "Cold=true&Mislead=true"))
	}
	_, coldBefore := d.requests(zone)
	d.setZone(zone, parser.ZoneInService)
	d.awaitUse(zone)
	assert.NilError(t, d.WaitReady(limit))
	d.awaitFull()
	_, coldAfter := d.requests(zone)
	t.Logf("%d requests beyond what the servers bear", coldAfter-coldBefore)
	assert.Assert(t, coldAfter-coldBefore <= 2, "the zone's cold servers got %d requests beyond what they bear", coldAfter-coldBefore)
	l.end()
}

// Guards against VMs that go on with an old configuration after a pause in which a zone was taken out of service: one in
// another zone, and one that holds replicas in that zone.
func TestZoneOutReachesPausedVMs(t *testing.T) {
	t.Parallel()
	d := deploy(t, small())
	l := d.startLoad(2)
	zone := zoneName(0)
	d.awaitUse(zone)
	paused := []*launcher.VM{d.VM("capital-a-2"), d.VM("litoral-a-1")}
	for _, v := range paused {
		assert.NilError(t, v.Pause())
	}
	d.setZone(zone, parser.ZoneOutOfService)
	time.Sleep(quiet)
	for _, v := range paused {
		assert.NilError(t, v.Resume())
	}
	time.Sleep(changeTime)
	missed := l.missed()
	before, _ := d.requests(zone)
	time.Sleep(quiet)
	after, _ := d.requests(zone)
	assert.Equal(t, after, before, "the zone gets work")
	assert.Equal(t, l.missed(), missed, "answers are not full; last failure %q", l.lastFailure())
	d.setZone(zone, parser.ZoneInService)
	d.awaitUse(zone)
	l.end()
}

// Guards against a zone that stops answering, or overstates its coverage, while it is cut off, and against a cut that outlasts
// its end.
func TestCutOffZonesAnswerWhatTheyCan(t *testing.T) {
	t.Parallel()
	d := deploy(t, small())
	l := d.startLoad(2)
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
				a, err := d.caller.Search(v, q)
				assert.NilError(t, err)
				assert.NilError(t, checkAnswer(q, a))
				return a.Coverage.Answered == want
			})
		}
		// The callers go on for a while.
		time.Sleep(time.Second)
	}
	d.awaitFull()
	l.end()
}

// Guards against a zone that stays without work, or whose servers get more than they bear, when all its VMs are replaced.
func TestZoneIsUsedAgainAfterAllItsVMsWereKilled(t *testing.T) {
	t.Parallel()
	d := deploy(t, crowded())
	l := d.startCrowd()
	zone := zoneName(0)
	vms, _ := d.inZone(zone)
	for _, v := range vms {
		v.Kill()
	}
	d.awaitFull()
	before, _ := d.requests(zone)
	time.Sleep(quiet)
	after, _ := d.requests(zone)
	assert.Equal(t, after, before, "servers without an owner get work")
	for _, v := range vms {
		assert.NilError(t, d.RestartVM(v.Name))
	}
	assert.NilError(t, d.WaitReady(limit))
	d.awaitUse(zone)
	d.awaitFull()
	l.end()
	d.checkLimits()
}
