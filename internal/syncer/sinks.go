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

// ignoreOutages is embedded by sinks that do not depend on whether the platform is down: their objects stay in force.
type ignoreOutages struct{}

// PlatformDown implements Sink. It does nothing.
func (ignoreOutages) PlatformDown() {}

// PlatformRecovered implements Sink. It does nothing.
func (ignoreOutages) PlatformRecovered() {}

// Current implements Sink. It does nothing.
func (ignoreOutages) Current(time.Time) {}

// ConfigSink is the Sink that installs configurations. It never replaces a configuration by an older version.
type ConfigSink struct {
	ignoreOutages
	Board  *blackboard.Gateway
	Decode func(name string, value []byte) (router.Config, error)
	Log    zerolog.Logger
}

// Replace installs the newest configuration of the list.
func (c *ConfigSink) Replace(b storeclient.Batch) {
	c.Apply(b)
}

// Restore installs the newest configuration of the list if it is newer than the one in force. A configuration that the platform has lost
// stays in force.
func (c *ConfigSink) Restore(b storeclient.Batch) {
	c.Log.Info().Uint64("Era", b.Era).Uint64("Revision", b.Revision).Uint64("InForce", c.Board.Routes.Read().Version).Msg("The platform has come back from a copy.")
	c.Apply(b)
}

// Apply installs the newest configuration of the changes. A deleted or invalid configuration is logged and ignored.
func (c *ConfigSink) Apply(b storeclient.Batch) {
	for _, item := range b.Items {
		if item.Deleted {
			c.Log.Error().Str("Name", item.Name).Uint64("Revision", b.Revision).Msg("The configuration was deleted; the last one stays in force.")
			continue
		}
		cfg, err := c.Decode(item.Name, item.Value)
		if err != nil {
			c.Log.Error().Str("Name", item.Name).Uint64("Revision", b.Revision).Err(err).Msg("A configuration is invalid; the last one stays in force.")
			continue
		}
		c.install(cfg, b.Revision)
	}
}

func (c *ConfigSink) install(cfg router.Config, revision uint64) {
	old := c.Board.Routes.Read()
	if old.Loaded && cfg.Version <= old.Version {
		if cfg.Version < old.Version {
			c.Log.Warn().Uint64("Version", cfg.Version).Uint64("InForce", old.Version).Msg("An older configuration was ignored.")
		}
		return
	}
	c.Board.Routes.Write(router.NewTable(cfg))
	c.Log.Info().Uint64("Version", cfg.Version).Uint64("Before", old.Version).Uint64("Revision", revision).Int("Routes", len(cfg.Routes)).Msg("A configuration is in force.")
}

// ServerSink is the Sink that maintains the list of backend servers.
type ServerSink struct {
	board  *blackboard.Gateway
	decode func(name string, value []byte) (discoverer.Server, error)
	timer  *timer.Service
	log    zerolog.Logger

	mu         sync.Mutex
	discoverer *discoverer.Discoverer
	// invalidEntries contains the names of entries that the decoder has rejected, so that each is logged only once.
	invalidEntries map[string]struct{}
}

// maxInvalidEntries limits the size of ServerSink.invalidEntries. Further invalid entries are not logged.
const maxInvalidEntries = 1024

// NewServerSink returns a Sink that writes the Servers section of the blackboard.
func NewServerSink(board *blackboard.Gateway, decode func(string, []byte) (discoverer.Server, error), t *timer.Service, log zerolog.Logger, cfg discoverer.Config) *ServerSink {
	return &ServerSink{
		board:          board,
		decode:         decode,
		timer:          t,
		log:            log,
		discoverer:     discoverer.New(cfg),
		invalidEntries: map[string]struct{}{},
	}
}

// Replace replaces the list of backend servers.
func (s *ServerSink) Replace(b storeclient.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discoverer.Replace(s.timer.Now(), b.Revision, s.changes(b))
	s.publish()
}

