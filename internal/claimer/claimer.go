// Package claimer runs non-idempotent operations at most once. A conditional create of a claim at the platform decides which
// attempt may send an operation; an outcome that cannot be determined is reported as unknown.
package claimer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/planner"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/searcher"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// ClaimRetention is how long claims are kept. An older operation ID may have run.
const ClaimRetention = 24 * time.Hour

// MaxClockSkew is how far an operation ID may lie in the future. It allows for clocks that differ.
const MaxClockSkew = 5 * time.Minute

// ObjectKind is the kind of the claims at the platform.
const ObjectKind = "Claim"

// MaxRecordedBodyBytes is the largest answer that a claim keeps. A resend after a larger one gets the result code without the body.
const MaxRecordedBodyBytes = 256 << 10

// Bounds of one operation.
const (
	maxSends      = 4 // owners asked; each but the last answered with a definite "not run"
	recordTimeout = 3 * time.Second
	recordTries   = 3
	recordPause   = 50 * time.Millisecond // doubled after each try
	// maxRecording bounds the outcomes that are recorded after the caller has been answered.
	maxRecording = 1024
)

// Options are the parts that a Claimer works with. All fields but Seed are mandatory.
type Options struct {
	Board     *blackboard.Board
	PlanCache *planner.IndexCache
	Owners    searcher.OwnerClients
	Store     storeclient.Store
	Timer     *timer.Service
	Recorder  *recorder.Recorder
	// MaxConcurrentOperations bounds the operations that run at the same time.
	MaxConcurrentOperations int
	Seed                    uint64
}

// Request is one operation of a caller. The route has been checked against the configuration.
type Request struct {
	ID          string
	OperationID string
	Application string
	Route       string
	// Key chooses the shard. It is not empty.
	Key         string
	Fingerprint uint64
	Body        []byte
	Remaining   time.Duration
}

// Outcome is the result of an operation. No backend server ran it when Code.NotRun() holds.
type Outcome struct {
	RequestID string
	Code      classifier.Code
	Message   string
	Body      []byte
}

// Claimer runs operations. Its methods are safe for concurrent use.
type Claimer struct {
	opts      Options
	running   atomic.Int64
	recording atomic.Int64
	sequence  atomic.Uint64
}

// New returns a Claimer.
func New(opts Options) *Claimer {
	return &Claimer{
		opts: opts,
	}
}

// Running returns the number of operations that run or whose outcome is still being recorded.
func (c *Claimer) Running() int {
	return int(c.running.Load() + c.recording.Load())
}

// Run runs one operation at most once.
func (c *Claimer) Run(ctx context.Context, req Request) Outcome {
	running := c.running.Add(1)
	defer c.running.Add(-1)
	o := c.run(ctx, req, running)
	o.RequestID = req.ID
	if o.Message == "" {
		o.Message = o.Code.Description()
	}
	if o.Code != classifier.OK {
		c.opts.Recorder.Record("claimer", "Operation", req.ID, o.Code.String())
	}
	return o
}

func (c *Claimer) run(ctx context.Context, req Request, running int64) Outcome {
	if running > int64(c.opts.MaxConcurrentOperations) {
		return refuse(classifier.Overloaded)
	}
	if c.opts.Board.Quarantine.Read().Refuses(req.Fingerprint) {
		return refuse(classifier.Quarantined)
	}
	now := c.opts.Timer.Now()
	id, err := checkID(req.OperationID, now)
	if err != nil {
		return Outcome{
			Code:    classifier.CodeOf(err),
			Message: message(err),
		}
	}
	p := c.plan(req, now)
	if p.next() == nil {
		return refuse(classifier.NoReplica)
	}
	ctx, cancel := context.WithTimeout(ctx, req.Remaining)
	defer cancel()
	cl, earlier := c.claim(ctx, id, fingerprint(req))
	if earlier != nil {
		return *earlier
	}
	until := now.Add(req.Remaining)
	o := c.send(ctx, req, id, p, until)
	c.record(ctx, cl, o)
	return o
}

func refuse(code classifier.Code) Outcome {
	return Outcome{
		Code: code,
	}
}

// checkID returns the canonical form of an operation ID.
func checkID(text string, now time.Time) (string, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return "", classifier.Errorf(classifier.BadOperationID, "the operation ID is not a UUIDv7")
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	age := now.Sub(time.UnixMilli(ms))
	switch {
	case age > ClaimRetention:
		return "", classifier.Errorf(classifier.OutcomeUnknown, "the operation ID is older than %s, so its claim may have been deleted", ClaimRetention)
	case age < -MaxClockSkew:
		return "", classifier.Errorf(classifier.BadOperationID, "the operation ID lies more than %s in the future", MaxClockSkew)
	}
	return id.String(), nil
}

// plan chooses the shard and the replicas in the order in which they are asked.
type plan struct {
	index *planner.Index
	view  *planner.ShardMap
	shard int
	rng   *rand.Rand
	tried []*planner.Candidate
}

func (c *Claimer) plan(req Request, now time.Time) *plan {
	x := c.opts.PlanCache.Index(now)
	rng := rand.New(rand.NewPCG(c.opts.Seed, c.sequence.Add(1)))
	p := &plan{
		index: x,
		rng:   rng,
		view:  x.OperationShardMap(req.Application, x.ChooseVersion(req.Application, rng)),
	}
	if p.view != nil {
		p.shard = p.view.ShardOfKey(req.Key)
	}
	return p
}

// next returns the replica to ask, or nil when all have been tried.
func (p *plan) next() *planner.Candidate {
	if p.view == nil {
		return nil
	}
	return p.view.Pick(p.shard, p.tried, p.rng)
}

// message returns the sentence of a *classifier.Error.
func message(err error) string {
	if e, ok := err.(*classifier.Error); ok { //nolint:errorlint // checkID returns the type unwrapped
		return e.Message
	}
	return err.Error()
}

// fingerprint identifies what the operation ID was used for.
func fingerprint(req Request) string {
	return fmt.Sprintf("%016x-%016x", req.Fingerprint, xxhash.Sum64String(req.Key))
}
