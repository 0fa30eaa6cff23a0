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

// head is the part that all responses have.
type head struct {
	RequestID string
	Code      classifier.Code
	CodeName  string
	Message   string
}

// MissingShard is a shard that the answer does not cover in full.
type MissingShard struct {
	Shard  int
	Code   classifier.Code
	Reason string
}

// Coverage says which part of the snapshot the answer covers.
type Coverage struct {
	// Answered of Of shards were answered in full or in part.
	Answered int
	Of       int
	// Fraction is the searched part of all shards, 0 to 1.
	Fraction float64
	Missing  []MissingShard
}

// searchHead is the response to a search without its hits, which are appended.
type searchHead struct {
	head
	Snapshot uint64
	Coverage Coverage
}

// operationHead is the response to an operation without its body, which is appended.
type operationHead struct {
	head
	// NotRun is true when no backend server ran the operation.
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

// errorSentence returns the message of an error with a code as a sentence.
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

// encodeOpenObject encodes a struct without the closing brace, so that fields can follow.
func encodeOpenObject(v any) []byte {
	// The structs given here have no field that encoding can fail on.
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

// appendBody appends a body as it is when it is JSON, else as a string, in which bytes that are not UTF-8 are replaced. Only
// hits that reach the caller are checked, at most MaxLimit of all that the shards sent.
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
	// Encoding a string cannot fail.
	text, _ := json.Marshal(s)
	return append(b, text...)
}

func writeReply(ctx *fasthttp.RequestCtx, r reply) {
	ctx.SetContentType("application/json")
	ctx.SetStatusCode(r.status)
	ctx.SetBody(r.body)
}
