package syncer

import (
	"context"
	"time"
)

const (
	// minStartupTimeout is the timeout of the first call to the platform until all kinds are synced. It doubles with each call
	// up to maxStartupTimeout. It starts short because a call that is sent during an outage of the platform remains unanswered
	// when the platform has recovered.
	minStartupTimeout = 150 * time.Millisecond
	// maxStartupTimeout allows for a slow platform, which takes 0.35 s to answer.
	maxStartupTimeout = 500 * time.Millisecond
	// enrollDelay is how long a VM waits before it reads the list of VMs when the deployment starts for the first time, so that
	// all VMs have added themselves to the list. VMs start within 0.3 s of each other. With an incomplete list, each VM would
	// read the platform itself.
	enrollDelay = 700 * time.Millisecond
	// startupRetryPause is the pause after a call that the platform did not answer, until all kinds are synced.
	startupRetryPause = 100 * time.Millisecond
	// probeTimeout is the timeout of a probe that checks whether another VM is up. It is short because a starting VM refuses its
	// callers until it has a configuration. The network latency between the VMs of a zone is 2 ms; a busy VM answers within
	// about 100 ms.
	probeTimeout = 250 * time.Millisecond
	// startupSuspectDuration is how long a VM that did not answer a probe is not used as a source. It is shorter than
	// suspectDuration because the VM may be about to start.
	startupSuspectDuration = time.Second
)

// loadVMList reads the list of VMs from the platform, or from other VMs if the platform does not answer. A starting VM needs the
// list to find the reader of its zone, so that it does not read the other kinds from the platform itself. It reports whether the
// list is known.
func (s *Syncer) loadVMList(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, s.platformTimeout(callTimeout))
	defer cancel()
	l := s.o.VMLog
	// When many VMs start again at once, their calls are the largest load on the platform. Entries of the last seconds are not needed:
	// the reader of the zone passes them on. At the first start, the list is being written at this moment.
	allowStale := !s.o.FirstStart
	b, err := s.o.Source.ListKind(call, l.kind, allowStale)
	if err == nil && allowStale && len(b.Items) == 0 {
		b, err = s.o.Source.ListKind(call, l.kind, false)
	}
	if err != nil {
		if !l.PlatformDown() {
			s.o.Log.Warn().Err(err).Msg("The list of VMs cannot be read.")
		}
		l.SetPlatformDown(true)
		s.syncFromPeers(ctx)
		_, loaded := l.Position()
		return loaded
	}
	l.Replace(b)
	return true
}

// platformTimeout returns the timeout of the next call to the platform: limit once all kinds are synced, and a shorter timeout
// that doubles with each call until then.
func (s *Syncer) platformTimeout(limit time.Duration) time.Duration {
	if s.synced() {
		return limit
	}
	d := s.startupTimeout
	s.startupTimeout = min(2*d, maxStartupTimeout)
	return min(d, limit)
}
