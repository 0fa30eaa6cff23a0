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
	docsPerShard = 12
	parts        = 4
)

// act is what a replica does with a sub-request. The zero value answers in full at once.
type act struct {
	code   classifier.Code
	parts  int // searched; 0 means all
	late   time.Duration
	never  bool
	twice  bool
	holder string
	// err fails the call of the whole batch.
	err error
	// hang keeps the call of the whole batch until its context ends.
	hang bool
	// held marks the reply of a canary that is not proved yet.
	held bool
}

// fleet is a set of owners in memory over a small corpus.
type fleet struct {
	behave func(owner string, r *messenger.SearchRequest, sub messenger.SubRequest) act

	mu        sync.Mutex
	sent      []messenger.SubRequest
	cancelled []uint32
	canaries  int
	token     uint64
	open      map[uint64][]pendingSub
}

type pendingSub struct {
	sub   messenger.SubRequest
	act   act
	due   time.Time
	batch *messenger.SearchRequest
}

type fakeOwner struct {
	f    *fleet
	name string
}

func (f *fleet) Client(o *planner.EntryVM) OwnerClient {
	return fakeOwner{
		f:    f,
		name: o.Name,
	}
}

// docs are the documents of the first n parts of a shard.
func docs(snapshot uint64, shard, n int) []messenger.Hit {
	var hits []messenger.Hit
	for k := range docsPerShard {
		if k%parts < n {
			id := fmt.Sprintf("%d-%d-%d", snapshot, shard, k)
			hits = append(hits, messenger.Hit{
				ID:    id,
				Score: float64(xxhash.Sum64String(id) % 50),
			})
		}
	}
	return hits
}

func best(hits []messenger.Hit, limit int) []messenger.Hit {
	slices.SortFunc(hits, func(a, b messenger.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	return hits[:min(limit, len(hits))]
}

func (a act) answer(r *messenger.SearchRequest, sub messenger.SubRequest, shards int, reply *messenger.SearchReply) {
	out := messenger.SubResponse{
		ID:       sub.ID,
		Shard:    sub.Shard,
		Code:     a.code,
		Searched: parts,
		Total:    parts,
		Of:       shards,
		Latency:  time.Millisecond,
		Holder:   a.holder,
	}
	if a.parts > 0 {
		out.Searched = a.parts
	}
	if a.code == classifier.OK {
		reply.Hits = append(reply.Hits, docs(r.Snapshot, sub.Shard, out.Searched)...)
	}
	reply.Answers = append(reply.Answers, out)
	if a.twice {
		reply.Answers = append(reply.Answers, out)
	}
}

func (o fakeOwner) Search(ctx context.Context, r *messenger.SearchRequest) (*messenger.SearchReply, error) {
	reply := &messenger.SearchReply{}
	var late []pendingSub
	var err error
	hang := false
	o.f.mu.Lock()
	if r.Canary {
		o.f.canaries++
	}
	o.f.sent = append(o.f.sent, r.Subs...)
	for _, sub := range r.Subs {
		a := o.f.behave(o.name, r, sub)
		hang = hang || a.hang
		if a.err != nil {
			err = a.err
		}
		if a.late == 0 && !a.never {
			a.answer(r, sub, testShards, reply)
			continue
		}
		p := pendingSub{
			sub:   sub,
			act:   a,
			due:   time.Now().Add(a.late),
			batch: r,
		}
		if a.never {
			p.due = time.Now().Add(time.Hour)
		}
		late = append(late, p)
		reply.Pending = append(reply.Pending, sub.ID)
		reply.Held = reply.Held || a.held
	}
	if len(late) > 0 {
		o.f.token++
		reply.Token = o.f.token
		o.f.open[reply.Token] = late
	}
	o.f.mu.Unlock()
	if hang {
		<-ctx.Done()
		return nil, classifier.Errorf(classifier.Timeout, "the call timed out")
	}
	reply.Hits = best(reply.Hits, r.Limit)
	return reply, err
}

func (o fakeOwner) Collect(ctx context.Context, r *messenger.CollectRequest) (*messenger.SearchReply, error) {
	until := time.Now().Add(r.Wait)
	for {
		reply := &messenger.SearchReply{
			Token: r.Token,
		}
		o.f.mu.Lock()
		now := time.Now()
		var rest []pendingSub
		limit := 1
		for _, p := range o.f.open[r.Token] {
			limit = p.batch.Limit
			if p.due.After(now) {
				rest = append(rest, p)
				reply.Pending = append(reply.Pending, p.sub.ID)
				continue
			}
			p.act.answer(p.batch, p.sub, testShards, reply)
		}
		o.f.open[r.Token] = rest
		o.f.mu.Unlock()
		if len(reply.Answers) > 0 || !now.Before(until) {
			reply.Hits = best(reply.Hits, limit)
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
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	o.f.cancelled = append(o.f.cancelled, r.Subs...)
	return nil
}

func (o fakeOwner) Run(context.Context, *messenger.RunRequest) (*messenger.RunReply, error) {
	return nil, classifier.Errorf(classifier.Internal, "not used")
}

// testShards is the number of shards of the corpus.
const testShards = 20

// testBoard describes one application with a replica of each shard in each of three zones and two VMs per zone. The
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

// countedBudget has a fixed number of tokens.
type countedBudget struct {
	mu   sync.Mutex
	left int
}

func (b *countedBudget) Deposit(int) {}

func (b *countedBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left--
	return b.left >= 0
}

func newTest(board *blackboard.Board, budget int, behave func(owner string, r *messenger.SearchRequest, sub messenger.SubRequest) act) (*Searcher, *fleet) {
	f := &fleet{
		behave: behave,
		open:   map[uint64][]pendingSub{},
	}
	clock := timer.NewWall()
	return New(Options{
		Board:     board,
		PlanCache: planner.NewIndexCache(board),
		Owners:    f,
		Timer:     clock,
		Recorder:  recorder.New("a1", clock),
		NewBudget: func(int) Budget {
			return &countedBudget{
				left: budget,
			}
		},
		MaxConcurrentQueries: 100,
		Seed:                 7,
	}), f
}
