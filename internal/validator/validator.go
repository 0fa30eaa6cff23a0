// Package validator checks a complete set of configuration objects and reports all of its faults together.
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
	// MaxDeadline is the maximum of DeadlineMax of an application.
	MaxDeadline = time.Minute
	// MaxSlots bounds the requests that one backend server runs concurrently, and MaxConnections the connections that may be open
	// to it.
	MaxSlots       = 10000
	MaxConnections = 10000
	// MaxConnectTime is the maximum of ConnectTime of a backend server.
	MaxConnectTime = 10 * time.Second
	// MaxMinAnswers is the maximum of MoveMinAnswers of a policy.
	MaxMinAnswers = 1_000_000_000
	// MinStepDuration is the minimum duration of a step of a move. The statistics by which a step is judged need about a second
	// to reach all VMs.
	MinStepDuration = time.Second
)

// Fault describes one reason for which a set is refused.
type Fault struct {
	Kind string
	Name string
	// Field is empty if the fault concerns the object as a whole.
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

// Check returns all faults of the set in the order of its objects. A move has a fault if too little time for its steps remains
// between now, or Start if that is later, and FinishBy.
func Check(set parser.Set, now time.Time) []Fault {
	return CheckUpdate(set, nil, now)
}

// CheckUpdate is like Check for a set that replaces the installed one. A move that is unchanged from the installed set is not
// compared with now. Otherwise a set with a finished move could not be applied again, not even to take a zone out of service.
func CheckUpdate(set, installed parser.Set, now time.Time) []Fault {
	c := newChecker(set, installed, now)
	for _, o := range set {
		c.checkObject(o)
	}
	for _, o := range set {
		c.checkRelations(o)
	}
	slices.SortStableFunc(c.faults, func(a, b Fault) int {
		return cmp.Compare(c.order[a.Kind+"/"+a.Name], c.order[b.Kind+"/"+b.Name])
	})
	return c.faults
}

// checker contains the indexes of a set and the faults found. If several objects have the same kind and name, references resolve
// to the first one.
type checker struct {
	now       time.Time
	installed map[string]parser.Object
	faults    []Fault

	// order contains the position of the first object with each key.
	order map[string]int
	// seen contains the keys of the objects that checkObject has checked. checkRelations removes them again.
	seen                  map[string]bool
	objects               map[string]parser.Object
	serverByAddress       map[netip.AddrPort]string
	splitByApplication    map[string]string
	moveByApplication     map[string]string
	servicesByApplication map[string][]parser.Service
	serversByService      map[string][]parser.BackendServer
	// serversPerZone counts the backend servers of each availability zone.
	serversPerZone map[string]int
}

func newChecker(set, installed parser.Set, now time.Time) *checker {
	c := &checker{
		now:                   now,
		installed:             map[string]parser.Object{},
		order:                 map[string]int{},
		seen:                  map[string]bool{},
		objects:               map[string]parser.Object{},
		serverByAddress:       map[netip.AddrPort]string{},
		splitByApplication:    map[string]string{},
		moveByApplication:     map[string]string{},
		servicesByApplication: map[string][]parser.Service{},
		serversByService:      map[string][]parser.BackendServer{},
		serversPerZone:        map[string]int{},
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
			c.servicesByApplication[o.Application] = append(c.servicesByApplication[o.Application], o)
		case parser.BackendServer:
			c.serversByService[o.Service] = append(c.serversByService[o.Service], o)
			c.serversPerZone[o.AvailabilityZone]++
		}
	}
	return c
}

func find[T parser.Object](c *checker, name string) (T, bool) {
	var zero T
	o, ok := c.objects[zero.ObjectKind()+"/"+name].(T)
	return o, ok
}

// checkReference adds a fault unless there is an object of type T with the given name. It reports whether there is one.
func checkReference[T parser.Object](c *checker, o parser.Object, field, name string) bool {
	if _, ok := find[T](c, name); ok {
		return true
	}
	var zero T
	if name == "" {
		c.addFault(o, field, "the field is missing")
	} else {
		c.addFault(o, field, "there is no %s %q", zero.ObjectKind(), name)
	}
	return false
}

func (c *checker) addFault(o parser.Object, field, format string, args ...any) {
	c.faults = append(c.faults, Fault{
		Kind:    o.ObjectKind(),
		Name:    o.ObjectName(),
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	})
}

// checkObject checks the fields of one object and the references that they contain.
func (c *checker) checkObject(o parser.Object) {
	key := parser.Key(o)
	if c.seen[key] {
		c.addFault(o, "", "the object is given twice")
	}
	c.seen[key] = true
	c.checkName(o, "Name", o.ObjectName())
	switch o := o.(type) {
	case parser.AvailabilityZone:
		c.checkName(o, "Region", o.Region)
		if o.State == "" {
			c.addFault(o, "State", "the field is missing")
		}
	case parser.Policy:
		c.checkPolicy(o)
	case parser.Application:
		c.checkApplication(o)
	case parser.Service:
		checkReference[parser.Application](c, o, "Application", o.Application)
		if o.Shard < 0 {
			c.addFault(o, "Shard", "%d is negative", o.Shard)
		}
	case parser.Version:
		checkReference[parser.Application](c, o, "Application", o.Application)
		if o.Replaces != "" {
			c.checkVersionReference(o, "Replaces", o.Replaces, o.Application)
		}
	case parser.BackendServer:
		c.checkBackendServer(o)
	case parser.Split:
		c.checkSplit(o)
	case parser.Move:
		c.checkMove(o)
	}
}

