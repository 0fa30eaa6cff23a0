// Package balancer tracks the latency, failures and load of backend servers by the requests that this VM sends them, and
// chooses the server that is expected to answer first.
package balancer

import (
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/discoverer"
)

const (
	// sampleWeight is the weight of a new latency in the smoothed one.
	sampleWeight = 0.2
	// memory is the age at which half of a server's own latency and failures is forgotten, so that a server that was slow is
	// tried again.
	memory = 1500 * time.Millisecond
	// stallFactor times the usual latency of the route without an answer makes a server count as stalled.
	stallFactor = 3
	// stallLeast keeps short delays of the network from counting as a stall.
	stallLeast = 25 * time.Millisecond
	// reportAge bounds the use of a load report; queues of a few requests change faster.
	reportAge = 300 * time.Millisecond
	// sameRegion and otherRegion are the assumed extra latencies of a zone that has not been measured.
	sameRegion  = 2 * time.Millisecond
	otherRegion = 20 * time.Millisecond
	// firstLatency is assumed on a route without answers and without a target.
	firstLatency = 30 * time.Millisecond
	// failurePenalty is added to the expected latency of a server whose requests all fail.
	failurePenalty = 400 * time.Millisecond
	// lapsedPenalty keeps servers without an entry behind the others of their shard.
	lapsedPenalty = 30 * time.Millisecond
	// outsidePenalty keeps a VM to its replicas unless they are slow or fail: as long as a server's reset of a connection over its
	// cap costs the request, a round trip between regions and another try.
	outsidePenalty = 60 * time.Millisecond
	// regionPenalty keeps requests in the region as long as its servers are about as fast, because bytes between regions are paid for.
	regionPenalty = 15 * time.Millisecond
	// coldFactor is how much slower a cold server is assumed to be.
	coldFactor = 1.5
	// occupancyFactor is the share of its latency that a server with all slots busy loses to contention.
	occupancyFactor = 0.3
	// silenceTime is the time without an answer from a zone, and silentServers the number of its servers that could not be reached,
	// from which on the zone counts as silent. Requests to a zone are some 10 ms apart, and one server may fail at any time.
	silenceTime   = 500 * time.Millisecond
	silentServers = 3
	// holdMin and holdMax bound the time without requests after a server could not be reached.
	holdMin = 250 * time.Millisecond
	holdMax = 2 * time.Second
	// tailQuantile is the quantile of the latencies after which a duplicate is worth its cost.
	tailQuantile = 0.95
	// goodQuantile is the quantile that is assumed of zones that have not been measured. Slow servers elsewhere do not move it much.
	goodQuantile = 0.25
	// usualQuantile is the quantile of the latencies of a zone with which its servers are compared.
	usualQuantile = 0.5
	// quantileStep is the least relative step of the estimates of quantiles.
	quantileStep = 0.05
)

// Load is a server's report of its own load.
type Load struct {
	Running int
	Queued  int
	Slots   int
}

// AttemptOutcome is how a request at a server ended.
type AttemptOutcome int

// Endings.
const (
	// Answered is a usable answer.
	Answered AttemptOutcome = iota
	// Failed is an answer that reports a failure, or one that cannot be used.
	Failed
	// Overloaded says that the server did not run the request for want of room.
	Overloaded
	// Misdirected says that another server has the address.
	Misdirected
	// Unreachable says that the server could not be connected to.
	Unreachable
	// TimedOut is the end of the time without an answer.
	TimedOut
	// Cancelled is a request that the caller gave up.
	Cancelled
)

// average is a smoothed latency.
type average struct {
	value time.Duration
	at    time.Time
}

func (a *average) add(d time.Duration, now time.Time) {
	if a.at.IsZero() {
		a.value = d
	} else {
		a.value += time.Duration(sampleWeight * float64(d-a.value))
	}
	a.at = now
}

