// Package promoter carries out the operators' orders to move a service of the gateway to another version of its servers, as
// a canary release: the new version gets a small part of the requests first, then all of them. A move is rolled back when
// the new version is worse by the evidence of all VMs. Package mover does this for the applications of the search
// configuration.
package promoter

import (
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
	// period is the time between decisions. A bad version may get all requests until the next one.
	period = 250 * time.Millisecond
	// freshTime is the age at which reports of other VMs are no longer used: some messages between VMs, and the change to another
	// reader of a zone.
	freshTime = 4 * time.Second
	// writeTimeout bounds a write to the platform, and writePause is the time after it until the next one.
	writeTimeout = time.Second
	writePause   = 1500 * time.Millisecond
	// writeTurn is how much later the readers of each further zone write an outcome that the platform does not have yet.
	writeTurn = 700 * time.Millisecond
)

// OutcomeStore keeps the outcomes of orders at the platform.
type OutcomeStore interface {
	// SetOutcome writes the outcome of the order of a name if its object still has the revision, else it returns storer.ErrConflict.
	SetOutcome(ctx context.Context, name string, m blackboard.MoveOrder, o blackboard.MoveOutcome) error
}

// Options are the collaborators of a Migrator.
type Options struct {
	// VM and Zone are those of this VM.
	VM       string
	Zone     string
	Exposure ExposureLimits
	Board    *blackboard.Gateway
	Outcomes OutcomeStore
	// IsReader reports whether this VM reads the platform for its zone.
	IsReader func() bool
	// ReaderVM is the name of the VM that does.
	ReaderVM func() string
	// RunningOnOtherVersions returns the number of requests that run at servers of a service whose version is not the given one.
	RunningOnOtherVersions func(service, version string) int
	Client                 messenger.Client
	Timer                  *timer.Service
	Log                    zerolog.Logger
}

// Promoter decides about orders and writes the section Moving. Its methods are safe for concurrent use.
type Promoter struct {
	o Options

	mu sync.Mutex
	// ledgers has the orders by the names of their objects.
	ledgers  map[string]*ledger
	revision uint64
	// reports are what the VMs of the zone have told this one.
	reports map[string]report
	// zones has the last sum of each zone.
	zones map[string]report
	// orders is written when Take is called.
	orders blackboard.Section[struct{}]
}

// New returns a Migrator that does not run yet.
func New(o Options) *Promoter {
	return &Promoter{
		o:       o,
		ledgers: map[string]*ledger{},
		reports: map[string]report{},
		zones:   map[string]report{},
	}
}

// SetOrders takes all orders at a revision of the platform.
func (m *Promoter) SetOrders(revision uint64, orders map[string]blackboard.MoveOrder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.o.Timer.Now()
	m.revision = revision
	for name := range m.ledgers {
		if _, ok := orders[name]; !ok {
			m.o.Log.Info().Str("Move", name).Uint64("Revision", revision).Msg("An order to move a service was removed.")
			delete(m.ledgers, name)
		}
	}
	for name, move := range orders {
		l, ok := m.ledgers[name]
		if !ok || l.move.ID != move.ID || l.move.To != move.To {
			m.o.Log.Info().Str("Move", name).Str("Service", move.Service).Str("Version", move.To).Dur("Duration", move.Duration).
				Str("Outcome", string(move.Outcome)).Uint64("Revision", revision).Msg("A service is to move to another version.")
			l = newLedger(name, move, now)
			m.ledgers[name] = l
		}
		l.move = move
	}
	m.decide(now)
	m.orders.Write(&struct{}{})
}

// Observe counts the end of a request at a server of a version.
func (m *Promoter) Observe(service, version, route string, code classifier.Code, latency time.Duration) {
	if _, ok := m.o.Board.TrafficShifts.Read().ByService[service]; !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.ledgers {
		if l.move.Service == service {
			l.observe(version, route, code, latency)
		}
	}
}

