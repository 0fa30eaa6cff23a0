// Package enroller maintains the platform's list of entry VMs: it adds the entry of this VM and removes the entries of VMs
// that are gone.
package enroller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/syncer"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// callTimeout bounds a call that adds or removes an entry.
	callTimeout = time.Second
	// period is the time between looks at the list while it does not change, and the pause after a failed call.
	period = 500 * time.Millisecond
	// listDelay is how long after a call the list of this VM may still be without it: the wait for a reader that failed and the
	// change to the next one.
	listDelay = 5 * time.Second
)

// Directory lists the entry VMs at the platform.
type Directory interface {
	// Add adds a VM or replaces its entry.
	Add(ctx context.Context, vm string, value []byte) error
	// Remove removes a VM. It is no error if the VM is not on the list.
	Remove(ctx context.Context, vm string) error
}

// Options are the collaborators of an Enroller.
type Options struct {
	// Self is the entry of this VM.
	Self blackboard.VM
	// FirstStart says that the whole deployment starts for the first time, so that no list has this VM yet.
	FirstStart bool
	Board      *blackboard.Gateway
	Directory  Directory
	// UnresponsiveVMs returns the VMs of the list that this VM knows to be gone.
	UnresponsiveVMs func(ctx context.Context, now time.Time) []string
	Timer           *timer.Service
	Log             zerolog.Logger
}

// Enroller writes the list. Its methods are safe for concurrent use.
type Enroller struct {
	o Options

	// writing orders the writes of this VM's own entry, so that an addition under way does not follow its removal.
	writing sync.Mutex
	leaving bool

	// changed is when this VM last changed each entry. It belongs to the goroutine of Run.
	changed map[string]time.Time
}

// New returns an Enroller that does not run yet.
func New(o Options) *Enroller {
	return &Enroller{
		o:       o,
		changed: map[string]time.Time{},
	}
}

// Run keeps the list until ctx ends. After Leave this VM is not added any more.
func (e *Enroller) Run(ctx context.Context) {
	tick := e.o.Timer.Subscribe(period)
	defer tick.Stop()
	for ctx.Err() == nil {
		news := e.o.Board.VMs.Changed()
		now := e.o.Timer.Now()
		if e.needsEntry(now) {
			e.add(ctx, now)
		}
		for _, name := range e.o.UnresponsiveVMs(ctx, now) {
			e.remove(ctx, name, now)
		}
		select {
		case <-ctx.Done():
			return
		case <-news:
		case <-tick.C:
		}
	}
}

// needsEntry reports whether the list lacks this VM as far as is known. Another VM may have taken this one for gone, or a removal by an
// earlier process of this VM may have been carried out late.
func (e *Enroller) needsEntry(now time.Time) bool {
	list := e.o.Board.VMs.Read()
	return (list.Loaded || e.o.FirstStart) && !slices.Contains(list.VMs, e.o.Self) && e.mayChange(e.o.Self.Name, now)
}

// mayChange reports whether the last change of an entry by this VM is old enough to be in the list.
func (e *Enroller) mayChange(name string, now time.Time) bool {
	at, ok := e.changed[name]
	return !ok || now.Sub(at) >= listDelay
}

func (e *Enroller) add(ctx context.Context, now time.Time) {
	e.writing.Lock()
	defer e.writing.Unlock()
	if e.leaving {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := syncer.EncodeVM(e.o.Self)
	if err == nil {
		err = e.o.Directory.Add(call, e.o.Self.Name, value)
	}
	if err != nil {
		e.o.Log.Warn().Err(err).Msg("This VM cannot be added to the list of VMs.")
		return
	}
	e.changed[e.o.Self.Name] = now
	e.o.Log.Info().Uint64("List", e.o.Board.VMs.Read().Revision).Msg("This VM was added to the list of VMs.")
}

func (e *Enroller) remove(ctx context.Context, name string, now time.Time) {
	if name == e.o.Self.Name || !e.mayChange(name, now) {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A failed removal is tried again as late as one that succeeded, since nobody waits for it.
	e.changed[name] = now
	err := e.o.Directory.Remove(call, name)
	e.o.Log.Info().Str("Gone", name).Uint64("List", e.o.Board.VMs.Read().Revision).Err(err).Msg("A VM that does not answer was removed from the list of VMs.")
}

// Deregister removes this VM from the list for good.
func (e *Enroller) Deregister(ctx context.Context) {
	e.writing.Lock()
	defer e.writing.Unlock()
	e.leaving = true
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := e.o.Directory.Remove(call, e.o.Self.Name); err != nil {
		e.o.Log.Warn().Err(err).Msg("This VM cannot be removed from the list of VMs.")
	}
}
