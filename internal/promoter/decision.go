package promoter

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/mover"
)

const (
	// trialShareFraction and trialToleranceFraction are the fractions of the exposure limits that a trial uses. The rest is
	// reserved for the time between the last step and a rollback, because some versions fail only under full load.
	trialShareFraction     = 0.7
	trialToleranceFraction = 0.2
	// maxTrialShare limits the share of a trial for services with so few requests that the tolerance alone allows a larger one.
	maxTrialShare = 0.5
	// widenedShare is the share of the new version during the last part of a trial, before it receives all requests.
	widenedShare = 0.3
	// The switch leaves minReserve or reserveFraction of the ordered duration, whichever is longer, for the requests on the old
	// version to end and the outcome to be written, which usually takes 2 s. maxReserveFraction limits this reserve in short
	// moves, which need time for their trial. A longer reserve would mean an earlier switch, and more requests to a version whose
	// faults a trial does not reveal.
	minReserve         = 5 * time.Second
	reserveFraction    = 0.1
	maxReserveFraction = 0.4
	// widenedFraction is the duration of the widened step as a fraction of the ordered duration, limited to maxWidenedTime.
	widenedFraction = 0.12
	maxWidenedTime  = 2 * time.Second
	// minAnswers is the minimum number of answers of the new version before the next step, both in total and on each common
	// route. A route is common if the old version has given minOldAnswersForStep answers on it, or minOldAnswersForDone at the
	// end of the move. The first number is higher because a trial receives only a fraction of the requests.
	minAnswers           = 5
	minOldAnswersForStep = 100
	minOldAnswersForDone = 10
	// maxExtraBadPercent is the number of percentage points by which the rate of bad answers of the new version may exceed that
	// of the old one. Bad versions fail or are slow on a large fraction of their requests.
	maxExtraBadPercent = 5
	// significanceLevel is the p-value below which a difference between the versions is significant. A move of 30 s compares the
	// versions about 100 times, mostly by the same answers.
	significanceLevel = 1e-5
	// minSwitchedTime is the minimum time for which the new version receives all requests before the move is done. The results
	// that the VMs observe in this time reach the VM that ends the move within three exchanges.
	minSwitchedTime = 2500 * time.Millisecond
	// maxSwitchedTime is the time after which a switched move is done even if evidence is missing or requests on the old version
	// are in progress. It exceeds the longest specified route timeout of 6 s.
	maxSwitchedTime = 10 * time.Second
	// maxOrderDelay is the time within which a VM that runs receives an order. A VM that learns of an order later has started since.
	maxOrderDelay = 3 * time.Second
	// trialServerPeriod is the time for which a trial uses the same servers. The requests of a trial go to only a few servers, so
	// that each has about the load of a server of the old version and a version that fails under load is detected.
	trialServerPeriod = 4 * time.Second
)

// ExposureLimits contains the operator's limits on the number of requests that a bad version may receive.
type ExposureLimits struct {
	// Share is a fraction, 0 to 1, of all requests of the service during the move. Tolerance is a number of requests that is
	// allowed in addition.
	Share     float64
	Tolerance float64
}

// Progress is the progress of a move as far as one VM knows it.
type Progress struct {
	// Age is the time since the order.
	Age time.Duration
	// ZoneUpToDate is true if the aggregated report of the VM's zone is at most maxReportAge old, and AllZonesUpToDate if this
	// holds for all zones.
	ZoneUpToDate     bool
	AllZonesUpToDate bool
	// AllVMsSwitched is true if all VMs with a current report send all requests to the new version. SwitchedFor is the time for
	// which this VM has done so.
	AllVMsSwitched bool
	SwitchedFor    time.Duration
	// AnyVMSwitched is true if a VM with a current report sends all requests to the new version. KnownFor is the time for which this VM
	// has known the order, which is shorter than Age if it started during the move.
	AnyVMSwitched bool
	KnownFor      time.Duration
	// OldRunning is the number of requests in progress on servers of the old version.
	OldRunning int
	// OldSlots and NewSlots are the numbers of requests that the servers of each version can run concurrently. Both exclude lapsed
	// servers, and NewSlots also excludes cold ones.
	OldSlots int
	NewSlots int
	// RequestsPerSecond is the request rate of the service, 0 if it is not known yet.
	RequestsPerSecond float64
	// Routes contains the evidence of each route since the order. RecentRoutes compares the answers of the new version in the
	// last recentWindow with those of the old version since the order; it also contains sums over all routes.
	Routes       []mover.RouteEvidence
	RecentRoutes []mover.RouteEvidence
	// RollbackReason is the reason for which a VM has rolled the move back, or "".
	RollbackReason string
	// Confirmed is the final outcome of the move that the platform has once confirmed to any VM, or "".
	Confirmed blackboard.MoveOutcome
}

// Decision contains the step, the share and the outcome that a VM has decided for a move.
type Decision struct {
	blackboard.TrafficShift
	// Outcome is the outcome that the platform should store.
	Outcome blackboard.MoveOutcome
	// Reason is empty unless the move is rolled back.
	Reason string
}

