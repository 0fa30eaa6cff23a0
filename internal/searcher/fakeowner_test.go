package searcher

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/planner"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/timer"
	"github.com/cespare/xxhash/v2"
)

const (
	docsPerShard  = 12
	partsPerShard = 4
)

// behavior is the reaction of a replica to a sub-request. With the zero value, it answers immediately and completely.
type behavior struct {
	code      classifier.Code
	parts     int // parts to search; 0 means all
	delay     time.Duration
	noAnswer  bool
	duplicate bool
	holder    string
	// err is returned by the call for the whole batch.
	err error
	// hang blocks the call for the whole batch until its context is done.
	hang bool
	// canaryHeld sets Held in the reply, as an owner does for a canary that has not been shown to be harmless yet.
	canaryHeld bool
}

// fakeOwners is an in-memory implementation of the owners of a small corpus.
type fakeOwners struct {
	behave func(owner string, r *messenger.SearchRequest, sub messenger.SubRequest) behavior

	mu        sync.Mutex
	sent      []messenger.SubRequest
	cancelled []uint32
	canaries  int
	token     uint64
	open      map[uint64][]pendingSub
}

type pendingSub struct {
	sub      messenger.SubRequest
	behavior behavior
	due      time.Time
	batch    *messenger.SearchRequest
}

type fakeOwner struct {
	owners *fakeOwners
	name   string
}

func (f *fakeOwners) Client(o *planner.EntryVM) OwnerClient {
	return fakeOwner{
		owners: f,
		name:   o.Name,
	}
}

// docs returns the documents of the first n parts of a shard.
func docs(snapshot uint64, shard, n int) []messenger.Hit {
	var hits []messenger.Hit
	for k := range docsPerShard {
		if k%partsPerShard < n {
			id := fmt.Sprintf("%d-%d-%d", snapshot, shard, k)
			hits = append(hits, messenger.Hit{
				ID:    id,
				Score: float64(xxhash.Sum64String(id) % 50),
			})
		}
	}
	return hits
}

