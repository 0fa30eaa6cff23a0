package leaser

import (
	"time"

	"github.com/anvildyke/anvildyke/internal/messenger"
)

// heartbeat answers a holder that renews or offers leases.
func (s *state) heartbeat(v view, req *messenger.HeartbeatRequest, now time.Time) *messenger.HeartbeatReply {
	reply := &messenger.HeartbeatReply{
		Incarnation: s.incarnation,
	}
	current := s.see(req.From, req.Incarnation)
	if req.To != s.incarnation || s.leaving || len(req.Terms) != len(req.Replicas) {
		return reply
	}
	for i, name := range req.Replicas {
		r := s.right(name)
		s.resolve(r, v, now)
		// Two holders exist only when a live VM was taken for gone. The one with the earlier term gives way.
		switch {
		case r.holder && r.term > req.Terms[i]:
			reply.Taken = append(reply.Taken, name)
		case !current:
		case r.holder:
			r.holder = false
			r.dropSuccessor()
		case s.lend(name, r, v, req, req.Terms[i], now):
			reply.Granted = append(reply.Granted, name)
		}
	}
	return reply
}

// lend accepts or renews the role of the successor and reports whether the lease is granted.
func (s *state) lend(name string, r *right, v view, req *messenger.HeartbeatRequest, term uint64, now time.Time) bool {
	bound := r.floor && r.primary == req.From && r.primaryN == req.Incarnation
	if r.recalled[req.From] >= term || r.floor && (!bound || term < r.floorTerm) {
		return false
	}
	// A holder claims nothing any more. Promises to other VMs must be cancelled before the floor half is taken.
	delete(r.asked, req.From)
	if len(r.asked) > 0 && !r.floor {
		for vm, p := range r.asked {
			p.at = time.Time{}
			r.asked[vm] = p
		}
		r.due = now
		return false
	}
	stopped := r.floor && r.returning
	inUse := r.floor && !stopped && !now.Before(r.lentUntil)
	r.floor = true
	r.primary = req.From
	r.primaryN = req.Incarnation
	r.floorTerm = term
	r.heardAt = now
	r.lentUntil = now.Add(TakeoverTimeout)
	// The halves that run here would come on top of the whole that the lease allows, so the use has to be stopped, published and
	// over before the lease is granted. Heartbeats that a partition held back arrive together, so each of them checks this.
	r.returning = inUse || stopped && v.isBusy(name)
	return !r.returning
}

