package syncer

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/router"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// steady is embedded by sinks to which an outage makes no difference: what they know stays in force.
type steady struct{}

// PlatformRecovered does nothing.
func (steady) PlatformRecovered() {}

// ConfigSink is the Sink that installs configurations. An older version never replaces a newer one.
type ConfigSink struct {
	steady
	Board  *blackboard.Gateway
	Decode func(name string, value []byte) (router.Config, error)
	Log    zerolog.Logger
}

// Replace installs the configuration of the list.
func (c *ConfigSink) Replace(b storeclient.Batch) {
	c.Apply(b)
}

// Apply installs the newest configuration of the changes.
func (c *ConfigSink) Apply(b storeclient.Batch) {
	for _, item := range b.Items {
		if item.Deleted {
			c.Log.Error().Str("Name", item.Name).Uint64("Revision", b.Revision).Msg("The configuration was deleted; the last one stays in force.")
			continue
		}
		cfg, err := c.Decode(item.Name, item.Value)
		if err != nil {
			c.Log.Error().Str("Name", item.Name).Uint64("Revision", b.Revision).Err(err).Msg("A configuration cannot be read; the last one stays in force.")
			continue
		}
		c.install(cfg, b.Revision)
	}
}

func (c *ConfigSink) install(cfg router.Config, revision uint64) {
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

// ServerSink is the Sink that lists backend servers.
type ServerSink struct {
	board  *blackboard.Gateway
	decode func(name string, value []byte) (discoverer.Server, error)
	timer  *timer.Service
	log    zerolog.Logger

	mu        sync.Mutex
	registrar *discoverer.Discoverer
	// unreadable holds the names of entries that cannot be read, so that each is logged once.
	unreadable map[string]struct{}
}

// maxUnreadable bounds the remembered names of unreadable entries.
const maxUnreadable = 1024

// NewServerSink returns a Sink that writes the section Servers.
func NewServerSink(board *blackboard.Gateway, decode func(string, []byte) (discoverer.Server, error), t *timer.Service, log zerolog.Logger, cfg discoverer.Config) *ServerSink {
	return &ServerSink{
		board:      board,
		decode:     decode,
		timer:      t,
		log:        log,
		registrar:  discoverer.New(cfg),
		unreadable: map[string]struct{}{},
	}
}

// Replace takes the whole list.
func (s *ServerSink) Replace(b storeclient.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registrar.Replace(s.timer.Now(), b.Revision, s.changes(b))
	s.publish()
}

// Apply takes changes.
func (s *ServerSink) Apply(b storeclient.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registrar.Apply(s.timer.Now(), b.Revision, s.changes(b))
	s.publish()
}

// PlatformRecovered extends the grace period of lapsed entries.
func (s *ServerSink) PlatformRecovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registrar.PlatformRecovered(s.timer.Now())
}

// Expire drops servers whose grace period is over.
func (s *ServerSink) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gone := s.registrar.Expire(now); len(gone) > 0 {
		s.log.Info().Strs("Servers", gone[:min(len(gone), maxLogged)]).Int("Count", len(gone)).Msg("Backend servers without an entry are no longer used.")
		s.publish()
	}
}

// maxLogged bounds the names in one log line.
const maxLogged = 16

func (s *ServerSink) publish() {
	s.board.Servers.Write(s.registrar.View())
}

func (s *ServerSink) changes(b storeclient.Batch) []discoverer.Change {
	changes := make([]discoverer.Change, 0, len(b.Items))
	for _, item := range b.Items {
		c := discoverer.Change{
			ID: item.Name,
		}
		if !item.Deleted {
			v, err := s.decode(item.Name, item.Value)
			if err != nil {
				s.logUnreadable(item.Name, err)
			} else {
				c.Server = &v
			}
		}
		if c.Server == nil || c.Server.Draining {
			s.log.Info().Str("Server", item.Name).Bool("Deleted", item.Deleted).Uint64("Revision", b.Revision).Msg("A backend server gets nothing new.")
		}
		changes = append(changes, c)
	}
	return changes
}

func (s *ServerSink) logUnreadable(name string, err error) {
	if _, ok := s.unreadable[name]; ok || len(s.unreadable) >= maxUnreadable {
		return
	}
	s.unreadable[name] = struct{}{}
	s.log.Warn().Str("Server", name).Err(err).Msg("An entry names no usable backend server.")
}

