package responder

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/anvildyke/anvildyke/internal/claimer"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/searcher"
	"github.com/valyala/fasthttp"
)

// head contains the fields that all responses have in common.
type head struct {
	RequestID string
	Code      classifier.Code
	CodeName  string
	Message   string
}

// MissingShard is a shard that the response does not cover completely, with the reason.
type MissingShard struct {
	Shard  int
	Code   classifier.Code
	Reason string
}

// Coverage describes which part of the snapshot the response covers.
type Coverage struct {
	// Answered is the number of shards that answered completely or partially; Of is the number of all shards.
	Answered int
	Of       int
	// Fraction is the fraction of all shards that was searched, 0 to 1.
	Fraction float64
	Missing  []MissingShard
}

// searchHead is the response to a search without the field Hits, which is appended to the encoded head.
type searchHead struct {
	head
	Snapshot uint64
	Coverage Coverage
}

// operationHead is the response to an operation without the field Body, which is appended to the encoded head.
type operationHead struct {
	head
	// NotRun is true when it is certain that no backend server ran the operation.
	NotRun bool
}

func newHead(id string, code classifier.Code, message string) head {
	return head{
		RequestID: id,
		Code:      code,
		CodeName:  code.String(),
		Message:   message,
	}
}

// errorSentence returns the message of a *classifier.Error, or the text of another error, as a sentence with an initial capital
// letter and a full stop.
func errorSentence(err error) string {
	var e *classifier.Error
	text := err.Error()
	if errors.As(err, &e) {
		text = e.Message
	}
	if text == "" {
		return ""
	}
	return strings.ToUpper(text[:1]) + strings.TrimSuffix(text[1:], ".") + "."
}

func searchErrorReply(id string, err error) reply {
	return searchReply(searcher.Response{
		RequestID: id,
		Code:      classifier.CodeOf(err),
		Message:   errorSentence(err),
	})
}

func operationErrorReply(id string, err error) reply {
	return operationReply(claimer.Outcome{
		RequestID: id,
		Code:      classifier.CodeOf(err),
		Message:   errorSentence(err),
	})
}

func searchReply(resp searcher.Response) reply {
	missing := make([]MissingShard, 0, len(resp.Coverage.Missing))
	for _, m := range resp.Coverage.Missing {
		missing = append(missing, MissingShard(m))
	}
	b := encodeOpenObject(searchHead{
		head:     newHead(resp.RequestID, resp.Code, resp.Message),
		Snapshot: resp.Snapshot,
		Coverage: Coverage{
			Answered: resp.Coverage.Answered,
			Of:       resp.Coverage.Total,
			Fraction: resp.Coverage.Fraction,
			Missing:  missing,
		},
	})
	b = append(b, `,"Hits":[`...)
	for i := range resp.Hits {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendHit(b, &resp.Hits[i])
	}
	return reply{
		status: resp.Code.HTTPStatus(),
		body:   append(b, "]}\n"...),
	}
}

func operationReply(o claimer.Outcome) reply {
	b := encodeOpenObject(operationHead{
		head:   newHead(o.RequestID, o.Code, o.Message),
		NotRun: o.Code.NotRun(),
	})
	b = append(b, `,"Body":`...)
	b = appendBody(b, o.Body)
	return reply{
		status: o.Code.HTTPStatus(),
		body:   append(b, "}\n"...),
	}
}

// encodeOpenObject returns the JSON encoding of a struct without the closing brace, so that more fields can be appended.
func encodeOpenObject(v any) []byte {
	// The error is ignored because searchHead and operationHead contain only types whose encoding cannot fail.
	b, _ := json.Marshal(v)
	return b[:max(0, len(b)-1)]
}

func appendHit(b []byte, h *messenger.Hit) []byte {
	b = append(b, `{"ID":`...)
	b = appendString(b, h.ID)
	b = append(b, `,"Score":`...)
	if math.IsNaN(h.Score) || math.IsInf(h.Score, 0) {
		b = append(b, "null"...)
	} else {
		b = strconv.AppendFloat(b, h.Score, 'g', -1, 64)
	}
	b = append(b, `,"Body":`...)
	b = appendBody(b, h.Body)
	return append(b, '}')
}

// appendBody appends a body unchanged if it is valid JSON, and otherwise as a JSON string in which invalid UTF-8 is replaced. An
// empty body becomes null. Of all hits that the shards returned, only those in the response are validated, at most MaxLimit.
func appendBody(b, body []byte) []byte {
	switch {
	case len(body) == 0:
		return append(b, "null"...)
	case utf8.Valid(body) && json.Valid(body):
		return append(b, body...)
	default:
		return appendString(b, string(body))
	}
}

func appendString(b []byte, s string) []byte {
	// The error is ignored because encoding a string cannot fail.
	text, _ := json.Marshal(s)
	return append(b, text...)
}

func writeReply(ctx *fasthttp.RequestCtx, r reply) {
	ctx.SetContentType("application/json")
	ctx.SetStatusCode(r.status)
	ctx.SetBody(r.body)
}
