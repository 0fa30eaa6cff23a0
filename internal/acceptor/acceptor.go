// Package acceptor is the HTTP frontend of the gateway: it reads the requests of callers, passes them to the dispatcher and
// writes the responses.
package acceptor

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/dispatcher"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/router"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// readTimeout bounds the reading of a request when the configuration states no bound.
	readTimeout = 10 * time.Second
	// writeTimeout bounds the writing of an answer to a caller that reads slowly.
	writeTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept. Callers reuse connections within the bound of the configuration, which
	// may change while connections are open.
	idleTimeout = 2 * time.Minute
	// maxHeader bounds the headers of a request in bytes. Operators' bounds of up to this size hold.
	maxHeader = 32 << 10
	// maxBody bounds the body of a request in bytes when the configuration states no bound.
	maxBody = 1 << 20
	// defaultWait is the deadline of a request that states none, on a route without a timeout.
	defaultWait = 30 * time.Second
	// startRetry is when callers return to a VM that knows no configuration yet.
	startRetry = 500 * time.Millisecond
)

// Codec is the manner of speaking of the callers.
type Codec interface {
	// ReadRequest returns the ID of a request and how long its caller waits, 0 when the caller does not say.
	ReadRequest(h *fasthttp.RequestHeader) (id string, wait time.Duration, err error)
	WriteMerged(resp *fasthttp.Response, m dispatcher.MergedAnswer)
	WriteError(resp *fasthttp.Response, status int, text string, retryAfter time.Duration)
	// SetRequestID sets the ID of the request on its answer.
	SetRequestID(resp *fasthttp.Response, id string)
}

// Runner runs requests.
type Runner interface {
	Run(ctx context.Context, r dispatcher.Request) dispatcher.Outcome
}

// Options are the collaborators of an Acceptor.
type Options struct {
	Board  *blackboard.Gateway
	Runner Runner
	Codec  Codec
	Timer  *timer.Service
	Log    zerolog.Logger
	// Draining reports whether the VM is about to stop.
	Draining func() bool
	Metrics  *Metrics
}

// Acceptor serves callers.
type Acceptor struct {
	o       Options
	server  *fasthttp.Server
	leaving *leaving
	running atomic.Int64
}

// New returns an Acceptor that does not listen yet.
func New(o Options) *Acceptor {
	a := &Acceptor{
		o:       o,
		leaving: newLeaving(o.Timer),
	}
	a.server = &fasthttp.Server{
		Handler:                      a.serve,
		ErrorHandler:                 a.unreadable,
		HeaderReceived:               a.bounds,
		MaxRequestBodySize:           maxBody,
		ReadBufferSize:               maxHeader,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		CloseOnShutdown:              true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		Logger:                       logger.DiscardHTTP{},
	}
	return a
}

// Serve accepts callers until the listener is closed.
func (a *Acceptor) Serve(l net.Listener) error {
	return a.server.Serve(l)
}

// Run looks for callers that have left until ctx ends.
func (a *Acceptor) Run(ctx context.Context) {
	a.leaving.Run(ctx)
}

// Shutdown waits until all running requests are answered and closes the connections.
func (a *Acceptor) Shutdown(ctx context.Context) error {
	return a.server.ShutdownWithContext(ctx)
}

// Running returns the number of requests that are being answered.
func (a *Acceptor) Running() int {
	return int(a.running.Load())
}

// bounds returns the bounds of the configuration for the body of a request.
func (a *Acceptor) bounds(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	limits := a.o.Board.Routes.Read().Limits
	cfg := fasthttp.RequestConfig{
		ReadTimeout:        readTimeout,
		MaxRequestBodySize: maxBody,
	}
	if limits.MaxBodyBytes > 0 {
		cfg.MaxRequestBodySize = limits.MaxBodyBytes
	}
	return cfg
}

func (a *Acceptor) unreadable(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	}
	a.o.Log.Info().Int("Status", status).Err(err).Msg("A request cannot be read.")
	a.o.Codec.WriteError(&ctx.Response, status, "The request cannot be read.", 0)
	ctx.SetConnectionClose()
}

func (a *Acceptor) serve(ctx *fasthttp.RequestCtx) {
	a.running.Add(1)
	defer a.running.Add(-1)
	defer a.recovered(ctx)
	arrived := a.o.Timer.Now()
	id, wait, err := a.o.Codec.ReadRequest(&ctx.Request.Header)
	if err != nil {
		a.o.Log.Info().Str("Request", id).Err(err).Msg("A request is not valid.")
		a.o.Codec.WriteError(&ctx.Response, fasthttp.StatusBadRequest, err.Error(), 0)
		return
	}
	a.answer(ctx, id, wait, arrived)
	a.o.Codec.SetRequestID(&ctx.Response, id)
	if a.o.Draining() {
		ctx.SetConnectionClose()
	}
}

