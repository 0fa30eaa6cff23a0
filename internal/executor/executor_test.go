package executor

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/timer"
)

func newVirtualTimer() *timer.Service {
	return timer.NewVirtual(time.Unix(1000, 0))
}

func (f *fixture) semaphoreLoad() (running, queued int) {
	r, err := f.replica("s")
	if err != nil {
		return 0, 0
	}
	return r.semaphore.Load()
}

// Guards against more running requests or open connections than the share of this VM allows while the share changes under load.
func TestSlotsAndConnectionsStayWithinTheShare(t *testing.T) {
	f := newFixture(t, timer.NewWall(), 4, 6)
	f.server.answer = func(_ context.Context, _ chan struct{}, r connector.SearchRequest) (connector.SearchResponse, error) {
		time.Sleep(100 * time.Microsecond)
		return f.server.validAnswer(r), nil
	}
	f.startLoop(t)
	runSearches := func() {
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for range 30 {
					f.search(searchRequest(4))
				}
			})
		}
		wg.Wait()
	}
	shares := []blackboard.LeaseShare{blackboard.ShareCeilingHalf, blackboard.ShareAll, blackboard.ShareNone, blackboard.ShareFloorHalf}
	var wg sync.WaitGroup
	wg.Go(runSearches)
	for i := range 40 {
		f.setShare(shares[i%len(shares)])
		time.Sleep(2 * time.Millisecond)
	}
	wg.Wait()
	assert.Assert(t, f.server.read(&f.server.maxRunning) <= 4)
	assert.Assert(t, f.server.read(&f.server.maxConns) <= 6)

	eventually(t, "connections above half of the limit are closed", func() bool { return f.server.read(&f.server.conns) <= 3 })
	f.server.mu.Lock()
	f.server.maxRunning, f.server.maxConns, f.server.searches = 0, 0, 0
	f.server.mu.Unlock()
	runSearches()
	assert.Assert(t, f.server.read(&f.server.searches) > 0)
	assert.Assert(t, f.server.read(&f.server.maxRunning) <= 2)
	assert.Assert(t, f.server.read(&f.server.maxConns) <= 3)

	f.setLease(blackboard.Lease{})
	eventually(t, "the release is published", func() bool {
		record, ok := f.published.read("s").(messenger.ReplicaRecord)
		return ok && record.Released
	})
	assert.Assert(t, !f.InUse("s"))
	assert.Equal(t, f.server.read(&f.server.conns), 0)
}

