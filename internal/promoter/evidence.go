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
	// recentWindow is the time over which the latest answers of the new version are evaluated separately, so that earlier good
	// answers do not hide that it has become bad.
	recentWindow = 4 * time.Second
	// An answer is slow if its latency exceeds slowFactor times the mean latency of the old version plus slowMargin.
	slowFactor = 2.5
	slowMargin = 5 * time.Millisecond
	// minMeanAnswers is the minimum number of answers of the old version from which its mean latency is computed.
	minMeanAnswers = 10
)

// versionCounts contains the counters of both versions of a move.
type versionCounts struct {
	Old mover.Counts
	New mover.Counts
}

// routeCounts contains the counters of each route, keyed by the name of the route.
type routeCounts map[string]versionCounts

// add adds the counters of another VM or zone.
func (rc routeCounts) add(order blackboard.MoveOrder, records []messenger.VersionStatsRecord) {
	for _, r := range records {
		counts := rc[r.Route]
		if r.Version == order.To {
			counts.New = counts.New.Add(mover.CountsFromRecord(r))
		} else {
			counts.Old = counts.Old.Add(mover.CountsFromRecord(r))
		}
		rc[r.Route] = counts
	}
}

// records returns the counters as records for messages between VMs. The records of the old version have an empty version.
func (rc routeCounts) records(order blackboard.MoveOrder) []messenger.VersionStatsRecord {
	var list []messenger.VersionStatsRecord
	for _, route := range slices.Sorted(maps.Keys(rc)) {
		counts := rc[route]
		list = append(list, counts.Old.Record(order.Service, "", route), counts.New.Record(order.Service, order.To, route))
	}
	return list
}

// sample contains the counters of the new version on each route, summed over all VMs, at a point in time.
type sample struct {
	at        time.Time
	newCounts map[string]mover.Counts
}

// orderState contains the evidence that this VM has collected about one order and its last decision.
type orderState struct {
	moveOrder blackboard.MoveOrder
	// name is the name of the order's object on the platform.
	name string
	// confirmed is the final outcome that the platform has once confirmed, by a read or by a write, "" if there is none. It does not change
	// when the platform comes back from a copy that lacks it.
	confirmed blackboard.MoveOutcome
	// orderedAt is the earliest time at which any VM is known to have received the order.
	orderedAt time.Time
	// receivedAt is the time at which this VM has received the order.
	receivedAt time.Time
	// localCounts contains the results that this VM has observed since it received the order.
	localCounts routeCounts
	// slowThresholds contains the latency above which an answer is slow, keyed by the name of the route.
	slowThresholds map[string]time.Duration
	// samples covers the last recentWindow, oldest sample first.
	samples []sample
	// decision is the last decision, and switchedAt the time at which its step became StepSwitched.
	decision   Decision
	switchedAt time.Time
	// lastLogged prevents a log line for a decision that does not differ from the one logged before.
	lastLogged Decision
	// lastWrite is the time at which the last write of the outcome to the platform started. Before the first write it is set
	// such that the write is due after the delay of this zone.
	lastWrite time.Time
}

func newOrderState(name string, order blackboard.MoveOrder, now time.Time) *orderState {
	return &orderState{
		moveOrder:      order,
		name:           name,
		orderedAt:      now,
		receivedAt:     now,
		localCounts:    routeCounts{},
		slowThresholds: map[string]time.Duration{},
	}
}

// observe adds the result of one request to the local counters.
func (st *orderState) observe(version, route string, code classifier.Code, latency time.Duration) {
	slowAbove, ok := st.slowThresholds[route]
	if !ok {
		slowAbove = latency
	}
	counts := st.localCounts[route]
	if version == st.moveOrder.To {
		counts.New.Observe(code, latency, slowAbove)
	} else {
		counts.Old.Observe(code, latency, slowAbove)
	}
	st.localCounts[route] = counts
}

// recordSample adds a sample of the counters of all VMs and updates the latencies above which answers are slow.
func (st *orderState) recordSample(all routeCounts, now time.Time) {
	s := sample{
		at:        now,
		newCounts: make(map[string]mover.Counts, len(all)),
	}
	for route, counts := range all {
		s.newCounts[route] = counts.New
		if counts.Old.Answers >= minMeanAnswers {
			st.slowThresholds[route] = time.Duration(slowFactor*float64(counts.Old.Mean())) + slowMargin
		}
	}
	st.samples = append(st.samples, s)
	for len(st.samples) > 1 && now.Sub(st.samples[1].at) >= recentWindow {
		st.samples = st.samples[1:]
	}
}

// compare returns the evidence since the order and that of the last recentWindow. The second list also contains sums over all
// routes, because a service with few requests has too few of them on a single route.
func (st *orderState) compare(all routeCounts) (total, recent []mover.RouteEvidence) {
	var sum, sumRecent mover.RouteEvidence
	for _, route := range slices.Sorted(maps.Keys(all)) {
		counts := all[route]
		e := newRouteEvidence(route, counts.Old, counts.New, counts.New)
		total = append(total, e)
		sum = sumEvidence(sum, e)
		if len(st.samples) > 0 {
			e = newRouteEvidence(route, counts.Old, counts.New, counts.New.Since(st.samples[0].newCounts[route]))
			recent = append(recent, e)
			sumRecent = sumEvidence(sumRecent, e)
		}
	}
	// The sums are part of the second list because the first one determines which routes have evidence.
	return total, append(recent, sum, sumRecent)
}

func newRouteEvidence(route string, oldWindow, newTotal, newWindow mover.Counts) mover.RouteEvidence {
	return mover.RouteEvidence{
		Route:     route,
		Operation: true,
		NewTotal:  newTotal,
		NewWindow: newWindow,
		OldWindow: oldWindow,
	}
}

// sumEvidence returns the sum of the evidence of two routes. It omits the latencies, which cannot be compared between routes.
func sumEvidence(a, b mover.RouteEvidence) mover.RouteEvidence {
	sum := newRouteEvidence("any", a.OldWindow.Add(b.OldWindow), a.NewTotal.Add(b.NewTotal), a.NewWindow.Add(b.NewWindow))
	for _, c := range []*mover.Counts{&sum.OldWindow, &sum.NewTotal, &sum.NewWindow} {
		c.LatencySum, c.LatencySquares = 0, 0
	}
	return sum
}

// requestRate returns the mean number of requests per second since the order, 0 during the first second.
func (st *orderState) requestRate(all routeCounts, now time.Time) float64 {
	n := uint64(0)
	for _, counts := range all {
		n += counts.Old.Answers + counts.New.Answers
	}
	if age := now.Sub(st.orderedAt); age >= time.Second {
		return float64(n) / age.Seconds()
	}
	return 0
}
