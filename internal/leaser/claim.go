package leaser

import (
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/messenger"
)

// stepClaim starts or continues a claim while this VM ranks first among the candidates and outranks all VMs to which it has made
// a promise. Otherwise it ends the claim.
func (s *state) stepClaim(name string, r *replica, v view, now time.Time, out *outbox) {
	eligible := v.ready && r.best == s.self
	for vm := range r.promises {
		eligible = eligible && !outranks(name, vm, s.self)
	}
	if !eligible {
		r.round = 0
		return
	}
	if r.round == 0 {
		r.round = s.nextTerm(now)
		r.responded = map[string]bool{}
		r.resetAnswers()
		r.extraRequired = map[string]uint64{}
	}
	if s.tryComplete(r, now) {
		return
	}
	for _, vm := range s.claimTargets(r) {
		out.release(messenger.ReleaseAcquire, vm, name, r.round)
	}
}

// claimTargets returns the VMs that get an acquire request now: first those to which this VM has made a promise, since it may
// acquire nothing before they have answered, then all others whose answer is missing in the current phase.
func (s *state) claimTargets(r *replica) []string {
	var promised []string
	for vm := range r.promises {
		if !r.responded[vm] {
			promised = append(promised, vm)
		}
	}
	if len(promised) > 0 {
		slices.Sort(promised)
		return promised
	}
	if r.isSuccessor {
		return []string{r.holderName}
	}
	answers := r.firstAnswers
	if !r.firstPhaseEnd.IsZero() {
		answers = r.secondAnswers
	}
	return slices.DeleteFunc(s.required(r), func(vm string) bool {
		_, ok := answers[vm]
		return ok
	})
}

// required returns the VMs that have to answer both phases of a claim.
func (s *state) required(r *replica) []string {
	all := slices.Concat(s.candidates, s.goneButListed)
	for vm := range r.promises {
		if !slices.Contains(all, vm) {
			all = append(all, vm)
		}
	}
	for vm := range r.extraRequired {
		if !slices.Contains(all, vm) {
			all = append(all, vm)
		}
	}
	return all
}

// resetAnswers starts the first phase of a claim again.
func (r *replica) resetAnswers() {
	r.firstAnswers = map[string]uint64{}
	r.secondAnswers = map[string]uint64{}
	r.firstPhaseEnd = time.Time{}
}

// recordAnswer records that a VM owns no half of the replica. The VM answered an acquire request that was sent at sentAt. Only
// requests sent after the end of the first phase count for the second one. An answer of a VM or process that did not answer in
// the first phase starts that phase again.
func (r *replica) recordAnswer(vm string, incarnation uint64, sentAt time.Time) {
	before, known := r.firstAnswers[vm]
	switch {
	case !r.firstPhaseEnd.IsZero() && known && before == incarnation:
		if sentAt.After(r.firstPhaseEnd) {
			r.secondAnswers[vm] = incarnation
		}
	case !r.firstPhaseEnd.IsZero():
		r.resetAnswers()
		r.firstAnswers[vm] = incarnation
	default:
		r.firstAnswers[vm] = incarnation
	}
}

// tryComplete makes this VM the holder and returns true once every required VM has answered in both phases. It also ends the
// first phase when all its answers have arrived.
func (s *state) tryComplete(r *replica, now time.Time) bool {
	if r.isSuccessor || r.round == 0 {
		return false
	}
	required := s.required(r)
	if !hasAll(r.firstAnswers, required) {
		return false
	}
	if len(required) > 0 && r.firstPhaseEnd.IsZero() {
		r.firstPhaseEnd = now
		return false
	}
	if !hasAll(r.secondAnswers, required) {
		return false
	}
	r.becomeHolder(s.nextTerm(now))
	return true
}

func hasAll(answers map[string]uint64, vms []string) bool {
	for _, vm := range vms {
		if _, ok := answers[vm]; !ok {
			return false
		}
	}
	return true
}
