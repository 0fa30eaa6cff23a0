// Package administrator serves the HTTP API for operators. The API validates, publishes and returns configuration objects, and
// reports the status of the entry VMs and backend servers, the state of version moves and the events of the timeline.
package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/fasthttp/router"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/publisher"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// MaxBodyBytes is the maximum size of a request body. A set with 5,300 backend servers has a size of 1 MB.
	MaxBodyBytes = 4 << 20
	// maxDiscardBytes limits how much of a body larger than MaxBodyBytes is read and discarded. Closing a connection with unread
	// bytes resets it, and the client may then lose the error response.
	maxDiscardBytes = 64 << 20
	// maxConnections limits the number of open connections of operators.
	maxConnections = 256
	// maxConcurrentSets limits how many sets are decoded concurrently, because decoding a set needs many times its size in memory.
	maxConcurrentSets = 2
	// readTimeout and idleTimeout limit how long slow and idle clients keep a connection open.
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
	// callTimeout is the timeout of one call to another VM or to the platform.
	callTimeout = 2 * time.Second
)

// Options contains the dependencies of an Administrator. All fields are mandatory.
type Options struct {
	// VMName is the name of this VM in the section Members of the blackboard.
	VMName    string
	Board     *blackboard.Board
	Store     storeclient.Store
	Client    messenger.Client
	Publisher *publisher.Publisher
	Timer     *timer.Service
	Recorder  *recorder.Recorder
	Logger    logger.Logger
}

// Administrator is the HTTP server of the API for operators.
type Administrator struct {
	opts   Options
	log    zerolog.Logger
	server *fasthttp.Server
	// setSlots is a semaphore with a capacity of maxConcurrentSets. A request holds a slot while its set is decoded and validated.
	setSlots chan struct{}
}

// New returns an Administrator. It answers requests once Serve is called.
func New(opts Options) *Administrator {
	a := &Administrator{
		opts:     opts,
		log:      opts.Logger.Part("administrator"),
		setSlots: make(chan struct{}, maxConcurrentSets),
	}
	a.server = &fasthttp.Server{
		Name:               "anvildyke",
		Handler:            a.Handler(),
		ErrorHandler:       handleReadError,
		MaxRequestBodySize: MaxBodyBytes,
		StreamRequestBody:  true,
		Concurrency:        maxConnections,
		ReadTimeout:        readTimeout,
		IdleTimeout:        idleTimeout,
		CloseOnShutdown:    true,
		Logger: redactingLogger{
			log: a.log,
		},
	}
	return a
}

// redactingLogger is the logger of the HTTP server. It drops the text of the messages, which may quote parts of requests, because
// request data must not be logged.
type redactingLogger struct {
	log zerolog.Logger
}

// Printf logs that a connection failed, without the text of the message.
func (l redactingLogger) Printf(string, ...any) {
	l.log.Debug().Msg("A connection of an operator failed.")
}

// Serve accepts connections on l and answers their requests until Shutdown is called. It closes the listener.
func (a *Administrator) Serve(l net.Listener) error {
	return a.server.Serve(l)
}

// Shutdown closes the listener and waits until all running requests are answered or ctx is done.
func (a *Administrator) Shutdown(ctx context.Context) error {
	return a.server.ShutdownWithContext(ctx)
}

// Handler returns the request handler that routes requests to the endpoints of the API.
func (a *Administrator) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.RedirectFixedPath = false
	r.RedirectTrailingSlash = false
	r.POST("/v1/apply", a.jsonHandler(a.handleApply, "Base"))
	r.POST("/v1/validate", a.jsonHandler(a.handleValidate))
	r.GET("/v1/objects/{kind}", a.jsonHandler(a.handleObjects))
	r.GET("/v1/objects/{kind}/{name}", a.jsonHandler(a.handleObjects))
	r.GET("/v1/status", a.jsonHandler(a.handleStatus))
	r.GET("/v1/timeline", a.jsonHandler(a.handleTimeline, "Part", "Object", "Since", "Until", "Limit"))
	r.GET("/v1/moves/{name}", a.jsonHandler(a.handleMove))
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		writeError(ctx, classifier.Errorf(classifier.NotFound, "the path does not exist"))
	}
	r.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) {
		writeError(ctx, classifier.Errorf(classifier.BadRequest, "the method is not allowed for this path"))
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
	r.PanicHandler = func(ctx *fasthttp.RequestCtx, _ any) {
		a.log.Error().Bytes("Path", ctx.Path()).Msg("A request handler panicked.")
		writeError(ctx, classifier.Errorf(classifier.Internal, "internal error in anvildyke"))
	}
	return r.Handler
}

