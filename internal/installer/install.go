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

// errIncomplete says that no source has all parts yet.
var errIncomplete = errors.New("some parts of the configuration cannot be fetched yet")

// target is a head to install with the places that have its parts.
type target struct {
	head         messenger.ConfigHeadRecord
	senders      []string
	fromPlatform bool
}

// installLoop installs the highest head that has been seen. A failed attempt is repeated after a pause, or at once when there is
// a higher head or another source.
func (w *Installer) installLoop(ctx context.Context) {
	failures := 0
	for {
		t, ok := w.next()
		if !ok {
			failures = 0
			if !w.pause(ctx, 0) {
				return
			}
			continue
		}
		err := w.attempt(ctx, t)
		if err == nil {
			continue
		}
		if failures == 0 && ctx.Err() == nil {
			w.log.Warn().Err(err).Uint64("Generation", t.head.Generation).Msg("A generation cannot be installed yet.")
		}
		if !w.pause(ctx, backoff(failures)) {
			return
		}
		failures++
	}
}

// pause waits for news, at most for d unless that is 0, and reports whether the context goes on.
func (w *Installer) pause(ctx context.Context, d time.Duration) bool {
	var due <-chan time.Time
	if d > 0 {
		sub := w.opts.Timer.After(d)
		defer sub.Stop()
		due = sub.C
	}
	select {
	case <-w.news:
		return true
	case <-due:
		return true
	case <-ctx.Done():
		return false
	}
}

// next returns the head to install, if there is one.
func (w *Installer) next() (target, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return target{
		head:         w.seen,
		senders:      slices.Clone(w.senders),
		fromPlatform: w.fromPlatform,
	}, w.seen.Generation > w.installed.Generation
}

// attempt fetches the missing parts of a head from one source after the other and installs it.
func (w *Installer) attempt(ctx context.Context, t target) error {
	var last error
	for _, fetch := range w.sources(t) {
		missing := w.missing(t.head.Parts)
		if len(missing) == 0 {
			break
		}
		if err := fetch(ctx, missing); err != nil {
			last = err
		}
	}
	if n := len(w.missing(t.head.Parts)); n > 0 {
		return errors.Join(fmt.Errorf("%d of %d parts are missing: %w", n, len(t.head.Parts), errIncomplete), last)
	}
	w.install(t)
	return nil
}

// source fetches some of the parts into the cache.
type source func(ctx context.Context, sums []string) error

// sources lists what this VM has published itself first, the sender of the head next, then other VMs of the zone and the platform
// last. A head that this VM has read from the platform comes with its parts from there, because no peer is sure to have them.
func (w *Installer) sources(t target) []source {
	list := []source{w.fetchLocal}
	if t.fromPlatform {
		list = append(list, w.fetchPlatform)
	}
	for _, name := range w.peers(t.senders) {
		list = append(list, func(ctx context.Context, sums []string) error {
			return w.fetchPeer(ctx, name, sums)
		})
	}
	if !t.fromPlatform {
		list = append(list, w.fetchPlatform)
	}
	return list
}

