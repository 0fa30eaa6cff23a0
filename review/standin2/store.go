package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meta is the store's metadata of an object.
type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is an object of the store.
type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// change is an entry of the store's history.
type change struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// contents are the objects by kind and name, their history and the revision of the last change. Copies share the objects, which are
// never modified.
type contents struct {
	revision uint64
	kinds    map[string]map[string]object
	history  []change
}

func (c *contents) clone() contents {
	out := contents{
		revision: c.revision,
		kinds:    map[string]map[string]object{},
		history:  slices.Clone(c.history),
	}
	for kind, objects := range c.kinds {
		out.kinds[kind] = maps.Clone(objects)
	}
	return out
}

// store is a stand-in for the platform's metadata store.
type store struct {
	rec     *record
	address string
	server  *http.Server

	mu      sync.Mutex
	era     int
	now     contents
	copied  contents
	changed chan struct{}
	// written are the writes of the operator and the replicas since the copy was made, in their order.
	written []change
}

func startStore(rec *record) (*store, error) {
	s := &store{
		rec: rec,
		era: 1,
		now: contents{
			revision: 100,
			kinds:    map[string]map[string]object{},
		},
		changed: make(chan struct{}),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.serve(l)
	return s, nil
}

func (s *store) serve(l net.Listener) {
	s.server = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: time.Minute,
	}
	go s.run(s.server, l)
}

func (s *store) run(server *http.Server, l net.Listener) {
	_ = server.Serve(l)
}

// put writes the spec of an object as the operator or a replica does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.now.kinds[kind][name]
	o.Spec = data
	o.Meta.Name = name
	s.written = append(s.written, change{
		kind:   kind,
		Object: o,
	})
	s.write(kind, o, false)
}

// remove deletes an object, as the store does when an entry has expired.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.now.kinds[kind][name]; ok {
		s.write(kind, o, true)
	}
}

// status returns the status of an object, "" if it has none.
func (s *store) status(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.now.kinds[kind][name].Status)
}

// write stores or deletes an object under the next revision.
func (s *store) write(kind string, o object, deleted bool) {
	s.now.revision++
	o.Meta.Revision = s.now.revision
	if s.now.kinds[kind] == nil {
		s.now.kinds[kind] = map[string]object{}
	}
	if old, ok := s.now.kinds[kind][o.Meta.Name]; ok {
		o.Meta.Created = old.Meta.Created
	} else {
		o.Meta.Created = s.now.revision
	}
	if deleted {
		delete(s.now.kinds[kind], o.Meta.Name)
	} else {
		s.now.kinds[kind][o.Meta.Name] = o
	}
	s.now.history = append(s.now.history, change{
		kind:     kind,
		revision: s.now.revision,
		Object:   o,
		Deleted:  deleted,
	})
	s.rec.add("store era %d revision %d: %s/%s deleted=%t status=%s", s.era, s.now.revision, kind, o.Meta.Name, deleted, o.Status)
	close(s.changed)
	s.changed = make(chan struct{})
}

// makeCopy makes the copy from which comeBack restores the store.
func (s *store) makeCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = s.now.clone()
	s.written = nil
	s.rec.add("store: a copy is made at revision %d", s.now.revision)
}

// goAway ends all connections and refuses new ones.
func (s *store) goAway() {
	s.rec.add("store: away")
	_ = s.server.Close()
}

// comeBack serves the copy under the next era. The operator and the replicas first write again what they wrote since, and then what they
// could not write while the store was away.
func (s *store) comeBack(delayed func()) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	lost := s.now.revision
	s.era++
	s.now = s.copied.clone()
	s.rec.add("store: back from the copy at revision %d, era %d; it was at %d", s.now.revision, s.era, lost)
	for _, c := range s.written {
		s.write(c.kind, c.Object, false)
	}
	s.mu.Unlock()
	delayed()
	s.serve(l)
	return nil
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	if r.Method == http.MethodGet && r.URL.Query().Get("watch") != "" {
		s.watch(w, r, parts[0])
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin(w)
	switch {
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0])
	case r.Method == http.MethodGet:
		o, ok := s.now.kinds[parts[0]][parts[1]]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		encode(w, http.StatusOK, o)
	default:
		s.change(w, r, parts)
	}
}

// begin sets the headers of all answers. The caller must hold s.mu.
func (s *store) begin(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
}

func encode(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	items := []object{}
	for _, name := range slices.Sorted(maps.Keys(s.now.kinds[kind])) {
		items = append(items, s.now.kinds[kind][name])
	}
	encode(w, http.StatusOK, map[string]any{
		"items":    items,
		"has-more": false,
		"as-of":    s.now.revision,
	})
}

// change executes a write of the system.
func (s *store) change(w http.ResponseWriter, r *http.Request, parts []string) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	name := in.Meta.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	old, exists := s.now.kinds[parts[0]][name]
	revision := in.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		revision, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && exists, exists && revision != 0 && revision != old.Meta.Revision:
		encode(w, http.StatusConflict, old)
		return
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	next := old
	next.Meta.Name = name
	switch {
	case len(parts) == 3:
		next.Status = in.Status
	case r.Method != http.MethodDelete:
		next.Spec = in.Spec
	}
	unchanged := exists && string(next.Spec) == string(old.Spec) && string(next.Status) == string(old.Status)
	if r.Method == http.MethodDelete || !unchanged {
		s.write(parts[0], next, r.Method == http.MethodDelete)
	}
	encode(w, http.StatusOK, s.now.kinds[parts[0]][name])
}

// watch answers as soon as there is a change of the kind after a revision, or with none after the wait. A revision that the store does
// not have is answered with 410.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.now.history {
			if c.kind == kind && c.revision > after {
				events = append(events, c)
			}
		}
		changed, revision := s.changed, s.now.revision
		if after > revision || len(events) > 0 || ended {
			s.begin(w)
			s.mu.Unlock()
			if after > revision {
				w.WriteHeader(http.StatusGone)
				return
			}
			encode(w, http.StatusOK, map[string]any{
				"events": events,
				"as-of":  revision,
			})
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			ended = true
		}
	}
}
