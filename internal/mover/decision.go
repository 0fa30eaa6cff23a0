// Package mover carries out the Move objects of the search configuration: it shifts the queries of an application step by
// step from one version to another, compares the versions by the evidence of all entry VMs, and rolls a move back when the
// new version is worse. Package promoter does this for the services of the gateway.
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
	// minWindowAnswers is the least number of answers of the new version on a route that a window needs for a comparison.
	minWindowAnswers = 20
	// minWindowOperations is that number on a route of operations. These are rare, and independent of each other, while the
	// sub-requests of one search may all fail for the same reason.
	minWindowOperations = 5
	// crashLimit is the number of crashes of the new version in a window that takes a move back. A single crash may belong
	// to one bad request.
	crashLimit = 2
	// maxChance is the probability of a difference by chance below which it counts as real. Windows are compared every second
	// on each route, so that a higher one would take back good versions in moves of hours.
	maxChance = 1e-6
	// slowFactor and slowMargin say when the mean latency of the new version is too high.
	slowFactor = 1.5
	slowMargin = 5 * time.Millisecond
	// maxDeviations is the number of standard deviations that a normal variable exceeds with the probability maxChance.
	maxDeviations = 4.75
	// minLatencyAnswers is the least number of answers for a comparison of mean latencies.
	minLatencyAnswers = 50
	// negligible is the part of a sum below which its further terms are left out. They fall at least as fast as a geometric series,
	// because chance is only asked for when the new version is worse.
	negligible      = 1e-9
	perMillePerCent = 10
	finalShare      = 100
)

// Counts are cumulative counters of one version on one route.
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

// Since returns what was counted after an earlier state of the counters, and everything if they have fallen since: some of those that
// counted are gone.
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

// differs reports whether the mean latencies of two versions differ by more than chance, by B. L. Welch's test (The generalization of
// "Student's" problem when several different population variances are involved, Biometrika 34, 1947). A few answers that a busy machine
// delayed raise the mean, and with it the deviation.
func (c Counts) differs(other Counts) bool {
	difference := (c.Mean() - other.Mean()).Seconds()
	return difference*difference > maxDeviations*maxDeviations*(c.meanVariance()+other.meanVariance())
}

// meanVariance returns the variance of the mean latency in square seconds.
func (c Counts) meanVariance() float64 {
	n, mean := float64(c.Answers), c.Mean().Seconds()
	return max(0, c.LatencySquares/n-mean*mean) / n
}

// RouteEvidence compares the versions of a move on one route.
type RouteEvidence struct {
	Route string
	// Operation says that the route is one of operations. Too few answers on it do not hold up a move: a route may be unused for
	// days.
	Operation bool
	// NewTotal counts all answers of the new version that are known.
	NewTotal Counts
	// NewWindow and OldWindow cover the same recent time. While the old version gets no queries, OldWindow is the last
	// window in which it did.
	NewWindow Counts
	OldWindow Counts
}

// Decision is what a VM does about a move.
type Decision struct {
	SharePerMille int
	Outcome       blackboard.MoveOutcome
	Reason        string
}

