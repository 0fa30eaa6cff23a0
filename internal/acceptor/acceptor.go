// Package acceptor implements the HTTP frontend of the gateway. It reads the requests of callers, passes them to the dispatcher
// and writes the responses.
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

	"github.com/anvildyke/anvildyke/internal/admitter"
	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/dispatcher"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/router"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// readTimeout limits the time for reading a request.
	readTimeout = 10 * time.Second
	// writeTimeout limits the time for writing a response to a caller that reads slowly.
	writeTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection stays open. Callers reuse connections within the limit of the configuration,
	// which may change while connections are open.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the maximum size of the headers of a request. The limit in the platform's configuration is not read;
	// requests within it are accepted if it is at most this size.
	maxHeaderBytes = 32 << 10
	// maxBodyBytes is the maximum size of a request body when the configuration sets no limit.
	maxBodyBytes = 1 << 20
	// defaultRequestTimeout applies to requests without a deadline on routes without a timeout.
	defaultRequestTimeout = 30 * time.Second
	// notReadyRetryAfter is the retry delay that callers are given while the VM has not loaded a configuration.
	notReadyRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the retry delay that callers are given while the VM stops. Another VM can serve them at once.
	stoppingRetryAfter = 100 * time.Millisecond
	// A VM that stops accepts a late request only if expectedDurationFactor times the target latency of its route remains, or
	// defaultExpectedDuration on a route without a target latency.
	expectedDurationFactor  = 2
	defaultExpectedDuration = time.Second
)

// Codec decodes requests and encodes responses in the protocol of the callers.
type Codec interface {
	// ReadRequest returns the ID and the timeout of a request; the timeout is 0 if the request has none.
	ReadRequest(h *fasthttp.RequestHeader) (id string, timeout time.Duration, err error)
	WriteMerged(resp *fasthttp.Response, m dispatcher.MergedAnswer)
	WriteError(resp *fasthttp.Response, status int, text string, retryAfter time.Duration)
	// SetRequestID adds the request ID to the response.
	SetRequestID(resp *fasthttp.Response, id string)
}

// Runner executes requests.
type Runner interface {
	Run(ctx context.Context, r dispatcher.Request) dispatcher.Outcome
}

// Options are the dependencies of an Acceptor.
type Options struct {
	Board  *blackboard.Gateway
	Runner Runner
	Codec  Codec
	Timer  *timer.Service
	Log    zerolog.Logger
	// Draining reports whether the VM is shutting down.
	Draining func() bool
	Metrics  *Metrics
}

// Acceptor serves the requests of callers over HTTP.
type Acceptor struct {
	o           Options
	server      *fasthttp.Server
	disconnects *disconnectWatcher
	running     atomic.Int64
	// stop is nil while the VM does not stop.
	stop atomic.Pointer[stopTimes]
}

// stopTimes are the times of the stop of a VM.
type stopTimes struct {
	// refuseFrom is the time from which requests that are not expected to be answered in time are refused.
	refuseFrom time.Time
	// end is the time at which running requests are ended.
	end time.Time
}

