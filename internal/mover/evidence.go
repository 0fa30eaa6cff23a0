package mover

import (
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/messenger"
)

const (
	// windowLength is the duration of the window over which the versions are compared.
	windowLength = 10 * time.Second
	// maxSources limits the number of sources: combinations of application, version, route and VM.
	maxSources = 65536
)

// series identifies a version of an application on a route.
type series struct {
	application string
	version     string
	route       string
}

// source identifies the counters of one VM for a series.
type source struct {
	series
	vm string
}

// sample contains the counters of a series, summed over all VMs, at a point in time.
type sample struct {
	at     time.Time
	counts Counts
}

// evidenceStore contains the counters of this VM and those received from other VMs. Its methods are safe for concurrent use
// except hasVersion and window, whose caller must hold mu.
type evidenceStore struct {
	mu sync.Mutex
	// local contains the counters of this VM.
	local map[series]Counts
	// latest contains the last cumulative counters of each source.
	latest map[source]Counts
	// sums contains the counters summed over all sources. The sums do not decrease when a source restarts from zero.
	sums map[series]Counts
	// history contains the samples of the last windowLength, oldest first.
	history map[series][]sample
	// lastFullWindow contains the last window in which a series received enough answers for a comparison, up to the window's
	// end.
	lastFullWindow map[series]Counts
}

func newEvidenceStore() *evidenceStore {
	return &evidenceStore{
		local:          map[series]Counts{},
		latest:         map[source]Counts{},
		sums:           map[series]Counts{},
		history:        map[series][]sample{},
		lastFullWindow: map[series]Counts{},
	}
}

// observe adds the result of one sub-request of this VM to the local counters.
func (e *evidenceStore) observe(s series, code classifier.Code, latency, slowAbove time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.local[s]
	if c.Observe(code, latency, slowAbove) {
		e.local[s] = c
	}
}

// Observe adds the result of one request to the counters. It returns false and changes nothing if the result does not depend on
// the version.
func (c *Counts) Observe(code classifier.Code, latency, slowAbove time.Duration) bool {
	slow := latency > slowAbove
	if !reflectsVersion(code, slow) {
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

// reflectsVersion reports whether a result depends on the version of the server. A refusal does not. The result of a sub-request
// that was cancelled or timed out depends on it only if the request was on the server for a long time: hedges and deadlines end
// the slow requests of a slow version, but also requests that reached a healthy server late.
func reflectsVersion(code classifier.Code, slow bool) bool {
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

// receive updates the cumulative counters of a source. If they have decreased, the VM has restarted, and they are added to the
// sum in full. Counters of a new source are ignored if there are maxSources sources.
func (e *evidenceStore) receive(src source, c Counts) {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, known := e.latest[src]
	if !known && len(e.latest) >= maxSources {
		return
	}
	delta := c
	if known && c.Answers >= last.Answers {
		delta = c.minus(last)
	}
	e.latest[src] = c
	e.sums[src.series] = e.sums[src.series].Add(delta)
}

// snapshotLocal returns a copy of the counters of this VM for an application.
func (e *evidenceStore) snapshotLocal(application string) map[series]Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	local := map[series]Counts{}
	for s, c := range e.local {
		if s.application == application {
			local[s] = c
		}
	}
	return local
}

// recordSample appends the current sums to the history, from which windows are computed, and updates lastFullWindow.
func (e *evidenceStore) recordSample(now time.Time) {
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
			e.lastFullWindow[s] = w
		}
	}
}

// isSteady reports whether the number of answers in the latest interval is at least half of the mean of its window. When a
// version no longer receives queries, its window becomes empty within windowLength and would be too small for a comparison.
func isSteady(h []sample, window Counts) bool {
	latest := h[len(h)-1].counts.Answers - h[len(h)-2].counts.Answers
	return 2*latest*uint64(len(h)-1) >= window.Answers
}

// compare returns the evidence of a move for each route on which at least one of the versions has given answers.
func (e *evidenceStore) compare(application, from, to string) []RouteEvidence {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []RouteEvidence
	for s := range e.sums {
		if s.application != application || (s.version != from && s.version != to) {
			continue
		}
		if s.version == to && e.hasVersion(s, from) {
			continue
		}
		newSeries, oldSeries := s, s
		newSeries.version, oldSeries.version = to, from
		all = append(all, RouteEvidence{
			Route:     s.route,
			NewTotal:  e.sums[newSeries],
			NewWindow: e.window(newSeries),
			OldWindow: e.lastFullWindow[oldSeries],
		})
	}
	return all
}

func (e *evidenceStore) hasVersion(s series, version string) bool {
	s.version = version
	_, ok := e.sums[s]
	return ok
}

func (e *evidenceStore) window(s series) Counts {
	h := e.history[s]
	if len(h) == 0 {
		return Counts{}
	}
	return e.sums[s].minus(h[0].counts)
}

// prune deletes the counters of the applications for which keep returns false.
func (e *evidenceStore) prune(keep func(application string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.sums {
		if !keep(s.application) {
			delete(e.sums, s)
			delete(e.history, s)
			delete(e.lastFullWindow, s)
		}
	}
	for src := range e.latest {
		if !keep(src.application) {
			delete(e.latest, src)
		}
	}
	for s := range e.local {
		if !keep(s.application) {
			delete(e.local, s)
		}
	}
}

// CountsFromRecord converts the counters of a record that VMs exchange.
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
func (e *evidenceStore) current(src source) Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latest[src]
}

// Record returns the counters as a record for messages between VMs.
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
