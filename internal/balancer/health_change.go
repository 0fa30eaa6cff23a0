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
	Ejected  bool
	Slowness float64
	Failures float64
	// Age is the time since the last request that contributed to Slowness or Failures.
	Age time.Duration
}

// HealthChanges returns the changes since the last call, in no particular order.
func (b *Balancer) HealthChanges(now time.Time) []HealthChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []HealthChange
	for k, s := range b.servers {
		zone := b.zoneStateOf(s.hash)
		degraded, ejected := zone.degraded(), s.ejection > 0
		if degraded == s.lastDegraded && ejected == s.lastEjected {
			continue
		}
		s.lastDegraded, s.lastEjected = degraded, ejected
		c := HealthChange{
			Server:   k,
			Degraded: degraded,
			Ejected:  ejected,
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
