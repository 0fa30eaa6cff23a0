// Package publisher publishes validated sets of configuration objects on the platform. It first stores content-addressed parts
// and then replaces the head by one conditional write, so that at most one of several concurrent publishers succeeds.
package publisher

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// ApplyTimeout limits one Apply, so that an operator receives an answer even during an outage of the platform.
	ApplyTimeout = 10 * time.Second
	// callTimeout limits one call to the platform.
	callTimeout = 2 * time.Second
	// retryDelay is the delay between two attempts of a call.
	retryDelay = 200 * time.Millisecond
	// maxHeadReads limits the reads of the head while they fail or return an older generation than expected.
	maxHeadReads = 5
	// maxConcurrentCreates limits the parts that are created at the same time.
	maxConcurrentCreates = 8
)

// errStaleHead means that a read returned a generation older than the installed one or than the base of the set to publish.
var errStaleHead = errors.New("the platform returned an older configuration head than expected")

// Options are the dependencies of a Publisher. All fields except OnPublish are mandatory.
type Options struct {
	Board    *blackboard.Board
	Store    storeclient.Store
	Timer    *timer.Service
	Recorder *recorder.Recorder
	Logger   logger.Logger
	// OnPublish is called with each head that this Publisher has published and all its parts, so that this VM can install the
	// generation at once and other VMs can fetch it from this VM while the platform does not return the parts. It must not block.
	OnPublish func(messenger.ConfigHeadRecord, []Part)
}

// Publisher publishes sets of configuration objects. Its methods are safe for concurrent use.
type Publisher struct {
	opts Options
	log  zerolog.Logger
}

// New returns a Publisher. It starts no goroutine.
func New(opts Options) *Publisher {
	return &Publisher{
		opts: opts,
		log:  opts.Logger.Part("publisher"),
	}
}

// Result describes the effect of a successful Apply.
type Result struct {
	// Generation is the generation that contains the set.
	Generation uint64
	// Unchanged is true when the current generation already contains the same set. Nothing was written in that case.
	Unchanged bool
	// ChangedObjects are the sorted keys of the objects that differ from the previous generation.
	ChangedObjects []string
	// NewParts is the number of parts that the previous generation did not contain.
	NewParts int
}

// Apply publishes a set that the validator has accepted. If base is not 0, the set is published only if base is the current
// generation. The error carries InvalidSet when the set is too large, Conflict when another set was published meanwhile, and
// NotAccepted when the platform does not answer.
func (p *Publisher) Apply(ctx context.Context, set parser.Set, base uint64) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, ApplyTimeout)
	defer cancel()
	parts, err := EncodeParts(set)
	if err != nil {
		return Result{}, err
	}
	old, err := p.readHead(ctx, base)
	if err != nil {
		return Result{}, notAccepted("nothing was published", err)
	}
	if base != 0 && base != old.head.Generation {
		return Result{}, conflict(old.head, base)
	}
	if old.head.Generation > 0 && slices.Equal(old.head.Parts, sums(parts)) {
		return Result{
			Generation: old.head.Generation,
			Unchanged:  true,
		}, nil
	}
	added := newParts(parts, old.head)
	keys, err := p.changedObjects(ctx, old.head, parts, added)
	if err != nil {
		return Result{}, notAccepted("nothing was published", err)
	}
	if err := p.createParts(ctx, added); err != nil {
		return Result{}, notAccepted("nothing was published", err)
	}
	generation, err := p.replaceHead(ctx, old, parts, keys)
	if err != nil {
		return Result{}, err
	}
	return Result{
		Generation:     generation,
		ChangedObjects: keys,
		NewParts:       len(added),
	}, nil
}

func notAccepted(effect string, err error) error {
	return classifier.Errorf(classifier.NotAccepted, "the platform cannot be reached; %s: %w", effect, err)
}

// conflict returns the error of a publisher whose base generation is not the current one. It lists the objects that changed after
// base.
func conflict(h Head, base uint64) error {
	if base > h.Generation {
		return classifier.Errorf(classifier.Conflict, "the generation is %d; there is no generation %d", h.Generation, base)
	}
	keys, complete := h.changedSince(base)
	text := strings.Join(keys, ", ")
	if !complete {
		text += " and others"
	}
	return classifier.Errorf(classifier.Conflict, "the generation is %d, not %d; changed meanwhile: %s", h.Generation, base, text)
}

// storedHead is a head with the object that contains it. The version of the object is 0 if no head has been published yet.
type storedHead struct {
	head   Head
	object storeclient.Object
}

// readHead returns the head. A head older than the installed configuration or than base is treated as a stale read and read
// again, up to maxHeadReads times. A head that is then still older than base, but not than the installed configuration, is
// returned: base is a generation that does not exist, and Apply reports the conflict.
func (p *Publisher) readHead(ctx context.Context, base uint64) (storedHead, error) {
	installed := p.opts.Board.Config.Read().Generation
	var s storedHead
	var err error
	for range maxHeadReads {
		if s, err = p.readHeadOnce(ctx); err == nil {
			if s.head.Generation >= max(installed, base) {
				return s, nil
			}
			err = errStaleHead
		}
		if !p.wait(ctx) {
			return storedHead{}, err
		}
	}
	if errors.Is(err, errStaleHead) && s.head.Generation >= installed {
		return s, nil
	}
	return storedHead{}, err
}

