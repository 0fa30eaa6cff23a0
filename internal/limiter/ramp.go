// Package limiter implements the load limits of an entry VM: the concurrency of queries, the concurrency of cold backend servers,
// the queue for the slots of a replica, and the budgets of extra attempts. It does no I/O and, except for the wait in the queue,
// takes the time as an argument.
package limiter

import (
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/connector"
)

const (
	// SlowFactor is the multiple of the warm baseline above which the latency of an answer counts as slow.
	SlowFactor = 3
	// SlowThreshold is the number of consecutive slow answers after which the server counts as cold. A single slow answer is
	// ordinary tail latency and only discards the clean answers of its round.
	SlowThreshold = 3
	// MaxBaselineAge is how long the latency of a cold server is compared with its last warm baseline. After that the baseline is
	// measured again, because the requests themselves may have become permanently slower.
	MaxBaselineAge = time.Minute
	// FailureThreshold is the number of consecutive failed dials or probes after which the server counts as down. A refused
	// connection counts as down at once.
	FailureThreshold = 3
	// DrainClearThreshold is the number of consecutive status reports without draining after which a drain signal is cleared.
	DrainClearThreshold = 3
	// MinShedBackoff is the first pause after a server has refused its only request. The pause doubles with every further refusal.
	MinShedBackoff = 20 * time.Millisecond
	// MaxShedBackoff is the greatest pause after refusals.
	MaxShedBackoff = 320 * time.Millisecond
	// MaxRampRounds is the greatest number of clean rounds per step of the ramp. With it a server of 6 slots needs at most 240 clean
	// answers to become warm.
	MaxRampRounds = 16
	// MinProbeInterval is the first interval between probes of a server that is down. The interval doubles with every probe.
	MinProbeInterval = 250 * time.Millisecond
	// MaxProbeInterval is the greatest interval between probes.
	MaxProbeInterval = 2 * time.Second
)

// The baseline is an exponentially weighted moving average: each answer moves it by 1/baselineWeight of the difference, a slow
// answer by 1/slowBaselineWeight. With the smaller weight, the slow answers of a server that becomes cold do not raise the
// baseline so far that they no longer count as slow.
const (
	baselineWeight     = 16
	slowBaselineWeight = 64
)

// Event is an observation of the behavior of a server. It is a sealed interface.
type Event interface{ isEvent() }

// Answered means that the server answered a request after Latency.
type Answered struct {
	Latency time.Duration
	Report  connector.Report
}

// Probed means that the server answered a status request.
type Probed struct {
	Report connector.Report
}

// Abandoned is a request that was given up without an answer after Latency.
type Abandoned struct {
	Latency time.Duration
}

// Shed is a refusal of a request by the server because of its load.
type Shed struct{}

// RejectedDraining is a refusal of a request by the server because it is draining.
type RejectedDraining struct{}

// ConnectionRefused is a dial that the address of the server refused.
type ConnectionRefused struct{}

// Unreachable is a dial or probe without an answer.
type Unreachable struct{}

// RequestFailed is a request that ended without a valid answer for a reason unrelated to load.
type RequestFailed struct{}

// Crashed is a crash of the server while it ran requests.
type Crashed struct{}

// Restarted is a change of the incarnation that the server reports.
type Restarted struct{}

func (Answered) isEvent()          {}
func (Probed) isEvent()            {}
func (Abandoned) isEvent()         {}
func (Shed) isEvent()              {}
func (RejectedDraining) isEvent()  {}
func (ConnectionRefused) isEvent() {}
func (Unreachable) isEvent()       {}
func (RequestFailed) isEvent()     {}
func (Crashed) isEvent()           {}
func (Restarted) isEvent()         {}

