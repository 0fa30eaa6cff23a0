package blackboard

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/router"
)

// Evacuated is the set of zones whose backend servers get nothing new.
type Evacuated struct {
	Revision uint64
	Zones    map[string]struct{}
}

// Holds reports whether a zone is evacuated.
func (e *Evacuated) Holds(zone string) bool {
	_, ok := e.Zones[zone]
	return ok
}

// Gateway is the blackboard of the gateway.
type Gateway struct {
	// Routes is written by follower. Its version never falls.
	Routes Section[router.Table]
	// Servers is written by follower.
	Servers Section[discoverer.View]
	// Zones is written by follower.
	Zones Section[Evacuated]
	// Members is written by follower.
	Members Section[Fleet]
	// Moving is written by migrator.
	Moving Section[Moving]
}

// Fleet is the list of entry VMs.
type Fleet struct {
	// Known is false as long as no list has been read.
	Known    bool
	Revision uint64
	// VMs are ordered by name.
	VMs []VM
}

// VM is an entry VM.
type VM struct {
	Name string
	Zone string
	// Address is where other VMs connect, the zero value if they cannot.
	Address netip.AddrPort
}

// VersionMove is an order to move the requests of a service to another version.
type VersionMove struct {
	Service string
	To      string
	// Duration is the time from the order within which the operator wants the move to end.
	Duration time.Duration
	// Order differs for each order for a service.
	Order uint64
	// Revision is that of the order's object. Writes of the outcome are conditional on it.
	Revision uint64
	// Outcome is what the platform holds, "" as long as nothing was written about this order.
	Outcome MoveOutcome
}

// TransferStep says how far a service has moved to another version.
type TransferStep int

// Steps of a transfer. The new version gets nothing in StepHeld, a part of the requests in StepTrial, and all of them in StepSwitched
// and StepDone; in the latter the old version's servers have stopped.
const (
	StepHeld TransferStep = iota
	StepTrial
	StepSwitched
	StepDone
)

// String returns the name of the step.
func (s TransferStep) String() string {
	switch s {
	case StepHeld:
		return "Held"
	case StepTrial:
		return "Trial"
	case StepSwitched:
		return "Switched"
	case StepDone:
		return "Done"
	default:
		return "Step" + strconv.Itoa(int(s))
	}
}

// Transfer is how a service's requests are shared between its versions.
type Transfer struct {
	// To is the new version.
	To   string
	Step TransferStep
	// Share is the part of the requests whose first attempt goes to the new version, 0 to 1.
	Share float64
}

// Moving holds the transfers by service. A service without one sends requests to all versions.
type Moving struct {
	Revision  uint64
	ByService map[string]Transfer
}
