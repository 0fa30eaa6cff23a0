// These tests guard against moves that are done without evidence, that keep a bad version, or that store two outcomes.
package mover

import (
	"context"
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func plan() parser.Move {
	return parser.Move{
		Name:        "buscador-v2",
		Application: "buscador",
		From:        "v1",
		To:          "v2",
		Start:       start,
		FinishBy:    start.Add(100 * time.Second),
		Steps:       []int{5, 25, 100},
	}
}

func policy() parser.Policy {
	return parser.Policy{
		Name:              "default",
		MoveMaxBadPercent: 5,
		MoveMinAnswers:    100,
	}
}

func TestDecisions(t *testing.T) {
	var cases []struct {
		Name   string
		At     int
		Routes []RouteEvidence
		Want   struct {
			SharePerMille int
			Outcome       blackboard.MoveOutcome
		}
	}
	data, err := os.ReadFile("testdata/decisions.yaml")
	assert.NilError(t, err)
	data, err = yaml.YAMLToJSON(data)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(data, &cases))
	assert.Assert(t, len(cases) > 0)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			d := Decide(plan(), policy(), c.Routes, start.Add(time.Duration(c.At)*time.Second))
			assert.Equal(t, d.SharePerMille, c.Want.SharePerMille, d.Reason)
			assert.Equal(t, d.Outcome, c.Want.Outcome, d.Reason)
		})
	}
}

// fakeStore stores objects in memory.
type fakeStore struct {
	storeclient.Store
	objects     map[string]storeclient.Object
	unavailable bool
	version     uint64
}

func (f *fakeStore) Get(_ context.Context, kind, name string) (storeclient.Object, error) {
	if f.unavailable {
		return storeclient.Object{}, storeclient.ErrUnavailable
	}
	o, ok := f.objects[kind+"/"+name]
	if !ok {
		return storeclient.Object{}, storeclient.ErrNotFound
	}
	return o, nil
}

func (f *fakeStore) Create(ctx context.Context, o storeclient.Object) (storeclient.Object, error) {
	if _, err := f.Get(ctx, o.Kind, o.Name); err == nil {
		return storeclient.Object{}, storeclient.ErrExists
	}
	return f.put(o)
}

func (f *fakeStore) Update(ctx context.Context, o storeclient.Object) (storeclient.Object, error) {
	if stored, err := f.Get(ctx, o.Kind, o.Name); err != nil || stored.Version != o.Version {
		return storeclient.Object{}, storeclient.ErrConflict
	}
	return f.put(o)
}

func (f *fakeStore) put(o storeclient.Object) (storeclient.Object, error) {
	if f.unavailable {
		return storeclient.Object{}, storeclient.ErrUnavailable
	}
	f.version++
	o.Version = f.version
	f.objects[o.Kind+"/"+o.Name] = o
	return o, nil
}

type discardPublisher struct{}

func (discardPublisher) Publish(messenger.RecordKind, string, any) error { return nil }

func newMover(vm string, store storeclient.Store, clock *timer.Service) *Mover {
	board := &blackboard.Board{}
	board.Config.Write(blackboard.NewConfig(1, parser.Set{
		policy(),
		parser.Application{
			Name:            "buscador",
			DeadlineDefault: 130 * time.Millisecond,
			Policy:          "default",
		},
		plan(),
	}))
	return New(Options{
		VM:        vm,
		Board:     board,
		Store:     store,
		Publisher: discardPublisher{},
		Timer:     clock,
		Recorder:  recorder.New(vm, clock),
		Log:       logger.Discard().Part(partName),
	})
}

// runOnce does the work of one tick of Run.
func (m *Mover) runOnce(ctx context.Context) {
	m.loadStoredOutcomes(ctx)
	m.publishEvidence()
	m.evidence.recordSample(m.Timer.Now())
	m.decideAndPublish()
	m.storeOutcomes(ctx)
}

func state(m *Mover) blackboard.MoveState {
	return m.Board.Moves.Read().ByApplication["buscador"]
}

func TestOneOutcomeIsStoredWhenTwoVMsDiffer(t *testing.T) {
	store := &fakeStore{
		objects: map[string]storeclient.Object{},
	}
	clock := timer.NewVirtual(start)
	first, second := newMover("vm-1", store, clock), newMover("vm-2", store, clock)
	for range 40 {
		first.Observe("buscador", "v2", "lost", classifier.BackendFailed, time.Millisecond)
		first.Observe("buscador", "v1", "lost", classifier.OK, time.Millisecond)
		second.Observe("buscador", "v2", "lost", classifier.OK, time.Millisecond)
	}
	clock.Advance(time.Second)
	first.runOnce(t.Context())
	assert.Equal(t, state(first).Outcome, blackboard.MoveRolledBack)
	clock.Advance(99 * time.Second)
	for range 300 {
		second.Observe("buscador", "v2", "lost", classifier.OK, time.Millisecond)
	}
	second.runOnce(t.Context())
	assert.Equal(t, state(second).Outcome, blackboard.MoveRolledBack, "the stored outcome must take precedence over the evidence of one VM")
	assert.Equal(t, state(second).SharePerMille, 0)

	var stored Status
	assert.NilError(t, json.Unmarshal(store.objects[KindStatus+"/"+plan().Name].Value, &stored))
	assert.Equal(t, stored.VM, "vm-1")
}

