// Package executor executes sub-requests and operations on the replicas that this VM holds. It alone opens connections to
// the backend servers of these replicas, so that their slots, connection limits, ramps and crash records are exact.
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
	// partName is the name of this part in logs and events.
	partName = "owner"
	// tickEvery is the resolution of polls, reports, idle connections and lapsed leases.
	tickEvery = 50 * time.Millisecond
	// MaxBatches bounds the batches that run at the same time.
	MaxBatches = 8192
	// MaxSubRequests bounds the sub-requests of one batch.
	MaxSubRequests = 4096
)

// EvidenceCollector collects the outcomes of sub-requests and operations for version moves. It is safe for concurrent use.
type EvidenceCollector interface {
	// Observe counts an outcome. The latency is that of the backend server, without the time in queues and between VMs. For a
	// request that was cancelled or timed out it is how long the server had it.
	Observe(application, version, route string, code classifier.Code, latency time.Duration)
}

// Options holds what an Owner works with. All fields are required.
type Options struct {
	// Name is the name of this VM, the last part of the keys of crash records.
	Name      string
	Board     *blackboard.Board
	Backend   connector.Dialer
	Publisher messenger.RecordPublisher
	Evidence  EvidenceCollector
	Timer     *timer.Service
	Recorder  *recorder.Recorder
	Logger    logger.Logger
}

// Executor is the receiver of the RPC methods Owner.Search, Owner.Collect, Owner.Cancel and Owner.Run.
type Executor struct {
	self      string
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
	// idleWorkers is at most MaxIdleWorkers.
	idleWorkers atomic.Int64
	// polls counts the running polls, for which Loop waits.
	polls sync.WaitGroup
}

// New returns an owner without connections. Loop has to run for polls, reports and releases.
func New(o Options) *Executor {
	return &Executor{
		self:      o.Name,
		board:     o.Board,
		backend:   o.Backend,
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

// Loop polls the held replicas, publishes reports and closes connections that are not needed until the context ends. Then it
// closes the idle connections.
func (o *Executor) Loop(ctx context.Context) {
	sub := o.timer.Subscribe(tickEvery)
	defer sub.Stop()
	for {
		changed := o.board.Leases.Changed()
		o.tick(ctx)
		select {
		case <-ctx.Done():
			o.polls.Wait()
			o.closeIdle()
			return
		case <-changed:
		case <-sub.C:
		}
	}
}

func (o *Executor) tick(ctx context.Context) {
	now := o.timer.Now()
	for name := range o.board.Leases.Read().ByReplica {
		if o.holds(name, now) {
			_, _ = o.replica(name)
		}
	}
	for _, r := range o.list() {
		r.tick(ctx, now)
		if r.retire(now) {
			o.forget(r)
		}
	}
	o.tokens.expire(now)
}

func (o *Executor) holds(name string, now time.Time) bool {
	return o.share(name, now) != blackboard.ShareNone
}

func (o *Executor) share(name string, now time.Time) blackboard.LeaseShare {
	return o.board.Leases.Read().ByReplica[name].ShareAt(now)
}

var shareNames = map[blackboard.LeaseShare]string{
	blackboard.ShareFloorHalf: "half of the limit, rounded down",
	blackboard.ShareCeilHalf:  "half of the limit, rounded up",
	blackboard.ShareAll:       "the whole limit",
}

// replica returns the state of a replica that this VM holds, which it creates when the replica is taken over.
func (o *Executor) replica(name string) (*replica, error) {
	o.mu.RLock()
	r := o.replicas[name]
	o.mu.RUnlock()
	if r != nil {
		return r, nil
	}
	share := o.share(name, o.timer.Now())
	if share == blackboard.ShareNone {
		return nil, classifier.Errorf(classifier.NotOwner, "this VM does not hold replica %s", name)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if r := o.replicas[name]; r != nil {
		return r, nil
	}
	r = newReplica(o, name)
	o.replicas[name] = r
	// A successor takes half of the limit by the lapse of the holder's lease, without any other event.
	o.recorder.Record(partName, "ReplicaTaken", name, shareNames[share])
	return r, nil
}

func (o *Executor) forget(r *replica) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.replicas[r.name] == r {
		delete(o.replicas, r.name)
	}
}

func (o *Executor) list() []*replica {
	o.mu.RLock()
	defer o.mu.RUnlock()
	all := make([]*replica, 0, len(o.replicas))
	for _, r := range o.replicas {
		all = append(all, r)
	}
	return all
}

func (o *Executor) closeIdle() {
	for _, r := range o.list() {
		r.closeIdle(0)
	}
}

// InUse reports whether this VM has a connection to the replica or runs a request on it. A holder that gives a replica up
// answers a release only when it is not in use.
func (o *Executor) InUse(name string) bool {
	o.mu.RLock()
	r := o.replicas[name]
	o.mu.RUnlock()
	return r != nil && r.inUse()
}

// ReplicaUsage is what one replica uses now.
type ReplicaUsage struct {
	Replica     string
	State       blackboard.ReplicaState
	Allowance   int
	Running     int
	Queued      int
	Connections int
}

// Usages returns the usage of all replicas that this VM holds or still uses, in no particular order.
func (o *Executor) Usages() []ReplicaUsage {
	all := o.list()
	usages := make([]ReplicaUsage, len(all))
	for i, r := range all {
		usages[i] = r.usage()
	}
	return usages
}
