package searcher

import (
	"context"
	"net/netip"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/planner"
)

// OwnerClient runs sub-requests and operations on the replicas that one entry VM holds. A method returns at the latest when its
// context ends or the remaining time in the message is over. An error is a *classifier.Error and concerns the whole call.
type OwnerClient interface {
	Search(ctx context.Context, r *messenger.SearchRequest) (*messenger.SearchReply, error)
	Collect(ctx context.Context, r *messenger.CollectRequest) (*messenger.SearchReply, error)
	Cancel(ctx context.Context, r *messenger.CancelRequest) error
	Run(ctx context.Context, r *messenger.RunRequest) (*messenger.RunReply, error)
}

// OwnerClients finds the Owner of an entry VM.
type OwnerClients interface {
	Client(o *planner.EntryVM) OwnerClient
}

// LocalOwner is the receiver of the Owner methods in this process.
type LocalOwner interface {
	Search(r *messenger.SearchRequest, reply *messenger.SearchReply) error
	Collect(r *messenger.CollectRequest, reply *messenger.SearchReply) error
	Cancel(r *messenger.CancelRequest, reply *messenger.CancelReply) error
	Run(r *messenger.RunRequest, reply *messenger.RunReply) error
}

// NewOwnerClients returns owners that call the receiver for this VM and the client for the others.
func NewOwnerClients(local LocalOwner, client messenger.Client) OwnerClients {
	return &directory{
		local: localOwner{
			receiver: local,
		},
		client: client,
	}
}

type directory struct {
	local  localOwner
	client messenger.Client
}

// Client returns the local owner for this VM and a remote one else.
func (d *directory) Client(o *planner.EntryVM) OwnerClient {
	if o.Self {
		return d.local
	}
	return remoteOwner{
		client: d.client,
		addr:   o.Address,
	}
}

// localOwner calls the receiver directly. The receiver ends calls by the remaining time of the message.
type localOwner struct {
	receiver LocalOwner
}

func (l localOwner) Search(ctx context.Context, r *messenger.SearchRequest) (*messenger.SearchReply, error) {
	if ctx.Err() != nil {
		return nil, notSent(ctx)
	}
	reply := &messenger.SearchReply{}
	return reply, l.receiver.Search(r, reply)
}

func (l localOwner) Collect(ctx context.Context, r *messenger.CollectRequest) (*messenger.SearchReply, error) {
	if ctx.Err() != nil {
		return nil, notSent(ctx)
	}
	reply := &messenger.SearchReply{}
	return reply, l.receiver.Collect(r, reply)
}

func (l localOwner) Cancel(_ context.Context, r *messenger.CancelRequest) error {
	return l.receiver.Cancel(r, &messenger.CancelReply{})
}

func (l localOwner) Run(ctx context.Context, r *messenger.RunRequest) (*messenger.RunReply, error) {
	if ctx.Err() != nil {
		return nil, notSent(ctx)
	}
	reply := &messenger.RunReply{}
	return reply, l.receiver.Run(r, reply)
}

func notSent(ctx context.Context) error {
	return classifier.Errorf(classifier.NotSent, "the call to the owner was not made: %w", ctx.Err())
}

// remoteOwner calls the owner of another VM.
type remoteOwner struct {
	client messenger.Client
	addr   netip.AddrPort
}

func (o remoteOwner) Search(ctx context.Context, r *messenger.SearchRequest) (*messenger.SearchReply, error) {
	reply := &messenger.SearchReply{}
	return reply, o.client.Call(ctx, o.addr, messenger.MethodSearch, r, reply)
}

func (o remoteOwner) Collect(ctx context.Context, r *messenger.CollectRequest) (*messenger.SearchReply, error) {
	reply := &messenger.SearchReply{}
	return reply, o.client.Call(ctx, o.addr, messenger.MethodCollect, r, reply)
}

func (o remoteOwner) Cancel(ctx context.Context, r *messenger.CancelRequest) error {
	return o.client.Call(ctx, o.addr, messenger.MethodCancel, r, &messenger.CancelReply{})
}

func (o remoteOwner) Run(ctx context.Context, r *messenger.RunRequest) (*messenger.RunReply, error) {
	reply := &messenger.RunReply{}
	return reply, o.client.Call(ctx, o.addr, messenger.MethodRun, r, reply)
}
