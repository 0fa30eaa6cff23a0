package leaser

import "github.com/anvildyke/anvildyke/internal/blackboard"

// holdings returns the rights as the section Holdings states them.
func (s *state) holdings(v view, reports *blackboard.Replicas) map[string]blackboard.Lease {
	all := make(map[string]blackboard.Lease, len(v.servers))
	for _, name := range v.servers {
		r := s.rights[name]
		if r == nil {
			continue
		}
		all[name] = s.holding(name, r, reports)
	}
	return all
}

func (s *state) holding(name string, r *right, reports *blackboard.Replicas) blackboard.Lease {
	switch {
	case s.leaving || r.holder && r.stopping:
		return blackboard.Lease{}
	case r.holder && r.successor == "":
		return blackboard.Lease{
			Share: blackboard.ShareAll,
		}
	case r.holder:
		return blackboard.Lease{
			Share:    blackboard.ShareAll,
			Expires:  r.leaseUntil,
			Fallback: blackboard.ShareCeilHalf,
		}
	case r.floor && !r.returning:
		return blackboard.Lease{
			Expires:  r.lentUntil,
			Fallback: blackboard.ShareFloorHalf,
			Holder:   r.primary,
		}
	}
	h := blackboard.Lease{
		Holder: r.passed.to,
	}
	if r.floor {
		h.Holder = r.primary
	}
	if owner := reports.ByName[name].Owner; owner != "" && owner != s.self {
		h.Holder = owner
	}
	return h
}
