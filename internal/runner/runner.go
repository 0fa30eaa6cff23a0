// Package runner assembles the daemon from its parts and runs it until shutdown.
package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/administrator"
	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/claimer"
	"github.com/anvildyke/anvildyke/internal/configurer"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/drainer"
	"github.com/anvildyke/anvildyke/internal/executor"
	"github.com/anvildyke/anvildyke/internal/exporter"
	"github.com/anvildyke/anvildyke/internal/gossiper"
	"github.com/anvildyke/anvildyke/internal/installer"
	"github.com/anvildyke/anvildyke/internal/leaser"
	"github.com/anvildyke/anvildyke/internal/limiter"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/mover"
	"github.com/anvildyke/anvildyke/internal/planner"
	"github.com/anvildyke/anvildyke/internal/publisher"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/responder"
	"github.com/anvildyke/anvildyke/internal/searcher"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// platformTimeout bounds one call of the platform.
	platformTimeout = 2 * time.Second
	// waitPoll is how often a stopping daemon looks whether requests still run.
	waitPoll = 20 * time.Millisecond
	part     = "runner"
)

// Daemon is one daemon.
type Daemon struct {
	cfg      configurer.Daemon
	log      zerolog.Logger
	board    *blackboard.Board
	recorder *recorder.Recorder

	pool          *messenger.Pool
	server        *messenger.Server
	gossiper      *gossiper.Gossiper
	leaser        *leaser.Leaser
	watcher       *installer.Installer
	owner         *executor.Executor
	mover         *mover.Mover
	searcher      *searcher.Searcher
	responder     *responder.Responder
	administrator *administrator.Administrator
	meter         *exporter.Exporter
	drainer       *drainer.Drainer

	callers   net.Listener
	operators net.Listener
	metrics   net.Listener
	peers     net.Listener
}

// New builds a daemon that logs to w. Nothing runs and nothing listens before Run.
func New(cfg configurer.Daemon, w io.Writer) (*Daemon, error) {
	l, err := logger.New(w, cfg.LogLevel, cfg.Name)
	if err != nil {
		return nil, err
	}
	if !cfg.PeerAdvertise.IsValid() {
		cfg.PeerAdvertise = cfg.PeerAddress
	}
	clock := timer.NewWall()
	b := &builder{
		cfg:    cfg,
		logger: l,
		clock:  clock,
		seed:   uint64(clock.Now().UnixNano()),
		store:  storeclient.NewHTTPStore(cfg.PlatformAddress, cfg.PeerAddress.Addr(), platformTimeout),
	}
	r := &Daemon{
		cfg:      cfg,
		log:      l.Part(part),
		board:    &blackboard.Board{},
		recorder: recorder.New(cfg.Name, clock),
	}
	b.buildPeers(r)
	b.buildConfiguration(r)
	b.buildRequests(r)
	b.buildLifecycle(r)
	return r, r.register()
}

// builder holds what only the construction needs.
type builder struct {
	cfg    configurer.Daemon
	logger logger.Logger
	clock  *timer.Service
	seed   uint64
	store  storeclient.Store
}

