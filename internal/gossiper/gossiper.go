// Package gossiper replicates soft-state records between entry VMs by gossip with delta exchanges, and derives the sections
// Members, Replicas and Quarantine from them.
package gossiper

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// Periods and time limits.
const (
	// ExchangePeriod is the time between two rounds of exchanges.
	ExchangePeriod = 500 * time.Millisecond
	// Fanout is the number of VMs of the own zone in a round. They are chosen at random and kept for PartnerPeriod, because an
	// exchange carries what changed since the last one with the same partner: with new partners in every round each change came
	// from nearly every VM (811 records/s per VM at rest at 111 VMs, trial figure).
	Fanout                = 2
	PartnerRotationPeriod = time.Minute
	// RelaysPerZone is the number of VMs of a zone that exchange with other zones, WatcherCount that of VMs that read the platform's
	// VM list.
	RelaysPerZone   = 2
	WatchersPerZone = 2
	// RefreshPeriod is the time between two refreshes of the own member record. A refresh is a record of about 45 bytes without
	// payload that stays inside the zone; only the relays' refreshes pass between zones and stand for the life of their whole
	// zone. At rest a VM sends and receives 2.8 KB/s at 111 VMs in one zone and 3.3 KB/s at 777 VMs in 7 zones (mean of all VMs,
	// BenchmarkTraffic, without the headers of net/rpc and TCP). Refreshes of all VMs to all would be 156 new records a second.
	RefreshPeriod = 5 * time.Second
	// SuspectAfter is the time without news of a member: a refresh period and the time of its spreading.
	SuspectAfter = 8 * time.Second
	// UnknownAfter is the time without news of an owner after which its replica reports do not count any more.
	UnknownAfter = 10 * time.Second
	// GoneRetention is how long the records of a Gone member are kept.
	GoneRetention = 5 * time.Minute
	// VMListPeriod is the time between two reads of the platform's VM list by a watcher.
	VMListPeriod = 2 * time.Second
	// ListMissThreshold is how many lists in a row must leave a VM out before it counts as dropped: a stale list may lack a new VM.
	ListMissThreshold = 2
	// ReconnectPeriod is the time between two attempts to reach configured peers and Gone members, which ends a false verdict.
	ReconnectPeriod = 5 * time.Second
	// MaxBrokenConnections is the number of broken connections after which a VM of the list is not taken for an entry VM.
	MaxBrokenConnections = 3
	// SectionWritePeriod is the shortest time between two writes of a section.
	SectionWritePeriod = 50 * time.Millisecond
	// LivenessCheckPeriod is the time between two checks for members without news.
	LivenessCheckPeriod = 500 * time.Millisecond
	// ExchangeTimeout bounds one exchange, ListTimeout one read of the VM list.
	ExchangeTimeout = time.Second
	VMListTimeout   = 2 * time.Second
	// DiscoveryTimeout is how long a starting VM looks for others before it counts as alone.
	DiscoveryTimeout = 2 * time.Second
)

// Options are the collaborators of a Gossiper.
type Options struct {
	Name             string
	AvailabilityZone string
	// Address is where this VM serves net/rpc.
	Address netip.AddrPort
	// Peers are addresses of entry VMs from the settings.
	Peers  []netip.AddrPort
	Client messenger.Client
	// Store provides the platform's VM list; nil means that there is none.
	Store    storeclient.Store
	Board    *blackboard.Board
	Timer    *timer.Service
	Recorder *recorder.Recorder
	Logger   logger.Logger
	// Incarnation identifies this process; 0 means the current time in microseconds.
	Incarnation uint64
}

