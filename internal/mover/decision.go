// Package mover executes the Move objects of the search configuration: it shifts the queries of an application step by step from
// one version to another, compares the versions by the results of all entry VMs, and rolls a move back when the new version is
// worse. Package promoter does the same for the services of the gateway.
package mover

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/parser"
)

const (
	// minWindowAnswers is the minimum number of answers of the new version on a search route in a window for a comparison.
	minWindowAnswers = 20
	// minWindowOperations is that number on a route of operations. It is lower because operations are rare and independent of
	// each other, while the sub-requests of one search may all fail for the same reason.
	minWindowOperations = 5
	// rollbackCrashes is the number of crashes of the new version in a window that causes a rollback. A single crash may be due
	// to one bad request.
	rollbackCrashes = 2
	// significanceLevel is the p-value below which a difference between the versions is significant. Windows are compared every
	// second on each route, so a higher level would roll back good versions in moves that take hours.
	significanceLevel = 1e-6
	// The mean latency of the new version is too high if it exceeds slowFactor times that of the old version plus slowMargin.
	slowFactor = 1.5
	slowMargin = 5 * time.Millisecond
	// criticalDeviations is the number of standard deviations that a normally distributed variable exceeds with the probability
	// significanceLevel.
	criticalDeviations = 4.75
	// minLatencyAnswers is the minimum number of answers of each version for a comparison of mean latencies.
	minLatencyAnswers = 50
	// relativeTermCutoff is the fraction of the sum in fisherPValue below which the remaining terms are omitted. They decrease
	// at least as fast as a geometric series, because fisherPValue is only called when the new version is worse.
	relativeTermCutoff = 1e-9
	perMillePerPercent = 10
	finalPercent       = 100
)

// Counts contains cumulative counters of one version on one route.
type Counts struct {
	Answers    uint64
	Failures   uint64
	Crashes    uint64
	Slow       uint64
	LatencySum time.Duration
	// LatencySquares is the sum of the squared latencies in square seconds.
	LatencySquares float64
}

// Add returns the sum of two counters.
func (c Counts) Add(other Counts) Counts {
	return Counts{
		Answers:        c.Answers + other.Answers,
		Failures:       c.Failures + other.Failures,
		Crashes:        c.Crashes + other.Crashes,
		Slow:           c.Slow + other.Slow,
		LatencySum:     c.LatencySum + other.LatencySum,
		LatencySquares: c.LatencySquares + other.LatencySquares,
	}
}

// Since returns the increase of the counters since an earlier state. If a counter has decreased, a VM whose counts were
// included is gone, and Since returns the counters unchanged.
func (c Counts) Since(earlier Counts) Counts {
	if c.Answers < earlier.Answers || c.Failures < earlier.Failures || c.Crashes < earlier.Crashes || c.Slow < earlier.Slow {
		return c
	}
	return c.minus(earlier)
}

func (c Counts) minus(other Counts) Counts {
	return Counts{
		Answers:        c.Answers - other.Answers,
		Failures:       c.Failures - other.Failures,
		Crashes:        c.Crashes - other.Crashes,
		Slow:           c.Slow - other.Slow,
		LatencySum:     c.LatencySum - other.LatencySum,
		LatencySquares: c.LatencySquares - other.LatencySquares,
	}
}

// bad returns the number of answers that failed or were slow.
func (c Counts) bad() uint64 {
	return min(c.Answers, c.Failures+c.Slow)
}

// Mean returns the mean latency, 0 without answers.
func (c Counts) Mean() time.Duration {
	if c.Answers == 0 {
		return 0
	}
	return c.LatencySum / time.Duration(c.Answers)
}

// meanDiffers reports whether the mean latencies of two versions differ significantly, by B. L. Welch's test (The
// generalization of "Student's" problem when several different population variances are involved, Biometrika 34, 1947).
// Comparing only the means would give false results when a busy machine delays a few answers, which raises both the mean and
// the deviation.
func (c Counts) meanDiffers(other Counts) bool {
	difference := (c.Mean() - other.Mean()).Seconds()
	return difference*difference > criticalDeviations*criticalDeviations*(c.meanVariance()+other.meanVariance())
}

// meanVariance returns the variance of the mean latency in square seconds.
func (c Counts) meanVariance() float64 {
	n, mean := float64(c.Answers), c.Mean().Seconds()
	return max(0, c.LatencySquares/n-mean*mean) / n
}

// RouteEvidence compares the versions of a move on one route.
type RouteEvidence struct {
	Route string
	// Operation is true if the route is one of operations. Too few answers on such a route do not delay a move, because a route
	// may be unused for days.
	Operation bool
	// NewTotal counts all known answers of the new version.
	NewTotal Counts
	// NewWindow and OldWindow cover the same recent time. While the old version receives no queries, OldWindow is the last
	// window in which it received enough of them.
	NewWindow Counts
	OldWindow Counts
}

// Decision contains the share and the outcome that a VM has decided for a move.
type Decision struct {
	SharePerMille int
	Outcome       blackboard.MoveOutcome
	Reason        string
}

