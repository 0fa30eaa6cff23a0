package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/recorder"
)

// Limits of a server.
const (
	// MaxConnections is the maximum number of accepted connections. 780 VMs with 2 connections each need 1560.
	MaxConnections = 2048
	// MaxCallsPerConnection is the maximum number of running calls per connection. Further calls remain unread in the socket.
	MaxCallsPerConnection = 1024
	// acceptRetryDelay is the delay after a failed accept, which usually means that no file descriptors are left.
	acceptRetryDelay = 50 * time.Millisecond
)

// Server serves the calls of other entry VMs.
type Server struct {
	// Traffic counts the bytes that are sent and received on all connections.
	Traffic Traffic

	recorder *recorder.Recorder
	log      zerolog.Logger
	codec    wireCodec
	rpc      *rpc.Server

	mu sync.Mutex
	// serviceMethods maps the name of a method on the wire to the name under which it is registered with net/rpc.
	serviceMethods map[string]string
	conns          map[net.Conn]struct{}
	closed         bool
	wg             sync.WaitGroup
}

// NewServer returns a server without methods.
func NewServer(r *recorder.Recorder, l logger.Logger) *Server {
	return &Server{
		recorder:       r,
		log:            l.Part("peerer"),
		codec:          defaultCodec,
		rpc:            rpc.NewServer(),
		serviceMethods: map[string]string{},
		conns:          map[net.Conn]struct{}{},
	}
}

// Register registers those methods of receiver that net/rpc can serve under the names name.Method. Several receivers may share
// a name if their methods differ. All receivers must be registered before Serve is called.
func (s *Server) Register(name string, receiver any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	// net/rpc allows one receiver per name, so each receiver is registered under a unique internal name.
	registeredName := fmt.Sprintf("%s/%d", name, len(s.serviceMethods))
	if err := s.rpc.RegisterName(registeredName, receiver); err != nil {
		return fmt.Errorf("registering the methods of %s: %w", name, err)
	}
	t := reflect.TypeOf(receiver)
	for i := range t.NumMethod() {
		m := t.Method(i)
		if !isRPCMethod(m.Type) {
			continue
		}
		wireName := name + "." + m.Name
		if _, exists := s.serviceMethods[wireName]; exists {
			return fmt.Errorf("method %s is already registered", wireName)
		}
		s.serviceMethods[wireName] = registeredName + "." + m.Name
	}
	return nil
}

// isRPCMethod reports whether net/rpc serves a method of this type: two arguments, the second one a pointer, and an error as the
// only result.
func isRPCMethod(t reflect.Type) bool {
	return t.NumIn() == 3 && t.In(2).Kind() == reflect.Pointer && t.NumOut() == 1 && t.Out(0) == reflect.TypeFor[error]()
}

// Serve accepts connections on ln until ctx is done. Then it closes ln, reads no further calls, and returns nil once the running
// calls have been answered. It returns an error if ln is closed before ctx is done.
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
			return fmt.Errorf("peer listener closed unexpectedly: %w", err)
		case err != nil:
			s.log.Warn().Err(err).Msg("Accepting a connection failed.")
			time.Sleep(acceptRetryDelay)
		case !s.add(conn):
			s.log.Warn().Int("Connections", MaxConnections).Msg("Closed a new connection because the limit is reached.")
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
		ServerCodec: s.codec.server(&countingConn{
			Conn:    conn,
			traffic: &s.Traffic,
		}),
		server:    s,
		callSlots: make(chan struct{}, MaxCallsPerConnection),
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// drain stops the reading of calls on all connections and waits until they are closed. net/rpc answers the calls that it has
// read and then closes the connection.
func (s *Server) drain() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) serviceMethod(wireName string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if registered, ok := s.serviceMethods[wireName]; ok {
		return registered
	}
	return wireName
}

// panicPrefix is the start of the errors of calls that panicked.
const panicPrefix = "the call panicked: "

// RecoverCall turns a panic into an error of the call, so that it does not end the process. An RPC method defers it with a pointer to
// its result.
func RecoverCall(err *error) {
	if v := recover(); v != nil {
		*err = fmt.Errorf("%s%v\n%s", panicPrefix, v, debug.Stack())
	}
}

// serverCodec adds the stamps, the mapping of method names and the limit on running calls to a codec. Each running call occupies
// one element of callSlots. net/rpc answers every call whose header was read exactly once, so every element is freed.
type serverCodec struct {
	rpc.ServerCodec
	server    *Server
	callSlots chan struct{}
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.callSlots <- struct{}{}
	if err := c.ServerCodec.ReadRequestHeader(r); err != nil {
		<-c.callSlots
		return err
	}
	r.ServiceMethod = c.server.serviceMethod(r.ServiceMethod)
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
		<-c.callSlots
	}()
	if strings.HasPrefix(r.Error, panicPrefix) {
		c.server.log.Error().Str("Method", r.ServiceMethod).Str("Fault", r.Error).Msg("A call of another VM panicked.")
	}
	stampMessage(c.server.recorder, body)
	return c.ServerCodec.WriteResponse(r, body)
}
