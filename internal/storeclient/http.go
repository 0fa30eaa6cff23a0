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

// Paths of the platform. Objects are named by the query arguments Kind and Name; the body of a write is the value; other
// bodies are JSON documents of the types of this package.
const (
	PathObject = "/object"
	PathList   = "/list"
	PathWatch  = "/watch"
	PathVMs    = "/vms"
)

const (
	// maxAnswer bounds a list in bytes.
	maxAnswer = 64 << 20
	// maxConnections bounds the connections to the platform, waiting watches included.
	maxConnections = 64
	// idleTime is below the time after which servers usually close idle connections, because a write on a connection that the
	// server closes at the same time has an unknown outcome.
	idleTime = 5 * time.Second
)

// HTTPStore is the Store that speaks HTTP/1.1 to the platform.
type HTTPStore struct {
	addr    netip.AddrPort
	timeout time.Duration
	client  *fasthttp.HostClient
}

// NewHTTPStore returns a client of the platform at addr, which connects from source unless that is the zero value. A call takes at most timeout, a watch that much more than its wait. Calls
// also end with their context; a write may then still take effect. Writes are never retried; a read is, once, on a new
// connection when an idle one turns out to be closed.
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
			MaxIdleConnDuration:       idleTime,
			MaxResponseBodySize:       maxAnswer,
			MaxIdemponentCallAttempts: 2,
			RetryIfErr: func(req *fasthttp.Request, _ int, _ error) (bool, bool) {
				return false, req.Header.IsGet()
			},
			Dial: func(a string) (net.Conn, error) {
				return dialer.DialTimeout(a, timeout)
			},
		},
	}
}

// Get returns one object, or ErrNotFound.
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

// List returns the objects of a kind ordered by name.
func (h *HTTPStore) List(ctx context.Context, kind string) ([]Object, error) {
	var list []Object
	err := h.call(ctx, call{
		method: fasthttp.MethodGet,
		path:   PathList,
		kind:   kind,
	}, &list)
	return list, err
}

// Create stores o if no object has its kind and name. Else it returns ErrExists.
func (h *HTTPStore) Create(ctx context.Context, o Object) (Object, error) {
	o.Version = 0
	return h.write(ctx, fasthttp.MethodPost, o)
}

// Update replaces the value if the stored version equals o.Version. Else it returns ErrConflict or ErrNotFound.
func (h *HTTPStore) Update(ctx context.Context, o Object) (Object, error) {
	return h.write(ctx, fasthttp.MethodPut, o)
}

// Delete removes the object if the stored version equals o.Version. Else it returns ErrConflict or ErrNotFound.
func (h *HTTPStore) Delete(ctx context.Context, o Object) error {
	o.Value = nil
	_, err := h.write(ctx, fasthttp.MethodDelete, o)
	return err
}

// Watch waits up to wait for objects of the kind with a version above after.
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

// VMs returns the platform's list of VMs.
func (h *HTTPStore) VMs(ctx context.Context) ([]VM, error) {
	var list []VM
	err := h.call(ctx, call{
		method: fasthttp.MethodGet,
		path:   PathVMs,
	}, &list)
	return list, err
}

// write returns o with its new version.
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

// call is one request to the platform. A zero field is not sent.
type call struct {
	method  string
	path    string
	kind    string
	name    string
	version uint64
	wait    time.Duration
	value   []byte
}

func (c call) fill(req *fasthttp.Request, host string) {
	req.Header.SetMethod(c.method)
	req.Header.SetHost(host)
	req.SetRequestURI(c.path)
	args := req.URI().QueryArgs()
	for _, a := range [][2]string{{"Kind", c.kind}, {"Name", c.name}} {
		if a[1] != "" {
			args.Set(a[0], a[1])
		}
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

// call makes one call and decodes the answer into out.
func (h *HTTPStore) call(ctx context.Context, c call, out any) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("the call of the platform ended before it was sent: %w", err)
	}
	deadline := time.Now().Add(h.timeout + c.wait)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	a, err := DoRequest(ctx, h.client, deadline, func(req *fasthttp.Request) {
		c.fill(req, h.addr.String())
	})
	if err != nil {
		return err
	}
	if a.Status != fasthttp.StatusOK {
		return fmt.Errorf("%s %s/%s: %w", c.method, c.kind, c.name, statusError(a.Status))
	}
	if err := json.Unmarshal(a.Body, out); err != nil {
		return fmt.Errorf("the answer of the platform cannot be decoded: %w", err)
	}
	return nil
}

var errStatus = errors.New("the platform answered with an unexpected status")

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
		return fmt.Errorf("%w: %d", errStatus, status)
	}
}
