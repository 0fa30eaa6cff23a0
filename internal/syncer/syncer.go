// Package syncer keeps sections of the blackboard in sync with the objects that the platform stores, by kind. In each zone
// one VM, the reader, reads the platform, and the other VMs sync from the reader, so that the number of calls to the platform
// grows with the number of zones instead of VMs.
package syncer

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/balancer"
	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/budgeter"
	"github.com/anvildyke/anvildyke/internal/hasher"
	"github.com/anvildyke/anvildyke/internal/isolator"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// longPollTimeout is how long a source waits for changes before it replies. The failure of a source is detected after
	// longPollTimeout plus longPollGrace. This is short enough to fail over twice within the few seconds in which a new
	// configuration has to be in force.
	longPollTimeout = 500 * time.Millisecond
	// longPollGrace is the time that a reply may take beyond longPollTimeout. It covers processing on a busy VM and sending
	// changes of about 100 KB to all VMs of a zone over a link of 20 Mbit/s.
	longPollGrace = 700 * time.Millisecond
	// suspectDuration is how long a failed VM is not used as a source.
	suspectDuration = 10 * time.Second
	// startupGrace is how long this VM keeps using a source that has not synced all kinds yet because it is starting.
	startupGrace = 2 * time.Second
	// pingInterval is the interval at which the reader pings the platform and checks whether another VM has become the reader.
	// The pings are needed because watches keep waiting without an error when the platform stops answering this VM only.
	pingInterval = 700 * time.Millisecond
	pingTimeout  = 600 * time.Millisecond
	// platformDownPause is the pause between pings while the platform does not answer, and between requests to a source that
	// cannot reach the platform.
	platformDownPause = 300 * time.Millisecond
	// peerSyncInterval is the interval at which other VMs are asked for updates while the platform does not answer.
	peerSyncInterval = 2 * time.Second
	// readerRankKey is the hash key that determines the order of the VMs of a zone as readers. It has to be the same on all VMs.
	readerRankKey = "follower"
)

// Options contains the identity of this VM, the logs to sync and the dependencies of a Syncer.
type Options struct {
	// Name and Zone identify this VM.
	Name string
	Zone string
	// Logs contains the change log of each kind to sync.
	Logs []*ChangeLog
	// VMLog is the element of Logs for the kind that lists the entry VMs.
	VMLog *ChangeLog
	// FirstStart is set when the whole deployment starts for the first time.
	FirstStart bool
	Source     storeclient.Source
	Client     messenger.Client
	Board      *blackboard.Gateway
	// Balancer exchanges observations of backend servers between the VMs of the zone.
	Balancer *balancer.Balancer
	// Budgeter receives this VM's share of the extra attempts (retries and hedges) that all VMs together may make.
	Budgeter *budgeter.Budgeter
	// Isolator exchanges reports of crashes between the VMs of the zone.
	Isolator *isolator.Isolator
	// Seeds contains the peer addresses that are asked for updates while the platform does not answer and no other VM with an
	// address is on the list of VMs.
	Seeds []netip.AddrPort
	Timer *timer.Service
	Log   zerolog.Logger
}

// Syncer syncs the kinds from the platform or from the reader of its zone, and serves them to other VMs through a FeedServer.
// Its methods are safe for concurrent use.
type Syncer struct {
	o Options
	// changes is written at every change of a log. All logs share it.
	changes blackboard.Section[struct{}]
	// pingFailed is set when the platform did not answer the last ping of this VM. It is cleared while another VM is the source
	// and reaches the platform, since this VM does not ping then.
	pingFailed atomic.Bool

	mu sync.Mutex
	// suspects maps each VM that has failed to the time until which it is not used as a source.
	suspects map[string]time.Time
	// lastContact maps each VM to the time at which it last sent a long-poll request to this VM or answered its probe.
	lastContact map[string]time.Time
	// readerSince is the time at which this VM became the reader, the zero time when it is not the reader.
	readerSince time.Time
	// loads maps this VM and the VMs that sync from it to their last reported load.
	loads map[string]load
	// sourceName is the current source, which is this VM when it is the reader.
	sourceName string
	// platformUpAt is the last time at which the source was found to reach the platform, the zero time if it never was.
	platformUpAt time.Time
	// platformDown is set when the source could not reach the platform at the last check.
	platformDown bool

	// toldAt is the time of the last request for updates whose reply has arrived, the zero time if there is none. toldBy is the address of the
	// VM that replied. They are accessed only by the goroutine of Run.
	toldAt time.Time
	toldBy netip.AddrPort

	// lastPingOK is the result of the last ping. It is accessed only by the goroutine of Run.
	lastPingOK bool
	// startupTimeout is the timeout of the next call to the platform until all kinds are synced. It is accessed only by the
	// goroutine of Run.
	startupTimeout time.Duration
}

