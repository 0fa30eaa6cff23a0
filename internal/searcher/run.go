package searcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/planner"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// attemptKind is the reason for which a sub-request is sent.
type attemptKind uint8

const (
	kindFirst attemptKind = iota
	kindHedge
	kindRetry
	kindResend
)

// resultBuffer is the number of owner replies that can be buffered for the loop of a run.
const resultBuffer = 16

// run is the state of one search. Only the goroutine that executes loop accesses it. The goroutines of the batches send their
// replies through the results channel.
type run struct {
	searcher *Searcher
	ctx      context.Context
	req      Request
	index    *planner.Index
	choice   planner.VersionChoice
	rng      *rand.Rand
	budgets  budgets
	window   *latencyWindow
	// answerBy is the deadline of the request minus the reserve for the response.
	answerBy time.Time
	results  chan result
	// suspect is true if an equal request has crashed a backend server. The request is not hedged, its attempts are repeated only
	// if they certainly did not run, and the other sub-requests wait for the canary until the deadline.
	suspect bool
	// crashed is true if a sub-request crashed a backend server or was refused as quarantined. Nothing more is sent.
	crashed bool
	// succeeded is true if an equal request had been answered recently when this one started.
	succeeded bool
	// cached is true if this run has added the fingerprint to the cache of succeeded requests.
	cached bool
	// maybeRan is true if a backend server may have run a sub-request for an abandoned snapshot.
	maybeRan bool

	shardMap       *planner.ShardMap
	merger         *merger
	shards         []shard
	openShards     int // shards that are not settled
	awaitingCanary bool
	// secondCanary is the placement of a second canary. Its candidate is nil if there is none.
	secondCanary planner.Placement
	// secondCanaryTried is true if the first canary was slow, was refused or got no reply from its owner, so that the second one
	// was sent, if there is a placement for it.
	secondCanaryTried bool
	// epoch increases with each restart on another snapshot. Replies to batches of an earlier epoch are discarded.
	epoch    int
	restarts int
	// abandoned is the response with the best coverage for a snapshot that a restart abandoned, or nil.
	abandoned *Response

	attempts       []attempt
	batches        []batch
	overdueTimer   *timer.Subscription
	overdueTimerAt time.Time
	queued         []queuedAttempt
	queuedCancels  []cancellation
	hedges         int
	firstHedged    string // replica of the sub-request that was hedged first
	retries        int
	resends        int
}

// shard is the state of one shard of the current snapshot.
type shard struct {
	settled  bool // no further answer is expected or needed
	hedged   bool
	searched int             // parts that the best answer searched
	total    int             // parts of the shard; 0 before the first answer
	code     classifier.Code // of a failed attempt; codes that exclude execution are replaced by those of later failures
	running  int
	attempts int
	resends  int
	tried    []*planner.Candidate
}

// attempt is one sub-request. Its ID is its index in run.attempts.
type attempt struct {
	shard     int
	batch     int
	kind      attemptKind
	done      bool
	candidate *planner.Candidate
}

// batch is one call of Owner.Search and the subsequent calls of Owner.Collect.
type batch struct {
	epoch     int
	owner     *planner.EntryVM
	client    OwnerClient
	subs      []uint32
	token     uint64
	overdueAt time.Time // when the batch counts as slow; zero while no check is scheduled
	// slack is the allowance for the network round trip to the owner.
	slack time.Duration
}

type result struct {
	batch int
	reply *messenger.SearchReply
	err   error
}

// queuedAttempt is a sub-request that the next flush groups into a batch.
type queuedAttempt struct {
	shard     int
	kind      attemptKind
	candidate *planner.Candidate
	owner     *planner.EntryVM
}

type cancellation struct {
	owner OwnerClient
	token uint64
	subs  []uint32
}

func (s *Searcher) newRun(ctx context.Context, req Request, x *planner.Index, choice planner.VersionChoice, rng *rand.Rand, now time.Time) *run {
	return &run{
		searcher: s,
		ctx:      ctx,
		req:      req,
		index:    x,
		choice:   choice,
		rng:      rng,
		budgets:  s.budgetsOf(x.Config(), req.Application),
		window:   s.latencies.forRoute(req.Application, req.Route),
		answerBy: now.Add(req.Remaining - min(AnswerReserve, req.Remaining/4)),
		results:  make(chan result, resultBuffer),
	}
}

// start sends the canary on the snapshot of the shard map. If the request has succeeded recently and is not suspect, or if no
// replica can run a canary, start queues the first attempts of all shards instead.
func (r *run) start(shardMap *planner.ShardMap) {
	now := r.now()
	r.setShardMap(shardMap)
	r.succeeded = r.searcher.succeeded.contains(r.req.Fingerprint, now)
	if r.suspect || !r.succeeded {
		first, second := shardMap.Canaries(r.req.Fingerprint)
		if !r.suspect && second.CloserThan(first) {
			first, second = second, first
		}
		r.secondCanary = second
		if first.Candidate != nil {
			r.awaitingCanary = true
			r.addCanary(first)
			r.flush()
			return
		}
	}
	r.fanOut()
}

