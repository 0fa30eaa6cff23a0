// Package platform is a small in-memory stand-in for the platform. POST /switch sets the faults in Switches, GET /counters
// returns Counters, and PUT and DELETE /vms/NAME change the list of VMs. These three paths are exempt from the faults.
package platform

import (
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/standin/switches"
	"github.com/anvildyke/anvildyke/internal/storeclient"
)

// Config are the settings of a platform.
type Config struct {
	Address netip.AddrPort
	// VMLag is how long a change of the list of VMs takes to show.
	VMLag time.Duration
}

// Switches are the faults that can be set while the platform runs, by the names of the fields.
type Switches struct {
	// Outage closes the connection of every call without an answer.
	Outage bool
	// Slow delays every answer.
	Slow time.Duration
	// LoseAnswers is the number of writes still to come that take effect without an answer.
	LoseAnswers int
	// StaleReads makes Get and List show the objects as they were when the switch was set.
	StaleReads bool
	// StaleWatches does the same to watches that start while the switch is set.
	StaleWatches bool
	// VMLag is how long a change of the list of VMs takes to show.
	VMLag time.Duration
}

// Counters are what a platform has counted since its start. Calls during an outage count too.
type Counters struct {
	Reads  int
	Writes int
	// Watches counts started watches, which are not among Reads.
	Watches           int
	WaitingWatches    int
	MaxWaitingWatches int
	// MaxReadsPerSecond and MaxWritesPerSecond are the peaks over the whole seconds of the clock. A started watch is a read.
	MaxReadsPerSecond  int
	MaxWritesPerSecond int
}

type key struct {
	kind string
	name string
}

// vmChange is a change of the list of VMs that has not shown yet.
type vmChange struct {
	at   time.Time
	name string
	// vm is nil when the VM was dropped.
	vm *storeclient.VM
}

// Server is a running platform.
type Server struct {
	listener net.Listener
	http     *http.Server

	mu       sync.Mutex
	switches Switches
	counters Counters
	// second is the Unix time to which reads and writes belong.
	second  int64
	reads   int
	writes  int
	version uint64
	objects map[key]storeclient.Object
	// stale is set while StaleReads is on.
	stale map[key]storeclient.Object
	// staleWatched is set while StaleWatches is on.
	staleWatched map[key]storeclient.Object
	// changed is closed and replaced at every write and switch.
	changed chan struct{}
	vms     map[string]storeclient.VM
	pending []vmChange
}

// Start starts a platform that listens at cfg.Address.
func Start(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Address.String())
	if err != nil {
		return nil, err
	}
	s := &Server{
		listener: l,
		objects:  map[key]storeclient.Object{},
		vms:      map[string]storeclient.VM{},
		changed:  make(chan struct{}),
		switches: Switches{
			VMLag: cfg.VMLag,
		},
	}
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: time.Minute,
	}
	go s.run()
	return s, nil
}

func (s *Server) run() {
	_ = s.http.Serve(s.listener)
}

// Addr returns the address of the listener.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close ends the platform and all connections.
func (s *Server) Close() error {
	return s.http.Close()
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+storeclient.PathObject, s.faulty(s.get))
	mux.HandleFunc("GET "+storeclient.PathList, s.faulty(s.list))
	mux.HandleFunc("GET "+storeclient.PathWatch, s.faulty(s.watch))
	mux.HandleFunc("GET "+storeclient.PathVMs, s.faulty(s.listVMs))
	for _, method := range []string{"POST ", "PUT ", "DELETE "} {
		mux.HandleFunc(method+storeclient.PathObject, s.faulty(s.write))
	}
	mux.HandleFunc("PUT "+storeclient.PathVMs+"/{name}", s.putVM)
	mux.HandleFunc("DELETE "+storeclient.PathVMs+"/{name}", s.deleteVM)
	mux.HandleFunc("POST /switch", s.change)
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, s.Counters())
	})
	return mux
}

// Counters returns the counts so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// faulty counts the call and applies the outage and the slowness.
func (s *Server) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.count(r)
		sw := s.switches
		s.mu.Unlock()
		if sw.Outage {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(sw.Slow):
		case <-r.Context().Done():
			return
		}
		next(w, r)
	}
}

// count needs the lock.
func (s *Server) count(r *http.Request) {
	if now := time.Now().Unix(); now != s.second {
		s.second, s.reads, s.writes = now, 0, 0
	}
	if r.Method == http.MethodGet {
		s.reads++
		if r.URL.Path == storeclient.PathWatch {
			s.counters.Watches++
		} else {
			s.counters.Reads++
		}
	} else {
		s.writes++
		s.counters.Writes++
	}
	s.counters.MaxReadsPerSecond = max(s.counters.MaxReadsPerSecond, s.reads)
	s.counters.MaxWritesPerSecond = max(s.counters.MaxWritesPerSecond, s.writes)
}

