package syncer

import (
	"context"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/hasher"
)

// silenceTimeout is the time without contact after which the reader of a zone checks whether a VM is gone. It is longer than the
// restart of a VM.
const silenceTimeout = 20 * time.Second

// setSource records the current source, which is this VM if it is the reader.
func (s *Syncer) setSource(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sourceName = name
	switch {
	case name != s.o.Name:
		s.readerSince = time.Time{}
		clear(s.lastContact)
	case s.readerSince.IsZero():
		s.readerSince = s.o.Timer.Now()
	}
}

// recordContact records that a VM sent a long-poll request to this VM or answered its probe.
func (s *Syncer) recordContact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastContact[name] = s.o.Timer.Now()
}

// contact returns the time of the last contact of a VM, the zero time if there is none.
func (s *Syncer) contact(name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastContact[name]
}

// UnresponsiveVMs returns the names of the VMs of the zone that have not contacted this VM within silenceTimeout and do not
// answer a probe either. It returns none if this VM is not the reader, and none if this VM cannot reach any other VM, since it
// is then probably cut off from the network itself.
func (s *Syncer) UnresponsiveVMs(ctx context.Context, now time.Time) []string {
	var unresponsive []string
	connected := false
	for _, vm := range s.silentVMs(now) {
		if _, err := s.probe(ctx, vm.Address); err != nil {
			unresponsive = append(unresponsive, vm.Name)
			continue
		}
		s.recordContact(vm.Name)
		connected = true
	}
	if len(unresponsive) == 0 || !connected && !s.reachesOthers(ctx, now) || ctx.Err() != nil {
		return nil
	}
	return unresponsive
}

// silentVMs returns the VMs of the zone without contact within silenceTimeout, none until this VM has been the reader that long.
func (s *Syncer) silentVMs(now time.Time) []blackboard.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readerSince.IsZero() || now.Sub(s.readerSince) < silenceTimeout {
		return nil
	}
	var silent []blackboard.VM
	for _, vm := range s.o.Board.VMs.Read().VMs {
		if vm.Zone == s.o.Zone && vm.Name != s.o.Name && now.Sub(s.lastContact[vm.Name]) >= silenceTimeout {
			silent = append(silent, vm)
		}
	}
	return silent
}

// reachesOthers reports whether any VM has contacted this VM within silenceTimeout, or one of up to maxPeerRequests VMs of other
// zones answers a probe.
func (s *Syncer) reachesOthers(ctx context.Context, now time.Time) bool {
	s.mu.Lock()
	for _, at := range s.lastContact {
		if now.Sub(at) < silenceTimeout {
			s.mu.Unlock()
			return true
		}
	}
	s.mu.Unlock()
	others := map[string]blackboard.VM{}
	var names []string
	for _, vm := range s.o.Board.VMs.Read().VMs {
		if vm.Zone != s.o.Zone {
			others[vm.Name] = vm
			names = append(names, vm.Name)
		}
	}
	ranked := hasher.Rank(s.o.Name, names)
	for _, name := range ranked[:min(len(ranked), maxPeerRequests)] {
		if _, err := s.probe(ctx, others[name].Address); err == nil {
			return true
		}
	}
	return false
}
