package installer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/installer"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/publisher"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// fakePlatform stores parts and a head in memory. While unavailable is true, Get and Watch fail.
type fakePlatform struct {
	storeclient.Store

	mu          sync.Mutex
	unavailable bool
	parts       map[string][]byte
	head        storeclient.Object
	vms         []storeclient.VM
	watches     int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{
		parts: map[string][]byte{},
	}
}

func (p *fakePlatform) Get(_ context.Context, _, name string) (storeclient.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	value, ok := p.parts[name]
	if p.unavailable || !ok {
		return storeclient.Object{}, storeclient.ErrUnavailable
	}
	return storeclient.Object{
		Value: value,
	}, nil
}

func (p *fakePlatform) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]storeclient.Object, error) {
	for ctx.Err() == nil {
		p.mu.Lock()
		p.watches++
		unavailable, head := p.unavailable, p.head
		p.mu.Unlock()
		if unavailable {
			return nil, storeclient.ErrUnavailable
		}
		if head.Version > after {
			return []storeclient.Object{head}, nil
		}
		time.Sleep(time.Millisecond)
	}
	return nil, ctx.Err()
}

func (p *fakePlatform) VMs(context.Context) ([]storeclient.VM, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vms, nil
}

// update calls f with mu held.
func (p *fakePlatform) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// put stores a generation of 60 zones in the given region and returns its head. The version of the head object increases with
// each write.
func (p *fakePlatform) put(t *testing.T, generation, version uint64, region string) messenger.ConfigHeadRecord {
	t.Helper()
	var zones parser.Set
	for i := range 60 {
		zones = append(zones, parser.AvailabilityZone{
			Name:   fmt.Sprintf("z%d", i),
			Region: region,
			State:  parser.ZoneInService,
		})
	}
	parts, err := publisher.EncodeParts(zones)
	assert.NilError(t, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	var sums string
	head := messenger.ConfigHeadRecord{
		Generation: generation,
	}
	for _, part := range parts {
		p.parts[part.Sum] = part.Value
		head.Parts = append(head.Parts, part.Sum)
		sums += `,"` + part.Sum + `"`
	}
	p.head = storeclient.Object{
		Name:    publisher.NameHead,
		Version: version,
		Value:   fmt.Appendf(nil, `{"Generation":%d,"Parts":[%s]}`, generation, sums[1:]),
	}
	return head
}

// fakeNetwork is a messenger client that calls FetchParts of the Installer at an address.
type fakeNetwork map[netip.AddrPort]*testVM

func (n fakeNetwork) Call(_ context.Context, addr netip.AddrPort, _ string, args, reply any) error {
	n[addr].installer.FetchParts(args.(*messenger.FetchPartsRequest), reply.(*messenger.FetchPartsReply))
	return nil
}

// testVM is an Installer with its dependencies.
type testVM struct {
	installer *installer.Installer
	board     *blackboard.Board
	recorder  *recorder.Recorder
	clock     *timer.Service

	mu      sync.Mutex
	records []string
}

func (v *testVM) Publish(kind messenger.RecordKind, key string, payload any) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.records = append(v.records, fmt.Sprintf("%d %s %v", kind, key, payload))
	return nil
}

func (v *testVM) publishedRecords() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.records...)
}

// startInstaller runs an Installer until the test ends. Its virtual clock advances about 100 times as fast as the wall clock.
func startInstaller(t *testing.T, p *fakePlatform, net fakeNetwork, self string, members *blackboard.Members) *testVM {
	t.Helper()
	v := &testVM{
		board: &blackboard.Board{},
		clock: timer.NewVirtual(time.Now()),
	}
	v.recorder = recorder.New(self, v.clock)
	v.board.Members.Write(members)
	v.installer = installer.New(installer.Options{
		VMName:           self,
		AvailabilityZone: "za",
		Board:            v.board,
		Store:            p,
		Client:           net,
		Publisher:        v,
		Timer:            v.clock,
		Recorder:         v.recorder,
		Logger:           logger.Discard(),
	})
	if m, ok := members.ByName[self]; ok {
		net[m.Address] = v
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { v.installer.Run(ctx) })
	wg.Go(func() {
		for ctx.Err() == nil {
			v.clock.Advance(100 * time.Millisecond)
			time.Sleep(time.Millisecond)
		}
	})
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return v
}

