package validator

import (
	"cmp"
	"slices"

	"github.com/anvildyke/anvildyke/internal/parser"
)

// whole checks what depends on several objects. A duplicate is checked once.
func (c *check) whole(o parser.Object) {
	key := parser.Key(o)
	if !c.seen[key] {
		return
	}
	delete(c.seen, key)
	o = c.objects[key]
	switch o := o.(type) {
	case parser.AvailabilityZone:
		if o.State == parser.ZoneInService && c.zoneServers[o.Name] == 0 {
			c.fault(o, "", "the zone is in service and has no backend servers")
		}
	case parser.Application:
		c.shards(o)
	case parser.Service:
		c.capacity(o)
	case parser.Version:
		if c.isCycle(o.Name, func(name string) string {
			v, _ := find[parser.Version](c, name)
			return v.Replaces
		}) {
			c.fault(o, "Replaces", "the references form a cycle")
		}
	case parser.Policy:
		if c.isCycle(o.Name, func(name string) string {
			p, _ := find[parser.Policy](c, name)
			return p.Inherits
		}) {
			c.fault(o, "Inherits", "the references form a cycle")
		}
	}
}

// isCycle reports whether the references that start at name lead back to it.
func (c *check) isCycle(name string, next func(string) string) bool {
	seen := map[string]bool{}
	for at := next(name); at != "" && !seen[at]; at = next(at) {
		if at == name {
			return true
		}
		seen[at] = true
	}
	return false
}

// shards checks that the services of an application number their shards from 0 without gaps.
func (c *check) shards(o parser.Application) {
	services := slices.Clone(c.services[o.Name])
	if len(services) == 0 {
		c.fault(o, "", "the application has no services")
		return
	}
	slices.SortStableFunc(services, func(a, b parser.Service) int { return cmp.Compare(a.Shard, b.Shard) })
	next := 0
	for _, s := range services {
		switch {
		case s.Shard == next-1:
			c.fault(s, "Shard", "the application %q has the shard %d twice", o.Name, s.Shard)
			continue
		case s.Shard > next:
			c.fault(s, "Shard", "the application %q has no shard %d", o.Name, next)
		}
		next = max(s.Shard, next-1) + 1
	}
}

// capacity checks that a service has a backend server in a zone in service.
func (c *check) capacity(o parser.Service) {
	servers := c.servers[o.Name]
	if len(servers) == 0 {
		c.fault(o, "", "the service has no backend servers")
		return
	}
	if !slices.ContainsFunc(servers, func(b parser.BackendServer) bool { return !c.isOut(b.AvailabilityZone) }) {
		c.fault(o, "", "every backend server of the service stands in a zone taken out of service")
	}
}
