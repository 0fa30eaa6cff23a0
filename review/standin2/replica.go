package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// replica is a stand-in for a replica of a service.
type replica struct {
	rec      *record
	id       string
	service  string
	zone     string
	version  string
	listener net.Listener
	server   *http.Server
	born     int64
	// work is how long a request runs.
	work time.Duration
}

func startReplica(rec *record, service, version, id, zone string) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		rec:      rec,
		id:       id,
		service:  service,
		zone:     zone,
		version:  version,
		listener: l,
		born:     time.Now().UnixMilli(),
		work:     5 * time.Millisecond,
	}
	r.server = &http.Server{
		Handler:           r,
		ReadHeaderTimeout: time.Minute,
	}
	go r.run()
	return r, nil
}

func (r *replica) run() {
	_ = r.server.Serve(r.listener)
}

// entry is the replica's entry in the store.
func (r *replica) entry(state string) map[string]any {
	return map[string]any{
		"service":           r.service,
		"address":           r.listener.Addr().String(),
		"zone":              r.zone,
		"version":           r.version,
		"slots":             3,
		"state":             state,
		"cold-remaining-ms": 0,
		"sequence":          1,
		"born":              r.born,
	}
}

func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Instance-Id", r.id)
	w.Header().Set("Server-Load", "0,0,3")
	if req.URL.Path == "/health" {
		return
	}
	id := req.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := req.Header.Get("Expected-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.rec.add("replica %s of %s %s runs %s %s", r.id, r.service, r.version, id, req.URL.Path)
	time.Sleep(r.work)
	w.Header().Set("Server-Stamp", fmt.Sprintf("stamp.%s.%s", r.id, id))
	_, _ = fmt.Fprintf(w, "%s\n", r.service)
}
