package installer

import (
	"context"

	"github.com/anvildyke/anvildyke/internal/publisher"
	"github.com/anvildyke/anvildyke/internal/storeclient"
)

// watchLoop reads the head by long polls while this VM is a watcher.
func (w *Installer) watchLoop(ctx context.Context) {
	var after uint64
	failures := 0
	for ctx.Err() == nil {
		if !w.isWatcher() {
			w.wait(ctx, rolePeriod)
			continue
		}
		next, err := w.watchOnce(ctx, after)
		if err != nil {
			if failures == 0 && ctx.Err() == nil {
				w.log.Warn().Err(err).Msg("The platform cannot be watched.")
			}
			w.wait(ctx, backoff(failures))
			failures++
			continue
		}
		failures = 0
		after = next
	}
}

// watchOnce waits for heads above a version and returns the highest version seen.
func (w *Installer) watchOnce(ctx context.Context, after uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	objects, err := w.opts.Store.Watch(ctx, publisher.KindHead, after, watchWait)
	if err != nil {
		return after, err
	}
	for _, o := range objects {
		if o.Name == publisher.NameHead {
			w.platformHead(o)
		}
		after = max(after, o.Version)
	}
	return after, nil
}

func (w *Installer) platformHead(o storeclient.Object) {
	head, err := publisher.DecodeHead(o.Value)
	if err != nil {
		w.log.Error().Err(err).Uint64("Version", o.Version).Msg("The platform's configuration head is refused.")
		return
	}
	w.opts.Recorder.Observe(head.Stamp)
	w.queue(head.Record(), "")
}
