// Package reporter reports the status of a gateway to operators: the current configuration, the backend servers, the retry
// budgets and the state of the platform.
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

// StatusPath is the path at which the probe address serves the status.
const StatusPath = "/v1/gateway"

// Status is the status of a gateway at one point in time.
type Status struct {
	VM    string
	Zone  string
	Phase blackboard.Phase
	// Version is the version of the current configuration, 0 if none has been loaded.
	Version uint64
	Routes  int
	// List is the platform's revision number of the list of backend servers.
	List uint64
	// Source is the VM from which this one receives the platform's objects, or this VM if it reads them from the platform.
	Source string
	// Answers is true if the platform answers the source, according to the latest report.
	Answers bool
	// SourceAge is the time since the source last answered, 0 if it has never answered.
	SourceAge time.Duration
	VMs       int
	// Evacuated are the zones whose backend servers receive no new requests, sorted by name.
	Evacuated []string
	// Moves are the services with a rollout to another version in progress.
	Moves    []Move
	Services []Service
	// LogsDropped is the number of log lines that were dropped to limit their volume.
	LogsDropped uint64
}

// Move is the rollout of a new version of a service.
type Move struct {
	Service string
	To      string
	Step    string
	// Share is the share of the requests that is sent to the new version, 0 to 1.
	Share float64
}

// Service is the state of one service, as this VM sees it.
type Service struct {
	Name string
	// ExtraSpent and ExtraAllowed are the numbers of retries and hedges that this VM has sent and may send in the window of the
	// retry budget.
	ExtraSpent   float64
	ExtraAllowed float64
	Servers      []Server
}

// Server is the state of one backend server, as this VM sees it.
type Server struct {
	ID   string
	Zone string
	// Lapsed is true if the entry is gone and the server is used only for the rest of the grace period.
	Lapsed bool
	balancer.Description
}

// SourceStatus describes the VM that reads the platform's objects and whether the platform answers it. CheckedAt is the time of
// this information, zero if there is none.
type SourceStatus struct {
	Name            string
	PlatformAnswers bool
	CheckedAt       time.Time
}

// Options are the dependencies of a Reporter, from which the status is read.
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

// Reporter builds the status of a gateway. Its methods are safe for concurrent use.
type Reporter struct {
	o Options
}

// New returns a Reporter that reads the components in o.
func New(o Options) *Reporter {
	return &Reporter{
		o: o,
	}
}

// Status reads the components one after the other, so that their values may stem from slightly different times.
func (r *Reporter) Status() Status {
	now := r.o.Timer.Now()
	routes := r.o.Board.Routes.Read()
	servers := r.o.Board.Servers.Read()
	source := r.o.Source()
	s := Status{
		VM:          r.o.VM,
		Zone:        r.o.Zone,
		Phase:       r.o.Phase(),
		Version:     routes.Version,
		Routes:      len(routes.Routes),
		List:        servers.Revision,
		Source:      source.Name,
		Answers:     source.PlatformAnswers,
		VMs:         len(r.o.Board.VMs.Read().VMs),
		Evacuated:   slices.Sorted(maps.Keys(r.o.Board.EvacuatedZones.Read().Zones)),
		LogsDropped: r.o.DroppedLogLines(),
	}
	if !source.CheckedAt.IsZero() {
		s.SourceAge = now.Sub(source.CheckedAt)
	}
	shifts := r.o.Board.TrafficShifts.Read()
	for _, name := range slices.Sorted(maps.Keys(shifts.ByService)) {
		shift := shifts.ByService[name]
		s.Moves = append(s.Moves, Move{
			Service: name,
			To:      shift.To,
			Step:    shift.Step.String(),
			Share:   shift.Share,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(servers.ByService)) {
		s.Services = append(s.Services, r.service(name, servers.ByService[name], now))
	}
	return s
}

func (r *Reporter) service(name string, endpoints []discoverer.Endpoint, now time.Time) Service {
	s := Service{
		Name: name,
	}
	s.ExtraSpent, s.ExtraAllowed = r.o.Budgeter.Usage(name, now)
	for _, endpoint := range endpoints {
		s.Servers = append(s.Servers, Server{
			ID:          endpoint.ID,
			Zone:        endpoint.Zone,
			Lapsed:      endpoint.Lapsed,
			Description: r.o.Balancer.Describe(endpoint, now),
		})
	}
	return s
}