func topHits(hits []messenger.Hit, limit int) []messenger.Hit {
	slices.SortFunc(hits, func(a, b messenger.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	return hits[:min(limit, len(hits))]
}

func (b behavior) appendAnswer(r *messenger.SearchRequest, sub messenger.SubRequest, shards int, reply *messenger.SearchReply) {
	out := messenger.SubResponse{
		ID:       sub.ID,
		Shard:    sub.Shard,
		Code:     b.code,
		Searched: partsPerShard,
		Total:    partsPerShard,
		Of:       shards,
		Latency:  time.Millisecond,
		Holder:   b.holder,
	}
	if b.parts > 0 {
		out.Searched = b.parts
	}
	if b.code == classifier.OK {
		reply.Hits = append(reply.Hits, docs(r.Snapshot, sub.Shard, out.Searched)...)
	}
	reply.Answers = append(reply.Answers, out)
	if b.duplicate {
		reply.Answers = append(reply.Answers, out)
	}
}

func (o fakeOwner) Search(ctx context.Context, r *messenger.SearchRequest) (*messenger.SearchReply, error) {
	reply := &messenger.SearchReply{}
	var delayed []pendingSub
	var err error
	hang := false
	o.owners.mu.Lock()
	if r.Canary {
		o.owners.canaries++
	}
	o.owners.sent = append(o.owners.sent, r.Subs...)
	for _, sub := range r.Subs {
		b := o.owners.behave(o.name, r, sub)
		hang = hang || b.hang
		if b.err != nil {
			err = b.err
		}
		if b.delay == 0 && !b.noAnswer {
			b.appendAnswer(r, sub, testShards, reply)
			continue
		}
		p := pendingSub{
			sub:      sub,
			behavior: b,
			due:      time.Now().Add(b.delay),
			batch:    r,
		}
		if b.noAnswer {
			p.due = time.Now().Add(time.Hour)
		}
		delayed = append(delayed, p)
		reply.Pending = append(reply.Pending, sub.ID)
		reply.Held = reply.Held || b.canaryHeld
	}
	if len(delayed) > 0 {
		o.owners.token++
		reply.Token = o.owners.token
		o.owners.open[reply.Token] = delayed
	}
	o.owners.mu.Unlock()
	if hang {
		<-ctx.Done()
		return nil, classifier.Errorf(classifier.Timeout, "the call timed out")
	}
	reply.Hits = topHits(reply.Hits, r.Limit)
	return reply, err
}

func (o fakeOwner) Collect(ctx context.Context, r *messenger.CollectRequest) (*messenger.SearchReply, error) {
	until := time.Now().Add(r.Wait)
	for {
		reply := &messenger.SearchReply{
			Token: r.Token,
		}
		o.owners.mu.Lock()
		now := time.Now()
		var rest []pendingSub
		limit := 1
		for _, p := range o.owners.open[r.Token] {
			limit = p.batch.Limit
			if p.due.After(now) {
				rest = append(rest, p)
				reply.Pending = append(reply.Pending, p.sub.ID)
				continue
			}
			p.behavior.appendAnswer(p.batch, p.sub, testShards, reply)
		}
		o.owners.open[r.Token] = rest
		o.owners.mu.Unlock()
		if len(reply.Answers) > 0 || !now.Before(until) {
			reply.Hits = topHits(reply.Hits, limit)
			return reply, nil
		}
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return nil, classifier.Errorf(classifier.Timeout, "the call timed out")
		}
	}
}

func (o fakeOwner) Cancel(_ context.Context, r *messenger.CancelRequest) error {
	o.owners.mu.Lock()
	defer o.owners.mu.Unlock()
	o.owners.cancelled = append(o.owners.cancelled, r.Subs...)
	return nil
}

func (o fakeOwner) Run(context.Context, *messenger.RunRequest) (*messenger.RunReply, error) {
	return nil, classifier.Errorf(classifier.Internal, "not used")
}

// testShards is the number of shards in the corpus.
const testShards = 20

// testBoard returns a board with one application that has a replica of each shard in each of three zones with two VMs each. The
// replicas hold the given snapshots.
func testBoard(snapshots ...uint64) *blackboard.Board {
	set := parser.Set{
		parser.Application{
			Name:   "app",
			Policy: "policy",
		},
		parser.Policy{
			Name:         "policy",
			HedgePercent: 10,
			RetryPercent: 20,
		},
	}
	members := &blackboard.Members{
		Self:   "a1",
		ByName: map[string]blackboard.Member{},
		ByZone: map[string][]blackboard.Member{},
	}
	replicas := &blackboard.Replicas{
		ByName: map[string]blackboard.Replica{},
	}
	for i := range testShards {
		set = append(set, parser.Service{
			Name:        fmt.Sprint("s", i),
			Application: "app",
			Shard:       i,
		})
	}
	for _, z := range []string{"a", "b", "c"} {
		set = append(set, parser.AvailabilityZone{
			Name:   z,
			Region: z,
			State:  parser.ZoneInService,
		})
		for _, n := range []string{z + "1", z + "2"} {
			m := blackboard.Member{
				Name:             n,
				AvailabilityZone: z,
				Address:          netip.MustParseAddrPort("127.0.0.1:1"),
				State:            blackboard.MemberAlive,
			}
			members.ByName[n] = m
			members.ByZone[z] = append(members.ByZone[z], m)
		}
		for i := range testShards {
			name := fmt.Sprintf("%s-s%d", z, i)
			set = append(set, parser.BackendServer{
				Name:             name,
				Service:          fmt.Sprint("s", i),
				Version:          "v1",
				AvailabilityZone: z,
				Slots:            3,
			})
			r := blackboard.Replica{
				Name:      name,
				Owner:     fmt.Sprint(z, 1+i%2),
				State:     blackboard.ReplicaWarm,
				Allowance: 3,
			}
			for _, s := range snapshots {
				r.Held = append(r.Held, connector.HeldSnapshot{
					Snapshot: s,
					Shard:    i,
					Of:       testShards,
				})
			}
			replicas.ByName[name] = r
		}
	}
	board := &blackboard.Board{}
	board.Config.Write(blackboard.NewConfig(1, set))
	board.Members.Write(members)
	board.Replicas.Write(replicas)
	return board
}

// fixedBudget allows a fixed number of withdrawals and ignores deposits.
type fixedBudget struct {
	mu   sync.Mutex
	left int
}

func (b *fixedBudget) Deposit(int) {}

func (b *fixedBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left--
	return b.left >= 0
}

func newTestSearcher(board *blackboard.Board, budget int, behave func(owner string, r *messenger.SearchRequest, sub messenger.SubRequest) behavior) (*Searcher, *fakeOwners) {
	f := &fakeOwners{
		behave: behave,
		open:   map[uint64][]pendingSub{},
	}
	clock := timer.NewWall()
	return New(Options{
		Board:      board,
		IndexCache: planner.NewIndexCache(board),
		Owners:     f,
		Timer:      clock,
		Recorder:   recorder.New("a1", clock),
		NewBudget: func(int) Budget {
			return &fixedBudget{
				left: budget,
			}
		},
		MaxConcurrentQueries: 100,
		Seed:                 7,
	}), f
}
