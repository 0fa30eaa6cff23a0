// Package limiter implements the load limits of an entry VM: the admission of queries, the concurrency of cold servers, the
// queue before the slots of a replica, and the budgets of extra requests. It does no I/O and takes the time as an argument.
package limiter

import (
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/connector"
)

const (
	// SlowFactor is how many times the warm baseline an answer has to take to count as slow.
	SlowFactor = 3
	// SlowThreshold is how many answers in a row have to be slow before the server counts as cold. A single slow answer is ordinary
	// tail latency; it only spoils its round.
	SlowThreshold = 3
	// MaxBaselineAge is how long a cold server is measured against its last warm baseline. After it the baseline is learned again,
	// because the requests themselves may have become slower for good.
	MaxBaselineAge = time.Minute
	// FailureThreshold is how many dials or probes in a row have to fail before the server counts as down, if no connection was refused.
	FailureThreshold = 3
	// DrainClearThreshold is how many status reports in a row have to deny draining before a drain signal is dropped.
	DrainClearThreshold = 3
	// MinShedBackoff is the first pause after a server refused its only request; it doubles with every further refusal.
	MinShedBackoff = 20 * time.Millisecond
	// MaxShedBackoff is the upper bound.
	MaxShedBackoff = 320 * time.Millisecond
	// MaxRampRounds is the greatest number of clean rounds that a step of the ramp takes. With it a server of 6 slots warms up in 240
	// answers at the latest.
	MaxRampRounds = 16
	// MinProbeInterval is the first time between probes of a server that is down; it doubles with every probe.
	MinProbeInterval = 250 * time.Millisecond
	// MaxProbeInterval is the upper bound.
	MaxProbeInterval = 2 * time.Second
)

// The baseline moves by 1/baselineWeight of the difference of an answer, and by 1/slowWeight for slow answers, so that the
// answers of a server that turns cold do not lift the baseline above themselves.
const (
	baselineWeight = 16
	slowWeight     = 64
)

// Event is one piece of evidence on a server. It is sealed.
type Event interface{ isEvent() }

// Answered is an answer to a request.
type Answered struct {
	Latency time.Duration
	Report  connector.Report
}

// Probed is an answer to a status request.
type Probed struct {
	Report connector.Report
}

// Abandoned is a request that was given up after Latency without an answer.
type Abandoned struct {
	Latency time.Duration
}

// Shed is a refusal of a request by the server because of its load.
type Shed struct{}

// RejectedDraining is a refusal of a request by the server because it is leaving.
type RejectedDraining struct{}

// ConnectionRefused is a refused connection.
type ConnectionRefused struct{}

// Unreachable is a dial or probe without an answer.
type Unreachable struct{}

// RequestFailed is a request that ended without a valid answer for a reason that says nothing about load.
type RequestFailed struct{}

// Crashed is the crash of the server while it ran requests.
type Crashed struct{}

// Restarted is a changed incarnation.
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

// Ramp infers from answers how many requests a server can run. It falls to 1 on any sign of a cold start and grows by one
// after each step of clean rounds of answers, one round at first. The server's own reports only lower it. Its methods are safe for concurrent use.
type Ramp struct {
	mu    sync.Mutex
	state blackboard.ReplicaState
	// allowed is at least 1.
	allowed int
	// clean counts the answers of the current step, which is complete at allowed times rounds.
	clean int
	// rounds is at least 1. It doubles when a step went beyond what the cold server bears, so that a server that warms up more
	// slowly than the ramp grows gets ever fewer requests in excess.
	rounds   int
	slow     int
	fails    int
	notDrain int
	// baseline is the smoothed latency while warm, 0 while unknown.
	baseline time.Duration
	// warmAt is the time of the last answer while warm.
	warmAt  time.Time
	probeAt time.Time
	pause   time.Duration
	// shedUntil ends the pause after a refusal, shedPause is its length, 0 after an answer.
	shedUntil time.Time
	shedPause time.Duration
}

// NewRamp returns the ramp of a server that counts as cold.
func NewRamp() *Ramp {
	return &Ramp{
		state:   blackboard.ReplicaCold,
		allowed: 1,
		rounds:  1,
	}
}

// State returns Warm, Cold, Draining or Down.
func (r *Ramp) State() blackboard.ReplicaState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Allowed returns the state and the number of requests that may run at now, which is at most limit. It is 0 when the server
// is Draining or Down, and for a moment after the server refused a request that was alone.
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

// Baseline returns the latency of the warm server, 0 while unknown.
func (r *Ramp) Baseline() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.baseline
}

// Reset makes the server count as cold, as after a take-over or the return of its availability zone. A drain signal and the
// state Down remain.
func (r *Ramp) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fall()
}

// ProbeDue reports whether a server that is Down may be probed at now. Probes are at least ProbeMin apart.
func (r *Ramp) ProbeDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != blackboard.ReplicaDown || now.Before(r.probeAt) {
		return false
	}
	r.probeAt = now.Add(r.pause)
	r.pause = min(2*r.pause, MaxProbeInterval)
	return true
}

