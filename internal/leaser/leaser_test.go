package leaser

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/hasher"
)

// script is a file under testdata. VMs are numbered by their rank for the replica, from 1 on.
type script struct {
	Guards string `yaml:"Guards"`
	Limit  int    `yaml:"Limit"`
	Steps  []struct {
		After string `yaml:"After"`
		// Do holds actions separated by semicolons.
		Do string `yaml:"Do"`
		// Shares are the shares of the VMs in rank order after the actions.
		Shares string `yaml:"Shares"`
	} `yaml:"Steps"`
}

const replica = "replica"

// Guards against wrong shares in the cases that the files under testdata name.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			var s script
			assert.NilError(t, yaml.UnmarshalWithOptions(data, &s, yaml.Strict()))
			runScript(t, s)
		})
	}
}

func runScript(t *testing.T, s script) {
	n := newNetwork(1, map[string]int{
		replica: s.Limit,
	})
	names := hasher.Rank(replica, []string{"a", "b", "c", "d"})
	for i, step := range s.Steps {
		wait, err := time.ParseDuration(step.After)
		assert.NilError(t, err)
		n.advance(wait)
		for action := range strings.SplitSeq(step.Do, ";") {
			act(t, n, names, strings.Fields(action))
		}
		assert.Equal(t, n.fault, "")
		if step.Shares == "" {
			continue
		}
		var shares []string
		for _, name := range names[:len(strings.Fields(step.Shares))] {
			shares = append(shares, strconv.Itoa(n.share(name, replica)))
		}
		assert.Equal(t, strings.Join(shares, " "), step.Shares, "step %d of: %s", i+1, s.Guards)
	}
}

func act(t *testing.T, n *network, names, words []string) {
	if len(words) == 0 {
		return
	}
	vm := func(i int) string {
		rank, err := strconv.Atoi(words[i])
		assert.NilError(t, err)
		return names[rank-1]
	}
	switch words[0] {
	case "start":
		n.start(vm(1))
	case "kill":
		n.kill(vm(1), false)
	case "leave":
		n.leave(vm(1))
	case "pause":
		d, err := time.ParseDuration(words[2])
		assert.NilError(t, err)
		n.pause(vm(1), d)
	case "cut":
		n.cut(vm(1), vm(2), true)
	case "heal":
		n.cut(vm(1), vm(2), false)
	default:
		t.Fatalf("the action %q is unknown", words[0])
	}
}

// Guards against shares that add up to more than a replica's limit under any mix of cuts, kills, pauses and joins, and against
// states from which the shares never add up to the limit again.
func TestSharesNeverExceedLimits(t *testing.T) {
	seeds := 120
	if testing.Short() {
		seeds = 50
	}
	if s, err := strconv.Atoi(os.Getenv("LEASER_SEEDS")); err == nil {
		seeds = s
	}
	first, _ := strconv.Atoi(os.Getenv("LEASER_FIRST_SEED"))
	for seed := first; seed < first+seeds; seed++ {
		n := newNetwork(uint64(seed), map[string]int{
			"one":   1,
			"three": 3,
			"six":   6,
		})
		n.slow = 5
		n.busy = 10
		names := []string{"a", "b", "c", "d"}
		for _, name := range names[:1+n.rng.IntN(4)] {
			n.start(name)
		}
		for range 60 {
			disturb(n, names)
			n.advance(time.Duration(n.rng.IntN(3000)) * time.Millisecond)
		}
		restore(n, names)
		assert.Equal(t, n.fault, "", "seed %d\n%s", seed, strings.Join(n.trace, "\n"))
		for replica, limit := range n.limits {
			sum := 0
			for _, name := range names {
				sum += n.share(name, replica)
			}
			assert.Equal(t, sum, limit, "seed %d replica %s\n%s%s", seed, replica, n.describe(replica), strings.Join(n.trace, "\n"))
		}
	}
}

func disturb(n *network, names []string) {
	name := names[n.rng.IntN(len(names))]
	other := names[n.rng.IntN(len(names))]
	v := n.vms[name]
	running := v != nil && v.alive && !v.state.leaving
	switch n.rng.IntN(7) {
	case 0, 1:
		if name != other {
			n.cut(name, other, n.rng.IntN(2) == 0)
		}
	case 2:
		if running {
			n.kill(name, n.rng.IntN(2) == 0)
		}
	case 3:
		if running && !v.paused {
			n.pause(name, time.Duration(n.rng.IntN(6000))*time.Millisecond)
		}
	case 4:
		if running && !v.paused && n.rng.IntN(2) == 0 {
			n.leave(name)
		}
	default:
		if v == nil || !v.alive {
			n.start(name)
		}
	}
}

// restore heals all cuts and starts all VMs, and waits until the shares must be whole again.
func restore(n *network, names []string) {
	n.advance(7 * time.Second)
	clear(n.cuts)
	for _, name := range names {
		if v := n.vms[name]; v == nil || !v.alive {
			n.start(name)
		}
	}
	n.slow = 0
	n.busy = 0
	n.advance(20 * time.Second)
}
