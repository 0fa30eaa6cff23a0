package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that a replica has begun to work on.
type run struct {
	id       string
	replica  string
	begun    time.Time
	ended    time.Time
	finished bool
}

// replica is a stand-in for a replica of a service. It runs as many requests at once as it has slots, and lets the others wait.
type replica struct {
	id      string
	service string
	zone    string
	slots   int
	// work returns how long a request runs.
	work func() time.Duration
	// begins is called as the replica begins to work on a request. It reports whether the replica crashes; nil means never.
	begins   func(r *replica, id, path string) bool
	rec      *record
	listener net.Listener
	server   *http.Server
	free     chan struct{}
	born     int64

	mu   sync.Mutex
	runs map[string]*run
	// dead is true once the replica has crashed. It writes its entry no more.
	dead bool
}

func startReplica(rec *record, service, id, zone string, slots int, work func() time.Duration, begins func(*replica, string, string) bool) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id:       id,
		service:  service,
		zone:     zone,
		slots:    slots,
		work:     work,
		begins:   begins,
		rec:      rec,
		listener: l,
		free:     make(chan struct{}, slots),
		born:     time.Now().UnixMilli(),
		runs:     map[string]*run{},
	}
	r.server = &http.Server{
		Handler:           r,
		ReadHeaderTimeout: time.Minute,
	}
	go r.loop()
	return r, nil
}

func (r *replica) loop() {
	_ = r.server.Serve(r.listener)
}

// entry is the replica's entry in the store.
func (r *replica) entry(sequence int) map[string]any {
	return map[string]any{
		"service":           r.service,
		"address":           r.listener.Addr().String(),
		"zone":              r.zone,
		"version":           "v1",
		"slots":             r.slots,
		"state":             "ready",
		"cold-remaining-ms": 0,
		"sequence":          sequence,
		"born":              r.born,
	}
}

func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := req.Header.Get("Expected-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case r.free <- struct{}{}:
	case <-req.Context().Done():
		return
	}
	defer func() {
		<-r.free
	}()
	e := &run{
		id:      id,
		replica: r.id,
		begun:   time.Now(),
	}
	r.mu.Lock()
	r.runs[id] = e
	r.mu.Unlock()
	r.rec.add("replica %s runs %s", r.id, id)
	if r.begins != nil && r.begins(r, id, req.URL.Path) {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(r.work()):
		r.end(e, true)
	case <-req.Context().Done():
		r.end(e, false)
		r.rec.add("replica %s drops %s, whose connection was closed", r.id, id)
		return
	}
	w.Header().Set("Server-Stamp", fmt.Sprintf("stamp.%s.%s", r.id, id))
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", len(r.free), r.slots))
	_, _ = fmt.Fprintf(w, "done %s\n", id)
}

func (r *replica) markCrashed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dead = true
}

func (r *replica) crashed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dead
}

func (r *replica) end(e *run, finished bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.ended = time.Now()
	e.finished = finished
}

// find returns the run of a request, nil if the replica has not begun it.
func (r *replica) find(id string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.runs[id]; ok {
		c := *e
		return &c
	}
	return nil
}

// fixedWork returns a function that always returns d.
func fixedWork(d time.Duration) func() time.Duration {
	return func() time.Duration {
		return d
	}
}
