package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	consumerHost = "pupu76.example"
	dialTimeout  = time.Second
)

// answer is what a consumer has seen of one request.
type answer struct {
	id   string
	sent time.Time
	// ended is the time at which the answer was complete or the connection ended.
	ended  time.Time
	status int
	// complete is true if a whole answer was read, and closing if it says that the connection closes.
	complete bool
	closing  bool
	err      error
}

// consumerConn is one connection of a consumer.
type consumerConn struct {
	conn   net.Conn
	reader *bufio.Reader
	// idleSince is the end of the last answer.
	idleSince time.Time
}

func dialConsumer(addr string) (*consumerConn, error) {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &consumerConn{
		conn:      c,
		reader:    bufio.NewReader(c),
		idleSince: time.Now(),
	}, nil
}

// closedByPeer reports whether the connection has been closed while it was idle.
func (c *consumerConn) closedByPeer() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	_ = c.conn.SetReadDeadline(time.Time{})
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// do sends one request and waits for its answer.
func (c *consumerConn) do(method, path, id, body string, budget time.Duration) answer {
	a := answer{
		id: id,
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n", method, path, consumerHost, id, budget.Milliseconds())
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, a.err = io.WriteString(c.conn, text+"\r\n"+body)
	a.sent = time.Now()
	if a.err == nil {
		a.err = c.read(&a, budget)
	}
	a.ended = time.Now()
	c.idleSince = a.ended
	return a
}

func (c *consumerConn) read(a *answer, budget time.Duration) error {
	_ = c.conn.SetReadDeadline(a.sent.Add(budget))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	a.status = resp.StatusCode
	a.complete = err == nil
	a.closing = resp.Close
	return err
}
