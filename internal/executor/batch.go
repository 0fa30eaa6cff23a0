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
	// MaxBatchTokens bounds the batches whose rest can be collected.
	MaxBatchTokens = 4096
	// CollectGrace is how long after its deadline the rest of a batch can be collected.
	CollectGrace = time.Second
	// MaxRemaining bounds the deadline of a request.
	MaxRemaining = 10 * time.Minute
)

// batch is one Search call with its sub-requests.
type batch struct {
	o      *Executor
	req    *messenger.SearchRequest
	ctx    context.Context
	cancel context.CancelFunc
	// expires is when the token becomes invalid.
	expires time.Time

	mu   sync.Mutex
	subs []sub
	// ready are the indexes of answered sub-requests that no reply has named.
	ready []int
	// running counts the goroutines, pending the sub-requests that a reply still has to name as done.
	running int
	pending int
	// eager asks for a signal at each answer instead of at the last one.
	eager bool
	token uint64
	// signal has room for one element.
	signal chan struct{}
}

// sub is one sub-request of a batch.
type sub struct {
	spec   messenger.SubRequest
	ctx    context.Context
	cancel context.CancelFunc
	work   searchWork
	run    run
	// canary is the canary whose outcome the sub-request has or waits for.
	canary atomic.Pointer[canary]
	// answer is set when the sub-request is done or given up.
	answer messenger.SubResponse
	done   bool
	// dropped says that the entry VM has cancelled it.
	dropped bool
}

// Search runs a batch. The reply comes when all sub-requests are done or after SoftWait, whichever is earlier. The error is
// always nil; refusals are codes of the answers.
func (o *Executor) Search(req *messenger.SearchRequest, reply *messenger.SearchReply) error {
	o.recorder.Observe(req.Stamp)
	if code := o.refuseBatch(req); code != classifier.OK {
		reply.Answers = refuseAll(req.Subs, code)
		reply.Stamp = o.recorder.NextStamp()
		return nil
	}
	b := o.newBatch(req)
	b.start()
	b.wait(req.SoftWait)
	b.fill(reply)
	return nil
}

// Collect returns further answers of a batch when at least one more sub-request is done, or after Wait. The error is NotFound
// for a token that is unknown or has expired.
func (o *Executor) Collect(req *messenger.CollectRequest, reply *messenger.SearchReply) error {
	o.recorder.Observe(req.Stamp)
	b := o.tokens.find(req.Token)
	if b == nil {
		return classifier.Errorf(classifier.NotFound, "the token is unknown or has expired")
	}
	b.wait(req.Wait)
	b.fill(reply)
	return nil
}

// Cancel ends sub-requests of a batch and closes the connections on which they run. An unknown token is not an error, because
// the batch may be done. Only the stamp of the reply is set.
func (o *Executor) Cancel(req *messenger.CancelRequest, reply *messenger.CancelReply) error {
	o.recorder.Observe(req.Stamp)
	if b := o.tokens.find(req.Token); b != nil {
		b.drop(req.Subs)
	}
	reply.Stamp = o.recorder.NextStamp()
	return nil
}

