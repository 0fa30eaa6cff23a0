package blackboard

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/parser"
)

// Config is an installed configuration.
type Config struct {
	// Generation increases with every accepted set and never decreases. It is 0 until a configuration is installed.
	Generation uint64
	// Set contains all objects of the accepted set.
	Set parser.Set

	Zones        map[string]parser.AvailabilityZone
	Applications map[string]parser.Application
	Services     map[string]parser.Service
	Versions     map[string]parser.Version
	Servers      map[string]parser.BackendServer
	// Policies contains the values after inheritance.
	Policies map[string]parser.Policy
	// Splits and Moves are keyed by application.
	Splits map[string]parser.Split
	Moves  map[string]parser.Move
	// ServersByApplication lists the backend servers of each application ordered by name.
	ServersByApplication map[string][]parser.BackendServer
	// ShardCount is the number of services of each application.
	ShardCount map[string]int
}

// NewConfig builds the indexes of a set that package validator has accepted.
func NewConfig(generation uint64, set parser.Set) *Config {
	c := &Config{
		Generation:           generation,
		Set:                  set,
		Zones:                map[string]parser.AvailabilityZone{},
		Applications:         map[string]parser.Application{},
		Services:             map[string]parser.Service{},
		Versions:             map[string]parser.Version{},
		Servers:              map[string]parser.BackendServer{},
		Policies:             map[string]parser.Policy{},
		Splits:               map[string]parser.Split{},
		Moves:                map[string]parser.Move{},
		ServersByApplication: map[string][]parser.BackendServer{},
		ShardCount:           map[string]int{},
	}
	for _, o := range set {
		c.index(o)
	}
	for name, p := range c.Policies {
		c.Policies[name] = inherit(c.Policies, p)
	}
	c.groupServers()
	return c
}

func (c *Config) index(o parser.Object) {
	switch o := o.(type) {
	case parser.AvailabilityZone:
		c.Zones[o.Name] = o
	case parser.Application:
		c.Applications[o.Name] = o
	case parser.Service:
		c.Services[o.Name] = o
		c.ShardCount[o.Application]++
	case parser.Version:
		c.Versions[o.Name] = o
	case parser.BackendServer:
		c.Servers[o.Name] = o
	case parser.Policy:
		c.Policies[o.Name] = o
	case parser.Split:
		c.Splits[o.Application] = o
	case parser.Move:
		c.Moves[o.Application] = o
	}
}

// inherit fills the zero fields of p from its ancestors. The references must not form a cycle.
func inherit(all map[string]parser.Policy, p parser.Policy) parser.Policy {
	for next := p.Inherits; next != ""; {
		parent := all[next]
		p.HedgePercent = orElse(p.HedgePercent, parent.HedgePercent)
		p.RetryPercent = orElse(p.RetryPercent, parent.RetryPercent)
		p.MoveMaxBadPercent = orElse(p.MoveMaxBadPercent, parent.MoveMaxBadPercent)
		p.MoveMinAnswers = orElse(p.MoveMinAnswers, parent.MoveMinAnswers)
		next = parent.Inherits
	}
	return p
}

func orElse(n, fallback int) int {
	if n != 0 {
		return n
	}
	return fallback
}

func (c *Config) groupServers() {
	for _, o := range c.Set {
		s, ok := o.(parser.BackendServer)
		if !ok {
			continue
		}
		app := c.Services[s.Service].Application
		c.ServersByApplication[app] = append(c.ServersByApplication[app], s)
	}
	for _, servers := range c.ServersByApplication {
		slices.SortFunc(servers, func(a, b parser.BackendServer) int {
			return cmp.Compare(a.Name, b.Name)
		})
	}
}

// MemberState is the state of an entry VM as its peers see it.
type MemberState uint8

// States of an entry VM.
const (
	MemberAlive MemberState = iota + 1
	// MemberSuspect is the state of a VM that has not been heard from recently. It may still be running.
	MemberSuspect
	// MemberLeaving is the state of a VM that is shutting down gracefully.
	MemberLeaving
	// MemberGone is the state of a VM that is known not to run: it has announced its shutdown, it is no longer on the platform's
	// list, or its address refuses connections.
	MemberGone
)

// Member is an entry VM as known to this VM.
type Member struct {
	Name             string
	AvailabilityZone string
	// Address is the address of the member's net/rpc server.
	Address netip.AddrPort
	State   MemberState
	// Incarnation is the start time of the member's process in microseconds, or 0 if the member is known only from the
	// platform's list.
	Incarnation uint64
	// Listed reports whether the member is on the platform's list. A listed member in state MemberGone may have been restarted.
	Listed bool
	// Generation is the generation of the configuration that the member has installed.
	Generation uint64
}

// Members contains the members that this VM knows.
type Members struct {
	// Self is the name of this VM. It is a key of ByName.
	Self   string
	ByName map[string]Member
	// ByZone lists the members of each availability zone that are in state MemberAlive, MemberSuspect or MemberLeaving, ordered
	// by name.
	ByZone map[string][]Member
}

// ReplicaState is the state of a backend server as its owner sees it.
type ReplicaState uint8

// States of a backend server.
const (
	ReplicaUnknown ReplicaState = iota
	ReplicaWarm
	ReplicaCold
	ReplicaDraining
	ReplicaDown
)

