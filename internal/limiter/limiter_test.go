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

// Guards against a ramp that overloads a cold server, that raises its limit because of a report, or that never recovers.
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
		"Abandoned": Abandoned{
			Latency: s.Latency,
		},
		"Shed":              Shed{},
		"RejectedDraining":  RejectedDraining{},
		"ConnectionRefused": ConnectionRefused{},
		"Unreachable":       Unreachable{},
		"Crashed":           Crashed{},
		"Restarted":         Restarted{},
	}[s.Event]
}

// semaphoreHarness tracks the requests of a test by their one-letter names. The name of an exclusive request is in upper case.
type semaphoreHarness struct {
	sem   *Semaphore
	slots int
	err   error
	order string
	// waiters contains a waiter whose channel is closed for a request that did not have to wait.
	waiters map[rune]*waiter
}

func (h *semaphoreHarness) acquire(name rune, front bool) {
	w, err := h.sem.admitOrEnqueue(name < 'a', front)
	if w == nil {
		w = &waiter{
			ready: make(chan struct{}),
			err:   err,
		}
		close(w.ready)
	}
	h.waiters[name] = w
}

func (h *semaphoreHarness) do(verb string, name rune) {
	switch verb {
	case "limit":
		h.slots = int(name - '0')
		h.sem.LimitChanged()
	case "refuse":
		h.err = errors.New("refused")
		h.sem.LimitChanged()
	case "acquire":
		h.order += string(name)
		h.acquire(name, false)
	case "release":
		delete(h.waiters, name)
		h.sem.Release()
	case "cancel":
		h.sem.removeWaiter(h.waiters[name])
		delete(h.waiters, name)
	case "revalidate":
		if ok, _ := h.sem.Revalidate(); !ok {
			h.acquire(name, true)
		}
	}
}

func (h *semaphoreHarness) state() string {
	lists := map[string]string{}
	for _, name := range h.order {
		w := h.waiters[name]
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
	running, queued := h.sem.Load()
	return fmt.Sprintf("run:%s wait:%s refused:%s load:%d,%d", lists["run"], lists["wait"], lists["refused"], running, queued)
}

// Guards against requests that overtake others in the queue, lost slots, and requests that run together with an exclusive one.
func TestSemaphoreScripts(t *testing.T) {
	for _, sc := range scripts(t, "semaphore.yaml") {
		t.Run(sc.Name, func(t *testing.T) {
			h := &semaphoreHarness{
				waiters: map[rune]*waiter{},
			}
			h.sem = NewSemaphore(func() (int, error) {
				return h.slots, h.err
			})
			for i, s := range sc.Steps {
				verb, name, _ := strings.Cut(s.Do, " ")
				h.do(verb, []rune(name + " ")[0])
				assert.Equal(t, h.state(), s.Want, "step %d", i+1)
			}
		})
	}
}

// Guards against a queue that grows without bound, and against a request that waits after its context has ended.
func TestSemaphoreQueueIsBounded(t *testing.T) {
	sem := NewSemaphore(func() (int, error) {
		return 0, nil
	})
	for range MaxQueueLength {
		_, err := sem.admitOrEnqueue(false, false)
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, classifier.CodeOf(sem.Acquire(ctx, false)), classifier.QueueFull)
	assert.Equal(t, classifier.CodeOf(sem.AcquireFirst(ctx, false)), classifier.ExpiredInQueue)
}

// Guards against more extra attempts than the percentage allows, and against tokens that accumulate without bound.
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
