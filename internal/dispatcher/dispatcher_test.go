package dispatcher_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/anvildyke/anvildyke/internal/balancer"
	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/budgeter"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/dispatcher"
	"github.com/anvildyke/anvildyke/internal/isolator"
	"github.com/anvildyke/anvildyke/internal/router"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// behavior is the reaction of a simulated server to every request.
type behavior string

const (
	succeeds          behavior = "ok"
	sheds             behavior = "shed"
	pauses            behavior = "pause"
	fails             behavior = "fail"
	resets            behavior = "break"
	refusesConnection behavior = "down"
	hangs             behavior = "silent"
	panics            behavior = "panic"
	// crashes ends the server, which refuses connections afterwards, when it begins to run a request whose body is poison, and
	// answers other requests.
	crashes behavior = "crash"
)

const poison = "poison"

// pauseDuration is the time for which a server that pauses wants no requests.
const pauseDuration = 10 * time.Second

// fakeSender simulates the servers without a network.
type fakeSender struct {
	behaviors map[string]behavior

	mu sync.Mutex
	// crashed contains the addresses of the servers that have crashed.
	crashed map[netip.AddrPort]bool
	// troubled, if it is not "", is how servers react to every third request whose body is poison before they begin to run it. poisons
	// counts these requests.
	troubled behavior
	poisons  int
	// ran and sent count the requests per server. A request that a server rejects counts only as sent.
	ran  map[string]int
	sent map[string]int
}

// Reach implements isolator.Dialer.
func (f *fakeSender) Reach(_ context.Context, addr netip.AddrPort) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashed[addr] {
		return syscall.ECONNREFUSED
	}
	return nil
}

func (f *fakeSender) Send(ctx context.Context, r *dispatcher.Request, e discoverer.Endpoint, _ bool) (*fasthttp.Response, dispatcher.Reply, error) {
	b := f.behaviors[e.ID]
	f.mu.Lock()
	if b == crashes && f.crashed[e.Address] {
		b = refusesConnection
	}
	if b == crashes && string(r.Body) == poison {
		f.poisons++
		if f.troubled != "" && f.poisons%3 == 0 {
			b = f.troubled
		} else {
			f.crashed[e.Address] = true
			b = resets
		}
	}
	f.sent[e.ID]++
	if b != sheds && b != pauses && b != refusesConnection {
		f.ran[e.ID]++
	}
	f.mu.Unlock()
	switch b {
	case sheds:
		return fasthttp.AcquireResponse(), dispatcher.Reply{
			Status: 503,
			NotRun: true,
		}, nil
	case pauses:
		return fasthttp.AcquireResponse(), dispatcher.Reply{
			Status:     503,
			NotRun:     true,
			RetryAfter: pauseDuration,
		}, nil
	case fails:
		resp := fasthttp.AcquireResponse()
		resp.SetStatusCode(500)
		return resp, dispatcher.Reply{
			Status:    500,
			Signature: "proof-" + e.ID,
		}, nil
	case "503", "429", "408":
		status, err := strconv.Atoi(string(b))
		if err != nil {
			panic(err)
		}
		resp := fasthttp.AcquireResponse()
		resp.SetStatusCode(status)
		return resp, dispatcher.Reply{
			Status:    status,
			Signature: "proof-" + e.ID,
		}, nil
	case resets:
		return nil, dispatcher.Reply{}, classifier.Errorf(classifier.ConnectionReset, "the connection was reset")
	case refusesConnection:
		return nil, dispatcher.Reply{}, classifier.Errorf(classifier.NotSent, "the connection was refused")
	case panics:
		panic("a fault in the sender")
	case hangs:
		<-ctx.Done()
		return nil, dispatcher.Reply{}, classifier.Errorf(classifier.Timeout, "no answer")
	}
	resp := fasthttp.AcquireResponse()
	resp.SetBodyString("record-of-" + e.ID + "-----------")
	return resp, dispatcher.Reply{
		Status:    200,
		Signature: "proof-" + e.ID,
	}, nil
}

