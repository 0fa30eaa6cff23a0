package searcher

import (
	"fmt"
	"time"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/planner"
)

// handleReply processes one reply of an owner. Replies to batches of an abandoned snapshot are used only to cancel their
// sub-requests.
func (r *run) handleReply(res result) {
	b := &r.batches[res.batch]
	if b.epoch != r.epoch {
		if res.err == nil && res.reply.Token != 0 {
			b.token = res.reply.Token
			r.markDone(res.reply)
			r.cancelBatch(res.batch)
		}
		return
	}
	b.overdueAt = time.Time{}
	if res.err != nil {
		r.failBatch(res.batch, res.err)
		return
	}
	if res.reply.Token != 0 {
		b.token = res.reply.Token
	}
	epoch, useful := r.epoch, false
	for i := range res.reply.Answers {
		if r.handleAnswer(res.batch, &res.reply.Answers[i]) {
			useful = true
		}
		if r.epoch != epoch {
			return
		}
	}
	if useful {
		r.merger.add(res.reply.Hits)
	}
	switch {
	case len(res.reply.Pending) == 0:
		r.failUnanswered(res.batch)
	case r.awaitingCanary && res.reply.Held:
		b.overdueAt = r.now().Add(CanaryTimeout + b.slack)
		r.scheduleOverdueCheck(b.overdueAt)
		r.hedgeCanary()
	default:
		r.hedgeSlow(res.reply.Pending)
	}
}

// markDone marks the answered attempts of a reply whose hits are not used, so that only the unanswered ones are cancelled.
func (r *run) markDone(reply *messenger.SearchReply) {
	for _, a := range reply.Answers {
		if int(a.ID) < len(r.attempts) {
			r.attempts[a.ID].done = true
		}
	}
}

// failUnanswered fails the sub-requests that are neither answered nor pending at the end of a batch.
func (r *run) failUnanswered(b int) {
	epoch := r.epoch
	for _, id := range r.batches[b].subs {
		if !r.attempts[id].done && r.epoch == epoch {
			r.failAttempt(id, classifier.BadAnswer, nil)
		}
	}
}

// failBatch fails all open sub-requests of a batch whose call returned an error.
func (r *run) failBatch(b int, err error) {
	code := classifier.CodeOf(err)
	owner, epoch := r.batches[b].owner, r.epoch
	for _, id := range r.batches[b].subs {
		a := &r.attempts[id]
		if a.done || r.epoch != epoch {
			continue
		}
		if code == classifier.NotSent {
			r.failAttempt(id, code, r.index.Successor(a.candidate, owner.Name))
			continue
		}
		r.failAttempt(id, code, nil)
	}
}

// handleAnswer processes the outcome of one sub-request. It reports whether the reply may contain hits of the sub-request.
// Duplicate answers and answers of other batches are ignored.
func (r *run) handleAnswer(b int, a *messenger.SubResponse) bool {
	if int(a.ID) >= len(r.attempts) || r.attempts[a.ID].batch != b || r.attempts[a.ID].done {
		return false
	}
	at := &r.attempts[a.ID]
	code := a.Code
	if code == classifier.OK && (a.Shard != at.shard || a.Total < 1 || a.Searched < 0 || a.Searched > a.Total || a.Of != r.shardMap.ShardCount) {
		code = classifier.BadAnswer
	}
	if code != classifier.OK {
		var holder *planner.EntryVM
		if code == classifier.NotOwner && a.Holder != "" && a.Holder != r.batches[b].owner.Name {
			holder = r.index.Member(a.Holder)
		}
		r.failAttempt(a.ID, code, holder)
		return false
	}
	r.window.add(a.Latency)
	r.handleSuccess(at, a)
	return true
}

// handleSuccess updates the shard with an answer. Of several answers for a shard, the one that searched the greatest fraction
// counts.
func (r *run) handleSuccess(at *attempt, a *messenger.SubResponse) {
	at.done = true
	sh := &r.shards[at.shard]
	sh.running--
	if sh.total == 0 || a.Searched*sh.total > sh.searched*a.Total {
		sh.searched, sh.total = a.Searched, a.Total
	}
	if !r.crashed && !r.cached {
		r.cached = true
		r.searcher.succeeded.add(r.req.Fingerprint, r.now())
	}
	if !sh.settled && (sh.searched == sh.total || sh.running == 0) {
		if at.kind == kindHedge {
			r.searcher.counters.HedgeWins.Add(1)
		}
		r.settle(at.shard)
		r.cancelShard(at.shard)
	}
	if r.awaitingCanary {
		r.fanOut()
	}
}

// settle marks a shard as finished, whether it was answered or not.
func (r *run) settle(n int) {
	if !r.shards[n].settled {
		r.shards[n].settled = true
		r.openShards--
	}
}

