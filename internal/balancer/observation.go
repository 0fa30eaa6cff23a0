package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// slownessWeight is the weight of a new latency in the smoothed slowness. It is higher than that of latencies, because a VM
	// that sends a server one request in seconds has to tell after one or two.
	slownessWeight = 0.3
	// tellSlowness and tellFailures are the conditions from which on the VMs of a zone are told of a server.
	tellSlowness = 2
	tellFailures = 0.2
	// sightingAge bounds the use of a condition: most slow phases of a server have changed by then.
	sightingAge = 4 * time.Second
	// maxSightings bounds the servers in one message, which take about 25 bytes each, so that a VM exchanges at most 13 KB a second.
	maxSightings = 256
)

// Observation is what one VM has seen of a backend server since it told last.
type Observation struct {
	// Server is the hash of the server's key.
	Server uint64
	// Answered and Failed count the requests that ended.
	Answered int
	Failed   int
	// Slowness is the latency of the server as a multiple of the usual one in its zone, 0 while nothing is known.
	Slowness float64
	// Age is the time since the request that told the slowness.
	Age time.Duration
}

// ServerHealth is what the VMs of a zone have seen of a backend server.
type ServerHealth struct {
	// Server is the hash of the server's key.
	Server uint64
	// Slowness is the latency of the server as a multiple of the usual one in its zone, at least 1.
	Slowness float64
	// Failures is the share of failed requests, 0 to 1.
	Failures float64
	// Age is the time since the last request that told.
	Age time.Duration
}

// zoneState is what the VMs of the zone have seen of a server, by the clock of this VM.
type zoneState struct {
	slowness   float64
	slownessAt time.Time
	failures   float64
	failuresAt time.Time
	// answered and failed count requests of the last time, where older ones count less.
	answered float64
	failed   float64
}

// about returns what the zone knows of a server by the hash of its key, to be changed.
func (t *Balancer) about(server uint64) *zoneState {
	z, ok := t.zone[server]
	if !ok {
		z = &zoneState{}
		t.zone[server] = z
	}
	return z
}

// read returns what the zone knows of a server, the zero value if that is nothing.
func (t *Balancer) read(server uint64) zoneState {
	if z, ok := t.zone[server]; ok {
		return *z
	}
	return zoneState{}
}

// forget drops what is too old to be used.
func (t *Balancer) forget(now time.Time) {
	maps.DeleteFunc(t.zone, func(_ uint64, z *zoneState) bool {
		return now.Sub(z.at()) > sightingAge
	})
}

// at returns when the last request told something.
func (z zoneState) at() time.Time {
	if z.slownessAt.After(z.failuresAt) {
		return z.slownessAt
	}
	return z.failuresAt
}

// isBad reports whether the VMs of the zone are told of the server.
func (z zoneState) isBad() bool {
	return z.slowness >= tellSlowness || z.failures >= tellFailures
}

// count adds requests. One success is assumed, so that a single failure does not stand for a server that always fails.
func (z *zoneState) count(answered, failed int, now time.Time) {
	keep := fade(now.Sub(z.failuresAt))
	z.answered = keep*z.answered + float64(answered)
	z.failed = keep*z.failed + float64(failed)
	z.failures = z.failed / (z.answered + z.failed + 1)
	z.failuresAt = now
}

// compare adds the latency of a request as a multiple of the usual one.
func (s *state) compare(ratio float64, now time.Time) {
	if s.slowness == 0 {
		s.slowness = 1
	}
	s.slowness += slownessWeight * (ratio - s.slowness)
	s.slownessAt = now
}

// slow returns how slow this VM has found the server and when. A request that waits for its answer counts as well.
func (t *Balancer) slow(s *state, now time.Time) (slowness float64, at time.Time) {
	slowness, at = s.slowness, s.slownessAt
	if len(s.flights) == 0 {
		return slowness, at
	}
	f := s.flights[0]
	z, ok := t.route(f.route).zones[f.member.Zone]
	if age := now.Sub(f.sent); ok && stalled(age, z.value) {
		return max(slowness, float64(age)/float64(z.value)), now
	}
	return slowness, at
}

// TakeObservations returns what this VM has seen of servers that are slow or fail, or that the zone takes for such. What it returns is not
// returned again.
func (t *Balancer) TakeObservations(now time.Time) []Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seen(now)
}

func (t *Balancer) seen(now time.Time) []Observation {
	var list []Observation
	told := map[uint64]*state{}
	for _, s := range t.servers {
		slowness, at := t.slow(s, now)
		fresh := at.After(s.toldAt)
		if s.failed == 0 && !t.read(s.hash).isBad() && (slowness < tellSlowness || !fresh) {
			continue
		}
		if s.answered+s.failed == 0 && !fresh {
			continue
		}
		x := Observation{
			Server:   s.hash,
			Answered: s.answered,
			Failed:   s.failed,
		}
		if fresh {
			x.Slowness = slowness
			x.Age = now.Sub(at)
		}
		list = append(list, x)
		told[x.Server] = s
	}
	slices.SortFunc(list, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(b.Failed, a.Failed), cmp.Compare(b.Slowness, a.Slowness))
	})
	list = list[:min(len(list), maxSightings)]
	for _, x := range list {
		s := told[x.Server]
		s.answered, s.failed = 0, 0
		s.toldAt = now
	}
	return list
}

// AddObservations adds what another VM of the zone has seen.
func (t *Balancer) AddObservations(list []Observation, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.collect(list, now)
}

func (t *Balancer) collect(list []Observation, now time.Time) {
	for _, x := range list[:min(len(list), maxSightings)] {
		z := t.about(x.Server)
		if x.Answered+x.Failed > 0 {
			z.count(max(x.Answered, 0), max(x.Failed, 0), now)
		}
		if at := now.Add(-x.Age); x.Slowness > 0 && x.Age >= 0 && at.After(z.slownessAt) {
			z.slowness = x.Slowness
			z.slownessAt = at
		}
	}
}

// ZoneHealth returns what the VMs of the zone have seen of servers that are slow or fail, and of those that were so a moment ago.
func (t *Balancer) ZoneHealth(now time.Time) []ServerHealth {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.collect(t.seen(now), now)
	t.forget(now)
	list := make([]ServerHealth, 0, len(t.zone))
	for server, z := range t.zone {
		list = append(list, ServerHealth{
			Server:   server,
			Slowness: max(z.slowness, 1),
			Failures: z.failures,
			Age:      max(now.Sub(z.at()), 0),
		})
	}
	slices.SortFunc(list, func(a, b ServerHealth) int {
		return cmp.Or(cmp.Compare(b.Failures, a.Failures), cmp.Compare(b.Slowness, a.Slowness))
	})
	return list[:min(len(list), maxSightings)]
}

// ApplyZoneHealth takes the conditions that the VM which this one follows has collected.
func (t *Balancer) ApplyZoneHealth(list []ServerHealth, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	for _, c := range list[:min(len(list), maxSightings)] {
		z := t.about(c.Server)
		at := now.Add(-c.Age)
		if c.Age < 0 || c.Age > sightingAge || math.IsNaN(c.Slowness) || math.IsNaN(c.Failures) || !at.After(z.at()) {
			continue
		}
		*z = zoneState{
			slowness:   max(c.Slowness, 1),
			slownessAt: at,
			failures:   min(max(c.Failures, 0), 1),
			failuresAt: at,
		}
	}
}
