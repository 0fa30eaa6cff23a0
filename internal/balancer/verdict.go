package balancer

import (
	"time"

	"github.com/anvildyke/anvildyke/internal/discoverer"
)

// Verdict is a change of what this VM believes of a server.
type Verdict struct {
	Server discoverer.Key
	// Bad says that the VMs of the zone find the server slow or failing.
	Bad bool
	// Held says that the server could not be reached and gets nothing.
	Held     bool
	Slowness float64
	Failures float64
	// Age is the time since the last request that told it.
	Age time.Duration
}

// Verdicts returns what has changed since the last call, in no order.
func (t *Tracker) Verdicts(now time.Time) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Verdict
	for k, s := range t.servers {
		zone := t.read(s.hash)
		bad, held := zone.isBad(), s.hold > 0
		if bad == s.saidBad && held == s.saidHeld {
			continue
		}
		s.saidBad, s.saidHeld = bad, held
		v := Verdict{
			Server:   k,
			Bad:      bad,
			Held:     held,
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
