// Package exporter serves the metrics for Prometheus and the health probes for the platform's load balancer.
package exporter

import (
	"context"
	"encoding/json"
	"fmt"
	"net"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/anvildyke/anvildyke/internal/blackboard"
)

const namespace = "anvildyke"

// Exporter holds the metrics of one daemon. No metric has a label whose values come from callers.
type Exporter struct {
	registry *prometheus.Registry
	phase    func() blackboard.Phase
	server   *fasthttp.Server
	// reports are served as JSON by their paths.
	reports map[string]func() any
}

// NewForGateway returns a meter with the metrics of the Go runtime. The VM is ready while phase returns PhaseReady.
func NewForGateway(phase func() blackboard.Phase) *Exporter {
	m := &Exporter{
		registry: prometheus.NewRegistry(),
		phase:    phase,
		reports:  map[string]func() any{},
	}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.Gauge("ready", "1 when the load balancer may send requests, else 0.", func() float64 {
		if m.ready() {
			return 1
		}
		return 0
	})
	m.server = &fasthttp.Server{
		Handler: m.handler(),
		Name:    namespace,
	}
	return m
}

// Registry returns the registry of the metrics.
func (m *Exporter) Registry() prometheus.Registerer {
	return m.registry
}

// New returns a meter with the metrics of the Go runtime and of the blackboard.
func New(board *blackboard.Board) *Exporter {
	m := NewForGateway(func() blackboard.Phase {
		return board.Lifecycle.Read().Phase
	})
	m.Gauge("config_generation", "Installed configuration generation.", func() float64 {
		return float64(board.Config.Read().Generation)
	})
	m.Gauge("members", "Entry VMs that are not known to be gone.", func() float64 {
		return float64(countMembers(board.Members.Read()))
	})
	m.Gauge("held_replicas", "Backend servers that this VM holds.", func() float64 {
		return float64(countHeld(board.Leases.Read()))
	})
	return m
}

func countMembers(members *blackboard.Members) int {
	n := 0
	for _, zone := range members.ByZone {
		n += len(zone)
	}
	return n
}

func countHeld(holdings *blackboard.Leases) int {
	n := 0
	for _, h := range holdings.ByReplica {
		if h.Share != blackboard.ShareNone {
			n++
		}
	}
	return n
}

// Gauge adds a metric that is read when it is scraped.
func (m *Exporter) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, read))
}

// HandleJSON serves what read returns as JSON. It must be called before Serve.
func (m *Exporter) HandleJSON(path string, read func() any) {
	m.reports[path] = read
}

// Counter adds a counter that is read when it is scraped. The value never falls.
func (m *Exporter) Counter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, read))
}

func (m *Exporter) ready() bool {
	return m.phase() == blackboard.PhaseReady
}

func (m *Exporter) handler() fasthttp.RequestHandler {
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/metrics":
			metrics(ctx)
		case "/live":
			ctx.SetBodyString("live\n")
		case "/ready":
			m.probe(ctx)
		default:
			m.report(ctx)
		}
	}
}

func (m *Exporter) report(ctx *fasthttp.RequestCtx) {
	read, ok := m.reports[string(ctx.Path())]
	if !ok {
		ctx.Error("The path is not /metrics, /live, /ready or that of a report.", fasthttp.StatusNotFound)
		return
	}
	body, err := json.Marshal(read())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (m *Exporter) probe(ctx *fasthttp.RequestCtx) {
	phase := m.phase()
	if !m.ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	ctx.SetBodyString(string(phase) + "\n")
}

// Serve answers requests until Shutdown.
func (m *Exporter) Serve(ln net.Listener) error {
	if err := m.server.Serve(ln); err != nil {
		return fmt.Errorf("serving metrics: %w", err)
	}
	return nil
}

// Shutdown stops the server when running requests are done or ctx ends.
func (m *Exporter) Shutdown(ctx context.Context) error {
	return m.server.ShutdownWithContext(ctx)
}
