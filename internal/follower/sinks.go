package follower

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/registrar"
	"github.com/anvildyke/anvildyke/internal/router"
	"github.com/anvildyke/anvildyke/internal/storer"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// silent is embedded by sinks that do nothing when the platform goes or returns: what they know stays in force.
type silent struct{}

// Lost does nothing.
func (silent) Lost() {}

// Returned does nothing.
func (silent) Returned() {}

// Configs is the Sink that installs configurations. An older version never replaces a newer one.
type Configs struct {
	silent
	Board *blackboard.Gateway
	Log   zerolog.Logger
}

// Replace installs the configuration of the list.
func (c *Configs) Replace(b storer.Batch[router.Config]) {
	c.Apply(b)
}

// Apply installs the newest configuration of the changes.
func (c *Configs) Apply(b storer.Batch[router.Config]) {
	for _, item := range b.Items {
		switch {
		case item.Err != nil:
			c.Log.Error().Str("Name", item.Name).Uint64("Revision", b.Revision).Err(item.Err).Msg("A configuration cannot be read; the last one stays in force.")
		case item.Deleted:
			c.Log.Error().Str("Name", item.Name).Uint64("Revision", b.Revision).Msg("The configuration was deleted; the last one stays in force.")
		default:
			c.install(item.Value, b.Revision)
		}
	}
}

func (c *Configs) install(cfg router.Config, revision uint64) {
	old := c.Board.Routes.Read()
	if old.Loaded && cfg.Version <= old.Version {
		if cfg.Version < old.Version {
			c.Log.Warn().Uint64("Version", cfg.Version).Uint64("InForce", old.Version).Msg("An older configuration was passed over.")
		}
		return
	}
	c.Board.Routes.Write(router.NewTable(cfg))
	c.Log.Info().Uint64("Version", cfg.Version).Uint64("Before", old.Version).Uint64("Revision", revision).Int("Routes", len(cfg.Routes)).Msg("A configuration is in force.")
}

// Servers is the Sink that lists backend servers.
type Servers struct {
	board *blackboard.Gateway
	timer *timer.Service
	log   zerolog.Logger

	mu        sync.Mutex
	registrar *registrar.Registrar
	// unreadable holds the names of entries that cannot be read, so that each is logged once.
	unreadable map[string]struct{}
}

// maxUnreadable bounds the remembered names of unreadable entries.
const maxUnreadable = 1024

// NewServers returns a Sink that writes the section Servers.
func NewServers(board *blackboard.Gateway, t *timer.Service, log zerolog.Logger, cfg registrar.Config) *Servers {
	return &Servers{
		board:      board,
		timer:      t,
		log:        log,
		registrar:  registrar.New(cfg),
		unreadable: map[string]struct{}{},
	}
}

// Replace takes the whole list.
func (s *Servers) Replace(b storer.Batch[registrar.Server]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registrar.Replace(s.timer.Now(), b.Revision, s.changes(b))
	s.publish()
}

// Apply takes changes.
func (s *Servers) Apply(b storer.Batch[registrar.Server]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registrar.Apply(s.timer.Now(), b.Revision, s.changes(b))
	s.publish()
}

// Lost does nothing: the servers that are known stay in use.
func (s *Servers) Lost() {}

// Returned extends the grace period of lapsed entries.
func (s *Servers) Returned() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registrar.Returned(s.timer.Now())
}

// Expire drops servers whose grace period is over.
func (s *Servers) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gone := s.registrar.Expire(now); len(gone) > 0 {
		s.log.Info().Strs("Servers", gone[:min(len(gone), maxLogged)]).Int("Count", len(gone)).Msg("Backend servers without an entry are no longer used.")
		s.publish()
	}
}

// maxLogged bounds the names in one log line.
const maxLogged = 16

func (s *Servers) publish() {
	s.board.Servers.Write(s.registrar.View())
}

func (s *Servers) changes(b storer.Batch[registrar.Server]) []registrar.Change {
	changes := make([]registrar.Change, 0, len(b.Items))
	for _, item := range b.Items {
		c := registrar.Change{
			ID: item.Name,
		}
		switch {
		case item.Err != nil:
			s.logUnreadable(item)
		case !item.Deleted:
			v := item.Value
			c.Server = &v
			s.log.Debug().Str("Server", v.ID).Str("Service", v.Service).Bool("Draining", v.Draining).Uint64("Revision", b.Revision).Msg("An entry changed.")
		}
		if c.Server == nil || c.Server.Draining {
			s.log.Info().Str("Server", item.Name).Bool("Deleted", item.Deleted).Uint64("Revision", b.Revision).Msg("A backend server gets nothing new.")
		}
		changes = append(changes, c)
	}
	return changes
}

func (s *Servers) logUnreadable(item storer.Item[registrar.Server]) {
	if _, ok := s.unreadable[item.Name]; ok || len(s.unreadable) >= maxUnreadable {
		return
	}
	s.unreadable[item.Name] = struct{}{}
	s.log.Warn().Str("Server", item.Name).Err(item.Err).Msg("An entry names no usable backend server.")
}

// Zones is the Sink of evacuated zones. The name of an object is that of the zone.
type Zones struct {
	silent
	Board *blackboard.Gateway
	Log   zerolog.Logger
}

// Replace takes the whole list.
func (z *Zones) Replace(b storer.Batch[struct{}]) {
	z.write(b, map[string]struct{}{})
}

// Apply takes changes.
func (z *Zones) Apply(b storer.Batch[struct{}]) {
	zones := map[string]struct{}{}
	for name := range z.Board.Zones.Read().Zones {
		zones[name] = struct{}{}
	}
	z.write(b, zones)
}

func (z *Zones) write(b storer.Batch[struct{}], zones map[string]struct{}) {
	for _, item := range b.Items {
		if item.Deleted {
			delete(zones, item.Name)
		} else {
			zones[item.Name] = struct{}{}
		}
		z.Log.Info().Str("AvailabilityZone", item.Name).Bool("Out", !item.Deleted).Uint64("Revision", b.Revision).Msg("The evacuation of a zone changed.")
	}
	z.Board.Zones.Write(&blackboard.Evacuated{
		Revision: b.Revision,
		Zones:    zones,
	})
}

// Fleet is the Sink of entry VMs.
type Fleet struct {
	silent
	Board *blackboard.Gateway
	// Changed is called with the number of VMs, at least 1.
	Changed func(n int)
}

// Replace takes the whole list.
func (f *Fleet) Replace(b storer.Batch[struct{}]) {
	f.write(b, nil)
}

// Apply takes changes.
func (f *Fleet) Apply(b storer.Batch[struct{}]) {
	f.write(b, f.Board.Members.Read().Names)
}

func (f *Fleet) write(b storer.Batch[struct{}], names []string) {
	names = slices.Clone(names)
	for _, item := range b.Items {
		i, found := slices.BinarySearch(names, item.Name)
		switch {
		case item.Deleted && found:
			names = slices.Delete(names, i, i+1)
		case !item.Deleted && !found:
			names = slices.Insert(names, i, item.Name)
		}
	}
	f.Board.Members.Write(&blackboard.Fleet{
		Revision: b.Revision,
		Names:    names,
	})
	f.Changed(max(len(names), 1))
}
