// Package classifier defines the numbered result codes of anvildyke, their HTTP statuses, and an error type that contains a
// code.
package classifier

import (
	"errors"
	"fmt"
	"strings"
)

// Code is a numbered result code. The hundreds digit is its class: 0 answered, 1xx invalid request, 2xx refused, 3xx outcome
// unknown, 4xx configuration error, 5xx internal error. docs/RESULT-CODES.md lists all codes.
type Code uint16

// Codes of requests that were answered.
const (
	OK      Code = 0
	Partial Code = 1
)

// Codes of invalid requests, which were not run.
const (
	BadRequest         Code = 100
	UnknownApplication Code = 101
	UnknownRoute       Code = 102
	BadDeadline        Code = 103
	BadOperationID     Code = 104
	BodyTooLarge       Code = 105
	NotFound           Code = 106
)

// Codes of refused requests, which no backend server has run.
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
	Isolated            Code = 213
)

// Codes of requests with an unknown outcome, which a backend server may have run.
const (
	OutcomeUnknown  Code = 300
	Timeout         Code = 301
	ConnectionReset Code = 302
	BadAnswer       Code = 303
	Crashed         Code = 304
	Cancelled       Code = 305
	BackendFailed   Code = 306
)

// Codes of configuration changes that failed or whose outcome is unknown.
const (
	InvalidSet  Code = 400
	Conflict    Code = 401
	NotAccepted Code = 402
)

// Internal is the code of errors in anvildyke itself, and of errors without a code.
const Internal Code = 500

type codeInfo struct {
	name        string
	httpStatus  int
	description string
}

var codeInfos = map[Code]codeInfo{
	OK: {
		name:        "OK",
		httpStatus:  200,
		description: "The answer covers the whole snapshot.",
	},
	Partial: {
		name:        "Partial",
		httpStatus:  200,
		description: "The answer covers a part of the snapshot; the coverage says which.",
	},
	BadRequest: {
		name:        "BadRequest",
		httpStatus:  400,
		description: "A field of the request is missing or wrong.",
	},
	UnknownApplication: {
		name:        "UnknownApplication",
		httpStatus:  404,
		description: "The configuration has no such application.",
	},
	UnknownRoute: {
		name:        "UnknownRoute",
		httpStatus:  404,
		description: "The application has no such route.",
	},
	BadDeadline: {
		name:        "BadDeadline",
		httpStatus:  400,
		description: "The deadline is not a duration or is out of range.",
	},
	BadOperationID: {
		name:        "BadOperationID",
		httpStatus:  400,
		description: "The operation ID is not a UUIDv7 or lies in the future.",
	},
	BodyTooLarge: {
		name:        "BodyTooLarge",
		httpStatus:  413,
		description: "The body exceeds the limit.",
	},
	NotFound: {
		name:        "NotFound",
		httpStatus:  404,
		description: "The path or object does not exist.",
	},
	Overloaded: {
		name:        "Overloaded",
		httpStatus:  503,
		description: "Not run: this VM has no free capacity.",
	},
	Quarantined: {
		name:        "Quarantined",
		httpStatus:  422,
		description: "Not run: an equal request crashed backend servers.",
	},
	PlatformUnavailable: {
		name:        "PlatformUnavailable",
		httpStatus:  503,
		description: "Not run: the platform cannot record the operation now.",
	},
	NotReady: {
		name:        "NotReady",
		httpStatus:  503,
		description: "Not run: this VM has no configuration yet or is stopping.",
	},
	ZoneOut: {
		name:        "ZoneOut",
		httpStatus:  503,
		description: "Not run: the availability zone is taken out.",
	},
	NotOwner: {
		name:        "NotOwner",
		httpStatus:  503,
		description: "Not run: the VM does not own the replica.",
	},
	QueueFull: {
		name:        "QueueFull",
		httpStatus:  503,
		description: "Not run: the queue of the replica is full.",
	},
	Shed: {
		name:        "Shed",
		httpStatus:  503,
		description: "Not run: the backend server refused before running.",
	},
	Draining: {
		name:        "Draining",
		httpStatus:  503,
		description: "Not run: the backend server is leaving.",
	},
	NoReplica: {
		name:        "NoReplica",
		httpStatus:  503,
		description: "Not run: no usable replica holds the shard.",
	},
	NotSent: {
		name:        "NotSent",
		httpStatus:  503,
		description: "Not run: no byte of the request was written.",
	},
	SnapshotGone: {
		name:        "SnapshotGone",
		httpStatus:  503,
		description: "Not run: the backend server no longer holds the snapshot.",
	},
	ExpiredInQueue: {
		name:        "ExpiredInQueue",
		httpStatus:  504,
		description: "Not run: the deadline passed before the request was sent.",
	},
	Isolated: {
		name:        "Isolated",
		httpStatus:  503,
		description: "Not run: equal requests crashed several backend servers in sequence.",
	},
	OutcomeUnknown: {
		name:        "OutcomeUnknown",
		httpStatus:  504,
		description: "The operation may have run.",
	},
	Timeout: {
		name:        "Timeout",
		httpStatus:  504,
		description: "No answer by the deadline.",
	},
	ConnectionReset: {
		name:        "ConnectionReset",
		httpStatus:  502,
		description: "The connection broke after a byte of the request was written.",
	},
	BadAnswer: {
		name:        "BadAnswer",
		httpStatus:  502,
		description: "The answer does not belong to the request or cannot be read.",
	},
	Crashed: {
		name:        "Crashed",
		httpStatus:  502,
		description: "The backend server crashed while the request ran.",
	},
	Cancelled: {
		name:        "Cancelled",
		httpStatus:  499,
		description: "The request was cancelled while it ran.",
	},
	BackendFailed: {
		name:        "BackendFailed",
		httpStatus:  502,
		description: "The backend server ran the request and failed.",
	},
	InvalidSet: {
		name:        "InvalidSet",
		httpStatus:  422,
		description: "The set of objects has faults; nothing was published.",
	},
	Conflict: {
		name:        "Conflict",
		httpStatus:  409,
		description: "The configuration changed meanwhile; nothing was published.",
	},
	NotAccepted: {
		name:        "NotAccepted",
		httpStatus:  503,
		description: "The platform cannot be reached; it is not known that anything was published.",
	},
	Internal: {
		name:        "Internal",
		httpStatus:  500,
		description: "A fault inside anvildyke.",
	},
}

