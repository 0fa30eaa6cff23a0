package framer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	crlf = "\r\n"
	lf   = "\n"
)

const (
	statusSwitchingProtocols = 101
	statusNoContent          = 204
	statusNotModified        = 304
)

// body describes how the end of a response's body is found. It is sealed: *sizedBody, *chunkedBody or unsizedBody.
type body interface{ isBody() }

// sizedBody has a known length.
type sizedBody struct {
	remaining int64
}

// chunkedBody consists of chunks.
type chunkedBody struct {
	// remaining is the number of unread data bytes of the current chunk.
	remaining int64
	// started is true after the size of the first chunk has been read.
	started bool
}

// unsizedBody ends when the server closes the connection.
type unsizedBody struct{}

func (*sizedBody) isBody()   {}
func (*chunkedBody) isBody() {}
func (unsizedBody) isBody()  {}

// head contains the parts of a response's head that determine where the response ends.
type head struct {
	// minor is the minor version of HTTP/1.
	minor  int
	status int
	// length is the value of Content-Length, or -1.
	length int64
	// codings is the value of Transfer-Encoding. It is meaningful only if hasCodings is true.
	codings    []byte
	hasCodings bool
	// keepAlive is true if the server states that it keeps the connection open.
	keepAlive bool
	// mustClose is true if the connection must not be used after the response.
	mustClose bool
}

func (h *head) isInterim() bool {
	return h.status < 200
}

// selectBody returns the body that follows the head (RFC 9112, section 6.3).
func (h *head) selectBody(headOnly bool) (body, error) {
	if h.hasCodings {
		switch {
		case h.minor == 0:
			return nil, malformed("HTTP/1.0 has no transfer codings")
		case h.length >= 0:
			return nil, malformed("both a length and a transfer coding")
		case !isChunked(h.codings):
			return nil, malformed("unknown transfer coding %q", h.codings)
		}
	}
	switch {
	case h.status == statusNoContent:
		// The server may send the announced body nevertheless.
		h.mustClose = h.hasCodings || h.length > 0
		h.length = -1
		return &sizedBody{}, nil
	case headOnly, h.status == statusNotModified:
		return &sizedBody{}, nil
	case h.hasCodings:
		return &chunkedBody{}, nil
	case h.length >= 0:
		return &sizedBody{
			remaining: h.length,
		}, nil
	default:
		return unsizedBody{}, nil
	}
}

// headReader reads heads of responses.
type headReader struct {
	lines lineReader
	// out contains the status line and the fields of the last head, without those that delimit the response. Between the chunks of a
	// body it contains their framing.
	out []byte
	// name and value are the field that is being read. An empty name means that there is none.
	name, value []byte
}

// read reads one head. The error is io.EOF if the connection ends before its first byte.
func (r *headReader) read() (*head, error) {
	line, err := r.lines.readFirst()
	if err != nil {
		return nil, err
	}
	h := &head{
		length: -1,
	}
	reason, err := h.parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	r.out = append(r.out[:0], "HTTP/1.1 "...)
	r.out = strconv.AppendInt(r.out, int64(h.status), 10)
	r.out = append(r.out, ' ')
	r.out = append(r.out, reason...)
	r.out = append(r.out, crlf...)
	return h, unexpectedEOF(r.readFields(h))
}

// readFields reads the fields up to the empty line.
func (r *headReader) readFields(h *head) error {
	// A head that could not be read has left its last field.
	r.name = r.name[:0]
	for {
		line, err := r.lines.read()
		if err != nil {
			return err
		}
		if len(line) > 0 && isBlank(line[0]) {
			if err := r.continueField(line); err != nil {
				return err
			}
			continue
		}
		if err := r.endField(h); err != nil || len(line) == 0 {
			return err
		}
		name, value, err := parseField(line)
		if err != nil {
			return err
		}
		r.name = append(r.name[:0], name...)
		r.value = append(r.value[:0], value...)
	}
}

// continueField appends a line that begins with a blank to the field, separated by a space (RFC 9112, section 5.2).
func (r *headReader) continueField(line []byte) error {
	more := trimBlanks(line)
	if len(r.name) == 0 {
		return malformed("the first field begins with a blank")
	}
	if !isFieldValue(more) {
		return malformed("control byte in the value of the field %q", r.name)
	}
	if len(r.value) > 0 && len(more) > 0 {
		r.value = append(r.value, ' ')
	}
	r.value = append(r.value, more...)
	return nil
}

// endField interprets the complete field and appends it to out unless it delimits the response.
func (r *headReader) endField(h *head) error {
	if len(r.name) == 0 {
		return nil
	}
	defer func() {
		r.name = r.name[:0]
	}()
	switch {
	case bytes.EqualFold(r.name, []byte("Content-Length")):
		return h.addLength(r.value)
	case bytes.EqualFold(r.name, []byte("Transfer-Encoding")):
		h.addCodings(r.value)
		return nil
	case bytes.EqualFold(r.name, []byte("Connection")):
		h.keepAlive = h.keepAlive || containsToken(r.value, "keep-alive")
	}
	r.out = append(r.out, r.name...)
	r.out = append(r.out, ": "...)
	r.out = append(r.out, r.value...)
	r.out = append(r.out, crlf...)
	return nil
}

// appendFraming appends the fields that delimit the response and the end of the head to out.
func (r *headReader) appendFraming(h *head, b body) {
	if _, ok := b.(*chunkedBody); ok {
		r.out = append(r.out, "Transfer-Encoding: chunked\r\n"...)
	}
	if h.length >= 0 {
		r.out = append(r.out, "Content-Length: "...)
		r.out = strconv.AppendInt(r.out, h.length, 10)
		r.out = append(r.out, crlf...)
	}
	if h.mustClose || h.minor == 0 && !h.keepAlive {
		r.out = append(r.out, "Connection: close\r\n"...)
	}
	r.out = append(r.out, crlf...)
}

// skipTrailers reads the trailers up to the empty line and leaves them out: parsers may take them for fields of the head, which they
// must not be (RFC 9110, section 6.5.1).
func (r *headReader) skipTrailers() error {
	n := len(r.out)
	err := r.readFields(&head{
		length: -1,
	})
	r.out = r.out[:n]
	return err
}

// lineReader reads lines of at most bufferSize bytes.
type lineReader struct {
	src *bufio.Reader
	// left is the number of bytes that may still be read.
	left int
	// end is the end of all lines, CRLF or LF. A single LF between lines that end with CRLF would be an empty line, and so the end of the
	// head, for some parsers, and a byte of a field for others.
	end string
}

// readFirst returns the first line of a head without its end. Its end becomes that of all lines.
func (l *lineReader) readFirst() ([]byte, error) {
	l.end = lf
	line, err := l.read()
	if line, ok := bytes.CutSuffix(line, []byte("\r")); ok {
		l.end = crlf
		return line, err
	}
	return line, err
}

// read returns a line without its end. The line is valid until the next read.
func (l *lineReader) read() ([]byte, error) {
	line, err := l.src.ReadSlice('\n')
	l.left -= len(line)
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, malformed("a line is longer than %d bytes", bufferSize)
	case l.left < 0:
		return nil, malformed("a head or the trailers are longer than %d bytes", maxHeadBytes)
	case errors.Is(err, io.EOF) && len(line) > 0:
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	}
	line, ok := bytes.CutSuffix(line, []byte(l.end))
	if !ok {
		return nil, malformed("a line ends without CRLF")
	}
	return line, nil
}
