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
	// propagationTime bounds the time until a change of what is in service reaches all VMs: 1 s in the platform's list of VMs, 2 s
	// until a watcher polls it, about 1 s of gossip, and a margin.
	propagationTime = 6 * time.Second
	// observationTime is how long a test observes that no requests arrive after a change.
	observationTime = 3 * time.Second
	// callersPerVM gives, with 6 VMs and 6 shards, 144 concurrent sub-requests for the 24 slots of 12 backend servers, so that an
	// owner that exceeds its share is detected.
	callersPerVM = 4
	// takeoverTime exceeds the time after which a holder's lease has expired (2 s) and its successor has taken over (2.5 s).
	takeoverTime = 4 * time.Second
	// failurePause delays a caller after an answer without full coverage, so that rejections cause no busy loop.
	failurePause = 20 * time.Millisecond
)

// continuousLoad is a set of callers that send searches back to back.
type continuousLoad struct {
	d    *deployment
	stop chan struct{}
	wg   sync.WaitGroup
	// full and failed count searches answered with full coverage and searches without an answer.
	full    atomic.Int64
	partial atomic.Int64
	failed  atomic.Int64
	// mu guards wrongAnswer, the latest response that differed from the corpus, and lastReason, the latest failed or partial search.
	mu          sync.Mutex
	wrongAnswer error
	lastReason  string
}

// startContinuousLoad starts the given number of callers for each VM.
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

// incomplete returns the number of searches that were not answered with full coverage.
func (l *continuousLoad) incomplete() int64 {
	return l.partial.Load() + l.failed.Load()
}

func (l *continuousLoad) lastFailure() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastReason
}

// finish stops the callers and fails the test if any response was wrong.
func (l *continuousLoad) finish() {
	l.d.t.Helper()
	close(l.stop)
	l.wg.Wait()
	assert.NilError(l.d.t, l.wrongAnswer)
	l.d.t.Logf("load: %d full, %d partial, %d failed; last failure: %q", l.full.Load(), l.partial.Load(), l.failed.Load(), l.lastReason)
}

func (d *deployment) counters(b *launcher.Backend) backend.Counters {
	d.t.Helper()
	var c backend.Counters
	assert.NilError(d.t, d.Counters(b.ControlAddress, &c))
	return c
}

// checkLimits compares the peak load of each backend server with its limits.
func (d *deployment) checkLimits() {
	d.t.Helper()
	busy := false
	for _, b := range d.Backends() {
		c := d.counters(b)
		if c.MaxConcurrency > b.Server.Slots {
			d.t.Errorf("%s received %d concurrent requests and has %d slots", b.Name, c.MaxConcurrency, b.Server.Slots)
		}
		if c.MaxConnections > b.Server.Connections || c.RefusedConnections > 0 {
			d.t.Errorf("%s had %d connections with a limit of %d, and refused %d", b.Name, c.MaxConnections, b.Server.Connections, c.RefusedConnections)
		}
		busy = busy || c.MaxConcurrency == b.Server.Slots
	}
	assert.Assert(d.t, busy, "no backend server used all its slots, so the load was too low to detect an excess")
}

// saturatedSpec sets the connection limit close to the slots, so that both limits matter. Its stragglers cause hedges, and its
// service time is long enough for the counter MaxConcurrency to detect an excess.
func saturatedSpec() deploymentSpec {
	s := smallSpec()
	s.slots = 2
	s.conns = 3
	s.backendArgs = []string{"-service-time=40ms", "-straggle-share=0.05", "-straggle-time=200ms"}
	return s
}

// startSaturatingLoad starts the load and waits until it has filled the slots of the first zone and status polls have needed an
// additional connection.
func (d *deployment) startSaturatingLoad() *continuousLoad {
	d.t.Helper()
	l := d.startContinuousLoad(callersPerVM)
	_, servers := d.zoneMembers(zoneName(0))
	for _, b := range servers {
		d.await("all slots of "+b.Name+" have been used", func() bool {
			return d.counters(b).MaxConcurrency >= b.Server.Slots
		})
	}
	const pollEvery = time.Second
	time.Sleep(2 * pollEvery)
	return l
}

// Guards against two VMs that use a replica's whole limit at the same time, after its owner was killed and after the owner
// returned.
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

// Guards against an owner that continues to use the whole limit after a pause during which its successor took over, and against
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
	// The successor is paused while it holds half of the limit, so that both shares change owners at once.
	assert.NilError(t, second.Pause())
	time.Sleep(takeoverTime)
	assert.NilError(t, second.Resume())
	assert.NilError(t, other.Resume())
	d.awaitFullCoverage()
	l.finish()
	d.checkLimits()
}

