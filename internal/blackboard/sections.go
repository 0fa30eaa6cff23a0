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
	// Generation grows with every accepted set and never falls. It is 0 until a configuration is installed.
	Generation uint64
	// Set is the accepted set in full.
	Set parser.Set

	Zones        map[string]parser.AvailabilityZone
	Applications map[string]parser.Application
	Services     map[string]parser.Service
	Versions     map[string]parser.Version
	Servers      map[string]parser.BackendServer
	// Policies hold the values after inheritance.
	Policies map[string]parser.Policy
	// Splits and Moves are keyed by application.
	Splits map[string]parser.Split
	Moves  map[string]parser.Move
	// ServersByApplication lists the backend servers of each application ordered by name.
	ServersByApplication map[string][]parser.BackendServer
	// ShardCount is the number of services of each application.
	ShardCount map[string]int
}

// NewConfig indexes a set that validator has accepted.
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

// inherit fills the zero fields of p from its ancestors. The references form no cycle.
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
	// MemberSuspect has not been heard of for a while. It may still be running.
	MemberSuspect
	// MemberLeaving is shutting down gracefully.
	MemberLeaving
	// MemberGone is known not to run: it said goodbye, the platform dropped it, or its address refuses connections.
	MemberGone
)

// Member is one entry VM.
type Member struct {
	Name             string
	AvailabilityZone string
	// Address is where the member serves net/rpc.
	Address netip.AddrPort
	State   MemberState
	// Incarnation is the start time of the member's process in microseconds; 0 means that only the platform's list names it.
	Incarnation uint64
	// Listed says that the platform's list names the member. A Gone member that is listed may have been started again.
	Listed bool
	// Generation is the configuration that the member has installed.
	Generation uint64
}

// Members is the membership view of this VM.
type Members struct {
	// Self is the name of this VM. It is a key of ByName.
	Self   string
	ByName map[string]Member
	// ByZone lists the members of each availability zone that are Alive, Suspect or Leaving, ordered by name.
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

// Replica is the latest report of an owner about one backend server.
type Replica struct {
	Name string
	// Owner is the VM that reports and holds the replica.
	Owner string
	State ReplicaState
	// Allowance is the concurrency that the owner allows now, at least 1 unless the replica is Down.
	Allowance int
	// Load is the number of running and queued sub-requests when the report was made.
	Load        int
	Held        []connector.HeldSnapshot
	Incarnation string
	// ReceivedAt is when this VM received the report.
	ReceivedAt time.Time
	// Leaving says that the platform lists the backend server's VM as leaving.
	Leaving bool
}

// Replicas holds the replica reports by the name of the backend server.
type Replicas struct {
	ByName map[string]Replica
}

// LeaseShare says how much of a replica's limits this VM may use.
type LeaseShare uint8

// Shares of a replica's limits. HoldCeilHalf and HoldFloorHalf add up to the whole.
const (
	ShareNone LeaseShare = iota
	ShareFloorHalf
	ShareCeilHalf
	ShareAll
)

// Of returns the part of limit that the share allows.
func (h LeaseShare) Of(limit int) int {
	switch h {
	case ShareAll:
		return limit
	case ShareCeilHalf:
		return (limit + 1) / 2
	case ShareFloorHalf:
		return limit / 2
	default:
		return 0
	}
}

// Lease is this VM's right to use one replica.
type Lease struct {
	// Share applies until LeaseUntil.
	Share LeaseShare
	// Expires is when Share falls to Fallback; zero means that it does not expire.
	Expires  time.Time
	Fallback LeaseShare
	// Holder is the VM that holds the replica when this VM does not, or empty when none is known.
	Holder string
}

// ShareAt returns the share that applies at now.
func (h Lease) ShareAt(now time.Time) LeaseShare {
	if h.Expires.IsZero() || now.Before(h.Expires) {
		return h.Share
	}
	return h.Fallback
}

// ConnectionShareAt returns the share of the connections that applies at now. A lease cannot bound connections, because a paused
// process does not close them: a holder with a successor keeps to the ceiling half of the connections even while its lease
// lets it use all slots.
func (h Lease) ConnectionShareAt(now time.Time) LeaseShare {
	if h.Share == ShareAll && h.Fallback == ShareCeilHalf {
		return ShareCeilHalf
	}
	return h.ShareAt(now)
}

// Leases holds this VM's rights by the name of the backend server. A missing entry means HoldNone.
type Leases struct {
	ByReplica map[string]Lease
}

// MoveOutcome is the state of a version move.
type MoveOutcome string

// Outcomes of a move. MoveDone and MoveTakenBack are final.
const (
	MoveRunning    MoveOutcome = "Running"
	MoveDone       MoveOutcome = "Done"
	MoveRolledBack MoveOutcome = "TakenBack"
)

// MoveState is the state of one move.
type MoveState struct {
	Move parser.Move
	// SharePerMille is the part of queries for the new version, 0 to 1000.
	SharePerMille int
	Outcome       MoveOutcome
	// Reason is one sentence; it is empty while the move runs.
	Reason string
}

// Moves holds the state of the current move of each application.
type Moves struct {
	ByApplication map[string]MoveState
}

// Quarantine holds fingerprints of requests that crashed backend servers.
type Quarantine struct {
	// Crashes counts the crashes per fingerprint. A fingerprint with CrashLimit crashes is refused.
	Crashes map[uint64]int
	// CooldownUntil is the end of the pause for fingerprints that crashed a backend server lately. They are refused before it.
	CooldownUntil map[uint64]time.Time
}

// CrashLimit is the number of crashes after which a request is refused.
const CrashLimit = 2

// CrashCooldown is how long a request that was untried when it crashed a backend server is refused. Reports and crash records take
// up to 2 s to reach all VMs; before that, equal requests could be tried at several replicas at the same time.
const CrashCooldown = 3 * time.Second

// Refuses reports whether requests with the fingerprint are refused.
func (q *Quarantine) Refuses(fingerprint uint64) bool {
	return q.Crashes[fingerprint] >= CrashLimit
}

// InCooldown reports whether requests with the fingerprint are refused for now.
func (q *Quarantine) InCooldown(fingerprint uint64, now time.Time) bool {
	return now.Before(q.CooldownUntil[fingerprint])
}

// HasCrashed reports whether a request with the fingerprint has crashed a backend server. It must not be hedged or retried.
func (q *Quarantine) HasCrashed(fingerprint uint64) bool {
	return q.Crashes[fingerprint] > 0
}

// Phase is a phase of the daemon's life.
type Phase string

// Phases of a daemon.
const (
	PhaseStarting Phase = "Starting"
	PhaseReady    Phase = "Ready"
	PhaseZoneOut  Phase = "ZoneOut"
	// PhaseCutOff is that of a gateway which reaches too few backend servers, because most zones are out of its reach.
	PhaseCutOff   Phase = "CutOff"
	PhaseDraining Phase = "Draining"
	PhaseStopped  Phase = "Stopped"
)

// Lifecycle is the phase of this daemon. The zero value stands for PhaseStarting.
type Lifecycle struct {
	Phase Phase
}
