package executor

import (
	"context"
	"time"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/messenger"
)

// Run sends an operation once to a replica that this VM owns. The code of the reply is OK, a code whose NotRun method returns
// true if no byte was written or the server refused the operation, or a code for an unknown outcome. The error is always nil.
func (e *Executor) Run(req *messenger.RunRequest, reply *messenger.RunReply) (err error) {
	defer messenger.RecoverCall(&err)
	e.recorder.Observe(req.Stamp)
	c := &operationCall{
		req: req,
	}
	reply.Code = operationCode(e.runOperation(req, c))
	reply.Body = c.answer.Body
	if reply.Code == classifier.NotOwner {
		reply.Holder = e.holder(req.Replica)
	}
	reply.Stamp = e.recorder.NextStamp()
	return nil
}

func (e *Executor) runOperation(req *messenger.RunRequest, c *operationCall) error {
	ctx, cancel := context.WithTimeout(context.Background(), req.Remaining)
	defer cancel()
	suspect, err := e.checkQuarantine(req.Fingerprint, false)
	if err != nil {
		return err
	}
	r, err := e.replica(req.Replica)
	if err != nil {
		return err
	}
	ex := &execution{
		fingerprint: req.Fingerprint,
	}
	latency, _, err := r.attempt(ctx, admitParams{
		fingerprint: req.Fingerprint,
		exclusive:   suspect,
		maxConnIdle: MaxOperationConnIdle,
	}, c, ex)
	if err == nil && suspect {
		e.clearSuspect(req.Fingerprint)
	}
	e.recordEvidence(req.Application, req.Route, req.Replica, err, latency)
	return err
}

// recordEvidence passes the outcome of a request for a replica to the evidence collector, with the replica's version.
func (e *Executor) recordEvidence(application, route, replica string, err error, latency time.Duration) {
	version := e.board.Config.Read().Servers[replica].Version
	e.evidence.Observe(application, version, route, classifier.CodeOf(err), latency)
}

// operationCode returns the code of an operation. An error without a code, or with one that is not meant for a failed operation,
// becomes OutcomeUnknown, so that the reply never claims without certainty that the operation did not run.
func operationCode(err error) classifier.Code {
	code := classifier.CodeOf(err)
	if err != nil && (code.Answered() || code >= classifier.InvalidSet) {
		return classifier.OutcomeUnknown
	}
	return code
}

func (e *Executor) holder(replica string) string {
	return e.board.Leases.Read().ByReplica[replica].Holder
}
