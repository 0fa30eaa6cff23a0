package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// slownessWeight is the weight of a new sample in the smoothed slowness. It is higher than sampleWeight, because a VM that
	// sends a server one request every few seconds has to detect a slow server after one or two requests.
	slownessWeight = 0.3
	// A server with at least reportedSlowness or reportedFailureRate is reported to the other VMs of the zone.
	reportedSlowness    = 2
	reportedFailureRate = 0.2
	// maxHealthAge limits the use of observations from other VMs. Most slow phases of a server have ended by then.
	maxHealthAge = 4 * time.Second
	// maxHealthEntries limits the servers in a message. With about 25 bytes per server, a VM exchanges at most 13 KB/s.
	maxHealthEntries = 256
)

// Observation contains the results of one VM's requests to a backend server since its last observation.
type Observation struct {
	// Server is the hash of the server's key.
	Server uint64
	// Answered and Failed are the numbers of successful and failed requests.
	Answered int
	Failed   int
	// Slowness is the latency of the server relative to the median of its zone, or 0 if unknown.
	Slowness float64
	// Age is the time since the request that Slowness was measured with.
	Age time.Duration
	// Leaving is true if the server announced that it is leaving.
	Leaving bool
}

// ServerHealth is the combined health of a backend server as observed by the VMs of a zone.
type ServerHealth struct {
	// Server is the hash of the server's key.
	Server uint64
	// Slowness is the latency of the server relative to the median of its zone, at least 1.
	Slowness float64
	// Failures is the fraction of failed requests, 0 to 1.
	Failures float64
	// Age is the time since the last request that contributed.
	Age time.Duration
	// Leaving is true if the server announced that it is leaving. The other fields may be unknown then: Slowness 1, Failures 0.
	Leaving bool
}

// zoneState combines the observations of the zone's VMs about a server. Its times are on the clock of this VM.
type zoneState struct {
	slowness      float64
	slownessAt    time.Time
	failureRate   float64
	failureRateAt time.Time
	// answered and failed are decayed numbers of requests.
	answered float64
	failed   float64
}

// ensureZoneState returns the state for the hash of a server key and creates it if necessary.
func (b *Balancer) ensureZoneState(server uint64) *zoneState {
	z, ok := b.zoneHealth[server]
	if !ok {
		z = &zoneState{}
		b.zoneHealth[server] = z
	}
	return z
}

// zoneStateOf returns a copy of the state for the hash of a server key, or the zero value if there is none.
func (b *Balancer) zoneStateOf(server uint64) zoneState {
	if z, ok := b.zoneHealth[server]; ok {
		return *z
	}
	return zoneState{}
}

// expireZoneStates removes states that are older than maxHealthAge.
func (b *Balancer) expireZoneStates(now time.Time) {
	maps.DeleteFunc(b.zoneHealth, func(_ uint64, z *zoneState) bool {
		return now.Sub(z.updatedAt()) > maxHealthAge
	})
}

// updatedAt returns the time of the last request that contributed.
func (z zoneState) updatedAt() time.Time {
	if z.slownessAt.After(z.failureRateAt) {
		return z.slownessAt
	}
	return z.failureRateAt
}

// degraded reports whether the server is slow or failing enough to be reported to the VMs of the zone.
func (z zoneState) degraded() bool {
	return z.slowness >= reportedSlowness || z.failureRate >= reportedFailureRate
}

// recordResults adds results to the failure rate. The rate assumes one additional success, so that a single failure does not look
// like a server that always fails.
func (z *zoneState) recordResults(answered, failed int, now time.Time) {
	keep := decay(now.Sub(z.failureRateAt))
	z.answered = keep*z.answered + float64(answered)
	z.failed = keep*z.failed + float64(failed)
	z.failureRate = z.failed / (z.answered + z.failed + 1)
	z.failureRateAt = now
}

// recordSlowness adds the latency of a request, relative to the median of the zone.
func (s *serverState) recordSlowness(ratio float64, now time.Time) {
	if s.slowness == 0 {
		s.slowness = 1
	}
	s.slowness += slownessWeight * (ratio - s.slowness)
	s.slownessAt = now
}

// currentSlowness returns the slowness that this VM has measured and the time of the measurement. It includes the oldest running
// request if that has stalled.
func (b *Balancer) currentSlowness(s *serverState, now time.Time) (slowness float64, at time.Time) {
	slowness, at = s.slowness, s.slownessAt
	if len(s.attempts) == 0 {
		return slowness, at
	}
	oldest := s.attempts[0]
	median, ok := b.route(oldest.route).zoneMedians[oldest.endpoint.Zone]
	if age := now.Sub(oldest.sentAt); ok && stalled(age, median.value) {
		return max(slowness, float64(age)/float64(median.value)), now
	}
	return slowness, at
}

// TakeObservations returns this VM's new observations of servers that are slow or failing, or that the zone considers so. Each
// observation is returned only once.
func (b *Balancer) TakeObservations(now time.Time) []Observation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.takeObservations(now)
}

