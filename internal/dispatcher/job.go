package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/anvildyke/anvildyke/internal/balancer"
	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/budgeter"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/isolator"
	"github.com/anvildyke/anvildyke/internal/promoter"
	"github.com/anvildyke/anvildyke/internal/router"
)

// shard is the state of a job for one service that the request is sent to.
type shard struct {
	service router.Service
	// endpoints are the servers that the request may be sent to, according to the lists of the job.
	endpoints []discoverer.Endpoint
	// preferred are servers of a new version, nil if there are none. One of them gets the first attempt if it is available.
	preferred []discoverer.Endpoint
	// draw decides whether a server of a new version is preferred, 0 to 1. It is the same for all attempts.
	draw float64
	// tried are the servers to which the request has been sent.
	tried []discoverer.Key
	// running is the number of attempts in progress.
	running int
	// maybeRan is the number of finished attempts whose request a server may have run.
	maybeRan int
	// heldUntil is the time before which the first attempt is not made, the zero time if it need not wait.
	heldUntil time.Time
	// sentAt is the start of the last attempt, or the time at which the budget last denied a hedge if that is later.
	sentAt time.Time
	// failed is true if no further attempt will be made.
	failed bool
	// lastCode is the result code of the last failed attempt, or the reason why no attempt was made.
	lastCode classifier.Code
	// response is the successful answer, or the last signed error response if there is no success yet.
	response  *fasthttp.Response
	reply     Reply
	succeeded bool
}

// result is the result of one attempt.
type result struct {
	shard    int
	response *fasthttp.Response
	reply    Reply
	err      error
}

// job executes one request.
type job struct {
	d       *Dispatcher
	request Request
	// view, evacuated and shifts are the lists from which the servers of the shards were determined. They are replaced when they
	// have changed before another attempt: a server may have left since the request arrived.
	view      *discoverer.View
	evacuated *blackboard.EvacuatedZones
	shifts    *blackboard.TrafficShifts
	deadline  time.Time
	// fingerprint identifies requests with the same contents.
	fingerprint fingerprint
	// ctx bounds the attempts.
	ctx    context.Context
	cancel context.CancelFunc

	fanout  *router.Fanout
	shards  []shard
	results chan result
	// running is the number of attempts in progress over all shards.
	running int
	// succeeded and failed are the numbers of shards that have ended with and without a successful answer.
	succeeded int
	failed    int
	// minShards is the number of shards that a successful answer requires.
	minShards int
	// hedgeAfter is the age at which an attempt is hedged.
	hedgeAfter time.Duration
	// partialAnswerAt is the time from which an answer with at least minShards shards is returned without waiting for the others.
	partialAnswerAt time.Time
}

// plan determines the shards of the request, their servers and the times of hedges and of a partial answer.
func (j *job) plan() {
	var services []string
	switch dest := j.request.Route.Destination.(type) {
	case router.Fanout:
		services = dest.Shards
		j.fanout = &dest
	case router.Split:
		services = []string{pickWeighted(dest.Services)}
	case router.Single:
		services = []string{dest.Service}
	}
	j.shards = make([]shard, len(services))
	for i, name := range services {
		s := &j.shards[i]
		s.service = j.request.Table.Services[name]
		s.service.Name = name
		s.draw = rand.Float64()
	}
	j.readLists()
	j.minShards = len(services)
	if j.fanout != nil {
		j.minShards = j.fanout.MinShards()
	}
	j.results = make(chan result, maxServersTried*len(services))
	j.hedgeAfter = j.hedgeDelay()
	j.partialAnswerAt = j.deadline
	if t := j.request.Route.TargetLatency; t > 0 {
		j.partialAnswerAt = earlier(j.deadline, j.request.Arrived.Add(max(t/2, t-j.request.NetworkDelay-answerMargin)))
	}
}

