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
	// trialPart and tolerancePart are the parts of the allowed requests to a bad version that a trial uses. The rest is for the time
	// between the last step and the verdict, because some versions fail under full load only.
	trialPart     = 0.7
	tolerancePart = 0.2
	// maxTrialShare bounds a trial of a service with so few requests that the tolerance alone allows more.
	maxTrialShare = 0.5
	// widenedShare is the part of the requests in the step between the trial and the whole.
	widenedShare = 0.3
	// reserveTime and reservePart are what is left of the ordered time at the switch, at least: requests at the old version have to end,
	// and the outcome has to be written, which take 2 s as a rule. maxReserve bounds it in short moves, which need time for their trial. A
	// late switch keeps the harm small that a fault does which no trial shows.
	reserveTime = 5 * time.Second
	reservePart = 0.1
	maxReserve  = 0.4
	// widenedPart is the length of the widened step as a part of the ordered time, and widenedTime bounds it.
	widenedPart = 0.12
	widenedTime = 2 * time.Second
	// minAnswers is the least number of answers of the new version for a step, over all routes and on each route on which the old
	// version had stepAnswers, or endAnswers for the end of the move: a trial has only a part of the requests.
	minAnswers  = 5
	stepAnswers = 100
	endAnswers  = 10
	// maxBadPercent is how many more percent of bad answers than the old version's a new one may give. Bad versions fail or are slow in
	// a large part of their requests.
	maxBadPercent = 5
	// maxChance is the probability of a difference by chance below which it counts as real. A move of half a minute compares the versions
	// some 100 times, mostly by the same answers.
	maxChance = 1e-5
	// settleTime is how long all requests go to the new version before the move is done, at least. What the VMs see in it reaches the
	// one that ends the move within three exchanges.
	settleTime = 2500 * time.Millisecond
	// settleLimit bounds the wait for requests at the old version: the longest route timeouts of the sheets are 6 s.
	settleLimit = 10 * time.Second
	// trialWindow is how long a trial stays with the same servers. A few servers then get as many requests as those of the old version,
	// so that a version that fails under load shows it.
	trialWindow = 4 * time.Second
)

// ExposureLimits are the operator's limits on requests to a version that turns out to be bad.
type ExposureLimits struct {
	// Share is the part of all requests of a move's time, 0 to 1, and Tolerance a number of requests beyond it.
	Share     float64
	Tolerance float64
}

// Progress is what a VM knows of a move.
type Progress struct {
	// Age is the time since the order.
	Age time.Duration
	// ZoneUpToDate says that what the VMs of the zone have seen is up to date, and Complete that this holds for all zones.
	ZoneUpToDate     bool
	AllZonesUpToDate bool
	// Switched says that all VMs send everything to the new version, and SwitchedFor for how long this one has.
	Switched    bool
	SwitchedFor time.Duration
	// OldRunning is the number of requests that run at servers of the old version.
	OldRunning int
	// OldSlots and NewSlots are the requests that the servers of the versions can run at a time.
	OldSlots int
	NewSlots int
	// RequestsPerSecond is the number of requests of the service a second.
	RequestsPerSecond float64
	// Routes are the versions' answers since the order, and Recent those of a moment with the old version's since the order.
	Routes       []mover.RouteEvidence
	RecentRoutes []mover.RouteEvidence
	// RollbackReason is why another VM has taken the move back, or "".
	RollbackReason string
}

// Decision is what a VM does about a move.
type Decision struct {
	blackboard.TrafficShift
	// Outcome is what the platform should hold.
	Outcome blackboard.MoveOutcome
	// Reason is empty unless the move is taken back.
	Reason string
}

