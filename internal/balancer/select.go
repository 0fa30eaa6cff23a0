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

// SelectParams is the choice of a server for one request.
type SelectParams struct {
	Route     *router.Route
	Service   router.Service
	Endpoints []discoverer.Endpoint
	// Excluded servers are not chosen.
	Excluded []discoverer.Key
	Now      time.Time
}

// Select returns the server that is expected to answer first, and false if none can take the request now.
func (t *Balancer) Select(a SelectParams) (discoverer.Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best discoverer.Endpoint
	var least time.Duration
	found := false
	outside := t.outside(a)
	for _, m := range a.Endpoints {
		if slices.Contains(a.Excluded, m.Key()) || !a.Route.AllowsRegion(m.Region) {
			continue
		}
		s := t.server(m.Key())
		if !t.open(s, m, a) {
			continue
		}
		d := t.expect(s, m, a)
		if slices.Contains(outside, m.Key()) {
			d += outsidePenalty
		}
		// A random part of a tenth keeps VMs with the same view from choosing the same server.
		d += time.Duration(float64(d) * 0.1 * rand.Float64())
		if !found || d < least {
			best, least, found = m, d, true
		}
	}
	return best, found
}

// outside returns the servers that are left to other VMs, because there are more VMs than connections to a server. Each VM keeps to
// as many replicas as the connections of all of them allow, to those of its region first. The hash of the VM and the server spreads
// the rest.
func (t *Balancer) outside(a SelectParams) []discoverer.Key {
	room := connectionShare * float64(a.Service.MaxConnections) / float64(t.vms)
	if a.Service.MaxConnections <= 0 || room >= 1 {
		return nil
	}
	kept := max(1, int(room*float64(len(a.Endpoints))))
	if kept >= len(a.Endpoints) {
		return nil
	}
	ranked := slices.Clone(a.Endpoints)
	slices.SortFunc(ranked, func(x, y discoverer.Endpoint) int {
		far := func(m discoverer.Endpoint) int {
			if m.Region == t.cfg.Region {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(far(x), far(y)), cmp.Compare(t.rank(x), t.rank(y)))
	})
	var keys []discoverer.Key
	for _, m := range ranked[kept:] {
		keys = append(keys, m.Key())
	}
	return keys
}

// rank orders the servers for this VM.
func (t *Balancer) rank(m discoverer.Endpoint) uint64 {
	return xxhash.Sum64String(t.cfg.Name + "\x00" + m.ID)
}

// AnyReachable reports whether one of the servers can be reached as far as is known.
func (t *Balancer) AnyReachable(members []discoverer.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		if t.server(m.Key()).hold == 0 {
			return true
		}
	}
	return false
}

// open reports whether the server can get another request.
func (t *Balancer) open(s *state, m discoverer.Endpoint, a SelectParams) bool {
	if s.hold > 0 {
		return false
	}
	if len(s.flights) >= t.connections(a.Service) {
		return false
	}
	if m.ColdUntil.After(a.Now) && a.Service.MaxColdRate > 0 {
		return s.cold.open(a.Now, a.Service.MaxColdRate/float64(t.vms))
	}
	return true
}

// connectionShare is the part of a server's connections that all VMs together use; the rest covers VMs that are not known yet.
const connectionShare = 0.9

// connections returns how many connections to a server of the service this VM may have.
func (t *Balancer) connections(s router.Service) int {
	if s.MaxConnections <= 0 {
		return defaultConnections
	}
	return max(1, int(connectionShare*float64(s.MaxConnections)/float64(t.vms)))
}

// defaultConnections bounds the connections to a server whose limit is not stated.
const defaultConnections = 8

// expect returns the expected latency of a request, with penalties for what speaks against the server.
func (t *Balancer) expect(s *state, m discoverer.Endpoint, a SelectParams) time.Duration {
	r := t.route(a.Route.Name)
	base := t.usual(r, m, a)
	d := base
	l, ok := s.latency[a.Route.Name]
	zone := t.read(s.hash)
	switch {
	case zone.slownessAt.After(s.slownessAt):
		d += time.Duration(fade(a.Now.Sub(zone.slownessAt)) * (zone.slowness - 1) * float64(base))
	case ok:
		d += time.Duration(fade(a.Now.Sub(l.at)) * float64(l.value-base))
	}
	if m.ColdUntil.After(a.Now) {
		d = time.Duration(coldFactor * float64(d))
	}
	slots := max(1, m.Slots)
	busy := len(s.flights)
	if a.Now.Sub(s.reportAt) < reportAge {
		busy += max(0, s.report.Running+s.report.Queued-s.reportOwn)
	}
	d += time.Duration(float64(d) * (occupancyFactor*float64(min(busy, slots)) + float64(max(0, busy+1-slots))) / float64(slots))
	if len(s.flights) > 0 {
		if age := a.Now.Sub(s.flights[0].sent); stalled(age, base) {
			d += 2 * age
		}
	}
	d += time.Duration(s.failing(zone, a.Now) * float64(failurePenalty))
	if m.Lapsed {
		d += lapsedPenalty
	}
	if m.Region != t.cfg.Region {
		d += regionPenalty
	}
	return d
}

// failing returns the share of requests that fail by what this VM or its zone has seen, where older knowledge counts less.
func (s *state) failing(zone zoneState, now time.Time) float64 {
	return max(fade(now.Sub(s.failedAt))*s.failures, fade(now.Sub(zone.failuresAt))*zone.failures)
}

// stalled reports whether a request has run for so long that its server seems to have stopped.
func stalled(age, usual time.Duration) bool {
	return age > max(stallLeast, stallFactor*usual)
}

// usual returns the latency of the route in the server's zone.
func (t *Balancer) usual(r *routeState, m discoverer.Endpoint, a SelectParams) time.Duration {
	if z, ok := r.zones[m.Zone]; ok {
		return z.value
	}
	d := r.good.value
	if d == 0 {
		d = firstLatency
		if a.Route.TargetLatency > 0 {
			d = min(d, a.Route.TargetLatency/4)
		}
	}
	switch {
	case m.Zone == t.cfg.Zone:
		return d
	case m.Region == t.cfg.Region:
		return d + sameRegion
	default:
		return d + otherRegion
	}
}

// fade returns the weight of knowledge of an age, 1 for fresh and 1/2 after memory.
func fade(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(memory))
}
