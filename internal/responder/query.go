package responder

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/claimer"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/searcher"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

// ForwardReserve is the part of the remaining time that is reserved for the return of the response when a request is forwarded. A
// round trip to another region takes at most 40 ms. At most half of the remaining time is reserved.
const ForwardReserve = 45 * time.Millisecond

// query is a parsed request of a caller. Its strings and body do not refer to buffers of the HTTP server, which are reused.
type query struct {
	id          string
	operation   bool
	application string
	route       string
	operationID string
	key         string
	limit       int
	body        []byte
	remaining   time.Duration
}

// parseQuery validates a request and returns its parts. The error has a result code, and its message names the invalid part. The
// ID of the query is set even if there is an error.
func (r *Responder) parseQuery(ctx *fasthttp.RequestCtx, operation bool) (query, error) {
	q := query{
		id:        uuid.Must(uuid.NewV7()).String(),
		operation: operation,
		limit:     DefaultLimit,
	}
	cfg := r.opts.Board.Config.Read()
	if err := r.checkReady(cfg); err != nil {
		return q, err
	}
	app, err := findApplication(cfg, pathParam(ctx, "Application"))
	if err != nil {
		return q, err
	}
	q.application = app.Name
	if q.route, err = findRoute(app, pathParam(ctx, "Route"), operation); err != nil {
		return q, err
	}
	if q.remaining, err = parseDeadline(ctx, app); err != nil {
		return q, err
	}
	if operation {
		err = q.parseOperationHeaders(ctx)
	} else {
		q.limit, err = parseLimit(ctx)
	}
	if err != nil {
		return q, err
	}
	if len(ctx.PostBody()) > MaxBodyBytes {
		return q, bodyTooLarge()
	}
	q.body = slices.Clone(ctx.PostBody())
	return q, nil
}

func (r *Responder) checkReady(cfg *blackboard.Config) error {
	switch r.phase() {
	case blackboard.PhaseReady, blackboard.PhaseZoneOut, blackboard.PhaseDraining:
	default:
		return classifier.Errorf(classifier.NotReady, "this VM is starting or has stopped; send the request to another VM")
	}
	if cfg.Generation == 0 {
		return classifier.Errorf(classifier.NotReady, "this VM has not received a configuration yet; send the request to another VM")
	}
	return nil
}

func pathParam(ctx *fasthttp.RequestCtx, name string) string {
	s, _ := ctx.UserValue(name).(string)
	return s
}

// header returns a copy of a header's value, or "" if the header is missing. Values longer than MaxHeaderValueBytes are rejected.
func header(ctx *fasthttp.RequestCtx, name string) (string, error) {
	v := ctx.Request.Header.Peek(name)
	if len(v) > MaxHeaderValueBytes {
		return "", classifier.Errorf(classifier.BadRequest, "the header %s exceeds %d bytes", name, MaxHeaderValueBytes)
	}
	return string(v), nil
}

func findApplication(cfg *blackboard.Config, name string) (parser.Application, error) {
	app, ok := cfg.Applications[name]
	if !ok {
		return app, classifier.Errorf(classifier.UnknownApplication, "the configuration contains no application %q", clipName(name))
	}
	return app, nil
}

// findRoute returns the name of a route as it is stored in the configuration. The error has the code UnknownRoute when the
// application has no route with this name or the route has another kind.
func findRoute(app parser.Application, name string, operation bool) (string, error) {
	want := parser.RouteSearch
	if operation {
		want = parser.RouteOperation
	}
	for _, route := range app.Routes {
		if route.Name != name {
			continue
		}
		if route.Kind != want {
			return "", classifier.Errorf(classifier.UnknownRoute, "the route %q of application %q has the kind %s, not %s", route.Name, app.Name, route.Kind, want)
		}
		return route.Name, nil
	}
	return "", classifier.Errorf(classifier.UnknownRoute, "the application %q has no route %q", app.Name, clipName(name))
}

