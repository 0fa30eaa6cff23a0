package integration_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/standin/backend"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
	"github.com/anvildyke/anvildyke/internal/storeclient"
)

const (
	// propagationTime is how long a change of what is in service may take. News take at most 1 s in the platform's list of VMs, 2 s
	// until a watcher polls it and about 1 s of gossip.
	propagationTime = 6 * time.Second
	// observationTime is how long nothing may happen after a change.
	observationTime = 3 * time.Second
	// callersPerVM is the number of callers of each VM. With 6 VMs and 6 shards 144 sub-requests want the 24 slots of 12 backend
	// servers, so an owner that uses more than its share shows at once.
	callersPerVM = 4
	// takeoverTime is a pause after which the lease of a holder (2 s) has lapsed and its successor (2.5 s) has taken over.
	takeoverTime = 4 * time.Second
	// failurePause is how long a caller waits after an answer that is not full, so that refusals cause no busy loop.
	failurePause = 20 * time.Millisecond
)

// continuousLoad is a set of callers that search without a break.
type continuousLoad struct {
	d    *deployment
	stop chan struct{}
	wg   sync.WaitGroup
	// full and failed count full answers and searches without an answer.
	full    atomic.Int64
	partial atomic.Int64
	failed  atomic.Int64
	// lastFailure is when and why the last search failed.
	mu          sync.Mutex
	wrongAnswer error
	lastReason  string
}

// startContinuousLoad starts workers callers for each VM.
func (d *deployment) startContinuousLoad(workers int) *continuousLoad {
	l := &continuousLoad{
		d:    d,
		stop: make(chan struct{}),
	}
	for _, v := range d.VMs() {
		for range workers {
			l.wg.Go(func() { l.run(v) })
		}
	}
	return l
}

func (l *continuousLoad) run(v *launcher.VM) {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		q := l.d.query()
		resp, err := l.d.caller.Search(v, q)
		if err == nil {
			l.check(checkResponse(q, resp))
		}
		switch {
		case err != nil || !resp.Code.Answered():
			l.failed.Add(1)
			l.recordFailure(fmt.Sprintf("%s: %v %s %s", v.Name, err, resp.CodeName, resp.Message))
		case resp.Coverage.Fraction < 1:
			l.partial.Add(1)
			l.recordFailure(fmt.Sprintf("%s: %+v", v.Name, resp.Coverage))
		default:
			l.full.Add(1)
			continue
		}
		time.Sleep(failurePause)
	}
}

func (l *continuousLoad) check(err error) {
	if err == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrongAnswer = err
}

func (l *continuousLoad) recordFailure(failure string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReason = failure
}

// incomplete counts the searches that were not answered in full.
func (l *continuousLoad) incomplete() int64 {
	return l.partial.Load() + l.failed.Load()
}

func (l *continuousLoad) lastFailure() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastReason
}

// finish stops the callers and fails the test if one of their answers was wrong.
func (l *continuousLoad) finish() {
	l.d.t.Helper()
	close(l.stop)
	l.wg.Wait()
	assert.NilError(l.d.t, l.wrongAnswer)
	l.d.t.Logf("load: %d full, %d partial, %d failed; last failure %q", l.full.Load(), l.partial.Load(), l.failed.Load(), l.lastReason)
}

// counters returns the counts of a backend server.
func (d *deployment) counters(b *launcher.Backend) backend.Counters {
	d.t.Helper()
	var c backend.Counters
	assert.NilError(d.t, d.Counters(b.ControlAddress, &c))
	return c
}

// checkLimits compares the peaks that all backend servers have seen with their limits.
func (d *deployment) checkLimits() {
	d.t.Helper()
	busy := false
	for _, b := range d.Backends() {
		c := d.counters(b)
		if c.MaxConcurrency > b.Server.Slots {
			d.t.Errorf("%s saw %d requests at once and has %d slots", b.Name, c.MaxConcurrency, b.Server.Slots)
		}
		if c.MaxConnections > b.Server.Connections || c.RefusedConnections > 0 {
			d.t.Errorf("%s saw %d connections, takes %d and refused %d", b.Name, c.MaxConnections, b.Server.Connections, c.RefusedConnections)
		}
		busy = busy || c.MaxConcurrency == b.Server.Slots
	}
	assert.Assert(d.t, busy, "no backend server used all its slots, so the load was too low to show an excess")
}

