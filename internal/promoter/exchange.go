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
	// exchangeInterval is the time between two exchanges of a VM with the reader of its zone, and of the readers of the zones
	// with each other. A rollback reaches all VMs within three exchanges.
	exchangeInterval = 500 * time.Millisecond
	exchangeTimeout  = 700 * time.Millisecond
)

// report contains the reports of a VM, or the aggregated reports of a zone, about all moves in progress. They were current at the
// time at.
type report struct {
	at    time.Time
	moves []messenger.MoveReport
}

// summary is the evidence of all VMs about one order.
type summary struct {
	routes           routeCounts
	age              time.Duration
	zoneUpToDate     bool
	allZonesUpToDate bool
	allSwitched      bool
	anySwitched      bool
	oldRunning       int
	rollbackReason   string
	confirmed        blackboard.MoveOutcome
}

// localReports returns the reports of this VM about the moves in progress. The caller must hold p.mu.
func (p *Promoter) localReports(now time.Time) []messenger.MoveReport {
	var list []messenger.MoveReport
	for _, name := range slices.Sorted(maps.Keys(p.orderStates)) {
		st := p.orderStates[name]
		if st.ended() {
			continue
		}
		r := messenger.MoveReport{
			Name:        name,
			Era:         st.moveOrder.Era,
			Order:       st.moveOrder.ID,
			Age:         now.Sub(st.orderedAt),
			Switched:    st.decision.Step == blackboard.StepSwitched,
			AnySwitched: st.decision.Step == blackboard.StepSwitched,
			OldRunning:  p.o.RunningOnOtherVersions(st.moveOrder.Service, st.moveOrder.To),
			Confirmed:   st.confirmed,
			Evidence:    st.localCounts.records(st.moveOrder),
		}
		if st.decision.Outcome == blackboard.MoveRolledBack {
			r.Fault = st.decision.Reason
		}
		list = append(list, r)
	}
	return list
}

// sumZone returns the local reports aggregated with the last reports of the other VMs in the zone. It drops reports that are
// older than maxReportAge. The caller must hold p.mu.
func (p *Promoter) sumZone(now time.Time) []messenger.MoveReport {
	maps.DeleteFunc(p.vmReports, func(_ string, r report) bool {
		return now.Sub(r.at) > maxReportAge
	})
	sums := p.localReports(now)
	for i := range sums {
		s := &sums[i]
		order := p.orderStates[s.Name].moveOrder
		routes := routeCounts{}
		routes.add(order, s.Evidence)
		for _, r := range p.vmReports {
			for _, move := range r.moves {
				if move.Name == s.Name && move.Era == s.Era && move.Order == s.Order {
					s.Age = max(s.Age, move.Age)
					s.Switched = s.Switched && move.Switched
					s.AnySwitched = s.AnySwitched || move.AnySwitched
					s.OldRunning += move.OldRunning
					s.Fault = cmp.Or(s.Fault, move.Fault)
					s.Confirmed = cmp.Or(s.Confirmed, move.Confirmed)
					routes.add(order, move.Evidence)
				}
			}
		}
		s.Evidence = routes.records(order)
	}
	return sums
}

// summaries returns the evidence of all VMs, keyed by the names of the orders. The caller must hold p.mu.
func (p *Promoter) summaries(now time.Time) map[string]summary {
	if p.o.IsReader() {
		p.zoneReports[p.o.Zone] = report{
			at:    now,
			moves: p.sumZone(now),
		}
	}
	all := make(map[string]summary, len(p.orderStates))
	for name, st := range p.orderStates {
		all[name] = p.summary(st, now)
	}
	return all
}

func (p *Promoter) summary(st *orderState, now time.Time) summary {
	s := summary{
		routes:       routeCounts{},
		zoneUpToDate: now.Sub(p.zoneReports[p.o.Zone].at) <= maxReportAge,
	}
	if !s.zoneUpToDate {
		// Without a recent report of the zone, only the results of this VM are known. They may suffice to show that the new version
		// is bad.
		maps.Copy(s.routes, st.localCounts)
		return s
	}
	s.allZonesUpToDate, s.allSwitched = true, true
	for zone := range p.vmZones() {
		s.allZonesUpToDate = s.allZonesUpToDate && now.Sub(p.zoneReports[zone].at) <= maxReportAge
	}
	for _, r := range p.zoneReports {
		for _, move := range r.moves {
			if move.Name != st.name || move.Era != st.moveOrder.Era || move.Order != st.moveOrder.ID {
				continue
			}
			s.age = max(s.age, move.Age+now.Sub(r.at))
			s.rollbackReason = cmp.Or(s.rollbackReason, move.Fault)
			s.confirmed = cmp.Or(s.confirmed, move.Confirmed)
			s.routes.add(st.moveOrder, move.Evidence)
			if now.Sub(r.at) <= maxReportAge {
				s.allSwitched = s.allSwitched && move.Switched
				s.anySwitched = s.anySwitched || move.AnySwitched
				s.oldRunning += move.OldRunning
			}
		}
	}
	return s
}

