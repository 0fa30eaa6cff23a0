// Package dispatcher sends requests of the gateway's callers to backend servers. It selects servers, retries, hedges and merges
// answers within configured limits, and ends every request with exactly one outcome.
package dispatcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/anvildyke/anvildyke/internal/balancer"
	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/budgeter"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/isolator"
	"github.com/anvildyke/anvildyke/internal/router"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// Reply is the decoded header information of a backend server's answer.
type Reply struct {
	Status int
	// NotRun is true if the server states that it has not run the request and never will.
	NotRun bool
	// Misdirected is true if the address now belongs to a different server. The request has not run.
	Misdirected bool
	// Signature is the server's signature of its answer, or empty if the answer is unsigned.
	Signature string
	// Load is nil if the server does not report its load.
	Load *balancer.Load
	// Leaving is true if the server announces that it is leaving.
	Leaving bool
	// RetryAfter is the time for which the server wants no requests from this VM, or 0 if it has not rejected the request or does
	// not state a time.
	RetryAfter time.Duration
	// IdleTimeout is how long the server keeps an idle connection open, or 0 if the server does not state it.
	IdleTimeout time.Duration
}

// Succeeded reports whether the answer has a 2xx status and a signature.
func (r *Reply) Succeeded() bool {
	return r.Status >= 200 && r.Status < 300 && r.Signature != ""
}

// Codec translates between HTTP messages and the protocol of the backend servers.
type Codec interface {
	// PrepareRequest adds the ID of the target server and the remaining time to the request.
	PrepareRequest(req *fasthttp.Request, s *discoverer.Server, remaining time.Duration)
	// ResponseID returns the ID of the request that the answer belongs to, or "" if the answer does not state it.
	ResponseID(resp *fasthttp.Response) string
	// DecodeReply extracts the protocol fields of an answer.
	DecodeReply(resp *fasthttp.Response) Reply
}

// Request is a request of a caller with its route and its deadline.
type Request struct {
	// ID is unique among the requests of a caller.
	ID    string
	Table *router.Table
	Route *router.Route
	// Header and Body are forwarded unchanged. They must not be modified until all attempts have ended.
	Header *fasthttp.RequestHeader
	Body   []byte
	// Arrived is the time at which the request was read.
	Arrived time.Time
	// Deadline is the time at which the caller stops waiting, computed from Arrived and the caller's timeout.
	Deadline time.Time
	// NetworkDelay is the part of the caller's timeout that the request and its answer spend on the network.
	NetworkDelay time.Duration
}

// Outcome is the result of a request. It is sealed: SingleAnswer, MergedAnswer or Failure.
type Outcome interface{ isOutcome() }

// SingleAnswer is the answer of one backend server, which is returned unchanged. The receiver must release Response.
type SingleAnswer struct {
	Response *fasthttp.Response
}

// MergedAnswer combines the answers of several shards.
type MergedAnswer struct {
	// Signatures are the signatures of the answers that Body includes, in no particular order.
	Signatures []string
	// MissingShards is the number of shards whose answers Body does not include.
	MissingShards int
	Body          []byte
}

// Failure ends a request without an answer. Its code states whether a backend server may have run the request.
type Failure struct {
	Code classifier.Code
	// RetryAfter is the time after which a new attempt is expected to succeed, or 0 if unknown.
	RetryAfter time.Duration
}

func (SingleAnswer) isOutcome() {}
func (MergedAnswer) isOutcome() {}
func (Failure) isOutcome()      {}

// Sender sends requests to backend servers.
type Sender interface {
	// Send sends the request to a server and returns its answer, which the caller must release. If nonIdempotent is set, the
	// request is sent only on a new or recently used connection: the server may close one that has been idle longer while the
	// request is in transit, and then it is unknown whether the request has run. Errors carry the codes of
	// connector.HTTPConn.Exchange or of the dial.
	Send(ctx context.Context, r *Request, e discoverer.Endpoint, nonIdempotent bool) (*fasthttp.Response, Reply, error)
}

// Observer receives the result of every attempt, labeled with the service, its version and the route.
type Observer interface {
	Observe(service, version, route string, code classifier.Code, latency time.Duration)
}

// Options are the dependencies of a Dispatcher.
type Options struct {
	Board    *blackboard.Gateway
	Balancer *balancer.Balancer
	Budgeter *budgeter.Budgeter
	Sender   Sender
	Observer Observer
	// Isolator tracks the requests that crash servers. Checker finds out whether a server has crashed.
	Isolator *isolator.Isolator
	Checker  *isolator.Checker
	Timer    *timer.Service
	Log      zerolog.Logger
	Metrics  *Metrics
}

// Dispatcher executes requests. Its methods are safe for concurrent use.
type Dispatcher struct {
	o       Options
	workers workerPool
}

// New returns a Dispatcher. It starts no goroutine.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		o: o,
	}
}

// answerMargin is reserved before the caller's deadline, in addition to the network delay. It covers the merge, the write of the
// answer and timers that fire late on a busy VM.
const answerMargin = 12 * time.Millisecond

// ErrStopping is the cause with which the context of a request is cancelled when the VM stops.
var ErrStopping = errors.New("the VM stops")

// Run executes the request and returns its outcome. The cancellation of ctx means that the caller has disconnected, unless its
// cause is ErrStopping. The caller then receives what is known at that time.
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
		deadline: deadline,
	}
	j.plan()
	// Attempts may outlive the answer to the caller, so they use a context that does not derive from ctx.
	attemptCtx, cancel := context.WithDeadline(context.Background(), deadline)
	j.ctx = attemptCtx
	j.cancel = cancel
	return j.run(ctx)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// pickWeighted selects a service at random in proportion to the weights.
func pickWeighted(shares []router.WeightedService) string {
	total := 0.0
	for _, s := range shares {
		total += s.Weight
	}
	point := rand.Float64() * total
	for _, s := range shares {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return shares[len(shares)-1].Service
}