func (r *run) addCanary(p planner.Placement) {
	r.budgets.hedge.Deposit(1)
	r.budgets.retry.Deposit(1)
	r.enqueue(p.Shard, kindFirst, p.Candidate, p.Candidate.Owner)
}

func (r *run) setShardMap(shardMap *planner.ShardMap) {
	r.shardMap = shardMap
	r.merger = newMerger(r.req.Limit)
	r.shards = make([]shard, shardMap.ShardCount)
	r.openShards = shardMap.ShardCount
}

// fanOut queues an attempt for every open shard without a running one. Only the shards of the canaries have one at this point.
func (r *run) fanOut() {
	r.awaitingCanary = false
	first := 0
	for n := range r.shards {
		sh := &r.shards[n]
		if sh.running > 0 || sh.settled {
			continue
		}
		c := r.shardMap.Pick(n, sh.tried, r.rng)
		if c == nil {
			if sh.code == classifier.OK {
				sh.code = classifier.NoReplica
			}
			r.settle(n)
			continue
		}
		first++
		r.enqueue(n, kindFirst, c, c.Owner)
	}
	r.budgets.hedge.Deposit(first)
	r.budgets.retry.Deposit(first)
}

// enqueue queues a sub-request for the next flush.
func (r *run) enqueue(n int, k attemptKind, c *planner.Candidate, o *planner.EntryVM) {
	sh := &r.shards[n]
	sh.running++
	sh.attempts++
	sh.tried = append(sh.tried, c)
	r.queued = append(r.queued, queuedAttempt{
		shard:     n,
		kind:      k,
		candidate: c,
		owner:     o,
	})
}

// flush sends the queued cancellations and the queued sub-requests, grouped into one batch per owner.
func (r *run) flush() {
	r.sendCancels()
	if len(r.queued) == 0 {
		return
	}
	byOwner := make(map[*planner.EntryVM]int, 8)
	from := len(r.batches)
	var lists [][]messenger.SubRequest
	for _, q := range r.queued {
		b, ok := byOwner[q.owner]
		if !ok {
			b = len(r.batches)
			byOwner[q.owner] = b
			r.batches = append(r.batches, batch{
				epoch:  r.epoch,
				owner:  q.owner,
				client: r.searcher.opts.Owners.Client(q.owner),
			})
			lists = append(lists, nil)
		}
		id := uint32(len(r.attempts))
		r.attempts = append(r.attempts, attempt{
			shard:     q.shard,
			batch:     b,
			kind:      q.kind,
			candidate: q.candidate,
		})
		r.batches[b].subs = append(r.batches[b].subs, id)
		lists[b-from] = append(lists[b-from], messenger.SubRequest{
			ID:      id,
			Replica: q.candidate.Replica,
			Shard:   q.shard,
			Extra:   q.kind == kindHedge || q.kind == kindRetry,
		})
	}
	r.searcher.counters.SubRequests.Add(uint64(len(r.queued)))
	r.queued = r.queued[:0]
	for i, list := range lists {
		r.sendBatch(from+i, list)
	}
}

func (r *run) sendBatch(b int, subs []messenger.SubRequest) {
	slack := SameRegionSlack
	if r.attempts[subs[0].ID].candidate.OtherRegion {
		slack = CrossRegionSlack
	}
	now := r.now()
	remaining := r.answerBy.Sub(now)
	wait := r.window.collectWait(remaining)
	if r.awaitingCanary {
		wait = min(max(CanaryTimeout, min(wait, remaining/canaryTimeoutDivisor)), remaining)
		if r.suspect {
			wait = remaining
		}
	}
	r.batches[b].slack = slack
	r.batches[b].overdueAt = now.Add(wait + slack)
	r.scheduleOverdueCheck(r.batches[b].overdueAt)
	go r.callOwner(b, r.batches[b].client, &messenger.SearchRequest{
		Stamp:       r.searcher.opts.Recorder.NextStamp(),
		RequestID:   r.req.ID,
		Application: r.req.Application,
		Route:       r.req.Route,
		Fingerprint: r.req.Fingerprint,
		Snapshot:    r.shardMap.Snapshot,
		Limit:       r.req.Limit,
		Body:        r.req.Body,
		Remaining:   remaining,
		Succeeded:   r.succeeded,
		Canary:      r.awaitingCanary,
		SoftWait:    wait,
		Subs:        subs,
	})
}

