package runner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/acceptor"
	"github.com/anvildyke/anvildyke/internal/admitter"
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
	"github.com/anvildyke/anvildyke/internal/isolator"
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
	// balancerDelay is how long the load balancer may still send requests after the VM reports that it is not ready. It covers
	// two probes at an interval of 1 s and the time the balancer needs to react.
	balancerDelay = 2500 * time.Millisecond
	// connectionCloseReserve is the part of the grace period that is reserved for answering the requests that still run and for
	// closing connections.
	connectionCloseReserve = 600 * time.Millisecond
	// lapsedEntryGracePeriod is how long a backend server is used after its entry has been removed from the platform. Servers that
	// are alive renew a lapsed entry within 2 s.
	lapsedEntryGracePeriod = 2 * time.Second
	// defaultHeartbeatInterval is used if the settings state none. The platform removes an entry that has not been renewed for
	// missedHeartbeats intervals.
	defaultHeartbeatInterval = 2 * time.Second
	missedHeartbeats         = 3
	// missingRetention is how long an object stays in force that the platform has lost when it came back from a copy, and
	// outdatedRetention how long one stays out of force that had been deleted or changed. Operators and VMs write what was lost again
	// within a few seconds.
	missingRetention  = 30 * time.Second
	outdatedRetention = 10 * time.Second
	// outdatedEvacuationRetention is shorter because an operator who orders an evacuation that the copy contains causes no event, and the
	// order has to be in force within the 5 s that the platform allows.
	outdatedEvacuationRetention = 3 * time.Second
	// drainMargin is subtracted from the drain timeout of a backend server, so that the last requests sent to it can complete.
	drainMargin = time.Second
	// housekeepingPeriod is the interval between checks for changes that occur over time: grace periods that end, the health of
	// backend servers and reachability.
	housekeepingPeriod = 200 * time.Millisecond
	// sweepPeriod is the interval between removals of stale state, each of which iterates over all servers and connections.
	sweepPeriod = time.Second
)

// GatewayCodec encodes and decodes the protocol that callers and backend servers use.
type GatewayCodec interface {
	acceptor.Codec
	dispatcher.Codec
}

// ObjectKinds contains the platform's names for the kinds of objects that a gateway reads.
type ObjectKinds struct {
	Config     string
	Server     string
	Evacuation string
	Move       string
	VM         string
}

// PlatformAdapter contains the dependencies of a Gateway that are specific to the platform.
type PlatformAdapter struct {
	Source       storeclient.Source
	Kinds        ObjectKinds
	DecodeConfig func(name string, value []byte) (router.Config, error)
	DecodeMove   func(item storeclient.Item) (blackboard.MoveOrder, error)
	DecodeServer func(name string, value []byte) (discoverer.Server, error)
	Directory    enroller.Directory
	CrashArchive isolator.Archive
	Outcomes     promoter.OutcomeStore
	Settings     SettingsFile
	Codec        GatewayCodec
}

// Gateway forwards the requests of callers to the platform's backend servers.
type Gateway struct {
	cfg      configurer.Gateway
	platform PlatformAdapter
	board    *blackboard.Gateway
	// lifecycleBoard is used only for its section Lifecycle, which the drainer writes.
	lifecycleBoard *blackboard.Board
	timer          *timer.Service
	logger         logger.Logger
	log            zerolog.Logger
	// healthLog receives the messages about backend servers. It is rate-limited like the logs of requests.
	healthLog zerolog.Logger
	// logCloser flushes the buffered log lines when it is closed.
	logCloser    io.Closer
	droppedLines *logger.DropCounter
	// callerListener is nil before Run.
	callerListener atomic.Pointer[admitter.Listener]
	// partitioned is true while the VM cannot serve its callers because most zones are unreachable.
	partitioned atomic.Bool
	// reportedDrops is the number of dropped log lines that have been reported in the log.
	reportedDrops uint64
	exporter      *exporter.Exporter
	balancer      *balancer.Balancer
	pooler        *pooler.Pooler
	budgeter      *budgeter.Budgeter
	isolator      *isolator.Isolator
	crashChecker  *isolator.Checker
	// crashExchanger exchanges the reports of the isolator with other zones.
	crashExchanger *isolator.Exchanger
	crashKeeper    *isolator.Keeper
	serverSink     *syncer.ServerSink
	retainers      []*syncer.Retainer
	acceptor       *acceptor.Acceptor
	drainer        *drainer.Drainer
	// recorder stamps the messages that VMs exchange and the events that they record.
	recorder   *recorder.Recorder
	syncer     *syncer.Syncer
	enroller   *enroller.Enroller
	promoter   *promoter.Promoter
	peerServer *messenger.Server
	peerPool   *messenger.Pool
}