// Gossiper owns the record map. Its methods are safe for concurrent use.
type Gossiper struct {
	o           Options
	log         zerolog.Logger
	incarnation uint64

	mu    sync.Mutex
	store *store
	links map[string]*link
	// partners are the VMs of the own zone in each round; one of them is replaced after every PartnerPeriod.
	partners    []string
	partnerTime time.Time
	// news is when something was last heard of a member, zoneNews of any member of a zone.
	news     map[string]time.Time
	zoneNews map[string]time.Time
	// listed is the platform's list as VM records and own reads tell it.
	listed map[string]storeclient.VM
	// missed counts the lists in a row that left a VM out.
	missed map[string]int
	// delisted holds the Seq of the member record at the time at which the list dropped the member. It counts only once there is
	// no news of the member either, because the platform returns stale lists.
	delisted map[string]uint64
	gone     map[string]time.Time
	state    blackboard.MemberState
	subs     map[messenger.RecordKind][]func(messenger.Record)
	queue    []delivery
	// delivering says that a goroutine works through queue.
	delivering bool
	// dirty holds the kinds whose sections must be derived again.
	dirty     map[messenger.RecordKind]bool
	started   time.Time
	listRead  bool
	inZone    bool
	exchanged bool
	// informed says that the sections have been written since the first exchange.
	informed bool
	// tried holds the configured peers that refused or answered.
	tried map[netip.AddrPort]bool
	// strange counts connections that a VM of the list accepted and broke before it was ever heard of. The list also names
	// VMs of backend servers, which are told apart by the configuration, but one may be missing there.
	strange map[string]int
}

// link is the state of the exchanges with one peer.
type link struct {
	busy bool
	// pulled is the position in the peer's log with the incarnation; pushed is the position in the own log.
	pulled      uint64
	pushed      uint64
	incarnation uint64
}

type delivery struct {
	f func(messenger.Record)
	r messenger.Record
}

var _ messenger.RecordPublisher = (*Gossiper)(nil)

// New returns a Gossiper that knows only this VM, and writes the section Members.
func New(o Options) *Gossiper {
	g := &Gossiper{
		o:           o,
		log:         o.Logger.Part("gossiper"),
		incarnation: o.Incarnation,
		store:       newStore(),
		links:       map[string]*link{},
		news:        map[string]time.Time{},
		zoneNews:    map[string]time.Time{},
		listed:      map[string]storeclient.VM{},
		delisted:    map[string]uint64{},
		gone:        map[string]time.Time{},
		state:       blackboard.MemberAlive,
		subs:        map[messenger.RecordKind][]func(messenger.Record){},
		tried:       map[netip.AddrPort]bool{},
		strange:     map[string]int{},
		dirty:       map[messenger.RecordKind]bool{},
		started:     o.Timer.Now(),
	}
	if g.incarnation == 0 {
		g.incarnation = uint64(g.started.UnixMicro())
	}
	g.publishSelf()
	g.write()
	return g
}

// Incarnation returns the incarnation of this process.
func (g *Gossiper) Incarnation() uint64 {
	return g.incarnation
}

// Publish implements peerer.Publisher.
func (g *Gossiper) Publish(kind messenger.RecordKind, key string, payload any) error {
	data, err := messenger.EncodePayload(payload)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.publish(kind, key, data, payload)
	g.mu.Unlock()
	g.deliver()
	return nil
}

// publish adds a record of this VM. The Seq exceeds that of the record that it replaces, because the clocks of the VMs differ.
func (g *Gossiper) publish(kind messenger.RecordKind, key string, data []byte, payload any) {
	now := g.o.Timer.Now()
	seq := uint64(now.UnixMicro())
	if e := g.store.entries[id{
		kind: kind,
		key:  key,
	}]; e != nil {
		seq = max(seq, e.record.Seq+1)
	}
	switch head := payload.(type) {
	case messenger.ConfigHeadRecord:
		seq = head.Generation
	case *messenger.ConfigHeadRecord:
		seq = head.Generation
	}
	g.accept(messenger.Record{
		Kind:    kind,
		Key:     key,
		Origin:  g.o.Name,
		Seq:     seq,
		Payload: data,
	}, "", now)
}

// Subscribe calls f with every record of the kind that is known or becomes known, in the order of their arrival and one at a
// time. Refreshes without new content are left out.
func (g *Gossiper) Subscribe(kind messenger.RecordKind, f func(messenger.Record)) {
	g.mu.Lock()
	g.subs[kind] = append(g.subs[kind], f)
	for k, e := range g.store.entries {
		if k.kind == kind {
			g.queue = append(g.queue, delivery{
				f: f,
				r: e.record,
			})
		}
	}
	g.mu.Unlock()
	g.deliver()
}

