package gossiper

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/messenger"
)

// write derives the sections whose records changed.
func (g *Gossiper) write() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Timer.Now()
	if g.dirty[messenger.RecordMember] || g.dirty[messenger.RecordVM] {
		g.o.Board.Members.Write(g.members(now))
		// The reports of an owner count or not by the state of the member.
		g.dirty[messenger.RecordReplica] = true
	}
	// The crash stands before the lost replica, because a request that crashes servers would else be planned on the next one.
	if g.dirty[messenger.RecordCrash] {
		g.o.Board.Quarantine.Write(g.quarantine())
	}
	if g.dirty[messenger.RecordReplica] {
		g.o.Board.Replicas.Write(g.replicas(g.o.Board.Members.Read(), now))
	}
	clear(g.dirty)
	g.informed = g.exchanged
}

func (g *Gossiper) members(now time.Time) *blackboard.Members {
	view := &blackboard.Members{
		Self:   g.o.Name,
		ByName: map[string]blackboard.Member{},
		ByZone: map[string][]blackboard.Member{},
	}
	for k, e := range g.store.entries {
		if m, ok := e.value.(messenger.MemberRecord); ok {
			view.ByName[k.key] = g.judge(k.key, e, m, now)
		}
	}
	cfg := g.o.Board.Config.Read()
	for name, vm := range g.listed {
		_, known := view.ByName[name]
		_, server := cfg.Servers[name]
		// Without a configuration nothing tells entry VMs from the VMs of backend servers, which must not get exchanges.
		if !known && !server && cfg.Generation > 0 && g.strange[name] < MaxBrokenConnections {
			view.ByName[name] = blackboard.Member{
				Name:             name,
				AvailabilityZone: vm.AvailabilityZone,
				Address:          vm.Address,
				State:            blackboard.MemberSuspect,
				Listed:           true,
			}
		}
	}
	for _, m := range view.ByName {
		if m.State != blackboard.MemberGone {
			view.ByZone[m.AvailabilityZone] = append(view.ByZone[m.AvailabilityZone], m)
		}
	}
	for _, list := range view.ByZone {
		slices.SortFunc(list, func(a, b blackboard.Member) int {
			return cmp.Compare(a.Name, b.Name)
		})
	}
	return view
}

// judge returns the member with its state as this VM sees it.
func (g *Gossiper) judge(name string, e *entry, r messenger.MemberRecord, now time.Time) blackboard.Member {
	m := blackboard.Member{
		Name:             name,
		AvailabilityZone: r.AvailabilityZone,
		Address:          r.Address,
		State:            r.State,
		Incarnation:      r.Incarnation,
		Generation:       r.Generation,
		Listed:           g.isListed(name),
	}
	switch seq, dropped := g.delisted[name]; {
	case name == g.o.Name:
		m.State = g.state
	case dropped && e.record.Seq <= seq && now.Sub(g.news[name]) >= SuspectAfter:
		m.State = blackboard.MemberGone
	case m.State == blackboard.MemberAlive && now.Sub(g.lastNews(name, r)) >= SuspectAfter:
		m.State = blackboard.MemberSuspect
	}
	return m
}

// lastNews returns when the member was last known to run. News of any member of another zone count for the whole zone.
func (g *Gossiper) lastNews(name string, r messenger.MemberRecord) time.Time {
	if r.AvailabilityZone != g.o.AvailabilityZone && g.zoneNews[r.AvailabilityZone].After(g.news[name]) {
		return g.zoneNews[r.AvailabilityZone]
	}
	return g.news[name]
}

func (g *Gossiper) replicas(members *blackboard.Members, now time.Time) *blackboard.Replicas {
	view := &blackboard.Replicas{
		ByName: map[string]blackboard.Replica{},
	}
	for k, e := range g.store.entries {
		r, ok := e.value.(messenger.ReplicaRecord)
		if !ok || r.Released {
			continue
		}
		replica := blackboard.Replica{
			Name:        k.key,
			Owner:       e.record.Origin,
			State:       r.State,
			Allowance:   r.Allowance,
			Load:        r.Load,
			Held:        r.Held,
			Incarnation: r.Incarnation,
			ReceivedAt:  e.at,
			Leaving:     g.isLeaving(k.key),
		}
		if !g.counts(members, e.record.Origin, now) {
			replica.State = blackboard.ReplicaUnknown
		}
		view.ByName[k.key] = replica
	}
	return view
}