// EvacuationSink is the Sink of evacuated zones. The name of an object is that of the zone.
type EvacuationSink struct {
	steady
	Board *blackboard.Gateway
	Log   zerolog.Logger
}

// Replace takes the whole list.
func (z *EvacuationSink) Replace(b storeclient.Batch) {
	z.write(b, map[string]struct{}{})
}

// Apply takes changes.
func (z *EvacuationSink) Apply(b storeclient.Batch) {
	z.write(b, copied(z.Board.EvacuatedZones.Read().Zones))
}

func (z *EvacuationSink) write(b storeclient.Batch, zones map[string]struct{}) {
	for _, item := range b.Items {
		if item.Deleted {
			delete(zones, item.Name)
		} else {
			zones[item.Name] = struct{}{}
		}
		z.Log.Info().Str("AvailabilityZone", item.Name).Bool("Out", !item.Deleted).Uint64("Revision", b.Revision).Msg("The evacuation of a zone changed.")
	}
	z.Board.EvacuatedZones.Write(&blackboard.EvacuatedZones{
		Revision: b.Revision,
		Zones:    zones,
	})
}

// VMSink is the Sink of entry VMs.
type VMSink struct {
	steady
	Board *blackboard.Gateway
	Log   zerolog.Logger
	// OnChange is called with the number of VMs, at least 1.
	OnChange func(n int)
}

// entry is what a VM says of itself at the platform. The name of the object is that of the VM.
type entry struct {
	Zone    string
	Address netip.AddrPort
}

// EncodeVM returns the value of a VM's object.
func EncodeVM(vm blackboard.VM) ([]byte, error) {
	return json.Marshal(entry{
		Zone:    vm.Zone,
		Address: vm.Address,
	})
}

// Replace takes the whole list.
func (f *VMSink) Replace(b storeclient.Batch) {
	f.write(b, map[string]blackboard.VM{})
}

// Apply takes changes.
func (f *VMSink) Apply(b storeclient.Batch) {
	vms := map[string]blackboard.VM{}
	for _, vm := range f.Board.VMs.Read().VMs {
		vms[vm.Name] = vm
	}
	f.write(b, vms)
}

func (f *VMSink) write(b storeclient.Batch, vms map[string]blackboard.VM) {
	for _, item := range b.Items {
		delete(vms, item.Name)
		if item.Deleted {
			continue
		}
		var e entry
		if err := json.Unmarshal(item.Value, &e); err != nil {
			f.Log.Warn().Str("VM", item.Name).Err(err).Msg("The entry of a VM cannot be read; the VM is not followed.")
		}
		vms[item.Name] = blackboard.VM{
			Name:    item.Name,
			Zone:    e.Zone,
			Address: e.Address,
		}
	}
	f.Board.VMs.Write(&blackboard.VMList{
		Loaded:   true,
		Revision: b.Revision,
		VMs: slices.SortedFunc(maps.Values(vms), func(a, b blackboard.VM) int {
			return cmp.Compare(a.Name, b.Name)
		}),
	})
	f.OnChange(max(len(vms), 1))
}

// RolloutSink is the Sink of orders to move a service to another version.
type RolloutSink struct {
	steady
	Decode func(item storeclient.Item) (blackboard.MoveOrder, error)
	// OnChange is called with all orders at a revision, by the names of their objects.
	OnChange func(revision uint64, orders map[string]blackboard.MoveOrder)
	Log      zerolog.Logger

	orders map[string]blackboard.MoveOrder
}

// Replace takes the whole list.
func (m *RolloutSink) Replace(b storeclient.Batch) {
	m.orders = map[string]blackboard.MoveOrder{}
	m.Apply(b)
}

// Apply takes changes.
func (m *RolloutSink) Apply(b storeclient.Batch) {
	for _, item := range b.Items {
		if item.Deleted {
			delete(m.orders, item.Name)
			continue
		}
		v, err := m.Decode(item)
		if err != nil {
			m.Log.Error().Str("Move", item.Name).Uint64("Revision", b.Revision).Err(err).Msg("An order to move a service cannot be read.")
			continue
		}
		m.orders[item.Name] = v
	}
	m.OnChange(b.Revision, copied(m.orders))
}

// copied returns a copy of a map that a section holds, never nil.
func copied[V any](m map[string]V) map[string]V {
	c := make(map[string]V, len(m))
	maps.Copy(c, m)
	return c
}
