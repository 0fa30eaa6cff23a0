package balancer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/balancer"
	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/router"
)

var (
	start  = time.Unix(1000, 0)
	search = &router.Route{
		Name:          "search",
		TargetLatency: 200 * time.Millisecond,
	}
	service = router.Service{
		Name:           "shard",
		MaxConnections: 31,
	}
)

func newEndpoint(i int, zone string) discoverer.Endpoint {
	return discoverer.Endpoint{
		Server: &discoverer.Server{
			ID:      fmt.Sprintf("i-%d", i),
			Service: "shard",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			Zone:    zone,
			Region:  zone,
			Slots:   3,
		},
	}
}

func newBalancer(vms int) *balancer.Balancer {
	b := balancer.New(balancer.Config{
		Zone:   "north",
		Region: "north",
	})
	b.SetVMCount(vms)
	return b
}

func newParams(now time.Time, endpoints ...discoverer.Endpoint) balancer.SelectParams {
	return balancer.SelectParams{
		Route:     search,
		Service:   service,
		Endpoints: endpoints,
		Now:       now,
	}
}

// One of two replicas pauses for 250 ms under a steady load. Guards against requests that queue up at a replica that has stopped
// answering while the other one answers.
func TestPausedReplicaGetsFewRequests(t *testing.T) {
	b := newBalancer(7)
	endpoints := []discoverer.Endpoint{newEndpoint(0, "north"), newEndpoint(1, "north")}
	now := start
	for range 40 {
		e, ok := b.Select(newParams(now, endpoints...))
		assert.Assert(t, ok)
		attempt := b.Begin(e, search.Name, now)
		now = now.Add(20 * time.Millisecond)
		attempt.End(balancer.AttemptResult{
			Outcome: balancer.Answered,
		}, now)
	}
	sent := 0
	for range 12 {
		e, ok := b.Select(newParams(now, endpoints...))
		assert.Assert(t, ok)
		attempt := b.Begin(e, search.Name, now)
		now = now.Add(20 * time.Millisecond)
		if e.ID == "i-0" {
			sent++
			continue
		}
		attempt.End(balancer.AttemptResult{
			Outcome: balancer.Answered,
		}, now)
	}
	assert.Assert(t, sent <= 3, "%d of 12 requests went to the paused replica", sent)
}

// All VMs send as many requests as possible to one server. Guards against more connections in total than the server accepts.
func TestConnectionsOfAllVMsStayWithinServerLimit(t *testing.T) {
	const vms = 7
	e := newEndpoint(0, "north")
	total := 0
	for range vms {
		b := newBalancer(vms)
		for {
			chosen, ok := b.Select(newParams(start, e))
			if !ok {
				break
			}
			b.Begin(chosen, search.Name, start)
			total++
		}
	}
	assert.Assert(t, total <= service.MaxConnections, "%d connections", total)
	assert.Assert(t, total >= service.MaxConnections/2, "%d connections", total)
}

// Servers become unreachable under load. Guards against using requests of callers to detect their recovery.
func TestUnreachableServersAreProbedWithoutRequests(t *testing.T) {
	b := newBalancer(7)
	e := newEndpoint(0, "north")
	now := start
	b.Begin(e, search.Name, now).End(balancer.AttemptResult{
		Outcome: balancer.Unreachable,
	}, now)
	probes := 0
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		_, ok := b.Select(newParams(now, e))
		assert.Assert(t, !ok, "a request was sent to an unreachable server")
		for _, due := range b.ProbesDue(now) {
			probes++
			b.RecordProbe(due, false, now)
		}
	}
	assert.Assert(t, probes >= 3 && probes <= 10, "%d probes in 5 s", probes)
	now = now.Add(2 * time.Second)
	for _, due := range b.ProbesDue(now) {
		b.RecordProbe(due, true, now)
	}
	_, ok := b.Select(newParams(now, e))
	assert.Assert(t, ok)
}

