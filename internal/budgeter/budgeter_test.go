package budgeter_test

import (
	"math"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/budgeter"
)

var testConfig = budgeter.Config{
	Window:         10 * time.Second,
	Ratio:          0.2,
	FixedAllowance: 54,
}

// The servers of many shards are slow at the same time, and every request of every VM attempts a hedge. Guards against more extra
// attempts by all VMs in any window than the operators allow, and against hedges that leave no budget for retries.
func TestExtraAttemptsOfAllVMsStayWithinBudget(t *testing.T) {
	const (
		vms     = 7
		perVM   = 13
		seconds = 40
	)
	now := time.Unix(1000, 0)
	budgeters := make([]*budgeter.Budgeter, vms)
	for i := range budgeters {
		budgeters[i] = budgeter.New(testConfig, vms)
	}
	var extraAttempts [seconds]int
	retries := 0
	for s := range seconds {
		for i := range perVM {
			at := now.Add(time.Duration(s)*time.Second + time.Duration(i)*70*time.Millisecond)
			for _, b := range budgeters {
				b.RecordFirstAttempt("shard", at)
				if b.Allow("shard", budgeter.Hedge, at) {
					extraAttempts[s]++
				}
				if b.Allow("shard", budgeter.Retry, at) {
					extraAttempts[s]++
					retries++
				}
			}
		}
	}
	const window = 10
	for s := window; s <= seconds; s++ {
		sum := 0
		for _, n := range extraAttempts[s-window : s] {
			sum += n
		}
		allowed := testConfig.Ratio*vms*perVM*window + testConfig.FixedAllowance
		assert.Assert(t, float64(sum) <= allowed, "%d extra attempts in the window that ends at %d s, allowed are %v", sum, s, allowed)
		assert.Assert(t, sum > 0, "no extra attempt in the window that ends at %d s", s)
	}
	assert.Assert(t, retries > 0)
}

// Guards against budget that accumulates while there is no load, and against counts that remain after their window.
func TestRequestsOutsideWindowEarnNoBudget(t *testing.T) {
	b := budgeter.New(budgeter.Config{
		Window: 10 * time.Second,
		Ratio:  0.2,
	}, 1)
	now := time.Unix(1000, 0)
	for range 100 {
		b.RecordFirstAttempt("shard", now)
	}
	assert.Assert(t, b.Allow("shard", budgeter.Retry, now.Add(9*time.Second)))
	assert.Assert(t, !b.Allow("shard", budgeter.Retry, now.Add(11*time.Second)))
}

// unevenFleet is a set of VMs of which three receive most of the requests. The others receive one request every 10 s.
type unevenFleet struct {
	vms [14]*budgeter.Budgeter
	// firstAttempts and hedges are the numbers of attempts in each second.
	firstAttempts []int
	hedges        []int
}

const (
	runSeconds    = 30
	windowSeconds = 10
)

// requests returns the number of requests to a VM in the given second. The set of busy VMs changes after half of the run.
func (*unevenFleet) requests(vm, second int) int {
	switch {
	case (vm+second/15*3)/3 == 1:
		return 12
	case (vm+second)%windowSeconds == 0:
		return 1
	default:
		return 0
	}
}

// updateShares sets the share of each VM in proportion to its first attempts.
func (f *unevenFleet) updateShares(at time.Time) {
	total := 0.0
	for _, b := range f.vms {
		total += b.FirstAttempts(at)
	}
	for _, b := range f.vms {
		if total > 0 {
			b.SetShare(b.FirstAttempts(at)/total, at)
		}
	}
}

// run sends requests that each attempt a hedge.
func (f *unevenFleet) run(sharesByLoad bool) {
	for i := range f.vms {
		f.vms[i] = budgeter.New(testConfig, len(f.vms))
	}
	f.firstAttempts, f.hedges = make([]int, runSeconds), make([]int, runSeconds)
	for second := range runSeconds {
		at := time.Unix(1000+int64(second), 0)
		if sharesByLoad {
			f.updateShares(at)
		}
		for i, b := range f.vms {
			for range f.requests(i, second) {
				b.RecordFirstAttempt("shard", at)
				f.firstAttempts[second]++
				if b.Allow("shard", budgeter.Hedge, at) {
					f.hedges[second]++
				}
			}
		}
	}
}

func sum(n []int) (total int) {
	for _, x := range n {
		total += x
	}
	return total
}

// Three of 14 VMs receive most of the requests, and every request attempts a hedge. Guards against allowance that VMs with few
// requests leave unused, and against exceeding the total budget when the load moves to other VMs.
func TestSharesByLoadSpendMoreButStayWithinBudget(t *testing.T) {
	var equal, byLoad unevenFleet
	equal.run(false)
	byLoad.run(true)
	assert.Assert(t, sum(byLoad.hedges) > sum(equal.hedges), "%d hedges with shares by load, %d with equal shares", sum(byLoad.hedges), sum(equal.hedges))
	for s := windowSeconds; s <= runSeconds; s++ {
		allowed := testConfig.Ratio*float64(sum(byLoad.firstAttempts[s-windowSeconds:s])) + testConfig.FixedAllowance
		hedges := sum(byLoad.hedges[s-windowSeconds : s])
		assert.Assert(t, float64(hedges) <= allowed, "window that ends at %d s: %d hedges, allowed are %v", s, hedges, allowed)
	}
}

