package promoter

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	simStep = 10 * time.Millisecond
	// storeDelay is the time until all VMs know of a change at the platform.
	storeDelay  = 700 * time.Millisecond
	vmsPerZone  = 3
	oldService  = "v1"
	newService  = "v2"
	serversEach = 9
	// rollbackTime is how long after its 50th bad answer a bad version may get requests.
	rollbackTime = 5 * time.Second
	badAnswers   = 50
	// slowTimes is how many times as long a slow answer takes.
	slowTimes = 5
)

// pattern is a load on the service, and how its new version answers.
type pattern struct {
	name     string
	rate     float64
	duration time.Duration
	// bad reports whether an answer of the new version fails or is slow. The load is the number of requests that run at its server.
	bad func(route string, age time.Duration, load int) bool
	// slow says that bad answers are slow, not failures.
	slow bool
	// lost is the number of VMs without a path to the others in the move.
	lost int
	want blackboard.MoveOutcome
}

// fleet plays all VMs of a deployment without a network.
type fleet struct {
	t      *testing.T
	p      pattern
	rng    *rand.Rand
	timer  *timer.Service
	vms    []*simVM
	move   blackboard.MoveOrder
	events []event
	// loads are the running requests of each server.
	loads map[string]int

	total, fresh, bad int
	badAt             time.Time
	late              int
	cut               int
	doneAt            time.Duration
}

// simVM is one entry VM.
type simVM struct {
	migrator *Promoter
	exchange *exchanger
	board    *blackboard.Gateway
	addr     netip.AddrPort
	cut      bool
	running  map[string]int
}

// event is something that happens later.
type event struct {
	at time.Time
	do func()
}

func newFleet(t *testing.T, p pattern, seed uint64) *fleet {
	f := &fleet{
		t:     t,
		p:     p,
		rng:   rand.New(rand.NewPCG(seed, 1)),
		timer: timer.NewVirtual(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)),
		loads: map[string]int{},
	}
	list := &blackboard.VMList{
		Loaded: true,
	}
	for z, zone := range []string{"a", "b", "c"} {
		for i := range vmsPerZone {
			list.VMs = append(list.VMs, blackboard.VM{
				Name:    fmt.Sprintf("%s-%d", zone, i),
				Zone:    zone,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 0, byte(i)}), 80),
			})
		}
	}
	view := &discoverer.View{
		Loaded:    true,
		ByService: map[string][]discoverer.Endpoint{},
	}
	for i := range 2 * serversEach {
		version := oldService
		if i >= serversEach {
			version = newService
		}
		view.ByService["read"] = append(view.ByService["read"], discoverer.Endpoint{
			Server: &discoverer.Server{
				ID:      fmt.Sprintf("%s-%d", version, i),
				Service: "read",
				Version: version,
				Slots:   4,
			},
		})
	}
	for i, vm := range list.VMs {
		f.add(vm, list, view, i >= len(list.VMs)-p.lost)
	}
	return f
}

func (f *fleet) add(vm blackboard.VM, list *blackboard.VMList, view *discoverer.View, cut bool) {
	v := &simVM{
		board:   &blackboard.Gateway{},
		addr:    vm.Address,
		cut:     cut,
		running: map[string]int{},
	}
	v.board.VMs.Write(list)
	v.board.Servers.Write(view)
	reader := func() string {
		for _, x := range v.migrator.readers(vm.Zone) {
			if !f.vm(x.Address).cut {
				return x.Name
			}
		}
		return ""
	}
	v.migrator = New(Options{
		VM:       vm.Name,
		Zone:     vm.Zone,
		Exposure: allowed,
		Board:    v.board,
		Outcomes: &simOrders{
			fleet: f,
			vm:    v,
		},
		IsReader: func() bool {
			return reader() == vm.Name
		},
		ReaderVM: reader,
		RunningOnOtherVersions: func(string, string) int {
			return v.running[oldService]
		},
		Client: &simClient{
			fleet: f,
			vm:    v,
		},
		Timer: f.timer,
		Log:   zerolog.Nop(),
	})
	v.exchange = &exchanger{
		migrator: v.migrator,
		failures: map[string]int{},
	}
	f.vms = append(f.vms, v)
}

func (f *fleet) vm(addr netip.AddrPort) *simVM {
	for _, v := range f.vms {
		if v.addr == addr {
			return v
		}
	}
	return &simVM{}
}

