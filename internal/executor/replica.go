package executor

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/limiter"
	"github.com/anvildyke/anvildyke/internal/parser"
)

// replica is the state of one backend server that this VM owns or still uses.
type replica struct {
	executor  *Executor
	name      string
	ramp      *limiter.Ramp
	semaphore *limiter.Semaphore
	pool      pool

	mu sync.Mutex
	// inFlight contains the requests that have been sent and whose outcome has not been handled yet.
	inFlight map[*execution]struct{}
	// epoch counts the changes of the server process that this VM has detected. Connections and requests carry the epoch in which
	// they started.
	epoch uint64
	// incarnation identifies the server process. It is empty while it is unknown.
	incarnation string
	held        []connector.HeldSnapshot
	// heldKnown is set when the server has reported its snapshots, so that an empty held means that it holds none.
	heldKnown bool
	// crashCheck is the running check whether the server has crashed, or nil.
	crashCheck *crashCheck
	polling    bool
	pollAt     time.Time
	zoneOut    bool
	// notOwned is set while this VM does not own the replica.
	notOwned bool
	report   reportState
}

// execution is the state of one request that is sent to a backend server.
type execution struct {
	fingerprint uint64
	epoch       uint64
	// staleConn is set when the connection had been idle for longer than MaxCanaryConnIdle, so that its break does not count as a
	// crash caused by the request.
	staleConn bool
	// crashCounted is set when the crash of the server process that ran the request is in the crash table.
	crashCounted bool
	// untried is set when the request runs as a canary.
	untried bool
	// sentAt is when the request was sent, in nanoseconds since the Unix epoch, or 0. connBroken is set when the connection on
	// which it was sent has broken.
	sentAt     atomic.Int64
	connBroken atomic.Bool
}

func newReplica(e *Executor, name string) *replica {
	r := &replica{
		executor: e,
		name:     name,
		ramp:     limiter.NewRamp(),
		inFlight: map[*execution]struct{}{},
		pollAt:   e.timer.Now(),
	}
	r.semaphore = limiter.NewSemaphore(r.slots)
	r.pool.replica = r
	return r
}

// replicaLimits contains the limits that apply to the use of a replica by this VM at one moment.
type replicaLimits struct {
	address     netip.AddrPort
	slots       int
	connections int
	// totalSlots is the number of slots of the server, of which slots is the share of this VM.
	totalSlots int
}

// currentLimits returns this VM's share of the limits at now, or the error with which requests are refused: NotOwner or ZoneOut.
func (r *replica) currentLimits(now time.Time) (replicaLimits, error) {
	cfg := r.executor.board.Config.Read()
	s, ok := cfg.Servers[r.name]
	if !ok {
		return replicaLimits{}, classifier.Errorf(classifier.NotOwner, "the configuration contains no backend server %s", r.name)
	}
	lease := r.executor.board.Leases.Read().ByReplica[r.name]
	lim := replicaLimits{
		address:     s.Address,
		totalSlots:  s.Slots,
		slots:       lease.ShareAt(now).Of(s.Slots),
		connections: lease.ConnectionShareAt(now).Of(s.Connections),
	}
	if lim.slots == 0 || lim.connections == 0 {
		return lim, classifier.Errorf(classifier.NotOwner, "this VM does not own replica %s", r.name)
	}
	if cfg.Zones[s.AvailabilityZone].State == parser.ZoneOutOfService {
		return lim, classifier.Errorf(classifier.ZoneOut, "availability zone %s is taken out of service", s.AvailabilityZone)
	}
	return lim, nil
}

// maxRunning returns the number of requests that may run at the same time when the server is warm.
func (lim replicaLimits) maxRunning() int {
	return min(lim.slots, lim.connections)
}

// slots returns the limit of the semaphore, or the error with which waiting requests are refused.
func (r *replica) slots() (int, error) {
	now := r.executor.timer.Now()
	lim, err := r.currentLimits(now)
	if err != nil {
		return 0, err
	}
	if r.leaving() {
		return 0, classifier.Errorf(classifier.Draining, "backend server %s is leaving", r.name)
	}
	switch state, n := r.ramp.Allowed(now, lim.maxRunning()); state {
	case blackboard.ReplicaDraining:
		return 0, classifier.Errorf(classifier.Draining, "backend server %s is draining", r.name)
	case blackboard.ReplicaDown:
		return 0, classifier.Errorf(classifier.NotSent, "backend server %s is down", r.name)
	default:
		return n, nil
	}
}

