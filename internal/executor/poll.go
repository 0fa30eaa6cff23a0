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
	// PollJitter is the greatest deviation from PollEvery. It spreads out the polls of many replicas.
	PollJitter = 200 * time.Millisecond
	// PollTimeout bounds a status poll.
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
	r.o.polls.Add(1)
	go r.runPoll(ctx)
}

func (r *replica) runPoll(ctx context.Context) {
	defer r.o.polls.Done()
	ctx, cancel := context.WithTimeout(ctx, PollTimeout)
	defer cancel()
	r.poll(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.polling = false
}

func (r *replica) poll(ctx context.Context) {
	all, err := r.rights(r.o.timer.Now())
	if err != nil {
		return
	}
	// When the requests may take all connections, the poll has to take turns with them.
	if state := r.ramp.State(); all.connections <= all.slots && (state == blackboard.ReplicaWarm || state == blackboard.ReplicaCold) {
		if err := r.gate.Acquire(ctx, false); err != nil {
			return
		}
		defer r.gate.Release()
	}
	// The server may have closed an idle connection, so a broken one is replaced once.
	if again := r.pollOnce(ctx, 0); again {
		r.pollOnce(ctx, MaxOperationConnIdle)
	}
}

// pollOnce reports whether the poll failed on a reused connection.
func (r *replica) pollOnce(ctx context.Context, trust time.Duration) bool {
	l, err := r.pool.take(ctx, trust)
	if err != nil {
		return false
	}
	reused := !l.usedAt.IsZero()
	status, err := l.conn.Status(ctx)
	switch code := classifier.CodeOf(err); {
	case err == nil:
		r.accept(l, status)
		r.pool.put(l, r.o.timer.Now())
		return false
	case code == classifier.Draining:
		r.pool.put(l, r.o.timer.Now())
		r.observe(limiter.Probed{
			Report: connector.Report{
				Draining: true,
			},
		})
		return false
	case code == classifier.Shed || code == classifier.BackendFailed:
		r.pool.put(l, r.o.timer.Now())
		r.observe(limiter.Probed{})
		return false
	}
	r.pool.discard(l)
	if reused && ctx.Err() == nil {
		return true
	}
	r.observe(limiter.Unreachable{})
	return false
}

func (r *replica) accept(l *link, status connector.Status) {
	if !r.learn(l, status.Report) {
		return
	}
	r.hold(status.Held)
	r.observe(limiter.Probed{
		Report: status.Report,
	})
}
