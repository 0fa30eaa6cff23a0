// Package drainer writes the section Lifecycle and performs the graceful shutdown of the daemon.
package drainer

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// FirstExchangeTimeout is how long a starting VM waits for an exchange with a peer.
	FirstExchangeTimeout = 2 * time.Second
	// StartCheckPeriod is the time between two looks for the end of the start.
	StartCheckPeriod = 50 * time.Millisecond
	// StepTimeout bounds each of the steps that talk to other VMs.
	StepTimeout = 5 * time.Second
	// ResponseReadGrace is the time between the end of the last request and the closing of idle keep-alive connections, in which callers
	// read their responses.
	ResponseReadGrace = 200 * time.Millisecond
)

// Options are the collaborators of a Drainer. Hooks that are nil are left out.
type Options struct {
	AvailabilityZone string
	// BalancerDelay is how long the balancer may go on sending after the VM reports that it is not ready.
	BalancerDelay time.Duration
	// DrainTimeout bounds the wait for running requests.
	DrainTimeout time.Duration
	Board        *blackboard.Board
	Timer        *timer.Service
	Recorder     *recorder.Recorder
	Logger       logger.Logger
	// SyncedWithPeer reports whether the board has what a first exchange with a peer brought.
	SyncedWithPeer func() bool
	// StopListener ends the accepting of connections from callers. Requests on open connections go on.
	StopListener func()
	// ReleaseReplicas passes the owned replicas to their successors.
	ReleaseReplicas func(ctx context.Context)
	// PublishDeparture tells the other VMs that this one holds nothing and is leaving.
	PublishDeparture func(ctx context.Context)
	// WaitRequests returns when no request runs any more or ctx ends. Its error says that requests were cut off.
	WaitRequests func(ctx context.Context) error
	// CloseConnections closes idle keep-alive connections and the peer server.
	CloseConnections func(ctx context.Context)
}

// Drainer owns the section Lifecycle. Its methods are safe for concurrent use.
type Drainer struct {
	o       Options
	log     zerolog.Logger
	started time.Time

	// mu orders the writes of the section.
	mu       sync.Mutex
	phase    blackboard.Phase
	shutdown chan struct{}
	once     sync.Once
	stopped  chan struct{}
	err      error
}

// New returns a Drainer in PhaseStarting.
func New(o Options) *Drainer {
	d := &Drainer{
		o:        o,
		log:      o.Logger.Part("drainer"),
		started:  o.Timer.Now(),
		shutdown: make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	d.enter(blackboard.PhaseStarting)
	return d
}

// Run follows the configuration until ctx ends or Shutdown is called.
func (d *Drainer) Run(ctx context.Context) error {
	tick := d.o.Timer.Subscribe(StartCheckPeriod)
	defer tick.Stop()
	for {
		config := d.o.Board.Config.Changed()
		d.check()
		ticks := tick.C
		if d.current() != blackboard.PhaseStarting {
			ticks = nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-d.shutdown:
			return nil
		case <-config:
		case <-ticks:
		}
	}
}

func (d *Drainer) current() blackboard.Phase {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.phase
}

func (d *Drainer) check() {
	cfg := d.o.Board.Config.Read()
	if d.current() == blackboard.PhaseStarting && !d.isComplete(cfg) {
		return
	}
	if cfg.Zones[d.o.AvailabilityZone].State == parser.ZoneOutOfService {
		d.enter(blackboard.PhaseZoneOut)
		return
	}
	d.enter(blackboard.PhaseReady)
}

// isComplete reports whether the start is over.
func (d *Drainer) isComplete(cfg *blackboard.Config) bool {
	if cfg.Generation == 0 {
		return false
	}
	return d.o.SyncedWithPeer == nil || d.o.SyncedWithPeer() || d.o.Timer.Now().Sub(d.started) >= FirstExchangeTimeout
}

// enter changes the phase, which never goes back from Draining or Stopped.
func (d *Drainer) enter(p blackboard.Phase) {
	d.mu.Lock()
	defer d.mu.Unlock()
	final := d.phase == blackboard.PhaseStopped || d.phase == blackboard.PhaseDraining && p != blackboard.PhaseStopped
	if d.phase == p || final {
		return
	}
	d.phase = p
	d.o.Board.Lifecycle.Write(&blackboard.Lifecycle{
		Phase: p,
	})
	d.o.Recorder.Record("drainer", "Phase", string(p), "")
	d.log.Info().Str("Phase", string(p)).Msg("The phase changed.")
}

// Shutdown reports not ready, waits for the balancer, releases the replicas, publishes the departure, finishes the running
// requests and closes the connections. Further calls change nothing and wait for the first one. The end of ctx shortens the
// waits but leaves out no step. The error says that requests were cut off.
func (d *Drainer) Shutdown(ctx context.Context) error {
	d.once.Do(func() {
		close(d.shutdown)
		go d.run(ctx)
	})
	<-d.stopped
	return d.err
}

func (d *Drainer) run(ctx context.Context) {
	defer close(d.stopped)
	d.enter(blackboard.PhaseDraining)
	d.o.Timer.Sleep(ctx, d.o.BalancerDelay)
	if d.o.StopListener != nil {
		d.o.StopListener()
	}
	bounded(ctx, StepTimeout, d.o.ReleaseReplicas)
	bounded(ctx, StepTimeout, d.o.PublishDeparture)
	if d.o.WaitRequests != nil {
		bounded(ctx, d.o.DrainTimeout, func(ctx context.Context) {
			d.err = d.o.WaitRequests(ctx)
		})
	}
	d.o.Timer.Sleep(ctx, ResponseReadGrace)
	bounded(ctx, StepTimeout, d.o.CloseConnections)
	d.enter(blackboard.PhaseStopped)
}

func bounded(ctx context.Context, limit time.Duration, f func(context.Context)) {
	if f == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	f(ctx)
}
