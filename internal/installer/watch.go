package installer

import (
	"context"

	"github.com/anvildyke/anvildyke/internal/publisher"
	"github.com/anvildyke/anvildyke/internal/storeclient"
)

// watchLoop reads the head from the platform by long polling while this VM is a watcher.
func (in *Installer) watchLoop(ctx context.Context) {
	var after uint64
	failures := 0
	for ctx.Err() == nil {
		if !in.isConfigWatcher() {
			in.wait(ctx, roleCheckInterval)
			continue
		}
		next, err := in.watchOnce(ctx, after)
		if err != nil {
			if failures == 0 && ctx.Err() == nil {
				in.log.Warn().Err(err).Msg("Could not watch the configuration head on the platform; retrying.")
			}
			in.wait(ctx, backoff(failures))
			failures++
			continue
		}
		failures = 0
		after = next
	}
}

// watchOnce waits for heads with a version above after, enqueues them and returns the highest version received.
func (in *Installer) watchOnce(ctx context.Context, after uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	defer cancel()
	objects, err := in.opts.Store.Watch(ctx, publisher.KindHead, after, watchWait)
	if err != nil {
		return after, err
	}
	for _, o := range objects {
		if o.Name == publisher.NameHead {
			in.enqueuePlatformHead(o)
		}
		after = max(after, o.Version)
	}
	return after, nil
}

func (in *Installer) enqueuePlatformHead(o storeclient.Object) {
	head, err := publisher.DecodeHead(o.Value)
	if err != nil {
		in.log.Error().Err(err).Uint64("Version", o.Version).Msg("Refused an invalid configuration head from the platform.")
		return
	}
	in.opts.Recorder.Observe(head.Stamp)
	in.enqueue(head.Record(), "")
}