// Guards against connections above the limit when requests, polls and a lowered share coincide, which the semaphore does not
// prevent.
func TestPoolWaitsForAConnection(t *testing.T) {
	f := newFixture(t, timer.NewWall(), 3, 2)
	r, err := f.replica("s")
	assert.NilError(t, err)
	var conns []*pooledConn
	for range 2 {
		pc, err := r.pool.take(context.Background(), 0)
		assert.NilError(t, err)
		conns = append(conns, pc)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = r.pool.take(ctx, 0)
	assert.Equal(t, classifier.CodeOf(err), classifier.ExpiredInQueue)
	r.pool.put(conns[0], f.timer.Now())
	pc, err := r.pool.take(context.Background(), 0)
	assert.NilError(t, err)
	assert.Equal(t, pc, conns[0])
	f.setShare(blackboard.ShareCeilingHalf)
	r.pool.put(pc, f.timer.Now())
	assert.Equal(t, r.pool.size(), 1)
	assert.Equal(t, f.server.dials, 2)
}

// Guards against replies that wait for the slowest replica beyond SoftWait, lost late answers, and tokens that stay valid
// after their batch is done.
func TestSoftWaitCollectAndCancel(t *testing.T) {
	f := newFixture(t, timer.NewWall(), 3, 6)
	f.warmUp(t)
	release := f.server.blockSearches()
	r := searchRequest(3)
	r.SoftWait = 0
	reply := f.search(r)
	assert.Equal(t, len(reply.Answers), 0)
	assert.DeepEqual(t, reply.Pending, []uint32{1, 2, 3})

	release <- struct{}{}
	collect := &messenger.CollectRequest{
		Token: reply.Token,
		Wait:  20 * time.Second,
	}
	collected := &messenger.SearchReply{}
	assert.NilError(t, f.Collect(collect, collected))
	assert.Equal(t, len(collected.Answers), 1)
	assert.Equal(t, len(collected.Pending), 2)
	assert.Equal(t, collected.Token, reply.Token)

	eventually(t, "two searches run", func() bool { return f.server.read(&f.server.running) == 2 })
	assert.NilError(t, f.Cancel(&messenger.CancelRequest{
		Token: reply.Token,
		Subs:  collected.Pending,
	}, &messenger.CancelReply{}))
	eventually(t, "the cancelled searches end", func() bool { return f.server.read(&f.server.running) == 0 && f.batches.Load() == 0 })
	last := &messenger.SearchReply{}
	assert.NilError(t, f.Collect(collect, last))
	assert.Equal(t, len(last.Answers)+len(last.Pending), 0)
	assert.Equal(t, classifier.CodeOf(f.Collect(collect, last)), classifier.NotFound)
}

// Guards against evidence whose latency includes the time that sub-requests wait for a slot, which would count against the
// version.
func TestEvidenceExcludesQueueTime(t *testing.T) {
	const deadline = 60 * time.Millisecond
	f := newFixture(t, timer.NewWall(), 1, 1)
	f.server.answer = func(ctx context.Context, _ chan struct{}, _ connector.SearchRequest) (connector.SearchResponse, error) {
		<-ctx.Done()
		return connector.SearchResponse{}, classifier.Errorf(classifier.Timeout, "%w", ctx.Err())
	}
	r := searchRequest(2)
	r.Remaining, r.SoftWait = deadline, time.Second
	f.search(r)
	f.evidence.mu.Lock()
	defer f.evidence.mu.Unlock()
	ran := f.evidence.outcomes[classifier.Timeout]
	assert.Equal(t, len(ran), 1)
	assert.Assert(t, ran[0] > deadline/2)
	delete(f.evidence.outcomes, classifier.Timeout)
	assert.Equal(t, len(f.evidence.outcomes), 1, "the sub-request that waited adds exactly one outcome")
	for _, waited := range f.evidence.outcomes {
		assert.DeepEqual(t, waited, []time.Duration{0})
	}
}

// Guards against hits that are out of order or duplicated in a merged reply.
func TestReplyMergesHits(t *testing.T) {
	f := newFixture(t, timer.NewWall(), 2, 4)
	r := searchRequest(4)
	r.Limit = 3
	reply := f.search(r)
	assert.Equal(t, len(reply.Answers), 4)
	var ids []string
	for _, h := range reply.Hits {
		ids = append(ids, h.ID)
	}
	assert.DeepEqual(t, ids, []string{"a", "shard0", "shard1"})
	assert.Equal(t, reply.Hits[0].Score, 3.0)
}

// Guards against two concurrent runs of a request that crashes servers, crashes that are not counted, suspects that run
// concurrently with other requests, suspects that are not cleared by an answer, and suspects that run again before the crash
// record has reached all VMs.
func TestCrashIsCountedOnceAndSuspectRunsAlone(t *testing.T) {
	f := newFixture(t, timer.NewWall(), 3, 6)
	f.startLoop(t)
	f.warmUp(t)
	f.server.blockSearches()
	canary := searchRequest(1)
	canary.Canary = true
	first, second := f.startSearch(canary), f.startSearch(canary)
	eventually(t, "one canary runs and one waits", func() bool {
		f.canaries.mu.Lock()
		defer f.canaries.mu.Unlock()
		c := f.canaries.running[0xfeed]
		return c != nil && c.waiting == 1 && f.server.read(&f.server.running) == 1
	})
	started := f.server.read(&f.server.searches)
	f.server.kill()
	assert.Equal(t, (<-first).Answers[0].Code, classifier.Crashed)
	assert.Equal(t, (<-second).Answers[0].Code, classifier.Crashed)
	assert.Equal(t, f.server.read(&f.server.searches), started)
	assert.DeepEqual(t, f.published.read("000000000000feed/vm1"), messenger.CrashRecord{
		Fingerprint: 0xfeed,
		Crashes:     1,
		Untried:     true,
	})
	eventually(t, "the replica is reported Down", func() bool {
		return f.lastReport().State == blackboard.ReplicaDown
	})

	f.server.restart()
	release := f.server.blockSearches()
	eventually(t, "the replica is reported Cold", func() bool {
		return f.lastReport().State == blackboard.ReplicaCold
	})
	other := searchRequest(1)
	other.Fingerprint = 1
	done := f.startSearch(other)
	eventually(t, "the other request runs", func() bool { return f.server.read(&f.server.running) == 1 })
	assert.Equal(t, (<-f.startSearch(canary)).Answers[0].Code, classifier.Quarantined)
	_, err := f.checkQuarantine(canary.Fingerprint, true)
	assert.NilError(t, err, "a request that has succeeded elsewhere is not refused during the cooldown")
	f.endCooldown(canary.Fingerprint)
	suspect := f.startSearch(canary)
	eventually(t, "the suspect waits", func() bool {
		_, queued := f.semaphoreLoad()
		return queued == 1
	})
	following := f.startSearch(other)
	release <- struct{}{}
	assert.Equal(t, (<-done).Answers[0].Code, classifier.OK)
	eventually(t, "the suspect runs and the next request waits", func() bool {
		run, queued := f.semaphoreLoad()
		return run == 1 && queued == 1 && f.server.read(&f.server.running) == 1
	})
	release <- struct{}{}
	assert.Equal(t, (<-suspect).Answers[0].Code, classifier.OK)
	release <- struct{}{}
	assert.Equal(t, (<-following).Answers[0].Code, classifier.OK)
	assert.Equal(t, f.published.read("000000000000feed/vm1").(messenger.CrashRecord).Crashes, 0)
}

// Guards against a second crash that does not quarantine the fingerprint, and a connection reset that is counted as a crash
// although the server still runs.
func TestResetIsNotCountedAndTwoCrashesQuarantine(t *testing.T) {
	f := newFixture(t, timer.NewWall(), 3, 6)
	f.startLoop(t)
	f.warmUp(t)
	f.server.answer = failWith(classifier.ConnectionReset)
	assert.Equal(t, f.searchCode(searchRequest(1)), classifier.ConnectionReset)
	assert.Assert(t, f.published.read("000000000000feed/vm1") == nil)

	for range 2 {
		f.server.answer = func(ctx context.Context, died chan struct{}, r connector.SearchRequest) (connector.SearchResponse, error) {
			f.server.kill()
			f.server.restart()
			return failWith(classifier.ConnectionReset)(ctx, died, r)
		}
		assert.Equal(t, f.searchCode(searchRequest(1)), classifier.Crashed)
		eventually(t, "the replica is up again", func() bool {
			r, err := f.replica("s")
			return err == nil && r.ramp.State() == blackboard.ReplicaCold
		})
	}
	assert.Equal(t, f.searchCode(searchRequest(1)), classifier.Quarantined)
}

// Guards against counting a crash for a request when the server crashed before it, while the connection was idle.
func TestBreakOfStaleConnectionIsNotCountedAsCrash(t *testing.T) {
	clock := newVirtualTimer()
	f := newFixture(t, clock, 3, 6)
	assert.Equal(t, f.searchCode(searchRequest(1)), classifier.OK)
	clock.Advance(2 * MaxCanaryConnIdle)
	f.server.blockSearches()
	f.server.kill()
	assert.Equal(t, f.searchCode(searchRequest(1)), classifier.ConnectionReset)
	assert.Assert(t, f.published.read("000000000000feed/vm1") == nil)
	assert.Equal(t, f.searchCode(searchRequest(1)), classifier.NotSent)
}

// Guards against requests that run although this VM does not own the replica, the zone is out of service, the fingerprint is
// quarantined, the deadline has passed or the server is draining.
func TestRefusals(t *testing.T) {
	clock := newVirtualTimer()
	f := newFixture(t, clock, 2, 4)
	f.setLease(blackboard.Lease{
		Holder: "vm2",
	})
	answer := f.search(searchRequest(1)).Answers[0]
	assert.Equal(t, answer.Code, classifier.NotOwner)
	assert.Equal(t, answer.Holder, "vm2")

	f.setShare(blackboard.ShareAll)
	f.configure(parser.ZoneOutOfService, 2, 4, "s")
	assert.Equal(t, f.searchCode(searchRequest(1)), classifier.ZoneOut)
	f.configure(parser.ZoneInService, 2, 4, "s")
	f.board.Quarantine.Write(&blackboard.Quarantine{
		Crashes: map[uint64]int{
			0xfeed: blackboard.CrashLimit,
		},
	})
	assert.Equal(t, f.searchCode(searchRequest(1)), classifier.Quarantined)
	f.board.Quarantine.Write(&blackboard.Quarantine{})
	assert.Equal(t, f.server.searches+f.server.dials, 0)

	f.server.blockSearches()
	expired := searchRequest(1)
	expired.Remaining = time.Nanosecond
	assert.Equal(t, f.searchCode(expired), classifier.ExpiredInQueue)
	f.server.answer = nil
	f.server.report.Draining = true
	assert.Equal(t, f.searchCode(searchRequest(1)), classifier.OK)
	assert.Equal(t, f.searchCode(searchRequest(1)), classifier.Draining)
}

// Guards against reports that still contain a snapshot that the server no longer holds, and idle connections that keep a draining
// server from stopping.
func TestHeldSnapshotsAndDraining(t *testing.T) {
	f := newFixture(t, timer.NewWall(), 2, 4)
	f.server.held = []connector.HeldSnapshot{
		{
			Snapshot: 7,
			Of:       64,
		},
	}
	f.startLoop(t)
	lastReport := func() messenger.ReplicaRecord {
		record, _ := f.published.read("s").(messenger.ReplicaRecord)
		return record
	}
	eventually(t, "the held snapshot is reported", func() bool {
		return slices.Equal(lastReport().Held, f.server.held) && lastReport().Incarnation == "process 0"
	})
	f.server.mu.Lock()
	f.server.held = nil
	f.server.answer = failWith(classifier.SnapshotGone)
	f.server.mu.Unlock()
	assert.Equal(t, f.searchCode(searchRequest(1)), classifier.SnapshotGone)
	r, err := f.replica("s")
	assert.NilError(t, err)
	record, _ := r.buildRecord(f.timer.Now())
	assert.Equal(t, len(record.Held), 0)

	f.server.mu.Lock()
	f.server.report.Draining = true
	f.server.mu.Unlock()
	eventually(t, "the drain state is reported and the connections are closed", func() bool {
		return lastReport().State == blackboard.ReplicaDraining && f.server.read(&f.server.conns) == 0
	})
}

// Guards against answers for another snapshot or shard that are included in the reply.
func TestAnswersAreVerified(t *testing.T) {
	f := newFixture(t, newVirtualTimer(), 2, 4)
	for want, change := range map[classifier.Code]func(*connector.SearchResponse){
		classifier.SnapshotGone: func(a *connector.SearchResponse) { a.Held.Snapshot++ },
		classifier.BadAnswer:    func(a *connector.SearchResponse) { a.Held.Shard++ },
	} {
		f.server.answer = func(_ context.Context, _ chan struct{}, r connector.SearchRequest) (connector.SearchResponse, error) {
			a := f.server.validAnswer(r)
			change(&a)
			return a, nil
		}
		reply := f.search(searchRequest(1))
		assert.Equal(t, reply.Answers[0].Code, want)
		assert.Equal(t, len(reply.Hits), 0)
	}
}

// Guards against a VM that was paused beyond the end of its lease and then uses more than its fallback share.
func TestLeaseExpiry(t *testing.T) {
	clock := newVirtualTimer()
	f := newFixture(t, clock, 2, 4)
	f.warmUp(t)
	lease := func(fallback blackboard.LeaseShare) {
		f.setLease(blackboard.Lease{
			Share:    blackboard.ShareAll,
			Expires:  clock.Now().Add(2 * time.Second),
			Fallback: fallback,
			Holder:   "vm2",
		})
	}
	lease(blackboard.ShareCeilingHalf)
	release := f.server.blockSearches()
	done := f.startSearch(searchRequest(3))
	eventually(t, "two searches run and one waits", func() bool {
		_, queued := f.semaphoreLoad()
		return f.server.read(&f.server.running) == 2 && queued == 1
	})
	clock.Advance(3 * time.Second)
	release <- struct{}{}
	eventually(t, "one search has ended and none has replaced it", func() bool {
		run, queued := f.semaphoreLoad()
		return run == 1 && queued == 1 && f.server.read(&f.server.running) == 1
	})
	release <- struct{}{}
	release <- struct{}{}
	assert.Equal(t, len((<-done).Answers), 3)

	// This time the lease expires between admission and sending.
	f.server.answer = nil
	lease(blackboard.ShareNone)
	r, err := f.replica("s")
	assert.NilError(t, err)
	r.closeIdle(0)
	f.server.onDial = func() { clock.Advance(3 * time.Second) }
	sent := f.server.searches
	answer := f.search(searchRequest(1)).Answers[0]
	assert.Equal(t, answer.Code, classifier.NotOwner)
	assert.Equal(t, answer.Holder, "vm2")
	assert.Equal(t, f.server.searches, sent)
}

// Guards against a code that wrongly reports an operation as not run, an operation that is sent twice, and one that is sent over
// a stale connection.
func TestOperationOutcomes(t *testing.T) {
	clock := newVirtualTimer()
	f := newFixture(t, clock, 2, 4)
	runOperation := func(remaining time.Duration) classifier.Code {
		reply := &messenger.RunReply{}
		assert.NilError(t, f.Run(&messenger.RunRequest{
			Replica:   "s",
			Remaining: remaining,
		}, reply))
		return reply.Code
	}
	assert.Equal(t, runOperation(time.Minute), classifier.OK)
	assert.Equal(t, runOperation(time.Minute), classifier.OK)
	assert.Equal(t, f.server.dials, 1)
	clock.Advance(2 * MaxOperationConnIdle)
	assert.Equal(t, runOperation(time.Minute), classifier.OK)
	assert.Equal(t, f.server.dials, 2)
	for _, c := range []struct{ got, want classifier.Code }{
		{classifier.Shed, classifier.Shed},
		{classifier.NotSent, classifier.NotSent},
		{classifier.ConnectionReset, classifier.ConnectionReset},
		{classifier.Timeout, classifier.Timeout},
		{classifier.Internal, classifier.OutcomeUnknown},
	} {
		sent := f.server.runs
		f.server.operate = func(context.Context) error {
			if c.got == classifier.Internal {
				return errors.New("no code")
			}
			return classifier.Errorf(c.got, "failed")
		}
		assert.Equal(t, runOperation(time.Minute), c.want)
		assert.Equal(t, f.server.runs, sent+1)
	}
	assert.Equal(t, runOperation(0), classifier.ExpiredInQueue)
	f.server.kill()
	r, err := f.replica("s")
	assert.NilError(t, err)
	r.closeIdle(0)
	assert.Equal(t, runOperation(time.Minute), classifier.NotSent)
}

// BenchmarkBatch measures one batch of 20 sub-requests on 20 replicas that share one fake server.
func BenchmarkBatch(b *testing.B) {
	f := newFixture(b, timer.NewWall(), 3, 30)
	r := searchRequest(20)
	var names []string
	all := map[string]blackboard.Lease{}
	for i := range r.Subs {
		names = append(names, fmt.Sprint("s", i))
		r.Subs[i].Replica = names[i]
		all[names[i]] = blackboard.Lease{
			Share: blackboard.ShareAll,
		}
	}
	f.configure(parser.ZoneInService, 3, 30, names...)
	f.board.Leases.Write(&blackboard.Leases{
		ByReplica: all,
	})
	for range 10 {
		f.search(r)
	}
	b.ReportAllocs()
	for b.Loop() {
		f.search(r)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(r.Subs)), "ns/sub")
}

