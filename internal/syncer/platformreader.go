package syncer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// watchWait is how long a watch waits for changes. Keep-alive probes find a connection that went silent sooner; a watch that
	// the platform forgot is found after this time.
	watchWait = 5 * time.Second
	// lostWait is that time while the platform does not answer, the least that can be stated.
	lostWait = time.Millisecond
	// callTimeout bounds a call without an answer, and what a watch may take beyond its wait.
	callTimeout = 1200 * time.Millisecond
	// listTimeout bounds the reading of a list of several pages.
	listTimeout = 3 * time.Second
	// retryMin and retryMax bound the pause after a failed call. It doubles with each failure.
	retryMin = 100 * time.Millisecond
	retryMax = time.Second
	// gatherTime is the pause after changes, so that changes that come together are read by one call.
	gatherTime = 400 * time.Millisecond
)

// direct keeps a Log in step with the platform.
type direct struct {
	log    *ChangeLog
	source storeclient.Source
	timer  *timer.Service
	out    zerolog.Logger

	lost  bool
	since time.Time
	pause time.Duration
}

// run follows the kind until ctx ends.
func (d *direct) run(ctx context.Context) {
	revision, synced := d.log.Revision()
	for ctx.Err() == nil {
		if !synced {
			call, cancel := context.WithTimeout(ctx, listTimeout)
			b, err := d.source.ListKind(call, d.log.kind)
			cancel()
			if !d.answered(ctx, err) {
				continue
			}
			d.log.Replace(b)
			revision = b.Revision
		}
		d.watch(ctx, revision)
		synced = false
	}
}

// watch follows the changes until they are not known any more or ctx ends.
func (d *direct) watch(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		wait := watchWait
		if d.lost {
			// The first answer after an outage says at once that it is over.
			wait = lostWait
		}
		call, cancel := context.WithTimeout(ctx, wait+callTimeout)
		b, err := d.source.WatchKind(call, d.log.kind, revision, wait)
		cancel()
		if errors.Is(err, storeclient.ErrHistoryGone) {
			d.out.Info().Str("Kind", d.log.kind).Uint64("Revision", revision).Msg("The history is gone and the list is read again.")
			return
		}
		if !d.answered(ctx, err) {
			continue
		}
		if !d.log.Apply(revision, b) {
			return
		}
		revision = b.Revision
		if len(b.Items) > 0 {
			d.timer.Sleep(ctx, gatherTime)
		}
	}
}

// answered notes the outcome of a call and pauses after a failure.
func (d *direct) answered(ctx context.Context, err error) bool {
	now := d.timer.Now()
	if err == nil {
		if d.lost {
			d.lost = false
			d.out.Info().Str("Kind", d.log.kind).Dur("Away", now.Sub(d.since)).Msg("The platform answers again.")
		}
		d.log.SetPlatformDown(false)
		d.pause = 0
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	if !d.lost {
		d.lost = true
		d.since = now
		d.out.Warn().Str("Kind", d.log.kind).Err(err).Msg("The platform does not answer.")
		d.log.SetPlatformDown(true)
	}
	d.pause = min(max(retryMin, 2*d.pause), retryMax)
	d.timer.Sleep(ctx, d.pause/2+rand.N(d.pause/2))
	return false
}
