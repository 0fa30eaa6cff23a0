package leaser

import (
	"time"

	"github.com/anvildyke/anvildyke/internal/messenger"
)

// handleHeartbeat handles the heartbeat of a holder that asks for leases or for their renewal.
func (s *state) handleHeartbeat(v view, req *messenger.HeartbeatRequest, now time.Time) *messenger.HeartbeatReply {
	reply := &messenger.HeartbeatReply{
		Incarnation: s.incarnation,
	}
	current := s.recordIncarnation(req.From, req.Incarnation)
	if req.To != s.incarnation || s.leaving || len(req.Terms) != len(req.Replicas) {
		return reply
	}
	for i, name := range req.Replicas {
		r := s.replica(name)
		s.applyDepartures(r, v, now)
		// Two holders exist only if a running VM was considered gone. The holder with the lower term releases the replica.
		switch {
		case r.isHolder && r.term > req.Terms[i]:
			reply.Taken = append(reply.Taken, name)
		case !current:
		case r.isHolder:
			r.isHolder = false
			r.dropSuccessor()
		case s.grantLease(name, r, v, req, req.Terms[i], now):
			reply.Granted = append(reply.Granted, name)
		}
	}
	return reply
}

// grantLease makes this VM the successor or renews its role, and reports whether the lease is granted.
func (s *state) grantLease(name string, r *replica, v view, req *messenger.HeartbeatRequest, term uint64, now time.Time) bool {
	sameHolder := r.isSuccessor && r.holderName == req.From && r.holderIncarnation == req.Incarnation
	if r.recallTerms[req.From] >= term || r.isSuccessor && (!sameHolder || term < r.holderTerm) {
		return false
	}
	// A holder has no claim any more. Promises to other VMs must be cancelled before this VM becomes the owner of the floor half.
	delete(r.promises, req.From)
	if len(r.promises) > 0 && !r.isSuccessor {
		for vm, p := range r.promises {
			p.at = time.Time{}
			r.promises[vm] = p
		}
		r.nextStep = now
		return false
	}
	wasDraining := r.isSuccessor && r.floorDraining
	inUse := r.isSuccessor && !wasDraining && !now.Before(r.floorUsableFrom)
	r.isSuccessor = true
	r.holderName = req.From
	r.holderIncarnation = req.Incarnation
	r.holderTerm = term
	r.lastHeartbeat = now
	r.floorUsableFrom = now.Add(TakeoverTimeout)
	// The lease allows the holder the whole limit. If this VM already uses the floor half, it has to stop, publish that in the
	// section, and wait for its sub-requests to end before it grants the lease. Heartbeats that a partition has delayed arrive
	// together, so each of them checks this.
	r.floorDraining = inUse || wasDraining && v.isBusy(name)
	return !r.floorDraining
}

// handleRelease handles an acquire request, a recall, a cancellation, a probe or a shutdown.
func (s *state) handleRelease(v view, req *messenger.ReleaseRequest, now time.Time) *messenger.ReleaseReply {
	reply := &messenger.ReleaseReply{
		Incarnation: s.incarnation,
	}
	if !s.recordIncarnation(req.From, req.Incarnation) {
		return reply
	}
	if req.Kind == messenger.ReleaseShutdown {
		s.gone[req.From] = max(s.gone[req.From], req.Incarnation)
		s.update(v, now)
		reply.Released = req.Replicas
		return reply
	}
	if len(req.Terms) != len(req.Replicas) {
		return reply
	}
	askers := map[string]uint64{}
	for i, name := range req.Replicas {
		r := s.replica(name)
		s.applyDepartures(r, v, now)
		released := false
		switch req.Kind {
		case messenger.ReleaseAcquire:
			released = s.answerAcquire(name, r, v, req, req.Terms[i], now, reply)
			for vm, p := range r.promises {
				askers[vm] = max(askers[vm], p.incarnation)
			}
			askers[r.lastHandover.to] = max(askers[r.lastHandover.to], r.lastHandover.incarnation)
		case messenger.ReleaseCancel:
			if !r.isHolder && r.round == req.Terms[i] {
				r.round = 0
			}
			released = true
		case messenger.ReleaseRecall:
			released = s.answerRecall(name, r, v, req, req.Terms[i], now)
		case messenger.ReleaseProbe:
			released = !r.isHolder || r.successor != req.From || r.successorIncarnation != req.Incarnation
		}
		if released {
			reply.Released = append(reply.Released, name)
		}
	}
	delete(askers, req.From)
	delete(askers, "")
	for vm, incarnation := range askers {
		reply.Askers = append(reply.Askers, vm)
		reply.AskerIncarnations = append(reply.AskerIncarnations, incarnation)
	}
	return reply
}

