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

// memory is a platform in memory. It embeds the interface, whose other methods are not called.
type memory struct {
	storeclient.Store
	mu      sync.Mutex
	objects map[string]storeclient.Object
	version uint64
	// down fails calls without effect; lose fails the next writes after they took effect; deaf fails reads.
	down bool
	lose int
	deaf bool
}

func (m *memory) Get(_ context.Context, _, name string) (storeclient.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[name]
	switch {
	case m.down || m.deaf:
		return o, storeclient.ErrUnavailable
	case !ok:
		return o, storeclient.ErrNotFound
	}
	return o, nil
}

func (m *memory) Create(_ context.Context, o storeclient.Object) (storeclient.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return o, storeclient.ErrUnavailable
	}
	if _, ok := m.objects[o.Name]; ok {
		return o, storeclient.ErrExists
	}
	return m.store(o)
}

func (m *memory) Update(_ context.Context, o storeclient.Object) (storeclient.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return o, storeclient.ErrUnavailable
	}
	if m.objects[o.Name].Version != o.Version {
		return o, storeclient.ErrConflict
	}
	return m.store(o)
}

func (m *memory) store(o storeclient.Object) (storeclient.Object, error) {
	m.version++
	o.Version = m.version
	m.objects[o.Name] = o
	if m.lose > 0 {
		m.lose--
		return storeclient.Object{}, errors.New("the answer was lost")
	}
	return o, nil
}

func (m *memory) state(t *testing.T, name string) State {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	var c Claim
	assert.NilError(t, json.Unmarshal(m.objects[name].Value, &c))
	return c.State
}

// noOwner provides the methods that are not called.
type noOwner struct{ search }

type search interface {
	Search(ctx context.Context, r *messenger.SearchRequest) (*messenger.SearchReply, error)
	Collect(ctx context.Context, r *messenger.CollectRequest) (*messenger.SearchReply, error)
	Cancel(ctx context.Context, r *messenger.CancelRequest) error
}

// sender answers operations with scripted codes, then with OK, and counts those that a backend server may have run.
type sender struct {
	noOwner
	mu    sync.Mutex
	codes []classifier.Code
	calls int
	ran   int
}

func (s *sender) Client(*planner.EntryVM) searcher.OwnerClient { return s }

func (s *sender) Run(_ context.Context, r *messenger.RunRequest) (*messenger.RunReply, error) {
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
		return nil, classifier.Errorf(code, "the connection broke")
	}
	return &messenger.RunReply{
		Code: code,
		Body: []byte("held " + r.Key),
	}, nil
}

func board() *blackboard.Board {
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

func newClaimer(store storeclient.Store, s *sender) *Claimer {
	b, clock := board(), timer.NewWall()
	return New(Options{
		Board:                   b,
		PlanCache:               planner.NewIndexCache(b),
		Owners:                  s,
		Store:                   store,
		Timer:                   clock,
		Recorder:                recorder.New("a1", clock),
		MaxConcurrentOperations: 100,
	})
}

func operation(id string) Request {
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

func newID() string {
	return uuid.Must(uuid.NewV7()).String()
}

func newMemory() *memory {
	return &memory{
		objects: map[string]storeclient.Object{},
	}
}

// Guards against a wrong outcome, a second send after an unknown one, and a wrong record, for each kind of answer.
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
		store, s := newMemory(), &sender{}
		for _, name := range c.Answers {
			s.codes = append(s.codes, codes[name])
		}
		cl, id := newClaimer(store, s), newID()
		o := cl.Run(t.Context(), operation(id))
		assert.Equal(t, o.Code, codes[c.Code])
		assert.Equal(t, s.calls, c.Calls)
		assert.Equal(t, store.state(t, id), c.State)
		again := cl.Run(t.Context(), operation(id))
		assert.Equal(t, again.Code, codes[c.Resend])
		assert.Assert(t, s.ran <= 1)
		if o.Code == classifier.OK {
			assert.DeepEqual(t, again.Body, o.Body)
		}
	}
}

// Guards against a send without a claim and against a lost claim when the platform loses answers or is down.
func TestPlatformFaults(t *testing.T) {
	store, s := newMemory(), &sender{}
	cl, id := newClaimer(store, s), newID()
	store.down = true
	assert.Equal(t, cl.Run(t.Context(), operation(id)).Code, classifier.PlatformUnavailable)
	assert.Equal(t, s.calls, 0)
	store.down, store.lose, store.deaf = false, 1, true
	assert.Equal(t, cl.Run(t.Context(), operation(id)).Code, classifier.PlatformUnavailable)
	assert.Equal(t, s.calls, 0)
	store.deaf = false
	assert.Equal(t, cl.Run(t.Context(), operation(id)).Code, classifier.OutcomeUnknown)
	assert.Equal(t, s.calls, 0)
	id = newID()
	store.lose = 2
	assert.Equal(t, cl.Run(t.Context(), operation(id)).Code, classifier.OK)
	assert.Equal(t, cl.Run(t.Context(), operation(id)).Code, classifier.OK)
	assert.Equal(t, s.calls, 1)
	assert.Equal(t, store.state(t, id), StateDone)
	store.deaf = true
	assert.Equal(t, cl.Run(t.Context(), operation(id)).Code, classifier.OutcomeUnknown)
}

// Guards against two sends when two VMs get the same operation at the same time, also after a recorded "not run".
func TestRacingVMsSendOnce(t *testing.T) {
	for round := range 50 {
		store, s := newMemory(), &sender{}
		id := newID()
		if round%2 == 1 {
			s.codes = []classifier.Code{classifier.Shed, classifier.Shed, classifier.Shed}
			assert.Equal(t, newClaimer(store, s).Run(t.Context(), operation(id)).Code, classifier.Shed)
		}
		store.lose = round % 3
		var wg sync.WaitGroup
		codes := make([]classifier.Code, 4)
		for i := range codes {
			wg.Go(func() { codes[i] = newClaimer(store, s).Run(t.Context(), operation(id)).Code })
		}
		wg.Wait()
		assert.Equal(t, s.ran, 1)
		for _, code := range codes {
			assert.Assert(t, code == classifier.OK || code == classifier.OutcomeUnknown, "%s", code)
		}
	}
}

// Guards against operation IDs whose claim may be deleted, lies in the future or belongs to another request.
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
	s := &sender{}
	cl := newClaimer(newMemory(), s)
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
		assert.Equal(t, cl.Run(t.Context(), operation(id)).Code, want, id)
	}
	assert.Equal(t, s.calls, 4)
	id := newID()
	cl.Run(t.Context(), operation(id))
	other := operation(id)
	other.Fingerprint = 10
	assert.Equal(t, cl.Run(t.Context(), other).Code, classifier.BadOperationID)
}