// New returns an Acceptor. It handles connections once Serve is called.
func New(o Options) *Acceptor {
	a := &Acceptor{
		o:           o,
		disconnects: newDisconnectWatcher(o.Timer),
	}
	a.server = &fasthttp.Server{
		Handler:                      a.serve,
		ErrorHandler:                 a.handleReadError,
		HeaderReceived:               a.requestConfig,
		ConnState:                    trackIdle,
		MaxRequestBodySize:           maxBodyBytes,
		ReadBufferSize:               maxHeaderBytes,
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

// trackIdle tells the listener which connections are idle, so that it can close these if there are too many.
func trackIdle(conn net.Conn, state fasthttp.ConnState) {
	c, ok := conn.(*admitter.Conn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.SetIdle(false)
	case fasthttp.StateIdle:
		c.SetIdle(true)
	case fasthttp.StateNew, fasthttp.StateHijacked, fasthttp.StateClosed:
	}
}

// Serve accepts connections from callers until l is closed.
func (a *Acceptor) Serve(l net.Listener) error {
	return a.server.Serve(l)
}

// Run cancels the requests of callers that have closed their connection. It returns when ctx is done.
func (a *Acceptor) Run(ctx context.Context) {
	a.disconnects.run(ctx)
}

// Shutdown closes the idle connections, waits until all running requests are answered and closes their connections. It returns the
// error of ctx if ctx is done before that.
func (a *Acceptor) Shutdown(ctx context.Context) error {
	return a.server.ShutdownWithContext(ctx)
}

// Running returns the number of requests in progress.
func (a *Acceptor) Running() int {
	return int(a.running.Load())
}

// SetStopTimes announces that the VM stops and ends its requests at the time end. Requests that arrive after refuseFrom and are not
// expected to be answered by then are refused. Until refuseFrom the load balancer may not know of the stop, and many requests take
// less time than their routes allow.
func (a *Acceptor) SetStopTimes(refuseFrom, end time.Time) {
	a.stop.Store(&stopTimes{
		refuseFrom: refuseFrom,
		end:        end,
	})
}

// EndRequests answers the running requests with what is known of them and returns their number. SetStopTimes has to be called
// before, so that no further requests start.
func (a *Acceptor) EndRequests() int {
	return a.disconnects.cancelAll(dispatcher.ErrStopping)
}

// tooLate reports whether the VM stops before a request that arrives now can be expected to be answered.
func (a *Acceptor) tooLate(route *router.Route, now time.Time) bool {
	stop := a.stop.Load()
	if stop == nil || now.Before(stop.refuseFrom) {
		return false
	}
	expected := expectedDurationFactor * route.TargetLatency
	if expected <= 0 {
		expected = defaultExpectedDuration
	}
	return stop.end.Sub(now) < expected
}

// requestConfig returns the limits that the current configuration sets for a request.
func (a *Acceptor) requestConfig(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	limits := a.o.Board.Routes.Read().Limits
	cfg := fasthttp.RequestConfig{
		ReadTimeout:        readTimeout,
		MaxRequestBodySize: maxBodyBytes,
	}
	if limits.MaxBodyBytes > 0 {
		cfg.MaxRequestBodySize = limits.MaxBodyBytes
	}
	return cfg
}

func (a *Acceptor) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var bufferTooSmall *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &bufferTooSmall):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	}
	a.o.Log.Info().Int("Status", status).Err(err).Msg("A request could not be read.")
	a.o.Codec.WriteError(&ctx.Response, status, "The request cannot be read.", 0)
	ctx.SetConnectionClose()
}

func (a *Acceptor) serve(ctx *fasthttp.RequestCtx) {
	a.running.Add(1)
	defer a.running.Add(-1)
	defer a.recoverPanic(ctx)
	arrived := a.o.Timer.Now()
	id, timeout, err := a.o.Codec.ReadRequest(&ctx.Request.Header)
	if err != nil {
		a.o.Log.Info().Str("Request", id).Err(err).Msg("Rejected a request with invalid headers.")
		a.o.Codec.WriteError(&ctx.Response, fasthttp.StatusBadRequest, err.Error(), 0)
		return
	}
	a.handle(ctx, id, timeout, arrived)
	a.o.Codec.SetRequestID(&ctx.Response, id)
	if a.o.Draining() {
		ctx.SetConnectionClose()
	}
}

// recoverPanic responds with 502 when a handler has panicked, because a backend server may already have run the request.
func (a *Acceptor) recoverPanic(ctx *fasthttp.RequestCtx) {
	if v := recover(); v != nil {
		a.o.Log.Error().Str("Fault", fmt.Sprint(v)).Msg("A request handler panicked.")
		ctx.Response.Reset()
		a.o.Codec.WriteError(&ctx.Response, fasthttp.StatusBadGateway, classifier.Internal.Description(), 0)
	}
}

