package backend_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/standin/backend"
	"github.com/anvildyke/anvildyke/internal/standin/corpus"
)

// These tests guard against switches of the stand-in that have no effect and counters that hide an excess. Tests of the daemon
// that rely on them would pass even if the daemon were faulty.

func startServer(t *testing.T, change func(*backend.Config)) *backend.Server {
	t.Helper()
	local := netip.MustParseAddrPort("127.0.0.1:0")
	cfg := backend.Config{
		Address:        local,
		ControlAddress: local,
		HeldShards:     "1:0:2,2:1:3",
		Slots:          2,
		MaxConnections: 20,
		CrashMarker:    "CRASH",
		Switches: backend.Switches{
			Searched: corpus.PartsPerShard,
			ColdWork: 1,
		},
	}
	if change != nil {
		change(&cfg)
	}
	s, err := backend.Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

func dial(t *testing.T, s *backend.Server) connector.Conn {
	t.Helper()
	c, err := connector.NewHTTPDialer().Dial(context.Background(), s.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

func searchRequest(id, body string) connector.SearchRequest {
	return connector.SearchRequest{
		RequestID: id,
		Route:     "find",
		Snapshot:  1,
		Limit:     10,
		Body:      []byte(body),
	}
}

func search(t *testing.T, s *backend.Server, body string) (connector.SearchResponse, classifier.Code) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	a, err := dial(t, s).Search(ctx, searchRequest("q1", body))
	return a, classifier.CodeOf(err)
}

func waitForCounters(t *testing.T, s *backend.Server, condition string, ok func(backend.Counters) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c := s.Counters(); !ok(c) {
			return poll.Continue("waiting for %s: %+v", condition, c)
		}
		return poll.Success()
	})
}

func TestSearchReturnsTheHitsOfTheCorpus(t *testing.T) {
	s := startServer(t, nil)
	a, code := search(t, s, "toy")
	assert.Equal(t, code, classifier.OK)
	assert.DeepEqual(t, a.Hits, corpus.TopShardHits(1, 0, 2, []byte("toy"), 10))
	bothShards := slices.Concat(a.Hits, corpus.TopShardHits(1, 1, 2, []byte("toy"), 10))
	for _, h := range corpus.TopHits(1, []byte("toy"), 10) {
		assert.Assert(t, slices.ContainsFunc(bothShards, func(b connector.Hit) bool { return b.ID == h.ID }))
	}
	assert.Assert(t, !slices.Equal(corpus.Documents(1, 0, 1), corpus.Documents(2, 0, 1)))
}

func TestSwitchesChangeTheResultCode(t *testing.T) {
	cases := []struct {
		query string
		code  classifier.Code
	}{
		{"Drop=1:0:2", classifier.SnapshotGone},
		{"Draining=true", classifier.Draining},
		{"FailRoute=find&FailShare=1", classifier.BackendFailed},
		{"FailRoute=other&FailShare=1", classifier.OK},
		{"SlowRoute=*&SlowTime=1m", classifier.Timeout},
		{"StraggleShare=1&StraggleTime=1000h", classifier.Timeout},
		{"Frozen=true", classifier.Timeout},
		{"Late=1", classifier.Timeout},
		{"Crossed=1", classifier.BadAnswer},
		{"Duplicated=1", classifier.OK},
		{"Reset=1", classifier.ConnectionReset},
	}
	for _, tc := range cases {
		t.Run(tc.query, func(t *testing.T) {
			s := startServer(t, nil)
			resp, err := http.Post(fmt.Sprintf("http://%s/switch?%s", s.ControlAddr(), tc.query), "", nil)
			assert.NilError(t, err)
			resp.Body.Close()
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			_, code := search(t, s, "toy")
			assert.Equal(t, code, tc.code)
		})
	}
}

func TestPartialAnswerAndStatus(t *testing.T) {
	s := startServer(t, nil)
	s.UpdateSwitches(func(sw *backend.Switches) {
		sw.Searched = 1
		sw.Cold = true
		sw.Hold = "3:0:1"
	})
	st, err := dial(t, s).Status(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, st.Report.Cold)
	assert.Equal(t, st.Report.Incarnation, s.Counters().Incarnation)
	assert.Equal(t, len(st.Held), 3)
	s.UpdateSwitches(func(sw *backend.Switches) { sw.Mislead = true })
	st, err = dial(t, s).Status(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, !st.Report.Cold)
	a, code := search(t, s, "toy")
	assert.Equal(t, code, classifier.OK)
	assert.Equal(t, a.Searched, 1)
	assert.Equal(t, a.Total, corpus.PartsPerShard)
	assert.DeepEqual(t, a.Hits, corpus.TopPartialShardHits(1, 0, 2, 1, []byte("toy"), 10))
}

func TestOperationsAreCounted(t *testing.T) {
	s := startServer(t, nil)
	c := dial(t, s)
	for _, id := range []string{"op-1", "op-2", "op-2"} {
		_, err := c.Run(context.Background(), connector.Operation{
			RequestID:   "r-" + id,
			OperationID: id,
		})
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, s.Counters().Operations, map[string]int{"op-1": 1, "op-2": 2})
}

func TestRequestsBeyondTheColdLimitAreShedAndCounted(t *testing.T) {
	s := startServer(t, nil)
	s.UpdateSwitches(func(sw *backend.Switches) {
		sw.Cold = true
		sw.Frozen = true
	})
	var wg sync.WaitGroup
	for range 4 {
		c := dial(t, s)
		wg.Go(func() {
			_, _ = c.Search(context.Background(), searchRequest("q1", "toy"))
		})
	}
	waitForCounters(t, s, "three requests beyond the cold limit", func(c backend.Counters) bool { return c.ColdExcess == 3 })
	s.UpdateSwitches(func(sw *backend.Switches) { sw.Frozen = false })
	wg.Wait()
	c := s.Counters()
	assert.Equal(t, c.MaxConcurrency, 4)
	assert.Equal(t, c.Searches, 1)
	assert.Equal(t, c.Shed, 3)
	assert.Assert(t, !c.Cold, "one answer raises the limit to both slots, but the server is cold")
}

func TestConnectionsBeyondTheLimitAreRefusedAndCounted(t *testing.T) {
	s := startServer(t, func(cfg *backend.Config) { cfg.MaxConnections = 2 })
	dial(t, s)
	dial(t, s)
	waitForCounters(t, s, "two open connections", func(c backend.Counters) bool { return c.Connections == 2 })
	_, code := search(t, s, "toy")
	assert.Assert(t, code == classifier.ConnectionReset || code == classifier.NotSent, "%s", code)
	assert.Equal(t, s.Counters().MaxConnections, 3)
	assert.Equal(t, s.Counters().RefusedConnections, 1)
}

func TestClosedConnectionCancelsItsRequest(t *testing.T) {
	s := startServer(t, func(cfg *backend.Config) { cfg.Switches.ServiceTime = time.Hour })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := dial(t, s)
	go func() {
		_, _ = c.Search(ctx, searchRequest("q1", "toy"))
	}()
	waitForCounters(t, s, "one running search", func(c backend.Counters) bool { return c.Searches == 1 })
	cancel()
	waitForCounters(t, s, "the cancellation", func(c backend.Counters) bool { return c.Cancelled == 1 && c.Present == 0 })
}

func TestRequestWithCrashMarkerCrashesTheServer(t *testing.T) {
	crashed := make(chan struct{}, 1)
	s := startServer(t, func(cfg *backend.Config) {
		cfg.OnCrash = func() { crashed <- struct{}{} }
	})
	search(t, s, "a CRASH b")
	<-crashed
}
