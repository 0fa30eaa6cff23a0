package balancer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/balancer"
	"github.com/anvildyke/anvildyke/internal/discoverer"
)

const (
	typicalLatency = 30 * time.Millisecond
	// exchangePeriod is the interval at which a VM exchanges observations with the VM that collects them.
	exchangePeriod = 500 * time.Millisecond
)

// simulatedZone simulates VMs that send searches to the same servers and exchange their observations.
type simulatedZone struct {
	vms []*balancer.Balancer
	// slow contains the latencies of slow servers.
	slow map[string]time.Duration
	// failing contains the servers that fail every second request, with the number of their requests.
	failing map[string]int
	pending []pendingAttempt
}

type pendingAttempt struct {
	*balancer.Attempt
	outcome balancer.AttemptOutcome
	endsAt  time.Time
}

func newSimulatedZone(vms int) *simulatedZone {
	s := &simulatedZone{
		slow:    map[string]time.Duration{},
		failing: map[string]int{},
	}
	for range vms {
		s.vms = append(s.vms, newBalancer(vms))
	}
	return s
}

// send sends a search for one shard and returns the ID of the server that gets it.
func (s *simulatedZone) send(t *testing.T, vm int, endpoints []discoverer.Endpoint, now time.Time) string {
	e, ok := s.vms[vm].Select(newParams(now, endpoints...))
	assert.Assert(t, ok)
	latency := typicalLatency
	if d, ok := s.slow[e.ID]; ok {
		latency = d
	}
	outcome := balancer.Answered
	if n, ok := s.failing[e.ID]; ok {
		s.failing[e.ID]++
		if n%2 == 0 {
			outcome = balancer.Failed
		}
	}
	s.pending = append(s.pending, pendingAttempt{
		Attempt: s.vms[vm].Begin(e, search.Name, now),
		outcome: outcome,
		endsAt:  now.Add(latency),
	})
	return e.ID
}

// advance ends the attempts that are due.
func (s *simulatedZone) advance(now time.Time) {
	var running []pendingAttempt
	for _, a := range s.pending {
		if now.Before(a.endsAt) {
			running = append(running, a)
			continue
		}
		a.End(balancer.AttemptResult{
			Outcome: a.outcome,
		}, a.endsAt)
	}
	s.pending = running
}

// exchange collects the observations of all VMs at the first one and distributes the combined health.
func (s *simulatedZone) exchange(now time.Time) {
	for _, vm := range s.vms[1:] {
		s.vms[0].AddObservations(vm.TakeObservations(now), now)
	}
	health := s.vms[0].ZoneHealth(now, now)
	for _, vm := range s.vms[1:] {
		vm.ApplyZoneHealth(health, now)
	}
}

const (
	zoneVMs    = 14
	zoneShards = 9
	// searchInterval lets each VM send one search every 2 s.
	searchInterval = 2 * time.Second / zoneVMs
)

// searchLoad sends searches from each VM in turn.
type searchLoad struct {
	*simulatedZone
	t        *testing.T
	replicas [zoneShards][]discoverer.Endpoint
	now      time.Time
}

func newSearchLoad(t *testing.T) *searchLoad {
	l := &searchLoad{
		simulatedZone: newSimulatedZone(zoneVMs),
		t:             t,
		now:           start,
	}
	for i := range zoneShards {
		for j := range 3 {
			l.replicas[i] = append(l.replicas[i], newEndpoint(3*i+j, "north"))
		}
	}
	return l
}

// run sends searches for the given time and returns the number of requests to the first replica of a shard and the total number.
func (l *searchLoad) run(d time.Duration) (first, all int) {
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(searchInterval) {
		l.advance(l.now)
		vm := int(l.now.Sub(start)/searchInterval) % zoneVMs
		for i := range zoneShards {
			if l.send(l.t, vm, l.replicas[i], l.now) == l.replicas[i][0].ID {
				first++
			}
			all++
		}
		if l.now.Sub(start)%exchangePeriod < searchInterval {
			l.exchange(l.now)
		}
	}
	return first, all
}

