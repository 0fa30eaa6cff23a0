package gossiper

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// cluster runs gossipers on one virtual clock without sockets. Exchanges run one after the other.
type cluster struct {
	clock *timer.Service
	vms   []*Gossiper
	// refusing and silent are the addresses that refuse connections or lose messages.
	refusing map[netip.AddrPort]bool
	silent   map[netip.AddrPort]bool
	list     []storeclient.VM
	// mu guards the counters, because a departure exchanges with several VMs at once.
	mu       sync.Mutex
	records  int
	payloads int
	bytes    int
	// encoder counts the bytes. It stands for all connections, each of which carries gob's type descriptions only once.
	encoder *gob.Encoder
}

func newCluster() *cluster {
	c := &cluster{
		clock:    timer.NewVirtual(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)),
		refusing: map[netip.AddrPort]bool{},
		silent:   map[netip.AddrPort]bool{},
	}
	c.encoder = gob.NewEncoder(counter{&c.bytes})
	return c
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7400)
}

// add starts a VM that knows the first one by its settings.
func (c *cluster) add(name, zone string) *Gossiper {
	clock := c.clock
	g := New(Options{
		Name:             name,
		AvailabilityZone: zone,
		Address:          address(len(c.vms)),
		Peers:            []netip.AddrPort{address(0)},
		Board:            &blackboard.Board{},
		Timer:            clock,
		Recorder:         recorder.New(name, clock),
		Logger:           logger.Discard(),
		Store: &list{
			c: c,
		},
	})
	g.o.Client = &wire{
		c:    c,
		from: g,
	}
	c.vms = append(c.vms, g)
	return g
}

type list struct {
	storeclient.Store
	c *cluster
}

func (l *list) VMs(context.Context) ([]storeclient.VM, error) {
	return l.c.list, nil
}

type wire struct {
	c    *cluster
	from *Gossiper
}

func (w *wire) Call(_ context.Context, addr netip.AddrPort, _ string, args, reply any) error {
	if w.c.silent[addr] || w.c.silent[w.from.o.Address] {
		return classifier.Errorf(classifier.Timeout, "no answer")
	}
	if w.c.refusing[addr] {
		return classifier.Errorf(classifier.NotSent, "refused: %w", syscall.ECONNREFUSED)
	}
	for _, g := range w.c.vms {
		if g.o.Address == addr {
			req, out := args.(*messenger.ExchangeRequest), reply.(*messenger.ExchangeReply)
			g.answer(req, out)
			g.deliver()
			w.c.count(req, req.Records)
			w.c.count(out, out.Records)
			return nil
		}
	}
	return classifier.Errorf(classifier.Timeout, "nobody")
}

type counter struct {
	n *int
}

func (c counter) Write(p []byte) (int, error) {
	*c.n += len(p)
	return len(p), nil
}

func (c *cluster) count(message any, records []messenger.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records += len(records)
	for _, r := range records {
		if len(r.Payload) > 0 {
			c.payloads++
		}
	}
	_ = c.encoder.Encode(message)
}

// run passes rounds of exchanges, with everything that Run does between them.
func (c *cluster) run(rounds int) {
	for range rounds {
		c.clock.Advance(ExchangePeriod)
		for _, g := range c.vms {
			if c.refusing[g.o.Address] {
				continue
			}
			if c.clock.Now().Sub(g.started)%RefreshPeriod == 0 {
				g.refresh()
			}
			g.mu.Lock()
			targets := g.pickTargets(c.clock.Now())
			g.mu.Unlock()
			for _, t := range targets {
				g.exchange(context.Background(), t)
			}
			g.age()
			g.write()
		}
	}
}

func (c *cluster) state(g *Gossiper, name string) blackboard.MemberState {
	return g.o.Board.Members.Read().ByName[name].State
}

// Guards against records that do not reach all VMs or travel again and again, and against refreshes that leave their zone.
func TestRecordsSpreadAsDeltas(t *testing.T) {
	c := newCluster()
	for i := range 12 {
		c.add(fmt.Sprintf("vm%d", i), fmt.Sprintf("zone%d", i%3))
	}
	assert.NilError(t, c.vms[5].Publish(messenger.RecordReplica, "r", messenger.ReplicaRecord{
		State:     blackboard.ReplicaWarm,
		Allowance: 3,
	}))
	c.run(30)
	for _, g := range c.vms {
		assert.Equal(t, len(g.o.Board.Members.Read().ByName), 12)
		assert.Equal(t, g.o.Board.Replicas.Read().ByName["r"].Owner, "vm5")
		assert.Assert(t, g.MembershipKnown())
	}
	c.payloads = 0
	c.run(40)
	assert.Equal(t, c.payloads, 0)
	for _, g := range c.vms {
		for _, m := range g.o.Board.Members.Read().ByName {
			assert.Equal(t, m.State, blackboard.MemberAlive, "%s sees %s", g.o.Name, m.Name)
		}
	}
}

