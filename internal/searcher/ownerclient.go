package searcher

import (
	"context"
	"net/netip"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/planner"
)

// OwnerClient calls one entry VM to run sub-requests and operations on the replicas that it owns. Methods return when the context
// is done or when the remaining time in the message has elapsed, at the latest. Errors are of type *classifier.Error and apply to
// the whole call.
type OwnerClient interface {
	Search(ctx context.Context, r *messenger.SearchRequest) (*messenger.SearchReply, error)
	Collect(ctx context.Context, r *messenger.CollectRequest) (*messenger.SearchReply, error)
	Cancel(ctx context.Context, r *messenger.CancelRequest) error
	Run(ctx context.Context, r *messenger.RunRequest) (*messenger.RunReply, error)
}

// OwnerClients provides the client for each entry VM.
type OwnerClients interface {
	Client(o *planner.EntryVM) OwnerClient
}

// LocalOwner is the implementation of the Owner RPC methods in this process.
type LocalOwner interface {
	Search(r *messenger.SearchRequest, reply *messenger.SearchReply) error
	Collect(r *messenger.CollectRequest, reply *messenger.SearchReply) error
	Cancel(r *messenger.CancelRequest, reply *messenger.CancelReply) error
	Run(r *messenger.RunRequest, reply *messenger.RunReply) error
}

// NewOwnerClients returns clients that call local directly for this VM and use the RPC client for other entry VMs.
func NewOwnerClients(local LocalOwner, client messenger.Client) OwnerClients {
	return &ownerClients{
		local: localClient{
			receiver: local,
		},
		client: client,
	}
}

type ownerClients struct {
	local  localClient
	client messenger.Client
}

// Client returns the local client if the entry VM is this VM, otherwise a remote client.
func (c *ownerClients) Client(o *planner.EntryVM) OwnerClient {
	if o.Self {
		return c.local
	}
	return remoteClient{
		client: c.client,
		addr:   o.Address,
	}
}

// localClient calls the Owner methods without RPC. It checks the context only before the call, because the receiver enforces the
// remaining time of the message.
type localClient struct {
	receiver LocalOwner
}

func (c localClient) Search(ctx context.Context, r *messenger.SearchRequest) (*messenger.SearchReply, error) {
	if ctx.Err() != nil {
		return nil, notSentError(ctx)
	}
	reply := &messenger.SearchReply{}
	return reply, c.receiver.Search(r, reply)
}

func (c localClient) Collect(ctx context.Context, r *messenger.CollectRequest) (*messenger.SearchReply, error) {
	if ctx.Err() != nil {
		return nil, notSentError(ctx)
	}
	reply := &messenger.SearchReply{}
	return reply, c.receiver.Collect(r, reply)
}

func (c localClient) Cancel(_ context.Context, r *messenger.CancelRequest) error {
	return c.receiver.Cancel(r, &messenger.CancelReply{})
}

func (c localClient) Run(ctx context.Context, r *messenger.RunRequest) (*messenger.RunReply, error) {
	if ctx.Err() != nil {
		return nil, notSentError(ctx)
	}
	reply := &messenger.RunReply{}
	return reply, c.receiver.Run(r, reply)
}

func notSentError(ctx context.Context) error {
	return classifier.Errorf(classifier.NotSent, "context done before the call to the owner: %w", ctx.Err())
}

// remoteClient calls the Owner methods of another entry VM by RPC.
type remoteClient struct {
	client messenger.Client
	addr   netip.AddrPort
}

func (c remoteClient) Search(ctx context.Context, r *messenger.SearchRequest) (*messenger.SearchReply, error) {
	reply := &messenger.SearchReply{}
	return reply, c.client.Call(ctx, c.addr, messenger.MethodSearch, r, reply)
}

func (c remoteClient) Collect(ctx context.Context, r *messenger.CollectRequest) (*messenger.SearchReply, error) {
	reply := &messenger.SearchReply{}
	return reply, c.client.Call(ctx, c.addr, messenger.MethodCollect, r, reply)
}

func (c remoteClient) Cancel(ctx context.Context, r *messenger.CancelRequest) error {
	return c.client.Call(ctx, c.addr, messenger.MethodCancel, r, &messenger.CancelReply{})
}

func (c remoteClient) Run(ctx context.Context, r *messenger.RunRequest) (*messenger.RunReply, error) {
	reply := &messenger.RunReply{}
	return reply, c.client.Call(ctx, c.addr, messenger.MethodRun, r, reply)
}
