// Package classifier defines the numbered result codes of anvildyke, their HTTP statuses and the error type that carries a
// code.
package classifier

import (
	"errors"
	"fmt"
	"strings"
)

// Code is a numbered result. The hundreds name the class: 0 answered, 1xx fault of the request, 2xx not run, 3xx outcome
// unknown, 4xx configuration, 5xx internal fault. docs/RESULT-CODES.md lists all codes.
type Code uint16

// Answered.
const (
	OK      Code = 0
	Partial Code = 1
)

// Faults of the request. Nothing was run.
const (
	BadRequest         Code = 100
	UnknownApplication Code = 101
	UnknownRoute       Code = 102
	BadDeadline        Code = 103
	BadOperationID     Code = 104
	BodyTooLarge       Code = 105
	NotFound           Code = 106
)

// Refusals. No backend server ran the request.
const (
	Overloaded          Code = 200
	Quarantined         Code = 201
	PlatformUnavailable Code = 202
	NotReady            Code = 203
	ZoneOut             Code = 204
	NotOwner            Code = 205
	QueueFull           Code = 206
	Shed                Code = 207
	Draining            Code = 208
	NoReplica           Code = 209
	NotSent             Code = 210
	SnapshotGone        Code = 211
	ExpiredInQueue      Code = 212
)

// Unknown outcomes. A backend server may have run the request.
const (
	OutcomeUnknown  Code = 300
	Timeout         Code = 301
	ConnectionReset Code = 302
	BadAnswer       Code = 303
	Crashed         Code = 304
	Cancelled       Code = 305
	BackendFailed   Code = 306
)

// Configuration.
const (
	InvalidSet  Code = 400
	Conflict    Code = 401
	NotAccepted Code = 402
)

// Internal is a fault of anvildyke itself.
const Internal Code = 500

type entry struct {
	name   string
	status int
	text   string
}

var table = map[Code]entry{
	OK: {
		name:   "OK",
		status: 200,
		text:   "The answer covers the whole snapshot.",
	},
	Partial: {
		name:   "Partial",
		status: 200,
		text:   "The answer covers a part of the snapshot; the coverage says which.",
	},
	BadRequest: {
		name:   "BadRequest",
		status: 400,
		text:   "A field of the request is missing or wrong.",
	},
	UnknownApplication: {
		name:   "UnknownApplication",
		status: 404,
		text:   "The configuration has no such application.",
	},
	UnknownRoute: {
		name:   "UnknownRoute",
		status: 404,
		text:   "The application has no such route.",
	},
	BadDeadline: {
		name:   "BadDeadline",
		status: 400,
		text:   "The deadline is not a duration or is out of range.",
	},
	BadOperationID: {
		name:   "BadOperationID",
		status: 400,
		text:   "The operation ID is not a UUIDv7 or lies in the future.",
	},
	BodyTooLarge: {
		name:   "BodyTooLarge",
		status: 413,
		text:   "The body exceeds the limit.",
	},
	NotFound: {
		name:   "NotFound",
		status: 404,
		text:   "The path or object does not exist.",
	},
	Overloaded: {
		name:   "Overloaded",
		status: 503,
		text:   "Not run: this VM has no free capacity.",
	},
	Quarantined: {
		name:   "Quarantined",
		status: 422,
		text:   "Not run: an equal request crashed backend servers.",
	},
	PlatformUnavailable: {
		name:   "PlatformUnavailable",
		status: 503,
		text:   "Not run: the platform cannot record the operation now.",
	},
	NotReady: {
		name:   "NotReady",
		status: 503,
		text:   "Not run: this VM has no configuration yet or is stopping.",
	},
	ZoneOut: {
		name:   "ZoneOut",
		status: 503,
		text:   "Not run: the availability zone is taken out.",
	},
	NotOwner: {
		name:   "NotOwner",
		status: 503,
		text:   "Not run: the VM does not own the replica.",
	},
	QueueFull: {
		name:   "QueueFull",
		status: 503,
		text:   "Not run: the queue of the replica is full.",
	},
	Shed: {
		name:   "Shed",
		status: 503,
		text:   "Not run: the backend server refused before running.",
	},
	Draining: {
		name:   "Draining",
		status: 503,
		text:   "Not run: the backend server is leaving.",
	},
	NoReplica: {
		name:   "NoReplica",
		status: 503,
		text:   "Not run: no usable replica holds the shard.",
	},
	NotSent: {
		name:   "NotSent",
		status: 503,
		text:   "Not run: no byte of the request was written.",
	},
	SnapshotGone: {
		name:   "SnapshotGone",
		status: 503,
		text:   "Not run: the backend server no longer holds the snapshot.",
	},
	ExpiredInQueue: {
		name:   "ExpiredInQueue",
		status: 504,
		text:   "Not run: the deadline passed before the request was sent.",
	},
	OutcomeUnknown: {
		name:   "OutcomeUnknown",
		status: 504,
		text:   "The operation may have run.",
	},
	Timeout: {
		name:   "Timeout",
		status: 504,
		text:   "No answer by the deadline.",
	},
	ConnectionReset: {
		name:   "ConnectionReset",
		status: 502,
		text:   "The connection broke after a byte of the request was written.",
	},
	BadAnswer: {
		name:   "BadAnswer",
		status: 502,
		text:   "The answer does not belong to the request or cannot be read.",
	},
	Crashed: {
		name:   "Crashed",
		status: 502,
		text:   "The backend server crashed while the request ran.",
	},
	Cancelled: {
		name:   "Cancelled",
		status: 499,
		text:   "The request was cancelled while it ran.",
	},
	BackendFailed: {
		name:   "BackendFailed",
		status: 502,
		text:   "The backend server ran the request and failed.",
	},
	InvalidSet: {
		name:   "InvalidSet",
		status: 422,
		text:   "The set of objects has faults; nothing was published.",
	},
	Conflict: {
		name:   "Conflict",
		status: 409,
		text:   "The configuration changed meanwhile; nothing was published.",
	},
	NotAccepted: {
		name:   "NotAccepted",
		status: 503,
		text:   "The platform cannot be reached; it is not known that anything was published.",
	},
	Internal: {
		name:   "Internal",
		status: 500,
		text:   "A fault inside anvildyke.",
	},
}

