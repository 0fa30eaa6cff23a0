// Package reporter reports the status of a gateway to operators: the configuration in force, the backend servers, the retry
// budgets and the state of its dependencies.
package reporter

import (
	"maps"
	"slices"
	"time"

	"github.com/anvildyke/anvildyke/internal/balancer"
	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/budgeter"
	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// StatusPath is where the probe address serves the status.
const StatusPath = "/v1/gateway"

// Status is the state of a gateway.
type Status struct {
	VM    string
	Zone  string
	Phase blackboard.Phase
	// Version is that of the configuration in force, 0 while none is known.
	Version uint64
	Routes  int
	// List is the platform's revision of the list of backend servers.
	List uint64
	// Source is the VM from which this one has the platform's objects, itself if it reads the platform.
	Source string
	// Answers says whether the platform answers the source, as far as is known.
	Answers bool
	// SourceAge is the time since the source last answered.
	SourceAge time.Duration
	VMs       int
	// Evacuated are the zones whose servers get nothing.
	Evacuated []string
	// Moves are the services that move to another version.
	Moves    []Move
	Services []Service
	// LogsDropped counts log lines that were dropped to keep the volume bounded.
	LogsDropped uint64
}

// Move is how a service's requests are shared between its versions.
type Move struct {
	Service string
	To      string
	Step    string
	// Share is the part of the requests for the new version, 0 to 1.
	Share float64
}

// Service is the state of one service.
type Service struct {
	Name string
	// ExtraSpent and ExtraAllowed are the extra requests of this VM in the window of the retry budget.
	ExtraSpent   float64
	ExtraAllowed float64
	Servers      []Server
}

// Server is the state of one backend server.
type Server struct {
	ID   string
	Zone string
	// Lapsed says that the entry is gone and the grace period runs.
	Lapsed bool
	balancer.Description
}

// SourceStatus is the state of the platform and of the VM that reads it.
type SourceStatus struct {
	Name            string
	PlatformAnswers bool
	CheckedAt       time.Time
}

// Options are the parts that are asked.
type Options struct {
	VM              string
	Zone            string
	Phase           func() blackboard.Phase
	Source          func() SourceStatus
	DroppedLogLines func() uint64
	Board           *blackboard.Gateway
	Balancer        *balancer.Balancer
	Budgeter        *budgeter.Budgeter
	Timer           *timer.Service
}

// Reporter reads the parts. Its methods are safe for concurrent use.
type Reporter struct {
	o Options
}

// New returns a Reporter.
func New(o Options) *Reporter {
	return &Reporter{
		o: o,
	}
}

// Status returns the state now.
func (r *Reporter) Status() Status {
	now := r.o.Timer.Now()
	table := r.o.Board.Routes.Read()
	view := r.o.Board.Servers.Read()
	source := r.o.Source()
	s := Status{
		VM:          r.o.VM,
		Zone:        r.o.Zone,
		Phase:       r.o.Phase(),
		Version:     table.Version,
		Routes:      len(table.Routes),
		List:        view.Revision,
		Source:      source.Name,
		Answers:     source.PlatformAnswers,
		VMs:         len(r.o.Board.VMs.Read().VMs),
		Evacuated:   slices.Sorted(maps.Keys(r.o.Board.EvacuatedZones.Read().Zones)),
		LogsDropped: r.o.DroppedLogLines(),
	}
	if !source.CheckedAt.IsZero() {
		s.SourceAge = now.Sub(source.CheckedAt)
	}
	moving := r.o.Board.TrafficShifts.Read()
	for _, name := range slices.Sorted(maps.Keys(moving.ByService)) {
		t := moving.ByService[name]
		s.Moves = append(s.Moves, Move{
			Service: name,
			To:      t.To,
			Step:    t.Step.String(),
			Share:   t.Share,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(view.ByService)) {
		s.Services = append(s.Services, r.service(name, view.ByService[name], now))
	}
	return s
}

func (r *Reporter) service(name string, members []discoverer.Endpoint, now time.Time) Service {
	s := Service{
		Name: name,
	}
	s.ExtraSpent, s.ExtraAllowed = r.o.Budgeter.Usage(name, now)
	for _, m := range members {
		s.Servers = append(s.Servers, Server{
			ID:          m.ID,
			Zone:        m.Zone,
			Lapsed:      m.Lapsed,
			Description: r.o.Balancer.Describe(m, now),
		})
	}
	return s
}
