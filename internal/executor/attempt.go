package executor

import (
	"context"
	"time"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/limiter"
	"github.com/anvildyke/anvildyke/internal/messenger"
)

// admitParams contains the conditions under which a request is admitted to a replica.
type admitParams struct {
	fingerprint uint64
	// exclusive is set for a request that must not run concurrently with others on the replica.
	exclusive bool
	// maxConnIdle is the longest time that a reused connection may have been idle; 0 means no limit. A new connection is always
	// accepted.
	maxConnIdle time.Duration
	// first is set for a request that joins the queue ahead of all others.
	first bool
}

// call is a request that can be sent over a connection. It is sealed: *searchCall or *operationCall.
type call interface {
	isCall()
	// send sends the request once. When the server answered, it stores the answer and returns the report that came with it.
	send(ctx context.Context, conn connector.Conn) (connector.Report, error)
}

type searchCall struct {
	req    *messenger.SearchRequest
	shard  int
	answer connector.SearchResponse
}

type operationCall struct {
	req    *messenger.RunRequest
	answer connector.OperationResponse
}

func (*searchCall) isCall()    {}
func (*operationCall) isCall() {}

func (c *searchCall) send(ctx context.Context, conn connector.Conn) (connector.Report, error) {
	answer, err := conn.Search(ctx, connector.SearchRequest{
		RequestID:   c.req.RequestID,
		Application: c.req.Application,
		Route:       c.req.Route,
		Snapshot:    c.req.Snapshot,
		Shard:       c.shard,
		Limit:       c.req.Limit,
		Body:        c.req.Body,
	})
	if err != nil {
		return connector.Report{}, err
	}
	if err := c.verify(answer); err != nil {
		return connector.Report{}, err
	}
	c.answer = answer
	return answer.Report, nil
}

// verify rejects an answer that is not for the requested shard of the requested snapshot, so that no reply mixes snapshots. The
// errors are SnapshotGone for another snapshot and BadAnswer otherwise.
func (c *searchCall) verify(a connector.SearchResponse) error {
	switch {
	case a.Held.Snapshot != c.req.Snapshot:
		return classifier.Errorf(classifier.SnapshotGone, "the backend server answered from snapshot %d instead of %d", a.Held.Snapshot, c.req.Snapshot)
	case a.Held.Shard != c.shard || a.Held.Of <= a.Held.Shard:
		return classifier.Errorf(classifier.BadAnswer, "the backend server answered for shard %d of %d instead of shard %d", a.Held.Shard, a.Held.Of, c.shard)
	case a.Total < 1 || a.Searched < 0 || a.Searched > a.Total:
		return classifier.Errorf(classifier.BadAnswer, "the backend server reported %d of %d parts searched", a.Searched, a.Total)
	default:
		return nil
	}
}

func (c *operationCall) send(ctx context.Context, conn connector.Conn) (connector.Report, error) {
	answer, err := conn.Run(ctx, connector.Operation{
		RequestID:   c.req.RequestID,
		OperationID: c.req.OperationID,
		Application: c.req.Application,
		Route:       c.req.Route,
		Shard:       c.req.Shard,
		Key:         c.req.Key,
		Body:        c.req.Body,
	})
	if err != nil {
		return connector.Report{}, err
	}
	c.answer = answer
	return answer.Report, nil
}

// attempt admits the request, sends it once and handles the outcome. The latency is that of the backend server, without the wait
// for admission; reused reports whether the connection had carried a request before.
func (r *replica) attempt(ctx context.Context, p admitParams, c call, ex *execution) (latency time.Duration, reused bool, err error) {
	pc, err := r.admit(ctx, p)
	if err != nil {
		return 0, false, err
	}
	defer r.semaphore.Release()
	reused = !pc.usedAt.IsZero()
	started := r.executor.timer.Now()
	ex.staleConn = reused && started.Sub(pc.usedAt) > MaxCanaryConnIdle
	r.addInFlight(ex, pc)
	defer r.removeInFlight(ex)
	report, err := c.send(ctx, pc.conn)
	now := r.executor.timer.Now()
	latency = now.Sub(started)
	return latency, reused, r.handleOutcome(ctx, pc, ex, c, outcome{
		at:      now,
		report:  report,
		latency: latency,
		err:     err,
	})
}

// admit acquires a slot of the semaphore and returns a connection. It checks the limit again after the last wait, because this
// VM may have been paused beyond the end of its lease in the meantime.
func (r *replica) admit(ctx context.Context, p admitParams) (*pooledConn, error) {
	acquire := r.semaphore.Acquire
	if p.first {
		acquire = r.semaphore.AcquireFirst
	}
	for {
		if err := acquire(ctx, p.exclusive); err != nil {
			return nil, err
		}
		pc, err := r.pool.take(ctx, p.maxConnIdle)
		if err != nil {
			r.semaphore.Release()
			return nil, err
		}
		ok, err := r.semaphore.Revalidate()
		if ok && ctx.Err() == nil {
			return pc, nil
		}
		r.pool.put(pc, r.executor.timer.Now())
		switch {
		case ok:
			r.semaphore.Release()
			return nil, classifier.Errorf(classifier.ExpiredInQueue, "the request ended before it was sent: %w", context.Cause(ctx))
		case err != nil:
			return nil, err
		}
		acquire = r.semaphore.AcquireFirst
	}
}

// outcome is the result of sending a request once.
type outcome struct {
	at      time.Time
	report  connector.Report
	latency time.Duration
	err     error
}

// handleOutcome updates the state of the replica from an outcome, returns the connection to the pool or closes it, and returns
// the error of the request: Crashed when the server crashed while the request ran on a connection that was not stale, otherwise
// the error of the outcome.
func (r *replica) handleOutcome(ctx context.Context, pc *pooledConn, ex *execution, c call, out outcome) error {
	code := classifier.CodeOf(out.err)
	if code == classifier.ConnectionReset && ctx.Err() == nil {
		if r.handleBrokenConn(pc, ex) && !ex.staleConn {
			return classifier.Errorf(classifier.Crashed, "backend server %s crashed while the request ran: %w", r.name, out.err)
		}
		return out.err
	}
	switch code {
	case classifier.OK:
		if r.applyReport(pc, out.report) {
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
		r.removeHeldSnapshot(c)
	case classifier.Timeout, classifier.Cancelled, classifier.ConnectionReset:
		r.observeAt(out.at, limiter.Abandoned{
			Latency: out.latency,
		})
	default:
		r.observeAt(out.at, limiter.RequestFailed{})
	}
	// After a mismatched answer, the next answer on the connection may belong to another request as well.
	if code == classifier.BadAnswer || code == classifier.NotSent {
		r.pool.discard(pc)
	} else {
		r.pool.put(pc, out.at)
	}
	return out.err
}
