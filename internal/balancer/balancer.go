// Package balancer selects backend servers for requests. It measures the latency, failures and load of each server from this VM's
// own requests, combines them with the observations of the other VMs in the zone, and selects the server with the lowest expected
// latency.
package balancer

import (
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/discoverer"
)

const (
	// sampleWeight is the weight of a new sample in an exponentially smoothed latency or failure rate.
	sampleWeight = 0.2
	// decayHalfLife is the half-life of a server's measured latency and failures. The decay lets a server that was slow receive
	// requests again.
	decayHalfLife = 1500 * time.Millisecond
	// stallFactor is the multiple of the route's baseline latency without an answer from which a server counts as stalled.
	stallFactor = 3
	// minStallAge prevents short network delays from counting as a stall.
	minStallAge = 25 * time.Millisecond
	// maxLoadReportAge limits the use of a load report. A queue of a few requests changes within this time.
	maxLoadReportAge = 300 * time.Millisecond
	// sameRegionLatency and otherRegionLatency are the assumed additional latencies of servers in a zone that has not been
	// measured.
	sameRegionLatency  = 2 * time.Millisecond
	otherRegionLatency = 20 * time.Millisecond
	// defaultLatency is assumed on a route without measured latencies, unless a quarter of its target latency is lower.
	defaultLatency = 30 * time.Millisecond
	// failurePenalty is added to the expected latency of a server with a failure rate of 1. It is scaled by the failure rate.
	failurePenalty = 400 * time.Millisecond
	// lapsedPenalty ranks servers whose registration has lapsed below the other servers of their shard.
	lapsedPenalty = 30 * time.Millisecond
	// unassignedPenalty makes a VM use its assigned replicas unless they are slow or fail. It equals the time that a request loses
	// when a server resets a connection beyond its limit: a round trip between regions and another attempt.
	unassignedPenalty = 60 * time.Millisecond
	// regionPenalty keeps requests in the region unless its servers are clearly slower, because traffic between regions is
	// billed.
	regionPenalty = 15 * time.Millisecond
	// coldLatencyFactor is the assumed latency of a cold server relative to a warm one.
	coldLatencyFactor = 1.5
	// occupancyFactor is the relative increase in latency that contention causes on a server with all slots occupied.
	occupancyFactor = 0.3
	// A zone counts as unreachable if it has not answered for unreachableZoneTimeout and at least unreachableZoneServers of its
	// servers are ejected. Requests to a zone are about 10 ms apart, and a single server may fail at any time.
	unreachableZoneTimeout = 500 * time.Millisecond
	unreachableZoneServers = 3
	// minEjection and maxEjection limit how long a server gets no requests before it is probed again.
	minEjection = 250 * time.Millisecond
	maxEjection = 2 * time.Second
	// tailQuantile is the quantile of the latencies after which a hedge is worth its cost.
	tailQuantile = 0.95
	// unmeasuredZoneQuantile is the quantile of a route's latencies that is assumed for zones that have not been measured. Slow
	// servers in other zones have little influence on it.
	unmeasuredZoneQuantile = 0.25
	// baselineQuantile is the quantile of a zone's latencies to which its servers are compared.
	baselineQuantile = 0.5
	// minQuantileStep is the smallest relative step of the quantile estimates.
	minQuantileStep = 0.05
)

// Load is the load that a server reports in its answers, as numbers of requests and of slots.
type Load struct {
	Running int
	Queued  int
	Slots   int
}

// AttemptOutcome is the result of a request to a server.
type AttemptOutcome int

// Possible outcomes of an attempt.
const (
	// Answered means that the server returned a usable answer.
	Answered AttemptOutcome = iota
	// Failed means that the server returned an error or an unusable answer, or that the connection failed after the request was
	// sent.
	Failed
	// Overloaded means that the server rejected the request without running it.
	Overloaded
	// Misdirected means that the address now belongs to a different server.
	Misdirected
	// Unreachable means that the connection to the server could not be established.
	Unreachable
	// TimedOut means that no answer arrived before the deadline.
	TimedOut
	// Cancelled means that the caller cancelled the request.
	Cancelled
)

// smoothedLatency is an exponentially smoothed latency and the time of its last sample.
type smoothedLatency struct {
	value time.Duration
	at    time.Time
}

func (l *smoothedLatency) add(d time.Duration, now time.Time) {
	if l.at.IsZero() {
		l.value = d
	} else {
		l.value += time.Duration(sampleWeight * float64(d-l.value))
	}
	l.at = now
}

