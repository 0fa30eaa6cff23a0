package leaser

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/messenger"
)

// step decides what follows from the view and the time, and returns the messages to send.
func (s *state) step(v view, now time.Time) []message {
	s.update(v, now)
	if s.leaving {
		return nil
	}
	out := &outbox{
		state:   s,
		members: v.members,
		now:     now,
		byKey:   map[boxKey]int{},
	}
	for _, name := range v.servers {
		r := s.rights[name]
		if r == nil || now.Before(r.due) {
			continue
		}
		r.due = now.Add(HeartbeatPeriod)
		switch {
		case r.holder:
			s.stepHolder(name, r, now, out)
		case r.floor && now.Sub(r.heardAt) >= probeAfter:
			out.release(messenger.ReleaseProbe, r.primary, name, r.floorTerm)
		}
		if !r.holder {
			s.stepClaim(name, r, v, now, out)
		}
		for vm, p := range r.asked {
			if now.Sub(p.at) >= promiseAge {
				out.release(messenger.ReleaseCancel, vm, name, p.round)
			}
		}
	}
	slices.SortFunc(out.messages, func(a, b message) int {
		return cmp.Compare(a.to, b.to)
	})
	return out.messages
}

func (s *state) stepHolder(name string, r *right, now time.Time, out *outbox) {
	wanted := now.Before(r.wantedUntil)
	if !wanted {
		r.stopping = false
	}
	if r.successor == "" {
		if wanted || r.bestSuccessor == "" {
			return
		}
		r.successor = r.bestSuccessor
		r.successorN = out.members.ByName[r.successor].Incarnation
		r.term = s.nextTerm(now)
		// The successor may get the floor half from now on, so it is used on a lease only.
		r.leaseUntil = now.Add(LeaseDuration)
	}
	better := r.bestSuccessor != r.successor && r.bestSuccessor != "" && slices.Contains(s.alive, r.successor) &&
		outranks(name, r.bestSuccessor, r.successor)
	if r.recallUntil.IsZero() && (wanted || better) {
		r.recallUntil = now.Add(recallWait)
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
	out.heartbeat(r.successor, r.successorN, name, r.term)
}
