package claimer

import (
	"context"
	"fmt"
	"time"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/planner"
)

// send asks owners one after the other until one has run the operation or may have run it.
func (c *Claimer) send(ctx context.Context, req Request, id string, p *plan, until time.Time) Outcome {
	last := refuse(classifier.NoReplica)
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
		remaining := until.Sub(c.opts.Timer.Now())
		if remaining <= 0 || ctx.Err() != nil {
			return refuse(classifier.ExpiredInQueue)
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
		last, holder = outcome(reply, err), nil
		if !last.Code.NotRun() {
			return last
		}
		if err == nil && last.Code == classifier.NotOwner && reply.Holder != owner.Name {
			holder = p.index.Member(reply.Holder)
		}
	}
	return last
}

// outcome translates the reply of an owner. Only definite results keep their code.
func outcome(reply *messenger.RunReply, err error) Outcome {
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
		return refuse(code)
	default:
		return Outcome{
			Code:    classifier.OutcomeUnknown,
			Message: fmt.Sprintf("The operation may have run: %s", code.Description()),
		}
	}
}
