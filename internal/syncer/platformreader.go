package syncer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// watchWait is how long a watch waits for changes. Keep-alive probes detect a connection on which the platform has stopped
	// responding sooner than this; a watch that the platform has lost ends after this time.
	watchWait = 5 * time.Second
	// recoveryWait is the wait of a watch until the kind is up to date. It is the shortest wait that the platform's API can express.
	recoveryWait = time.Millisecond
	// callTimeout is the timeout of a call, and for watches the time that a reply may take beyond the wait.
	callTimeout = 1200 * time.Millisecond
	// listTimeout is the timeout of reading a list that may have several pages.
	listTimeout = 3 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call, which doubles with each failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// batchDelay is the pause after a watch that returned changes, so that the next call returns several changes together.
	batchDelay = 400 * time.Millisecond
)

// errOlder means that an answer of the platform is older than the objects of this VM.
var errOlder = errors.New("the answer of the platform is older than the objects that this VM has")

// platformReader keeps the ChangeLog of one kind in sync with the platform.
type platformReader struct {
	changes *ChangeLog
	source  storeclient.Source
	timer   *timer.Service
	log     zerolog.Logger

	platformDown bool
	downSince    time.Time
	backoff      time.Duration
	// upToDate is set while the last call has succeeded and its result was applied, so that a waiting watch delivers all further
	// changes.
	upToDate atomic.Bool
}

// run syncs the kind until ctx is cancelled. It reads the whole list unless the log is already synced in the current era of the
// platform, and reads it again each time that watch returns.
func (r *platformReader) run(ctx context.Context) {
	position, synced := r.changes.Position()
	synced = synced && position.Era >= r.source.Era()
	for ctx.Err() == nil {
		if !synced {
			sent := r.timer.Now()
			call, cancel := context.WithTimeout(ctx, listTimeout)
			b, err := r.source.ListKind(call, r.changes.kind, false)
			cancel()
			if err == nil && !r.changes.Replace(b) {
				err = errOlder
			}
			if !r.handleResult(ctx, err) {
				continue
			}
			r.markUpToDate(sent)
			position = b.Position()
		}
		r.watch(ctx, position)
		synced = false
	}
}

// watch applies changes from the platform until the platform no longer has the history since the position or is in another era, the
// log has moved on to another position, or ctx is cancelled.
func (r *platformReader) watch(ctx context.Context, position storeclient.Position) {
	for ctx.Err() == nil {
		wait := watchWait
		if !r.upToDate.Load() {
			// With watchWait, the first watch would return only with the next change or after that wait.
			wait = recoveryWait
		}
		sent := r.timer.Now()
		call, cancel := context.WithTimeout(ctx, wait+callTimeout)
		b, err := r.source.WatchKind(call, r.changes.kind, position.Revision, wait)
		cancel()
		if errors.Is(err, storeclient.ErrHistoryGone) {
			r.upToDate.Store(false)
			r.log.Info().Str("Kind", r.changes.kind).Uint64("Revision", position.Revision).Msg("The history of changes is no longer available; the whole list is read again.")
			return
		}
		if err == nil && b.Era < position.Era {
			err = errOlder
		}
		if !r.handleResult(ctx, err) {
			continue
		}
		if !r.changes.Apply(position, b) {
			r.upToDate.Store(false)
			return
		}
		r.markUpToDate(sent)
		position = b.Position()
		if len(b.Items) > 0 {
			r.timer.Sleep(ctx, batchDelay)
		}
	}
}

// markUpToDate records that the result of a call that was sent at a time has been applied.
func (r *platformReader) markUpToDate(sent time.Time) {
	r.changes.MarkCurrent(sent)
	r.upToDate.Store(true)
}

// handleResult records the result of a call, and pauses after a failure. It reports whether the call succeeded.
func (r *platformReader) handleResult(ctx context.Context, err error) bool {
	now := r.timer.Now()
	if err == nil {
		if r.platformDown {
			r.platformDown = false
			r.log.Info().Str("Kind", r.changes.kind).Dur("Away", now.Sub(r.downSince)).Msg("The platform answers again.")
		}
		r.changes.SetPlatformDown(false)
		r.backoff = 0
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	r.upToDate.Store(false)
	if !r.platformDown {
		r.platformDown = true
		r.downSince = now
		r.log.Warn().Str("Kind", r.changes.kind).Err(err).Msg("The platform does not answer.")
		r.changes.SetPlatformDown(true)
	}
	r.backoff = min(max(minBackoff, 2*r.backoff), maxBackoff)
	r.timer.Sleep(ctx, r.backoff/2+rand.N(r.backoff/2))
	return false
}