// cancelShard queues the cancellation of the attempts of a shard that are still running.
func (r *run) cancelShard(n int) {
	if r.shards[n].running == 0 {
		return
	}
	for id := range r.attempts {
		at := &r.attempts[id]
		if at.shard != n || at.done || r.batches[at.batch].epoch != r.epoch {
			continue
		}
		if b := &r.batches[at.batch]; b.token != 0 {
			r.queuedCancels = append(r.queuedCancels, cancellation{
				owner: b.client,
				token: b.token,
				subs:  []uint32{uint32(id)},
			})
		}
	}
}

// failAttempt ends an attempt that was not answered and retries the shard if that is allowed. The holder, if not nil, is an entry
// VM that may hold the same replica.
func (r *run) failAttempt(id uint32, code classifier.Code, holder *planner.EntryVM) {
	at := &r.attempts[id]
	at.done = true
	sh := &r.shards[at.shard]
	sh.running--
	if sh.code == classifier.OK || sh.code.NotRun() {
		sh.code = code
	}
	if code == classifier.Crashed || code == classifier.Quarantined {
		r.stopAfterCrash()
		return
	}
	if sh.settled {
		return
	}
	if sh.total > 0 && sh.running == 0 {
		r.settle(at.shard)
		return
	}
	if code == classifier.SnapshotGone && !at.candidate.Unreported && r.restart() {
		return
	}
	if r.awaitingCanary && !r.suspect && (code.NotRun() || code == classifier.ConnectionReset) {
		r.handleCanaryRefusal(at, code, holder)
		return
	}
	sent := r.retry(at.shard, at.candidate, code, holder)
	if !sent && sh.running == 0 {
		r.settle(at.shard)
	}
	switch {
	case !r.awaitingCanary || sent && code.NotRun():
		// While a suspect request waits for its canary, the attempt at the next owner replaces a canary that certainly did not run.
	case r.suspect && !sent:
		r.settleAll()
	case r.suspect:
	default:
		r.fanOut()
	}
}

// handleCanaryRefusal handles a canary that did not run, or whose connection was reset while it is unknown whether the backend
// server crashed. Neither outcome shows that the request is harmless. A canary that did not run is sent again to the entry VM
// that holds the replica, if that is known. Otherwise the second canary is sent. There is no third placement, because it would
// expose a third backend server to a crash.
func (r *run) handleCanaryRefusal(at *attempt, code classifier.Code, holder *planner.EntryVM) {
	if holder != nil && code.NotRun() && r.shards[at.shard].resends < maxResends {
		r.resend(at.shard, at.candidate, holder)
		return
	}
	r.sendSecondCanary()
}

// stopAfterCrash stops sending sub-requests, because a request that has crashed a backend server must not reach another one.
func (r *run) stopAfterCrash() {
	r.crashed = true
	for _, q := range r.queued {
		r.shards[q.shard].running--
		if r.shards[q.shard].code == classifier.OK {
			r.shards[q.shard].code = classifier.NotSent
		}
	}
	r.queued = r.queued[:0]
	if r.awaitingCanary {
		r.settleAll()
		return
	}
	for n := range r.shards {
		if r.shards[n].running == 0 && !r.shards[n].settled {
			r.settle(n)
		}
	}
}

// settleAll settles all shards. It ends a request whose canary failed.
func (r *run) settleAll() {
	for n := range r.shards {
		r.settle(n)
	}
	r.awaitingCanary = false
}

// causedNoLoad reports whether a failure with the code certainly caused no load on a backend server, so that a repetition needs
// no budget. Otherwise a zone that is taken out of service or a stopped entry VM would exhaust the retry budget within one query.
func causedNoLoad(code classifier.Code) bool {
	switch code {
	case classifier.NotOwner, classifier.ZoneOut, classifier.NotReady, classifier.Draining:
		return true
	default:
		return false
	}
}

// retry queues another attempt for a failed shard, at the given holder or at another replica. It returns false if none was
// queued.
func (r *run) retry(n int, c *planner.Candidate, code classifier.Code, holder *planner.EntryVM) bool {
	sh := &r.shards[n]
	if r.crashed || sh.running > 0 || sh.attempts >= maxAttempts+maxResends {
		return false
	}
	if holder != nil && code == classifier.NotOwner && sh.resends < maxResends {
		return r.resend(n, c, holder)
	}
	if r.suspect && !code.NotRun() || sh.attempts-sh.resends >= maxAttempts {
		return false
	}
	if !code.Retryable() && code != classifier.SnapshotGone {
		return false
	}
	other := r.shardMap.Pick(n, sh.tried, r.rng)
	notSent := code == classifier.NotSent && holder != nil
	if other == nil && notSent && sh.resends < maxResends {
		return r.resend(n, c, holder)
	}
	if other == nil {
		return false
	}
	if (causedNoLoad(code) || notSent) && sh.resends < maxResends {
		return r.resend(n, other, other.Owner)
	}
	if r.suspect || !r.budgets.retry.TryWithdraw() {
		return false
	}
	r.retries++
	r.searcher.counters.Retries.Add(1)
	r.enqueue(n, kindRetry, other, other.Owner)
	return true
}

