package executor

import (
	"context"
	"time"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/messenger"
)

// Run sends an operation once to a replica that this VM holds. The reply's code is OK, a code for which NotRun holds when no
// byte was written or the server refused, or an unknown outcome. The error is always nil.
func (o *Executor) Run(req *messenger.RunRequest, reply *messenger.RunReply) error {
	o.recorder.Observe(req.Stamp)
	w := &operationWork{
		req: req,
	}
	err := o.runOperation(req, w)
	reply.Code = operationCode(err)
	reply.Body = w.answer.Body
	if reply.Code == classifier.NotOwner {
		reply.Holder = o.holder(req.Replica)
	}
	reply.Stamp = o.recorder.NextStamp()
	return nil
}

func (o *Executor) runOperation(req *messenger.RunRequest, w *operationWork) error {
	ctx, cancel := context.WithTimeout(context.Background(), req.Remaining)
	defer cancel()
	suspect, err := o.checkQuarantine(req.Fingerprint, false)
	if err != nil {
		return err
	}
	r, err := o.replica(req.Replica)
	if err != nil {
		return err
	}
	e := &run{
		fingerprint: req.Fingerprint,
	}
	latency, _, err := r.attempt(ctx, task{
		fingerprint: req.Fingerprint,
		exclusive:   suspect,
		trust:       MaxOperationConnIdle,
	}, w, e)
	if err == nil && suspect {
		o.acquit(req.Fingerprint)
	}
	o.observe(req.Application, req.Route, req.Replica, err, latency)
	return err
}

// observe passes the outcome of a request that was meant for a replica to the evidence of its version.
func (o *Executor) observe(application, route, replica string, err error, latency time.Duration) {
	version := o.board.Config.Read().Servers[replica].Version
	o.evidence.Observe(application, version, route, classifier.CodeOf(err), latency)
}

// operationCode never says NotRun for an error whose code is not certain.
func operationCode(err error) classifier.Code {
	code := classifier.CodeOf(err)
	if err != nil && (code.Answered() || code >= classifier.InvalidSet) {
		return classifier.OutcomeUnknown
	}
	return code
}

func (o *Executor) holder(replica string) string {
	return o.board.Leases.Read().ByReplica[replica].Holder
}
