// These tests guard against moves that harm more requests than the operator allows, that end without evidence, or that end while requests
// run at the servers that the operator then stops.
package promoter

import (
	"encoding/json"
	"math"
	"os"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/mover"
)

// script is a case of testdata/decisions.yaml.
type script struct {
	Name        string
	At          float64
	Rate        *float64
	OldSlots    *int
	NewSlots    *int
	Stale       bool
	Complete    bool
	AllSwitched bool
	SwitchedFor float64
	OldRunning  int
	Fault       string
	// Before is the step of the last decision, or TakenBack.
	Before string
	Stored blackboard.MoveOutcome
	Routes []mover.RouteEvidence
	Recent []mover.RouteEvidence
	Want   struct {
		Step    string
		Share   float64
		Outcome blackboard.MoveOutcome
	}
}

func orDefault[T any](p *T, v T) T {
	if p != nil {
		return *p
	}
	return v
}

func (s *script) progress() Progress {
	return Progress{
		Age:               time.Duration(s.At * float64(time.Second)),
		ZoneUpToDate:      !s.Stale,
		AllZonesUpToDate:  s.Complete,
		Switched:          s.AllSwitched,
		SwitchedFor:       time.Duration(s.SwitchedFor * float64(time.Second)),
		OldRunning:        s.OldRunning,
		OldSlots:          orDefault(s.OldSlots, 30),
		NewSlots:          orDefault(s.NewSlots, 30),
		RequestsPerSecond: orDefault(s.Rate, 100),
		Routes:            operations(s.Routes),
		RecentRoutes:      operations(s.Recent),
		RollbackReason:    s.Fault,
	}
}

// operations marks the evidence as that of requests which fail independently of each other.
func operations(list []mover.RouteEvidence) []mover.RouteEvidence {
	for i := range list {
		list[i].Operation = true
	}
	return list
}

func (s *script) before() Decision {
	switch s.Before {
	case "Switched":
		return Decision{
			TrafficShift: blackboard.TrafficShift{
				To:    "v2",
				Step:  blackboard.StepSwitched,
				Share: 1,
			},
			Outcome: blackboard.MoveRunning,
		}
	case "TakenBack":
		return Decision{
			TrafficShift: blackboard.TrafficShift{
				To: "v2",
			},
			Outcome: blackboard.MoveRolledBack,
		}
	default:
		return Decision{}
	}
}

var allowed = ExposureLimits{
	Share:     0.1,
	Tolerance: 50,
}

func TestDecisions(t *testing.T) {
	data, err := os.ReadFile("testdata/decisions.yaml")
	assert.NilError(t, err)
	data, err = yaml.YAMLToJSON(data)
	assert.NilError(t, err)
	var scripts []script
	assert.NilError(t, json.Unmarshal(data, &scripts))
	assert.Assert(t, len(scripts) > 0)
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			order := blackboard.MoveOrder{
				Service:  "read",
				To:       "v2",
				Duration: 20 * time.Second,
				Outcome:  s.Stored,
			}
			d := Decide(order, allowed, s.progress(), s.before())
			assert.Equal(t, d.Step.String(), s.Want.Step, d.Reason)
			assert.Assert(t, math.Abs(d.Share-s.Want.Share) < 1e-9, "the share is %v", d.Share)
			assert.Equal(t, d.Outcome, s.Want.Outcome, d.Reason)
		})
	}
}
