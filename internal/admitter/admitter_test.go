package admitter_test

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/admitter"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// scarceListener fails some times before it accepts connections.
type scarceListener struct {
	net.Listener
	failures []error
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		err := l.failures[0]
		l.failures = l.failures[1:]
		return nil, &net.OpError{
			Op:  "accept",
			Net: "tcp",
			Err: os.NewSyscallError("accept4", err),
		}
	}
	return l.Listener.Accept()
}

func listen(t *testing.T, limit int, failures ...error) *admitter.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = l.Close()
	})
	scarce := &scarceListener{
		Listener: l,
		failures: failures,
	}
	return admitter.New(scarce, admitter.Options{
		Limit: limit,
		Timer: timer.NewWall(),
		Log:   zerolog.Nop(),
	})
}

// connect opens a connection, which stays open on the caller's side until the end of the test.
func connect(t *testing.T, l *admitter.Listener) *admitter.Conn {
	t.Helper()
	caller, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	c, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = caller.Close()
	})
	return c.(*admitter.Conn)
}

// Guards against a listener that ends when the process lacks descriptors or a caller gives up in the queue, and against one that goes
// on after it was closed.
func TestAcceptSurvivesScarcity(t *testing.T) {
	l := listen(t, 0, syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED)
	assert.Assert(t, !l.Saturated(time.Now()))
	connect(t, l)
	assert.Assert(t, l.Saturated(time.Now()))
	assert.Assert(t, !l.Saturated(time.Now().Add(time.Minute)))
	assert.NilError(t, l.Close())
	_, err := l.Accept()
	assert.Assert(t, errors.Is(err, net.ErrClosed))
}

// Guards against a new connection that ends one with a running request, and against connections that are counted after their end.
func TestLimitEndsIdleConnectionsOnly(t *testing.T) {
	l := listen(t, 2)
	busy := connect(t, l)
	busy.SetIdle(false)
	idle := connect(t, l)
	idle.SetIdle(true)
	third := connect(t, l)
	third.SetIdle(false)
	_, err := idle.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded))
	assert.NilError(t, idle.Close())
	assert.Equal(t, l.Open(), 2)
	// All open connections have running requests, so the next one is refused and the one after it is accepted.
	refused, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer refused.Close()
	timeout := time.AfterFunc(200*time.Millisecond, func() {
		_ = busy.Close()
		c, err := net.Dial("tcp", l.Addr().String())
		if err == nil {
			defer c.Close()
		}
	})
	defer timeout.Stop()
	_, err = l.Accept()
	assert.NilError(t, err)
	assert.NilError(t, refused.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = refused.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "the connection is still open: %v", err)
}
