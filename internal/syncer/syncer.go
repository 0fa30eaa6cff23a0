// Package syncer keeps sections of the blackboard in sync with the kinds of objects at the platform. In each zone one VM
// reads the platform and the others sync from that VM, so that the number of calls to the platform grows with the number of
// zones instead of VMs.
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
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// followWait is how long another VM waits for changes before it replies. A VM that fails is noticed after this time and
	// followGrace, so that a third source is reached within the few seconds in which a configuration has to be in force.
	followWait = 500 * time.Millisecond
	// followGrace is what a reply may take beyond its wait: the processor time of a busy VM, and the sending of changes of some
	// 100 KB to all VMs of a zone over a link of 20 Mbit/s.
	followGrace = 700 * time.Millisecond
	// suspectTime is how long a VM that failed is passed over.
	suspectTime = 10 * time.Second
	// startTime is how long a VM that is starting is followed without a list.
	startTime = 2 * time.Second
	// pingPeriod is the time between questions whether the platform still answers, and between looks whether another VM should
	// read it. A platform that has turned silent for this VM alone leaves its watches waiting without an error.
	pingPeriod = 700 * time.Millisecond
	// pingTimeout bounds such a question.
	pingTimeout = 600 * time.Millisecond
	// awayPause is the pause between questions to a VM that has lost the platform.
	awayPause = 300 * time.Millisecond
	// askPeriod is the time between questions to other VMs while the platform does not answer.
	askPeriod = 2 * time.Second
	// rankKey is the key by which the VMs of a zone are ranked.
	rankKey = "follower"
)

// Options are the collaborators of a Follower.
type Options struct {
	// Name and Zone are those of this VM.
	Name string
	Zone string
	// Logs are the kinds to follow.
	Logs []*ChangeLog
	// VMLog is the one of Kinds that lists the entry VMs.
	VMLog *ChangeLog
	// FirstStart says that the whole deployment starts for the first time.
	FirstStart bool
	Source     storeclient.Source
	Client     messenger.Client
	Board      *blackboard.Gateway
	// Balancer exchanges what the VMs of the zone have seen of backend servers.
	Balancer *balancer.Balancer
	// Budgeter gets this VM's part of the extra requests that all VMs may send.
	Budgeter *budgeter.Budgeter
	// Seeds are peer addresses that are asked while the platform does not answer and no other VM is known.
	Seeds []netip.AddrPort
	Timer *timer.Service
	Log   zerolog.Logger
}

// Syncer follows the kinds, and lets other VMs follow this one. Its methods are safe for concurrent use.
type Syncer struct {
	o Options
	// changes is written at every change of a log.
	changes blackboard.Section[struct{}]
	// turnedAway says that the platform did not answer the last ping of this VM. A VM that follows another one does not ask.
	turnedAway atomic.Bool

	mu sync.Mutex
	// suspects are VMs that are passed over until a time.
	suspects map[string]time.Time
	// asked is when each VM last asked this one; readsSince is when this VM began to read the platform, the zero time when it does not.
	asked      map[string]time.Time
	readsSince time.Time
	// loads are those of the VMs that follow this one.
	loads map[string]load
	// followed is the VM that was asked last, answeredAt when it or the platform last answered, and away whether the platform did not
	// answer then.
	followed   string
	answeredAt time.Time
	away       bool

	// reached is the outcome of the last ping. It belongs to the goroutine of Run.
	reached bool
	// patience bounds the next call of the platform as long as nothing is known. It belongs to the goroutine of Run.
	patience time.Duration
}

// New returns a Follower that does not run yet.
func New(o Options) *Syncer {
	f := &Syncer{
		o:        o,
		suspects: map[string]time.Time{},
		asked:    map[string]time.Time{},
		loads:    map[string]load{},
		patience: firstTimeout,
	}
	for _, l := range o.Logs {
		l.changes = &f.changes
	}
	return f
}

// Run follows until ctx ends.
func (f *Syncer) Run(ctx context.Context) {
	last := ""
	if f.o.FirstStart {
		f.o.Timer.Sleep(ctx, joinTime)
	}
	for !f.findVMs(ctx) && ctx.Err() == nil {
		f.o.Timer.Sleep(ctx, startPause)
	}
	for ctx.Err() == nil {
		vm := f.source()
		if vm.Name != last {
			f.o.Log.Info().Str("Source", vm.Name).Bool("Platform", vm.Name == f.o.Name).Uint64("VMs", f.o.Board.VMs.Read().Revision).Msg("The source of objects changed.")
			last = vm.Name
		}
		f.setSource(vm.Name)
		if vm.Name == f.o.Name {
			f.readPlatform(ctx)
		} else {
			f.followVM(ctx, vm)
		}
	}
}

// ReaderOrder returns the VMs of a zone in the order in which they read the platform for it: each one while those before it fail.
func ReaderOrder(fleet *blackboard.VMList, zone string) []blackboard.VM {
	inZone := map[string]blackboard.VM{}
	var names []string
	for _, vm := range fleet.VMs {
		if vm.Zone == zone && vm.Address.IsValid() {
			inZone[vm.Name] = vm
			names = append(names, vm.Name)
		}
	}
	ranked := make([]blackboard.VM, 0, len(names))
	for _, name := range hasher.Rank(rankKey, names) {
		ranked = append(ranked, inZone[name])
	}
	return ranked
}

