package framer_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/framer"
	"github.com/anvildyke/anvildyke/internal/standin/replayer"
)

// receivedBytes is a connection on which the bytes of a reader are received.
type receivedBytes struct {
	net.Conn
	io.Reader
}

func (c receivedBytes) Read(p []byte) (int, error) {
	return c.Reader.Read(p)
}

func newConn(r io.Reader) *framer.Conn {
	return framer.New(receivedBytes{
		Reader: r,
	})
}

// Guards against results that depend on how the network splits a response or on the size of the reader's buffer.
func TestSplitResponse(t *testing.T) {
	responses, err := replayer.Responses()
	assert.NilError(t, err)
	for _, r := range responses {
		t.Run(r.Name, func(t *testing.T) {
			data := strings.Replace(r.Bytes, replayer.FieldMark, "", 1)
			whole, wholeErr := io.ReadAll(newConn(strings.NewReader(data)))
			for _, split := range []io.Reader{
				newConn(iotest.OneByteReader(strings.NewReader(data))),
				iotest.OneByteReader(newConn(strings.NewReader(data))),
				iotest.OneByteReader(newConn(iotest.DataErrReader(strings.NewReader(data)))),
			} {
				got, err := io.ReadAll(split)
				assert.Equal(t, string(got), string(whole))
				assert.Equal(t, errors.Is(err, framer.ErrMalformed), errors.Is(wholeErr, framer.ErrMalformed), "%v, %v", err, wholeErr)
			}
		})
	}
}

// Guards against a field of a malformed head that appears in the response on another connection.
func TestMalformedHeadLeavesNothing(t *testing.T) {
	for range 10 {
		_, err := io.ReadAll(newConn(strings.NewReader("HTTP/1.1 200 OK\r\nLeft: a\r\nBad Name: b\r\n\r\n")))
		assert.ErrorIs(t, err, framer.ErrMalformed)
		data, err := io.ReadAll(newConn(strings.NewReader("HTTP/1.1 204 X\r\nName: a\r\n\r\n")))
		assert.NilError(t, err)
		assert.Equal(t, string(data), "HTTP/1.1 204 X\r\nName: a\r\n\r\n")
	}
}

// endless is a line of testdata/endless.txt.
type endless struct {
	start string
	// part is repeated after start.
	part string
}

func readEndless(t *testing.T) []endless {
	t.Helper()
	file, err := os.ReadFile("testdata/endless.txt")
	assert.NilError(t, err)
	var list []endless
	for line := range strings.Lines(string(file)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		start, part, ok := strings.Cut(strings.TrimSpace(line), " | ")
		assert.Assert(t, ok, line)
		start, err = strconv.Unquote(`"` + start + `"`)
		assert.NilError(t, err, line)
		part, err = strconv.Unquote(`"` + part + `"`)
		assert.NilError(t, err, line)
		list = append(list, endless{
			start: start,
			part:  part,
		})
	}
	return list
}

// Guards against heads, interim responses, chunk sizes and trailers without end that are read without limit.
func TestEndlessHeads(t *testing.T) {
	for _, e := range readEndless(t) {
		r := strings.NewReader(e.start + strings.Repeat(e.part, (1<<20)/len(e.part)))
		received := r.Len()
		_, err := io.ReadAll(newConn(r))
		assert.ErrorIs(t, err, framer.ErrMalformed, "%+v", e)
		assert.Assert(t, received-r.Len() < 128<<10, "%+v: read %d bytes", e, received-r.Len())
	}
}

// Guards against bytes that make the process panic, and against responses that two HTTP parsers read differently.
func FuzzResponse(f *testing.F) {
	responses, err := replayer.Responses()
	assert.NilError(f, err)
	for _, r := range responses {
		f.Add([]byte(strings.Replace(r.Bytes, replayer.FieldMark, "", 1)))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newConn(bytes.NewReader(data))
		resp := &fasthttp.Response{}
		// Without a limit, the library allocates as many bytes as a chunk states.
		if resp.ReadLimitBody(bufio.NewReader(c), 1<<20) != nil {
			return
		}
		assert.Assert(t, resp.StatusCode() >= 200 && resp.StatusCode() <= 599, "%d", resp.StatusCode())
		other, err := http.ReadResponse(bufio.NewReader(newConn(bytes.NewReader(data))), nil)
		assert.NilError(t, err)
		defer other.Body.Close()
		body, err := io.ReadAll(other.Body)
		assert.NilError(t, err)
		assert.Equal(t, other.StatusCode, resp.StatusCode())
		assert.DeepEqual(t, string(body), string(resp.Body()))
	})
}
