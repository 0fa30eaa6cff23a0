package installer

import (
	"context"
	"net/netip"

	"github.com/anvildyke/anvildyke/internal/messenger"
)

// FetchParts serves Peer.FetchParts. The reply contains the requested parts that are in the cache, up to maxReplyBytes in total.
func (in *Installer) FetchParts(r *messenger.FetchPartsRequest, reply *messenger.FetchPartsReply) {
	in.opts.Recorder.Observe(r.Stamp)
	reply.Stamp = in.opts.Recorder.NextStamp()
	reply.Parts = map[string][]byte{}
	in.mu.Lock()
	defer in.mu.Unlock()
	size := 0
	for _, sum := range r.Sums {
		c, ok := in.cache[sum]
		if !ok || reply.Parts[sum] != nil {
			continue
		}
		if size += len(c.value); size > maxReplyBytes {
			return
		}
		reply.Parts[sum] = c.value
	}
}

func (in *Installer) callPeer(ctx context.Context, addr netip.AddrPort, sums []string, reply *messenger.FetchPartsReply) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := in.opts.Client.Call(ctx, addr, messenger.MethodFetchParts, &messenger.FetchPartsRequest{
		Stamp: in.opts.Recorder.NextStamp(),
		Sums:  sums,
	}, reply)
	if err == nil {
		in.opts.Recorder.Observe(reply.Stamp)
	}
	return err
}