// Replica is the latest report by an owner about one backend server.
type Replica struct {
	Name string
	// Owner is the VM that made the report and holds the lease of the replica.
	Owner string
	State ReplicaState
	// Allowance is the concurrency that the owner currently allows, at least 1 unless State is ReplicaDown.
	Allowance int
	// Load is the number of running and queued sub-requests when the report was made.
	Load        int
	Held        []connector.HeldSnapshot
	Incarnation string
	// ReceivedAt is when this VM received the report.
	ReceivedAt time.Time
	// Leaving reports whether the platform lists the backend server's VM as leaving.
	Leaving bool
}

// Replicas holds the replica reports by the name of the backend server.
type Replicas struct {
	ByName map[string]Replica
}

// LeaseShare is the share of a replica's limits that this VM may use.
type LeaseShare uint8

// Shares of a replica's limits. ShareCeilingHalf and ShareFloorHalf add up to ShareAll.
const (
	ShareNone LeaseShare = iota
	ShareFloorHalf
	ShareCeilingHalf
	ShareAll
)

// Of returns the part of limit that the share allows.
func (s LeaseShare) Of(limit int) int {
	switch s {
	case ShareAll:
		return limit
	case ShareCeilingHalf:
		return (limit + 1) / 2
	case ShareFloorHalf:
		return limit / 2
	default:
		return 0
	}
}

// Lease is this VM's permission to use one replica.
type Lease struct {
	// Share applies until Expires.
	Share LeaseShare
	// Expires is the time at which Fallback replaces Share; the zero time means that Share does not expire.
	Expires  time.Time
	Fallback LeaseShare
	// Holder is the VM that holds the lease when this VM does not, or "" if none is known.
	Holder string
}

// ShareAt returns Share until Expires and Fallback afterwards.
func (l Lease) ShareAt(now time.Time) LeaseShare {
	if l.Expires.IsZero() || now.Before(l.Expires) {
		return l.Share
	}
	return l.Fallback
}

// ConnectionShareAt returns the share of the connections that applies at now. The expiry of a lease cannot limit connections,
// because a paused process does not close them: a holder with a successor is limited to ShareCeilingHalf of the connections
// even while its lease permits all slots.
func (l Lease) ConnectionShareAt(now time.Time) LeaseShare {
	if l.Share == ShareAll && l.Fallback == ShareCeilingHalf {
		return ShareCeilingHalf
	}
	return l.ShareAt(now)
}

// Leases holds this VM's leases by the name of the backend server. A missing entry means ShareNone.
type Leases struct {
	ByReplica map[string]Lease
}

// MoveOutcome is the state of a move to another version.
type MoveOutcome string

// Outcomes of a move. MoveDone and MoveRolledBack are final.
const (
	MoveRunning    MoveOutcome = "Running"
	MoveDone       MoveOutcome = "Done"
	MoveRolledBack MoveOutcome = "TakenBack"
)

// MoveState contains the progress and the outcome of a move to another version.
type MoveState struct {
	Move parser.Move
	// SharePerMille is the share of queries that the new version receives in thousandths, 0 to 1000.
	SharePerMille int
	Outcome       MoveOutcome
	// Reason explains the outcome in one sentence. It is empty while the move is running.
	Reason string
}

// Moves holds the state of the current move of each application.
type Moves struct {
	ByApplication map[string]MoveState
}

// Quarantine contains the fingerprints of requests that crashed backend servers.
type Quarantine struct {
	// Crashes contains the number of crashes by fingerprint. Requests whose fingerprint has reached CrashLimit are refused.
	Crashes map[uint64]int
	// CooldownUntil contains the end of the cooldown of fingerprints that recently crashed a backend server. Requests with them
	// are refused until then.
	CooldownUntil map[uint64]time.Time
}

// CrashLimit is the number of crashes after which requests with a fingerprint are refused.
const CrashLimit = 2

// CrashCooldown is how long a request is refused after it has crashed a backend server as a canary, that is when no backend
// server was known to have answered an equal request. Reports and crash records take up to 2 s to reach all VMs; until then,
// equal requests could be sent to several replicas concurrently.
const CrashCooldown = 3 * time.Second

// Refuses reports whether requests with the fingerprint are refused permanently.
func (q *Quarantine) Refuses(fingerprint uint64) bool {
	return q.Crashes[fingerprint] >= CrashLimit
}

// InCooldown reports whether requests with the fingerprint are refused temporarily.
func (q *Quarantine) InCooldown(fingerprint uint64, now time.Time) bool {
	return now.Before(q.CooldownUntil[fingerprint])
}

// HasCrashed reports whether a request with the fingerprint has crashed a backend server. Such requests must not be hedged or
// retried.
func (q *Quarantine) HasCrashed(fingerprint uint64) bool {
	return q.Crashes[fingerprint] > 0
}

// Phase is a phase in the lifecycle of the daemon.
type Phase string

// Phases of the daemon.
const (
	PhaseStarting Phase = "Starting"
	PhaseReady    Phase = "Ready"
	PhaseZoneOut  Phase = "ZoneOut"
	// PhaseCutOff is the phase of a gateway that reaches too few backend servers because most zones are unreachable.
	PhaseCutOff Phase = "CutOff"
	// PhaseSaturated is the phase of a gateway that cannot accept connections because too many are open.
	PhaseSaturated Phase = "Saturated"
	PhaseDraining  Phase = "Draining"
	PhaseStopped   Phase = "Stopped"
)

// Lifecycle contains the phase of this daemon. The zero value stands for PhaseStarting.
type Lifecycle struct {
	Phase Phase
}
