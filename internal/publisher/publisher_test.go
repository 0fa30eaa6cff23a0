package publisher_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/publisher"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// fakeStore keeps objects in memory. Its hook may fail a call before or after the effect.
type fakeStore struct {
	storeclient.Store

	mu      sync.Mutex
	objects map[string]storeclient.Object
	version uint64
	written int
	// before and after run around a write with its kind; an error of after loses the answer.
	before, after func(kind string) error
	// stale, if set, is returned by the next Get of the head.
	stale *storeclient.Object
}

func newStore() *fakeStore {
	return &fakeStore{
		objects: map[string]storeclient.Object{},
		before:  func(string) error { return nil },
		after:   func(string) error { return nil },
	}
}

func (s *fakeStore) Get(_ context.Context, kind, name string) (storeclient.Object, error) {
	if err := s.before("Get" + kind); err != nil {
		return storeclient.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale != nil && kind == publisher.KindHead {
		o := *s.stale
		s.stale = nil
		return o, nil
	}
	o, ok := s.objects[kind+"/"+name]
	if !ok {
		return storeclient.Object{}, storeclient.ErrNotFound
	}
	return o, nil
}

func (s *fakeStore) Create(_ context.Context, o storeclient.Object) (storeclient.Object, error) {
	return s.write(o, func(old storeclient.Object, ok bool) error {
		if ok {
			return storeclient.ErrExists
		}
		return nil
	})
}

func (s *fakeStore) Update(_ context.Context, o storeclient.Object) (storeclient.Object, error) {
	return s.write(o, func(old storeclient.Object, ok bool) error {
		if !ok || old.Version != o.Version {
			return storeclient.ErrConflict
		}
		return nil
	})
}

func (s *fakeStore) write(o storeclient.Object, check func(storeclient.Object, bool) error) (storeclient.Object, error) {
	if err := s.before(o.Kind); err != nil {
		return storeclient.Object{}, err
	}
	s.mu.Lock()
	old, ok := s.objects[o.Kind+"/"+o.Name]
	err := check(old, ok)
	if err == nil {
		s.version++
		o.Version = s.version
		s.objects[o.Kind+"/"+o.Name] = o
		s.written += len(o.Value)
	}
	s.mu.Unlock()
	if err != nil {
		return storeclient.Object{}, err
	}
	return o, s.after(o.Kind)
}

func newPublisher(s storeclient.Store) *publisher.Publisher {
	clock := timer.NewWall()
	return publisher.New(publisher.Options{
		Board:    &blackboard.Board{},
		Store:    s,
		Timer:    clock,
		Recorder: recorder.New("vm", clock),
		Logger:   logger.Discard(),
	})
}

// fleet is a set with one application and n backend servers.
func fleet(n int) parser.Set {
	var set parser.Set
	for i := range n {
		set = append(set, parser.BackendServer{
			Name:             fmt.Sprintf("buscador-%04d-v1", i),
			Service:          fmt.Sprintf("buscador-%04d", i/10),
			Version:          "buscador-v1",
			AvailabilityZone: "litoral-a",
			Address:          netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(21000+i)),
			Slots:            3,
			Connections:      30,
			ConnectTime:      6 * time.Millisecond,
		})
	}
	return set
}

func changed(set parser.Set, i int) parser.Set {
	next := append(parser.Set{}, set...)
	b := next[i].(parser.BackendServer)
	b.Slots++
	next[i] = b
	return next
}

// Guards against a split whose parts do not hold the whole set, exceed the limit, or change all over for one object, and logs
// the bytes that a change of one object writes.
func TestBytesPerChange(t *testing.T) {
	set := fleet(5300)
	s := newStore()
	p := newPublisher(s)
	_, err := p.Apply(t.Context(), set, 0)
	assert.NilError(t, err)
	whole := len(parser.EncodeYAML(parser.Sorted(set)))
	const rounds = 12
	most, sum := 0, 0
	for i := range rounds {
		before := s.written
		set = changed(set, i*5300/rounds)
		r, err := p.Apply(t.Context(), set, 0)
		assert.NilError(t, err)
		assert.Equal(t, r.NewParts, 1)
		sum += s.written - before
		most = max(most, s.written-before)
	}
	parts, err := publisher.EncodeParts(set)
	assert.NilError(t, err)
	t.Logf("5,300 backend servers, %d parts: one change writes %d bytes on average and %d at most; one whole blob %d bytes", len(parts), sum/rounds, most, whole)
	assert.Assert(t, sum/rounds < whole/10)

	r, err := p.Apply(t.Context(), append(set[:100:100], set[101:]...), 0)
	assert.NilError(t, err)
	assert.Assert(t, r.NewParts <= 3)
	assert.DeepEqual(t, r.ChangedObjects, []string{"BackendServer/buscador-0100-v1"})
}