// jsonHandler returns a handler that calls handle and writes its result or its error as JSON. Requests with query arguments other
// than allowedArgs are rejected with BadRequest.
func (a *Administrator) jsonHandler(handle func(*fasthttp.RequestCtx) (any, error), allowedArgs ...string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		for key := range ctx.QueryArgs().All() {
			if !slices.Contains(allowedArgs, string(key)) {
				writeError(ctx, classifier.Errorf(classifier.BadRequest, "the query argument %.64q is unknown", key))
				return
			}
		}
		resp, err := handle(ctx)
		if err != nil {
			writeError(ctx, err)
			return
		}
		writeJSON(ctx, resp)
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, resp any) {
	body, err := json.Marshal(resp)
	if err != nil {
		writeError(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

// invalidSetError reports that a set was rejected because of its faults.
type invalidSetError struct {
	faults []Fault
}

func (e *invalidSetError) Error() string {
	return fmt.Sprintf("the set has faults (%d); nothing was published", len(e.faults))
}

// newErrorResponse returns the body of the response for an error. If err wraps a *classifier.Error, the body contains only the
// message of that error.
func newErrorResponse(err error) ErrorResponse {
	resp := ErrorResponse{
		Code:    classifier.CodeOf(err),
		Message: err.Error(),
	}
	var invalid *invalidSetError
	var coded *classifier.Error
	switch {
	case errors.As(err, &invalid):
		resp.Code = classifier.InvalidSet
		resp.Faults = invalid.faults
	case errors.As(err, &coded):
		resp.Message = coded.Message
	}
	resp.Name = resp.Code.String()
	return resp
}

func writeError(ctx *fasthttp.RequestCtx, err error) {
	resp := newErrorResponse(err)
	writeJSON(ctx, resp)
	ctx.SetStatusCode(resp.Code.HTTPStatus())
}

// handleReadError answers requests that cannot be parsed as HTTP.
func handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var smallBuffer *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &smallBuffer):
		writeError(ctx, classifier.Errorf(classifier.BadRequest, "the request headers are too large"))
	default:
		writeError(ctx, classifier.Errorf(classifier.BadRequest, "the request is not valid HTTP"))
	}
}

// readBody returns the body of a request, or nil if it has none. The error has the code BodyTooLarge or BadRequest.
func readBody(ctx *fasthttp.RequestCtx) ([]byte, error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, MaxBodyBytes+1))
	if err != nil {
		return nil, classifier.Errorf(classifier.BadRequest, "the body cannot be read: %w", err)
	}
	if len(body) > MaxBodyBytes {
		_, _ = io.CopyN(io.Discard, stream, maxDiscardBytes)
		return nil, classifier.Errorf(classifier.BodyTooLarge, "the body exceeds %d bytes", MaxBodyBytes)
	}
	return body, nil
}

// pathParam returns a copy of a path parameter. The router's string shares a buffer that is reused after the request.
func pathParam(ctx *fasthttp.RequestCtx, name string) string {
	text, _ := ctx.UserValue(name).(string)
	return strings.Clone(text)
}

func (a *Administrator) handleObjects(ctx *fasthttp.RequestCtx) (any, error) {
	kind, name := pathParam(ctx, "kind"), pathParam(ctx, "name")
	if !slices.Contains(parser.Kinds(), kind) {
		return nil, classifier.Errorf(classifier.NotFound, "the kind %.64q is unknown; known: %s", kind, strings.Join(parser.Kinds(), ", "))
	}
	c := a.opts.Board.Config.Read()
	var matches parser.Set
	for _, o := range c.Set {
		if o.ObjectKind() == kind && (name == "" || o.ObjectName() == name) {
			matches = append(matches, o)
		}
	}
	if name != "" && len(matches) == 0 {
		return nil, classifier.Errorf(classifier.NotFound, "there is no %s %.64q", kind, name)
	}
	return ObjectsResponse{
		Generation: c.Generation,
		Objects:    parser.EncodeJSON(matches),
	}, nil
}
