package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/recorder"
)

// Bounds of a server.
const (
	// MaxConnections is the greatest number of accepted connections. 780 VMs with 2 connections each need 1560.
	MaxConnections = 2048
	// MaxCallsPerConnection is the greatest number of calls that run for one connection. Further calls stay unread in the socket.
	MaxCallsPerConnection = 1024
	// acceptRetry is the wait after a failed accept, usually for want of file descriptors.
	acceptRetry = 50 * time.Millisecond
)

// Server serves calls of other entry VMs.
type Server struct {
	// Traffic counts the bytes of all connections.
	Traffic Traffic

	recorder *recorder.Recorder
	log      zerolog.Logger
	codec    wireCodec
	rpc      *rpc.Server

	mu sync.Mutex
	// routes maps the name of a method on the wire to the name under which net/rpc knows it.
	routes map[string]string
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup
}

// NewServer returns a server without methods.
func NewServer(r *recorder.Recorder, l logger.Logger) *Server {
	return &Server{
		recorder: r,
		log:      l.Part("peerer"),
		codec:    defaultCodec,
		rpc:      rpc.NewServer(),
		routes:   map[string]string{},
		conns:    map[net.Conn]struct{}{},
	}
}

// Register offers the methods of receiver that suit net/rpc as name.Method. Several receivers may share a name. All calls of
// Register come before Serve.
func (s *Server) Register(name string, receiver any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	// net/rpc allows one receiver per name, so every receiver gets an internal name of its own.
	internal := fmt.Sprintf("%s/%d", name, len(s.routes))
	if err := s.rpc.RegisterName(internal, receiver); err != nil {
		return fmt.Errorf("the methods of %s cannot be registered: %w", name, err)
	}
	t := reflect.TypeOf(receiver)
	for i := range t.NumMethod() {
		m := t.Method(i)
		if !suits(m.Type) {
			continue
		}
		wire := name + "." + m.Name
		if _, taken := s.routes[wire]; taken {
			return fmt.Errorf("the method %s is registered twice", wire)
		}
		s.routes[wire] = internal + "." + m.Name
	}
	return nil
}

// suits reports whether net/rpc serves a method of this type: two arguments, the second one a pointer, and one error.
func suits(t reflect.Type) bool {
	return t.NumIn() == 3 && t.In(2).Kind() == reflect.Pointer && t.NumOut() == 1 && t.Out(0) == reflect.TypeFor[error]()
}

// Serve accepts connections on ln until ctx ends. Then it closes ln, reads no further calls, and returns once the running calls
// have been answered.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = ln.Close()
	})
	defer stop()
	for {
		conn, err := ln.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close()
			}
			s.drain()
			return nil
		case errors.Is(err, net.ErrClosed):
			s.drain()
			return fmt.Errorf("the peer listener was closed: %w", err)
		case err != nil:
			s.log.Warn().Err(err).Msg("Accepting a connection failed.")
			time.Sleep(acceptRetry)
		case !s.add(conn):
			s.log.Warn().Int("Connections", MaxConnections).Msg("Refused a connection over the limit.")
			_ = conn.Close()
		}
	}
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= MaxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	s.wg.Go(func() {
		s.run(conn)
	})
	return true
}

func (s *Server) run(conn net.Conn) {
	s.rpc.ServeCodec(&serverCodec{
		ServerCodec: s.codec.server(&countedConn{
			Conn:    conn,
			traffic: &s.Traffic,
		}),
		server:  s,
		running: make(chan struct{}, MaxCallsPerConnection),
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// drain ends the reading of calls. net/rpc answers the calls that it has read and then closes the connection.
func (s *Server) drain() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) route(wire string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if internal, ok := s.routes[wire]; ok {
		return internal
	}
	return wire
}

// serverCodec handles stamps, routes and the bound on running calls. net/rpc answers every call whose header was read
// exactly once, so running is balanced.
type serverCodec struct {
	rpc.ServerCodec
	server  *Server
	running chan struct{}
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.running <- struct{}{}
	if err := c.ServerCodec.ReadRequestHeader(r); err != nil {
		<-c.running
		return err
	}
	r.ServiceMethod = c.server.route(r.ServiceMethod)
	return nil
}

func (c *serverCodec) ReadRequestBody(body any) error {
	if err := c.ServerCodec.ReadRequestBody(body); err != nil {
		return err
	}
	observeMessage(c.server.recorder, body)
	return nil
}

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() {
		<-c.running
	}()
	stampMessage(c.server.recorder, body)
	return c.ServerCodec.WriteResponse(r, body)
}
