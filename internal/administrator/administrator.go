// Package administrator serves the operators' HTTP API: it validates, publishes and shows configuration objects, and reports
// status, moves and events.
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
	// MaxBodyBytes is the greatest size of a request body in bytes: a set of 5,300 backend servers takes 1 MB.
	MaxBodyBytes = 4 << 20
	// maxDiscardBytes bounds how much of a larger body is read and dropped. A connection that is closed with unread bytes is reset,
	// and the client may lose the refusal.
	maxDiscardBytes = 64 << 20
	// maxConnections bounds the operators' connections.
	maxConnections = 256
	// maxConcurrentSets bounds the sets that are read at the same time, because a set takes many times its size while it is read.
	maxConcurrentSets = 2
	// readTimeout and idleTimeout bound slow and silent clients.
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
	// callTimeout bounds one call to a peer or the platform.
	callTimeout = 2 * time.Second
)

// Options are what an Administrator needs. All fields are mandatory.
type Options struct {
	// Self is the name of this VM.
	Self      string
	Board     *blackboard.Board
	Store     storeclient.Store
	Client    messenger.Client
	Publisher *publisher.Publisher
	Timer     *timer.Service
	Recorder  *recorder.Recorder
	Logger    logger.Logger
}

// Administrator is the HTTP server for operators.
type Administrator struct {
	opts   Options
	log    zerolog.Logger
	server *fasthttp.Server
	// setSlots has a slot for each set that may be read at the same time.
	setSlots chan struct{}
}

// New returns an administrator that does not listen yet.
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

// redactingLogger takes the messages of the HTTP server. Their text may hold a part of a request, which must not reach a log.
type redactingLogger struct {
	log zerolog.Logger
}

// Printf logs that there was a message.
func (l redactingLogger) Printf(string, ...any) {
	l.log.Debug().Msg("A connection of an operator failed.")
}

// Serve answers requests until Shutdown. It closes the listener.
func (a *Administrator) Serve(l net.Listener) error {
	return a.server.Serve(l)
}

// Shutdown stops listening and waits until running requests are answered or the context ends.
func (a *Administrator) Shutdown(ctx context.Context) error {
	return a.server.ShutdownWithContext(ctx)
}

// Handler returns the routes of the API.
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
		writeError(ctx, classifier.Errorf(classifier.NotFound, "there is no such path"))
	}
	r.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) {
		writeError(ctx, classifier.Errorf(classifier.BadRequest, "the path does not take this method"))
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
	r.PanicHandler = func(ctx *fasthttp.RequestCtx, _ any) {
		a.log.Error().Bytes("Path", ctx.Path()).Msg("A request panicked.")
		writeError(ctx, classifier.Errorf(classifier.Internal, "a fault inside anvildyke"))
	}
	return r.Handler
}

// jsonHandler wraps a handler that returns a message. Query arguments other than the named ones are refused.
func (a *Administrator) jsonHandler(handle func(*fasthttp.RequestCtx) (any, error), allowedArgs ...string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		for key := range ctx.QueryArgs().All() {
			if !slices.Contains(allowedArgs, string(key)) {
				writeError(ctx, classifier.Errorf(classifier.BadRequest, "the argument %.64q is unknown", key))
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

// invalidSetError is a refused set with its faults.
type invalidSetError struct {
	faults []Fault
}

func (e *invalidSetError) Error() string {
	return fmt.Sprintf("the set has faults (%d); nothing was published", len(e.faults))
}

// newErrorResponse returns the body of the answer for an error.
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

// handleReadError answers requests that cannot be read as HTTP.
func handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var smallBuffer *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &smallBuffer):
		writeError(ctx, classifier.Errorf(classifier.BadRequest, "the header is too large"))
	default:
		writeError(ctx, classifier.Errorf(classifier.BadRequest, "the request is not valid HTTP"))
	}
}

// readBody returns the body of a request. The error carries BodyTooLarge.
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

// pathParam returns a copy of a part of the path, because the router's strings change when the request is over.
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