// answerAcquire reports whether this VM owns no half of the replica, which is also a promise to the sender. A holder that ranks
// lower than the sender hands the replica over as soon as it owns both halves and no sub-request runs.
func (s *state) answerAcquire(name string, r *replica, v view, req *messenger.ReleaseRequest, round uint64, now time.Time, reply *messenger.ReleaseReply) bool {
	requested := handover{
		to:          req.From,
		incarnation: req.Incarnation,
		round:       round,
		term:        r.lastHandover.term,
	}
	if p := r.promises[req.From]; p.incarnation == req.Incarnation && p.round > round {
		// A delayed request of an earlier round must not replace the promise of the current one.
		return false
	}
	switch {
	case r.isHolder:
		if s.prepareHandover(name, r, v, req.From, now) {
			r.lastHandover = requested
			r.lastHandover.term = s.nextTerm(now)
			r.isHolder = false
			s.recordPromise(r, req, round, now)
			reply.Passed = append(reply.Passed, name)
			reply.PassedTerms = append(reply.PassedTerms, r.lastHandover.term)
		}
		return false
	case r.isSuccessor:
		// A VM that sends an acquire request is no longer the holder, so this VM is no longer its successor.
		if r.holderName != req.From || s.stopFloorUse(name, r, v, now) {
			return false
		}
		r.isSuccessor = false
		r.floorDraining = false
	case r.lastHandover == requested:
		reply.Passed = append(reply.Passed, name)
		reply.PassedTerms = append(reply.PassedTerms, r.lastHandover.term)
		return false
	case r.round != 0 && outranks(name, s.self, req.From):
		return false
	}
	r.round = 0
	s.recordPromise(r, req, round, now)
	return true
}

func (s *state) recordPromise(r *replica, req *messenger.ReleaseRequest, round uint64, now time.Time) {
	r.promises[req.From] = promise{
		incarnation: req.Incarnation,
		round:       round,
		at:          now,
	}
}

// prepareHandover prepares the handover to a VM that ranks higher, and reports whether it can happen now.
func (s *state) prepareHandover(name string, r *replica, v view, to string, now time.Time) bool {
	if !s.leaving && !outranks(name, to, s.self) {
		return false
	}
	if !now.Before(r.handoverUntil) {
		r.nextStep = now
	}
	r.handoverUntil = now.Add(recallTimeout)
	if r.successor != "" {
		return false
	}
	// As in stopFloorUse, the check for running sub-requests counts only after the section has excluded the replica.
	if !r.stopping {
		r.stopping = true
		return false
	}
	return !v.isBusy(name)
}

// answerRecall reports whether this VM no longer owns the floor half.
func (s *state) answerRecall(name string, r *replica, v view, req *messenger.ReleaseRequest, term uint64, now time.Time) bool {
	if r.isHolder || term < r.recallTerms[req.From] {
		return false
	}
	r.recallTerms[req.From] = term
	if !r.isSuccessor || r.holderName != req.From || r.holderIncarnation != req.Incarnation {
		return true
	}
	if term < r.holderTerm || s.stopFloorUse(name, r, v, now) {
		return false
	}
	r.isSuccessor = false
	r.floorDraining = false
	return true
}

// stopFloorUse stops the use of the floor half and reports whether sub-requests may still run on it. The first call that finds
// the half in use only stops the use: until the section has excluded the half, a sub-request could start after the check for
// running ones.
func (s *state) stopFloorUse(name string, r *replica, v view, now time.Time) bool {
	if r.floorDraining {
		return v.isBusy(name)
	}
	r.floorDraining = !now.Before(r.floorUsableFrom)
	return r.floorDraining
}