// Decide returns the decision that follows the previous one. A rollback is final, and so is every outcome that the platform has confirmed,
// also after it has lost it. A move that has switched all requests to the new version keeps them there unless it is rolled back.
func Decide(o blackboard.MoveOrder, limits ExposureLimits, p Progress, previous Decision) Decision {
	ended := o.Outcome
	if !ended.IsFinal() {
		ended = p.Confirmed
	}
	switch {
	case ended == blackboard.MoveDone:
		return stepTo(o, blackboard.StepDone, 1, blackboard.MoveDone)
	case ended == blackboard.MoveRolledBack:
		return rollBack(o, previous.Reason)
	case previous.Outcome == blackboard.MoveRolledBack:
		return previous
	}
	if reason := rollbackReason(p); reason != "" {
		return rollBack(o, reason)
	}
	switch {
	case previous.Step == blackboard.StepSwitched:
		return continueSwitched(o, p)
	case p.Age >= o.Duration && p.AnyVMSwitched:
		// This VM has started since the others switched.
		return stepTo(o, blackboard.StepSwitched, 1, blackboard.MoveRunning)
	case p.Age >= o.Duration && !p.AllZonesUpToDate && p.Age-p.KnownFor > maxOrderDelay && p.KnownFor < maxSwitchedTime:
		// This VM has started during the move and does not know yet how far the others are.
		return stepTo(o, blackboard.StepHeld, 0, blackboard.MoveRunning)
	case p.Age >= o.Duration:
		return rollBack(o, "The evidence was too little to finish in time.")
	case !p.ZoneUpToDate || p.NewSlots == 0:
		return stepTo(o, blackboard.StepHeld, 0, blackboard.MoveRunning)
	}
	share := trialShare(o, limits, p)
	widenAt, switchAt := stepTimes(o.Duration)
	switch {
	case p.Age < widenAt || !p.hasEvidence(minOldAnswersForStep) || 2*p.NewSlots < p.OldSlots:
		return stepTo(o, blackboard.StepTrial, share, blackboard.MoveRunning)
	case p.Age < switchAt:
		return stepTo(o, blackboard.StepTrial, max(share, widenedShare), blackboard.MoveRunning)
	default:
		return stepTo(o, blackboard.StepSwitched, 1, blackboard.MoveRunning)
	}
}

// stepTimes returns the minimum ages of a move at which the share is widened and at which all requests are switched to the new
// version.
func stepTimes(duration time.Duration) (widenAt, switchAt time.Duration) {
	fraction := func(x float64) time.Duration {
		return time.Duration(x * float64(duration))
	}
	switchAt = duration - min(max(minReserve, fraction(reserveFraction)), fraction(maxReserveFraction))
	return switchAt - min(fraction(widenedFraction), maxWidenedTime), switchAt
}

func stepTo(o blackboard.MoveOrder, step blackboard.TrafficShiftStep, share float64, outcome blackboard.MoveOutcome) Decision {
	return Decision{
		TrafficShift: blackboard.TrafficShift{
			To:    o.To,
			Step:  step,
			Share: share,
		},
		Outcome: outcome,
	}
}

func rollBack(o blackboard.MoveOrder, reason string) Decision {
	d := stepTo(o, blackboard.StepHeld, 0, blackboard.MoveRolledBack)
	d.Reason = reason
	return d
}

// continueSwitched returns the decision about a move that sends all requests to the new version. The operator stops the old
// servers as soon as the move is done, so their requests have to end before that.
func continueSwitched(o blackboard.MoveOrder, p Progress) Decision {
	d := stepTo(o, blackboard.StepSwitched, 1, blackboard.MoveRunning)
	ended := p.AllZonesUpToDate && p.AllVMsSwitched && p.OldRunning == 0 && p.SwitchedFor >= minSwitchedTime && p.hasEvidence(minOldAnswersForDone)
	if ended || p.SwitchedFor >= maxSwitchedTime {
		d.Outcome = blackboard.MoveDone
	}
	return d
}

// rollbackReason returns the reason to roll the move back, or "".
func rollbackReason(p Progress) string {
	if p.RollbackReason != "" {
		return p.RollbackReason
	}
	thresholds := mover.Thresholds{
		MaxExtraBadPercent: maxExtraBadPercent,
		SignificanceLevel:  significanceLevel,
	}
	for _, e := range slices.Concat(p.Routes, p.RecentRoutes) {
		if reason := mover.RegressionReason(e, thresholds); reason != "" {
			return reason
		}
	}
	return ""
}

// trialShare returns the share of the requests that a trial sends to the new version. The tolerance is a number of requests, so
// it adds more to the share the fewer requests the service is expected to receive during the move.
func trialShare(o blackboard.MoveOrder, limits ExposureLimits, p Progress) float64 {
	share := trialShareFraction * limits.Share
	if expected := p.RequestsPerSecond * o.Duration.Seconds(); expected > 0 {
		share += trialToleranceFraction * limits.Tolerance / expected
	}
	return min(share, maxTrialShare)
}

// hasEvidence reports whether the new version has answered enough requests for the next step, in total and on each route on
// which the old version has given at least minOldAnswers answers.
func (p Progress) hasEvidence(minOldAnswers uint64) bool {
	total := uint64(0)
	for _, e := range p.Routes {
		total += e.NewTotal.Answers
		if e.OldWindow.Answers >= minOldAnswers && e.NewTotal.Answers < minAnswers {
			return false
		}
	}
	return total >= minAnswers
}

// TrialServers returns the servers of the new version that receive the requests of a trial. Their number is chosen such that
// each has about the load of one of the oldCount servers of the old version. All VMs choose the same servers if their clocks
// agree.
func TrialServers(newServers []discoverer.Endpoint, oldCount int, share float64, now time.Time) []discoverer.Endpoint {
	n := max(1, int(math.Ceil(share*float64(oldCount))))
	if n >= len(newServers) {
		return newServers
	}
	window := strconv.FormatInt(now.UnixNano()/int64(trialServerPeriod), 10)
	rank := func(endpoint discoverer.Endpoint) uint64 {
		return xxhash.Sum64String(window + "\x00" + endpoint.ID)
	}
	ranked := slices.Clone(newServers)
	slices.SortFunc(ranked, func(a, b discoverer.Endpoint) int {
		return cmp.Compare(rank(a), rank(b))
	})
	return ranked[:n]
}