// Guards against parts above the limit and against lost objects.
func TestSplitKeepsEveryObject(t *testing.T) {
	app := parser.Application{
		Name: "big",
	}
	for i := range 9000 {
		app.Routes = append(app.Routes, parser.Route{
			Name: fmt.Sprintf("route-%d", i),
			Kind: parser.RouteSearch,
		})
	}
	other := app
	other.Name = "big2"
	set := append(fleet(100), app, other)
	parts, err := publisher.EncodeParts(set)
	assert.NilError(t, err)
	var all parser.Set
	for _, part := range parts {
		assert.Assert(t, len(part.Value) <= publisher.MaxPartBytes)
		objects, err := parser.Decode("part", part.Value)
		assert.NilError(t, err)
		all = append(all, objects...)
	}
	assert.Equal(t, string(parser.EncodeYAML(all)), string(parser.EncodeYAML(parser.Sorted(set))))
	app.Routes = append(app.Routes, app.Routes...)
	_, err = publisher.EncodeParts(parser.Set{app})
	assert.Equal(t, classifier.CodeOf(err), classifier.InvalidSet)
}

// Guards against writes for a set that is in force already, in another order too.
func TestUnchangedSetPublishesNothing(t *testing.T) {
	s := newStore()
	p := newPublisher(s)
	_, err := p.Apply(t.Context(), fleet(3), 0)
	assert.NilError(t, err)
	before := s.version
	set := fleet(3)
	set[0], set[2] = set[2], set[0]
	r, err := p.Apply(t.Context(), set, 0)
	assert.NilError(t, err)
	assert.Assert(t, r.Unchanged)
	assert.Equal(t, r.Generation, uint64(1))
	assert.Equal(t, s.version, before)
}

// Guards against two winners of a race, and against a loser that does not learn what changed.
func TestRacingOperators(t *testing.T) {
	s := newStore()
	p := newPublisher(s)
	set := fleet(40)
	_, err := p.Apply(t.Context(), set, 0)
	assert.NilError(t, err)
	var raced error
	s.before = func(kind string) error {
		if kind == publisher.KindHead {
			s.before = func(string) error { return nil }
			_, raced = newPublisher(s).Apply(context.Background(), changed(set, 7), 1)
		}
		return nil
	}
	_, err = p.Apply(t.Context(), changed(set, 30), 0)
	assert.NilError(t, raced)
	assert.Equal(t, classifier.CodeOf(err), classifier.Conflict)
	assert.ErrorContains(t, err, "the generation is 2, not 1; changed meanwhile: BackendServer/buscador-0007-v1 ")
	_, err = p.Apply(t.Context(), changed(set, 30), 1)
	assert.ErrorContains(t, err, "changed meanwhile: BackendServer/buscador-0007-v1 ")
}

// Guards against a publisher that reports a failure, or publishes twice, when only the answer was lost. The read that settles
// the write may be stale.
func TestLostAnswer(t *testing.T) {
	s := newStore()
	p := newPublisher(s)
	_, err := p.Apply(t.Context(), fleet(3), 0)
	assert.NilError(t, err)
	old := s.objects[publisher.KindHead+"/"+publisher.NameHead]
	s.after = func(kind string) error {
		if kind == publisher.KindHead {
			s.stale = &old
			s.after = func(string) error { return nil }
			return storeclient.ErrUnavailable
		}
		return nil
	}
	r, err := p.Apply(t.Context(), fleet(4), 0)
	assert.NilError(t, err)
	assert.Equal(t, r.Generation, uint64(2))
	h, err := publisher.DecodeHead(s.objects[publisher.KindHead+"/"+publisher.NameHead].Value)
	assert.NilError(t, err)
	assert.Equal(t, h.Generation, uint64(2))
}

// Guards against an accepted set during an outage and against an answer that claims to know too much.
func TestOutage(t *testing.T) {
	s := newStore()
	s.before = func(string) error { return storeclient.ErrUnavailable }
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := newPublisher(s).Apply(ctx, fleet(3), 0)
	assert.Equal(t, classifier.CodeOf(err), classifier.NotAccepted)
	assert.ErrorContains(t, err, "nothing was published")
	assert.Assert(t, errors.Is(err, storeclient.ErrUnavailable))

	s.before = func(kind string) error {
		if strings.HasSuffix(kind, publisher.KindHead) && kind != "Get"+publisher.KindHead {
			return storeclient.ErrUnavailable
		}
		return nil
	}
	ctx, cancel = context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err = newPublisher(s).Apply(ctx, fleet(3), 0)
	assert.Equal(t, classifier.CodeOf(err), classifier.NotAccepted)
	assert.ErrorContains(t, err, "not known")
}

// Guards against a publication that stands behind its effects in the time line: other VMs may install a generation before the
// publisher has the platform's answer.
func TestPublicationStandsBeforeItsEffects(t *testing.T) {
	s := newStore()
	clock := timer.NewWall()
	r := recorder.New("vm", clock)
	s.after = func(kind string) error {
		if kind == publisher.KindHead {
			r.Record("watcher", "GenerationInstalled", "1", "")
		}
		return nil
	}
	p := publisher.New(publisher.Options{
		Board:    &blackboard.Board{},
		Store:    s,
		Timer:    clock,
		Recorder: r,
		Logger:   logger.Discard(),
	})
	_, err := p.Apply(t.Context(), fleet(3), 0)
	assert.NilError(t, err)
	events := r.Events(recorder.Filter{})
	assert.Equal(t, len(events), 2)
	assert.Equal(t, events[0].Kind, "GenerationPublished")
}
