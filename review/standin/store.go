package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec,omitempty"`
	Status json.RawMessage `json:"status,omitempty"`
}

type objectMeta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"`
	Created  uint64 `json:"created,omitempty"`
}

// event is a change of an object.
type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision uint64
}

// store is a stand-in for the platform's store. It supports lists, watches and conditional writes.
type store struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	events   []event
	changed  chan struct{}
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		listener: l,
		revision: 1,
		kinds:    map[string]map[string]object{},
		changed:  make(chan struct{}),
	}
	s.server = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: time.Minute,
	}
	go s.run()
	return s, nil
}

func (s *store) run() {
	_ = s.server.Serve(s.listener)
}

func (s *store) address() string {
	return s.listener.Addr().String()
}

// put creates or replaces the spec of an object.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data, s.kinds[kind][name].Status, false)
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, nil, nil, true)
}

func (s *store) write(kind, name string, spec, status json.RawMessage, deleted bool) {
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	o, exists := s.kinds[kind][name]
	o.Spec, o.Status = spec, status
	o.Meta.Name, o.Meta.Revision = name, s.revision
	if !exists {
		o.Meta.Created = s.revision
	}
	if deleted {
		delete(s.kinds[kind], name)
	} else {
		s.kinds[kind][name] = o
	}
	s.events = append(s.events, event{
		Object:   o,
		Deleted:  deleted,
		kind:     kind,
		revision: s.revision,
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.URL.Query().Get("watch") != "":
		s.handleWatch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) > 1:
		s.handleGet(w, parts[0], parts[1])
	case r.Method == http.MethodGet:
		s.handleList(w, parts[0])
	default:
		s.handleWrite(w, r, parts)
	}
}

func (s *store) handleGet(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, o)
}

func (s *store) handleList(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, o := range s.kinds[kind] {
		items = append(items, o)
	}
	slices.SortFunc(items, func(a, b object) int {
		return strings.Compare(a.Meta.Name, b.Meta.Name)
	})
	writeJSON(w, map[string]any{
		"items":    items,
		"has-more": false,
		"as-of":    s.revision,
	})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for done := false; ; {
		s.mu.Lock()
		changed, asOf := s.changed, s.revision
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || done {
			writeJSON(w, map[string]any{
				"events": events,
				"as-of":  asOf,
			})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			done = true
		}
	}
}

func (s *store) handleWrite(w http.ResponseWriter, r *http.Request, parts []string) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	name := o.Meta.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.kinds[parts[0]][name]
	switch {
	case r.Method == http.MethodPost && exists, o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		w.WriteHeader(http.StatusConflict)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case len(parts) == 3:
		s.write(parts[0], name, old.Spec, o.Status, false)
		writeJSON(w, s.kinds[parts[0]][name])
	default:
		s.write(parts[0], name, o.Spec, old.Status, r.Method == http.MethodDelete)
		writeJSON(w, s.kinds[parts[0]][name])
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