// readLists determines the servers of the shards that have not ended.
func (j *job) readLists() {
	board := j.d.o.Board
	j.view, j.evacuated, j.shifts = board.Servers.Read(), board.EvacuatedZones.Read(), board.TrafficShifts.Read()
	for i := range j.shards {
		s := &j.shards[i]
		if s.succeeded || s.failed {
			continue
		}
		s.endpoints, s.preferred = j.eligibleEndpoints(s.service.Name), nil
		if shift, ok := j.shifts.ByService[s.service.Name]; ok {
			s.endpoints, s.preferred = promoter.SelectServers(shift, s.endpoints, s.draw, j.d.o.Timer.Now())
		}
	}
}

// refreshLists determines the servers again if a list has changed.
func (j *job) refreshLists() {
	board := j.d.o.Board
	if j.view != board.Servers.Read() || j.evacuated != board.EvacuatedZones.Read() || j.shifts != board.TrafficShifts.Read() {
		j.readLists()
	}
}

// eligibleEndpoints returns the servers of a service in zones that are not evacuated and in regions that the route allows.
func (j *job) eligibleEndpoints(service string) []discoverer.Endpoint {
	all := j.view.ByService[service]
	endpoints := make([]discoverer.Endpoint, 0, len(all))
	for _, e := range all {
		if !j.evacuated.Contains(e.Zone) && j.request.Route.AllowsRegion(e.Region) {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

const (
	// minHedgeDelay prevents hedges that are caused by ordinary jitter.
	minHedgeDelay = 8 * time.Millisecond
	// maxHedgeTargetFraction limits the hedge delay to a fraction of the target latency, so that the answer to a hedge can still
	// arrive within the target.
	maxHedgeTargetFraction = 0.45
	// pollInterval is the time between two checks for free connections and for servers that are available for a pending hedge.
	pollInterval = 5 * time.Millisecond
)

func (j *job) hedgeDelay() time.Duration {
	d := j.d.o.Balancer.TailLatency(j.request.Route.Name)
	if t := j.request.Route.TargetLatency; t > 0 {
		limit := time.Duration(maxHedgeTargetFraction * float64(t))
		if d == 0 {
			d = limit
		}
		d = min(d, limit)
	}
	if d == 0 {
		d = defaultHedgeDelay
	}
	return max(d, minHedgeDelay)
}

// defaultHedgeDelay applies to routes that have neither a target latency nor measured latencies.
const defaultHedgeDelay = 100 * time.Millisecond

// run sends the request to all shards and returns when the outcome is known.
func (j *job) run(caller context.Context) Outcome {
	now := j.d.o.Timer.Now()
	for i := range j.shards {
		j.d.o.Budgeter.RecordFirstAttempt(j.shards[i].service.Name, now)
	}
	if out := j.failFast(now); out != nil {
		j.cancel()
		return out
	}
	for i := range j.shards {
		if s := &j.shards[i]; !s.failed && s.heldUntil.IsZero() {
			j.start(i, now)
		}
	}
	wake := j.d.o.Timer.After(j.nextWakeup(now).Sub(now))
	defer func() {
		wake.Stop()
	}()
	out := j.outcome(now)
	for out == nil {
		select {
		case r := <-j.results:
			now = j.d.o.Timer.Now()
			j.handleResult(r, now)
		case <-wake.C:
			now = j.d.o.Timer.Now()
			j.startDue(now)
			wake.Stop()
			wake = j.d.o.Timer.After(j.nextWakeup(now).Sub(now))
		case <-caller.Done():
			now = j.d.o.Timer.Now()
			out = j.cancelledOutcome(context.Cause(caller), now)
			j.cancel()
			continue
		}
		out = j.outcome(now)
	}
	j.cleanUp()
	return out
}

// subject identifies the request for the service of a shard in the isolator.
func (j *job) subject(s *shard) isolator.Subject {
	return isolator.NewSubject(s.service.Name, j.fingerprint.of(j.request.Header, j.request.Body))
}

// admission returns how many servers the request may be sent to for a shard. It has to be called once for each shard.
func (j *job) admission(s *shard, now time.Time) isolator.Admission {
	if !j.d.o.Isolator.Active() {
		return isolator.Free{}
	}
	return j.d.o.Isolator.Admit(j.subject(s), now)
}

// maxSuspectHold limits the random time for which a request that has crashed servers is held. It is several times as long as the report of a
// crash takes to reach all VMs, so that of equal requests that arrive at many VMs at once most are refused once the first has crashed another
// server.
const maxSuspectHold = time.Second

// failFast marks the shards without a server that may get requests as failed. It returns a Failure if too few shards remain, and
// nil otherwise.
func (j *job) failFast(now time.Time) Outcome {
	listed, isolated := 0, 0
	var isolatedUntil time.Time
	for i := range j.shards {
		s := &j.shards[i]
		if len(s.endpoints) > 0 {
			listed++
		}
		switch a := j.admission(s, now).(type) {
		case isolator.Refused:
			s.failed = true
			s.lastCode = classifier.Isolated
			j.failed++
			isolated++
			isolatedUntil = a.Until
			continue
		case isolator.Single:
			s.heldUntil = now.Add(rand.N(min(maxSuspectHold, max(1, j.deadline.Sub(now)/2))))
		}
		j.failIfUnavailable(s, now)
	}
	reachable := len(j.shards) - j.failed
	if reachable >= j.minShards {
		return nil
	}
	if len(j.shards)-isolated < j.minShards {
		j.d.o.Metrics.Refused.Inc()
		j.logDecision(now, "refused").Stringer("Code", classifier.Isolated).Int("Isolated", isolated).Time("Until", isolatedUntil).Msg("The request was refused because equal ones crashed backend servers.")
		return Failure{
			Code:       classifier.Isolated,
			RetryAfter: isolatedUntil.Sub(now),
		}
	}
	out := Failure{
		Code:       classifier.NoReplica,
		RetryAfter: noServerRetryAfter,
	}
	if listed >= j.minShards {
		out.RetryAfter = j.retryAfter(unreachableRetryAfter, now)
	}
	j.d.o.Metrics.Refused.Inc()
	j.logDecision(now, "no server").Int("Listed", listed).Int("Reachable", reachable).Int("Needed", j.minShards).Msg("The request failed because too few shards have a reachable server.")
	return out
}

// failIfUnavailable marks the shard as failed if all of its servers are unreachable, have left or want no requests for some
// time.
func (j *job) failIfUnavailable(s *shard, now time.Time) {
	wait, ok := j.d.o.Balancer.Wait(s.endpoints, now)
	if ok && wait == 0 {
		return
	}
	s.failed = true
	s.lastCode = classifier.NoReplica
	if ok {
		s.lastCode = classifier.Shed
	}
	j.failed++
}

// retryAfter returns the time until enough shards have a server that accepts requests, at least minDelay. Servers that are
// unreachable for this VM may answer another one, to which the caller's next attempt may go.
func (j *job) retryAfter(minDelay time.Duration, now time.Time) time.Duration {
	waits := make([]time.Duration, 0, len(j.shards))
	for i := range j.shards {
		if wait, ok := j.d.o.Balancer.Wait(j.shards[i].endpoints, now); ok {
			waits = append(waits, wait)
		}
	}
	if len(waits) < j.minShards || j.minShards == 0 {
		return minDelay
	}
	slices.Sort(waits)
	return max(minDelay, waits[j.minShards-1])
}

// unreachableRetryAfter is short because another VM may be able to reach the servers.
const unreachableRetryAfter = 100 * time.Millisecond

// noServerRetryAfter allows for lapsed entries of servers, which are registered again within 2 s.
const noServerRetryAfter = 2 * time.Second

// start sends the request to a server of the shard and reports whether one was available.
func (j *job) start(i int, now time.Time) bool {
	e, ok := j.selectEndpoint(i, now)
	if ok {
		j.send(i, e, now)
	}
	return ok
}

// selectEndpoint returns the server for the next attempt of the shard, and false if none is available.
func (j *job) selectEndpoint(i int, now time.Time) (discoverer.Endpoint, bool) {
	s := &j.shards[i]
	params := balancer.SelectParams{
		Route:     j.request.Route,
		Service:   s.service,
		Endpoints: s.preferred,
		Excluded:  s.tried,
		Now:       now,
	}
	if len(s.tried) == 0 && len(s.preferred) > 0 {
		if e, ok := j.d.o.Balancer.Select(params); ok {
			return e, true
		}
	}
	params.Endpoints = s.endpoints
	return j.d.o.Balancer.Select(params)
}

func (j *job) send(i int, e discoverer.Endpoint, now time.Time) {
	s := &j.shards[i]
	s.tried = append(s.tried, e.Key())
	s.running++
	s.sentAt = now
	j.running++
	a := &attempt{
		job:             j,
		shard:           i,
		endpoint:        e,
		balancerAttempt: j.d.o.Balancer.Begin(e, j.request.Route.Name, now),
	}
	j.d.workers.start(a)
}

// attempt is one request to one server.
type attempt struct {
	job             *job
	shard           int
	endpoint        discoverer.Endpoint
	balancerAttempt *balancer.Attempt
}

func (a *attempt) run() {
	j := a.job
	startedAt := j.d.o.Timer.Now()
	resp, reply, err := a.send()
	now := j.d.o.Timer.Now()
	a.recordSurvival(startedAt, now, reply, err)
	a.balancerAttempt.End(balancer.AttemptResult{
		Outcome:    attemptOutcome(reply, err),
		Load:       reply.Load,
		Leaving:    reply.Leaving,
		RetryAfter: reply.RetryAfter,
	}, now)
	r := result{
		shard:    a.shard,
		response: resp,
		reply:    reply,
		err:      err,
	}
	j.d.o.Observer.Observe(a.endpoint.Service, a.endpoint.Version, j.request.Route.Name, r.code(), now.Sub(startedAt))
	j.results <- r
}

// recordSurvival records whether the server has survived the request, if that is known. Only a success shows that it has: a server in
// trouble may answer with a failure before it begins to run a request, whatever the status. It runs before the result is delivered, so
// that the job sees it in its next decision.
func (a *attempt) recordSurvival(startedAt, now time.Time, reply Reply, err error) {
	j := a.job
	s := &j.shards[a.shard]
	switch {
	case err == nil && reply.Succeeded():
		if j.d.o.Isolator.Active() {
			j.d.o.Isolator.RecordSurvival(j.subject(s), isolator.Answer{
				Request: j.request.ID,
				Server:  a.endpoint.ID,
				Status:  reply.Status,
			}, now)
		}
	case classifier.CodeOf(err) == classifier.ConnectionReset:
		j.d.o.Checker.ConnectionBroke(a.endpoint.Server, isolator.Crash{
			Subject: j.subject(s),
			Request: j.request.ID,
			Began:   startedAt,
			At:      now,
		})
	}
}

// send sends the request. A panic fails the attempt only; the server may have run the request then.
func (a *attempt) send() (resp *fasthttp.Response, reply Reply, err error) {
	j := a.job
	defer func() {
		if v := recover(); v != nil {
			// The lists that logDecision reports belong to the goroutine of the job.
			j.d.o.Log.Error().Str("Request", j.request.ID).Str("Decision", "panic").Str("Route", j.request.Route.Name).Str("Server", a.endpoint.ID).
				Str("Fault", fmt.Sprint(v)).Bytes("Stack", debug.Stack()).Msg("An attempt panicked.")
			resp, reply, err = nil, Reply{}, classifier.Errorf(classifier.OutcomeUnknown, "the attempt panicked: %v", v)
		}
	}()
	return j.d.o.Sender.Send(j.ctx, &j.request, a.endpoint, !j.request.Route.Idempotent)
}

// attemptOutcome returns the outcome for the balancer. A connection that this VM could not open for lack of descriptors or ports says
// nothing about the server.
func attemptOutcome(r Reply, err error) balancer.AttemptOutcome {
	if err != nil {
		if connector.IsLocalScarcity(err) {
			return balancer.Cancelled
		}
		switch classifier.CodeOf(err) {
		case classifier.NotSent:
			return balancer.Unreachable
		case classifier.Timeout:
			return balancer.TimedOut
		case classifier.Cancelled:
			return balancer.Cancelled
		default:
			return balancer.Failed
		}
	}
	switch {
	case r.Misdirected:
		return balancer.Misdirected
	case r.NotRun:
		return balancer.Overloaded
	case r.Succeeded():
		return balancer.Answered
	default:
		return balancer.Failed
	}
}

// handleResult updates the shard with the result of an attempt and retries if the attempt failed.
func (j *job) handleResult(r result, now time.Time) {
	j.running--
	s := &j.shards[r.shard]
	s.running--
	notRun := r.reply.NotRun || r.reply.Misdirected || r.err != nil && classifier.CodeOf(r.err) == classifier.NotSent
	if !notRun {
		s.maybeRan++
	}
	if s.succeeded {
		releaseResponse(r.response)
		return
	}
	if r.err == nil && r.reply.Succeeded() {
		releaseResponse(s.response)
		s.response = r.response
		s.reply = r.reply
		s.succeeded = true
		j.succeeded++
		return
	}
	s.lastCode = r.code()
	if r.response != nil && !notRun && j.fanout == nil && r.reply.Signature != "" && !promisesNotRun(r.reply.Status) {
		releaseResponse(s.response)
		s.response = r.response
		s.reply = r.reply
	} else {
		releaseResponse(r.response)
	}
	j.retryOrFail(r.shard, notRun, now)
}

// promisesNotRun reports whether callers take an answer with the status as a promise that the request has not run and never will. A
// server that answers so without stating that it has not run the request makes no such promise.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func releaseResponse(resp *fasthttp.Response) {
	if resp != nil {
		fasthttp.ReleaseResponse(resp)
	}
}

func (r result) code() classifier.Code {
	switch {
	case r.err != nil:
		return classifier.CodeOf(r.err)
	case r.reply.Succeeded():
		return classifier.OK
	case r.reply.Misdirected:
		return classifier.NoReplica
	case r.reply.NotRun:
		return classifier.Shed
	default:
		return classifier.BackendFailed
	}
}

// retryOrFail sends the request to another server after a failed attempt, or marks the shard as failed. It does nothing
// while another attempt of the shard is in progress.
func (j *job) retryOrFail(i int, notRun bool, now time.Time) {
	s := &j.shards[i]
	if s.running > 0 {
		return
	}
	code := s.lastCode
	j.refreshLists()
	if j.canRetry(s, notRun) && j.mayRepeat(s, now) && j.d.o.Budgeter.Allow(s.service.Name, budgeter.Retry, now) {
		if j.start(i, now) {
			j.d.o.Metrics.Retries.Inc()
			j.logDecision(now, "retry").Str("Service", s.service.Name).Stringer("Cause", code).Int("Tried", len(s.tried)).Msg("The request was retried on another server after a failed attempt.")
			return
		}
	}
	s.failed = true
	j.failed++
}

// canRetry reports whether the route allows another attempt after a failed one. A request that is not idempotent is repeated only
// if notRun is set.
func (j *job) canRetry(s *shard, notRun bool) bool {
	if !notRun && !j.request.Route.Idempotent {
		return false
	}
	return s.maybeRan+s.running < j.request.Route.MaxAttempts && len(s.tried) < maxServersTried
}

// mayRepeat reports whether the request may be sent to another server of the shard as far as crashes of servers are concerned.
func (j *job) mayRepeat(s *shard, now time.Time) bool {
	return !j.d.o.Isolator.Active() || j.d.o.Isolator.MayRepeat(j.subject(s), now)
}

// maxServersTried limits the servers per shard that a request is sent to. Unlike Route.MaxAttempts, it counts the servers that
// rejected the request without running it.
const maxServersTried = 4

// startDue starts the attempts of shards for which no server was available before, and hedges late attempts.
func (j *job) startDue(now time.Time) {
	j.refreshLists()
	var hedged []string
	for i := range j.shards {
		s := &j.shards[i]
		if s.succeeded || s.failed {
			continue
		}
		if len(s.tried) == 0 {
			switch {
			case j.d.o.Isolator.Active() && j.d.o.Isolator.IsIsolated(j.subject(s), now):
				s.failed = true
				s.lastCode = classifier.Isolated
				j.failed++
			case now.Before(s.heldUntil):
			case !j.start(i, now):
				j.failIfUnavailable(s, now)
			}
			continue
		}
		if j.canHedge(s) && now.Sub(s.sentAt) >= j.hedgeAfter && j.hedge(i, now) {
			hedged = append(hedged, s.service.Name)
		}
	}
	if len(hedged) > 0 {
		j.logDecision(now, "hedge").Strs("Services", hedged[:min(len(hedged), maxLogged)]).Int("Count", len(hedged)).Dur("After", j.hedgeAfter).Msg("Hedges were sent for late attempts.")
	}
}

// nextWakeup returns the next time at which startDue or outcome has something to decide even if no attempt ends. Attempts that
// start before that time need no earlier wakeup, because their hedges are due later.
func (j *job) nextWakeup(now time.Time) time.Time {
	wakeAt := j.deadline
	if now.Before(j.partialAnswerAt) {
		wakeAt = earlier(wakeAt, j.partialAnswerAt)
	}
	for i := range j.shards {
		s := &j.shards[i]
		switch {
		case s.succeeded || s.failed:
		case len(s.tried) == 0:
			wakeAt = earlier(wakeAt, now.Add(pollInterval))
		case j.canHedge(s):
			hedgeAt := s.sentAt.Add(j.hedgeAfter)
			if !hedgeAt.After(now) {
				hedgeAt = now.Add(pollInterval)
			}
			wakeAt = earlier(wakeAt, hedgeAt)
		}
	}
	return wakeAt
}

// canHedge reports whether the route allows a hedge of the shard's running attempt.
func (j *job) canHedge(s *shard) bool {
	return j.request.Route.Idempotent && s.running == 1 && s.maybeRan+s.running < j.request.Route.MaxAttempts && len(s.tried) < maxServersTried
}

// hedge sends a hedge for the shard's running attempt and reports whether it did.
func (j *job) hedge(i int, now time.Time) bool {
	s := &j.shards[i]
	e, ok := j.selectEndpoint(i, now)
	if !ok || !j.mayRepeat(s, now) {
		return false
	}
	if !j.d.o.Budgeter.Allow(s.service.Name, budgeter.Hedge, now) {
		j.d.o.Metrics.HedgesDenied.Inc()
		s.sentAt = now
		return false
	}
	j.send(i, e, now)
	j.d.o.Metrics.Hedges.Inc()
	return true
}

// cleanUp releases the responses that are no longer used. Running attempts are left to finish: cancelling them would waste the
// work of the servers and close the connections.
func (j *job) cleanUp() {
	for i := range j.shards {
		if j.shards[i].response != nil && j.fanout != nil {
			releaseResponse(j.shards[i].response)
			j.shards[i].response = nil
		}
	}
	if j.running == 0 {
		j.cancel()
		return
	}
	d := &resultDrainer{
		job: j,
	}
	go d.run()
}

// resultDrainer receives the results of attempts that outlive their job and releases the responses.
type resultDrainer struct {
	job *job
}

func (d *resultDrainer) run() {
	defer d.job.cancel()
	for range d.job.running {
		r := <-d.job.results
		releaseResponse(r.response)
	}
}
