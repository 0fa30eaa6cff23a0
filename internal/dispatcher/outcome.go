package dispatcher

import (
	"bytes"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/classifier"
)

// outcome returns the end of the job, or nil as long as it is open.
func (j *job) outcome(now time.Time) Outcome {
	if j.fanout == nil {
		return j.singleOutcome(now)
	}
	switch {
	case j.done+j.failed == len(j.shards) && j.done >= j.needed, j.done >= j.needed && !now.Before(j.answerAt):
		return j.merge(now)
	case len(j.shards)-j.failed < j.needed:
		return j.refuse(now, j.worst())
	case !now.Before(j.deadline):
		return j.refuse(now, classifier.Timeout)
	default:
		return nil
	}
}

func (j *job) singleOutcome(now time.Time) Outcome {
	s := &j.shards[0]
	switch {
	case s.done, s.failed && s.response != nil && s.ran > 0:
		if !s.done {
			j.log(now, "failure").Int("Status", s.reply.Status).Strs("Servers", j.triedServers()).Msg("The failure of a backend server was passed on.")
		}
		out := SingleAnswer{
			Response: s.response,
		}
		s.response = nil
		return out
	case s.failed:
		return j.refuse(now, s.last)
	case !now.Before(j.deadline):
		return j.refuse(now, classifier.Timeout)
	default:
		return nil
	}
}

// worst returns the code of a failed shard.
func (j *job) worst() classifier.Code {
	for i := range j.shards {
		if j.shards[i].failed {
			return j.shards[i].last
		}
	}
	return classifier.NoReplica
}

// refuse ends the job without an answer. The code is one of "not run" only if no server has run the request or may still do.
func (j *job) refuse(now time.Time, code classifier.Code) Outcome {
	ran := j.running > 0
	for i := range j.shards {
		ran = ran || j.shards[i].ran > 0
	}
	out := Failure{
		Code: code,
	}
	switch {
	case ran && !code.NotRun():
	case ran:
		out.Code = classifier.OutcomeUnknown
	case !code.NotRun():
		// No attempt was begun before the deadline.
		out.Code = classifier.Overloaded
		out.RetryAfter = fullRetry
	default:
		out.RetryAfter = fullRetry
	}
	j.d.o.Metrics.Refused.Inc()
	j.log(now, "refused").Stringer("Code", out.Code).Stringer("Cause", code).Int("Done", j.done).Int("Failed", j.failed).
		Strs("Servers", j.triedServers()).Dur("RetryAfter", out.RetryAfter).Msg("The request ended without an answer.")
	return out
}

// fullRetry is when callers return after a refusal because all servers were full: queues of a few requests have changed by then.
const fullRetry = 100 * time.Millisecond

// recordSize is the size of a record in bytes. A shorter rest of a body is none.
const recordSize = 16

// merge returns the greatest records of the shards that have answered.
func (j *job) merge(now time.Time) Outcome {
	out := MergedAnswer{
		MissingShards: len(j.shards) - j.done,
	}
	var records [][]byte
	for i := range j.shards {
		s := &j.shards[i]
		if !s.done {
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
		j.log(now, "partial").Int("Missing", out.MissingShards).Strs("LeftOut", j.leftOut()).Msg("The answer leaves shards out.")
	}
	return out
}

// maxNamed bounds the shards that a log line names.
const maxNamed = 8

// leftOut names shards without an answer and the reason.
func (j *job) leftOut() []string {
	var names []string
	for i := range j.shards {
		s := &j.shards[i]
		if s.done || len(names) == maxNamed {
			continue
		}
		reason := "late"
		switch {
		case len(s.members) == 0:
			reason = classifier.NoReplica.String()
		case s.failed:
			reason = s.last.String()
		case len(s.tried) == 0:
			reason = classifier.QueueFull.String()
		}
		names = append(names, s.service.Name+" "+reason)
	}
	return names
}

// triedServers names servers that got the request and did not answer it.
func (j *job) triedServers() []string {
	var ids []string
	for i := range j.shards {
		if j.shards[i].done {
			continue
		}
		for _, k := range j.shards[i].tried {
			if len(ids) < maxNamed {
				ids = append(ids, k.ID)
			}
		}
	}
	return ids
}

// log begins the line of a decision about the request.
func (j *job) log(now time.Time, decision string) *zerolog.Event {
	return j.d.o.Log.Info().Str("Request", j.request.ID).Str("Decision", decision).Str("Route", j.request.Route.Name).
		Uint64("Version", j.request.Table.Version).Uint64("List", j.view.Revision).Dur("Age", now.Sub(j.request.Arrived))
}