// Restore replaces the list of backend servers by that of a new era.
func (s *ServerSink) Restore(b storeclient.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.discoverer.View()
	hidden, lapsed := s.discoverer.Restore(s.timer.Now(), b.Revision, s.changes(b))
	s.log.Info().Uint64("Era", b.Era).Uint64("Revision", b.Revision).Uint64("RevisionBefore", before.Revision).Int("Listed", len(b.Items)).Strs("Hidden", hidden[:min(len(hidden), maxLogged)]).
		Strs("Lapsed", lapsed[:min(len(lapsed), maxLogged)]).Msg("The platform has come back from a copy; servers that had left are not used, and servers that the copy lacks are used until they register again.")
	s.publish()
}

// Apply applies changes of backend servers.
func (s *ServerSink) Apply(b storeclient.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discoverer.Apply(s.timer.Now(), b.Revision, s.changes(b))
	s.publish()
}

// PlatformDown records that an outage of the platform begins.
func (s *ServerSink) PlatformDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discoverer.PlatformDown()
}

// PlatformRecovered restarts the grace period of entries that have lapsed in the outage.
func (s *ServerSink) PlatformRecovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discoverer.PlatformRecovered(s.timer.Now())
}

// Current records that the list of servers contains all changes up to the time at.
func (s *ServerSink) Current(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discoverer.Current(at)
}

// Expire removes servers whose grace period is over.
func (s *ServerSink) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone, returned := s.discoverer.Expire(now)
	if len(gone) > 0 {
		s.log.Info().Strs("Servers", gone[:min(len(gone), maxLogged)]).Int("Count", len(gone)).Msg("Backend servers were removed because the grace period of their lapsed entries is over.")
	}
	if len(returned) > 0 {
		s.log.Info().Strs("Servers", returned[:min(len(returned), maxLogged)]).Int("Count", len(returned)).Msg("Backend servers are used again because the platform still lists them some time after it came back from a copy.")
	}
	if len(gone)+len(returned) > 0 {
		s.publish()
	}
}

// maxLogged limits the number of names in one log line.
const maxLogged = 16

func (s *ServerSink) publish() {
	s.board.Servers.Write(s.discoverer.View())
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
				s.logInvalid(item.Name, err)
			} else {
				c.Server = &v
			}
		}
		if c.Server == nil || c.Server.Draining {
			s.log.Info().Str("Server", item.Name).Bool("Deleted", item.Deleted).Uint64("Revision", b.Revision).Msg("A backend server receives no new requests.")
		}
		changes = append(changes, c)
	}
	return changes
}

func (s *ServerSink) logInvalid(name string, err error) {
	if _, ok := s.invalidEntries[name]; ok || len(s.invalidEntries) >= maxInvalidEntries {
		return
	}
	s.invalidEntries[name] = struct{}{}
	s.log.Warn().Str("Server", name).Err(err).Msg("The entry of a backend server is invalid.")
}

// EvacuationSink is the Sink that maintains the set of evacuated zones. The name of an object is the name of the zone.
type EvacuationSink struct {
	ignoreOutages
	Board *blackboard.Gateway
	Log   zerolog.Logger
}

// Replace replaces the set of evacuated zones.
func (s *EvacuationSink) Replace(b storeclient.Batch) {
	s.write(b, map[string]struct{}{})
}

// Restore replaces the set of evacuated zones by that of a new era.
func (s *EvacuationSink) Restore(b storeclient.Batch) {
	s.Replace(b)
}

// Apply applies changes of evacuated zones.
func (s *EvacuationSink) Apply(b storeclient.Batch) {
	s.write(b, cloneMap(s.Board.EvacuatedZones.Read().Zones))
}

func (s *EvacuationSink) write(b storeclient.Batch, zones map[string]struct{}) {
	for _, item := range b.Items {
		if item.Deleted {
			delete(zones, item.Name)
		} else {
			zones[item.Name] = struct{}{}
		}
		s.Log.Info().Str("AvailabilityZone", item.Name).Bool("Out", !item.Deleted).Uint64("Revision", b.Revision).Msg("The evacuation of a zone changed.")
	}
	s.Board.EvacuatedZones.Write(&blackboard.EvacuatedZones{
		Revision: b.Revision,
		Zones:    zones,
	})
}

// VMSink is the Sink that maintains the list of entry VMs.
type VMSink struct {
	ignoreOutages
	Board *blackboard.Gateway
	Log   zerolog.Logger
	// OnChange is called after each change with the number of VMs, at least 1.
	OnChange func(n int)
}

