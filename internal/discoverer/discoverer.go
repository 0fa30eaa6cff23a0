// Package discoverer maintains the list of usable backend servers from their entries at the platform. A server whose entry
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

// Server is the entry of a backend server at the platform.
type Server struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	Region  string
	// Version is the version of the server's software.
	Version string
	// Slots is the number of requests that the server can process concurrently.
	Slots    int
	Draining bool
	// ColdUntil is the time at which the server's cold start ends, the zero time if the server is warm.
	ColdUntil time.Time
	// StartTime is the start time of the server's process. State recorded for the server does not apply to a process with another
	// StartTime.
	StartTime time.Time
}

// Key identifies one process of a backend server.
type Key struct {
	ID          string
	Address     netip.AddrPort
	StartMillis int64
}

// Key identifies the server's process, so that it changes when the server restarts.
func (s *Server) Key() Key {
	return Key{
		ID:          s.ID,
		Address:     s.Address,
		StartMillis: s.StartTime.UnixMilli(),
	}
}

// Hash returns a hash that identifies the key in messages between VMs.
func (k Key) Hash() uint64 {
	return xxhash.Sum64String(fmt.Sprint(k.ID, k.Address, k.StartMillis))
}

// Endpoint is a usable backend server.
type Endpoint struct {
	*Server
	// Lapsed is set when the entry is gone and the server is used only for the rest of the grace period.
	Lapsed bool
}

// View is the list of usable backend servers. It is immutable.
type View struct {
	// Loaded is false until a list has been read.
	Loaded bool
	// Revision is the platform's revision of the list.
	Revision  uint64
	ByService map[string][]Endpoint
}

// Change is one changed entry as reported by the platform. Server is nil if the entry is gone or invalid.
type Change struct {
	ID     string
	Server *Server
}

// Config determines how long a Discoverer keeps servers whose entries are gone.
type Config struct {
	// GracePeriod is how long a server is used after its entry disappears. It begins at the last time at which the list was known to
	// be current, since the entry may have disappeared at any time after that. If this happens during an outage of the platform, the
	// period starts again when the platform has recovered.
	GracePeriod time.Duration
	// ReturnDelay is how long a server whose entry had been removed is not used after the platform has come back from a copy that lists
	// it. It exceeds the time after which the platform removes the entry of a server that no longer renews it.
	ReturnDelay time.Duration
}

// departureMemory is how long a departure is remembered. Copies of the platform are some seconds old.
const departureMemory = 10 * time.Minute

// departure states that a process was leaving or that its entry was removed. It matters when the platform comes back from a copy that was
// made before.
type departure struct {
	// final is set if the process has said that it leaves or has been replaced under its ID. Such a process does not return.
	final bool
	// at is the time at which this was last learned.
	at time.Time
	// hidden is set if the platform has come back from a copy since. The process is then not used, or not before until if final is not
	// set.
	hidden bool
	until  time.Time
}

// lapsedEntry is an entry that is gone and whose server is still used.
type lapsedEntry struct {
	server *Server
	until  time.Time
	// inOutage is set if the entry may be gone only because the server could not renew it during an outage of the platform.
	inOutage bool
}

// Discoverer maintains a View from the platform's lists and changes. It is not safe for concurrent use.
type Discoverer struct {
	cfg      Config
	loaded   bool
	revision uint64
	// down is true during an outage of the platform, recoveredAt the end of the last outage.
	down        bool
	recoveredAt time.Time
	// currentAt is the last time at which the list was known to contain all changes, the zero time if that is unknown.
	currentAt time.Time
	servers   map[string]*Server
	// lapsed contains the servers whose entries are gone and whose grace period is not over, by ID. None of them is in servers.
	lapsed map[string]lapsedEntry
	// departed contains the processes that are not used if the platform lists them again because it came back from a copy.
	departed map[Key]departure
}

// New returns a Discoverer without entries.
func New(cfg Config) *Discoverer {
	return &Discoverer{
		cfg:     cfg,
		servers: map[string]*Server{},
		lapsed:  map[string]lapsedEntry{},

		departed: map[Key]departure{},
	}
}

// PlatformDown records the start of an outage of the platform, during which servers cannot renew their entries.
func (d *Discoverer) PlatformDown() {
	d.down = true
}

// PlatformRecovered records the end of an outage. It restarts the grace period of the entries that have lapsed since the outage
// began, because their servers could not renew them. Servers that were removed before are used no longer than without the outage.
func (d *Discoverer) PlatformRecovered(now time.Time) {
	d.down = false
	d.recoveredAt = now
	for id, l := range d.lapsed {
		if l.inOutage {
			l.until = now.Add(d.cfg.GracePeriod)
			d.lapsed[id] = l
		}
	}
}

// Current records that the list contained all changes up to the time at.
func (d *Discoverer) Current(at time.Time) {
	if at.After(d.currentAt) {
		d.currentAt = at
	}
}

// Replace replaces all entries by the list at a revision. Servers that are not on the list lapse unless they were draining.
func (d *Discoverer) Replace(now time.Time, revision uint64, list []Change) {
	listed := make(map[string]struct{}, len(list))
	for _, c := range list {
		listed[c.ID] = struct{}{}
	}
	for id := range d.servers {
		if _, ok := listed[id]; !ok {
			d.remove(now, id)
		}
	}
	d.loaded = true
	d.Apply(now, revision, list)
}

