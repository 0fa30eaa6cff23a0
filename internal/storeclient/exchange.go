package storeclient

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// Response is the platform's response to one HTTP request. It belongs to the caller of DoRequest.
type Response struct {
	Status int
	Header *fasthttp.ResponseHeader
	Body   []byte
}

// exchange is one HTTP request and its response in a goroutine of its own.
type exchange struct {
	client   *fasthttp.HostClient
	deadline time.Time
	prepare  func(*fasthttp.Request)
	// done has room for the result, so that run does not block after DoRequest has returned.
	done chan exchangeResult
}

type exchangeResult struct {
	response Response
	err      error
}

// DoRequest sends the HTTP request that prepare fills in and returns the response, whatever its status. HostClient does not
// support contexts, so when ctx ends, DoRequest returns but the request continues until the deadline, and a write may still
// take effect. Without a response the error wraps ErrUnavailable or the error of ctx.
func DoRequest(ctx context.Context, client *fasthttp.HostClient, deadline time.Time, prepare func(*fasthttp.Request)) (Response, error) {
	e := &exchange{
		client:   client,
		deadline: deadline,
		prepare:  prepare,
		done:     make(chan exchangeResult, 1),
	}
	go e.run()
	select {
	case result := <-e.done:
		if result.err != nil {
			return Response{}, fmt.Errorf("%w: %w", ErrUnavailable, result.err)
		}
		return result.response, nil
	case <-ctx.Done():
		return Response{}, fmt.Errorf("the request to the platform ended without a response: %w", ctx.Err())
	}
}

func (e *exchange) run() {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	e.prepare(req)
	err := e.client.DoDeadline(req, resp, e.deadline)
	header := &fasthttp.ResponseHeader{}
	resp.Header.CopyTo(header)
	e.done <- exchangeResult{
		response: Response{
			Status: resp.StatusCode(),
			Header: header,
			Body:   append([]byte(nil), resp.Body()...),
		},
		err: err,
	}
}
