package balancer

import (
	"time"

	"github.com/anvildyke/anvildyke/internal/discoverer"
)

// HealthChange is a change in the health of a server as seen by this VM.
type HealthChange struct {
	Server discoverer.Key
	// Degraded is true if the combined observations of the zone's VMs show the server as slow or failing.
	Degraded bool
	// Ejected is true if the server gets no requests until a connection to it succeeds.
	Ejected bool
	// Leaving is true if the server has announced that it is leaving.
	Leaving bool
	// Paused is true while the server gets no requests from this VM because it has asked for that.
	Paused   bool
	Slowness float64
	Failures float64
	// Age is the time since the last request that contributed to Slowness or Failures.
	Age time.Duration
}

// healthFlags are the values whose changes are reported.
type healthFlags struct {
	degraded, ejected, leaving, paused bool
}

// HealthChanges returns the changes since the last call, in no particular order.
func (b *Balancer) HealthChanges(now time.Time) []HealthChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []HealthChange
	for k, s := range b.servers {
		zone := b.zoneStateOf(s.hash)
		_, leaving := b.departures[s.hash]
		flags := healthFlags{
			degraded: zone.degraded(),
			ejected:  s.ejection > 0,
			leaving:  leaving,
			paused:   s.pausedUntil.After(now),
		}
		if flags == s.lastChange {
			continue
		}
		s.lastChange = flags
		c := HealthChange{
			Server:   k,
			Degraded: flags.degraded,
			Ejected:  flags.ejected,
			Leaving:  flags.leaving,
			Paused:   flags.paused,
			Slowness: zone.slowness,
			Failures: zone.failureRate,
		}
		if at := zone.updatedAt(); !at.IsZero() {
			c.Age = now.Sub(at)
		}
		list = append(list, c)
	}
	return list
}
