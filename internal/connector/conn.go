// Package connector opens connections to backend servers and is the client of their search and operation API. The wire format
// of that API is defined in this package only.
package connector

import (
	"context"
	"net/netip"
)

// HeldSnapshot is a shard of an index snapshot that a backend server has loaded. Shards are numbered from 0.
type HeldSnapshot struct {
	Snapshot uint64
	Shard    int
	// Of is the number of shards of the snapshot, at least 1 and greater than Shard.
	Of int
}

// Hit is one document of a search result.
type Hit struct {
	ID    string
	Score float64
	// Body is forwarded unchanged and never decoded.
	Body []byte
}

// SearchRequest is a search in one shard of a snapshot. Its deadline is that of the context.
type SearchRequest struct {
	// RequestID is echoed by the backend server. A response with another ID has the result code BadAnswer.
	RequestID   string
	Application string
	Route       string
	Snapshot    uint64
	Shard       int
	// Limit is the maximum number of hits.
	Limit int
	Body  []byte
}

// SearchResponse is the result of a search in one shard.
type SearchResponse struct {
	Held HeldSnapshot
	// Searched is the number of parts of the shard that were searched, of Total parts. 0 <= Searched <= Total and Total >= 1.
	Searched int
	Total    int
	// Hits are ordered by descending score, then by ID.
	Hits   []Hit
	Report Report
}

// Operation is a non-idempotent request. Its deadline is that of the context.
type Operation struct {
	RequestID   string
	OperationID string
	Application string
	Route       string
	Shard       int
	Key         string
	Body        []byte
}

// OperationResponse is the result of an operation that ran.
type OperationResponse struct {
	Body   []byte
	Report Report
}

// Report is the state that a backend server reports about itself in its responses. It may be out of date or wrong.
type Report struct {
	// Incarnation is different after every start of the server process.
	Incarnation string
	Draining    bool
	Cold        bool
	// Running is the number of requests that the server runs at the time of the report.
	Running int
}

// Status is the result of a status request.
type Status struct {
	Report Report
	Held   []HeldSnapshot
}

// Conn is a connection to a backend server. It carries one request at a time. Its methods return errors of the type
// *classifier.Error. The code is Shed, Draining or SnapshotGone when the backend server refused the request without running
// it, and NotSent when no byte of the request was written. With Timeout, ConnectionReset, Cancelled, BadAnswer and
// BackendFailed the request may have run. When the context ends, the connection is closed, which cancels the request at the
// backend server. After an error the connection may be used again only if Usable returns true.
type Conn interface {
	Search(ctx context.Context, r SearchRequest) (SearchResponse, error)
	Run(ctx context.Context, o Operation) (OperationResponse, error)
	Status(ctx context.Context) (Status, error)
	// Usable reports whether the connection can carry another request.
	Usable() bool
	Close() error
}

// Dialer opens connections to backend servers.
type Dialer interface {
	// Dial opens a connection. Its errors have the code NotSent and wrap syscall.ECONNREFUSED when the connection was refused.
	Dial(ctx context.Context, addr netip.AddrPort) (Conn, error)
}