// source returns the VM to follow, which is this one if it reads the platform itself.
func (f *Syncer) source() blackboard.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.o.Timer.Now()
	self := blackboard.VM{
		Name: f.o.Name,
		Zone: f.o.Zone,
	}
	for _, vm := range ReaderOrder(f.o.Board.VMs.Read(), f.o.Zone) {
		if now.Before(f.suspects[vm.Name]) {
			continue
		}
		if vm.Name == f.o.Name {
			return self
		}
		return vm
	}
	return self
}

func (f *Syncer) suspect(name string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.o.Timer.Now()
	maps.DeleteFunc(f.suspects, func(_ string, until time.Time) bool {
		return now.After(until)
	})
	f.suspects[name] = now.Add(d)
}

// synced reports whether all kinds are known.
func (f *Syncer) synced() bool {
	return !slices.ContainsFunc(f.o.Logs, func(l *ChangeLog) bool {
		_, synced := l.Revision()
		return !synced
	})
}

// readPlatform reads the platform as long as this VM is the one to do so.
func (f *Syncer) readPlatform(ctx context.Context) {
	var asked time.Time
	for ctx.Err() == nil && f.source().Name == f.o.Name {
		if f.ping(ctx) {
			f.note(false)
			f.readKinds(ctx)
			continue
		}
		f.setAway(true)
		if now := f.o.Timer.Now(); now.Sub(asked) >= askPeriod {
			asked = now
			f.askAround(ctx)
		}
		pause := awayPause
		if !f.synced() {
			pause = startPause
		}
		f.o.Timer.Sleep(ctx, pause)
	}
}

// readKinds follows all kinds at the platform until it does not answer or another VM should read it.
func (f *Syncer) readKinds(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, l := range f.o.Logs {
		d := &direct{
			log:    l,
			source: f.o.Source,
			timer:  f.o.Timer,
			out:    f.o.Log,
			lost:   l.PlatformDown(),
			since:  f.o.Timer.Now(),
		}
		wg.Go(func() {
			d.run(ctx)
		})
	}
	defer wg.Wait()
	defer cancel()
	tick := f.o.Timer.Subscribe(pingPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if f.source().Name != f.o.Name || !f.ping(ctx) {
			return
		}
		f.note(false)
		now := f.o.Timer.Now()
		f.addLoad(f.o.Name, f.o.Budgeter.FirstAttempts(now), now)
		f.takeShare(f.share(f.o.Name, now), now)
	}
}

// ping reports whether the platform answers this VM.
func (f *Syncer) ping(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, f.wait(pingTimeout))
	defer cancel()
	err := f.o.Source.Ping(call)
	if ctx.Err() != nil {
		return false
	}
	f.turnedAway.Store(err != nil)
	if reached := err == nil; reached != f.reached {
		f.reached = reached
		f.o.Log.Info().Bool("Answers", reached).Err(err).Msg("Whether the platform answers this VM has changed.")
	}
	return err == nil
}

// followVM follows another VM until it fails or another source is better.
func (f *Syncer) followVM(ctx context.Context, vm blackboard.VM) {
	began := f.o.Timer.Now()
	away := 0
	if !f.synced() && !f.isUp(ctx, vm) {
		return
	}
	for ctx.Err() == nil {
		reply, err := f.ask(ctx, vm.Address, followWait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.o.Log.Warn().Str("Source", vm.Name).Err(err).Msg("The source of objects does not answer.")
			f.suspect(vm.Name, suspectTime)
			return
		}
		if !reply.Synced && !reply.Away && f.o.Timer.Now().Sub(began) < startTime {
			f.take(reply)
			if f.source().Name != vm.Name {
				return
			}
			continue
		}
		if reply.Away || !reply.Synced {
			f.take(reply)
			f.setAway(true)
			// A VM that is about to read the platform itself has a moment to begin.
			f.o.Timer.Sleep(ctx, awayPause)
			// The first ping is for the others, which ask each other whether they are turned away.
			answered := f.ping(ctx)
			if away++; away > 1 && answered {
				f.o.Log.Info().Str("Source", vm.Name).Bool("Synced", reply.Synced).Msg("The source of objects does not reach the platform, which this VM does.")
				f.suspect(vm.Name, suspectTime)
				f.passOver(ctx)
				return
			}
			continue
		}
		away = 0
		f.take(reply)
		f.setAway(false)
		f.turnedAway.Store(false)
		if f.source().Name != vm.Name {
			return
		}
	}
}

// Source returns the VM from which this one has the platform's objects, whether the platform answers it, and when that was known.
func (f *Syncer) Source() (name string, answers bool, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.followed, !f.away && !f.answeredAt.IsZero(), f.answeredAt
}

// note keeps for Source whether the platform answers.
func (f *Syncer) note(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
	if !away {
		f.answeredAt = f.o.Timer.Now()
	}
}

// setAway says of all kinds whether the platform answers.
func (f *Syncer) setAway(away bool) {
	f.note(away)
	for _, l := range f.o.Logs {
		l.SetPlatformDown(away)
	}
}
