package searcher

import (
	"fmt"
	"time"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/planner"
)

// handle takes one reply of an owner.
func (r *run) handle(res result) {
	b := &r.batches[res.batch]
	if b.epoch != r.epoch {
		if res.err == nil && res.reply.Token != 0 {
			b.token = res.reply.Token
			r.markDone(res.reply)
			r.cancelBatch(res.batch)
		}
		return
	}
	b.overdue = time.Time{}
	if res.err != nil {
		r.fail(res.batch, res.err)
		return
	}
	if res.reply.Token != 0 {
		b.token = res.reply.Token
	}
	epoch, useful := r.epoch, false
	for i := range res.reply.Answers {
		if r.answer(res.batch, &res.reply.Answers[i]) {
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
		r.lost(res.batch)
	case r.held && res.reply.Held:
		b.overdue = r.now().Add(CanaryTimeout + b.slack)
		r.wakeBy(b.overdue)
		r.hedgeCanary()
	default:
		r.slow(res.reply.Pending)
	}
}

// markDone closes the attempts of an abandoned snapshot, so that only the open ones are cancelled.
func (r *run) markDone(reply *messenger.SearchReply) {
	for _, a := range reply.Answers {
		if int(a.ID) < len(r.attempts) {
			r.attempts[a.ID].done = true
		}
	}
}

// lost fails the sub-requests that a batch without pending ones has not answered.
func (r *run) lost(b int) {
	epoch := r.epoch
	for _, id := range r.batches[b].subs {
		if !r.attempts[id].done && r.epoch == epoch {
			r.failed(id, classifier.BadAnswer, nil)
		}
	}
}

// fail ends all open sub-requests of a batch whose call failed.
func (r *run) fail(b int, err error) {
	code := classifier.CodeOf(err)
	owner, epoch := r.batches[b].owner, r.epoch
	for _, id := range r.batches[b].subs {
		a := &r.attempts[id]
		if a.done || r.epoch != epoch {
			continue
		}
		if code == classifier.NotSent {
			r.failed(id, code, r.index.Successor(a.candidate, owner.Name))
			continue
		}
		r.failed(id, code, nil)
	}
}

// answer takes the outcome of one sub-request. It reports whether hits may belong to it.
func (r *run) answer(b int, a *messenger.SubResponse) bool {
	if int(a.ID) >= len(r.attempts) || r.attempts[a.ID].batch != b || r.attempts[a.ID].done {
		return false
	}
	at := &r.attempts[a.ID]
	code := a.Code
	if code == classifier.OK && (a.Shard != at.shard || a.Total < 1 || a.Searched < 0 || a.Searched > a.Total || a.Of != r.view.ShardCount) {
		code = classifier.BadAnswer
	}
	if code != classifier.OK {
		var holder *planner.EntryVM
		if code == classifier.NotOwner && a.Holder != "" && a.Holder != r.batches[b].owner.Name {
			holder = r.index.Member(a.Holder)
		}
		r.failed(a.ID, code, holder)
		return false
	}
	r.window.add(a.Latency)
	r.succeed(at, a)
	return true
}

// succeed counts an answer. The shard keeps the best fraction of all its answers.
func (r *run) succeed(at *attempt, a *messenger.SubResponse) {
	at.done = true
	sh := &r.shards[at.shard]
	sh.running--
	if sh.total == 0 || a.Searched*sh.total > sh.searched*a.Total {
		sh.searched, sh.total = a.Searched, a.Total
	}
	if !r.crashed && !r.noted {
		r.noted = true
		r.s.seen.add(r.req.Fingerprint, r.now())
	}
	if !sh.settled && (sh.searched == sh.total || sh.running == 0) {
		if at.kind == kindHedge {
			r.s.counters.HedgeWins.Add(1)
		}
		r.settle(at.shard)
		r.cancelShard(at.shard)
	}
	if r.held {
		r.fanOut()
	}
}

// settle ends a shard, answered or not.
func (r *run) settle(n int) {
	if !r.shards[n].settled {
		r.shards[n].settled = true
		r.left--
	}
}

// cancelShard notes the cancellation of the slower attempts of a shard.
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
			r.cancels = append(r.cancels, cancellation{
				owner: b.caller,
				token: b.token,
				subs:  []uint32{uint32(id)},
			})
		}
	}
}

