package installer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/publisher"
)

// errIncomplete means that the sources together do not provide all parts yet.
var errIncomplete = errors.New("some parts of the configuration cannot be fetched yet")

// target is a head to install with the sources of its parts.
type target struct {
	head         messenger.ConfigHeadRecord
	senders      []string
	fromPlatform bool
}

// installLoop installs the highest head received. A failed attempt is repeated after a delay, or at once when a higher head or
// another source has been recorded.
func (in *Installer) installLoop(ctx context.Context) {
	failures := 0
	for {
		t, ok := in.nextTarget()
		if !ok {
			failures = 0
			if !in.waitForWake(ctx, 0) {
				return
			}
			continue
		}
		err := in.tryInstall(ctx, t)
		if err == nil {
			continue
		}
		if failures == 0 && ctx.Err() == nil {
			in.log.Warn().Err(err).Uint64("Generation", t.head.Generation).Msg("Could not install a configuration; retrying.")
		}
		if !in.waitForWake(ctx, backoff(failures)) {
			return
		}
		failures++
	}
}

// waitForWake waits for a signal on wake, or at most d unless that is 0. It returns false if ctx is done.
func (in *Installer) waitForWake(ctx context.Context, d time.Duration) bool {
	var due <-chan time.Time
	if d > 0 {
		sub := in.opts.Timer.After(d)
		defer sub.Stop()
		due = sub.C
	}
	select {
	case <-in.wake:
		return true
	case <-due:
		return true
	case <-ctx.Done():
		return false
	}
}

// nextTarget returns the highest head, and whether it still has to be installed.
func (in *Installer) nextTarget() (target, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return target{
		head:         in.highest,
		senders:      slices.Clone(in.senders),
		fromPlatform: in.fromPlatform,
	}, in.highest.Generation > in.installed.Generation
}

// tryInstall fetches the missing parts of a head from one source after another and installs it. If parts are still missing after
// the last source, it returns an error and keeps the fetched parts in the cache.
func (in *Installer) tryInstall(ctx context.Context, t target) error {
	var lastErr error
	for _, fetch := range in.sources(t) {
		missing := in.missingSums(t.head.Parts)
		if len(missing) == 0 {
			break
		}
		if err := fetch(ctx, missing); err != nil {
			lastErr = err
		}
	}
	if n := len(in.missingSums(t.head.Parts)); n > 0 {
		return errors.Join(fmt.Errorf("%d of %d parts are missing: %w", n, len(t.head.Parts), errIncomplete), lastErr)
	}
	in.install(t)
	return nil
}

// source fetches into the cache those of the requested parts that it has.
type source func(ctx context.Context, sums []string) error

// sources returns the sources in the order in which they are asked: the parts that this VM has published, the senders of the
// head, other VMs, and the platform. If this VM has read the head from the platform, the platform comes before the other VMs,
// because they may not have the parts yet.
func (in *Installer) sources(t target) []source {
	list := []source{in.fetchPublished}
	if t.fromPlatform {
		list = append(list, in.fetchPlatform)
	}
	for _, name := range in.peers(t.senders) {
		list = append(list, func(ctx context.Context, sums []string) error {
			return in.fetchPeer(ctx, name, sums)
		})
	}
	if !t.fromPlatform {
		list = append(list, in.fetchPlatform)
	}
	return list
}

// peers returns the senders and then at most maxOtherPeers other alive VMs in random order, those of this VM's zone first. A
// sender with the name of this VM is omitted: it is an earlier process, whose cache is lost.
func (in *Installer) peers(senders []string) []string {
	senders = slices.DeleteFunc(senders, func(name string) bool { return name == in.opts.VMName })
	var sameZone, otherZones []string
	for _, m := range in.opts.Board.Members.Read().ByName {
		switch {
		case m.State != blackboard.MemberAlive || m.Name == in.opts.VMName || slices.Contains(senders, m.Name):
		case m.AvailabilityZone == in.opts.AvailabilityZone:
			sameZone = append(sameZone, m.Name)
		default:
			otherZones = append(otherZones, m.Name)
		}
	}
	for _, list := range [][]string{sameZone, otherZones} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	others := slices.Concat(sameZone, otherZones)
	return append(senders, others[:min(len(others), maxOtherPeers)]...)
}

func (in *Installer) missingSums(sums []string) []string {
	in.mu.Lock()
	defer in.mu.Unlock()
	var list []string
	for _, sum := range sums {
		if _, ok := in.cache[sum]; !ok {
			list = append(list, sum)
		}
	}
	return list
}

