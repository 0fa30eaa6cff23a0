// Package exporter serves the metrics for Prometheus, the health probes for the platform's load balancer and status reports in
// JSON.
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

// Exporter serves the metrics of one process. No metric has a label whose values come from callers.
type Exporter struct {
	registry *prometheus.Registry
	phase    func() blackboard.Phase
	server   *fasthttp.Server
	// jsonSources maps paths to the functions whose results are served there as JSON.
	jsonSources map[string]func() any
}

// NewForGateway returns an Exporter with the metrics of the Go runtime and the process. The VM reports ready while phase returns
// PhaseReady.
func NewForGateway(phase func() blackboard.Phase) *Exporter {
	e := &Exporter{
		registry:    prometheus.NewRegistry(),
		phase:       phase,
		jsonSources: map[string]func() any{},
	}
	e.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	e.Gauge("ready", "1 when the load balancer may send requests, else 0.", func() float64 {
		if e.ready() {
			return 1
		}
		return 0
	})
	e.server = &fasthttp.Server{
		Handler: e.handler(),
		Name:    namespace,
	}
	return e
}

// Registry returns the registry whose metrics the Exporter serves.
func (e *Exporter) Registry() prometheus.Registerer {
	return e.registry
}

// New returns an Exporter with the metrics of the Go runtime, the process and the blackboard.
func New(board *blackboard.Board) *Exporter {
	e := NewForGateway(func() blackboard.Phase {
		return board.Lifecycle.Read().Phase
	})
	e.Gauge("config_generation", "Installed configuration generation.", func() float64 {
		return float64(board.Config.Read().Generation)
	})
	e.Gauge("members", "Entry VMs that are not known to be gone.", func() float64 {
		return float64(countMembers(board.Members.Read()))
	})
	e.Gauge("held_replicas", "Backend servers that this VM holds.", func() float64 {
		return float64(countHeld(board.Leases.Read()))
	})
	return e
}

func countMembers(members *blackboard.Members) int {
	n := 0
	for _, zone := range members.ByZone {
		n += len(zone)
	}
	return n
}

func countHeld(leases *blackboard.Leases) int {
	n := 0
	for _, lease := range leases.ByReplica {
		if lease.Share != blackboard.ShareNone {
			n++
		}
	}
	return n
}

// Gauge adds a gauge whose value is read at each scrape.
func (e *Exporter) Gauge(name, help string, read func() float64) {
	e.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, read))
}

// HandleJSON serves the result of read as JSON at path. It must be called before Serve.
func (e *Exporter) HandleJSON(path string, read func() any) {
	e.jsonSources[path] = read
}

// Counter adds a counter whose value is read at each scrape. The value must never decrease.
func (e *Exporter) Counter(name, help string, read func() float64) {
	e.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, read))
}

func (e *Exporter) ready() bool {
	return e.phase() == blackboard.PhaseReady
}

func (e *Exporter) handler() fasthttp.RequestHandler {
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{}))
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/metrics":
			metrics(ctx)
		case "/live":
			ctx.SetBodyString("live\n")
		case "/ready":
			e.serveReadiness(ctx)
		default:
			e.serveJSON(ctx)
		}
	}
}

func (e *Exporter) serveJSON(ctx *fasthttp.RequestCtx) {
	read, ok := e.jsonSources[string(ctx.Path())]
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

func (e *Exporter) serveReadiness(ctx *fasthttp.RequestCtx) {
	phase := e.phase()
	if !e.ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	ctx.SetBodyString(string(phase) + "\n")
}

// Serve handles requests on ln until Shutdown is called.
func (e *Exporter) Serve(ln net.Listener) error {
	if err := e.server.Serve(ln); err != nil {
		return fmt.Errorf("serving metrics: %w", err)
	}
	return nil
}

// Shutdown stops the server when all running requests have completed or ctx is done.
func (e *Exporter) Shutdown(ctx context.Context) error {
	return e.server.ShutdownWithContext(ctx)
}
