// Package leaser manages the leases on the replicas of this VM's availability zone. It decides which replicas this VM may use
// and which part of their limits, and writes the section Leases.
package leaser

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// Periods and timeouts of the lease protocol.
const (
	// HeartbeatPeriod is the interval between two heartbeats, acquire requests, recalls or probes for a replica.
	HeartbeatPeriod = 500 * time.Millisecond
	// LeaseDuration is how long a granted heartbeat lets the holder use the whole limit, counted from when it was sent.
	LeaseDuration = 2 * time.Second
	// TakeoverTimeout is how long after its last grant of a lease the successor starts to use its half of the limit. It exceeds
	// LeaseDuration so that sub-requests of the holder that still run can end.
	TakeoverTimeout = 2500 * time.Millisecond
	// EvaluationPeriod is the interval at which the leaser reads the sections of the blackboard and acts on them.
	EvaluationPeriod = 100 * time.Millisecond
	// CallTimeout is the timeout of a call to another VM. The next call follows after HeartbeatPeriod.
	CallTimeout = 500 * time.Millisecond
	// DepartureDrainTimeout bounds the wait for running sub-requests before a departure is announced to other VMs.
	DepartureDrainTimeout = 2 * time.Second
	// probeAfter is how long after the last heartbeat a successor sends a probe, which asks the holder whether the sender is still
	// the successor. It exceeds HeartbeatPeriod, so that a probe is sent only after a heartbeat has been missed.
	probeAfter = 700 * time.Millisecond
	// recallTimeout is how long a holder tries to get the floor half back before it sends heartbeats to the successor again.
	recallTimeout = 2 * time.Second
	// maxPromiseAge is the age at which a VM asks the claiming VM to cancel a promise, which would otherwise block leases forever.
	maxPromiseAge = 3 * time.Second
	// acquireInterval is the time between two acquire requests of a claim that makes progress.
	acquireInterval = 100 * time.Millisecond
	// idlePollInterval is the interval at which a departing VM checks for running sub-requests.
	idlePollInterval = 20 * time.Millisecond
)

// Options are the settings of a Leaser and the components that it uses.
type Options struct {
	Name             string
	AvailabilityZone string
	// Incarnation identifies this process. It equals the incarnation that the gossiper announces.
	Incarnation uint64
	Client      messenger.Client
	Board       *blackboard.Board
	Timer       *timer.Service
	Recorder    *recorder.Recorder
	Logger      logger.Logger
	// Ready reports whether the membership of the own zone is known.
	Ready func() bool
	// InUse reports whether sub-requests run on a replica. A replica is handed over only when none runs; if InUse is nil, it is
	// handed over without this check. InUse is called under a lock, so it must neither block nor call the Leaser.
	InUse func(replica string) bool
	// OnMessage is called with the name of each VM from which a message has been received; nil is allowed.
	OnMessage func(name string)
	// OnConnectionRefused is called with the name of each VM whose address refused a connection and the incarnation that the
	// message was meant for; nil is allowed.
	OnConnectionRefused func(name string, incarnation uint64)
}

// Leaser writes the section Leases. Its methods are safe for concurrent use.
type Leaser struct {
	o   Options
	log zerolog.Logger

	mu    sync.Mutex
	state *state
	// replicas are the sorted names of the own zone's replicas. They are computed again when config changes.
	replicas []string
	config   *blackboard.Config
	wake     chan struct{}
}

// New returns a Leaser that holds no replica. Run has to be called for it to claim any.
func New(o Options) *Leaser {
	return &Leaser{
		o:     o,
		log:   o.Logger.Part("leaser"),
		state: newState(o.Name, o.AvailabilityZone, o.Incarnation),
		wake:  make(chan struct{}, 1),
	}
}

// view returns what the sections contain at the moment. The caller holds l.mu.
func (l *Leaser) view(ready bool) view {
	if cfg := l.o.Board.Config.Read(); cfg != l.config {
		l.config = cfg
		l.replicas = nil
		for name, s := range cfg.Servers {
			if s.AvailabilityZone == l.o.AvailabilityZone {
				l.replicas = append(l.replicas, name)
			}
		}
		slices.Sort(l.replicas)
	}
	return view{
		members:  l.o.Board.Members.Read(),
		replicas: l.replicas,
		ready:    ready,
		busy:     l.o.InUse,
	}
}

// write updates the section Leases if the leases have changed. The caller holds l.mu, so that writes keep their order.
func (l *Leaser) write(v view) {
	next := l.state.leases(v, l.o.Board.Replicas.Read())
	last := l.o.Board.Leases.Read().ByReplica
	if maps.Equal(last, next) {
		return
	}
	for name, lease := range next {
		if old := last[name]; old.Share != lease.Share || old.Fallback != lease.Fallback {
			l.o.Recorder.Record("leaser", "Holding", name, shareName(old)+" to "+shareName(lease))
		}
	}
	l.o.Board.Leases.Write(&blackboard.Leases{
		ByReplica: next,
	})
}

func shareName(lease blackboard.Lease) string {
	switch {
	case lease.Share == blackboard.ShareAll && lease.Fallback == blackboard.ShareNone:
		return "holder of the whole"
	case lease.Share == blackboard.ShareAll:
		return "holder with a successor"
	case lease.Fallback == blackboard.ShareFloorHalf:
		return "successor"
	default:
		return "none"
	}
}

// Run claims, renews and hands over leases until ctx ends. It waits for its calls to other VMs and returns nil.
func (l *Leaser) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := l.o.Timer.Subscribe(EvaluationPeriod)
	defer tick.Stop()
	for {
		members := l.o.Board.Members.Changed()
		l.step(ctx, &wg)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-members:
		case <-l.wake:
		}
	}
}

