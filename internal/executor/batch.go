package executor

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/messenger"
)

const (
	// MaxBatchTokens is the maximum number of batches whose remaining answers can be collected at the same time.
	MaxBatchTokens = 4096
	// CollectGrace is how long after the deadline of a batch its remaining answers can be collected.
	CollectGrace = time.Second
	// MaxRemaining is the maximum time until the deadline of a batch; a longer one is shortened to it.
	MaxRemaining = 10 * time.Minute
)

// batch is the state of one Search call and its sub-requests.
type batch struct {
	executor *Executor
	req      *messenger.SearchRequest
	ctx      context.Context
	cancel   context.CancelFunc
	// expires is the time after which the token is invalid.
	expires time.Time

	mu   sync.Mutex
	subs []sub
	// ready contains the indexes of the answered sub-requests that no reply has included yet.
	ready []int
	// running is the number of sub-requests whose goroutine has not finished, pending the number of those that are neither
	// answered nor cancelled.
	running int
	pending int
	// notifyEach requests a signal for each answer instead of only for the last one.
	notifyEach bool
	token      uint64
	// signal has a buffer of one element, so that notify never blocks.
	signal chan struct{}
}

// sub is one sub-request of a batch.
type sub struct {
	request   messenger.SubRequest
	ctx       context.Context
	cancel    context.CancelFunc
	call      searchCall
	execution execution
	// canary is the canary that the sub-request runs itself or whose result it waits for.
	canary atomic.Pointer[canary]
	// answer is valid when the sub-request is done or was abandoned.
	answer messenger.SubResponse
	done   bool
	// cancelled is set when the entry VM has cancelled the sub-request or it was abandoned.
	cancelled bool
}

// Search runs a batch. It returns when all sub-requests are done or SoftWait has passed, whichever is earlier. The error is
// always nil; the codes of the answers report refusals.
func (e *Executor) Search(req *messenger.SearchRequest, reply *messenger.SearchReply) (err error) {
	defer messenger.RecoverCall(&err)
	e.recorder.Observe(req.Stamp)
	if code := e.checkBatch(req); code != classifier.OK {
		reply.Answers = refuseAll(req.Subs, code)
		reply.Stamp = e.recorder.NextStamp()
		return nil
	}
	b := e.newBatch(req)
	b.start()
	b.wait(req.SoftWait)
	b.fillReply(reply)
	return nil
}

// Collect returns further answers of a batch. It returns when at least one more sub-request is done or Wait has passed. The error
// is NotFound for a token that is unknown or has expired.
func (e *Executor) Collect(req *messenger.CollectRequest, reply *messenger.SearchReply) (err error) {
	defer messenger.RecoverCall(&err)
	e.recorder.Observe(req.Stamp)
	b := e.tokens.find(req.Token)
	if b == nil {
		return classifier.Errorf(classifier.NotFound, "the token is unknown or has expired")
	}
	b.wait(req.Wait)
	b.fillReply(reply)
	return nil
}

// Cancel cancels sub-requests of a batch and closes the connections on which they run. An unknown token is not an error, because
// the batch may be done. Cancel sets only the stamp of the reply. The error is always nil.
func (e *Executor) Cancel(req *messenger.CancelRequest, reply *messenger.CancelReply) (err error) {
	defer messenger.RecoverCall(&err)
	e.recorder.Observe(req.Stamp)
	if b := e.tokens.find(req.Token); b != nil {
		b.cancelSubs(req.Subs)
	}
	reply.Stamp = e.recorder.NextStamp()
	return nil
}

func (e *Executor) checkBatch(req *messenger.SearchRequest) classifier.Code {
	switch _, err := e.checkQuarantine(req.Fingerprint, req.Succeeded); {
	case err != nil:
		return classifier.CodeOf(err)
	case len(req.Subs) > MaxSubRequests || e.batches.Load() >= MaxBatches:
		return classifier.QueueFull
	case req.Remaining <= 0:
		return classifier.ExpiredInQueue
	default:
		return classifier.OK
	}
}

func refuseAll(subs []messenger.SubRequest, code classifier.Code) []messenger.SubResponse {
	answers := make([]messenger.SubResponse, len(subs))
	for i, s := range subs {
		answers[i] = messenger.SubResponse{
			ID:    s.ID,
			Shard: s.Shard,
			Code:  code,
		}
	}
	return answers
}

