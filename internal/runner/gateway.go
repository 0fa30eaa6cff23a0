package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/acceptor"
	"github.com/anvildyke/anvildyke/internal/balancer"
	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/budgeter"
	"github.com/anvildyke/anvildyke/internal/configurer"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/dispatcher"
	"github.com/anvildyke/anvildyke/internal/drainer"
	"github.com/anvildyke/anvildyke/internal/enroller"
	"github.com/anvildyke/anvildyke/internal/exporter"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/pooler"
	"github.com/anvildyke/anvildyke/internal/promoter"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/reporter"
	"github.com/anvildyke/anvildyke/internal/router"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/syncer"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// balancerDelay is how long the balancer may go on sending after the VM reports that it is not ready: two probes, one a
	// second, and the time to act.
	balancerDelay = 2500 * time.Millisecond
	// stopReserve is kept of the time to stop for the closing of connections.
	stopReserve = time.Second
	// lapseGrace is how long a server without an entry is used: servers that live renew lapsed entries within two seconds.
	lapseGrace = 2 * time.Second
	// lapseMargin is kept of a leaving server's time for the requests that it got last.
	lapseMargin = time.Second
	// housekeeping is the period of looks at what has changed by itself: entries that lapse, beliefs about servers, reach.
	housekeeping = 200 * time.Millisecond
	// sweepPeriod is the period of dropping what is no longer used. It walks over all servers and connections.
	sweepPeriod = time.Second
)

// GatewayCodec is the manner of speaking of callers and backend servers.
type GatewayCodec interface {
	acceptor.Codec
	dispatcher.Codec
}

// ObjectKinds are the platform's names of the kinds of objects.
type ObjectKinds struct {
	Config     string
	Server     string
	Evacuation string
	Move       string
	VM         string
}

// PlatformAdapter are the collaborators of a Gateway that know the platform.
type PlatformAdapter struct {
	Source       storeclient.Source
	Kinds        ObjectKinds
	DecodeConfig func(name string, value []byte) (router.Config, error)
	DecodeMove   func(item storeclient.Item) (blackboard.MoveOrder, error)
	DecodeServer func(name string, value []byte) (discoverer.Server, error)
	Directory    enroller.Directory
	Outcomes     promoter.OutcomeStore
	Settings     SettingsFile
	Codec        GatewayCodec
}

// Gateway passes requests of callers on to the platform's backend servers.
type Gateway struct {
	cfg    configurer.Gateway
	parts  PlatformAdapter
	board  *blackboard.Gateway
	core   *blackboard.Board
	timer  *timer.Service
	logger logger.Logger
	log    zerolog.Logger
	// beliefs are the lines about backend servers, which are bounded like those about requests.
	beliefs zerolog.Logger
	// logs writes the rest of the log lines when it is closed.
	logs    io.Closer
	dropped *logger.DropCounter
	// cutOff says that the VM cannot serve its callers, because most zones are out of its reach.
	cutOff atomic.Bool
	// reported is the number of dropped lines that the log tells of.
	reported uint64
	meter    *exporter.Exporter
	tracker  *balancer.Balancer
	pooler   *pooler.Pooler
	spender  *budgeter.Budgeter
	servers  *syncer.ServerSink
	accept   *acceptor.Acceptor
	drainer  *drainer.Drainer
	// recorder stamps the messages between VMs.
	recorder *recorder.Recorder
	follow   *syncer.Syncer
	enroller *enroller.Enroller
	migrator *promoter.Promoter
	peers    *messenger.Server
	pool     *messenger.Pool
}

