package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"github.com/anvildyke/anvildyke/internal/detector"
	"github.com/anvildyke/anvildyke/internal/discoverer"
)

// start starts the goroutines of the gateway. Each ends when ctx is done or its listener is closed.
func (g *Gateway) start(ctx context.Context, callerListener, probeListener, peerListener net.Listener) {
	reloads := &reloader{
		gateway: g,
		file:    g.platform.Settings,
	}
	loops := []func(context.Context){
		reloads.run,
		g.syncer.Run,
		g.enroller.Run,
		g.promoter.Run,
		g.crashExchanger.Run,
		g.crashKeeper.Run,
		g.runHousekeeping,
		g.runConnectionProbes,
		g.acceptor.Run,
	}
	for _, run := range loops {
		l := &loop{
			fn: run,
		}
		go l.run(ctx)
	}
	servers := []*listenerServer{
		{
			serve:    g.acceptor.Serve,
			listener: callerListener,
		},
		{
			serve:    g.exporter.Serve,
			listener: probeListener,
		},
	}
	if peerListener != nil {
		servers = append(servers, &listenerServer{
			serve: func(l net.Listener) error {
				return g.peerServer.Serve(ctx, l)
			},
			listener: peerListener,
		})
	}
	for _, s := range servers {
		go s.run(g)
	}
}

// loop is a background goroutine of the gateway.
type loop struct {
	fn func(context.Context)
}

func (l *loop) run(ctx context.Context) {
	l.fn(ctx)
}

type listenerServer struct {
	serve    func(net.Listener) error
	listener net.Listener
}

func (s *listenerServer) run(g *Gateway) {
	if err := s.serve(s.listener); err != nil && !g.draining() {
		g.log.Error().Stringer("Address", s.listener.Addr()).Err(err).Msg("A server stopped unexpectedly.")
	}
}

// setVMCount sets the number of VMs among which limits are divided.
func (g *Gateway) setVMCount(n int) {
	g.balancer.SetVMCount(n)
	g.budgeter.SetVMCount(n)
	g.log.Info().Int("VMs", n).Msg("The number of VMs changed.")
}

// runHousekeeping updates time-dependent state every housekeepingPeriod and removes stale state every sweepPeriod.
func (g *Gateway) runHousekeeping(ctx context.Context) {
	var swept time.Time
	g.timer.Every(ctx, housekeepingPeriod, func(now time.Time) {
		g.updateTimeDependentState(now)
		if now.Sub(swept) >= sweepPeriod {
			swept = now
			g.removeStale(now)
		}
	})
}

// updateTimeDependentState removes servers whose grace period is over, logs changes of server health and dropped log lines, and
// updates the reachability.
func (g *Gateway) updateTimeDependentState(now time.Time) {
	g.serverSink.Expire(now)
	for _, r := range g.retainers {
		r.Expire(now)
	}
	for _, change := range g.balancer.HealthChanges(now) {
		g.healthLog.Info().Str("Server", change.Server.ID).Bool("SlowOrFailing", change.Degraded).Bool("Unreachable", change.Ejected).Bool("Leaving", change.Leaving).Bool("Paused", change.Paused).Float64("Slowness", change.Slowness).
			Float64("Failures", change.Failures).Dur("Age", change.Age).Msg("The health of a backend server changed.")
	}
	if n := g.droppedLines.Total(); n > g.reportedDrops+dropReportThreshold {
		g.log.Warn().Uint64("Dropped", n-g.reportedDrops).Msg("Log lines were dropped.")
		g.reportedDrops = n
	}
	if g.balancer.AnyEjected() || g.partitioned.Load() {
		g.updateReachability(now)
	}
}

// removeStale removes the state of backend servers, routes and services that are no longer listed or configured, and closes
// expired connections.
func (g *Gateway) removeStale(now time.Time) {
	view := g.board.Servers.Read()
	keys := map[discoverer.Key]struct{}{}
	for _, endpoints := range view.ByService {
		for _, endpoint := range endpoints {
			keys[endpoint.Key()] = struct{}{}
		}
	}
	table := g.board.Routes.Read()
	routeNames := map[string]struct{}{}
	for _, r := range table.Routes {
		routeNames[r.Name] = struct{}{}
	}
	known := func(k discoverer.Key) bool {
		_, ok := keys[k]
		return ok
	}
	g.balancer.Retain(known, func(route string) bool {
		_, ok := routeNames[route]
		return ok
	}, now)
	g.pooler.Trim(now, known)
	g.budgeter.Retain(func(service string) bool {
		_, ok := table.Services[service]
		return ok
	}, now)
}

