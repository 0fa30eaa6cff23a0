// Package promoter moves the services of the gateway to other versions of their servers, as the operators order, by traffic
// shifts: the new version first receives a small share of the requests and later all of them. A move is rolled back when the
// results collected from all VMs show that the new version is worse. Package mover does the same for the applications of the
// search configuration.
package promoter

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/hasher"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/syncer"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// decideInterval is the time between two decisions. It is short because a bad version may receive all requests until the
	// next decision.
	decideInterval = 250 * time.Millisecond
	// maxReportAge is the age above which the report of a VM is dropped and that of a zone is out of date. It leaves time for
	// several messages between VMs and for the failover to another reader of a zone.
	maxReportAge = 4 * time.Second
	// writeTimeout limits the duration of one write to the platform, and writeRetryInterval is the time from the start of a
	// write to the next attempt.
	writeTimeout       = time.Second
	writeRetryInterval = 1500 * time.Millisecond
	// writeZoneDelay is the additional delay for each position of a zone in the write order. The reader of a zone writes an
	// outcome only if the readers of the zones before it have not done so.
	writeZoneDelay = 700 * time.Millisecond
)

// OutcomeStore stores the outcomes of move orders on the platform.
type OutcomeStore interface {
	// SetOutcome writes the outcome of the named order. It returns storeclient.ErrConflict if the revision of the order's object
	// is no longer order.Revision, or if the platform is no longer in the era order.Era.
	SetOutcome(ctx context.Context, name string, order blackboard.MoveOrder, o blackboard.MoveOutcome) error
}

// Options contains the settings and dependencies of a Promoter.
type Options struct {
	// VM is the name of this VM, and Zone its availability zone.
	VM       string
	Zone     string
	Exposure ExposureLimits
	Board    *blackboard.Gateway
	Outcomes OutcomeStore
	// IsReader reports whether this VM reads the platform for its zone.
	IsReader func() bool
	// ReaderVM returns the name of the VM that reads the platform for this zone.
	ReaderVM func() string
	// RunningOnOtherVersions returns the number of requests in progress on servers of the service that have a version other
	// than the given one.
	RunningOnOtherVersions func(service, version string) int
	Client                 messenger.Client
	Timer                  *timer.Service
	Log                    zerolog.Logger
}

// Promoter decides the next step of each ordered move and writes the section TrafficShifts of the blackboard. Its methods are
// safe for concurrent use.
type Promoter struct {
	o Options

	mu sync.Mutex
	// orderStates is keyed by the name of the order's object.
	orderStates map[string]*orderState
	revision    uint64
	// vmReports contains the last report of each other VM in this zone, keyed by VM name.
	vmReports map[string]report
	// zoneReports contains the last aggregated report of each zone, keyed by zone name.
	zoneReports map[string]report
	// ordersChanged is written by each call of SetOrders.
	ordersChanged blackboard.Section[struct{}]
}

// New returns a Promoter. Call Run to start it.
func New(o Options) *Promoter {
	return &Promoter{
		o:           o,
		orderStates: map[string]*orderState{},
		vmReports:   map[string]report{},
		zoneReports: map[string]report{},
	}
}

// SetOrders replaces the move orders with the given ones, which are all orders at a revision of the platform, keyed by the names
// of their objects. Evidence collected for an order is kept unless its ID or target version has changed. An order of a new era
// continues the one of the era before for the same version.
func (p *Promoter) SetOrders(revision uint64, orders map[string]blackboard.MoveOrder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Timer.Now()
	p.revision = revision
	for name := range p.orderStates {
		if _, ok := orders[name]; !ok {
			p.o.Log.Info().Str("Move", name).Uint64("Revision", revision).Msg("The order to move a service was deleted.")
			delete(p.orderStates, name)
		}
	}
	for name, order := range orders {
		st, ok := p.orderStates[name]
		switch {
		case ok && order.Continues(st.moveOrder):
			p.o.Log.Info().Str("Move", name).Str("Service", order.Service).Str("Version", order.To).Uint64("Era", order.Era).Str("Outcome", string(order.Outcome)).
				Str("Confirmed", string(st.confirmed)).Msg("A move goes on after the platform came back from a copy.")
			// The delay of the zone applies again to the first write.
			st.lastWrite = time.Time{}
		case !ok || st.moveOrder.Era != order.Era || st.moveOrder.ID != order.ID || st.moveOrder.To != order.To:
			p.o.Log.Info().Str("Move", name).Str("Service", order.Service).Str("Version", order.To).Dur("Duration", order.Duration).
				Str("Outcome", string(order.Outcome)).Uint64("Revision", revision).Msg("An order to move a service to another version was received.")
			st = newOrderState(name, order, now)
			p.orderStates[name] = st
		}
		st.moveOrder = order
		if order.Outcome.IsFinal() {
			st.confirmed = order.Outcome
		}
	}
	p.decide(now)
	p.ordersChanged.Write(&struct{}{})
}