func (p *Publisher) readHeadOnce(ctx context.Context) (storedHead, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := p.opts.Store.Get(ctx, KindHead, NameHead)
	if errors.Is(err, storeclient.ErrNotFound) {
		return storedHead{
			object: storeclient.Object{
				Kind: KindHead,
				Name: NameHead,
			},
		}, nil
	}
	if err != nil {
		return storedHead{}, err
	}
	h, err := DecodeHead(o.Value)
	return storedHead{
		head:   h,
		object: o,
	}, err
}

// wait waits for retryDelay. It returns false if ctx is done first.
func (p *Publisher) wait(ctx context.Context) bool {
	sub := p.opts.Timer.After(retryDelay)
	defer sub.Stop()
	select {
	case <-sub.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// newParts returns the parts that the head does not contain.
func newParts(parts []Part, h Head) []Part {
	known := map[string]bool{}
	for _, sum := range h.Parts {
		known[sum] = true
	}
	var added []Part
	for _, part := range parts {
		if !known[part.Sum] {
			added = append(added, part)
		}
	}
	return added
}

// changedObjects returns the sorted keys of the objects that differ between the head and the parts. From the platform it reads
// only those parts of the head that the new generation no longer contains.
func (p *Publisher) changedObjects(ctx context.Context, h Head, parts, added []Part) ([]string, error) {
	kept := map[string]bool{}
	for _, part := range parts {
		kept[part.Sum] = true
	}
	differs := map[string]bool{}
	previous := map[string]parser.Object{}
	for _, sum := range h.Parts {
		if kept[sum] {
			continue
		}
		set, err := p.fetchPart(ctx, sum)
		if err != nil {
			return nil, err
		}
		for _, o := range set {
			previous[parser.Key(o)] = o
			differs[parser.Key(o)] = true
		}
	}
	for _, part := range added {
		for _, o := range part.Set {
			old, ok := previous[parser.Key(o)]
			differs[parser.Key(o)] = !ok || !parser.Equal(old, o)
		}
	}
	var keys []string
	for key, d := range differs {
		if d {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys, nil
}

func (p *Publisher) fetchPart(ctx context.Context, sum string) (parser.Set, error) {
	var o storeclient.Object
	err := p.retry(ctx, func(ctx context.Context) error {
		var err error
		o, err = p.opts.Store.Get(ctx, KindPart, sum)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("reading the part %.8s from the platform: %w", sum, err)
	}
	return parser.Decode(KindPart+"/"+sum[:8], o.Value)
}

// retry calls f, each time with callTimeout, until it succeeds or ctx is done.
func (p *Publisher) retry(ctx context.Context, f func(context.Context) error) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := f(callCtx)
		cancel()
		if err == nil || !p.wait(ctx) {
			return err
		}
	}
}

// createParts stores the parts that do not exist yet. An existing part contains the same value, because its name is the checksum
// of its value.
func (p *Publisher) createParts(ctx context.Context, parts []Part) error {
	errs := make([]error, len(parts))
	semaphore := make(chan struct{}, maxConcurrentCreates)
	var wg sync.WaitGroup
	for i, part := range parts {
		semaphore <- struct{}{}
		wg.Go(func() {
			errs[i] = p.createPart(ctx, part)
			<-semaphore
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (p *Publisher) createPart(ctx context.Context, part Part) error {
	return p.retry(ctx, func(ctx context.Context) error {
		_, err := p.opts.Store.Create(ctx, storeclient.Object{
			Kind:  KindPart,
			Name:  part.Sum,
			Value: part.Value,
		})
		if errors.Is(err, storeclient.ErrExists) {
			return nil
		}
		return err
	})
}

// replaceHead replaces the head by a conditional write and returns the new generation. After a failed write it reads the head to
// determine the outcome. If the head contains the token, an earlier write took effect and its response was lost. If it has a
// higher generation without the token, another publisher succeeded, and the result is a conflict. Otherwise, repeating the same
// conditional write is safe.
func (p *Publisher) replaceHead(ctx context.Context, old storedHead, parts []Part, keys []string) (uint64, error) {
	token := rand.Text()
	next := old.head.next(parts, token, keys)
	next.Stamp = p.opts.Recorder.NextStamp()
	object := old.object
	object.Value = next.encode()
	for {
		err := p.writeHead(ctx, object)
		if err == nil {
			p.reportPublished(next, parts)
			return next.Generation, nil
		}
		if errors.Is(err, storeclient.ErrTooLarge) {
			return 0, classifier.Errorf(classifier.InvalidSet, "the configuration head is too large: %w", err)
		}
		current, readErr := p.readHeadOnce(ctx)
		if generation, ok := current.head.generationOf(token); readErr == nil && ok {
			p.reportPublished(next, parts)
			return generation, nil
		}
		if readErr == nil && current.head.Generation > old.head.Generation {
			return 0, conflict(current.head, old.head.Generation)
		}
		if !p.wait(ctx) {
			return 0, notAccepted("it is not known whether the set was published", err)
		}
	}
}

func (p *Publisher) writeHead(ctx context.Context, o storeclient.Object) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if o.Version == 0 {
		_, err := p.opts.Store.Create(ctx, o)
		return err
	}
	_, err := p.opts.Store.Update(ctx, o)
	return err
}

func (p *Publisher) reportPublished(h Head, parts []Part) {
	p.opts.Recorder.RecordAt(h.Stamp, "publisher", "GenerationPublished", fmt.Sprint(h.Generation), strings.Join(h.Changes[len(h.Changes)-1].Objects, ", "))
	p.log.Info().Uint64("Generation", h.Generation).Int("Parts", len(h.Parts)).Msg("Published a configuration.")
	if p.opts.OnPublish != nil {
		p.opts.OnPublish(h.Record(), parts)
	}
}
