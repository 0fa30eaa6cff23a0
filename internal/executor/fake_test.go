package executor

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/timer"
)

type answerFunc func(ctx context.Context, died chan struct{}, r connector.SearchRequest) (connector.SearchAnswer, error)

// fakeServer is a backend server in memory. It answers at once unless answer says otherwise.
type fakeServer struct {
	mu          sync.Mutex
	incarnation int
	refuses     bool
	died        chan struct{}
	answer      answerFunc
	operate     func(ctx context.Context) error
	onDial      func()
	report      connector.Report
	held        []connector.HeldSnapshot

	running, maxRunning, conns, maxConns, dials, searches, runs int
}

func (s *fakeServer) Dial(context.Context, netip.AddrPort) (connector.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses {
		return nil, classifier.Errorf(classifier.NotSent, "refused: %w", syscall.ECONNREFUSED)
	}
	s.dials++
	s.conns++
	s.maxConns = max(s.maxConns, s.conns)
	if s.onDial != nil {
		s.onDial()
	}
	return &fakeConn{
		s:    s,
		died: s.died,
	}, nil
}

func (s *fakeServer) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuses = true
	close(s.died)
}

func (s *fakeServer) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuses = false
	s.died = make(chan struct{})
	s.incarnation++
}

func (s *fakeServer) read(count *int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *count
}

// self is the server's report, with s.mu held.
func (s *fakeServer) self() connector.Report {
	r := s.report
	r.Incarnation = fmt.Sprint("process ", s.incarnation)
	return r
}

type fakeConn struct {
	s      *fakeServer
	died   chan struct{}
	closed atomic.Bool
}

// enter counts a running request and returns the function that ends it.
func (c *fakeConn) enter(count *int) func() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	*count++
	c.s.running++
	c.s.maxRunning = max(c.s.maxRunning, c.s.running)
	return func() {
		c.s.mu.Lock()
		defer c.s.mu.Unlock()
		c.s.running--
	}
}

func (c *fakeConn) Search(ctx context.Context, r connector.SearchRequest) (connector.SearchAnswer, error) {
	defer c.enter(&c.s.searches)()
	c.s.mu.Lock()
	answer := c.s.answer
	c.s.mu.Unlock()
	if answer != nil {
		return answer(ctx, c.died, r)
	}
	return c.s.good(r), nil
}

func (s *fakeServer) good(r connector.SearchRequest) connector.SearchAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return connector.SearchAnswer{
		Held: connector.HeldSnapshot{
			Snapshot: r.Snapshot,
			Shard:    r.Shard,
			Of:       64,
		},
		Searched: 1,
		Total:    1,
		Hits: []connector.Hit{
			{
				ID:    "a",
				Score: float64(r.Shard),
			},
			{
				ID:    fmt.Sprint("shard", r.Shard),
				Score: 1,
			},
		},
		Report: s.self(),
	}
}

// hold makes searches wait for a value on the returned channel.
func (s *fakeServer) hold() chan struct{} {
	c := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = func(ctx context.Context, died chan struct{}, r connector.SearchRequest) (connector.SearchAnswer, error) {
		select {
		case <-c:
			return s.good(r), nil
		case <-died:
			return fail(classifier.ConnectionReset)(ctx, died, r)
		case <-ctx.Done():
			return connector.SearchAnswer{}, classifier.Errorf(classifier.Cancelled, "cancelled")
		}
	}
	return c
}

// fail returns an answer function that fails.
func fail(code classifier.Code) answerFunc {
	return func(context.Context, chan struct{}, connector.SearchRequest) (connector.SearchAnswer, error) {
		return connector.SearchAnswer{}, classifier.Errorf(code, "failed")
	}
}

func (c *fakeConn) Run(ctx context.Context, _ connector.Operation) (connector.OperationAnswer, error) {
	defer c.enter(&c.s.runs)()
	if c.s.operate != nil {
		if err := c.s.operate(ctx); err != nil {
			return connector.OperationAnswer{}, err
		}
	}
	return connector.OperationAnswer{
		Body: []byte("done"),
	}, nil
}

func (c *fakeConn) Status(context.Context) (connector.Status, error) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.died != c.s.died || c.s.refuses {
		return connector.Status{}, classifier.Errorf(classifier.ConnectionReset, "reset")
	}
	return connector.Status{
		Report: c.s.self(),
		Held:   c.s.held,
	}, nil
}

func (c *fakeConn) Usable() bool { return !c.closed.Load() }

func (c *fakeConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.s.mu.Lock()
		defer c.s.mu.Unlock()
		c.s.conns--
	}
	return nil
}

