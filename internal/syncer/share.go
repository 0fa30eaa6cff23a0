package syncer

import "time"

const (
	// loadMaxAge is the age after which a reported load is discarded. It covers several requests from a VM to the reader.
	loadMaxAge = 3 * time.Second
	// equalFraction is the fraction of a zone's extra attempts that is shared equally, so that a VM that receives its first
	// requests has an allowance.
	equalFraction = 0.25
)

// load is the number of requests that a VM has sent recently.
type load struct {
	requests float64
	at       time.Time
}

func (s *Syncer) addLoad(name string, requests float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads[name] = load{
		requests: max(requests, 0),
		at:       now,
	}
}

// share returns the fraction of the zone's extra attempts that a VM may make. Most of it is in proportion to the load, so that
// VMs with many requests can use what VMs with few requests do not need.
func (s *Syncer) share(name string, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0.0
	for vm, l := range s.loads {
		if now.Sub(l.at) > loadMaxAge {
			delete(s.loads, vm)
			continue
		}
		total += l.requests
	}
	equalShare := 1 / float64(max(len(s.loads), 1))
	if total == 0 {
		return equalShare
	}
	return equalFraction*equalShare + (1-equalFraction)*s.loads[name].requests/total
}

// applyShare sets this VM's share of the extra attempts of all zones, given its share within the zone. Zones share in
// proportion to their numbers of VMs.
func (s *Syncer) applyShare(zoneShare float64, now time.Time) {
	all, inZone := 0, 0
	for _, vm := range s.o.Board.VMs.Read().VMs {
		all++
		if vm.Zone == s.o.Zone {
			inZone++
		}
	}
	if inZone > 0 {
		s.o.Budgeter.SetShare(zoneShare*float64(inZone)/float64(all), now)
	}
}