// clipName returns a copy of the first MaxHeaderValueBytes bytes of a name from a path, for use in a message.
func clipName(name string) string {
	return strings.Clone(name[:min(len(name), MaxHeaderValueBytes)])
}

func parseDeadline(ctx *fasthttp.RequestCtx, app parser.Application) (time.Duration, error) {
	text, err := header(ctx, HeaderDeadline)
	if err != nil {
		return 0, err
	}
	if text == "" {
		return app.DeadlineDefault, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < MinDeadline || d > app.DeadlineMax {
		return 0, classifier.Errorf(classifier.BadDeadline, "the header %s is %q; accepted: a duration from %s to %s", HeaderDeadline, text, MinDeadline, app.DeadlineMax)
	}
	return d, nil
}

func parseLimit(ctx *fasthttp.RequestCtx) (int, error) {
	text, err := header(ctx, HeaderLimit)
	if err != nil || text == "" {
		return DefaultLimit, err
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > MaxLimit {
		return 0, classifier.Errorf(classifier.BadRequest, "the header %s is %q; accepted: an integer from 1 to %d", HeaderLimit, text, MaxLimit)
	}
	return n, nil
}

func (q *query) parseOperationHeaders(ctx *fasthttp.RequestCtx) error {
	var err error
	if q.operationID, err = header(ctx, HeaderOperationID); err != nil {
		return err
	}
	if q.operationID == "" {
		return classifier.Errorf(classifier.BadOperationID, "the header %s is missing; accepted: a UUIDv7", HeaderOperationID)
	}
	if q.key, err = header(ctx, HeaderKey); err != nil {
		return err
	}
	if q.key == "" {
		return classifier.Errorf(classifier.BadRequest, "the header %s is missing", HeaderKey)
	}
	return nil
}

// reply is the HTTP status and the encoded body of a response.
type reply struct {
	status int
	body   []byte
}

// execute runs a request on this VM. While the availability zone of this VM is out of service, it forwards the request to another
// zone instead, or rejects it with ZoneOut if canForward is false because another VM has already forwarded it.
func (r *Responder) execute(q query, canForward bool) reply {
	if r.phase() == blackboard.PhaseZoneOut {
		if !canForward {
			return q.errorReply(classifier.Errorf(classifier.ZoneOut, "the availability zone of this VM is out of service"))
		}
		return r.forward(q)
	}
	ctx := context.Background()
	fingerprint := searcher.Fingerprint(q.application, q.route, q.body)
	if q.operation {
		return operationReply(r.opts.Claimer.Run(ctx, claimer.Request{
			ID:          q.id,
			OperationID: q.operationID,
			Application: q.application,
			Route:       q.route,
			Key:         q.key,
			Fingerprint: fingerprint,
			Body:        q.body,
			Remaining:   q.remaining,
		}))
	}
	return searchReply(r.opts.Searcher.Search(ctx, searcher.Request{
		ID:          q.id,
		Application: q.application,
		Route:       q.route,
		Fingerprint: fingerprint,
		Limit:       q.limit,
		Body:        q.body,
		Remaining:   q.remaining,
	}))
}

func (q *query) errorReply(err error) reply {
	if q.operation {
		return operationErrorReply(q.id, err)
	}
	return searchErrorReply(q.id, err)
}

// forward sends the request to a VM in another availability zone. It makes a single attempt.
func (r *Responder) forward(q query) reply {
	rng := rand.New(rand.NewPCG(r.opts.Seed, r.forwardSequence.Add(1)))
	member := r.opts.IndexCache.Index(r.opts.Timer.Now()).PickVMInOtherZone(rng)
	if member == nil {
		return q.errorReply(classifier.Errorf(classifier.ZoneOut, "the availability zone of this VM is out of service and no VM in another zone is known"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), q.remaining)
	defer cancel()
	resp := &messenger.QueryReply{}
	err := r.opts.Client.Call(ctx, member.Address, messenger.MethodQuery, &messenger.QueryRequest{
		Stamp:       r.opts.Recorder.NextStamp(),
		RequestID:   q.id,
		Application: q.application,
		Route:       q.route,
		Limit:       q.limit,
		Body:        q.body,
		OperationID: q.operationID,
		Key:         q.key,
		Remaining:   q.remaining - min(ForwardReserve, q.remaining/2),
	}, resp)
	if err == nil {
		r.opts.Recorder.Observe(resp.Stamp)
		err = checkForwarded(resp, q.id)
	}
	if err == nil {
		return reply{
			status: resp.HTTPStatus,
			body:   resp.Body,
		}
	}
	code := classifier.CodeOf(err)
	switch {
	case code.NotRun():
		code = classifier.ZoneOut
	case q.operation:
		code = classifier.OutcomeUnknown
	}
	return q.errorReply(classifier.Errorf(code, "the availability zone of this VM is out of service and forwarding the request to %s failed with %s", member.Name, classifier.CodeOf(err)))
}

// checkForwarded returns an error with the code BadAnswer unless the reply of another VM is a response to the request with the ID.
func checkForwarded(resp *messenger.QueryReply, id string) error {
	var h struct {
		RequestID string
	}
	if resp.HTTPStatus < fasthttp.StatusOK || resp.HTTPStatus > maxStatus {
		return classifier.Errorf(classifier.BadAnswer, "the forwarded request was answered with the status %d", resp.HTTPStatus)
	}
	if err := json.Unmarshal(resp.Body, &h); err != nil {
		return classifier.Errorf(classifier.BadAnswer, "the response to the forwarded request cannot be decoded: %w", err)
	}
	if h.RequestID != id {
		return classifier.Errorf(classifier.BadAnswer, "the response to the forwarded request belongs to the request %q", h.RequestID)
	}
	return nil
}

// maxStatus is the greatest valid HTTP status.
const maxStatus = 599

// RPCService is the net/rpc receiver of the methods that other entry VMs call to forward requests to this VM.
type RPCService struct {
	r *Responder
}

// RPCService returns the net/rpc receiver, which is to be registered under the name "Entry".
func (r *Responder) RPCService() *RPCService {
	return &RPCService{
		r: r,
	}
}

// Query runs a request that another entry VM has forwarded. The request is not forwarded again. Failures are part of the encoded
// response, so the returned error is always nil.
func (s *RPCService) Query(req *messenger.QueryRequest, resp *messenger.QueryReply) (err error) {
	defer messenger.RecoverCall(&err)
	s.r.activeRequests.Add(1)
	defer s.r.activeRequests.Add(-1)
	s.r.opts.Recorder.Observe(req.Stamp)
	out := s.handleQuery(req)
	*resp = messenger.QueryReply{
		Stamp:      s.r.opts.Recorder.NextStamp(),
		HTTPStatus: out.status,
		Body:       out.body,
	}
	return nil
}

func (s *RPCService) handleQuery(req *messenger.QueryRequest) reply {
	q := query{
		id:          req.RequestID,
		operation:   req.OperationID != "",
		application: req.Application,
		route:       req.Route,
		operationID: req.OperationID,
		key:         req.Key,
		limit:       min(max(req.Limit, 1), MaxLimit),
		body:        req.Body,
		remaining:   req.Remaining,
	}
	cfg := s.r.opts.Board.Config.Read()
	err := s.r.checkReady(cfg)
	if err == nil {
		var app parser.Application
		if app, err = findApplication(cfg, q.application); err == nil {
			_, err = findRoute(app, q.route, q.operation)
		}
	}
	if err == nil && q.remaining <= 0 {
		err = classifier.Errorf(classifier.ExpiredInQueue, "the deadline passed while the request was forwarded from another VM")
	}
	if err != nil {
		return q.errorReply(err)
	}
	return s.r.execute(q, false)
}