// Replicas of many shards become slow while each of many VMs sends only one search every 2 s. Guards against VMs that have to
// detect slow servers on their own, and so send an eighth of the searches to them for several seconds.
func TestVMsWithFewRequestsShareSlowServers(t *testing.T) {
	l := newSearchLoad(t)
	l.run(6 * time.Second)
	for i := range zoneShards {
		l.slow[l.replicas[i][0].ID] = 11 * typicalLatency
	}
	l.run(2 * time.Second)
	slow, all := l.run(6 * time.Second)
	assert.Assert(t, slow*10 <= all, "%d of %d searches went to slow servers", slow, all)
	clear(l.slow)
	l.run(10 * time.Second)
	used, all := l.run(6 * time.Second)
	assert.Assert(t, used > 0, "none of %d searches went to servers that have recovered", all)
}

// Replicas of many shards lose half of their answers while each of many VMs sends only one search every 2 s. Guards against VMs
// that see too few failures of their own to detect failing servers.
func TestVMsWithFewRequestsShareFailingServers(t *testing.T) {
	l := newSearchLoad(t)
	l.run(6 * time.Second)
	for i := range zoneShards {
		l.failing[l.replicas[i][0].ID] = 0
	}
	l.run(2 * time.Second)
	failing, all := l.run(4 * time.Second)
	assert.Assert(t, failing*10 <= all, "%d of %d searches went to failing servers", failing, all)
	clear(l.failing)
	l.run(10 * time.Second)
	used, all := l.run(6 * time.Second)
	assert.Assert(t, used > 0, "none of %d searches went to servers that have recovered", all)
}

// Guards against failures that are reported twice, successes that are not reported and so make a server look worse than it is,
// and health that replaces newer values or is used after it has expired.
func TestZoneHealthCombinesObservationsOfAllVMs(t *testing.T) {
	a, b := newBalancer(2), newBalancer(2)
	e := newEndpoint(0, "north")
	now := start
	runAttempt := func(b *balancer.Balancer, outcome balancer.AttemptOutcome) {
		attempt := b.Begin(e, search.Name, now)
		now = now.Add(typicalLatency)
		attempt.End(balancer.AttemptResult{
			Outcome: outcome,
		}, now)
	}
	for range 3 {
		runAttempt(a, balancer.Failed)
	}
	observations := a.TakeObservations(now)
	assert.Equal(t, len(observations), 1)
	assert.Equal(t, observations[0].Failed, 3)
	assert.Equal(t, len(a.TakeObservations(now)), 0)
	b.AddObservations(observations, now)
	for range 6 {
		runAttempt(b, balancer.Answered)
	}
	health := b.ZoneHealth(now, now)
	assert.Equal(t, len(health), 1)
	assert.Assert(t, health[0].Failures > 0.2 && health[0].Failures < 0.35, "%+v", health[0])
	a.ApplyZoneHealth(health, now)
	reportedAt := now
	runAttempt(b, balancer.Answered)
	newer := b.ZoneHealth(now, now)
	a.ApplyZoneHealth(newer, now)
	a.ApplyZoneHealth(health, reportedAt)
	assert.Equal(t, a.ZoneHealth(now, now)[0].Failures, newer[0].Failures)
	now = now.Add(time.Minute)
	assert.Equal(t, len(a.ZoneHealth(now, now)), 0)
	assert.Equal(t, len(b.TakeObservations(now)), 0)
}

// Guards against health changes that are not reported or are reported repeatedly.
func TestHealthChangeIsReportedOnce(t *testing.T) {
	b := newBalancer(1)
	e := newEndpoint(0, "north")
	now := start
	send := func(outcome balancer.AttemptOutcome) {
		b.Begin(e, search.Name, now).End(balancer.AttemptResult{
			Outcome: outcome,
		}, now)
		b.ZoneHealth(now, now)
	}
	send(balancer.Answered)
	assert.Equal(t, len(b.HealthChanges(now)), 0)
	send(balancer.Failed)
	changes := b.HealthChanges(now)
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].Degraded && !changes[0].Ejected, "%+v", changes[0])
	assert.Equal(t, len(b.HealthChanges(now)), 0)
	send(balancer.Unreachable)
	assert.Assert(t, b.HealthChanges(now)[0].Ejected)
	b.RecordProbe(e, true, now)
	now = now.Add(time.Minute)
	b.ZoneHealth(now, now)
	changes = b.HealthChanges(now)
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, !changes[0].Degraded && !changes[0].Ejected, "%+v", changes[0])
}
