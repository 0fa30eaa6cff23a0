// Package admitter keeps listeners accepting when the process runs out of file descriptors, and limits their open connections so that
// enough descriptors remain for other purposes.
package admitter

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// retryPause is the pause after a connection could not be accepted for lack of a resource.
	retryPause = 20 * time.Millisecond
	// saturationTime is how long a listener counts as saturated after it could not accept or had to refuse a connection.
	saturationTime = time.Second
	// silentTime is the time after which a new connection that has sent nothing counts as idle.
	silentTime = time.Second
	// logPeriod is the minimum time between two warnings.
	logPeriod = 5 * time.Second
)

// Options are the limit and the dependencies of a Listener.
type Options struct {
	// Limit is the maximum number of open connections, 0 for no limit.
	Limit int
	Timer *timer.Service
	Log   zerolog.Logger
}

// Listener wraps a listener for TCP connections. Accept does not fail while the process lacks descriptors or memory, and makes room for
// new connections by closing idle ones. Its methods are safe for concurrent use.
type Listener struct {
	net.Listener
	o Options
	// saturatedUntil is a Unix time in nanoseconds.
	saturatedUntil atomic.Int64

	mu   sync.Mutex
	open map[*Conn]struct{}
	// loggedAt is the time of the last warning.
	loggedAt time.Time
}

// New returns a Listener that accepts the connections of l.
func New(l net.Listener, o Options) *Listener {
	return &Listener{
		Listener: l,
		o:        o,
		open:     map[*Conn]struct{}{},
	}
}

// Conn is a connection of a Listener.
type Conn struct {
	*net.TCPConn
	listener *Listener
	// idleSince is the Unix time in nanoseconds since which the connection has been idle, 0 while a request is read or runs.
	idleSince atomic.Int64
	closed    atomic.Bool
}

// SetIdle records whether the connection waits for the next request.
func (c *Conn) SetIdle(idle bool) {
	since := int64(0)
	if idle {
		since = c.listener.o.Timer.Now().UnixNano()
	}
	c.idleSince.Store(since)
}

// Close closes the connection. Further calls return the error of a closed connection.
func (c *Conn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.mu.Lock()
		delete(c.listener.open, c)
		c.listener.mu.Unlock()
	}
	return c.TCPConn.Close()
}

// Accept returns the next connection. It fails only if the listener is closed or cannot accept any more connections at all.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		now := l.o.Timer.Now()
		if isScarcity(err) {
			closed := l.closeIdle(1, now)
			l.saturate(now, err, closed)
			l.o.Timer.Sleep(context.Background(), retryPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		conn, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		if admitted := l.admit(conn, now); admitted != nil {
			return admitted, nil
		}
		_ = conn.Close()
		l.saturate(now, nil, 0)
	}
}

// isScarcity reports whether a connection could not be accepted for lack of a resource that may be free again later, or because the
// connection was aborted by the peer.
func isScarcity(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// admit returns the connection with its accounting, or nil if the limit is reached and no connection is idle.
func (l *Listener) admit(conn *net.TCPConn, now time.Time) *Conn {
	l.mu.Lock()
	full := l.o.Limit > 0 && len(l.open) >= l.o.Limit
	l.mu.Unlock()
	if full && l.closeIdle(1, now) == 0 {
		return nil
	}
	c := &Conn{
		TCPConn:  conn,
		listener: l,
	}
	// A connection counts as idle only after silentTime if it sends nothing.
	c.idleSince.Store(now.Add(silentTime).UnixNano())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c
}

// closeIdle ends up to n connections that have been idle longest and returns their number. It makes their pending reads time out instead of
// closing them, so that a request that is read at this moment is still answered.
func (l *Listener) closeIdle(n int, now time.Time) int {
	ended := 0
	for range n {
		c := l.longestIdle(now)
		if c == nil {
			break
		}
		c.idleSince.Store(0)
		if err := c.SetReadDeadline(now.Add(-time.Second)); err == nil {
			ended++
		}
	}
	return ended
}

func (l *Listener) longestIdle(now time.Time) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var longest *Conn
	var since int64
	for c := range l.open {
		at := c.idleSince.Load()
		if at != 0 && at <= now.UnixNano() && (longest == nil || at < since) {
			longest, since = c, at
		}
	}
	return longest
}

// saturate records that a connection could not be accepted or was refused.
func (l *Listener) saturate(now time.Time, err error, closed int) {
	l.saturatedUntil.Store(now.Add(saturationTime).UnixNano())
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.loggedAt) < logPeriod {
		return
	}
	l.loggedAt = now
	l.o.Log.Warn().Stringer("Address", l.Addr()).Int("Open", len(l.open)).Int("Limit", l.o.Limit).Int("Closed", closed).Err(err).
		Msg("Connections cannot be accepted because too many are open.")
}

// Saturated reports whether the listener has recently been unable to accept connections.
func (l *Listener) Saturated(now time.Time) bool {
	return now.UnixNano() < l.saturatedUntil.Load()
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}