// Observe takes an event into account. The concurrency grows at most to limit, and
// stays when limit is 0 because the replica is not held at the moment.
func (r *Ramp) Observe(now time.Time, limit int, e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e := e.(type) {
	case Answered:
		r.fails = 0
		r.shedPause = 0
		r.answer(now, limit, e.Latency)
		r.lower(e.Report)
	case Probed:
		r.probe(e.Report)
	case Abandoned:
		r.overrun(e.Latency)
	case Shed:
		r.shed(now)
	case Restarted:
		r.restart()
	case RejectedDraining:
		r.drain()
	case RequestFailed:
		r.spoil()
	case Unreachable:
		r.fail(now)
	case ConnectionRefused, Crashed:
		r.down(now)
	}
}

// answer ignores answers that requests sent earlier get from a server that is Draining or Down.
func (r *Ramp) answer(now time.Time, limit int, latency time.Duration) {
	if r.state != blackboard.ReplicaWarm && r.state != blackboard.ReplicaCold {
		return
	}
	if r.judge(now, latency) {
		r.spoil()
		return
	}
	r.clean++
	if r.clean < r.allowed*r.rounds {
		return
	}
	r.clean = 0
	r.allowed = max(r.allowed, min(r.allowed+1, limit))
	if r.state == blackboard.ReplicaCold && limit > 0 && r.allowed >= limit {
		r.state = blackboard.ReplicaWarm
		r.rounds = 1
	}
}

// spoil drops the answers of the current round. The earlier rounds of a long step stay, or ordinary stragglers would keep a
// server with many slots from ever ending it.
func (r *Ramp) spoil() {
	r.clean -= r.clean % r.allowed
}

// judge compares a latency with the baseline, learns from it while the server is warm, and reports whether it was slow.
func (r *Ramp) judge(now time.Time, latency time.Duration) bool {
	if r.state != blackboard.ReplicaWarm && now.Sub(r.warmAt) > MaxBaselineAge {
		r.baseline = 0
	}
	slow := r.isSlow(latency)
	if r.state == blackboard.ReplicaWarm {
		r.learn(now, latency, slow)
	}
	if !slow {
		r.slow = 0
		return false
	}
	r.countSlow()
	return true
}

func (r *Ramp) isSlow(latency time.Duration) bool {
	return r.baseline > 0 && latency > SlowFactor*r.baseline
}

func (r *Ramp) countSlow() {
	r.slow++
	if r.slow >= SlowThreshold {
		r.overstep()
		r.fall()
	}
}

// overrun ignores requests that were given up early: they say nothing about the server.
func (r *Ramp) overrun(latency time.Duration) {
	if r.isSlow(latency) {
		r.spoil()
		r.countSlow()
	}
}

// shed pauses a server that refuses even a single request. Else a full queue would run against it at the rate of its refusals.
func (r *Ramp) shed(now time.Time) {
	if r.allowed == 1 {
		r.shedPause = min(max(2*r.shedPause, MinShedBackoff), MaxShedBackoff)
		r.shedUntil = now.Add(r.shedPause)
	}
	r.overstep()
	r.fall()
}

// overstep makes the next steps longer if the last one has led a cold server beyond what it bears.
func (r *Ramp) overstep() {
	if r.state == blackboard.ReplicaCold && r.allowed > 1 {
		r.rounds = min(2*r.rounds, MaxRampRounds)
	}
}

func (r *Ramp) restart() {
	r.fall()
	if r.state == blackboard.ReplicaDraining {
		r.state = blackboard.ReplicaCold
	}
}

func (r *Ramp) learn(now time.Time, latency time.Duration, slow bool) {
	r.warmAt = now
	switch {
	case r.baseline == 0:
		r.baseline = latency
	case slow:
		r.baseline += (latency - r.baseline) / slowWeight
	default:
		r.baseline += (latency - r.baseline) / baselineWeight
	}
}

func (r *Ramp) probe(report connector.Report) {
	r.fails = 0
	if r.state == blackboard.ReplicaDown {
		r.state = blackboard.ReplicaCold
		r.fall()
	}
	r.notDrain++
	if r.state == blackboard.ReplicaDraining && r.notDrain >= DrainClearThreshold {
		r.state = blackboard.ReplicaCold
	}
	r.lower(report)
}

func (r *Ramp) lower(report connector.Report) {
	if report.Cold {
		r.fall()
	}
	if report.Draining {
		r.drain()
	}
}

func (r *Ramp) drain() {
	r.notDrain = 0
	if r.state != blackboard.ReplicaDown {
		r.fall()
		r.state = blackboard.ReplicaDraining
	}
}

func (r *Ramp) fall() {
	r.allowed = 1
	r.clean = 0
	r.slow = 0
	if r.state == blackboard.ReplicaWarm {
		r.state = blackboard.ReplicaCold
	}
}

func (r *Ramp) fail(now time.Time) {
	r.fails++
	r.clean = 0
	if r.fails >= FailureThreshold {
		r.down(now)
	}
}

func (r *Ramp) down(now time.Time) {
	r.fall()
	if r.state == blackboard.ReplicaDown {
		return
	}
	r.state = blackboard.ReplicaDown
	r.pause = MinProbeInterval
	r.probeAt = now.Add(MinProbeInterval)
}
