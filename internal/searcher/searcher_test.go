package searcher

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

const testLimit = 15

func request(n int, remaining time.Duration) Request {
	body := fmt.Appendf(nil, "query %d", n)
	return Request{
		ID:          fmt.Sprint("r", n),
		Application: "app",
		Route:       "find",
		Fingerprint: Fingerprint("app", "find", body),
		Limit:       testLimit,
		Body:        body,
		Remaining:   remaining,
	}
}

// checkExact compares the hits with the documents that the reported coverage includes, and checks the coverage's totals and the
// code.
func checkExact(t *testing.T, resp Response) {
	t.Helper()
	missing := map[int]MissingShard{}
	for _, m := range resp.Coverage.Missing {
		missing[m.Shard] = m
	}
	var want []messenger.Hit
	sum, answered := 0.0, 0
	for n := range resp.Coverage.Total {
		searched := partsPerShard
		if m, ok := missing[n]; ok {
			searched = 0
			if m.Code == classifier.Partial {
				_, err := fmt.Sscanf(m.Reason, "%d of", &searched)
				assert.NilError(t, err)
			}
		}
		if searched > 0 {
			answered++
		}
		sum += float64(searched) / partsPerShard
		want = append(want, docs(resp.Snapshot, n, searched)...)
	}
	got := append([]messenger.Hit{}, resp.Hits...)
	assert.DeepEqual(t, got, append([]messenger.Hit{}, topHits(want, testLimit)...))
	assert.Equal(t, resp.Coverage.Answered, answered)
	assert.Assert(t, math.Abs(resp.Coverage.Fraction-sum/float64(max(1, resp.Coverage.Total))) < 1e-9)
	assert.Equal(t, resp.Code == classifier.OK, len(missing) == 0)
}

// randomBehavior returns a behavior that depends only on the seed, the request and the sub-request, not on the scheduling of
// goroutines.
func randomBehavior(seed int, r *messenger.SearchRequest, sub messenger.SubRequest) behavior {
	rng := rand.New(rand.NewPCG(uint64(seed), xxhash.Sum64String(fmt.Sprint(r.RequestID, sub.Replica, sub.ID))))
	codes := []classifier.Code{
		classifier.QueueFull, classifier.Shed, classifier.Timeout, classifier.ConnectionReset, classifier.BadAnswer,
		classifier.NotOwner, classifier.ZoneOut, classifier.BackendFailed, classifier.Draining, classifier.SnapshotGone,
	}
	switch n := rng.IntN(100); {
	case n < 15:
		return behavior{
			code:      codes[rng.IntN(len(codes))],
			delay:     time.Duration(rng.IntN(2)) * time.Millisecond,
			duplicate: n < 5,
		}
	case n < 30:
		return behavior{
			delay:     time.Duration(1+rng.IntN(20)) * time.Millisecond,
			parts:     1 + rng.IntN(partsPerShard),
			duplicate: n < 20,
		}
	case n < 32:
		return behavior{
			noAnswer: true,
		}
	case n < 34:
		return behavior{
			err: classifier.Errorf(classifier.NotSent, "refused: %w", syscall.ECONNREFUSED),
		}
	case n < 40:
		return behavior{
			parts:     1 + rng.IntN(partsPerShard),
			duplicate: true,
		}
	default:
		return behavior{}
	}
}

// Guards against responses that mix snapshots, lose or repeat hits, or report a coverage that does not match the hits. Replicas
// return random codes and delayed, partial and repeated answers, sub-requests are hedged, and a snapshot disappears during the
// queries.
func TestAnswersAreExactUnderRandomFaults(t *testing.T) {
	for seed := range 60 {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			board := testBoard(5)
			s, f := newTestSearcher(board, 1000, func(_ string, r *messenger.SearchRequest, sub messenger.SubRequest) behavior {
				b := randomBehavior(seed, r, sub)
				if b.code == classifier.SnapshotGone {
					board.Replicas.Write(testBoard(5, 6).Replicas.Read())
				}
				return b
			})
			answered := 0
			for n := range 4 {
				resp := s.Search(t.Context(), request(n, 150*time.Millisecond))
				checkExact(t, resp)
				answered += resp.Coverage.Answered
			}
			assert.Assert(t, answered > 0)
			f.mu.Lock()
			defer f.mu.Unlock()
			assert.Assert(t, len(f.sent) <= 4*testShards*(maxAttempts+maxResends)*(maxRestarts+1))
		})
	}
}

// Guards against incomplete responses although another replica can answer and the budgets allow the attempts.
func TestAnswersAreCompleteWhenAnotherReplicaAnswers(t *testing.T) {
	s, _ := newTestSearcher(testBoard(5), 1000, func(_ string, _ *messenger.SearchRequest, sub messenger.SubRequest) behavior {
		switch {
		case sub.Replica[0] != 'a':
			return behavior{}
		case sub.Shard%3 == 0:
			return behavior{
				code: classifier.Shed,
			}
		case sub.Shard%3 == 1:
			return behavior{
				noAnswer: true,
			}
		default:
			return behavior{
				delay: 5 * time.Millisecond,
			}
		}
	})
	for n := range 5 {
		resp := s.Search(t.Context(), request(n, 5*time.Second))
		assert.Equal(t, resp.Code, classifier.OK)
		checkExact(t, resp)
	}
	assert.Assert(t, s.Counters().HedgeWins.Load() > 0)
}

