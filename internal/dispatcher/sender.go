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

// PooledSender is the Sender that keeps connections open between requests.
type PooledSender struct {
	Pooler *pooler.Pooler
	Codec  Codec
	Timer  *timer.Service
}

// Send implements Sender.
func (s *PooledSender) Send(ctx context.Context, r *Request, m discoverer.Endpoint, once bool) (*fasthttp.Response, Reply, error) {
	now := s.Timer.Now()
	link, reused, err := s.Pooler.Get(ctx, m.Server, once, dialTimeout, now)
	if err != nil {
		return nil, Reply{}, err
	}
	resp, reply, err := s.exchange(ctx, r, m, link)
	if err != nil && reused && classifier.CodeOf(err) == classifier.NotSent && ctx.Err() == nil {
		// The kept connection had ended before anything was sent on it; a new one tells whether the server is there.
		if link, _, err = s.Pooler.Get(ctx, m.Server, once, dialTimeout, now); err != nil {
			return nil, Reply{}, err
		}
		resp, reply, err = s.exchange(ctx, r, m, link)
	}
	return resp, reply, err
}

// dialTimeout bounds the opening of a connection. Zones are tens of milliseconds apart, and a lost opening packet is sent again
// only after a second.
const dialTimeout = 250 * time.Millisecond

func (s *PooledSender) exchange(ctx context.Context, r *Request, m discoverer.Endpoint, link *connector.HTTPConn) (*fasthttp.Response, Reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	r.Header.CopyTo(&req.Header)
	req.SetBodyRaw(r.Body)
	deadline, _ := ctx.Deadline()
	s.Codec.PrepareRequest(req, m.Server, deadline.Sub(s.Timer.Now()))
	resp := fasthttp.AcquireResponse()
	err := link.Exchange(ctx, req, resp, func(resp *fasthttp.Response) bool {
		return s.Codec.MatchesRequest(resp, r.ID)
	})
	if err != nil {
		fasthttp.ReleaseResponse(resp)
		_ = link.Close()
		return nil, Reply{}, err
	}
	reply := s.Codec.DecodeReply(resp)
	s.Pooler.Put(m.Server, link, reply.IdleTimeout, s.Timer.Now())
	return resp, reply, nil
}
