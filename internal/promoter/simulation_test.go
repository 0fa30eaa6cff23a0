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
	// propagationDelay is the time until all VMs have received a change at the platform.
	propagationDelay  = 700 * time.Millisecond
	vmsPerZone        = 3
	oldVersion        = "v1"
	newVersion        = "v2"
	serversPerVersion = 9
	// rollbackTime is the maximum time for which a bad version may receive requests after badAnswerLimit bad answers.
	rollbackTime   = 5 * time.Second
	badAnswerLimit = 50
	// slowLatencyFactor is the ratio of the latency of a slow answer to that of a normal one.
	slowLatencyFactor = 5
)

// scenario describes the load on the service and the behavior of its new version.
type scenario struct {
	name     string
	rate     float64
	duration time.Duration
	// bad reports whether an answer of the new version fails or is slow. The parameter load is the number of requests in
	// progress on its server.
	bad func(route string, age time.Duration, load int) bool
	// slow is true if bad answers are slow, and false if they are failures.
	slow bool
	// isolated is the number of VMs without a connection to the other VMs and the platform during the move.
	isolated    int
	wantOutcome blackboard.MoveOutcome
}

// simulation simulates all VMs of a deployment without a network.
type simulation struct {
	t        *testing.T
	scenario scenario
	rng      *rand.Rand
	timer    *timer.Service
	vms      []*simVM
	order    blackboard.MoveOrder
	events   []event
	// loads contains the number of requests in progress on each server, keyed by server ID.
	loads map[string]int

	totalRequests, newRequests, badCount int
	badLimitReachedAt                    time.Time
	lateRequests                         int
	interruptedRequests                  int
	doneAt                               time.Duration
}

type simVM struct {
	promoter  *Promoter
	exchanger *exchanger
	board     *blackboard.Gateway
	addr      netip.AddrPort
	isolated  bool
	running   map[string]int
}

// event is a function that is called at a given time.
type event struct {
	at time.Time
	do func()
}

func newSimulation(t *testing.T, sc scenario, seed uint64) *simulation {
	s := &simulation{
		t:        t,
		scenario: sc,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		timer:    timer.NewVirtual(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)),
		loads:    map[string]int{},
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
	for i := range 2 * serversPerVersion {
		version := oldVersion
		if i >= serversPerVersion {
			version = newVersion
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
		s.addVM(vm, list, view, i >= len(list.VMs)-sc.isolated)
	}
	return s
}

func (s *simulation) addVM(vm blackboard.VM, list *blackboard.VMList, view *discoverer.View, isolated bool) {
	v := &simVM{
		board:    &blackboard.Gateway{},
		addr:     vm.Address,
		isolated: isolated,
		running:  map[string]int{},
	}
	v.board.VMs.Write(list)
	v.board.Servers.Write(view)
	reader := func() string {
		for _, candidate := range v.promoter.readers(vm.Zone) {
			if !s.vm(candidate.Address).isolated {
				return candidate.Name
			}
		}
		return ""
	}
	v.promoter = New(Options{
		VM:       vm.Name,
		Zone:     vm.Zone,
		Exposure: exposureLimits,
		Board:    v.board,
		Outcomes: &simOutcomeStore{
			simulation: s,
			vm:         v,
		},
		IsReader: func() bool {
			return reader() == vm.Name
		},
		ReaderVM: reader,
		RunningOnOtherVersions: func(string, string) int {
			return v.running[oldVersion]
		},
		Client: &simClient{
			simulation: s,
			vm:         v,
		},
		Timer: s.timer,
		Log:   zerolog.Nop(),
	})
	v.exchanger = &exchanger{
		promoter:        v.promoter,
		failedExchanges: map[string]int{},
	}
	s.vms = append(s.vms, v)
}

func (s *simulation) vm(addr netip.AddrPort) *simVM {
	for _, v := range s.vms {
		if v.addr == addr {
			return v
		}
	}
	return &simVM{}
}

// simClient calls other VMs directly.
type simClient struct {
	simulation *simulation
	vm         *simVM
}

func (c *simClient) Call(_ context.Context, addr netip.AddrPort, _ string, args, reply any) error {
	target := c.simulation.vm(addr)
	if c.vm.isolated || target.isolated {
		return errors.New("the VM is isolated")
	}
	s := &Server{
		Promoter: target.promoter,
	}
	return s.Exchange(args.(messenger.MovesRequest), reply.(*messenger.MovesReply))
}

// simOutcomeStore simulates the platform. It fails the test if a second final outcome is written.
type simOutcomeStore struct {
	simulation *simulation
	vm         *simVM
}

func (o *simOutcomeStore) SetOutcome(_ context.Context, _ string, order blackboard.MoveOrder, outcome blackboard.MoveOutcome) error {
	s := o.simulation
	if order.Revision != s.order.Revision {
		return storeclient.ErrConflict
	}
	assert.Assert(s.t, s.order.Outcome == "" || s.order.Outcome == blackboard.MoveRunning, "the outcome %s was written after the final outcome %s", outcome, s.order.Outcome)
	s.order.Revision++
	s.order.Outcome = outcome
	if outcome == blackboard.MoveDone {
		s.stopOldServers()
	}
	s.propagateOrder()
	return nil
}

// stopOldServers simulates the operator, who stops the old servers when a move is done.
func (s *simulation) stopOldServers() {
	s.doneAt = s.age()
	for _, v := range s.vms {
		s.interruptedRequests += v.running[oldVersion]
	}
}

// propagateOrder sends the current order to all VMs that are not isolated, after propagationDelay.
func (s *simulation) propagateOrder() {
	order := s.order
	s.events = append(s.events, event{
		at: s.timer.Now().Add(propagationDelay),
		do: func() {
			for _, v := range s.vms {
				if !v.isolated {
					v.promoter.SetOrders(order.Revision, map[string]blackboard.MoveOrder{
						"read": order,
					})
				}
			}
		},
	})
}

func (s *simulation) age() time.Duration {
	return s.timer.Now().Sub(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)) - simLeadTime
}

