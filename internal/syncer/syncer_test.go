package syncer_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/anvildyke/anvildyke/internal/balancer"
	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/budgeter"
	"github.com/anvildyke/anvildyke/internal/hasher"
	"github.com/anvildyke/anvildyke/internal/isolator"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/syncer"
	"github.com/anvildyke/anvildyke/internal/timer"
)

var budgetConfig = budgeter.Config{
	Window:         10 * time.Second,
	Ratio:          0.2,
	FixedAllowance: 54,
}

const (
	kindObject = "things"
	kindVM     = "vms"
)

var errUnavailable = errors.New("the platform does not answer")

// fakePlatform is an in-memory platform that can stop answering individual VMs.
type fakePlatform struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string][]storeclient.Batch
	// silent contains the names of VMs that the platform does not answer.
	silent  map[string]bool
	watches int
	// lists counts the calls that read the whole list of things.
	lists int
	// freshVMLists counts the calls that read the list of VMs in its latest version.
	freshVMLists int
	// staleUntil is the revision up to which stale lists contain changes.
	staleUntil uint64
	// failing is the kind whose watches fail while the platform answers other calls.
	failing string
	// era rises with each restore. seen contains the highest era in the answers to each VM.
	era  uint64
	seen map[string]uint64
}

func newPlatform() *fakePlatform {
	return &fakePlatform{
		kinds:  map[string][]storeclient.Batch{},
		silent: map[string]bool{},
		seen:   map[string]uint64{},
	}
}

// restore brings the platform back from the state at a revision, in the next era.
func (p *fakePlatform) restore(revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era++
	p.revision = revision
	p.staleUntil = min(p.staleUntil, revision)
	for kind, batches := range p.kinds {
		p.kinds[kind] = slices.DeleteFunc(slices.Clone(batches), func(b storeclient.Batch) bool {
			return b.Revision > revision
		})
	}
}

func (p *fakePlatform) put(kind, name, value string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.kinds[kind] = append(p.kinds[kind], storeclient.Batch{
		Revision: p.revision,
		Items: []storeclient.Item{
			{
				Name:  name,
				Value: []byte(value),
			},
		},
	})
}

func (p *fakePlatform) setSilent(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent[vm] = true
}

func (p *fakePlatform) since(kind string, after uint64) storeclient.Batch {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := storeclient.Batch{
		Era:      p.era,
		Revision: p.revision,
	}
	for _, change := range p.kinds[kind] {
		if change.Revision > after {
			b.Items = append(b.Items, change.Items...)
		}
	}
	return b
}

// until returns a stale list of the kind, which lacks the changes after staleUntil.
func (p *fakePlatform) until(kind string) storeclient.Batch {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := storeclient.Batch{
		Era:      p.era,
		Revision: p.staleUntil,
	}
	for _, change := range p.kinds[kind] {
		if change.Revision <= p.staleUntil {
			b.Items = append(b.Items, change.Items...)
		}
	}
	return b
}

// vmSource is the storeclient.Source of one VM.
type vmSource struct {
	platform *fakePlatform
	vm       string
}

func (v vmSource) checkReachable(ctx context.Context) error {
	v.platform.mu.Lock()
	silent := v.platform.silent[v.vm]
	v.platform.mu.Unlock()
	if silent {
		<-ctx.Done()
		return errUnavailable
	}
	v.platform.mu.Lock()
	v.platform.seen[v.vm] = v.platform.era
	v.platform.mu.Unlock()
	return nil
}

func (v vmSource) Era() uint64 {
	v.platform.mu.Lock()
	defer v.platform.mu.Unlock()
	return v.platform.seen[v.vm]
}

func (v vmSource) Ping(ctx context.Context) error {
	return v.checkReachable(ctx)
}

func (v vmSource) ListKind(ctx context.Context, kind string, allowStale bool) (storeclient.Batch, error) {
	if err := v.checkReachable(ctx); err != nil {
		return storeclient.Batch{}, err
	}
	if allowStale {
		return v.platform.until(kind), nil
	}
	if kind == kindVM {
		v.platform.mu.Lock()
		v.platform.freshVMLists++
		v.platform.mu.Unlock()
	}
	if kind == kindObject {
		v.platform.mu.Lock()
		v.platform.lists++
		v.platform.mu.Unlock()
	}
	return v.platform.since(kind, 0), nil
}

