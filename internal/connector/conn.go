// Package connector opens connections to backend servers and is the client of their search and operation API. It alone knows
// the wire format of that API.
package connector

import (
	"context"
	"net/netip"
)

// HeldSnapshot is one index snapshot that a backend server holds: shard Shard of a partition into Of shards.
type HeldSnapshot struct {
	Snapshot uint64
	Shard    int
	// Of is at least 1 and greater than Shard.
	Of int
}

// Hit is one document of an answer.
type Hit struct {
	ID    string
	Score float64
	// Body is passed through unread.
	Body []byte
}

// SearchRequest is one sub-request. The deadline is that of the context.
type SearchRequest struct {
	// RequestID is echoed by the backend server; an answer with another one is a BadAnswer.
	RequestID   string
	Application string
	Route       string
	Snapshot    uint64
	Shard       int
	// Limit is the greatest number of hits.
	Limit int
	Body  []byte
}

// SearchAnswer is the answer of one shard.
type SearchAnswer struct {
	Held HeldSnapshot
	// Searched of Total parts of the shard were searched; 0 <= Searched <= Total, Total is at least 1.
	Searched int
	Total    int
	// Hits are ordered by descending score, then by ID.
	Hits   []Hit
	Report Report
}

// Operation is one non-idempotent request. The deadline is that of the context.
type Operation struct {
	RequestID   string
	OperationID string
	Application string
	Route       string
	Shard       int
	Key         string
	Body        []byte
}

// OperationAnswer is the outcome of an operation that ran.
type OperationAnswer struct {
	Body   []byte
	Report Report
}

// Report is what a backend server says of itself in an answer or a status. It may lag or mislead.
type Report struct {
	// Incarnation changes with every start of the process.
	Incarnation string
	Draining    bool
	Cold        bool
	// Running is the number of requests that run now.
	Running int
}

// Status is the answer to a status request.
type Status struct {
	Report Report
	Held   []HeldSnapshot
}

// Conn is one connection to a backend server. It carries one request at a time. The errors of its methods are
// *classifier.Error: Shed, Draining or SnapshotGone when the backend server refused before running, NotSent when no byte was
// written, Timeout, ConnectionReset, Cancelled, BadAnswer or BackendFailed otherwise. When the context ends the connection is
// closed, which cancels the request at the backend server. After an error a connection is used again only if Usable says so.
type Conn interface {
	Search(ctx context.Context, r SearchRequest) (SearchAnswer, error)
	Run(ctx context.Context, o Operation) (OperationAnswer, error)
	Status(ctx context.Context) (Status, error)
	// Usable reports whether the connection can carry another request.
	Usable() bool
	Close() error
}

// Dialer opens connections to backend servers.
type Dialer interface {
	// Dial opens a connection. Its error carries the code NotSent; it wraps syscall.ECONNREFUSED when the address refused.
	Dial(ctx context.Context, addr netip.AddrPort) (Conn, error)
}