// simLeadTime is the simulated time before the order is given.
const simLeadTime = time.Second

func (s *simulation) run() {
	s.timer.Advance(simLeadTime)
	s.order = blackboard.MoveOrder{
		Service:  "read",
		To:       newVersion,
		Duration: s.scenario.duration,
		ID:       1,
		Revision: 1,
	}
	s.propagateOrder()
	for n := 0; s.age() < s.scenario.duration+2*time.Second; n++ {
		now := s.timer.Now()
		for i, v := range s.vms {
			s.runVM(v, n+i)
		}
		var later []event
		due := s.events
		s.events = nil
		for _, e := range due {
			if e.at.After(now) {
				later = append(later, e)
			} else {
				e.do()
			}
		}
		s.events = append(s.events, later...)
		if s.age() < s.scenario.duration {
			s.sendRequests()
		}
		s.timer.Advance(simStep)
	}
}

// runVM does the work of the goroutines of a VM that is due at step n.
func (s *simulation) runVM(v *simVM, n int) {
	now := s.timer.Now()
	p := v.promoter
	if n%int(decideInterval/simStep) == 0 {
		p.mu.Lock()
		if p.running() {
			p.decide(now)
		}
		due := p.dueWrites(now)
		p.mu.Unlock()
		for _, w := range due {
			if !v.isolated {
				w.run(context.Background())
			}
		}
	}
	if n%int(exchangeInterval/simStep) == 0 {
		v.exchanger.exchange(context.Background(), now)
	}
}

// sendRequests sends the requests of one simulation step to random VMs.
func (s *simulation) sendRequests() {
	expected := s.scenario.rate * simStep.Seconds()
	n := int(expected)
	if s.rng.Float64() < expected-float64(n) {
		n++
	}
	for range n {
		s.totalRequests++
		route := "common"
		if s.rng.IntN(4) == 0 {
			route = "other"
		}
		s.send(s.vms[s.rng.IntN(len(s.vms))], route)
	}
}

func (s *simulation) send(v *simVM, route string) {
	now := s.timer.Now()
	endpoints := v.board.Servers.Read().ByService["read"]
	if t, ok := v.board.TrafficShifts.Read().ByService["read"]; ok {
		usable, first := SelectServers(t, endpoints, s.rng.Float64(), now)
		endpoints = usable
		if len(first) > 0 {
			endpoints = first
		}
	} else {
		endpoints, _ = SelectServers(blackboard.TrafficShift{
			To: newVersion,
		}, endpoints, 1, now)
	}
	endpoint := endpoints[s.rng.IntN(len(endpoints))]
	s.loads[endpoint.ID]++
	v.running[endpoint.Version]++
	latency := time.Duration(40 * math.Exp(0.4*s.rng.NormFloat64()) * float64(time.Millisecond))
	code := classifier.OK
	if endpoint.Version == newVersion {
		latency, code = s.runNew(route, endpoint.ID, latency)
	}
	s.events = append(s.events, event{
		at: now.Add(latency),
		do: func() {
			s.loads[endpoint.ID]--
			v.running[endpoint.Version]--
			v.promoter.Observe("read", endpoint.Version, route, code, latency)
		},
	})
}

