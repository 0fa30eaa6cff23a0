package storeclient

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// Response is the answer to one HTTP call of the platform. The body is owned by the receiver.
type Response struct {
	Status int
	Body   []byte
}

// exchange is one HTTP call that runs on its own.
type exchange struct {
	client   *fasthttp.HostClient
	deadline time.Time
	fill     func(*fasthttp.Request)
	done     chan outcome
}

type outcome struct {
	answer Response
	err    error
}

// DoRequest makes the HTTP call that fill prepares. The client knows no contexts, so a call whose context ends goes on alone until the
// deadline, and a write may still take effect. Without an answer the error is ErrUnavailable, or that of ctx.
func DoRequest(ctx context.Context, client *fasthttp.HostClient, deadline time.Time, fill func(*fasthttp.Request)) (Response, error) {
	e := &exchange{
		client:   client,
		deadline: deadline,
		fill:     fill,
		done:     make(chan outcome, 1),
	}
	go e.run()
	select {
	case o := <-e.done:
		if o.err != nil {
			return Response{}, fmt.Errorf("%w: %w", ErrUnavailable, o.err)
		}
		return o.answer, nil
	case <-ctx.Done():
		return Response{}, fmt.Errorf("the call of the platform ended without an answer: %w", ctx.Err())
	}
}

func (e *exchange) run() {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	e.fill(req)
	err := e.client.DoDeadline(req, resp, e.deadline)
	e.done <- outcome{
		answer: Response{
			Status: resp.StatusCode(),
			Body:   append([]byte(nil), resp.Body()...),
		},
		err: err,
	}
}
