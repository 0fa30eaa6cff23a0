// Package validator checks a whole set of configuration objects and reports every fault at once.
package validator

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/parser"
)

// Limits of values in a set.
const (
	// MaxDeadline bounds DeadlineMax.
	MaxDeadline = time.Minute
	// MaxSlots and MaxConnections bound the limits of a backend server.
	MaxSlots       = 10000
	MaxConnections = 10000
	// MaxConnectTime bounds ConnectTime.
	MaxConnectTime = 10 * time.Second
	// MaxMinAnswers bounds MoveMinAnswers.
	MaxMinAnswers = 1_000_000_000
	// MinStepDuration is the shortest time that a step of a move may take: the evidence of all VMs needs about a second to spread.
	MinStepDuration = time.Second
)

// Fault is one reason why a set is refused.
type Fault struct {
	Kind string
	Name string
	// Field is empty when the fault concerns the object as a whole.
	Field   string
	Message string
}

// String returns the fault as "Kind/Name Field: message".
func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s/%s: %s", f.Kind, f.Name, f.Message)
	}
	return fmt.Sprintf("%s/%s %s: %s", f.Kind, f.Name, f.Field, f.Message)
}

// Check returns every fault of the set in the order of its objects. Moves must be able to end in time as of now.
func Check(set parser.Set, now time.Time) []Fault {
	return CheckUpdate(set, nil, now)
}

// CheckUpdate is Check for a set that replaces the installed one. A move that stands unchanged in the installed set is not
// compared with now: otherwise a set with a finished move could not be applied again, not even to take a zone out.
func CheckUpdate(set, installed parser.Set, now time.Time) []Fault {
	c := newCheck(set, installed, now)
	for _, o := range set {
		c.object(o)
	}
	for _, o := range set {
		c.whole(o)
	}
	slices.SortStableFunc(c.faults, func(a, b Fault) int {
		return cmp.Compare(c.order[a.Kind+"/"+a.Name], c.order[b.Kind+"/"+b.Name])
	})
	return c.faults
}

// check holds the indexes of a set. Of objects with the same kind and name the first one counts.
type check struct {
	now       time.Time
	installed map[string]parser.Object
	faults    []Fault

	// order is the position of the first object with a key.
	order    map[string]int
	seen     map[string]bool
	objects  map[string]parser.Object
	address  map[netip.AddrPort]string
	split    map[string]string
	move     map[string]string
	services map[string][]parser.Service
	servers  map[string][]parser.BackendServer
	// zoneServers counts the backend servers of each availability zone.
	zoneServers map[string]int
}

func newCheck(set, installed parser.Set, now time.Time) *check {
	c := &check{
		now:         now,
		installed:   map[string]parser.Object{},
		order:       map[string]int{},
		seen:        map[string]bool{},
		objects:     map[string]parser.Object{},
		address:     map[netip.AddrPort]string{},
		split:       map[string]string{},
		move:        map[string]string{},
		services:    map[string][]parser.Service{},
		servers:     map[string][]parser.BackendServer{},
		zoneServers: map[string]int{},
	}
	for _, o := range installed {
		c.installed[parser.Key(o)] = o
	}
	for i, o := range set {
		key := parser.Key(o)
		if _, ok := c.objects[key]; ok {
			continue
		}
		c.order[key] = i
		c.objects[key] = o
		switch o := o.(type) {
		case parser.Service:
			c.services[o.Application] = append(c.services[o.Application], o)
		case parser.BackendServer:
			c.servers[o.Service] = append(c.servers[o.Service], o)
			c.zoneServers[o.AvailabilityZone]++
		}
	}
	return c
}

// find returns the object of type T with a name.
func find[T parser.Object](c *check, name string) (T, bool) {
	var zero T
	o, ok := c.objects[zero.ObjectKind()+"/"+name].(T)
	return o, ok
}

// refer reports a fault unless name refers to an object of type T.
func refer[T parser.Object](c *check, o parser.Object, field, name string) bool {
	if _, ok := find[T](c, name); ok {
		return true
	}
	var zero T
	if name == "" {
		c.fault(o, field, "the field is missing")
	} else {
		c.fault(o, field, "there is no %s %q", zero.ObjectKind(), name)
	}
	return false
}

func (c *check) fault(o parser.Object, field, format string, args ...any) {
	c.faults = append(c.faults, Fault{
		Kind:    o.ObjectKind(),
		Name:    o.ObjectName(),
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	})
}

// object checks the fields and references of one object.
func (c *check) object(o parser.Object) {
	key := parser.Key(o)
	if c.seen[key] {
		c.fault(o, "", "the object is given twice")
	}
	c.seen[key] = true
	c.name(o, "Name", o.ObjectName())
	switch o := o.(type) {
	case parser.AvailabilityZone:
		c.name(o, "Region", o.Region)
		if o.State == "" {
			c.fault(o, "State", "the field is missing")
		}
	case parser.Policy:
		c.policy(o)
	case parser.Application:
		c.application(o)
	case parser.Service:
		refer[parser.Application](c, o, "Application", o.Application)
		if o.Shard < 0 {
			c.fault(o, "Shard", "%d is below 0", o.Shard)
		}
	case parser.Version:
		refer[parser.Application](c, o, "Application", o.Application)
		if o.Replaces != "" {
			c.version(o, "Replaces", o.Replaces, o.Application)
		}
	case parser.BackendServer:
		c.server(o)
	case parser.Split:
		c.splitObject(o)
	case parser.Move:
		c.moveObject(o)
	}
}