// membersOfZone returns n alive members of the zone za with the names a, b and so on.
func membersOfZone(n int) *blackboard.Members {
	m := &blackboard.Members{
		ByName: map[string]blackboard.Member{},
		ByZone: map[string][]blackboard.Member{},
	}
	for i := range n {
		member := blackboard.Member{
			Name:             string(rune('a' + i)),
			AvailabilityZone: "za",
			Address:          netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1+i)),
			State:            blackboard.MemberAlive,
		}
		m.ByName[member.Name] = member
		m.ByZone["za"] = append(m.ByZone["za"], member)
	}
	return m
}

func waitUntil(t *testing.T, condition string, f func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", condition)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

func (v *testVM) waitForGeneration(t *testing.T, generation uint64) {
	t.Helper()
	waitUntil(t, fmt.Sprintf("generation %d is installed", generation), func() bool {
		return v.board.Config.Read().Generation == generation
	})
}

func (v *testVM) countEvents(kind string) int {
	n := 0
	for _, e := range v.recorder.Events(recorder.Filter{}) {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// Guards against a VM that does not recover from an outage of the platform, and against one that installs an older generation
// when the platform returns a stale head.
func TestOutageAndStaleHead(t *testing.T) {
	p := newFakePlatform()
	p.update(func() { p.unavailable = true })
	v := startInstaller(t, p, fakeNetwork{}, "a", membersOfZone(1))
	waitUntil(t, "a watch has failed", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.watches > 2
	})
	p.put(t, 5, 10, "r5")
	p.update(func() { p.unavailable = false })
	v.waitForGeneration(t, 5)
	assert.Equal(t, len(v.board.Config.Read().Zones), 60)

	p.put(t, 4, 11, "r4")
	p.put(t, 4, 12, "r4")
	p.put(t, 6, 13, "r6")
	v.waitForGeneration(t, 6)
	v.installer.EnqueueReceivedHead(p.put(t, 5, 14, "r5"), "b")
	p.put(t, 7, 15, "r7")
	v.waitForGeneration(t, 7)
	assert.Equal(t, v.countEvents("GenerationInstalled"), 3)
	head, err := publisher.DecodeHead(p.head.Value)
	assert.NilError(t, err)
	waitUntil(t, "the head is published", func() bool { return len(v.publishedRecords()) == 3 })
	assert.Equal(t, v.publishedRecords()[2], fmt.Sprintf("%d current %v", messenger.RecordConfigHead, head.Record()))
}

// Guards against a VM that needs the platform for a generation that its peers have, and against parts that are installed although
// they do not match their checksums.
func TestPartsFromPeers(t *testing.T) {
	p := newFakePlatform()
	net := fakeNetwork{}
	source := startInstaller(t, p, net, "a", membersOfZone(2))
	head := p.put(t, 3, 1, "r")
	source.waitForGeneration(t, 3)

	offline := newFakePlatform()
	offline.update(func() { offline.unavailable = true })
	v := startInstaller(t, offline, net, "b", membersOfZone(2))
	v.installer.EnqueueReceivedHead(head, "a")
	v.waitForGeneration(t, 3)
	assert.Equal(t, len(v.publishedRecords()), 0)

	bad := newFakePlatform()
	bad.update(func() {
		for _, sum := range head.Parts {
			bad.parts[sum] = []byte("Kind: AvailabilityZone\nName: forged\n")
		}
	})
	isolated := startInstaller(t, bad, fakeNetwork{}, "c", &blackboard.Members{})
	isolated.installer.EnqueueReceivedHead(head, "nobody")
	good := newFakePlatform()
	next := good.put(t, 4, 1, "good")
	good.mu.Lock()
	for sum, value := range good.parts {
		bad.update(func() { bad.parts[sum] = value })
	}
	good.mu.Unlock()
	isolated.installer.EnqueueReceivedHead(next, "nobody")
	isolated.waitForGeneration(t, 4)
	assert.Equal(t, isolated.countEvents("GenerationInstalled"), 1)
}

// Guards against a published set that no VM can install because the platform does not return the parts to the VM that published
// them.
func TestPublishedPartsNeedNoPlatform(t *testing.T) {
	p := newFakePlatform()
	p.update(func() { p.unavailable = true })
	net := fakeNetwork{}
	v := startInstaller(t, p, net, "a", membersOfZone(2))
	other := startInstaller(t, p, net, "b", membersOfZone(2))
	parts, err := publisher.EncodeParts(parser.Set{
		parser.AvailabilityZone{
			Name:  "za",
			State: parser.ZoneInService,
		},
	})
	assert.NilError(t, err)
	head := messenger.ConfigHeadRecord{
		Generation: 2,
		Parts:      []string{parts[0].Sum},
	}
	v.installer.EnqueuePublishedHead(head, parts)
	v.waitForGeneration(t, 2)
	// The head is published after the installation.
	waitUntil(t, "the head is published", func() bool { return len(v.publishedRecords()) == 1 })
	other.installer.EnqueueReceivedHead(head, "a")
	other.waitForGeneration(t, 2)
	assert.Equal(t, len(v.publishedRecords()), 1)
}

// Guards against a VM that was replaced during an outage of the platform and never installs a configuration: the sender of the
// head has the name of the VM itself, and no other VM of its zone is running, so the parts have to come from another zone.
func TestRestartedVMFetchesPartsFromAnotherZone(t *testing.T) {
	net := fakeNetwork{}
	members := membersOfZone(2)
	a := members.ByName["a"]
	a.AvailabilityZone = "zb"
	members.ByName["a"] = a
	members.ByZone["za"] = members.ByZone["za"][1:]
	p := newFakePlatform()
	source := startInstaller(t, p, net, "a", membersOfZone(1))
	head := p.put(t, 3, 1, "r")
	source.waitForGeneration(t, 3)

	offline := newFakePlatform()
	offline.update(func() { offline.unavailable = true })
	v := startInstaller(t, offline, net, "b", members)
	v.installer.EnqueueReceivedHead(head, "b")
	v.waitForGeneration(t, 3)
}

// Guards against an installation that appears on the timeline before its publication because the publisher's clock is ahead.
func TestPlatformHeadAdvancesClock(t *testing.T) {
	p := newFakePlatform()
	ahead := recorder.Stamp{
		Wall: time.Now().Add(50 * time.Second).UnixMicro(),
	}
	p.put(t, 3, 1, "r")
	p.update(func() {
		head, err := publisher.DecodeHead(p.head.Value)
		assert.NilError(t, err)
		head.Stamp = ahead
		p.head.Value, err = json.Marshal(head)
		assert.NilError(t, err)
	})
	v := startInstaller(t, p, fakeNetwork{}, "a", membersOfZone(1))
	v.waitForGeneration(t, 3)
	for _, e := range v.recorder.Events(recorder.Filter{}) {
		assert.Assert(t, e.Stamp.Compare(ahead) > 0, "%+v", e)
	}
}

// Guards against a VM that replaces the installed head by a different head of the same generation.
func TestSecondHeadOfAGenerationIsRefused(t *testing.T) {
	p := newFakePlatform()
	v := startInstaller(t, p, fakeNetwork{}, "a", membersOfZone(1))
	first := p.put(t, 2, 1, "first")
	v.waitForGeneration(t, 2)
	p.put(t, 2, 2, "second")
	waitUntil(t, "the conflict is recorded", func() bool { return v.countEvents("HeadConflict") == 1 })
	assert.Equal(t, v.board.Config.Read().Zones["z0"].Region, "first")
	v.installer.EnqueueReceivedHead(first, "b")
	p.put(t, 3, 3, "third")
	v.waitForGeneration(t, 3)
	assert.Equal(t, v.countEvents("GenerationInstalled"), 2)
}

// Guards against more or fewer than two watchers in a zone, and against a VM that does not watch although no other VM of its zone
// is alive.
func TestTwoWatchersPerZone(t *testing.T) {
	for n := 1; n <= 9; n++ {
		m := membersOfZone(n)
		count := 0
		for name := range m.ByName {
			if installer.IsConfigWatcher(m, "za", name) {
				count++
			}
		}
		assert.Equal(t, count, min(n, 2))
	}
	assert.Assert(t, installer.IsConfigWatcher(&blackboard.Members{}, "za", "a"))
	m := membersOfZone(3)
	for i := range m.ByZone["za"] {
		m.ByZone["za"][i].State = blackboard.MemberSuspect
	}
	assert.Assert(t, installer.IsConfigWatcher(m, "za", "a"))
}

// Guards against a reply to a peer that lacks requested parts that the VM has, or whose parts do not match their checksums.
func TestFetchPartsReturnsRequestedParts(t *testing.T) {
	p := newFakePlatform()
	v := startInstaller(t, p, fakeNetwork{}, "a", membersOfZone(1))
	head := p.put(t, 1, 1, "r")
	v.waitForGeneration(t, 1)
	var reply messenger.FetchPartsReply
	v.installer.FetchParts(&messenger.FetchPartsRequest{
		Sums: append([]string{"unknown", head.Parts[0]}, head.Parts...),
	}, &reply)
	assert.Equal(t, len(reply.Parts), len(head.Parts))
	for sum, value := range reply.Parts {
		if publisher.Sum(value) != sum {
			t.Error(errors.New("a part does not match its checksum"))
		}
	}
}
