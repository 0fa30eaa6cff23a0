package syncer

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/hasher"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/storeclient"
)

// maxPeerRequests is the number of VMs that are asked in parallel for updates while the platform does not answer.
const maxPeerRequests = 3

// syncFromPeers requests updates from some other VMs in parallel while the platform does not answer.
func (s *Syncer) syncFromPeers(ctx context.Context) {
	var addrs []netip.AddrPort
	list := s.o.Board.VMs.Read()
	names := make([]string, 0, len(list.VMs))
	byName := map[string]blackboard.VM{}
	for _, vm := range list.VMs {
		if vm.Name != s.o.Name && vm.Address.IsValid() {
			names = append(names, vm.Name)
			byName[vm.Name] = vm
		}
	}
	// The key depends on this VM and the time, so that the requests of all VMs are spread over the deployment.
	for _, name := range hasher.Rank(s.o.Name+s.o.Timer.Now().String(), names) {
		addrs = append(addrs, byName[name].Address)
	}
	if len(addrs) == 0 {
		addrs = s.o.Seeds
	}
	var wg sync.WaitGroup
	for _, addr := range addrs[:min(len(addrs), maxPeerRequests)] {
		p := &peerSync{
			syncer: s,
			addr:   addr,
		}
		wg.Go(func() {
			p.run(ctx)
		})
	}
	wg.Wait()
}

// peerSync requests updates from one other VM.
type peerSync struct {
	syncer *Syncer
	addr   netip.AddrPort
}

// run probes the VM first, because a request to a VM that is switched off would take the whole timeout of a reply.
func (p *peerSync) run(ctx context.Context) {
	s := p.syncer
	if _, err := s.probe(ctx, p.addr); err != nil {
		return
	}
	reply, err := s.requestUpdates(ctx, p.addr, 0)
	if err == nil && s.applyReply(reply) {
		s.o.Log.Info().Stringer("From", p.addr).Msg("Objects were received from another VM while the platform does not answer.")
	}
}

// probeSource reports whether a VM answers a probe. If it does not, it is not used as a source for startupSuspectDuration.
func (s *Syncer) probeSource(ctx context.Context, vm blackboard.VM) bool {
	_, err := s.probe(ctx, vm.Address)
	if err != nil && ctx.Err() == nil {
		s.o.Log.Info().Str("Source", vm.Name).Err(err).Msg("The source of objects does not answer yet and is skipped.")
		s.markSuspect(vm.Name, startupSuspectDuration)
	}
	return err == nil
}

// maxReaderProbes is the number of VMs that suspectCutOffReaders probes in parallel.
const maxReaderProbes = 16

// suspectCutOffReaders marks as suspect those VMs before this one in reader order that the platform does not answer. It probes
// them in parallel, because trying one after the other would delay configuration changes.
func (s *Syncer) suspectCutOffReaders(ctx context.Context) {
	var wg sync.WaitGroup
	for i, vm := range ReaderOrder(s.o.Board.VMs.Read(), s.o.Zone) {
		if vm.Name == s.o.Name || i >= maxReaderProbes {
			break
		}
		wg.Go(func() {
			if reply, err := s.probe(ctx, vm.Address); err == nil && reply.TurnedAway {
				s.markSuspect(vm.Name, suspectDuration)
			}
		})
	}
	wg.Wait()
}

// probe requests only the state of a VM and no updates: it states the last possible position for each kind.
func (s *Syncer) probe(ctx context.Context, addr netip.AddrPort) (messenger.FollowReply, error) {
	call, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req := messenger.FollowRequest{
		From:  s.o.Name,
		After: map[string]uint64{},
		Eras:  map[string]uint64{},
	}
	for _, l := range s.o.Logs {
		req.After[l.kind] = math.MaxUint64
		req.Eras[l.kind] = math.MaxUint64
	}
	var reply messenger.FollowReply
	err := s.o.Client.Call(call, addr, messenger.MethodFollow, req, &reply)
	return reply, err
}

// requestUpdates requests the changes since this VM's positions from another VM, which may wait for changes before it replies.
// With a wait it also sends this VM's observations and load, as it does to the reader.
func (s *Syncer) requestUpdates(ctx context.Context, addr netip.AddrPort, wait time.Duration) (messenger.FollowReply, error) {
	req := messenger.FollowRequest{
		From:  s.o.Name,
		After: map[string]uint64{},
		Eras:  map[string]uint64{},
		Wait:  wait,
		// A VM that starts while the platform does not answer learns of all crashes from any other VM.
		First: wait == 0 && !s.synced(),
	}
	for _, l := range s.o.Logs {
		position, _ := l.Position()
		req.After[l.kind] = position.Revision
		req.Eras[l.kind] = position.Era
	}
	if wait > 0 {
		now := s.o.Timer.Now()
		req.Seen = s.o.Balancer.TakeObservations(now)
		req.Load = s.o.Budgeter.FirstAttempts(now)
		req.Crashes = s.o.Isolator.Reports(s.toldAt, now)
		req.First = addr != s.toldBy
	}
	ctx, cancel := context.WithTimeout(ctx, wait+longPollGrace)
	defer cancel()
	var reply messenger.FollowReply
	err := s.o.Client.Call(ctx, addr, messenger.MethodFollow, req, &reply)
	now := s.o.Timer.Now()
	if err == nil && wait > 0 {
		s.toldAt, s.toldBy = now, addr
	}
	if err != nil {
		s.o.Balancer.ReturnObservations(req.Seen)
	}
	s.o.Balancer.ApplyZoneHealth(reply.Conditions, now)
	s.o.Isolator.Merge(reply.Crashes, now)
	if reply.Share > 0 {
		s.applyShare(reply.Share, now)
	}
	return reply, err
}

