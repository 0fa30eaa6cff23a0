// Package dispatcher sends the requests of the gateway's callers to backend servers: it chooses servers, retries, hedges and
// merges within bounds, and ends every request with exactly one outcome.
package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/anvildyke/anvildyke/internal/balancer"
	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/budgeter"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/router"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// Reply is a backend server's answer.
type Reply struct {
	Status int
	// NotRun says that the server states it has not run the request and never will.
	NotRun bool
	// Misdirected says that another server has the address. The request has not run.
	Misdirected bool
	// Signature is the server's signature of its answer, empty if there is none.
	Signature string
	// Load is nil when the server reports none.
	Load *balancer.Load
	// IdleTimeout is how long the server keeps the connection open without requests, 0 when it does not say.
	IdleTimeout time.Duration
}

// Succeeded reports whether the answer is a success that can be used.
func (r *Reply) Succeeded() bool {
	return r.Status >= 200 && r.Status < 300 && r.Signature != ""
}

// Codec is the manner of speaking of the backend servers.
type Codec interface {
	// PrepareRequest sets what the server has to know: its own ID and the remaining time.
	PrepareRequest(req *fasthttp.Request, s *discoverer.Server, remaining time.Duration)
	// MatchesRequest reports whether an answer belongs to the request with the ID.
	MatchesRequest(resp *fasthttp.Response, id string) bool
	// DecodeReply decodes an answer.
	DecodeReply(resp *fasthttp.Response) Reply
}

// Request is one request of a caller.
type Request struct {
	// ID is unique for each request of a caller.
	ID    string
	Table *router.Table
	Route *router.Route
	// Header and Body are sent on unchanged. They must stay unchanged until all attempts have ended.
	Header *fasthttp.RequestHeader
	Body   []byte
	// Arrived is when the request was read.
	Arrived time.Time
	// Deadline is when the caller stops waiting, counted from Arrived.
	Deadline time.Time
	// NetworkDelay is the part of the caller's time that its request and the answer spend on the way.
	NetworkDelay time.Duration
}

// Outcome is how a request ends. It is sealed: Whole, Merged or Refused.
type Outcome interface{ isOutcome() }

// SingleAnswer is the answer of one backend server, to be passed on unchanged. The receiver releases Response.
type SingleAnswer struct {
	Response *fasthttp.Response
}

// MergedAnswer is the merged answer of several shards.
type MergedAnswer struct {
	// Signatures are those of the parts that are in Body, in no order.
	Signatures []string
	// MissingShards is the number of shards that are left out.
	MissingShards int
	Body          []byte
}

// Failure is the end of a request without an answer. Its code says whether a backend server may have run the request.
type Failure struct {
	Code classifier.Code
	// RetryAfter is when a new attempt is expected to be served, 0 when nothing is known.
	RetryAfter time.Duration
}

func (SingleAnswer) isOutcome() {}
func (MergedAnswer) isOutcome() {}
func (Failure) isOutcome()      {}

// Sender sends requests to backend servers.
type Sender interface {
	// Send sends the request to a server and returns its answer, which the caller releases. With once set the request goes out on
	// a connection on which its outcome is unlikely to be left open. Errors are those of connector.Conn.
	Send(ctx context.Context, r *Request, m discoverer.Endpoint, once bool) (*fasthttp.Response, Reply, error)
}

// Observer is told how requests at the versions of a service end.
type Observer interface {
	Observe(service, version, route string, code classifier.Code, latency time.Duration)
}

// Options are the collaborators of a Dispatcher.
type Options struct {
	Board    *blackboard.Gateway
	Balancer *balancer.Balancer
	Budgeter *budgeter.Budgeter
	Sender   Sender
	Observer Observer
	Timer    *timer.Service
	Log      zerolog.Logger
	Metrics  *Metrics
}

// Dispatcher runs requests. Its methods are safe for concurrent use.
type Dispatcher struct {
	o       Options
	workers workerPool
}

// New returns a Dispatcher.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		o: o,
	}
}

// answerMargin is kept of the time for an answer besides the caller's distance: the merge, the write and late timers of a busy VM.
const answerMargin = 12 * time.Millisecond

// Run sends the request and returns its outcome. The end of ctx says that the caller has left.
func (d *Dispatcher) Run(ctx context.Context, r Request) Outcome {
	now := d.o.Timer.Now()
	deadline := r.Deadline.Add(-r.NetworkDelay - answerMargin)
	if r.Route.Timeout > 0 {
		deadline = earlier(deadline, r.Arrived.Add(r.Route.Timeout))
	}
	if !now.Before(deadline) {
		return Failure{
			Code: classifier.ExpiredInQueue,
		}
	}
	j := &job{
		d:        d,
		request:  r,
		view:     d.o.Board.Servers.Read(),
		zones:    d.o.Board.EvacuatedZones.Read(),
		moving:   d.o.Board.TrafficShifts.Read(),
		deadline: deadline,
	}
	j.plan()
	// Attempts may outlast the caller's answer, so they end with a context of their own.
	attempts, cancel := context.WithDeadline(context.Background(), deadline)
	j.ctx = attempts
	j.cancel = cancel
	return j.run(ctx)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// pick returns a service of a split by weight.
func pick(shares []router.WeightedService) string {
	total := 0.0
	for _, s := range shares {
		total += s.Weight
	}
	x := rand.Float64() * total
	for _, s := range shares {
		if x -= s.Weight; x < 0 {
			return s.Service
		}
	}
	return shares[len(shares)-1].Service
}
