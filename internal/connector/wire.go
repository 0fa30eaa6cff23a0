package connector

import "github.com/anvildyke/anvildyke/internal/classifier"

// Paths of a backend server's API. The bodies of requests and responses are JSON documents of the types of this package.
const (
	PathSearch = "/search"
	PathRun    = "/run"
	PathStatus = "/status"
)

// Headers of requests and responses.
const (
	// HeaderRequestID is echoed in every response, including refusals.
	HeaderRequestID = "Request-Id"
	// HeaderRemaining is the remaining time of the request in whole milliseconds, at least 1. Without it the request has no
	// deadline.
	HeaderRemaining = "Remaining-Ms"
	// HeaderRefusal is the reason of a response with status 503, RefusalShed or RefusalDraining. The request did not run.
	HeaderRefusal = "Refusal"
)

// Values of HeaderRefusal.
const (
	RefusalShed     = "Shed"
	RefusalDraining = "Draining"
)

// MaxResponseBytes bounds the body of a response. A longer body fails the request and closes the connection.
const MaxResponseBytes = 8 << 20

// codeOfStatus returns the result code for an HTTP status other than 200. 503 with a known reason and 410 (the server does not
// have the snapshot) mean that the request did not run, and 504 that its deadline expired. After a 503 without a known reason
// the request may have run.
func codeOfStatus(status int, reason string) classifier.Code {
	switch {
	case status == 503 && reason == RefusalShed:
		return classifier.Shed
	case status == 503 && reason == RefusalDraining:
		return classifier.Draining
	case status == 410:
		return classifier.SnapshotGone
	case status == 504:
		// The deadline expires slightly earlier at the backend server than here, because it is sent in whole milliseconds.
		return classifier.Timeout
	default:
		return classifier.BackendFailed
	}
}