// The servers of a zone restart cold under full load. Guards against a total request rate that exceeds the limit of a cold
// server.
func TestRateToColdServerIsSharedByAllVMs(t *testing.T) {
	const vms = 7
	limited := service
	limited.MaxColdRate = 10
	e := newEndpoint(0, "north")
	e.ColdUntil = start.Add(time.Minute)
	sent := 0
	for range vms {
		b := newBalancer(vms)
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
			params := newParams(now, e)
			params.Service = limited
			if chosen, ok := b.Select(params); ok {
				b.Begin(chosen, search.Name, now).End(balancer.AttemptResult{
					Outcome: balancer.Answered,
				}, now)
				sent++
			}
		}
	}
	assert.Assert(t, sent <= 110, "%d requests in 10 s, the limit is 100", sent)
	assert.Assert(t, sent >= 50, "%d requests in 10 s", sent)
}

// Guards against requests to servers outside the allowed regions.
func TestOnlyAllowedRegionsAreSelected(t *testing.T) {
	b := newBalancer(1)
	route := &router.Route{
		Name:           "home",
		AllowedRegions: []string{"south"},
	}
	params := newParams(start, newEndpoint(0, "north"))
	params.Route = route
	_, ok := b.Select(params)
	assert.Assert(t, !ok)
	params.Endpoints = append(params.Endpoints, newEndpoint(1, "south"))
	e, ok := b.Select(params)
	assert.Assert(t, ok)
	assert.Equal(t, e.Zone, "south")
}

// Two replicas in different regions are equally fast, then the local one becomes slow. Guards against traffic between regions
// without benefit, and against requests that stay on a slow server because it is local.
func TestOtherRegionsAreUsedOnlyWhenFaster(t *testing.T) {
	b := newBalancer(7)
	endpoints := []discoverer.Endpoint{newEndpoint(0, "north"), newEndpoint(1, "south")}
	now := start
	countRemote := func(n int, localLatency time.Duration) int {
		count := 0
		for range n {
			e, ok := b.Select(newParams(now, endpoints...))
			assert.Assert(t, ok)
			attempt := b.Begin(e, search.Name, now)
			latency := localLatency
			if e.Zone == "south" {
				count++
				latency = 20 * time.Millisecond
			}
			now = now.Add(latency)
			attempt.End(balancer.AttemptResult{
				Outcome: balancer.Answered,
			}, now)
		}
		return count
	}
	assert.Assert(t, countRemote(50, 20*time.Millisecond) <= 5)
	assert.Assert(t, countRemote(50, 150*time.Millisecond) >= 25)
}

// There are more VMs than connections that a server accepts, and each VM could use all replicas of a shard. Guards against
// connections beyond the limit, which servers reset after the request was written. This once affected 1,045 connections.
func TestVMsUseSubsetOfReplicasWhenConnectionsAreScarce(t *testing.T) {
	const (
		vms         = 87
		connections = 66
	)
	limited := service
	limited.MaxConnections = connections
	endpoints := []discoverer.Endpoint{newEndpoint(0, "north"), newEndpoint(1, "north"), newEndpoint(2, "north")}
	used := map[string]int{}
	for i := range vms {
		b := balancer.New(balancer.Config{
			Name:   fmt.Sprintf("vm-%d", i),
			Zone:   "north",
			Region: "north",
		})
		b.SetVMCount(vms)
		now := start
		seen := map[string]bool{}
		for range 100 {
			params := newParams(now, endpoints...)
			params.Service = limited
			e, ok := b.Select(params)
			assert.Assert(t, ok)
			attempt := b.Begin(e, search.Name, now)
			now = now.Add(20 * time.Millisecond)
			attempt.End(balancer.AttemptResult{
				Outcome: balancer.Answered,
			}, now)
			seen[e.ID] = true
		}
		for id := range seen {
			used[id]++
		}
		// A VM whose assigned replicas are excluded uses the other ones.
		params := newParams(now, endpoints...)
		params.Service = limited
		for id := range seen {
			for _, e := range endpoints {
				if e.ID == id {
					params.Excluded = append(params.Excluded, e.Key())
				}
			}
		}
		_, ok := b.Select(params)
		assert.Equal(t, ok, len(seen) < len(endpoints))
	}
	for id, n := range used {
		assert.Assert(t, n <= connections, "%d VMs use %s", n, id)
	}
}

