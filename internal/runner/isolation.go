package runner

import (
	"slices"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/isolator"
	"github.com/anvildyke/anvildyke/internal/syncer"
)

// buildIsolator builds the parts that recognize requests that crash backend servers.
func (g *Gateway) buildIsolator() {
	log := g.logger.RateLimitedPart("isolator", g.droppedLines)
	g.isolator = isolator.New(g.position, log)
	g.crashChecker = isolator.NewChecker(isolator.CheckerOptions{
		Isolator:   g.isolator,
		Dialer:     g.pooler,
		IsReplaced: g.isReplaced,
		Timer:      g.timer,
		Log:        log,
	})
}

// position returns the position of this VM on the list of VMs, -1 if it is not there, and their number.
func (g *Gateway) position() (position, n int) {
	vms := g.board.VMs.Read().VMs
	return slices.IndexFunc(vms, func(vm blackboard.VM) bool {
		return vm.Name == g.cfg.Name
	}), len(vms)
}

// isReplaced reports whether the list of servers has a later process at the address of a server.
func (g *Gateway) isReplaced(k discoverer.Key) bool {
	for _, endpoints := range g.board.Servers.Read().ByService {
		for _, e := range endpoints {
			if e.Address == k.Address && !e.Lapsed && e.Key().StartMillis > k.StartMillis {
				return true
			}
		}
	}
	return false
}

// buildCrashExchange builds the parts that exchange what the isolator knows with other VMs and with the platform.
func (g *Gateway) buildCrashExchange() {
	g.crashExchanger = isolator.NewExchanger(isolator.ExchangerOptions{
		VM:       g.cfg.Name,
		Zone:     g.cfg.Zone,
		Isolator: g.isolator,
		Board:    g.board,
		IsReader: g.isReader,
		Reader:   g.readerVM,
		Readers: func(zone string) []blackboard.VM {
			return syncer.ReaderOrder(g.board.VMs.Read(), zone)
		},
		Client: g.peerPool,
		Timer:  g.timer,
		Log:    g.logger.Part("isolator"),
	})
	g.crashKeeper = isolator.NewKeeper(isolator.KeeperOptions{
		Zone:     g.cfg.Zone,
		Isolator: g.isolator,
		Archive:  g.platform.CrashArchive,
		IsReader: g.isReader,
		PlatformAnswers: func() bool {
			_, answers, _ := g.syncer.Source()
			return answers
		},
		IsCutOff: g.crashExchanger.IsCutOff,
		Timer:    g.timer,
		Log:      g.logger.Part("isolator"),
	})
}

// registerCrashMetrics adds the metrics of requests that ran at crashes of backend servers.
func (g *Gateway) registerCrashMetrics() {
	counter := func(name, help string, value func() uint64) {
		g.exporter.Counter(name, help, func() float64 {
			return float64(value())
		})
	}
	counter("crashes_with_requests_total", "Crashes of backend servers, one for each request of this VM that ran there.", g.isolator.Crashes)
	counter("crash_checks_alive_total", "Backend servers that listened after a connection with a running request broke.", g.crashChecker.Alive)
	counter("crash_checks_unknown_total", "Backend servers that could not be reached after a connection with a running request broke.", g.crashChecker.Unknown)
	counter("restrictions_lifted_total", "Restrictions of requests that an answer of a backend server has ended.", g.isolator.Lifted)
	counter("restrictions_forgotten_total", "Restrictions of requests that were dropped for lack of room.", g.isolator.Forgotten)
}
