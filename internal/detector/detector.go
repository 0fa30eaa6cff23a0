// Package detector detects that a network partition cuts this VM off from most availability zones, so that the load balancer
// sends its callers to VMs that can serve them.
package detector

import (
	"maps"
	"slices"

	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/router"
)

// Reachability is what is known of the reach of this VM.
type Reachability struct {
	// Partitioned says that most zones are out of reach and a route cannot be served for that reason.
	Partitioned bool
	// UnreachableZones are out of reach, in order.
	UnreachableZones []string
	// Route is the first that cannot be served, with the shards that it needs and those that are in reach.
	Route           string
	NeededShards    int
	ReachableShards int
}

// Detect returns the finding for the servers of a view. Reach reports whether a server can be reached as far as is known, and silent
// whether the servers of a zone have stopped answering.
//
// A zone whose servers have all failed looks to the others as if they were cut off from it. A VM therefore takes itself for cut off
// only if most zones are out of its reach.
func Detect(view *discoverer.View, table *router.Table, reach func(discoverer.Endpoint) bool, silent func(zone string) bool) Reachability {
	zones := map[string]struct{}{}
	for _, members := range view.ByService {
		for _, m := range members {
			zones[m.Zone] = struct{}{}
		}
	}
	var f Reachability
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if silent(zone) {
			f.UnreachableZones = append(f.UnreachableZones, zone)
		}
	}
	if 2*len(f.UnreachableZones) <= len(zones) {
		return f
	}
	inReach := func(m discoverer.Endpoint) bool {
		return !slices.Contains(f.UnreachableZones, m.Zone) && reach(m)
	}
	for i := range table.Routes {
		r := &table.Routes[i]
		if needed, reachable, ok := shards(r, view, inReach); ok && reachable < needed {
			f.Partitioned = true
			f.Route, f.NeededShards, f.ReachableShards = r.Name, needed, reachable
			return f
		}
	}
	return f
}

// shards returns the shards that a search needs and those with a server in reach. It returns false for other routes, and if the list
// itself has too few servers.
func shards(r *router.Route, view *discoverer.View, reach func(discoverer.Endpoint) bool) (needed, reachable int, ok bool) {
	fanout, ok := r.Destination.(router.Fanout)
	if !ok {
		return 0, 0, false
	}
	listed := 0
	for _, name := range fanout.Shards {
		members := view.ByService[name]
		if len(members) > 0 {
			listed++
		}
		if slices.ContainsFunc(members, reach) {
			reachable++
		}
	}
	needed = fanout.MinShards()
	return needed, reachable, listed >= needed
}