// Guards against a VM that counts as informed, and so becomes ready, before its sections have what the exchange brought: its first
// request then ended as NoReplica.
func TestInformedVMsHaveTheRecordsInTheirSections(t *testing.T) {
	c := newCluster()
	a := c.add("a", "zone")
	assert.NilError(t, a.Publish(messenger.RecordReplica, "r", messenger.ReplicaRecord{
		State: blackboard.ReplicaWarm,
	}))
	a.write()
	b := c.add("b", "zone")
	for _, to := range b.pickTargets(c.clock.Now()) {
		b.exchange(context.Background(), to)
	}
	assert.Assert(t, !b.InitialExchangeDone(), "%d replicas are known", len(b.o.Board.Replicas.Read().ByName))
	b.write()
	assert.Assert(t, b.InitialExchangeDone())
	assert.Equal(t, len(b.o.Board.Replicas.Read().ByName), 1)
}

// Guards against a silent member that counts as alive, reports that outlive their owner, a refused address that is not taken
// for Gone, and a restarted VM that stays Gone or does not get the old records again.
func TestMemberStates(t *testing.T) {
	c := newCluster()
	a, b, far := c.add("a", "zone"), c.add("b", "zone"), c.add("far", "other")
	assert.NilError(t, b.Publish(messenger.RecordReplica, "r", messenger.ReplicaRecord{
		State: blackboard.ReplicaWarm,
	}))
	c.run(10)
	assert.Equal(t, a.o.Board.Replicas.Read().ByName["r"].State, blackboard.ReplicaWarm)
	c.silent[b.o.Address] = true
	c.run(18)
	assert.Equal(t, c.state(a, "b"), blackboard.MemberSuspect)
	c.run(8)
	assert.Equal(t, a.o.Board.Replicas.Read().ByName["r"].State, blackboard.ReplicaUnknown)
	assert.Equal(t, c.state(far, "b"), blackboard.MemberSuspect)
	assert.Equal(t, far.o.Board.Replicas.Read().ByName["r"].State, blackboard.ReplicaUnknown)

	c.silent[b.o.Address] = false
	c.refusing[b.o.Address] = true
	c.run(4)
	assert.Equal(t, c.state(a, "b"), blackboard.MemberGone)
	assert.Equal(t, c.state(far, "b"), blackboard.MemberGone)

	// The clock of the new process is behind that of the old one.
	c.refusing[b.o.Address] = false
	again := c.add("b", "zone")
	again.o.Address = b.o.Address
	c.vms = []*Gossiper{a, again, far}
	again.incarnation -= 5
	again.refresh()
	c.run(12)
	assert.Equal(t, c.state(a, "b"), blackboard.MemberAlive)
	assert.Equal(t, c.state(far, "b"), blackboard.MemberAlive)
	assert.Equal(t, len(again.o.Board.Members.Read().ByName), 3)
}

// Guards against a departed or dropped VM that stays a member, and records of Gone members that are kept for ever.
func TestDepartureAndList(t *testing.T) {
	c := newCluster()
	a, b, d := c.add("a", "zone"), c.add("b", "zone"), c.add("d", "zone")
	a.o.Board.Config.Write(&blackboard.Config{
		Generation: 1,
		Servers: map[string]parser.BackendServer{
			"server": {},
		},
	})
	for _, name := range []string{"a", "b", "d", "new", "server"} {
		c.list = append(c.list, storeclient.VM{
			Name:             name,
			AvailabilityZone: "zone",
			Address:          netip.MustParseAddrPort("10.9.9.9:1"),
			Leaving:          name == "server",
		})
	}
	assert.NilError(t, b.Publish(messenger.RecordReplica, "server", messenger.ReplicaRecord{}))
	a.readList(context.Background())
	c.run(5)
	assert.Assert(t, b.o.Board.Replicas.Read().ByName["server"].Leaving)
	assert.Equal(t, c.state(a, "new"), blackboard.MemberSuspect)
	_, isMember := a.o.Board.Members.Read().ByName["server"]
	assert.Assert(t, !isMember)

	b.AnnounceDeparture(context.Background(), blackboard.MemberLeaving)
	c.run(2)
	assert.Equal(t, c.state(a, "b"), blackboard.MemberLeaving)
	c.list = c.list[:2]
	c.silent[d.o.Address] = true
	a.readList(context.Background())
	a.readList(context.Background())
	c.run(1)
	assert.Equal(t, c.state(a, "d"), blackboard.MemberAlive)
	c.run(18)
	assert.Equal(t, c.state(a, "d"), blackboard.MemberGone)
	late := c.add("late", "zone")
	c.run(18)
	assert.Equal(t, c.state(late, "d"), blackboard.MemberGone)
	_, isMember = a.o.Board.Members.Read().ByName["new"]
	assert.Assert(t, !isMember)
	c.silent[b.o.Address] = true
	c.run(2 + int(GoneRetention/ExchangePeriod))
	_, isMember = a.o.Board.Members.Read().ByName["d"]
	assert.Assert(t, !isMember)
}