// NewGateway returns a gateway that logs to w. It does not listen before Run.
func NewGateway(cfg configurer.Gateway, platform PlatformAdapter, w io.Writer) (*Gateway, error) {
	l, droppedLines, logCloser, err := logger.NewNonBlocking(w, "info", cfg.Name)
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		cfg:            cfg,
		platform:       platform,
		board:          &blackboard.Gateway{},
		lifecycleBoard: &blackboard.Board{},
		timer:          timer.NewWall(),
		logger:         l,
		droppedLines:   droppedLines,
		logCloser:      logCloser,
		log:            l.Part("runner"),
		healthLog:      l.RateLimitedPart("tracker", droppedLines),
		balancer: balancer.New(balancer.Config{
			Name:           cfg.Name,
			Zone:           cfg.Zone,
			Region:         cfg.Region,
			DepartureGrace: max(0, cfg.DrainTimeout-drainMargin),
		}),
		pooler: pooler.New(connector.NewHTTPDialer()),
		budgeter: budgeter.New(budgeter.Config{
			Window:         cfg.RetryWindow,
			Ratio:          cfg.RetryRatio,
			FixedAllowance: cfg.RetryExtra,
		}, initialVMCount),
	}
	g.buildIsolator()
	g.balancer.SetVMCount(initialVMCount)
	if cfg.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(cfg.MemoryBytes)))
	}
	g.exporter = exporter.NewForGateway(g.phase)
	g.registerMetrics()
	g.serverSink = syncer.NewServerSink(g.board, platform.DecodeServer, g.timer, l.Part("registrar"), discoverer.Config{
		GracePeriod: max(0, min(lapsedEntryGracePeriod, cfg.DrainTimeout-drainMargin)),
		ReturnDelay: missedHeartbeats*cmp.Or(cfg.HeartbeatInterval, defaultHeartbeatInterval) + lapsedEntryGracePeriod,
	})
	g.recorder = recorder.New(cfg.Name, g.timer)
	g.peerPool = messenger.NewPool(g.recorder, l)
	g.peerPool.LocalAddr = cfg.PeerAddress.Addr()
	g.peerServer = messenger.NewServer(g.recorder, l)
	g.buildPromoter()
	g.buildSyncer()
	if err := g.registerPeerServices(); err != nil {
		return nil, err
	}
	g.buildAcceptor()
	statusReporter := reporter.New(reporter.Options{
		VM:              cfg.Name,
		Zone:            cfg.Zone,
		Phase:           g.phase,
		Source:          g.sourceStatus,
		DroppedLogLines: g.droppedLines.Total,
		Board:           g.board,
		Balancer:        g.balancer,
		Budgeter:        g.budgeter,
		Timer:           g.timer,
	})
	g.exporter.HandleJSON(reporter.StatusPath, func() any {
		return statusReporter.Status()
	})
	return g, nil
}

// registerPeerServices registers the receivers of calls by other VMs.
func (g *Gateway) registerPeerServices() error {
	return errors.Join(
		g.peerServer.Register("Feed", &syncer.FeedServer{
			Syncer: g.syncer,
		}),
		g.peerServer.Register("Moves", &promoter.Server{
			Promoter: g.promoter,
		}),
		g.peerServer.Register("Crashes", &isolator.Server{
			Exchanger: g.crashExchanger,
		}),
	)
}

func (g *Gateway) sourceStatus() reporter.SourceStatus {
	name, answers, at := g.syncer.Source()
	return reporter.SourceStatus{
		Name:            name,
		PlatformAnswers: answers,
		CheckedAt:       at,
	}
}

// heapShare is the fraction of the memory of the process that the Go runtime may use before it collects garbage more often. The rest
// is for the program itself and for bytes that the kernel has received.
const heapShare = 0.6

// initialVMCount is the number of VMs among which limits are divided until the list of VMs is known.
const initialVMCount = 8

// registerMetrics adds the metrics whose values are read from other components at each scrape.
func (g *Gateway) registerMetrics() {
	g.exporter.Counter("log_lines_dropped_total", "Log lines that were dropped to keep the volume bounded.", func() float64 {
		return float64(g.droppedLines.Total())
	})
	g.exporter.Counter("connections_opened_total", "Connections that were opened to backend servers.", func() float64 {
		return float64(g.pooler.Opened())
	})
	g.exporter.Gauge("caller_connections", "Open connections of callers.", func() float64 {
		if l := g.callerListener.Load(); l != nil {
			return float64(l.Open())
		}
		return 0
	})
	g.exporter.Gauge("config_version", "Version of the configuration in force.", func() float64 {
		return float64(g.board.Routes.Read().Version)
	})
	g.exporter.Gauge("isolated_requests", "Contents of requests that are refused because they crashed backend servers.", func() float64 {
		return float64(g.isolator.Isolated())
	})
	g.registerCrashMetrics()
	g.exporter.Gauge("vms", "Entry VMs on the platform's list.", func() float64 {
		return float64(len(g.board.VMs.Read().VMs))
	})
}

