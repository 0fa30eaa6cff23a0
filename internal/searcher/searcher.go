// Package searcher runs searches on the entry VM. It applies admission control, selects the replicas, sends the sub-requests with
// hedges and retries, merges the hits, and returns a response by the deadline with the coverage that was reached.
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

// CanaryTimeout is the minimum time that a request waits for its canary, the sub-request that is sent alone to detect requests
// that crash backend servers, before it sends a second one. A longer collect wait extends the time up to the fraction
// 1/canaryTimeoutDivisor of the remaining time. The other sub-requests are sent when one of the canaries is answered or its owner
// no longer reports it as held.
const CanaryTimeout = 30 * time.Millisecond

// AnswerReserve is the time reserved before the deadline for merging the hits and sending the response. It is limited to a
// quarter of the request's remaining time.
const AnswerReserve = 5 * time.Millisecond

// SameRegionSlack and CrossRegionSlack are the network allowances for an owner in this region and in another region. An owner
// that has sent no reply counts as slow after the collect wait and this allowance. A round trip takes up to 2 ms within a region
// and up to 40 ms between regions.
const (
	SameRegionSlack  = 8 * time.Millisecond
	CrossRegionSlack = 45 * time.Millisecond
)

// canaryTimeoutDivisor limits the wait for the canary to a fraction of the remaining time, so that time is left for the fan-out.
const canaryTimeoutDivisor = 4

// minRestartTime is the minimum remaining time for restarting a query on a newer snapshot.
const minRestartTime = 10 * time.Millisecond

// Limits per query.
const (
	maxRestarts = 2
	maxAttempts = 4 // per shard and snapshot, hedges and retries included
	maxResends  = 2 // per shard and snapshot; resends are not limited by a budget
)

// minEventInterval is the minimum time between two recorded events of the same kind. It prevents frequent events such as hedges
// from displacing other events in the recorder.
const minEventInterval = 200 * time.Millisecond

// Budget limits hedges or retries to a percentage of the first sub-requests. Implementations are safe for concurrent use.
type Budget interface {
	// Deposit credits the budget with its percentage of n first sub-requests.
	Deposit(n int)
	// TryWithdraw withdraws one extra sub-request. It returns false if the budget is exhausted.
	TryWithdraw() bool
}

// Counters contains the counts of a Searcher since its start.
type Counters struct {
	Queries         atomic.Uint64
	CompleteAnswers atomic.Uint64
	PartialAnswers  atomic.Uint64
	Failures        atomic.Uint64 // responses that are neither complete nor partial, refusals included
	// SubRequests includes hedges, retries and resends.
	SubRequests atomic.Uint64
	Hedges      atomic.Uint64
	HedgeWins   atomic.Uint64
	Retries     atomic.Uint64
	// Resends counts repeated sub-requests that no budget limits, because the previous attempt certainly reached no backend server.
	Resends  atomic.Uint64
	Restarts atomic.Uint64
	// Sheds counts queries refused because a concurrency limit was reached.
	Sheds atomic.Uint64
	// Running is the current number of queries.
	Running atomic.Int64
}

// Options contains the dependencies and limits of a Searcher. All fields except Seed are required.
type Options struct {
	Board      *blackboard.Board
	IndexCache *planner.IndexCache
	Owners     OwnerClients
	Timer      *timer.Service
	Recorder   *recorder.Recorder
	// NewBudget returns a budget that allows the given percentage of extra sub-requests.
	NewBudget func(percent int) Budget
	// MaxConcurrentQueries limits the searches that run concurrently on this VM.
	MaxConcurrentQueries int
	// Seed initializes the random sources of the queries.
	Seed uint64
}

// Request is a search request of a caller. The caller of Search has validated its route against the configuration.
type Request struct {
	ID          string
	Application string
	Route       string
	Fingerprint uint64
	// Limit is the maximum number of hits, at least 1.
	Limit int
	Body  []byte
	// Remaining is the time until the deadline.
	Remaining time.Duration
}

// MissingShard describes a shard that was not searched completely.
type MissingShard struct {
	Shard  int
	Code   classifier.Code
	Reason string
}

// Coverage describes which part of the snapshot was searched.
type Coverage struct {
	// Answered is the number of shards, out of Total, that were searched completely or in part.
	Answered int
	Total    int
	// Fraction is the mean of the searched fractions of all shards, from 0 to 1.
	Fraction float64
	// Missing lists the shards that were not searched completely, in ascending order.
	Missing []MissingShard
}

// Response is the outcome of a search. Hits and Coverage refer only to Snapshot.
type Response struct {
	RequestID string
	Code      classifier.Code
	Message   string
	Snapshot  uint64
	Coverage  Coverage
	// Hits is ordered by descending score, then by ID. IDs are unique.
	Hits []messenger.Hit
}

// Searcher executes searches over the shards of an application. Its methods are safe for concurrent use.
type Searcher struct {
	opts      Options
	counters  Counters
	succeeded fingerprintCache
	latencies latencyWindows
	sequence  atomic.Uint64

	limiters concurrencyLimiters

	mu           sync.Mutex
	budgets      map[string]budgets
	lastRecorded map[string]time.Time
}