func (b *Balancer) takeObservations(now time.Time) []Observation {
	var list []Observation
	reported := map[uint64]*serverState{}
	for _, s := range b.servers {
		slowness, at := b.currentSlowness(s, now)
		fresh := at.After(s.reportedAt)
		if s.unreportedFailures == 0 && !b.zoneStateOf(s.hash).degraded() && (slowness < reportedSlowness || !fresh) {
			continue
		}
		if s.unreportedSuccesses+s.unreportedFailures == 0 && !fresh {
			continue
		}
		o := Observation{
			Server:   s.hash,
			Answered: s.unreportedSuccesses,
			Failed:   s.unreportedFailures,
		}
		if fresh {
			o.Slowness = slowness
			o.Age = now.Sub(at)
		}
		list = append(list, o)
		reported[o.Server] = s
	}
	for server, d := range b.departures {
		if !d.unreported {
			continue
		}
		i := slices.IndexFunc(list, func(o Observation) bool { return o.Server == server })
		if i < 0 {
			list = append(list, Observation{
				Server: server,
			})
			i = len(list) - 1
		}
		list[i].Leaving = true
	}
	slices.SortFunc(list, func(x, y Observation) int {
		return cmp.Or(compareLeaving(x.Leaving, y.Leaving), cmp.Compare(y.Failed, x.Failed), cmp.Compare(y.Slowness, x.Slowness))
	})
	list = list[:min(len(list), maxHealthEntries)]
	for _, o := range list {
		if d, ok := b.departures[o.Server]; ok {
			d.unreported = false
		}
		if s, ok := reported[o.Server]; ok {
			s.unreportedSuccesses, s.unreportedFailures = 0, 0
			s.reportedAt = now
		}
	}
	return list
}

// ReturnObservations takes back observations that did not reach another VM. Departures are told again; the others are out of date soon.
func (b *Balancer) ReturnObservations(list []Observation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range list {
		if d, ok := b.departures[o.Server]; ok && o.Leaving {
			d.unreported = true
		}
	}
}

// compareLeaving orders servers that are leaving before others, so that a full message does not omit them.
func compareLeaving(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	default:
		return 1
	}
}

// AddObservations adds the observations of another VM in the zone.
func (b *Balancer) AddObservations(list []Observation, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addObservations(list, now)
}

func (b *Balancer) addObservations(list []Observation, now time.Time) {
	for _, o := range list[:min(len(list), maxHealthEntries)] {
		if o.Leaving {
			b.recordDeparture(o.Server, false, now)
		}
		z := b.ensureZoneState(o.Server)
		if o.Answered+o.Failed > 0 {
			z.recordResults(max(o.Answered, 0), max(o.Failed, 0), now)
		}
		if at := now.Add(-o.Age); o.Slowness > 0 && o.Age >= 0 && at.After(z.slownessAt) {
			z.slowness = o.Slowness
			z.slownessAt = at
		}
	}
}

// ZoneHealth adds this VM's own observations and returns the combined health of the servers that are slow or failing, or were so
// within maxHealthAge, and the departures that have become known since the receiver was told at the time toldAt, the zero time if it was
// told nothing yet.
func (b *Balancer) ZoneHealth(toldAt, now time.Time) []ServerHealth {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addObservations(b.takeObservations(now), now)
	b.expireZoneStates(now)
	list := make([]ServerHealth, 0, len(b.zoneHealth))
	for server, z := range b.zoneHealth {
		list = append(list, ServerHealth{
			Server:   server,
			Slowness: max(z.slowness, 1),
			Failures: z.failureRate,
			Age:      max(now.Sub(z.updatedAt()), 0),
		})
	}
	list = b.markDepartures(list, toldAt, now)
	slices.SortFunc(list, func(x, y ServerHealth) int {
		return cmp.Or(compareLeaving(x.Leaving, y.Leaving), cmp.Compare(y.Failures, x.Failures), cmp.Compare(y.Slowness, x.Slowness))
	})
	return list[:min(len(list), maxHealthEntries)]
}

// markDepartures sets Leaving for the servers whose departure has become known since maxHealthAge before toldAt, and adds those that list
// does not contain. VMs that exchange observations receive each departure several times.
func (b *Balancer) markDepartures(list []ServerHealth, toldAt, now time.Time) []ServerHealth {
	recent := map[uint64]*departure{}
	for server, d := range b.departures {
		if toldAt.Sub(d.since) <= maxHealthAge {
			recent[server] = d
		}
	}
	for i := range list {
		_, list[i].Leaving = recent[list[i].Server]
		delete(recent, list[i].Server)
	}
	for server, d := range recent {
		list = append(list, ServerHealth{
			Server:   server,
			Slowness: 1,
			Age:      now.Sub(d.since),
			Leaving:  true,
		})
	}
	return list
}

// ApplyZoneHealth replaces older states by the health that the VM collecting the observations of the zone has sent.
func (b *Balancer) ApplyZoneHealth(list []ServerHealth, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireZoneStates(now)
	for _, h := range list[:min(len(list), maxHealthEntries)] {
		if h.Leaving {
			b.recordDeparture(h.Server, false, now)
		}
		z := b.ensureZoneState(h.Server)
		at := now.Add(-h.Age)
		if h.Age < 0 || h.Age > maxHealthAge || math.IsNaN(h.Slowness) || math.IsNaN(h.Failures) || !at.After(z.updatedAt()) {
			continue
		}
		*z = zoneState{
			slowness:      max(h.Slowness, 1),
			slownessAt:    at,
			failureRate:   min(max(h.Failures, 0), 1),
			failureRateAt: at,
		}
	}
}