// Run decides until ctx ends.
func (m *Promoter) Run(ctx context.Context) {
	x := &exchanger{
		migrator: m,
	}
	go x.run(ctx)
	m.whileMoving(ctx, period, func(now time.Time) {
		m.mu.Lock()
		m.decide(now)
		due := m.due(now)
		m.mu.Unlock()
		for _, w := range due {
			go w.run(ctx)
		}
	})
}

// whileMoving calls f at each period while orders run, until ctx ends.
func (m *Promoter) whileMoving(ctx context.Context, period time.Duration, f func(now time.Time)) {
	for ctx.Err() == nil {
		news := m.orders.Changed()
		m.mu.Lock()
		running := m.running()
		m.mu.Unlock()
		if !running {
			select {
			case <-ctx.Done():
			case <-news:
			}
			continue
		}
		m.o.Timer.Sleep(ctx, period)
		f(m.o.Timer.Now())
	}
}

// running reports whether an order has no outcome at the platform yet.
func (m *Promoter) running() bool {
	for _, l := range m.ledgers {
		if !l.ended() {
			return true
		}
	}
	return false
}

// ended reports whether the platform holds the outcome of the order.
func (l *ledger) ended() bool {
	return l.move.Outcome == blackboard.MoveDone || l.move.Outcome == blackboard.MoveRolledBack
}

// decide decides about all orders and writes the section.
func (m *Promoter) decide(now time.Time) {
	all := m.summaries(now)
	section := &blackboard.TrafficShifts{
		Revision:  m.revision,
		ByService: make(map[string]blackboard.TrafficShift, len(m.ledgers)),
	}
	for _, name := range slices.Sorted(maps.Keys(m.ledgers)) {
		l := m.ledgers[name]
		s := all[name]
		p := m.progress(l, s, now)
		d := Decide(l.move, m.o.Exposure, p, l.decision)
		if d.Step == blackboard.StepSwitched && l.decision.Step != blackboard.StepSwitched {
			l.switchedAt = now
		}
		l.learn(s.routes, now)
		if d.differs(l.logged) {
			l.logged = d
			m.log(l, d, p)
		}
		l.decision = d
		section.ByService[l.move.Service] = d.TrafficShift
	}
	m.o.Board.TrafficShifts.Write(section)
}

// logShare is the change of a share that is worth a line. The share of a trial follows the rate of requests a little all the time.
const logShare = 0.1

// differs reports whether a decision is another one than that of the last line.
func (d Decision) differs(logged Decision) bool {
	return d.Step != logged.Step || d.Outcome != logged.Outcome || math.Abs(d.Share-logged.Share) >= logShare
}

func (m *Promoter) log(l *ledger, d Decision, p Progress) {
	var old, fresh, bad uint64
	for _, e := range p.Routes {
		old += e.OldWindow.Answers
		fresh += e.NewTotal.Answers
		bad += e.NewTotal.Failures + e.NewTotal.Slow
	}
	m.o.Log.Info().Str("Move", l.name).Str("Service", l.move.Service).Str("Version", l.move.To).Stringer("Step", d.Step).Float64("Share", d.Share).
		Str("Outcome", string(d.Outcome)).Str("Reason", d.Reason).Dur("Age", p.Age).Uint64("OldAnswers", old).Uint64("NewAnswers", fresh).
		Uint64("NewBad", bad).Bool("Fresh", p.ZoneUpToDate).Bool("Complete", p.AllZonesUpToDate).Int("OldRunning", p.OldRunning).Int("NewSlots", p.NewSlots).
		Msg("The step of a move changed.")
}