func (c *checker) checkName(o parser.Object, field, name string) {
	if !parser.IsValidName(name) {
		c.addFault(o, field, "%q is not a valid name: use 1 to 63 lower-case letters, digits, dots and hyphens", name)
	}
}

func checkRange[N int | time.Duration](c *checker, o parser.Object, field string, n, lo, hi N) {
	if n < lo || n > hi {
		c.addFault(o, field, "%v is not in the range from %v to %v", n, lo, hi)
	}
}

func (c *checker) checkPolicy(o parser.Policy) {
	checkRange(c, o, "HedgePercent", o.HedgePercent, 0, 100)
	checkRange(c, o, "RetryPercent", o.RetryPercent, 0, 100)
	checkRange(c, o, "MoveMaxBadPercent", o.MoveMaxBadPercent, 0, 100)
	checkRange(c, o, "MoveMinAnswers", o.MoveMinAnswers, 0, MaxMinAnswers)
	if o.Inherits != "" {
		checkReference[parser.Policy](c, o, "Inherits", o.Inherits)
	}
}

func (c *checker) checkApplication(o parser.Application) {
	checkReference[parser.Policy](c, o, "Policy", o.Policy)
	checkRange(c, o, "DeadlineMax", o.DeadlineMax, time.Millisecond, MaxDeadline)
	checkRange(c, o, "DeadlineDefault", o.DeadlineDefault, time.Millisecond, max(o.DeadlineMax, time.Millisecond))
	if len(o.Routes) == 0 {
		c.addFault(o, "Routes", "the field is missing")
	}
	names := map[string]bool{}
	for i, r := range o.Routes {
		field := fmt.Sprintf("Routes[%d]", i)
		c.checkName(o, field+".Name", r.Name)
		if r.Kind == "" {
			c.addFault(o, field+".Kind", "the field is missing")
		}
		if names[r.Name] {
			c.addFault(o, field, "the route %q is given twice", r.Name)
		}
		names[r.Name] = true
	}
}

// checkVersionReference checks that name refers to a version of the application app.
func (c *checker) checkVersionReference(o parser.Object, field, name, app string) {
	if !checkReference[parser.Version](c, o, field, name) {
		return
	}
	if v, _ := find[parser.Version](c, name); v.Application != app {
		c.addFault(o, field, "the version %q belongs to the application %q, not %q", name, v.Application, app)
	}
}

func (c *checker) checkBackendServer(o parser.BackendServer) {
	if checkReference[parser.Service](c, o, "Service", o.Service) {
		s, _ := find[parser.Service](c, o.Service)
		c.checkVersionReference(o, "Version", o.Version, s.Application)
	} else {
		checkReference[parser.Version](c, o, "Version", o.Version)
	}
	checkReference[parser.AvailabilityZone](c, o, "AvailabilityZone", o.AvailabilityZone)
	checkRange(c, o, "Slots", o.Slots, 1, MaxSlots)
	checkRange(c, o, "Connections", o.Connections, 1, MaxConnections)
	checkRange(c, o, "ConnectTime", o.ConnectTime, 0, MaxConnectTime)
	if !o.Address.IsValid() || o.Address.Port() == 0 {
		c.addFault(o, "Address", "the field is missing or has port 0")
		return
	}
	// Two objects with the address of one process would allow the process twice its limits.
	if other, ok := c.serverByAddress[o.Address]; ok && other != o.Name {
		c.addFault(o, "Address", "%s is also the address of %q", o.Address, other)
		return
	}
	c.serverByAddress[o.Address] = o.Name
}

func (c *checker) checkSplit(o parser.Split) {
	checkReference[parser.Application](c, o, "Application", o.Application)
	c.checkSingle(c.splitByApplication, o, o.Application)
	sum := 0
	seen := map[string]bool{}
	for i, s := range o.Shares {
		field := fmt.Sprintf("Shares[%d]", i)
		c.checkVersionReference(o, field+".Version", s.Version, o.Application)
		checkRange(c, o, field+".Percent", s.Percent, 0, 100)
		if seen[s.Version] {
			c.addFault(o, field+".Version", "the version %q is given twice", s.Version)
		}
		seen[s.Version] = true
		if s.Percent > 0 {
			c.checkVersionDeployed(o, field+".Version", s.Version)
		}
		sum += s.Percent
	}
	if sum != 100 {
		c.addFault(o, "Shares", "the shares add up to %d, not 100", sum)
	}
}

// checkSingle adds a fault if the application already has another object of the same kind, a Split or a Move.
func (c *checker) checkSingle(nameByApplication map[string]string, o parser.Object, app string) {
	if other, ok := nameByApplication[app]; ok && other != o.ObjectName() {
		c.addFault(o, "Application", "%q already has the %s %q", app, o.ObjectKind(), other)
		return
	}
	nameByApplication[app] = o.ObjectName()
}

// checkVersionDeployed adds a fault unless a backend server in a zone in service runs the version.
func (c *checker) checkVersionDeployed(o parser.Object, field, version string) {
	v, ok := find[parser.Version](c, version)
	if !ok {
		return
	}
	for _, s := range c.servicesByApplication[v.Application] {
		for _, b := range c.serversByService[s.Name] {
			if b.Version == version && !c.isOutOfService(b.AvailabilityZone) {
				return
			}
		}
	}
	c.addFault(o, field, "the version %q has no backend server in a zone in service", version)
}

func (c *checker) isOutOfService(zone string) bool {
	z, ok := find[parser.AvailabilityZone](c, zone)
	return ok && z.State == parser.ZoneOutOfService
}