// Guards against backend servers that are drained, or VMs that are declared gone, because one list is empty or stale.
func TestStaleList(t *testing.T) {
	c := newCluster()
	a := c.add("a", "zone")
	assert.NilError(t, a.Publish(messenger.RecordReplica, "server", messenger.ReplicaRecord{}))
	leaving := func() bool {
		c.run(1)
		return a.o.Board.Replicas.Read().ByName["server"].Leaving
	}
	full := []storeclient.VM{
		{
			Name: "a",
		},
		{
			Name: "server",
		},
	}
	for _, step := range []struct {
		list    []storeclient.VM
		leaving bool
	}{
		{full, false},
		{nil, false},
		{nil, false},
		{nil, false},
		{full[:1], false},
		{full, false},
		{full[:1], false},
		{full[:1], true},
		{full, false},
	} {
		c.list = step.list
		a.readList(context.Background())
		assert.Equal(t, leaving(), step.leaving)
	}
}

// Guards against crashes that are counted wrongly, a verdict that is overwritten, a record map without bound, and records that
// reach a subscriber out of order.
func TestCrashesAndVerdicts(t *testing.T) {
	c := newCluster()
	a, b := c.add("a", "zone"), c.add("b", "zone")
	crash := func(g *Gossiper, fingerprint uint64, n int) {
		c.clock.Advance(time.Millisecond)
		assert.NilError(t, g.Publish(messenger.RecordCrash, fmt.Sprintf("%d/%s", fingerprint, g.o.Name), messenger.CrashRecord{
			Fingerprint: fingerprint,
			Crashes:     n,
		}))
	}
	crash(a, 1, 1)
	crash(b, 1, 1)
	crash(a, 2, 1)
	crash(b, 2, 0)
	c.run(6)
	for _, g := range c.vms {
		q := g.o.Board.Quarantine.Read()
		assert.Assert(t, q.Refuses(1) && !q.HasCrashed(2))
	}
	crash(a, 2, 1)
	c.run(1)
	assert.Equal(t, a.o.Board.Quarantine.Read().Crashes[2], 1)

	verdict := func(g *Gossiper, o blackboard.MoveOutcome) {
		assert.NilError(t, g.Publish(messenger.RecordMoveOutcome, "move", messenger.MoveOutcomeRecord{
			Outcome: o,
		}))
	}
	verdict(b, blackboard.MoveRolledBack)
	c.run(2)
	verdict(a, blackboard.MoveDone)
	c.run(2)
	for _, g := range c.vms {
		assert.Assert(t, isTakenBack(g.store.entries[id{
			kind: messenger.RecordMoveOutcome,
			key:  "move",
		}].record))
	}

	var got []string
	a.Subscribe(messenger.RecordVersionStats, func(r messenger.Record) {
		got = append(got, r.Key)
		if r.Key == "0" {
			// A subscriber may publish; what it publishes follows later.
			assert.NilError(t, a.Publish(messenger.RecordVersionStats, "inner", messenger.VersionStatsRecord{}))
		}
	})
	for i := range 3 {
		assert.NilError(t, a.Publish(messenger.RecordVersionStats, fmt.Sprint(i), messenger.VersionStatsRecord{}))
	}
	assert.DeepEqual(t, got, []string{"0", "inner", "1", "2"})

	for i := range MaxVerdicts + 10 {
		assert.NilError(t, a.Publish(messenger.RecordMoveOutcome, fmt.Sprint(i), messenger.MoveOutcomeRecord{}))
	}
	assert.Equal(t, a.store.counts[messenger.RecordMoveOutcome], MaxVerdicts)
}

// Guards against a payload that cannot be read and stops the others of its message.
func TestBrokenPayload(t *testing.T) {
	c := newCluster()
	a := c.add("a", "zone")
	a.answer(&messenger.ExchangeRequest{
		From: "x",
		Records: []messenger.Record{{
			Kind:    messenger.RecordMember,
			Key:     "x",
			Origin:  "x",
			Seq:     uint64(c.clock.Now().UnixMicro()),
			Payload: bytes.Repeat([]byte{255}, 40),
		}},
	}, &messenger.ExchangeReply{})
	a.age()
	a.write()
	assert.Equal(t, len(a.o.Board.Members.Read().ByName), 1)
}

// Measures the traffic of a VM at rest, in bytes per second and direction, and the records in it. The case of 777 VMs takes
// 90 s and 3 GB.
func BenchmarkTraffic(b *testing.B) {
	for _, zones := range []int{1, 7} {
		b.Run(fmt.Sprintf("zones=%d", zones), func(b *testing.B) {
			for b.Loop() {
				c := newCluster()
				for i := range 111 * zones {
					c.add(fmt.Sprintf("entry-vm-%d", i), fmt.Sprintf("zone-%d", i%zones))
				}
				c.run(40)
				c.bytes, c.records, c.payloads = 0, 0, 0
				c.run(20)
				perVM := float64(len(c.vms)) * 10
				b.ReportMetric(float64(c.bytes)/perVM, "B/s-per-VM")
				b.ReportMetric(float64(c.records)/perVM, "records/s-per-VM")
				b.ReportMetric(float64(c.payloads)/perVM, "payloads/s-per-VM")
			}
		})
	}
}
