package leaser

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/messenger"
)

// step updates the state from the view at now and returns the messages that are due, sorted by receiver.
func (s *state) step(v view, now time.Time) []message {
	s.update(v, now)
	if s.leaving {
		return nil
	}
	out := &outbox{
		state:   s,
		members: v.members,
		now:     now,
		byKey:   map[outboxKey]int{},
	}
	for _, name := range v.replicas {
		r := s.replicas[name]
		if r == nil || now.Before(r.nextStep) {
			continue
		}
		r.nextStep = now.Add(HeartbeatPeriod)
		switch {
		case r.isHolder:
			s.stepHolder(name, r, now, out)
		case r.isSuccessor && now.Sub(r.lastHeartbeat) >= probeAfter:
			out.release(messenger.ReleaseProbe, r.holderName, name, r.holderTerm)
		}
		if !r.isHolder {
			s.stepClaim(name, r, v, now, out)
		}
		for vm, p := range r.promises {
			if now.Sub(p.at) >= maxPromiseAge {
				out.release(messenger.ReleaseCancel, vm, name, p.round)
			}
		}
	}
	slices.SortFunc(out.messages, func(a, b message) int {
		return cmp.Compare(a.to, b.to)
	})
	return out.messages
}

// stepHolder chooses a successor, recalls the floor half from it for a handover or for a successor that ranks higher, or renews
// the lease.
func (s *state) stepHolder(name string, r *replica, now time.Time, out *outbox) {
	handoverWanted := now.Before(r.handoverUntil)
	if !handoverWanted {
		r.stopping = false
	}
	if r.successor == "" {
		if handoverWanted || r.bestSuccessor == "" {
			return
		}
		r.successor = r.bestSuccessor
		r.successorIncarnation = out.members.ByName[r.successor].Incarnation
		r.term = s.nextTerm(now)
		// The successor may own the floor half from now on, so the holder may use that half only under a lease.
		r.leaseUntil = now.Add(LeaseDuration)
	}
	betterSuccessor := r.bestSuccessor != r.successor && r.bestSuccessor != "" && slices.Contains(s.alive, r.successor) &&
		outranks(name, r.bestSuccessor, r.successor)
	if r.recallUntil.IsZero() && (handoverWanted || betterSuccessor) {
		r.recallUntil = now.Add(recallTimeout)
		r.term = s.nextTerm(now)
	}
	if now.Before(r.recallUntil) {
		out.release(messenger.ReleaseRecall, r.successor, name, r.term)
		return
	}
	if !r.recallUntil.IsZero() {
		r.recallUntil = time.Time{}
		r.term = s.nextTerm(now)
	}
	out.heartbeat(r.successor, r.successorIncarnation, name, r.term)
}