func (a *Acceptor) handle(ctx *fasthttp.RequestCtx, id string, timeout time.Duration, arrived time.Time) {
	table := a.o.Board.Routes.Read()
	if !table.Loaded {
		a.o.Log.Info().Str("Request", id).Str("Decision", "refused").Stringer("Code", classifier.NotReady).Msg("No configuration has been loaded yet.")
		a.writeFailure(ctx, dispatcher.Failure{
			Code:       classifier.NotReady,
			RetryAfter: notReadyRetryAfter,
		})
		return
	}
	h := &ctx.Request.Header
	route := table.Match(string(h.Host()), string(h.RequestURI()))
	if route == nil {
		a.o.Log.Info().Str("Request", id).Str("Decision", "refused").Stringer("Code", classifier.UnknownRoute).Uint64("Version", table.Version).Msg("No route matches the request.")
		a.writeFailure(ctx, dispatcher.Failure{
			Code: classifier.UnknownRoute,
		})
		return
	}
	if a.tooLate(route, arrived) {
		a.o.Log.Info().Str("Request", id).Str("Decision", "refused").Stringer("Code", classifier.NotReady).Msg("The VM stops before the request could be answered.")
		a.writeFailure(ctx, dispatcher.Failure{
			Code:       classifier.NotReady,
			RetryAfter: stoppingRetryAfter,
		})
		return
	}
	if timeout <= 0 {
		timeout = defaultRequestTimeout
	}
	r := newRequest(ctx, table, route)
	r.ID = id
	r.Arrived = arrived
	r.NetworkDelay = a.networkDelay(ctx)
	r.Deadline = arrived.Add(timeout)
	callerCtx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	defer a.disconnects.watch(ctx.Conn(), cancel)()
	out := a.o.Runner.Run(callerCtx, r)
	a.o.Metrics.observe(route, out, a.o.Timer.Now().Sub(arrived))
	a.writeOutcome(ctx, out)
}

// defaultRTT is assumed for callers whose connection does not report a round-trip time. The platform's documentation states 3 ms
// one way.
const defaultRTT = 6 * time.Millisecond

// networkDelay returns the time that a request spends on the network: one round trip, and a second one for opening the connection
// if it is the first request on it.
func (a *Acceptor) networkDelay(ctx *fasthttp.RequestCtx) time.Duration {
	delay := defaultRTT
	if sc, ok := ctx.Conn().(syscall.Conn); ok {
		if rtt, err := connector.SmoothedRTT(sc); err == nil {
			delay = rtt
		} else {
			a.o.Log.Debug().Err(err).Msg("The round-trip time of a caller's connection could not be read.")
		}
	}
	if ctx.ConnRequestNum() == 1 {
		delay *= 2
	}
	return delay
}

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// newRequest copies the header and the body, because attempts may outlive the handler and fasthttp reuses its buffers.
func newRequest(ctx *fasthttp.RequestCtx, table *router.Table, route *router.Route) dispatcher.Request {
	h := &fasthttp.RequestHeader{}
	ctx.Request.Header.CopyTo(h)
	for _, name := range hopByHopHeaders {
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

func (a *Acceptor) writeOutcome(ctx *fasthttp.RequestCtx, out dispatcher.Outcome) {
	switch o := out.(type) {
	case dispatcher.SingleAnswer:
		o.Response.CopyTo(&ctx.Response)
		fasthttp.ReleaseResponse(o.Response)
		for _, name := range hopByHopHeaders {
			ctx.Response.Header.Del(name)
		}
		ctx.Response.Header.ResetConnectionClose()
	case dispatcher.MergedAnswer:
		a.o.Codec.WriteMerged(&ctx.Response, o)
	case dispatcher.Failure:
		a.writeFailure(ctx, o)
	}
}

func (a *Acceptor) writeFailure(ctx *fasthttp.RequestCtx, f dispatcher.Failure) {
	status := f.Code.HTTPStatus()
	if f.Code == classifier.Cancelled {
		// The caller has closed the connection, so nobody reads the response.
		ctx.SetConnectionClose()
		status = fasthttp.StatusBadGateway
	}
	a.o.Codec.WriteError(&ctx.Response, status, f.Code.Description(), f.RetryAfter)
}