// callOwner runs one batch to its end and delivers each reply to the loop. It runs in a goroutine of its own, so its parameters
// and the fields of run that it reads must not change.
func (r *run) callOwner(b int, client OwnerClient, req *messenger.SearchRequest) {
	reply, err := client.Search(r.ctx, req)
	for r.deliver(b, reply, err) && err == nil && reply.Token != 0 && len(reply.Pending) > 0 {
		token, open, held := reply.Token, len(reply.Pending), reply.Held
		wait := max(r.answerBy.Sub(r.now()), 0)
		if held {
			wait = min(wait, CanaryTimeout)
		}
		reply, err = client.Collect(r.ctx, &messenger.CollectRequest{
			Stamp: r.searcher.opts.Recorder.NextStamp(),
			Token: token,
			Wait:  wait,
		})
		// Cancelled sub-requests may never be answered. A reply without progress ends the batch, so that a faulty owner is not
		// polled in a tight loop.
		if err == nil && len(reply.Answers) == 0 && len(reply.Pending) >= open && (!held || wait <= 0) {
			err = classifier.Errorf(classifier.Timeout, "the owner returned no further answers within the collect wait")
		}
	}
}

// deliver sends a reply to the loop. It returns false if the run has ended.
func (r *run) deliver(b int, reply *messenger.SearchReply, err error) bool {
	if err == nil {
		r.searcher.opts.Recorder.Observe(reply.Stamp)
	}
	select {
	case r.results <- result{
		batch: b,
		reply: reply,
		err:   err,
	}:
		return true
	case <-r.ctx.Done():
		return false
	}
}

func (r *run) now() time.Time {
	return r.searcher.opts.Timer.Now()
}

// loop handles replies until all shards are settled, answerBy is reached or the request is cancelled.
func (r *run) loop() Response {
	deadline := r.searcher.opts.Timer.After(max(r.answerBy.Sub(r.now()), time.Nanosecond))
	defer deadline.Stop()
	defer func() {
		if r.overdueTimer != nil {
			r.overdueTimer.Stop()
		}
	}()
	r.flush()
	for r.openShards > 0 {
		var overdue <-chan time.Time
		if r.overdueTimer != nil {
			overdue = r.overdueTimer.C
		}
		select {
		case res := <-r.results:
			r.handleReply(res)
		case <-overdue:
			r.checkOverdue()
		case <-deadline.C:
			return r.buildResponse(classifier.Timeout)
		case <-r.ctx.Done():
			return r.buildResponse(classifier.Cancelled)
		}
		r.flush()
	}
	return r.buildResponse(classifier.Timeout)
}

func (r *run) scheduleOverdueCheck(at time.Time) {
	if r.overdueTimer != nil && !at.Before(r.overdueTimerAt) {
		return
	}
	if r.overdueTimer != nil {
		r.overdueTimer.Stop()
	}
	r.overdueTimerAt = at
	r.overdueTimer = r.searcher.opts.Timer.After(max(at.Sub(r.now()), time.Nanosecond))
}

// checkOverdue hedges the sub-requests of owners that have not replied in time. While the run waits for the canary, it sends the
// second canary instead.
func (r *run) checkOverdue() {
	now := r.now()
	r.overdueTimer = nil
	var next time.Time
	for i := range r.batches {
		b := &r.batches[i]
		if b.epoch != r.epoch || b.overdueAt.IsZero() {
			continue
		}
		if b.overdueAt.After(now) {
			if next.IsZero() || b.overdueAt.Before(next) {
				next = b.overdueAt
			}
			continue
		}
		if r.awaitingCanary {
			// The owner may still be checking whether the backend server crashed. A missing reply therefore does not show that the
			// request is harmless, and the other sub-requests must not be sent yet.
			r.sendSecondCanary()
			b.overdueAt = now.Add(CanaryTimeout + b.slack)
			if next.IsZero() || b.overdueAt.Before(next) {
				next = b.overdueAt
			}
			continue
		}
		b.overdueAt = time.Time{}
		r.hedgeSlow(b.subs)
	}
	if !next.IsZero() {
		r.scheduleOverdueCheck(next)
	}
}

// sendSecondCanary sends a second canary if the first one was refused, is slow or has an owner that does not reply. If it was
// sent before or has no placement, and no canary is running any more, the request ends.
func (r *run) sendSecondCanary() {
	if r.suspect {
		return
	}
	if r.secondCanaryTried {
		if r.runningCount() == 0 {
			r.settleAll()
		}
		return
	}
	r.secondCanaryTried = true
	if r.searcher.refuses(r.req.Fingerprint) {
		// An equal request from another VM has crashed a backend server in the meantime.
		r.stopAfterCrash()
		return
	}
	switch {
	case r.secondCanary.Candidate != nil:
		r.addCanary(r.secondCanary)
	case r.runningCount() == 0:
		r.settleAll()
	default:
		// There is no other placement for a canary, so waiting longer would not protect any other backend server.
		r.fanOut()
	}
}

