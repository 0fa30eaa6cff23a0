package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/router"
)

// SelectParams describes the request for which Select selects a server.
type SelectParams struct {
	Route     *router.Route
	Service   router.Service
	Endpoints []discoverer.Endpoint
	// Excluded servers are not selected.
	Excluded []discoverer.Key
	Now      time.Time
}

// Select returns the server with the lowest expected latency, or false if no server is available. A server that is leaving is
// returned only if no other server is available.
func (b *Balancer) Select(p SelectParams) (discoverer.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best discoverer.Endpoint
	var lowest time.Duration
	preference := unavailable
	unassigned := b.unassigned(p)
	for _, e := range p.Endpoints {
		if slices.Contains(p.Excluded, e.Key()) || !p.Route.AllowsRegion(e.Region) {
			continue
		}
		s := b.server(e.Key())
		a := b.availability(s, e, p)
		if a == unavailable || a < preference {
			continue
		}
		expected := b.expectedLatency(s, e, p)
		if slices.Contains(unassigned, e.Key()) {
			expected += unassignedPenalty
		}
		// Up to 10 percent of random extra latency prevents VMs with the same measurements from selecting the same server.
		expected += time.Duration(float64(expected) * 0.1 * rand.Float64())
		if a > preference || expected < lowest {
			best, lowest, preference = e, expected, a
		}
	}
	return best, preference != unavailable
}

// unassigned returns the servers that this VM does not use. There are none unless a server accepts fewer connections than there
// are VMs. Each VM then uses as many replicas as the connection limits allow, those in its own region first. A hash of the VM and
// the server determines the order among the replicas of a region and so spreads the VMs over them.
func (b *Balancer) unassigned(p SelectParams) []discoverer.Key {
	connectionsPerVM := usableConnectionShare * float64(p.Service.MaxConnections) / float64(b.vms)
	if p.Service.MaxConnections <= 0 || connectionsPerVM >= 1 {
		return nil
	}
	kept := max(1, int(connectionsPerVM*float64(len(p.Endpoints))))
	if kept >= len(p.Endpoints) {
		return nil
	}
	ranked := slices.Clone(p.Endpoints)
	slices.SortFunc(ranked, func(x, y discoverer.Endpoint) int {
		regionOrder := func(e discoverer.Endpoint) int {
			if e.Region == b.cfg.Region {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(regionOrder(x), regionOrder(y)), cmp.Compare(b.rank(x), b.rank(y)))
	})
	var keys []discoverer.Key
	for _, e := range ranked[kept:] {
		keys = append(keys, e.Key())
	}
	return keys
}

// rank returns a hash of this VM and the server, by which unassigned orders the servers.
func (b *Balancer) rank(e discoverer.Endpoint) uint64 {
	return xxhash.Sum64String(b.cfg.Name + "\x00" + e.ID)
}

// AnyReachable reports whether at least one of the servers is not ejected.
func (b *Balancer) AnyReachable(endpoints []discoverer.Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range endpoints {
		if b.server(e.Key()).ejection == 0 {
			return true
		}
	}
	return false
}

// availability returns whether the server may receive another request within its connection limit and, if it is cold, its rate
// limit.
func (b *Balancer) availability(s *serverState, e discoverer.Endpoint, p SelectParams) availability {
	if len(s.attempts) >= b.connectionLimit(p.Service) {
		return unavailable
	}
	if e.ColdUntil.After(p.Now) && p.Service.MaxColdRate > 0 && !s.cold.allow(p.Now, p.Service.MaxColdRate/float64(b.vms)) {
		return unavailable
	}
	a, _ := b.admission(s, p.Now)
	return a
}

// usableConnectionShare is the fraction of a server's connections that the known VMs use. The rest is reserved for VMs that have
// not been discovered yet.
const usableConnectionShare = 0.9

// connectionLimit returns the maximum number of connections from this VM to a server of the service.
func (b *Balancer) connectionLimit(s router.Service) int {
	if s.MaxConnections <= 0 {
		return defaultConnectionLimit
	}
	return max(1, int(usableConnectionShare*float64(s.MaxConnections)/float64(b.vms)))
}

// defaultConnectionLimit applies to servers whose connection limit is not configured.
const defaultConnectionLimit = 8

// expectedLatency returns the expected latency of a request, including the penalties.
func (b *Balancer) expectedLatency(s *serverState, e discoverer.Endpoint, p SelectParams) time.Duration {
	r := b.route(p.Route.Name)
	baseline := b.baselineLatency(r, e, p)
	d := baseline
	l, ok := s.latency[p.Route.Name]
	zone := b.zoneStateOf(s.hash)
	switch {
	case zone.slownessAt.After(s.slownessAt):
		d += time.Duration(decay(p.Now.Sub(zone.slownessAt)) * (zone.slowness - 1) * float64(baseline))
	case ok:
		d += time.Duration(decay(p.Now.Sub(l.at)) * float64(l.value-baseline))
	}
	if e.ColdUntil.After(p.Now) {
		d = time.Duration(coldLatencyFactor * float64(d))
	}
	slots := max(1, e.Slots)
	running := len(s.attempts)
	if p.Now.Sub(s.loadReportAt) < maxLoadReportAge {
		running += max(0, s.loadReport.Running+s.loadReport.Queued-s.ownRunningAtReport)
	}
	d += time.Duration(float64(d) * (occupancyFactor*float64(min(running, slots)) + float64(max(0, running+1-slots))) / float64(slots))
	if len(s.attempts) > 0 {
		if age := p.Now.Sub(s.attempts[0].sentAt); stalled(age, baseline) {
			d += 2 * age
		}
	}
	d += time.Duration(s.decayedFailureRate(zone, p.Now) * float64(failurePenalty))
	if e.Lapsed {
		d += lapsedPenalty
	}
	if e.Region != b.cfg.Region {
		d += regionPenalty
	}
	return d
}

// decayedFailureRate returns the higher of the failure rates measured by this VM and by its zone, decayed by their age.
func (s *serverState) decayedFailureRate(zone zoneState, now time.Time) float64 {
	return max(decay(now.Sub(s.failureRateAt))*s.failureRate, decay(now.Sub(zone.failureRateAt))*zone.failureRate)
}

// stalled reports whether a request has been running for so long that its server appears to have stopped.
func stalled(age, baseline time.Duration) bool {
	return age > max(minStallAge, stallFactor*baseline)
}

// baselineLatency returns the median latency of the route in the server's zone, or an estimate if the zone has not been measured.
func (b *Balancer) baselineLatency(r *routeState, e discoverer.Endpoint, p SelectParams) time.Duration {
	if z, ok := r.zoneMedians[e.Zone]; ok {
		return z.value
	}
	d := r.lowQuantile.value
	if d == 0 {
		d = defaultLatency
		if p.Route.TargetLatency > 0 {
			d = min(d, p.Route.TargetLatency/4)
		}
	}
	switch {
	case e.Zone == b.cfg.Zone:
		return d
	case e.Region == b.cfg.Region:
		return d + sameRegionLatency
	default:
		return d + otherRegionLatency
	}
}

// decay returns the weight of a measurement by its age: 1 at age 0 and 1/2 at decayHalfLife.
func decay(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(decayHalfLife))
}