// handleHeartbeatReply extends the leases that the successor has granted, and releases the replicas of which the successor is
// itself the holder, with a higher term.
func (s *state) handleHeartbeatReply(m message, reply *messenger.HeartbeatReply) {
	s.recordIncarnation(m.to, reply.Incarnation)
	if reply.Incarnation != m.heartbeat.To {
		return
	}
	terms := termsOf(m.heartbeat.Replicas, m.heartbeat.Terms)
	for _, name := range reply.Granted {
		r := s.replicas[name]
		if r == nil || !r.isHolder || r.successor != m.to || r.successorIncarnation != reply.Incarnation || r.term != terms[name] {
			continue
		}
		if until := m.sentAt.Add(LeaseDuration); until.After(r.leaseUntil) {
			r.leaseUntil = until
		}
	}
	for _, name := range reply.Taken {
		if r := s.replicas[name]; r != nil && r.isHolder && r.term == terms[name] {
			r.isHolder = false
			r.dropSuccessor()
		}
	}
}

// termsOf maps each name to the element of terms with the same index. Names beyond the end of terms are left out.
func termsOf(names []string, terms []uint64) map[string]uint64 {
	byName := make(map[string]uint64, len(names))
	for i, name := range names[:min(len(names), len(terms))] {
		byName[name] = terms[i]
	}
	return byName
}

// handleReleaseReply handles the reply to an acquire request, a recall, a cancellation or a probe.
func (s *state) handleReleaseReply(v view, m message, reply *messenger.ReleaseReply, now time.Time) {
	if !s.recordIncarnation(m.to, reply.Incarnation) {
		return
	}
	terms := termsOf(m.release.Replicas, m.release.Terms)
	switch m.release.Kind {
	case messenger.ReleaseAcquire:
		s.handleAcquireReply(v, m, reply, terms, now)
	case messenger.ReleaseRecall:
		for _, name := range reply.Released {
			r := s.replicas[name]
			if r != nil && r.isHolder && r.successor == m.to && r.term == terms[name] && !r.recallUntil.IsZero() {
				r.dropSuccessor()
			}
		}
	case messenger.ReleaseCancel:
		for _, name := range reply.Released {
			if r := s.replicas[name]; r != nil && r.promises[m.to].round == terms[name] {
				delete(r.promises, m.to)
			}
		}
	case messenger.ReleaseProbe:
		for _, name := range reply.Released {
			r := s.replicas[name]
			if r != nil && r.isSuccessor && r.holderName == m.to && r.holderTerm == terms[name] {
				r.isSuccessor = false
				r.floorDraining = false
			}
		}
	}
}

func (s *state) handleAcquireReply(v view, m message, reply *messenger.ReleaseReply, terms map[string]uint64, now time.Time) {
	handoverTerms := termsOf(reply.Passed, reply.PassedTerms)
	released := map[string]bool{}
	for _, name := range reply.Released {
		released[name] = true
	}
	for name, round := range terms {
		r := s.replicas[name]
		if r == nil || r.round != round || r.isHolder {
			continue
		}
		if term, ok := handoverTerms[name]; ok {
			s.lastTerm = max(s.lastTerm, term)
			r.becomeHolder(s.nextTerm(now))
			continue
		}
		r.responded[m.to] = true
		for vm, incarnation := range termsOf(reply.Askers, reply.AskerIncarnations) {
			s.addRequired(v, r, vm, incarnation)
		}
		if released[name] {
			r.recordAnswer(m.to, reply.Incarnation, m.sentAt)
		}
		if !s.tryComplete(r, now) {
			r.nextStep = minTime(r.nextStep, now.Add(acquireInterval))
		}
	}
}

// addRequired adds a VM to those that have to answer a claim, because another VM has made it a promise or handed it a replica.
func (s *state) addRequired(v view, r *replica, vm string, incarnation uint64) {
	if vm == s.self || s.departed(v, vm, incarnation) {
		return
	}
	r.extraRequired[vm] = incarnation
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// handleRefusal handles a message whose receiver's address refused the connection: the process that the message was meant for has
// ended, and no process runs there that could own a half.
func (s *state) handleRefusal(m message, now time.Time) {
	if m.incarnation > 0 {
		s.gone[m.to] = max(s.gone[m.to], m.incarnation)
	}
	if m.release == nil || m.release.Kind != messenger.ReleaseAcquire {
		return
	}
	for i, name := range m.release.Replicas {
		r := s.replicas[name]
		if r == nil || r.isHolder || r.round != m.release.Terms[i] {
			continue
		}
		r.responded[m.to] = true
		r.recordAnswer(m.to, 0, m.sentAt)
		s.tryComplete(r, now)
	}
}
