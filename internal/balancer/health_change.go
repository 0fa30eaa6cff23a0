package balancer

import (
	"time"

	"github.com/anvildyke/anvildyke/internal/discoverer"
)

// HealthChange is a change of what this VM believes of a server.
type HealthChange struct {
	Server discoverer.Key
	// Degraded says that the VMs of the zone find the server slow or failing.
	Degraded bool
	// Ejected says that the server could not be reached and gets nothing.
	Ejected  bool
	Slowness float64
	Failures float64
	// Age is the time since the last request that told it.
	Age time.Duration
}

// HealthChanges returns what has changed since the last call, in no order.
func (t *Balancer) HealthChanges(now time.Time) []HealthChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []HealthChange
	for k, s := range t.servers {
		zone := t.read(s.hash)
		bad, held := zone.isBad(), s.hold > 0
		if bad == s.saidBad && held == s.saidHeld {
			continue
		}
		s.saidBad, s.saidHeld = bad, held
		v := HealthChange{
			Server:   k,
			Degraded: bad,
			Ejected:  held,
			Slowness: zone.slowness,
			Failures: zone.failures,
		}
		if at := zone.at(); !at.IsZero() {
			v.Age = now.Sub(at)
		}
		list = append(list, v)
	}
	return list
}