// Guards against a reply that lets the entry VM send the rest of the fan-out although the canary is still waiting for a slot, or
// has run for less time than a crash needs to be detected.
func TestUnprovenCanaryHoldsFanOut(t *testing.T) {
	f := newFixture(t, timer.NewWall(), 1, 6)
	f.startLoop(t)
	f.warmUp(t)
	release := f.server.blockSearches()
	other := searchRequest(1)
	other.Fingerprint = 1
	done := f.startSearch(other)
	eventually(t, "the other request runs", func() bool {
		return f.server.read(&f.server.running) == 1
	})
	canary := searchRequest(1)
	canary.Canary = true
	canary.SoftWait = 0
	var reply messenger.SearchReply
	assert.NilError(t, f.Search(canary, &reply))
	assert.Assert(t, reply.Held, "the canary waits")
	release <- struct{}{}
	assert.Equal(t, (<-done).Answers[0].Code, classifier.OK)
	eventually(t, "the canary runs", func() bool {
		return f.server.read(&f.server.running) == 1
	})
	collect := &messenger.CollectRequest{
		Token: reply.Token,
	}
	reply = messenger.SearchReply{}
	assert.NilError(t, f.Collect(collect, &reply))
	assert.Assert(t, reply.Held, "the canary has just started")
	time.Sleep(MinCanaryRuntime)
	reply = messenger.SearchReply{}
	assert.NilError(t, f.Collect(collect, &reply))
	assert.Assert(t, !reply.Held && len(reply.Pending) == 1, "the canary is proved harmless")
	release <- struct{}{}
}