func (e *Executor) newBatch(req *messenger.SearchRequest) *batch {
	remaining := min(req.Remaining, MaxRemaining)
	b := &batch{
		executor: e,
		req:      req,
		expires:  e.timer.Now().Add(remaining + CollectGrace),
		subs:     make([]sub, len(req.Subs)),
		ready:    make([]int, 0, len(req.Subs)),
		running:  len(req.Subs),
		pending:  len(req.Subs),
		signal:   make(chan struct{}, 1),
	}
	b.ctx, b.cancel = context.WithTimeout(context.Background(), remaining)
	for i := range b.subs {
		s := &b.subs[i]
		s.request = req.Subs[i]
		s.ctx, s.cancel = context.WithCancel(b.ctx)
		s.execution.fingerprint = req.Fingerprint
	}
	return b
}

func (b *batch) start() {
	b.executor.batches.Add(1)
	if len(b.subs) == 0 {
		b.end()
		return
	}
	for i := range b.subs {
		b.executor.dispatch(job{
			batch: b,
			index: i,
		})
	}
}

func (b *batch) end() {
	b.cancel()
	b.executor.batches.Add(-1)
}

func (b *batch) runSub(i int) {
	s := &b.subs[i]
	latency, err := b.search(s)
	s.cancel()
	code := classifier.CodeOf(err)
	answer := messenger.SubResponse{
		ID:    s.request.ID,
		Shard: s.request.Shard,
		Code:  code,
	}
	switch code {
	case classifier.OK:
		answer.Searched = s.call.answer.Searched
		answer.Total = s.call.answer.Total
		answer.Of = s.call.answer.Held.Of
		answer.Latency = latency
	case classifier.NotOwner:
		answer.Holder = b.executor.holder(s.request.Replica)
	}
	b.finish(i, answer)
}

func (b *batch) finish(i int, answer messenger.SubResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	if b.running == 0 {
		b.end()
	}
	s := &b.subs[i]
	s.done = true
	if s.cancelled {
		return
	}
	s.answer = answer
	b.pending--
	b.ready = append(b.ready, i)
	if b.notifyEach || b.pending == 0 {
		b.notify()
	}
}

func (b *batch) notify() {
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

// wait returns when all sub-requests are done, d has passed, or, if notifyEach is set, an answer is ready.
func (b *batch) wait(d time.Duration) {
	if b.replyDue() || d <= 0 {
		return
	}
	timeout := b.executor.timer.After(d)
	defer timeout.Stop()
	for !b.replyDue() {
		select {
		case <-b.signal:
		case <-timeout.C:
			return
		}
	}
}

func (b *batch) replyDue() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending == 0 || b.notifyEach && len(b.ready) > 0
}

// fillReply writes the ready answers and the merged hits into a reply. It assigns a token to a batch that is not done, or
// abandons the pending sub-requests when the token table is full.
func (b *batch) fillReply(reply *messenger.SearchReply) {
	b.mu.Lock()
	answers := b.ready
	b.ready = nil
	if b.pending > 0 && b.token == 0 {
		b.token = b.executor.tokens.add(b)
	}
	if b.pending > 0 && b.token != 0 {
		reply.Pending = b.pendingIDs()
		reply.Token = b.token
		reply.Held = b.canaryUnproven()
	} else {
		b.executor.tokens.remove(b.token)
		answers = append(answers, b.abandonPending()...)
	}
	b.notifyEach = true
	b.notify()
	b.mu.Unlock()

	reply.Answers = make([]messenger.SubResponse, len(answers))
	hitLists := make([][]connector.Hit, 0, len(answers))
	for k, i := range answers {
		s := &b.subs[i]
		reply.Answers[k] = s.answer
		if s.answer.Code == classifier.OK {
			hitLists = append(hitLists, s.call.answer.Hits)
		}
	}
	reply.Hits = merge(b.req.Limit, hitLists)
	reply.Stamp = b.executor.recorder.NextStamp()
}

// canaryUnproven reports whether a pending canary has not been proved harmless yet, so that the entry VM has to hold back the
// rest of the fan-out. The caller holds b.mu.
func (b *batch) canaryUnproven() bool {
	if !b.req.Canary {
		return false
	}
	now := b.executor.timer.Now()
	for i := range b.subs {
		if s := &b.subs[i]; !s.done && !s.cancelled && !s.canary.Load().provedHarmless(now, b.req.SoftWait) {
			return true
		}
	}
	return false
}