func (f *fakeSender) total(counts map[string]int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

type discardObserver struct{}

func (discardObserver) Observe(string, string, string, classifier.Code, time.Duration) {}

type fixture struct {
	board      *blackboard.Gateway
	sender     *fakeSender
	dispatcher *dispatcher.Dispatcher
	route      *router.Route
	table      *router.Table
}

// newFixture returns a dispatcher with servers that are given as "0a=ok": the server 0a belongs to the shard 0 and answers.
func newFixture(kind string, servers []string) *fixture {
	f := &fixture{
		sender: &fakeSender{
			behaviors: map[string]behavior{},
			crashed:   map[netip.AddrPort]bool{},
			ran:       map[string]int{},
			sent:      map[string]int{},
		},
		route: &router.Route{
			Name:          "route",
			Idempotent:    kind != "once",
			Timeout:       400 * time.Millisecond,
			TargetLatency: 100 * time.Millisecond,
			MaxAttempts:   2,
		},
	}
	view := &discoverer.View{
		Loaded:    true,
		ByService: map[string][]discoverer.Endpoint{},
	}
	var shards []string
	for i, s := range servers {
		id, b, _ := strings.Cut(s, "=")
		name := "s" + id[:1]
		f.sender.behaviors[id] = behavior(b)
		if _, ok := view.ByService[name]; !ok {
			shards = append(shards, name)
		}
		if b == "none" {
			view.ByService[name] = nil
			continue
		}
		view.ByService[name] = append(view.ByService[name], discoverer.Endpoint{
			Server: &discoverer.Server{
				ID:      id,
				Service: name,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
				Zone:    "north",
				Region:  "north",
				Slots:   3,
			},
		})
	}
	f.route.Destination = router.Single{
		Service: shards[0],
	}
	if kind == "search" {
		f.route.Destination = router.Fanout{
			Shards:           shards,
			TopK:             2,
			MinShardFraction: 0.6,
		}
	}
	f.table = router.NewTable(router.Config{
		Version: 1,
	})
	board := &blackboard.Gateway{}
	board.Servers.Write(view)
	f.board = board
	crashed := isolator.New(nil, zerolog.Nop())
	f.dispatcher = dispatcher.New(dispatcher.Options{
		Board: board,
		Balancer: balancer.New(balancer.Config{
			Zone:   "north",
			Region: "north",
		}),
		Budgeter: budgeter.New(budgeter.Config{
			Window:         10 * time.Second,
			Ratio:          0.2,
			FixedAllowance: 54,
		}, 1),
		Sender:   f.sender,
		Observer: discardObserver{},
		Isolator: crashed,
		Checker: isolator.NewChecker(isolator.CheckerOptions{
			Isolator:   crashed,
			Dialer:     f.sender,
			IsReplaced: func(discoverer.Key) bool { return false },
			Timer:      timer.NewWall(),
			Log:        zerolog.Nop(),
		}),
		Timer:   timer.NewWall(),
		Log:     zerolog.Nop(),
		Metrics: dispatcher.NewMetrics(prometheus.NewRegistry()),
	})
	return f
}

func (f *fixture) send(ctx context.Context) (dispatcher.Outcome, time.Duration) {
	return f.sendBody(ctx, "")
}

func (f *fixture) sendBody(ctx context.Context, body string) (dispatcher.Outcome, time.Duration) {
	now := time.Now()
	out := f.dispatcher.Run(ctx, dispatcher.Request{
		ID:       "request",
		Table:    f.table,
		Route:    f.route,
		Header:   &fasthttp.RequestHeader{},
		Body:     []byte(body),
		Arrived:  now,
		Deadline: now.Add(2 * time.Second),
	})
	return out, time.Since(now)
}

func describe(out dispatcher.Outcome) string {
	switch o := out.(type) {
	case dispatcher.SingleAnswer:
		defer fasthttp.ReleaseResponse(o.Response)
		return "status-" + strconv.Itoa(o.Response.StatusCode())
	case dispatcher.MergedAnswer:
		return fmt.Sprintf("merged-%d-missing-%d", len(o.Signatures), o.MissingShards)
	case dispatcher.Failure:
		if o.Code.NotRun() {
			return "not-run"
		}
		return "unknown"
	default:
		return "?"
	}
}

// Guards against failures that are falsely reported as not run, non-idempotent requests that run twice, errors of one server that
// are returned although another server could answer, and searches that wait for shards without servers.
func TestOutcomes(t *testing.T) {
	data, err := os.ReadFile("testdata/outcomes.txt")
	assert.NilError(t, err)
	for _, line := range strings.Split(string(data), "\n") {
		setup, want, ok := strings.Cut(line, "->")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Fields(setup)
		t.Run(strings.TrimSpace(line), func(t *testing.T) {
			t.Parallel()
			f := newFixture(fields[0], fields[1:])
			out, elapsed := f.send(context.Background())
			got := describe(out)
			alternatives := strings.Split(strings.TrimSpace(want), " or ")
			found := false
			for _, a := range alternatives {
				found = found || a == got
			}
			assert.Assert(t, found, "got %s", got)
			if fields[0] == "once" {
				assert.Assert(t, f.sender.total(f.sender.ran) <= 1)
			}
			if got == "not-run" {
				assert.Equal(t, f.sender.total(f.sender.ran), 0)
			}
			assert.Assert(t, elapsed < 5*time.Second)
		})
	}
}

// Every replica of one shard is gone during a load of searches. Guards against searches that wait until their deadline although
// they cannot get enough shards, and against work on servers for such searches.
func TestFanoutWithoutEnoughShardsFailsImmediately(t *testing.T) {
	f := newFixture("search", []string{"0a=ok", "1a=none", "2a=none"})
	for range 50 {
		out, elapsed := f.send(context.Background())
		failure, ok := out.(dispatcher.Failure)
		assert.Assert(t, ok)
		assert.Equal(t, failure.Code, classifier.NoReplica)
		assert.Assert(t, failure.RetryAfter > 0)
		assert.Assert(t, elapsed < f.route.Timeout, "the failure took %v", elapsed)
	}
	assert.Equal(t, f.sender.total(f.sender.sent), 0)
}

// A zone loses the connection to the servers of most shards during a load of searches. Guards against searches that wait until
// their deadline for servers that are known to be unreachable, as 43 searches once did.
func TestFanoutToUnreachableServersFailsImmediately(t *testing.T) {
	f := newFixture("search", []string{"0a=ok", "1a=down", "2a=down"})
	f.send(context.Background())
	// The first search ends when the second shard is found to be unreachable, possibly before the attempt at the first shard has
	// started.
	const sent = 3
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := f.sender.total(f.sender.sent); n != sent {
			return poll.Continue("%d attempts of %d", n, sent)
		}
		return poll.Success()
	})
	for range 20 {
		out, _ := f.send(context.Background())
		assert.Equal(t, describe(out), "not-run")
	}
	assert.Equal(t, f.sender.total(f.sender.sent), sent)
}