func (c *check) name(o parser.Object, field, name string) {
	if !parser.IsValidName(name) {
		c.fault(o, field, "%q is not a name: 1 to 63 lower-case letters, digits, dots and hyphens", name)
	}
}

func between[N int | time.Duration](c *check, o parser.Object, field string, n, lo, hi N) {
	if n < lo || n > hi {
		c.fault(o, field, "%v is not in the range from %v to %v", n, lo, hi)
	}
}

func (c *check) policy(o parser.Policy) {
	between(c, o, "HedgePercent", o.HedgePercent, 0, 100)
	between(c, o, "RetryPercent", o.RetryPercent, 0, 100)
	between(c, o, "MoveMaxBadPercent", o.MoveMaxBadPercent, 0, 100)
	between(c, o, "MoveMinAnswers", o.MoveMinAnswers, 0, MaxMinAnswers)
	if o.Inherits != "" {
		refer[parser.Policy](c, o, "Inherits", o.Inherits)
	}
}

func (c *check) application(o parser.Application) {
	refer[parser.Policy](c, o, "Policy", o.Policy)
	between(c, o, "DeadlineMax", o.DeadlineMax, time.Millisecond, MaxDeadline)
	between(c, o, "DeadlineDefault", o.DeadlineDefault, time.Millisecond, max(o.DeadlineMax, time.Millisecond))
	if len(o.Routes) == 0 {
		c.fault(o, "Routes", "the field is missing")
	}
	names := map[string]bool{}
	for i, r := range o.Routes {
		field := fmt.Sprintf("Routes[%d]", i)
		c.name(o, field+".Name", r.Name)
		if r.Kind == "" {
			c.fault(o, field+".Kind", "the field is missing")
		}
		if names[r.Name] {
			c.fault(o, field, "the route %q is given twice", r.Name)
		}
		names[r.Name] = true
	}
}

// version checks a reference to a version of an application.
func (c *check) version(o parser.Object, field, name, app string) {
	if !refer[parser.Version](c, o, field, name) {
		return
	}
	if v, _ := find[parser.Version](c, name); v.Application != app {
		c.fault(o, field, "the version %q belongs to the application %q, not %q", name, v.Application, app)
	}
}

func (c *check) server(o parser.BackendServer) {
	if refer[parser.Service](c, o, "Service", o.Service) {
		s, _ := find[parser.Service](c, o.Service)
		c.version(o, "Version", o.Version, s.Application)
	} else {
		refer[parser.Version](c, o, "Version", o.Version)
	}
	refer[parser.AvailabilityZone](c, o, "AvailabilityZone", o.AvailabilityZone)
	between(c, o, "Slots", o.Slots, 1, MaxSlots)
	between(c, o, "Connections", o.Connections, 1, MaxConnections)
	between(c, o, "ConnectTime", o.ConnectTime, 0, MaxConnectTime)
	if !o.Address.IsValid() || o.Address.Port() == 0 {
		c.fault(o, "Address", "the field is missing or has port 0")
		return
	}
	// Two objects for one process would let it get twice its limits.
	if other, ok := c.address[o.Address]; ok && other != o.Name {
		c.fault(o, "Address", "%s is the address of %q too", o.Address, other)
		return
	}
	c.address[o.Address] = o.Name
}

func (c *check) splitObject(o parser.Split) {
	refer[parser.Application](c, o, "Application", o.Application)
	c.single(c.split, o, o.Application)
	sum := 0
	seen := map[string]bool{}
	for i, s := range o.Shares {
		field := fmt.Sprintf("Shares[%d]", i)
		c.version(o, field+".Version", s.Version, o.Application)
		between(c, o, field+".Percent", s.Percent, 0, 100)
		if seen[s.Version] {
			c.fault(o, field+".Version", "the version %q is given twice", s.Version)
		}
		seen[s.Version] = true
		if s.Percent > 0 {
			c.served(o, field+".Version", s.Version)
		}
		sum += s.Percent
	}
	if sum != 100 {
		c.fault(o, "Shares", "the shares add up to %d, not 100", sum)
	}
}

// single reports a second Split or Move of an application.
func (c *check) single(of map[string]string, o parser.Object, app string) {
	if other, ok := of[app]; ok && other != o.ObjectName() {
		c.fault(o, "Application", "%q has the %s %q already", app, o.ObjectKind(), other)
		return
	}
	of[app] = o.ObjectName()
}

// served reports a version that no backend server in a zone in service has.
func (c *check) served(o parser.Object, field, version string) {
	v, ok := find[parser.Version](c, version)
	if !ok {
		return
	}
	for _, s := range c.services[v.Application] {
		for _, b := range c.servers[s.Name] {
			if b.Version == version && !c.isOut(b.AvailabilityZone) {
				return
			}
		}
	}
	c.fault(o, field, "the version %q has no backend server in a zone in service", version)
}

func (c *check) isOut(zone string) bool {
	z, ok := find[parser.AvailabilityZone](c, zone)
	return ok && z.State == parser.ZoneOutOfService
}