// state is what is known of one server process.
type state struct {
	// flights are the running requests, oldest first.
	flights []*Attempt
	latency map[string]*average
	// failures is the smoothed share of failed requests, 0 to 1.
	failures float64
	failedAt time.Time
	report   Load
	reportAt time.Time
	// reportOwn is the number of this VM's requests at the time of the report.
	reportOwn int
	hold      time.Duration
	heldUntil time.Time
	// member is the server as it was last used.
	member discoverer.Endpoint
	// probing says that a connection is being tried.
	probing bool
	cold    coldGate
	// slowness is the smoothed latency as a multiple of the usual one, 0 while nothing is known.
	slowness   float64
	slownessAt time.Time
	// answered and failed count the requests that ended since the other VMs of the zone were told.
	answered int
	failed   int
	toldAt   time.Time
	// hash is that of the server's key.
	hash uint64
	// saidBad and saidHeld are what the last Verdict said.
	saidBad  bool
	saidHeld bool
}

// routeState is what is known of a route over all servers.
type routeState struct {
	// zones has the median latency of the servers of each zone. Single slow servers do not move it much.
	zones map[string]*estimate
	// good and tail are quantiles of the latency over all servers.
	good estimate
	tail estimate
}

// Config describes the place of this VM.
type Config struct {
	// Name is that of the VM, unique in the deployment.
	Name   string
	Zone   string
	Region string
}

// Balancer holds the states. Its methods are safe for concurrent use.
type Balancer struct {
	cfg Config

	mu      sync.Mutex
	servers map[discoverer.Key]*state
	routes  map[string]*routeState
	// zone is what the VMs of the zone have seen of servers, by the hashes of their keys.
	zone map[uint64]*zoneState
	// answered is when a server of each zone last answered this VM.
	answered map[string]time.Time
	vms      int
	// held is the number of servers with a hold, and holds gets a value when it has become positive.
	held  int
	holds chan struct{}
}

// New returns a Tracker without knowledge.
func New(cfg Config) *Balancer {
	return &Balancer{
		cfg:      cfg,
		servers:  map[discoverer.Key]*state{},
		routes:   map[string]*routeState{},
		zone:     map[uint64]*zoneState{},
		answered: map[string]time.Time{},
		vms:      1,
		holds:    make(chan struct{}, 1),
	}
}

// Ejections delivers a value when servers begin to get no requests until a connection to them succeeds.
func (t *Balancer) Ejections() <-chan struct{} {
	return t.holds
}

// AnyEjected reports whether there are such servers.
func (t *Balancer) AnyEjected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held > 0
}

// setHold changes how long a server gets no requests, 0 for none.
func (t *Balancer) setHold(s *state, d time.Duration) {
	switch {
	case s.hold == 0 && d > 0:
		t.held++
		select {
		case t.holds <- struct{}{}:
		default:
		}
	case s.hold > 0 && d == 0:
		t.held--
	}
	s.hold = d
}

// SetVMCount sets the number of VMs that share the limits of a server.
func (t *Balancer) SetVMCount(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vms = max(n, 1)
}

func (t *Balancer) server(k discoverer.Key) *state {
	s, ok := t.servers[k]
	if !ok {
		s = &state{
			latency: map[string]*average{},
			hash:    k.Hash(),
		}
		t.servers[k] = s
	}
	return s
}

func (t *Balancer) route(name string) *routeState {
	r, ok := t.routes[name]
	if !ok {
		r = &routeState{
			zones: map[string]*estimate{},
			good: estimate{
				quantile: goodQuantile,
				first:    1,
			},
			tail: estimate{
				quantile: tailQuantile,
				first:    tailStart,
			},
		}
		t.routes[name] = r
	}
	return r
}

// Retain drops the servers and routes that keep denies and that have no running request.
func (t *Balancer) Retain(server func(discoverer.Key) bool, route func(string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, s := range t.servers {
		if len(s.flights) == 0 && !server(k) {
			t.setHold(s, 0)
			delete(t.servers, k)
		}
	}
	for name := range t.routes {
		if !route(name) {
			delete(t.routes, name)
		}
	}
}
