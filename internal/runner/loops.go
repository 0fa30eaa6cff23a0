package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/anvildyke/anvildyke/internal/detector"
	"github.com/anvildyke/anvildyke/internal/discoverer"
)

// start starts the goroutines of the gateway. They end with ctx or with their listener.
func (g *Gateway) start(ctx context.Context, callers, probes, peers net.Listener) {
	reloads := &reloader{
		gateway: g,
		file:    g.parts.Settings,
	}
	loops := []func(context.Context){
		reloads.run,
		g.follow.Run,
		g.enroller.Run,
		g.migrator.Run,
		g.clear,
		g.probe,
		g.accept.Run,
	}
	for _, run := range loops {
		l := &loop{
			body: run,
		}
		go l.run(ctx)
	}
	servers := []*listening{
		{
			serve: g.accept.Serve,
			on:    callers,
		},
		{
			serve: g.meter.Serve,
			on:    probes,
		},
	}
	if peers != nil {
		servers = append(servers, &listening{
			serve: func(l net.Listener) error {
				return g.peers.Serve(ctx, l)
			},
			on: peers,
		})
	}
	for _, s := range servers {
		go s.run(g)
	}
}

// loop is a goroutine of the gateway.
type loop struct {
	body func(context.Context)
}

func (l *loop) run(ctx context.Context) {
	l.body(ctx)
}

// listening is a server on its listener.
type listening struct {
	serve func(net.Listener) error
	on    net.Listener
}

func (s *listening) run(g *Gateway) {
	if err := s.serve(s.on); err != nil && !g.draining() {
		g.log.Error().Stringer("Address", s.on.Addr()).Err(err).Msg("A listener ended.")
	}
}

// resize takes the number of VMs that share the limits.
func (g *Gateway) resize(n int) {
	g.tracker.SetVMCount(n)
	g.spender.SetVMCount(n)
	g.log.Info().Int("VMs", n).Msg("The number of VMs changed.")
}

// clear tidies up, and now and then drops what is known of servers and routes that are gone.
func (g *Gateway) clear(ctx context.Context) {
	var swept time.Time
	g.timer.Every(ctx, housekeeping, func(now time.Time) {
		g.tidy(now)
		if now.Sub(swept) >= sweepPeriod {
			swept = now
			g.sweep(now)
		}
	})
}

func (g *Gateway) tidy(now time.Time) {
	g.servers.Expire(now)
	for _, v := range g.tracker.HealthChanges(now) {
		g.beliefs.Info().Str("Server", v.Server.ID).Bool("SlowOrFailing", v.Degraded).Bool("Unreachable", v.Ejected).Float64("Slowness", v.Slowness).
			Float64("Failures", v.Failures).Dur("Age", v.Age).Msg("What is believed of a backend server changed.")
	}
	if n := g.dropped.Total(); n > g.reported+reportLines {
		g.log.Warn().Uint64("Dropped", n-g.reported).Msg("Log lines were dropped.")
		g.reported = n
	}
	if g.tracker.AnyEjected() || g.cutOff.Load() {
		g.findReach(now)
	}
}

// sweep drops what is known of servers and routes that are gone.
func (g *Gateway) sweep(now time.Time) {
	view := g.board.Servers.Read()
	keys := map[discoverer.Key]struct{}{}
	for _, members := range view.ByService {
		for _, m := range members {
			keys[m.Key()] = struct{}{}
		}
	}
	table := g.board.Routes.Read()
	names := map[string]struct{}{}
	for _, r := range table.Routes {
		names[r.Name] = struct{}{}
	}
	known := func(k discoverer.Key) bool {
		_, ok := keys[k]
		return ok
	}
	g.tracker.Retain(known, func(route string) bool {
		_, ok := names[route]
		return ok
	})
	g.pooler.Trim(now, known)
	g.spender.Retain(func(service string) bool {
		_, ok := table.Services[service]
		return ok
	})
}

// findReach takes the VM out of rotation while it is cut off from the servers that its callers need, and back when it is not.
func (g *Gateway) findReach(now time.Time) {
	f := detector.Detect(g.board.Servers.Read(), g.board.Routes.Read(), func(m discoverer.Endpoint) bool {
		return g.tracker.AnyReachable([]discoverer.Endpoint{m})
	}, func(zone string) bool {
		return g.tracker.ZoneUnreachable(zone, now)
	})
	if g.cutOff.Swap(f.Partitioned) != f.Partitioned {
		g.log.Warn().Bool("CutOff", f.Partitioned).Strs("Zones", f.UnreachableZones).Str("Route", f.Route).Int("Needed", f.NeededShards).Int("Reachable", f.ReachableShards).
			Msg("Whether this VM is cut off from most zones has changed.")
	}
}

// reportLines is the number of dropped lines of which the log tells in one line.
const reportLines = 100

const (
	// probePeriod is the time between looks for servers to which a connection is to be tried.
	probePeriod = 50 * time.Millisecond
	// probeTimeout bounds such a try.
	probeTimeout = 300 * time.Millisecond
)

// probe tries connections to servers that could not be reached, so that no request has to.
func (g *Gateway) probe(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.tracker.Ejections():
		}
		for g.tracker.AnyEjected() && ctx.Err() == nil {
			for _, m := range g.tracker.ProbesDue(g.timer.Now()) {
				p := &probing{
					gateway: g,
					member:  m,
				}
				go p.run(ctx)
			}
			g.timer.Sleep(ctx, probePeriod)
		}
	}
}

// probing is one try of a connection.
type probing struct {
	gateway *Gateway
	member  discoverer.Endpoint
}

func (p *probing) run(ctx context.Context) {
	g := p.gateway
	link, _, err := g.pooler.Get(ctx, p.member.Server, true, probeTimeout, g.timer.Now())
	now := g.timer.Now()
	if err == nil {
		g.pooler.Put(p.member.Server, link, 0, now)
		g.log.Info().Str("Server", p.member.ID).Str("Service", p.member.Service).Msg("A backend server can be reached again.")
	}
	g.tracker.RecordProbe(p.member, err == nil, now)
}

// waitPeriod is the time between looks at the running requests while the gateway stops.
const waitPeriod = 20 * time.Millisecond

func (g *Gateway) waitRequests(ctx context.Context) error {
	tick := g.timer.Subscribe(waitPeriod)
	defer tick.Stop()
	for g.accept.Running() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d requests were cut off: %w", g.accept.Running(), ctx.Err())
		case <-tick.C:
		}
	}
	return nil
}

func (g *Gateway) closeConnections(ctx context.Context) {
	// The listener has been closed when the balancer's delay had passed.
	if err := g.accept.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		g.log.Warn().Err(err).Msg("Connections of callers cannot be closed in time.")
	}
}
