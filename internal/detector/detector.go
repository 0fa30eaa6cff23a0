// Package detector detects that a network partition cuts this VM off from most availability zones, so that the load balancer
// can send its callers to VMs that can serve them.
package detector

import (
	"maps"
	"slices"

	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/router"
)

// Reachability is the result of Detect.
type Reachability struct {
	// Partitioned is set when most zones are unreachable and a route cannot be served for that reason.
	Partitioned bool
	// UnreachableZones contains the names of the unreachable zones in sorted order.
	UnreachableZones []string
	// Route is the name of the first route that cannot be served, with the number of shards that a search on it needs and the
	// number of reachable ones. It is empty unless Partitioned is set.
	Route           string
	NeededShards    int
	ReachableShards int
}

// Detect determines which zones of the servers in view are unreachable, and whether this VM is partitioned from most of them.
// isReachable reports whether a server is reachable as far as is known, and isZoneUnreachable whether the servers of a zone have
// stopped answering.
//
// A VM cannot distinguish a zone whose servers have all failed from a zone that it is partitioned from. Detect therefore reports
// a partition only if more than half of the zones are unreachable.
func Detect(view *discoverer.View, table *router.Table, isReachable func(discoverer.Endpoint) bool, isZoneUnreachable func(zone string) bool) Reachability {
	zones := map[string]struct{}{}
	for _, endpoints := range view.ByService {
		for _, e := range endpoints {
			zones[e.Zone] = struct{}{}
		}
	}
	var result Reachability
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if isZoneUnreachable(zone) {
			result.UnreachableZones = append(result.UnreachableZones, zone)
		}
	}
	if 2*len(result.UnreachableZones) <= len(zones) {
		return result
	}
	canReach := func(e discoverer.Endpoint) bool {
		return !slices.Contains(result.UnreachableZones, e.Zone) && isReachable(e)
	}
	for i := range table.Routes {
		r := &table.Routes[i]
		if needed, reachable, ok := shards(r, view, canReach); ok && reachable < needed {
			result.Partitioned = true
			result.Route, result.NeededShards, result.ReachableShards = r.Name, needed, reachable
			return result
		}
	}
	return result
}

// shards returns the number of shards that a search on the route needs and the number of shards with a reachable server. ok is
// false for other kinds of routes, and if fewer shards have any listed servers than a search needs, since this is no effect of a
// partition.
func shards(r *router.Route, view *discoverer.View, isReachable func(discoverer.Endpoint) bool) (needed, reachable int, ok bool) {
	fanout, ok := r.Destination.(router.Fanout)
	if !ok {
		return 0, 0, false
	}
	listed := 0
	for _, name := range fanout.Shards {
		endpoints := view.ByService[name]
		if len(endpoints) > 0 {
			listed++
		}
		if slices.ContainsFunc(endpoints, isReachable) {
			reachable++
		}
	}
	needed = fanout.MinShards()
	return needed, reachable, listed >= needed
}