// vmEntry is the JSON value of a VM's object at the platform. The name of the object is the name of the VM.
type vmEntry struct {
	Zone    string
	Address netip.AddrPort
}

// EncodeVM returns the value of a VM's object in JSON.
func EncodeVM(vm blackboard.VM) ([]byte, error) {
	return json.Marshal(vmEntry{
		Zone:    vm.Zone,
		Address: vm.Address,
	})
}

// Replace replaces the list of VMs.
func (s *VMSink) Replace(b storeclient.Batch) {
	s.write(b, map[string]blackboard.VM{})
}

// Restore replaces the list of VMs by that of a new era.
func (s *VMSink) Restore(b storeclient.Batch) {
	s.Replace(b)
}

// Apply applies changes of VMs.
func (s *VMSink) Apply(b storeclient.Batch) {
	vms := map[string]blackboard.VM{}
	for _, vm := range s.Board.VMs.Read().VMs {
		vms[vm.Name] = vm
	}
	s.write(b, vms)
}

func (s *VMSink) write(b storeclient.Batch, vms map[string]blackboard.VM) {
	for _, item := range b.Items {
		delete(vms, item.Name)
		if item.Deleted {
			continue
		}
		var e vmEntry
		if err := json.Unmarshal(item.Value, &e); err != nil {
			s.Log.Warn().Str("VM", item.Name).Err(err).Msg("The entry of a VM cannot be decoded; the VM is not used as a source.")
		}
		vms[item.Name] = blackboard.VM{
			Name:    item.Name,
			Zone:    e.Zone,
			Address: e.Address,
			Missing: item.Retained,
		}
	}
	s.Board.VMs.Write(&blackboard.VMList{
		Loaded:   true,
		Revision: b.Revision,
		VMs: slices.SortedFunc(maps.Values(vms), func(a, b blackboard.VM) int {
			return cmp.Compare(a.Name, b.Name)
		}),
	})
	s.OnChange(max(len(vms), 1))
}

// RolloutSink is the Sink that maintains the orders to move a service to another version.
type RolloutSink struct {
	ignoreOutages
	Decode func(item storeclient.Item) (blackboard.MoveOrder, error)
	// OnChange is called after each change with the revision and all orders, keyed by the names of their objects.
	OnChange func(revision uint64, orders map[string]blackboard.MoveOrder)
	Log      zerolog.Logger

	orders map[string]blackboard.MoveOrder
}

// Replace discards all orders and applies the list b. An invalid order on the list is logged and ignored.
func (s *RolloutSink) Replace(b storeclient.Batch) {
	s.orders = map[string]blackboard.MoveOrder{}
	s.Apply(b)
}

// Restore discards all orders and applies the list b of a new era. A retained order remains that of its era.
func (s *RolloutSink) Restore(b storeclient.Batch) {
	before := s.orders
	s.orders = map[string]blackboard.MoveOrder{}
	var listed []storeclient.Item
	for _, item := range b.Items {
		order, ok := before[item.Name]
		switch {
		case !item.Retained:
			listed = append(listed, item)
		case ok:
			s.orders[item.Name] = order
		}
	}
	b.Items = listed
	s.Apply(b)
}

// Apply applies changes of orders. An invalid order is logged and ignored; an earlier version of it stays.
func (s *RolloutSink) Apply(b storeclient.Batch) {
	for _, item := range b.Items {
		if item.Deleted {
			delete(s.orders, item.Name)
			continue
		}
		v, err := s.Decode(item)
		if err != nil {
			s.Log.Error().Str("Move", item.Name).Uint64("Revision", b.Revision).Err(err).Msg("An order to move a service is invalid.")
			continue
		}
		v.Era = b.Era
		s.orders[item.Name] = v
	}
	s.OnChange(b.Revision, cloneMap(s.orders))
}

// cloneMap returns a copy of m that is never nil. Maps that are shared with readers must not be modified.
func cloneMap[V any](m map[string]V) map[string]V {
	c := make(map[string]V, len(m))
	maps.Copy(c, m)
	return c
}
