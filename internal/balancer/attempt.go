package balancer

import (
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/discoverer"
)

// Attempt is a request that is running at a server.
type Attempt struct {
	balancer *Balancer
	endpoint discoverer.Endpoint
	route    string
	sentAt   time.Time
}

// Begin records the start of a request. The caller must call End on the returned Attempt.
func (b *Balancer) Begin(e discoverer.Endpoint, route string, now time.Time) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server(e.Key())
	a := &Attempt{
		balancer: b,
		endpoint: e,
		route:    route,
		sentAt:   now,
	}
	s.attempts = append(s.attempts, a)
	s.endpoint = e
	s.cold.record(now)
	return a
}

// AttemptResult is the result of a request and the load report that came with the answer.
type AttemptResult struct {
	Outcome AttemptOutcome
	// Load is nil if the server does not report its load.
	Load *Load
	// Leaving is true if the server announced that it is leaving.
	Leaving bool
	// RetryAfter is the time for which the server asked for no requests from this VM, or 0.
	RetryAfter time.Duration
}

// End records the result of the request, which then no longer counts as running.
func (a *Attempt) End(r AttemptResult, now time.Time) {
	b := a.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server(a.endpoint.Key())
	s.endpoint = a.endpoint
	if i := slices.Index(s.attempts, a); i >= 0 {
		s.attempts = slices.Delete(s.attempts, i, i+1)
	}
	if r.Load != nil {
		s.loadReport = *r.Load
		s.loadReportAt = now
		s.ownRunningAtReport = len(s.attempts)
	}
	if r.Leaving {
		b.recordDeparture(s.hash, true, now)
	}
	if r.RetryAfter > 0 {
		s.recordPause(r.RetryAfter, now)
	}
	switch r.Outcome {
	case Answered:
		b.lastAnswers[a.endpoint.Zone] = now
		b.setEjection(s, 0)
		s.recordFailureSample(0, now)
		s.unreportedSuccesses++
		b.recordLatency(s, a, now)
	case Failed:
		s.recordFailureSample(1, now)
		s.unreportedFailures++
	case Overloaded:
		b.lastAnswers[a.endpoint.Zone] = now
		b.setEjection(s, 0)
		s.recordFailureSample(overloadFailureWeight, now)
	case Misdirected, Unreachable, TimedOut:
		s.recordFailureSample(1, now)
		s.unreportedFailures++
		b.extendEjection(s, now)
	case Cancelled:
	}
}

// extendEjection ejects the server, or doubles its ejection up to maxEjection if it is ejected already. It has no effect before
// the next probe is due.
func (b *Balancer) extendEjection(s *serverState, now time.Time) {
	if now.Before(s.probeAt) {
		return
	}
	b.setEjection(s, min(max(minEjection, 2*s.ejection), maxEjection))
	s.probeAt = now.Add(s.ejection)
}

// ProbesDue returns the ejected servers that are due for a probe connection. The caller must call RecordProbe for each of them.
func (b *Balancer) ProbesDue(now time.Time) []discoverer.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []discoverer.Endpoint
	for _, s := range b.servers {
		if s.ejection > 0 && !s.probing && !now.Before(s.probeAt) {
			s.probing = true
			due = append(due, s.endpoint)
		}
	}
	return due
}

// RecordProbe records whether a probe connection to the server succeeded. A success ends the ejection.
func (b *Balancer) RecordProbe(e discoverer.Endpoint, ok bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, known := b.servers[e.Key()]
	if !known {
		return
	}
	// The state has no endpoint if Retain has removed the server and Select has created it again since ProbesDue.
	s.endpoint = e
	s.probing = false
	if ok {
		b.lastAnswers[e.Zone] = now
		b.setEjection(s, 0)
		return
	}
	b.extendEjection(s, now)
}

// overloadFailureWeight counts a rejected request as half a failure, because the server may have capacity for the next request.
const overloadFailureWeight = 0.5

func (s *serverState) recordFailureSample(sample float64, now time.Time) {
	s.failureRate *= decay(now.Sub(s.failureRateAt))
	s.failureRate += sampleWeight * (sample - s.failureRate)
	s.failureRateAt = now
}

// recordLatency adds the latency of an answered request to the estimates of the server, its zone and the route.
func (b *Balancer) recordLatency(s *serverState, a *Attempt, now time.Time) {
	d := now.Sub(a.sentAt)
	l, ok := s.latency[a.route]
	if !ok {
		l = &smoothedLatency{}
		s.latency[a.route] = l
	}
	l.add(d, now)
	r := b.route(a.route)
	median, ok := r.zoneMedians[a.endpoint.Zone]
	if !ok {
		median = &quantileEstimate{
			quantile:      baselineQuantile,
			initialFactor: 1,
		}
		r.zoneMedians[a.endpoint.Zone] = median
	}
	median.add(d)
	r.tail.add(d)
	r.lowQuantile.add(d)
	s.recordSlowness(float64(d)/float64(median.value), now)
}

// initialTailFactor is the first estimate of the tail latency as a multiple of the first latency.
const initialTailFactor = 2

// quantileEstimate is a running estimate of a quantile of latencies.
type quantileEstimate struct {
	quantile float64
	// initialFactor is the first estimate as a multiple of the first latency.
	initialFactor time.Duration
	// value is 0 before the first latency.
	value time.Duration
	count int
}

// add moves the estimate up if the latency is above it and down otherwise. The steps up and down cancel out at the quantile, and
// become smaller as the number of latencies grows.
func (e *quantileEstimate) add(d time.Duration) {
	e.count++
	if e.value == 0 {
		e.value = e.initialFactor * d
		return
	}
	step := max(minQuantileStep, 1/float64(e.count)) * float64(e.value)
	if d > e.value {
		e.value += time.Duration(step * e.quantile)
	} else {
		e.value -= time.Duration(step * (1 - e.quantile))
	}
}

// coldLimiter spaces the requests to a cold server evenly.
type coldLimiter struct {
	lastSent time.Time
}

// allow reports whether another request is within the rate, in requests per second.
func (l *coldLimiter) allow(now time.Time, rate float64) bool {
	return now.Sub(l.lastSent) >= time.Duration(float64(time.Second)/rate)
}

func (l *coldLimiter) record(now time.Time) {
	l.lastSent = now
}

// RunningOnOtherVersions returns the number of requests running at servers of the service whose version differs from the given
// one.
func (b *Balancer) RunningOnOtherVersions(service, version string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.servers {
		if len(s.attempts) > 0 && s.endpoint.Service == service && s.endpoint.Version != version {
			n += len(s.attempts)
		}
	}
	return n
}