// Guards against an owner and a successor that exceed the limit together while they are partitioned from each other.
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
	// A connection keeps the zone that its source address had when it was opened, so the existing connections are closed.
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
	// The messages delayed by the partition arrive now, and the halves of each limit return to one owner.
	time.Sleep(takeoverTime)
	d.awaitFullCoverage()
	l.finish()
	d.checkLimits()
}

const (
	// coldWork lets a cold server accept one more concurrent request after every 40 answers, which is slower than its owner's ramp
	// grows.
	coldWork = 40
	// coldBackoffs is the maximum number of times that the ramp of a server with 3 slots resets to 1 until the server is warm. It
	// resets once when the server becomes cold. Each later reset follows 1, 2, 4, 8 and then always 16 (limiter.MaxRampRounds) clean
	// answers, and the server needs 2*coldWork = 80 answers: 15 of them come with 4 resets, the other 65 with at most 5.
	coldBackoffs = 1 + 4 + 5
	// shedExcess and slowExcess bound the excess requests for each reset. The owner resets the ramp at the first shed answer, when
	// each of the 3 slots has sent at most one excess request. It resets it at the third slow answer (limiter.SlowThreshold); the
	// slots of the first two may each have sent one more.
	shedExcess = 3
	slowExcess = 3 + 2
)

// coldPhase is one way in which all replicas of a shard become cold. Meanwhile a server receives at least 80 requests within its
// capacity, so the bounds are 27% of the requests for servers that shed and 38% for slow ones. Observed shares are much smaller.
type coldPhase struct {
	name      string
	shard     int
	switches  string
	maxExcess int
}

// Guards against new requests to a backend server that is shutting down, whether the server reports that it drains or only the
// platform's list marks it as leaving.
func TestLeavingServersGetNoNewRequests(t *testing.T) {
	t.Parallel()
	d := deploy(t, smallSpec())
	l := d.startContinuousLoad(2)
	draining, leaving := d.Backends()[0], d.Backends()[2]
	assert.Assert(t, draining.Server.Service != leaving.Server.Service)
	d.await("both servers receive requests", func() bool {
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
	assert.Equal(t, d.counters(leaving).Requests, before, "a server that the platform lists as leaving received requests")
	for _, b := range []*launcher.Backend{draining, leaving} {
		assert.Equal(t, d.counters(b).Present, 0, "%s still has requests", b.Name)
		// A status poll opens a connection briefly; an idle connection that is kept would always be counted.
		d.await("all connections to "+b.Name+" are closed", func() bool { return d.counters(b).Connections == 0 })
	}
	assert.Equal(t, l.incomplete(), incomplete, "not all searches were answered by the other replicas; last failure: %q", l.lastFailure())
	before = d.counters(draining).Requests
	assert.NilError(t, d.SetSwitches(draining, "Draining=false"))
	d.await("a server that no longer drains receives requests", func() bool {
		return d.counters(draining).Requests > before
	})
	l.finish()
}

// Guards against full load on servers that have become cold, even if all replicas of a shard become cold without notice, if their
// reports conceal it, or if they become slow instead of shedding requests.
func TestColdServersAreNotOverloaded(t *testing.T) {
	t.Parallel()
	s := smallSpec()
	s.backendArgs = []string{"-service-time=5ms", fmt.Sprintf("-cold-work=%d", coldWork)}
	d := deploy(t, s)
	l := d.startContinuousLoad(callersPerVM)
	for _, p := range []coldPhase{
		{"start", -1, "", coldBackoffs * shedExcess},
		{"reported", 0, "Cold=true", coldBackoffs * shedExcess},
		{"concealed", 1, "Cold=true&Mislead=true", coldBackoffs * shedExcess},
		{"slow", 2, "Cold=true&Mislead=true&ColdSlow=200ms", coldBackoffs * slowExcess},
	} {
		d.turnCold(p)
	}
	d.awaitFullCoverage()
	l.finish()
}

// turnCold sets the switches on all replicas of the shard and waits until the servers are warm and fully loaded again. Without a
// shard it waits for all servers, which start cold.
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
		d.await(b.Name+" is warm and uses all its slots", func() bool {
			c := d.counters(b)
			return !c.Cold && c.Present == b.Server.Slots
		})
		c := d.counters(b)
		excess, requests := c.ColdExcess-before[b.Name].ColdExcess, c.Requests-before[b.Name].Requests
		d.t.Logf("%s: %s received %d of %d requests beyond its cold capacity", p.name, b.Name, excess, requests)
		if excess > p.maxExcess {
			d.t.Errorf("%s: %s received %d of %d requests beyond its cold capacity, more than %d", p.name, b.Name, excess, requests, p.maxExcess)
		}
	}
}