// failed ends an attempt without an answer and sends the shard elsewhere if that is allowed. The owner, if not nil, is one
// that may hold the same replica.
func (r *run) failed(id uint32, code classifier.Code, owner *planner.EntryVM) {
	at := &r.attempts[id]
	at.done = true
	sh := &r.shards[at.shard]
	sh.running--
	if sh.code == classifier.OK || sh.code.NotRun() {
		sh.code = code
	}
	if code == classifier.Crashed || code == classifier.Quarantined {
		r.crash()
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
	if r.held && !r.suspect && (code.NotRun() || code == classifier.ConnectionReset) {
		r.refuseCanary(at, code, owner)
		return
	}
	sent := r.again(at.shard, at.candidate, code, owner)
	if !sent && sh.running == 0 {
		r.settle(at.shard)
	}
	switch {
	case !r.held || sent && code.NotRun():
		// A suspect's canary that certainly did not run stays the canary at its next owner.
	case r.suspect && !sent:
		r.giveUp()
	case r.suspect:
	default:
		r.fanOut()
	}
}

// refuseCanary handles a canary that did not run, or whose connection broke while nobody knows whether the server crashed. Neither
// proves the request harmless. The canary goes on at the owner, if one is known that holds the replica now, else at the second
// place: a third one would be a third server that the request can crash.
func (r *run) refuseCanary(at *attempt, code classifier.Code, owner *planner.EntryVM) {
	if owner != nil && code.NotRun() && r.shards[at.shard].redirects < maxRedirects {
		r.resend(at.shard, at.candidate, owner)
		return
	}
	r.moveCanary()
}

// crash stops all further sending: a request that crashes a backend server must not reach another one.
func (r *run) crash() {
	r.crashed = true
	for _, l := range r.pending {
		r.shards[l.shard].running--
		if r.shards[l.shard].code == classifier.OK {
			r.shards[l.shard].code = classifier.NotSent
		}
	}
	r.pending = r.pending[:0]
	if r.held {
		r.giveUp()
		return
	}
	for n := range r.shards {
		if r.shards[n].running == 0 && !r.shards[n].settled {
			r.settle(n)
		}
	}
}

// giveUp ends a request whose canary failed.
func (r *run) giveUp() {
	for n := range r.shards {
		r.settle(n)
	}
	r.held = false
}

// free reports whether a failure certainly put no load on a backend server, so that sending again needs no budget. Without
// this a zone taken out of service or a stopped entry VM would use up the retry budget within one query.
func free(code classifier.Code) bool {
	switch code {
	case classifier.NotOwner, classifier.ZoneOut, classifier.NotReady, classifier.Draining:
		return true
	default:
		return false
	}
}

// again sends a failed shard to the named owner or to another replica. It returns false when nothing was sent.
func (r *run) again(n int, c *planner.Candidate, code classifier.Code, owner *planner.EntryVM) bool {
	sh := &r.shards[n]
	if r.crashed || sh.running > 0 || sh.tries >= maxAttempts+maxRedirects {
		return false
	}
	if owner != nil && code == classifier.NotOwner && sh.redirects < maxRedirects {
		return r.resend(n, c, owner)
	}
	if r.suspect && !code.NotRun() || sh.tries-sh.redirects >= maxAttempts {
		return false
	}
	if !code.Retryable() && code != classifier.SnapshotGone {
		return false
	}
	other := r.view.Pick(n, sh.tried, r.rng)
	notSent := code == classifier.NotSent && owner != nil
	if other == nil && notSent && sh.redirects < maxRedirects {
		return r.resend(n, c, owner)
	}
	if other == nil {
		return false
	}
	if (free(code) || notSent) && sh.redirects < maxRedirects {
		return r.resend(n, other, other.Owner)
	}
	if r.suspect || !r.budgets.retry.TryWithdraw() {
		return false
	}
	r.retries++
	r.s.counters.Retries.Add(1)
	r.add(n, kindRetry, other, other.Owner)
	return true
}

// resend sends without a budget.
func (r *run) resend(n int, c *planner.Candidate, owner *planner.EntryVM) bool {
	r.shards[n].redirects++
	r.resends++
	r.s.counters.Resends.Add(1)
	r.add(n, kindResend, c, owner)
	return true
}

// restart abandons the snapshot for a newer one that usable replicas cover as well. It returns false when there is none or
// too little time remains.
func (r *run) restart() bool {
	now := r.now()
	if r.restarts >= maxRestarts || r.until.Sub(now) < restartReserve || r.crashed {
		return false
	}
	x := r.s.opts.PlanCache.Index(now)
	view := x.ChooseSnapshot(r.req.Application, r.choice, r.view.Snapshot)
	if view == nil || view.CoveredShards*r.view.ShardCount < r.view.CoveredShards*view.ShardCount {
		return false
	}
	abandoned := r.respond(classifier.Timeout)
	r.earlier = &abandoned
	r.maybeRan = r.maybeRan || !abandoned.Code.NotRun()
	for i := range r.batches {
		if r.batches[i].epoch == r.epoch {
			r.cancelBatch(i)
		}
	}
	r.s.counters.Restarts.Add(1)
	r.s.record("Restart", r.req.ID, fmt.Sprintf("snapshot %d is gone, now %d", r.view.Snapshot, view.Snapshot))
	r.restarts++
	r.epoch++
	r.index = x
	r.pending = r.pending[:0]
	held := r.held
	r.adopt(view)
	if held {
		r.start(view)
		return true
	}
	r.fanOut()
	return true
}

// respond builds the response of the current snapshot, or returns that of an abandoned one which covers more. Shards that
// still run get the code.
func (r *run) respond(open classifier.Code) Response {
	resp := Response{
		RequestID: r.req.ID,
		Snapshot:  r.view.Snapshot,
		Hits:      r.merger.hits,
		Coverage: Coverage{
			Total: r.view.ShardCount,
		},
	}
	sum, ran := 0.0, false
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
		m := r.missing(n, open)
		resp.Coverage.Missing = append(resp.Coverage.Missing, m)
		if !m.Code.NotRun() {
			ran = true
		}
		if worst == classifier.OK || worst == classifier.NotSent || (worst.NotRun() && !m.Code.NotRun()) {
			worst = m.Code
		}
	}
	resp.Coverage.Fraction = sum / float64(max(1, r.view.ShardCount))
	switch {
	case len(resp.Coverage.Missing) == 0:
		resp.Code = classifier.OK
	case resp.Coverage.Answered > 0:
		resp.Code = classifier.Partial
	case ran || !r.maybeRan:
		resp.Code = worst
	default:
		resp.Code = classifier.Timeout
	}
	resp.Message = resp.Code.Description()
	if r.earlier != nil && r.earlier.Coverage.Fraction > resp.Coverage.Fraction {
		return *r.earlier
	}
	return resp
}

func (r *run) missing(n int, open classifier.Code) MissingShard {
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
		m.Code = open
	case sh.code == classifier.OK:
		m.Code = classifier.NotSent
	}
	m.Reason = m.Code.Description()
	return m
}