// fetchPeer requests parts from a VM until its reply contains none of the missing ones.
func (in *Installer) fetchPeer(ctx context.Context, name string, sums []string) error {
	addr, ok := memberAddress(in.opts.Board.Members.Read(), name)
	if !ok {
		return fmt.Errorf("the address of the VM %q is unknown", name)
	}
	for len(sums) > 0 {
		var reply messenger.FetchPartsReply
		if err := in.callPeer(ctx, addr, sums, &reply); err != nil {
			return fmt.Errorf("fetching parts from the VM %q: %w", name, err)
		}
		before := len(sums)
		for _, sum := range sums {
			if value, ok := reply.Parts[sum]; ok {
				if err := in.cachePart(sum, value); err != nil {
					return fmt.Errorf("invalid part from the VM %q: %w", name, err)
				}
			}
		}
		if sums = in.missingSums(sums); len(sums) == before {
			return nil
		}
	}
	return nil
}

// fetchPublished copies to the cache the parts that this VM has published.
func (in *Installer) fetchPublished(_ context.Context, sums []string) error {
	in.mu.Lock()
	publishedParts := in.publishedParts
	in.mu.Unlock()
	for _, sum := range sums {
		if value, ok := publishedParts[sum]; ok {
			if err := in.cachePart(sum, value); err != nil {
				return fmt.Errorf("invalid part of the published set: %w", err)
			}
		}
	}
	return nil
}

func (in *Installer) fetchPlatform(ctx context.Context, sums []string) error {
	for _, sum := range sums {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		o, err := in.opts.Store.Get(callCtx, publisher.KindPart, sum)
		cancel()
		if err != nil {
			return fmt.Errorf("fetching a part from the platform: %w", err)
		}
		if err := in.cachePart(sum, o.Value); err != nil {
			return fmt.Errorf("invalid part from the platform: %w", err)
		}
	}
	return nil
}

// cachePart checks the size and the checksum of a part, decodes it and adds it to the cache.
func (in *Installer) cachePart(sum string, value []byte) error {
	if len(value) > publisher.MaxPartBytes || publisher.Sum(value) != sum {
		return fmt.Errorf("the part %.8s does not match its checksum or is too large", sum)
	}
	set, err := parser.Decode(publisher.KindPart+"/"+sum[:8], value)
	if err != nil {
		return fmt.Errorf("decoding the part %.8s: %w", sum, err)
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.cache[sum] = cachedPart{
		value: value,
		set:   set,
	}
	return nil
}

// install makes a head whose parts are in the cache the current configuration. If this VM read the head from the platform or
// published it, install also sends the head to the other VMs.
func (in *Installer) install(t target) {
	in.mu.Lock()
	var set parser.Set
	for _, sum := range t.head.Parts {
		set = append(set, in.cache[sum].set...)
	}
	in.previousParts = in.installed.Parts
	in.installed = t.head
	if in.highest.Generation == t.head.Generation {
		in.publishedParts = nil
	}
	in.evictUnused()
	in.mu.Unlock()

	cfg := blackboard.NewConfig(t.head.Generation, set)
	// The events are recorded before the section is written, so that they precede the events of the components that react to it.
	in.opts.Recorder.Record(partName, "GenerationInstalled", fmt.Sprint(t.head.Generation), fmt.Sprintf("%d objects", len(set)))
	in.recordZones(in.opts.Board.Config.Read(), cfg)
	in.opts.Board.Config.Write(cfg)
	in.log.Info().Uint64("Generation", t.head.Generation).Int("Objects", len(set)).Msg("Installed a configuration.")
	// A head received from another VM is already being distributed by gossip. A record of this VM would only replace an identical
	// one.
	if !t.fromPlatform {
		return
	}
	if err := in.opts.Publisher.Publish(messenger.RecordConfigHead, publisher.NameHead, t.head); err != nil {
		in.log.Error().Err(err).Uint64("Generation", t.head.Generation).Msg("Could not send the configuration head to the other VMs.")
	}
}

// recordZones records an event for each availability zone whose state differs between the two configurations.
func (in *Installer) recordZones(old, cfg *blackboard.Config) {
	for name, zone := range cfg.Zones {
		if before, ok := old.Zones[name]; ok && before.State != zone.State {
			in.opts.Recorder.Record(partName, "ZoneState", name, string(zone.State))
		}
	}
}

// evictUnused deletes from the cache the parts that belong neither to the installed generation, nor to the previous one, nor to
// highest. The caller holds mu.
func (in *Installer) evictUnused() {
	used := map[string]bool{}
	for _, sums := range [][]string{in.installed.Parts, in.previousParts, in.highest.Parts} {
		for _, sum := range sums {
			used[sum] = true
		}
	}
	for sum := range in.cache {
		if !used[sum] {
			delete(in.cache, sum)
		}
	}
}