// hedgeCanary sends a second canary, if the hedge budget allows it, while the owner still holds the first one. The second one may
// be answered before the first one is shown to be harmless.
func (r *run) hedgeCanary() {
	if r.secondCanaryTried || r.suspect || r.secondCanary.Candidate == nil || !r.budgets.hedge.TryWithdraw() {
		return
	}
	if r.hedges == 0 {
		r.firstHedged = r.attempts[len(r.attempts)-1].candidate.Replica
	}
	r.hedges++
	r.searcher.counters.Hedges.Add(1)
	r.sendSecondCanary()
}

// runningCount returns the number of running sub-requests.
func (r *run) runningCount() int {
	n := 0
	for i := range r.shards {
		n += r.shards[i].running
	}
	return n
}

// hedgeSlow hedges slow sub-requests. If a request that is not suspect waits for its canary, the other sub-requests are sent too.
func (r *run) hedgeSlow(ids []uint32) {
	if r.awaitingCanary && !r.suspect {
		r.fanOut()
	}
	for _, id := range ids {
		if int(id) < len(r.attempts) && !r.attempts[id].done {
			r.hedge(r.attempts[id].shard)
		}
	}
}

func (r *run) hedge(n int) {
	sh := &r.shards[n]
	if r.suspect || r.crashed || r.awaitingCanary || sh.settled || sh.hedged || sh.attempts >= maxAttempts {
		return
	}
	c := r.shardMap.Pick(n, sh.tried, r.rng)
	if c == nil || !r.budgets.hedge.TryWithdraw() {
		return
	}
	sh.hedged = true
	if r.hedges == 0 {
		r.firstHedged = sh.tried[len(sh.tried)-1].Replica
	}
	r.hedges++
	r.searcher.counters.Hedges.Add(1)
	r.enqueue(n, kindHedge, c, c.Owner)
}

// finish cancels the sub-requests that are still running and records events for hedges, retries and a refusal.
func (r *run) finish(resp *Response) {
	r.drainResults()
	for i := range r.batches {
		r.cancelBatch(i)
	}
	r.sendCancels()
	if r.crashed {
		r.searcher.succeeded.remove(r.req.Fingerprint)
	}
	if r.hedges > 0 {
		r.searcher.record("Hedge", r.req.ID, fmt.Sprintf("%d hedges; the first one was sent because %s was slow", r.hedges, r.firstHedged))
	}
	if r.retries+r.resends > 0 {
		r.searcher.record("Retry", r.req.ID, fmt.Sprintf("%d retries, %d resends", r.retries, r.resends))
	}
	if !resp.Code.Answered() {
		r.searcher.record("Refusal", r.req.ID, resp.Code.String())
	}
}

// drainResults reads the batch tokens from replies that the loop has not handled, so that their pending sub-requests can be
// cancelled.
func (r *run) drainResults() {
	for {
		select {
		case res := <-r.results:
			if res.err == nil {
				r.batches[res.batch].token = res.reply.Token
				r.markDone(res.reply)
			}
		default:
			return
		}
	}
}

// cancelBatch queues the cancellation of the open sub-requests of a batch.
func (r *run) cancelBatch(i int) {
	b := &r.batches[i]
	if b.token == 0 {
		return
	}
	var open []uint32
	for _, id := range b.subs {
		if !r.attempts[id].done {
			open = append(open, id)
		}
	}
	if len(open) > 0 {
		r.queuedCancels = append(r.queuedCancels, cancellation{
			owner: b.client,
			token: b.token,
			subs:  open,
		})
	}
}

// sendCancels sends the queued cancellations. The calls are independent of the run's context, because many sub-requests are
// cancelled when the run ends. Errors are ignored: sub-requests that are not cancelled end at the deadline of the request.
func (r *run) sendCancels() {
	if len(r.queuedCancels) == 0 {
		return
	}
	list := r.queuedCancels
	r.queuedCancels = nil
	stamp := r.searcher.opts.Recorder.NextStamp()
	ctx, stop := context.WithTimeout(context.WithoutCancel(r.ctx), cancelTimeout)
	go func() {
		defer stop()
		for _, c := range list {
			_ = c.owner.Cancel(ctx, &messenger.CancelRequest{
				Stamp: stamp,
				Token: c.token,
				Subs:  c.subs,
			})
		}
	}()
}

// cancelTimeout limits the calls that cancel sub-requests. Sub-requests whose cancellation times out end at the request's
// deadline.
const cancelTimeout = time.Second
