package connector

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"github.com/anvildyke/anvildyke/internal/classifier"
)

// HTTPDialer is the Backend for servers that speak JSON over HTTP/1.1.
type HTTPDialer struct {
	dialer net.Dialer
}

// NewHTTPDialer returns a Backend that opens TCP connections.
func NewHTTPDialer() *HTTPDialer {
	return &HTTPDialer{}
}

// Dial opens a connection.
func (h *HTTPDialer) Dial(ctx context.Context, addr netip.AddrPort) (Conn, error) {
	l, err := h.DialHTTP(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &httpConn{
		HTTPConn: l,
	}, nil
}

// DialHTTP opens a connection that carries HTTP exchanges of any format. Its error is that of Dial.
func (h *HTTPDialer) DialHTTP(ctx context.Context, addr netip.AddrPort) (*HTTPConn, error) {
	c, err := h.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, classifier.Errorf(classifier.NotSent, "no connection to the backend server %s: %w", addr, err)
	}
	return newLink(c), nil
}

type httpConn struct {
	*HTTPConn
	// statuses numbers the status requests, whose IDs must differ from each other.
	statuses uint64
}

func (c *httpConn) Search(ctx context.Context, r SearchRequest) (SearchAnswer, error) {
	var a SearchAnswer
	if err := c.call(ctx, PathSearch, r.RequestID, r, &a); err != nil {
		return SearchAnswer{}, err
	}
	if !a.answers(r) {
		return SearchAnswer{}, c.badAnswer("the answer of %s contradicts the request", c.host)
	}
	return a, nil
}

// answers reports whether the answer is one that r can have.
func (a *SearchAnswer) answers(r SearchRequest) bool {
	return a.Held.Snapshot == r.Snapshot && a.Held.Shard == r.Shard && a.Held.Of > r.Shard &&
		a.Total >= 1 && a.Searched >= 0 && a.Searched <= a.Total &&
		len(a.Hits) <= r.Limit && slices.IsSortedFunc(a.Hits, compareHits)
}

func compareHits(a, b Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

func (c *httpConn) Run(ctx context.Context, o Operation) (OperationAnswer, error) {
	var a OperationAnswer
	err := c.call(ctx, PathRun, o.RequestID, o, &a)
	return a, err
}

func (c *httpConn) Status(ctx context.Context) (Status, error) {
	c.statuses++
	var s Status
	err := c.call(ctx, PathStatus, "Status-"+c.stream.LocalAddr().String()+"-"+strconv.FormatUint(c.statuses, 10), nil, &s)
	return s, err
}

// call sends one request and decodes its answer into out.
func (c *httpConn) call(ctx context.Context, path, id string, in, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.fill(ctx, req, path, id, in); err != nil {
		return err
	}
	if err := c.Exchange(ctx, req, resp, nil); err != nil {
		return err
	}
	if string(resp.Header.Peek(HeaderRequestID)) != id {
		return c.badAnswer("the answer of %s belongs to another request", c.host)
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		code := refusal(status, string(resp.Header.Peek(HeaderRefusal)))
		return classifier.Errorf(code, "the backend server %s answered with the status %d", c.host, status)
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return c.badAnswer("the answer of %s cannot be decoded: %w", c.host, err)
	}
	return nil
}

func (c *httpConn) fill(ctx context.Context, req *fasthttp.Request, path, id string, in any) error {
	req.Header.SetHost(c.host)
	req.SetRequestURI(path)
	req.Header.Set(HeaderRequestID, id)
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderRemaining, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	if in == nil {
		return nil
	}
	body, err := json.Marshal(in)
	if err != nil {
		return classifier.Errorf(classifier.NotSent, "the request cannot be encoded: %w", err)
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	return nil
}

// badAnswer closes the connection, because it is not known which bytes come next.
func (c *httpConn) badAnswer(format string, args ...any) error {
	_ = c.Close()
	return classifier.Errorf(classifier.BadAnswer, format, args...)
}
