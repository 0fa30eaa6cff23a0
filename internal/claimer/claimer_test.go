package claimer

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/planner"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/searcher"
	"github.com/anvildyke/anvildyke/internal/storeclient"
	"github.com/anvildyke/anvildyke/internal/timer"
	"github.com/goccy/go-yaml"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

// memoryStore implements in memory the methods of storeclient.Store that a Claimer calls.
type memoryStore struct {
	storeclient.Store
	mu      sync.Mutex
	objects map[string]storeclient.Object
	version uint64
	// unavailable makes every call fail without effect. lostAnswers is the number of next writes that take effect but return an
	// error. failReads makes reads fail.
	unavailable bool
	lostAnswers int
	failReads   bool
}

func (m *memoryStore) Get(_ context.Context, _, name string) (storeclient.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[name]
	switch {
	case m.unavailable || m.failReads:
		return o, storeclient.ErrUnavailable
	case !ok:
		return o, storeclient.ErrNotFound
	}
	return o, nil
}

func (m *memoryStore) Create(_ context.Context, o storeclient.Object) (storeclient.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return o, storeclient.ErrUnavailable
	}
	if _, ok := m.objects[o.Name]; ok {
		return o, storeclient.ErrExists
	}
	return m.store(o)
}

func (m *memoryStore) Update(_ context.Context, o storeclient.Object) (storeclient.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return o, storeclient.ErrUnavailable
	}
	if m.objects[o.Name].Version != o.Version {
		return o, storeclient.ErrConflict
	}
	return m.store(o)
}

func (m *memoryStore) store(o storeclient.Object) (storeclient.Object, error) {
	m.version++
	o.Version = m.version
	m.objects[o.Name] = o
	if m.lostAnswers > 0 {
		m.lostAnswers--
		return storeclient.Object{}, errors.New("the response was lost")
	}
	return o, nil
}

func (m *memoryStore) claimState(t *testing.T, name string) State {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	var c Claim
	assert.NilError(t, json.Unmarshal(m.objects[name].Value, &c))
	return c.State
}

// unusedOwnerMethods provides the methods of searcher.OwnerClient that a Claimer does not call.
type unusedOwnerMethods struct{ searchMethods }

type searchMethods interface {
	Search(ctx context.Context, r *messenger.SearchRequest) (*messenger.SearchReply, error)
	Collect(ctx context.Context, r *messenger.CollectRequest) (*messenger.SearchReply, error)
	Cancel(ctx context.Context, r *messenger.CancelRequest) error
}

// scriptedOwner replies to operations with the given codes and then with OK. It counts all calls, and those whose operation a
// backend server may have run.
type scriptedOwner struct {
	unusedOwnerMethods
	mu    sync.Mutex
	codes []classifier.Code
	calls int
	ran   int
}

func (s *scriptedOwner) Client(*planner.EntryVM) searcher.OwnerClient { return s }

func (s *scriptedOwner) Run(_ context.Context, r *messenger.RunRequest) (*messenger.RunReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	code := classifier.OK
	if s.calls < len(s.codes) {
		code = s.codes[s.calls]
	}
	s.calls++
	if !code.NotRun() {
		s.ran++
	}
	if code == classifier.ConnectionReset || code == classifier.NotSent {
		return nil, classifier.Errorf(code, "the connection failed")
	}
	return &messenger.RunReply{
		Code: code,
		Body: []byte("held " + r.Key),
	}, nil
}

func newBoard() *blackboard.Board {
	members := &blackboard.Members{
		Self: "a1",
		ByName: map[string]blackboard.Member{
			"a1": {
				Name:             "a1",
				AvailabilityZone: "a",
				Address:          netip.MustParseAddrPort("127.0.0.1:1"),
				State:            blackboard.MemberAlive,
			},
		},
	}
	members.ByZone = map[string][]blackboard.Member{"a": {members.ByName["a1"]}}
	set := parser.Set{
		parser.Application{
			Name: "app",
		},
		parser.AvailabilityZone{
			Name:  "a",
			State: parser.ZoneInService,
		},
		parser.Service{
			Name:        "s",
			Application: "app",
		},
	}
	for _, name := range []string{"r1", "r2", "r3"} {
		set = append(set, parser.BackendServer{
			Name:             name,
			Service:          "s",
			AvailabilityZone: "a",
			Slots:            1,
		})
	}
	b := &blackboard.Board{}
	b.Config.Write(blackboard.NewConfig(1, set))
	b.Members.Write(members)
	return b
}

func newClaimer(store storeclient.Store, s *scriptedOwner) *Claimer {
	b, clock := newBoard(), timer.NewWall()
	return New(Options{
		Board:                   b,
		IndexCache:              planner.NewIndexCache(b),
		Owners:                  s,
		Store:                   store,
		Timer:                   clock,
		Recorder:                recorder.New("a1", clock),
		MaxConcurrentOperations: 100,
	})
}

func newRequest(id string) Request {
	return Request{
		ID:          "request",
		OperationID: id,
		Application: "app",
		Route:       "hold",
		Key:         "room",
		Fingerprint: 9,
		Remaining:   5 * time.Second,
	}
}

func newOperationID() string {
	return uuid.Must(uuid.NewV7()).String()
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		objects: map[string]storeclient.Object{},
	}
}

