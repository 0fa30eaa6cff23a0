// Package gossiper replicates soft-state records between entry VMs by push-pull gossip with delta exchanges. From the records
// it derives the blackboard sections Members, Replicas and Quarantine.
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

// Periods, timeouts and limits of the gossip protocol.
const (
	// ExchangePeriod is the time between two rounds of exchanges.
	ExchangePeriod = 500 * time.Millisecond
	// Fanout is the number of VMs of the local availability zone that a VM exchanges with in each round. They are chosen at
	// random; every PartnerRotationPeriod one of them is replaced. An exchange carries the changes since the previous one with
	// the same partner. With new partners in every round, a VM received each change from nearly every other VM (811 records/s
	// per idle VM at 111 VMs).
	Fanout                = 2
	PartnerRotationPeriod = time.Minute
	// RelaysPerZone is the number of VMs per zone that exchange with other zones. WatchersPerZone is the number of VMs per zone
	// that read the platform's VM list.
	RelaysPerZone   = 2
	WatchersPerZone = 2
	// RefreshPeriod is the time between two refreshes of a VM's own member record. A refresh is a record of about 45 bytes
	// without payload. It stays inside the zone, except that the refreshes of relays are sent to other zones, where they prove
	// that the whole zone is alive. An idle VM sends and receives 2.8 KB/s at 111 VMs in one zone and 3.3 KB/s at 777 VMs in 7
	// zones (mean of all VMs in BenchmarkTraffic, without the headers of net/rpc and TCP). Sending the refreshes of all VMs to
	// all VMs would be 156 new records per second.
	RefreshPeriod = 5 * time.Second
	// SuspectAfter is the time without contact after which an Alive member becomes Suspect. It covers RefreshPeriod and the
	// time in which a refresh propagates.
	SuspectAfter = 8 * time.Second
	// UnknownAfter is the time without contact to an owner after which its replica reports are no longer valid.
	UnknownAfter = 10 * time.Second
	// GoneRetention is how long the records of a Gone member are retained.
	GoneRetention = 5 * time.Minute
	// VMListPeriod is the time between two reads of the platform's VM list by a watcher.
	VMListPeriod = 2 * time.Second
	// ListMissThreshold is the number of consecutive lists without a VM after which it is delisted. One list is not enough,
	// because a stale list may lack a new VM.
	ListMissThreshold = 2
	// ReconnectPeriod is the time between two attempts to reach configured peers and members that are not Alive. An attempt
	// that succeeds corrects a member that was wrongly declared Gone.
	ReconnectPeriod = 5 * time.Second
	// MaxBrokenConnections is the number of broken connections after which a listed VM without a member record is no longer
	// considered an entry VM.
	MaxBrokenConnections = 3
	// SectionWritePeriod is the minimum time between two writes of a section.
	SectionWritePeriod = 50 * time.Millisecond
	// LivenessCheckPeriod is the time between two checks for members without contact.
	LivenessCheckPeriod = 500 * time.Millisecond
	// ExchangeTimeout bounds one exchange, VMListTimeout one read of the VM list.
	ExchangeTimeout = time.Second
	VMListTimeout   = 2 * time.Second
	// DiscoveryTimeout is how long a starting VM searches for other VMs before it may conclude that its zone has none.
	DiscoveryTimeout = 2 * time.Second
)

// Options contains the identity of this VM and the dependencies of a Gossiper.
type Options struct {
	Name             string
	AvailabilityZone string
	// Address is the address at which this VM serves net/rpc.
	Address netip.AddrPort
	// Peers contains the configured addresses of other entry VMs.
	Peers  []netip.AddrPort
	Client messenger.Client
	// Store provides the platform's VM list. It is nil if there is no platform.
	Store    storeclient.Store
	Board    *blackboard.Board
	Timer    *timer.Service
	Recorder *recorder.Recorder
	Logger   logger.Logger
	// Incarnation identifies this process. 0 selects the current time in microseconds since the Unix epoch.
	Incarnation uint64
}

