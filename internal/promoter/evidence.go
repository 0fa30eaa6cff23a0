package promoter

import (
	"maps"
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/mover"
)

const (
	// recentTime is the time over which the new version is looked at by itself, so that its good answers of before do not hide that it
	// has become bad.
	recentTime = 4 * time.Second
	// slowFactor and slowMargin say from which multiple of the old version's mean latency on an answer is slow.
	slowFactor = 2.5
	slowMargin = 5 * time.Millisecond
	// baseAnswers is the least number of answers of the old version for that mean.
	baseAnswers = 10
)

// pair has what the two versions of a move answered.
type pair struct {
	Old   mover.Counts
	Fresh mover.Counts
}

// byRoute are the answers on each route.
type byRoute map[string]pair

// add adds what another VM or zone has counted.
func (b byRoute) add(move blackboard.MoveOrder, records []messenger.VersionStatsRecord) {
	for _, r := range records {
		p := b[r.Route]
		if r.Version == move.To {
			p.Fresh = p.Fresh.Add(mover.CountsFromRecord(r))
		} else {
			p.Old = p.Old.Add(mover.CountsFromRecord(r))
		}
		b[r.Route] = p
	}
}

// records returns the answers as messages between VMs.
func (b byRoute) records(move blackboard.MoveOrder) []messenger.VersionStatsRecord {
	var list []messenger.VersionStatsRecord
	for _, route := range slices.Sorted(maps.Keys(b)) {
		p := b[route]
		list = append(list, p.Old.Record(move.Service, "", route), p.Fresh.Record(move.Service, move.To, route))
	}
	return list
}

// sample is what all VMs had seen at a time.
type sample struct {
	at    time.Time
	fresh map[string]mover.Counts
}

// ledger has what this VM knows of one order and has decided about it.
type ledger struct {
	move blackboard.MoveOrder
	// name is that of the order's object.
	name string
	// since is when the order was given, as far as this VM knows.
	since time.Time
	// own is what this VM has counted since it knows of the order.
	own byRoute
	// slowAbove is the latency from which on an answer on a route is slow.
	slowAbove map[string]time.Duration
	// samples cover recentTime, oldest first.
	samples []sample
	// decision is the last one, and switchedAt when it became StepSwitched.
	decision   Decision
	switchedAt time.Time
	// logged is the decision of the last log line.
	logged Decision
	// written is when the outcome was last written to the platform.
	written time.Time
}

func newLedger(name string, move blackboard.MoveOrder, now time.Time) *ledger {
	return &ledger{
		move:      move,
		name:      name,
		since:     now,
		own:       byRoute{},
		slowAbove: map[string]time.Duration{},
	}
}

// observe counts the end of one request.
func (l *ledger) observe(version, route string, code classifier.Code, latency time.Duration) {
	above, ok := l.slowAbove[route]
	if !ok {
		above = latency
	}
	p := l.own[route]
	if version == l.move.To {
		p.Fresh.Observe(code, latency, above)
	} else {
		p.Old.Observe(code, latency, above)
	}
	l.own[route] = p
}

// learn takes what all VMs have seen: it keeps a sample, and what counts as slow from now on.
func (l *ledger) learn(all byRoute, now time.Time) {
	s := sample{
		at:    now,
		fresh: make(map[string]mover.Counts, len(all)),
	}
	for route, p := range all {
		s.fresh[route] = p.Fresh
		if p.Old.Answers >= baseAnswers {
			l.slowAbove[route] = time.Duration(slowFactor*float64(p.Old.Mean())) + slowMargin
		}
	}
	l.samples = append(l.samples, s)
	for len(l.samples) > 1 && now.Sub(l.samples[1].at) >= recentTime {
		l.samples = l.samples[1:]
	}
}

// compare returns the evidence since the order and that of recentTime, for each route and for all together: a service with few requests
// has too few on one route.
func (l *ledger) compare(all byRoute) (total, recent []mover.RouteEvidence) {
	var sum, sumRecent mover.RouteEvidence
	for _, route := range slices.Sorted(maps.Keys(all)) {
		p := all[route]
		e := evidenceOf(route, p.Old, p.Fresh, p.Fresh)
		total = append(total, e)
		sum = join(sum, e)
		if len(l.samples) > 0 {
			e = evidenceOf(route, p.Old, p.Fresh, p.Fresh.Since(l.samples[0].fresh[route]))
			recent = append(recent, e)
			sumRecent = join(sumRecent, e)
		}
	}
	// The sums come with the recent ones, because the others say on which routes there is evidence.
	return total, append(recent, sum, sumRecent)
}

func evidenceOf(route string, old, fresh, window mover.Counts) mover.RouteEvidence {
	return mover.RouteEvidence{
		Route:     route,
		Operation: true,
		NewTotal:  fresh,
		NewWindow: window,
		OldWindow: old,
	}
}

// join adds up the evidence of routes. Their latencies are left out: they differ by route.
func join(a, b mover.RouteEvidence) mover.RouteEvidence {
	sum := evidenceOf("any", a.OldWindow.Add(b.OldWindow), a.NewTotal.Add(b.NewTotal), a.NewWindow.Add(b.NewWindow))
	for _, c := range []*mover.Counts{&sum.OldWindow, &sum.NewTotal, &sum.NewWindow} {
		c.LatencySum, c.LatencySquares = 0, 0
	}
	return sum
}

// rate returns the requests a second since the order.
func (l *ledger) rate(all byRoute, now time.Time) float64 {
	n := uint64(0)
	for _, p := range all {
		n += p.Old.Answers + p.Fresh.Answers
	}
	if age := now.Sub(l.since); age >= time.Second {
		return float64(n) / age.Seconds()
	}
	return 0
}
