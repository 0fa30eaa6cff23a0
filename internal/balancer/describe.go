package balancer

import (
	"time"

	"github.com/anvildyke/anvildyke/internal/discoverer"
)

// Description is the state of a server as measured by this VM and its zone.
type Description struct {
	// Running is the number of this VM's requests that are running at the server.
	Running int
	// Held is true if the server is ejected: it gets no requests until a connection to it succeeds.
	Held bool
	Cold bool
	// Leaving is true if the server has announced that it is leaving.
	Leaving bool
	// PausedFor is how long the server gets no requests from this VM because it has asked for that.
	PausedFor time.Duration
	// Slowness is the latency relative to the median of the zone, or 0 if unknown.
	Slowness float64
	// Failures is the fraction of failed requests, 0 to 1.
	Failures float64
	// Age is the time since the last measurement, or 0 if there is none.
	Age time.Duration
}

// ZoneUnreachable reports whether at least unreachableZoneServers servers of the zone are ejected and no server of the zone has
// answered for unreachableZoneTimeout.
func (b *Balancer) ZoneUnreachable(zone string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.lastAnswers[zone]) < unreachableZoneTimeout {
		return false
	}
	ejected := 0
	for _, s := range b.servers {
		if s.endpoint.Server != nil && s.endpoint.Zone == zone && s.ejection > 0 {
			ejected++
		}
	}
	return ejected >= unreachableZoneServers
}

// Describe returns the measurements of a server at now, with only Cold and Leaving set if there are none.
func (b *Balancer) Describe(e discoverer.Endpoint, now time.Time) Description {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := Description{
		Cold: e.ColdUntil.After(now),
	}
	_, d.Leaving = b.departures[e.Key().Hash()]
	s, ok := b.servers[e.Key()]
	if !ok {
		return d
	}
	zone := b.zoneStateOf(s.hash)
	d.Running = len(s.attempts)
	d.Held = s.ejection > 0
	d.PausedFor = max(0, s.pausedUntil.Sub(now))
	slowness, at := b.currentSlowness(s, now)
	if zone.slownessAt.After(at) {
		slowness = zone.slowness
	}
	d.Slowness = slowness
	d.Failures = s.decayedFailureRate(zone, now)
	for _, updated := range []time.Time{at, s.failureRateAt, zone.updatedAt()} {
		if age := now.Sub(updated); !updated.IsZero() && (d.Age == 0 || age < d.Age) {
			d.Age = age
		}
	}
	return d
}

// TailLatency returns the estimate of the tail quantile of the route's latency, or 0 if unknown.
func (b *Balancer) TailLatency(route string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.route(route).tail.value
}
