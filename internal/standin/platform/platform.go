// Package platform implements an in-memory test double for the platform, which stores objects and lists the VMs. POST /switch
// sets the faults in Switches, GET /counters returns Counters, and PUT and DELETE /vms/NAME change the list of VMs. The faults do
// not apply to these requests.
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

// Config contains the listen address of a Server and the initial value of a switch.
type Config struct {
	Address netip.AddrPort
	// VMLag is the initial value of Switches.VMLag.
	VMLag time.Duration
}

// Switches are the faults that can be changed while the server runs. POST /switch sets them by field name.
type Switches struct {
	// Outage closes the connection of every request without a response.
	Outage bool
	// Slow is the delay before every request is processed.
	Slow time.Duration
	// LoseAnswers is the number of upcoming writes that are applied but whose response is not sent.
	LoseAnswers int
	// StaleReads makes reads and lists of objects return their state at the time when the switch was set.
	StaleReads bool
	// StaleWatches does the same for watches that start while it is set.
	StaleWatches bool
	// VMLag is the time from a change of the list of VMs until requests for the list return it.
	VMLag time.Duration
}

// Counters counts requests since the start of a Server, including those during an outage.
type Counters struct {
	Reads  int
	Writes int
	// Watches counts watches started, which Reads does not include.
	Watches int
	// WaitingWatches is the number of watches without a response yet, and MaxWaitingWatches its peak.
	WaitingWatches    int
	MaxWaitingWatches int
	// MaxReadsPerSecond and MaxWritesPerSecond are the peaks per second of the wall clock. They count the start of a watch as a
	// read.
	MaxReadsPerSecond  int
	MaxWritesPerSecond int
}

type objectKey struct {
	kind string
	name string
}

// vmChange is a change of the list of VMs that is not visible yet.
type vmChange struct {
	changedAt time.Time
	name      string
	// vm is nil if the VM was deleted.
	vm *storeclient.VM
}

// Server is a running platform stand-in.
type Server struct {
	listener   net.Listener
	httpServer *http.Server

	mu       sync.Mutex
	switches Switches
	counters Counters
	// currentSecond is the Unix time in seconds to which readsInSecond and writesInSecond refer.
	currentSecond  int64
	readsInSecond  int
	writesInSecond int
	lastVersion    uint64
	objects        map[objectKey]storeclient.Object
	// staleReadObjects is what reads and lists return while Switches.StaleReads is set, nil otherwise.
	staleReadObjects map[objectKey]storeclient.Object
	// staleWatchObjects is what new watches observe while Switches.StaleWatches is set, nil otherwise.
	staleWatchObjects map[objectKey]storeclient.Object
	// changed is closed and replaced at every write and every change of the switches, so that waiting watches check again.
	changed chan struct{}
	vms     map[string]storeclient.VM
	// pendingVMChanges is in chronological order.
	pendingVMChanges []vmChange
}

// Start starts a server that listens on cfg.Address. It fails if the address cannot be bound.
func Start(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Address.String())
	if err != nil {
		return nil, err
	}
	s := &Server{
		listener: l,
		objects:  map[objectKey]storeclient.Object{},
		vms:      map[string]storeclient.VM{},
		changed:  make(chan struct{}),
		switches: Switches{
			VMLag: cfg.VMLag,
		},
	}
	s.httpServer = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: time.Minute,
	}
	go s.run()
	return s, nil
}

func (s *Server) run() {
	_ = s.httpServer.Serve(s.listener)
}

// Addr returns the listen address.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close closes the listener and all connections without waiting for running requests.
func (s *Server) Close() error {
	return s.httpServer.Close()
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+storeclient.PathObject, s.withFaults(s.get))
	mux.HandleFunc("GET "+storeclient.PathList, s.withFaults(s.list))
	mux.HandleFunc("GET "+storeclient.PathWatch, s.withFaults(s.watch))
	mux.HandleFunc("GET "+storeclient.PathVMs, s.withFaults(s.listVMs))
	for _, method := range []string{"POST ", "PUT ", "DELETE "} {
		mux.HandleFunc(method+storeclient.PathObject, s.withFaults(s.write))
	}
	mux.HandleFunc("PUT "+storeclient.PathVMs+"/{name}", s.putVM)
	mux.HandleFunc("DELETE "+storeclient.PathVMs+"/{name}", s.deleteVM)
	mux.HandleFunc("POST /switch", s.postSwitch)
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.Counters())
	})
	return mux
}

// Counters returns a snapshot of the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// withFaults returns a handler that counts the request and applies Outage and Slow before it calls next.
func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.countRequest(r)
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

// countRequest updates the read and write counters. The caller holds s.mu.
func (s *Server) countRequest(r *http.Request) {
	if now := time.Now().Unix(); now != s.currentSecond {
		s.currentSecond, s.readsInSecond, s.writesInSecond = now, 0, 0
	}
	if r.Method == http.MethodGet {
		s.readsInSecond++
		if r.URL.Path == storeclient.PathWatch {
			s.counters.Watches++
		} else {
			s.counters.Reads++
		}
	} else {
		s.writesInSecond++
		s.counters.Writes++
	}
	s.counters.MaxReadsPerSecond = max(s.counters.MaxReadsPerSecond, s.readsInSecond)
	s.counters.MaxWritesPerSecond = max(s.counters.MaxWritesPerSecond, s.writesInSecond)
}

