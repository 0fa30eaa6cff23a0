package installer

import (
	"context"
	"net/netip"

	"github.com/anvildyke/anvildyke/internal/messenger"
)

// FetchParts serves Peer.FetchParts from the cache: the requested parts that this VM has, as many as fit into one reply.
func (w *Installer) FetchParts(r *messenger.FetchPartsRequest, reply *messenger.FetchPartsReply) error {
	w.opts.Recorder.Observe(r.Stamp)
	reply.Stamp = w.opts.Recorder.NextStamp()
	reply.Parts = map[string][]byte{}
	w.mu.Lock()
	defer w.mu.Unlock()
	size := 0
	for _, sum := range r.Sums {
		c, ok := w.cache[sum]
		if !ok || reply.Parts[sum] != nil {
			continue
		}
		if size += len(c.value); size > maxReply {
			return nil
		}
		reply.Parts[sum] = c.value
	}
	return nil
}

func (w *Installer) callPeer(ctx context.Context, addr netip.AddrPort, sums []string, reply *messenger.FetchPartsReply) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := w.opts.Client.Call(ctx, addr, messenger.MethodFetchParts, &messenger.FetchPartsRequest{
		Stamp: w.opts.Recorder.NextStamp(),
		Sums:  sums,
	}, reply)
	if err == nil {
		w.opts.Recorder.Observe(reply.Stamp)
	}
	return err
}