// Gossiper maintains the record map and exchanges it with other entry VMs. Its methods are safe for concurrent use.
type Gossiper struct {
	o           Options
	log         zerolog.Logger
	incarnation uint64

	mu    sync.Mutex
	store *store
	peers map[string]*peerState
	// partners contains the VMs of the local zone that each round exchanges with. One is replaced every PartnerRotationPeriod.
	partners          []string
	partnersRotatedAt time.Time
	// lastContact is the time of the last record or message from a member, zoneLastContact that from any member of a zone.
	lastContact     map[string]time.Time
	zoneLastContact map[string]time.Time
	// listedVMs contains the other VMs that this VM has read from the platform's list. A VM is removed when a VM record with
	// Listed unset is applied.
	listedVMs map[string]storeclient.VM
	// listMisses counts the consecutive lists that did not contain a VM.
	listMisses map[string]int
	// delistedSeq contains the Seq that the member record had when the member was delisted. The member becomes Gone only after
	// SuspectAfter without contact, because the platform may return stale lists.
	delistedSeq map[string]uint64
	goneSince   map[string]time.Time
	state       blackboard.MemberState
	subscribers map[messenger.RecordKind][]func(messenger.Record)
	queue       []delivery
	// delivering is set while a goroutine delivers the records in queue.
	delivering bool
	// dirty contains the kinds of records whose sections must be derived again.
	dirty            map[messenger.RecordKind]bool
	startedAt        time.Time
	vmListRead       bool
	zonePeerAnswered bool
	exchanged        bool
	// initialSectionsWritten is set once the sections have been written after the first successful exchange.
	initialSectionsWritten bool
	// contactedPeers contains the configured peers that answered or refused the connection.
	contactedPeers map[netip.AddrPort]bool
	// brokenConnections counts the connections that a listed VM without a member record accepted and then broke. The list also
	// contains the VMs of backend servers. The configuration identifies them, but one may be missing from it.
	brokenConnections map[string]int
}

// peerState is the state of the exchanges with one peer.
type peerState struct {
	busy bool
	// pulledPosition is the position in the peer's change log up to which its records were received. It is valid only for the
	// peer's process with incarnation. pushedPosition is the position in the local change log up to which the peer has received
	// records.
	pulledPosition uint64
	pushedPosition uint64
	incarnation    uint64
}

type delivery struct {
	f func(messenger.Record)
	r messenger.Record
}

var _ messenger.RecordPublisher = (*Gossiper)(nil)

// New returns a Gossiper whose only member is this VM, and writes the section Members.
func New(o Options) *Gossiper {
	g := &Gossiper{
		o:                 o,
		log:               o.Logger.Part("gossiper"),
		incarnation:       o.Incarnation,
		store:             newStore(),
		peers:             map[string]*peerState{},
		lastContact:       map[string]time.Time{},
		zoneLastContact:   map[string]time.Time{},
		listedVMs:         map[string]storeclient.VM{},
		delistedSeq:       map[string]uint64{},
		goneSince:         map[string]time.Time{},
		state:             blackboard.MemberAlive,
		subscribers:       map[messenger.RecordKind][]func(messenger.Record){},
		contactedPeers:    map[netip.AddrPort]bool{},
		brokenConnections: map[string]int{},
		dirty:             map[messenger.RecordKind]bool{},
		startedAt:         o.Timer.Now(),
	}
	if g.incarnation == 0 {
		g.incarnation = uint64(g.startedAt.UnixMicro())
	}
	g.publishOwnMember()
	g.writeSections()
	return g
}

// Incarnation returns the number that distinguishes this process from earlier ones of the same VM.
func (g *Gossiper) Incarnation() uint64 {
	return g.incarnation
}

// Publish implements messenger.RecordPublisher.
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

