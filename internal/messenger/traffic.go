package messenger

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes on the connections between entry VMs.
type Traffic struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(uint64(n))
	return n, err
}
