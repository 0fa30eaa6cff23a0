package integration_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/limiter"
	"github.com/anvildyke/anvildyke/internal/standin/backend"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

const (
	tailSeed   = 21
	budgetSeed = 22
	// tailCallers is low enough to leave some slots free, so that the fault and not queueing causes the tail latency.
	tailCallers = 4
	tailPause   = 2 * time.Millisecond
	faultTime   = 2 * time.Second
	// minFirstRequests makes the budgets' bursts small compared with their percentages.
	minFirstRequests = 1500
)

// sumCancelled returns the number of requests that were cancelled at the running backend servers.
func (d *deployment) sumCancelled() int {
	d.t.Helper()
	sum := 0
	for _, b := range d.Backends() {
		if b.Running() {
			sum += d.backendCounters(b).Cancelled
		}
	}
	return sum
}

func (d *deployment) backendCounters(b *launcher.Backend) backend.Counters {
	d.t.Helper()
	var c backend.Counters
	assert.NilError(d.t, d.Counters(b.ControlAddress, &c))
	return c
}

// Guards against a slow, frozen or killed replica, or a slow zone, that reduces coverage although another replica holds its
// shards. Nearly all queries must be answered with full coverage within their deadline. For a slow or frozen replica this
// requires hedges, and the losing requests must be cancelled.
func TestSlowFrozenAndLostReplicas(t *testing.T) {
	t.Parallel()
	s := smallSpec()
	d := deploy(t, s)
	l := d.startRandomLoad(&randomLoad{
		pause: tailPause,
		shardCounts: map[uint64]int{
			firstSnapshot: s.shards,
		},
	}, tailCallers, tailSeed)
	time.Sleep(time.Second)
	t.Logf("before the faults: %s", l.tally())
	faulty := d.Backend("buscador-02-" + zoneName(0) + "-v1")
	inZone := func(b *launcher.Backend) bool { return b.Server.AvailabilityZone == zoneName(1) }
	for _, c := range []struct {
		fault    string
		end      string
		affected func(b *launcher.Backend) bool
		hedged   bool
	}{
		{
			fault:    "ServiceTime=300ms",
			end:      "ServiceTime=2ms",
			affected: func(b *launcher.Backend) bool { return b == faulty },
			hedged:   true,
		},
		{
			fault:    "Frozen=true",
			end:      "Frozen=false",
			affected: func(b *launcher.Backend) bool { return b == faulty },
			hedged:   true,
		},
		{
			fault:    "ServiceTime=100ms",
			end:      "ServiceTime=2ms",
			affected: inZone,
		},
	} {
		before, hedges, cancelled := l.tally(), d.sumMetric("hedges_total"), d.sumCancelled()
		d.setSwitchesWhere(c.affected, c.fault)
		time.Sleep(faultTime)
		got := l.tally().minus(before)
		d.setSwitchesWhere(c.affected, c.end)
		hedges, cancelled = d.sumMetric("hedges_total")-hedges, d.sumCancelled()-cancelled
		t.Logf("%s: %d of %d queries were answered with full coverage, %d hedges, %d cancelled", c.fault, got.full, got.queries, hedges, cancelled)
		assert.Check(t, got.full*100 >= got.queries*97, "%s: only %d of %d queries were answered with full coverage", c.fault, got.full, got.queries)
		if c.hedged {
			assert.Check(t, hedges > 0, "%s: no hedge was sent", c.fault)
			assert.Check(t, cancelled > 0, "%s: no losing request of a hedge was cancelled", c.fault)
		}
	}
	before := l.tally()
	faulty.Kill()
	time.Sleep(faultTime)
	got := l.tally().minus(before)
	t.Logf("killed: %d of %d queries were answered with full coverage", got.full, got.queries)
	assert.Check(t, got.full*100 >= got.queries*97, "killed: only %d of %d queries were answered with full coverage", got.full, got.queries)
	l.finish()
}

// setSwitchesWhere sets fault switches of the backend servers for which selected returns true.
func (d *deployment) setSwitchesWhere(selected func(b *launcher.Backend) bool, switches string) {
	d.t.Helper()
	for _, b := range d.Backends() {
		if selected(b) {
			assert.NilError(d.t, d.SetSwitches(b, switches))
		}
	}
}

// Guards against extra load that grows if all servers are slow and fail: hedges and retries must stay within their percentages of
// the first sub-requests, and stragglers must still be hedged.
func TestExtraLoadStaysWithinBudgets(t *testing.T) {
	t.Parallel()
	s := smallSpec()
	s.vms = 1
	d := deploy(t, s)
	l := d.startRandomLoad(&randomLoad{
		shardCounts: map[uint64]int{
			firstSnapshot: s.shards,
		},
	}, callers, budgetSeed)
	time.Sleep(time.Second)
	before := d.extraLoad()
	d.setSwitchesWhere(func(*launcher.Backend) bool { return true }, "ServiceTime=10ms&StraggleShare=0.2&StraggleTime=150ms&FailRoute=*&FailShare=0.5")
	time.Sleep(2 * faultTime)
	d.await("enough first sub-requests have been sent", func() bool { return d.extraLoad().first-before.first >= minFirstRequests })
	after := d.extraLoad()
	first, hedges, retries := after.first-before.first, after.hedges-before.hedges, after.retries-before.retries
	t.Logf("%d first sub-requests, %d hedges, %d retries", first, hedges, retries)
	// Every VM may have accumulated a full burst.
	burst := limiter.BudgetBurst * len(d.VMs())
	assert.Check(t, hedges > 0 && hedges*100 <= first*hedgePercent+100*burst, "%d hedges for %d first sub-requests", hedges, first)
	assert.Check(t, retries > 0 && retries*100 <= first*retryPercent+100*burst, "%d retries for %d first sub-requests", retries, first)
	l.finish()
}

type extraLoad struct {
	first, hedges, retries int
}

func (d *deployment) extraLoad() extraLoad {
	d.t.Helper()
	hedges, retries := d.sumMetric("hedges_total"), d.sumMetric("retries_total")
	return extraLoad{
		first:   d.sumMetric("sub_requests_total") - hedges - retries - d.sumMetric("resends_total"),
		hedges:  hedges,
		retries: retries,
	}
}
