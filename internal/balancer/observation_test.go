package balancer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/balancer"
	"github.com/anvildyke/anvildyke/internal/discoverer"
)

const (
	usual = 30 * time.Millisecond
	// exchangePeriod is the time between two messages of a VM to the one that it follows.
	exchangePeriod = 500 * time.Millisecond
)

// zone plays VMs that send searches to the same servers and tell each other what they see.
type zone struct {
	vms []*balancer.Balancer
	// slow are the servers that answer after that time.
	slow map[string]time.Duration
	// failing are the servers of which each second request fails, and the number of their requests.
	failing map[string]int
	open    []flight
}

type flight struct {
	*balancer.Attempt
	ending balancer.AttemptOutcome
	ends   time.Time
}

func newZone(vms int) *zone {
	z := &zone{
		slow:    map[string]time.Duration{},
		failing: map[string]int{},
	}
	for range vms {
		z.vms = append(z.vms, newTracker(vms))
	}
	return z
}

// send sends a search for one shard and returns the ID of the server that gets it.
func (z *zone) send(t *testing.T, vm int, members []discoverer.Endpoint, now time.Time) string {
	m, ok := z.vms[vm].Select(ask(now, members...))
	assert.Assert(t, ok)
	took := usual
	if d, ok := z.slow[m.ID]; ok {
		took = d
	}
	ending := balancer.Answered
	if n, ok := z.failing[m.ID]; ok {
		z.failing[m.ID]++
		if n%2 == 0 {
			ending = balancer.Failed
		}
	}
	z.open = append(z.open, flight{
		Attempt: z.vms[vm].Begin(m, search.Name, now),
		ending:  ending,
		ends:    now.Add(took),
	})
	return m.ID
}

// advance ends the flights that are due.
func (z *zone) advance(now time.Time) {
	var open []flight
	for _, f := range z.open {
		if now.Before(f.ends) {
			open = append(open, f)
			continue
		}
		f.End(balancer.AttemptResult{
			Outcome: f.ending,
		}, f.ends)
	}
	z.open = open
}

// exchange passes the sightings through the first VM.
func (z *zone) exchange(now time.Time) {
	for _, vm := range z.vms[1:] {
		z.vms[0].AddObservations(vm.TakeObservations(now), now)
	}
	known := z.vms[0].ZoneHealth(now)
	for _, vm := range z.vms[1:] {
		vm.ApplyZoneHealth(known, now)
	}
}

const (
	zoneVMs    = 14
	zoneShards = 9
	// zoneStep gives each VM one search in two seconds.
	zoneStep = 2 * time.Second / zoneVMs
)

// player sends searches of the VMs in turn.
type player struct {
	*zone
	t        *testing.T
	replicas [zoneShards][]discoverer.Endpoint
	now      time.Time
}

func newPlayer(t *testing.T) *player {
	p := &player{
		zone: newZone(zoneVMs),
		t:    t,
		now:  start,
	}
	for i := range zoneShards {
		for j := range 3 {
			p.replicas[i] = append(p.replicas[i], member(3*i+j, "north"))
		}
	}
	return p
}

// play sends searches for a while and returns how many went to the first replica of a shard, and all.
func (p *player) play(d time.Duration) (first, all int) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(zoneStep) {
		p.advance(p.now)
		vm := int(p.now.Sub(start)/zoneStep) % zoneVMs
		for i := range zoneShards {
			if p.send(p.t, vm, p.replicas[i], p.now) == p.replicas[i][0].ID {
				first++
			}
			all++
		}
		if p.now.Sub(start)%exchangePeriod < zoneStep {
			p.exchange(p.now)
		}
	}
	return first, all
}

// Load pattern: replicas of many shards turn slow while each of many VMs sends a search only every two seconds. Guards against VMs
// that each have to find out for themselves which servers are slow, and so send an eighth of the searches to them for seconds.
func TestVMsWithFewRequestsLearnOfSlowServersFromEachOther(t *testing.T) {
	p := newPlayer(t)
	p.play(6 * time.Second)
	for i := range zoneShards {
		p.slow[p.replicas[i][0].ID] = 11 * usual
	}
	p.play(2 * time.Second)
	slow, all := p.play(6 * time.Second)
	assert.Assert(t, slow*10 <= all, "%d of %d searches went to slow servers", slow, all)
	clear(p.slow)
	p.play(10 * time.Second)
	used, all := p.play(6 * time.Second)
	assert.Assert(t, used > 0, "none of %d searches went to servers that have recovered", all)
}

