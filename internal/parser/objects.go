// Package parser defines the kinds of configuration objects, decodes sets of objects from YAML or JSON and encodes them in a
// canonical form.
package parser

import (
	"net/netip"
	"time"
)

// Object is a configuration object. The interface is sealed: only the kinds of this package implement it.
type Object interface {
	isObject()
	// ObjectName returns the name, which is unique among the objects of the same kind.
	ObjectName() string
	// ObjectKind returns the kind as it is written in the field Kind of a file.
	ObjectKind() string
}

// ZoneState indicates whether an availability zone serves requests.
type ZoneState string

// States of an availability zone.
const (
	ZoneInService    ZoneState = "In"
	ZoneOutOfService ZoneState = "Out"
)

// AvailabilityZone is a failure domain with its own entry VMs and backend servers.
type AvailabilityZone struct {
	Name   string
	Region string
	State  ZoneState
}

// RouteKind determines how the requests of a route are executed.
type RouteKind string

// Kinds of routes.
const (
	// RouteSearch requests are sent to every shard. Their sub-requests may be hedged and retried.
	RouteSearch RouteKind = "Search"
	// RouteOperation requests are not idempotent. Each is sent to one shard, at most once.
	RouteOperation RouteKind = "Operation"
)

// Route is a type of request that an application serves.
type Route struct {
	Name string
	Kind RouteKind
}

// Application is the unit to which callers address requests. Each of its services is one shard.
type Application struct {
	Name   string
	Routes []Route
	// DeadlineDefault and DeadlineMax satisfy 0 < DeadlineDefault <= DeadlineMax.
	DeadlineDefault time.Duration
	DeadlineMax     time.Duration
	// Policy is the name of the Policy that applies to the requests and moves of the application.
	Policy string
}

// Service is a shard of an application. Its replicas are the backend servers that refer to it.
type Service struct {
	Name        string
	Application string
	// Shard is the index of the service. The services of an application have the indexes 0 to n-1 without gaps.
	Shard int
}

// Version is a release of the software that the backend servers of an application run.
type Version struct {
	Name        string
	Application string
	// Replaces is the name of an older version of the same application, or empty. The references are acyclic.
	Replaces string
}

// BackendServer is a replica of a service.
type BackendServer struct {
	Name             string
	Service          string
	Version          string
	AvailabilityZone string
	Address          netip.AddrPort
	// Slots is the number of requests that the server runs concurrently, at least 1.
	Slots int
	// Connections is the maximum number of connections that may be open to the server, at least 1.
	Connections int
	// ConnectTime is the time that opening a connection to the server normally takes.
	ConnectTime time.Duration
}

// Policy contains the limits for hedges and retries and the criteria by which version moves are evaluated.
type Policy struct {
	Name string
	// Inherits is the name of a Policy from which fields that are zero take their values, or empty. The references are acyclic.
	Inherits string
	// HedgePercent and RetryPercent limit the hedges and the retries as percentages of the first attempts, 0 to 100.
	HedgePercent int
	RetryPercent int
	// MoveMaxBadPercent is the excess failure rate, in percentage points above that of the old version, beyond which a move is
	// rolled back.
	MoveMaxBadPercent int
	// MoveMinAnswers is the number of answers per route that each step of a move requires as evidence.
	MoveMinAnswers int
}

// Share is the percentage of an application's queries that is routed to a version.
type Share struct {
	Version string
	Percent int
}

// Split distributes the queries of an application among its versions while no move is running. The shares add up to 100.
type Split struct {
	Name        string
	Application string
	Shares      []Share
}

// Move shifts the queries of an application in steps from one version to another, from the time Start to the time FinishBy.
type Move struct {
	Name        string
	Application string
	From        string
	To          string
	Start       time.Time
	FinishBy    time.Time
	// Steps are the successive shares of the new version in percent, in ascending order. The last one is 100.
	Steps []int
}

func (AvailabilityZone) isObject() {}
func (Application) isObject()      {}
func (Service) isObject()          {}
func (Version) isObject()          {}
func (BackendServer) isObject()    {}
func (Policy) isObject()           {}
func (Split) isObject()            {}
func (Move) isObject()             {}

// ObjectName implements Object.
func (o AvailabilityZone) ObjectName() string { return o.Name }

// ObjectName implements Object.
func (o Application) ObjectName() string { return o.Name }

// ObjectName implements Object.
func (o Service) ObjectName() string { return o.Name }

// ObjectName implements Object.
func (o Version) ObjectName() string { return o.Name }

// ObjectName implements Object.
func (o BackendServer) ObjectName() string { return o.Name }

// ObjectName implements Object.
func (o Policy) ObjectName() string { return o.Name }

// ObjectName implements Object.
func (o Split) ObjectName() string { return o.Name }

// ObjectName implements Object.
func (o Move) ObjectName() string { return o.Name }

// ObjectKind implements Object.
func (AvailabilityZone) ObjectKind() string { return "AvailabilityZone" }

// ObjectKind implements Object.
func (Application) ObjectKind() string { return "Application" }

// ObjectKind implements Object.
func (Service) ObjectKind() string { return "Service" }

// ObjectKind implements Object.
func (Version) ObjectKind() string { return "Version" }

// ObjectKind implements Object.
func (BackendServer) ObjectKind() string { return "BackendServer" }

// ObjectKind implements Object.
func (Policy) ObjectKind() string { return "Policy" }

// ObjectKind implements Object.
func (Split) ObjectKind() string { return "Split" }

// ObjectKind implements Object.
func (Move) ObjectKind() string { return "Move" }

// Set is a complete configuration, with the objects in the order of the file.
type Set []Object
