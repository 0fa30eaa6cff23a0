package claimer

import (
	"context"
	"fmt"
	"time"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/planner"
)

// send sends the operation to one owner after another, at most maxSends times, until one has run it or may have run it. It
// returns the outcome of the last send, or ExpiredInQueue if the deadline passes between two sends.
func (c *Claimer) send(ctx context.Context, req Request, id string, p *plan, deadline time.Time) Outcome {
	last := outcomeWithCode(classifier.NoReplica)
	var holder *planner.EntryVM
	var candidate *planner.Candidate
	for range maxSends {
		if holder == nil {
			if candidate = p.next(); candidate == nil {
				return last
			}
			p.tried = append(p.tried, candidate)
			holder = candidate.Owner
		}
		remaining := deadline.Sub(c.opts.Timer.Now())
		if remaining <= 0 || ctx.Err() != nil {
			return outcomeWithCode(classifier.ExpiredInQueue)
		}
		owner := holder
		reply, err := c.opts.Owners.Client(owner).Run(ctx, &messenger.RunRequest{
			Stamp:       c.opts.Recorder.NextStamp(),
			RequestID:   req.ID,
			OperationID: id,
			Application: req.Application,
			Route:       req.Route,
			Replica:     candidate.Replica,
			Shard:       p.shard,
			Key:         req.Key,
			Fingerprint: req.Fingerprint,
			Body:        req.Body,
			Remaining:   remaining,
		})
		last, holder = replyOutcome(reply, err), nil
		if !last.Code.NotRun() {
			return last
		}
		// The next send goes to the VM that the reply names as the holder of the replica.
		if err == nil && last.Code == classifier.NotOwner && reply.Holder != owner.Name {
			holder = p.index.Member(reply.Holder)
		}
	}
	return last
}

// replyOutcome converts the reply of an owner. Only results that are definite keep their code; all others become
// OutcomeUnknown.
func replyOutcome(reply *messenger.RunReply, err error) Outcome {
	code := classifier.CodeOf(err)
	if err == nil {
		code = reply.Code
	}
	switch {
	case err == nil && code == classifier.OK:
		return Outcome{
			Code: code,
			Body: reply.Body,
		}
	case code == classifier.BackendFailed || code.NotRun():
		return outcomeWithCode(code)
	default:
		return Outcome{
			Code:    classifier.OutcomeUnknown,
			Message: fmt.Sprintf("The operation may have run: %s", code.Description()),
		}
	}
}