// New returns a Syncer. Run has to be called to start it.
func New(o Options) *Syncer {
	s := &Syncer{
		o:              o,
		suspects:       map[string]time.Time{},
		lastContact:    map[string]time.Time{},
		loads:          map[string]load{},
		startupTimeout: minStartupTimeout,
	}
	for _, l := range o.Logs {
		l.changes = &s.changes
	}
	return s
}

// Run syncs the kinds until ctx is cancelled.
func (s *Syncer) Run(ctx context.Context) {
	last := ""
	if s.o.FirstStart {
		s.o.Timer.Sleep(ctx, enrollDelay)
	}
	for !s.loadVMList(ctx) && ctx.Err() == nil {
		s.o.Timer.Sleep(ctx, startupRetryPause)
	}
	for ctx.Err() == nil {
		vm := s.source()
		if vm.Name != last {
			s.o.Log.Info().Str("Source", vm.Name).Bool("Platform", vm.Name == s.o.Name).Uint64("VMs", s.o.Board.VMs.Read().Revision).Msg("The source of objects changed.")
			last = vm.Name
		}
		s.setSource(vm.Name)
		if vm.Name == s.o.Name {
			s.readPlatform(ctx)
		} else {
			s.syncFromVM(ctx, vm)
		}
	}
}

// ReaderOrder returns the VMs of a zone that have an address, in the order in which they become the reader: each VM is the
// reader while all VMs before it have failed.
func ReaderOrder(list *blackboard.VMList, zone string) []blackboard.VM {
	inZone := map[string]blackboard.VM{}
	var names []string
	for _, vm := range list.VMs {
		if vm.Zone == zone && vm.Address.IsValid() {
			inZone[vm.Name] = vm
			names = append(names, vm.Name)
		}
	}
	ranked := make([]blackboard.VM, 0, len(names))
	for _, name := range hasher.Rank(readerRankKey, names) {
		ranked = append(ranked, inZone[name])
	}
	return ranked
}

// source returns the VM to sync from: the first VM in reader order that is not suspect. This VM is the reader if it is itself
// the source, or if there is no other.
func (s *Syncer) source() blackboard.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Timer.Now()
	self := blackboard.VM{
		Name: s.o.Name,
		Zone: s.o.Zone,
	}
	for _, vm := range ReaderOrder(s.o.Board.VMs.Read(), s.o.Zone) {
		if now.Before(s.suspects[vm.Name]) {
			continue
		}
		if vm.Name == s.o.Name {
			return self
		}
		return vm
	}
	return self
}

func (s *Syncer) markSuspect(name string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Timer.Now()
	maps.DeleteFunc(s.suspects, func(_ string, until time.Time) bool {
		return now.After(until)
	})
	s.suspects[name] = now.Add(d)
}

// synced reports whether a list of each kind has been received.
func (s *Syncer) synced() bool {
	return !slices.ContainsFunc(s.o.Logs, func(l *ChangeLog) bool {
		_, synced := l.Position()
		return !synced
	})
}

// readPlatform reads the platform while this VM is the reader. While the platform does not answer, it requests updates from
// other VMs.
func (s *Syncer) readPlatform(ctx context.Context) {
	var lastPeerSync time.Time
	for ctx.Err() == nil && s.source().Name == s.o.Name {
		if s.ping(ctx) {
			s.recordPlatformState(false)
			s.readKinds(ctx)
			continue
		}
		s.startOutage()
		if now := s.o.Timer.Now(); now.Sub(lastPeerSync) >= peerSyncInterval {
			lastPeerSync = now
			s.syncFromPeers(ctx)
		}
		pause := platformDownPause
		if !s.synced() {
			pause = startupRetryPause
		}
		s.o.Timer.Sleep(ctx, pause)
	}
}

// readKinds syncs all kinds from the platform until the platform stops answering or begins a new era, or another VM becomes the reader.
func (s *Syncer) readKinds(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	readers := make([]*platformReader, 0, len(s.o.Logs))
	era := s.o.Source.Era()
	for _, l := range s.o.Logs {
		r := &platformReader{
			changes:      l,
			source:       s.o.Source,
			timer:        s.o.Timer,
			log:          s.o.Log,
			platformDown: l.PlatformDown(),
			downSince:    s.o.Timer.Now(),
		}
		readers = append(readers, r)
		wg.Go(func() {
			r.run(ctx)
		})
	}
	defer wg.Wait()
	defer cancel()
	ticker := s.o.Timer.Subscribe(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		pinged := s.o.Timer.Now()
		if s.source().Name != s.o.Name || !s.ping(ctx) {
			return
		}
		s.recordPlatformState(false)
		if s.o.Source.Era() != era {
			// The pending watches wait for changes of a history that has ended.
			return
		}
		for _, r := range readers {
			if r.upToDate.Load() {
				r.changes.MarkCurrent(pinged)
			}
		}
		now := s.o.Timer.Now()
		s.addLoad(s.o.Name, s.o.Budgeter.FirstAttempts(now), now)
		s.applyShare(s.share(s.o.Name, now), now)
	}
}