// peers returns the senders, then other alive VMs in random order, at most maxPeerTries beyond the senders and those of the own
// zone first. A sender with the name of this VM is an earlier process, which has nothing any more.
func (w *Installer) peers(senders []string) []string {
	senders = slices.DeleteFunc(senders, func(name string) bool { return name == w.opts.Self })
	var near, far []string
	for _, m := range w.opts.Board.Members.Read().ByName {
		switch {
		case m.State != blackboard.MemberAlive || m.Name == w.opts.Self || slices.Contains(senders, m.Name):
		case m.AvailabilityZone == w.opts.AvailabilityZone:
			near = append(near, m.Name)
		default:
			far = append(far, m.Name)
		}
	}
	for _, list := range [][]string{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	others := slices.Concat(near, far)
	return append(senders, others[:min(len(others), maxPeerTries)]...)
}

func (w *Installer) missing(sums []string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	for _, sum := range sums {
		if _, ok := w.cache[sum]; !ok {
			list = append(list, sum)
		}
	}
	return list
}

// fetchPeer asks a VM until it has no more of the parts.
func (w *Installer) fetchPeer(ctx context.Context, name string, sums []string) error {
	addr, ok := address(w.opts.Board.Members.Read(), name)
	if !ok {
		return fmt.Errorf("the address of the VM %q is not known", name)
	}
	for len(sums) > 0 {
		var reply messenger.FetchPartsReply
		if err := w.callPeer(ctx, addr, sums, &reply); err != nil {
			return fmt.Errorf("fetching parts from the VM %q: %w", name, err)
		}
		before := len(sums)
		for _, sum := range sums {
			if value, ok := reply.Parts[sum]; ok {
				if err := w.keep(sum, value); err != nil {
					return fmt.Errorf("the VM %q: %w", name, err)
				}
			}
		}
		if sums = w.missing(sums); len(sums) == before {
			return nil
		}
	}
	return nil
}

// fetchLocal takes the parts that this VM has published.
func (w *Installer) fetchLocal(_ context.Context, sums []string) error {
	w.mu.Lock()
	local := w.local
	w.mu.Unlock()
	for _, sum := range sums {
		if value, ok := local[sum]; ok {
			if err := w.keep(sum, value); err != nil {
				return fmt.Errorf("the published set: %w", err)
			}
		}
	}
	return nil
}

func (w *Installer) fetchPlatform(ctx context.Context, sums []string) error {
	for _, sum := range sums {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		o, err := w.opts.Store.Get(call, publisher.KindPart, sum)
		cancel()
		if err != nil {
			return fmt.Errorf("fetching a part from the platform: %w", err)
		}
		if err := w.keep(sum, o.Value); err != nil {
			return fmt.Errorf("the platform: %w", err)
		}
	}
	return nil
}

// keep verifies a part and puts it into the cache.
func (w *Installer) keep(sum string, value []byte) error {
	if len(value) > publisher.MaxPartBytes || publisher.Sum(value) != sum {
		return fmt.Errorf("the part %.8s has another sum or is too large", sum)
	}
	set, err := parser.Decode(publisher.KindPart+"/"+sum[:8], value)
	if err != nil {
		return fmt.Errorf("the part %.8s cannot be read: %w", sum, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cache[sum] = cached{
		value: value,
		set:   set,
	}
	return nil
}

// install puts a head whose parts are in the cache into force and tells the others, if the platform told this VM.
func (w *Installer) install(t target) {
	w.mu.Lock()
	var set parser.Set
	for _, sum := range t.head.Parts {
		set = append(set, w.cache[sum].set...)
	}
	w.previous = w.installed.Parts
	w.installed = t.head
	if w.seen.Generation == t.head.Generation {
		w.local = nil
	}
	w.evict()
	w.mu.Unlock()

	cfg := blackboard.NewConfig(t.head.Generation, set)
	// The events stand before those of the parts that react to the section.
	w.opts.Recorder.Record(part, "GenerationInstalled", fmt.Sprint(t.head.Generation), fmt.Sprintf("%d objects", len(set)))
	w.recordZones(w.opts.Board.Config.Read(), cfg)
	w.opts.Board.Config.Write(cfg)
	w.log.Info().Uint64("Generation", t.head.Generation).Int("Objects", len(set)).Msg("Installed a configuration.")
	// Heads from other VMs spread without this VM's help. Its own record would only replace an equal one.
	if !t.fromPlatform {
		return
	}
	if err := w.opts.Publisher.Publish(messenger.RecordConfigHead, publisher.NameHead, t.head); err != nil {
		w.log.Error().Err(err).Uint64("Generation", t.head.Generation).Msg("The configuration head cannot be published.")
	}
}

// recordZones notes the availability zones that a generation takes out of service or puts back.
func (w *Installer) recordZones(old, cfg *blackboard.Config) {
	for name, zone := range cfg.Zones {
		if before, ok := old.Zones[name]; ok && before.State != zone.State {
			w.opts.Recorder.Record(part, "ZoneState", name, string(zone.State))
		}
	}
}

// evict drops the parts that neither the installed generation, the one before nor the next one has. The caller holds mu.
func (w *Installer) evict() {
	used := map[string]bool{}
	for _, sums := range [][]string{w.installed.Parts, w.previous, w.seen.Parts} {
		for _, sum := range sums {
			used[sum] = true
		}
	}
	for sum := range w.cache {
		if !used[sum] {
			delete(w.cache, sum)
		}
	}
}
