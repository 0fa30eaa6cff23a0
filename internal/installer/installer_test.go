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

// platform keeps parts and a head in memory. While down is set, every call fails.
type platform struct {
	storeclient.Store

	mu      sync.Mutex
	down    bool
	parts   map[string][]byte
	head    storeclient.Object
	vms     []storeclient.VM
	watches int
}

func newPlatform() *platform {
	return &platform{
		parts: map[string][]byte{},
	}
}

func (p *platform) Get(_ context.Context, _, name string) (storeclient.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	value, ok := p.parts[name]
	if p.down || !ok {
		return storeclient.Object{}, storeclient.ErrUnavailable
	}
	return storeclient.Object{
		Value: value,
	}, nil
}

func (p *platform) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]storeclient.Object, error) {
	for ctx.Err() == nil {
		p.mu.Lock()
		p.watches++
		down, head := p.down, p.head
		p.mu.Unlock()
		if down {
			return nil, storeclient.ErrUnavailable
		}
		if head.Version > after {
			return []storeclient.Object{head}, nil
		}
		time.Sleep(time.Millisecond)
	}
	return nil, ctx.Err()
}

func (p *platform) VMs(context.Context) ([]storeclient.VM, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vms, nil
}

func (p *platform) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// put stores a generation that holds zones with a region and returns its head. The version stands for the order of writes.
func (p *platform) put(t *testing.T, generation, version uint64, region string) messenger.ConfigHeadRecord {
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

// network calls FetchParts of the watchers by address.
type network map[netip.AddrPort]*vm

func (n network) Call(_ context.Context, addr netip.AddrPort, _ string, args, reply any) error {
	return n[addr].watcher.FetchParts(args.(*messenger.FetchPartsRequest), reply.(*messenger.FetchPartsReply))
}

// vm is a watcher with its surroundings.
type vm struct {
	watcher  *installer.Installer
	board    *blackboard.Board
	recorder *recorder.Recorder
	clock    *timer.Service

	mu      sync.Mutex
	records []string
}

func (v *vm) Publish(kind messenger.RecordKind, key string, payload any) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.records = append(v.records, fmt.Sprintf("%d %s %v", kind, key, payload))
	return nil
}

func (v *vm) published() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.records...)
}