// Observe records the result of a request to a server of the given version. Results of services without a move are ignored.
func (p *Promoter) Observe(service, version, route string, code classifier.Code, latency time.Duration) {
	if _, ok := p.o.Board.TrafficShifts.Read().ByService[service]; !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, st := range p.orderStates {
		if st.moveOrder.Service == service {
			st.observe(version, route, code, latency)
		}
	}
}

// Run exchanges reports with other VMs, makes decisions and writes outcomes until ctx is cancelled.
func (p *Promoter) Run(ctx context.Context) {
	x := &exchanger{
		promoter: p,
	}
	go x.run(ctx)
	p.runWhileMoving(ctx, decideInterval, func(now time.Time) {
		p.mu.Lock()
		p.decide(now)
		due := p.dueWrites(now)
		p.mu.Unlock()
		for _, w := range due {
			go w.run(ctx)
		}
	})
}

// runWhileMoving calls f once per interval while a move is in progress. It returns when ctx is cancelled.
func (p *Promoter) runWhileMoving(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	for ctx.Err() == nil {
		changed := p.ordersChanged.Changed()
		p.mu.Lock()
		running := p.running()
		p.mu.Unlock()
		if !running {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		p.o.Timer.Sleep(ctx, interval)
		f(p.o.Timer.Now())
	}
}

// running reports whether the platform lacks the final outcome of at least one order. The caller must hold p.mu.
func (p *Promoter) running() bool {
	for _, st := range p.orderStates {
		if !st.ended() {
			return true
		}
	}
	return false
}

// ended reports whether the platform has the final outcome of the order.
func (st *orderState) ended() bool {
	return st.moveOrder.Outcome.IsFinal()
}

// decide makes a decision for each order and writes the section TrafficShifts. The caller must hold p.mu.
func (p *Promoter) decide(now time.Time) {
	all := p.summaries(now)
	section := &blackboard.TrafficShifts{
		Revision:  p.revision,
		ByService: make(map[string]blackboard.TrafficShift, len(p.orderStates)),
	}
	for _, name := range slices.Sorted(maps.Keys(p.orderStates)) {
		st := p.orderStates[name]
		s := all[name]
		progress := p.progress(st, s, now)
		d := Decide(st.moveOrder, p.o.Exposure, progress, st.decision)
		if d.Step == blackboard.StepSwitched && st.decision.Step != blackboard.StepSwitched {
			st.switchedAt = now
		}
		st.recordSample(s.routes, now)
		if d.differs(st.lastLogged) {
			st.lastLogged = d
			p.log(st, d, progress)
		}
		st.decision = d
		section.ByService[st.moveOrder.Service] = d.TrafficShift
	}
	p.o.Board.TrafficShifts.Write(section)
}

// minLoggedShareChange is the smallest change of the share that is logged. The share of a trial depends on the request rate and
// therefore varies slightly all the time.
const minLoggedShareChange = 0.1

// differs reports whether the decision differs enough from the last logged one to be logged.
func (d Decision) differs(logged Decision) bool {
	return d.Step != logged.Step || d.Outcome != logged.Outcome || math.Abs(d.Share-logged.Share) >= minLoggedShareChange
}

func (p *Promoter) log(st *orderState, d Decision, progress Progress) {
	var oldAnswers, newAnswers, newBad uint64
	for _, e := range progress.Routes {
		oldAnswers += e.OldWindow.Answers
		newAnswers += e.NewTotal.Answers
		newBad += e.NewTotal.Failures + e.NewTotal.Slow
	}
	p.o.Log.Info().Str("Move", st.name).Str("Service", st.moveOrder.Service).Str("Version", st.moveOrder.To).Stringer("Step", d.Step).Float64("Share", d.Share).
		Str("Outcome", string(d.Outcome)).Str("Reason", d.Reason).Dur("Age", progress.Age).Uint64("OldAnswers", oldAnswers).Uint64("NewAnswers", newAnswers).
		Uint64("NewBad", newBad).Bool("Fresh", progress.ZoneUpToDate).Bool("Complete", progress.AllZonesUpToDate).Int("OldRunning", progress.OldRunning).Int("NewSlots", progress.NewSlots).
		Msg("The step, share or outcome of a move changed.")
}

// progress returns the current progress of an order as far as this VM knows it. The caller must hold p.mu.
func (p *Promoter) progress(st *orderState, s summary, now time.Time) Progress {
	if since := now.Add(-s.age); s.age > 0 && since.Before(st.orderedAt) {
		// Another VM received the order earlier, for example because this VM started during the move.
		st.orderedAt = since
	}
	progress := Progress{
		Age:               now.Sub(st.orderedAt),
		ZoneUpToDate:      s.zoneUpToDate,
		AllZonesUpToDate:  s.allZonesUpToDate,
		AllVMsSwitched:    s.allSwitched,
		AnyVMSwitched:     s.anySwitched,
		KnownFor:          now.Sub(st.receivedAt),
		OldRunning:        s.oldRunning,
		RequestsPerSecond: st.requestRate(s.routes, now),
		RollbackReason:    s.rollbackReason,
		Confirmed:         cmp.Or(st.confirmed, s.confirmed),
	}
	if st.decision.Step == blackboard.StepSwitched {
		progress.SwitchedFor = now.Sub(st.switchedAt)
	}
	progress.Routes, progress.RecentRoutes = st.compare(s.routes)
	for _, endpoint := range p.o.Board.Servers.Read().ByService[st.moveOrder.Service] {
		switch {
		case endpoint.Lapsed:
		case endpoint.Version != st.moveOrder.To:
			progress.OldSlots += endpoint.Slots
		case !endpoint.ColdUntil.After(now):
			progress.NewSlots += endpoint.Slots
		}
	}
	return progress
}

type outcomeWrite struct {
	promoter  *Promoter
	name      string
	moveOrder blackboard.MoveOrder
	outcome   blackboard.MoveOutcome
}

// dueWrites returns the outcomes that this VM has to write to the platform now. The caller must hold p.mu.
func (p *Promoter) dueWrites(now time.Time) []outcomeWrite {
	if !p.o.IsReader() {
		return nil
	}
	var list []outcomeWrite
	for _, name := range slices.Sorted(maps.Keys(p.orderStates)) {
		st := p.orderStates[name]
		if st.ended() || st.decision.Outcome == st.moveOrder.Outcome || now.Sub(st.lastWrite) < writeRetryInterval {
			continue
		}
		if st.lastWrite.IsZero() {
			// The delay before the first write depends on the zone, so that usually only one VM writes.
			st.lastWrite = now.Add(p.writeDelay(name) - writeRetryInterval)
			continue
		}
		st.lastWrite = now
		list = append(list, outcomeWrite{
			promoter:  p,
			name:      name,
			moveOrder: st.moveOrder,
			outcome:   st.decision.Outcome,
		})
	}
	return list
}

// writeDelay returns how long this VM waits before it writes the outcome of the move with the given name to the platform. Each
// zone has a rank for the move; the VMs of the zones with a lower rank write first.
func (p *Promoter) writeDelay(name string) time.Duration {
	zones := slices.Sorted(maps.Keys(p.vmZones()))
	return time.Duration(max(0, slices.Index(hasher.Rank(name, zones), p.o.Zone))) * writeZoneDelay
}

// vmZones returns the set of zones that have entry VMs.
func (p *Promoter) vmZones() map[string]struct{} {
	zones := map[string]struct{}{}
	for _, vm := range p.o.Board.VMs.Read().VMs {
		zones[vm.Zone] = struct{}{}
	}
	return zones
}

func (w outcomeWrite) run(ctx context.Context) {
	o := w.promoter.o
	call, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := o.Outcomes.SetOutcome(call, w.name, w.moveOrder, w.outcome)
	log := o.Log.With().Str("Move", w.name).Str("Outcome", string(w.outcome)).Uint64("Revision", w.moveOrder.Revision).Logger()
	switch {
	case err == nil:
		log.Info().Msg("The outcome of a move was written to the platform.")
		w.promoter.confirm(w.name, w.moveOrder, w.outcome)
	case errors.Is(err, storeclient.ErrConflict):
		log.Info().Msg("The outcome of a move was not written because its order has changed.")
	default:
		log.Warn().Err(err).Msg("The outcome of a move could not be written to the platform.")
	}
}

// confirm records that the platform has confirmed the outcome of an order.
func (p *Promoter) confirm(name string, order blackboard.MoveOrder, outcome blackboard.MoveOutcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st, ok := p.orderStates[name]
	if ok && outcome.IsFinal() && (st.moveOrder.Era == order.Era && st.moveOrder.ID == order.ID || st.moveOrder.Continues(order)) {
		st.confirmed = outcome
	}
}

// readers returns the VMs of a zone in the order in which they are candidates for reading the platform.
func (p *Promoter) readers(zone string) []blackboard.VM {
	return syncer.ReaderOrder(p.o.Board.VMs.Read(), zone)
}

// SelectServers returns the servers to which a request for a service may be sent. If first is not empty, the first attempt goes
// to one of its servers. The parameter draw is a random number in [0, 1).
func SelectServers(t blackboard.TrafficShift, endpoints []discoverer.Endpoint, draw float64, now time.Time) (usable, first []discoverer.Endpoint) {
	var oldServers, newServers, warmServers []discoverer.Endpoint
	for _, endpoint := range endpoints {
		switch {
		case endpoint.Version != t.To:
			oldServers = append(oldServers, endpoint)
		case endpoint.ColdUntil.After(now):
			newServers = append(newServers, endpoint)
		default:
			newServers = append(newServers, endpoint)
			warmServers = append(warmServers, endpoint)
		}
	}
	switch {
	case t.Step == blackboard.StepDone, t.Step == blackboard.StepSwitched && len(newServers) > 0:
		return newServers, nil
	case t.Step == blackboard.StepTrial && draw < t.Share:
		return oldServers, TrialServers(warmServers, len(oldServers), t.Share, now)
	default:
		return oldServers, nil
	}
}
