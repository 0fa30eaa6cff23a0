// Package responder serves the HTTP API through which callers send searches and operations. It validates the requests, passes
// them to the searcher or the claimer of this VM or forwards them to another VM, and encodes the responses.
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

// Limits and defaults of a caller's request.
const (
	MaxBodyBytes        = 1 << 20
	MaxHeaderValueBytes = 256
	MaxLimit            = 1000
	DefaultLimit        = 10
	MinDeadline         = time.Millisecond

	// maxHeaderBytes limits the total size of the request line and all headers.
	maxHeaderBytes = 16 << 10
	// maxReadBodyBytes limits the bodies that the HTTP server reads. It exceeds MaxBodyBytes, so that the caller of a slightly too
	// large request receives the error response instead of a connection reset.
	maxReadBodyBytes = 2 * MaxBodyBytes
)

// Limits of the connections from callers.
const (
	readTimeout    = 30 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 60 * time.Second
	maxConnections = 16384
)

// Names of the request headers of the API.
const (
	HeaderDeadline    = "Anvildyke-Deadline"
	HeaderLimit       = "Anvildyke-Limit"
	HeaderOperationID = "Anvildyke-Operation-ID"
	HeaderKey         = "Anvildyke-Key"
)

// Searcher executes searches.
type Searcher interface {
	Search(ctx context.Context, req searcher.Request) searcher.Response
}

// Claimer executes operations, each at most once.
type Claimer interface {
	Run(ctx context.Context, req claimer.Request) claimer.Outcome
}

// Options contains the dependencies of a Responder. All fields except Seed are mandatory.
type Options struct {
	Board      *blackboard.Board
	IndexCache *planner.IndexCache
	Searcher   Searcher
	Claimer    Claimer
	// Client calls other entry VMs to forward requests while the availability zone of this VM is out of service.
	Client   messenger.Client
	Timer    *timer.Service
	Recorder *recorder.Recorder
	Logger   zerolog.Logger
	// Seed initializes the random choice of the VM to which a request is forwarded.
	Seed uint64
}

// Responder is the HTTP server of the API for callers.
type Responder struct {
	opts            Options
	server          *fasthttp.Server
	activeRequests  atomic.Int64
	forwardSequence atomic.Uint64
}

// New returns a Responder. It answers requests once Serve is called.
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

// Serve accepts connections on l and answers their requests until Shutdown is called, and then returns nil.
func (r *Responder) Serve(l net.Listener) error {
	return r.server.Serve(l)
}

// Shutdown closes the listener, waits until all running requests are answered and closes the connections. If ctx is done before
// that, it returns the error of ctx.
func (r *Responder) Shutdown(ctx context.Context) error {
	return r.server.ShutdownWithContext(ctx)
}

// ActiveRequests returns the number of requests in progress, including those that another VM has forwarded to this one.
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
	writeReply(ctx, searchErrorReply("", classifier.Errorf(classifier.NotFound, "the API has no resource with this method and path; use POST /v1/search/APPLICATION/ROUTE or POST /v1/operations/APPLICATION/ROUTE")))
}

// handlePanic answers a request whose handler panicked. The code Internal does not rule out that an operation has run.
func (r *Responder) handlePanic(ctx *fasthttp.RequestCtx, cause any) {
	r.opts.Logger.Error().Str("Fault", fmt.Sprint(cause)).Msg("A request handler panicked.")
	ctx.Response.Reset()
	writeReply(ctx, operationErrorReply("", classifier.Errorf(classifier.Internal, "internal error in anvildyke; it is not known whether the request ran")))
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
		err = classifier.Errorf(classifier.BadRequest, "the request is not valid HTTP")
	}
	writeReply(ctx, searchErrorReply("", err))
}

func bodyTooLarge() error {
	return classifier.Errorf(classifier.BodyTooLarge, "the body exceeds %d bytes", MaxBodyBytes)
}