// All servers of a service reject requests because they are overloaded. Guards against retries that multiply the load beyond the
// attempts of the route and the retry budget.
func TestRetriesToOverloadedServersStayWithinBudget(t *testing.T) {
	f := newFixture("single", []string{"0a=shed", "0b=shed", "0c=shed", "0d=shed", "0e=shed"})
	const requests = 300
	for range requests {
		out, _ := f.send(context.Background())
		assert.Equal(t, describe(out), "not-run")
	}
	extraAttempts := f.sender.total(f.sender.sent) - requests
	assert.Assert(t, float64(extraAttempts) <= 0.2*requests+54, "%d extra attempts", extraAttempts)
}

// Guards against requests that continue after the caller has disconnected.
func TestRequestEndsWhenCallerDisconnects(t *testing.T) {
	f := newFixture("search", []string{"0a=silent", "1a=silent"})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	out, _ := f.send(ctx)
	failure, ok := out.(dispatcher.Failure)
	assert.Assert(t, ok)
	assert.Equal(t, failure.Code, classifier.Cancelled)
}

// Guards against a hedge that is not sent after the target latency has passed, so that a request whose answer is lost waits until
// its deadline.
func TestHedgeIsSentAfterTargetLatency(t *testing.T) {
	f := newFixture("single", []string{"0a=silent", "0b=ok"})
	f.route.TargetLatency = 10 * time.Millisecond
	for range 20 {
		out, elapsed := f.send(context.Background())
		assert.Equal(t, describe(out), "status-200", "after %v", elapsed)
	}
}

// All servers of a service ask for no requests for a while, under a load of requests. Guards against requests that are sent
// nevertheless or wait for their deadline, and against a delay for the caller that ends before the pause.
func TestRequestsToPausedServersFailImmediately(t *testing.T) {
	f := newFixture("single", []string{"0a=pause", "0b=pause"})
	f.send(context.Background())
	sent := f.sender.total(f.sender.sent)
	assert.Equal(t, sent, 2)
	for range 50 {
		out, elapsed := f.send(context.Background())
		failure, ok := out.(dispatcher.Failure)
		assert.Assert(t, ok)
		assert.Assert(t, failure.Code.NotRun())
		assert.Assert(t, failure.RetryAfter > pauseDuration-waitTimeout && failure.RetryAfter <= pauseDuration, "%v", failure.RetryAfter)
		assert.Assert(t, elapsed < f.route.Timeout, "the failure took %v", elapsed)
	}
	assert.Equal(t, f.sender.total(f.sender.sent), sent)
}

// waitTimeout is longer than the tests of paused servers take.
const waitTimeout = 5 * time.Second

// All servers of one shard ask for no requests for a while, under a load of searches. Guards against searches that wait for the
// shard, and against hedges and retries to it.
func TestSearchesLeaveOutPausedShards(t *testing.T) {
	f := newFixture("search", []string{"0a=ok", "1a=ok", "2a=pause", "2b=pause"})
	f.route.TargetLatency = time.Second
	f.route.Timeout = 2 * time.Second
	f.send(context.Background())
	for range 50 {
		out, elapsed := f.send(context.Background())
		assert.Equal(t, describe(out), "merged-2-missing-1")
		assert.Assert(t, elapsed < f.route.TargetLatency/2, "the search took %v", elapsed)
	}
	assert.Assert(t, f.sender.sent["2a"] <= 1 && f.sender.sent["2b"] <= 1, "%v", f.sender.sent)
}