func (b *builder) buildPeers(r *Daemon) {
	r.pool = messenger.NewPool(r.recorder, b.logger)
	r.pool.LocalAddr = b.cfg.PeerAddress.Addr()
	r.server = messenger.NewServer(r.recorder, b.logger)
	r.gossiper = gossiper.New(gossiper.Options{
		Name:             b.cfg.Name,
		AvailabilityZone: b.cfg.AvailabilityZone,
		Address:          b.cfg.PeerAdvertise,
		Peers:            b.cfg.Peers,
		Client:           r.pool,
		Store:            b.store,
		Board:            r.board,
		Timer:            b.clock,
		Recorder:         r.recorder,
		Logger:           b.logger,
	})
	r.mover = mover.New(mover.Options{
		VM:        b.cfg.Name,
		Board:     r.board,
		Store:     b.store,
		Publisher: r.gossiper,
		Timer:     b.clock,
		Recorder:  r.recorder,
		Log:       b.logger.Part("mover"),
	})
	r.owner = executor.New(executor.Options{
		Name:      b.cfg.Name,
		Board:     r.board,
		Backend:   connector.NewHTTPDialer(),
		Publisher: r.gossiper,
		Evidence:  r.mover,
		Timer:     b.clock,
		Recorder:  r.recorder,
		Logger:    b.logger,
	})
	r.leaser = leaser.New(leaser.Options{
		Name:                b.cfg.Name,
		AvailabilityZone:    b.cfg.AvailabilityZone,
		Incarnation:         r.gossiper.Incarnation(),
		Client:              r.pool,
		Board:               r.board,
		Timer:               b.clock,
		Recorder:            r.recorder,
		Logger:              b.logger,
		Ready:               r.gossiper.MembershipKnown,
		InUse:               r.owner.InUse,
		OnMessage:           r.gossiper.MessageReceived,
		OnConnectionRefused: r.gossiper.ConnectionRefused,
	})
}

func (b *builder) buildConfiguration(r *Daemon) {
	r.watcher = installer.New(installer.Options{
		Self:             b.cfg.Name,
		AvailabilityZone: b.cfg.AvailabilityZone,
		Board:            r.board,
		Store:            b.store,
		Client:           r.pool,
		Publisher:        r.gossiper,
		Timer:            b.clock,
		Recorder:         r.recorder,
		Logger:           b.logger,
	})
	r.administrator = administrator.New(administrator.Options{
		Self:   b.cfg.Name,
		Board:  r.board,
		Store:  b.store,
		Client: r.pool,
		Publisher: publisher.New(publisher.Options{
			Board:     r.board,
			Store:     b.store,
			Timer:     b.clock,
			Recorder:  r.recorder,
			Logger:    b.logger,
			OnPublish: r.watcher.EnqueuePublishedHead,
		}),
		Timer:    b.clock,
		Recorder: r.recorder,
		Logger:   b.logger,
	})
}

func (b *builder) buildRequests(r *Daemon) {
	plans := planner.NewIndexCache(r.board)
	owners := searcher.NewOwnerClients(r.owner, r.pool)
	r.searcher = searcher.New(searcher.Options{
		Board:                r.board,
		PlanCache:            plans,
		Owners:               owners,
		Timer:                b.clock,
		Recorder:             r.recorder,
		NewBudget:            newBudget,
		MaxConcurrentQueries: b.cfg.MaxQueries,
		Seed:                 b.seed,
	})
	r.responder = responder.New(responder.Options{
		Board:     r.board,
		PlanCache: plans,
		Searcher:  r.searcher,
		Claimer: claimer.New(claimer.Options{
			Board:                   r.board,
			PlanCache:               plans,
			Owners:                  owners,
			Store:                   b.store,
			Timer:                   b.clock,
			Recorder:                r.recorder,
			MaxConcurrentOperations: b.cfg.MaxQueries,
			Seed:                    b.seed,
		}),
		Client:   r.pool,
		Timer:    b.clock,
		Recorder: r.recorder,
		Logger:   b.logger.Part("responder"),
		Seed:     b.seed,
	})
}

func newBudget(percent int) searcher.Budget {
	return limiter.NewBudget(percent)
}

func (b *builder) buildLifecycle(r *Daemon) {
	r.drainer = drainer.New(drainer.Options{
		AvailabilityZone: b.cfg.AvailabilityZone,
		BalancerDelay:    b.cfg.BalancerDelay,
		DrainTimeout:     b.cfg.DrainTimeout,
		Board:            r.board,
		Timer:            b.clock,
		Recorder:         r.recorder,
		Logger:           b.logger,
		SyncedWithPeer:   r.gossiper.InitialExchangeDone,
		StopListener:     r.stopListener,
		ReleaseReplicas:  r.leaser.ReleaseAll,
		PublishDeparture: r.publishDeparture,
		WaitRequests:     r.waitRequests,
		CloseConnections: r.closeConnections,
	})
	r.meter = exporter.New(r.board)
	r.addCounters()
}

