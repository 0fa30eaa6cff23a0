package blackboard

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/router"
)

// EvacuatedZones is the set of zones whose backend servers get nothing new.
type EvacuatedZones struct {
	Revision uint64
	Zones    map[string]struct{}
}

// Contains reports whether a zone is evacuated.
func (e *EvacuatedZones) Contains(zone string) bool {
	_, ok := e.Zones[zone]
	return ok
}

// Gateway is the blackboard of the gateway.
type Gateway struct {
	// Routes is written by follower. Its version never falls.
	Routes Section[router.Table]
	// Servers is written by follower.
	Servers Section[discoverer.View]
	// EvacuatedZones is written by follower.
	EvacuatedZones Section[EvacuatedZones]
	// VMs is written by follower.
	VMs Section[VMList]
	// TrafficShifts is written by migrator.
	TrafficShifts Section[TrafficShifts]
}

// VMList is the list of entry VMs.
type VMList struct {
	// Loaded is false as long as no list has been read.
	Loaded   bool
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

// MoveOrder is an order to move the requests of a service to another version.
type MoveOrder struct {
	Service string
	To      string
	// Duration is the time from the order within which the operator wants the move to end.
	Duration time.Duration
	// ID differs for each order for a service.
	ID uint64
	// Revision is that of the order's object. Writes of the outcome are conditional on it.
	Revision uint64
	// Outcome is what the platform holds, "" as long as nothing was written about this order.
	Outcome MoveOutcome
}

// TrafficShiftStep says how far a service has moved to another version.
type TrafficShiftStep int

// Steps of a transfer. The new version gets nothing in StepHeld, a part of the requests in StepTrial, and all of them in StepSwitched
// and StepDone; in the latter the old version's servers have stopped.
const (
	StepHeld TrafficShiftStep = iota
	StepTrial
	StepSwitched
	StepDone
)

// String returns the name of the step.
func (s TrafficShiftStep) String() string {
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

// TrafficShift is how a service's requests are shared between its versions.
type TrafficShift struct {
	// To is the new version.
	To   string
	Step TrafficShiftStep
	// Share is the part of the requests whose first attempt goes to the new version, 0 to 1.
	Share float64
}

// TrafficShifts holds the transfers by service. A service without one sends requests to all versions.
type TrafficShifts struct {
	Revision  uint64
	ByService map[string]TrafficShift
}
