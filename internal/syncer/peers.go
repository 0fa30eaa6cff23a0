package syncer

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/hasher"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/storeclient"
)

// maxAsked bounds the VMs that are asked at a time while the platform does not answer.
const maxAsked = 3

// askAround takes what other VMs know while the platform does not answer.
func (f *Syncer) askAround(ctx context.Context) {
	var addrs []netip.AddrPort
	fleet := f.o.Board.VMs.Read()
	names := make([]string, 0, len(fleet.VMs))
	byName := map[string]blackboard.VM{}
	for _, vm := range fleet.VMs {
		if vm.Name != f.o.Name && vm.Address.IsValid() {
			names = append(names, vm.Name)
			byName[vm.Name] = vm
		}
	}
	// A key of this VM's own spreads the questions over the fleet.
	for _, name := range hasher.Rank(f.o.Name+f.o.Timer.Now().String(), names) {
		addrs = append(addrs, byName[name].Address)
	}
	if len(addrs) == 0 {
		addrs = f.o.Seeds
	}
	var wg sync.WaitGroup
	for _, addr := range addrs[:min(len(addrs), maxAsked)] {
		q := &question{
			follower: f,
			addr:     addr,
		}
		wg.Go(func() {
			q.run(ctx)
		})
	}
	wg.Wait()
}

// question asks one VM for what this one lacks.
type question struct {
	follower *Syncer
	addr     netip.AddrPort
}

// run asks, and first whether the VM is up at all: one without power would take the whole time of a reply.
func (q *question) run(ctx context.Context) {
	f := q.follower
	if _, err := f.reach(ctx, q.addr); err != nil {
		return
	}
	reply, err := f.ask(ctx, q.addr, 0)
	if err == nil && f.take(reply) {
		f.o.Log.Info().Stringer("From", q.addr).Msg("Objects were taken from another VM while the platform does not answer.")
	}
}

// isUp reports whether a VM answers, and passes it over for a moment if it does not.
func (f *Syncer) isUp(ctx context.Context, vm blackboard.VM) bool {
	_, err := f.reach(ctx, vm.Address)
	if err != nil && ctx.Err() == nil {
		f.o.Log.Info().Str("Source", vm.Name).Err(err).Msg("The source of objects is not up yet and is passed over.")
		f.suspect(vm.Name, startSuspect)
	}
	return err == nil
}

// maxPassed bounds the VMs that are asked at a time whether the platform turns them away.
const maxPassed = 16

// passOver passes over those VMs that would read the platform before this one but are turned away by it.
func (f *Syncer) passOver(ctx context.Context) {
	var wg sync.WaitGroup
	for i, vm := range ReaderOrder(f.o.Board.VMs.Read(), f.o.Zone) {
		if vm.Name == f.o.Name || i >= maxPassed {
			break
		}
		wg.Go(func() {
			if reply, err := f.reach(ctx, vm.Address); err == nil && reply.TurnedAway {
				f.suspect(vm.Name, suspectTime)
			}
		})
	}
	wg.Wait()
}

// reach asks a VM for nothing but its state, and returns why it did not answer.
func (f *Syncer) reach(ctx context.Context, addr netip.AddrPort) (messenger.FollowReply, error) {
	call, cancel := context.WithTimeout(ctx, startProbe)
	defer cancel()
	req := messenger.FollowRequest{
		From:  f.o.Name,
		After: map[string]uint64{},
	}
	for _, l := range f.o.Logs {
		req.After[l.kind] = math.MaxUint64
	}
	var reply messenger.FollowReply
	err := f.o.Client.Call(call, addr, messenger.MethodFollow, req, &reply)
	return reply, err
}

// ask asks another VM for what this one lacks.
func (f *Syncer) ask(ctx context.Context, addr netip.AddrPort, wait time.Duration) (messenger.FollowReply, error) {
	req := messenger.FollowRequest{
		From:  f.o.Name,
		After: map[string]uint64{},
		Wait:  wait,
	}
	for _, l := range f.o.Logs {
		revision, _ := l.Revision()
		req.After[l.kind] = revision
	}
	if wait > 0 {
		now := f.o.Timer.Now()
		req.Seen = f.o.Balancer.TakeObservations(now)
		req.Load = f.o.Budgeter.FirstAttempts(now)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+followGrace)
	defer cancel()
	var reply messenger.FollowReply
	err := f.o.Client.Call(ctx, addr, messenger.MethodFollow, req, &reply)
	now := f.o.Timer.Now()
	f.o.Balancer.ApplyZoneHealth(reply.Conditions, now)
	if reply.Share > 0 {
		f.takeShare(reply.Share, now)
	}
	return reply, err
}

// take applies a reply and reports whether it had anything new.
func (f *Syncer) take(reply messenger.FollowReply) bool {
	changed := false
	for _, u := range reply.Updates {
		for _, l := range f.o.Logs {
			if l.kind != u.Kind {
				continue
			}
			items, err := DecodeItems(u)
			if err != nil {
				f.o.Log.Error().Err(err).Msg("Objects from another VM cannot be read.")
				continue
			}
			b := storeclient.Batch{
				Items:    items,
				Revision: u.Revision,
			}
			if u.Whole {
				l.Replace(b)
			} else {
				l.Apply(u.After, b)
			}
			changed = changed || u.Whole || len(items) > 0
		}
	}
	return changed
}

// FeedServer answers other VMs that follow this one.
type FeedServer struct {
	Syncer *Syncer
}

// Follow replies with what the caller lacks as soon as there is something, or after the wait.
func (s *FeedServer) Follow(req messenger.FollowRequest, reply *messenger.FollowReply) error {
	f := s.Syncer
	f.o.Balancer.AddObservations(req.Seen, f.o.Timer.Now())
	if req.Wait > 0 {
		f.heard(req.From)
		f.addLoad(req.From, req.Load, f.o.Timer.Now())
		defer func() {
			now := f.o.Timer.Now()
			reply.Conditions = f.o.Balancer.ZoneHealth(now)
			reply.Share = f.share(req.From, now)
		}()
	}
	end := f.o.Timer.After(min(req.Wait, followWait))
	defer end.Stop()
	for {
		wake := f.changes.Changed()
		changes := false
		reply.Updates = nil
		reply.Synced = true
		reply.TurnedAway = f.turnedAway.Load()
		for _, l := range f.o.Logs {
			u, synced, away := l.ChangesSince(req.After[l.kind])
			reply.Synced = reply.Synced && synced
			reply.Away = reply.Away || away
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
		case <-wake:
		case <-end.C:
			return nil
		}
	}
}
