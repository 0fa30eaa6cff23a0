package limiter

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
)

type script struct {
	Name  string `yaml:"Name"`
	Steps []step `yaml:"Steps"`
}

type step struct {
	At       time.Duration `yaml:"At"`
	Event    string        `yaml:"Event"`
	Latency  time.Duration `yaml:"Latency"`
	Cold     bool          `yaml:"Cold"`
	Draining bool          `yaml:"Draining"`
	Times    int           `yaml:"Times"`
	Do       string        `yaml:"Do"`
	Want     string        `yaml:"Want"`
}

func scripts(t *testing.T, file string) []script {
	t.Helper()
	data, err := os.ReadFile("testdata/" + file)
	assert.NilError(t, err)
	var all []script
	assert.NilError(t, yaml.UnmarshalWithOptions(data, &all, yaml.Strict()))
	return all
}

// Guards against a ramp that overloads a cold server, believes its reports, or never recovers.
func TestRampScripts(t *testing.T) {
	states := map[blackboard.ReplicaState]string{
		blackboard.ReplicaWarm:     "Warm",
		blackboard.ReplicaCold:     "Cold",
		blackboard.ReplicaDraining: "Draining",
		blackboard.ReplicaDown:     "Down",
	}
	for _, sc := range scripts(t, "ramp.yaml") {
		t.Run(sc.Name, func(t *testing.T) {
			r := NewRamp()
			start := time.Unix(1000, 0)
			now := start
			for i, s := range sc.Steps {
				now = start.Add(max(s.At, now.Sub(start)))
				suffix := ""
				if s.Event == "ProbeDue" {
					suffix = fmt.Sprint(" ", r.ProbeDue(now))
				} else if s.Event != "" {
					for range max(1, s.Times) {
						r.Observe(now, 3, s.event())
					}
				}
				state, n := r.Allowed(now, 3)
				assert.Equal(t, fmt.Sprint(states[state], " ", n)+suffix, s.Want, "step %d", i+1)
			}
		})
	}
}

func (s step) event() Event {
	report := connector.Report{
		Cold:     s.Cold,
		Draining: s.Draining,
	}
	return map[string]Event{
		"Answered": Answered{
			Latency: s.Latency,
			Report:  report,
		},
		"Probed": Probed{
			Report: report,
		},
		"Overran": Abandoned{
			Latency: s.Latency,
		},
		"Shed":         Shed{},
		"SaidDraining": RejectedDraining{},
		"Refused":      ConnectionRefused{},
		"Failed":       Unreachable{},
		"Crashed":      Crashed{},
		"Restarted":    Restarted{},
	}[s.Event]
}

// gateBench follows requests through a gate. The name of an exclusive request is in upper case.
type gateBench struct {
	gate  *Semaphore
	slots int
	err   error
	order string
	// waiters holds a closed waiter for a request that did not wait.
	waiters map[rune]*waiter
}

func (b *gateBench) enter(name rune, front bool) {
	w, err := b.gate.join(name < 'a', front)
	if w == nil {
		w = &waiter{
			ready: make(chan struct{}),
			err:   err,
		}
		close(w.ready)
	}
	b.waiters[name] = w
}

func (b *gateBench) do(verb string, name rune) {
	switch verb {
	case "limit":
		b.slots = int(name - '0')
		b.gate.LimitChanged()
	case "refuse":
		b.err = errors.New("refused")
		b.gate.LimitChanged()
	case "enter":
		b.order += string(name)
		b.enter(name, false)
	case "leave":
		delete(b.waiters, name)
		b.gate.Release()
	case "end":
		b.gate.abandon(b.waiters[name])
		delete(b.waiters, name)
	case "confirm":
		if ok, _ := b.gate.Revalidate(); !ok {
			b.enter(name, true)
		}
	}
}

func (b *gateBench) state() string {
	lists := map[string]string{}
	for _, name := range b.order {
		w := b.waiters[name]
		if w == nil {
			continue
		}
		kind := "wait"
		select {
		case <-w.ready:
			kind = "run"
			if w.err != nil {
				kind = "refused"
			}
		default:
		}
		lists[kind] += string(name)
	}
	running, queued := b.gate.Load()
	return fmt.Sprintf("run:%s wait:%s refused:%s load:%d,%d", lists["run"], lists["wait"], lists["refused"], running, queued)
}

// Guards against overtaking, lost slots, and requests that run beside an exclusive one.
func TestGateScripts(t *testing.T) {
	for _, sc := range scripts(t, "gate.yaml") {
		t.Run(sc.Name, func(t *testing.T) {
			b := &gateBench{
				waiters: map[rune]*waiter{},
			}
			b.gate = NewSemaphore(func() (int, error) {
				return b.slots, b.err
			})
			for i, s := range sc.Steps {
				verb, name, _ := strings.Cut(s.Do, " ")
				b.do(verb, []rune(name + " ")[0])
				assert.Equal(t, b.state(), s.Want, "step %d", i+1)
			}
		})
	}
}

// Guards against a queue that grows without bound and a wait that outlives its context.
func TestGateBoundsItsQueue(t *testing.T) {
	g := NewSemaphore(func() (int, error) {
		return 0, nil
	})
	for range MaxQueueLength {
		_, err := g.join(false, false)
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, classifier.CodeOf(g.Acquire(ctx, false)), classifier.QueueFull)
	assert.Equal(t, classifier.CodeOf(g.AcquireFirst(ctx, false)), classifier.ExpiredInQueue)
}

// Guards against extra requests above their share and savings without bound.
func TestBudget(t *testing.T) {
	spend := func(b *Budget) int {
		n := 0
		for b.TryWithdraw() {
			n++
		}
		return n
	}
	b := NewBudget(5)
	assert.Equal(t, spend(b), BudgetBurst)
	b.Deposit(100)
	assert.Equal(t, spend(b), 5)
	for range 19 {
		b.Deposit(1)
	}
	assert.Equal(t, spend(b), 0)
	b.Deposit(1)
	assert.Equal(t, spend(b), 1)
	b.Deposit(1000000)
	assert.Equal(t, spend(b), BudgetBurst)
	b.Deposit(100)
	b.SetPercent(0)
	assert.Equal(t, spend(b), 0)
}