// Guards against a wrong outcome, a second send after an unknown outcome, and a claim in a wrong state, for each kind of reply.
func TestOutcomes(t *testing.T) {
	data, err := os.ReadFile("testdata/outcomes.yaml")
	assert.NilError(t, err)
	var cases []struct {
		Answers []string `yaml:"Answers"`
		Code    string   `yaml:"Code"`
		Calls   int      `yaml:"Calls"`
		State   State    `yaml:"State"`
		Resend  string   `yaml:"Resend"`
	}
	assert.NilError(t, yaml.UnmarshalWithOptions(data, &cases, yaml.Strict()))
	codes := map[string]classifier.Code{}
	for _, code := range classifier.Codes() {
		codes[code.String()] = code
	}
	for _, c := range cases {
		store, s := newMemoryStore(), &scriptedOwner{}
		for _, name := range c.Answers {
			s.codes = append(s.codes, codes[name])
		}
		cl, id := newClaimer(store, s), newOperationID()
		o := cl.Run(t.Context(), newRequest(id))
		assert.Equal(t, o.Code, codes[c.Code])
		assert.Equal(t, s.calls, c.Calls)
		assert.Equal(t, store.claimState(t, id), c.State)
		resent := cl.Run(t.Context(), newRequest(id))
		assert.Equal(t, resent.Code, codes[c.Resend])
		assert.Assert(t, s.ran <= 1)
		if o.Code == classifier.OK {
			assert.DeepEqual(t, resent.Body, o.Body)
		}
	}
}

// Guards against an operation that is sent without a claim, and against a claim that its attempt no longer recognizes, when
// responses of the platform are lost or the platform is unavailable.
func TestPlatformFaults(t *testing.T) {
	store, s := newMemoryStore(), &scriptedOwner{}
	cl, id := newClaimer(store, s), newOperationID()
	store.unavailable = true
	assert.Equal(t, cl.Run(t.Context(), newRequest(id)).Code, classifier.PlatformUnavailable)
	assert.Equal(t, s.calls, 0)
	store.unavailable, store.lostAnswers, store.failReads = false, 1, true
	assert.Equal(t, cl.Run(t.Context(), newRequest(id)).Code, classifier.PlatformUnavailable)
	assert.Equal(t, s.calls, 0)
	store.failReads = false
	assert.Equal(t, cl.Run(t.Context(), newRequest(id)).Code, classifier.OutcomeUnknown)
	assert.Equal(t, s.calls, 0)
	id = newOperationID()
	store.lostAnswers = 2
	assert.Equal(t, cl.Run(t.Context(), newRequest(id)).Code, classifier.OK)
	assert.Equal(t, cl.Run(t.Context(), newRequest(id)).Code, classifier.OK)
	assert.Equal(t, s.calls, 1)
	assert.Equal(t, store.claimState(t, id), StateDone)
	store.failReads = true
	assert.Equal(t, cl.Run(t.Context(), newRequest(id)).Code, classifier.OutcomeUnknown)
}

// Guards against an operation that runs twice when several VMs receive it at the same time, both for a new operation ID and
// after a recorded "not run".
func TestRacingVMsSendOnce(t *testing.T) {
	for round := range 50 {
		store, s := newMemoryStore(), &scriptedOwner{}
		id := newOperationID()
		if round%2 == 1 {
			s.codes = []classifier.Code{classifier.Shed, classifier.Shed, classifier.Shed}
			assert.Equal(t, newClaimer(store, s).Run(t.Context(), newRequest(id)).Code, classifier.Shed)
		}
		store.lostAnswers = round % 3
		var wg sync.WaitGroup
		codes := make([]classifier.Code, 4)
		for i := range codes {
			wg.Go(func() { codes[i] = newClaimer(store, s).Run(t.Context(), newRequest(id)).Code })
		}
		wg.Wait()
		assert.Equal(t, s.ran, 1)
		for _, code := range codes {
			assert.Assert(t, code == classifier.OK || code == classifier.OutcomeUnknown, "%s", code)
		}
	}
}

// Guards against accepting an operation ID that is malformed, too far in the future, older than the retention of claims, or
// used for another request.
func TestOperationIDs(t *testing.T) {
	now := time.Now()
	at := func(d time.Duration) string {
		id := uuid.Must(uuid.NewV7())
		ms := now.Add(d).UnixMilli()
		for i := range 6 {
			id[5-i] = byte(ms >> (8 * i))
		}
		return id.String()
	}
	s := &scriptedOwner{}
	cl := newClaimer(newMemoryStore(), s)
	for id, want := range map[string]classifier.Code{
		at(-25 * time.Hour):        classifier.OutcomeUnknown,
		at(6 * time.Minute):        classifier.BadOperationID,
		"x":                        classifier.BadOperationID,
		uuid.New().String():        classifier.BadOperationID,
		at(-23 * time.Hour):        classifier.OK,
		at(4 * time.Minute):        classifier.OK,
		"urn:uuid:" + at(0):        classifier.OK,
		"{" + at(-time.Hour) + "}": classifier.OK,
	} {
		assert.Equal(t, cl.Run(t.Context(), newRequest(id)).Code, want, id)
	}
	assert.Equal(t, s.calls, 4)
	id := newOperationID()
	cl.Run(t.Context(), newRequest(id))
	other := newRequest(id)
	other.Fingerprint = 10
	assert.Equal(t, cl.Run(t.Context(), other).Code, classifier.BadOperationID)
}