// ping sends a ping to the platform and reports whether it answered in time. It logs when the result changes.
func (s *Syncer) ping(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, s.platformTimeout(pingTimeout))
	defer cancel()
	err := s.o.Source.Ping(call)
	if ctx.Err() != nil {
		return false
	}
	s.pingFailed.Store(err != nil)
	if reached := err == nil; reached != s.lastPingOK {
		s.lastPingOK = reached
		s.o.Log.Info().Bool("Answers", reached).Err(err).Msg("The reachability of the platform from this VM changed.")
	}
	return err == nil
}

// syncFromVM syncs from another VM until that VM fails, loses the platform while this VM reaches it, or stops being the reader.
func (s *Syncer) syncFromVM(ctx context.Context, vm blackboard.VM) {
	start := s.o.Timer.Now()
	downReplies := 0
	if !s.synced() && !s.probeSource(ctx, vm) {
		return
	}
	for ctx.Err() == nil {
		reply, err := s.requestUpdates(ctx, vm.Address, longPollTimeout)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.o.Log.Warn().Str("Source", vm.Name).Err(err).Msg("The source of objects does not answer.")
			s.markSuspect(vm.Name, suspectDuration)
			return
		}
		if !reply.Synced && !reply.Away && s.o.Timer.Now().Sub(start) < startupGrace {
			s.applyReply(reply)
			if s.source().Name != vm.Name {
				return
			}
			continue
		}
		behind := s.isBehind(reply)
		if reply.Away || !reply.Synced || behind {
			s.applyReply(reply)
			answered := s.pingAfterSource(ctx)
			if downReplies++; downReplies > 1 && answered {
				s.o.Log.Info().Str("Source", vm.Name).Bool("Synced", reply.Synced).Bool("Behind", behind).Msg("The source of objects cannot reach the platform or has not read it since it came back from a copy, but this VM can.")
				s.markSuspect(vm.Name, suspectDuration)
				s.suspectCutOffReaders(ctx)
				return
			}
			continue
		}
		downReplies = 0
		s.setPlatformDown(false)
		s.applyReply(reply)
		s.markCurrent(reply)
		s.pingFailed.Store(false)
		if s.source().Name != vm.Name {
			return
		}
	}
}

// pingAfterSource finds out whether the platform answers this VM when it does not answer the source, and reports the result. Only if it
// does not, this is an outage. The result of the first ping is not used by the caller, but recorded in pingFailed, which the other VMs
// query in suspectCutOffReaders to find out which readers the platform does not answer.
func (s *Syncer) pingAfterSource(ctx context.Context) bool {
	s.setPlatformDown(true)
	// Gives a source that has just become the reader time to read the platform.
	s.o.Timer.Sleep(ctx, platformDownPause)
	answered := s.ping(ctx)
	if !answered && ctx.Err() == nil {
		s.startOutage()
	}
	return answered
}

// Source returns the name of the VM that this VM syncs from, whether that VM reaches the platform, and the last time at which
// it was found to reach the platform, the zero time if it never was.
func (s *Syncer) Source() (name string, answers bool, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sourceName, !s.platformDown && !s.platformUpAt.IsZero(), s.platformUpAt
}

// recordPlatformState records for Source whether the platform is down.
func (s *Syncer) recordPlatformState(platformDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platformDown = platformDown
	if !platformDown {
		s.platformUpAt = s.o.Timer.Now()
	}
}

// setPlatformDown records for Source and in the logs of all kinds whether the platform is down.
func (s *Syncer) setPlatformDown(platformDown bool) {
	s.recordPlatformState(platformDown)
	for _, l := range s.o.Logs {
		l.SetPlatformDown(platformDown)
	}
}

// startOutage records for Source and in the logs of all kinds that the platform does not answer this VM itself.
func (s *Syncer) startOutage() {
	s.recordPlatformState(true)
	for _, l := range s.o.Logs {
		l.StartOutage()
	}
}

// markCurrent records that the source's objects, which this VM has received now, contain all changes up to the age that the reply states.
// That is not known of a kind whose update this VM could not apply.
func (s *Syncer) markCurrent(reply messenger.FollowReply) {
	if reply.Age < 0 {
		return
	}
	at := s.o.Timer.Now().Add(-reply.Age)
	for _, l := range s.o.Logs {
		if position, _ := l.Position(); position.Era == reply.Eras[l.kind] {
			l.MarkCurrent(at)
		}
	}
}

// age returns the time since the objects of all kinds were known to contain all changes, or a negative number if that is unknown.
func (s *Syncer) age(now time.Time) time.Duration {
	oldest := now
	for _, l := range s.o.Logs {
		at := l.CurrentAt()
		if at.IsZero() {
			return -1
		}
		if at.Before(oldest) {
			oldest = at
		}
	}
	return now.Sub(oldest)
}
