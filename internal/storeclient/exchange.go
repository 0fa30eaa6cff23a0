package storeclient

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// Answer is the answer to one HTTP call of the platform. The body is owned by the receiver.
type Answer struct {
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
	answer Answer
	err    error
}

// Exchange makes the HTTP call that fill prepares. The client knows no contexts, so a call whose context ends goes on alone until the
// deadline, and a write may still take effect. Without an answer the error is ErrUnavailable, or that of ctx.
func Exchange(ctx context.Context, client *fasthttp.HostClient, deadline time.Time, fill func(*fasthttp.Request)) (Answer, error) {
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
			return Answer{}, fmt.Errorf("%w: %w", ErrUnavailable, o.err)
		}
		return o.answer, nil
	case <-ctx.Done():
		return Answer{}, fmt.Errorf("the call of the platform ended without an answer: %w", ctx.Err())
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
		answer: Answer{
			Status: resp.StatusCode(),
			Body:   append([]byte(nil), resp.Body()...),
		},
		err: err,
	}
}
