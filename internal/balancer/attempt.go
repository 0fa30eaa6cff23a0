package balancer

import (
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/discoverer"
)

// Attempt is one request that runs at a server.
type Attempt struct {
	tracker *Balancer
	member  discoverer.Endpoint
	route   string
	sent    time.Time
}

// Begin notes that a request is sent. The flight must end.
func (t *Balancer) Begin(m discoverer.Endpoint, route string, now time.Time) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(m.Key())
	f := &Attempt{
		tracker: t,
		member:  m,
		route:   route,
		sent:    now,
	}
	s.flights = append(s.flights, f)
	s.member = m
	s.cold.take(now)
	return f
}

// AttemptResult is what a server said when a request ended.
type AttemptResult struct {
	Outcome AttemptOutcome
	// Load is nil when the server reports none.
	Load *Load
}

// End notes the end of the request.
func (f *Attempt) End(r AttemptResult, now time.Time) {
	t := f.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(f.member.Key())
	s.member = f.member
	if i := slices.Index(s.flights, f); i >= 0 {
		s.flights = slices.Delete(s.flights, i, i+1)
	}
	if r.Load != nil {
		s.report = *r.Load
		s.reportAt = now
		s.reportOwn = len(s.flights)
	}
	switch r.Outcome {
	case Answered:
		t.answered[f.member.Zone] = now
		t.setHold(s, 0)
		s.fail(0, now)
		s.answered++
		t.measure(s, f, now)
	case Failed:
		s.fail(1, now)
		s.failed++
	case Overloaded:
		t.answered[f.member.Zone] = now
		t.setHold(s, 0)
		s.fail(refusalWeight, now)
	case Misdirected, Unreachable, TimedOut:
		s.fail(1, now)
		s.failed++
		t.extend(s, now)
	case Cancelled:
	}
}

// extend keeps requests from the server until a connection to it succeeds.
func (t *Balancer) extend(s *state, now time.Time) {
	if now.Before(s.heldUntil) {
		return
	}
	t.setHold(s, min(max(holdMin, 2*s.hold), holdMax))
	s.heldUntil = now.Add(s.hold)
}

// ProbesDue returns the servers without requests to which a connection is to be tried now. Probed has to follow for each.
func (t *Balancer) ProbesDue(now time.Time) []discoverer.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []discoverer.Endpoint
	for _, s := range t.servers {
		if s.hold > 0 && !s.probing && !now.Before(s.heldUntil) {
			s.probing = true
			due = append(due, s.member)
		}
	}
	return due
}

// RecordProbe notes whether a connection to the server succeeded.
func (t *Balancer) RecordProbe(m discoverer.Endpoint, ok bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.servers[m.Key()]
	if !known {
		return
	}
	s.probing = false
	if ok {
		t.answered[m.Zone] = now
		t.setHold(s, 0)
		return
	}
	t.extend(s, now)
}

// refusalWeight is what a refusal counts for as a failure: the next request may find room.
const refusalWeight = 0.5

func (s *state) fail(x float64, now time.Time) {
	s.failures *= fade(now.Sub(s.failedAt))
	s.failures += sampleWeight * (x - s.failures)
	s.failedAt = now
}

// measure adds the latency of an answered request.
func (t *Balancer) measure(s *state, f *Attempt, now time.Time) {
	d := now.Sub(f.sent)
	l, ok := s.latency[f.route]
	if !ok {
		l = &average{}
		s.latency[f.route] = l
	}
	l.add(d, now)
	r := t.route(f.route)
	z, ok := r.zones[f.member.Zone]
	if !ok {
		z = &estimate{
			quantile: usualQuantile,
			first:    1,
		}
		r.zones[f.member.Zone] = z
	}
	z.add(d)
	r.tail.add(d)
	r.good.add(d)
	s.compare(float64(d)/float64(z.value), now)
}

// tailStart is the first estimate of the tail as a multiple of the first latency.
const tailStart = 2

// estimate follows a quantile of latencies.
type estimate struct {
	quantile float64
	// first is the first value as a multiple of the first latency.
	first time.Duration
	// value is 0 while nothing is known.
	value time.Duration
	count int
}

// add moves the value by a step that balances at the quantile: up for latencies above it, down for those below. The steps become
// smaller with the number of latencies.
func (e *estimate) add(d time.Duration) {
	e.count++
	if e.value == 0 {
		e.value = e.first * d
		return
	}
	step := max(quantileStep, 1/float64(e.count)) * float64(e.value)
	if d > e.value {
		e.value += time.Duration(step * e.quantile)
	} else {
		e.value -= time.Duration(step * (1 - e.quantile))
	}
}

// coldGate spreads the requests to a cold server evenly over time.
type coldGate struct {
	last time.Time
}

// open reports whether a request may follow the last one at a rate in requests a second.
func (g *coldGate) open(now time.Time, rate float64) bool {
	return now.Sub(g.last) >= time.Duration(float64(time.Second)/rate)
}

func (g *coldGate) take(now time.Time) {
	g.last = now
}

// RunningOnOtherVersions returns the number of requests that run at servers of a service whose version is not the given one.
func (t *Balancer) RunningOnOtherVersions(service, version string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.servers {
		if len(s.flights) > 0 && s.member.Service == service && s.member.Version != version {
			n += len(s.flights)
		}
	}
	return n
}