// simClient calls other VMs directly.
type simClient struct {
	fleet *fleet
	vm    *simVM
}

func (c *simClient) Call(_ context.Context, addr netip.AddrPort, _ string, args, reply any) error {
	target := c.fleet.vm(addr)
	if c.vm.cut || target.cut {
		return errors.New("the VM is cut off")
	}
	s := &Server{
		Promoter: target.migrator,
	}
	return s.Exchange(args.(messenger.MovesRequest), reply.(*messenger.MovesReply))
}

// simOrders is the platform.
type simOrders struct {
	fleet *fleet
	vm    *simVM
}

func (o *simOrders) SetOutcome(_ context.Context, _ string, m blackboard.MoveOrder, outcome blackboard.MoveOutcome) error {
	f := o.fleet
	if m.Revision != f.move.Revision {
		return storeclient.ErrConflict
	}
	assert.Assert(f.t, f.move.Outcome == "" || f.move.Outcome == blackboard.MoveRunning, "a second outcome %s after %s", outcome, f.move.Outcome)
	f.move.Revision++
	f.move.Outcome = outcome
	if outcome == blackboard.MoveDone {
		f.stopOld()
	}
	f.spread()
	return nil
}

// stopOld is what the operator does when a move is done.
func (f *fleet) stopOld() {
	f.doneAt = f.age()
	for _, v := range f.vms {
		f.cut += v.running[oldService]
	}
}

// spread tells all VMs what the platform holds.
func (f *fleet) spread() {
	move := f.move
	f.events = append(f.events, event{
		at: f.timer.Now().Add(storeDelay),
		do: func() {
			for _, v := range f.vms {
				if !v.cut {
					v.migrator.SetOrders(move.Revision, map[string]blackboard.MoveOrder{
						"read": move,
					})
				}
			}
		},
	})
}

func (f *fleet) age() time.Duration {
	return f.timer.Now().Sub(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)) - simLead
}

// simLead is the time before the order in which nothing is played.
const simLead = time.Second

func (f *fleet) play() {
	f.timer.Advance(simLead)
	f.move = blackboard.MoveOrder{
		Service:  "read",
		To:       newService,
		Duration: f.p.duration,
		ID:       1,
		Revision: 1,
	}
	f.spread()
	for n := 0; f.age() < f.p.duration+2*time.Second; n++ {
		now := f.timer.Now()
		for i, v := range f.vms {
			f.tick(v, n+i)
		}
		var later []event
		due := f.events
		f.events = nil
		for _, e := range due {
			if e.at.After(now) {
				later = append(later, e)
			} else {
				e.do()
			}
		}
		f.events = append(f.events, later...)
		if f.age() < f.p.duration {
			f.request()
		}
		f.timer.Advance(simStep)
	}
}

// tick plays the goroutines of a VM.
func (f *fleet) tick(v *simVM, n int) {
	now := f.timer.Now()
	m := v.migrator
	if n%int(period/simStep) == 0 {
		m.mu.Lock()
		if m.running() {
			m.decide(now)
		}
		due := m.due(now)
		m.mu.Unlock()
		for _, w := range due {
			if !v.cut {
				w.run(context.Background())
			}
		}
	}
	if n%int(exchangePeriod/simStep) == 0 {
		v.exchange.exchange(context.Background(), now)
	}
}

// request sends the requests of one step.
func (f *fleet) request() {
	expected := f.p.rate * simStep.Seconds()
	n := int(expected)
	if f.rng.Float64() < expected-float64(n) {
		n++
	}
	for range n {
		f.total++
		route := "common"
		if f.rng.IntN(4) == 0 {
			route = "other"
		}
		f.send(f.vms[f.rng.IntN(len(f.vms))], route)
	}
}

func (f *fleet) send(v *simVM, route string) {
	now := f.timer.Now()
	members := v.board.Servers.Read().ByService["read"]
	if t, ok := v.board.TrafficShifts.Read().ByService["read"]; ok {
		usable, first := SelectServers(t, members, f.rng.Float64(), now)
		members = usable
		if len(first) > 0 {
			members = first
		}
	} else {
		members, _ = SelectServers(blackboard.TrafficShift{
			To: newService,
		}, members, 1, now)
	}
	m := members[f.rng.IntN(len(members))]
	f.loads[m.ID]++
	v.running[m.Version]++
	latency := time.Duration(40 * math.Exp(0.4*f.rng.NormFloat64()) * float64(time.Millisecond))
	code := classifier.OK
	if m.Version == newService {
		latency, code = f.runNew(route, m.ID, latency)
	}
	f.events = append(f.events, event{
		at: now.Add(latency),
		do: func() {
			f.loads[m.ID]--
			v.running[m.Version]--
			v.migrator.Observe("read", m.Version, route, code, latency)
		},
	})
}

