package isolator

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// exchangeInterval is the time between two exchanges of the readers of the zones. Within a zone, reports go with the requests for
	// updates. A report reaches all VMs within three exchanges.
	exchangeInterval = 500 * time.Millisecond
	// fullInterval is the time between two exchanges with a zone that contain what has not changed. Bytes between regions are expensive.
	fullInterval    = 5 * time.Second
	exchangeTimeout = 700 * time.Millisecond
	// cutOffFailures is the number of failed exchanges in sequence from which a zone counts as cut off. The first two go to different VMs.
	cutOffFailures = 2
)

// ExchangerOptions are the dependencies of an Exchanger.
type ExchangerOptions struct {
	// VM and Zone identify this VM.
	VM       string
	Zone     string
	Isolator *Isolator
	Board    *blackboard.Gateway
	// IsReader reports whether this VM reads the platform for its zone. Reader returns the name of the VM that does.
	IsReader func() bool
	Reader   func() string
	// Readers returns the VMs of a zone in the order in which they become its reader.
	Readers func(zone string) []blackboard.VM
	Client  messenger.Client
	Timer   *timer.Service
	Log     zerolog.Logger
}

// Exchanger exchanges reports of crashes with the readers of the other zones while there are any, or tells the reader of its own zone at once
// when this VM has seen crashes that restrict requests.
type Exchanger struct {
	o ExchangerOptions
	// failed counts the failed exchanges with each zone in sequence. After a failure the next exchange goes to another VM of the zone.
	// Only the goroutine of Run uses it.
	failed map[string]int
	// toldAt contains the times of the last exchange with each zone, and fullAt those of the last one with all reports. Only the goroutine
	// of Run uses them.
	toldAt map[string]time.Time
	fullAt map[string]time.Time
	// ownTold is the value of OwnRestrictions that the reader of the zone was last told of, at the time readerToldAt if it replied. Only the
	// goroutine of Run uses them.
	ownTold      uint64
	readerToldAt time.Time
	// cutOff is the result of IsCutOff.
	cutOff atomic.Bool
}

// NewExchanger returns an Exchanger. Run has to be called to start it.
func NewExchanger(o ExchangerOptions) *Exchanger {
	return &Exchanger{
		o:      o,
		failed: map[string]int{},
		toldAt: map[string]time.Time{},
		fullAt: map[string]time.Time{},
	}
}

// Run exchanges reports until ctx is done.
func (x *Exchanger) Run(ctx context.Context) {
	x.o.Isolator.everyRestriction(ctx, x.o.Timer, exchangeInterval, func(now time.Time) {
		x.o.Isolator.Expire(now)
		own := x.o.Isolator.OwnRestrictions()
		switch {
		case !x.o.Isolator.Active():
			x.cutOff.Store(false)
		case x.o.IsReader():
			x.cutOff.Store(!x.exchange(ctx, now))
		case own != x.ownTold:
			x.ownTold = own
			x.tellReader(ctx, now)
		}
	})
}

// tellReader tells the reader of this zone at once what this VM has seen. It hears the rest with the next request for updates.
func (x *Exchanger) tellReader(ctx context.Context, now time.Time) {
	name := x.o.Reader()
	vms := x.o.Board.VMs.Read().VMs
	n := slices.IndexFunc(vms, func(vm blackboard.VM) bool {
		return vm.Name == name && vm.Address.IsValid()
	})
	if n < 0 {
		return
	}
	z := &peerExchange{
		exchanger: x,
		vm:        vms[n],
		reports:   x.o.Isolator.News(x.readerToldAt, now),
	}
	z.run(ctx)
	if z.err == nil {
		x.readerToldAt = now
	} else {
		x.o.Log.Info().Str("VM", name).Err(z.err).Msg("The reader of the zone did not reply to an exchange of crash reports.")
	}
}

// IsCutOff reports whether the last exchanges with another zone have failed, as of the last time that there was anything to tell it.
func (x *Exchanger) IsCutOff() bool {
	return x.cutOff.Load()
}

// peerExchange is an exchange with a VM of another zone, or with the reader of this one.
type peerExchange struct {
	exchanger *Exchanger
	vm        blackboard.VM
	reports   []messenger.CrashReport
	// full is set if the reports are all that the VM should know, not only the news.
	full bool
	err  error
}

func (z *peerExchange) run(ctx context.Context) {
	o := z.exchanger.o
	call, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply messenger.CrashesReply
	z.err = o.Client.Call(call, z.vm.Address, messenger.MethodCrashes, messenger.CrashesRequest{
		Reports: z.reports,
		Full:    z.full,
	}, &reply)
	if z.err == nil {
		o.Isolator.Merge(reply.Reports, o.Timer.Now())
	}
}

// exchange tells each other zone what it does not know yet, if there is anything. It reports whether no zone is taken for cut off.
func (x *Exchanger) exchange(ctx context.Context, now time.Time) bool {
	zones := map[string]*peerExchange{}
	var wg sync.WaitGroup
	for _, vm := range x.o.Board.VMs.Read().VMs {
		if _, ok := zones[vm.Zone]; ok || vm.Zone == x.o.Zone {
			continue
		}
		readers := x.o.Readers(vm.Zone)
		full := now.Sub(x.fullAt[vm.Zone]) >= fullInterval
		reports := x.reports(vm.Zone, full, now)
		if len(readers) == 0 || len(reports) == 0 {
			continue
		}
		z := &peerExchange{
			exchanger: x,
			vm:        readers[x.failed[vm.Zone]%len(readers)],
			reports:   reports,
			full:      full,
		}
		zones[vm.Zone] = z
		wg.Go(func() {
			z.run(ctx)
		})
	}
	wg.Wait()
	reachesAll := true
	for zone, z := range zones {
		if z.err == nil {
			x.failed[zone] = 0
			x.toldAt[zone] = now
			if z.full {
				x.fullAt[zone] = now
			}
			continue
		}
		x.failed[zone]++
		reachesAll = reachesAll && x.failed[zone] < cutOffFailures
		x.o.Log.Info().Str("VM", z.vm.Name).Err(z.err).Msg("A VM did not reply to an exchange of crash reports.")
	}
	return reachesAll
}

// reports returns what is told to a zone.
func (x *Exchanger) reports(zone string, full bool, now time.Time) []messenger.CrashReport {
	if full {
		return x.o.Isolator.RareReports(x.toldAt[zone], fullInterval, now)
	}
	return x.o.Isolator.News(x.toldAt[zone], now)
}

// Server serves the RPC method Exchange to other VMs.
type Server struct {
	Exchanger *Exchanger
}

// Exchange merges the reports of the sender. If these are not only news, it replies with the reports of this VM, which the sender may not be able
// to reach.
func (s *Server) Exchange(req messenger.CrashesRequest, reply *messenger.CrashesReply) (err error) {
	defer messenger.RecoverCall(&err)
	o := s.Exchanger.o
	now := o.Timer.Now()
	if req.Full {
		reply.Reports = o.Isolator.Reports(now, now)
	}
	o.Isolator.Merge(req.Reports, now)
	return nil
}
