package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a limiter that admits every query of an overload, and against a limit that never recovers or that grows while
// it is not in use.
func TestConcurrencyLimiter(t *testing.T) {
	now := time.Unix(0, 0)
	l := NewConcurrencyLimiter(100)
	round := func(n int, clean, congested bool) {
		for range n {
			assert.Assert(t, l.TryAcquire())
		}
		for range n {
			l.Release(now, clean, congested)
		}
		now = now.Add(minDecreaseInterval)
	}
	for range InitialConcurrency {
		assert.Assert(t, l.TryAcquire())
	}
	assert.Assert(t, !l.TryAcquire())
	for range InitialConcurrency {
		l.Release(now, false, false)
	}
	round(1, true, false)
	assert.Equal(t, l.Limit(), InitialConcurrency, "one query at a time must not raise the limit")
	round(InitialConcurrency, false, true)
	assert.Equal(t, l.Limit(), InitialConcurrency*4/5, "queries that end at the same time lower the limit once")
	for range 100 {
		round(2, false, true)
	}
	assert.Equal(t, l.Limit(), minConcurrency)
	for range 1000 {
		round(l.Limit(), true, false)
	}
	assert.Assert(t, l.Limit() > 30, "the limit must recover: %d", l.Limit())
	assert.Assert(t, l.Limit() <= 100)
}