func (v vmSource) WatchKind(ctx context.Context, kind string, after uint64, wait time.Duration) (storeclient.Batch, error) {
	v.platform.mu.Lock()
	v.platform.watches++
	failing := v.platform.failing == kind
	v.platform.mu.Unlock()
	if failing {
		return storeclient.Batch{}, errUnavailable
	}
	end := time.Now().Add(wait)
	for {
		if err := v.checkReachable(ctx); err != nil {
			return storeclient.Batch{}, err
		}
		b := v.platform.since(kind, after)
		if len(b.Items) > 0 || time.Now().After(end) {
			return b, nil
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return storeclient.Batch{}, ctx.Err()
		}
	}
}

// fakeNetwork passes calls between the VMs of a test.
type fakeNetwork struct {
	// boards contains the board of each VM.
	boards  []*blackboard.Gateway
	mu      sync.Mutex
	servers map[netip.AddrPort]*syncer.FeedServer
	// unresponsive contains the addresses of VMs that are on the list and do not answer.
	unresponsive map[netip.AddrPort]bool
	// withoutEras makes all VMs reply like those of an earlier release, which state no eras.
	withoutEras bool
	// requested maps each VM to the addresses of the sources that it has requested updates from.
	requested map[string]map[netip.AddrPort]bool
	// longestTimeout is the longest timeout of a call to an unresponsive VM.
	longestTimeout time.Duration
	syncers        []*syncer.Syncer
}

func (n *fakeNetwork) Call(ctx context.Context, addr netip.AddrPort, _ string, args, reply any) error {
	n.mu.Lock()
	if req := args.(messenger.FollowRequest); req.Wait > 0 {
		if n.requested[req.From] == nil {
			n.requested[req.From] = map[netip.AddrPort]bool{}
		}
		n.requested[req.From][addr] = true
	}
	s := n.servers[addr]
	unresponsive := n.unresponsive[addr]
	withoutEras := n.withoutEras
	if end, ok := ctx.Deadline(); ok && unresponsive {
		n.longestTimeout = max(n.longestTimeout, time.Until(end))
	}
	n.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return ctx.Err()
	}
	if s == nil {
		return errors.New("the VM is not running")
	}
	follow := reply.(*messenger.FollowReply)
	err := s.Follow(args.(messenger.FollowRequest), follow)
	if withoutEras {
		follow.Eras = nil
		for i := range follow.Updates {
			follow.Updates[i].Era = 0
		}
	}
	return err
}

// recordingSink is a Sink that records the last value of each object.
type recordingSink struct {
	mu     sync.Mutex
	values map[string]string
	// outages counts the calls of PlatformDown, recoveries those of PlatformRecovered.
	outages    int
	recoveries int
	// currentAt is the last time that Current has received, and currentAtChange its value at the last call of Apply.
	currentAt       time.Time
	currentAtChange time.Time
}

func (s *recordingSink) Replace(b storeclient.Batch) {
	s.mu.Lock()
	s.values = map[string]string{}
	s.mu.Unlock()
	s.Apply(b)
}

func (s *recordingSink) Restore(b storeclient.Batch) {
	s.Replace(b)
}

func (s *recordingSink) Apply(b storeclient.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.currentAtChange = s.currentAt
	for _, item := range b.Items {
		if item.Deleted {
			delete(s.values, item.Name)
		} else {
			s.values[item.Name] = string(item.Value)
			if item.Retained {
				s.values[item.Name] += "*"
			}
		}
	}
}

func (s *recordingSink) PlatformDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outages++
}

func (s *recordingSink) Current(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.currentAt = at
}

func (s *recordingSink) PlatformRecovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recoveries++
}

func (s *recordingSink) get(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[name]
}

// startVMs starts n VMs of one zone, all of them on the platform's list.
func startVMs(t *testing.T, p *fakePlatform, n int) map[string]*recordingSink {
	t.Helper()
	sinks, _ := startVMsExcept(t, p, n)
	return sinks
}