// Decide computes the share of the new version from the plan, the time and the evidence. It uses cumulative counters, so that a
// VM that starts during a move reaches the same step as the others.
func Decide(m parser.Move, policy parser.Policy, evidence []RouteEvidence, now time.Time) Decision {
	if now.Before(m.Start) {
		return running(0)
	}
	thresholds := Thresholds{
		MaxExtraBadPercent: policy.MoveMaxBadPercent,
		SignificanceLevel:  significanceLevel,
	}
	for _, e := range evidence {
		if reason := RegressionReason(e, thresholds); reason != "" {
			return rolledBack(reason)
		}
	}
	step := reachedStep(m, policy, evidence, now)
	if now.Before(m.FinishBy) {
		return running(m.Steps[step] * perMillePerPercent)
	}
	if !finished(m, policy, evidence, step) {
		return rolledBack("The evidence was too little to finish in time.")
	}
	return Decision{
		SharePerMille: finalPercent * perMillePerPercent,
		Outcome:       blackboard.MoveDone,
		Reason:        "The new version serves all queries.",
	}
}

func running(share int) Decision {
	return Decision{
		SharePerMille: share,
		Outcome:       blackboard.MoveRunning,
	}
}

func rolledBack(reason string) Decision {
	return Decision{
		Outcome: blackboard.MoveRolledBack,
		Reason:  reason,
	}
}

// reachedStep returns the index of the highest step that is due and whose previous steps all have enough evidence.
func reachedStep(m parser.Move, policy parser.Policy, evidence []RouteEvidence, now time.Time) int {
	interval := m.FinishBy.Sub(m.Start) / time.Duration(len(m.Steps))
	due := min(int(now.Sub(m.Start)/max(interval, 1)), len(m.Steps)-1)
	step := 0
	for step < due && hasEvidence(evidence, policy, step+1) {
		step++
	}
	return step
}

// hasEvidence reports whether there is at least one search route with traffic, and whether the new version has given enough
// answers for the given number of steps on each of them.
func hasEvidence(evidence []RouteEvidence, policy parser.Policy, steps int) bool {
	needed := uint64(max(policy.MoveMinAnswers, 1) * steps)
	isSearch := func(e RouteEvidence) bool { return !e.Operation }
	return slices.ContainsFunc(evidence, isSearch) && !slices.ContainsFunc(evidence, func(e RouteEvidence) bool {
		return isSearch(e) && e.NewTotal.Answers < needed
	})
}

func finished(m parser.Move, policy parser.Policy, evidence []RouteEvidence, step int) bool {
	return step == len(m.Steps)-1 && hasEvidence(evidence, policy, len(m.Steps))
}

// Thresholds contains the limits above which a difference between two versions is a regression.
type Thresholds struct {
	// MaxExtraBadPercent is the number of percentage points by which the rate of bad answers of the new version may exceed that
	// of the old one.
	MaxExtraBadPercent int
	// SignificanceLevel is the p-value below which a difference is significant.
	SignificanceLevel float64
}

// RegressionReason returns a sentence that describes why the new version is worse on a route, or "" if it is not.
func RegressionReason(e RouteEvidence, thresholds Thresholds) string {
	newWindow, oldWindow := e.NewWindow, e.OldWindow
	if newWindow.Crashes >= rollbackCrashes && ratio(newWindow.Crashes, newWindow.Answers) > ratio(oldWindow.Crashes, oldWindow.Answers) {
		return fmt.Sprintf("On route %s the new version crashed %d times.", e.Route, newWindow.Crashes)
	}
	if !e.Operation && newWindow.Answers < minWindowAnswers || newWindow.Answers < minWindowOperations {
		return ""
	}
	margin := float64(thresholds.MaxExtraBadPercent) / 100
	excess := ratio(newWindow.bad(), newWindow.Answers) - ratio(oldWindow.bad(), oldWindow.Answers)
	if excess > margin && fisherPValue(newWindow, oldWindow) < thresholds.SignificanceLevel {
		return fmt.Sprintf("On route %s the new version failed or was slow in %d of %d answers, the old one in %d of %d.",
			e.Route, newWindow.bad(), newWindow.Answers, oldWindow.bad(), oldWindow.Answers)
	}
	if newWindow.Answers >= minLatencyAnswers && oldWindow.Answers >= minLatencyAnswers &&
		newWindow.Mean() > time.Duration(slowFactor*float64(oldWindow.Mean()))+slowMargin && newWindow.meanDiffers(oldWindow) {
		return fmt.Sprintf("On route %s the new version took %s on average, the old one %s.",
			e.Route, newWindow.Mean().Round(time.Millisecond), oldWindow.Mean().Round(time.Millisecond))
	}
	return ""
}

func ratio(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// fisherPValue returns the probability that the new version has at least the observed number of bad answers if both versions are
// equally good, by R. A. Fisher's one-sided exact test (Statistical Methods for Research Workers, section 21.02). The normal
// approximation is not used because its result was too small by a factor of 200 for 3 bad of 41 answers against 10 of 1288.
func fisherPValue(newWindow, oldWindow Counts) float64 {
	// An old version with too few answers for a comparison is treated as if the missing answers up to the minimum were good.
	total, totalBad := newWindow.Answers+max(oldWindow.Answers, minWindowAnswers), newWindow.bad()+oldWindow.bad()
	logCombinations := logBinomial(total, newWindow.Answers)
	pValue := 0.0
	for n := newWindow.bad(); n <= min(totalBad, newWindow.Answers); n++ {
		p := math.Exp(logBinomial(totalBad, n) + logBinomial(total-totalBad, newWindow.Answers-n) - logCombinations)
		pValue += p
		if p < pValue*relativeTermCutoff {
			break
		}
	}
	return pValue
}

// logBinomial returns the natural logarithm of the binomial coefficient n over k.
func logBinomial(n, k uint64) float64 {
	if k > n {
		return math.Inf(-1)
	}
	return logFactorial(n) - logFactorial(k) - logFactorial(n-k)
}

func logFactorial(n uint64) float64 {
	v, _ := math.Lgamma(float64(n) + 1)
	return v
}