// counts reports whether the reports of an owner still count.
func (g *Gossiper) counts(members *blackboard.Members, owner string, now time.Time) bool {
	if owner == g.o.Name {
		return true
	}
	m, ok := members.ByName[owner]
	if !ok || m.State == blackboard.MemberGone {
		return false
	}
	e := g.member(owner)
	if e == nil {
		return false
	}
	r, _ := e.value.(messenger.MemberRecord)
	last := g.lastNews(owner, r)
	if r.State == blackboard.MemberSuspect {
		// A relay of the owner's zone has reported silence.
		last = e.at.Add(-SuspectAfter)
	}
	return now.Sub(last) < UnknownAfter
}

// vm returns what the platform's list says of a VM, and whether it has ever named it.
func (g *Gossiper) vm(name string) (messenger.VMRecord, bool) {
	e := g.store.entries[id{
		kind: messenger.RecordVM,
		key:  name,
	}]
	if e == nil {
		return messenger.VMRecord{}, false
	}
	vm, ok := e.value.(messenger.VMRecord)
	return vm, ok
}

func (g *Gossiper) isListed(name string) bool {
	vm, _ := g.vm(name)
	return vm.Listed
}

func (g *Gossiper) isDropped(name string) bool {
	vm, ok := g.vm(name)
	return ok && !vm.Listed
}

func (g *Gossiper) isLeaving(server string) bool {
	vm, ok := g.vm(server)
	return ok && (vm.Leaving || !vm.Listed)
}

// quarantine adds up the crashes per fingerprint that are later than the last record that clears it.
func (g *Gossiper) quarantine() *blackboard.Quarantine {
	view := &blackboard.Quarantine{
		Crashes:       map[uint64]int{},
		CooldownUntil: map[uint64]time.Time{},
	}
	type crash struct {
		messenger.CrashRecord
		seq uint64
		at  time.Time
	}
	var crashes []crash
	cleared := map[uint64]uint64{}
	for _, e := range g.store.entries {
		c, ok := e.value.(messenger.CrashRecord)
		if !ok {
			continue
		}
		if c.Crashes == 0 {
			cleared[c.Fingerprint] = max(cleared[c.Fingerprint], e.record.Seq)
			continue
		}
		crashes = append(crashes, crash{
			CrashRecord: c,
			seq:         e.record.Seq,
			at:          e.at,
		})
	}
	for _, c := range crashes {
		if c.seq <= cleared[c.Fingerprint] {
			continue
		}
		view.Crashes[c.Fingerprint] += c.Crashes
		if until := c.at.Add(blackboard.CrashCooldown); c.Untried && until.After(view.CooldownUntil[c.Fingerprint]) {
			view.CooldownUntil[c.Fingerprint] = until
		}
	}
	return view
}

// age notes members that became Suspect, spreads what the relays of their zone see, and drops records of Gone members.
func (g *Gossiper) age() {
	g.mu.Lock()
	now := g.o.Timer.Now()
	before := g.o.Board.Members.Read()
	isRelay := slices.Contains(Relays(before, g.o.AvailabilityZone), g.o.Name)
	for name, m := range g.members(now).ByName {
		old := before.ByName[name]
		if m.State != old.State {
			g.dirty[messenger.RecordMember] = true
			g.o.Recorder.Record("gossiper", "MemberState", name, stateName(m.State))
		}
		if isRelay && m.AvailabilityZone == g.o.AvailabilityZone && m.State == blackboard.MemberSuspect && m.Incarnation != 0 {
			g.spreadSuspect(name, m)
		}
		if m.State == blackboard.MemberSuspect {
			// The reports of its replicas age to Unknown without any record.
			g.dirty[messenger.RecordReplica] = true
		}
		g.noteGone(name, m.State, now)
	}
	g.dropGone(now)
	g.mu.Unlock()
	g.deliver()
}

func stateName(s blackboard.MemberState) string {
	switch s {
	case blackboard.MemberAlive:
		return "Alive"
	case blackboard.MemberSuspect:
		return "Suspect"
	case blackboard.MemberLeaving:
		return "Leaving"
	default:
		return "Gone"
	}
}

