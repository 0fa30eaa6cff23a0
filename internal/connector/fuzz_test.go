package connector_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
)

// Guards against bytes of a backend server that make the process panic or that are taken for a valid search result without the ID of
// the request.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 X\r\nRequest-Id: q1\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 X\r\nRequest-Id: q1\r\n\r\n" + validBody))
	f.Add([]byte("\r\n\r\nSSH-2.0-x\r\n"))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f, err)
	responses := make(chan []byte, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			readRequest(c)
			_, _ = c.Write(<-responses)
			_ = c.Close()
		}
	}()
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := connector.NewHTTPDialer().Dial(context.Background(), l.Addr().(*net.TCPAddr).AddrPort())
		assert.NilError(t, err)
		defer c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		responses <- data
		_, err = c.Search(ctx, connector.SearchRequest{
			RequestID: "q1",
			Snapshot:  1,
			Limit:     1,
		})
		if err != nil {
			assert.Assert(t, classifier.CodeOf(err) != classifier.OK)
			return
		}
		assert.Assert(t, len(data) > 0)
	})
}
