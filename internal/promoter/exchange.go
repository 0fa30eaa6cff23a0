package promoter

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/messenger"
)

const (
	// exchangePeriod is the time between exchanges with the reader of the zone, and of the readers with each other. A verdict reaches all
	// VMs within three of them.
	exchangePeriod = 500 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 700 * time.Millisecond
)

// report is what a VM or a zone has told, and when.
type report struct {
	at    time.Time
	moves []messenger.MoveReport
}

// summary is what all VMs have seen of an order.
type summary struct {
	routes     byRoute
	age        time.Duration
	fresh      bool
	complete   bool
	switched   bool
	oldRunning int
	fault      string
}

// own returns what this VM itself has seen.
func (m *Promoter) own(now time.Time) []messenger.MoveReport {
	var list []messenger.MoveReport
	for _, name := range slices.Sorted(maps.Keys(m.ledgers)) {
		l := m.ledgers[name]
		if l.ended() {
			continue
		}
		r := messenger.MoveReport{
			Name:       name,
			Order:      l.move.ID,
			Age:        now.Sub(l.since),
			Switched:   l.decision.Step == blackboard.StepSwitched,
			OldRunning: m.o.RunningOnOtherVersions(l.move.Service, l.move.To),
			Evidence:   l.own.records(l.move),
		}
		if l.decision.Outcome == blackboard.MoveRolledBack {
			r.Fault = l.decision.Reason
		}
		list = append(list, r)
	}
	return list
}

// collected returns the sum of what the VMs of the zone have told this one, and of its own.
func (m *Promoter) collected(now time.Time) []messenger.MoveReport {
	maps.DeleteFunc(m.reports, func(_ string, r report) bool {
		return now.Sub(r.at) > freshTime
	})
	sums := m.own(now)
	for i := range sums {
		s := &sums[i]
		move := m.ledgers[s.Name].move
		routes := byRoute{}
		routes.add(move, s.Evidence)
		for _, r := range m.reports {
			for _, x := range r.moves {
				if x.Name == s.Name && x.Order == s.Order {
					s.Age = max(s.Age, x.Age)
					s.Switched = s.Switched && x.Switched
					s.OldRunning += x.OldRunning
					s.Fault = cmp.Or(s.Fault, x.Fault)
					routes.add(move, x.Evidence)
				}
			}
		}
		s.Evidence = routes.records(move)
	}
	return sums
}

// summaries returns what all VMs have seen, by the names of the orders.
func (m *Promoter) summaries(now time.Time) map[string]summary {
	if m.o.IsReader() {
		m.zones[m.o.Zone] = report{
			at:    now,
			moves: m.collected(now),
		}
	}
	all := make(map[string]summary, len(m.ledgers))
	for name, l := range m.ledgers {
		all[name] = m.summary(l, now)
	}
	return all
}

func (m *Promoter) summary(l *ledger, now time.Time) summary {
	s := summary{
		routes: byRoute{},
		fresh:  now.Sub(m.zones[m.o.Zone].at) <= freshTime,
	}
	if !s.fresh {
		// What this VM has seen itself may still show that the new version is bad.
		maps.Copy(s.routes, l.own)
		return s
	}
	s.complete, s.switched = true, true
	for zone := range m.inZones() {
		s.complete = s.complete && now.Sub(m.zones[zone].at) <= freshTime
	}
	for _, r := range m.zones {
		for _, x := range r.moves {
			if x.Name != l.name || x.Order != l.move.ID {
				continue
			}
			s.age = max(s.age, x.Age+now.Sub(r.at))
			s.fault = cmp.Or(s.fault, x.Fault)
			s.routes.add(l.move, x.Evidence)
			if now.Sub(r.at) <= freshTime {
				s.switched = s.switched && x.Switched
				s.oldRunning += x.OldRunning
			}
		}
	}
	return s
}

// Server answers other VMs.
type Server struct {
	Promoter *Promoter
}

// Exchange takes what a VM of the zone has seen, and replies with the sums of the zones.
func (s *Server) Exchange(req messenger.MovesRequest, reply *messenger.MovesReply) error {
	m := s.Promoter
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.o.Timer.Now()
	inZone := req.Zone == m.o.Zone
	if inZone {
		m.reports[req.From] = report{
			at:    now,
			moves: req.Reports,
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(m.zones)) {
		if inZone || zone == m.o.Zone {
			reply.Zones = append(reply.Zones, messenger.ZoneMoveReports{
				Zone:    zone,
				Age:     now.Sub(m.zones[zone].at),
				Reports: m.zones[zone].moves,
			})
		}
	}
	return nil
}

// exchanger exchanges reports with other VMs while a move runs.
type exchanger struct {
	migrator *Promoter
	// failures counts the failed exchanges with the VMs of each zone, so that another one is asked next. It belongs to the goroutine of run.
	failures map[string]int
}

func (x *exchanger) run(ctx context.Context) {
	x.failures = map[string]int{}
	x.migrator.whileMoving(ctx, exchangePeriod, func(now time.Time) {
		x.exchange(ctx, now)
	})
}

// exchange tells the reader of the zone what this VM has seen, or asks the readers of the other zones if this VM is the reader.
func (x *exchanger) exchange(ctx context.Context, now time.Time) {
	m := x.migrator
	if !m.o.IsReader() {
		m.mu.Lock()
		own := m.own(now)
		m.mu.Unlock()
		source := m.o.ReaderVM()
		for _, vm := range m.readers(m.o.Zone) {
			if vm.Name == source {
				m.ask(ctx, vm.Address, own)
			}
		}
		return
	}
	var wg sync.WaitGroup
	answered := map[string]*bool{}
	for zone := range m.inZones() {
		vms := m.readers(zone)
		if zone == m.o.Zone || len(vms) == 0 {
			continue
		}
		ok := new(bool)
		answered[zone] = ok
		wg.Go(func() {
			*ok = m.ask(ctx, vms[x.failures[zone]%len(vms)].Address, nil)
		})
	}
	wg.Wait()
	for zone, ok := range answered {
		if !*ok {
			x.failures[zone]++
		}
	}
}

// ask exchanges reports with another VM and reports whether it answered.
func (m *Promoter) ask(ctx context.Context, addr netip.AddrPort, own []messenger.MoveReport) bool {
	call, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply messenger.MovesReply
	err := m.o.Client.Call(call, addr, messenger.MethodMoves, messenger.MovesRequest{
		From:    m.o.VM,
		Zone:    m.o.Zone,
		Reports: own,
	}, &reply)
	if err != nil {
		m.o.Log.Info().Stringer("VM", addr).Err(err).Msg("A VM did not answer a question about moves.")
		return false
	}
	m.learn(reply)
	return true
}

// learn takes the sums of zones that are newer than those known.
func (m *Promoter) learn(reply messenger.MovesReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.o.Timer.Now()
	for _, z := range reply.Zones {
		at := now.Add(-max(z.Age, 0))
		if z.Zone == m.o.Zone && m.o.IsReader() || !at.After(m.zones[z.Zone].at) {
			continue
		}
		m.zones[z.Zone] = report{
			at:    at,
			moves: z.Reports,
		}
	}
}
