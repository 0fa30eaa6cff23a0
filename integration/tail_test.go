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
	// tailCallers leave some slots free, so that the tail comes from the fault and not from queues.
	tailCallers = 4
	tailPause   = 2 * time.Millisecond
	faultTime   = 2 * time.Second
	// minFirst keeps the bursts of the budgets small beside the shares.
	minFirst = 1500
)

// cancelled adds up the requests that were cancelled at the backend servers.
func (d *deployment) cancelled() int {
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

// Guards against one bad replica or zone that costs coverage although another replica holds its shards: nearly all queries must
// be answered in full within their deadline, which the coverage shows, with hedges whose losers are cancelled.
func TestSlowFrozenAndLostReplicas(t *testing.T) {
	t.Parallel()
	s := small()
	d := deploy(t, s)
	l := d.start(&load{
		pause: tailPause,
		sizes: map[uint64]int{
			firstSnapshot: s.shards,
		},
	}, tailCallers, tailSeed)
	time.Sleep(time.Second)
	t.Logf("before the faults: %s", l.tally())
	victim := d.Backend("buscador-02-" + zoneName(0) + "-v1")
	inZone := func(b *launcher.Backend) bool { return b.Server.AvailabilityZone == zoneName(1) }
	for _, c := range []struct {
		fault  string
		end    string
		hit    func(b *launcher.Backend) bool
		hedged bool
	}{
		{
			fault:  "ServiceTime=300ms",
			end:    "ServiceTime=2ms",
			hit:    func(b *launcher.Backend) bool { return b == victim },
			hedged: true,
		},
		{
			fault:  "Frozen=true",
			end:    "Frozen=false",
			hit:    func(b *launcher.Backend) bool { return b == victim },
			hedged: true,
		},
		{
			fault: "ServiceTime=100ms",
			end:   "ServiceTime=2ms",
			hit:   inZone,
		},
	} {
		before, hedges, cancelled := l.tally(), d.metric("hedges_total"), d.cancelled()
		d.switchWhere(c.hit, c.fault)
		time.Sleep(faultTime)
		got := l.tally().minus(before)
		d.switchWhere(c.hit, c.end)
		hedges, cancelled = d.metric("hedges_total")-hedges, d.cancelled()-cancelled
		t.Logf("%s: %d of %d queries were answered in full, %d hedges, %d cancelled", c.fault, got.full, got.all, hedges, cancelled)
		assert.Check(t, got.full*100 >= got.all*97, "%s: only %d of %d queries were answered in full", c.fault, got.full, got.all)
		if c.hedged {
			assert.Check(t, hedges > 0, "%s: no hedge was sent", c.fault)
			assert.Check(t, cancelled > 0, "%s: no loser of a hedge was cancelled", c.fault)
		}
	}
	before := l.tally()
	victim.Kill()
	time.Sleep(faultTime)
	got := l.tally().minus(before)
	t.Logf("killed: %d of %d queries were answered in full", got.full, got.all)
	assert.Check(t, got.full*100 >= got.all*97, "killed: only %d of %d queries were answered in full", got.full, got.all)
	l.finish()
}

// switchWhere sets switches of the backend servers that hit selects.
func (d *deployment) switchWhere(hit func(b *launcher.Backend) bool, switches string) {
	d.t.Helper()
	for _, b := range d.Backends() {
		if hit(b) {
			assert.NilError(d.t, d.SetSwitches(b, switches))
		}
	}
}

// Guards against extra load that grows when all servers are slow and fail: hedges and retries stay within their shares of the
// first sub-requests, and hedging goes on for the stragglers.
func TestExtraLoadStaysWithinBudgets(t *testing.T) {
	t.Parallel()
	s := small()
	s.vms = 1
	d := deploy(t, s)
	l := d.start(&load{
		sizes: map[uint64]int{
			firstSnapshot: s.shards,
		},
	}, callers, budgetSeed)
	time.Sleep(time.Second)
	before := d.extraLoad()
	d.switchWhere(func(*launcher.Backend) bool { return true }, "ServiceTime=10ms&StraggleShare=0.2&StraggleTime=150ms&FailRoute=*&FailShare=0.5")
	time.Sleep(2 * faultTime)
	d.await("enough first sub-requests are sent", func() bool { return d.extraLoad().first-before.first >= minFirst })
	after := d.extraLoad()
	first, hedges, retries := after.first-before.first, after.hedges-before.hedges, after.retries-before.retries
	t.Logf("%d first sub-requests, %d hedges, %d retries", first, hedges, retries)
	// Every VM may have saved up a burst.
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
	hedges, retries := d.metric("hedges_total"), d.metric("retries_total")
	return extraLoad{
		first:   d.metric("sub_requests_total") - hedges - retries - d.metric("resends_total"),
		hedges:  hedges,
		retries: retries,
	}
}
