package gossiper

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/messenger"
)

// writeSections derives and writes the sections whose records have changed.
func (g *Gossiper) writeSections() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Timer.Now()
	if g.dirty[messenger.RecordMember] || g.dirty[messenger.RecordVM] {
		g.o.Board.Members.Write(g.buildMembers(now))
		// The state of an owner determines whether its replica reports are valid.
		g.dirty[messenger.RecordReplica] = true
	}
	// Quarantine is written before Replicas. Otherwise, a request that crashed a server could be planned on another replica as
	// soon as the lost one disappears from Replicas.
	if g.dirty[messenger.RecordCrash] {
		g.o.Board.Quarantine.Write(g.buildQuarantine())
	}
	if g.dirty[messenger.RecordReplica] {
		g.o.Board.Replicas.Write(g.buildReplicas(g.o.Board.Members.Read(), now))
	}
	clear(g.dirty)
	g.initialSectionsWritten = g.exchanged
}

func (g *Gossiper) buildMembers(now time.Time) *blackboard.Members {
	view := &blackboard.Members{
		Self:   g.o.Name,
		ByName: map[string]blackboard.Member{},
		ByZone: map[string][]blackboard.Member{},
	}
	for k, e := range g.store.entries {
		if m, ok := e.value.(messenger.MemberRecord); ok {
			view.ByName[k.key] = g.evaluateMember(k.key, e, m, now)
		}
	}
	cfg := g.o.Board.Config.Read()
	for name, vm := range g.listedVMs {
		_, isMember := view.ByName[name]
		_, isServer := cfg.Servers[name]
		// Without a configuration, entry VMs cannot be distinguished from VMs of backend servers, which must not receive
		// exchanges.
		if !isMember && !isServer && cfg.Generation > 0 && g.brokenConnections[name] < MaxBrokenConnections {
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

// evaluateMember returns the member with the state that this VM derives from the record, the VM list and the last contact.
func (g *Gossiper) evaluateMember(name string, e *entry, r messenger.MemberRecord, now time.Time) blackboard.Member {
	m := blackboard.Member{
		Name:             name,
		AvailabilityZone: r.AvailabilityZone,
		Address:          r.Address,
		State:            r.State,
		Incarnation:      r.Incarnation,
		Generation:       r.Generation,
		Listed:           g.isListed(name),
	}
	switch seq, delisted := g.delistedSeq[name]; {
	case name == g.o.Name:
		m.State = g.state
	case delisted && e.record.Seq <= seq && now.Sub(g.lastContact[name]) >= SuspectAfter:
		m.State = blackboard.MemberGone
	case m.State == blackboard.MemberAlive && now.Sub(g.latestContact(name, r)) >= SuspectAfter:
		m.State = blackboard.MemberSuspect
	}
	return m
}

// latestContact returns the time at which the member was last known to run. For another zone, contact to any of its members
// counts for all of them, because only the refreshes of relays leave a zone.
func (g *Gossiper) latestContact(name string, r messenger.MemberRecord) time.Time {
	if r.AvailabilityZone != g.o.AvailabilityZone && g.zoneLastContact[r.AvailabilityZone].After(g.lastContact[name]) {
		return g.zoneLastContact[r.AvailabilityZone]
	}
	return g.lastContact[name]
}

func (g *Gossiper) buildReplicas(members *blackboard.Members, now time.Time) *blackboard.Replicas {
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
			ReceivedAt:  e.receivedAt,
			Leaving:     g.isLeaving(k.key),
		}
		if !g.hasValidReports(members, e.record.Origin, now) {
			replica.State = blackboard.ReplicaUnknown
		}
		view.ByName[k.key] = replica
	}
	return view
}

// hasValidReports reports whether the replica reports of an owner are still valid.
func (g *Gossiper) hasValidReports(members *blackboard.Members, owner string, now time.Time) bool {
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
	last := g.latestContact(owner, r)
	if r.State == blackboard.MemberSuspect {
		// A relay of the owner's zone has published the owner as Suspect after SuspectAfter without contact.
		last = e.receivedAt.Add(-SuspectAfter)
	}
	return now.Sub(last) < UnknownAfter
}

// vmRecord returns the VM record derived from the platform's list, and whether there is one.
func (g *Gossiper) vmRecord(name string) (messenger.VMRecord, bool) {
	e := g.store.entries[recordKey{
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
	vm, _ := g.vmRecord(name)
	return vm.Listed
}

func (g *Gossiper) isDelisted(name string) bool {
	vm, ok := g.vmRecord(name)
	return ok && !vm.Listed
}

func (g *Gossiper) isLeaving(server string) bool {
	vm, ok := g.vmRecord(server)
	return ok && (vm.Leaving || !vm.Listed)
}

// buildQuarantine sums up the crashes of each fingerprint that are later than the last record that clears the fingerprint. A
// record with 0 crashes clears it.
func (g *Gossiper) buildQuarantine() *blackboard.Quarantine {
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
			at:          e.receivedAt,
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

// checkLiveness records changes of members' states and removes expired records. On a relay it also publishes the members of the
// local zone that are Suspect.
func (g *Gossiper) checkLiveness() {
	g.mu.Lock()
	now := g.o.Timer.Now()
	before := g.o.Board.Members.Read()
	isRelay := slices.Contains(Relays(before, g.o.AvailabilityZone), g.o.Name)
	for name, m := range g.buildMembers(now).ByName {
		old := before.ByName[name]
		if m.State != old.State {
			g.dirty[messenger.RecordMember] = true
			g.o.Recorder.Record("gossiper", "MemberState", name, stateName(m.State))
		}
		if isRelay && m.AvailabilityZone == g.o.AvailabilityZone && m.State == blackboard.MemberSuspect && m.Incarnation != 0 {
			g.publishSuspect(name, m)
		}
		if m.State == blackboard.MemberSuspect {
			// Its replica reports expire after UnknownAfter without a new record that would mark the section as dirty.
			g.dirty[messenger.RecordReplica] = true
		}
		g.trackGone(name, m.State, now)
	}
	g.removeExpired(now)
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

// publishSuspect publishes a member record with the state Suspect for the other zones, which receive no refreshes of this
// member. The member's next own record replaces it.
func (g *Gossiper) publishSuspect(name string, m blackboard.Member) {
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
	g.applyRecord(messenger.Record{
		Kind:    messenger.RecordMember,
		Key:     name,
		Origin:  g.o.Name,
		Seq:     e.record.Seq + 1,
		Payload: data,
	}, "", g.o.Timer.Now())
}

func (g *Gossiper) trackGone(name string, s blackboard.MemberState, now time.Time) {
	if s != blackboard.MemberGone {
		delete(g.goneSince, name)
		return
	}
	if _, ok := g.goneSince[name]; !ok {
		g.goneSince[name] = now
	}
}

func (g *Gossiper) removeExpired(now time.Time) {
	for k, e := range g.store.entries {
		if vm, ok := e.value.(messenger.VMRecord); ok && !vm.Listed && now.Sub(e.receivedAt) >= GoneRetention {
			g.store.remove(k)
		}
	}
	for name, since := range g.goneSince {
		if now.Sub(since) < GoneRetention {
			continue
		}
		for k, e := range g.store.entries {
			isMemberRecord := k.kind == messenger.RecordMember && k.key == name
			isSoftState := k.kind == messenger.RecordReplica || k.kind == messenger.RecordCrash || k.kind == messenger.RecordVersionStats
			if isMemberRecord || isSoftState && e.record.Origin == name {
				g.store.remove(k)
			}
		}
		delete(g.goneSince, name)
		delete(g.lastContact, name)
		delete(g.peers, name)
		delete(g.delistedSeq, name)
		g.dirty[messenger.RecordMember] = true
	}
}

// runVMList reads the platform's VM list periodically. Every VM does so until one read has succeeded; afterwards only the
// watchers of the zone do.
func (g *Gossiper) runVMList(ctx context.Context) {
	if g.o.Store == nil {
		return
	}
	tick := g.o.Timer.Subscribe(VMListPeriod)
	defer tick.Stop()
	for {
		if g.shouldReadVMList() {
			g.readVMList(ctx)
			g.deliver()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (g *Gossiper) shouldReadVMList() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.vmListRead || slices.Contains(Watchers(g.o.Board.Members.Read(), g.o.AvailabilityZone), g.o.Name)
}

func (g *Gossiper) readVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, VMListTimeout)
	defer cancel()
	vms, err := g.o.Store.VMs(ctx)
	if err != nil {
		g.log.Debug().Err(err).Msg("Reading the platform's VM list failed.")
		return
	}
	// An empty list is ignored, because it would delist every VM at once.
	if len(vms) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.vmListRead = true
	g.dirty[messenger.RecordMember] = true
	present := map[string]bool{}
	for _, vm := range vms[:min(len(vms), MaxVMs)] {
		present[vm.Name] = true
		if vm.Name != g.o.Name {
			g.listedVMs[vm.Name] = vm
		}
		g.publishVM(vm.Name, messenger.VMRecord{
			Listed:  true,
			Leaving: vm.Leaving,
		})
	}
	g.publishDelisted(present)
}

// publishDelisted publishes a VM record with Listed unset for each VM that ListMissThreshold consecutive lists did not contain.
// A VM that no list has ever contained receives no record.
func (g *Gossiper) publishDelisted(present map[string]bool) {
	misses := map[string]int{}
	for k := range g.store.entries {
		if k.kind != messenger.RecordVM || present[k.key] {
			continue
		}
		misses[k.key] = g.listMisses[k.key] + 1
		if misses[k.key] >= ListMissThreshold {
			g.publishVM(k.key, messenger.VMRecord{})
		}
	}
	g.listMisses = misses
}

// publishVM publishes a VM record if it differs from the present one.
func (g *Gossiper) publishVM(name string, vm messenger.VMRecord) {
	data, err := messenger.EncodePayload(vm)
	if err != nil {
		return
	}
	if e := g.store.entries[recordKey{
		kind: messenger.RecordVM,
		key:  name,
	}]; e != nil && string(e.record.Payload) == string(data) {
		return
	}
	g.publish(messenger.RecordVM, name, data, vm)
}