// changeLogs returns the change logs of all kinds, that of the list of VMs last.
func (g *Gateway) changeLogs(log zerolog.Logger) []*syncer.ChangeLog {
	retain := func(kind string, outdated time.Duration, sink syncer.Sink) *syncer.ChangeLog {
		r := syncer.NewRetainer(kind, sink, syncer.Retention{
			Missing:  missingRetention,
			Outdated: outdated,
		}, g.timer, log)
		g.retainers = append(g.retainers, r)
		return syncer.NewChangeLog(kind, r)
	}
	kinds := g.platform.Kinds
	return []*syncer.ChangeLog{
		syncer.NewChangeLog(kinds.Config, &syncer.ConfigSink{
			Board:  g.board,
			Decode: g.platform.DecodeConfig,
			Log:    log,
		}),
		syncer.NewChangeLog(kinds.Server, g.serverSink),
		retain(kinds.Evacuation, outdatedEvacuationRetention, &syncer.EvacuationSink{
			Board: g.board,
			Log:   log,
		}),
		retain(kinds.Move, outdatedRetention, &syncer.RolloutSink{
			Decode:   g.platform.DecodeMove,
			OnChange: g.promoter.SetOrders,
			Log:      log,
		}),
		retain(kinds.VM, outdatedRetention, &syncer.VMSink{
			Board:    g.board,
			Log:      log,
			OnChange: g.setVMCount,
		}),
	}
}

func (g *Gateway) buildSyncer() {
	log := g.logger.Part("follower")
	logs := g.changeLogs(log)
	g.syncer = syncer.New(syncer.Options{
		Name:       g.cfg.Name,
		Zone:       g.cfg.Zone,
		Logs:       logs,
		VMLog:      logs[len(logs)-1],
		FirstStart: g.cfg.Bootstrap,
		Source:     g.platform.Source,
		Client:     g.peerPool,
		Board:      g.board,
		Balancer:   g.balancer,
		Budgeter:   g.budgeter,
		Isolator:   g.isolator,
		Seeds:      g.cfg.Seeds,
		Timer:      g.timer,
		Log:        log,
	})
	g.buildCrashExchange()
	g.enroller = enroller.New(enroller.Options{
		OwnEntry: blackboard.VM{
			Name:    g.cfg.Name,
			Zone:    g.cfg.Zone,
			Address: g.cfg.PeerAddress,
		},
		FirstStart:      g.cfg.Bootstrap,
		Board:           g.board,
		Directory:       g.platform.Directory,
		UnresponsiveVMs: g.syncer.UnresponsiveVMs,
		Timer:           g.timer,
		Log:             g.logger.Part("enroller"),
	})
}

// readerVM returns the name of the VM that reads the platform for this VM.
func (g *Gateway) readerVM() string {
	name, _, _ := g.syncer.Source()
	return name
}

func (g *Gateway) isReader() bool {
	return g.readerVM() == g.cfg.Name
}

func (g *Gateway) buildPromoter() {
	g.promoter = promoter.New(promoter.Options{
		VM:   g.cfg.Name,
		Zone: g.cfg.Zone,
		Exposure: promoter.ExposureLimits{
			Share:     g.cfg.ExposureShare,
			Tolerance: g.cfg.ExposureTolerance,
		},
		Board:                  g.board,
		Outcomes:               g.platform.Outcomes,
		IsReader:               g.isReader,
		ReaderVM:               g.readerVM,
		RunningOnOtherVersions: g.balancer.RunningOnOtherVersions,
		Client:                 g.peerPool,
		Timer:                  g.timer,
		Log:                    g.logger.Part("migrator"),
	})
}

func (g *Gateway) buildAcceptor() {
	g.acceptor = acceptor.New(acceptor.Options{
		Board: g.board,
		Runner: dispatcher.New(dispatcher.Options{
			Board:    g.board,
			Balancer: g.balancer,
			Budgeter: g.budgeter,
			Sender: &dispatcher.PooledSender{
				Pooler: g.pooler,
				Codec:  g.platform.Codec,
				Timer:  g.timer,
			},
			Observer: g.promoter,
			Isolator: g.isolator,
			Checker:  g.crashChecker,
			Timer:    g.timer,
			Log:      g.logger.RateLimitedPart("dispatcher", g.droppedLines),
			Metrics:  dispatcher.NewMetrics(g.exporter.Registry()),
		}),
		Codec:    g.platform.Codec,
		Timer:    g.timer,
		Log:      g.logger.RateLimitedPart("acceptor", g.droppedLines),
		Draining: g.draining,
		Metrics:  acceptor.NewMetrics(g.exporter.Registry()),
	})
}

