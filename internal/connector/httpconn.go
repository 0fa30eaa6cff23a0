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
)

// bufferSize holds most requests and answers in one system call each.
const bufferSize = 8 << 10

// readers and writers hold the buffers of connections that are not in an exchange. An idle connection has none: with one pair each,
// 250 connections took 4 of the 9 MB of live heap of an entry VM.
var (
	readers = sync.Pool{
		New: func() any { return bufio.NewReaderSize(nil, bufferSize) },
	}
	writers = sync.Pool{
		New: func() any { return bufio.NewWriterSize(nil, bufferSize) },
	}
)

// maxForeign bounds the answers to earlier requests that one exchange skips.
const maxForeign = 4

var errForeign = errors.New("the backend server answered other requests only")

// HTTPConn is one HTTP/1.1 connection to a backend server, for one exchange at a time.
type HTTPConn struct {
	stream   *stream
	host     string
	unusable atomic.Bool
}

func newLink(c net.Conn) *HTTPConn {
	return &HTTPConn{
		stream: newStream(c),
		host:   c.RemoteAddr().String(),
	}
}

// Usable reports whether the link can carry another exchange.
func (l *HTTPConn) Usable() bool {
	return !l.unusable.Load()
}

// Close ends the connection, which cancels a running request at the backend server.
func (l *HTTPConn) Close() error {
	l.unusable.Store(true)
	return l.stream.Close()
}

// Exchange writes req and reads resp. Answers that owns denies belong to earlier requests and are skipped; a nil owns accepts
// every answer. The end of the context closes the connection. Its errors are those of Conn.
func (l *HTTPConn) Exchange(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, owns func(*fasthttp.Response) bool) error {
	if !l.Usable() {
		return classifier.Errorf(classifier.NotSent, "the connection to %s is closed", l.host)
	}
	if err := ctx.Err(); err != nil {
		return classifier.Errorf(classifier.NotSent, "the request to %s ended before it was sent: %w", l.host, err)
	}
	if err := l.stream.checkIdle(); err != nil {
		_ = l.Close()
		return classifier.Errorf(classifier.NotSent, "the idle connection to %s had ended: %w", l.host, err)
	}
	l.stream.written = 0
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
	})
	rest, err := l.roundTrip(req, resp, owns)
	if !stop() {
		l.unusable.Store(true)
	}
	if err != nil {
		return l.failed(ctx, err)
	}
	// Bytes behind the answer would be taken for the answer to the next request.
	if resp.ConnectionClose() || rest > 0 {
		_ = l.Close()
	}
	return nil
}

// roundTrip returns the number of bytes that were received behind the answer.
func (l *HTTPConn) roundTrip(req *fasthttp.Request, resp *fasthttp.Response, owns func(*fasthttp.Response) bool) (rest int, err error) {
	if err := l.write(req); err != nil {
		return 0, err
	}
	br := readers.Get().(*bufio.Reader)
	br.Reset(l.stream)
	defer func() {
		br.Reset(nil)
		readers.Put(br)
	}()
	for range maxForeign {
		if err := resp.ReadLimitBody(br, MaxAnswerBytes); err != nil {
			return 0, err
		}
		if owns == nil || owns(resp) {
			return br.Buffered(), nil
		}
		if resp.ConnectionClose() {
			break
		}
	}
	return 0, errForeign
}

func (l *HTTPConn) write(req *fasthttp.Request) error {
	bw := writers.Get().(*bufio.Writer)
	bw.Reset(l.stream)
	defer func() {
		bw.Reset(nil)
		writers.Put(bw)
	}()
	if err := req.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// failed closes the connection and returns the error for a request that was not answered.
func (l *HTTPConn) failed(ctx context.Context, err error) error {
	_ = l.Close()
	lost := l.stream.err
	switch {
	case l.stream.written == 0:
		return classifier.Errorf(classifier.NotSent, "no byte was written to %s: %w", l.host, err)
	case lost == nil:
		return classifier.Errorf(classifier.BadAnswer, "the answer of %s cannot be read: %w", l.host, err)
	case !errors.Is(lost, net.ErrClosed):
		return classifier.Errorf(classifier.ConnectionReset, "the connection to %s broke: %w", l.host, lost)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return classifier.Errorf(classifier.Timeout, "no answer of %s by the deadline: %w", l.host, ctx.Err())
	default:
		return classifier.Errorf(classifier.Cancelled, "the request to %s was cancelled", l.host)
	}
}
