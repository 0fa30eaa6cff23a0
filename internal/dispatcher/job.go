package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/anvildyke/anvildyke/internal/balancer"
	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/budgeter"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/promoter"
	"github.com/anvildyke/anvildyke/internal/router"
)

// shard is the part of a job that one service answers.
type shard struct {
	service router.Service
	members []discoverer.Endpoint
	// first are servers of a new version that get the first attempt if one of them can take it, nil if there are none.
	first []discoverer.Endpoint
	// tried are the servers that have got the request.
	tried []discoverer.Key
	// running is the number of attempts without an end.
	running int
	// ran is the number of attempts that a server may have run.
	ran int
	// sentAt is when the last attempt began.
	sentAt time.Time
	// failed says that no further attempt is made.
	failed bool
	// last is why the last attempt failed.
	last classifier.Code
	// response is the success, or the last failure with a proof.
	response *fasthttp.Response
	reply    Reply
	done     bool
}

// result is the end of one attempt.
type result struct {
	shard    int
	response *fasthttp.Response
	reply    Reply
	err      error
}

// job is the run of one request.
type job struct {
	d        *Dispatcher
	request  Request
	view     *discoverer.View
	zones    *blackboard.EvacuatedZones
	moving   *blackboard.TrafficShifts
	deadline time.Time
	// ctx ends the attempts.
	ctx    context.Context
	cancel context.CancelFunc

	fanout  *router.Fanout
	shards  []shard
	results chan result
	// running is the number of attempts without an end.
	running int
	// done and failed count the shards with and without a success.
	done   int
	failed int
	// needed is the number of shards of a successful answer.
	needed int
	// hedgeAfter is the age at which an attempt gets a duplicate.
	hedgeAfter time.Duration
	// answerAt is when an answer that has enough shards is sent.
	answerAt time.Time
}

// plan lists the shards of the request.
func (j *job) plan() {
	var services []string
	switch dest := j.request.Route.Destination.(type) {
	case router.Fanout:
		services = dest.Shards
		j.fanout = &dest
	case router.Split:
		services = []string{pick(dest.Services)}
	case router.Single:
		services = []string{dest.Service}
	}
	j.shards = make([]shard, len(services))
	for i, name := range services {
		s := &j.shards[i]
		s.service = j.request.Table.Services[name]
		s.service.Name = name
		s.members = j.usable(name)
		if t, ok := j.moving.ByService[name]; ok {
			s.members, s.first = promoter.SelectServers(t, s.members, rand.Float64(), j.d.o.Timer.Now())
		}
	}
	j.needed = len(services)
	if j.fanout != nil {
		j.needed = j.fanout.MinShards()
	}
	j.results = make(chan result, maxSends*len(services))
	j.hedgeAfter = j.hedgeDelay()
	j.answerAt = j.deadline
	if t := j.request.Route.TargetLatency; t > 0 {
		j.answerAt = earlier(j.deadline, j.request.Arrived.Add(max(t/2, t-j.request.NetworkDelay-answerMargin)))
	}
}

// usable returns the servers of a service that may get the request.
func (j *job) usable(service string) []discoverer.Endpoint {
	all := j.view.ByService[service]
	members := make([]discoverer.Endpoint, 0, len(all))
	for _, m := range all {
		if !j.zones.Contains(m.Zone) && j.request.Route.AllowsRegion(m.Region) {
			members = append(members, m)
		}
	}
	return members
}

const (
	// hedgeLeast keeps duplicates from being sent for ordinary jitter.
	hedgeLeast = 8 * time.Millisecond
	// hedgeTarget is the part of the latency target after which a duplicate is sent at the latest, so that it can still arrive in time.
	hedgeTarget = 0.45
	// pollPeriod is the time between looks for free connections and for servers that can take a due duplicate.
	pollPeriod = 5 * time.Millisecond
)

func (j *job) hedgeDelay() time.Duration {
	d := j.d.o.Balancer.TailLatency(j.request.Route.Name)
	if t := j.request.Route.TargetLatency; t > 0 {
		limit := time.Duration(hedgeTarget * float64(t))
		if d == 0 {
			d = limit
		}
		d = min(d, limit)
	}
	if d == 0 {
		d = defaultHedge
	}
	return max(d, hedgeLeast)
}

// defaultHedge is the delay of duplicates on a route without a target and without answers.
const defaultHedge = 100 * time.Millisecond

