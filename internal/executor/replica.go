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

// replica is one backend server that this VM holds or has held.
type replica struct {
	o    *Executor
	name string
	ramp *limiter.Ramp
	gate *limiter.Semaphore
	pool pool

	mu sync.Mutex
	// active are the requests that have been sent and are not concluded.
	active map[*run]struct{}
	// epoch counts the changes of the server process that this VM has seen. Connections and runs carry the epoch of their start.
	epoch       uint64
	incarnation string
	held        []connector.HeldSnapshot
	// polled says that held is what the server has stated, not the lack of a statement.
	polled bool
	// inquiry is the running check whether the server has crashed.
	inquiry *inquiry
	polling bool
	pollAt  time.Time
	zoneOut bool
	// away is set while this VM does not hold the replica.
	away   bool
	report reportState
}

// run is one request on its way to the backend server.
type run struct {
	fingerprint uint64
	epoch       uint64
	// doubtful says that the connection was so old that its break accuses nobody.
	doubtful bool
	// counted says that the crash of this run's server process is in the crash table.
	counted bool
	// untried says that the request runs as a canary.
	untried bool
	// sent is when the request went to the connection, in nanoseconds, or 0; broken is set when that connection has broken.
	sent   atomic.Int64
	broken atomic.Bool
}

func newReplica(o *Executor, name string) *replica {
	r := &replica{
		o:      o,
		name:   name,
		ramp:   limiter.NewRamp(),
		active: map[*run]struct{}{},
		pollAt: o.timer.Now(),
	}
	r.gate = limiter.NewSemaphore(r.slots)
	r.pool.r = r
	return r
}

// rights is what this VM may use of a replica at one moment.
type rights struct {
	address     netip.AddrPort
	slots       int
	connections int
	// whole is the number of slots of the server.
	whole int
}

// rights returns the part of the limits that this VM may use now, or the error with which requests are refused.
func (r *replica) rights(now time.Time) (rights, error) {
	cfg := r.o.board.Config.Read()
	s, ok := cfg.Servers[r.name]
	if !ok {
		return rights{}, classifier.Errorf(classifier.NotOwner, "the configuration has no backend server %s", r.name)
	}
	holding := r.o.board.Leases.Read().ByReplica[r.name]
	all := rights{
		address:     s.Address,
		whole:       s.Slots,
		slots:       holding.ShareAt(now).Of(s.Slots),
		connections: holding.ConnectionShareAt(now).Of(s.Connections),
	}
	if all.slots == 0 || all.connections == 0 {
		return all, classifier.Errorf(classifier.NotOwner, "this VM does not hold replica %s", r.name)
	}
	if cfg.Zones[s.AvailabilityZone].State == parser.ZoneOutOfService {
		return all, classifier.Errorf(classifier.ZoneOut, "availability zone %s is taken out of service", s.AvailabilityZone)
	}
	return all, nil
}

// runLimit is the number of requests that may run when the server is warm.
func (a rights) runLimit() int {
	return min(a.slots, a.connections)
}

// slots is the limit of the gate.
func (r *replica) slots() (int, error) {
	now := r.o.timer.Now()
	all, err := r.rights(now)
	if err != nil {
		return 0, err
	}
	if r.leaving() {
		return 0, classifier.Errorf(classifier.Draining, "backend server %s is leaving", r.name)
	}
	switch state, n := r.ramp.Allowed(now, all.runLimit()); state {
	case blackboard.ReplicaDraining:
		return 0, classifier.Errorf(classifier.Draining, "backend server %s is leaving", r.name)
	case blackboard.ReplicaDown:
		return 0, classifier.Errorf(classifier.NotSent, "backend server %s is down", r.name)
	default:
		return n, nil
	}
}

// leaving reports whether the platform lists the server's VM as leaving.
func (r *replica) leaving() bool {
	return r.o.board.Replicas.Read().ByName[r.name].Leaving
}

// observe passes evidence to the ramp and lets the gate act on it.
func (r *replica) observe(e limiter.Event) {
	r.observeAt(r.o.timer.Now(), e)
}

func (r *replica) observeAt(now time.Time, e limiter.Event) {
	all, _ := r.rights(now)
	r.ramp.Observe(now, all.runLimit(), e)
	r.gate.LimitChanged()
}

// learn takes the server's statement about itself into account. It reports false for a statement of an earlier process.
func (r *replica) learn(l *link, report connector.Report) bool {
	r.mu.Lock()
	stated := report.Incarnation != ""
	same := report.Incarnation == r.incarnation
	if stated && same {
		l.epoch = r.epoch
	}
	if !stated || same || l.epoch < r.epoch {
		current := l.epoch == r.epoch
		r.mu.Unlock()
		return current
	}
	restarted := r.incarnation != ""
	r.incarnation = report.Incarnation
	if restarted {
		r.epoch++
		l.epoch = r.epoch
		r.held = nil
	}
	r.mu.Unlock()
	if restarted {
		r.o.recorder.Record(partName, "Restarted", r.name, "")
		r.closeIdle(0)
		r.observe(limiter.Restarted{})
	}
	return true
}

func (r *replica) begin(e *run, l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.epoch = l.epoch
	e.sent.Store(r.o.timer.Now().UnixNano())
	r.active[e] = struct{}{}
}

func (r *replica) end(e *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active, e)
}

// tick does what time makes due.
func (r *replica) tick(ctx context.Context, now time.Time) {
	all, err := r.rights(now)
	code := classifier.CodeOf(err)
	r.mu.Lock()
	cooled := (code == classifier.ZoneOut) != r.zoneOut || code != classifier.NotOwner && r.away
	r.zoneOut = code == classifier.ZoneOut
	r.away = code == classifier.NotOwner
	r.mu.Unlock()
	if cooled {
		r.ramp.Reset()
	}
	r.gate.LimitChanged()
	switch {
	case r.away || r.leaving() || r.ramp.State() == blackboard.ReplicaDraining || r.ramp.State() == blackboard.ReplicaDown:
		r.closeIdle(0)
	default:
		r.closeIdle(all.connections)
	}
	if !r.away {
		r.maybePoll(ctx, now)
	}
	r.publish(now)
}

// retire reports whether the replica is not held and not used any more, and makes it unusable then.
func (r *replica) retire(now time.Time) bool {
	if r.o.holds(r.name, now) || r.inUse() {
		return false
	}
	if !r.pool.shut() {
		return false
	}
	r.o.recorder.Record(partName, "ReplicaReleased", r.name, "")
	r.publishReleased()
	return true
}

func (r *replica) inUse() bool {
	running, queued := r.gate.Load()
	return running+queued > 0 || r.pool.size() > 0
}

func (r *replica) usage() ReplicaUsage {
	running, queued := r.gate.Load()
	now := r.o.timer.Now()
	all, _ := r.rights(now)
	state, n := r.ramp.Allowed(now, all.runLimit())
	return ReplicaUsage{
		Replica:     r.name,
		State:       state,
		Allowance:   n,
		Running:     running,
		Queued:      queued,
		Connections: r.pool.size(),
	}
}

// closeIdle closes idle connections that are too old, belong to an earlier process or address, or exceed limit.
func (r *replica) closeIdle(limit int) {
	r.mu.Lock()
	epoch := r.epoch
	r.mu.Unlock()
	addr := r.o.board.Config.Read().Servers[r.name].Address
	r.pool.prune(r.o.timer.Now(), limit, func(l *link) bool {
		return l.epoch == epoch && l.addr == addr
	})
}
