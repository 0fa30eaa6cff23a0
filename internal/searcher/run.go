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

// kind says why a sub-request is sent.
type kind uint8

const (
	kindFirst kind = iota
	kindHedge
	kindRetry
	kindResend
)

// resultBuffer is the number of owner replies that may wait for the loop of a run.
const resultBuffer = 16

// run is the state of one search. Only its loop touches it; the goroutines of its batches deliver through results.
type run struct {
	s       *Searcher
	ctx     context.Context
	req     Request
	index   *planner.Index
	choice  planner.VersionChoice
	rng     *rand.Rand
	budgets budgets
	window  *window
	// until is when the answer must be ready.
	until   time.Time
	results chan result
	suspect bool
	crashed bool
	// succeeded says that an equal request was answered lately, before this one.
	succeeded bool
	// noted says that the fingerprint stands in the cache of succeeded ones.
	noted bool
	// maybeRan says that a backend server may have run a sub-request for an abandoned snapshot.
	maybeRan bool

	view   *planner.ShardMap
	merger *merger
	shards []shard
	left   int // shards that are not settled
	held   bool
	// spare is where a second canary can go.
	spare planner.Placement
	// moved says that a second canary was sent because the first one was refused or its owner is silent.
	moved    bool
	epoch    int
	restarts int
	// earlier is the best response of an abandoned snapshot.
	earlier *Response

	attempts []attempt
	batches  []batch
	wake     *timer.Subscription
	wakeAt   time.Time
	pending  []launch
	cancels  []cancellation
	hedges   int
	slowest  string // replica whose sub-request was hedged first
	retries  int
	resends  int
}

// shard is the state of one shard of the current snapshot.
type shard struct {
	settled   bool
	hedged    bool
	searched  int
	total     int // 0 until an answer came
	code      classifier.Code
	running   int
	tries     int
	redirects int
	tried     []*planner.Candidate
}

// attempt is one sub-request. Its ID is its index.
type attempt struct {
	shard     int
	batch     int
	kind      kind
	done      bool
	candidate *planner.Candidate
}

// batch is one call of Owner.Search with the calls of Owner.Collect that follow it.
type batch struct {
	epoch   int
	owner   *planner.EntryVM
	caller  OwnerClient
	subs    []uint32
	token   uint64
	overdue time.Time // zero when the owner has replied or its shards have been hedged
	// slack is the time that an answer needs on its way.
	slack time.Duration
}

type result struct {
	batch int
	reply *messenger.SearchReply
	err   error
}

// launch is a sub-request that waits to be grouped into a batch.
type launch struct {
	shard     int
	kind      kind
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
		s:       s,
		ctx:     ctx,
		req:     req,
		index:   x,
		choice:  choice,
		rng:     rng,
		budgets: s.budgetsOf(x.Config(), req.Application),
		window:  s.latencies.of(req.Application, req.Route),
		until:   now.Add(req.Remaining - min(AnswerReserve, req.Remaining/4)),
		results: make(chan result, resultBuffer),
	}
}