// Server serves the RPC method Exchange to other VMs.
type Server struct {
	Promoter *Promoter
}

// Exchange stores the reports of the sending VM if it is in the same zone, and replies with the aggregated reports of all known
// zones. A VM of another zone receives only the report of this zone.
func (s *Server) Exchange(req messenger.MovesRequest, reply *messenger.MovesReply) (err error) {
	defer messenger.RecoverCall(&err)
	p := s.Promoter
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Timer.Now()
	inZone := req.Zone == p.o.Zone
	if inZone {
		p.vmReports[req.From] = report{
			at:    now,
			moves: req.Reports,
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(p.zoneReports)) {
		if inZone || zone == p.o.Zone {
			reply.Zones = append(reply.Zones, messenger.ZoneMoveReports{
				Zone:    zone,
				Age:     now.Sub(p.zoneReports[zone].at),
				Reports: p.zoneReports[zone].moves,
			})
		}
	}
	return nil
}

// exchanger exchanges reports with other VMs while a move runs.
type exchanger struct {
	promoter *Promoter
	// failedExchanges counts the failed exchanges with each zone. After a failure the next exchange goes to another VM of the
	// zone. Only the goroutine of run uses it.
	failedExchanges map[string]int
}

func (x *exchanger) run(ctx context.Context) {
	x.failedExchanges = map[string]int{}
	x.promoter.runWhileMoving(ctx, exchangeInterval, func(now time.Time) {
		x.exchange(ctx, now)
	})
}

// exchange sends the local reports to the reader of the zone. If this VM is the reader, it requests the aggregated reports of
// the other zones instead.
func (x *exchanger) exchange(ctx context.Context, now time.Time) {
	p := x.promoter
	if !p.o.IsReader() {
		p.mu.Lock()
		localReports := p.localReports(now)
		p.mu.Unlock()
		reader := p.o.ReaderVM()
		for _, vm := range p.readers(p.o.Zone) {
			if vm.Name == reader {
				p.exchangeWith(ctx, vm.Address, localReports)
			}
		}
		return
	}
	var wg sync.WaitGroup
	replied := map[string]*bool{}
	for zone := range p.vmZones() {
		vms := p.readers(zone)
		if zone == p.o.Zone || len(vms) == 0 {
			continue
		}
		ok := new(bool)
		replied[zone] = ok
		wg.Go(func() {
			*ok = p.exchangeWith(ctx, vms[x.failedExchanges[zone]%len(vms)].Address, nil)
		})
	}
	wg.Wait()
	for zone, ok := range replied {
		if !*ok {
			x.failedExchanges[zone]++
		}
	}
}

// exchangeWith sends reports to another VM and stores the zone reports of its reply. It returns false if the VM did not reply.
func (p *Promoter) exchangeWith(ctx context.Context, addr netip.AddrPort, localReports []messenger.MoveReport) bool {
	call, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply messenger.MovesReply
	err := p.o.Client.Call(call, addr, messenger.MethodMoves, messenger.MovesRequest{
		From:    p.o.VM,
		Zone:    p.o.Zone,
		Reports: localReports,
	}, &reply)
	if err != nil {
		p.o.Log.Info().Stringer("VM", addr).Err(err).Msg("A VM did not reply to an exchange of move reports.")
		return false
	}
	p.storeZoneReports(reply)
	return true
}

// storeZoneReports stores the zone reports of a reply that are newer than the stored ones. The reader of a zone ignores reports
// of its own zone, which it computes itself.
func (p *Promoter) storeZoneReports(reply messenger.MovesReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Timer.Now()
	for _, z := range reply.Zones {
		at := now.Add(-max(z.Age, 0))
		if z.Zone == p.o.Zone && p.o.IsReader() || !at.After(p.zoneReports[z.Zone].at) {
			continue
		}
		p.zoneReports[z.Zone] = report{
			at:    at,
			moves: z.Reports,
		}
	}
}