// saturatedSpec has connection limits close to the slots, so that both limits matter, stragglers that cause hedges, and requests
// long enough for the counter MaxConcurrency.
func saturatedSpec() deploymentSpec {
	s := smallSpec()
	s.slots = 2
	s.conns = 3
	s.backendArgs = []string{"-service-time=40ms", "-straggle-share=0.05", "-straggle-time=200ms"}
	return s
}

// startSaturatingLoad starts the load and waits until it has filled the slots of the first zone and a status poll has needed a further
// connection.
func (d *deployment) startSaturatingLoad() *continuousLoad {
	d.t.Helper()
	l := d.startContinuousLoad(callersPerVM)
	_, servers := d.zoneMembers(zoneName(0))
	for _, b := range servers {
		d.await("all slots of "+b.Name+" have been in use", func() bool {
			return d.counters(b).MaxConcurrency >= b.Server.Slots
		})
	}
	const pollEvery = time.Second
	time.Sleep(2 * pollEvery)
	return l
}

// Guards against two VMs that use a replica's whole limit when its owner dies and when it comes back.
func TestLimitsHoldWhenVMsAreKilled(t *testing.T) {
	t.Parallel()
	d := deploy(t, saturatedSpec())
	l := d.startSaturatingLoad()
	for _, name := range []string{"litoral-a-1", "litoral-a-2"} {
		d.VM(name).Kill()
		d.awaitFullCoverage()
		assert.NilError(t, d.RestartVM(name))
		d.awaitFullCoverage()
	}
	l.finish()
	d.checkLimits()
}

// Guards against an owner that goes on with the whole limit after a pause in which its successor took over, and against
// connections that a paused owner cannot close.
func TestLimitsHoldWhenVMsArePaused(t *testing.T) {
	t.Parallel()
	d := deploy(t, saturatedSpec())
	l := d.startSaturatingLoad()
	first, second := d.VM("litoral-a-1"), d.VM("litoral-a-2")
	other := d.VM("este-a-1")
	assert.NilError(t, first.Pause())
	assert.NilError(t, other.Pause())
	time.Sleep(takeoverTime)
	assert.NilError(t, first.Resume())
	// The successor is paused while it has its half, so both shares change hands at once.
	assert.NilError(t, second.Pause())
	time.Sleep(takeoverTime)
	assert.NilError(t, second.Resume())
	assert.NilError(t, other.Resume())
	d.awaitFullCoverage()
	l.finish()
	d.checkLimits()
}

// Guards against an owner and a successor that cannot hear each other and use more than the limit together.
func TestLimitsHoldWhenVMsOfAZoneArePartitioned(t *testing.T) {
	t.Parallel()
	d := deploy(t, saturatedSpec())
	l := d.startSaturatingLoad()
	zone := zoneName(0)
	for _, v := range d.VMs() {
		if v.Zone == zone {
			d.Network.AssignZone(v.Peer.Addr().Addr(), v.Name)
			d.Network.Partition(v.Name, zone)
		}
	}
	// Connections keep the name that their source had when they were opened.
	for _, v := range d.VMs() {
		if v.Zone == zone {
			v.Peer.ResetConnections()
		}
	}
	time.Sleep(takeoverTime)
	for _, v := range d.VMs() {
		if v.Zone == zone {
			d.Network.Heal(v.Name, zone)
		}
	}
	// The messages that the cut held back arrive now, and the halves come together again.
	time.Sleep(takeoverTime)
	d.awaitFullCoverage()
	l.finish()
	d.checkLimits()
}

const (
	// coldWork makes a cold server bear one more request after every 40 answers, which is slower than the ramp of its owner grows.
	coldWork = 40
	// coldBackoffs is how often the ramp of a server with 3 slots falls until the server is warm. It falls once when the server
	// turns cold. Each later fall follows 1, 2, 4, 8 and then always 16 (limiter.MaxRounds) clean answers, and the server needs
	// 2*coldWork = 80 answers: 15 of them go with 4 falls, the other 65 with at most 5.
	coldBackoffs = 1 + 4 + 5
	// shedExcess and slowExcess bound the requests in excess at one fall. The owner falls at the first shed answer, when each of
	// the 3 slots has sent at most one. It falls at the third slow answer (limiter.SlowRun); the slots of the first two may have
	// sent one more.
	shedExcess = 3
	slowExcess = 3 + 2
)

