// Package searcher runs searches on the entry VM: it admits and plans them, sends the sub-requests with hedges and retries,
// merges the results, and answers by the deadline with the coverage that was reached.
package searcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/limiter"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/planner"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// CanaryTimeout is how long a request waits for its canary, or the soft wait if that is longer, but at most a canaryPart of the
// remaining time, before it sends a second one. The rest of the fan-out waits until one of them is answered or its owner does not
// mark it as held any more.
const CanaryTimeout = 30 * time.Millisecond

// AnswerReserve is the time kept for merging and sending the answer before the deadline. It is at most a quarter of the
// request's time.
const AnswerReserve = 5 * time.Millisecond

// NearSlack and FarSlack are added to the soft wait before an owner that has not replied at all counts as slow, in this region
// and in another one. A round trip between regions takes up to 40 ms today, inside a region 2 ms.
const (
	SameRegionSlack  = 8 * time.Millisecond
	CrossRegionSlack = 45 * time.Millisecond
)

// canaryPart bounds the wait for the canary to a part of the remaining time.
const canaryPart = 4

// restartReserve is the least remaining time for which a query restarts on a newer snapshot.
const restartReserve = 10 * time.Millisecond

// Bounds on the attempts of one query.
const (
	maxRestarts  = 2
	maxAttempts  = 4 // per shard and snapshot, hedges and retries included
	maxRedirects = 2 // per shard and snapshot; resends that use no budget
)

// eventPeriod is the least time between two events of the same kind, so that hedges do not displace other events.
const eventPeriod = 200 * time.Millisecond

// Budget bounds extra sub-requests by a share of the first ones. It is safe for concurrent use.
type Budget interface {
	// Deposit adds the share of n first sub-requests.
	Deposit(n int)
	// TryWithdraw takes one extra sub-request, or returns false.
	TryWithdraw() bool
}

// Counters count the work of a Searcher since its start.
type Counters struct {
	Queries         atomic.Uint64
	CompleteAnswers atomic.Uint64 // complete ones
	PartialAnswers  atomic.Uint64
	Failures        atomic.Uint64 // responses that are not answers, refusals included
	// SubRequests counts all sub-requests, hedges, retries and resends included.
	SubRequests atomic.Uint64
	Hedges      atomic.Uint64
	HedgeWins   atomic.Uint64
	Retries     atomic.Uint64
	// Resends counts sub-requests sent again without a budget because they certainly reached no backend server.
	Resends  atomic.Uint64
	Restarts atomic.Uint64
	// Sheds counts queries refused over the concurrency bound.
	Sheds atomic.Uint64
	// Running is the number of queries that run now.
	Running atomic.Int64
}

// Options are the parts that a Searcher works with. All fields but Seed are mandatory.
type Options struct {
	Board     *blackboard.Board
	PlanCache *planner.IndexCache
	Owners    OwnerClients
	Timer     *timer.Service
	Recorder  *recorder.Recorder
	// NewBudget returns a budget of the given percentage.
	NewBudget func(percent int) Budget
	// MaxConcurrentQueries bounds the searches that run at the same time.
	MaxConcurrentQueries int
	// Seed starts the random source.
	Seed uint64
}

// Request is one search of a caller. The route has been checked against the configuration.
type Request struct {
	ID          string
	Application string
	Route       string
	Fingerprint uint64
	// Limit is the greatest number of hits, at least 1.
	Limit int
	Body  []byte
	// Remaining is the time until the deadline.
	Remaining time.Duration
}

// MissingShard is a shard that was not answered in full.
type MissingShard struct {
	Shard  int
	Code   classifier.Code
	Reason string
}

// Coverage says which part of the snapshot an answer covers.
type Coverage struct {
	// Answered is the number of shards that were answered in full or in part, of Of.
	Answered int
	Total    int
	// Fraction is the searched part of all shards, 0 to 1.
	Fraction float64
	// Missing lists the shards that were not answered in full, in ascending order.
	Missing []MissingShard
}

// Response is the outcome of a search. Hits and Coverage belong to Snapshot alone.
type Response struct {
	RequestID string
	Code      classifier.Code
	Message   string
	Snapshot  uint64
	Coverage  Coverage
	// Hits are ordered by descending score, then by ID; no ID occurs twice.
	Hits []messenger.Hit
}

// Searcher runs searches. Its methods are safe for concurrent use.
type Searcher struct {
	opts      Options
	counters  Counters
	seen      succeeded
	latencies latencies
	sequence  atomic.Uint64

	admissions admissions

	mu      sync.Mutex
	budgets map[string]budgets
	events  map[string]time.Time
}

// budgets are the budgets of one application.
type budgets struct {
	hedgePercent, retryPercent int
	hedge, retry               Budget
}

// New returns a Searcher.
func New(opts Options) *Searcher {
	return &Searcher{
		opts:    opts,
		budgets: map[string]budgets{},
		events:  map[string]time.Time{},
	}
}

// Counters returns the live counters.
func (s *Searcher) Counters() *Counters {
	return &s.counters
}

