// Package enroller maintains the platform's list of entry VMs: it adds the entry of this VM and removes the entries of VMs
// that no longer respond.
package enroller

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/syncer"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// callTimeout is the timeout of a call that adds or removes an entry.
	callTimeout = time.Second
	// checkInterval is the interval at which the list is checked while it does not change, and the pause after a failed call.
	checkInterval = 500 * time.Millisecond
	// propagationDelay is how long it may take until a change made by this VM is visible in its copy of the list. It covers the
	// detection of a failed reader and the failover to the next one.
	propagationDelay = 5 * time.Second
	// rewriteSpread is the time over which VMs spread the writes of their entries after the platform has lost them, so that those of
	// 300 VMs stay far below the rate that the platform accepts.
	rewriteSpread = 2 * time.Second
)

// Directory updates the platform's list of entry VMs.
type Directory interface {
	// Add adds a VM or replaces its entry.
	Add(ctx context.Context, vm string, value []byte) error
	// Remove removes a VM. It returns no error if the VM is not on the list.
	Remove(ctx context.Context, vm string) error
}

// Options contains the entry of this VM and the dependencies of an Enroller.
type Options struct {
	// OwnEntry is the entry to maintain for this VM.
	OwnEntry blackboard.VM
	// FirstStart is set when the whole deployment starts for the first time. No list contains this VM then, so that it is added
	// before a list has been read.
	FirstStart bool
	Board      *blackboard.Gateway
	Directory  Directory
	// UnresponsiveVMs returns the names of listed VMs that this VM has found to be unresponsive. Their entries are removed.
	UnresponsiveVMs func(ctx context.Context, now time.Time) []string
	Timer           *timer.Service
	Log             zerolog.Logger
}

// Enroller maintains this VM's entry on the list and removes those of unresponsive VMs. Its methods are safe for concurrent use.
type Enroller struct {
	o Options

	// writeMu serializes the writes of this VM's own entry, so that an addition in progress does not complete after the removal.
	// It guards leaving.
	writeMu sync.Mutex
	leaving bool

	// changedAt maps each VM to the time at which this VM last changed its entry. It is accessed only by the goroutine of Run.
	changedAt map[string]time.Time
	// rewriteAt is the time from which this VM writes its entry again after the platform has lost it, the zero time otherwise. It is
	// accessed only by the goroutine of Run.
	rewriteAt time.Time
}

// New returns an Enroller. Run has to be called to start it.
func New(o Options) *Enroller {
	return &Enroller{
		o:         o,
		changedAt: map[string]time.Time{},
	}
}

// Run maintains the list until ctx is cancelled. After Deregister it no longer adds this VM.
func (e *Enroller) Run(ctx context.Context) {
	ticker := e.o.Timer.Subscribe(checkInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := e.o.Board.VMs.Changed()
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
		case <-changed:
		case <-ticker.C:
		}
	}
}

// needsEntry reports whether this VM's entry is missing from the list, as far as is known. Another VM may have removed it as
// unresponsive, or the platform may have carried out a removal by an earlier process of this VM late.
func (e *Enroller) needsEntry(now time.Time) bool {
	list := e.o.Board.VMs.Read()
	if slices.Contains(list.VMs, e.o.OwnEntry) {
		e.rewriteAt = time.Time{}
		return false
	}
	lost := e.o.OwnEntry
	lost.Missing = true
	if !slices.Contains(list.VMs, lost) {
		return (list.Loaded || e.o.FirstStart) && e.mayChange(e.o.OwnEntry.Name, now)
	}
	if e.rewriteAt.IsZero() {
		e.rewriteAt = now.Add(rand.N(rewriteSpread))
	}
	return !now.Before(e.rewriteAt) && e.mayChange(e.o.OwnEntry.Name, now)
}

// mayChange reports whether enough time has passed since this VM last changed the entry that the change is visible in the list.
func (e *Enroller) mayChange(name string, now time.Time) bool {
	at, ok := e.changedAt[name]
	return !ok || now.Sub(at) >= propagationDelay
}

func (e *Enroller) add(ctx context.Context, now time.Time) {
	e.writeMu.Lock()
	defer e.writeMu.Unlock()
	if e.leaving {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := syncer.EncodeVM(e.o.OwnEntry)
	if err == nil {
		err = e.o.Directory.Add(call, e.o.OwnEntry.Name, value)
	}
	if err != nil {
		e.o.Log.Warn().Err(err).Msg("This VM cannot be added to the list of VMs.")
		return
	}
	e.changedAt[e.o.OwnEntry.Name] = now
	e.o.Log.Info().Uint64("List", e.o.Board.VMs.Read().Revision).Msg("This VM was added to the list of VMs.")
}

func (e *Enroller) remove(ctx context.Context, name string, now time.Time) {
	if name == e.o.OwnEntry.Name || !e.mayChange(name, now) {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A failed removal is retried only after propagationDelay, like a successful one, because it is not urgent.
	e.changedAt[name] = now
	err := e.o.Directory.Remove(call, name)
	e.o.Log.Info().Str("Gone", name).Uint64("List", e.o.Board.VMs.Read().Revision).Err(err).Msg("The platform was asked to remove an unresponsive VM from the list of VMs.")
}

// Deregister removes this VM from the list, and prevents Run from adding it again.
func (e *Enroller) Deregister(ctx context.Context) {
	e.writeMu.Lock()
	defer e.writeMu.Unlock()
	e.leaving = true
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := e.o.Directory.Remove(call, e.o.OwnEntry.Name); err != nil {
		e.o.Log.Warn().Err(err).Msg("This VM cannot be removed from the list of VMs.")
	}
}
