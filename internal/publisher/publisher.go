// Package publisher publishes accepted sets of configuration objects at the platform: content-addressed parts first, then
// one conditional update of the head, so that at most one of several concurrent publishers succeeds.
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
	// ApplyTimeout bounds one Apply, so that an operator gets an answer during an outage.
	ApplyTimeout = 10 * time.Second
	// callTimeout bounds one call to the platform.
	callTimeout = 2 * time.Second
	// retryWait is the pause between two attempts.
	retryWait = 200 * time.Millisecond
	// maxReads bounds the reads of a head that is older than one seen before.
	maxReads = 5
	// maxCreates bounds the parts that are created at the same time.
	maxCreates = 8
)

// errOlder says that a read returned less than was published before.
var errOlder = errors.New("the platform returns an older configuration head than it did before")

// Options are what a Publisher needs. All fields but Notify are mandatory.
type Options struct {
	Board    *blackboard.Board
	Store    storeclient.Store
	Timer    *timer.Service
	Recorder *recorder.Recorder
	Logger   logger.Logger
	// OnPublish is called with each head that this publisher has published and all its parts, so that this VM installs it at once
	// and others can fetch it from here while the platform does not return the parts. It must not block.
	OnPublish func(messenger.ConfigHeadRecord, []Part)
}

// Publisher publishes sets. Its methods are safe for concurrent use.
type Publisher struct {
	opts Options
	log  zerolog.Logger
}

// New returns a publisher.
func New(opts Options) *Publisher {
	return &Publisher{
		opts: opts,
		log:  opts.Logger.Part("publisher"),
	}
}

// Result says what Apply did.
type Result struct {
	// Generation is the one that holds the set.
	Generation uint64
	// Unchanged is true when the set was published already. Nothing was written.
	Unchanged bool
	// ChangedObjects are the keys of the objects that differ from the generation before.
	ChangedObjects []string
	// NewParts counts the parts that were new.
	NewParts int
}

// Apply publishes a set that validator has accepted. If base is not 0, the set is published only on top of that generation.
// The error carries InvalidSet when the set is too large, Conflict when another set was published meanwhile, and NotAccepted
// when the platform does not answer.
func (p *Publisher) Apply(ctx context.Context, set parser.Set, base uint64) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, ApplyTimeout)
	defer cancel()
	parts, err := EncodeParts(set)
	if err != nil {
		return Result{}, err
	}
	old, err := p.read(ctx, base)
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
	fresh := freshParts(parts, old.head)
	names, err := p.diff(ctx, old.head, parts, fresh)
	if err != nil {
		return Result{}, notAccepted("nothing was published", err)
	}
	if err := p.create(ctx, fresh); err != nil {
		return Result{}, notAccepted("nothing was published", err)
	}
	generation, err := p.swap(ctx, old, parts, names)
	if err != nil {
		return Result{}, err
	}
	return Result{
		Generation:     generation,
		ChangedObjects: names,
		NewParts:       len(fresh),
	}, nil
}

func notAccepted(effect string, err error) error {
	return classifier.Errorf(classifier.NotAccepted, "the platform cannot be reached; %s: %w", effect, err)
}

// conflict names what changed after the generation that the loser of a race knew.
func conflict(h Head, base uint64) error {
	if base > h.Generation {
		return classifier.Errorf(classifier.Conflict, "the generation is %d; there is no generation %d", h.Generation, base)
	}
	names, complete := h.since(base)
	text := strings.Join(names, ", ")
	if !complete {
		text += " and others"
	}
	return classifier.Errorf(classifier.Conflict, "the generation is %d, not %d; changed meanwhile: %s", h.Generation, base, text)
}

// stored is a head with the object that holds it. The version of the object is 0 when there is no head.
type stored struct {
	head   Head
	object storeclient.Object
}

// read returns the head. A head older than the installed configuration or than base is a stale read and is read again. A base
// that does not appear is the operator's mistake, so the head is returned in the end.
func (p *Publisher) read(ctx context.Context, base uint64) (stored, error) {
	installed := p.opts.Board.Config.Read().Generation
	var s stored
	var err error
	for range maxReads {
		if s, err = p.readOnce(ctx); err == nil {
			if s.head.Generation >= max(installed, base) {
				return s, nil
			}
			err = errOlder
		}
		if !p.wait(ctx) {
			return stored{}, err
		}
	}
	if errors.Is(err, errOlder) && s.head.Generation >= installed {
		return s, nil
	}
	return stored{}, err
}

func (p *Publisher) readOnce(ctx context.Context) (stored, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := p.opts.Store.Get(ctx, KindHead, NameHead)
	if errors.Is(err, storeclient.ErrNotFound) {
		return stored{
			object: storeclient.Object{
				Kind: KindHead,
				Name: NameHead,
			},
		}, nil
	}
	if err != nil {
		return stored{}, err
	}
	h, err := DecodeHead(o.Value)
	return stored{
		head:   h,
		object: o,
	}, err
}

