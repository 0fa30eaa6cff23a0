package syncer

import "time"

const (
	// loadAge is the age at which the load of a VM that does not tell it any more is forgotten: some messages between VMs.
	loadAge = 3 * time.Second
	// equalPart is the part of a zone's extra requests that is shared equally, so that a VM which gets its first requests has some.
	equalPart = 0.25
)

// load is the number of requests that a VM sent lately.
type load struct {
	requests float64
	at       time.Time
}

func (f *Syncer) addLoad(name string, requests float64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads[name] = load{
		requests: max(requests, 0),
		at:       now,
	}
}

// share returns a VM's part of what the VMs of the zone may spend on extra requests: most of it goes by load, because a VM with many
// requests needs what those with few leave.
func (f *Syncer) share(name string, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0.0
	for vm, l := range f.loads {
		if now.Sub(l.at) > loadAge {
			delete(f.loads, vm)
			continue
		}
		total += l.requests
	}
	equal := 1 / float64(max(len(f.loads), 1))
	if total == 0 {
		return equal
	}
	return equalPart*equal + (1-equalPart)*f.loads[name].requests/total
}

// takeShare sets this VM's part for a part of its zone. Zones share by their numbers of VMs.
func (f *Syncer) takeShare(part float64, now time.Time) {
	all, inZone := 0, 0
	for _, vm := range f.o.Board.VMs.Read().VMs {
		all++
		if vm.Zone == f.o.Zone {
			inZone++
		}
	}
	if inZone > 0 {
		f.o.Budgeter.SetShare(part*float64(inZone)/float64(all), now)
	}
}
