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

func virtual() *timer.Service {
	return timer.NewVirtual(time.Unix(1000, 0))
}

func (b *bench) load() (running, queued int) {
	r, err := b.replica("s")
	if err != nil {
		return 0, 0
	}
	return r.gate.Load()
}

// Guards against more running requests or open connections than the share allows while shares change under load.
func TestSlotsAndConnectionsStayWithinTheShare(t *testing.T) {
	b := newBench(t, timer.NewWall(), 4, 6)
	b.server.answer = func(_ context.Context, _ chan struct{}, r connector.SearchRequest) (connector.SearchAnswer, error) {
		time.Sleep(100 * time.Microsecond)
		return b.server.good(r), nil
	}
	b.loop(t)
	flood := func() {
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for range 30 {
					b.ask(request(4))
				}
			})
		}
		wg.Wait()
	}
	shares := []blackboard.LeaseShare{blackboard.ShareCeilHalf, blackboard.ShareAll, blackboard.ShareNone, blackboard.ShareFloorHalf}
	var wg sync.WaitGroup
	wg.Go(flood)
	for i := range 40 {
		b.share(shares[i%len(shares)])
		time.Sleep(2 * time.Millisecond)
	}
	wg.Wait()
	assert.Assert(t, b.server.read(&b.server.maxRunning) <= 4)
	assert.Assert(t, b.server.read(&b.server.maxConns) <= 6)

	eventually(t, "connections above the half share are closed", func() bool { return b.server.read(&b.server.conns) <= 3 })
	b.server.mu.Lock()
	b.server.maxRunning, b.server.maxConns, b.server.searches = 0, 0, 0
	b.server.mu.Unlock()
	flood()
	assert.Assert(t, b.server.read(&b.server.searches) > 0)
	assert.Assert(t, b.server.read(&b.server.maxRunning) <= 2)
	assert.Assert(t, b.server.read(&b.server.maxConns) <= 3)

	b.hold(blackboard.Lease{})
	eventually(t, "the release is published", func() bool {
		record, ok := b.published.read("s").(messenger.ReplicaRecord)
		return ok && record.Released
	})
	assert.Assert(t, !b.InUse("s"))
	assert.Equal(t, b.server.read(&b.server.conns), 0)
}