// startVMsExcept starts n VMs of one zone except the unresponsive ones, which are only on the platform's list.
func startVMsExcept(t *testing.T, p *fakePlatform, n int, unresponsive ...string) (map[string]*recordingSink, *fakeNetwork) {
	t.Helper()
	network := &fakeNetwork{
		servers:      map[netip.AddrPort]*syncer.FeedServer{},
		unresponsive: map[netip.AddrPort]bool{},

		requested: map[string]map[netip.AddrPort]bool{},
	}
	sinks := map[string]*recordingSink{}
	var syncers []*syncer.Syncer
	for i := range n {
		name := fmt.Sprintf("vm-%d", i)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		value, err := syncer.EncodeVM(blackboard.VM{
			Name:    name,
			Zone:    "north",
			Address: addr,
		})
		assert.NilError(t, err)
		p.put(kindVM, name, string(value))
		if slices.Contains(unresponsive, name) {
			network.unresponsive[addr] = true
			continue
		}
		board := &blackboard.Gateway{}
		sinks[name] = &recordingSink{}
		vms := syncer.NewChangeLog(kindVM, &syncer.VMSink{
			Board:    board,
			Log:      zerolog.Nop(),
			OnChange: func(int) {},
		})
		s := syncer.New(syncer.Options{
			Name:   name,
			Zone:   "north",
			Logs:   []*syncer.ChangeLog{syncer.NewChangeLog(kindObject, sinks[name]), vms},
			VMLog:  vms,
			Client: network,
			Source: vmSource{
				platform: p,
				vm:       name,
			},
			Board:    board,
			Balancer: balancer.New(balancer.Config{}),
			Budgeter: budgeter.New(budgetConfig, 1),
			Isolator: isolator.New(nil, zerolog.Nop()),
			Timer:    timer.NewWall(),
			Log:      zerolog.Nop(),
		})
		network.servers[addr] = &syncer.FeedServer{
			Syncer: s,
		}
		syncers = append(syncers, s)
		network.syncers = append(network.syncers, s)
		network.boards = append(network.boards, board)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, s := range syncers {
		wg.Go(func() {
			s.Run(ctx)
		})
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return sinks, network
}

// waitForValue waits until the object a has the value on all VMs.
func waitForValue(t *testing.T, sinks map[string]*recordingSink, value string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for vm, s := range sinks {
			if got := s.get("a"); got != value {
				return poll.Continue("%s has %q", vm, got)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against a zone that receives no changes while the platform does not answer the reader. This once lasted 6 s.
func TestChangesReachZoneWhenReaderLosesPlatform(t *testing.T) {
	p := newPlatform()
	p.put(kindObject, "a", "1")
	sinks := startVMs(t, p, 6)
	waitForValue(t, sinks, "1")
	// Half of the VMs lose the platform. Whether the reader is one of them depends on the hashes of the names.
	for _, vm := range []string{"vm-0", "vm-2", "vm-4"} {
		p.setSilent(vm)
	}
	p.put(kindObject, "a", "2")
	waitForValue(t, sinks, "2")
}

// The platform stops answering the reader of a zone, and later all VMs. Guards against VMs that take the loss of their reader for an
// outage: servers that had been removed before were once used for up to 2 s longer (review case 2).
func TestLostReaderIsNoOutage(t *testing.T) {
	p := newPlatform()
	p.put(kindObject, "a", "1")
	sinks := startVMs(t, p, 3)
	waitForValue(t, sinks, "1")
	reader := hasher.Rank("follower", []string{"vm-0", "vm-1", "vm-2"})[0]
	p.setSilent(reader)
	p.put(kindObject, "a", "2")
	waitForValue(t, sinks, "2")
	for vm, s := range sinks {
		if vm != reader {
			s.mu.Lock()
			assert.Check(t, s.outages == 0 && s.recoveries == 0, "%s: %d outages, %d recoveries", vm, s.outages, s.recoveries)
			s.mu.Unlock()
		}
	}
	for vm := range sinks {
		p.setSilent(vm)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for vm, s := range sinks {
			s.mu.Lock()
			n := s.outages
			s.mu.Unlock()
			if n == 0 {
				return poll.Continue("%s knows of no outage", vm)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
}

// The reader of a zone stops responding just before a change. Guards against VMs that date a change by the time at which they learn of
// it: they once used removed servers for 1.2 s longer (review case 4).
func TestChangeIsNotOlderThanLastContact(t *testing.T) {
	p := newPlatform()
	p.put(kindObject, "a", "1")
	sinks, network := startVMsExcept(t, p, 3)
	waitForValue(t, sinks, "1")
	// Several exchanges with the reader and pings of the platform.
	time.Sleep(2 * time.Second)
	names := []string{"vm-0", "vm-1", "vm-2"}
	reader := hasher.Rank("follower", names)[0]
	network.mu.Lock()
	network.unresponsive[netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(slices.Index(names, reader))}), 80)] = true
	network.mu.Unlock()
	// The requests that the reader has already received are answered within 0.5 s. The next ones time out 1.2 s after they were sent.
	time.Sleep(600 * time.Millisecond)
	changed := time.Now()
	p.put(kindObject, "a", "2")
	waitForValue(t, sinks, "2")
	delete(sinks, reader)
	for vm, s := range sinks {
		s.mu.Lock()
		at := s.currentAtChange
		s.mu.Unlock()
		assert.Check(t, !at.After(changed) && changed.Sub(at) < 5*time.Second, "%s: current %v before the change", vm, changed.Sub(at))
	}
}

// The platform stops answering a third of all VMs, and in one zone these include all VMs that come first in reader order. Guards
// against VMs that try these readers one after the other: trying five of them once took 5 s, so that a configuration came into
// force too late.
func TestUnreachableReadersAreSkippedTogether(t *testing.T) {
	p := newPlatform()
	p.put(kindObject, "a", "1")
	const vms, unreachable = 9, 7
	sinks, network := startVMsExcept(t, p, vms)
	waitForValue(t, sinks, "1")
	var names []string
	for i := range vms {
		names = append(names, fmt.Sprintf("vm-%d", i))
	}
	ranked := hasher.Rank("follower", names)
	network.mu.Lock()
	clear(network.requested)
	network.mu.Unlock()
	for _, vm := range ranked[:unreachable] {
		p.setSilent(vm)
	}
	p.put(kindObject, "a", "2")
	waitForValue(t, sinks, "2")
	network.mu.Lock()
	defer network.mu.Unlock()
	// The failed reader, the next one, and a third one whose own ping to the platform has not timed out yet at that moment.
	const limit = 3
	assert.Assert(t, len(network.requested[ranked[unreachable]]) <= limit, "%d VMs were used as a source in turn", len(network.requested[ranked[unreachable]]))
}

// All VMs lose power, and some start again before the reader. Guards against starting VMs that wait for a VM without power while
// they refuse callers: 17 of 74 VMs once had no configuration for a second.
func TestStartupSkipsUnresponsiveVMs(t *testing.T) {
	p := newPlatform()
	p.put(kindObject, "a", "1")
	var names []string
	for i := range 8 {
		names = append(names, fmt.Sprintf("vm-%d", i))
	}
	sinks, network := startVMsExcept(t, p, len(names), hasher.Rank("follower", names)[:3]...)
	assert.Equal(t, len(sinks), 5)
	waitForValue(t, sinks, "1")
	network.mu.Lock()
	defer network.mu.Unlock()
	assert.Assert(t, network.longestTimeout > 0)
	assert.Assert(t, network.longestTimeout <= 300*time.Millisecond, "the timeout of a call to an unresponsive VM was %v", network.longestTimeout)
}

// Guards against permanently lost VMs that stay on the list, against running VMs that are reported as unresponsive, and against a
// partitioned VM that reports all others as unresponsive.
func TestOnlyReaderReportsUnresponsiveVMs(t *testing.T) {
	p := newPlatform()
	p.put(kindObject, "a", "1")
	sinks, network := startVMsExcept(t, p, 6, "vm-1", "vm-4")
	waitForValue(t, sinks, "1")
	later := time.Now().Add(time.Hour)
	unresponsive := func() []string {
		var reported []string
		for _, s := range network.syncers {
			reported = append(reported, s.UnresponsiveVMs(t.Context(), later)...)
		}
		slices.Sort(reported)
		return reported
	}
	assert.DeepEqual(t, unresponsive(), []string{"vm-1", "vm-4"})
	network.mu.Lock()
	for addr := range network.servers {
		network.unresponsive[addr] = true
	}
	network.mu.Unlock()
	assert.Equal(t, len(unresponsive()), 0)
}

// All VMs are killed while the platform does not answer. Guards against VMs that each read everything from the platform after it
// has recovered, because they could not read the list of VMs before. This once caused 2,900 calls.
func TestPlatformReadsAfterOutageAreLimited(t *testing.T) {
	p := newPlatform()
	p.put(kindObject, "a", "1")
	for i := range 20 {
		p.setSilent(fmt.Sprintf("vm-%d", i))
	}
	sinks := startVMs(t, p, 20)
	time.Sleep(time.Second)
	p.mu.Lock()
	clear(p.silent)
	p.mu.Unlock()
	waitForValue(t, sinks, "1")
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Assert(t, p.lists <= 3, "%d VMs read the list", p.lists)
}

// Guards against a number of platform calls that grows with the number of VMs in a zone.
func TestWatchCountDoesNotGrowWithVMs(t *testing.T) {
	p := newPlatform()
	p.put(kindObject, "a", "1")
	sinks := startVMs(t, p, 20)
	waitForValue(t, sinks, "1")
	for i := range 20 {
		p.put(kindObject, "a", fmt.Sprint("v", i))
		waitForValue(t, sinks, fmt.Sprint("v", i))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// The reader of the zone sends one watch after each of the 20 changes, and a few for the kind without changes. If all 20 VMs
	// sent a watch after each change, they would send 400.
	assert.Assert(t, p.watches < 150, "%d watches", p.watches)
}

// All VMs of a zone start again at the same moment, and the platform's stale list of VMs lacks some of them or all. Guards against a
// full-price call by each VM, against VMs that stay unknown, and against VMs that take themselves for the only one.
func TestRestartedVMsReadStaleList(t *testing.T) {
	const vms = 20
	for _, known := range []uint64{vms, vms / 2, 0} {
		t.Run(fmt.Sprint("entries in the stale list: ", known), func(t *testing.T) {
			p := newPlatform()
			p.staleUntil = known
			sinks, network := startVMsExcept(t, p, vms)
			p.put(kindObject, "a", "1")
			waitForValue(t, sinks, "1")
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				for _, board := range network.boards {
					if n := len(board.VMs.Read().VMs); n != vms {
						return poll.Continue("a VM knows %d VMs", n)
					}
				}
				return poll.Success()
			}, poll.WithTimeout(30*time.Second))
			p.mu.Lock()
			defer p.mu.Unlock()
			if known > 0 {
				assert.Assert(t, p.freshVMLists <= 2, "%d calls", p.freshVMLists)
			}
		})
	}
}

// Guards against an outage that counts as over for a kind whose watches still fail, because the platform answers a ping. Lapsed
// entries of servers would then get another grace period.
func TestPingDoesNotEndOutageOfKind(t *testing.T) {
	p := newPlatform()
	p.put(kindObject, "a", "1")
	sinks := startVMs(t, p, 1)
	waitForValue(t, sinks, "1")
	p.mu.Lock()
	p.failing = kindObject
	p.mu.Unlock()
	p.put(kindObject, "a", "2")
	time.Sleep(2 * time.Second)
	s := sinks["vm-0"]
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, s.recoveries, 0)
	assert.Equal(t, s.values["a"], "2")
}

// Guards against a reader that sends the whole list to every VM of its zone after it has read the list again.
func TestRelistIsForwardedAsChanges(t *testing.T) {
	l := syncer.NewChangeLog(kindObject, &recordingSink{})
	l.Replace(list(5, "a=1", "b=1", "c=1"))
	l.Replace(list(9, "a=1", "b=2", "d=1"))
	u, synced, _ := l.ChangesSince(at(5))
	assert.Assert(t, synced)
	assert.Assert(t, !u.Whole)
	var got []string
	for _, item := range u.Items {
		got = append(got, fmt.Sprintf("%s=%s %v", item.Name, item.Value, item.Deleted))
	}
	slices.Sort(got)
	assert.DeepEqual(t, got, []string{"b=2 false", "c= true", "d=1 false"})
	u, synced, _ = l.ChangesSince(at(2))
	assert.Assert(t, synced)
	assert.Assert(t, u.Whole)
	assert.Equal(t, len(u.Items), 3)
}

// The platform's list is large and all VMs of a zone start at once. Guards against a VM whose network link is saturated by whole
// lists, so that a configuration took 2.9 s to reach 300 VMs, and against a cached compressed list that does not match the
// changes that a VM is missing.
func TestLargeListsAreCompressed(t *testing.T) {
	l := syncer.NewChangeLog(kindObject, &recordingSink{})
	var objects []string
	total := 0
	for i := range 2000 {
		o := fmt.Sprintf("route-%d={\"host\":\"host.example\",\"path-prefix\":\"/a/%d/\"}", i, i)
		objects = append(objects, o)
		total += len(o)
	}
	l.Replace(list(5, objects...))
	whole, _, _ := l.ChangesSince(at(0))
	count := len(whole.Items)
	assert.NilError(t, l.Compress(whole))
	assert.Assert(t, len(whole.Packed) > 0 && len(whole.Packed)*5 < total, "%d bytes of %d", len(whole.Packed), total)
	assert.Equal(t, len(whole.Items), 0)
	items, err := syncer.DecodeItems(whole.FollowUpdate)
	assert.NilError(t, err)
	assert.Equal(t, len(items), count)

	l.Replace(list(9, objects[:500]...))
	changes, _, _ := l.ChangesSince(at(5))
	assert.NilError(t, l.Compress(changes))
	items, err = syncer.DecodeItems(changes.FollowUpdate)
	assert.NilError(t, err)
	assert.Equal(t, len(items), 1500)
	whole.Packed = whole.Packed[:100]
	_, err = syncer.DecodeItems(whole.FollowUpdate)
	assert.ErrorContains(t, err, kindObject)
}

// Two of ten VMs of a zone receive most of the requests. Guards against shares of the extra attempts that remain with VMs that
// receive few requests, and against shares that add up to more than the zone may use.
func TestExtraAttemptsAreSharedByLoad(t *testing.T) {
	p := newPlatform()
	p.put(kindObject, "a", "1")
	sinks, network := startVMsExcept(t, p, 1)
	waitForValue(t, sinks, "1")
	server := network.servers[netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 0}), 80)]
	loads := map[string]float64{}
	for i := range 10 {
		loads[fmt.Sprintf("other-%d", i)] = 10
	}
	loads["other-0"], loads["other-1"] = 100, 220
	shares := map[string]float64{}
	for range 2 {
		for name, load := range loads {
			var reply messenger.FollowReply
			assert.NilError(t, server.Follow(messenger.FollowRequest{
				From: name,
				Wait: time.Nanosecond,
				Load: load,
			}, &reply))
			shares[name] = reply.Share
		}
	}
	total := 0.0
	for _, s := range shares {
		total += s
	}
	assert.Assert(t, total <= 1.01, "%v", shares)
	assert.Assert(t, shares["other-1"] > 0.4, "%v", shares)
	assert.Assert(t, shares["other-5"] > 0.02, "%v", shares)
}

// Guards against an older list that reverts changes.
func TestOlderListIsIgnored(t *testing.T) {
	s := &recordingSink{}
	l := syncer.NewChangeLog(kindObject, s)
	l.Replace(list(9, "a=2"))
	l.Replace(list(5, "a=1"))
	assert.Equal(t, s.get("a"), "2")
	assert.Assert(t, !l.Apply(at(5), list(6, "a=1")))
	assert.Assert(t, l.Apply(at(9), list(12, "a=3")))
	assert.Equal(t, s.get("a"), "3")
}

func at(revision uint64) storeclient.Position {
	return storeclient.Position{
		Revision: revision,
	}
}

func list(revision uint64, objects ...string) storeclient.Batch {
	b := storeclient.Batch{
		Revision: revision,
	}
	for _, o := range objects {
		name, value, _ := strings.Cut(o, "=")
		b.Items = append(b.Items, storeclient.Item{
			Name:  name,
			Value: []byte(value),
		})
	}
	return b
}