func (b *batch) pendingIDs() []uint32 {
	ids := make([]uint32, 0, b.pending)
	for i := range b.subs {
		if s := &b.subs[i]; !s.done && !s.cancelled {
			ids = append(ids, s.request.ID)
		}
	}
	return ids
}

// cancelSubs cancels the pending sub-requests with the given IDs.
func (b *batch) cancelSubs(ids []uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		for i := range b.subs {
			if s := &b.subs[i]; s.request.ID == id && !s.done && !s.cancelled {
				s.cancelled = true
				b.pending--
				s.cancel()
			}
		}
	}
	if b.pending == 0 {
		b.notify()
	}
}

// abandonPending cancels the pending sub-requests of a batch that has no token, and returns their indexes. The caller holds b.mu.
func (b *batch) abandonPending() []int {
	var abandoned []int
	for i := range b.subs {
		s := &b.subs[i]
		if s.done || s.cancelled {
			continue
		}
		s.cancelled = true
		b.pending--
		s.cancel()
		s.answer = messenger.SubResponse{
			ID:    s.request.ID,
			Shard: s.request.Shard,
			Code:  classifier.Cancelled,
		}
		abandoned = append(abandoned, i)
	}
	return abandoned
}

// search runs one sub-request, as a canary if the request requires it. A canary runs until it is answered or the deadline of the
// batch passes, even if its entry VM cancels it: a crash after the cancellation would go undetected, and the next equal request,
// which waits for this one, would crash another server.
func (b *batch) search(s *sub) (time.Duration, error) {
	if !b.req.Canary {
		return b.executor.sendSearch(s.ctx, b.req, s, false)
	}
	c, err := b.executor.canaries.join(s.ctx, b.req.Fingerprint, &s.execution, &s.canary)
	if err != nil {
		return 0, err
	}
	if c == nil {
		return b.executor.sendSearch(s.ctx, b.req, s, false)
	}
	s.execution.untried = true
	latency, err := b.executor.sendSearch(b.ctx, b.req, s, true)
	b.executor.canaries.finish(b.req.Fingerprint, c, classifier.CodeOf(err))
	return latency, err
}

// sendSearch sends a sub-request. The canary of a suspect, that is a request whose fingerprint has crashed a server, runs alone
// on the replica, and an answer resets its crash count.
func (e *Executor) sendSearch(ctx context.Context, req *messenger.SearchRequest, s *sub, isCanary bool) (time.Duration, error) {
	suspect, err := e.checkQuarantine(req.Fingerprint, req.Succeeded)
	if err != nil {
		return 0, err
	}
	r, err := e.replica(s.request.Replica)
	if err != nil {
		return 0, err
	}
	s.call.req = req
	s.call.shard = s.request.Shard
	p := admitParams{
		fingerprint: req.Fingerprint,
		exclusive:   isCanary && suspect,
		first:       isCanary,
	}
	if isCanary {
		p.maxConnIdle = MaxCanaryConnIdle
	}
	latency, reused, err := r.attempt(ctx, p, &s.call, &s.execution)
	if reused && classifier.CodeOf(err) == classifier.NotSent && ctx.Err() == nil {
		// The server had closed the idle connection and nothing was sent, so the request is repeated.
		p.maxConnIdle = MaxOperationConnIdle
		latency, _, err = r.attempt(ctx, p, &s.call, &s.execution)
	}
	if err == nil && p.exclusive {
		e.clearSuspect(req.Fingerprint)
	}
	e.recordEvidence(req.Application, req.Route, s.request.Replica, err, latency)
	return latency, err
}

// tokenTable contains the batches that are not done by their token.
type tokenTable struct {
	mu sync.Mutex
	// byToken has at most MaxBatchTokens entries.
	byToken map[uint64]*batch
}

// add adds a batch and returns its new token, or 0 when the table is full. Tokens are random, so that a token from an earlier
// process at the same address matches no batch.
func (t *tokenTable) add(b *batch) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.byToken) >= MaxBatchTokens {
		return 0
	}
	for {
		token := rand.Uint64()
		if token != 0 && t.byToken[token] == nil {
			t.byToken[token] = b
			return token
		}
	}
}

func (t *tokenTable) find(token uint64) *batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byToken[token]
}

func (t *tokenTable) remove(token uint64) {
	if token == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byToken, token)
}

// expire cancels and removes the batches that have not been collected in time.
func (t *tokenTable) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for token, b := range t.byToken {
		if now.After(b.expires) {
			b.cancel()
			delete(t.byToken, token)
		}
	}
}