// Restore replaces all entries by the list of a platform that has come back from a copy. A server that the list lacks lapses, because it
// registers again if it is alive. A process that had left before is not used although it is listed. It returns the IDs of the listed
// servers that are not used and of those that lapse, in sorted order.
func (d *Discoverer) Restore(now time.Time, revision uint64, list []Change) (hidden, lapsed []string) {
	for k, dep := range d.departed {
		dep.hidden = true
		dep.until = now.Add(d.cfg.ReturnDelay)
		d.departed[k] = dep
	}
	d.PlatformRecovered(now)
	var current []Change
	listed := make(map[string]struct{}, len(list))
	for _, c := range list {
		known := d.known(c.ID)
		switch {
		case c.Server == nil || known == nil:
		case known.StartTime.After(c.Server.StartTime):
			d.departed[c.Server.Key()] = departure{
				final:  true,
				at:     now,
				hidden: true,
			}
			continue
		case known.Key() == c.Server.Key() && known.ColdUntil.After(c.Server.ColdUntil):
			c.Server.ColdUntil = known.ColdUntil
		}
		listed[c.ID] = struct{}{}
		current = append(current, c)
	}
	for id, s := range d.servers {
		if _, ok := listed[id]; ok {
			continue
		}
		delete(d.servers, id)
		if !s.Draining && !d.isHidden(s) {
			d.lapsed[id] = lapsedEntry{
				server:   s,
				until:    now.Add(d.cfg.GracePeriod),
				inOutage: true,
			}
			lapsed = append(lapsed, id)
		}
	}
	d.loaded = true
	d.Apply(now, revision, current)
	for _, c := range list {
		if c.Server != nil && !c.Server.Draining && d.isHidden(c.Server) {
			hidden = append(hidden, c.ID)
		}
	}
	slices.Sort(hidden)
	slices.Sort(lapsed)
	return hidden, lapsed
}

// known returns the server that is known under an ID, nil if there is none.
func (d *Discoverer) known(id string) *Server {
	if s, ok := d.servers[id]; ok {
		return s
	}
	return d.lapsed[id].server
}

// depart records that a process is leaving or that its entry was removed.
func (d *Discoverer) depart(now time.Time, s *Server, final bool) {
	dep := d.departed[s.Key()]
	dep.final = dep.final || final
	dep.at = now
	d.departed[s.Key()] = dep
}

// isHidden reports whether a listed process is not used because it had left before the platform came back from a copy.
func (d *Discoverer) isHidden(s *Server) bool {
	return d.departed[s.Key()].hidden
}

// Apply updates the entries by the changes since the previous revision. Removed servers lapse unless they were draining.
func (d *Discoverer) Apply(now time.Time, revision uint64, changes []Change) {
	for _, c := range changes {
		if c.Server == nil {
			d.remove(now, c.ID)
			continue
		}
		if old := d.known(c.ID); old != nil && old.Key() != c.Server.Key() {
			d.depart(now, old, true)
		}
		if c.Server.Draining {
			d.depart(now, c.Server, true)
		} else if !d.isHidden(c.Server) {
			delete(d.departed, c.Server.Key())
		}
		d.servers[c.ID] = c.Server
		delete(d.lapsed, c.ID)
	}
	d.revision = revision
}

func (d *Discoverer) remove(now time.Time, id string) {
	s, ok := d.servers[id]
	if !ok {
		return
	}
	delete(d.servers, id)
	if s.Draining || d.isHidden(s) {
		return
	}
	inOutage := d.down || now.Sub(d.recoveredAt) < d.cfg.GracePeriod
	if !inOutage {
		d.depart(now, s, false)
	}
	goneSince := now
	if !inOutage && !d.currentAt.IsZero() {
		goneSince = d.currentAt
	}
	if until := goneSince.Add(d.cfg.GracePeriod); until.After(now) {
		d.lapsed[id] = lapsedEntry{
			server:   s,
			until:    until,
			inOutage: inOutage,
		}
	}
}

// Expire removes the servers whose grace period is over, and uses the hidden ones again whose delay is over. It returns the IDs of both in
// sorted order.
func (d *Discoverer) Expire(now time.Time) (gone, returned []string) {
	for k, dep := range d.departed {
		s, listed := d.servers[k.ID]
		listed = listed && s.Key() == k
		switch {
		case dep.hidden && !dep.final && !now.Before(dep.until):
			delete(d.departed, k)
			if listed {
				returned = append(returned, k.ID)
			}
		case !listed && now.Sub(dep.at) >= departureMemory:
			delete(d.departed, k)
		}
	}
	for id, l := range d.lapsed {
		if !now.Before(l.until) {
			delete(d.lapsed, id)
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	slices.Sort(returned)
	return gone, returned
}

// View returns the usable servers of each service ordered by ID: those that are neither draining nor hidden, and lapsed ones.
func (d *Discoverer) View() *View {
	v := &View{
		Loaded:    d.loaded,
		Revision:  d.revision,
		ByService: map[string][]Endpoint{},
	}
	for _, s := range d.servers {
		if !s.Draining && !d.isHidden(s) {
			v.ByService[s.Service] = append(v.ByService[s.Service], Endpoint{
				Server: s,
			})
		}
	}
	for _, l := range d.lapsed {
		v.ByService[l.server.Service] = append(v.ByService[l.server.Service], Endpoint{
			Server: l.server,
			Lapsed: true,
		})
	}
	for _, endpoints := range v.ByService {
		slices.SortFunc(endpoints, func(a, b Endpoint) int {
			return cmp.Compare(a.ID, b.ID)
		})
	}
	return v
}