// run sends to all shards and returns when the outcome is known.
func (j *job) run(caller context.Context) Outcome {
	now := j.d.o.Timer.Now()
	for i := range j.shards {
		j.d.o.Budgeter.RecordFirstAttempt(j.shards[i].service.Name, now)
	}
	if out := j.hopeless(now); out != nil {
		j.cancel()
		return out
	}
	for i := range j.shards {
		if !j.shards[i].failed {
			j.start(i, now)
		}
	}
	wake := j.d.o.Timer.After(j.next(now).Sub(now))
	defer func() {
		wake.Stop()
	}()
	out := j.outcome(now)
	for out == nil {
		select {
		case r := <-j.results:
			now = j.d.o.Timer.Now()
			j.finish(r, now)
		case <-wake.C:
			now = j.d.o.Timer.Now()
			j.advance(now)
			wake.Stop()
			wake = j.d.o.Timer.After(j.next(now).Sub(now))
		case <-caller.Done():
			j.cancel()
			out = Failure{
				Code: classifier.Cancelled,
			}
			continue
		}
		out = j.outcome(now)
	}
	j.release()
	return out
}

// hopeless gives up the shards without a server that can be reached, and refuses the request at once when too few are left.
func (j *job) hopeless(now time.Time) Outcome {
	listed := 0
	for i := range j.shards {
		s := &j.shards[i]
		if len(s.members) > 0 {
			listed++
		}
		if !j.d.o.Balancer.AnyReachable(s.members) {
			s.failed = true
			s.last = classifier.NoReplica
			j.failed++
		}
	}
	left := len(j.shards) - j.failed
	if left >= j.needed {
		return nil
	}
	out := Failure{
		Code:       classifier.NoReplica,
		RetryAfter: absentRetry,
	}
	if listed >= j.needed {
		out.RetryAfter = unreachableRetry
	}
	j.d.o.Metrics.Refused.Inc()
	j.log(now, "no server").Int("Listed", listed).Int("Reachable", left).Int("Needed", j.needed).Msg("The request was refused because too few shards have a server.")
	return out
}

// unreachableRetry is when callers return after a refusal because servers cannot be reached: another VM may reach them.
const unreachableRetry = 100 * time.Millisecond

// absentRetry is when callers return after a refusal for want of servers: entries that lapsed are back within two seconds.
const absentRetry = 2 * time.Second

// start sends the request to a server of the shard, and reports whether it did.
func (j *job) start(i int, now time.Time) bool {
	m, ok := j.choose(i, now)
	if ok {
		j.send(i, m, now)
	}
	return ok
}

// choose returns the server that gets the next attempt of the shard, and false if none can take it now.
func (j *job) choose(i int, now time.Time) (discoverer.Endpoint, bool) {
	s := &j.shards[i]
	ask := balancer.SelectParams{
		Route:     j.request.Route,
		Service:   s.service,
		Endpoints: s.first,
		Excluded:  s.tried,
		Now:       now,
	}
	if len(s.tried) == 0 && len(s.first) > 0 {
		if m, ok := j.d.o.Balancer.Select(ask); ok {
			return m, true
		}
	}
	ask.Endpoints = s.members
	return j.d.o.Balancer.Select(ask)
}

func (j *job) send(i int, m discoverer.Endpoint, now time.Time) {
	s := &j.shards[i]
	s.tried = append(s.tried, m.Key())
	s.running++
	s.sentAt = now
	j.running++
	a := &attempt{
		job:    j,
		shard:  i,
		member: m,
		flight: j.d.o.Balancer.Begin(m, j.request.Route.Name, now),
	}
	j.d.workers.start(a)
}

// attempt is one send to one server.
type attempt struct {
	job    *job
	shard  int
	member discoverer.Endpoint
	flight *balancer.Attempt
}

func (a *attempt) run() {
	j := a.job
	began := j.d.o.Timer.Now()
	resp, reply, err := j.d.o.Sender.Send(j.ctx, &j.request, a.member, !j.request.Route.Idempotent)
	now := j.d.o.Timer.Now()
	a.flight.End(balancer.AttemptResult{
		Outcome: ending(reply, err),
		Load:    reply.Load,
	}, now)
	r := result{
		shard:    a.shard,
		response: resp,
		reply:    reply,
		err:      err,
	}
	j.d.o.Observer.Observe(a.member.Service, a.member.Version, j.request.Route.Name, r.code(), now.Sub(began))
	j.results <- r
}