// Ramp infers from the answers of a server how many requests it can run concurrently. The number of allowed requests falls to 1
// on any sign of a cold start, and grows by one after each step. A round is as many clean answers as requests are allowed; a step
// has one round at first. The server's own reports only lower the number. The methods of Ramp are safe for concurrent use.
type Ramp struct {
	mu    sync.Mutex
	state blackboard.ReplicaState
	// allowed is the number of requests that the server may run concurrently, at least 1.
	allowed int
	// cleanAnswers counts the clean answers of the current step, which is complete at allowed*roundsPerStep.
	cleanAnswers int
	// roundsPerStep is 1 to MaxRampRounds. It doubles when a step has overloaded the cold server, so that a server that warms up
	// more slowly than the ramp grows is overloaded less and less often.
	roundsPerStep int
	slowAnswers   int
	failures      int
	drainDenials  int
	// baseline is the smoothed latency of the warm server, or 0 if unknown.
	baseline time.Duration
	// lastWarmAnswer is the time of the last answer that arrived while the server was warm.
	lastWarmAnswer time.Time
	nextProbe      time.Time
	probeInterval  time.Duration
	// shedUntil is the end of the pause after a refusal. shedBackoff is the length of the last pause, or 0 after an answer.
	shedUntil   time.Time
	shedBackoff time.Duration
}

// NewRamp returns the ramp of a server in the state Cold.
func NewRamp() *Ramp {
	return &Ramp{
		state:         blackboard.ReplicaCold,
		allowed:       1,
		roundsPerStep: 1,
	}
}

// State returns Warm, Cold, Draining or Down.
func (r *Ramp) State() blackboard.ReplicaState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Allowed returns the state and the number of requests that may run at now, which is at most limit. It is 0 while the server is
// Draining or Down, and during the pause after the server has refused a request although only one was allowed.
func (r *Ramp) Allowed(now time.Time, limit int) (blackboard.ReplicaState, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == blackboard.ReplicaDraining || r.state == blackboard.ReplicaDown {
		return r.state, 0
	}
	if now.Before(r.shedUntil) {
		return r.state, 0
	}
	return r.state, min(r.allowed, limit)
}

// Baseline returns the smoothed latency of the warm server, or 0 if it is unknown.
func (r *Ramp) Baseline() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.baseline
}

// Reset makes a warm server count as cold and allows it 1 request, for example after a takeover or when its availability zone is
// back. The states Draining and Down remain.
func (r *Ramp) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetToOne()
}

// ProbeDue reports whether a server that is Down is to be probed at now. When it returns true, it schedules the next probe, which
// is at least MinProbeInterval later.
func (r *Ramp) ProbeDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != blackboard.ReplicaDown || now.Before(r.nextProbe) {
		return false
	}
	r.nextProbe = now.Add(r.probeInterval)
	r.probeInterval = min(2*r.probeInterval, MaxProbeInterval)
	return true
}

// Observe updates the ramp with an event at now. The number of allowed requests grows at most to limit, and does not grow while
// limit is 0, which means that this VM does not hold the replica.
func (r *Ramp) Observe(now time.Time, limit int, e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e := e.(type) {
	case Answered:
		r.failures = 0
		r.shedBackoff = 0
		r.handleAnswer(now, limit, e.Latency)
		r.applyReport(e.Report)
	case Probed:
		r.handleProbe(e.Report)
	case Abandoned:
		r.handleAbandoned(e.Latency)
	case Shed:
		r.handleShed(now)
	case Restarted:
		r.handleRestart()
	case RejectedDraining:
		r.enterDraining()
	case RequestFailed:
		r.discardRound()
	case Unreachable:
		r.handleUnreachable(now)
	case ConnectionRefused, Crashed:
		r.enterDown(now)
	}
}

// handleAnswer ignores answers of a server that is Draining or Down: they belong to requests sent before.
func (r *Ramp) handleAnswer(now time.Time, limit int, latency time.Duration) {
	if r.state != blackboard.ReplicaWarm && r.state != blackboard.ReplicaCold {
		return
	}
	if r.classifyLatency(now, latency) {
		r.discardRound()
		return
	}
	r.cleanAnswers++
	if r.cleanAnswers < r.allowed*r.roundsPerStep {
		return
	}
	r.cleanAnswers = 0
	r.allowed = max(r.allowed, min(r.allowed+1, limit))
	if r.state == blackboard.ReplicaCold && limit > 0 && r.allowed >= limit {
		r.state = blackboard.ReplicaWarm
		r.roundsPerStep = 1
	}
}

// discardRound discards the clean answers of the current round. Those of earlier rounds of the step stay, because otherwise
// ordinary tail latency would prevent a server with many slots from ever completing a long step.
func (r *Ramp) discardRound() {
	r.cleanAnswers -= r.cleanAnswers % r.allowed
}

