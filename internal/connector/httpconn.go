package connector

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/framer"
)

// bufferSize is the size of read and write buffers in bytes. Most requests and responses fit, so that each takes one system call.
const bufferSize = 8 << 10

// readerPool and writerPool contain buffers for the duration of an exchange. Idle connections have no buffers, because 250
// connections with a pair each took 4 of the 9 MB of live heap of an entry VM.
var (
	readerPool = sync.Pool{
		New: func() any { return bufio.NewReaderSize(nil, bufferSize) },
	}
	writerPool = sync.Pool{
		New: func() any { return bufio.NewWriterSize(nil, bufferSize) },
	}
)

// maxStaleResponses bounds the responses that one exchange reads when they belong to earlier requests.
const maxStaleResponses = 4

var errNoMatchingResponse = errors.New("the backend server sent responses to other requests only")

// HTTPConn is an HTTP/1.1 connection to a backend server. It carries one exchange of a request and its response at a time.
type HTTPConn struct {
	stream *stream
	// responses delimits the responses that are received on stream.
	responses *framer.Conn
	host      string
	unusable  atomic.Bool
}

func newHTTPConn(c net.Conn, limit *bufferLimit) *HTTPConn {
	s := newStream(c, limit)
	return &HTTPConn{
		stream:    s,
		responses: framer.New(s),
		host:      c.RemoteAddr().String(),
	}
}

// Usable reports whether the connection can carry another exchange. It is safe for concurrent use.
func (c *HTTPConn) Usable() bool {
	return !c.unusable.Load()
}

// Close closes the connection, which cancels a running request at the backend server. It is safe for concurrent use.
func (c *HTTPConn) Close() error {
	c.unusable.Store(true)
	return c.stream.Close()
}

// Exchange writes req and reads resp. Responses for which matches returns false belong to earlier requests and are skipped; a nil
// matches accepts every response. The connection is closed when the context ends. The errors are those of Conn.
func (c *HTTPConn) Exchange(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, matches func(*fasthttp.Response) bool) error {
	if !c.Usable() {
		return classifier.Errorf(classifier.NotSent, "the connection to %s is closed", c.host)
	}
	if err := ctx.Err(); err != nil {
		return classifier.Errorf(classifier.NotSent, "the context of the request to %s ended before it was sent: %w", c.host, err)
	}
	if err := c.stream.checkIdle(); err != nil {
		_ = c.Close()
		return classifier.Errorf(classifier.NotSent, "the idle connection to %s cannot be used again: %w", c.host, err)
	}
	c.stream.bytesWritten = 0
	defer c.stream.buffered.release()
	stop := context.AfterFunc(ctx, func() {
		_ = c.Close()
	})
	err := c.roundTrip(req, resp, matches)
	if !stop() {
		c.unusable.Store(true)
	}
	if err != nil {
		return c.closeWithError(ctx, err)
	}
	// Bytes after the response would be read as the response to the next request.
	if resp.ConnectionClose() || c.responses.Excess() > 0 {
		_ = c.Close()
	}
	return nil
}

// roundTrip writes req and reads the matching response.
func (c *HTTPConn) roundTrip(req *fasthttp.Request, resp *fasthttp.Response, matches func(*fasthttp.Response) bool) error {
	if err := c.write(req); err != nil {
		return err
	}
	br := readerPool.Get().(*bufio.Reader)
	br.Reset(c.responses)
	defer func() {
		br.Reset(nil)
		readerPool.Put(br)
	}()
	resp.SkipBody = req.Header.IsHead()
	c.responses.ExpectHeadOnly(resp.SkipBody)
	for range maxStaleResponses {
		if err := resp.ReadLimitBody(br, MaxResponseBytes); err != nil {
			return err
		}
		if matches == nil || matches(resp) {
			return nil
		}
		if resp.ConnectionClose() {
			break
		}
	}
	return errNoMatchingResponse
}

func (c *HTTPConn) write(req *fasthttp.Request) error {
	bw := writerPool.Get().(*bufio.Writer)
	bw.Reset(c.stream)
	defer func() {
		bw.Reset(nil)
		writerPool.Put(bw)
	}()
	if err := req.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// closeWithError closes the connection after a failed exchange and returns err with the result code that follows from the bytes
// written, the first network error and the context.
func (c *HTTPConn) closeWithError(ctx context.Context, err error) error {
	_ = c.Close()
	netErr := c.stream.firstErr
	switch {
	case c.stream.bytesWritten == 0:
		return classifier.Errorf(classifier.NotSent, "no byte was written to %s: %w", c.host, err)
	case netErr == nil:
		return classifier.Errorf(classifier.BadAnswer, "the response of %s cannot be parsed: %w", c.host, err)
	case !errors.Is(netErr, net.ErrClosed):
		return classifier.Errorf(classifier.ConnectionReset, "the connection to %s failed: %w", c.host, netErr)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return classifier.Errorf(classifier.Timeout, "no response of %s by the deadline: %w", c.host, ctx.Err())
	default:
		return classifier.Errorf(classifier.Cancelled, "the request to %s was cancelled", c.host)
	}
}
