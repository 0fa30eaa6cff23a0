package leaser

import "github.com/anvildyke/anvildyke/internal/blackboard"

// leases returns the leases of this VM on the replicas in v, in the form of the section Leases.
func (s *state) leases(v view, reports *blackboard.Replicas) map[string]blackboard.Lease {
	all := make(map[string]blackboard.Lease, len(v.replicas))
	for _, name := range v.replicas {
		r := s.replicas[name]
		if r == nil {
			continue
		}
		all[name] = s.lease(name, r, reports)
	}
	return all
}

// lease returns the lease on one replica. It is empty while this VM shuts down or stops using the replica for a handover. If this
// VM is neither the holder nor a successor that may take over, Holder is the other VM that reports the replica as its own, else
// the holder to which this VM returns the floor half, else the VM to which it last handed the replica over.
func (s *state) lease(name string, r *replica, reports *blackboard.Replicas) blackboard.Lease {
	switch {
	case s.leaving || r.isHolder && r.stopping:
		return blackboard.Lease{}
	case r.isHolder && r.successor == "":
		return blackboard.Lease{
			Share: blackboard.ShareAll,
		}
	case r.isHolder:
		return blackboard.Lease{
			Share:    blackboard.ShareAll,
			Expires:  r.leaseUntil,
			Fallback: blackboard.ShareCeilingHalf,
		}
	case r.isSuccessor && !r.floorDraining:
		return blackboard.Lease{
			Expires:  r.floorUsableFrom,
			Fallback: blackboard.ShareFloorHalf,
			Holder:   r.holderName,
		}
	}
	lease := blackboard.Lease{
		Holder: r.lastHandover.to,
	}
	if r.isSuccessor {
		lease.Holder = r.holderName
	}
	if owner := reports.ByName[name].Owner; owner != "" && owner != s.self {
		lease.Holder = owner
	}
	return lease
}