// publish adds a record with this VM as its origin. Its Seq is raised above that of the record that it replaces, because the
// clocks of the VMs differ. The Seq of a configuration head is its generation.
func (g *Gossiper) publish(kind messenger.RecordKind, key string, data []byte, payload any) {
	now := g.o.Timer.Now()
	seq := uint64(now.UnixMicro())
	if e := g.store.entries[recordKey{
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
	g.applyRecord(messenger.Record{
		Kind:    kind,
		Key:     key,
		Origin:  g.o.Name,
		Seq:     seq,
		Payload: data,
	}, "", now)
}

// Subscribe calls f with every present and future record of the kind. Future records are delivered in the order of their
// arrival. Calls do not overlap. Refreshes without new content are not delivered.
func (g *Gossiper) Subscribe(kind messenger.RecordKind, f func(messenger.Record)) {
	g.mu.Lock()
	g.subscribers[kind] = append(g.subscribers[kind], f)
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

// deliver passes the queued records to their subscribers, unless another goroutine is already doing so.
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

// applyRecord adds a record to the map, marks the affected section as dirty and queues the record for its subscribers.
func (g *Gossiper) applyRecord(r messenger.Record, sender string, now time.Time) {
	contentChanged, accepted := g.store.put(r, sender, now, g.isKnownOrigin)
	if !accepted {
		return
	}
	g.recordContact(r.Origin, now)
	// A replica report with the same content still renews the time of the report, and a crash record with the same content may
	// follow a record that cleared an earlier crash. Only for a member record does a new Seq alone change no section.
	if contentChanged || r.Kind != messenger.RecordMember {
		g.dirty[r.Kind] = true
	}
	if !contentChanged {
		return
	}
	for _, f := range g.subscribers[r.Kind] {
		g.queue = append(g.queue, delivery{
			f: f,
			r: r,
		})
	}
	switch v := g.store.entries[recordKey{
		kind: r.Kind,
		key:  r.Key,
	}].value.(type) {
	case messenger.MemberRecord:
		g.applyMember(r, v, now)
	case messenger.VMRecord:
		g.applyVM(r.Key, v)
	}
}

func (g *Gossiper) isKnownOrigin(origin string) bool {
	return origin == g.o.Name || g.member(origin) != nil
}

func (g *Gossiper) member(name string) *entry {
	return g.store.entries[recordKey{
		kind: messenger.RecordMember,
		key:  name,
	}]
}

func (g *Gossiper) applyMember(r messenger.Record, m messenger.MemberRecord, now time.Time) {
	if r.Key == g.o.Name {
		if r.Origin != g.o.Name || m.Incarnation != g.incarnation {
			// Another VM published this VM as Suspect or Gone, or the record is from an earlier process of this VM.
			g.publishOwnMember()
		}
		return
	}
	_, contacted := g.lastContact[r.Key]
	if !contacted || r.Origin == r.Key {
		g.lastContact[r.Key] = now
	}
	if !contacted && g.isDelisted(r.Key) {
		// A starting VM may receive the VM record before the member record.
		g.delistedSeq[r.Key] = r.Seq
	}
}

func (g *Gossiper) applyVM(name string, vm messenger.VMRecord) {
	if vm.Listed {
		delete(g.delistedSeq, name)
		return
	}
	delete(g.listedVMs, name)
	if e := g.member(name); e != nil {
		g.delistedSeq[name] = e.record.Seq
	}
}

// MessageReceived records that a message from the named VM has arrived, which counts as contact.
func (g *Gossiper) MessageReceived(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordContact(name, g.o.Timer.Now())
}

func (g *Gossiper) recordContact(name string, now time.Time) {
	if name == g.o.Name {
		return
	}
	e := g.member(name)
	if e == nil {
		return
	}
	if now.Sub(g.lastContact[name]) > SuspectAfter {
		g.dirty[messenger.RecordMember] = true
	}
	g.lastContact[name] = now
	if m, ok := e.value.(messenger.MemberRecord); ok {
		g.zoneLastContact[m.AvailabilityZone] = now
	}
}

// ConnectionRefused records that the address of the named VM refused a connection that was opened while its process had the
// given incarnation. A refusal proves that this process has ended, so the member becomes Gone. The refusal is ignored if a
// record of another incarnation has arrived since.
func (g *Gossiper) ConnectionRefused(name string, incarnation uint64) {
	g.mu.Lock()
	g.handleRefusal(name, incarnation)
	g.mu.Unlock()
	g.deliver()
}

func (g *Gossiper) handleRefusal(name string, incarnation uint64) {
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
	} else if vm, ok := g.listedVMs[name]; ok && incarnation == 0 {
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
	g.log.Info().Str("Member", name).Msg("A member's address refused a connection; the member is Gone.")
	g.o.Recorder.Record("gossiper", "MemberGone", name, "connection refused")
	// The Seq is only one above that of the member's record, so that the record of its next process replaces this one even if
	// the clocks differ.
	g.applyRecord(messenger.Record{
		Kind:    messenger.RecordMember,
		Key:     name,
		Origin:  g.o.Name,
		Seq:     seq,
		Payload: data,
	}, "", now)
}

// publishOwnMember publishes a new member record of this VM.
func (g *Gossiper) publishOwnMember() {
	m := messenger.MemberRecord{
		AvailabilityZone: g.o.AvailabilityZone,
		Address:          g.o.Address,
		State:            g.state,
		Generation:       g.o.Board.Config.Read().Generation,
		Incarnation:      g.incarnation,
	}
	data, err := messenger.EncodePayload(m)
	if err != nil {
		g.log.Error().Err(err).Msg("Publishing this VM's member record failed.")
		return
	}
	g.publish(messenger.RecordMember, g.o.Name, data, m)
}

// AnnounceDeparture publishes the state Leaving or Gone of this VM and immediately exchanges with the targets of a round: some
// VMs of its zone and, if this VM is a relay, relays of other zones. It returns when these exchanges have ended.
func (g *Gossiper) AnnounceDeparture(ctx context.Context, state blackboard.MemberState) {
	g.mu.Lock()
	g.state = state
	g.publishOwnMember()
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
	g.writeSections()
}

// MembershipKnown reports whether the membership of the local zone is known: another VM of the zone has answered, or the zone
// has no other VM. The latter is concluded after DiscoveryTimeout from the platform's list, or when every configured peer has
// answered or refused the connection.
func (g *Gossiper) MembershipKnown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.zonePeerAnswered {
		return true
	}
	if g.o.Timer.Now().Sub(g.startedAt) < DiscoveryTimeout {
		return false
	}
	members := g.o.Board.Members.Read()
	if len(members.ByZone[g.o.AvailabilityZone]) > 1 {
		return false
	}
	if g.vmListRead && g.o.Board.Config.Read().Generation > 0 {
		return true
	}
	known := map[netip.AddrPort]bool{}
	for _, m := range members.ByName {
		known[m.Address] = true
	}
	return !slices.ContainsFunc(g.o.Peers, func(p netip.AddrPort) bool { return !known[p] && !g.contactedPeers[p] })
}

// InitialExchangeDone reports whether the sections contain the records of the first successful exchange.
func (g *Gossiper) InitialExchangeDone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.initialSectionsWritten
}

// Run exchanges records and writes the sections until ctx is done. It always returns nil.
func (g *Gossiper) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		g.runVMList(ctx)
	})
	writes := g.o.Timer.Subscribe(SectionWritePeriod)
	defer writes.Stop()
	rounds := g.o.Timer.Subscribe(ExchangePeriod)
	defer rounds.Stop()
	refreshes := g.o.Timer.Subscribe(RefreshPeriod)
	defer refreshes.Stop()
	livenessChecks := g.o.Timer.Subscribe(LivenessCheckPeriod)
	defer livenessChecks.Stop()
	configChanged := g.o.Board.Config.Changed()
	g.startRound(ctx, &wg)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-writes.C:
			g.writeSections()
		case <-rounds.C:
			g.startRound(ctx, &wg)
		case <-livenessChecks.C:
			g.checkLiveness()
		case <-refreshes.C:
			g.refresh()
		case <-configChanged:
			configChanged = g.o.Board.Config.Changed()
			g.refresh()
		}
	}
}

func (g *Gossiper) refresh() {
	g.mu.Lock()
	g.publishOwnMember()
	g.mu.Unlock()
	g.deliver()
}

// target is a VM to exchange with. All fields except address are unset if the VM is known only by its configured address.
type target struct {
	name        string
	zone        string
	address     netip.AddrPort
	incarnation uint64
}
