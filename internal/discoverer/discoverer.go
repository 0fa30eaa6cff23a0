// Package discoverer keeps the list of usable backend servers from their entries at the platform. A server whose entry
// lapses stays on the list for a grace period.
package discoverer

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Server is the entry of a backend server.
type Server struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	Region  string
	// Version is that of the server's software.
	Version string
	// Slots is the number of requests that the server runs at the same time.
	Slots    int
	Draining bool
	// ColdUntil is when the server's cold start ends, the zero time when it is warm.
	ColdUntil time.Time
	// StartTime is the start of the server's process. A server with a new Born has nothing in common with the one before.
	StartTime time.Time
}

// Key identifies one process of a backend server.
type Key struct {
	ID          string
	Address     netip.AddrPort
	StartMillis int64
}

// Key returns the identity of the server's process.
func (s *Server) Key() Key {
	return Key{
		ID:          s.ID,
		Address:     s.Address,
		StartMillis: s.StartTime.UnixMilli(),
	}
}

// Hash returns a number that stands for the key between VMs.
func (k Key) Hash() uint64 {
	return xxhash.Sum64String(fmt.Sprint(k.ID, k.Address, k.StartMillis))
}

// Endpoint is a usable backend server.
type Endpoint struct {
	*Server
	// Lapsed says that the entry is gone and the server is used for the rest of the grace period only.
	Lapsed bool
}

// View is the list of usable backend servers. It is immutable.
type View struct {
	// Loaded is false as long as no list has been read.
	Loaded bool
	// Revision is the platform's revision of the list.
	Revision  uint64
	ByService map[string][]Endpoint
}

// Change is one entry as the platform reports it. A nil Server means that the entry is gone or names no usable server.
type Change struct {
	ID     string
	Server *Server
}

// Config are the bounds of a Registrar.
type Config struct {
	// GracePeriod is how long a server is used after its entry has gone, counted from the platform's return if it was away.
	GracePeriod time.Duration
}

// lapse is an entry that has gone.
type lapse struct {
	server *Server
	until  time.Time
}

// Discoverer turns reports of the platform into a View. It is not safe for concurrent use.
type Discoverer struct {
	cfg      Config
	known    bool
	revision uint64
	servers  map[string]*Server
	// lapsed holds servers whose entries are gone and whose grace period runs; none of them is in servers.
	lapsed map[string]lapse
}

// New returns a Registrar without entries.
func New(cfg Config) *Discoverer {
	return &Discoverer{
		cfg:     cfg,
		servers: map[string]*Server{},
		lapsed:  map[string]lapse{},
	}
}

// PlatformRecovered notes that the platform answers again. Entries that lapsed in the outage have the grace period from now on.
func (r *Discoverer) PlatformRecovered(now time.Time) {
	for id, l := range r.lapsed {
		l.until = now.Add(r.cfg.GracePeriod)
		r.lapsed[id] = l
	}
}

// Replace takes a whole list at a revision.
func (r *Discoverer) Replace(now time.Time, revision uint64, list []Change) {
	named := make(map[string]struct{}, len(list))
	for _, c := range list {
		named[c.ID] = struct{}{}
	}
	for id := range r.servers {
		if _, ok := named[id]; !ok {
			r.remove(now, id)
		}
	}
	r.known = true
	r.Apply(now, revision, list)
}

// Apply takes changes up to a revision.
func (r *Discoverer) Apply(now time.Time, revision uint64, changes []Change) {
	for _, c := range changes {
		if c.Server == nil {
			r.remove(now, c.ID)
			continue
		}
		r.servers[c.ID] = c.Server
		delete(r.lapsed, c.ID)
	}
	r.revision = revision
}

func (r *Discoverer) remove(now time.Time, id string) {
	s, ok := r.servers[id]
	if !ok {
		return
	}
	delete(r.servers, id)
	if !s.Draining {
		r.lapsed[id] = lapse{
			server: s,
			until:  now.Add(r.cfg.GracePeriod),
		}
	}
}

// Expire drops servers whose grace period is over and reports their IDs.
func (r *Discoverer) Expire(now time.Time) []string {
	var gone []string
	for id, l := range r.lapsed {
		if !now.Before(l.until) {
			delete(r.lapsed, id)
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	return gone
}

// View returns the usable servers, ordered by ID.
func (r *Discoverer) View() *View {
	v := &View{
		Loaded:    r.known,
		Revision:  r.revision,
		ByService: map[string][]Endpoint{},
	}
	for _, s := range r.servers {
		if !s.Draining {
			v.ByService[s.Service] = append(v.ByService[s.Service], Endpoint{
				Server: s,
			})
		}
	}
	for _, l := range r.lapsed {
		v.ByService[l.server.Service] = append(v.ByService[l.server.Service], Endpoint{
			Server: l.server,
			Lapsed: true,
		})
	}
	for _, members := range v.ByService {
		slices.SortFunc(members, func(a, b Endpoint) int {
			return cmp.Compare(a.ID, b.ID)
		})
	}
	return v
}
