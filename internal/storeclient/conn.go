package storeclient

import (
	"fmt"
	"net"
	"syscall"

	"github.com/valyala/fasthttp"

	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/framer"
)

// conn is a connection to the platform, which carries one request at a time. Its reads return well-formed responses only. A request is
// not sent after bytes that belong to no response: HostClient would take them for its response.
type conn struct {
	*framer.Conn
	raw syscall.RawConn
	// answered is true if bytes have been read since the last write, so that the next write begins a request.
	answered bool
}

// CheckResponses returns a function that opens TCP connections with dial and checks the responses received on them. Every HostClient
// that is passed to DoRequest needs it.
func CheckResponses(dial fasthttp.DialFunc) fasthttp.DialFunc {
	return func(addr string) (net.Conn, error) {
		c, err := dial(addr)
		if err != nil {
			return nil, err
		}
		raw, err := rawConn(c)
		if err != nil {
			_ = c.Close()
			return nil, err
		}
		return &conn{
			Conn: framer.New(c),
			raw:  raw,
		}, nil
	}
}

func rawConn(c net.Conn) (syscall.RawConn, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("no access to the descriptor of a connection of the type %T", c)
	}
	return sc.SyscallConn()
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.answered = c.answered || n > 0
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if c.answered {
		if c.Excess() > 0 {
			return 0, connector.ErrUnexpectedData
		}
		if err := connector.CheckIdle(c.raw); err != nil {
			return 0, fmt.Errorf("the idle connection cannot be used again: %w", err)
		}
		c.answered = false
	}
	return c.Conn.Write(p)
}
