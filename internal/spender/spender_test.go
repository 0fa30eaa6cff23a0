package spender_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/spender"
)

var bounds = spender.Config{
	Window: 10 * time.Second,
	Ratio:  0.2,
	Extra:  54,
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
	fleet := make([]*spender.Spender, vms)
	for i := range fleet {
		fleet[i] = spender.New(bounds, vms)
	}
	var extras [seconds]int
	retries := 0
	for s := range seconds {
		for i := range perVM {
			at := now.Add(time.Duration(s)*time.Second + time.Duration(i)*70*time.Millisecond)
			for _, b := range fleet {
				b.First("shard", at)
				if b.Spend("shard", spender.Hedge, at) {
					extras[s]++
				}
				if b.Spend("shard", spender.Retry, at) {
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
		allowed := bounds.Ratio*vms*perVM*window + bounds.Extra
		assert.Assert(t, float64(sum) <= allowed, "%d extra requests in the window that ends at %d s, allowed are %v", sum, s, allowed)
		assert.Assert(t, sum > 0, "no extra request in the window that ends at %d s", s)
	}
	assert.Assert(t, retries > 0)
}

// Guards against a pause in the load that saves up allowance, and against counts that outlive their window.
func TestOldRequestsEarnNothing(t *testing.T) {
	b := spender.New(spender.Config{
		Window: 10 * time.Second,
		Ratio:  0.2,
	}, 1)
	now := time.Unix(1000, 0)
	for range 100 {
		b.First("shard", now)
	}
	assert.Assert(t, b.Spend("shard", spender.Retry, now.Add(9*time.Second)))
	assert.Assert(t, !b.Spend("shard", spender.Retry, now.Add(11*time.Second)))
}
