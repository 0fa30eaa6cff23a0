// Package parser defines the kinds of configuration objects and decodes sets of them from YAML.
package parser

import (
	"net/netip"
	"time"
)

// Object is one configuration object. It is sealed: the kinds of this package implement it.
type Object interface {
	isObject()
	// ObjectName returns the name, which is unique among the objects of the same kind.
	ObjectName() string
	// ObjectKind returns the kind as it is written in a file.
	ObjectKind() string
}

// ZoneState says whether an availability zone takes work.
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

// RouteKind says how requests of a route run.
type RouteKind string

// Kinds of routes.
const (
	// RouteSearch is sent to every shard, may be hedged and retried.
	RouteSearch RouteKind = "Search"
	// RouteOperation is non-idempotent and is sent to one shard at most once.
	RouteOperation RouteKind = "Operation"
)

// Route is one kind of request of an application.
type Route struct {
	Name string
	Kind RouteKind
}

// Application is what callers address. It is sharded over its services.
type Application struct {
	Name   string
	Routes []Route
	// DeadlineDefault and DeadlineMax satisfy 0 < DeadlineDefault <= DeadlineMax.
	DeadlineDefault time.Duration
	DeadlineMax     time.Duration
	// Policy names a Policy.
	Policy string
}

// Service is one shard of an application.
type Service struct {
	Name        string
	Application string
	// Shard numbers the services of an application from 0 without gaps.
	Shard int
}

// Version is one release of an application's backend servers.
type Version struct {
	Name        string
	Application string
	// Replaces names an older version of the same application, or is empty. The references form no cycle.
	Replaces string
}

// BackendServer is one replica of one service.
type BackendServer struct {
	Name             string
	Service          string
	Version          string
	AvailabilityZone string
	Address          netip.AddrPort
	// Slots is the number of requests that run at the same time, at least 1.
	Slots int
	// Connections is the greatest number of open connections, at least 1.
	Connections int
	// ConnectTime is the usual time to open a connection.
	ConnectTime time.Duration
}

// Policy holds the limits of extra load and of version moves.
type Policy struct {
	Name string
	// Inherits names a Policy whose values fill fields that are zero, or is empty. The references form no cycle.
	Inherits string
	// HedgePercent and RetryPercent bound extra sub-requests as a share of first tries, 0 to 100.
	HedgePercent int
	RetryPercent int
	// MoveMaxBadPercent is how many more percent of answers than on the old version may fail before a move is taken back.
	MoveMaxBadPercent int
	// MoveMinAnswers is how many answers per route a step of a move needs as evidence.
	MoveMinAnswers int
}

// Share is the part of an application's queries that a version gets.
type Share struct {
	Version string
	Percent int
}

// Split divides the queries of an application among versions while no move runs. The shares add up to 100.
type Split struct {
	Name        string
	Application string
	Shares      []Share
}

// Move shifts the queries of an application from one version to another by a set time.
type Move struct {
	Name        string
	Application string
	From        string
	To          string
	Start       time.Time
	FinishBy    time.Time
	// Steps are the shares of the new version in percent, ascending, the last one 100.
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

// ObjectName returns the name of the object.
func (o AvailabilityZone) ObjectName() string { return o.Name }

// ObjectName returns the name of the object.
func (o Application) ObjectName() string { return o.Name }

// ObjectName returns the name of the object.
func (o Service) ObjectName() string { return o.Name }

// ObjectName returns the name of the object.
func (o Version) ObjectName() string { return o.Name }

// ObjectName returns the name of the object.
func (o BackendServer) ObjectName() string { return o.Name }

// ObjectName returns the name of the object.
func (o Policy) ObjectName() string { return o.Name }

// ObjectName returns the name of the object.
func (o Split) ObjectName() string { return o.Name }

// ObjectName returns the name of the object.
func (o Move) ObjectName() string { return o.Name }

// ObjectKind returns "AvailabilityZone".
func (AvailabilityZone) ObjectKind() string { return "AvailabilityZone" }

// ObjectKind returns "Application".
func (Application) ObjectKind() string { return "Application" }

// ObjectKind returns "Service".
func (Service) ObjectKind() string { return "Service" }

// ObjectKind returns "Version".
func (Version) ObjectKind() string { return "Version" }

// ObjectKind returns "BackendServer".
func (BackendServer) ObjectKind() string { return "BackendServer" }

// ObjectKind returns "Policy".
func (Policy) ObjectKind() string { return "Policy" }

// ObjectKind returns "Split".
func (Split) ObjectKind() string { return "Split" }

// ObjectKind returns "Move".
func (Move) ObjectKind() string { return "Move" }

// Set is a whole configuration in the order in which it was written.
type Set []Object
