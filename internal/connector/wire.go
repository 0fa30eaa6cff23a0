package connector

import "github.com/anvildyke/anvildyke/internal/classifier"

// Paths of a backend server. Requests and answers are JSON documents of the types of this package.
const (
	PathSearch = "/search"
	PathRun    = "/run"
	PathStatus = "/status"
)

// Headers of a request and its answer.
const (
	// HeaderRequestID is echoed in the answer, in refusals too.
	HeaderRequestID = "Request-Id"
	// HeaderRemaining is the remaining time in whole milliseconds, at least 1. Without it there is no deadline.
	HeaderRemaining = "Remaining-Ms"
	// HeaderRefusal names the reason of a 503: RefusalShed or RefusalDraining. The request did not run.
	HeaderRefusal = "Refusal"
)

// Values of HeaderRefusal.
const (
	RefusalShed     = "Shed"
	RefusalDraining = "Draining"
)

// MaxAnswerBytes is the largest body of an answer in bytes.
const MaxAnswerBytes = 8 << 20

// refusal returns the code for a status other than 200: 503 with a reason and 410 (the snapshot is not held) say that the
// request did not run, 504 that the deadline ended it. A 503 without a known reason does not prove that nothing ran.
func refusal(status int, reason string) classifier.Code {
	switch {
	case status == 503 && reason == RefusalShed:
		return classifier.Shed
	case status == 503 && reason == RefusalDraining:
		return classifier.Draining
	case status == 410:
		return classifier.SnapshotGone
	case status == 504:
		// The backend server sees the deadline a little earlier than this side, because it is sent in whole milliseconds.
		return classifier.Timeout
	default:
		return classifier.BackendFailed
	}
}
