package leaser

import (
	"maps"
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/hasher"
)

// The limits of a replica are split into two rights, the ceiling half and the floor half. Each is held by at most one process
// at a time, so the shares in use never exceed the limit:
//
//   - The holder has the ceiling half. It either has the floor half too, or has given it to the successor, which lends it back
//     by leases. The ceiling half never moves while the successor has the floor half.
//   - When the process of the holder is gone, its ceiling half is gone with it, and the successor has both. When the process
//     of the successor is gone, the holder has both.
//   - To pass a replica on, the holder first recalls the floor half and then passes both in one reply. A lost reply loses the
//     rights but never doubles them.
//   - Rights that nobody has are claimed by the VM that ranks first, once every other VM of the zone that is not known to be
//     gone has answered that it has none. That answer is a promise: the VM that gave it takes no right for the replica before
//     the claimer has answered an ask of its own, which ends the claim of the lower-ranked one, or has let it cancel the
//     answer, which ends the round of asks. All VMs are asked twice, the second time after all first answers, and each must
//     answer from the same process: a right can thus not have moved from a VM that was asked late to one that was asked early
//     and has been started again since. At the time between the two collects nobody had a right.

// view is what a decision depends on besides the state.
type view struct {
	members *blackboard.Members
	// servers are the names of the replicas of the own zone in the configuration.
	servers []string
	// ready says that the membership of the zone is known, so that rights may be claimed.
	ready bool
	// busy reports whether sub-requests run on the replica; nil means that none do.
	busy func(replica string) bool
}

func (v view) isBusy(replica string) bool {
	return v.busy != nil && v.busy(replica)
}

// maxRights bounds the map of replicas. A zone of the largest deployment has 757.
const maxRights = 8192

// state is the whole state of the decisions. All methods are deterministic and do no input or output.
type state struct {
	self        string
	zone        string
	incarnation uint64
	lastTerm    uint64
	rights      map[string]*right
	// seen is the highest incarnation of each VM that has sent a message, gone the highest one that is known to have ended.
	seen    map[string]uint64
	gone    map[string]uint64
	leaving bool

	// candidates are the other VMs of the zone that are not known to be gone; alive are those with recent news. doubtful are Gone
	// VMs that the platform lists: they may have been started again behind a partition, so a claim asks them too, and a refused
	// connection counts as an answer.
	candidates []string
	alive      []string
	doubtful   []string
	rankedOf   []string
}

func newState(self, zone string, incarnation uint64) *state {
	return &state{
		self:        self,
		zone:        zone,
		incarnation: incarnation,
		rights:      map[string]*right{},
		seen:        map[string]uint64{},
		gone:        map[string]uint64{},
	}
}

func (s *state) nextTerm(now time.Time) uint64 {
	s.lastTerm = max(s.lastTerm+1, uint64(now.UnixMicro()))
	return s.lastTerm
}

// departed reports whether the process of a VM with the incarnation has ended or has given up all rights.
func (s *state) departed(v view, name string, incarnation uint64) bool {
	if s.seen[name] > incarnation || s.gone[name] >= incarnation && s.gone[name] > 0 {
		return true
	}
	m, ok := v.members.ByName[name]
	if !ok {
		return false
	}
	over := m.State == blackboard.MemberGone || m.State == blackboard.MemberLeaving
	return m.Incarnation > incarnation || over && m.Incarnation == incarnation
}

// see notes a message of a VM and reports whether it comes from its latest process.
func (s *state) see(name string, incarnation uint64) bool {
	if incarnation < s.seen[name] || incarnation <= s.gone[name] {
		return false
	}
	s.seen[name] = incarnation
	return true
}

func (s *state) right(replica string) *right {
	r := s.rights[replica]
	if r == nil {
		r = newRight()
		if len(s.rights) < maxRights {
			s.rights[replica] = r
		}
	}
	return r
}

// outranks reports whether VM a goes before VM b for the replica.
func outranks(replica, a, b string) bool {
	return hasher.Best(replica, []string{a, b}) == a
}

// update takes over a changed view: candidates, ranks, and what follows from processes that have ended.
func (s *state) update(v view, now time.Time) {
	s.candidates = s.candidates[:0]
	s.alive = s.alive[:0]
	s.doubtful = s.doubtful[:0]
	for name, m := range v.members.ByName {
		usable := m.State == blackboard.MemberAlive || m.State == blackboard.MemberSuspect
		if name == s.self || m.AvailabilityZone != s.zone {
			continue
		}
		if !usable || m.Incarnation > 0 && s.gone[name] >= m.Incarnation {
			if m.Listed {
				s.doubtful = append(s.doubtful, name)
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
	configured := make(map[string]bool, len(v.servers))
	for _, name := range v.servers {
		configured[name] = true
		s.right(name)
	}
	key := slices.Concat(s.candidates, []string{""}, s.alive)
	changed := !slices.Equal(key, s.rankedOf)
	s.rankedOf = key
	all := append(slices.Clone(s.candidates), s.self)
	for name, r := range s.rights {
		if !configured[name] {
			s.forget(name, r, v)
			continue
		}
		if changed || r.best == "" {
			r.best = hasher.Best(name, all)
			r.bestSuccessor = hasher.Best(name, s.alive)
		}
		s.resolve(r, v, now)
	}
}

// forget gives up the rights for a replica that has left the configuration. Promises are kept while their VM lives.
func (s *state) forget(name string, r *right, v view) {
	r.holder = false
	r.floor = false
	r.round = 0
	r.dropSuccessor()
	s.dropPromises(r, v)
	if len(r.asked) == 0 {
		delete(s.rights, name)
	}
}

// resolve draws the conclusions from ended processes.
func (s *state) resolve(r *right, v view, now time.Time) {
	if r.holder && r.successor != "" && s.departed(v, r.successor, r.successorN) {
		r.dropSuccessor()
	}
	if r.floor && s.departed(v, r.primary, r.primaryN) {
		r.become(s.nextTerm(now))
	}
	s.dropPromises(r, v)
}

// dropPromises ends the promises to processes that have ended, and the memory of a pass to one.
func (s *state) dropPromises(r *right, v view) {
	if r.passed.to != "" && s.departed(v, r.passed.to, r.passed.incarnation) {
		r.passed = pass{}
	}
	maps.DeleteFunc(r.asked, func(vm string, p promise) bool {
		return s.departed(v, vm, p.incarnation)
	})
	maps.DeleteFunc(r.also, func(vm string, n uint64) bool {
		return s.departed(v, vm, n)
	})
}

// leave gives up all rights and returns the VMs that wait for them.
func (s *state) leave() []string {
	partners := map[string]bool{}
	for _, r := range s.rights {
		if r.holder && r.successor != "" {
			partners[r.successor] = true
		}
		if r.floor {
			partners[r.primary] = true
		}
		r.holder = false
		r.floor = false
		r.round = 0
		r.dropSuccessor()
	}
	s.leaving = true
	return slices.Sorted(maps.Keys(partners))
}
