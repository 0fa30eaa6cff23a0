package executor

import (
	"context"
	"time"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/limiter"
	"github.com/anvildyke/anvildyke/internal/messenger"
)

// task says how a request is admitted.
type task struct {
	fingerprint uint64
	// exclusive requests run alone on the replica.
	exclusive bool
	// trust is how long ago the connection may have been used, 0 for any time. A new connection always serves.
	trust time.Duration
	// front requests wait before all others.
	front bool
}

// work is what is sent over a connection. It is sealed: *searchWork or *operationWork.
type work interface {
	isWork()
	// send sends the request once and returns the server's report when it answered.
	send(ctx context.Context, c connector.Conn) (connector.Report, error)
}

type searchWork struct {
	req    *messenger.SearchRequest
	shard  int
	answer connector.SearchAnswer
}

type operationWork struct {
	req    *messenger.RunRequest
	answer connector.OperationAnswer
}

func (*searchWork) isWork()    {}
func (*operationWork) isWork() {}

func (w *searchWork) send(ctx context.Context, c connector.Conn) (connector.Report, error) {
	answer, err := c.Search(ctx, connector.SearchRequest{
		RequestID:   w.req.RequestID,
		Application: w.req.Application,
		Route:       w.req.Route,
		Snapshot:    w.req.Snapshot,
		Shard:       w.shard,
		Limit:       w.req.Limit,
		Body:        w.req.Body,
	})
	if err != nil {
		return connector.Report{}, err
	}
	if err := w.verify(answer); err != nil {
		return connector.Report{}, err
	}
	w.answer = answer
	return answer.Report, nil
}

// verify rejects answers that are not about the asked shard of the asked snapshot, so that no reply mixes snapshots.
func (w *searchWork) verify(a connector.SearchAnswer) error {
	switch {
	case a.Held.Snapshot != w.req.Snapshot:
		return classifier.Errorf(classifier.SnapshotGone, "the backend server answered from snapshot %d instead of %d", a.Held.Snapshot, w.req.Snapshot)
	case a.Held.Shard != w.shard || a.Held.Of <= a.Held.Shard:
		return classifier.Errorf(classifier.BadAnswer, "the backend server answered for shard %d of %d instead of shard %d", a.Held.Shard, a.Held.Of, w.shard)
	case a.Total < 1 || a.Searched < 0 || a.Searched > a.Total:
		return classifier.Errorf(classifier.BadAnswer, "the backend server states %d of %d parts searched", a.Searched, a.Total)
	default:
		return nil
	}
}

func (w *operationWork) send(ctx context.Context, c connector.Conn) (connector.Report, error) {
	answer, err := c.Run(ctx, connector.Operation{
		RequestID:   w.req.RequestID,
		OperationID: w.req.OperationID,
		Application: w.req.Application,
		Route:       w.req.Route,
		Shard:       w.req.Shard,
		Key:         w.req.Key,
		Body:        w.req.Body,
	})
	if err != nil {
		return connector.Report{}, err
	}
	w.answer = answer
	return answer.Report, nil
}

// attempt admits the request, sends it once and concludes. Reused says that the connection had carried a request before.
func (r *replica) attempt(ctx context.Context, t task, w work, e *run) (latency time.Duration, reused bool, err error) {
	l, err := r.admit(ctx, t)
	if err != nil {
		return 0, false, err
	}
	defer r.gate.Release()
	reused = !l.usedAt.IsZero()
	started := r.o.timer.Now()
	e.doubtful = reused && started.Sub(l.usedAt) > MaxCanaryConnIdle
	r.begin(e, l)
	defer r.end(e)
	report, err := w.send(ctx, l.conn)
	now := r.o.timer.Now()
	latency = now.Sub(started)
	return latency, reused, r.conclude(ctx, l, e, w, outcome{
		at:      now,
		report:  report,
		latency: latency,
		err:     err,
	})
}

// admit returns a connection with a slot of the gate. The right to use the replica is checked after the last wait, because
// this VM may have been paused past its lease meanwhile.
func (r *replica) admit(ctx context.Context, t task) (*link, error) {
	enter := r.gate.Acquire
	if t.front {
		enter = r.gate.AcquireFirst
	}
	for {
		if err := enter(ctx, t.exclusive); err != nil {
			return nil, err
		}
		l, err := r.pool.take(ctx, t.trust)
		if err != nil {
			r.gate.Release()
			return nil, err
		}
		ok, err := r.gate.Revalidate()
		if ok && ctx.Err() == nil {
			return l, nil
		}
		r.pool.put(l, r.o.timer.Now())
		switch {
		case ok:
			r.gate.Release()
			return nil, classifier.Errorf(classifier.ExpiredInQueue, "the request ended before it was sent: %w", context.Cause(ctx))
		case err != nil:
			return nil, err
		}
		enter = r.gate.AcquireFirst
	}
}

// outcome is what came back for a request.
type outcome struct {
	at      time.Time
	report  connector.Report
	latency time.Duration
	err     error
}

// conclude learns from an outcome, returns or closes the connection, and returns the error of the request.
func (r *replica) conclude(ctx context.Context, l *link, e *run, w work, out outcome) error {
	code := classifier.CodeOf(out.err)
	if code == classifier.ConnectionReset && ctx.Err() == nil {
		if r.broke(l, e) && !e.doubtful {
			return classifier.Errorf(classifier.Crashed, "backend server %s crashed while the request ran: %w", r.name, out.err)
		}
		return out.err
	}
	switch code {
	case classifier.OK:
		if r.learn(l, out.report) {
			r.observeAt(out.at, limiter.Answered{
				Latency: out.latency,
				Report:  out.report,
			})
		}
	case classifier.Shed:
		r.observeAt(out.at, limiter.Shed{})
	case classifier.Draining:
		r.observeAt(out.at, limiter.RejectedDraining{})
	case classifier.SnapshotGone:
		r.dropSnapshot(w)
	case classifier.Timeout, classifier.Cancelled, classifier.ConnectionReset:
		r.observeAt(out.at, limiter.Abandoned{
			Latency: out.latency,
		})
	default:
		r.observeAt(out.at, limiter.RequestFailed{})
	}
	// After a mismatched answer the next one on the connection may belong to another request as well.
	if code == classifier.BadAnswer || code == classifier.NotSent {
		r.pool.discard(l)
	} else {
		r.pool.put(l, out.at)
	}
	return out.err
}
