package syncer

import (
	"context"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/hasher"
)

// absentTime is the time without a question of a VM after which the reader of its zone looks whether it is gone. Restarts take less.
const absentTime = 20 * time.Second

// setSource notes the VM to follow, which is this one if it reads the platform itself.
func (f *Syncer) setSource(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.followed = name
	switch {
	case name != f.o.Name:
		f.readsSince = time.Time{}
		clear(f.asked)
	case f.readsSince.IsZero():
		f.readsSince = f.o.Timer.Now()
	}
}

// heard notes that a VM follows this one or has answered it.
func (f *Syncer) heard(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[name] = f.o.Timer.Now()
}

// UnresponsiveVMs returns the VMs of the zone that have not followed this VM for a long time and do not answer it either, as long as this VM
// is the one to read the platform. A VM that reaches no other VM takes itself for cut off and returns none.
func (f *Syncer) UnresponsiveVMs(ctx context.Context, now time.Time) []string {
	var gone []string
	connected := false
	for _, vm := range f.quiet(now) {
		if _, err := f.reach(ctx, vm.Address); err != nil {
			gone = append(gone, vm.Name)
			continue
		}
		f.heard(vm.Name)
		connected = true
	}
	if len(gone) == 0 || !connected && !f.reachesOthers(ctx, now) || ctx.Err() != nil {
		return nil
	}
	return gone
}

// quiet returns the VMs of the zone without a question since absentTime.
func (f *Syncer) quiet(now time.Time) []blackboard.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readsSince.IsZero() || now.Sub(f.readsSince) < absentTime {
		return nil
	}
	var quiet []blackboard.VM
	for _, vm := range f.o.Board.VMs.Read().VMs {
		if vm.Zone == f.o.Zone && vm.Name != f.o.Name && now.Sub(f.asked[vm.Name]) >= absentTime {
			quiet = append(quiet, vm)
		}
	}
	return quiet
}

// reachesOthers reports whether a VM has followed this one lately, or one of some VMs of other zones answers.
func (f *Syncer) reachesOthers(ctx context.Context, now time.Time) bool {
	f.mu.Lock()
	for _, at := range f.asked {
		if now.Sub(at) < absentTime {
			f.mu.Unlock()
			return true
		}
	}
	f.mu.Unlock()
	others := map[string]blackboard.VM{}
	var names []string
	for _, vm := range f.o.Board.VMs.Read().VMs {
		if vm.Zone != f.o.Zone {
			others[vm.Name] = vm
			names = append(names, vm.Name)
		}
	}
	ranked := hasher.Rank(f.o.Name, names)
	for _, name := range ranked[:min(len(ranked), maxAsked)] {
		if _, err := f.reach(ctx, others[name].Address); err == nil {
			return true
		}
	}
	return false
}
