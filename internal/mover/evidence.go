package mover

import (
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/messenger"
)

const (
	// windowLength is the time over which the versions are compared.
	windowLength = 10 * time.Second
	// maxCounters bounds the counters that are kept, one for each application, version, route and VM.
	maxCounters = 65536
)

// series identifies a version on a route.
type series struct {
	application string
	version     string
	route       string
}

// source is a series as one VM counts it.
type source struct {
	series
	vm string
}

// sample is the sum of a series at a time.
type sample struct {
	at     time.Time
	counts Counts
}

// evidence holds the counters of this VM and those received from others.
type evidence struct {
	mu sync.Mutex
	// own are this VM's counters.
	own map[series]Counts
	// latest are the last cumulative counters of each source.
	latest map[source]Counts
	// sums add up what all sources counted; a source that restarts from zero does not lower them.
	sums map[series]Counts
	// history holds at most windowLength of samples, oldest first.
	history map[series][]sample
	// lastWindow is the last window in which a series had enough answers for a comparison up to the window's end.
	lastWindow map[series]Counts
}

func newEvidence() *evidence {
	return &evidence{
		own:        map[series]Counts{},
		latest:     map[source]Counts{},
		sums:       map[series]Counts{},
		history:    map[series][]sample{},
		lastWindow: map[series]Counts{},
	}
}

// observe counts one sub-request of this VM.
func (e *evidence) observe(s series, code classifier.Code, latency, slowAbove time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.own[s]
	if c.Observe(code, latency, slowAbove) {
		e.own[s] = c
	}
}

// Observe counts the end of one request and reports whether it says something about the version.
func (c *Counts) Observe(code classifier.Code, latency, slowAbove time.Duration) bool {
	slow := latency > slowAbove
	if !counts(code, slow) {
		return false
	}
	c.Answers++
	c.LatencySum += latency
	c.LatencySquares += latency.Seconds() * latency.Seconds()
	switch code {
	case classifier.OK, classifier.Partial, classifier.Cancelled, classifier.Timeout:
		if slow {
			c.Slow++
		}
	case classifier.Crashed:
		c.Crashes++
		c.Failures++
	default:
		c.Failures++
	}
	return true
}

// counts reports whether an outcome says something about the version. A refusal does not. A sub-request that was cancelled or
// timed out does when the server had it for long: hedges and deadlines end the slow answers of a slow version, but also those
// that reached a sound server late.
func counts(code classifier.Code, slow bool) bool {
	switch code {
	case classifier.OK, classifier.Partial, classifier.Crashed, classifier.BackendFailed, classifier.ConnectionReset,
		classifier.BadAnswer:
		return true
	case classifier.Cancelled, classifier.Timeout:
		return slow
	default:
		return false
	}
}

// receive takes the cumulative counters of a source. Counters that fell belong to a restarted VM and count in full.
func (e *evidence) receive(src source, c Counts) {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, known := e.latest[src]
	if !known && len(e.latest) >= maxCounters {
		return
	}
	delta := c
	if known && c.Answers >= last.Answers {
		delta = c.minus(last)
	}
	e.latest[src] = c
	e.sums[src.series] = e.sums[src.series].Add(delta)
}

// snapshotOwn returns a copy of this VM's counters of an application.
func (e *evidence) snapshotOwn(application string) map[series]Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	own := map[series]Counts{}
	for s, c := range e.own {
		if s.application == application {
			own[s] = c
		}
	}
	return own
}

// sample stores the current sums, so that later windows can be cut.
func (e *evidence) sample(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s, c := range e.sums {
		h := e.history[s]
		if len(h) == 0 {
			h = []sample{{
				at: now,
			}}
		}
		h = append(h, sample{
			at:     now,
			counts: c,
		})
		for len(h) > 1 && now.Sub(h[1].at) >= windowLength {
			h = h[1:]
		}
		e.history[s] = h
		if w := c.minus(h[0].counts); w.Answers >= minWindowAnswers && isSteady(h, w) {
			e.lastWindow[s] = w
		}
	}
}

// isSteady reports whether the latest sample adds at least half of the mean of its window. When a version loses its queries, its
// window runs empty within windowLength, and what is left would be too small to compare with.
func isSteady(h []sample, window Counts) bool {
	latest := h[len(h)-1].counts.Answers - h[len(h)-2].counts.Answers
	return 2*latest*uint64(len(h)-1) >= window.Answers
}

// compare returns the evidence of a move for every route on which either version had answers.
func (e *evidence) compare(application, from, to string) []RouteEvidence {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []RouteEvidence
	for s := range e.sums {
		if s.application != application || (s.version != from && s.version != to) {
			continue
		}
		if s.version == to && e.hasOther(s, from) {
			continue
		}
		fresh, old := s, s
		fresh.version, old.version = to, from
		all = append(all, RouteEvidence{
			Route:     s.route,
			NewTotal:  e.sums[fresh],
			NewWindow: e.window(fresh),
			OldWindow: e.lastWindow[old],
		})
	}
	return all
}

func (e *evidence) hasOther(s series, version string) bool {
	s.version = version
	_, ok := e.sums[s]
	return ok
}

func (e *evidence) window(s series) Counts {
	h := e.history[s]
	if len(h) == 0 {
		return Counts{}
	}
	return e.sums[s].minus(h[0].counts)
}

// forget drops the counters of applications that have no move.
func (e *evidence) forget(keep func(application string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.sums {
		if !keep(s.application) {
			delete(e.sums, s)
			delete(e.history, s)
			delete(e.lastWindow, s)
		}
	}
	for src := range e.latest {
		if !keep(src.application) {
			delete(e.latest, src)
		}
	}
	for s := range e.own {
		if !keep(s.application) {
			delete(e.own, s)
		}
	}
}

// CountsFromRecord returns the counters of a message.
func CountsFromRecord(r messenger.VersionStatsRecord) Counts {
	return Counts{
		Answers:        r.Answers,
		Failures:       r.Failures,
		Crashes:        r.Crashes,
		Slow:           r.Slow,
		LatencySum:     r.LatencySum,
		LatencySquares: r.LatencySquares,
	}
}

// current returns the last counters received from a source.
func (e *evidence) current(src source) Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latest[src]
}

// Record returns the counters as a message.
func (c Counts) Record(application, version, route string) messenger.VersionStatsRecord {
	return messenger.VersionStatsRecord{
		Application:    application,
		Version:        version,
		Route:          route,
		Answers:        c.Answers,
		Failures:       c.Failures,
		Crashes:        c.Crashes,
		LatencySum:     c.LatencySum,
		LatencySquares: c.LatencySquares,
		Slow:           c.Slow,
	}
}