// A VM loses the connection to a zone whose servers it uses. Guards against a zone that counts as unreachable because of failures
// of single servers, and against one that remains unreachable after a server has answered.
func TestZoneIsUnreachableWhenNoServerAnswers(t *testing.T) {
	b := newBalancer(7)
	now := start
	runAttempt := func(i int, outcome balancer.AttemptOutcome) {
		b.Begin(newEndpoint(i, "south"), search.Name, now).End(balancer.AttemptResult{
			Outcome: outcome,
		}, now)
		now = now.Add(200 * time.Millisecond)
	}
	for i := range 6 {
		runAttempt(i, balancer.Answered)
	}
	for i := range 3 {
		assert.Assert(t, !b.ZoneUnreachable("south", now))
		runAttempt(i, balancer.Unreachable)
	}
	assert.Assert(t, b.ZoneUnreachable("south", now))
	assert.Assert(t, !b.ZoneUnreachable("north", now))
	runAttempt(4, balancer.Answered)
	assert.Assert(t, !b.ZoneUnreachable("south", now))
}

// Guards against a panic if a server leaves the list while a connection to it is being probed. The panic once ended the process
// on two VMs.
func TestProbedServerMayLeaveTheList(t *testing.T) {
	b := balancer.New(balancer.Config{
		Zone:   "north",
		Region: "north",
	})
	e := discoverer.Endpoint{
		Server: &discoverer.Server{
			ID:      "i-1",
			Address: netip.MustParseAddrPort("10.0.0.1:80"),
		},
	}
	now := time.Unix(1000, 0)
	const maxEjection = 2 * time.Second
	attempt := b.Begin(e, "route", now)
	attempt.End(balancer.AttemptResult{
		Outcome: balancer.Unreachable,
	}, now)
	assert.Assert(t, b.AnyEjected())
	now = now.Add(time.Second)
	assert.Equal(t, len(b.ProbesDue(now)), 1)
	keepNone := func(discoverer.Key) bool { return false }
	b.Retain(keepNone, func(string) bool { return false }, now)
	b.RecordProbe(e, false, now)
	assert.Assert(t, !b.AnyEjected())
	for _, due := range b.ProbesDue(now.Add(maxEjection)) {
		assert.Assert(t, due.Server != nil)
	}
	// A request may end after its server was removed. Its failure ejects that server again.
	attempt = b.Begin(e, "route", now)
	attempt.End(balancer.AttemptResult{
		Outcome: balancer.Unreachable,
	}, now)
	assert.Equal(t, b.ProbesDue(now.Add(maxEjection))[0].ID, "i-1")
}

// A server is removed from the list while a connection to it is attempted and listed again before the attempt fails. Guards
// against a probe without an address, which ended the process of a VM with a nil pointer.
func TestProbeOfServerThatIsListedAgain(t *testing.T) {
	b := newBalancer(7)
	e := newEndpoint(0, "north")
	now := start
	b.Begin(e, search.Name, now).End(balancer.AttemptResult{
		Outcome: balancer.Unreachable,
	}, now)
	now = now.Add(time.Second)
	due := b.ProbesDue(now)
	assert.Equal(t, len(due), 1)
	b.Retain(func(discoverer.Key) bool { return false }, func(string) bool { return true }, now)
	_, ok := b.Select(newParams(now, e))
	assert.Assert(t, ok)
	b.RecordProbe(due[0], false, now)
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		for _, p := range b.ProbesDue(now) {
			assert.Assert(t, p.Server != nil)
			b.RecordProbe(p, false, now)
		}
	}
}