// Decide computes the share of the new version from the plan, the time and the evidence. It depends on cumulative counters, so
// that a VM that starts in the middle of a move reaches the same step as the others.
func Decide(m parser.Move, policy parser.Policy, evidence []RouteEvidence, now time.Time) Decision {
	if now.Before(m.Start) {
		return running(0)
	}
	limits := Thresholds{
		MaxExtraBadPercent: policy.MoveMaxBadPercent,
		Significance:       maxChance,
	}
	for _, e := range evidence {
		if reason := RegressionReason(e, limits); reason != "" {
			return takenBack(reason)
		}
	}
	step := reachedStep(m, policy, evidence, now)
	if now.Before(m.FinishBy) {
		return running(m.Steps[step] * perMillePerCent)
	}
	if !finished(m, policy, evidence, step) {
		return takenBack("The evidence was too little to finish in time.")
	}
	return Decision{
		SharePerMille: finalShare * perMillePerCent,
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

func takenBack(reason string) Decision {
	return Decision{
		Outcome: blackboard.MoveRolledBack,
		Reason:  reason,
	}
}

// reachedStep returns the index of the highest step whose time has come and whose earlier steps have evidence.
func reachedStep(m parser.Move, policy parser.Policy, evidence []RouteEvidence, now time.Time) int {
	interval := m.FinishBy.Sub(m.Start) / time.Duration(len(m.Steps))
	due := min(int(now.Sub(m.Start)/max(interval, 1)), len(m.Steps)-1)
	step := 0
	for step < due && hasEvidence(evidence, policy, step+1) {
		step++
	}
	return step
}

// hasEvidence reports whether there were searches, and enough answers of the new version for the given number of steps on each
// search route with traffic.
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

// Thresholds say which differences between versions are borne.
type Thresholds struct {
	// MaxExtraBadPercent is how many more percent of bad answers than those of the old version are borne.
	MaxExtraBadPercent int
	// Significance is the probability below which a difference is not taken for chance.
	Significance float64
}

// RegressionReason returns a sentence that says why the new version is worse on a route, or "".
func RegressionReason(e RouteEvidence, l Thresholds) string {
	fresh, old := e.NewWindow, e.OldWindow
	if fresh.Crashes >= crashLimit && rate(fresh.Crashes, fresh.Answers) > rate(old.Crashes, old.Answers) {
		return fmt.Sprintf("On route %s the new version crashed %d times.", e.Route, fresh.Crashes)
	}
	if !e.Operation && fresh.Answers < minWindowAnswers || fresh.Answers < minWindowOperations {
		return ""
	}
	margin := float64(l.MaxExtraBadPercent) / 100
	excess := rate(fresh.bad(), fresh.Answers) - rate(old.bad(), old.Answers)
	if excess > margin && chance(fresh, old) < l.Significance {
		return fmt.Sprintf("On route %s the new version failed or was slow in %d of %d answers, the old one in %d of %d.",
			e.Route, fresh.bad(), fresh.Answers, old.bad(), old.Answers)
	}
	if fresh.Answers >= minLatencyAnswers && old.Answers >= minLatencyAnswers &&
		fresh.Mean() > time.Duration(slowFactor*float64(old.Mean()))+slowMargin && fresh.differs(old) {
		return fmt.Sprintf("On route %s the new version took %s on average, the old one %s.",
			e.Route, fresh.Mean().Round(time.Millisecond), old.Mean().Round(time.Millisecond))
	}
	return ""
}

func rate(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// chance is the probability that the new version has at least as many bad answers as it has if both versions are equally good: the
// one-sided exact test of R. A. Fisher (Statistical Methods for Research Workers, section 21.02). The normal approximation gave
// 3 bad of 41 answers against 10 of 1288 a probability 200 times too small.
func chance(fresh, old Counts) float64 {
	// An old version with too few answers to compare with counts as sound.
	all, bad := fresh.Answers+max(old.Answers, minWindowAnswers), fresh.bad()+old.bad()
	ways := logChoose(all, fresh.Answers)
	sum := 0.0
	for n := fresh.bad(); n <= min(bad, fresh.Answers); n++ {
		p := math.Exp(logChoose(bad, n) + logChoose(all-bad, fresh.Answers-n) - ways)
		sum += p
		if p < sum*negligible {
			break
		}
	}
	return sum
}

// logChoose is the logarithm of the number of ways to choose k of n.
func logChoose(n, k uint64) float64 {
	if k > n {
		return math.Inf(-1)
	}
	return logFactorial(n) - logFactorial(k) - logFactorial(n-k)
}

func logFactorial(n uint64) float64 {
	v, _ := math.Lgamma(float64(n) + 1)
	return v
}
