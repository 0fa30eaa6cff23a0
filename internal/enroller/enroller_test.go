package enroller_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/enroller"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// fakeDirectory is an in-memory Directory that publishes each change to a blackboard at once.
type fakeDirectory struct {
	mu    sync.Mutex
	board *blackboard.Gateway
	vms   map[string]blackboard.VM
	self  blackboard.VM
	down  bool
	calls int
}

func newFakeDirectory() *fakeDirectory {
	return &fakeDirectory{
		board: &blackboard.Gateway{},
		vms:   map[string]blackboard.VM{},
		self: blackboard.VM{
			Name:    "vm",
			Zone:    "north",
			Address: netip.MustParseAddrPort("10.0.0.1:80"),
		},
	}
}

func (d *fakeDirectory) Add(_ context.Context, vm string, _ []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	if d.down {
		return errors.New("the platform does not answer")
	}
	d.vms[vm] = d.self
	d.publish()
	return nil
}

func (d *fakeDirectory) Remove(_ context.Context, vm string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	delete(d.vms, vm)
	d.publish()
	return nil
}

// publish writes the VMs section of the blackboard. The caller must hold mu.
func (d *fakeDirectory) publish() {
	list := &blackboard.VMList{
		Loaded: true,
	}
	for _, vm := range d.vms {
		list.VMs = append(list.VMs, vm)
	}
	d.board.VMs.Write(list)
}

func (d *fakeDirectory) update(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	d.publish()
}

func (d *fakeDirectory) contains(vm string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.vms[vm]
	return ok
}

func (d *fakeDirectory) waitListed(t *testing.T, vm string, want bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.contains(vm) == want {
			return poll.Success()
		}
		return poll.Continue("%s listed: %v", vm, !want)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

// run runs an Enroller until the test ends.
func (d *fakeDirectory) run(t *testing.T, unresponsive ...string) *enroller.Enroller {
	e := enroller.New(enroller.Options{
		OwnEntry:  d.self,
		Board:     d.board,
		Directory: d,
		UnresponsiveVMs: func(context.Context, time.Time) []string {
			return unresponsive
		},
		Timer: timer.NewWall(),
		Log:   zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		e.Run(ctx)
	})
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return e
}

// Guards against a running VM that stays off the list because the platform did not answer when it started or because its entry
// was removed, and against a VM that adds itself again after Deregister.
func TestVMStaysListedUntilDeregistered(t *testing.T) {
	d := newFakeDirectory()
	d.down = true
	e := d.run(t)
	d.update(func() {})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.calls > 0 {
			return poll.Success()
		}
		return poll.Continue("no call yet")
	})
	d.update(func() { d.down = false })
	d.waitListed(t, "vm", true)
	d.update(func() { delete(d.vms, "vm") })
	d.waitListed(t, "vm", true)
	e.Deregister(t.Context())
	time.Sleep(time.Second)
	assert.Assert(t, !d.contains("vm"))
}

// Guards against platform calls by restarted VMs that are still on the list.
func TestListedVMWritesNothing(t *testing.T) {
	d := newFakeDirectory()
	d.vms["vm"] = d.self
	d.update(func() {})
	d.run(t)
	time.Sleep(time.Second)
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Equal(t, d.calls, 0)
}

// Guards against permanently lost VMs that stay on the list.
func TestUnresponsiveVMsAreRemoved(t *testing.T) {
	d := newFakeDirectory()
	d.vms["vm"] = d.self
	d.vms["lost"] = blackboard.VM{
		Name: "lost",
		Zone: "north",
	}
	d.update(func() {})
	d.run(t, "lost", "vm")
	d.waitListed(t, "lost", false)
	assert.Assert(t, d.contains("vm"))
}

// Guards against a VM that does not write its entry again after the platform has lost it, and against VMs that all do so at once.
func TestLostEntryIsWrittenAgainLater(t *testing.T) {
	d := newFakeDirectory()
	lost := d.self
	lost.Missing = true
	d.update(func() { d.vms[d.self.Name] = lost })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := timer.NewVirtual(time.Unix(1000, 0))
	e := enroller.New(enroller.Options{
		OwnEntry:        d.self,
		Board:           d.board,
		Directory:       d,
		UnresponsiveVMs: func(context.Context, time.Time) []string { return nil },
		Timer:           clock,
		Log:             zerolog.Nop(),
	})
	delays := map[time.Duration]bool{}
	go e.Run(ctx)
	for range 20 {
		lostAt := clock.Now()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			clock.Advance(50 * time.Millisecond)
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.vms[d.self.Name] == d.self {
				return poll.Success()
			}
			return poll.Continue("the entry has not been written again")
		}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
		delay := clock.Now().Sub(lostAt)
		assert.Assert(t, delay <= 4*time.Second, delay)
		delays[delay.Round(500*time.Millisecond)] = true
		clock.Advance(10 * time.Second)
		d.update(func() { d.vms[d.self.Name] = lost })
	}
	assert.Assert(t, len(delays) > 1, "all delays are alike: %v", delays)
}
