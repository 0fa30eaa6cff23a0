// Package responder serves the HTTP API for callers of searches and operations. It checks requests, passes them to the
// searcher or claimer of this VM or to another VM, and writes the responses.
package responder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/claimer"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/planner"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/searcher"
	"github.com/anvildyke/anvildyke/internal/timer"
	"github.com/fasthttp/router"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
)

// Bounds of a caller's request.
const (
	MaxBodyBytes        = 1 << 20
	MaxHeaderValueBytes = 256
	MaxLimit            = 1000
	DefaultLimit        = 10
	MinDeadline         = time.Millisecond

	// maxHeaders bounds the request line and all headers together.
	maxHeaders = 16 << 10
	// readBody is above MaxBody, so that a caller with a body a little too large reads the refusal instead of a reset.
	readBody = 2 * MaxBodyBytes
)

// Bounds of a caller's connection.
const (
	readTimeout  = 30 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = 60 * time.Second
	maxConns     = 16384
)

// Names of the headers that callers set.
const (
	HeaderDeadline    = "Anvildyke-Deadline"
	HeaderLimit       = "Anvildyke-Limit"
	HeaderOperationID = "Anvildyke-Operation-ID"
	HeaderKey         = "Anvildyke-Key"
)

// Searcher runs searches.
type Searcher interface {
	Search(ctx context.Context, req searcher.Request) searcher.Response
}

// Claimer runs operations.
type Claimer interface {
	Run(ctx context.Context, req claimer.Request) claimer.Outcome
}

// Options are the parts that a Responder works with. All fields but Seed are mandatory.
type Options struct {
	Board     *blackboard.Board
	PlanCache *planner.IndexCache
	Searcher  Searcher
	Claimer   Claimer
	// Client reaches other entry VMs while the zone of this VM is taken out of service.
	Client   messenger.Client
	Timer    *timer.Service
	Recorder *recorder.Recorder
	Logger   zerolog.Logger
	Seed     uint64
}

// Responder serves callers.
type Responder struct {
	opts     Options
	server   *fasthttp.Server
	running  atomic.Int64
	sequence atomic.Uint64
}

// New returns a Responder that does not listen yet.
func New(opts Options) *Responder {
	r := &Responder{
		opts: opts,
	}
	routes := router.New()
	routes.RedirectTrailingSlash = false
	routes.RedirectFixedPath = false
	routes.HandleMethodNotAllowed = false
	routes.HandleOPTIONS = false
	routes.NotFound = r.notFound
	routes.PanicHandler = r.panicked
	routes.POST("/v1/search/{Application}/{Route}", r.search)
	routes.POST("/v1/operations/{Application}/{Route}", r.operation)
	r.server = &fasthttp.Server{
		Handler:                      r.counted(routes.Handler),
		ErrorHandler:                 r.unreadable,
		MaxRequestBodySize:           readBody,
		ReadBufferSize:               maxHeaders,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		Concurrency:                  maxConns,
		CloseOnShutdown:              true,
		NoDefaultServerHeader:        true,
		DisablePreParseMultipartForm: true,
		Logger:                       logger.DiscardHTTP{},
	}
	return r
}

// Serve accepts callers until Shutdown is called, and then returns nil.
func (r *Responder) Serve(l net.Listener) error {
	return r.server.Serve(l)
}

// Shutdown closes the listener, waits until all running requests are answered and closes the connections. It returns the
// error of ctx when that ends first.
func (r *Responder) Shutdown(ctx context.Context) error {
	return r.server.ShutdownWithContext(ctx)
}

// ActiveRequests returns the number of requests that are being answered.
func (r *Responder) ActiveRequests() int {
	return int(r.running.Load())
}

func (r *Responder) counted(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		r.running.Add(1)
		defer r.running.Add(-1)
		next(ctx)
		if phase := r.phase(); phase == blackboard.PhaseDraining || phase == blackboard.PhaseStopped {
			ctx.SetConnectionClose()
		}
	}
}

func (r *Responder) phase() blackboard.Phase {
	return r.opts.Board.Lifecycle.Read().Phase
}

func (r *Responder) search(ctx *fasthttp.RequestCtx) {
	q, err := r.parse(ctx, false)
	if err != nil {
		write(ctx, refusal(q.id, err))
		return
	}
	write(ctx, r.answer(q, true))
}

func (r *Responder) operation(ctx *fasthttp.RequestCtx) {
	q, err := r.parse(ctx, true)
	if err != nil {
		write(ctx, refusalOfOperation(q.id, err))
		return
	}
	write(ctx, r.answer(q, true))
}

func (r *Responder) notFound(ctx *fasthttp.RequestCtx) {
	write(ctx, refusal("", classifier.Errorf(classifier.NotFound, "the method and path name no resource; callers use POST /v1/search/APPLICATION/ROUTE and POST /v1/operations/APPLICATION/ROUTE")))
}

// panicked answers after a fault. An operation may have run by then.
func (r *Responder) panicked(ctx *fasthttp.RequestCtx, fault any) {
	r.opts.Logger.Error().Str("Fault", fmt.Sprint(fault)).Msg("A request handler panicked.")
	ctx.Response.Reset()
	write(ctx, refusalOfOperation("", classifier.Errorf(classifier.Internal, "a fault inside anvildyke; it is not known whether the request ran")))
}

// unreadable answers requests that the HTTP server could not read.
func (r *Responder) unreadable(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		err = bodyTooLarge()
	case errors.As(err, &small):
		err = classifier.Errorf(classifier.BadRequest, "the headers exceed %d bytes", maxHeaders)
	default:
		err = classifier.Errorf(classifier.BadRequest, "the HTTP request cannot be read")
	}
	write(ctx, refusal("", err))
}

func bodyTooLarge() error {
	return classifier.Errorf(classifier.BodyTooLarge, "the body exceeds %d bytes", MaxBodyBytes)
}