// Guards against a connection above the limit when requests, polls and lowered shares meet, which the gate does not see.
func TestPoolWaitsForAConnection(t *testing.T) {
	b := newBench(t, timer.NewWall(), 3, 2)
	r, err := b.replica("s")
	assert.NilError(t, err)
	var links []*link
	for range 2 {
		l, err := r.pool.take(context.Background(), 0)
		assert.NilError(t, err)
		links = append(links, l)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = r.pool.take(ctx, 0)
	assert.Equal(t, classifier.CodeOf(err), classifier.ExpiredInQueue)
	r.pool.put(links[0], b.timer.Now())
	l, err := r.pool.take(context.Background(), 0)
	assert.NilError(t, err)
	assert.Equal(t, l, links[0])
	b.share(blackboard.ShareCeilHalf)
	r.pool.put(l, b.timer.Now())
	assert.Equal(t, r.pool.size(), 1)
	assert.Equal(t, b.server.dials, 2)
}

// Guards against replies that wait for the slowest replica, lost late answers, and tokens that outlive their batch.
func TestSoftWaitCollectAndCancel(t *testing.T) {
	b := newBench(t, timer.NewWall(), 3, 6)
	b.warm(t)
	next := b.server.hold()
	r := request(3)
	r.SoftWait = 0
	reply := b.ask(r)
	assert.Equal(t, len(reply.Answers), 0)
	assert.DeepEqual(t, reply.Pending, []uint32{1, 2, 3})

	next <- struct{}{}
	collect := &messenger.CollectRequest{
		Token: reply.Token,
		Wait:  20 * time.Second,
	}
	collected := &messenger.SearchReply{}
	assert.NilError(t, b.Collect(collect, collected))
	assert.Equal(t, len(collected.Answers), 1)
	assert.Equal(t, len(collected.Pending), 2)
	assert.Equal(t, collected.Token, reply.Token)

	eventually(t, "two searches run", func() bool { return b.server.read(&b.server.running) == 2 })
	assert.NilError(t, b.Cancel(&messenger.CancelRequest{
		Token: reply.Token,
		Subs:  collected.Pending,
	}, &messenger.CancelReply{}))
	eventually(t, "the cancelled searches end", func() bool { return b.server.read(&b.server.running) == 0 && b.batches.Load() == 0 })
	last := &messenger.SearchReply{}
	assert.NilError(t, b.Collect(collect, last))
	assert.Equal(t, len(last.Answers)+len(last.Pending), 0)
	assert.Equal(t, classifier.CodeOf(b.Collect(collect, last)), classifier.NotFound)
}

// Guards against evidence that blames a version for the time that sub-requests wait for a slot.
func TestEvidenceLeavesOutTheQueue(t *testing.T) {
	const deadline = 60 * time.Millisecond
	b := newBench(t, timer.NewWall(), 1, 1)
	b.server.answer = func(ctx context.Context, _ chan struct{}, _ connector.SearchRequest) (connector.SearchAnswer, error) {
		<-ctx.Done()
		return connector.SearchAnswer{}, classifier.Errorf(classifier.Timeout, "%w", ctx.Err())
	}
	r := request(2)
	r.Remaining, r.SoftWait = deadline, time.Second
	b.ask(r)
	b.evidence.mu.Lock()
	defer b.evidence.mu.Unlock()
	ran := b.evidence.outcomes[classifier.Timeout]
	assert.Equal(t, len(ran), 1)
	assert.Assert(t, ran[0] > deadline/2)
	delete(b.evidence.outcomes, classifier.Timeout)
	assert.Equal(t, len(b.evidence.outcomes), 1, "the one that waited has no outcome of its own")
	for _, waited := range b.evidence.outcomes {
		assert.DeepEqual(t, waited, []time.Duration{0})
	}
}

// Guards against merged hits out of order or twice in a reply.
func TestReplyMergesHits(t *testing.T) {
	b := newBench(t, timer.NewWall(), 2, 4)
	r := request(4)
	r.Limit = 3
	reply := b.ask(r)
	assert.Equal(t, len(reply.Answers), 4)
	var ids []string
	for _, h := range reply.Hits {
		ids = append(ids, h.ID)
	}
	assert.DeepEqual(t, ids, []string{"a", "shard0", "shard1"})
	assert.Equal(t, reply.Hits[0].Score, 3.0)
}

// Guards against a crashing request that runs twice at once, uncounted crashes, suspects that run beside other requests, and
// suspects that stay suspects after a clean run or run again before all VMs know of the crash.
func TestCrashIsCountedOnceAndSuspectRunsAlone(t *testing.T) {
	b := newBench(t, timer.NewWall(), 3, 6)
	b.loop(t)
	b.warm(t)
	b.server.hold()
	canary := request(1)
	canary.Canary = true
	first, second := b.start(canary), b.start(canary)
	eventually(t, "one canary runs and one waits", func() bool {
		b.canaries.mu.Lock()
		defer b.canaries.mu.Unlock()
		c := b.canaries.running[0xfeed]
		return c != nil && c.waiting == 1 && b.server.read(&b.server.running) == 1
	})
	started := b.server.read(&b.server.searches)
	b.server.kill()
	assert.Equal(t, (<-first).Answers[0].Code, classifier.Crashed)
	assert.Equal(t, (<-second).Answers[0].Code, classifier.Crashed)
	assert.Equal(t, b.server.read(&b.server.searches), started)
	assert.DeepEqual(t, b.published.read("000000000000feed/vm1"), messenger.CrashRecord{
		Fingerprint: 0xfeed,
		Crashes:     1,
		Untried:     true,
	})
	eventually(t, "the replica is reported Down", func() bool {
		return b.reported().State == blackboard.ReplicaDown
	})

	b.server.restart()
	next := b.server.hold()
	eventually(t, "the replica is reported Cold", func() bool {
		return b.reported().State == blackboard.ReplicaCold
	})
	other := request(1)
	other.Fingerprint = 1
	done := b.start(other)
	eventually(t, "the other request runs", func() bool { return b.server.read(&b.server.running) == 1 })
	assert.Equal(t, (<-b.start(canary)).Answers[0].Code, classifier.Quarantined)
	_, err := b.checkQuarantine(canary.Fingerprint, true)
	assert.NilError(t, err, "a request that has succeeded elsewhere is not paused")
	b.endPause(canary.Fingerprint)
	suspect := b.start(canary)
	eventually(t, "the suspect waits", func() bool {
		_, queued := b.load()
		return queued == 1
	})
	behind := b.start(other)
	next <- struct{}{}
	assert.Equal(t, (<-done).Answers[0].Code, classifier.OK)
	eventually(t, "the suspect runs and the next request waits", func() bool {
		run, queued := b.load()
		return run == 1 && queued == 1 && b.server.read(&b.server.running) == 1
	})
	next <- struct{}{}
	assert.Equal(t, (<-suspect).Answers[0].Code, classifier.OK)
	next <- struct{}{}
	assert.Equal(t, (<-behind).Answers[0].Code, classifier.OK)
	assert.Equal(t, b.published.read("000000000000feed/vm1").(messenger.CrashRecord).Crashes, 0)
}

// Guards against a second crash that does not convict, and a reset without a crash that is counted as one.
func TestResetIsNoCrashAndTwoCrashesQuarantine(t *testing.T) {
	b := newBench(t, timer.NewWall(), 3, 6)
	b.loop(t)
	b.warm(t)
	b.server.answer = fail(classifier.ConnectionReset)
	assert.Equal(t, b.code(request(1)), classifier.ConnectionReset)
	assert.Assert(t, b.published.read("000000000000feed/vm1") == nil)

	for range 2 {
		b.server.answer = func(ctx context.Context, died chan struct{}, r connector.SearchRequest) (connector.SearchAnswer, error) {
			b.server.kill()
			b.server.restart()
			return fail(classifier.ConnectionReset)(ctx, died, r)
		}
		assert.Equal(t, b.code(request(1)), classifier.Crashed)
		eventually(t, "the replica is up again", func() bool {
			r, err := b.replica("s")
			return err == nil && r.ramp.State() == blackboard.ReplicaCold
		})
	}
	assert.Equal(t, b.code(request(1)), classifier.Quarantined)
}

// Guards against accusing a request because of a server that died while the connection was idle.
func TestBreakOfAnOldConnectionAccusesNobody(t *testing.T) {
	clock := virtual()
	b := newBench(t, clock, 3, 6)
	assert.Equal(t, b.code(request(1)), classifier.OK)
	clock.Advance(2 * MaxCanaryConnIdle)
	b.server.hold()
	b.server.kill()
	assert.Equal(t, b.code(request(1)), classifier.ConnectionReset)
	assert.Assert(t, b.published.read("000000000000feed/vm1") == nil)
	assert.Equal(t, b.code(request(1)), classifier.NotSent)
}

// Guards against requests that run although this VM, the zone or the server must not take them.
func TestRefusals(t *testing.T) {
	clock := virtual()
	b := newBench(t, clock, 2, 4)
	b.hold(blackboard.Lease{
		Holder: "vm2",
	})
	answer := b.ask(request(1)).Answers[0]
	assert.Equal(t, answer.Code, classifier.NotOwner)
	assert.Equal(t, answer.Holder, "vm2")

	b.share(blackboard.ShareAll)
	b.configure(parser.ZoneOutOfService, 2, 4, "s")
	assert.Equal(t, b.code(request(1)), classifier.ZoneOut)
	b.configure(parser.ZoneInService, 2, 4, "s")
	b.board.Quarantine.Write(&blackboard.Quarantine{
		Crashes: map[uint64]int{
			0xfeed: blackboard.CrashLimit,
		},
	})
	assert.Equal(t, b.code(request(1)), classifier.Quarantined)
	b.board.Quarantine.Write(&blackboard.Quarantine{})
	assert.Equal(t, b.server.searches+b.server.dials, 0)

	b.server.hold()
	late := request(1)
	late.Remaining = time.Nanosecond
	assert.Equal(t, b.code(late), classifier.ExpiredInQueue)
	b.server.answer = nil
	b.server.report.Draining = true
	assert.Equal(t, b.code(request(1)), classifier.OK)
	assert.Equal(t, b.code(request(1)), classifier.Draining)
}

// Guards against planners that count on a snapshot that has vanished, and idle connections that keep a leaving server up.
func TestHeldSnapshotsAndDraining(t *testing.T) {
	b := newBench(t, timer.NewWall(), 2, 4)
	b.server.held = []connector.HeldSnapshot{
		{
			Snapshot: 7,
			Of:       64,
		},
	}
	b.loop(t)
	reported := func() messenger.ReplicaRecord {
		record, _ := b.published.read("s").(messenger.ReplicaRecord)
		return record
	}
	eventually(t, "the held snapshot is reported", func() bool {
		return slices.Equal(reported().Held, b.server.held) && reported().Incarnation == "process 0"
	})
	b.server.mu.Lock()
	b.server.held = nil
	b.server.answer = fail(classifier.SnapshotGone)
	b.server.mu.Unlock()
	assert.Equal(t, b.code(request(1)), classifier.SnapshotGone)
	r, err := b.replica("s")
	assert.NilError(t, err)
	record, _ := r.record(b.timer.Now())
	assert.Equal(t, len(record.Held), 0)

	b.server.mu.Lock()
	b.server.report.Draining = true
	b.server.mu.Unlock()
	eventually(t, "the drain state is reported and the connections are closed", func() bool {
		return reported().State == blackboard.ReplicaDraining && b.server.read(&b.server.conns) == 0
	})
}

// Guards against answers of another snapshot or shard that reach the reply.
func TestAnswersAreVerified(t *testing.T) {
	b := newBench(t, virtual(), 2, 4)
	for want, change := range map[classifier.Code]func(*connector.SearchAnswer){
		classifier.SnapshotGone: func(a *connector.SearchAnswer) { a.Held.Snapshot++ },
		classifier.BadAnswer:    func(a *connector.SearchAnswer) { a.Held.Shard++ },
	} {
		b.server.answer = func(_ context.Context, _ chan struct{}, r connector.SearchRequest) (connector.SearchAnswer, error) {
			a := b.server.good(r)
			change(&a)
			return a, nil
		}
		reply := b.ask(request(1))
		assert.Equal(t, reply.Answers[0].Code, want)
		assert.Equal(t, len(reply.Hits), 0)
	}
}

// Guards against a VM that was paused past its lease and then uses more than its fallback share.
func TestLeaseLapse(t *testing.T) {
	clock := virtual()
	b := newBench(t, clock, 2, 4)
	b.warm(t)
	lease := func(fallback blackboard.LeaseShare) {
		b.hold(blackboard.Lease{
			Share:    blackboard.ShareAll,
			Expires:  clock.Now().Add(2 * time.Second),
			Fallback: fallback,
			Holder:   "vm2",
		})
	}
	lease(blackboard.ShareCeilHalf)
	next := b.server.hold()
	done := b.start(request(3))
	eventually(t, "two run and one waits", func() bool {
		_, queued := b.load()
		return b.server.read(&b.server.running) == 2 && queued == 1
	})
	clock.Advance(3 * time.Second)
	next <- struct{}{}
	eventually(t, "one has left", func() bool {
		run, queued := b.load()
		return run == 1 && queued == 1 && b.server.read(&b.server.running) == 1
	})
	next <- struct{}{}
	next <- struct{}{}
	assert.Equal(t, len((<-done).Answers), 3)

	// The pause falls between admission and sending.
	b.server.answer = nil
	lease(blackboard.ShareNone)
	r, err := b.replica("s")
	assert.NilError(t, err)
	r.closeIdle(0)
	b.server.onDial = func() { clock.Advance(3 * time.Second) }
	sent := b.server.searches
	answer := b.ask(request(1)).Answers[0]
	assert.Equal(t, answer.Code, classifier.NotOwner)
	assert.Equal(t, answer.Holder, "vm2")
	assert.Equal(t, b.server.searches, sent)
}

// Guards against a "not run" that is false, an operation that is sent twice, and one that is sent over a stale connection.
func TestOperationOutcomes(t *testing.T) {
	clock := virtual()
	b := newBench(t, clock, 2, 4)
	run := func(remaining time.Duration) classifier.Code {
		reply := &messenger.RunReply{}
		assert.NilError(t, b.Run(&messenger.RunRequest{
			Replica:   "s",
			Remaining: remaining,
		}, reply))
		return reply.Code
	}
	assert.Equal(t, run(time.Minute), classifier.OK)
	assert.Equal(t, run(time.Minute), classifier.OK)
	assert.Equal(t, b.server.dials, 1)
	clock.Advance(2 * MaxOperationConnIdle)
	assert.Equal(t, run(time.Minute), classifier.OK)
	assert.Equal(t, b.server.dials, 2)
	for _, c := range []struct{ got, want classifier.Code }{
		{classifier.Shed, classifier.Shed},
		{classifier.NotSent, classifier.NotSent},
		{classifier.ConnectionReset, classifier.ConnectionReset},
		{classifier.Timeout, classifier.Timeout},
		{classifier.Internal, classifier.OutcomeUnknown},
	} {
		sent := b.server.runs
		b.server.operate = func(context.Context) error {
			if c.got == classifier.Internal {
				return errors.New("no code")
			}
			return classifier.Errorf(c.got, "failed")
		}
		assert.Equal(t, run(time.Minute), c.want)
		assert.Equal(t, b.server.runs, sent+1)
	}
	assert.Equal(t, run(0), classifier.ExpiredInQueue)
	b.server.kill()
	r, err := b.replica("s")
	assert.NilError(t, err)
	r.closeIdle(0)
	assert.Equal(t, run(time.Minute), classifier.NotSent)
}

// BenchmarkBatch measures one batch of 20 sub-requests on 20 replicas with one fake server behind them.
func BenchmarkBatch(bm *testing.B) {
	b := newBench(bm, timer.NewWall(), 3, 30)
	r := request(20)
	var names []string
	all := map[string]blackboard.Lease{}
	for i := range r.Subs {
		names = append(names, fmt.Sprint("s", i))
		r.Subs[i].Replica = names[i]
		all[names[i]] = blackboard.Lease{
			Share: blackboard.ShareAll,
		}
	}
	b.configure(parser.ZoneInService, 3, 30, names...)
	b.board.Leases.Write(&blackboard.Leases{
		ByReplica: all,
	})
	for range 10 {
		b.ask(r)
	}
	bm.ReportAllocs()
	for bm.Loop() {
		b.ask(r)
	}
	bm.ReportMetric(float64(bm.Elapsed().Nanoseconds())/float64(bm.N*len(r.Subs)), "ns/sub")
}

// Guards against an entry VM that releases the fan-out although the canary only waits for its turn, or has run for so short a time
// that a crash would not show.
func TestWaitingCanaryIsHeld(t *testing.T) {
	b := newBench(t, timer.NewWall(), 1, 6)
	b.loop(t)
	b.warm(t)
	next := b.server.hold()
	other := request(1)
	other.Fingerprint = 1
	done := b.start(other)
	eventually(t, "the other request runs", func() bool {
		return b.server.read(&b.server.running) == 1
	})
	canary := request(1)
	canary.Canary = true
	canary.SoftWait = 0
	var reply messenger.SearchReply
	assert.NilError(t, b.Search(canary, &reply))
	assert.Assert(t, reply.Held, "the canary waits")
	next <- struct{}{}
	assert.Equal(t, (<-done).Answers[0].Code, classifier.OK)
	eventually(t, "the canary runs", func() bool {
		return b.server.read(&b.server.running) == 1
	})
	collect := &messenger.CollectRequest{
		Token: reply.Token,
	}
	reply = messenger.SearchReply{}
	assert.NilError(t, b.Collect(collect, &reply))
	assert.Assert(t, reply.Held, "the canary has just begun")
	time.Sleep(MinCanaryRuntime)
	reply = messenger.SearchReply{}
	assert.NilError(t, b.Collect(collect, &reply))
	assert.Assert(t, !reply.Held && len(reply.Pending) == 1, "the canary is proved")
	next <- struct{}{}
}