func ending(r Reply, err error) balancer.AttemptOutcome {
	if err != nil {
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

// finish takes the end of an attempt and decides about a further one.
func (j *job) finish(r result, now time.Time) {
	j.running--
	s := &j.shards[r.shard]
	s.running--
	notRun := r.reply.NotRun || r.reply.Misdirected || r.err != nil && classifier.CodeOf(r.err) == classifier.NotSent
	if !notRun {
		s.ran++
	}
	if s.done {
		releaseResponse(r.response)
		return
	}
	if r.err == nil && r.reply.Succeeded() {
		releaseResponse(s.response)
		s.response = r.response
		s.reply = r.reply
		s.done = true
		j.done++
		return
	}
	s.last = r.code()
	if r.response != nil && !notRun && j.fanout == nil && r.reply.Signature != "" {
		releaseResponse(s.response)
		s.response = r.response
		s.reply = r.reply
	} else {
		releaseResponse(r.response)
	}
	j.retry(r.shard, notRun, now)
}

func releaseResponse(resp *fasthttp.Response) {
	if resp != nil {
		fasthttp.ReleaseResponse(resp)
	}
}

// code classifies the end of an attempt.
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

// retry sends the request to another server after a failure, or gives the shard up.
func (j *job) retry(i int, notRun bool, now time.Time) {
	s := &j.shards[i]
	if s.running > 0 {
		return
	}
	code := s.last
	if j.mayRepeat(s, notRun) && j.d.o.Budgeter.Allow(s.service.Name, budgeter.Retry, now) {
		if j.start(i, now) {
			j.d.o.Metrics.Retries.Inc()
			j.log(now, "retry").Str("Service", s.service.Name).Stringer("Cause", code).Int("Tried", len(s.tried)).Msg("The request was sent to another server after a failure.")
			return
		}
	}
	s.failed = true
	j.failed++
}

// mayRepeat reports whether the shard may get another attempt after a failure.
func (j *job) mayRepeat(s *shard, notRun bool) bool {
	if !notRun && !j.request.Route.Idempotent {
		return false
	}
	return s.ran+s.running < j.request.Route.MaxAttempts && len(s.tried) < maxSends
}

// maxSends bounds the servers of a shard that a request is offered to, those that refused it included.
const maxSends = 4

// advance sends to shards that found no server before, and duplicates attempts that are late.
func (j *job) advance(now time.Time) {
	var hedged []string
	for i := range j.shards {
		s := &j.shards[i]
		if s.done || s.failed {
			continue
		}
		if len(s.tried) == 0 {
			j.start(i, now)
			continue
		}
		if j.mayHedge(s) && now.Sub(s.sentAt) >= j.hedgeAfter && j.hedge(i, now) {
			hedged = append(hedged, s.service.Name)
		}
	}
	if len(hedged) > 0 {
		j.log(now, "hedge").Strs("Services", hedged[:min(len(hedged), maxNamed)]).Int("Count", len(hedged)).Dur("After", j.hedgeAfter).Msg("Late attempts were duplicated.")
	}
}

// next returns when there is something to decide without the end of an attempt. Attempts that begin before it are not late by then.
func (j *job) next(now time.Time) time.Time {
	at := j.deadline
	if now.Before(j.answerAt) {
		at = earlier(at, j.answerAt)
	}
	for i := range j.shards {
		s := &j.shards[i]
		switch {
		case s.done || s.failed:
		case len(s.tried) == 0:
			at = earlier(at, now.Add(pollPeriod))
		case j.mayHedge(s):
			due := s.sentAt.Add(j.hedgeAfter)
			if !due.After(now) {
				due = now.Add(pollPeriod)
			}
			at = earlier(at, due)
		}
	}
	return at
}

// mayHedge reports whether the attempt of a shard may get a duplicate when it is late.
func (j *job) mayHedge(s *shard) bool {
	return j.request.Route.Idempotent && s.running == 1 && s.ran+s.running < j.request.Route.MaxAttempts && len(s.tried) < maxSends
}

// hedge duplicates the attempt of a shard and reports whether it did.
func (j *job) hedge(i int, now time.Time) bool {
	s := &j.shards[i]
	m, ok := j.choose(i, now)
	if !ok {
		return false
	}
	if !j.d.o.Budgeter.Allow(s.service.Name, budgeter.Hedge, now) {
		j.d.o.Metrics.HedgesDenied.Inc()
		s.sentAt = now
		return false
	}
	j.send(i, m, now)
	j.d.o.Metrics.Hedges.Inc()
	return true
}

// release leaves the attempts that still run to finish on their own: breaking them off would waste the work of the servers and
// the connections.
func (j *job) release() {
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
	l := &leftover{
		job: j,
	}
	go l.run()
}

// leftover waits for attempts whose result is no longer needed.
type leftover struct {
	job *job
}

func (l *leftover) run() {
	defer l.job.cancel()
	for range l.job.running {
		r := <-l.job.results
		releaseResponse(r.response)
	}
}