// release answers an ask, a recall, a probe or a departure.
func (s *state) release(v view, req *messenger.ReleaseRequest, now time.Time) *messenger.ReleaseReply {
	reply := &messenger.ReleaseReply{
		Incarnation: s.incarnation,
	}
	if !s.see(req.From, req.Incarnation) {
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
		r := s.right(name)
		s.resolve(r, v, now)
		released := false
		switch req.Kind {
		case messenger.ReleaseAcquire:
			released = s.answerAsk(name, r, v, req, req.Terms[i], now, reply)
			for vm, p := range r.asked {
				askers[vm] = max(askers[vm], p.incarnation)
			}
			askers[r.passed.to] = max(askers[r.passed.to], r.passed.incarnation)
		case messenger.ReleaseCancel:
			if !r.holder && r.round == req.Terms[i] {
				r.round = 0
			}
			released = true
		case messenger.ReleaseRecall:
			released = s.answerRecall(name, r, v, req, req.Terms[i], now)
		case messenger.ReleaseProbe:
			released = !r.holder || r.successor != req.From || r.successorN != req.Incarnation
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

// answerAsk reports whether this VM has no right for the replica, which is also a promise to the sender. A holder that ranks
// lower passes the replica on as soon as it has both halves and no sub-request runs.
func (s *state) answerAsk(name string, r *right, v view, req *messenger.ReleaseRequest, round uint64, now time.Time, reply *messenger.ReleaseReply) bool {
	repeated := pass{
		to:          req.From,
		incarnation: req.Incarnation,
		round:       round,
		term:        r.passed.term,
	}
	if p := r.asked[req.From]; p.incarnation == req.Incarnation && p.round > round {
		// A delayed ask of an earlier round must not replace the promise of the current one.
		return false
	}
	switch {
	case r.holder:
		if s.yield(name, r, v, req.From, now) {
			r.passed = repeated
			r.passed.term = s.nextTerm(now)
			r.holder = false
			s.promise(r, req, round, now)
			reply.Passed = append(reply.Passed, name)
			reply.PassedTerms = append(reply.PassedTerms, r.passed.term)
		}
		return false
	case r.floor:
		// A VM that asks does not hold the replica, so the floor half that it lent is void.
		if r.primary != req.From || s.stillUses(name, r, v, now) {
			return false
		}
		r.floor = false
		r.returning = false
	case r.passed == repeated:
		reply.Passed = append(reply.Passed, name)
		reply.PassedTerms = append(reply.PassedTerms, r.passed.term)
		return false
	case r.round != 0 && outranks(name, s.self, req.From):
		return false
	}
	r.round = 0
	s.promise(r, req, round, now)
	return true
}

func (s *state) promise(r *right, req *messenger.ReleaseRequest, round uint64, now time.Time) {
	r.asked[req.From] = promise{
		incarnation: req.Incarnation,
		round:       round,
		at:          now,
	}
}

// yield prepares the pass to a VM that ranks higher and reports whether it can happen now.
func (s *state) yield(name string, r *right, v view, to string, now time.Time) bool {
	if !s.leaving && !outranks(name, to, s.self) {
		return false
	}
	if !now.Before(r.wantedUntil) {
		r.due = now
	}
	r.wantedUntil = now.Add(recallWait)
	if r.successor != "" {
		return false
	}
	// As in stillUses, running sub-requests are looked for once the section says that the replica is not used any more.
	if !r.stopping {
		r.stopping = true
		return false
	}
	return !v.isBusy(name)
}

// answerRecall reports whether this VM does not have the floor half any more.
func (s *state) answerRecall(name string, r *right, v view, req *messenger.ReleaseRequest, term uint64, now time.Time) bool {
	if r.holder || term < r.recalled[req.From] {
		return false
	}
	r.recalled[req.From] = term
	if !r.floor || r.primary != req.From || r.primaryN != req.Incarnation {
		return true
	}
	if term < r.floorTerm || s.stillUses(name, r, v, now) {
		return false
	}
	r.floor = false
	r.returning = false
	return true
}

// stillUses stops the use of the floor half and reports whether sub-requests may still run on it. The first call only stops: a
// sub-request could start after a look for running ones, until the section says that the half is not used any more.
func (s *state) stillUses(name string, r *right, v view, now time.Time) bool {
	if r.returning {
		return v.isBusy(name)
	}
	r.returning = !now.Before(r.lentUntil)
	return r.returning
}

// heartbeatReplied takes in the reply to a heartbeat.
func (s *state) heartbeatReplied(m message, reply *messenger.HeartbeatReply) {
	s.see(m.to, reply.Incarnation)
	if reply.Incarnation != m.heartbeat.To {
		return
	}
	terms := termsOf(m.heartbeat.Replicas, m.heartbeat.Terms)
	for _, name := range reply.Granted {
		r := s.rights[name]
		if r == nil || !r.holder || r.successor != m.to || r.successorN != reply.Incarnation || r.term != terms[name] {
			continue
		}
		if until := m.sentAt.Add(LeaseDuration); until.After(r.leaseUntil) {
			r.leaseUntil = until
		}
	}
	for _, name := range reply.Taken {
		if r := s.rights[name]; r != nil && r.holder && r.term == terms[name] {
			r.holder = false
			r.dropSuccessor()
		}
	}
}

func termsOf(names []string, terms []uint64) map[string]uint64 {
	byName := make(map[string]uint64, len(names))
	for i, name := range names[:min(len(names), len(terms))] {
		byName[name] = terms[i]
	}
	return byName
}

// releaseReplied takes in the reply to an ask, a recall or a probe.
func (s *state) releaseReplied(v view, m message, reply *messenger.ReleaseReply, now time.Time) {
	if !s.see(m.to, reply.Incarnation) {
		return
	}
	terms := termsOf(m.release.Replicas, m.release.Terms)
	switch m.release.Kind {
	case messenger.ReleaseAcquire:
		s.askReplied(v, m, reply, terms, now)
	case messenger.ReleaseRecall:
		for _, name := range reply.Released {
			r := s.rights[name]
			if r != nil && r.holder && r.successor == m.to && r.term == terms[name] && !r.recallUntil.IsZero() {
				r.dropSuccessor()
			}
		}
	case messenger.ReleaseCancel:
		for _, name := range reply.Released {
			if r := s.rights[name]; r != nil && r.asked[m.to].round == terms[name] {
				delete(r.asked, m.to)
			}
		}
	case messenger.ReleaseProbe:
		for _, name := range reply.Released {
			r := s.rights[name]
			if r != nil && r.floor && r.primary == m.to && r.floorTerm == terms[name] {
				r.floor = false
				r.returning = false
			}
		}
	}
}

func (s *state) askReplied(v view, m message, reply *messenger.ReleaseReply, terms map[string]uint64, now time.Time) {
	passed := termsOf(reply.Passed, reply.PassedTerms)
	free := map[string]bool{}
	for _, name := range reply.Released {
		free[name] = true
	}
	for name, round := range terms {
		r := s.rights[name]
		if r == nil || r.round != round || r.holder {
			continue
		}
		if term, ok := passed[name]; ok {
			s.lastTerm = max(s.lastTerm, term)
			r.become(s.nextTerm(now))
			continue
		}
		r.heard[m.to] = true
		for vm, n := range termsOf(reply.Askers, reply.AskerIncarnations) {
			s.addAsker(v, r, vm, n)
		}
		if free[name] {
			r.answered(m.to, reply.Incarnation, m.sentAt)
		}
		if !s.complete(r, now) {
			r.due = minTime(r.due, now.Add(askPause))
		}
	}
}

// addAsker counts a VM among those whose answer a claim needs, because another VM has promised it something.
func (s *state) addAsker(v view, r *right, vm string, n uint64) {
	if vm == s.self || s.departed(v, vm, n) {
		return
	}
	r.also[vm] = n
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// refused takes in that the receiver's address refused the connection: the process that the message was meant for is gone, and
// no process that runs there has a right.
func (s *state) refused(m message, now time.Time) {
	if m.incarnation > 0 {
		s.gone[m.to] = max(s.gone[m.to], m.incarnation)
	}
	if m.release == nil || m.release.Kind != messenger.ReleaseAcquire {
		return
	}
	for i, name := range m.release.Replicas {
		r := s.rights[name]
		if r == nil || r.holder || r.round != m.release.Terms[i] {
			continue
		}
		r.heard[m.to] = true
		r.answered(m.to, 0, m.sentAt)
		s.complete(r, now)
	}
}
