// Package leaser manages the leases on the replicas of this VM's availability zone. It decides which of them this VM may use
// and with what part of their limits, and writes the section Holdings.
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

// Periods and time limits.
const (
	// HeartbeatPeriod is the time between two heartbeats, asks, recalls or probes for a replica.
	HeartbeatPeriod = 500 * time.Millisecond
	// LeaseDuration is how long an acknowledged heartbeat lets the holder use the whole limit, from its sending on.
	LeaseDuration = 2 * time.Second
	// TakeoverTimeout is when the successor uses its half, after its last grant. The gap to Lease lets running sub-requests end.
	TakeoverTimeout = 2500 * time.Millisecond
	// EvaluationPeriod is the time between two looks at the sections.
	EvaluationPeriod = 100 * time.Millisecond
	// CallTimeout bounds a call; the next one follows after HeartbeatPeriod.
	CallTimeout = 500 * time.Millisecond
	// DepartureDrainTimeout bounds the wait for running sub-requests before a departure is announced to the successors.
	DepartureDrainTimeout = 2 * time.Second
	// probeAfter is the silence after which the successor asks the holder whether it still counts on it: one missed heartbeat.
	probeAfter = 700 * time.Millisecond
	// recallWait is how long a holder tries to get the floor half back before it offers leases again.
	recallWait = 2 * time.Second
	// promiseAge is when a promise to a claimer is cancelled, so that it does not stand in the way of leases for good.
	promiseAge = 3 * time.Second
	// askPause is the time between two asks of a claim that makes progress.
	askPause = 100 * time.Millisecond
	// busyPoll is the time between two looks for running sub-requests at a departure.
	busyPoll = 20 * time.Millisecond
)

// Options are the collaborators of a Leaser.
type Options struct {
	Name             string
	AvailabilityZone string
	// Incarnation identifies this process. It equals that of the gossiper.
	Incarnation uint64
	Client      messenger.Client
	Board       *blackboard.Board
	Timer       *timer.Service
	Recorder    *recorder.Recorder
	Logger      logger.Logger
	// Ready reports whether the membership of the own zone is known.
	Ready func() bool
	// InUse reports whether sub-requests run on a replica; nil means that this is not known. A replica is passed on when none runs.
	// It is called under a lock, so it must neither wait nor call the Leaser.
	InUse func(replica string) bool
	// OnMessage is told of each VM that a message has come from; nil is allowed.
	OnMessage func(name string)
	// OnConnectionRefused is told of each VM whose address refused a connection; nil is allowed.
	OnConnectionRefused func(name string, incarnation uint64)
}

// Leaser owns the section Holdings. Its methods are safe for concurrent use.
type Leaser struct {
	o   Options
	log zerolog.Logger

	mu    sync.Mutex
	state *state
	// replicas is the list of replicas of the own zone in the configuration servers was made from.
	servers []string
	config  *blackboard.Config
	wake    chan struct{}
}

// New returns a Leaser that holds nothing.
func New(o Options) *Leaser {
	return &Leaser{
		o:     o,
		log:   o.Logger.Part("leaser"),
		state: newState(o.Name, o.AvailabilityZone, o.Incarnation),
		wake:  make(chan struct{}, 1),
	}
}

// view reads the sections. The caller holds l.mu.
func (l *Leaser) view(ready bool) view {
	if cfg := l.o.Board.Config.Read(); cfg != l.config {
		l.config = cfg
		l.servers = nil
		for name, s := range cfg.Servers {
			if s.AvailabilityZone == l.o.AvailabilityZone {
				l.servers = append(l.servers, name)
			}
		}
		slices.Sort(l.servers)
	}
	return view{
		members: l.o.Board.Members.Read(),
		servers: l.servers,
		ready:   ready,
		busy:    l.o.InUse,
	}
}

// write publishes the holdings if they differ from the section. The caller holds l.mu, so that the writes keep their order.
func (l *Leaser) write(v view) {
	next := l.state.holdings(v, l.o.Board.Replicas.Read())
	last := l.o.Board.Leases.Read().ByReplica
	if maps.Equal(last, next) {
		return
	}
	for name, h := range next {
		if old := last[name]; old.Share != h.Share || old.Fallback != h.Fallback {
			l.o.Recorder.Record("leaser", "Holding", name, shareName(old)+" to "+shareName(h))
		}
	}
	l.o.Board.Leases.Write(&blackboard.Leases{
		ByReplica: next,
	})
}

func shareName(h blackboard.Lease) string {
	switch {
	case h.Share == blackboard.ShareAll && h.Fallback == blackboard.ShareNone:
		return "holder of the whole"
	case h.Share == blackboard.ShareAll:
		return "holder with a successor"
	case h.Fallback == blackboard.ShareFloorHalf:
		return "successor"
	default:
		return "none"
	}
}

// Run decides and sends until ctx ends.
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
		// The event of the refusal stands before those of its effects.
		l.o.OnConnectionRefused(m.to, m.incarnation)
	}
	l.mu.Lock()
	v := l.view(true)
	now := l.o.Timer.Now()
	switch {
	case refused:
		l.state.refused(m, now)
	case m.heartbeat != nil:
		l.state.heartbeatReplied(m, &heartbeat)
	default:
		l.state.releaseReplied(v, m, &release, now)
	}
	l.state.update(v, now)
	l.write(v)
	l.mu.Unlock()
	l.tell(m, refused)
}

// tell passes news of a VM on and lets Run decide again.
func (l *Leaser) tell(m message, refused bool) {
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

// ReleaseAll gives up all replicas for good, waits for the sub-requests that run on them, and tells the VMs that take over.
func (l *Leaser) ReleaseAll(ctx context.Context) {
	l.mu.Lock()
	v := l.view(false)
	var held []string
	for name, r := range l.state.rights {
		if r.holder || r.floor {
			held = append(held, name)
		}
	}
	partners := l.state.leave()
	l.write(v)
	l.mu.Unlock()
	l.waitIdle(ctx, held)
	var wg sync.WaitGroup
	for _, to := range partners {
		wg.Go(func() {
			l.depart(ctx, v.members.ByName[to])
		})
	}
	wg.Wait()
}

func (l *Leaser) depart(ctx context.Context, to blackboard.Member) {
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
		l.log.Info().Err(err).Str("Member", to.Name).Msg("A member was not told of the departure and learns of it by gossip.")
	}
}

func (l *Leaser) waitIdle(ctx context.Context, replicas []string) {
	if l.o.InUse == nil {
		return
	}
	end := l.o.Timer.After(DepartureDrainTimeout)
	defer end.Stop()
	poll := l.o.Timer.Subscribe(busyPoll)
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
	return &granter{
		l: l,
	}
}

type granter struct {
	l *Leaser
}

// Heartbeat grants leases to a holder.
func (g *granter) Heartbeat(req *messenger.HeartbeatRequest, reply *messenger.HeartbeatReply) error {
	g.l.handle(req.From, func(v view, now time.Time) {
		*reply = *g.l.state.heartbeat(v, req, now)
	})
	return nil
}

// Release answers a VM that wants to hold replicas, gets the floor half back, checks its holder, or departs.
func (g *granter) Release(req *messenger.ReleaseRequest, reply *messenger.ReleaseReply) error {
	g.l.handle(req.From, func(v view, now time.Time) {
		*reply = *g.l.state.release(v, req, now)
	})
	select {
	case g.l.wake <- struct{}{}:
	default:
	}
	return nil
}

// handle answers a message. The section is written before the reply is sent, so that a released replica is not used any more.
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