// classifyLatency reports whether a latency counts as slow, and updates the baseline with it while the server is warm.
func (r *Ramp) classifyLatency(now time.Time, latency time.Duration) bool {
	if r.state != blackboard.ReplicaWarm && now.Sub(r.lastWarmAnswer) > MaxBaselineAge {
		r.baseline = 0
	}
	slow := r.isSlow(latency)
	if r.state == blackboard.ReplicaWarm {
		r.updateBaseline(now, latency, slow)
	}
	if !slow {
		r.slowAnswers = 0
		return false
	}
	r.countSlow()
	return true
}

func (r *Ramp) isSlow(latency time.Duration) bool {
	return r.baseline > 0 && latency > SlowFactor*r.baseline
}

func (r *Ramp) countSlow() {
	r.slowAnswers++
	if r.slowAnswers >= SlowThreshold {
		r.lengthenSteps()
		r.resetToOne()
	}
}

// handleAbandoned ignores requests that were given up early, because they do not show that the server is slow.
func (r *Ramp) handleAbandoned(latency time.Duration) {
	if r.isSlow(latency) {
		r.discardRound()
		r.countSlow()
	}
}

// handleShed pauses the requests to a server that has refused one although only one was allowed. Without the pause, the requests
// of a full queue would be sent to it as fast as it refuses them.
func (r *Ramp) handleShed(now time.Time) {
	if r.allowed == 1 {
		r.shedBackoff = min(max(2*r.shedBackoff, MinShedBackoff), MaxShedBackoff)
		r.shedUntil = now.Add(r.shedBackoff)
	}
	r.lengthenSteps()
	r.resetToOne()
}

// lengthenSteps doubles the rounds of the next steps if the last step has overloaded a cold server.
func (r *Ramp) lengthenSteps() {
	if r.state == blackboard.ReplicaCold && r.allowed > 1 {
		r.roundsPerStep = min(2*r.roundsPerStep, MaxRampRounds)
	}
}

func (r *Ramp) handleRestart() {
	r.resetToOne()
	if r.state == blackboard.ReplicaDraining {
		r.state = blackboard.ReplicaCold
	}
}

func (r *Ramp) updateBaseline(now time.Time, latency time.Duration, slow bool) {
	r.lastWarmAnswer = now
	switch {
	case r.baseline == 0:
		r.baseline = latency
	case slow:
		r.baseline += (latency - r.baseline) / slowBaselineWeight
	default:
		r.baseline += (latency - r.baseline) / baselineWeight
	}
}

func (r *Ramp) handleProbe(report connector.Report) {
	r.failures = 0
	if r.state == blackboard.ReplicaDown {
		r.state = blackboard.ReplicaCold
		r.resetToOne()
	}
	r.drainDenials++
	if r.state == blackboard.ReplicaDraining && r.drainDenials >= DrainClearThreshold {
		r.state = blackboard.ReplicaCold
	}
	r.applyReport(report)
}

func (r *Ramp) applyReport(report connector.Report) {
	if report.Cold {
		r.resetToOne()
	}
	if report.Draining {
		r.enterDraining()
	}
}

func (r *Ramp) enterDraining() {
	r.drainDenials = 0
	if r.state != blackboard.ReplicaDown {
		r.resetToOne()
		r.state = blackboard.ReplicaDraining
	}
}

func (r *Ramp) resetToOne() {
	r.allowed = 1
	r.cleanAnswers = 0
	r.slowAnswers = 0
	if r.state == blackboard.ReplicaWarm {
		r.state = blackboard.ReplicaCold
	}
}

func (r *Ramp) handleUnreachable(now time.Time) {
	r.failures++
	r.cleanAnswers = 0
	if r.failures >= FailureThreshold {
		r.enterDown(now)
	}
}

func (r *Ramp) enterDown(now time.Time) {
	r.resetToOne()
	if r.state == blackboard.ReplicaDown {
		return
	}
	r.state = blackboard.ReplicaDown
	r.probeInterval = MinProbeInterval
	r.nextProbe = now.Add(MinProbeInterval)
}
