// Package backend is a small stand-in for a backend server. It searches the synthetic index of package corpus and has the
// behaviours in Switches, which POST /switch on the control listener sets; GET /counters there returns Counters.
package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/standin/switches"
)

// Server is a running backend server.
type Server struct {
	cfg      Config
	listener net.Listener
	control  net.Listener
	servers  []*http.Server
	slots    chan struct{}
	// journal is nil without Config.Journal.
	journal *os.File

	mu       sync.Mutex
	switches Switches
	counters Counters
	held     []connector.HeldSnapshot
	random   *rand.Rand
	running  int
	// present holds the contexts of the counters.Present requests by the number of their arrival. They end with the connection.
	present map[int]context.Context
	// warmth counts the answers since the server turned cold at coldSince. It is meaningless while counters.Cold is false.
	warmth    int
	coldSince time.Time
	drainAt   time.Time
	// thawed is closed when Frozen ends; it is nil while the server is not frozen.
	thawed chan struct{}
	// lastID and lastOut belong to the last answer that was sent.
	lastID     string
	lastOut    outcome
	reported   connector.Report
	reportedAt time.Time
}

// Start starts a backend server that listens at cfg.Address and cfg.Control.
func Start(cfg Config) (*Server, error) {
	held, err := ParseHeldShards(cfg.HeldShards)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", cfg.Address.String())
	if err != nil {
		return nil, err
	}
	control, err := net.Listen("tcp", cfg.ControlAddress.String())
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	if cfg.OnCrash == nil {
		cfg.OnCrash = func() {
			os.Exit(CrashExitCode)
		}
	}
	s := &Server{
		cfg:      cfg,
		listener: l,
		control:  control,
		slots:    make(chan struct{}, cfg.Slots),
		held:     held,
		present:  map[int]context.Context{},
		random:   rand.New(rand.NewPCG(cfg.Seed, 0)),
		counters: Counters{
			Incarnation: fmt.Sprintf("%d-%d", os.Getpid(), time.Now().UnixNano()),
			Operations:  map[string]int{},
		},
	}
	if cfg.OperationLog != "" {
		if s.journal, err = os.OpenFile(cfg.OperationLog, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644); err != nil {
			_, _ = l.Close(), control.Close()
			return nil, err
		}
	}
	s.adopt(cfg.Switches)
	s.serve(&cappedListener{
		Listener: l,
		server:   s,
	}, s.routes())
	s.serve(control, s.controlRoutes())
	return s, nil
}

func (s *Server) serve(l net.Listener, h http.Handler) {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Minute,
	}
	s.servers = append(s.servers, server)
	go func() {
		_ = server.Serve(l)
	}()
}

// Addr returns the address for requests.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// ControlAddr returns the address for control calls.
func (s *Server) ControlAddr() netip.AddrPort {
	return s.control.Addr().(*net.TCPAddr).AddrPort()
}

// Shutdown stops listening and waits for running requests.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.servers[0].Shutdown(ctx)
}

// Close ends the server and all connections.
func (s *Server) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// UpdateSwitches changes switches as POST /switch does; f must not keep its argument.
func (s *Server) UpdateSwitches(f func(*Switches)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.switches
	f(&next)
	s.adopt(next)
}

// Counters returns the counts so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bears()
	c := s.counters
	c.Operations = maps.Clone(c.Operations)
	return c
}

func (s *Server) controlRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Counters())
	})
	mux.HandleFunc("POST /switch", func(w http.ResponseWriter, r *http.Request) {
		if err := s.change(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	return mux
}

func (s *Server) change(r *http.Request) error {
	for _, name := range []string{"Hold", "Drop"} {
		if _, err := ParseHeldShards(r.URL.Query().Get(name)); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.switches
	if err := switches.Apply(&next, r); err != nil {
		return err
	}
	s.adopt(next)
	return nil
}

// adopt makes next the switches and starts what they ask for. It needs the lock, except at the start.
func (s *Server) adopt(next Switches) {
	if next.Cold {
		s.counters.Cold, s.warmth, s.coldSince = true, 0, time.Now()
	}
	next.Cold = false
	if next.Draining && !s.switches.Draining {
		s.drainAt = time.Now().Add(next.DrainGrace)
	}
	switch {
	case next.Frozen && s.thawed == nil:
		s.thawed = make(chan struct{})
	case !next.Frozen && s.thawed != nil:
		close(s.thawed)
		s.thawed = nil
	}
	add, _ := ParseHeldShards(next.Hold)
	drop, _ := ParseHeldShards(next.Drop)
	// Requests that run keep the old slice.
	s.held = slices.DeleteFunc(slices.Concat(s.held, add), func(h connector.HeldSnapshot) bool {
		return slices.Contains(drop, h)
	})
	next.Hold, next.Drop = "", ""
	s.switches = next
}

// bears returns how many requests the server bears at a time, and ends the coldness when that is all slots. It needs the lock.
func (s *Server) bears() int {
	if !s.counters.Cold {
		return s.cfg.Slots
	}
	n := 1 + s.warmth/max(1, s.switches.ColdWork)
	if s.switches.ColdTime > 0 {
		n += int(time.Since(s.coldSince) / s.switches.ColdTime)
	}
	if n >= s.cfg.Slots {
		s.counters.Cold = false
		return s.cfg.Slots
	}
	return n
}

// report returns what the server says of itself. It needs the lock.
func (s *Server) report() connector.Report {
	if time.Since(s.reportedAt) >= s.switches.ReportLag {
		s.reportedAt = time.Now()
		s.bears()
		s.reported = connector.Report{
			Incarnation: s.counters.Incarnation,
			Draining:    s.switches.Draining,
			Cold:        s.counters.Cold,
			Running:     s.running,
		}
	}
	r := s.reported
	if s.switches.Mislead {
		r.Draining, r.Cold, r.Running = false, false, 0
	}
	return r
}
