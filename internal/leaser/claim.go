package leaser

import (
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/messenger"
)

// stepClaim runs a claim while this VM ranks first.
func (s *state) stepClaim(name string, r *right, v view, now time.Time, out *outbox) {
	first := v.ready && r.best == s.self
	for vm := range r.asked {
		first = first && !outranks(name, vm, s.self)
	}
	if !first {
		r.round = 0
		return
	}
	if r.round == 0 {
		r.round = s.nextTerm(now)
		r.heard = map[string]bool{}
		r.collect()
		r.also = map[string]uint64{}
	}
	if s.complete(r, now) {
		return
	}
	for _, vm := range s.claimTargets(r) {
		out.release(messenger.ReleaseAcquire, vm, name, r.round)
	}
}

// claimTargets returns the VMs to ask now: first those that have a promise of this VM, then all others.
func (s *state) claimTargets(r *right) []string {
	var promised []string
	for vm := range r.asked {
		if !r.heard[vm] {
			promised = append(promised, vm)
		}
	}
	if len(promised) > 0 {
		slices.Sort(promised)
		return promised
	}
	if r.floor {
		return []string{r.primary}
	}
	done := r.free
	if !r.collected.IsZero() {
		done = r.confirmed
	}
	return slices.DeleteFunc(s.required(r), func(vm string) bool {
		_, ok := done[vm]
		return ok
	})
}

func (s *state) required(r *right) []string {
	all := slices.Concat(s.candidates, s.doubtful)
	for vm := range r.asked {
		if !slices.Contains(all, vm) {
			all = append(all, vm)
		}
	}
	for vm := range r.also {
		if !slices.Contains(all, vm) {
			all = append(all, vm)
		}
	}
	return all
}

// collect begins the first collect of a round.
func (r *right) collect() {
	r.free = map[string]uint64{}
	r.confirmed = map[string]uint64{}
	r.collected = time.Time{}
}

// answered notes that a VM has no right, by an answer to an ask that was sent at sentAt.
func (r *right) answered(vm string, incarnation uint64, sentAt time.Time) {
	before, known := r.free[vm]
	switch {
	case !r.collected.IsZero() && known && before == incarnation:
		if sentAt.After(r.collected) {
			r.confirmed[vm] = incarnation
		}
	case !r.collected.IsZero():
		r.collect()
		r.free[vm] = incarnation
	default:
		r.free[vm] = incarnation
	}
}

// complete ends a claim once every VM has answered twice that it has no right.
func (s *state) complete(r *right, now time.Time) bool {
	if r.floor || r.round == 0 {
		return false
	}
	required := s.required(r)
	if !hasAll(r.free, required) {
		return false
	}
	if len(required) > 0 && r.collected.IsZero() {
		r.collected = now
		return false
	}
	if !hasAll(r.confirmed, required) {
		return false
	}
	r.become(s.nextTerm(now))
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
