package benchmarker

import (
	"fmt"
	"strings"
	"time"

	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

const (
	moveDuration   = 14 * time.Second
	moveLoadFactor = 0.4
	// moveLoadTail is the time by which the load continues beyond the planned end of the move.
	moveLoadTail     = 3 * time.Second
	moveStartDelay   = 2 * time.Second
	newVersionSuffix = "-v2"
	moveMinAnswers   = 100
)

// moveCase is a move to a new version, whose backend servers may be faulty.
type moveCase struct {
	name string
	// switches are set on the backend servers of the new version when faultDelay has passed since the start of the move; without
	// switches the version has no fault.
	switches   string
	faultDelay time.Duration
}

var moveCases = []moveCase{
	{
		name: "good",
	},
	{
		name:     "fails at once",
		switches: "FailRoute=*&FailShare=1",
	},
	{
		name:       "fails later",
		switches:   "FailRoute=*&FailShare=0.5",
		faultDelay: 6 * time.Second,
	},
	{
		name:     "slow",
		switches: "SlowRoute=*&SlowTime=80ms",
	},
	{
		name:     "fails under load",
		switches: "FailAbove=1",
	},
}

// measureMoves measures how long a move takes until it is completed or rolled back, and how many queries are not answered in full
// meanwhile.
func (b *benchmark) measureMoves() error {
	for _, mc := range moveCases {
		if err := b.measureMoveCase(mc); err != nil {
			return fmt.Errorf("%s: %w", mc.name, err)
		}
	}
	return nil
}

func (b *benchmark) measureMoveCase(mc moveCase) error {
	d := deployments[1]
	set, err := d.decodeSet(func(p *parser.Policy) { p.MoveMinAnswers = moveMinAnswers })
	if err != nil {
		return err
	}
	s, err := b.openDeployment(d, withNewVersion(set, d.application))
	if err != nil {
		return err
	}
	defer s.close()
	move := parser.Move{
		Name:        "measured",
		Application: d.application,
		From:        d.application + "-v1",
		To:          d.application + newVersionSuffix,
		Start:       time.Now().Add(moveStartDelay).UTC().Truncate(time.Second),
		Steps:       []int{5, 25, 100},
	}
	move.FinishBy = move.Start.Add(moveDuration)
	if err := s.Apply(s.vms[0], append(s.Set, move)); err != nil {
		return err
	}
	return b.runMoveLoad(s, d, mc, move)
}

func (b *benchmark) runMoveLoad(s *session, d deploymentCase, mc moveCase, move parser.Move) error {
	driver := &moveDriver{
		cluster:  s.Cluster,
		moveCase: mc,
		move:     move,
		done:     make(chan moveResult, 1),
	}
	go driver.run()
	l := &loadGenerator{
		application: d.application,
		route:       d.route,
		rate:        moveLoadFactor * capacity(s.Cluster, d.application),
		duration:    time.Until(move.FinishBy) + moveLoadTail,
		deadline:    250 * time.Millisecond,
		send:        s.search,
	}
	sum := l.run().total()
	res := <-driver.done
	if res.err != nil {
		return res.err
	}
	doneValue := 0.0
	if res.outcome == "Done" {
		doneValue = 1
	}
	b.addRow("moves", mc.name, map[string]float64{
		"Seconds":       res.elapsed.Seconds(),
		"Queries":       float64(sum.Sent),
		"Harmed":        float64(sum.Sent - sum.Full),
		"HarmedPercent": percent(sum.Sent-sum.Full, sum.Sent),
		"Done":          doneValue,
	})
	return nil
}

// withNewVersion returns a copy of the set with a second version of an application and a backend server of this version for each
// existing one.
func withNewVersion(set parser.Set, application string) parser.Set {
	extended := append(parser.Set{}, set...)
	extended = append(extended, parser.Version{
		Name:        application + newVersionSuffix,
		Application: application,
		Replaces:    application + "-v1",
	})
	for _, o := range set {
		b, ok := o.(parser.BackendServer)
		if ok && b.Version == application+"-v1" {
			b.Name += newVersionSuffix
			b.Version = application + newVersionSuffix
			extended = append(extended, b)
		}
	}
	return extended
}

// moveResult is the final outcome of a move.
type moveResult struct {
	outcome string
	// elapsed is the time since the planned start of the move.
	elapsed time.Duration
	err     error
}

// moveDriver injects the fault of a case when it is due and waits for the outcome of the move.
type moveDriver struct {
	cluster  *launcher.Cluster
	moveCase moveCase
	move     parser.Move
	done     chan moveResult
}

func (d *moveDriver) run() {
	time.Sleep(time.Until(d.move.Start.Add(d.moveCase.faultDelay)))
	if d.moveCase.switches != "" {
		for _, b := range d.cluster.Backends() {
			if !strings.HasSuffix(b.Server.Name, newVersionSuffix) {
				continue
			}
			if err := d.cluster.SetSwitches(b, d.moveCase.switches); err != nil {
				d.done <- moveResult{
					err: err,
				}
				return
			}
		}
	}
	d.done <- d.awaitOutcome()
}

func (d *moveDriver) awaitOutcome() moveResult {
	var outcome string
	err := launcher.WaitFor(2*moveDuration, "the move has a final outcome", func() bool {
		var state struct {
			Outcome string
		}
		if d.cluster.ReadMoveState(d.cluster.VMs()[0], d.move.Name, &state) != nil {
			return false
		}
		outcome = state.Outcome
		return outcome == "Done" || outcome == "TakenBack"
	})
	return moveResult{
		outcome: outcome,
		elapsed: time.Since(d.move.Start),
		err:     err,
	}
}
