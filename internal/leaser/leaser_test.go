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

// script is the content of a file under testdata. VMs are numbered by their rank for the replica, starting at 1.
type script struct {
	Guards string `yaml:"Guards"`
	Limit  int    `yaml:"Limit"`
	Steps  []struct {
		After string `yaml:"After"`
		// Do is a list of actions separated by semicolons.
		Do string `yaml:"Do"`
		// Shares are the numbers of slots that the VMs may use after the actions, in rank order.
		Shares string `yaml:"Shares"`
	} `yaml:"Steps"`
}

const testReplica = "replica"

// Guards against VMs that may use wrong shares of a replica, in the case that each file under testdata describes as Guards.
func TestLeaseScripts(t *testing.T) {
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
		testReplica: s.Limit,
	})
	names := hasher.Rank(testReplica, []string{"a", "b", "c", "d"})
	for i, step := range s.Steps {
		wait, err := time.ParseDuration(step.After)
		assert.NilError(t, err)
		n.advance(wait)
		for action := range strings.SplitSeq(step.Do, ";") {
			runAction(t, n, names, strings.Fields(action))
		}
		assert.Equal(t, n.violation, "")
		if step.Shares == "" {
			continue
		}
		var shares []string
		for _, name := range names[:len(strings.Fields(step.Shares))] {
			shares = append(shares, strconv.Itoa(n.share(name, testReplica)))
		}
		assert.Equal(t, strings.Join(shares, " "), step.Shares, "step %d of: %s", i+1, s.Guards)
	}
}

func runAction(t *testing.T, n *network, names, words []string) {
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
		n.shutDown(vm(1))
	case "pause":
		d, err := time.ParseDuration(words[2])
		assert.NilError(t, err)
		n.pause(vm(1), d)
	case "cut":
		n.cut(vm(1), vm(2), true)
	case "heal":
		n.cut(vm(1), vm(2), false)
	default:
		t.Fatalf("unknown action %q", words[0])
	}
}

// Guards against shares that add up to more than a replica's limit under random partitions, kills, pauses, shutdowns and starts,
// and against states in which the shares do not add up to the limit again after all VMs run and are connected.
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
		n.delayPercent = 5
		n.busyPercent = 10
		names := []string{"a", "b", "c", "d"}
		for _, name := range names[:1+n.rng.IntN(4)] {
			n.start(name)
		}
		for range 60 {
			injectRandomFault(n, names)
			n.advance(time.Duration(n.rng.IntN(3000)) * time.Millisecond)
		}
		restore(n, names)
		assert.Equal(t, n.violation, "", "seed %d\n%s", seed, strings.Join(n.trace, "\n"))
		for replica, limit := range n.limits {
			sum := 0
			for _, name := range names {
				sum += n.share(name, replica)
			}
			assert.Equal(t, sum, limit, "seed %d replica %s\n%s%s", seed, replica, n.describe(replica), strings.Join(n.trace, "\n"))
		}
	}
}

func injectRandomFault(n *network, names []string) {
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
			n.shutDown(name)
		}
	default:
		if v == nil || !v.alive {
			n.start(name)
		}
	}
}

// restore heals all partitions, starts all VMs, and waits until the shares must add up to the limits again.
func restore(n *network, names []string) {
	n.advance(7 * time.Second)
	clear(n.cuts)
	for _, name := range names {
		if v := n.vms[name]; v == nil || !v.alive {
			n.start(name)
		}
	}
	n.delayPercent = 0
	n.busyPercent = 0
	n.advance(20 * time.Second)
}
