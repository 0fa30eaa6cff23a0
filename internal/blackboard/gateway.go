package blackboard

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/router"
)

// EvacuatedZones is the set of zones whose backend servers receive no new requests.
type EvacuatedZones struct {
	Revision uint64
	Zones    map[string]struct{}
}

// Contains reports whether a zone is evacuated.
func (e *EvacuatedZones) Contains(zone string) bool {
	_, ok := e.Zones[zone]
	return ok
}

// Gateway is the blackboard through which the components of a gateway share state. Each section has a single writer.
type Gateway struct {
	// Routes is written by package syncer. Its version never decreases.
	Routes Section[router.Table]
	// Servers is written by package syncer.
	Servers Section[discoverer.View]
	// EvacuatedZones is written by package syncer.
	EvacuatedZones Section[EvacuatedZones]
	// VMs is written by package syncer.
	VMs Section[VMList]
	// TrafficShifts is written by package promoter.
	TrafficShifts Section[TrafficShifts]
}

// VMList is the list of entry VMs at the platform.
type VMList struct {
	// Loaded is false until a list has been read.
	Loaded   bool
	Revision uint64
	// VMs are ordered by name.
	VMs []VM
}

// VM is an entry VM on the platform's list.
type VM struct {
	Name string
	Zone string
	// Address is the address to which other VMs connect, the zero value if they cannot.
	Address netip.AddrPort
	// Missing is set if the platform has lost the entry when it came back from a copy.
	Missing bool
}

// MoveOrder is an operator's order to move the requests of a service to another version: a rollout object of the platform.
type MoveOrder struct {
	Service string
	To      string
	// Duration is the time after the order within which the operator wants the move to be completed.
	Duration time.Duration
	// Era is the era of the platform's history in which ID and Revision are valid.
	Era uint64
	// ID is unique among the orders for a service in an era.
	ID uint64
	// Revision is the revision of the order's object. Writes of the outcome are conditional on it and on Era.
	Revision uint64
	// Outcome is the outcome recorded at the platform, "" until one has been written for this order.
	Outcome MoveOutcome
}

// Continues reports whether the order is the order o, as the platform has it again after it came back from a copy.
func (m MoveOrder) Continues(o MoveOrder) bool {
	return m.Era > o.Era && m.Service == o.Service && m.To == o.To
}

// IsFinal reports whether a move with the outcome has ended.
func (o MoveOutcome) IsFinal() bool {
	return o == MoveDone || o == MoveRolledBack
}

// TrafficShiftStep is the progress of a service's move to another version.
type TrafficShiftStep int

// Steps of a traffic shift. The new version receives no requests in StepHeld, a part of them in StepTrial, and all of them in
// StepSwitched and StepDone. In StepDone the old version's servers have stopped.
const (
	StepHeld TrafficShiftStep = iota
	StepTrial
	StepSwitched
	StepDone
)

// String returns the name of the step, which is used in logs and status reports.
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

// TrafficShift defines how a service's requests are distributed between its versions during a move.
type TrafficShift struct {
	// To is the new version.
	To   string
	Step TrafficShiftStep
	// Share is the fraction of the requests whose first attempt is sent to the new version, 0 to 1.
	Share float64
}

// TrafficShifts holds the traffic shifts by service. The requests of a service that is not in it are sent to all versions.
type TrafficShifts struct {
	Revision  uint64
	ByService map[string]TrafficShift
}
