package balancer

import (
	"time"

	"github.com/anvildyke/anvildyke/internal/discoverer"
)

// Description is what a VM knows of a server.
type Description struct {
	// Running is the number of this VM's requests at the server.
	Running int
	// Held says that the server could not be reached and gets nothing until a connection to it succeeds.
	Held bool
	Cold bool
	// Slowness is the latency as a multiple of the usual one in the zone, 0 while nothing is known.
	Slowness float64
	// Failures is the share of requests that failed, 0 to 1.
	Failures float64
	// Age is the time since the last request that told something, 0 if there was none.
	Age time.Duration
}

// ZoneUnreachable reports whether several servers of a zone could not be reached and none of the zone has answered for silenceTime.
func (t *Balancer) ZoneUnreachable(zone string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.answered[zone]) < silenceTime {
		return false
	}
	held := 0
	for _, s := range t.servers {
		if s.member.Server != nil && s.member.Zone == zone && s.hold > 0 {
			held++
		}
	}
	return held >= silentServers
}

// Describe returns what is known of a server.
func (t *Balancer) Describe(m discoverer.Endpoint, now time.Time) Description {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Description{
		Cold: m.ColdUntil.After(now),
	}
	s, ok := t.servers[m.Key()]
	if !ok {
		return d
	}
	zone := t.read(s.hash)
	d.Running = len(s.flights)
	d.Held = s.hold > 0
	slowness, at := t.slow(s, now)
	if zone.slownessAt.After(at) {
		slowness = zone.slowness
	}
	d.Slowness = slowness
	d.Failures = s.failing(zone, now)
	for _, told := range []time.Time{at, s.failedAt, zone.at()} {
		if age := now.Sub(told); !told.IsZero() && (d.Age == 0 || age < d.Age) {
			d.Age = age
		}
	}
	return d
}

// TailLatency returns the latency that all but the slowest requests of the route stay below, 0 while it is unknown.
func (t *Balancer) TailLatency(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.route(route).tail.value
}