// Guards against shares that remain in use after their updates have stopped.
func TestExpiredShareFallsBackToEqualShare(t *testing.T) {
	now := time.Unix(1000, 0)
	b := budgeter.New(testConfig, 14)
	b.SetShare(1, now)
	_, fullShare := b.Usage("shard", now)
	_, afterExpiry := b.Usage("shard", now.Add(time.Minute))
	assert.Assert(t, afterExpiry < fullShare/2)
}

const (
	scenarioVMs     = 7
	scenarioSeconds = 40
	stepsPerSecond  = 10
)

// scenario is a fleet of VMs whose requests attempt as many retries or hedges as they may.
type scenario struct {
	vms [scenarioVMs]*budgeter.Budgeter
	// weights are the weights of the VMs as requests are spread over them.
	weights  []float64
	noShares bool
	count    int
	// sent and retries are the numbers of requests and retries in each step.
	sent    []int
	retries []int
}

func (s *scenario) apply(t *testing.T, event string, now time.Time) {
	t.Helper()
	words := strings.Fields(event)
	var numbers []float64
	for _, w := range words[1:] {
		n, err := strconv.ParseFloat(w, 64)
		assert.NilError(t, err, event)
		numbers = append(numbers, n)
	}
	switch words[0] {
	case "restart":
		for _, n := range numbers {
			s.vms[int(n)] = budgeter.New(testConfig, s.count)
		}
	case "load":
		s.weights = numbers
	case "no-shares":
		s.noShares = true
	case "forget":
		for _, b := range s.vms {
			b.Retain(func(string) bool {
				return false
			}, now)
		}
	case "vms":
		s.count = int(numbers[0])
		for _, b := range s.vms {
			b.SetVMCount(s.count)
		}
	default:
		t.Fatalf("unknown event: %s", event)
	}
}

// busy returns the VM that receives the request of a step.
func (s *scenario) busy(step int) int {
	total := 0.0
	for _, w := range s.weights {
		total += w
	}
	point := math.Mod(float64(step)*0.1, 1) * total
	for i, w := range s.weights {
		if point -= w; point < -1e-9 {
			return i
		}
	}
	return step % scenarioVMs
}

// updateShares sets the shares as the reader of a zone does: a quarter equal, the rest by the requests of the last window.
func (s *scenario) updateShares(now time.Time) {
	total := 0.0
	for _, b := range s.vms {
		total += b.FirstAttempts(now)
	}
	if s.noShares || total == 0 {
		return
	}
	for _, b := range s.vms {
		b.SetShare(0.25/scenarioVMs+0.75*b.FirstAttempts(now)/total, now)
	}
}

func (s *scenario) run(t *testing.T, purpose budgeter.Purpose, events map[int][]string) {
	t.Helper()
	s.count = scenarioVMs
	for i := range s.vms {
		s.vms[i] = budgeter.New(testConfig, scenarioVMs)
	}
	for step := range scenarioSeconds * stepsPerSecond {
		now := time.Unix(1000, 0).Add(time.Duration(step) * time.Second / stepsPerSecond)
		if step%stepsPerSecond == 0 {
			for _, event := range events[step/stepsPerSecond] {
				s.apply(t, event, now)
			}
			s.updateShares(now)
		}
		s.sent, s.retries = append(s.sent, 0), append(s.retries, 0)
		s.vms[s.busy(step)].RecordFirstAttempt("shard", now)
		s.sent[step]++
		for _, b := range s.vms {
			for b.Allow("shard", purpose, now) {
				s.retries[step]++
			}
		}
	}
}

// Guards against VMs that together retry or hedge more often than the operators allow in any window, because processes start anew, shares of
// the budget move between VMs, or a service is missing in the configuration for a moment.
func TestRetriesOfChangingFleets(t *testing.T) {
	data, err := os.ReadFile("testdata/fleets.txt")
	assert.NilError(t, err)
	for _, line := range strings.Split(string(data), "\n") {
		name, text, ok := strings.Cut(line, ":")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		events := map[int][]string{}
		t.Run(name, func(t *testing.T) {
			for _, event := range strings.Split(text, ";") {
				if second, rest, ok := strings.Cut(strings.TrimSpace(event), " "); ok {
					n, err := strconv.Atoi(second)
					assert.NilError(t, err, event)
					events[n] = append(events[n], rest)
				}
			}
			for _, purpose := range []budgeter.Purpose{budgeter.Retry, budgeter.Hedge} {
				var s scenario
				s.run(t, purpose, events)
				s.check(t)
			}
		})
	}
}

// check compares the extra attempts in each window with the limit.
func (s *scenario) check(t *testing.T) {
	t.Helper()
	const window = 10 * stepsPerSecond
	for end := window; end <= len(s.sent); end++ {
		allowed := testConfig.Ratio*float64(sum(s.sent[end-window:end])) + testConfig.FixedAllowance
		retries := sum(s.retries[end-window : end])
		assert.Assert(t, float64(retries) <= allowed, "%d extra attempts in the window that ends at step %d, allowed are %v", retries, end, allowed)
	}
	assert.Assert(t, sum(s.retries) > scenarioSeconds, "%d extra attempts", sum(s.retries))
}
