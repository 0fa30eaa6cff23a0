package connector_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
)

// The tests in this file guard against a result code which states that a request did not run although the backend server may
// have run it, against responses that are assigned to the wrong request, and against reuse of a connection in an unknown
// state.

const validBody = `{"Held":{"Snapshot":1,"Shard":0,"Of":2},"Searched":1,"Total":1,"Hits":[{"ID":"a","Score":2,"Body":"eA=="}]}`

// serve starts a TCP server that runs f for each connection and closes the connection when f returns.
func serve(t *testing.T, f func(c net.Conn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				f(c)
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// readRequest reads one request and returns its ID.
func readRequest(c net.Conn) string {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get(connector.HeaderRequestID)
}

func writeResponse(c net.Conn, status int, id, headers, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, connector.HeaderRequestID, id, headers, len(body), body)
}

// waitForClose discards received bytes until the peer closes the connection.
func waitForClose(c net.Conn) {
	_, _ = io.Copy(io.Discard, c)
}

func dial(t *testing.T, addr netip.AddrPort) connector.Conn {
	t.Helper()
	c, err := connector.NewHTTPDialer().Dial(context.Background(), addr)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

func search(ctx context.Context, c connector.Conn, id string) error {
	_, err := c.Search(ctx, connector.SearchRequest{
		RequestID: id,
		Snapshot:  1,
		Limit:     1,
		Body:      []byte("query"),
	})
	return err
}

// Guards against a wrong result code, and against a connection that is reused after a response which does not allow it.
func TestExchangeResultCodes(t *testing.T) {
	reply := func(status int, headers, body string) func(net.Conn) {
		return func(c net.Conn) {
			writeResponse(c, status, readRequest(c), headers, body)
			waitForClose(c)
		}
	}
	cases := []struct {
		name   string
		server func(c net.Conn)
		code   classifier.Code
		usable bool
	}{
		{"success", reply(200, "", validBody), classifier.OK, true},
		{"success with Connection: close", reply(200, "Connection: close\r\n", validBody), classifier.OK, false},
		{"shed", reply(503, "Refusal: Shed\r\n", ""), classifier.Shed, true},
		{"draining", reply(503, "Refusal: Draining\r\n", ""), classifier.Draining, true},
		{"503 with an unknown reason", reply(503, "Refusal: Tired\r\n", ""), classifier.BackendFailed, true},
		{"snapshot gone", reply(410, "", ""), classifier.SnapshotGone, true},
		{"deadline expired at the server", reply(504, "", ""), classifier.Timeout, true},
		{"failed", reply(500, "", ""), classifier.BackendFailed, true},
		{"other snapshot", reply(200, "", `{"Held":{"Snapshot":2,"Shard":0,"Of":2},"Total":1}`), classifier.BadAnswer, false},
		{"not JSON", reply(200, "", "{"), classifier.BadAnswer, false},
		{"connection closed during the request", func(c net.Conn) {
			_, _ = c.Read(make([]byte, 1))
		}, classifier.ConnectionReset, false},
		{"connection closed before the response", func(c net.Conn) { readRequest(c) }, classifier.ConnectionReset, false},
		{"connection closed during the response", func(c net.Conn) {
			fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nContent-Length: 500\r\n\r\n{", readRequest(c))
		}, classifier.ConnectionReset, false},
		{"not HTTP", func(c net.Conn) {
			readRequest(c)
			fmt.Fprint(c, "220 mail.example ready\r\n\r\n")
			waitForClose(c)
		}, classifier.BadAnswer, false},
		{"response to another request", func(c net.Conn) {
			readRequest(c)
			writeResponse(c, 200, "q0", "", validBody)
			waitForClose(c)
		}, classifier.BadAnswer, false},
		{"response to two requests", func(c net.Conn) {
			writeResponse(c, 200, readRequest(c), "Request-Id: q0\r\n", validBody)
			waitForClose(c)
		}, classifier.BadAnswer, false},
		{"request ID stated twice", reply(200, "Request-Id: q1\r\n", validBody), classifier.OK, true},
		{"refusal of another request", func(c net.Conn) {
			readRequest(c)
			writeResponse(c, 503, "q0", "Refusal: Shed\r\n", "")
			waitForClose(c)
		}, classifier.BadAnswer, false},
		{"timeout before the response", waitForClose, classifier.Timeout, false},
		{"timeout during the response", func(c net.Conn) {
			fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nContent-Length: 500\r\n\r\n{", readRequest(c))
			waitForClose(c)
		}, classifier.Timeout, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			wait := 10 * time.Second
			if tc.code == classifier.Timeout && !tc.usable {
				wait = 50 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			c := dial(t, serve(t, tc.server))
			err := search(ctx, c, "q1")
			assert.Equal(t, classifier.CodeOf(err), tc.code, "%v", err)
			assert.Equal(t, c.Usable(), tc.usable)
		})
	}
}

// Guards against a request that is written after its context has ended or to an idle connection that the server has closed, and
// against such a request being reported as one that may have run.
func TestUnsentRequestIsNotSent(t *testing.T) {
	closed := make(chan struct{})
	c := dial(t, serve(t, func(c net.Conn) {
		writeResponse(c, 200, readRequest(c), "", validBody)
		c.Close()
		close(closed)
	}))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, classifier.CodeOf(search(ended, c, "q1")), classifier.NotSent)
	assert.NilError(t, search(context.Background(), c, "q2"))
	<-closed
	// The server has closed the idle connection, so the request must not be written to it.
	assert.Equal(t, classifier.CodeOf(search(context.Background(), c, "q3")), classifier.NotSent)
	assert.Assert(t, !c.Usable())
}

// Guards against a refused connection being reported as a request that may have run.
func TestRefusedDialIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l.Close()
	_, err = connector.NewHTTPDialer().Dial(context.Background(), l.Addr().(*net.TCPAddr).AddrPort())
	assert.Equal(t, classifier.CodeOf(err), classifier.NotSent)
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED))
}

// Guards against a request being reported as not sent when the server closes a reused connection after it has read the request.
func TestReusedConnectionBrokenAfterWriteIsConnectionReset(t *testing.T) {
	c := dial(t, serve(t, func(c net.Conn) {
		writeResponse(c, 200, readRequest(c), "", validBody)
		readRequest(c)
	}))
	assert.NilError(t, search(context.Background(), c, "q1"))
	assert.Equal(t, classifier.CodeOf(search(context.Background(), c, "q2")), classifier.ConnectionReset)
}

// Guards against the second copy of a response being returned as the response to the next request on the same connection.
func TestDuplicateResponseIsNotUsedForNextRequest(t *testing.T) {
	c := dial(t, serve(t, func(c net.Conn) {
		id := readRequest(c)
		writeResponse(c, 200, id, "", validBody)
		writeResponse(c, 200, id, "", validBody)
		waitForClose(c)
	}))
	assert.NilError(t, search(context.Background(), c, "q1"))
	code := classifier.CodeOf(search(context.Background(), c, "q2"))
	// The copy may arrive before or after the second request is written.
	assert.Assert(t, code == classifier.NotSent || code == classifier.BadAnswer, "%s", code)
	assert.Assert(t, !c.Usable())
}

// Guards against a cancelled request that continues at the backend server because its connection stays open.
func TestCancellationClosesConnection(t *testing.T) {
	arrived, ended := make(chan struct{}), make(chan struct{})
	c := dial(t, serve(t, func(c net.Conn) {
		readRequest(c)
		close(arrived)
		waitForClose(c)
		close(ended)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	assert.Equal(t, classifier.CodeOf(search(ctx, c, "q1")), classifier.Cancelled)
	<-ended
}
