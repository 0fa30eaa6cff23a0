package budgeter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/budgeter"
)

var bounds = budgeter.Config{
	Window:         10 * time.Second,
	Ratio:          0.2,
	FixedAllowance: 54,
}

// Load pattern: the servers of many shards are slow at once, and each request of each VM wants a duplicate. Guards against a fleet
// that sends more extra requests in any window than the operators allow, and against hedges that leave nothing for retries.
func TestSlowShardsGetNoMoreThanTheBudget(t *testing.T) {
	const (
		vms     = 7
		perVM   = 13
		seconds = 40
	)
	now := time.Unix(1000, 0)
	fleet := make([]*budgeter.Budgeter, vms)
	for i := range fleet {
		fleet[i] = budgeter.New(bounds, vms)
	}
	var extras [seconds]int
	retries := 0
	for s := range seconds {
		for i := range perVM {
			at := now.Add(time.Duration(s)*time.Second + time.Duration(i)*70*time.Millisecond)
			for _, b := range fleet {
				b.RecordFirstAttempt("shard", at)
				if b.Allow("shard", budgeter.Hedge, at) {
					extras[s]++
				}
				if b.Allow("shard", budgeter.Retry, at) {
					extras[s]++
					retries++
				}
			}
		}
	}
	const window = 10
	for s := window; s <= seconds; s++ {
		sum := 0
		for _, n := range extras[s-window : s] {
			sum += n
		}
		allowed := bounds.Ratio*vms*perVM*window + bounds.FixedAllowance
		assert.Assert(t, float64(sum) <= allowed, "%d extra requests in the window that ends at %d s, allowed are %v", sum, s, allowed)
		assert.Assert(t, sum > 0, "no extra request in the window that ends at %d s", s)
	}
	assert.Assert(t, retries > 0)
}

// Guards against a pause in the load that saves up allowance, and against counts that outlive their window.
func TestOldRequestsEarnNothing(t *testing.T) {
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

// uneven is a fleet of which three VMs get most of the requests; others get one in ten seconds.
type uneven struct {
	vms [14]*budgeter.Budgeter
	// firsts and spent count the requests and the duplicates of each second.
	firsts []int
	spent  []int
}

const (
	unevenSeconds = 30
	unevenWindow  = 10
)

// requests is the number of requests of a VM in a second. The busy VMs change in the middle.
func (*uneven) requests(vm, second int) int {
	switch {
	case (vm+second/15*3)/3 == 1:
		return 12
	case (vm+second)%unevenWindow == 0:
		return 1
	default:
		return 0
	}
}

// share gives each VM its part by load.
func (u *uneven) share(at time.Time) {
	total := 0.0
	for _, b := range u.vms {
		total += b.FirstAttempts(at)
	}
	for _, b := range u.vms {
		if total > 0 {
			b.SetShare(b.FirstAttempts(at)/total, at)
		}
	}
}

// play sends requests that each want a duplicate.
func (u *uneven) play(byLoad bool) {
	for i := range u.vms {
		u.vms[i] = budgeter.New(bounds, len(u.vms))
	}
	u.firsts, u.spent = make([]int, unevenSeconds), make([]int, unevenSeconds)
	for second := range unevenSeconds {
		at := time.Unix(1000+int64(second), 0)
		if byLoad {
			u.share(at)
		}
		for i, b := range u.vms {
			for range u.requests(i, second) {
				b.RecordFirstAttempt("shard", at)
				u.firsts[second]++
				if b.Allow("shard", budgeter.Hedge, at) {
					u.spent[second]++
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

// Load pattern: three of 14 VMs get most of the requests and each request wants a duplicate. Guards against allowance that is lost at VMs
// with few requests, and against more than is allowed in sum when the load moves.
func TestPartsByLoadSpendWhatIsAllowed(t *testing.T) {
	var equal, byLoad uneven
	equal.play(false)
	byLoad.play(true)
	assert.Assert(t, sum(byLoad.spent) > sum(equal.spent), "%d by load, %d by equal parts", sum(byLoad.spent), sum(equal.spent))
	for s := unevenWindow; s <= unevenSeconds; s++ {
		allowed := bounds.Ratio*float64(sum(byLoad.firsts[s-unevenWindow:s])) + bounds.FixedAllowance
		spent := sum(byLoad.spent[s-unevenWindow : s])
		assert.Assert(t, float64(spent) <= allowed, "second %d: %d of %v", s, spent, allowed)
	}
}

// Guards against parts that outlive the news of them.
func TestPartsWithoutNewsAreEqual(t *testing.T) {
	now := time.Unix(1000, 0)
	b := budgeter.New(bounds, 14)
	b.SetShare(1, now)
	_, most := b.Usage("shard", now)
	_, later := b.Usage("shard", now.Add(time.Minute))
	assert.Assert(t, later < most/2)
}
