package messenger

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes that are sent and received on the connections between entry VMs.
type Traffic struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

// countingConn is a connection that adds the bytes that it reads and writes to traffic.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(uint64(n))
	return n, err
}