// The servers of a service are slow, and one of them leaves while requests run. Guards against hedges and retries to servers that are
// no longer listed, or whose zone is evacuated, at the time of the attempt (review case 3).
func TestLaterAttemptsUseCurrentLists(t *testing.T) {
	for _, change := range []string{"removed", "evacuated"} {
		t.Run(change, func(t *testing.T) {
			for range 10 {
				f := newFixture("single", []string{"0a=silent", "0b=silent", "0c=silent"})
				ctx, cancel := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				wg.Go(func() {
					f.send(ctx)
				})
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if f.sender.total(f.sender.sent) == 0 {
						return poll.Continue("no attempt yet")
					}
					return poll.Success()
				}, poll.WithDelay(time.Millisecond))
				f.sender.mu.Lock()
				left := "0a"
				if f.sender.sent[left] > 0 {
					left = "0b"
				}
				f.sender.mu.Unlock()
				f.takeAway(left, change == "evacuated")
				wg.Wait()
				cancel()
				f.sender.mu.Lock()
				assert.Check(t, f.sender.sent[left] == 0, "%s was used after it had been %s: %v", left, change, f.sender.sent)
				f.sender.mu.Unlock()
				assert.Check(t, f.sender.total(f.sender.sent) == 2, "%v", f.sender.sent)
			}
		})
	}
}

// takeAway removes a server of the first shard from the list, or evacuates its zone, to which it is moved before.
func (f *fixture) takeAway(id string, evacuate bool) {
	old := f.board.Servers.Read()
	view := &discoverer.View{
		Loaded:    true,
		Revision:  old.Revision + 1,
		ByService: map[string][]discoverer.Endpoint{},
	}
	for _, e := range old.ByService["s0"] {
		if e.ID == id {
			if !evacuate {
				continue
			}
			s := *e.Server
			s.Zone = "south"
			e.Server = &s
		}
		view.ByService["s0"] = append(view.ByService["s0"], e)
	}
	f.board.Servers.Write(view)
	if evacuate {
		f.board.EvacuatedZones.Write(&blackboard.EvacuatedZones{
			Zones: map[string]struct{}{
				"south": {},
			},
		})
	}
}

// A request that crashes each server that runs it comes again and again, beside a load of ordinary requests. Guards against a request
// that is sent to server after server, and against ordinary requests that are refused with it.
func TestCrashingRequestIsIsolated(t *testing.T) {
	var servers []string
	for _, id := range []string{"0a", "0b", "0c", "0d", "0e", "0f"} {
		servers = append(servers, id+"=crash")
	}
	f := newFixture("single", servers)
	for n := range 6 {
		out, _ := f.sendBody(context.Background(), poison)
		if n >= 3 {
			failure, ok := out.(dispatcher.Failure)
			assert.Assert(t, ok)
			assert.Equal(t, failure.Code, classifier.Isolated)
			assert.Assert(t, failure.RetryAfter > time.Minute)
		}
		// Longer than the check of a crashed server takes.
		time.Sleep(200 * time.Millisecond)
		for range 10 {
			out, _ := f.send(context.Background())
			assert.Equal(t, describe(out), "status-200")
		}
	}
	f.sender.mu.Lock()
	defer f.sender.mu.Unlock()
	assert.Equal(t, len(f.sender.crashed), 3)
}

// Servers in trouble answer some of the requests that would crash them with a failure. Guards against a failure that counts as a proof that the
// request is harmless (issue 43).
func TestFailureDoesNotEndIsolation(t *testing.T) {
	for _, troubled := range []behavior{fails, "503", "429", "408"} {
		t.Run(string(troubled), func(t *testing.T) {
			t.Parallel()
			var servers []string
			for i := range 12 {
				servers = append(servers, fmt.Sprintf("0%c=crash", 'a'+i))
			}
			f := newFixture("single", servers)
			f.sender.troubled = troubled
			for range 8 {
				f.sendBody(context.Background(), poison)
				// Longer than the check of a crashed server takes.
				time.Sleep(200 * time.Millisecond)
			}
			f.sender.mu.Lock()
			defer f.sender.mu.Unlock()
			assert.Equal(t, len(f.sender.crashed), 3)
		})
	}
}

// Guards against a request that is isolated because servers reset its connections without a crash.
func TestResetConnectionsIsolateNothing(t *testing.T) {
	f := newFixture("single", []string{"0a=break", "0b=break", "0c=break"})
	for range 5 {
		out, _ := f.send(context.Background())
		assert.Equal(t, describe(out), "unknown")
		time.Sleep(200 * time.Millisecond)
	}
}