// Codes returns all defined codes in no particular order.
func Codes() []Code {
	codes := make([]Code, 0, len(codeInfos))
	for c := range codeInfos {
		codes = append(codes, c)
	}
	return codes
}

// String returns the name of the code, or "Code" followed by its number if the code is not defined.
func (c Code) String() string {
	if info, ok := codeInfos[c]; ok {
		return info.name
	}
	return fmt.Sprintf("Code%d", uint16(c))
}

// Description returns a sentence that describes the code, or "" if the code is not defined.
func (c Code) Description() string {
	return codeInfos[c].description
}

// HTTPStatus returns the HTTP status of responses with the code, which is that of Internal if the code is not defined.
func (c Code) HTTPStatus() int {
	if info, ok := codeInfos[c]; ok {
		return info.httpStatus
	}
	return codeInfos[Internal].httpStatus
}

// Answered reports whether the request was answered, in full or in part.
func (c Code) Answered() bool {
	return c < BadRequest
}

// NotRun reports whether it is certain that no backend server ran the request.
func (c Code) NotRun() bool {
	return c >= BadRequest && c < OutcomeUnknown
}

// Retryable reports whether a search that failed with the code may succeed on another replica.
func (c Code) Retryable() bool {
	switch c {
	case NotOwner, QueueFull, Shed, Draining, NotSent, ZoneOut, Timeout, ConnectionReset, BadAnswer, BackendFailed, NotReady:
		return true
	default:
		return false
	}
}

// Error is an error that contains a result code.
type Error struct {
	Code Code
	// Message describes the error to a human reader. It contains no request body and no secret.
	Message string
	// Err is the wrapped error, or nil.
	Err error
}

// Errorf returns an *Error with the code and the formatted message. Like fmt.Errorf, it wraps the operand of a %w verb.
func Errorf(c Code, format string, args ...any) error {
	err := fmt.Errorf(format, args...)
	return &Error{
		Code:    c,
		Message: err.Error(),
		Err:     errors.Unwrap(err),
	}
}

// Error returns the message followed by the number and the name of the code, the format that ParseError expects.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (code %d, %s)", e.Message, uint16(e.Code), e.Code)
}

// Unwrap returns the wrapped error, or nil.
func (e *Error) Unwrap() error {
	return e.Err
}

// ParseError parses the text of an Error, because net/rpc transmits only the text of errors. A text that does not end in a code
// results in an Error with the code Internal.
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

// CodeOf returns the code of the first *Error in the chain of err. It returns OK if err is nil, and Internal if there is no
// *Error.
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
