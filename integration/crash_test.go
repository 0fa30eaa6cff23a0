package integration_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

const (
	crashSeed = 31
	// maxCrashed is the number of backend servers that one request may crash.
	maxCrashed = 2
	// crashCooldowns is how long the crashing request is sent, in units of blackboard.CrashCooldown. crashInterval is the time
	// between two batches of it.
	crashCooldowns = 2.5
	crashInterval  = 20 * time.Millisecond
)

// Guards against a request that crashes every backend server that runs it. The request is sent repeatedly through all VMs,
// sequentially or concurrently, and may crash two servers in total. After that every VM must reject it, and other requests must
// neither be rejected nor lose shards that have another replica.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name        string
		concurrency int
		latency     time.Duration
		busy        bool
	}{
		{
			name:        "one after the other",
			concurrency: 1,
		},
		{
			name:        "at the same time",
			concurrency: 12,
		},
		{
			name:        "between distant zones",
			concurrency: 4,
			latency:     20 * time.Millisecond,
		},
		{
			name:        "at busy servers",
			concurrency: 4,
			busy:        true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := smallSpec()
			s.zoneLatency = c.latency
			d := deploy(t, s)
			if c.busy {
				d.setSwitchesWhere(func(*launcher.Backend) bool { return true }, "ServiceTime=50ms")
			}
			d.checkQuarantine(c.concurrency)
		})
	}
}

// checkQuarantine sends a crashing request through random VMs until all of them reject it.
func (d *deployment) checkQuarantine(concurrency int) {
	t := d.t
	t.Helper()
	l := d.startRandomLoad(&randomLoad{
		pause: tailPause,
		shardCounts: map[uint64]int{
			firstSnapshot: smallSpec().shards,
		},
	}, tailCallers, crashSeed)
	time.Sleep(500 * time.Millisecond)
	rng := rand.New(rand.NewPCG(crashSeed, 0))
	q := d.query()
	q.Body = "CRASH on a brown bear"
	var mu sync.Mutex
	codes := map[classifier.Code]int{}
	send := func(v *launcher.VM) classifier.Code {
		resp, err := d.caller.Search(v, q)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			t.Errorf("cannot send the crashing request: %s", err)
		}
		codes[resp.Code]++
		return resp.Code
	}
	vms := d.VMs()
	// The sending continues past the cooldown that follows the second crash, so that a third crash would be detected.
	for end := time.Now().Add(time.Duration(crashCooldowns * float64(blackboard.CrashCooldown))); time.Now().Before(end); time.Sleep(crashInterval) {
		var wg sync.WaitGroup
		for range concurrency {
			v := vms[rng.IntN(len(vms))]
			wg.Go(func() { send(v) })
		}
		wg.Wait()
	}
	d.await("every VM rejects the crashing request", func() bool {
		for _, v := range vms {
			if send(v) != classifier.Quarantined {
				return false
			}
		}
		return true
	})
	crashed := d.exitedBackends()
	t.Logf("crashed servers %v, result codes %v", crashed, codes)
	assert.Assert(t, len(crashed) == maxCrashed, "the request crashed %d servers: %v", len(crashed), crashed)
	total := l.finish()
	// Another request that had not been proved harmless and was running on a crashed server is rejected for one cooldown only.
	refused := total.codes[classifier.Quarantined]
	assert.Assert(t, refused*50 <= total.queries, "%d of %d other requests were rejected as Quarantined", refused, total.queries)
	assert.Assert(t, (total.full+total.partial)*100 >= total.queries*95, "only %d of %d other requests were answered", total.full+total.partial, total.queries)
	if d.aliveShards() < smallSpec().shards {
		// VMs whose crash reports differed before the first crash may try the request at both replicas of a shard.
		t.Logf("all replicas of a shard crashed: %v", crashed)
		return
	}
	assert.Assert(t, total.full*100 >= total.queries*95, "only %d of %d other requests were answered with full coverage", total.full, total.queries)
	d.awaitFullCoverage()
	time.Sleep(blackboard.CrashCooldown / 2) // the loop above covered the other half of the cooldown
	for n := range repeatedBodies {
		q.Body = fmt.Sprintf("red kite %d", n)
		resp, err := d.caller.Search(vms[n%len(vms)], q)
		assert.NilError(t, err)
		assert.Equal(t, resp.Code, classifier.OK, "the request %q is still rejected: %s", q.Body, resp.Message)
	}
}

// exitedBackends returns the names of the backend servers whose process has exited.
func (d *deployment) exitedBackends() []string {
	var names []string
	for _, b := range d.Backends() {
		if !b.Running() {
			names = append(names, b.Server.Name)
		}
	}
	return names
}

// aliveShards returns the number of shards with at least one running replica.
func (d *deployment) aliveShards() int {
	alive := map[string]bool{}
	for _, b := range d.Backends() {
		if b.Running() {
			alive[fmt.Sprint(d.shardOf(b))] = true
		}
	}
	return len(alive)
}
