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

// fakeStore stores objects in memory. Its hooks can make a call fail before or after it takes effect.
type fakeStore struct {
	storeclient.Store

	mu           sync.Mutex
	objects      map[string]storeclient.Object
	version      uint64
	writtenBytes int
	// before is called ahead of each write with the kind of the object, and ahead of each read with "Get" and the kind. after is
	// called after each successful write; its error replaces the response.
	before, after func(kind string) error
	// stale is returned by the next Get of the head unless it is nil.
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
		s.writtenBytes += len(o.Value)
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

func backendServers(n int) parser.Set {
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

// withChangedSlots returns a copy of the set in which the backend server at index i has one more slot.
func withChangedSlots(set parser.Set, i int) parser.Set {
	next := append(parser.Set{}, set...)
	b := next[i].(parser.BackendServer)
	b.Slots++
	next[i] = b
	return next
}

// Guards against boundaries of parts that move when one object changes, so that many parts are written again. Logs the bytes that
// a change of one object writes.
func TestBytesPerChange(t *testing.T) {
	set := backendServers(5300)
	s := newStore()
	p := newPublisher(s)
	_, err := p.Apply(t.Context(), set, 0)
	assert.NilError(t, err)
	encodedBytes := len(parser.EncodeYAML(parser.Sorted(set)))
	const rounds = 12
	maxBytes, totalBytes := 0, 0
	for i := range rounds {
		before := s.writtenBytes
		set = withChangedSlots(set, i*5300/rounds)
		r, err := p.Apply(t.Context(), set, 0)
		assert.NilError(t, err)
		assert.Equal(t, r.NewParts, 1)
		totalBytes += s.writtenBytes - before
		maxBytes = max(maxBytes, s.writtenBytes-before)
	}
	parts, err := publisher.EncodeParts(set)
	assert.NilError(t, err)
	t.Logf("5,300 backend servers, %d parts: one change writes %d bytes on average and %d at most; the whole set has %d bytes", len(parts), totalBytes/rounds, maxBytes, encodedBytes)
	assert.Assert(t, totalBytes/rounds < encodedBytes/10)

	r, err := p.Apply(t.Context(), append(set[:100:100], set[101:]...), 0)
	assert.NilError(t, err)
	assert.Assert(t, r.NewParts <= 3)
	assert.DeepEqual(t, r.ChangedObjects, []string{"BackendServer/buscador-0100-v1"})
}

// Guards against parts above the size limit, objects that are lost, and an oversized object that is accepted.
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
	set := append(backendServers(100), app, other)
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

// Guards against writes for a set that is already published, also when its objects are given in another order.
func TestUnchangedSetPublishesNothing(t *testing.T) {
	s := newStore()
	p := newPublisher(s)
	_, err := p.Apply(t.Context(), backendServers(3), 0)
	assert.NilError(t, err)
	before := s.version
	set := backendServers(3)
	set[0], set[2] = set[2], set[0]
	r, err := p.Apply(t.Context(), set, 0)
	assert.NilError(t, err)
	assert.Assert(t, r.Unchanged)
	assert.Equal(t, r.Generation, uint64(1))
	assert.Equal(t, s.version, before)
}

// Guards against two concurrent publishers that both succeed, and against a conflict error that does not list the objects that
// the other publisher changed.
func TestConcurrentApplyIsAConflict(t *testing.T) {
	s := newStore()
	p := newPublisher(s)
	set := backendServers(40)
	_, err := p.Apply(t.Context(), set, 0)
	assert.NilError(t, err)
	var otherErr error
	s.before = func(kind string) error {
		if kind == publisher.KindHead {
			s.before = func(string) error { return nil }
			_, otherErr = newPublisher(s).Apply(context.Background(), withChangedSlots(set, 7), 1)
		}
		return nil
	}
	_, err = p.Apply(t.Context(), withChangedSlots(set, 30), 0)
	assert.NilError(t, otherErr)
	assert.Equal(t, classifier.CodeOf(err), classifier.Conflict)
	assert.ErrorContains(t, err, "the generation is 2, not 1; changed meanwhile: BackendServer/buscador-0007-v1 ")
	_, err = p.Apply(t.Context(), withChangedSlots(set, 30), 1)
	assert.ErrorContains(t, err, "changed meanwhile: BackendServer/buscador-0007-v1 ")
}

// Guards against a publisher that reports a failure or publishes twice when its write took effect and only the response was lost.
// The first read after the write is stale.
func TestLostAnswer(t *testing.T) {
	s := newStore()
	p := newPublisher(s)
	_, err := p.Apply(t.Context(), backendServers(3), 0)
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
	r, err := p.Apply(t.Context(), backendServers(4), 0)
	assert.NilError(t, err)
	assert.Equal(t, r.Generation, uint64(2))
	h, err := publisher.DecodeHead(s.objects[publisher.KindHead+"/"+publisher.NameHead].Value)
	assert.NilError(t, err)
	assert.Equal(t, h.Generation, uint64(2))
}

// Guards against reporting success during an outage of the platform, and against an error that says nothing was published when
// the head was sent and the outcome of that write is not known.
func TestOutage(t *testing.T) {
	s := newStore()
	s.before = func(string) error { return storeclient.ErrUnavailable }
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := newPublisher(s).Apply(ctx, backendServers(3), 0)
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
	_, err = newPublisher(s).Apply(ctx, backendServers(3), 0)
	assert.Equal(t, classifier.CodeOf(err), classifier.NotAccepted)
	assert.ErrorContains(t, err, "not known")
}

// Guards against a publication that appears on the timeline after its installation: other VMs may install a generation before
// the publisher receives the platform's response.
func TestPublicationPrecedesInstallation(t *testing.T) {
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
	_, err := p.Apply(t.Context(), backendServers(3), 0)
	assert.NilError(t, err)
	events := r.Events(recorder.Filter{})
	assert.Equal(t, len(events), 2)
	assert.Equal(t, events[0].Kind, "GenerationPublished")
}
