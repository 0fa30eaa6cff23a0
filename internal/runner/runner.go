// Package runner assembles the components of the daemon or the gateway and runs them until shutdown.
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
	// platformTimeout limits the duration of one request to the platform's API. A watch may take that much longer than its wait.
	platformTimeout = 2 * time.Second
	// daemonDrainPollPeriod is the interval between checks for running requests while the daemon shuts down.
	daemonDrainPollPeriod = 20 * time.Millisecond
	partName              = "runner"
)

// Daemon contains the components of an entry VM that serves searches and operations.
type Daemon struct {
	cfg      configurer.Daemon
	log      zerolog.Logger
	board    *blackboard.Board
	recorder *recorder.Recorder

	pool          *messenger.Pool
	peerServer    *messenger.Server
	gossiper      *gossiper.Gossiper
	leaser        *leaser.Leaser
	installer     *installer.Installer
	executor      *executor.Executor
	mover         *mover.Mover
	searcher      *searcher.Searcher
	responder     *responder.Responder
	administrator *administrator.Administrator
	exporter      *exporter.Exporter
	drainer       *drainer.Drainer

	callerListener   net.Listener
	operatorListener net.Listener
	metricsListener  net.Listener
	peerListener     net.Listener
}

// New returns a daemon that logs to w. It starts no goroutine and opens no listener before Run.
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
	d := &Daemon{
		cfg:      cfg,
		log:      l.Part(partName),
		board:    &blackboard.Board{},
		recorder: recorder.New(cfg.Name, clock),
	}
	b.buildPeers(d)
	b.buildConfiguration(d)
	b.buildRequests(d)
	b.buildLifecycle(d)
	return d, d.register()
}

// builder contains the values that are needed only for the construction of a Daemon.
type builder struct {
	cfg    configurer.Daemon
	logger logger.Logger
	clock  *timer.Service
	seed   uint64
	store  storeclient.Store
}

func (b *builder) buildPeers(d *Daemon) {
	d.pool = messenger.NewPool(d.recorder, b.logger)
	d.pool.LocalAddr = b.cfg.PeerAddress.Addr()
	d.peerServer = messenger.NewServer(d.recorder, b.logger)
	d.gossiper = gossiper.New(gossiper.Options{
		Name:             b.cfg.Name,
		AvailabilityZone: b.cfg.AvailabilityZone,
		Address:          b.cfg.PeerAdvertise,
		Peers:            b.cfg.Peers,
		Client:           d.pool,
		Store:            b.store,
		Board:            d.board,
		Timer:            b.clock,
		Recorder:         d.recorder,
		Logger:           b.logger,
	})
	d.mover = mover.New(mover.Options{
		VM:        b.cfg.Name,
		Board:     d.board,
		Store:     b.store,
		Publisher: d.gossiper,
		Timer:     b.clock,
		Recorder:  d.recorder,
		Log:       b.logger.Part("mover"),
	})
	d.executor = executor.New(executor.Options{
		Name:      b.cfg.Name,
		Board:     d.board,
		Dialer:    connector.NewHTTPDialer(),
		Publisher: d.gossiper,
		Evidence:  d.mover,
		Timer:     b.clock,
		Recorder:  d.recorder,
		Logger:    b.logger,
	})
	d.leaser = leaser.New(leaser.Options{
		Name:                b.cfg.Name,
		AvailabilityZone:    b.cfg.AvailabilityZone,
		Incarnation:         d.gossiper.Incarnation(),
		Client:              d.pool,
		Board:               d.board,
		Timer:               b.clock,
		Recorder:            d.recorder,
		Logger:              b.logger,
		Ready:               d.gossiper.MembershipKnown,
		InUse:               d.executor.InUse,
		OnMessage:           d.gossiper.MessageReceived,
		OnConnectionRefused: d.gossiper.ConnectionRefused,
	})
}

func (b *builder) buildConfiguration(d *Daemon) {
	d.installer = installer.New(installer.Options{
		VMName:           b.cfg.Name,
		AvailabilityZone: b.cfg.AvailabilityZone,
		Board:            d.board,
		Store:            b.store,
		Client:           d.pool,
		Publisher:        d.gossiper,
		Timer:            b.clock,
		Recorder:         d.recorder,
		Logger:           b.logger,
	})
	d.administrator = administrator.New(administrator.Options{
		VMName: b.cfg.Name,
		Board:  d.board,
		Store:  b.store,
		Client: d.pool,
		Publisher: publisher.New(publisher.Options{
			Board:     d.board,
			Store:     b.store,
			Timer:     b.clock,
			Recorder:  d.recorder,
			Logger:    b.logger,
			OnPublish: d.installer.EnqueuePublishedHead,
		}),
		Timer:    b.clock,
		Recorder: d.recorder,
		Logger:   b.logger,
	})
}

func (b *builder) buildRequests(d *Daemon) {
	indexCache := planner.NewIndexCache(d.board)
	owners := searcher.NewOwnerClients(d.executor, d.pool)
	d.searcher = searcher.New(searcher.Options{
		Board:                d.board,
		IndexCache:           indexCache,
		Owners:               owners,
		Timer:                b.clock,
		Recorder:             d.recorder,
		NewBudget:            newBudget,
		MaxConcurrentQueries: b.cfg.MaxQueries,
		Seed:                 b.seed,
	})
	d.responder = responder.New(responder.Options{
		Board:      d.board,
		IndexCache: indexCache,
		Searcher:   d.searcher,
		Claimer: claimer.New(claimer.Options{
			Board:                   d.board,
			IndexCache:              indexCache,
			Owners:                  owners,
			Store:                   b.store,
			Timer:                   b.clock,
			Recorder:                d.recorder,
			MaxConcurrentOperations: b.cfg.MaxQueries,
			Seed:                    b.seed,
		}),
		Client:   d.pool,
		Timer:    b.clock,
		Recorder: d.recorder,
		Logger:   b.logger.Part("responder"),
		Seed:     b.seed,
	})
}

