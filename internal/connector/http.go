package connector

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"github.com/anvildyke/anvildyke/internal/classifier"
)

// HTTPDialer is the Dialer for backend servers with a JSON API over HTTP/1.1.
type HTTPDialer struct {
	dialer net.Dialer
	// buffers is shared by all connections of the dialer.
	buffers bufferLimit
}

// NewHTTPDialer returns a Dialer that opens TCP connections.
func NewHTTPDialer() *HTTPDialer {
	return &HTTPDialer{}
}

// Dial implements Dialer.
func (d *HTTPDialer) Dial(ctx context.Context, addr netip.AddrPort) (Conn, error) {
	conn, err := d.DialHTTP(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &apiConn{
		HTTPConn: conn,
	}, nil
}

// DialHTTP opens a connection for HTTP requests of any format. Its errors are those of Dial.
func (d *HTTPDialer) DialHTTP(ctx context.Context, addr netip.AddrPort) (*HTTPConn, error) {
	c, err := d.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, classifier.Errorf(classifier.NotSent, "no connection to the backend server %s: %w", addr, err)
	}
	return newHTTPConn(c, &d.buffers), nil
}

// IsLocalScarcity reports whether a connection could not be opened because this process or its machine lacks descriptors, ports or
// memory.
func IsLocalScarcity(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// MostBufferedBytes returns the highest number of bytes of incomplete responses that the dialer's connections have held together.
func (d *HTTPDialer) MostBufferedBytes() int64 {
	return d.buffers.most.Load()
}

// apiConn is the Conn implementation for the search and operation API.
type apiConn struct {
	*HTTPConn
	// statusCount is the number of status requests so far. It makes their request IDs unique.
	statusCount uint64
}

func (c *apiConn) Search(ctx context.Context, r SearchRequest) (SearchResponse, error) {
	var resp SearchResponse
	if err := c.call(ctx, PathSearch, r.RequestID, r, &resp); err != nil {
		return SearchResponse{}, err
	}
	if !resp.isValidFor(r) {
		return SearchResponse{}, c.badAnswer("the response of %s does not match the request", c.host)
	}
	return resp, nil
}

// isValidFor reports whether the result has the snapshot and shard of r, consistent counts, and at most r.Limit hits in order.
func (resp *SearchResponse) isValidFor(r SearchRequest) bool {
	return resp.Held.Snapshot == r.Snapshot && resp.Held.Shard == r.Shard && resp.Held.Of > r.Shard &&
		resp.Total >= 1 && resp.Searched >= 0 && resp.Searched <= resp.Total &&
		len(resp.Hits) <= r.Limit && slices.IsSortedFunc(resp.Hits, compareHits)
}

func compareHits(a, b Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

func (c *apiConn) Run(ctx context.Context, o Operation) (OperationResponse, error) {
	var resp OperationResponse
	err := c.call(ctx, PathRun, o.RequestID, o, &resp)
	return resp, err
}

func (c *apiConn) Status(ctx context.Context) (Status, error) {
	c.statusCount++
	var s Status
	err := c.call(ctx, PathStatus, "Status-"+c.stream.LocalAddr().String()+"-"+strconv.FormatUint(c.statusCount, 10), nil, &s)
	return s, err
}

// call sends one request and decodes the response into out. A nil in means a GET request without a body.
func (c *apiConn) call(ctx context.Context, path, id string, in, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.prepare(ctx, req, path, id, in); err != nil {
		return err
	}
	if err := c.Exchange(ctx, req, resp, nil); err != nil {
		return err
	}
	if ids := DistinctValues(resp, HeaderRequestID); len(ids) != 1 || ids[0] != id {
		return c.badAnswer("the response of %s belongs to another request", c.host)
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		code := codeOfStatus(status, string(resp.Header.Peek(HeaderRefusal)))
		return classifier.Errorf(code, "the backend server %s answered with status %d", c.host, status)
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return c.badAnswer("the response of %s cannot be decoded: %w", c.host, err)
	}
	return nil
}

// DistinctValues returns the values of a field in the order of the response, without those that equal the first one.
func DistinctValues(resp *fasthttp.Response, name string) []string {
	var values []string
	for _, v := range resp.Header.PeekAll(name) {
		if len(values) == 0 || string(v) != values[0] {
			values = append(values, string(v))
		}
	}
	return values
}

func (c *apiConn) prepare(ctx context.Context, req *fasthttp.Request, path, id string, in any) error {
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

// badAnswer returns an error with the code BadAnswer. It closes the connection, because after a malformed or mismatched
// response the boundaries of the following responses are unknown.
func (c *apiConn) badAnswer(format string, args ...any) error {
	_ = c.Close()
	return classifier.Errorf(classifier.BadAnswer, format, args...)
}
