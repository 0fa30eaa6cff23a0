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

// directory is a list in memory that a board shows at once.
type directory struct {
	mu    sync.Mutex
	board *blackboard.Gateway
	vms   map[string]blackboard.VM
	self  blackboard.VM
	down  bool
	calls int
}

func newDirectory() *directory {
	return &directory{
		board: &blackboard.Gateway{},
		vms:   map[string]blackboard.VM{},
		self: blackboard.VM{
			Name:    "vm",
			Zone:    "north",
			Address: netip.MustParseAddrPort("10.0.0.1:80"),
		},
	}
}

func (d *directory) Add(_ context.Context, vm string, _ []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	if d.down {
		return errors.New("the platform is away")
	}
	d.vms[vm] = d.self
	d.show()
	return nil
}

func (d *directory) Remove(_ context.Context, vm string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	delete(d.vms, vm)
	d.show()
	return nil
}

// show writes the section; mu is held.
func (d *directory) show() {
	list := &blackboard.VMList{
		Loaded: true,
	}
	for _, vm := range d.vms {
		list.VMs = append(list.VMs, vm)
	}
	d.board.VMs.Write(list)
}

func (d *directory) set(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	d.show()
}

func (d *directory) lists(vm string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.vms[vm]
	return ok
}

func (d *directory) await(t *testing.T, vm string, want bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.lists(vm) == want {
			return poll.Success()
		}
		return poll.Continue("%s listed: %v", vm, !want)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

// run runs an Enroller for the length of the test.
func (d *directory) run(t *testing.T, absent ...string) *enroller.Enroller {
	e := enroller.New(enroller.Options{
		Self:      d.self,
		Board:     d.board,
		Directory: d,
		UnresponsiveVMs: func(context.Context, time.Time) []string {
			return absent
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

// Guards against a VM that is not on the list because the platform did not answer at its start, or because its entry was removed
// while it lives; and against one that puts itself back after it has left.
func TestAVMStaysOnTheListUntilItLeaves(t *testing.T) {
	d := newDirectory()
	d.down = true
	e := d.run(t)
	d.set(func() {})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.calls > 0 {
			return poll.Success()
		}
		return poll.Continue("no call yet")
	})
	d.set(func() { d.down = false })
	d.await(t, "vm", true)
	d.set(func() { delete(d.vms, "vm") })
	d.await(t, "vm", true)
	e.Deregister(t.Context())
	time.Sleep(time.Second)
	assert.Assert(t, !d.lists("vm"))
}

// Guards against calls of the platform by VMs that start again and are still on the list.
func TestAVMOnTheListWritesNothing(t *testing.T) {
	d := newDirectory()
	d.vms["vm"] = d.self
	d.set(func() {})
	d.run(t)
	time.Sleep(time.Second)
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Equal(t, d.calls, 0)
}

// Guards against VMs that are lost for good and stay on the list.
func TestAbsentVMsAreRemoved(t *testing.T) {
	d := newDirectory()
	d.vms["vm"] = d.self
	d.vms["lost"] = blackboard.VM{
		Name: "lost",
		Zone: "north",
	}
	d.set(func() {})
	d.run(t, "lost", "vm")
	d.await(t, "lost", false)
	assert.Assert(t, d.lists("vm"))
}
