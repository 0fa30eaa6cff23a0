// Package drainer tracks the lifecycle phase of the process in the blackboard section Lifecycle and performs its graceful
// shutdown.
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
	// FirstExchangeTimeout is how long a starting VM waits for its first gossip exchange with a peer.
	FirstExchangeTimeout = 2 * time.Second
	// StartCheckPeriod is the interval between checks whether the startup is complete.
	StartCheckPeriod = 50 * time.Millisecond
	// StepTimeout limits each shutdown step that communicates with other VMs or closes connections.
	StepTimeout = 5 * time.Second
	// ResponseReadGrace is the delay between the end of the last request and the closing of idle keep-alive connections. It gives
	// callers the time to read their responses.
	ResponseReadGrace = 200 * time.Millisecond
)

// Options are the dependencies of a Drainer. Shutdown skips the hooks that are nil.
type Options struct {
	AvailabilityZone string
	// BalancerDelay is how long the load balancer may still send requests after the VM reports that it is not ready.
	BalancerDelay time.Duration
	// DrainTimeout limits the wait for running requests, which begins when BalancerDelay has elapsed.
	DrainTimeout time.Duration
	Board        *blackboard.Board
	Timer        *timer.Service
	Recorder     *recorder.Recorder
	Logger       logger.Logger
	// InitialExchangeDone reports whether the board contains the records of a first gossip exchange with a peer. If it is nil, the
	// startup does not wait for an exchange.
	InitialExchangeDone func() bool
	// StopListener is called when BalancerDelay has elapsed and may close the listener for callers. It must not interrupt requests
	// on open connections.
	StopListener func()
	// ReleaseReplicas hands the owned replicas over to their successors.
	ReleaseReplicas func(ctx context.Context)
	// PublishDeparture announces to the other VMs that this one holds no replicas and is leaving.
	PublishDeparture func(ctx context.Context)
	// WaitRequests returns when no request is running or ctx is done. It returns an error if requests were interrupted. It runs
	// beside ReleaseReplicas and PublishDeparture, so that a platform that does not answer takes no time from the requests.
	WaitRequests func(ctx context.Context) error
	// CloseConnections closes idle keep-alive connections and the peer server.
	CloseConnections func(ctx context.Context)
}

// Drainer is the only writer of the blackboard section Lifecycle. Its methods are safe for concurrent use.
type Drainer struct {
	o       Options
	log     zerolog.Logger
	started time.Time

	// mu guards phase and serializes the writes of the section.
	mu    sync.Mutex
	phase blackboard.Phase
	// shutdown is closed by the first call of Shutdown, stopped when all shutdown steps are done.
	shutdown chan struct{}
	once     sync.Once
	stopped  chan struct{}
	// err is the error of WaitRequests. It is set before stopped is closed.
	err error
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
	d.setPhase(blackboard.PhaseStarting)
	return d
}

// Run updates the phase at each change of the configuration until ctx is done or Shutdown is called.
func (d *Drainer) Run(ctx context.Context) error {
	tick := d.o.Timer.Subscribe(StartCheckPeriod)
	defer tick.Stop()
	for {
		configChanged := d.o.Board.Config.Changed()
		d.updatePhase()
		ticks := tick.C
		if d.currentPhase() != blackboard.PhaseStarting {
			ticks = nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-d.shutdown:
			return nil
		case <-configChanged:
		case <-ticks:
		}
	}
}

func (d *Drainer) currentPhase() blackboard.Phase {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.phase
}

func (d *Drainer) updatePhase() {
	cfg := d.o.Board.Config.Read()
	if d.currentPhase() == blackboard.PhaseStarting && !d.startupComplete(cfg) {
		return
	}
	if cfg.Zones[d.o.AvailabilityZone].State == parser.ZoneOutOfService {
		d.setPhase(blackboard.PhaseZoneOut)
		return
	}
	d.setPhase(blackboard.PhaseReady)
}

// startupComplete reports whether the VM has a configuration and its first exchange with a peer has succeeded or timed out.
func (d *Drainer) startupComplete(cfg *blackboard.Config) bool {
	if cfg.Generation == 0 {
		return false
	}
	return d.o.InitialExchangeDone == nil || d.o.InitialExchangeDone() || d.o.Timer.Now().Sub(d.started) >= FirstExchangeTimeout
}

// setPhase changes the phase. PhaseDraining changes only to PhaseStopped, which is final.
func (d *Drainer) setPhase(p blackboard.Phase) {
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
	d.log.Info().Str("Phase", string(p)).Msg("The lifecycle phase changed.")
}

// Shutdown reports that the VM is not ready, waits for the load balancer, stops the listener, releases the replicas and publishes
// the departure while it waits for the running requests, and closes the connections. Further calls only wait for the first one to finish.
// When ctx is done, the waits end early but no step is skipped. The error reports interrupted requests.
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
	d.setPhase(blackboard.PhaseDraining)
	d.o.Timer.Sleep(ctx, d.o.BalancerDelay)
	if d.o.StopListener != nil {
		d.o.StopListener()
	}
	var departure sync.WaitGroup
	departure.Go(func() {
		callWithTimeout(ctx, StepTimeout, d.o.ReleaseReplicas)
		callWithTimeout(ctx, StepTimeout, d.o.PublishDeparture)
	})
	if d.o.WaitRequests != nil {
		callWithTimeout(ctx, d.o.DrainTimeout, func(ctx context.Context) {
			d.err = d.o.WaitRequests(ctx)
		})
	}
	departure.Wait()
	d.o.Timer.Sleep(ctx, ResponseReadGrace)
	callWithTimeout(ctx, StepTimeout, d.o.CloseConnections)
	d.setPhase(blackboard.PhaseStopped)
}

func callWithTimeout(ctx context.Context, limit time.Duration, f func(context.Context)) {
	if f == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	f(ctx)
}
