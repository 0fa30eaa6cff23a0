package storeclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Paths of the platform's HTTP API. The query parameters Kind and Name identify an object. The body of a write is the value of
// the object; all other bodies are JSON documents of the types of this package.
const (
	PathObject = "/object"
	PathList   = "/list"
	PathWatch  = "/watch"
	PathVMs    = "/vms"
)

const (
	// maxResponseBytes bounds the body of a response. The largest responses are lists.
	maxResponseBytes = 64 << 20
	// maxConnections bounds the connections to the platform, including those of pending watches.
	maxConnections = 64
	// idleTimeout is shorter than the usual idle timeouts of servers, because a write on a connection that the server closes at the
	// same time has an unknown outcome.
	idleTimeout = 5 * time.Second
)

// HTTPStore is the Store implementation for the platform's HTTP/1.1 API.
type HTTPStore struct {
	addr    netip.AddrPort
	timeout time.Duration
	client  *fasthttp.HostClient
}

// NewHTTPStore returns a client of the platform at addr. It connects from the local address source unless source is the zero
// value or unspecified. A call takes at most timeout, and a watch at most its wait plus timeout. A call also ends with its
// context; a write may then still take effect. Writes are never retried. A read that fails is retried once on another
// connection, because the platform may have closed the idle one.
func NewHTTPStore(addr netip.AddrPort, source netip.Addr, timeout time.Duration) *HTTPStore {
	dialer := fasthttp.TCPDialer{}
	if source.IsValid() && !source.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return &HTTPStore{
		addr:    addr,
		timeout: timeout,
		client: &fasthttp.HostClient{
			Addr:                      addr.String(),
			MaxConns:                  maxConnections,
			MaxIdleConnDuration:       idleTimeout,
			MaxResponseBodySize:       maxResponseBytes,
			MaxIdemponentCallAttempts: 2,
			RetryIfErr: func(req *fasthttp.Request, _ int, _ error) (bool, bool) {
				return false, req.Header.IsGet()
			},
			Dial: CheckResponses(func(a string) (net.Conn, error) {
				return dialer.DialTimeout(a, timeout)
			}),
		},
	}
}

// Get implements Store.
func (h *HTTPStore) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := h.call(ctx, call{
		method: fasthttp.MethodGet,
		path:   PathObject,
		kind:   kind,
		name:   name,
	}, &o)
	return o, err
}

// List implements Store.
func (h *HTTPStore) List(ctx context.Context, kind string) ([]Object, error) {
	var list []Object
	err := h.call(ctx, call{
		method: fasthttp.MethodGet,
		path:   PathList,
		kind:   kind,
	}, &list)
	return list, err
}

// Create implements Store.
func (h *HTTPStore) Create(ctx context.Context, o Object) (Object, error) {
	o.Version = 0
	return h.write(ctx, fasthttp.MethodPost, o)
}

// Update implements Store.
func (h *HTTPStore) Update(ctx context.Context, o Object) (Object, error) {
	return h.write(ctx, fasthttp.MethodPut, o)
}

// Delete implements Store.
func (h *HTTPStore) Delete(ctx context.Context, o Object) error {
	o.Value = nil
	_, err := h.write(ctx, fasthttp.MethodDelete, o)
	return err
}

// Watch implements Store.
func (h *HTTPStore) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Object, error) {
	var list []Object
	err := h.call(ctx, call{
		method:  fasthttp.MethodGet,
		path:    PathWatch,
		kind:    kind,
		version: after,
		wait:    wait,
	}, &list)
	return list, err
}

// VMs implements Store.
func (h *HTTPStore) VMs(ctx context.Context) ([]VM, error) {
	var list []VM
	err := h.call(ctx, call{
		method: fasthttp.MethodGet,
		path:   PathVMs,
	}, &list)
	return list, err
}

// write sends a write of o and returns o with its new version. Values above MaxValueBytes are not sent.
func (h *HTTPStore) write(ctx context.Context, method string, o Object) (Object, error) {
	if len(o.Value) > MaxValueBytes {
		return Object{}, fmt.Errorf("the value of %s/%s has %d bytes: %w", o.Kind, o.Name, len(o.Value), ErrTooLarge)
	}
	var stored Object
	err := h.call(ctx, call{
		method:  method,
		path:    PathObject,
		kind:    o.Kind,
		name:    o.Name,
		version: o.Version,
		value:   o.Value,
	}, &stored)
	if err != nil {
		return Object{}, err
	}
	o.Version = stored.Version
	return o, nil
}

// call is one request to the platform. Fields with the zero value are not sent.
type call struct {
	method  string
	path    string
	kind    string
	name    string
	version uint64
	wait    time.Duration
	value   []byte
}

func (c call) prepare(req *fasthttp.Request, host string) {
	req.Header.SetMethod(c.method)
	req.Header.SetHost(host)
	req.SetRequestURI(c.path)
	args := req.URI().QueryArgs()
	if c.kind != "" {
		args.Set("Kind", c.kind)
	}
	if c.name != "" {
		args.Set("Name", c.name)
	}
	if c.version > 0 {
		args.Set("Version", strconv.FormatUint(c.version, 10))
	}
	if c.wait > 0 {
		args.Set("Wait", c.wait.String())
	}
	if c.method != fasthttp.MethodGet {
		req.Header.SetContentType("application/octet-stream")
		req.SetBody(c.value)
	}
}

// call sends one request and decodes the response into out.
func (h *HTTPStore) call(ctx context.Context, c call, out any) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("the context ended before the request to the platform was sent: %w", err)
	}
	deadline := time.Now().Add(h.timeout + c.wait)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	resp, err := DoRequest(ctx, h.client, deadline, func(req *fasthttp.Request) {
		c.prepare(req, h.addr.String())
	})
	if err != nil {
		return err
	}
	if resp.Status != fasthttp.StatusOK {
		return fmt.Errorf("%s %s/%s: %w", c.method, c.kind, c.name, statusError(resp.Status))
	}
	if err := json.Unmarshal(resp.Body, out); err != nil {
		return fmt.Errorf("the response of the platform cannot be decoded: %w", err)
	}
	return nil
}

var errUnexpectedStatus = errors.New("unexpected HTTP status from the platform")

func statusError(status int) error {
	switch status {
	case fasthttp.StatusNotFound:
		return ErrNotFound
	case fasthttp.StatusConflict:
		return ErrExists
	case fasthttp.StatusPreconditionFailed:
		return ErrConflict
	case fasthttp.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return ErrUnavailable
	default:
		return fmt.Errorf("%w: %d", errUnexpectedStatus, status)
	}
}