// progress is what this VM knows of an order.
func (m *Promoter) progress(l *ledger, s summary, now time.Time) Progress {
	if since := now.Add(-s.age); s.age > 0 && since.Before(l.since) {
		// Another VM knows the order for longer: this one started later.
		l.since = since
	}
	p := Progress{
		Age:               now.Sub(l.since),
		ZoneUpToDate:      s.fresh,
		AllZonesUpToDate:  s.complete,
		Switched:          s.switched,
		OldRunning:        s.oldRunning,
		RequestsPerSecond: l.rate(s.routes, now),
		RollbackReason:    s.fault,
	}
	if l.decision.Step == blackboard.StepSwitched {
		p.SwitchedFor = now.Sub(l.switchedAt)
	}
	p.Routes, p.RecentRoutes = l.compare(s.routes)
	for _, member := range m.o.Board.Servers.Read().ByService[l.move.Service] {
		switch {
		case member.Lapsed:
		case member.Version != l.move.To:
			p.OldSlots += member.Slots
		case !member.ColdUntil.After(now):
			p.NewSlots += member.Slots
		}
	}
	return p
}

// write is one outcome to be written to the platform.
type write struct {
	migrator *Promoter
	name     string
	move     blackboard.MoveOrder
	outcome  blackboard.MoveOutcome
}

// due returns the outcomes that this VM should write now.
func (m *Promoter) due(now time.Time) []write {
	if !m.o.IsReader() {
		return nil
	}
	var list []write
	for _, name := range slices.Sorted(maps.Keys(m.ledgers)) {
		l := m.ledgers[name]
		if l.ended() || l.decision.Outcome == l.move.Outcome || now.Sub(l.written) < writePause {
			continue
		}
		if l.written.IsZero() {
			// The first write waits for its turn, so that mostly one VM writes.
			l.written = now.Add(m.turn(name) - writePause)
			continue
		}
		l.written = now
		list = append(list, write{
			migrator: m,
			name:     name,
			move:     l.move,
			outcome:  l.decision.Outcome,
		})
	}
	return list
}

// turn is how long this VM leaves a write to the readers of other zones.
func (m *Promoter) turn(name string) time.Duration {
	zones := slices.Sorted(maps.Keys(m.inZones()))
	return time.Duration(max(0, slices.Index(hasher.Rank(name, zones), m.o.Zone))) * writeTurn
}

// inZones returns the zones that have VMs.
func (m *Promoter) inZones() map[string]struct{} {
	zones := map[string]struct{}{}
	for _, vm := range m.o.Board.VMs.Read().VMs {
		zones[vm.Zone] = struct{}{}
	}
	return zones
}

func (w write) run(ctx context.Context) {
	o := w.migrator.o
	call, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := o.Outcomes.SetOutcome(call, w.name, w.move, w.outcome)
	log := o.Log.With().Str("Move", w.name).Str("Outcome", string(w.outcome)).Uint64("Revision", w.move.Revision).Logger()
	switch {
	case err == nil:
		log.Info().Msg("The outcome of a move was written.")
	case errors.Is(err, storeclient.ErrConflict):
		log.Info().Msg("The order of a move has changed, so that its outcome was not written.")
	default:
		log.Warn().Err(err).Msg("The outcome of a move could not be written.")
	}
}

// readers returns the VMs that read the platform for a zone, in their order.
func (m *Promoter) readers(zone string) []blackboard.VM {
	return syncer.ReaderOrder(m.o.Board.VMs.Read(), zone)
}

// SelectServers returns the servers that a request for a service may be sent to, and those that get its first attempt if there are any. The
// draw is a random number below 1.
func SelectServers(t blackboard.TrafficShift, members []discoverer.Endpoint, draw float64, now time.Time) (usable, first []discoverer.Endpoint) {
	var old, fresh, warm []discoverer.Endpoint
	for _, member := range members {
		switch {
		case member.Version != t.To:
			old = append(old, member)
		case member.ColdUntil.After(now):
			fresh = append(fresh, member)
		default:
			fresh = append(fresh, member)
			warm = append(warm, member)
		}
	}
	switch {
	case t.Step == blackboard.StepDone, t.Step == blackboard.StepSwitched && len(fresh) > 0:
		return fresh, nil
	case t.Step == blackboard.StepTrial && draw < t.Share:
		return old, TrialServers(warm, len(old), t.Share, now)
	default:
		return old, nil
	}
}