func TestRollbackHoldsWhilePlatformIsUnavailableAndIsStoredLater(t *testing.T) {
	store := &fakeStore{
		objects:     map[string]storeclient.Object{},
		unavailable: true,
	}
	clock := timer.NewVirtual(start)
	m := newMover("vm-1", store, clock)
	for range 40 {
		m.Observe("buscador", "v2", "lost", classifier.Crashed, time.Millisecond)
	}
	clock.Advance(time.Second)
	m.runOnce(t.Context())
	assert.Equal(t, state(m).Outcome, blackboard.MoveRolledBack)
	assert.Equal(t, len(store.objects), 0)
	store.unavailable = false
	clock.Advance(time.Minute)
	m.runOnce(t.Context())
	assert.Equal(t, state(m).Outcome, blackboard.MoveRolledBack)
	assert.Assert(t, store.objects[KindStatus+"/"+plan().Name].Value != nil)
}

func TestVMStartedAfterMoveAdoptsStoredOutcome(t *testing.T) {
	store := &fakeStore{
		objects: map[string]storeclient.Object{},
	}
	value, err := json.Marshal(Status{
		Outcome: blackboard.MoveRolledBack,
		Reason:  "It failed.",
	})
	assert.NilError(t, err)
	_, err = store.Create(t.Context(), storeclient.Object{
		Kind:  KindStatus,
		Name:  plan().Name,
		Value: value,
	})
	assert.NilError(t, err)
	clock := timer.NewVirtual(start.Add(10 * time.Second))
	m := newMover("vm-9", store, clock)
	m.runOnce(t.Context())
	assert.Equal(t, state(m).Outcome, blackboard.MoveRolledBack)
	assert.Equal(t, state(m).SharePerMille, 0)
}

// Guards against a VM that stores the outcome Done although another VM has rolled the move back.
func TestRollbackByAnotherVMOverridesDone(t *testing.T) {
	store := &fakeStore{
		objects:     map[string]storeclient.Object{},
		unavailable: true,
	}
	clock := timer.NewVirtual(start)
	m := newMover("vm-1", store, clock)
	clock.Advance(101 * time.Second)
	for range 400 {
		m.Observe("buscador", "v2", "lost", classifier.OK, time.Millisecond)
	}
	m.runOnce(t.Context())
	assert.Equal(t, state(m).Outcome, blackboard.MoveDone)
	payload, err := messenger.EncodePayload(messenger.MoveOutcomeRecord{
		Outcome: blackboard.MoveRolledBack,
		Reason:  "It failed.",
	})
	assert.NilError(t, err)
	m.ReceiveOutcome(messenger.Record{
		Key:     plan().Name,
		Payload: payload,
	})
	assert.Equal(t, state(m).Outcome, blackboard.MoveRolledBack)
	store.unavailable = false
	clock.Advance(time.Second)
	m.runOnce(t.Context())
	var stored Status
	assert.NilError(t, json.Unmarshal(store.objects[KindStatus+"/"+plan().Name].Value, &stored))
	assert.Equal(t, stored.Outcome, blackboard.MoveRolledBack)
}

// Guards against an event MoveAnnounced that precedes its cause in the timeline because the clock of the VM that stored the
// outcome is ahead of the reader's clock.
func TestStoredOutcomeCarriesTimestamp(t *testing.T) {
	store := &fakeStore{
		objects: map[string]storeclient.Object{},
	}
	ahead := newMover("vm-1", store, timer.NewVirtual(start.Add(30*time.Second)))
	for range 40 {
		ahead.Observe("buscador", "v2", "lost", classifier.Crashed, time.Millisecond)
	}
	ahead.runOnce(t.Context())
	behind := newMover("vm-2", store, timer.NewVirtual(start))
	behind.runOnce(t.Context())
	events := recorder.Merge(0, ahead.Recorder.Events(recorder.Filter{}), behind.Recorder.Events(recorder.Filter{}))
	assert.Equal(t, len(events), 4)
	assert.Assert(t, events[0].VM == "vm-1" && events[0].Kind == "MoveStep")
	assert.Assert(t, events[2].VM == "vm-2" && events[2].Kind == "MoveAnnounced", "%+v", events)
}

func TestCountersOfRestartedVMDoNotLowerSum(t *testing.T) {
	e := newEvidenceStore()
	src := source{
		series: series{
			application: "buscador",
			version:     "v2",
			route:       "lost",
		},
		vm: "vm-2",
	}
	for _, n := range []uint64{10, 15, 3, 4} {
		e.receive(src, Counts{
			Answers: n,
		})
	}
	assert.Equal(t, e.sums[src.series].Answers, uint64(19))
}

// Guards against an undetected regression after the last step: the old version no longer receives queries, its window becomes
// empty, and failures of the new version have nothing to be compared with.
func TestOldWindowKeepsSizeAfterLastStep(t *testing.T) {
	e := newEvidenceStore()
	src := source{
		series: series{
			application: "buscador",
			version:     "v1",
			route:       "lost",
		},
		vm: "vm-1",
	}
	for second := range 40 {
		e.receive(src, Counts{
			Answers: uint64(min(second, 20)) * 100,
		})
		e.recordSample(start.Add(time.Duration(second) * time.Second))
	}
	routes := e.compare("buscador", "v1", "v2")
	assert.Equal(t, len(routes), 1)
	routes[0].NewWindow = Counts{
		Answers:  1000,
		Failures: 200,
	}
	assert.Assert(t, routes[0].OldWindow.Answers >= 900, "%d answers", routes[0].OldWindow.Answers)
	d := Decide(plan(), policy(), routes, start.Add(90*time.Second))
	assert.Equal(t, d.Outcome, blackboard.MoveRolledBack)
}