// readableObjects returns the objects that reads and lists return. The caller holds s.mu.
func (s *Server) readableObjects() map[objectKey]storeclient.Object {
	if s.staleReadObjects != nil {
		return s.staleReadObjects
	}
	return s.objects
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.readableObjects()[keyOf(r)]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, o)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	list := objectsOfKind(s.readableObjects(), r.URL.Query().Get("Kind"), 0)
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b storeclient.Object) int {
		return cmp.Compare(a.Name, b.Name)
	})
	writeJSON(w, list)
}

// objectsOfKind returns the objects of a kind whose version is greater than afterVersion, in no particular order.
func objectsOfKind(objects map[objectKey]storeclient.Object, kind string, afterVersion uint64) []storeclient.Object {
	list := []storeclient.Object{}
	for k, o := range objects {
		if k.kind == kind && o.Version > afterVersion {
			list = append(list, o)
		}
	}
	return list
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	afterVersion, _ := strconv.ParseUint(r.URL.Query().Get("Version"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("Wait"))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	s.addWaitingWatches(1)
	defer s.addWaitingWatches(-1)
	s.mu.Lock()
	stale := s.staleWatchObjects
	s.mu.Unlock()
	for {
		s.mu.Lock()
		objects := s.objects
		if stale != nil {
			objects = stale
		}
		list, changed, outage := objectsOfKind(objects, r.URL.Query().Get("Kind"), afterVersion), s.changed, s.switches.Outage
		s.mu.Unlock()
		if outage {
			panic(http.ErrAbortHandler)
		}
		if len(list) > 0 {
			slices.SortFunc(list, func(a, b storeclient.Object) int {
				return cmp.Compare(a.Version, b.Version)
			})
			writeJSON(w, list)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			writeJSON(w, list)
			return
		}
	}
}

func (s *Server) addWaitingWatches(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.WaitingWatches += n
	s.counters.MaxWaitingWatches = max(s.counters.MaxWaitingWatches, s.counters.WaitingWatches)
}

// write handles POST (create), PUT (update) and DELETE requests for an object.
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
	o, status, answerLost := s.applyWrite(r, value)
	switch {
	case answerLost:
		panic(http.ErrAbortHandler)
	case status != http.StatusOK:
		w.WriteHeader(status)
	default:
		o.Value = nil
		writeJSON(w, o)
	}
}

// applyWrite performs the write and returns the object and the HTTP status. If answerLost is true, the response must not be sent.
func (s *Server) applyWrite(r *http.Request, value []byte) (o storeclient.Object, status int, answerLost bool) {
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
	s.lastVersion++
	o = storeclient.Object{
		Kind:    k.kind,
		Name:    k.name,
		Version: s.lastVersion,
		Value:   value,
	}
	if r.Method == http.MethodDelete {
		delete(s.objects, k)
	} else {
		s.objects[k] = o
	}
	s.wakeWatches()
	if s.switches.LoseAnswers > 0 {
		s.switches.LoseAnswers--
		answerLost = true
	}
	return o, http.StatusOK, answerLost
}

// wakeWatches makes waiting watches check the objects and Outage again. The caller holds s.mu.
func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.visibleVMs())
}

func (s *Server) visibleVMs() []storeclient.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	visibleBefore := time.Now().Add(-s.switches.VMLag)
	for len(s.pendingVMChanges) > 0 && !s.pendingVMChanges[0].changedAt.After(visibleBefore) {
		if c := s.pendingVMChanges[0]; c.vm == nil {
			delete(s.vms, c.name)
		} else {
			s.vms[c.name] = *c.vm
		}
		s.pendingVMChanges = s.pendingVMChanges[1:]
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
	s.pendingVMChanges = append(s.pendingVMChanges, vmChange{
		changedAt: time.Now(),
		name:      name,
		vm:        vm,
	})
}

func (s *Server) postSwitch(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := switches.Apply(&s.switches, r); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.updateStaleObjects(&s.staleReadObjects, s.switches.StaleReads)
	s.updateStaleObjects(&s.staleWatchObjects, s.switches.StaleWatches)
	s.wakeWatches()
}

// updateStaleObjects copies the objects to *stale when the switch is set and clears the copy when it is reset. While the switch
// stays set, the first copy is kept. The caller holds s.mu.
func (s *Server) updateStaleObjects(stale *map[objectKey]storeclient.Object, enabled bool) {
	switch {
	case !enabled:
		*stale = nil
	case *stale == nil:
		*stale = maps.Clone(s.objects)
	}
}

func keyOf(r *http.Request) objectKey {
	return objectKey{
		kind: r.URL.Query().Get("Kind"),
		name: r.URL.Query().Get("Name"),
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
