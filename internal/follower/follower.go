// Package follower keeps sections of the blackboard in step with the kinds of objects at the platform.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/storer"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// watchWait is how long a watch waits for changes. A watch that the platform forgot is found after this time, which has to
	// fit into the few seconds within which a configuration has to be in force.
	watchWait = 4 * time.Second
	// callTimeout bounds a call without an answer, and what a watch may take beyond its wait.
	callTimeout = 1200 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed call. It doubles with each failure.
	retryMin = 100 * time.Millisecond
	retryMax = time.Second
)

// Sink takes what a Follower reads. Its methods are called from one goroutine.
type Sink[T any] interface {
	// Replace takes the whole list.
	Replace(b storer.Batch[T])
	// Apply takes changes since the last call.
	Apply(b storer.Batch[T])
	// Lost says that the platform does not answer, Returned that it does again.
	Lost()
	Returned()
}

// Options are the collaborators of a Follower.
type Options[T any] struct {
	// Kind names the feed in logs.
	Kind  string
	Feed  storer.Feed[T]
	Sink  Sink[T]
	Timer *timer.Service
	Log   zerolog.Logger
}

// Follower follows one feed.
type Follower[T any] struct {
	o Options[T]
	// lost is true while the last call failed.
	lost  bool
	since time.Time
	pause time.Duration
	// heard is the Unix time in milliseconds of the last answer, 0 before the first.
	heard atomic.Int64
}

// New returns a Follower that does not run yet.
func New[T any](o Options[T]) *Follower[T] {
	return &Follower[T]{
		o: o,
	}
}

// Run follows the feed until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	for ctx.Err() == nil {
		b, err := f.list(ctx)
		if !f.answered(ctx, err) {
			continue
		}
		f.o.Sink.Replace(b)
		f.follow(ctx, b.Revision)
	}
}

func (f *Follower[T]) list(ctx context.Context) (storer.Batch[T], error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	return f.o.Feed.List(ctx)
}

// follow watches until the history is gone or ctx ends.
func (f *Follower[T]) follow(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
		b, err := f.o.Feed.Watch(call, revision, watchWait)
		cancel()
		if errors.Is(err, storer.ErrHistoryGone) {
			f.o.Log.Info().Str("Kind", f.o.Kind).Uint64("Revision", revision).Msg("The history is gone and the list is read again.")
			return
		}
		if !f.answered(ctx, err) {
			continue
		}
		if len(b.Items) > 0 {
			f.o.Sink.Apply(b)
		}
		revision = max(revision, b.Revision)
	}
}

// answered notes the outcome of a call and pauses after a failure.
func (f *Follower[T]) answered(ctx context.Context, err error) bool {
	now := f.o.Timer.Now()
	if err == nil {
		if f.lost {
			f.lost = false
			f.o.Log.Info().Str("Kind", f.o.Kind).Dur("Away", now.Sub(f.since)).Msg("The platform answers again.")
			f.o.Sink.Returned()
		}
		f.pause = 0
		f.heard.Store(now.UnixMilli())
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	if !f.lost {
		f.lost = true
		f.since = now
		f.o.Log.Warn().Str("Kind", f.o.Kind).Err(err).Msg("The platform does not answer.")
		f.o.Sink.Lost()
	}
	f.pause = min(max(retryMin, 2*f.pause), retryMax)
	f.wait(ctx, f.pause/2+rand.N(f.pause/2))
	return false
}

func (f *Follower[T]) wait(ctx context.Context, d time.Duration) {
	end := f.o.Timer.After(d)
	defer end.Stop()
	select {
	case <-end.C:
	case <-ctx.Done():
	}
}