// coldPhase is one way in which all replicas of a shard turn cold. A server got at least 80 requests that it bore meanwhile, so
// the bounds are 27 % of the requests for servers that shed and 38 % for slow ones; the shares measured are much smaller.
type coldPhase struct {
	name      string
	shard     int
	switches  string
	maxExcess int
}

// Guards against new work for a backend server that leaves, whether it says so itself or only the platform's list does.
func TestLeavingServersGetNoNewRequests(t *testing.T) {
	t.Parallel()
	d := deploy(t, smallSpec())
	l := d.startContinuousLoad(2)
	draining, leaving := d.Backends()[0], d.Backends()[2]
	assert.Assert(t, draining.Server.Service != leaving.Server.Service)
	d.await("both servers get work", func() bool {
		return d.counters(draining).Requests > 0 && d.counters(leaving).Requests > 0
	})
	assert.NilError(t, d.SetSwitches(draining, "Draining=true&DrainGrace="+propagationTime.String()))
	assert.NilError(t, d.RegisterVM(storeclient.VM{
		Name:             leaving.Name,
		AvailabilityZone: leaving.Server.AvailabilityZone,
		Address:          leaving.Server.Address,
		Leaving:          true,
	}))
	time.Sleep(propagationTime)
	incomplete := l.incomplete()
	before := d.counters(leaving).Requests
	time.Sleep(observationTime)
	assert.Equal(t, d.counters(draining).AfterDrain, 0)
	assert.Equal(t, d.counters(leaving).Requests, before, "a server on the list of leaving VMs got work")
	for _, b := range []*launcher.Backend{draining, leaving} {
		assert.Equal(t, d.counters(b).Present, 0, "work on %s has not ended", b.Name)
		// A status poll opens a connection for a moment; one that is kept idle would always be there.
		d.await("no connection to "+b.Name+" is kept", func() bool { return d.counters(b).Connections == 0 })
	}
	assert.Equal(t, l.incomplete(), incomplete, "answers are not full from the other replicas; last failure %q", l.lastFailure())
	before = d.counters(draining).Requests
	assert.NilError(t, d.SetSwitches(draining, "Draining=false"))
	d.await("a server that does not leave after all gets work", func() bool {
		return d.counters(draining).Requests > before
	})
	l.finish()
}

// Guards against a full load on servers that have turned cold, even when all replicas of a shard do so without notice, when
// their reports deny it, and when they become slow instead of shedding.
func TestColdServersAreNotOverloaded(t *testing.T) {
	t.Parallel()
	s := smallSpec()
	s.backendArgs = []string{"-service-time=5ms", fmt.Sprintf("-cold-work=%d", coldWork)}
	d := deploy(t, s)
	l := d.startContinuousLoad(callersPerVM)
	for _, p := range []coldPhase{
		{"start", -1, "", coldBackoffs * shedExcess},
		{"honest", 0, "Cold=true", coldBackoffs * shedExcess},
		{"misleading", 1, "Cold=true&Mislead=true", coldBackoffs * shedExcess},
		{"slow", 2, "Cold=true&Mislead=true&ColdSlow=200ms", coldBackoffs * slowExcess},
	} {
		d.turnCold(p)
	}
	d.awaitFullCoverage()
	l.finish()
}

// turnCold switches the replicas of a shard, or of none when all are cold already, and waits until they have their normal load.
func (d *deployment) turnCold(p coldPhase) {
	d.t.Helper()
	before := map[string]backend.Counters{}
	var affected []*launcher.Backend
	for _, b := range d.Backends() {
		if p.shard >= 0 && b.Server.Service != serviceName(p.shard) {
			continue
		}
		affected = append(affected, b)
		if p.switches != "" {
			before[b.Name] = d.counters(b)
			assert.NilError(d.t, d.SetSwitches(b, p.switches))
		}
	}
	for _, b := range affected {
		d.await(b.Name+" is warm and has all its slots in use", func() bool {
			c := d.counters(b)
			return !c.Cold && c.Present == b.Server.Slots
		})
		c := d.counters(b)
		excess, requests := c.ColdExcess-before[b.Name].ColdExcess, c.Requests-before[b.Name].Requests
		d.t.Logf("%s: %s got %d of %d requests beyond what it bears", p.name, b.Name, excess, requests)
		if excess > p.maxExcess {
			d.t.Errorf("%s: %s got %d of %d requests beyond what it bears, more than %d", p.name, b.Name, excess, requests, p.maxExcess)
		}
	}
}