// leaving reports whether the platform lists the server's VM as leaving.
func (r *replica) leaving() bool {
	return r.executor.board.Replicas.Read().ByName[r.name].Leaving
}

// observe passes an event to the ramp and makes the semaphore apply the changed limit.
func (r *replica) observe(e limiter.Event) {
	r.observeAt(r.executor.timer.Now(), e)
}

func (r *replica) observeAt(now time.Time, e limiter.Event) {
	lim, _ := r.currentLimits(now)
	r.ramp.Observe(now, lim.maxRunning(), e)
	r.semaphore.LimitChanged()
}

// applyReport updates the incarnation and the epoch from a report of the server. It returns false for a report of an earlier
// process.
func (r *replica) applyReport(pc *pooledConn, report connector.Report) bool {
	r.mu.Lock()
	hasIncarnation := report.Incarnation != ""
	same := report.Incarnation == r.incarnation
	if hasIncarnation && same {
		pc.epoch = r.epoch
	}
	if !hasIncarnation || same || pc.epoch < r.epoch {
		current := pc.epoch == r.epoch
		r.mu.Unlock()
		return current
	}
	restarted := r.incarnation != ""
	r.incarnation = report.Incarnation
	if restarted {
		r.epoch++
		pc.epoch = r.epoch
		r.held = nil
	}
	r.mu.Unlock()
	if restarted {
		r.executor.recorder.Record(partName, "Restarted", r.name, "")
		r.closeIdle(0)
		r.observe(limiter.Restarted{})
	}
	return true
}

func (r *replica) addInFlight(ex *execution, pc *pooledConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ex.epoch = pc.epoch
	ex.sentAt.Store(r.executor.timer.Now().UnixNano())
	r.inFlight[ex] = struct{}{}
}

func (r *replica) removeInFlight(ex *execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, ex)
}

// tick applies changed limits, closes connections that are not needed, starts a due poll and publishes a due report.
func (r *replica) tick(ctx context.Context, now time.Time) {
	lim, err := r.currentLimits(now)
	code := classifier.CodeOf(err)
	r.mu.Lock()
	resetRamp := (code == classifier.ZoneOut) != r.zoneOut || code != classifier.NotOwner && r.notOwned
	r.zoneOut = code == classifier.ZoneOut
	r.notOwned = code == classifier.NotOwner
	r.mu.Unlock()
	if resetRamp {
		r.ramp.Reset()
	}
	r.semaphore.LimitChanged()
	switch {
	case r.notOwned || r.leaving() || r.ramp.State() == blackboard.ReplicaDraining || r.ramp.State() == blackboard.ReplicaDown:
		r.closeIdle(0)
	default:
		r.closeIdle(lim.connections)
	}
	if !r.notOwned {
		r.maybePoll(ctx, now)
	}
	r.publishReport(now)
}

// retire closes the pool and publishes the release if this VM no longer owns or uses the replica, and reports whether it did.
func (r *replica) retire(now time.Time) bool {
	if r.executor.owns(r.name, now) || r.inUse() {
		return false
	}
	if !r.pool.closeIfUnused() {
		return false
	}
	r.executor.recorder.Record(partName, "ReplicaReleased", r.name, "")
	r.publishRelease()
	return true
}

func (r *replica) inUse() bool {
	running, queued := r.semaphore.Load()
	return running+queued > 0 || r.pool.size() > 0
}

func (r *replica) usage() ReplicaUsage {
	running, queued := r.semaphore.Load()
	now := r.executor.timer.Now()
	lim, _ := r.currentLimits(now)
	state, n := r.ramp.Allowed(now, lim.maxRunning())
	return ReplicaUsage{
		Replica:     r.name,
		State:       state,
		Allowance:   n,
		Running:     running,
		Queued:      queued,
		Connections: r.pool.size(),
	}
}

// closeIdle closes idle connections that have been unused for too long, belong to an earlier process or address, or exceed the
// limit.
func (r *replica) closeIdle(limit int) {
	r.mu.Lock()
	epoch := r.epoch
	r.mu.Unlock()
	addr := r.executor.board.Config.Read().Servers[r.name].Address
	r.pool.prune(r.executor.timer.Now(), limit, func(pc *pooledConn) bool {
		return pc.epoch == epoch && pc.addr == addr
	})
}