func newBudget(percent int) searcher.Budget {
	return limiter.NewBudget(percent)
}

func (b *builder) buildLifecycle(d *Daemon) {
	d.drainer = drainer.New(drainer.Options{
		AvailabilityZone:    b.cfg.AvailabilityZone,
		BalancerDelay:       b.cfg.BalancerDelay,
		DrainTimeout:        b.cfg.DrainTimeout,
		Board:               d.board,
		Timer:               b.clock,
		Recorder:            d.recorder,
		Logger:              b.logger,
		InitialExchangeDone: d.gossiper.InitialExchangeDone,
		StopListener:        d.stopListener,
		ReleaseReplicas:     d.leaser.ReleaseAll,
		PublishDeparture:    d.publishDeparture,
		WaitRequests:        d.waitRequests,
		CloseConnections:    d.closeConnections,
	})
	d.exporter = exporter.New(d.board)
	d.addCounters()
}

// register adds the net/rpc receivers for calls from other entry VMs and subscribes to the records that these VMs gossip.
func (d *Daemon) register() error {
	receivers := []struct {
		name     string
		receiver any
	}{
		{"Owner", d.executor},
		{"Peer", d.gossiper.RPC()},
		{"Peer", d.leaser.RPC()},
		{"Peer", &partsReceiver{
			installer: d.installer,
		}},
		{"Peer", &eventsReceiver{
			recorder: d.recorder,
		}},
		{"Entry", d.responder.RPCService()},
	}
	for _, x := range receivers {
		if err := d.peerServer.Register(x.name, x.receiver); err != nil {
			return fmt.Errorf("registering %s: %w", x.name, err)
		}
	}
	d.gossiper.Subscribe(messenger.RecordVersionStats, d.mover.ReceiveVersionStats)
	d.gossiper.Subscribe(messenger.RecordMoveOutcome, d.mover.ReceiveOutcome)
	d.gossiper.Subscribe(messenger.RecordConfigHead, d.receiveHead)
	return nil
}

// receiveHead queues a configuration head for installation. It also accepts heads that an earlier process of this VM published,
// because there may be no other head after a restart while the platform is unavailable.
func (d *Daemon) receiveHead(rec messenger.Record) {
	var head messenger.ConfigHeadRecord
	if err := messenger.DecodePayload(rec.Payload, &head); err != nil {
		d.log.Warn().Err(err).Str("Origin", rec.Origin).Msg("A configuration head could not be decoded.")
		return
	}
	d.installer.EnqueueReceivedHead(head, rec.Origin)
}

// Run listens and serves until ctx is done, then shuts down gracefully. The error reports why the daemon could not start,
// requests that the shutdown interrupted, or a failure to close the connections to other entry VMs.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.listen(); err != nil {
		return err
	}
	d.log.Info().Str("AvailabilityZone", d.cfg.AvailabilityZone).Msg("The daemon is starting.")
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for _, loop := range d.loops() {
		wg.Go(func() {
			if err := loop(runCtx); err != nil {
				d.log.Error().Err(err).Msg("A component stopped with an error.")
			}
		})
	}
	<-ctx.Done()
	d.log.Info().Msg("The daemon is shutting down.")
	err := d.drainer.Shutdown(context.Background())
	cancel()
	wg.Wait()
	err = errors.Join(err, d.pool.Close())
	d.log.Info().Msg("The daemon has stopped.")
	return err
}

func (d *Daemon) loops() []func(context.Context) error {
	return []func(context.Context) error{
		d.gossiper.Run,
		d.leaser.Run,
		d.drainer.Run,
		withNilError(d.installer.Run),
		withNilError(d.executor.Loop),
		withNilError(d.mover.Run),
		func(ctx context.Context) error { return d.peerServer.Serve(ctx, d.peerListener) },
		func(context.Context) error { return d.responder.Serve(d.callerListener) },
		func(context.Context) error { return d.administrator.Serve(d.operatorListener) },
		func(context.Context) error { return d.exporter.Serve(d.metricsListener) },
	}
}

func withNilError(loop func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		loop(ctx)
		return nil
	}
}

// listen opens all listeners before anything is served, so that an address that is already in use is reported at startup.
func (d *Daemon) listen() error {
	for _, l := range []struct {
		name string
		addr netip.AddrPort
		ln   *net.Listener
	}{
		{"caller-address", d.cfg.CallerAddress, &d.callerListener},
		{"operator-address", d.cfg.OperatorAddress, &d.operatorListener},
		{"metrics-address", d.cfg.MetricsAddress, &d.metricsListener},
		{"peer-address", d.cfg.PeerAddress, &d.peerListener},
	} {
		ln, err := net.Listen("tcp", l.addr.String())
		if err != nil {
			return fmt.Errorf("listening on the address of -%s: %w", l.name, err)
		}
		*l.ln = ln
	}
	return nil
}