func (o *Executor) refuseBatch(req *messenger.SearchRequest) classifier.Code {
	switch _, err := o.checkQuarantine(req.Fingerprint, req.Succeeded); {
	case err != nil:
		return classifier.CodeOf(err)
	case len(req.Subs) > MaxSubRequests || o.batches.Load() >= MaxBatches:
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

func (o *Executor) newBatch(req *messenger.SearchRequest) *batch {
	remaining := min(req.Remaining, MaxRemaining)
	b := &batch{
		o:       o,
		req:     req,
		expires: o.timer.Now().Add(remaining + CollectGrace),
		subs:    make([]sub, len(req.Subs)),
		ready:   make([]int, 0, len(req.Subs)),
		running: len(req.Subs),
		pending: len(req.Subs),
		signal:  make(chan struct{}, 1),
	}
	b.ctx, b.cancel = context.WithTimeout(context.Background(), remaining)
	for i := range b.subs {
		s := &b.subs[i]
		s.spec = req.Subs[i]
		s.ctx, s.cancel = context.WithCancel(b.ctx)
		s.run.fingerprint = req.Fingerprint
	}
	return b
}

func (b *batch) start() {
	b.o.batches.Add(1)
	if len(b.subs) == 0 {
		b.end()
		return
	}
	for i := range b.subs {
		b.o.spawn(job{
			b: b,
			i: i,
		})
	}
}

func (b *batch) end() {
	b.cancel()
	b.o.batches.Add(-1)
}

func (b *batch) runSub(i int) {
	s := &b.subs[i]
	latency, err := b.search(s)
	s.cancel()
	code := classifier.CodeOf(err)
	answer := messenger.SubResponse{
		ID:    s.spec.ID,
		Shard: s.spec.Shard,
		Code:  code,
	}
	switch code {
	case classifier.OK:
		answer.Searched = s.work.answer.Searched
		answer.Total = s.work.answer.Total
		answer.Of = s.work.answer.Held.Of
		answer.Latency = latency
	case classifier.NotOwner:
		answer.Holder = b.o.holder(s.spec.Replica)
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
	if s.dropped {
		return
	}
	s.answer = answer
	b.pending--
	b.ready = append(b.ready, i)
	if b.eager || b.pending == 0 {
		b.notify()
	}
}

func (b *batch) notify() {
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

// wait returns when the reply is due: all are done, d has passed, or, on an eager batch, an answer is ready.
func (b *batch) wait(d time.Duration) {
	if b.due() || d <= 0 {
		return
	}
	sub := b.o.timer.After(d)
	defer sub.Stop()
	for !b.due() {
		select {
		case <-b.signal:
		case <-sub.C:
			return
		}
	}
}

func (b *batch) due() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending == 0 || b.eager && len(b.ready) > 0
}

// fill puts the ready answers and the merged hits into a reply. A batch that is not done gets a token.
func (b *batch) fill(reply *messenger.SearchReply) {
	b.mu.Lock()
	answers := b.ready
	b.ready = nil
	if b.pending > 0 && b.token == 0 {
		b.token = b.o.tokens.add(b)
	}
	if b.pending > 0 && b.token != 0 {
		reply.Pending = b.pendingIDs()
		reply.Token = b.token
		reply.Held = b.holds()
	} else {
		b.o.tokens.remove(b.token)
		answers = append(answers, b.giveUp()...)
	}
	b.eager = true
	b.notify()
	b.mu.Unlock()

	reply.Answers = make([]messenger.SubResponse, len(answers))
	lists := make([][]connector.Hit, 0, len(answers))
	for k, i := range answers {
		s := &b.subs[i]
		reply.Answers[k] = s.answer
		if s.answer.Code == classifier.OK {
			lists = append(lists, s.work.answer.Hits)
		}
	}
	reply.Hits = merge(b.req.Limit, lists)
	reply.Stamp = b.o.recorder.NextStamp()
}

// holds reports whether the entry VM has to hold back the rest of the fan-out.
func (b *batch) holds() bool {
	if !b.req.Canary {
		return false
	}
	now := b.o.timer.Now()
	for i := range b.subs {
		if s := &b.subs[i]; !s.done && !s.dropped && !s.canary.Load().proved(now, b.req.SoftWait) {
			return true
		}
	}
	return false
}

func (b *batch) pendingIDs() []uint32 {
	ids := make([]uint32, 0, b.pending)
	for i := range b.subs {
		if s := &b.subs[i]; !s.done && !s.dropped {
			ids = append(ids, s.spec.ID)
		}
	}
	return ids
}

// drop cancels the sub-requests with the IDs.
func (b *batch) drop(ids []uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		for i := range b.subs {
			if s := &b.subs[i]; s.spec.ID == id && !s.done && !s.dropped {
				s.dropped = true
				b.pending--
				s.cancel()
			}
		}
	}
	if b.pending == 0 {
		b.notify()
	}
}

// giveUp cancels the pending sub-requests of a batch for which there is no token, and returns their indexes.
func (b *batch) giveUp() []int {
	var given []int
	for i := range b.subs {
		s := &b.subs[i]
		if s.done || s.dropped {
			continue
		}
		s.dropped = true
		b.pending--
		s.cancel()
		s.answer = messenger.SubResponse{
			ID:    s.spec.ID,
			Shard: s.spec.Shard,
			Code:  classifier.Cancelled,
		}
		given = append(given, i)
	}
	return given
}

// search runs one sub-request, as a canary if the request asks for it. A canary runs until it ends or the deadline passes, also when
// its entry VM does not need it any more: a crash after its cancellation would not be noticed, and the next equal request, which
// waits for this one, would crash another server.
func (b *batch) search(s *sub) (time.Duration, error) {
	if !b.req.Canary {
		return b.o.sendSearch(s.ctx, b.req, s, false)
	}
	c, err := b.o.canaries.enter(s.ctx, b.req.Fingerprint, &s.run, &s.canary)
	if err != nil {
		return 0, err
	}
	if c == nil {
		return b.o.sendSearch(s.ctx, b.req, s, false)
	}
	s.run.untried = true
	latency, err := b.o.sendSearch(b.ctx, b.req, s, true)
	b.o.canaries.leave(b.req.Fingerprint, c, classifier.CodeOf(err))
	return latency, err
}

// sendSearch sends a sub-request. A suspect's canary runs alone and is cleared by an answer.
func (o *Executor) sendSearch(ctx context.Context, req *messenger.SearchRequest, s *sub, canary bool) (time.Duration, error) {
	suspect, err := o.checkQuarantine(req.Fingerprint, req.Succeeded)
	if err != nil {
		return 0, err
	}
	r, err := o.replica(s.spec.Replica)
	if err != nil {
		return 0, err
	}
	s.work.req = req
	s.work.shard = s.spec.Shard
	t := task{
		fingerprint: req.Fingerprint,
		exclusive:   canary && suspect,
		front:       canary,
	}
	if canary {
		t.trust = MaxCanaryConnIdle
	}
	latency, reused, err := r.attempt(ctx, t, &s.work, &s.run)
	if reused && classifier.CodeOf(err) == classifier.NotSent && ctx.Err() == nil {
		// The server had closed the idle connection; nothing was sent.
		t.trust = MaxOperationConnIdle
		latency, _, err = r.attempt(ctx, t, &s.work, &s.run)
	}
	if err == nil && t.exclusive {
		o.acquit(req.Fingerprint)
	}
	o.observe(req.Application, req.Route, s.spec.Replica, err, latency)
	return latency, err
}

// tokenTable finds batches that are not done by their token.
type tokenTable struct {
	mu sync.Mutex
	// byToken has at most MaxTokens entries.
	byToken map[uint64]*batch
}

// add returns the new token of a batch, or 0 when there is no room. Tokens are random, so that a token of an earlier process
// on the same address finds nothing.
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

// expire drops the tokens of batches that nobody has collected in time.
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
