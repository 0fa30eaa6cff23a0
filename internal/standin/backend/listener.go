package backend

import (
	"net"
	"sync"
	"time"
)

// overlapGrace is how long an excess may last before it counts. A client that closes one connection and opens the next is
// within its limits, but the server may see the second event first.
const overlapGrace = 20 * time.Millisecond

// cappedListener closes connections beyond the cap.
type cappedListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection below the cap.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.admit() {
			return &cappedConn{
				Conn:   c,
				server: l.server,
			}, nil
		}
		_ = c.Close()
	}
}

// admit counts a connection and reports whether it is below the cap.
func (s *Server) admit() bool {
	s.mu.Lock()
	s.counters.Connections++
	over := s.counters.Connections > s.cfg.MaxConnections
	s.mu.Unlock()
	if over {
		time.Sleep(overlapGrace)
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

// cappedConn is an admitted connection.
type cappedConn struct {
	net.Conn
	server  *Server
	connect sync.Once
	close   sync.Once
}

// Read waits for the connect time before the first byte.
func (c *cappedConn) Read(p []byte) (int, error) {
	c.connect.Do(func() {
		time.Sleep(c.server.cfg.ConnectDelay)
	})
	return c.Conn.Read(p)
}

// Close closes the connection and ends its count.
func (c *cappedConn) Close() error {
	c.close.Do(func() {
		c.server.mu.Lock()
		c.server.counters.Connections--
		c.server.mu.Unlock()
	})
	return c.Conn.Close()
}
