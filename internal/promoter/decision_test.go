// These tests guard against moves that expose more requests to a bad version than the operator allows, that are done without
// evidence, or that are done while requests are in progress on the old servers, which the operator then stops.
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

// decisionCase is a test case of testdata/decisions.yaml.
type decisionCase struct {
	Name        string
	At          float64
	Rate        *float64
	OldSlots    *int
	NewSlots    *int
	Stale       bool
	Complete    bool
	AllSwitched bool
	AnySwitched bool
	// KnownFor is the time for which the VM has known the order, At if it is not given.
	KnownFor    *float64
	SwitchedFor float64
	OldRunning  int
	Fault       string
	// Before is the step of the previous decision, TakenBack if it was a rollback, or "" if there was none.
	Before string
	Stored blackboard.MoveOutcome
	// Confirmed is the outcome that the platform has confirmed and may have lost since.
	Confirmed blackboard.MoveOutcome
	Routes    []mover.RouteEvidence
	Recent    []mover.RouteEvidence
	Want      struct {
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

func (c *decisionCase) progress() Progress {
	return Progress{
		Age:               time.Duration(c.At * float64(time.Second)),
		ZoneUpToDate:      !c.Stale,
		AllZonesUpToDate:  c.Complete,
		AllVMsSwitched:    c.AllSwitched,
		AnyVMSwitched:     c.AnySwitched,
		KnownFor:          time.Duration(orDefault(c.KnownFor, c.At) * float64(time.Second)),
		SwitchedFor:       time.Duration(c.SwitchedFor * float64(time.Second)),
		OldRunning:        c.OldRunning,
		OldSlots:          orDefault(c.OldSlots, 30),
		NewSlots:          orDefault(c.NewSlots, 30),
		RequestsPerSecond: orDefault(c.Rate, 100),
		Routes:            markOperations(c.Routes),
		RecentRoutes:      markOperations(c.Recent),
		RollbackReason:    c.Fault,
		Confirmed:         c.Confirmed,
	}
}

// markOperations marks all evidence as that of operations, whose requests fail independently of each other.
func markOperations(list []mover.RouteEvidence) []mover.RouteEvidence {
	for i := range list {
		list[i].Operation = true
	}
	return list
}

func (c *decisionCase) previousDecision() Decision {
	switch c.Before {
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

var exposureLimits = ExposureLimits{
	Share:     0.1,
	Tolerance: 50,
}

func TestDecisions(t *testing.T) {
	data, err := os.ReadFile("testdata/decisions.yaml")
	assert.NilError(t, err)
	data, err = yaml.YAMLToJSON(data)
	assert.NilError(t, err)
	var cases []decisionCase
	assert.NilError(t, json.Unmarshal(data, &cases))
	assert.Assert(t, len(cases) > 0)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			order := blackboard.MoveOrder{
				Service:  "read",
				To:       "v2",
				Duration: 20 * time.Second,
				Outcome:  c.Stored,
			}
			d := Decide(order, exposureLimits, c.progress(), c.previousDecision())
			assert.Equal(t, d.Step.String(), c.Want.Step, d.Reason)
			assert.Assert(t, math.Abs(d.Share-c.Want.Share) < 1e-9, "the share is %v", d.Share)
			assert.Equal(t, d.Outcome, c.Want.Outcome, d.Reason)
		})
	}
}
