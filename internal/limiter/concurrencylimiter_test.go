package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an overload that admits every query, against a bound that never recovers, and against one that grows unused.
func TestAdmission(t *testing.T) {
	now := time.Unix(0, 0)
	a := NewConcurrencyLimiter(100)
	round := func(n int, clean, congested bool) {
		for range n {
			assert.Assert(t, a.TryAcquire())
		}
		for range n {
			a.Release(now, clean, congested)
		}
		now = now.Add(cutPeriod)
	}
	for range InitialConcurrency {
		assert.Assert(t, a.TryAcquire())
	}
	assert.Assert(t, !a.TryAcquire())
	for range InitialConcurrency {
		a.Release(now, false, false)
	}
	round(1, true, false)
	assert.Equal(t, a.Limit(), InitialConcurrency, "one query at a time does not raise the bound")
	round(InitialConcurrency, false, true)
	assert.Equal(t, a.Limit(), InitialConcurrency*4/5, "the answers of one moment cut once")
	for range 100 {
		round(2, false, true)
	}
	assert.Equal(t, a.Limit(), admissionMin)
	for range 1000 {
		round(a.Limit(), true, false)
	}
	assert.Assert(t, a.Limit() > 30, "the bound recovers: %d", a.Limit())
	assert.Assert(t, a.Limit() <= 100)
}
