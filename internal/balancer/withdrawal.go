package balancer

import (
	"maps"
	"time"

	"github.com/anvildyke/anvildyke/internal/discoverer"
)

const (
	// maxPause limits the time for which a server can ask for no requests, so that a nonsensical value does not exclude it forever.
	maxPause = time.Hour
	// departureRetention is how long a departure is remembered. A server may keep serving for minutes after it has announced that it
	// leaves, and its entry at the platform may disappear and return meanwhile.
	departureRetention = 15 * time.Minute
)

// departure is the announcement of a server process that it is leaving. It is final, because a server that starts again has another
// key.
type departure struct {
	// since is the time at which this VM learned of the announcement.
	since time.Time
	// unreported is true until the announcement has been passed on to the other VMs of the zone.
	unreported bool
}

// recordDeparture records that the server with the given hash is leaving. Only the first call for a server has an effect.
func (b *Balancer) recordDeparture(server uint64, unreported bool, now time.Time) {
	if _, ok := b.departures[server]; ok {
		return
	}
	b.departures[server] = &departure{
		since:      now,
		unreported: unreported,
	}
}

func (b *Balancer) expireDepartures(now time.Time) {
	maps.DeleteFunc(b.departures, func(_ uint64, d *departure) bool {
		return now.Sub(d.since) > departureRetention
	})
}

// recordPause records that the server accepts no requests from this VM for d. A shorter pause does not end a longer one.
func (s *serverState) recordPause(d time.Duration, now time.Time) {
	if until := now.Add(min(d, maxPause)); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// availability is the preference with which a server is selected.
type availability int

const (
	// unavailable servers get no requests.
	unavailable availability = iota
	// lastResort servers get requests only if no other server is available.
	lastResort
	available
)

// admission returns whether a server may get requests apart from its connection and rate limits, and, if it is paused, for how long
// it may not.
func (b *Balancer) admission(s *serverState, now time.Time) (availability, time.Duration) {
	if s.ejection > 0 {
		return unavailable, 0
	}
	result := available
	if d, ok := b.departures[s.hash]; ok {
		if now.Sub(d.since) >= b.cfg.DepartureGrace {
			return unavailable, 0
		}
		result = lastResort
	}
	if wait := s.pausedUntil.Sub(now); wait > 0 {
		return unavailable, wait
	}
	return result, 0
}

// Wait returns how long it takes until one of the servers may get a request, which is 0 if one may now. It ignores limits of
// connections and rates, which change within milliseconds. It returns false if all servers are ejected or have left.
func (b *Balancer) Wait(endpoints []discoverer.Endpoint, now time.Time) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range endpoints {
		a, pause := b.admission(b.server(e.Key()), now)
		switch {
		case a != unavailable:
			return 0, true
		case pause > 0 && (!ok || pause < wait):
			wait, ok = pause, true
		}
	}
	return wait, ok
}