// recovered answers after a fault of the gateway. A backend server may have run the request by then.
func (a *Acceptor) recovered(ctx *fasthttp.RequestCtx) {
	if fault := recover(); fault != nil {
		a.o.Log.Error().Str("Fault", fmt.Sprint(fault)).Msg("A request handler panicked.")
		ctx.Response.Reset()
		a.o.Codec.WriteError(&ctx.Response, fasthttp.StatusBadGateway, classifier.Internal.Description(), 0)
	}
}

func (a *Acceptor) answer(ctx *fasthttp.RequestCtx, id string, wait time.Duration, arrived time.Time) {
	table := a.o.Board.Routes.Read()
	if !table.Loaded {
		a.o.Log.Info().Str("Request", id).Str("Decision", "refused").Stringer("Code", classifier.NotReady).Msg("No configuration is known yet.")
		a.refuse(ctx, dispatcher.Failure{
			Code:       classifier.NotReady,
			RetryAfter: startRetry,
		})
		return
	}
	h := &ctx.Request.Header
	route := table.Match(string(h.Host()), string(h.RequestURI()))
	if route == nil {
		a.o.Log.Info().Str("Request", id).Str("Decision", "refused").Stringer("Code", classifier.UnknownRoute).Uint64("Version", table.Version).Msg("No route matches the request.")
		a.refuse(ctx, dispatcher.Failure{
			Code: classifier.UnknownRoute,
		})
		return
	}
	if wait <= 0 {
		wait = defaultWait
	}
	r := request(ctx, table, route)
	r.ID = id
	r.Arrived = arrived
	r.NetworkDelay = a.distance(ctx)
	r.Deadline = arrived.Add(wait)
	caller, left := context.WithCancel(context.Background())
	defer left()
	defer a.leaving.watch(ctx.Conn(), left)()
	out := a.o.Runner.Run(caller, r)
	a.o.Metrics.observe(route, out, a.o.Timer.Now().Sub(arrived))
	a.write(ctx, out)
}

// defaultRoundTrip is assumed for callers whose connection does not tell: the platform's pages state 3 ms one way.
const defaultRoundTrip = 6 * time.Millisecond

// distance returns the time that a request spends on the way: there and back, and before it the opening of its connection if it is
// the first one on it.
func (a *Acceptor) distance(ctx *fasthttp.RequestCtx) time.Duration {
	d := defaultRoundTrip
	if sc, ok := ctx.Conn().(syscall.Conn); ok {
		if rtt, err := connector.SmoothedRTT(sc); err == nil {
			d = rtt
		} else {
			a.o.Log.Debug().Err(err).Msg("The distance of a caller is not known.")
		}
	}
	if ctx.ConnRequestNum() == 1 {
		d *= 2
	}
	return d
}

// connectionHeaders concern one connection only and are not passed on. (RFC 9110, section 7.6.1)
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// request copies what attempts send, because they may outlast the handler.
func request(ctx *fasthttp.RequestCtx, table *router.Table, route *router.Route) dispatcher.Request {
	h := &fasthttp.RequestHeader{}
	ctx.Request.Header.CopyTo(h)
	for _, name := range connectionHeaders {
		h.Del(name)
	}
	h.ResetConnectionClose()
	h.SetNoDefaultContentType(true)
	return dispatcher.Request{
		Table:  table,
		Route:  route,
		Header: h,
		Body:   append([]byte(nil), ctx.Request.Body()...),
	}
}

func (a *Acceptor) write(ctx *fasthttp.RequestCtx, out dispatcher.Outcome) {
	switch o := out.(type) {
	case dispatcher.SingleAnswer:
		o.Response.CopyTo(&ctx.Response)
		fasthttp.ReleaseResponse(o.Response)
		for _, name := range connectionHeaders {
			ctx.Response.Header.Del(name)
		}
		ctx.Response.Header.ResetConnectionClose()
	case dispatcher.MergedAnswer:
		a.o.Codec.WriteMerged(&ctx.Response, o)
	case dispatcher.Failure:
		a.refuse(ctx, o)
	}
}

func (a *Acceptor) refuse(ctx *fasthttp.RequestCtx, r dispatcher.Failure) {
	status := r.Code.HTTPStatus()
	if r.Code == classifier.Cancelled {
		// The caller has left; nobody reads the answer.
		ctx.SetConnectionClose()
		status = fasthttp.StatusBadGateway
	}
	a.o.Codec.WriteError(&ctx.Response, status, r.Code.Description(), r.RetryAfter)
}