// Guards against lost coverage while a zone is taken out of service: resends after refusals that ran nothing must not need a
// budget.
func TestZoneOutAndNotOwnerNeedNoBudget(t *testing.T) {
	for _, code := range []classifier.Code{classifier.ZoneOut, classifier.NotOwner} {
		s, _ := newTestSearcher(testBoard(5), 0, func(owner string, _ *messenger.SearchRequest, _ messenger.SubRequest) behavior {
			b := behavior{}
			if owner == "a1" {
				b.code = code
				if code == classifier.NotOwner {
					b.holder = "a2"
				}
			}
			return b
		})
		resp := s.Search(t.Context(), request(1, 5*time.Second))
		assert.Equal(t, resp.Code, classifier.OK)
		checkExact(t, resp)
	}
}

// Guards against a missing restart when all replicas drop the snapshot during a query, and against a restart that mixes
// snapshots.
func TestRestartOnANewerSnapshot(t *testing.T) {
	board := testBoard(5)
	s, _ := newTestSearcher(board, 0, nil)
	f := s.opts.Owners.(*fakeOwners)
	f.behave = func(_ string, r *messenger.SearchRequest, sub messenger.SubRequest) behavior {
		if r.Snapshot == 6 {
			return behavior{
				delay: 60 * time.Millisecond,
			}
		}
		if sub.Shard%2 == 1 {
			board.Replicas.Write(testBoard(6).Replicas.Read())
			time.Sleep(10 * time.Millisecond) // longer than IndexCache keeps an index of 60 replicas
			return behavior{
				code: classifier.SnapshotGone,
			}
		}
		return behavior{
			delay: 20 * time.Millisecond, // after the restart
		}
	}
	resp := s.Search(t.Context(), request(1, 5*time.Second))
	assert.Equal(t, resp.Snapshot, uint64(6))
	assert.Equal(t, resp.Code, classifier.OK)
	checkExact(t, resp)
	assert.Equal(t, s.Counters().Restarts.Load(), uint64(1))
}

// Guards against a request that crashes more servers than the one of its canary, and against additional attempts for a request
// that has crashed a server before.
func TestCrashStopsAtTheCanary(t *testing.T) {
	board := testBoard(5)
	s, f := newTestSearcher(board, 1000, func(string, *messenger.SearchRequest, messenger.SubRequest) behavior {
		return behavior{
			code: classifier.Crashed,
		}
	})
	resp := s.Search(t.Context(), request(1, 5*time.Second))
	assert.Equal(t, resp.Code, classifier.Crashed)
	assert.Equal(t, len(f.sent), 1)
	crashes := map[uint64]int{request(1, 0).Fingerprint: 1}
	board.Quarantine.Write(&blackboard.Quarantine{
		Crashes: crashes,
	})
	f.behave = func(string, *messenger.SearchRequest, messenger.SubRequest) behavior {
		return behavior{
			noAnswer: true,
		}
	}
	resp = s.Search(t.Context(), request(1, 2*CanaryTimeout))
	assert.Equal(t, resp.Code, classifier.Timeout)
	assert.Equal(t, len(f.sent), 2)
	board.Quarantine.Write(&blackboard.Quarantine{
		Crashes: map[uint64]int{request(1, 0).Fingerprint: blackboard.CrashLimit},
	})
	assert.Equal(t, s.Search(t.Context(), request(1, time.Second)).Code, classifier.Quarantined)
	assert.Equal(t, len(f.sent), 2)
}

// Guards against retries after a request whose canary succeeded has crashed a server.
func TestCrashAfterTheCanaryStopsRetries(t *testing.T) {
	s, f := newTestSearcher(testBoard(5), 1000, func(_ string, r *messenger.SearchRequest, sub messenger.SubRequest) behavior {
		switch {
		case r.Canary:
			return behavior{}
		case sub.Shard%2 == 0:
			return behavior{
				code: classifier.Crashed,
			}
		default:
			return behavior{
				code:  classifier.Shed,
				delay: 100 * time.Millisecond,
			}
		}
	})
	for n := range 2 {
		assert.Equal(t, s.Search(t.Context(), request(1, 5*time.Second)).Code, classifier.Partial)
		assert.Equal(t, f.canaries, n+1)
	}
	assert.Equal(t, s.Counters().Retries.Load(), uint64(0))
}