// updateReachability makes the VM report that it is not ready while a network partition separates it from backend servers that
// its callers need.
func (g *Gateway) updateReachability(now time.Time) {
	reachability := detector.Detect(g.board.Servers.Read(), g.board.Routes.Read(), func(endpoint discoverer.Endpoint) bool {
		return g.balancer.AnyReachable([]discoverer.Endpoint{endpoint})
	}, func(zone string) bool {
		return g.balancer.ZoneUnreachable(zone, now)
	})
	if g.partitioned.Swap(reachability.Partitioned) != reachability.Partitioned {
		g.log.Warn().Bool("CutOff", reachability.Partitioned).Strs("Zones", reachability.UnreachableZones).Str("Route", reachability.Route).Int("Needed", reachability.NeededShards).Int("Reachable", reachability.ReachableShards).
			Msg("The network partition status of this VM changed.")
	}
}

// dropReportThreshold is the number of newly dropped log lines that must be exceeded before the log reports them.
const dropReportThreshold = 100

const (
	// connectionProbePeriod is the interval between checks for ejected backend servers that are due for a connection attempt.
	connectionProbePeriod = 50 * time.Millisecond
	// connectionProbeTimeout limits the duration of such an attempt.
	connectionProbeTimeout = 300 * time.Millisecond
)

// runConnectionProbes attempts connections to ejected backend servers, so that no request is used to detect their recovery.
func (g *Gateway) runConnectionProbes(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.balancer.Ejections():
		}
		for g.balancer.AnyEjected() && ctx.Err() == nil {
			for _, endpoint := range g.balancer.ProbesDue(g.timer.Now()) {
				p := &connectionProbe{
					gateway:  g,
					endpoint: endpoint,
				}
				go p.run(ctx)
			}
			g.timer.Sleep(ctx, connectionProbePeriod)
		}
	}
}

// connectionProbe is one attempt to connect to an ejected backend server.
type connectionProbe struct {
	gateway  *Gateway
	endpoint discoverer.Endpoint
}

func (p *connectionProbe) run(ctx context.Context) {
	g := p.gateway
	defer func() {
		if v := recover(); v != nil {
			g.log.Error().Str("Fault", fmt.Sprint(v)).Bytes("Stack", debug.Stack()).Msg("A connection probe panicked.")
			g.balancer.RecordProbe(p.endpoint, false, g.timer.Now())
		}
	}()
	conn, _, err := g.pooler.Get(ctx, p.endpoint.Server, true, connectionProbeTimeout, g.timer.Now())
	now := g.timer.Now()
	if err == nil {
		g.pooler.Put(p.endpoint.Server, conn, 0, now)
		g.log.Info().Str("Server", p.endpoint.ID).Str("Service", p.endpoint.Service).Msg("A backend server is reachable again.")
	}
	g.balancer.RecordProbe(p.endpoint, err == nil, now)
}

// waitRequests closes the idle connections of callers and waits until all requests are answered. When ctx is done, it ends the
// requests that still run, so that each caller receives an answer before the process exits.
func (g *Gateway) waitRequests(ctx context.Context) error {
	err := g.acceptor.Shutdown(ctx)
	if err == nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	running := g.acceptor.EndRequests()
	if running == 0 {
		return nil
	}
	return fmt.Errorf("%d requests were interrupted by the shutdown: %w", running, err)
}

func (g *Gateway) closeConnections(ctx context.Context) {
	// StopListener has already closed the listener, for which Shutdown may return net.ErrClosed.
	if err := g.acceptor.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		g.log.Warn().Err(err).Msg("Connections of callers did not close before the deadline.")
	}
}

// publishDeparture removes this VM from the list of VMs. It gives up in time for the end of the grace period.
func (g *Gateway) publishDeparture(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	g.enroller.Deregister(ctx)
}

// departureTimeout limits the removal of this VM from the list of VMs. If it fails, the reader of the zone removes the VM later.
const departureTimeout = time.Second
