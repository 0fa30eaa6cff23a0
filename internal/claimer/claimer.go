// Package claimer runs non-idempotent operations at most once. Before an operation is sent, a claim with its ID is created on
// the platform by a conditional create, which succeeds for one attempt only. An outcome that cannot be determined is reported
// as unknown.
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

// ClaimRetention is the time for which claims are stored. The claim of an older operation ID may have been deleted, so the
// operation may already have run.
const ClaimRetention = 24 * time.Hour

// MaxClockSkew is the maximum time by which the timestamp of an operation ID may be ahead of the local clock. It allows for
// differences between the clocks of callers and VMs.
const MaxClockSkew = 5 * time.Minute

// ObjectKind is the kind of claim objects on the platform.
const ObjectKind = "Claim"

// MaxRecordedBodyBytes is the size of the largest response that is stored in a claim. If the response was larger, a resend
// returns the result code without the body.
const MaxRecordedBodyBytes = 256 << 10

// Limits of one operation.
const (
	maxSends          = 4 // owners that are asked in turn; each but the last answered with a definite "not run"
	recordTimeout     = 3 * time.Second
	maxRecordAttempts = 3
	recordBackoff     = 50 * time.Millisecond // doubled after each attempt
	// maxBackgroundRecords limits the outcomes that are still being recorded after the caller has received its answer.
	maxBackgroundRecords = 1024
)

// Options are the dependencies and limits of a Claimer. All fields except Seed are mandatory.
type Options struct {
	Board      *blackboard.Board
	IndexCache *planner.IndexCache
	Owners     searcher.OwnerClients
	Store      storeclient.Store
	Timer      *timer.Service
	Recorder   *recorder.Recorder
	// MaxConcurrentOperations limits the operations that run at the same time. Further ones are refused as Overloaded.
	MaxConcurrentOperations int
	// Seed initializes the random choice of versions and replicas.
	Seed uint64
}

// Request is one operation of a caller. Its route has already been checked against the configuration.
type Request struct {
	ID          string
	OperationID string
	Application string
	Route       string
	// Key selects the shard. It is not empty.
	Key         string
	Fingerprint uint64
	Body        []byte
	// Remaining is the time left until the deadline.
	Remaining time.Duration
}

// Outcome is the result of an operation. If Code.NotRun() is true, no backend server ran the operation.
type Outcome struct {
	RequestID string
	Code      classifier.Code
	Message   string
	Body      []byte
}

// Claimer runs operations. Its methods are safe for concurrent use.
type Claimer struct {
	opts Options
	// running is the number of calls of Run in progress.
	running atomic.Int64
	// recording is the number of outcomes that are being written to their claims.
	recording atomic.Int64
	// sequence is the number of plans made. It gives each of them another random sequence.
	sequence atomic.Uint64
}

// New returns a Claimer. It starts no goroutine.
func New(opts Options) *Claimer {
	return &Claimer{
		opts: opts,
	}
}

// Running returns the number of operations in progress plus the number of outcomes that are still being recorded.
func (c *Claimer) Running() int {
	return int(c.running.Load() + c.recording.Load())
}

// Run runs an operation at most once among all VMs, and returns its recorded outcome if it has run before. All codes except OK
// are recorded on the timeline.
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
		return outcomeWithCode(classifier.Overloaded)
	}
	if c.opts.Board.Quarantine.Read().Refuses(req.Fingerprint) {
		return outcomeWithCode(classifier.Quarantined)
	}
	now := c.opts.Timer.Now()
	id, err := parseOperationID(req.OperationID, now)
	if err != nil {
		return Outcome{
			Code:    classifier.CodeOf(err),
			Message: errorMessage(err),
		}
	}
	p := c.plan(req, now)
	if p.next() == nil {
		return outcomeWithCode(classifier.NoReplica)
	}
	ctx, cancel := context.WithTimeout(ctx, req.Remaining)
	defer cancel()
	cl, earlier := c.acquireClaim(ctx, id, requestFingerprint(req))
	if earlier != nil {
		return *earlier
	}
	deadline := now.Add(req.Remaining)
	o := c.send(ctx, req, id, p, deadline)
	c.recordOutcome(ctx, cl, o)
	return o
}

func outcomeWithCode(code classifier.Code) Outcome {
	return Outcome{
		Code: code,
	}
}

// parseOperationID returns the canonical form of an operation ID. The error carries BadOperationID when the text is not a UUIDv7
// or its timestamp is more than MaxClockSkew ahead, and OutcomeUnknown when it is older than ClaimRetention.
func parseOperationID(text string, now time.Time) (string, error) {
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
		return "", classifier.Errorf(classifier.BadOperationID, "the operation ID is more than %s in the future", MaxClockSkew)
	}
	return id.String(), nil
}

// plan selects the shard of an operation and, one after another, the replicas to send it to.
type plan struct {
	index *planner.Index
	// shardMap is nil if the index has none for the application and the chosen version.
	shardMap *planner.ShardMap
	shard    int
	rng      *rand.Rand
	// tried are the replicas to which the operation has been sent.
	tried []*planner.Candidate
}

func (c *Claimer) plan(req Request, now time.Time) *plan {
	index := c.opts.IndexCache.Index(now)
	rng := rand.New(rand.NewPCG(c.opts.Seed, c.sequence.Add(1)))
	p := &plan{
		index:    index,
		rng:      rng,
		shardMap: index.OperationShardMap(req.Application, index.ChooseVersion(req.Application, rng)),
	}
	if p.shardMap != nil {
		p.shard = p.shardMap.ShardOfKey(req.Key)
	}
	return p
}

// next returns the replica to ask next, or nil if all have been tried.
func (p *plan) next() *planner.Candidate {
	if p.shardMap == nil {
		return nil
	}
	return p.shardMap.Pick(p.shard, p.tried, p.rng)
}

// errorMessage returns the message of a *classifier.Error, or the text of any other error.
func errorMessage(err error) string {
	if e, ok := err.(*classifier.Error); ok { //nolint:errorlint // parseOperationID returns the type unwrapped
		return e.Message
	}
	return err.Error()
}

// requestFingerprint returns a digest of the request and its key, which detects the reuse of an operation ID for another request.
func requestFingerprint(req Request) string {
	return fmt.Sprintf("%016x-%016x", req.Fingerprint, xxhash.Sum64String(req.Key))
}