// NewGateway builds the gateway. Logs go to w.
func NewGateway(cfg configurer.Gateway, parts PlatformAdapter, w io.Writer) (*Gateway, error) {
	l, dropped, logs, err := logger.NewNonBlocking(w, "info", cfg.Name)
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		cfg:     cfg,
		parts:   parts,
		board:   &blackboard.Gateway{},
		core:    &blackboard.Board{},
		timer:   timer.NewWall(),
		logger:  l,
		dropped: dropped,
		logs:    logs,
		log:     l.Part("runner"),
		beliefs: l.RateLimitedPart("tracker", dropped),
		tracker: balancer.New(balancer.Config{
			Name:   cfg.Name,
			Zone:   cfg.Zone,
			Region: cfg.Region,
		}),
		pooler: pooler.New(connector.NewHTTPDialer()),
		spender: budgeter.New(budgeter.Config{
			Window:         cfg.RetryWindow,
			Ratio:          cfg.RetryRatio,
			FixedAllowance: cfg.RetryExtra,
		}, assumedVMs),
	}
	g.tracker.SetVMCount(assumedVMs)
	g.meter = exporter.NewForGateway(g.phase)
	g.measure()
	g.servers = syncer.NewServerSink(g.board, parts.DecodeServer, g.timer, l.Part("registrar"), discoverer.Config{
		GracePeriod: max(0, min(lapseGrace, cfg.DrainTimeout-lapseMargin)),
	})
	g.recorder = recorder.New(cfg.Name, g.timer)
	g.pool = messenger.NewPool(g.recorder, l)
	g.pool.LocalAddr = cfg.PeerAddress.Addr()
	g.peers = messenger.NewServer(g.recorder, l)
	g.buildMigrator()
	g.buildFollower()
	if err := g.peers.Register("Feed", &syncer.FeedServer{
		Syncer: g.follow,
	}); err != nil {
		return nil, err
	}
	if err := g.peers.Register("Moves", &promoter.Server{
		Promoter: g.migrator,
	}); err != nil {
		return nil, err
	}
	g.build()
	status := reporter.New(reporter.Options{
		VM:              cfg.Name,
		Zone:            cfg.Zone,
		Phase:           g.phase,
		Source:          g.source,
		DroppedLogLines: g.dropped.Total,
		Board:           g.board,
		Balancer:        g.tracker,
		Budgeter:        g.spender,
		Timer:           g.timer,
	})
	g.meter.HandleJSON(reporter.StatusPath, func() any {
		return status.Status()
	})
	return g, nil
}

func (g *Gateway) source() reporter.SourceStatus {
	name, answers, at := g.follow.Source()
	return reporter.SourceStatus{
		Name:            name,
		PlatformAnswers: answers,
		CheckedAt:       at,
	}
}

// assumedVMs is the number of VMs that share the limits as long as their list is not known.
const assumedVMs = 8

// measure adds the metrics that are read from the parts.
func (g *Gateway) measure() {
	g.meter.Counter("log_lines_dropped_total", "Log lines that were dropped to keep the volume bounded.", func() float64 {
		return float64(g.dropped.Total())
	})
	g.meter.Counter("connections_opened_total", "Connections that were opened to backend servers.", func() float64 {
		return float64(g.pooler.Opened())
	})
	g.meter.Gauge("config_version", "Version of the configuration in force.", func() float64 {
		return float64(g.board.Routes.Read().Version)
	})
	g.meter.Gauge("vms", "Entry VMs on the platform's list.", func() float64 {
		return float64(len(g.board.VMs.Read().VMs))
	})
}

func (g *Gateway) buildFollower() {
	log := g.logger.Part("follower")
	vms := syncer.NewChangeLog(g.parts.Kinds.VM, &syncer.VMSink{
		Board:    g.board,
		Log:      log,
		OnChange: g.resize,
	})
	g.follow = syncer.New(syncer.Options{
		Name: g.cfg.Name,
		Zone: g.cfg.Zone,
		Logs: []*syncer.ChangeLog{
			syncer.NewChangeLog(g.parts.Kinds.Config, &syncer.ConfigSink{
				Board:  g.board,
				Decode: g.parts.DecodeConfig,
				Log:    log,
			}),
			syncer.NewChangeLog(g.parts.Kinds.Server, g.servers),
			syncer.NewChangeLog(g.parts.Kinds.Evacuation, &syncer.EvacuationSink{
				Board: g.board,
				Log:   log,
			}),
			syncer.NewChangeLog(g.parts.Kinds.Move, &syncer.RolloutSink{
				Decode:   g.parts.DecodeMove,
				OnChange: g.migrator.SetOrders,
				Log:      log,
			}),
			vms,
		},
		VMLog:      vms,
		FirstStart: g.cfg.Bootstrap,
		Source:     g.parts.Source,
		Client:     g.pool,
		Board:      g.board,
		Balancer:   g.tracker,
		Budgeter:   g.spender,
		Seeds:      g.cfg.Seeds,
		Timer:      g.timer,
		Log:        log,
	})
	g.enroller = enroller.New(enroller.Options{
		Self: blackboard.VM{
			Name:    g.cfg.Name,
			Zone:    g.cfg.Zone,
			Address: g.cfg.PeerAddress,
		},
		FirstStart:      g.cfg.Bootstrap,
		Board:           g.board,
		Directory:       g.parts.Directory,
		UnresponsiveVMs: g.follow.UnresponsiveVMs,
		Timer:           g.timer,
		Log:             g.logger.Part("enroller"),
	})
}

