package validator

import (
	"cmp"
	"slices"

	"github.com/anvildyke/anvildyke/internal/parser"
)

// checkRelations checks the conditions that involve several objects. Of objects with the same key only the first is checked.
func (c *checker) checkRelations(o parser.Object) {
	key := parser.Key(o)
	if !c.seen[key] {
		return
	}
	delete(c.seen, key)
	o = c.objects[key]
	switch o := o.(type) {
	case parser.AvailabilityZone:
		if o.State == parser.ZoneInService && c.serversPerZone[o.Name] == 0 {
			c.addFault(o, "", "the zone is in service and has no backend servers")
		}
	case parser.Application:
		c.checkShardNumbers(o)
	case parser.Service:
		c.checkServersInService(o)
	case parser.Version:
		if c.isCycle(o.Name, func(name string) string {
			v, _ := find[parser.Version](c, name)
			return v.Replaces
		}) {
			c.addFault(o, "Replaces", "the references form a cycle")
		}
	case parser.Policy:
		if c.isCycle(o.Name, func(name string) string {
			p, _ := find[parser.Policy](c, name)
			return p.Inherits
		}) {
			c.addFault(o, "Inherits", "the references form a cycle")
		}
	}
}

// isCycle reports whether following the references from name leads back to name.
func (c *checker) isCycle(name string, next func(string) string) bool {
	seen := map[string]bool{}
	for current := next(name); current != "" && !seen[current]; current = next(current) {
		if current == name {
			return true
		}
		seen[current] = true
	}
	return false
}

// checkShardNumbers checks that the shards of the services of an application are numbered from 0 without gaps or duplicates.
func (c *checker) checkShardNumbers(o parser.Application) {
	services := slices.Clone(c.servicesByApplication[o.Name])
	if len(services) == 0 {
		c.addFault(o, "", "the application has no services")
		return
	}
	slices.SortStableFunc(services, func(a, b parser.Service) int { return cmp.Compare(a.Shard, b.Shard) })
	next := 0
	for _, s := range services {
		switch {
		case s.Shard == next-1:
			c.addFault(s, "Shard", "the application %q has more than one service for shard %d", o.Name, s.Shard)
			continue
		case s.Shard > next:
			c.addFault(s, "Shard", "the application %q has no service for shard %d", o.Name, next)
		}
		next = max(s.Shard, next-1) + 1
	}
}

// checkServersInService checks that at least one backend server of a service is in a zone in service.
func (c *checker) checkServersInService(o parser.Service) {
	servers := c.serversByService[o.Name]
	if len(servers) == 0 {
		c.addFault(o, "", "the service has no backend servers")
		return
	}
	if !slices.ContainsFunc(servers, func(b parser.BackendServer) bool { return !c.isOutOfService(b.AvailabilityZone) }) {
		c.addFault(o, "", "all backend servers of the service are in zones out of service")
	}
}
