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

type answerFunc func(ctx context.Context, died chan struct{}, r connector.SearchRequest) (connector.SearchResponse, error)

// fakeServer is a backend server in memory. It answers at once unless answer or operate is set.
type fakeServer struct {
	mu          sync.Mutex
	incarnation int
	refuseDials bool
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
	if s.refuseDials {
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
	s.refuseDials = true
	close(s.died)
}

func (s *fakeServer) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseDials = false
	s.died = make(chan struct{})
	s.incarnation++
}

func (s *fakeServer) read(count *int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *count
}

// currentReport returns the server's report. The caller holds s.mu.
func (s *fakeServer) currentReport() connector.Report {
	r := s.report
	r.Incarnation = fmt.Sprint("process ", s.incarnation)
	return r
}

type fakeConn struct {
	s      *fakeServer
	died   chan struct{}
	closed atomic.Bool
}

// countRequest increments count and the number of running requests. The returned function decrements the latter.
func (c *fakeConn) countRequest(count *int) func() {
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

func (c *fakeConn) Search(ctx context.Context, r connector.SearchRequest) (connector.SearchResponse, error) {
	defer c.countRequest(&c.s.searches)()
	c.s.mu.Lock()
	answer := c.s.answer
	c.s.mu.Unlock()
	if answer != nil {
		return answer(ctx, c.died, r)
	}
	return c.s.validAnswer(r), nil
}

func (s *fakeServer) validAnswer(r connector.SearchRequest) connector.SearchResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return connector.SearchResponse{
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
		Report: s.currentReport(),
	}
}

// blockSearches makes each search wait for a value on the returned channel, for the end of its context or for a kill.
func (s *fakeServer) blockSearches() chan struct{} {
	release := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = func(ctx context.Context, died chan struct{}, r connector.SearchRequest) (connector.SearchResponse, error) {
		select {
		case <-release:
			return s.validAnswer(r), nil
		case <-died:
			return failWith(classifier.ConnectionReset)(ctx, died, r)
		case <-ctx.Done():
			return connector.SearchResponse{}, classifier.Errorf(classifier.Cancelled, "cancelled")
		}
	}
	return release
}

func failWith(code classifier.Code) answerFunc {
	return func(context.Context, chan struct{}, connector.SearchRequest) (connector.SearchResponse, error) {
		return connector.SearchResponse{}, classifier.Errorf(code, "failed")
	}
}

func (c *fakeConn) Run(ctx context.Context, _ connector.Operation) (connector.OperationResponse, error) {
	defer c.countRequest(&c.s.runs)()
	if c.s.operate != nil {
		if err := c.s.operate(ctx); err != nil {
			return connector.OperationResponse{}, err
		}
	}
	return connector.OperationResponse{
		Body: []byte("done"),
	}, nil
}

func (c *fakeConn) Status(context.Context) (connector.Status, error) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.died != c.s.died || c.s.refuseDials {
		return connector.Status{}, classifier.Errorf(classifier.ConnectionReset, "reset")
	}
	return connector.Status{
		Report: c.s.currentReport(),
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

// fakePublisher stores the last payload of each key.
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

// fakeEvidence stores the observed latencies by result code.
type fakeEvidence struct {
	mu       sync.Mutex
	outcomes map[classifier.Code][]time.Duration
}

func (e *fakeEvidence) Observe(_, _, _ string, code classifier.Code, latency time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outcomes[code] = append(e.outcomes[code], latency)
}

// fixture is an Executor on VM "vm1", which owns replica "s" in zone "z", with a fake backend server.
type fixture struct {
	*Executor
	server    *fakeServer
	published *fakePublisher
	evidence  *fakeEvidence
	timer     *timer.Service
}

func newFixture(t testing.TB, clock *timer.Service, slots, connections int) *fixture {
	t.Helper()
	f := &fixture{
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
	f.Executor = New(Options{
		Name:      "vm1",
		Board:     &blackboard.Board{},
		Dialer:    f.server,
		Publisher: f.published,
		Evidence:  f.evidence,
		Timer:     clock,
		Recorder:  recorder.New("vm1", clock),
		Logger:    logger.Discard(),
	})
	f.configure(parser.ZoneInService, slots, connections, "s")
	f.setShare(blackboard.ShareAll)
	return f
}

func (f *fixture) configure(state parser.ZoneState, slots, connections int, names ...string) {
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
	f.board.Config.Write(blackboard.NewConfig(1, set))
}

func (f *fixture) setLease(lease blackboard.Lease) {
	f.board.Leases.Write(&blackboard.Leases{
		ByReplica: map[string]blackboard.Lease{
			"s": lease,
		},
	})
}

func (f *fixture) setShare(share blackboard.LeaseShare) {
	f.setLease(blackboard.Lease{
		Share: share,
	})
}

func (f *fixture) startLoop(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		f.Loop(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// searchRequest returns a request with n sub-requests for different shards, all on replica "s".
func searchRequest(n int) *messenger.SearchRequest {
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

func (f *fixture) search(r *messenger.SearchRequest) *messenger.SearchReply {
	reply := &messenger.SearchReply{}
	_ = f.Search(r, reply)
	return reply
}

func (f *fixture) searchCode(r *messenger.SearchRequest) classifier.Code {
	return f.search(r).Answers[0].Code
}

// startSearch starts a search and returns the channel on which its reply arrives.
func (f *fixture) startSearch(r *messenger.SearchRequest) chan *messenger.SearchReply {
	c := make(chan *messenger.SearchReply, 1)
	go func() {
		c <- f.search(r)
	}()
	return c
}

// warmUp sends searches until the ramp has reached its limit.
func (f *fixture) warmUp(t testing.TB) {
	t.Helper()
	r, err := f.replica("s")
	assert.NilError(t, err)
	eventually(t, "the ramp is at its limit", func() bool {
		f.search(searchRequest(1))
		return r.ramp.State() == blackboard.ReplicaWarm
	})
}

func eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	for range 20000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("condition not reached: " + description)
}

// endCooldown ends the cooldown of a fingerprint that crashed the server, so that it can be sent again at once.
func (f *fixture) endCooldown(fingerprint uint64) {
	f.crashes.mu.Lock()
	defer f.crashes.mu.Unlock()
	f.crashes.counts[fingerprint].cooldownUntil = time.Time{}
}

// lastReport returns the last published report about the replica, or the zero value before the first one.
func (f *fixture) lastReport() messenger.ReplicaRecord {
	r, _ := f.published.read("s").(messenger.ReplicaRecord)
	return r
}