// visible returns what reads see. It needs the lock.
func (s *Server) visible() map[key]storeclient.Object {
	if s.stale != nil {
		return s.stale
	}
	return s.objects
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.visible()[keyOf(r)]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, o)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	list := ofKind(s.visible(), r.URL.Query().Get("Kind"), 0)
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b storeclient.Object) int {
		return cmp.Compare(a.Name, b.Name)
	})
	reply(w, list)
}

// ofKind returns the objects of a kind with a version above after.
func ofKind(objects map[key]storeclient.Object, kind string, after uint64) []storeclient.Object {
	list := []storeclient.Object{}
	for k, o := range objects {
		if k.kind == kind && o.Version > after {
			list = append(list, o)
		}
	}
	return list
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Version"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("Wait"))
	end := time.NewTimer(wait)
	defer end.Stop()
	s.waiting(1)
	defer s.waiting(-1)
	s.mu.Lock()
	stale := s.staleWatched
	s.mu.Unlock()
	for {
		s.mu.Lock()
		objects := s.objects
		if stale != nil {
			objects = stale
		}
		list, changed, outage := ofKind(objects, r.URL.Query().Get("Kind"), after), s.changed, s.switches.Outage
		s.mu.Unlock()
		if outage {
			panic(http.ErrAbortHandler)
		}
		if len(list) > 0 {
			slices.SortFunc(list, func(a, b storeclient.Object) int {
				return cmp.Compare(a.Version, b.Version)
			})
			reply(w, list)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end.C:
			reply(w, list)
			return
		}
	}
}

func (s *Server) waiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.WaitingWatches += n
	s.counters.MaxWaitingWatches = max(s.counters.MaxWaitingWatches, s.counters.WaitingWatches)
}

// write answers a POST (create), PUT (update) or DELETE.
func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, storeclient.MaxValueBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	o, status, lost := s.apply(r, value)
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case status != http.StatusOK:
		w.WriteHeader(status)
	default:
		o.Value = nil
		reply(w, o)
	}
}

// apply makes the write. The answer to a lost one is not sent.
func (s *Server) apply(r *http.Request, value []byte) (o storeclient.Object, status int, lost bool) {
	k := keyOf(r)
	version, _ := strconv.ParseUint(r.URL.Query().Get("Version"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[k]
	switch {
	case r.Method == http.MethodPost && exists:
		return o, http.StatusConflict, false
	case r.Method != http.MethodPost && !exists:
		return o, http.StatusNotFound, false
	case r.Method != http.MethodPost && old.Version != version:
		return o, http.StatusPreconditionFailed, false
	}
	s.version++
	o = storeclient.Object{
		Kind:    k.kind,
		Name:    k.name,
		Version: s.version,
		Value:   value,
	}
	if r.Method == http.MethodDelete {
		delete(s.objects, k)
	} else {
		s.objects[k] = o
	}
	s.wake()
	if s.switches.LoseAnswers > 0 {
		s.switches.LoseAnswers--
		lost = true
	}
	return o, http.StatusOK, lost
}

// wake needs the lock.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	reply(w, s.shownVMs())
}

func (s *Server) shownVMs() []storeclient.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	shown := time.Now().Add(-s.switches.VMLag)
	for len(s.pending) > 0 && !s.pending[0].at.After(shown) {
		if c := s.pending[0]; c.vm == nil {
			delete(s.vms, c.name)
		} else {
			s.vms[c.name] = *c.vm
		}
		s.pending = s.pending[1:]
	}
	list := []storeclient.VM{}
	for _, vm := range s.vms {
		list = append(list, vm)
	}
	slices.SortFunc(list, func(a, b storeclient.VM) int {
		return cmp.Compare(a.Name, b.Name)
	})
	return list
}

func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	var vm storeclient.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.Name = r.PathValue("name")
	s.changeVM(vm.Name, &vm)
}

func (s *Server) deleteVM(_ http.ResponseWriter, r *http.Request) {
	s.changeVM(r.PathValue("name"), nil)
}

func (s *Server) changeVM(name string, vm *storeclient.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, vmChange{
		at:   time.Now(),
		name: name,
		vm:   vm,
	})
}

func (s *Server) change(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := switches.Apply(&s.switches, r); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.keep(&s.stale, s.switches.StaleReads)
	s.keep(&s.staleWatched, s.switches.StaleWatches)
	s.wake()
}

// keep lets a fault go on with the objects of its beginning, or ends it. It needs the lock.
func (s *Server) keep(stale *map[key]storeclient.Object, on bool) {
	switch {
	case !on:
		*stale = nil
	case *stale == nil:
		*stale = maps.Clone(s.objects)
	}
}

func keyOf(r *http.Request) key {
	return key{
		kind: r.URL.Query().Get("Kind"),
		name: r.URL.Query().Get("Name"),
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
