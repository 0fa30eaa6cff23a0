// Package framer delimits the HTTP/1.1 responses on a client's connection and rejects bytes that are no response according to
// RFC 9112.
package framer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
)

const (
	// bufferSize is the size of the read buffer in bytes and the maximum length of a line.
	bufferSize = 8 << 10
	// maxHeadBytes bounds the head of a response together with the interim responses before it, and also the trailers.
	maxHeadBytes = 64 << 10
)

// ErrMalformed means that the received bytes are no response. The connection has to be closed, because it is unknown where the next
// response begins.
var ErrMalformed = errors.New("malformed HTTP response")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Conn is the client's end of an HTTP/1.1 connection. Read returns well-formed responses only, and every response in one form, so that
// all parsers agree on it: its lines end with CRLF, each field is on one line, its length is stated once, and interim responses, chunk
// extensions and trailers are left out. Errors wrap ErrMalformed or are those of the underlying connection; after an error all reads
// fail. Reads must not run concurrently.
type Conn struct {
	net.Conn
	// headOnly is true if responses have no body because their requests have the method HEAD.
	headOnly bool
	// buf is nil between responses, so that idle connections hold no buffers.
	buf *buffers
	// pending is the part of buf.heads.out that Read has not returned yet.
	pending []byte
	// body is the unread part of the current response, or nil between responses.
	body body
	// err is the error that ended the connection for reading.
	err error
}

type buffers struct {
	reader *bufio.Reader
	// heads reads from reader.
	heads headReader
}

var bufferPool = sync.Pool{
	New: func() any {
		r := bufio.NewReaderSize(nil, bufferSize)
		return &buffers{
			reader: r,
			heads: headReader{
				lines: lineReader{
					src: r,
				},
			},
		}
	},
}

// New returns a Conn for a connection on which no request is in progress.
func New(c net.Conn) *Conn {
	return &Conn{
		Conn: c,
	}
}

// ExpectHeadOnly sets whether the next responses belong to HEAD requests. Such a response has no body, whatever length it states.
func (c *Conn) ExpectHeadOnly(headOnly bool) {
	c.headOnly = headOnly
}

// Excess returns the number of bytes that were received after the end of the last response.
func (c *Conn) Excess() int {
	if c.buf == nil || c.body != nil {
		return 0
	}
	return c.buf.reader.Buffered()
}

// Read implements net.Conn. It returns bytes of one response at a time.
func (c *Conn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	defer c.releaseBuffers()
	for n == 0 {
		switch {
		case len(c.pending) > 0:
			n = copy(p, c.pending)
			c.pending = c.pending[n:]
		case c.err != nil:
			return 0, c.err
		default:
			n, c.err = c.advance(p)
		}
	}
	return n, nil
}

// advance reads the next part of the response. It either stores bytes in p and returns their number, or sets c.pending.
func (c *Conn) advance(p []byte) (int, error) {
	switch b := c.body.(type) {
	case *sizedBody:
		n, err := c.readData(p, &b.remaining)
		if b.remaining == 0 {
			c.body = nil
		}
		return n, err
	case *chunkedBody:
		if b.remaining > 0 {
			return c.readData(p, &b.remaining)
		}
		return 0, c.nextChunk(b)
	case unsizedBody:
		return c.buf.reader.Read(p)
	default:
		return 0, c.readHead()
	}
}

// readData reads body bytes into p and subtracts their number from remaining.
func (c *Conn) readData(p []byte, remaining *int64) (int, error) {
	n, err := c.buf.reader.Read(p[:min(int64(len(p)), *remaining)])
	*remaining -= int64(n)
	return n, unexpectedEOF(err)
}

// readHead reads a head, skipping interim responses, and sets c.pending and c.body.
func (c *Conn) readHead() error {
	c.acquireBuffers()
	r := &c.buf.heads
	r.lines.left = maxHeadBytes
	h, err := r.read()
	for err == nil && h.isInterim() {
		if h.status == statusSwitchingProtocols {
			return malformed("a switch of protocols that was not requested")
		}
		h, err = r.read()
		err = unexpectedEOF(err)
	}
	if err != nil {
		return err
	}
	b, err := h.selectBody(c.headOnly)
	if err != nil {
		return err
	}
	r.appendFraming(h, b)
	c.pending = r.out
	if s, ok := b.(*sizedBody); !ok || s.remaining > 0 {
		c.body = b
	}
	return nil
}

// nextChunk reads the end of the previous chunk, if there is one, and the size of the next one. After the last chunk it reads the
// trailers and ends the response.
func (c *Conn) nextChunk(b *chunkedBody) error {
	r := &c.buf.heads
	r.lines.left = maxHeadBytes
	r.lines.end = crlf
	r.out = r.out[:0]
	if b.started {
		line, err := r.lines.read()
		if err != nil {
			return unexpectedEOF(err)
		}
		if len(line) > 0 {
			return malformed("a chunk is longer than its size")
		}
		r.out = append(r.out, crlf...)
	}
	line, err := r.lines.read()
	if err != nil {
		return unexpectedEOF(err)
	}
	if b.remaining, err = parseChunkSize(line); err != nil {
		return err
	}
	b.started = true
	r.out = strconv.AppendInt(r.out, b.remaining, 16)
	r.out = append(r.out, crlf...)
	if b.remaining == 0 {
		if err := r.skipTrailers(); err != nil {
			return unexpectedEOF(err)
		}
		r.out = append(r.out, crlf...)
		c.body = nil
	}
	c.pending = r.out
	return nil
}

func (c *Conn) acquireBuffers() {
	if c.buf == nil {
		c.buf = bufferPool.Get().(*buffers)
		c.buf.reader.Reset(c.Conn)
	}
}

// releaseBuffers gives up the buffers after the end of a response, unless they contain bytes that belong to no response.
func (c *Conn) releaseBuffers() {
	if c.buf == nil || c.body != nil || len(c.pending) > 0 || c.buf.reader.Buffered() > 0 {
		return
	}
	c.buf.reader.Reset(nil)
	bufferPool.Put(c.buf)
	c.buf = nil
	c.pending = nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF for io.EOF, and other errors unchanged.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
