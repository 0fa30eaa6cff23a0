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

// These tests guard against a result code that claims "not run" when the backend server may have run the request, against
// answers that are given to the wrong request, and against reuse of a connection whose next bytes are not known.

const goodBody = `{"Held":{"Snapshot":1,"Shard":0,"Of":2},"Searched":1,"Total":1,"Hits":[{"ID":"a","Score":2,"Body":"eA=="}]}`

// serve runs f once for each connection to a fake server. The connection is closed when f returns.
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

// read reads one request and returns its ID.
func read(c net.Conn) string {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get(connector.HeaderRequestID)
}

func write(c net.Conn, status int, id, headers, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, connector.HeaderRequestID, id, headers, len(body), body)
}

func hang(c net.Conn) {
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

func TestCodesOfOneExchange(t *testing.T) {
	reply := func(status int, headers, body string) func(net.Conn) {
		return func(c net.Conn) {
			write(c, status, read(c), headers, body)
			hang(c)
		}
	}
	cases := []struct {
		name   string
		server func(c net.Conn)
		code   classifier.Code
		usable bool
	}{
		{"answered", reply(200, "", goodBody), classifier.OK, true},
		{"answered and closed", reply(200, "Connection: close\r\n", goodBody), classifier.OK, false},
		{"shed", reply(503, "Refusal: Shed\r\n", ""), classifier.Shed, true},
		{"draining", reply(503, "Refusal: Draining\r\n", ""), classifier.Draining, true},
		{"unknown reason", reply(503, "Refusal: Tired\r\n", ""), classifier.BackendFailed, true},
		{"snapshot gone", reply(410, "", ""), classifier.SnapshotGone, true},
		{"ended by the server at the deadline", reply(504, "", ""), classifier.Timeout, true},
		{"failed", reply(500, "", ""), classifier.BackendFailed, true},
		{"other snapshot", reply(200, "", `{"Held":{"Snapshot":2,"Shard":0,"Of":2},"Total":1}`), classifier.BadAnswer, false},
		{"not JSON", reply(200, "", "{"), classifier.BadAnswer, false},
		{"cut during the request", func(c net.Conn) {
			_, _ = c.Read(make([]byte, 1))
		}, classifier.ConnectionReset, false},
		{"cut before the answer", func(c net.Conn) { read(c) }, classifier.ConnectionReset, false},
		{"cut in the answer", func(c net.Conn) {
			fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nContent-Length: 500\r\n\r\n{", read(c))
		}, classifier.ConnectionReset, false},
		{"garbage", func(c net.Conn) {
			read(c)
			fmt.Fprint(c, "220 mail.example ready\r\n\r\n")
			hang(c)
		}, classifier.BadAnswer, false},
		{"wrong ID", func(c net.Conn) {
			read(c)
			write(c, 200, "q0", "", goodBody)
			hang(c)
		}, classifier.BadAnswer, false},
		{"refusal of another request", func(c net.Conn) {
			read(c)
			write(c, 503, "q0", "Refusal: Shed\r\n", "")
			hang(c)
		}, classifier.BadAnswer, false},
		{"late", hang, classifier.Timeout, false},
		{"late in the answer", func(c net.Conn) {
			fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nContent-Length: 500\r\n\r\n{", read(c))
			hang(c)
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

func TestNothingSentIsNotSent(t *testing.T) {
	closed := make(chan struct{})
	c := dial(t, serve(t, func(c net.Conn) {
		write(c, 200, read(c), "", goodBody)
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

func TestRefusedDialIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l.Close()
	_, err = connector.NewHTTPDialer().Dial(context.Background(), l.Addr().(*net.TCPAddr).AddrPort())
	assert.Equal(t, classifier.CodeOf(err), classifier.NotSent)
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED))
}

func TestReusedConnectionThatBreaksAfterTheWriteIsAReset(t *testing.T) {
	c := dial(t, serve(t, func(c net.Conn) {
		write(c, 200, read(c), "", goodBody)
		read(c)
	}))
	assert.NilError(t, search(context.Background(), c, "q1"))
	assert.Equal(t, classifier.CodeOf(search(context.Background(), c, "q2")), classifier.ConnectionReset)
}

func TestAnswerThatComesTwiceIsNotUsedAgain(t *testing.T) {
	c := dial(t, serve(t, func(c net.Conn) {
		id := read(c)
		write(c, 200, id, "", goodBody)
		write(c, 200, id, "", goodBody)
		hang(c)
	}))
	assert.NilError(t, search(context.Background(), c, "q1"))
	code := classifier.CodeOf(search(context.Background(), c, "q2"))
	// The copy may arrive before the second request is written or after.
	assert.Assert(t, code == classifier.NotSent || code == classifier.BadAnswer, "%s", code)
	assert.Assert(t, !c.Usable())
}

func TestCancellationClosesTheConnection(t *testing.T) {
	arrived, ended := make(chan struct{}), make(chan struct{})
	c := dial(t, serve(t, func(c net.Conn) {
		read(c)
		close(arrived)
		hang(c)
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
