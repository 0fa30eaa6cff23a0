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

	// maxHeaderBytes bounds the request line and all headers together.
	maxHeaderBytes = 16 << 10
	// maxReadBodyBytes is above MaxBody, so that a caller with a body a little too large reads the refusal instead of a reset.
	maxReadBodyBytes = 2 * MaxBodyBytes
)

// Bounds of a caller's connection.
const (
	readTimeout    = 30 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 60 * time.Second
	maxConnections = 16384
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
	opts            Options
	server          *fasthttp.Server
	activeRequests  atomic.Int64
	forwardSequence atomic.Uint64
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
	routes.NotFound = r.handleNotFound
	routes.PanicHandler = r.handlePanic
	routes.POST("/v1/search/{Application}/{Route}", r.handleSearch)
	routes.POST("/v1/operations/{Application}/{Route}", r.handleOperation)
	r.server = &fasthttp.Server{
		Handler:                      r.trackActive(routes.Handler),
		ErrorHandler:                 r.handleReadError,
		MaxRequestBodySize:           maxReadBodyBytes,
		ReadBufferSize:               maxHeaderBytes,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		Concurrency:                  maxConnections,
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
	return int(r.activeRequests.Load())
}

func (r *Responder) trackActive(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		r.activeRequests.Add(1)
		defer r.activeRequests.Add(-1)
		next(ctx)
		if phase := r.phase(); phase == blackboard.PhaseDraining || phase == blackboard.PhaseStopped {
			ctx.SetConnectionClose()
		}
	}
}

func (r *Responder) phase() blackboard.Phase {
	return r.opts.Board.Lifecycle.Read().Phase
}

func (r *Responder) handleSearch(ctx *fasthttp.RequestCtx) {
	q, err := r.parseQuery(ctx, false)
	if err != nil {
		writeReply(ctx, searchErrorReply(q.id, err))
		return
	}
	writeReply(ctx, r.execute(q, true))
}

func (r *Responder) handleOperation(ctx *fasthttp.RequestCtx) {
	q, err := r.parseQuery(ctx, true)
	if err != nil {
		writeReply(ctx, operationErrorReply(q.id, err))
		return
	}
	writeReply(ctx, r.execute(q, true))
}

func (r *Responder) handleNotFound(ctx *fasthttp.RequestCtx) {
	writeReply(ctx, searchErrorReply("", classifier.Errorf(classifier.NotFound, "the method and path name no resource; callers use POST /v1/search/APPLICATION/ROUTE and POST /v1/operations/APPLICATION/ROUTE")))
}

// handlePanic answers after a fault. An operation may have run by then.
func (r *Responder) handlePanic(ctx *fasthttp.RequestCtx, cause any) {
	r.opts.Logger.Error().Str("Fault", fmt.Sprint(cause)).Msg("A request handler panicked.")
	ctx.Response.Reset()
	writeReply(ctx, operationErrorReply("", classifier.Errorf(classifier.Internal, "a fault inside anvildyke; it is not known whether the request ran")))
}

// handleReadError answers requests that the HTTP server could not read.
func (r *Responder) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var smallBuffer *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		err = bodyTooLarge()
	case errors.As(err, &smallBuffer):
		err = classifier.Errorf(classifier.BadRequest, "the headers exceed %d bytes", maxHeaderBytes)
	default:
		err = classifier.Errorf(classifier.BadRequest, "the HTTP request cannot be read")
	}
	writeReply(ctx, searchErrorReply("", err))
}

func bodyTooLarge() error {
	return classifier.Errorf(classifier.BodyTooLarge, "the body exceeds %d bytes", MaxBodyBytes)
}