// Guards against a canary for a request that has succeeded recently, and against a canary without an answer that blocks the
// fan-out.
func TestCanaryOnlyForUntestedRequests(t *testing.T) {
	s, f := newTestSearcher(testBoard(5), 1000, func(_ string, r *messenger.SearchRequest, _ messenger.SubRequest) behavior {
		return behavior{
			noAnswer: r.Canary,
		}
	})
	resp := s.Search(t.Context(), request(1, 5*time.Second))
	assert.Equal(t, resp.Code, classifier.OK)
	assert.Equal(t, f.canaries, 1)
	assert.Equal(t, s.Search(t.Context(), request(1, 5*time.Second)).Code, classifier.OK)
	assert.Equal(t, f.canaries, 1)
}

// Guards against a request that waits for a slow canary although a second one would be answered.
func TestSlowCanaryIsHedged(t *testing.T) {
	var first atomic.Bool
	s, f := newTestSearcher(testBoard(5), 1000, func(_ string, r *messenger.SearchRequest, _ messenger.SubRequest) behavior {
		slow := r.Canary && first.CompareAndSwap(false, true)
		return behavior{
			noAnswer:   slow,
			canaryHeld: slow,
		}
	})
	resp := s.Search(t.Context(), request(1, 5*time.Second))
	assert.Equal(t, resp.Code, classifier.OK)
	assert.Equal(t, f.canaries, 2)
}

// Guards against waiting for an owner that never replies, and against more hedges than the budget allows.
func TestUnresponsiveOwnerIsHedged(t *testing.T) {
	board := testBoard(5)
	hang := func(owner string, r *messenger.SearchRequest, _ messenger.SubRequest) behavior {
		return behavior{
			hang: owner == "a2" && !r.Canary,
		}
	}
	s, _ := newTestSearcher(board, 1000, hang)
	assert.Equal(t, s.Search(t.Context(), request(1, 10*time.Second)).Code, classifier.OK)
	s, _ = newTestSearcher(board, 3, hang)
	resp := s.Search(t.Context(), request(1, time.Second))
	assert.Equal(t, resp.Code, classifier.Partial)
	checkExact(t, resp)
	assert.Equal(t, s.Counters().Hedges.Load(), uint64(3))
}

// Guards against a "not run" code for a request that a backend server may have run, and against other codes for one that was
// certainly not run.
func TestNotRunCodes(t *testing.T) {
	code := classifier.QueueFull
	s, _ := newTestSearcher(testBoard(5), 5, func(_ string, _ *messenger.SearchRequest, sub messenger.SubRequest) behavior {
		return behavior{
			code:     code,
			noAnswer: code == classifier.OK && sub.Shard == 3,
		}
	})
	assert.Equal(t, s.Search(t.Context(), request(1, 5*time.Second)).Code, classifier.QueueFull)
	code = classifier.Timeout
	assert.Equal(t, s.Search(t.Context(), request(1, 5*time.Second)).Code, classifier.Timeout)
	s, _ = newTestSearcher(testBoard(5), 1000, func(_ string, _ *messenger.SearchRequest, sub messenger.SubRequest) behavior {
		if sub.Replica[0] == 'a' {
			return behavior{
				code: classifier.Timeout,
			}
		}
		return behavior{
			code: classifier.QueueFull,
		}
	})
	assert.Equal(t, s.Search(t.Context(), request(1, 5*time.Second)).Code, classifier.Timeout)
	s, _ = newTestSearcher(testBoard(), 5, nil)
	assert.Equal(t, s.Search(t.Context(), request(1, time.Second)).Code, classifier.NoReplica)
	s.opts.MaxConcurrentQueries = 0
	assert.Equal(t, s.Search(t.Context(), request(1, time.Second)).Code, classifier.Overloaded)
}

// Guards against sub-requests that continue to run on the backend servers after another attempt was answered or the caller
// cancelled the request.
func TestSupersededSubRequestsAreCancelled(t *testing.T) {
	s, f := newTestSearcher(testBoard(5), 1000, func(_ string, _ *messenger.SearchRequest, sub messenger.SubRequest) behavior {
		return behavior{
			noAnswer: sub.Replica == "a-s4" || sub.Replica == "b-s4" || sub.Replica == "c-s4",
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, cancel)
	s.Search(ctx, request(1, 10*time.Second))
	uncancelled := func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		n := 0
		for _, sub := range f.sent {
			if sub.Shard == 4 {
				n++
			}
		}
		return n - len(f.cancelled)
	}
	for range 500 {
		if uncancelled() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d sub-requests were not cancelled", uncancelled())
}

func BenchmarkMerge520(b *testing.B) {
	for _, limit := range []int{10, 1000} {
		lists := make([][]messenger.Hit, 520)
		for i := range lists {
			lists[i] = make([]messenger.Hit, limit)
			for k := range lists[i] {
				lists[i][k] = messenger.Hit{
					ID:    fmt.Sprint(i, "-", k),
					Score: rand.New(rand.NewPCG(uint64(i), uint64(k))).Float64(),
				}
			}
			topHits(lists[i], limit)
		}
		b.Run(fmt.Sprint("limit", limit), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				m := newMerger(limit)
				for _, l := range lists {
					m.add(l)
				}
			}
		})
	}
}