// resend queues an attempt that no budget limits. It always returns true.
func (r *run) resend(n int, c *planner.Candidate, owner *planner.EntryVM) bool {
	r.shards[n].resends++
	r.resends++
	r.searcher.counters.Resends.Add(1)
	r.enqueue(n, kindResend, c, owner)
	return true
}

// restart abandons the snapshot in favor of a newer one that usable replicas cover at least as well. It returns false if there is
// none, if too little time remains, after maxRestarts restarts or after a crash.
func (r *run) restart() bool {
	now := r.now()
	if r.restarts >= maxRestarts || r.answerBy.Sub(now) < minRestartTime || r.crashed {
		return false
	}
	x := r.searcher.opts.IndexCache.Index(now)
	shardMap := x.ChooseSnapshot(r.req.Application, r.choice, r.shardMap.Snapshot)
	if shardMap == nil || shardMap.CoveredShards*r.shardMap.ShardCount < r.shardMap.CoveredShards*shardMap.ShardCount {
		return false
	}
	abandoned := r.buildResponse(classifier.Timeout)
	r.abandoned = &abandoned
	r.maybeRan = r.maybeRan || !abandoned.Code.NotRun()
	for i := range r.batches {
		if r.batches[i].epoch == r.epoch {
			r.cancelBatch(i)
		}
	}
	r.searcher.counters.Restarts.Add(1)
	r.searcher.record("Restart", r.req.ID, fmt.Sprintf("snapshot %d is no longer available, restarted on snapshot %d", r.shardMap.Snapshot, shardMap.Snapshot))
	r.restarts++
	r.epoch++
	r.index = x
	r.queued = r.queued[:0]
	wasAwaitingCanary := r.awaitingCanary
	r.setShardMap(shardMap)
	if wasAwaitingCanary {
		r.start(shardMap)
		return true
	}
	r.fanOut()
	return true
}

// buildResponse returns the response for the current snapshot, or the one for an abandoned snapshot if that covers more. Shards
// with a running sub-request are reported with openCode unless an earlier attempt may have run.
func (r *run) buildResponse(openCode classifier.Code) Response {
	resp := Response{
		RequestID: r.req.ID,
		Snapshot:  r.shardMap.Snapshot,
		Hits:      r.merger.hits,
		Coverage: Coverage{
			Total: r.shardMap.ShardCount,
		},
	}
	sum, mayHaveRun := 0.0, false
	worst := classifier.OK
	for n := range r.shards {
		sh := &r.shards[n]
		if sh.searched > 0 || sh.total > 0 && sh.searched == sh.total {
			resp.Coverage.Answered++
			sum += float64(sh.searched) / float64(sh.total)
			if sh.searched == sh.total {
				continue
			}
		}
		m := r.missingShard(n, openCode)
		resp.Coverage.Missing = append(resp.Coverage.Missing, m)
		if !m.Code.NotRun() {
			mayHaveRun = true
		}
		if worst == classifier.OK || worst == classifier.NotSent || (worst.NotRun() && !m.Code.NotRun()) {
			worst = m.Code
		}
	}
	resp.Coverage.Fraction = sum / float64(max(1, r.shardMap.ShardCount))
	switch {
	case len(resp.Coverage.Missing) == 0:
		resp.Code = classifier.OK
	case resp.Coverage.Answered > 0:
		resp.Code = classifier.Partial
	case mayHaveRun || !r.maybeRan:
		resp.Code = worst
	default:
		resp.Code = classifier.Timeout
	}
	resp.Message = resp.Code.Description()
	if r.abandoned != nil && r.abandoned.Coverage.Fraction > resp.Coverage.Fraction {
		return *r.abandoned
	}
	return resp
}

func (r *run) missingShard(n int, openCode classifier.Code) MissingShard {
	sh := &r.shards[n]
	m := MissingShard{
		Shard: n,
		Code:  sh.code,
	}
	switch {
	case sh.total > 0 && sh.searched > 0:
		m.Code = classifier.Partial
		m.Reason = fmt.Sprintf("%d of %d parts of the shard were searched.", sh.searched, sh.total)
		return m
	case sh.total > 0:
		m.Code = classifier.BackendFailed
		m.Reason = "No part of the shard was searched."
		return m
	case sh.running > 0 && (sh.code == classifier.OK || sh.code.NotRun()):
		m.Code = openCode
	case sh.code == classifier.OK:
		m.Code = classifier.NotSent
	}
	m.Reason = m.Code.Description()
	return m
}
