package syncer

import (
	"context"
	"time"
)

const (
	// firstTimeout bounds the first call of the platform as long as nothing is known. The bound doubles with each call without an answer,
	// up to startTimeout: a call that is sent while the platform is silent stays without an answer when the platform is back.
	firstTimeout = 150 * time.Millisecond
	// startTimeout is the longest bound of such a call. A slow platform takes 0.35 s.
	startTimeout = 500 * time.Millisecond
	// joinTime is how long the VMs of a deployment that starts for the first time have to add themselves to the list before it is
	// read. They start within 0.3 s of each other; with half of the list each VM reads the platform itself.
	joinTime = 700 * time.Millisecond
	// startPause is the pause between calls of a platform that does not answer, as long as nothing is known.
	startPause = 100 * time.Millisecond
	// startProbe bounds the question whether another VM is up, as long as this VM knows no configuration and refuses its callers.
	// VMs of a zone are 2 ms apart; a busy one answers within some 100 ms.
	startProbe = 250 * time.Millisecond
	// startSuspect is how long a VM is passed over that did not answer that question: it may be about to start.
	startSuspect = time.Second
)

// findVMs reads the list of VMs, so that a VM that starts knows whom to follow and reads nothing else itself. It reports whether the
// list is known.
func (f *Syncer) findVMs(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, f.wait(callTimeout))
	defer cancel()
	l := f.o.VMLog
	b, err := f.o.Source.ListKind(call, l.kind)
	if err != nil {
		if !l.PlatformDown() {
			f.o.Log.Warn().Err(err).Msg("The list of VMs cannot be read.")
		}
		l.SetPlatformDown(true)
		f.askAround(ctx)
		_, known := l.Revision()
		return known
	}
	l.Replace(b)
	return true
}

// wait returns the bound of a call of the platform that usually has the time most.
func (f *Syncer) wait(most time.Duration) time.Duration {
	if f.synced() {
		return most
	}
	d := f.patience
	f.patience = min(2*d, startTimeout)
	return min(d, most)
}