// wait pauses before another attempt and reports whether there is time for one.
func (p *Publisher) wait(ctx context.Context) bool {
	sub := p.opts.Timer.After(retryWait)
	defer sub.Stop()
	select {
	case <-sub.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// freshParts returns the parts that the head does not name.
func freshParts(parts []Part, h Head) []Part {
	known := map[string]bool{}
	for _, sum := range h.Parts {
		known[sum] = true
	}
	var fresh []Part
	for _, part := range parts {
		if !known[part.Sum] {
			fresh = append(fresh, part)
		}
	}
	return fresh
}

// diff returns the keys of the objects that differ between the head and the parts. It reads only old parts that are gone.
func (p *Publisher) diff(ctx context.Context, h Head, parts, fresh []Part) ([]string, error) {
	kept := map[string]bool{}
	for _, part := range parts {
		kept[part.Sum] = true
	}
	differs := map[string]bool{}
	before := map[string]parser.Object{}
	for _, sum := range h.Parts {
		if kept[sum] {
			continue
		}
		set, err := p.fetch(ctx, sum)
		if err != nil {
			return nil, err
		}
		for _, o := range set {
			before[parser.Key(o)] = o
			differs[parser.Key(o)] = true
		}
	}
	for _, part := range fresh {
		for _, o := range part.Set {
			old, ok := before[parser.Key(o)]
			differs[parser.Key(o)] = !ok || !parser.Equal(old, o)
		}
	}
	var names []string
	for key, d := range differs {
		if d {
			names = append(names, key)
		}
	}
	slices.Sort(names)
	return names, nil
}

func (p *Publisher) fetch(ctx context.Context, sum string) (parser.Set, error) {
	var o storeclient.Object
	err := p.retry(ctx, func(ctx context.Context) error {
		var err error
		o, err = p.opts.Store.Get(ctx, KindPart, sum)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("reading the part %.8s: %w", sum, err)
	}
	return parser.Decode(KindPart+"/"+sum[:8], o.Value)
}

// retry calls f until it succeeds or the time is over.
func (p *Publisher) retry(ctx context.Context, f func(context.Context) error) error {
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := f(call)
		cancel()
		if err == nil || !p.wait(ctx) {
			return err
		}
	}
}

// create stores the parts that do not exist. A part that exists holds the same value, because its name is its sum.
func (p *Publisher) create(ctx context.Context, parts []Part) error {
	errs := make([]error, len(parts))
	slots := make(chan struct{}, maxCreates)
	var wg sync.WaitGroup
	for i, part := range parts {
		slots <- struct{}{}
		wg.Go(func() {
			errs[i] = p.createOne(ctx, part)
			<-slots
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (p *Publisher) createOne(ctx context.Context, part Part) error {
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

// swap replaces the head and returns the new generation. Each failed write is settled by reading the head: if that has the
// token, an earlier write took effect and its answer was lost; if it has another successor of the old head, the race is lost;
// otherwise the same conditional write is safe to repeat.
func (p *Publisher) swap(ctx context.Context, old stored, parts []Part, names []string) (uint64, error) {
	token := rand.Text()
	next := old.head.next(parts, token, names)
	next.Stamp = p.opts.Recorder.NextStamp()
	object := old.object
	object.Value = next.encode()
	for {
		err := p.write(ctx, object)
		if err == nil {
			p.announce(next, parts)
			return next.Generation, nil
		}
		if errors.Is(err, storeclient.ErrTooLarge) {
			return 0, classifier.Errorf(classifier.InvalidSet, "the configuration head is too large: %w", err)
		}
		now, readErr := p.readOnce(ctx)
		if generation, ok := now.head.published(token); readErr == nil && ok {
			p.announce(next, parts)
			return generation, nil
		}
		if readErr == nil && now.head.Generation > old.head.Generation {
			return 0, conflict(now.head, old.head.Generation)
		}
		if !p.wait(ctx) {
			return 0, notAccepted("it is not known whether the set was published", err)
		}
	}
}

func (p *Publisher) write(ctx context.Context, o storeclient.Object) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if o.Version == 0 {
		_, err := p.opts.Store.Create(ctx, o)
		return err
	}
	_, err := p.opts.Store.Update(ctx, o)
	return err
}

func (p *Publisher) announce(h Head, parts []Part) {
	p.opts.Recorder.RecordAt(h.Stamp, "publisher", "GenerationPublished", fmt.Sprint(h.Generation), strings.Join(h.Changes[len(h.Changes)-1].Objects, ", "))
	p.log.Info().Uint64("Generation", h.Generation).Int("Parts", len(h.Parts)).Msg("Published a configuration.")
	if p.opts.OnPublish != nil {
		p.opts.OnPublish(h.Record(), parts)
	}
}
