package backend

import (
	"net"
	"sync"
	"time"
)

// excessGrace is how long an excess over a limit must last to be counted. A client that closes one connection and opens the
// next stays within its limit, but the server may detect the new connection before the close.
const excessGrace = 20 * time.Millisecond

// limitListener closes new connections beyond Config.MaxConnections.
type limitListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.admitConnection() {
			return &limitConn{
				Conn:   c,
				server: l.server,
			}, nil
		}
		_ = c.Close()
	}
}

// admitConnection counts a new connection and reports whether it is within the limit.
func (s *Server) admitConnection() bool {
	s.mu.Lock()
	s.counters.Connections++
	overLimit := s.counters.Connections > s.cfg.MaxConnections
	s.mu.Unlock()
	if overLimit {
		time.Sleep(excessGrace)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.MaxConnections = max(s.counters.MaxConnections, s.counters.Connections)
	if s.counters.Connections <= s.cfg.MaxConnections {
		return true
	}
	s.counters.Connections--
	s.counters.RefusedConnections++
	return false
}

// limitConn is a connection that limitListener has accepted.
type limitConn struct {
	net.Conn
	server      *Server
	connectOnce sync.Once
	closeOnce   sync.Once
}

// Read waits for Config.ConnectDelay before the first read.
func (c *limitConn) Read(p []byte) (int, error) {
	c.connectOnce.Do(func() {
		time.Sleep(c.server.cfg.ConnectDelay)
	})
	return c.Conn.Read(p)
}

// Close closes the connection. Only the first call decrements Counters.Connections.
func (c *limitConn) Close() error {
	c.closeOnce.Do(func() {
		c.server.mu.Lock()
		c.server.counters.Connections--
		c.server.mu.Unlock()
	})
	return c.Conn.Close()
}