// register adds the receivers of calls from other entry VMs and the subscribers of their records.
func (r *Daemon) register() error {
	receivers := []struct {
		name     string
		receiver any
	}{
		{"Owner", r.owner},
		{"Peer", r.gossiper.RPC()},
		{"Peer", r.leaser.RPC()},
		{"Peer", &parts{
			watcher: r.watcher,
		}},
		{"Peer", &events{
			recorder: r.recorder,
		}},
		{"Entry", r.responder.RPCService()},
	}
	for _, x := range receivers {
		if err := r.server.Register(x.name, x.receiver); err != nil {
			return fmt.Errorf("registering %s: %w", x.name, err)
		}
	}
	r.gossiper.Subscribe(messenger.RecordVersionStats, r.mover.ReceiveEvidence)
	r.gossiper.Subscribe(messenger.RecordMoveOutcome, r.mover.ReceiveVerdict)
	r.gossiper.Subscribe(messenger.RecordConfigHead, r.receiveHead)
	return nil
}

// receiveHead also takes heads that an earlier process of this VM has published: after a restart while the platform is down
// there may be no other.
func (r *Daemon) receiveHead(rec messenger.Record) {
	var head messenger.ConfigHeadRecord
	if err := messenger.DecodePayload(rec.Payload, &head); err != nil {
		r.log.Warn().Err(err).Str("Origin", rec.Origin).Msg("A configuration head cannot be decoded.")
		return
	}
	r.watcher.EnqueueReceivedHead(head, rec.Origin)
}

// Run listens and serves until ctx ends, then shuts down gracefully. The error says why the daemon could not start, or that
// the shutdown cut requests off.
func (r *Daemon) Run(ctx context.Context) error {
	if err := r.listen(); err != nil {
		return err
	}
	r.log.Info().Str("AvailabilityZone", r.cfg.AvailabilityZone).Msg("The daemon starts.")
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for _, loop := range r.loops() {
		wg.Go(func() {
			if err := loop(work); err != nil {
				r.log.Error().Err(err).Msg("A part ended with an error.")
			}
		})
	}
	<-ctx.Done()
	r.log.Info().Msg("The daemon shuts down.")
	err := r.drainer.Shutdown(context.Background())
	cancel()
	wg.Wait()
	err = errors.Join(err, r.pool.Close())
	r.log.Info().Msg("The daemon has stopped.")
	return err
}

func (r *Daemon) loops() []func(context.Context) error {
	return []func(context.Context) error{
		r.gossiper.Run,
		r.leaser.Run,
		r.drainer.Run,
		without(r.watcher.Run),
		without(r.owner.Loop),
		without(r.mover.Run),
		func(ctx context.Context) error { return r.server.Serve(ctx, r.peers) },
		func(context.Context) error { return r.responder.Serve(r.callers) },
		func(context.Context) error { return r.administrator.Serve(r.operators) },
		func(context.Context) error { return r.meter.Serve(r.metrics) },
	}
}

func without(loop func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		loop(ctx)
		return nil
	}
}

// listen opens all listeners, so that a taken address is reported at the start.
func (r *Daemon) listen() error {
	for _, l := range []struct {
		name string
		addr netip.AddrPort
		ln   *net.Listener
	}{
		{"caller-address", r.cfg.CallerAddress, &r.callers},
		{"operator-address", r.cfg.OperatorAddress, &r.operators},
		{"metrics-address", r.cfg.MetricsAddress, &r.metrics},
		{"peer-address", r.cfg.PeerAddress, &r.peers},
	} {
		ln, err := net.Listen("tcp", l.addr.String())
		if err != nil {
			return fmt.Errorf("listening at -%s: %w", l.name, err)
		}
		*l.ln = ln
	}
	return nil
}