func (g *Gateway) draining() bool {
	phase := g.lifecycleBoard.Lifecycle.Read().Phase
	return phase == blackboard.PhaseDraining || phase == blackboard.PhaseStopped
}

// saturated reports whether callers cannot connect because too many connections are open.
func (g *Gateway) saturated() bool {
	l := g.callerListener.Load()
	return l != nil && l.Saturated(g.timer.Now())
}

// phase returns the phase that the health probes report.
func (g *Gateway) phase() blackboard.Phase {
	switch {
	case g.draining():
		return g.lifecycleBoard.Lifecycle.Read().Phase
	case g.partitioned.Load():
		return blackboard.PhaseCutOff
	case g.saturated():
		return blackboard.PhaseSaturated
	case g.board.Routes.Read().Loaded && g.board.Servers.Read().Loaded:
		return blackboard.PhaseReady
	default:
		return blackboard.PhaseStarting
	}
}

// listen opens the listeners for callers and probes.
func (g *Gateway) listen() (callers, probes *admitter.Listener, err error) {
	callerListener, err := net.Listen("tcp", g.cfg.CallerAddress.String())
	if err != nil {
		return nil, nil, fmt.Errorf("listening for callers: %w", err)
	}
	probeListener, err := net.Listen("tcp", g.cfg.ProbeAddress.String())
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("listening for probes: %w", err), callerListener.Close())
	}
	log := g.logger.Part("admitter")
	limit := g.maxCallerConnections()
	log.Info().Int("Limit", limit).Msg("The number of open connections of callers is limited.")
	callers = admitter.New(callerListener, admitter.Options{
		Limit: limit,
		Timer: g.timer,
		Log:   log,
	})
	probes = admitter.New(probeListener, admitter.Options{
		Timer: g.timer,
		Log:   log,
	})
	g.callerListener.Store(callers)
	return callers, probes, nil
}

// maxCallerConnections returns the limit of the settings, or half of the descriptors that the settings and the operating system allow.
func (g *Gateway) maxCallerConnections() int {
	if g.cfg.MaxCallerConnections > 0 {
		return g.cfg.MaxCallerConnections
	}
	n := g.cfg.Descriptors
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 && (n == 0 || int(limit.Cur) < n) {
		n = int(limit.Cur)
	}
	return n / 2
}

// Run serves until ctx is done and then shuts down gracefully. The error reports a listener that could not be opened, requests
// that the shutdown interrupted, or a failure to flush the log.
func (g *Gateway) Run(ctx context.Context) error {
	callerListener, probeListener, err := g.listen()
	if err != nil {
		return err
	}
	g.drainer = drainer.New(drainer.Options{
		AvailabilityZone: g.cfg.Zone,
		BalancerDelay:    balancerDelay,
		DrainTimeout:     max(0, g.cfg.GracePeriod-balancerDelay-connectionCloseReserve),
		Board:            g.lifecycleBoard,
		Timer:            g.timer,
		Recorder:         g.recorder,
		Logger:           g.logger,
		StopListener: func() {
			if err := callerListener.Close(); err != nil {
				g.log.Warn().Err(err).Msg("The listener for callers could not be closed.")
			}
		},
		PublishDeparture: g.publishDeparture,
		WaitRequests:     g.waitRequests,
		CloseConnections: g.closeConnections,
	})
	var peerListener net.Listener
	if g.cfg.PeerAddress.IsValid() {
		if peerListener, err = net.Listen("tcp", g.cfg.PeerAddress.String()); err != nil {
			return errors.Join(fmt.Errorf("listening for other VMs: %w", err), callerListener.Close(), probeListener.Close())
		}
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.start(runCtx, callerListener, probeListener, peerListener)
	g.log.Info().Stringer("Callers", g.cfg.CallerAddress).Str("AvailabilityZone", g.cfg.Zone).Msg("The gateway has started.")
	<-ctx.Done()
	g.log.Info().Int("Running", g.acceptor.Running()).Msg("The gateway is shutting down.")
	now := g.timer.Now()
	g.acceptor.SetStopTimes(now.Add(balancerDelay), now.Add(g.cfg.GracePeriod-connectionCloseReserve))
	stopCtx, cancelStop := context.WithTimeout(context.Background(), g.cfg.GracePeriod)
	defer cancelStop()
	err = g.drainer.Shutdown(stopCtx)
	g.log.Info().Err(err).Msg("The gateway has stopped.")
	return errors.Join(err, g.logCloser.Close())
}
