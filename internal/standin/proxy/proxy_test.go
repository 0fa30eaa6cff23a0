package proxy_test

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/standin/proxy"
)

// echoServer sends back what it receives.
type echoServer struct {
	listener net.Listener
}

func (e *echoServer) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			_, _ = io.Copy(c, c)
		}()
	}
}

// echoed reports whether data that is sent on the connection comes back.
func echoed(t *testing.T, c net.Conn) bool {
	t.Helper()
	_, err := io.WriteString(c, "x")
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	_, err = io.ReadFull(c, make([]byte, 1))
	if err != nil {
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "the connection ended: %v", err)
	}
	return err == nil
}

// Guards against a proxy whose silent connections still carry data, or that silences connections which are opened later.
func TestSilenceConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	e := &echoServer{
		listener: l,
	}
	go e.run()
	n := proxy.NewNetwork()
	defer n.Close()
	p, err := n.StartProxy("zone", netip.MustParseAddrPort(l.Addr().String()))
	assert.NilError(t, err)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	// The proxy opens its listener again once it has found the target.
	time.Sleep(200 * time.Millisecond)
	first := dial()
	assert.Assert(t, echoed(t, first))
	p.SilenceConnections()
	assert.Assert(t, !echoed(t, first))
	assert.Assert(t, echoed(t, dial()))
	assert.Assert(t, !echoed(t, first))
}
