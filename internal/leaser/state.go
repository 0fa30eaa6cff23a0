package leaser

import (
	"maps"
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/hasher"
)

// The limit of a replica is split into the ceiling half (rounded up) and the floor half (rounded down). At any time at most one
// process owns each half, so the shares in use never add up to more than the limit:
//
//   - The holder owns the ceiling half. It either owns the floor half too, or has given it to the successor, which grants leases
//     that let the holder use the floor half as well. The ceiling half never moves while the successor owns the floor half.
//   - When the process of the holder has ended, its ceiling half passes to the successor, which then owns both halves. When the
//     process of the successor has ended, the holder owns both halves.
//   - To hand a replica over, the holder first recalls the floor half and then transfers both halves in one reply. If the reply
//     is lost, the halves may be left without an owner, but no half ever has two.
//   - Halves that no process owns are claimed by the VM that ranks first, once every other VM of the zone that is not known to
//     be gone has answered its acquire request that it owns none. That answer is a promise: the VM that gave it does not become
//     the owner of a half before the claiming VM has answered an acquire request of that VM, which ends the claim of the
//     lower-ranked of the two, or has accepted the cancellation of the promise, which ends the round of the claiming VM.
//   - A claim has two phases. Every VM is asked in both, in the second one after all answers of the first have arrived, and has
//     to answer from the same process. Thus a half cannot have moved from a VM that was asked late to one that was asked early
//     and has been restarted since: between the two phases no process owned a half.

// view is the input of a decision besides the state and the time.
type view struct {
	members *blackboard.Members
	// replicas are the sorted names of the replicas of the own zone in the configuration.
	replicas []string
	// ready is true when the membership of the zone is known, so that replicas may be claimed.
	ready bool
	// busy reports whether sub-requests run on the replica; nil means that none run.
	busy func(replica string) bool
}

func (v view) isBusy(replica string) bool {
	return v.busy != nil && v.busy(replica)
}

// maxReplicas bounds state.replicas. A zone of the largest deployment has 757 replicas.
const maxReplicas = 8192

// state is the state machine of the lease protocol of one VM. Its methods are deterministic and do no I/O.
type state struct {
	self        string
	zone        string
	incarnation uint64
	lastTerm    uint64
	replicas    map[string]*replica
	// seen is the highest incarnation of each VM from which a message has been received, gone the highest one that is known to
	// have ended.
	seen    map[string]uint64
	gone    map[string]uint64
	leaving bool

	// candidates are the other VMs of the zone that are not known to be gone; alive are those of them that are in the state Alive
	// with a known incarnation. goneButListed are VMs that are gone or leaving but that the platform still lists: they may have
	// been restarted on the other side of a network partition, so a claim asks them too, and a refused connection counts as their
	// answer. rankedVMs are the candidates and the alive VMs from which the ranks in replicas were computed.
	candidates    []string
	alive         []string
	goneButListed []string
	rankedVMs     []string
}

func newState(self, zone string, incarnation uint64) *state {
	return &state{
		self:        self,
		zone:        zone,
		incarnation: incarnation,
		replicas:    map[string]*replica{},
		seen:        map[string]uint64{},
		gone:        map[string]uint64{},
	}
}

func (s *state) nextTerm(now time.Time) uint64 {
	s.lastTerm = max(s.lastTerm+1, uint64(now.UnixMicro()))
	return s.lastTerm
}

// departed reports whether the process of a VM with the given incarnation has ended or has released all replicas.
func (s *state) departed(v view, name string, incarnation uint64) bool {
	if s.seen[name] > incarnation || s.gone[name] >= incarnation && s.gone[name] > 0 {
		return true
	}
	m, ok := v.members.ByName[name]
	if !ok {
		return false
	}
	ended := m.State == blackboard.MemberGone || m.State == blackboard.MemberLeaving
	return m.Incarnation > incarnation || ended && m.Incarnation == incarnation
}

// recordIncarnation records the incarnation of a VM that has sent a message, and reports whether it is that of the latest known
// process of the VM.
func (s *state) recordIncarnation(name string, incarnation uint64) bool {
	if incarnation < s.seen[name] || incarnation <= s.gone[name] {
		return false
	}
	s.seen[name] = incarnation
	return true
}

