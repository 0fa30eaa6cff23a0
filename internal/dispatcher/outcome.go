package dispatcher

import (
	"bytes"
	"errors"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/classifier"
)

// outcome returns the outcome of the job, or nil if it is not decided yet.
func (j *job) outcome(now time.Time) Outcome {
	if j.fanout == nil {
		return j.singleOutcome(now)
	}
	switch {
	case j.succeeded+j.failed == len(j.shards) && j.succeeded >= j.minShards, j.succeeded >= j.minShards && !now.Before(j.partialAnswerAt):
		return j.merge(now)
	case len(j.shards)-j.failed < j.minShards:
		return j.endWithFailure(now, j.firstFailureCode())
	case !now.Before(j.deadline):
		return j.endWithFailure(now, classifier.Timeout)
	default:
		return nil
	}
}

func (j *job) singleOutcome(now time.Time) Outcome {
	s := &j.shards[0]
	switch {
	case s.succeeded, s.failed && s.response != nil && s.maybeRan > 0:
		if !s.succeeded {
			j.logDecision(now, "failure").Int("Status", s.reply.Status).Strs("Servers", j.triedServers()).Msg("The error response of a backend server was returned to the caller.")
		}
		out := SingleAnswer{
			Response: s.response,
		}
		s.response = nil
		return out
	case s.failed:
		return j.endWithFailure(now, s.lastCode)
	case !now.Before(j.deadline):
		return j.endWithFailure(now, classifier.Timeout)
	default:
		return nil
	}
}

// cancelledOutcome returns the outcome of a job whose caller's context was cancelled with the given cause.
func (j *job) cancelledOutcome(cause error, now time.Time) Outcome {
	switch {
	case !errors.Is(cause, ErrStopping):
		return Failure{
			Code: classifier.Cancelled,
		}
	case j.fanout != nil && j.succeeded >= j.minShards:
		return j.merge(now)
	default:
		return j.endWithFailure(now, classifier.Timeout)
	}
}

// firstFailureCode returns the code of the first shard that failed.
func (j *job) firstFailureCode() classifier.Code {
	for i := range j.shards {
		if j.shards[i].failed {
			return j.shards[i].lastCode
		}
	}
	return classifier.NoReplica
}

// endWithFailure returns a Failure. Its code states that the request was not run only if no server has run it and no attempt is
// in progress.
func (j *job) endWithFailure(now time.Time, code classifier.Code) Outcome {
	ran := j.running > 0
	for i := range j.shards {
		ran = ran || j.shards[i].maybeRan > 0
	}
	out := Failure{
		Code: code,
	}
	switch {
	case ran && !code.NotRun():
	case ran:
		out.Code = classifier.OutcomeUnknown
	case !code.NotRun():
		// No server was available before the deadline.
		out.Code = classifier.Overloaded
		out.RetryAfter = j.retryAfter(overloadedRetryAfter, now)
	default:
		out.RetryAfter = j.retryAfter(overloadedRetryAfter, now)
	}
	j.d.o.Metrics.Refused.Inc()
	j.logDecision(now, "refused").Stringer("Code", out.Code).Stringer("Cause", code).Int("Done", j.succeeded).Int("Failed", j.failed).
		Strs("Servers", j.triedServers()).Dur("RetryAfter", out.RetryAfter).Msg("The request failed without an answer from a backend server.")
	return out
}

// overloadedRetryAfter applies if all servers were full. Their queues hold only a few requests and change within this time.
const overloadedRetryAfter = 100 * time.Millisecond

// recordSize is the size of a record in bytes. A shorter remainder of a body is ignored.
const recordSize = 16

// merge returns the TopK greatest records of all successful answers.
func (j *job) merge(now time.Time) Outcome {
	out := MergedAnswer{
		MissingShards: len(j.shards) - j.succeeded,
	}
	var records [][]byte
	for i := range j.shards {
		s := &j.shards[i]
		if !s.succeeded {
			continue
		}
		out.Signatures = append(out.Signatures, s.reply.Signature)
		body := s.response.Body()
		for len(body) >= recordSize {
			records = append(records, body[:recordSize])
			body = body[recordSize:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int {
		return bytes.Compare(b, a)
	})
	for _, r := range records[:min(j.fanout.TopK, len(records))] {
		out.Body = append(out.Body, r...)
	}
	if out.MissingShards > 0 {
		j.d.o.Metrics.Partial.Inc()
		j.logDecision(now, "partial").Int("Missing", out.MissingShards).Strs("LeftOut", j.describeMissingShards()).Msg("The merged answer does not include all shards.")
	}
	return out
}

// maxLogged limits the shards or servers listed in a log line.
const maxLogged = 8

// describeMissingShards returns the names of shards without an answer, each with the reason.
func (j *job) describeMissingShards() []string {
	var names []string
	for i := range j.shards {
		s := &j.shards[i]
		if s.succeeded || len(names) == maxLogged {
			continue
		}
		reason := "late"
		switch {
		case len(s.endpoints) == 0:
			reason = classifier.NoReplica.String()
		case s.failed:
			reason = s.lastCode.String()
		case len(s.tried) == 0:
			reason = classifier.QueueFull.String()
		}
		names = append(names, s.service.Name+" "+reason)
	}
	return names
}

// triedServers returns the IDs of the servers that were tried for shards without a successful answer.
func (j *job) triedServers() []string {
	var ids []string
	for i := range j.shards {
		if j.shards[i].succeeded {
			continue
		}
		for _, k := range j.shards[i].tried {
			if len(ids) < maxLogged {
				ids = append(ids, k.ID)
			}
		}
	}
	return ids
}

// logDecision starts a log line about a decision on the request.
func (j *job) logDecision(now time.Time, decision string) *zerolog.Event {
	return j.d.o.Log.Info().Str("Request", j.request.ID).Str("Decision", decision).Str("Route", j.request.Route.Name).
		Uint64("Version", j.request.Table.Version).Uint64("List", j.view.Revision).Dur("Age", now.Sub(j.request.Arrived))
}
