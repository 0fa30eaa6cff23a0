package benchmarker

import (
	"fmt"
	"strings"
	"time"

	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

const (
	moveLength = 14 * time.Second
	moveLoad   = 0.4
	// moveSlack is how long a load goes on after the end of its move.
	moveSlack   = 3 * time.Second
	moveDelay   = 2 * time.Second
	newVersion  = "-v2"
	moveMinimum = 100
)

// moveCase is a new version with a fault.
type moveCase struct {
	name string
	// switches are set at the servers of the new version when at has passed since the start of the move.
	switches string
	at       time.Duration
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
		name:     "fails later",
		switches: "FailRoute=*&FailShare=0.5",
		at:       6 * time.Second,
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

// moves measures how long good moves take and how many queries bad ones harm.
func (m *measurement) moves() error {
	for _, x := range moveCases {
		if err := m.move(x); err != nil {
			return fmt.Errorf("%s: %w", x.name, err)
		}
	}
	return nil
}

func (m *measurement) move(x moveCase) error {
	d := deployments[1]
	set, err := d.set(func(p *parser.Policy) { p.MoveMinAnswers = moveMinimum })
	if err != nil {
		return err
	}
	s, err := m.openCase(d, withNewVersion(set, d.application))
	if err != nil {
		return err
	}
	defer s.close()
	plan := parser.Move{
		Name:        "measured",
		Application: d.application,
		From:        d.application + "-v1",
		To:          d.application + newVersion,
		Start:       time.Now().Add(moveDelay).UTC().Truncate(time.Second),
		Steps:       []int{5, 25, 100},
	}
	plan.FinishBy = plan.Start.Add(moveLength)
	if err := s.Apply(s.vms[0], append(s.Set, plan)); err != nil {
		return err
	}
	return m.runMove(s, d, x, plan)
}

func (m *measurement) runMove(s *session, d deploymentCase, x moveCase, plan parser.Move) error {
	w := &moveWatch{
		cluster: s.Cluster,
		fault:   x,
		plan:    plan,
		done:    make(chan moveEnd, 1),
	}
	go w.run()
	l := &load{
		application: d.application,
		route:       d.route,
		rate:        moveLoad * capacity(s.Cluster, d.application),
		length:      time.Until(plan.FinishBy) + moveSlack,
		deadline:    250 * time.Millisecond,
		send:        s.search,
	}
	sum := l.run().total()
	end := <-w.done
	if end.err != nil {
		return end.err
	}
	done := 0.0
	if end.outcome == "Done" {
		done = 1
	}
	m.add("moves", x.name, map[string]float64{
		"Seconds":       end.after.Seconds(),
		"Queries":       float64(sum.Sent),
		"Harmed":        float64(sum.Sent - sum.Full),
		"HarmedPercent": percent(sum.Sent-sum.Full, sum.Sent),
		"Done":          done,
	})
	return nil
}

// withNewVersion adds a second version of every backend server of an application.
func withNewVersion(set parser.Set, application string) parser.Set {
	added := append(parser.Set{}, set...)
	added = append(added, parser.Version{
		Name:        application + newVersion,
		Application: application,
		Replaces:    application + "-v1",
	})
	for _, o := range set {
		b, ok := o.(parser.BackendServer)
		if ok && b.Version == application+"-v1" {
			b.Name += newVersion
			b.Version = application + newVersion
			added = append(added, b)
		}
	}
	return added
}

type moveEnd struct {
	outcome string
	after   time.Duration
	err     error
}

// moveWatch sets the fault of a case at its time and waits for the end of the move.
type moveWatch struct {
	cluster *launcher.Cluster
	fault   moveCase
	plan    parser.Move
	done    chan moveEnd
}

func (w *moveWatch) run() {
	time.Sleep(time.Until(w.plan.Start.Add(w.fault.at)))
	if w.fault.switches != "" {
		for _, b := range w.cluster.Backends() {
			if !strings.HasSuffix(b.Server.Name, newVersion) {
				continue
			}
			if err := w.cluster.SetSwitches(b, w.fault.switches); err != nil {
				w.done <- moveEnd{
					err: err,
				}
				return
			}
		}
	}
	w.done <- w.await()
}

func (w *moveWatch) await() moveEnd {
	var outcome string
	err := launcher.WaitFor(2*moveLength, "the move has ended", func() bool {
		var state struct {
			Outcome string
		}
		if w.cluster.ReadMoveState(w.cluster.VMs()[0], w.plan.Name, &state) != nil {
			return false
		}
		outcome = state.Outcome
		return outcome == "Done" || outcome == "TakenBack"
	})
	return moveEnd{
		outcome: outcome,
		after:   time.Since(w.plan.Start),
		err:     err,
	}
}