// Load pattern: replicas of many shards lose half of their answers while each of many VMs sends a search only every two seconds.
// Guards against VMs that each have too few failures to see which servers fail.
func TestVMsWithFewRequestsLearnOfFailingServersFromEachOther(t *testing.T) {
	p := newPlayer(t)
	p.play(6 * time.Second)
	for i := range zoneShards {
		p.failing[p.replicas[i][0].ID] = 0
	}
	p.play(2 * time.Second)
	failing, all := p.play(4 * time.Second)
	assert.Assert(t, failing*10 <= all, "%d of %d searches went to failing servers", failing, all)
	clear(p.failing)
	p.play(10 * time.Second)
	used, all := p.play(6 * time.Second)
	assert.Assert(t, used > 0, "none of %d searches went to servers that have recovered", all)
}

// Guards against failures that are told twice, against successes that are left out and make a server look worse than it is, and
// against conditions that replace newer ones or outlive their use.
func TestConditionsAreThoseOfTheWholeZone(t *testing.T) {
	a, b := newTracker(2), newTracker(2)
	m := member(0, "north")
	now := start
	end := func(tr *balancer.Balancer, e balancer.AttemptOutcome) {
		f := tr.Begin(m, search.Name, now)
		now = now.Add(usual)
		f.End(balancer.AttemptResult{
			Outcome: e,
		}, now)
	}
	for range 3 {
		end(a, balancer.Failed)
	}
	seen := a.TakeObservations(now)
	assert.Equal(t, len(seen), 1)
	assert.Equal(t, seen[0].Failed, 3)
	assert.Equal(t, len(a.TakeObservations(now)), 0)
	b.AddObservations(seen, now)
	for range 6 {
		end(b, balancer.Answered)
	}
	all := b.ZoneHealth(now)
	assert.Equal(t, len(all), 1)
	assert.Assert(t, all[0].Failures > 0.2 && all[0].Failures < 0.35, "%+v", all[0])
	a.ApplyZoneHealth(all, now)
	toldAt := now
	end(b, balancer.Answered)
	newer := b.ZoneHealth(now)
	a.ApplyZoneHealth(newer, now)
	a.ApplyZoneHealth(all, toldAt)
	assert.Equal(t, a.ZoneHealth(now)[0].Failures, newer[0].Failures)
	now = now.Add(time.Minute)
	assert.Equal(t, len(a.ZoneHealth(now)), 0)
	assert.Equal(t, len(b.TakeObservations(now)), 0)
}

// Guards against a belief that changes without a word, and against one that is told again and again.
func TestEachChangeOfABeliefIsToldOnce(t *testing.T) {
	a := newTracker(1)
	m := member(0, "north")
	now := start
	send := func(e balancer.AttemptOutcome) {
		a.Begin(m, search.Name, now).End(balancer.AttemptResult{
			Outcome: e,
		}, now)
		a.ZoneHealth(now)
	}
	send(balancer.Answered)
	assert.Equal(t, len(a.HealthChanges(now)), 0)
	send(balancer.Failed)
	v := a.HealthChanges(now)
	assert.Equal(t, len(v), 1)
	assert.Assert(t, v[0].Degraded && !v[0].Ejected, "%+v", v[0])
	assert.Equal(t, len(a.HealthChanges(now)), 0)
	send(balancer.Unreachable)
	assert.Assert(t, a.HealthChanges(now)[0].Ejected)
	a.RecordProbe(m, true, now)
	now = now.Add(time.Minute)
	a.ZoneHealth(now)
	v = a.HealthChanges(now)
	assert.Equal(t, len(v), 1)
	assert.Assert(t, !v[0].Degraded && !v[0].Ejected, "%+v", v[0])
}