// fakePublisher keeps the last payload of each key.
type fakePublisher struct {
	mu   sync.Mutex
	last map[string]any
}

func (p *fakePublisher) Publish(_ messenger.RecordKind, key string, payload any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last[key] = payload
	return nil
}

func (p *fakePublisher) read(key string) any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last[key]
}

// fakeEvidence keeps the outcomes with their latencies.
type fakeEvidence struct {
	mu       sync.Mutex
	outcomes map[classifier.Code][]time.Duration
}

func (e *fakeEvidence) Observe(_, _, _ string, code classifier.Code, latency time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outcomes[code] = append(e.outcomes[code], latency)
}

// bench is an owner "vm1" of replica "s" in zone "z" with a fake server behind it.
type bench struct {
	*Executor
	server    *fakeServer
	published *fakePublisher
	evidence  *fakeEvidence
	timer     *timer.Service
}

func newBench(t testing.TB, clock *timer.Service, slots, connections int) *bench {
	t.Helper()
	b := &bench{
		server: &fakeServer{
			died: make(chan struct{}),
		},
		published: &fakePublisher{
			last: map[string]any{},
		},
		evidence: &fakeEvidence{
			outcomes: map[classifier.Code][]time.Duration{},
		},
		timer: clock,
	}
	b.Executor = New(Options{
		Name:      "vm1",
		Board:     &blackboard.Board{},
		Backend:   b.server,
		Publisher: b.published,
		Evidence:  b.evidence,
		Timer:     clock,
		Recorder:  recorder.New("vm1", clock),
		Logger:    logger.Discard(),
	})
	b.configure(parser.ZoneInService, slots, connections, "s")
	b.share(blackboard.ShareAll)
	return b
}

func (b *bench) configure(state parser.ZoneState, slots, connections int, names ...string) {
	set := parser.Set{
		parser.AvailabilityZone{
			Name:  "z",
			State: state,
		},
	}
	for _, name := range names {
		set = append(set, parser.BackendServer{
			Name:             name,
			AvailabilityZone: "z",
			Slots:            slots,
			Connections:      connections,
		})
	}
	b.board.Config.Write(blackboard.NewConfig(1, set))
}

func (b *bench) hold(h blackboard.Lease) {
	b.board.Leases.Write(&blackboard.Leases{
		ByReplica: map[string]blackboard.Lease{
			"s": h,
		},
	})
}

func (b *bench) share(share blackboard.LeaseShare) {
	b.hold(blackboard.Lease{
		Share: share,
	})
}

func (b *bench) loop(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		b.Loop(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// request asks replica "s" for n shards.
func request(n int) *messenger.SearchRequest {
	r := &messenger.SearchRequest{
		RequestID:   "r",
		Fingerprint: 0xfeed,
		Snapshot:    7,
		Limit:       10,
		Remaining:   20 * time.Second,
		SoftWait:    20 * time.Second,
	}
	for i := range n {
		r.Subs = append(r.Subs, messenger.SubRequest{
			ID:      uint32(i + 1),
			Replica: "s",
			Shard:   i,
		})
	}
	return r
}

func (b *bench) ask(r *messenger.SearchRequest) *messenger.SearchReply {
	reply := &messenger.SearchReply{}
	_ = b.Search(r, reply)
	return reply
}

func (b *bench) code(r *messenger.SearchRequest) classifier.Code {
	return b.ask(r).Answers[0].Code
}

// start runs a search whose reply comes on the channel.
func (b *bench) start(r *messenger.SearchRequest) chan *messenger.SearchReply {
	c := make(chan *messenger.SearchReply, 1)
	go func() {
		c <- b.ask(r)
	}()
	return c
}

// warm lets the ramp reach its limit.
func (b *bench) warm(t testing.TB) {
	t.Helper()
	r, err := b.replica("s")
	assert.NilError(t, err)
	eventually(t, "the ramp is at its limit", func() bool {
		b.ask(request(1))
		return r.ramp.State() == blackboard.ReplicaWarm
	})
}

func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for range 20000 {
		if holds() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("not reached: " + what)
}

// endPause lets a fingerprint that crashed the server be tried again at once.
func (b *bench) endPause(fingerprint uint64) {
	b.crashes.mu.Lock()
	defer b.crashes.mu.Unlock()
	b.crashes.counts[fingerprint].until = time.Time{}
}

// reported returns the last report about the replica, which is zero before the first one.
func (b *bench) reported() messenger.ReplicaRecord {
	r, _ := b.published.read("s").(messenger.ReplicaRecord)
	return r
}