// deliver works through the queue unless another goroutine does.
func (g *Gossiper) deliver() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.delivering {
		return
	}
	g.delivering = true
	for len(g.queue) > 0 {
		batch := g.queue
		g.queue = nil
		g.mu.Unlock()
		for _, d := range batch {
			d.f(d.r)
		}
		g.mu.Lock()
	}
	g.delivering = false
}

// accept takes a record into the map and notes what follows from it.
func (g *Gossiper) accept(r messenger.Record, from string, now time.Time) {
	fresh, accepted := g.store.put(r, from, now, g.knows)
	if !accepted {
		return
	}
	g.hear(r.Origin, now)
	// A repeated report renews the time of the report, and a repeated crash may follow a record that cleared an earlier one. Only
	// a member record says nothing new by its Seq.
	if fresh || r.Kind != messenger.RecordMember {
		g.dirty[r.Kind] = true
	}
	if !fresh {
		return
	}
	for _, f := range g.subs[r.Kind] {
		g.queue = append(g.queue, delivery{
			f: f,
			r: r,
		})
	}
	switch v := g.store.entries[id{
		kind: r.Kind,
		key:  r.Key,
	}].value.(type) {
	case messenger.MemberRecord:
		g.acceptMember(r, v, now)
	case messenger.VMRecord:
		g.acceptVM(r.Key, v)
	}
}

func (g *Gossiper) knows(origin string) bool {
	return origin == g.o.Name || g.member(origin) != nil
}

func (g *Gossiper) member(name string) *entry {
	return g.store.entries[id{
		kind: messenger.RecordMember,
		key:  name,
	}]
}

func (g *Gossiper) acceptMember(r messenger.Record, m messenger.MemberRecord, now time.Time) {
	if r.Key == g.o.Name {
		if r.Origin != g.o.Name || m.Incarnation != g.incarnation {
			// Another VM spread a verdict on this one, or a record of an earlier process is left.
			g.publishSelf()
		}
		return
	}
	_, heard := g.news[r.Key]
	if !heard || r.Origin == r.Key {
		g.news[r.Key] = now
	}
	if !heard && g.isDropped(r.Key) {
		// The order in which a starting VM gets the two records is not fixed.
		g.delisted[r.Key] = r.Seq
	}
}

func (g *Gossiper) acceptVM(name string, vm messenger.VMRecord) {
	if vm.Listed {
		delete(g.delisted, name)
		return
	}
	delete(g.listed, name)
	if e := g.member(name); e != nil {
		g.delisted[name] = e.record.Seq
	}
}

// MessageReceived notes that a message of the named VM has arrived.
func (g *Gossiper) MessageReceived(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hear(name, g.o.Timer.Now())
}

func (g *Gossiper) hear(name string, now time.Time) {
	if name == g.o.Name {
		return
	}
	e := g.member(name)
	if e == nil {
		return
	}
	if now.Sub(g.news[name]) > SuspectAfter {
		g.dirty[messenger.RecordMember] = true
	}
	g.news[name] = now
	if m, ok := e.value.(messenger.MemberRecord); ok {
		g.zoneNews[m.AvailabilityZone] = now
	}
}

// ConnectionRefused notes that the address of the named VM refused a connection that was begun while its process had the incarnation.
// That process is gone.
func (g *Gossiper) ConnectionRefused(name string, incarnation uint64) {
	g.mu.Lock()
	g.refused(name, incarnation)
	g.mu.Unlock()
	g.deliver()
}