// start runs a watcher until the test ends. Its clock runs fast.
func start(t *testing.T, p *platform, net network, self string, members *blackboard.Members) *vm {
	t.Helper()
	v := &vm{
		board: &blackboard.Board{},
		clock: timer.NewVirtual(time.Now()),
	}
	v.recorder = recorder.New(self, v.clock)
	v.board.Members.Write(members)
	v.watcher = installer.New(installer.Options{
		Self:             self,
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
	wg.Go(func() { v.watcher.Run(ctx) })
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

// zone returns members of one zone; their names are a, b and so on.
func zone(n int) *blackboard.Members {
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

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

func (v *vm) installs(t *testing.T, generation uint64) {
	t.Helper()
	eventually(t, fmt.Sprintf("generation %d is installed", generation), func() bool {
		return v.board.Config.Read().Generation == generation
	})
}

func (v *vm) events(kind string) int {
	n := 0
	for _, e := range v.recorder.Events(recorder.Filter{}) {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// Guards against a VM that does not recover from an outage, or goes back when the platform returns an older head.
func TestOutageAndStaleHead(t *testing.T) {
	p := newPlatform()
	p.set(func() { p.down = true })
	v := start(t, p, network{}, "a", zone(1))
	eventually(t, "a watch has failed", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.watches > 2
	})
	p.put(t, 5, 10, "r5")
	p.set(func() { p.down = false })
	v.installs(t, 5)
	assert.Equal(t, len(v.board.Config.Read().Zones), 60)

	p.put(t, 4, 11, "r4")
	p.put(t, 4, 12, "r4")
	p.put(t, 6, 13, "r6")
	v.installs(t, 6)
	v.watcher.EnqueueReceivedHead(p.put(t, 5, 14, "r5"), "b")
	p.put(t, 7, 15, "r7")
	v.installs(t, 7)
	assert.Equal(t, v.events("GenerationInstalled"), 3)
	head, err := publisher.DecodeHead(p.head.Value)
	assert.NilError(t, err)
	eventually(t, "the head is published", func() bool { return len(v.published()) == 3 })
	assert.Equal(t, v.published()[2], fmt.Sprintf("%d current %v", messenger.RecordConfigHead, head.Record()))
}

// Guards against a VM that needs the platform for a generation that its peers have, and against parts that are taken unchecked.
func TestPartsFromPeers(t *testing.T) {
	p := newPlatform()
	net := network{}
	source := start(t, p, net, "a", zone(2))
	head := p.put(t, 3, 1, "r")
	source.installs(t, 3)

	empty := newPlatform()
	empty.set(func() { empty.down = true })
	v := start(t, empty, net, "b", zone(2))
	v.watcher.EnqueueReceivedHead(head, "a")
	v.installs(t, 3)
	assert.Equal(t, len(v.published()), 0)

	bad := newPlatform()
	bad.set(func() {
		for _, sum := range head.Parts {
			bad.parts[sum] = []byte("Kind: AvailabilityZone\nName: forged\n")
		}
	})
	lone := start(t, bad, network{}, "c", &blackboard.Members{})
	lone.watcher.EnqueueReceivedHead(head, "nobody")
	good := newPlatform()
	next := good.put(t, 4, 1, "good")
	good.mu.Lock()
	for sum, value := range good.parts {
		bad.set(func() { bad.parts[sum] = value })
	}
	good.mu.Unlock()
	lone.watcher.EnqueueReceivedHead(next, "nobody")
	lone.installs(t, 4)
	assert.Equal(t, lone.events("GenerationInstalled"), 1)
}

// Guards against a published set that nobody can install, because the platform does not return its parts to its publisher.
func TestPublishedPartsNeedNoPlatform(t *testing.T) {
	p := newPlatform()
	p.set(func() { p.down = true })
	net := network{}
	v := start(t, p, net, "a", zone(2))
	other := start(t, p, net, "b", zone(2))
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
	v.watcher.EnqueuePublishedHead(head, parts)
	v.installs(t, 2)
	// The head is published after the installation.
	eventually(t, "the head is published", func() bool { return len(v.published()) == 1 })
	other.watcher.EnqueueReceivedHead(head, "a")
	other.installs(t, 2)
	assert.Equal(t, len(v.published()), 1)
}

// Guards against a VM that never installs a configuration because it was replaced while the platform was down: the head carries
// its own name, and no other VM of its zone runs.
func TestRestartedVMTakesItsOwnHeadFromAnotherZone(t *testing.T) {
	net := network{}
	members := zone(2)
	a := members.ByName["a"]
	a.AvailabilityZone = "zb"
	members.ByName["a"] = a
	members.ByZone["za"] = members.ByZone["za"][1:]
	p := newPlatform()
	source := start(t, p, net, "a", zone(1))
	head := p.put(t, 3, 1, "r")
	source.installs(t, 3)

	empty := newPlatform()
	empty.set(func() { empty.down = true })
	v := start(t, empty, net, "b", members)
	v.watcher.EnqueueReceivedHead(head, "b")
	v.installs(t, 3)
}

// Guards against an installation that stands before its publication in the time line because the publisher's clock is ahead.
func TestHeadFromThePlatformCarriesTheClock(t *testing.T) {
	p := newPlatform()
	ahead := recorder.Stamp{
		Wall: time.Now().Add(50 * time.Second).UnixMicro(),
	}
	p.put(t, 3, 1, "r")
	p.set(func() {
		head, err := publisher.DecodeHead(p.head.Value)
		assert.NilError(t, err)
		head.Stamp = ahead
		p.head.Value, err = json.Marshal(head)
		assert.NilError(t, err)
	})
	v := start(t, p, network{}, "a", zone(1))
	v.installs(t, 3)
	for _, e := range v.recorder.Events(recorder.Filter{}) {
		assert.Assert(t, e.Stamp.Compare(ahead) > 0, "%+v", e)
	}
}

// Guards against a change of mind when two heads claim one generation.
func TestSecondHeadOfAGenerationIsRefused(t *testing.T) {
	p := newPlatform()
	v := start(t, p, network{}, "a", zone(1))
	first := p.put(t, 2, 1, "first")
	v.installs(t, 2)
	p.put(t, 2, 2, "second")
	eventually(t, "the conflict is recorded", func() bool { return v.events("HeadConflict") == 1 })
	assert.Equal(t, v.board.Config.Read().Zones["z0"].Region, "first")
	v.watcher.EnqueueReceivedHead(first, "b")
	p.put(t, 3, 3, "third")
	v.installs(t, 3)
	assert.Equal(t, v.events("GenerationInstalled"), 2)
}

// Guards against more or fewer than two watchers in a zone, and against a lone VM that waits for others.
func TestTwoWatchersPerZone(t *testing.T) {
	for n := 1; n <= 9; n++ {
		m := zone(n)
		count := 0
		for name := range m.ByName {
			if installer.IsConfigWatcher(m, "za", name) {
				count++
			}
		}
		assert.Equal(t, count, min(n, 2))
	}
	assert.Assert(t, installer.IsConfigWatcher(&blackboard.Members{}, "za", "a"))
	m := zone(3)
	for i := range m.ByZone["za"] {
		m.ByZone["za"][i].State = blackboard.MemberSuspect
	}
	assert.Assert(t, installer.IsConfigWatcher(m, "za", "a"))
}

// Guards against a reply to a peer that grows without bound or lacks what the VM has.
func TestFetchPartsIsBounded(t *testing.T) {
	p := newPlatform()
	v := start(t, p, network{}, "a", zone(1))
	head := p.put(t, 1, 1, "r")
	v.installs(t, 1)
	var reply messenger.FetchPartsReply
	err := v.watcher.FetchParts(&messenger.FetchPartsRequest{
		Sums: append([]string{"unknown", head.Parts[0]}, head.Parts...),
	}, &reply)
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Parts), len(head.Parts))
	for sum, value := range reply.Parts {
		if publisher.Sum(value) != sum {
			t.Error(errors.New("a part has another sum"))
		}
	}
}