// start plans the snapshot of the view and sends the canary, or all first attempts when the request needs none.
func (r *run) start(view *planner.ShardMap) {
	now := r.now()
	r.adopt(view)
	r.succeeded = r.s.seen.has(r.req.Fingerprint, now)
	if r.suspect || !r.succeeded {
		first, second := view.Canaries(r.req.Fingerprint)
		if !r.suspect && second.CloserThan(first) {
			first, second = second, first
		}
		r.spare = second
		if first.Candidate != nil {
			r.held = true
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
	r.add(p.Shard, kindFirst, p.Candidate, p.Candidate.Owner)
}

func (r *run) adopt(view *planner.ShardMap) {
	r.view = view
	r.merger = newMerger(r.req.Limit)
	r.shards = make([]shard, view.ShardCount)
	r.left = view.ShardCount
}

// fanOut sends an attempt of every open shard that has none running: all but those of the canaries.
func (r *run) fanOut() {
	r.held = false
	first := 0
	for n := range r.shards {
		sh := &r.shards[n]
		if sh.running > 0 || sh.settled {
			continue
		}
		c := r.view.Pick(n, sh.tried, r.rng)
		if c == nil {
			if sh.code == classifier.OK {
				sh.code = classifier.NoReplica
			}
			r.settle(n)
			continue
		}
		first++
		r.add(n, kindFirst, c, c.Owner)
	}
	r.budgets.hedge.Deposit(first)
	r.budgets.retry.Deposit(first)
}

// add notes a sub-request for the next flush.
func (r *run) add(n int, k kind, c *planner.Candidate, o *planner.EntryVM) {
	sh := &r.shards[n]
	sh.running++
	sh.tries++
	sh.tried = append(sh.tried, c)
	r.pending = append(r.pending, launch{
		shard:     n,
		kind:      k,
		candidate: c,
		owner:     o,
	})
}

// flush sends the noted sub-requests, one batch for each owner, and the noted cancellations.
func (r *run) flush() {
	r.sendCancels()
	if len(r.pending) == 0 {
		return
	}
	byOwner := make(map[*planner.EntryVM]int, 8)
	from := len(r.batches)
	var lists [][]messenger.SubRequest
	for _, l := range r.pending {
		b, ok := byOwner[l.owner]
		if !ok {
			b = len(r.batches)
			byOwner[l.owner] = b
			r.batches = append(r.batches, batch{
				epoch:  r.epoch,
				owner:  l.owner,
				caller: r.s.opts.Owners.Client(l.owner),
			})
			lists = append(lists, nil)
		}
		id := uint32(len(r.attempts))
		r.attempts = append(r.attempts, attempt{
			shard:     l.shard,
			batch:     b,
			kind:      l.kind,
			candidate: l.candidate,
		})
		r.batches[b].subs = append(r.batches[b].subs, id)
		lists[b-from] = append(lists[b-from], messenger.SubRequest{
			ID:      id,
			Replica: l.candidate.Replica,
			Shard:   l.shard,
			Extra:   l.kind == kindHedge || l.kind == kindRetry,
		})
	}
	r.s.counters.SubRequests.Add(uint64(len(r.pending)))
	r.pending = r.pending[:0]
	for i, list := range lists {
		r.send(from+i, list)
	}
}

func (r *run) send(b int, subs []messenger.SubRequest) {
	slack := SameRegionSlack
	if r.attempts[subs[0].ID].candidate.OtherRegion {
		slack = CrossRegionSlack
	}
	now := r.now()
	remaining := r.until.Sub(now)
	wait := r.window.softWait(remaining)
	if r.held {
		wait = min(max(CanaryTimeout, min(wait, remaining/canaryPart)), remaining)
		if r.suspect {
			wait = remaining
		}
	}
	r.batches[b].slack = slack
	r.batches[b].overdue = now.Add(wait + slack)
	r.wakeBy(r.batches[b].overdue)
	go r.call(b, r.batches[b].caller, &messenger.SearchRequest{
		Stamp:       r.s.opts.Recorder.NextStamp(),
		RequestID:   r.req.ID,
		Application: r.req.Application,
		Route:       r.req.Route,
		Fingerprint: r.req.Fingerprint,
		Snapshot:    r.view.Snapshot,
		Limit:       r.req.Limit,
		Body:        r.req.Body,
		Remaining:   remaining,
		Succeeded:   r.succeeded,
		Canary:      r.held,
		SoftWait:    wait,
		Subs:        subs,
	})
}

// call runs one batch to its end and delivers each reply to the loop. Its parameters stay unchanged while it runs.
func (r *run) call(b int, o OwnerClient, req *messenger.SearchRequest) {
	reply, err := o.Search(r.ctx, req)
	for r.deliver(b, reply, err) && err == nil && reply.Token != 0 && len(reply.Pending) > 0 {
		token, open, held := reply.Token, len(reply.Pending), reply.Held
		wait := max(r.until.Sub(r.now()), 0)
		if held {
			wait = min(wait, CanaryTimeout)
		}
		reply, err = o.Collect(r.ctx, &messenger.CollectRequest{
			Stamp: r.s.opts.Recorder.NextStamp(),
			Token: token,
			Wait:  wait,
		})
		// Cancelled sub-requests may leave the batch without an answer. Without any progress the batch is given up, so that a
		// faulty owner is not asked in a tight loop.
		if err == nil && len(reply.Answers) == 0 && len(reply.Pending) >= open && (!held || wait <= 0) {
			err = classifier.Errorf(classifier.Timeout, "the owner had no further answer")
		}
	}
}

// deliver reports whether the run still takes results.
func (r *run) deliver(b int, reply *messenger.SearchReply, err error) bool {
	if err == nil {
		r.s.opts.Recorder.Observe(reply.Stamp)
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
	return r.s.opts.Timer.Now()
}

// loop handles replies until all shards are settled, the answer is due or the caller has left.
func (r *run) loop() Response {
	deadline := r.s.opts.Timer.After(max(r.until.Sub(r.now()), time.Nanosecond))
	defer deadline.Stop()
	defer func() {
		if r.wake != nil {
			r.wake.Stop()
		}
	}()
	r.flush()
	for r.left > 0 {
		var wake <-chan time.Time
		if r.wake != nil {
			wake = r.wake.C
		}
		select {
		case res := <-r.results:
			r.handle(res)
		case <-wake:
			r.checkOverdue()
		case <-deadline.C:
			return r.respond(classifier.Timeout)
		case <-r.ctx.Done():
			return r.respond(classifier.Cancelled)
		}
		r.flush()
	}
	return r.respond(classifier.Timeout)
}

func (r *run) wakeBy(at time.Time) {
	if r.wake != nil && !at.Before(r.wakeAt) {
		return
	}
	if r.wake != nil {
		r.wake.Stop()
	}
	r.wakeAt = at
	r.wake = r.s.opts.Timer.After(max(at.Sub(r.now()), time.Nanosecond))
}

// checkOverdue treats the sub-requests of owners that have not replied in time as slow.
func (r *run) checkOverdue() {
	now := r.now()
	r.wake = nil
	var next time.Time
	for i := range r.batches {
		b := &r.batches[i]
		if b.epoch != r.epoch || b.overdue.IsZero() {
			continue
		}
		if b.overdue.After(now) {
			if next.IsZero() || b.overdue.Before(next) {
				next = b.overdue
			}
			continue
		}
		if r.held {
			// The owner may be finding out whether the server crashed, so that its silence does not prove the canary.
			r.moveCanary()
			b.overdue = now.Add(CanaryTimeout + b.slack)
			if next.IsZero() || b.overdue.Before(next) {
				next = b.overdue
			}
			continue
		}
		b.overdue = time.Time{}
		r.slow(b.subs)
	}
	if !next.IsZero() {
		r.wakeBy(next)
	}
}

// moveCanary sends a second canary when the owner of the first one is silent or the first one was refused. When the second one is
// refused as well, the request ends without having run.
func (r *run) moveCanary() {
	if r.suspect {
		return
	}
	if r.moved {
		if r.running() == 0 {
			r.giveUp()
		}
		return
	}
	r.moved = true
	if r.s.refuses(r.req.Fingerprint) {
		// An equal request of another VM has crashed a server meanwhile.
		r.crash()
		return
	}
	switch {
	case r.spare.Candidate != nil:
		r.addCanary(r.spare)
	case r.running() == 0:
		r.giveUp()
	default:
		// No other shard can be tried, so nothing is left to hold back.
		r.fanOut()
	}
}

// hedgeCanary sends a second canary while the first one is slow but not proved yet: its answer may come before that proof.
func (r *run) hedgeCanary() {
	if r.moved || r.suspect || r.spare.Candidate == nil || !r.budgets.hedge.TryWithdraw() {
		return
	}
	if r.hedges == 0 {
		r.slowest = r.attempts[len(r.attempts)-1].candidate.Replica
	}
	r.hedges++
	r.s.counters.Hedges.Add(1)
	r.moveCanary()
}

// running counts the sub-requests that run.
func (r *run) running() int {
	n := 0
	for i := range r.shards {
		n += r.shards[i].running
	}
	return n
}

// slow hedges sub-requests that take longer than the soft wait. A slow canary lets the rest of the fan-out go.
func (r *run) slow(ids []uint32) {
	if r.held && !r.suspect {
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
	if r.suspect || r.crashed || r.held || sh.settled || sh.hedged || sh.tries >= maxAttempts {
		return
	}
	c := r.view.Pick(n, sh.tried, r.rng)
	if c == nil || !r.budgets.hedge.TryWithdraw() {
		return
	}
	sh.hedged = true
	if r.hedges == 0 {
		r.slowest = sh.tried[len(sh.tried)-1].Replica
	}
	r.hedges++
	r.s.counters.Hedges.Add(1)
	r.add(n, kindHedge, c, c.Owner)
}

// finish cancels what still runs and records the extra load of the query.
func (r *run) finish(resp *Response) {
	r.drain()
	for i := range r.batches {
		r.cancelBatch(i)
	}
	r.sendCancels()
	if r.crashed {
		r.s.seen.remove(r.req.Fingerprint)
	}
	if r.hedges > 0 {
		r.s.record("Hedge", r.req.ID, fmt.Sprintf("%d hedges, the first because %s was slow", r.hedges, r.slowest))
	}
	if r.retries+r.resends > 0 {
		r.s.record("Retry", r.req.ID, fmt.Sprintf("%d retries, %d resends", r.retries, r.resends))
	}
	if !resp.Code.Answered() {
		r.s.record("Refusal", r.req.ID, resp.Code.String())
	}
}

// drain takes the tokens of replies that the loop has not handled, so that their sub-requests can be cancelled.
func (r *run) drain() {
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

// cancelBatch notes the cancellation of the open sub-requests of a batch.
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
		r.cancels = append(r.cancels, cancellation{
			owner: b.caller,
			token: b.token,
			subs:  open,
		})
	}
}

// sendCancels sends the noted cancellations. They outlive the run, because a loser is often cancelled by its end.
func (r *run) sendCancels() {
	if len(r.cancels) == 0 {
		return
	}
	list := r.cancels
	r.cancels = nil
	stamp := r.s.opts.Recorder.NextStamp()
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

// cancelTimeout bounds the calls that cancel sub-requests. Those that it cuts off end at the request's deadline.
const cancelTimeout = time.Second
