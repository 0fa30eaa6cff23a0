package dispatcher

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/pooler"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// PooledSender is a Sender that reuses connections.
type PooledSender struct {
	Pooler *pooler.Pooler
	Codec  Codec
	Timer  *timer.Service
}

// Send implements Sender.
func (s *PooledSender) Send(ctx context.Context, r *Request, e discoverer.Endpoint, nonIdempotent bool) (*fasthttp.Response, Reply, error) {
	now := s.Timer.Now()
	conn, reused, err := s.Pooler.Get(ctx, e.Server, nonIdempotent, dialTimeout, now)
	if err != nil {
		return nil, Reply{}, err
	}
	resp, reply, err := s.exchange(ctx, r, e, conn, reused)
	if err != nil && reused && classifier.CodeOf(err) == classifier.NotSent && ctx.Err() == nil {
		// The pooled connection was closed before any byte of the request was sent on it. Only a new connection shows whether the
		// server is reachable.
		if conn, _, err = s.Pooler.Get(ctx, e.Server, nonIdempotent, dialTimeout, now); err != nil {
			return nil, Reply{}, err
		}
		resp, reply, err = s.exchange(ctx, r, e, conn, false)
	}
	return resp, reply, err
}

// dialTimeout allows for round trips of tens of milliseconds between zones. A lost SYN is retransmitted only after 1 s, so
// waiting longer does not help.
const dialTimeout = 250 * time.Millisecond

// exchange sends the request on a connection and returns the connection to the pool. A response without a request ID is accepted only
// on a new connection, which is then closed: on a reused one it may be a late copy of an earlier response.
func (s *PooledSender) exchange(ctx context.Context, r *Request, e discoverer.Endpoint, conn *connector.HTTPConn, reused bool) (*fasthttp.Response, Reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	r.Header.CopyTo(&req.Header)
	req.SetBodyRaw(r.Body)
	deadline, _ := ctx.Deadline()
	s.Codec.PrepareRequest(req, e.Server, deadline.Sub(s.Timer.Now()))
	resp := fasthttp.AcquireResponse()
	id := ""
	err := conn.Exchange(ctx, req, resp, func(resp *fasthttp.Response) bool {
		id = s.Codec.ResponseID(resp)
		return id == r.ID || id == "" && !reused
	})
	if err != nil {
		fasthttp.ReleaseResponse(resp)
		_ = conn.Close()
		return nil, Reply{}, err
	}
	reply := s.Codec.DecodeReply(resp)
	if id == "" {
		_ = conn.Close()
	}
	s.Pooler.Put(e.Server, conn, reply.IdleTimeout, s.Timer.Now())
	return resp, reply, nil
}
