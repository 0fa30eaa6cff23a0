// Package executor runs sub-requests and operations on the replicas that this VM owns. No other package opens connections to the
// backend servers of these replicas, so that their slots, connection limits, ramps and crash counts are exact.
package executor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// partName is the name of this component in log lines and events.
	partName = "owner"
	// tickInterval is the interval at which polls, reports, idle connections and expired leases are checked.
	tickInterval = 50 * time.Millisecond
	// MaxBatches is the maximum number of batches that run at the same time.
	MaxBatches = 8192
	// MaxSubRequests is the maximum number of sub-requests of one batch.
	MaxSubRequests = 4096
)

// EvidenceCollector collects the outcomes of sub-requests and operations for version moves. It is safe for concurrent use.
type EvidenceCollector interface {
	// Observe records an outcome. The latency is that of the backend server, without the time in queues and between VMs. For a
	// request that was cancelled or timed out, it is the time since the request was sent to the server.
	Observe(application, version, route string, code classifier.Code, latency time.Duration)
}

// Options contains the dependencies of an Executor. All fields are required.
type Options struct {
	// Name is the name of this VM. It is the last part of the keys of crash records.
	Name      string
	Board     *blackboard.Board
	Dialer    connector.Dialer
	Publisher messenger.RecordPublisher
	Evidence  EvidenceCollector
	Timer     *timer.Service
	Recorder  *recorder.Recorder
	Logger    logger.Logger
}

// Executor is the receiver of the RPC methods Owner.Search, Owner.Collect, Owner.Cancel and Owner.Run.
type Executor struct {
	vmName    string
	board     *blackboard.Board
	backend   connector.Dialer
	publisher messenger.RecordPublisher
	evidence  EvidenceCollector
	timer     *timer.Service
	recorder  *recorder.Recorder
	log       zerolog.Logger

	mu       sync.RWMutex
	replicas map[string]*replica

	batches  atomic.Int64
	tokens   tokenTable
	canaries canaryTable
	crashes  crashTable
	jobs     chan job
	// idleWorkers is the number of workers that wait for a job. At most MaxIdleWorkers of them stay.
	idleWorkers atomic.Int64
	// runningPolls counts the running polls. Loop waits for them before it returns.
	runningPolls sync.WaitGroup
}

// New returns an Executor without connections. It polls replicas, publishes reports and releases replicas only while Loop runs.
func New(o Options) *Executor {
	return &Executor{
		vmName:    o.Name,
		board:     o.Board,
		backend:   o.Dialer,
		publisher: o.Publisher,
		evidence:  o.Evidence,
		timer:     o.Timer,
		recorder:  o.Recorder,
		log:       o.Logger.Part(partName),
		replicas:  map[string]*replica{},
		jobs:      make(chan job),
		tokens: tokenTable{
			byToken: map[uint64]*batch{},
		},
		canaries: canaryTable{
			running: map[uint64]*canary{},
		},
		crashes: crashTable{
			counts: map[uint64]*crashCount{},
		},
	}
}

// Loop polls the replicas that this VM owns, publishes reports about them and closes connections that are not needed. When the
// context ends, it waits for the running polls, closes the idle connections and returns.
func (e *Executor) Loop(ctx context.Context) {
	sub := e.timer.Subscribe(tickInterval)
	defer sub.Stop()
	for {
		changed := e.board.Leases.Changed()
		e.tick(ctx)
		select {
		case <-ctx.Done():
			e.runningPolls.Wait()
			e.closeIdle()
			return
		case <-changed:
		case <-sub.C:
		}
	}
}

func (e *Executor) tick(ctx context.Context) {
	now := e.timer.Now()
	for name := range e.board.Leases.Read().ByReplica {
		if e.owns(name, now) {
			_, _ = e.replica(name)
		}
	}
	for _, r := range e.allReplicas() {
		r.tick(ctx, now)
		if r.retire(now) {
			e.removeReplica(r)
		}
	}
	e.tokens.expire(now)
}

func (e *Executor) owns(name string, now time.Time) bool {
	return e.leaseShare(name, now) != blackboard.ShareNone
}

func (e *Executor) leaseShare(name string, now time.Time) blackboard.LeaseShare {
	return e.board.Leases.Read().ByReplica[name].ShareAt(now)
}

var shareNames = map[blackboard.LeaseShare]string{
	blackboard.ShareFloorHalf:   "half of the limit, rounded down",
	blackboard.ShareCeilingHalf: "half of the limit, rounded up",
	blackboard.ShareAll:         "the whole limit",
}

// replica returns the state of a replica and creates it if this VM has just become an owner of the replica. The error is NotOwner
// if this VM neither owns nor still uses the replica.
func (e *Executor) replica(name string) (*replica, error) {
	e.mu.RLock()
	r := e.replicas[name]
	e.mu.RUnlock()
	if r != nil {
		return r, nil
	}
	share := e.leaseShare(name, e.timer.Now())
	if share == blackboard.ShareNone {
		return nil, classifier.Errorf(classifier.NotOwner, "this VM does not own replica %s", name)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.replicas[name]; r != nil {
		return r, nil
	}
	r = newReplica(e, name)
	e.replicas[name] = r
	// The event contains the share, because no other event records that a successor takes over half of the limit when the lease
	// of the holder expires.
	e.recorder.Record(partName, "ReplicaTaken", name, shareNames[share])
	return r, nil
}

func (e *Executor) removeReplica(r *replica) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.replicas[r.name] == r {
		delete(e.replicas, r.name)
	}
}

func (e *Executor) allReplicas() []*replica {
	e.mu.RLock()
	defer e.mu.RUnlock()
	all := make([]*replica, 0, len(e.replicas))
	for _, r := range e.replicas {
		all = append(all, r)
	}
	return all
}

func (e *Executor) closeIdle() {
	for _, r := range e.allReplicas() {
		r.closeIdle(0)
	}
}

// InUse reports whether this VM has a connection to the replica, or a request running on or waiting for it. An owner that gives
// up a replica confirms the release only when the replica is not in use.
func (e *Executor) InUse(name string) bool {
	e.mu.RLock()
	r := e.replicas[name]
	e.mu.RUnlock()
	return r != nil && r.inUse()
}

// ReplicaUsage is the current use of one replica by this VM.
type ReplicaUsage struct {
	Replica     string
	State       blackboard.ReplicaState
	Allowance   int
	Running     int
	Queued      int
	Connections int
}

// Usages returns the usage of all replicas that this VM owns or still uses, in no particular order.
func (e *Executor) Usages() []ReplicaUsage {
	all := e.allReplicas()
	usages := make([]ReplicaUsage, len(all))
	for i, r := range all {
		usages[i] = r.usage()
	}
	return usages
}