// runNew simulates a request to the new version and returns its latency and result.
func (s *simulation) runNew(route, server string, latency time.Duration) (time.Duration, classifier.Code) {
	now := s.timer.Now()
	s.newRequests++
	if s.badCount >= badAnswerLimit && now.Sub(s.badLimitReachedAt) > rollbackTime {
		s.lateRequests++
	}
	if s.scenario.bad == nil || !s.scenario.bad(route, s.age(), s.loads[server]) {
		return latency, classifier.OK
	}
	code := classifier.BackendFailed
	if s.scenario.slow {
		latency *= slowLatencyFactor
		code = classifier.OK
	}
	s.events = append(s.events, event{
		at: now.Add(latency),
		do: s.countBad,
	})
	return latency, code
}

func (s *simulation) countBad() {
	if s.badCount++; s.badCount == badAnswerLimit {
		s.badLimitReachedAt = s.timer.Now()
	}
}

// Simulates moves to good versions and to versions that are bad in each of the ways that the operator specifies, at 15 to 600
// requests per second, with all VMs connected and with some of them isolated. Guards against bad versions that receive more
// requests than the operator allows, or any request more than five seconds after their 50th bad answer, against moves to good
// versions that are not done in time, and against old servers that are stopped while requests are in progress on them.
func TestMovesUnderLoad(t *testing.T) {
	failsAtRandom := func(s *simulation) bool { return s.rng.IntN(2) == 0 }
	var current *simulation
	newVersions := []struct {
		name string
		// minRate is the request rate, per second, from which on a server occasionally runs several requests concurrently.
		minRate float64
		slow    bool
		bad     func(route string, age time.Duration, load int) bool
	}{
		{"good", 0, false, nil},
		{"fails at once", 0, false, func(string, time.Duration, int) bool { return failsAtRandom(current) }},
		{"slow at once", 0, true, func(string, time.Duration, int) bool { return true }},
		{"fails later", 0, false, func(_ string, age time.Duration, _ int) bool { return age > 4*time.Second && failsAtRandom(current) }},
		{"fails on one route", 0, false, func(route string, _ time.Duration, _ int) bool { return route == "other" }},
		{"fails under load", 100, false, func(_ string, _ time.Duration, load int) bool { return load > 1 }},
	}
	for _, rate := range []float64{15, 100, 600} {
		for _, duration := range []time.Duration{12 * time.Second, 30 * time.Second} {
			for _, isolated := range []int{0, 2} {
				for _, nv := range newVersions {
					if rate < nv.minRate {
						continue
					}
					sc := scenario{
						name:        nv.name,
						rate:        rate,
						duration:    duration,
						bad:         nv.bad,
						slow:        nv.slow,
						isolated:    isolated,
						wantOutcome: blackboard.MoveRolledBack,
					}
					if nv.bad == nil {
						sc.wantOutcome = blackboard.MoveDone
					}
					t.Run(fmt.Sprintf("%s/%v-per-second/%v/%d-isolated", nv.name, rate, duration, isolated), func(t *testing.T) {
						current = newSimulation(t, sc, 7)
						current.run()
						current.check()
					})
				}
			}
		}
	}
}

func (s *simulation) check() {
	t := s.t
	t.Logf("%d requests, %d to the new version, %d bad, outcome %s after %v", s.totalRequests, s.newRequests, s.badCount, s.order.Outcome, s.doneAt)
	if s.scenario.wantOutcome == blackboard.MoveDone {
		assert.Equal(t, s.order.Outcome, blackboard.MoveDone)
		assert.Assert(t, s.doneAt < s.scenario.duration, "the move was done after %v", s.doneAt)
		if s.scenario.isolated == 0 {
			assert.Equal(t, s.interruptedRequests, 0)
		}
		return
	}
	maxNewRequests := exposureLimits.Share*float64(s.totalRequests) + exposureLimits.Tolerance
	assert.Assert(t, float64(s.newRequests) <= maxNewRequests, "%d requests to the bad version, at most %v are allowed", s.newRequests, maxNewRequests)
	assert.Equal(t, s.lateRequests, 0)
	if s.badCount > 0 {
		assert.Assert(t, s.order.Outcome != blackboard.MoveDone || s.badCount < badAnswerLimit, "the move to a bad version was done after %d bad answers", s.badCount)
	}
}
