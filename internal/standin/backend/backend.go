// Package backend implements a test double for a backend server. It answers searches from the synthetic index of package
// corpus. On the control listener, POST /switch sets the fields of Switches, for example to inject faults and delays, and
// GET /counters returns Counters.
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

// Server is a running backend stand-in.
type Server struct {
	cfg             Config
	listener        net.Listener
	controlListener net.Listener
	httpServers     []*http.Server
	slots           chan struct{}
	// operationLog is nil if Config.OperationLog is empty.
	operationLog *os.File

	mu            sync.Mutex
	switches      Switches
	counters      Counters
	heldSnapshots []connector.HeldSnapshot
	rng           *rand.Rand
	running       int
	// requestContexts maps the arrival number of each request in counters.Present to its context, which is cancelled when the
	// connection closes.
	requestContexts map[int]context.Context
	// answersSinceCold is the number of successful answers since coldSince, when the server last became cold. Both are unused
	// while counters.Cold is false.
	answersSinceCold int
	coldSince        time.Time
	// drainGraceEnd is the time after which a draining server refuses requests.
	drainGraceEnd time.Time
	// unfrozen is closed when Frozen is reset. It is nil while the server is not frozen.
	unfrozen chan struct{}
	// lastRequestID and lastResponse belong to the most recent search or operation that was answered.
	lastRequestID string
	lastResponse  response
	// cachedReport is sent until it is Switches.ReportLag old.
	cachedReport   connector.Report
	reportCachedAt time.Time
}

// Start starts a server that listens on cfg.Address and cfg.ControlAddress. It fails if cfg.HeldShards is invalid, an address
// cannot be bound or the operation log cannot be opened.
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
		cfg:             cfg,
		listener:        l,
		controlListener: control,
		slots:           make(chan struct{}, cfg.Slots),
		heldSnapshots:   held,
		requestContexts: map[int]context.Context{},
		rng:             rand.New(rand.NewPCG(cfg.Seed, 0)),
		counters: Counters{
			Incarnation: fmt.Sprintf("%d-%d", os.Getpid(), time.Now().UnixNano()),
			Operations:  map[string]int{},
		},
	}
	if cfg.OperationLog != "" {
		if s.operationLog, err = os.OpenFile(cfg.OperationLog, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644); err != nil {
			_, _ = l.Close(), control.Close()
			return nil, err
		}
	}
	s.applySwitches(cfg.Switches)
	s.serve(&limitListener{
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
	s.httpServers = append(s.httpServers, server)
	go func() {
		_ = server.Serve(l)
	}()
}

// Addr returns the listen address for searches, operations and status requests.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// ControlAddr returns the listen address for GET /counters and POST /switch.
func (s *Server) ControlAddr() netip.AddrPort {
	return s.controlListener.Addr().(*net.TCPAddr).AddrPort()
}

// Shutdown closes the listener for requests and waits until running requests have ended or ctx is done. The control listener
// stays open.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.httpServers[0].Shutdown(ctx)
}

// Close closes both listeners and all their connections without waiting for running requests.
func (s *Server) Close() {
	for _, server := range s.httpServers {
		_ = server.Close()
	}
}

// UpdateSwitches applies the changes that f makes to a copy of the switches, as POST /switch does. f must not retain its
// argument or call methods of s.
func (s *Server) UpdateSwitches(f func(*Switches)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.switches
	f(&next)
	s.applySwitches(next)
}

// Counters returns a snapshot of the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateConcurrencyLimit()
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
		if err := s.applySwitchRequest(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	return mux
}

func (s *Server) applySwitchRequest(r *http.Request) error {
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
	s.applySwitches(next)
	return nil
}

// applySwitches stores next and performs the state changes that Cold, Draining, Frozen, Hold and Drop request. The caller holds
// s.mu, except in Start, where nothing else uses s yet.
func (s *Server) applySwitches(next Switches) {
	if next.Cold {
		s.counters.Cold, s.answersSinceCold, s.coldSince = true, 0, time.Now()
	}
	next.Cold = false
	if next.Draining && !s.switches.Draining {
		s.drainGraceEnd = time.Now().Add(next.DrainGrace)
	}
	switch {
	case next.Frozen && s.unfrozen == nil:
		s.unfrozen = make(chan struct{})
	case !next.Frozen && s.unfrozen != nil:
		close(s.unfrozen)
		s.unfrozen = nil
	}
	add, _ := ParseHeldShards(next.Hold)
	drop, _ := ParseHeldShards(next.Drop)
	// The slice is replaced, not modified, because status responses encode it without the lock.
	s.heldSnapshots = slices.DeleteFunc(slices.Concat(s.heldSnapshots, add), func(h connector.HeldSnapshot) bool {
		return slices.Contains(drop, h)
	})
	next.Hold, next.Drop = "", ""
	s.switches = next
}

// updateConcurrencyLimit returns how many requests the server accepts at a time. It resets counters.Cold when the limit reaches
// the number of slots. The caller holds s.mu.
func (s *Server) updateConcurrencyLimit() int {
	if !s.counters.Cold {
		return s.cfg.Slots
	}
	n := 1 + s.answersSinceCold/max(1, s.switches.ColdWork)
	if s.switches.ColdTime > 0 {
		n += int(time.Since(s.coldSince) / s.switches.ColdTime)
	}
	if n >= s.cfg.Slots {
		s.counters.Cold = false
		return s.cfg.Slots
	}
	return n
}

// report returns the state to send to the client. It may be up to Switches.ReportLag old, and Switches.Mislead falsifies it. The
// caller holds s.mu.
func (s *Server) report() connector.Report {
	if time.Since(s.reportCachedAt) >= s.switches.ReportLag {
		s.reportCachedAt = time.Now()
		s.updateConcurrencyLimit()
		s.cachedReport = connector.Report{
			Incarnation: s.counters.Incarnation,
			Draining:    s.switches.Draining,
			Cold:        s.counters.Cold,
			Running:     s.running,
		}
	}
	r := s.cachedReport
	if s.switches.Mislead {
		r.Draining, r.Cold, r.Running = false, false, 0
	}
	return r
}
