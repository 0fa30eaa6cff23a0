package executor

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/limiter"
)

const (
	// PollInterval is the mean time between status polls of a replica.
	PollInterval = time.Second
	// PollJitter is the maximum deviation from PollInterval. It spreads out the polls of many replicas.
	PollJitter = 200 * time.Millisecond
	// PollTimeout is the maximum duration of a status poll.
	PollTimeout = time.Second
)

// maybePoll starts a status poll when one is due.
func (r *replica) maybePoll(ctx context.Context, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.polling {
		return
	}
	if r.ramp.State() == blackboard.ReplicaDown {
		if !r.ramp.ProbeDue(now) {
			return
		}
	} else if now.Before(r.pollAt) {
		return
	}
	r.polling = true
	r.pollAt = now.Add(PollInterval - PollJitter + rand.N(2*PollJitter))
	r.executor.runningPolls.Add(1)
	go r.runPoll(ctx)
}

func (r *replica) runPoll(ctx context.Context) {
	defer r.executor.runningPolls.Done()
	ctx, cancel := context.WithTimeout(ctx, PollTimeout)
	defer cancel()
	r.poll(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.polling = false
}

func (r *replica) poll(ctx context.Context) {
	lim, err := r.currentLimits(r.executor.timer.Now())
	if err != nil {
		return
	}
	// When requests may use all connections, the poll has to wait for a slot like a request, because no connection is reserved
	// for it.
	if state := r.ramp.State(); lim.connections <= lim.slots && (state == blackboard.ReplicaWarm || state == blackboard.ReplicaCold) {
		if err := r.semaphore.Acquire(ctx, false); err != nil {
			return
		}
		defer r.semaphore.Release()
	}
	// The server may have closed an idle connection, so a poll that failed on a reused one is repeated once on a fresher one.
	if retry := r.pollOnce(ctx, 0); retry {
		r.pollOnce(ctx, MaxOperationConnIdle)
	}
}

// pollOnce polls the server once and reports whether the poll failed because a reused connection was broken.
func (r *replica) pollOnce(ctx context.Context, maxIdle time.Duration) bool {
	pc, err := r.pool.take(ctx, maxIdle)
	if err != nil {
		return false
	}
	reused := !pc.usedAt.IsZero()
	status, err := pc.conn.Status(ctx)
	switch code := classifier.CodeOf(err); {
	case err == nil:
		r.handleStatus(pc, status)
		r.pool.put(pc, r.executor.timer.Now())
		return false
	case code == classifier.Draining:
		r.pool.put(pc, r.executor.timer.Now())
		r.observe(limiter.Probed{
			Report: connector.Report{
				Draining: true,
			},
		})
		return false
	case code == classifier.Shed || code == classifier.BackendFailed:
		r.pool.put(pc, r.executor.timer.Now())
		r.observe(limiter.Probed{})
		return false
	}
	r.pool.discard(pc)
	if reused && ctx.Err() == nil {
		return true
	}
	r.observe(limiter.Unreachable{})
	return false
}

func (r *replica) handleStatus(pc *pooledConn, status connector.Status) {
	if !r.applyReport(pc, status.Report) {
		return
	}
	r.setHeld(status.Held)
	r.observe(limiter.Probed{
		Report: status.Report,
	})
}