// Search runs one search until it is complete, its deadline is near or ctx ends.
func (s *Searcher) Search(ctx context.Context, req Request) Response {
	s.counters.Queries.Add(1)
	running := s.counters.Running.Add(1)
	defer s.counters.Running.Add(-1)
	resp := s.admit(ctx, req, running)
	switch resp.Code {
	case classifier.OK:
		s.counters.CompleteAnswers.Add(1)
	case classifier.Partial:
		s.counters.PartialAnswers.Add(1)
	default:
		s.counters.Failures.Add(1)
	}
	return resp
}

// refuses reports whether requests with the fingerprint must not be sent now.
func (s *Searcher) refuses(fingerprint uint64) bool {
	q := s.opts.Board.Quarantine.Read()
	now := s.opts.Timer.Now()
	return q.Refuses(fingerprint) || q.InCooldown(fingerprint, now) && !s.seen.has(fingerprint, now)
}

// admit runs a search within the bounds on concurrent ones: that of the VM, and that of the application, which follows the
// queues of the backend servers.
func (s *Searcher) admit(ctx context.Context, req Request, running int64) Response {
	if running > int64(s.opts.MaxConcurrentQueries) {
		s.counters.Sheds.Add(1)
		return s.refuse(req, classifier.Overloaded, fmt.Sprintf("%d requests run on this VM already.", s.opts.MaxConcurrentQueries))
	}
	a := s.admissions.of(req.Application, s.opts.MaxConcurrentQueries)
	if !a.TryAcquire() {
		s.counters.Sheds.Add(1)
		return s.refuse(req, classifier.Overloaded, "The backend servers of the application are at their limit.")
	}
	resp := s.search(ctx, req)
	a.Release(s.opts.Timer.Now(), resp.Code == classifier.OK, resp.congested())
	return resp
}

// congestedShards is the number of shards whose queues must have refused before a search counts as congested. A single shard
// may have lost its replicas, which fewer queries would not mend.
const congestedShards = 2

// congested reports whether the queues of backend servers refused parts of the search.
func (r *Response) congested() bool {
	n := 0
	for _, m := range r.Coverage.Missing {
		switch m.Code {
		case classifier.QueueFull, classifier.ExpiredInQueue, classifier.Shed:
			n++
		}
	}
	return n >= min(congestedShards, r.Coverage.Total) && n > 0
}

// admissions holds the admission of each application of the configuration.
type admissions struct {
	mu     sync.Mutex
	byName map[string]*limiter.ConcurrencyLimiter
}

func (a *admissions) of(application string, ceiling int) *limiter.ConcurrencyLimiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byName == nil {
		a.byName = map[string]*limiter.ConcurrencyLimiter{}
	}
	if a.byName[application] == nil {
		a.byName[application] = limiter.NewConcurrencyLimiter(ceiling)
	}
	return a.byName[application]
}

func (s *Searcher) search(ctx context.Context, req Request) Response {
	now := s.opts.Timer.Now()
	x := s.opts.PlanCache.Index(now)
	// The quarantine is read after the plan: a plan that avoids a crashed server must not be older than the news of the crash.
	if s.refuses(req.Fingerprint) {
		return s.refuse(req, classifier.Quarantined, classifier.Quarantined.Description())
	}
	rng := rand.New(rand.NewPCG(s.opts.Seed, s.sequence.Add(1)))
	choice := x.ChooseVersion(req.Application, rng)
	view := x.ChooseSnapshot(req.Application, choice, 0)
	if view == nil {
		return s.refuse(req, classifier.NoReplica, "No replica of the application has reported a snapshot.")
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := s.newRun(runCtx, req, x, choice, rng, now)
	r.suspect = s.opts.Board.Quarantine.Read().HasCrashed(req.Fingerprint)
	r.start(view)
	resp := r.loop()
	r.finish(&resp)
	return resp
}

func (s *Searcher) refuse(req Request, code classifier.Code, message string) Response {
	s.record("Refusal", req.ID, code.String())
	return Response{
		RequestID: req.ID,
		Code:      code,
		Message:   message,
	}
}

// record adds an event unless one of the same kind was added within eventPeriod.
func (s *Searcher) record(kind, object, detail string) {
	now := s.opts.Timer.Now()
	s.mu.Lock()
	last, ok := s.events[kind]
	if ok && now.Sub(last) < eventPeriod {
		s.mu.Unlock()
		return
	}
	s.events[kind] = now
	s.mu.Unlock()
	s.opts.Recorder.Record("searcher", kind, object, detail)
}

// budgetsOf returns the budgets of an application. They start again when its policy changes.
func (s *Searcher) budgetsOf(cfg *blackboard.Config, app string) budgets {
	policy := cfg.Policies[cfg.Applications[app].Policy]
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[app]
	if ok && b.hedgePercent == policy.HedgePercent && b.retryPercent == policy.RetryPercent {
		return b
	}
	for name := range s.budgets {
		if _, ok := cfg.Applications[name]; !ok {
			delete(s.budgets, name)
		}
	}
	b = budgets{
		hedgePercent: policy.HedgePercent,
		retryPercent: policy.RetryPercent,
		hedge:        s.opts.NewBudget(policy.HedgePercent),
		retry:        s.opts.NewBudget(policy.RetryPercent),
	}
	s.budgets[app] = b
	return b
}