func (g *Gossiper) refused(name string, incarnation uint64) {
	if name == g.o.Name {
		return
	}
	now := g.o.Timer.Now()
	m := messenger.MemberRecord{}
	seq := uint64(1)
	if e := g.member(name); e != nil {
		m, _ = e.value.(messenger.MemberRecord)
		if m.Incarnation != incarnation || m.State == blackboard.MemberGone {
			return
		}
		seq = e.record.Seq + 1
	} else if vm, ok := g.listed[name]; ok && incarnation == 0 {
		m.AvailabilityZone = vm.AvailabilityZone
		m.Address = vm.Address
	} else {
		return
	}
	m.State = blackboard.MemberGone
	data, err := messenger.EncodePayload(m)
	if err != nil {
		return
	}
	g.log.Info().Str("Member", name).Msg("The address of a member refuses connections.")
	g.o.Recorder.Record("gossiper", "MemberGone", name, "connection refused")
	// The Seq is just above that of the member, so that the record of its next process wins whatever the clocks say.
	g.accept(messenger.Record{
		Kind:    messenger.RecordMember,
		Key:     name,
		Origin:  g.o.Name,
		Seq:     seq,
		Payload: data,
	}, "", now)
}

// publishSelf renews the own member record.
func (g *Gossiper) publishSelf() {
	m := messenger.MemberRecord{
		AvailabilityZone: g.o.AvailabilityZone,
		Address:          g.o.Address,
		State:            g.state,
		Generation:       g.o.Board.Config.Read().Generation,
		Incarnation:      g.incarnation,
	}
	data, err := messenger.EncodePayload(m)
	if err != nil {
		g.log.Error().Err(err).Msg("The own member record was not published.")
		return
	}
	g.publish(messenger.RecordMember, g.o.Name, data, m)
}

// AnnounceDeparture publishes the state Leaving or Gone of this VM and pushes it at once to some VMs of its zone and to relays.
func (g *Gossiper) AnnounceDeparture(ctx context.Context, state blackboard.MemberState) {
	g.mu.Lock()
	g.state = state
	g.publishSelf()
	targets := g.pickTargets(g.o.Timer.Now())
	g.mu.Unlock()
	g.deliver()
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Go(func() {
			g.exchange(ctx, t)
		})
	}
	wg.Wait()
	g.write()
}

// MembershipKnown reports whether the membership of the own zone is known: a VM of the zone has answered, or nobody else is in it, by the
// platform's list or because every configured peer has answered or refused.
func (g *Gossiper) MembershipKnown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inZone {
		return true
	}
	if g.o.Timer.Now().Sub(g.started) < DiscoveryTimeout {
		return false
	}
	members := g.o.Board.Members.Read()
	if len(members.ByZone[g.o.AvailabilityZone]) > 1 {
		return false
	}
	if g.listRead && g.o.Board.Config.Read().Generation > 0 {
		return true
	}
	known := map[netip.AddrPort]bool{}
	for _, m := range members.ByName {
		known[m.Address] = true
	}
	return !slices.ContainsFunc(g.o.Peers, func(p netip.AddrPort) bool { return !known[p] && !g.tried[p] })
}

// InitialExchangeDone reports whether the sections have the records of a first exchange.
func (g *Gossiper) InitialExchangeDone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.informed
}

// Run exchanges records and writes the sections until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		g.runList(ctx)
	})
	writes := g.o.Timer.Subscribe(SectionWritePeriod)
	defer writes.Stop()
	rounds := g.o.Timer.Subscribe(ExchangePeriod)
	defer rounds.Stop()
	refreshes := g.o.Timer.Subscribe(RefreshPeriod)
	defer refreshes.Stop()
	ages := g.o.Timer.Subscribe(LivenessCheckPeriod)
	defer ages.Stop()
	generation := g.o.Board.Config.Changed()
	g.round(ctx, &wg)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-writes.C:
			g.write()
		case <-rounds.C:
			g.round(ctx, &wg)
		case <-ages.C:
			g.age()
		case <-refreshes.C:
			g.refresh()
		case <-generation:
			generation = g.o.Board.Config.Changed()
			g.refresh()
		}
	}
}

func (g *Gossiper) refresh() {
	g.mu.Lock()
	g.publishSelf()
	g.mu.Unlock()
	g.deliver()
}

// target is a VM to exchange with. The name is empty for a configured address.
type target struct {
	name        string
	zone        string
	address     netip.AddrPort
	incarnation uint64
}