// runNew runs a request at the new version and returns how it ends.
func (f *fleet) runNew(route, server string, latency time.Duration) (time.Duration, classifier.Code) {
	now := f.timer.Now()
	f.fresh++
	if f.bad >= badAnswers && now.Sub(f.badAt) > rollbackTime {
		f.late++
	}
	if f.p.bad == nil || !f.p.bad(route, f.age(), f.loads[server]) {
		return latency, classifier.OK
	}
	code := classifier.BackendFailed
	if f.p.slow {
		latency *= slowTimes
		code = classifier.OK
	}
	f.events = append(f.events, event{
		at: now.Add(latency),
		do: f.countBad,
	})
	return latency, code
}

func (f *fleet) countBad() {
	if f.bad++; f.bad == badAnswers {
		f.badAt = f.timer.Now()
	}
}

// Load patterns: a new version that is bad in one of the ways that the operator names, at rates from 15 to 600 requests a second, and
// good ones, also while some VMs are cut off. Guards against bad versions that get more requests than the operator allows or get any
// five seconds after their 50th bad answer, against good ones that are not done in time, and against old servers that are stopped
// while requests run at them.
func TestMovesUnderLoad(t *testing.T) {
	half := func(f *fleet) bool { return f.rng.IntN(2) == 0 }
	var current *fleet
	kinds := []struct {
		name string
		// least is the rate at which a server runs more than one request at a time now and then.
		least float64
		slow  bool
		bad   func(route string, age time.Duration, load int) bool
	}{
		{"good", 0, false, nil},
		{"fails at once", 0, false, func(string, time.Duration, int) bool { return half(current) }},
		{"slow at once", 0, true, func(string, time.Duration, int) bool { return true }},
		{"fails later", 0, false, func(_ string, age time.Duration, _ int) bool { return age > 4*time.Second && half(current) }},
		{"fails on one route", 0, false, func(route string, _ time.Duration, _ int) bool { return route == "other" }},
		{"fails under load", 100, false, func(_ string, _ time.Duration, load int) bool { return load > 1 }},
	}
	for _, rate := range []float64{15, 100, 600} {
		for _, duration := range []time.Duration{12 * time.Second, 30 * time.Second} {
			for _, lost := range []int{0, 2} {
				for _, k := range kinds {
					if rate < k.least {
						continue
					}
					p := pattern{
						name:     k.name,
						rate:     rate,
						duration: duration,
						bad:      k.bad,
						slow:     k.slow,
						lost:     lost,
						want:     blackboard.MoveRolledBack,
					}
					if k.bad == nil {
						p.want = blackboard.MoveDone
					}
					t.Run(fmt.Sprintf("%s/%v-a-second/%v/%d-cut", k.name, rate, duration, lost), func(t *testing.T) {
						current = newFleet(t, p, 7)
						current.play()
						current.check()
					})
				}
			}
		}
	}
}

func (f *fleet) check() {
	t := f.t
	t.Logf("%d requests, %d at the new version, %d bad, outcome %s after %v", f.total, f.fresh, f.bad, f.move.Outcome, f.doneAt)
	if f.p.want == blackboard.MoveDone {
		assert.Equal(t, f.move.Outcome, blackboard.MoveDone)
		assert.Assert(t, f.doneAt < f.p.duration, "the move was done after %v", f.doneAt)
		if f.p.lost == 0 {
			assert.Equal(t, f.cut, 0)
		}
		return
	}
	most := allowed.Share*float64(f.total) + allowed.Tolerance
	assert.Assert(t, float64(f.fresh) <= most, "%d requests at the bad version, allowed are %v", f.fresh, most)
	assert.Equal(t, f.late, 0)
	if f.bad > 0 {
		assert.Assert(t, f.move.Outcome != blackboard.MoveDone || f.bad < badAnswers, "a bad version is done after %d bad answers", f.bad)
	}
}