func (g *Gateway) buildMigrator() {
	source := func() string {
		name, _, _ := g.follow.Source()
		return name
	}
	g.migrator = promoter.New(promoter.Options{
		VM:   g.cfg.Name,
		Zone: g.cfg.Zone,
		Exposure: promoter.ExposureLimits{
			Share:     g.cfg.ExposureShare,
			Tolerance: g.cfg.ExposureTolerance,
		},
		Board:    g.board,
		Outcomes: g.parts.Outcomes,
		IsReader: func() bool {
			return source() == g.cfg.Name
		},
		ReaderVM:               source,
		RunningOnOtherVersions: g.tracker.RunningOnOtherVersions,
		Client:                 g.pool,
		Timer:                  g.timer,
		Log:                    g.logger.Part("migrator"),
	})
}

func (g *Gateway) build() {
	g.accept = acceptor.New(acceptor.Options{
		Board: g.board,
		Runner: dispatcher.New(dispatcher.Options{
			Board:    g.board,
			Balancer: g.tracker,
			Budgeter: g.spender,
			Sender: &dispatcher.PooledSender{
				Pooler: g.pooler,
				Codec:  g.parts.Codec,
				Timer:  g.timer,
			},
			Observer: g.migrator,
			Timer:    g.timer,
			Log:      g.logger.RateLimitedPart("dispatcher", g.dropped),
			Metrics:  dispatcher.NewMetrics(g.meter.Registry()),
		}),
		Codec:    g.parts.Codec,
		Timer:    g.timer,
		Log:      g.logger.RateLimitedPart("acceptor", g.dropped),
		Draining: g.draining,
		Metrics:  acceptor.NewMetrics(g.meter.Registry()),
	})
}

func (g *Gateway) draining() bool {
	p := g.core.Lifecycle.Read().Phase
	return p == blackboard.PhaseDraining || p == blackboard.PhaseStopped
}

// phase returns the phase that the probes report.
func (g *Gateway) phase() blackboard.Phase {
	switch {
	case g.draining():
		return g.core.Lifecycle.Read().Phase
	case g.cutOff.Load():
		return blackboard.PhaseCutOff
	case g.board.Routes.Read().Loaded && g.board.Servers.Read().Loaded:
		return blackboard.PhaseReady
	default:
		return blackboard.PhaseStarting
	}
}

// Run serves until ctx ends, and then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", g.cfg.CallerAddress.String())
	if err != nil {
		return fmt.Errorf("listening for callers: %w", err)
	}
	probes, err := net.Listen("tcp", g.cfg.ProbeAddress.String())
	if err != nil {
		return errors.Join(fmt.Errorf("listening for probes: %w", err), callers.Close())
	}
	g.drainer = drainer.New(drainer.Options{
		AvailabilityZone: g.cfg.Zone,
		BalancerDelay:    balancerDelay,
		DrainTimeout:     max(0, g.cfg.GracePeriod-balancerDelay-stopReserve),
		Board:            g.core,
		Timer:            g.timer,
		Recorder:         g.recorder,
		Logger:           g.logger,
		StopListener: func() {
			if err := callers.Close(); err != nil {
				g.log.Warn().Err(err).Msg("The listener cannot be closed.")
			}
		},
		PublishDeparture: g.enroller.Deregister,
		WaitRequests:     g.waitRequests,
		CloseConnections: g.closeConnections,
	})
	var peers net.Listener
	if g.cfg.PeerAddress.IsValid() {
		if peers, err = net.Listen("tcp", g.cfg.PeerAddress.String()); err != nil {
			return errors.Join(fmt.Errorf("listening for other VMs: %w", err), callers.Close(), probes.Close())
		}
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.start(work, callers, probes, peers)
	g.log.Info().Stringer("Callers", g.cfg.CallerAddress).Str("AvailabilityZone", g.cfg.Zone).Msg("The gateway has started.")
	<-ctx.Done()
	g.log.Info().Int("Running", g.accept.Running()).Msg("The gateway stops.")
	stop, end := context.WithTimeout(context.Background(), g.cfg.GracePeriod)
	defer end()
	err = g.drainer.Shutdown(stop)
	g.log.Info().Err(err).Msg("The gateway has stopped.")
	return errors.Join(err, g.logs.Close())
}