// budgets contains the hedge and retry budgets of one application and the percentages that they were created with.
type budgets struct {
	hedgePercent, retryPercent int
	hedge, retry               Budget
}

// New returns a Searcher whose counters are 0. It starts no goroutine.
func New(opts Options) *Searcher {
	return &Searcher{
		opts:         opts,
		budgets:      map[string]budgets{},
		lastRecorded: map[string]time.Time{},
	}
}

// Counters returns the counters, which continue to be updated.
func (s *Searcher) Counters() *Counters {
	return &s.counters
}

// Search executes one search. It returns when all shards are answered or have failed, when only AnswerReserve is left before the
// deadline, or when ctx is done. Failures are reported by the code of the response.
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

// refuses reports whether requests with the fingerprint are quarantined. During the cooldown after a crash, fingerprints that
// have recently succeeded are still allowed.
func (s *Searcher) refuses(fingerprint uint64) bool {
	q := s.opts.Board.Quarantine.Read()
	now := s.opts.Timer.Now()
	return q.Refuses(fingerprint) || q.InCooldown(fingerprint, now) && !s.succeeded.contains(fingerprint, now)
}

// admit executes a search if two concurrency limits allow it: the fixed limit of this VM and the limit of the application, which
// adapts to refusals by the queues of the backend servers.
func (s *Searcher) admit(ctx context.Context, req Request, running int64) Response {
	if running > int64(s.opts.MaxConcurrentQueries) {
		s.counters.Sheds.Add(1)
		return s.refuse(req, classifier.Overloaded, fmt.Sprintf("The VM is already running its maximum of %d concurrent queries.", s.opts.MaxConcurrentQueries))
	}
	lim := s.limiters.forApplication(req.Application, s.opts.MaxConcurrentQueries)
	if !lim.TryAcquire() {
		s.counters.Sheds.Add(1)
		return s.refuse(req, classifier.Overloaded, "The concurrency limit of the application is reached because its backend servers are overloaded.")
	}
	resp := s.search(ctx, req)
	lim.Release(s.opts.Timer.Now(), resp.Code == classifier.OK, resp.congested())
	return resp
}

// minCongestedShards is the number of shards whose queues must have refused sub-requests before a search counts as congested. A
// single shard may have lost replicas, and a lower query rate would not restore them.
const minCongestedShards = 2

// congested reports whether the queues of the backend servers refused sub-requests for enough shards to lower the concurrency
// limit.
func (r *Response) congested() bool {
	n := 0
	for _, m := range r.Coverage.Missing {
		switch m.Code {
		case classifier.QueueFull, classifier.ExpiredInQueue, classifier.Shed:
			n++
		}
	}
	return n >= min(minCongestedShards, r.Coverage.Total) && n > 0
}

// concurrencyLimiters contains the adaptive concurrency limiter of each application. Limiters are created on first use.
type concurrencyLimiters struct {
	mu            sync.Mutex
	byApplication map[string]*limiter.ConcurrencyLimiter
}

func (l *concurrencyLimiters) forApplication(application string, maxConcurrent int) *limiter.ConcurrencyLimiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byApplication == nil {
		l.byApplication = map[string]*limiter.ConcurrencyLimiter{}
	}
	if l.byApplication[application] == nil {
		l.byApplication[application] = limiter.NewConcurrencyLimiter(maxConcurrent)
	}
	return l.byApplication[application]
}

func (s *Searcher) search(ctx context.Context, req Request) Response {
	now := s.opts.Timer.Now()
	x := s.opts.IndexCache.Index(now)
	// Read the quarantine after the index. In the reverse order, the index could already exclude a crashed server while the
	// quarantine does not contain the crash yet, and the request would be sent to another server.
	if s.refuses(req.Fingerprint) {
		return s.refuse(req, classifier.Quarantined, classifier.Quarantined.Description())
	}
	rng := rand.New(rand.NewPCG(s.opts.Seed, s.sequence.Add(1)))
	choice := x.ChooseVersion(req.Application, rng)
	shardMap := x.ChooseSnapshot(req.Application, choice, 0)
	if shardMap == nil {
		return s.refuse(req, classifier.NoReplica, "No usable replica of the application has reported a snapshot.")
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := s.newRun(runCtx, req, x, choice, rng, now)
	r.suspect = s.opts.Board.Quarantine.Read().HasCrashed(req.Fingerprint)
	r.start(shardMap)
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

// record records an event unless an event of the same kind was recorded within the last minEventInterval.
func (s *Searcher) record(kind, object, detail string) {
	now := s.opts.Timer.Now()
	s.mu.Lock()
	last, ok := s.lastRecorded[kind]
	if ok && now.Sub(last) < minEventInterval {
		s.mu.Unlock()
		return
	}
	s.lastRecorded[kind] = now
	s.mu.Unlock()
	s.opts.Recorder.Record("searcher", kind, object, detail)
}

// budgetsOf returns the budgets of an application. A policy change replaces them by new budgets. The budgets of applications that
// were removed from the configuration are deleted on that occasion.
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