// applyReply applies the updates of a reply and reports whether they contained objects or a whole list.
func (s *Syncer) applyReply(reply messenger.FollowReply) bool {
	changed := false
	for _, u := range reply.Updates {
		for _, l := range s.o.Logs {
			if l.kind != u.Kind {
				continue
			}
			items, err := DecodeItems(u)
			if err != nil {
				s.o.Log.Error().Err(err).Msg("An update from another VM cannot be decoded.")
				continue
			}
			b := storeclient.Batch{
				Items:    items,
				Era:      u.Era,
				Revision: u.Revision,
			}
			if u.Whole {
				l.Replace(b)
			} else {
				l.Apply(storeclient.Position{
					Era:      u.Era,
					Revision: u.After,
				}, b)
			}
			changed = changed || u.Whole || len(items) > 0
		}
	}
	return changed
}

// isBehind reports whether a VM that sent the reply has a kind in an earlier era than this VM, so that its objects are no longer valid.
func (s *Syncer) isBehind(reply messenger.FollowReply) bool {
	return slices.ContainsFunc(s.o.Logs, func(l *ChangeLog) bool {
		position, _ := l.Position()
		return reply.Eras[l.kind] < position.Era
	})
}

// FeedServer is the RPC service by which other VMs sync from a Syncer.
type FeedServer struct {
	Syncer *Syncer
}

// Follow replies with the changes since the caller's positions as soon as there are any, when crashes restrict requests more than before, or
// after the wait. It replies at once if the platform is down.
func (f *FeedServer) Follow(req messenger.FollowRequest, reply *messenger.FollowReply) (err error) {
	defer messenger.RecoverCall(&err)
	s := f.Syncer
	s.o.Balancer.AddObservations(req.Seen, s.o.Timer.Now())
	s.o.Isolator.Merge(req.Crashes, s.o.Timer.Now())
	var lastContact time.Time
	if !req.First {
		lastContact = s.contact(req.From)
	}
	defer func() {
		now := s.o.Timer.Now()
		if req.First {
			reply.Crashes = s.o.Isolator.All(now)
		} else {
			reply.Crashes = s.o.Isolator.Reports(lastContact, now)
		}
	}()
	if req.Wait > 0 {
		s.recordContact(req.From)
		s.addLoad(req.From, req.Load, s.o.Timer.Now())
		defer func() {
			now := s.o.Timer.Now()
			reply.Age = s.age(now)
			reply.Conditions = s.o.Balancer.ZoneHealth(lastContact, now)
			reply.Share = s.share(req.From, now)
		}()
	}
	defer func() {
		reply.Eras = s.eras()
	}()
	timeout := s.o.Timer.After(min(req.Wait, longPollTimeout))
	defer timeout.Stop()
	restricted := s.o.Isolator.Restricted()
	for {
		changed := s.changes.Changed()
		changes := false
		reply.Updates = nil
		reply.Synced = true
		reply.TurnedAway = s.pingFailed.Load()
		for _, l := range s.o.Logs {
			u, synced, platformDown := l.ChangesSince(l.requested(req))
			reply.Synced = reply.Synced && synced
			reply.Away = reply.Away || platformDown
			if u == nil {
				continue
			}
			changes = changes || u.Whole || len(u.Items) > 0
			if err := l.Compress(u); err != nil {
				return err
			}
			reply.Updates = append(reply.Updates, u.FollowUpdate)
		}
		if changes || reply.Away || req.Wait <= 0 {
			return nil
		}
		select {
		case <-changed:
		case <-restricted:
			return nil
		case <-timeout.C:
			return nil
		}
	}
}

// requested returns the position of the log at the VM that sent the request. A VM that states no eras is taken to be in that of the log.
func (l *ChangeLog) requested(req messenger.FollowRequest) storeclient.Position {
	era, ok := req.Eras[l.kind]
	if !ok {
		position, _ := l.Position()
		era = position.Era
	}
	return storeclient.Position{
		Era:      era,
		Revision: req.After[l.kind],
	}
}

// eras returns the era of each kind.
func (s *Syncer) eras() map[string]uint64 {
	eras := make(map[string]uint64, len(s.o.Logs))
	for _, l := range s.o.Logs {
		position, _ := l.Position()
		eras[l.kind] = position.Era
	}
	return eras
}