// Decide returns what to do after a decision. A move that was taken back stays so, and one that sends everything to the new version
// goes on to do so unless it is taken back.
func Decide(o blackboard.MoveOrder, b ExposureLimits, p Progress, before Decision) Decision {
	switch {
	case o.Outcome == blackboard.MoveDone:
		return stepTo(o, blackboard.StepDone, 1, blackboard.MoveDone)
	case o.Outcome == blackboard.MoveRolledBack:
		return takeBack(o, before.Reason)
	case before.Outcome == blackboard.MoveRolledBack:
		return before
	}
	if reason := fault(p); reason != "" {
		return takeBack(o, reason)
	}
	switch {
	case before.Step == blackboard.StepSwitched:
		return finish(o, p)
	case p.Age >= o.Duration:
		return takeBack(o, "The evidence was too little to finish in time.")
	case !p.ZoneUpToDate || p.NewSlots == 0:
		return stepTo(o, blackboard.StepHeld, 0, blackboard.MoveRunning)
	}
	share := trialShare(o, b, p)
	widenAt, switchAt := times(o.Duration)
	switch {
	case p.Age < widenAt || !p.hasEvidence(stepAnswers) || 2*p.NewSlots < p.OldSlots:
		return stepTo(o, blackboard.StepTrial, share, blackboard.MoveRunning)
	case p.Age < switchAt:
		return stepTo(o, blackboard.StepTrial, max(share, widenedShare), blackboard.MoveRunning)
	default:
		return stepTo(o, blackboard.StepSwitched, 1, blackboard.MoveRunning)
	}
}

// times returns the ages at which the share is widened and at which all requests go to the new version, at the earliest.
func times(duration time.Duration) (widenAt, switchAt time.Duration) {
	part := func(x float64) time.Duration {
		return time.Duration(x * float64(duration))
	}
	switchAt = duration - min(max(reserveTime, part(reservePart)), part(maxReserve))
	return switchAt - min(part(widenedPart), widenedTime), switchAt
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

func takeBack(o blackboard.MoveOrder, reason string) Decision {
	d := stepTo(o, blackboard.StepHeld, 0, blackboard.MoveRolledBack)
	d.Reason = reason
	return d
}

// finish goes on with a move that sends everything to the new version. The operator stops the old servers as soon as the move is done,
// so that their requests have to end before.
func finish(o blackboard.MoveOrder, p Progress) Decision {
	d := stepTo(o, blackboard.StepSwitched, 1, blackboard.MoveRunning)
	ended := p.AllZonesUpToDate && p.Switched && p.OldRunning == 0 && p.SwitchedFor >= settleTime && p.hasEvidence(endAnswers)
	if ended || p.SwitchedFor >= settleLimit {
		d.Outcome = blackboard.MoveDone
	}
	return d
}

// fault returns why the new version is worse, or "".
func fault(p Progress) string {
	if p.RollbackReason != "" {
		return p.RollbackReason
	}
	limits := mover.Thresholds{
		MaxExtraBadPercent: maxBadPercent,
		Significance:       maxChance,
	}
	for _, e := range slices.Concat(p.Routes, p.RecentRoutes) {
		if reason := mover.RegressionReason(e, limits); reason != "" {
			return reason
		}
	}
	return ""
}

// trialShare is the part of the requests in a trial. The fewer requests a service gets in the time of the move, the more of the
// tolerance one of them may use.
func trialShare(o blackboard.MoveOrder, b ExposureLimits, p Progress) float64 {
	share := trialPart * b.Share
	if expected := p.RequestsPerSecond * o.Duration.Seconds(); expected > 0 {
		share += tolerancePart * b.Tolerance / expected
	}
	return min(share, maxTrialShare)
}

// hasEvidence reports whether the new version has answered enough requests for the next step. Routes count on which the old version has
// given common answers.
func (p Progress) hasEvidence(common uint64) bool {
	total := uint64(0)
	for _, e := range p.Routes {
		total += e.NewTotal.Answers
		if e.OldWindow.Answers >= common && e.NewTotal.Answers < minAnswers {
			return false
		}
	}
	return total >= minAnswers
}

// TrialServers returns the servers of the new version that get the requests of a trial, as many as have the same part of the old version's
// load. All VMs choose the same ones as far as their clocks agree.
func TrialServers(fresh []discoverer.Endpoint, old int, share float64, now time.Time) []discoverer.Endpoint {
	n := max(1, int(math.Ceil(share*float64(old))))
	if n >= len(fresh) {
		return fresh
	}
	window := strconv.FormatInt(now.UnixNano()/int64(trialWindow), 10)
	rank := func(m discoverer.Endpoint) uint64 {
		return xxhash.Sum64String(window + "\x00" + m.ID)
	}
	ranked := slices.Clone(fresh)
	slices.SortFunc(ranked, func(a, b discoverer.Endpoint) int {
		return cmp.Compare(rank(a), rank(b))
	})
	return ranked[:n]
}