func (l *Leaser) step(ctx context.Context, wg *sync.WaitGroup) {
	ready := l.o.Ready()
	l.mu.Lock()
	v := l.view(ready)
	messages := l.state.step(v, l.o.Timer.Now())
	l.write(v)
	l.mu.Unlock()
	for _, m := range messages {
		wg.Go(func() {
			l.send(ctx, m, v.members)
		})
	}
}

func (l *Leaser) send(ctx context.Context, m message, members *blackboard.Members) {
	to, ok := members.ByName[m.to]
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	var heartbeat messenger.HeartbeatReply
	var release messenger.ReleaseReply
	var err error
	if m.heartbeat != nil {
		err = l.o.Client.Call(ctx, to.Address, messenger.MethodHeartbeat, m.heartbeat, &heartbeat)
	} else {
		err = l.o.Client.Call(ctx, to.Address, messenger.MethodRelease, m.release, &release)
	}
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if err != nil && !refused {
		return
	}
	if refused && l.o.OnConnectionRefused != nil {
		// Called first so that the timeline records the refusal before its effects.
		l.o.OnConnectionRefused(m.to, m.incarnation)
	}
	l.mu.Lock()
	v := l.view(true)
	now := l.o.Timer.Now()
	switch {
	case refused:
		l.state.handleRefusal(m, now)
	case m.heartbeat != nil:
		l.state.handleHeartbeatReply(m, &heartbeat)
	default:
		l.state.handleReleaseReply(v, m, &release, now)
	}
	l.state.update(v, now)
	l.write(v)
	l.mu.Unlock()
	l.notify(m, refused)
}

// notify reports a received reply to OnMessage, and wakes Run when the result may allow a further step at once.
func (l *Leaser) notify(m message, refused bool) {
	if !refused && l.o.OnMessage != nil {
		l.o.OnMessage(m.to)
	}
	if refused || m.release != nil {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// ReleaseAll permanently releases all replicas, waits at most DepartureDrainTimeout for the sub-requests that run on them, and
// announces the departure to the VMs that share a replica with this one.
func (l *Leaser) ReleaseAll(ctx context.Context) {
	l.mu.Lock()
	v := l.view(false)
	var held []string
	for name, r := range l.state.replicas {
		if r.isHolder || r.isSuccessor {
			held = append(held, name)
		}
	}
	peers := l.state.releaseAll()
	l.write(v)
	l.mu.Unlock()
	l.waitIdle(ctx, held)
	var wg sync.WaitGroup
	for _, to := range peers {
		wg.Go(func() {
			l.announceShutdown(ctx, v.members.ByName[to])
		})
	}
	wg.Wait()
}

func (l *Leaser) announceShutdown(ctx context.Context, to blackboard.Member) {
	if !to.Address.IsValid() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	req := &messenger.ReleaseRequest{
		From:        l.o.Name,
		Kind:        messenger.ReleaseShutdown,
		Incarnation: l.o.Incarnation,
	}
	if err := l.o.Client.Call(ctx, to.Address, messenger.MethodRelease, req, new(messenger.ReleaseReply)); err != nil {
		l.log.Info().Err(err).Str("Member", to.Name).Msg("A member could not be notified of the departure and will learn of it by gossip.")
	}
}

func (l *Leaser) waitIdle(ctx context.Context, replicas []string) {
	if l.o.InUse == nil {
		return
	}
	end := l.o.Timer.After(DepartureDrainTimeout)
	defer end.Stop()
	poll := l.o.Timer.Subscribe(idlePollInterval)
	defer poll.Stop()
	for slices.ContainsFunc(replicas, l.o.InUse) {
		select {
		case <-ctx.Done():
			return
		case <-end.C:
			return
		case <-poll.C:
		}
	}
}

// RPC returns the receiver of the methods Peer.Heartbeat and Peer.Release.
func (l *Leaser) RPC() any {
	return &rpcReceiver{
		l: l,
	}
}

type rpcReceiver struct {
	l *Leaser
}

// Heartbeat handles the heartbeat of a holder, which asks this VM as its successor for leases. The error is always nil.
func (r *rpcReceiver) Heartbeat(req *messenger.HeartbeatRequest, reply *messenger.HeartbeatReply) (err error) {
	defer messenger.RecoverCall(&err)
	r.l.handle(req.From, func(v view, now time.Time) {
		*reply = *r.l.state.handleHeartbeat(v, req, now)
	})
	return nil
}

// Release handles a request of a VM that claims replicas, recalls the floor half, cancels a promise, probes its holder, or shuts
// down. The error is always nil.
func (r *rpcReceiver) Release(req *messenger.ReleaseRequest, reply *messenger.ReleaseReply) (err error) {
	defer messenger.RecoverCall(&err)
	r.l.handle(req.From, func(v view, now time.Time) {
		*reply = *r.l.state.handleRelease(v, req, now)
	})
	select {
	case r.l.wake <- struct{}{}:
	default:
	}
	return nil
}

// handle runs f for a message of the VM from. The section is written before the reply is sent, so that this VM has stopped using
// a replica when the sender learns that it is released.
func (l *Leaser) handle(from string, f func(view, time.Time)) {
	l.mu.Lock()
	v := l.view(true)
	f(v, l.o.Timer.Now())
	l.write(v)
	l.mu.Unlock()
	if l.o.OnMessage != nil {
		l.o.OnMessage(from)
	}
}