// replica returns the state for a replica. Above maxReplicas the state of a new one is not kept.
func (s *state) replica(name string) *replica {
	r := s.replicas[name]
	if r == nil {
		r = newReplica()
		if len(s.replicas) < maxReplicas {
			s.replicas[name] = r
		}
	}
	return r
}

// outranks reports whether VM a ranks higher than VM b for the replica.
func outranks(replica, a, b string) bool {
	return hasher.Best(replica, []string{a, b}) == a
}

// update brings the state in line with the view: the candidates, the cached ranks, and the effects of processes that have ended.
func (s *state) update(v view, now time.Time) {
	s.candidates = s.candidates[:0]
	s.alive = s.alive[:0]
	s.goneButListed = s.goneButListed[:0]
	for name, m := range v.members.ByName {
		usable := m.State == blackboard.MemberAlive || m.State == blackboard.MemberSuspect
		if name == s.self || m.AvailabilityZone != s.zone {
			continue
		}
		if !usable || m.Incarnation > 0 && s.gone[name] >= m.Incarnation {
			if m.Listed {
				s.goneButListed = append(s.goneButListed, name)
			}
			continue
		}
		s.candidates = append(s.candidates, name)
		if m.State == blackboard.MemberAlive && m.Incarnation > 0 {
			s.alive = append(s.alive, name)
		}
	}
	slices.Sort(s.candidates)
	slices.Sort(s.alive)
	configured := make(map[string]bool, len(v.replicas))
	for _, name := range v.replicas {
		configured[name] = true
		s.replica(name)
	}
	key := slices.Concat(s.candidates, []string{""}, s.alive)
	changed := !slices.Equal(key, s.rankedVMs)
	s.rankedVMs = key
	all := append(slices.Clone(s.candidates), s.self)
	for name, r := range s.replicas {
		if !configured[name] {
			s.removeReplica(name, r, v)
			continue
		}
		if changed || r.best == "" {
			r.best = hasher.Best(name, all)
			r.bestSuccessor = hasher.Best(name, s.alive)
		}
		s.applyDepartures(r, v, now)
	}
}

// removeReplica releases a replica that is no longer in the configuration. Promises are kept as long as the process that received
// them runs.
func (s *state) removeReplica(name string, r *replica, v view) {
	r.isHolder = false
	r.isSuccessor = false
	r.round = 0
	r.dropSuccessor()
	s.dropPromises(r, v)
	if len(r.promises) == 0 {
		delete(s.replicas, name)
	}
}

// applyDepartures makes this VM the owner of both halves if the process that owned the other one has ended. It also drops the
// promises to processes that have ended.
func (s *state) applyDepartures(r *replica, v view, now time.Time) {
	if r.isHolder && r.successor != "" && s.departed(v, r.successor, r.successorIncarnation) {
		r.dropSuccessor()
	}
	if r.isSuccessor && s.departed(v, r.holderName, r.holderIncarnation) {
		r.becomeHolder(s.nextTerm(now))
	}
	s.dropPromises(r, v)
}

// dropPromises removes what refers to processes that have ended: promises to them, the answers required of them, and the last
// handover if one of them received it.
func (s *state) dropPromises(r *replica, v view) {
	if r.lastHandover.to != "" && s.departed(v, r.lastHandover.to, r.lastHandover.incarnation) {
		r.lastHandover = handover{}
	}
	maps.DeleteFunc(r.promises, func(vm string, p promise) bool {
		return s.departed(v, vm, p.incarnation)
	})
	maps.DeleteFunc(r.extraRequired, func(vm string, incarnation uint64) bool {
		return s.departed(v, vm, incarnation)
	})
}

// releaseAll releases all replicas and returns the VMs that own the other half of one, sorted by name.
func (s *state) releaseAll() []string {
	peers := map[string]bool{}
	for _, r := range s.replicas {
		if r.isHolder && r.successor != "" {
			peers[r.successor] = true
		}
		if r.isSuccessor {
			peers[r.holderName] = true
		}
		r.isHolder = false
		r.isSuccessor = false
		r.round = 0
		r.dropSuccessor()
	}
	s.leaving = true
	return slices.Sorted(maps.Keys(peers))
}
