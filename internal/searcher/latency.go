package searcher

import (
	"slices"
	"sync"
	"time"
)

// The collect wait is collectWaitFactor times the recent 95th percentile of the sub-request latencies, within these limits.
const (
	collectWaitFactor  = 2
	collectWaitDefault = 20 * time.Millisecond
	collectWaitMin     = 4 * time.Millisecond
	collectWaitMax     = 80 * time.Millisecond
)

// latencySamples is the number of recent latencies from which the percentile is computed. It is recomputed after every
// p95RefreshSamples new ones.
const (
	latencySamples    = 512
	p95RefreshSamples = 64
)

// maxRoutes limits the number of routes for which latencies are kept. Routes come from the configuration, so this limit is not
// reached in practice. When it is reached, all latencies are discarded.
const maxRoutes = 4096

type routeKey struct {
	application, route string
}

// latencyWindows contains the recent sub-request latencies of each route.
type latencyWindows struct {
	mu     sync.Mutex
	routes map[routeKey]*latencyWindow
}

// latencyWindow is a ring buffer of recent latencies with their 95th percentile.
type latencyWindow struct {
	mu           sync.Mutex
	samples      [latencySamples]time.Duration
	count        int
	sinceRefresh int
	p95          time.Duration
}

func (l *latencyWindows) forRoute(application, route string) *latencyWindow {
	k := routeKey{
		application: application,
		route:       route,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.routes[k]
	if w == nil {
		if l.routes == nil || len(l.routes) >= maxRoutes {
			l.routes = map[routeKey]*latencyWindow{}
		}
		w = &latencyWindow{}
		l.routes[k] = w
	}
	return w
}

func (w *latencyWindow) add(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples[w.count%latencySamples] = d
	w.count++
	w.sinceRefresh++
	if w.sinceRefresh < p95RefreshSamples {
		return
	}
	w.sinceRefresh = 0
	sorted := slices.Clone(w.samples[:min(w.count, latencySamples)])
	slices.Sort(sorted)
	w.p95 = sorted[len(sorted)*95/100]
}

// collectWait returns how long an owner waits for answers before it replies with those that it has, at most half of remaining.
func (w *latencyWindow) collectWait(remaining time.Duration) time.Duration {
	w.mu.Lock()
	p95 := w.p95
	w.mu.Unlock()
	d := collectWaitDefault
	if p95 > 0 {
		d = min(max(collectWaitFactor*p95, collectWaitMin), collectWaitMax)
	}
	return max(min(d, remaining/2), 0)
}