// serverState is the state of one server process.
type serverState struct {
	// attempts are the running requests, oldest first.
	attempts []*Attempt
	latency  map[string]*smoothedLatency
	// failureRate is the smoothed fraction of failed requests, 0 to 1, as of failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	loadReport    Load
	loadReportAt  time.Time
	// ownRunningAtReport is the number of this VM's requests that were running at the server when loadReport arrived.
	ownRunningAtReport int
	// ejection is the time between two probes of an ejected server, or 0 if the server is not ejected. The next probe is due at
	// probeAt.
	ejection time.Duration
	probeAt  time.Time
	// endpoint is the server as it was passed to the last attempt.
	endpoint discoverer.Endpoint
	// probing is true while a probe connection is in progress.
	probing bool
	cold    coldLimiter
	// pausedUntil is the end of the time for which the server has asked for no requests from this VM.
	pausedUntil time.Time
	// slowness is the smoothed latency relative to the baseline of the zone, or 0 if unknown.
	slowness   float64
	slownessAt time.Time
	// unreportedSuccesses and unreportedFailures count the requests that were answered or failed since reportedAt, the time of the
	// last observation that was taken by TakeObservations or ZoneHealth.
	unreportedSuccesses int
	unreportedFailures  int
	reportedAt          time.Time
	// hash is the hash of the server's key.
	hash uint64
	// lastChange contains the values that the last HealthChange reported.
	lastChange healthFlags
}

// routeState is the state of a route over all servers.
type routeState struct {
	// zoneMedians contains the median latency per zone. A single slow server has little influence on a median.
	zoneMedians map[string]*quantileEstimate
	// lowQuantile estimates the quantile unmeasuredZoneQuantile and tail the quantile tailQuantile of the latency over all servers.
	lowQuantile quantileEstimate
	tail        quantileEstimate
}

// Config identifies this VM and its location.
type Config struct {
	// Name is unique in the deployment.
	Name   string
	Zone   string
	Region string
	// DepartureGrace is how long a server that is leaving may get requests if no other server is available. It is shorter than the
	// time for which such a server continues to serve.
	DepartureGrace time.Duration
}

// Balancer tracks servers and selects among them. Its methods are safe for concurrent use.
type Balancer struct {
	cfg Config

	mu      sync.Mutex
	servers map[discoverer.Key]*serverState
	routes  map[string]*routeState
	// zoneHealth contains the combined observations of the zone's VMs, by the hash of the server key.
	zoneHealth map[uint64]*zoneState
	// departures contains the servers that are leaving, by the hash of the server key.
	departures map[uint64]*departure
	// lastAnswers is the time at which a server of each zone last answered this VM, which includes overload rejections and
	// successful probe connections.
	lastAnswers map[string]time.Time
	vms         int
	// ejected is the number of ejected servers. ejections receives a value when a server is ejected; at most one is
	// pending.
	ejected   int
	ejections chan struct{}
}

// New returns a Balancer without measurements.
func New(cfg Config) *Balancer {
	return &Balancer{
		cfg:         cfg,
		servers:     map[discoverer.Key]*serverState{},
		routes:      map[string]*routeState{},
		zoneHealth:  map[uint64]*zoneState{},
		departures:  map[uint64]*departure{},
		lastAnswers: map[string]time.Time{},
		vms:         1,
		ejections:   make(chan struct{}, 1),
	}
}

// Ejections delivers a value when a server is ejected. An ejected server gets no requests until a connection to it succeeds.
func (b *Balancer) Ejections() <-chan struct{} {
	return b.ejections
}

// AnyEjected reports whether any server is ejected.
func (b *Balancer) AnyEjected() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ejected > 0
}

// setEjection sets the time for which a server gets no requests before it is probed. Zero ends the ejection.
func (b *Balancer) setEjection(s *serverState, d time.Duration) {
	switch {
	case s.ejection == 0 && d > 0:
		b.ejected++
		select {
		case b.ejections <- struct{}{}:
		default:
		}
	case s.ejection > 0 && d == 0:
		b.ejected--
	}
	s.ejection = d
}

// SetVMCount sets the number of VMs that share the connection and rate limits of a server.
func (b *Balancer) SetVMCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = max(n, 1)
}

func (b *Balancer) server(k discoverer.Key) *serverState {
	s, ok := b.servers[k]
	if !ok {
		s = &serverState{
			latency: map[string]*smoothedLatency{},
			hash:    k.Hash(),
		}
		b.servers[k] = s
	}
	return s
}

func (b *Balancer) route(name string) *routeState {
	r, ok := b.routes[name]
	if !ok {
		r = &routeState{
			zoneMedians: map[string]*quantileEstimate{},
			lowQuantile: quantileEstimate{
				quantile:      unmeasuredZoneQuantile,
				initialFactor: 1,
			},
			tail: quantileEstimate{
				quantile:      tailQuantile,
				initialFactor: initialTailFactor,
			},
		}
		b.routes[name] = r
	}
	return r
}

// Retain removes routes and idle servers for which the given functions return false. Servers with running requests are kept, and
// servers that have asked for no requests until that time is over, because their entries may return.
func (b *Balancer) Retain(server func(discoverer.Key) bool, route func(string) bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireDepartures(now)
	for k, s := range b.servers {
		if len(s.attempts) == 0 && !s.pausedUntil.After(now) && !server(k) {
			b.setEjection(s, 0)
			delete(b.servers, k)
		}
	}
	for name := range b.routes {
		if !route(name) {
			delete(b.routes, name)
		}
	}
}