// spreadSuspect tells the other zones, which get no refreshes of this member. The member's next record takes it back.
func (g *Gossiper) spreadSuspect(name string, m blackboard.Member) {
	e := g.member(name)
	if e == nil {
		return
	}
	r, ok := e.value.(messenger.MemberRecord)
	if !ok || r.State != blackboard.MemberAlive {
		return
	}
	r.State = m.State
	data, err := messenger.EncodePayload(r)
	if err != nil {
		return
	}
	g.accept(messenger.Record{
		Kind:    messenger.RecordMember,
		Key:     name,
		Origin:  g.o.Name,
		Seq:     e.record.Seq + 1,
		Payload: data,
	}, "", g.o.Timer.Now())
}

func (g *Gossiper) noteGone(name string, s blackboard.MemberState, now time.Time) {
	if s != blackboard.MemberGone {
		delete(g.gone, name)
		return
	}
	if _, ok := g.gone[name]; !ok {
		g.gone[name] = now
	}
}

func (g *Gossiper) dropGone(now time.Time) {
	for k, e := range g.store.entries {
		if vm, ok := e.value.(messenger.VMRecord); ok && !vm.Listed && now.Sub(e.at) >= GoneRetention {
			g.store.drop(k)
		}
	}
	for name, since := range g.gone {
		if now.Sub(since) < GoneRetention {
			continue
		}
		for k, e := range g.store.entries {
			ofMember := k.kind == messenger.RecordMember && k.key == name
			soft := k.kind == messenger.RecordReplica || k.kind == messenger.RecordCrash || k.kind == messenger.RecordVersionStats
			if ofMember || soft && e.record.Origin == name {
				g.store.drop(k)
			}
		}
		delete(g.gone, name)
		delete(g.news, name)
		delete(g.links, name)
		delete(g.delisted, name)
		g.dirty[messenger.RecordMember] = true
	}
}

// runList reads the platform's VM list: every VM until it succeeds once, then the watchers of the zone.
func (g *Gossiper) runList(ctx context.Context) {
	if g.o.Store == nil {
		return
	}
	tick := g.o.Timer.Subscribe(VMListPeriod)
	defer tick.Stop()
	for {
		if g.readsList() {
			g.readList(ctx)
			g.deliver()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (g *Gossiper) readsList() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.listRead || slices.Contains(Watchers(g.o.Board.Members.Read(), g.o.AvailabilityZone), g.o.Name)
}

func (g *Gossiper) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, VMListTimeout)
	defer cancel()
	vms, err := g.o.Store.VMs(ctx)
	if err != nil {
		g.log.Debug().Err(err).Msg("The platform's VM list was not read.")
		return
	}
	// An empty list is not believed: it would drop every VM at once.
	if len(vms) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listRead = true
	g.dirty[messenger.RecordMember] = true
	present := map[string]bool{}
	for _, vm := range vms[:min(len(vms), MaxVMs)] {
		present[vm.Name] = true
		if vm.Name != g.o.Name {
			g.listed[vm.Name] = vm
		}
		g.publishVM(vm.Name, messenger.VMRecord{
			Listed:  true,
			Leaving: vm.Leaving,
		})
	}
	g.dropUnlisted(present)
}

// dropUnlisted publishes the VMs that ListDrops lists in a row have left out.
func (g *Gossiper) dropUnlisted(present map[string]bool) {
	missed := map[string]int{}
	for k := range g.store.entries {
		if k.kind != messenger.RecordVM || present[k.key] {
			continue
		}
		missed[k.key] = g.missed[k.key] + 1
		if missed[k.key] >= ListMissThreshold {
			g.publishVM(k.key, messenger.VMRecord{})
		}
	}
	g.missed = missed
}

// publishVM publishes a VM record if it differs from the one that is known. A VM that the list has never named gets none.
func (g *Gossiper) publishVM(name string, vm messenger.VMRecord) {
	data, err := messenger.EncodePayload(vm)
	if err != nil {
		return
	}
	if e := g.store.entries[id{
		kind: messenger.RecordVM,
		key:  name,
	}]; e != nil && string(e.record.Payload) == string(data) {
		return
	}
	g.publish(messenger.RecordVM, name, data, vm)
}