// Codes returns every code that is in use, in no particular order.
func Codes() []Code {
	codes := make([]Code, 0, len(table))
	for c := range table {
		codes = append(codes, c)
	}
	return codes
}

// String returns the name of the code.
func (c Code) String() string {
	if e, ok := table[c]; ok {
		return e.name
	}
	return fmt.Sprintf("Code%d", uint16(c))
}

// Description returns one sentence that explains the code.
func (c Code) Description() string {
	return table[c].text
}

// HTTPStatus returns the HTTP status that carries the code to callers and operators.
func (c Code) HTTPStatus() int {
	if e, ok := table[c]; ok {
		return e.status
	}
	return table[Internal].status
}

// Answered reports whether the request has an answer.
func (c Code) Answered() bool {
	return c < BadRequest
}

// NotRun reports whether it is certain that no backend server ran the request.
func (c Code) NotRun() bool {
	return c >= BadRequest && c < OutcomeUnknown
}

// Retryable reports whether another replica may answer a search that failed with the code.
func (c Code) Retryable() bool {
	switch c {
	case NotOwner, QueueFull, Shed, Draining, NotSent, ZoneOut, Timeout, ConnectionReset, BadAnswer, BackendFailed, NotReady:
		return true
	default:
		return false
	}
}

// Error is an error with a result code.
type Error struct {
	Code Code
	// Message is one sentence for people. It holds no request body and no secret.
	Message string
	// Err is the cause, or nil.
	Err error
}

// Errorf returns an *Error whose message follows the format. A %w verb sets the cause.
func Errorf(c Code, format string, args ...any) error {
	err := fmt.Errorf(format, args...)
	return &Error{
		Code:    c,
		Message: err.Error(),
		Err:     errors.Unwrap(err),
	}
}

// Error returns the message with the code's number.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (code %d, %s)", e.Message, uint16(e.Code), e.Code)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// ParseError reads back the text of an Error, which is all that net/rpc carries. The code counts only at the end of the text; a
// text without one becomes Internal.
func ParseError(text string) *Error {
	internal := &Error{
		Code:    Internal,
		Message: text,
	}
	i := strings.LastIndex(text, " (code ")
	if i < 0 {
		return internal
	}
	var c Code
	var name string
	if _, err := fmt.Sscanf(text[i:], " (code %d, %s", &c, &name); err != nil || name != c.String()+")" {
		return internal
	}
	return &Error{
		Code:    c,
		Message: text[:i],
	}
}

// CodeOf returns the code that err carries: OK for nil, Internal when it carries none.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}
