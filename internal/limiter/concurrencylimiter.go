package limiter

import (
	"sync"
	"time"
)

const (
	// InitialConcurrency is the initial limit of concurrent queries per application and entry VM.
	InitialConcurrency = 32
	// minConcurrency keeps a few queries running, so that their answers show when an overload has ended.
	minConcurrency = 2
	// The limit is multiplied by decreaseFactor after a congested query, at most once per minDecreaseInterval, because queries that
	// end at the same time were refused by the same queues.
	decreaseFactor      = 0.8
	minDecreaseInterval = 200 * time.Millisecond
	// minIncreaseUtilization is the part of the limit that must be in use for a clean query to raise the limit. A limit that grew
	// while unused would admit too many queries at the start of an overload.
	minIncreaseUtilization = 0.75
)

// ConcurrencyLimiter bounds the number of concurrent queries of an application on an entry VM. The limit is multiplied by a
// factor below 1 when queues of backend servers refuse sub-requests, and grows by one after as many clean queries as the limit
// (additive increase, multiplicative decrease; Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion
// avoidance in computer networks", Computer Networks and ISDN Systems 17(1), 1989). Without it, every query during an overload
// would get answers of some of its shards, and none of all. Its methods are safe for concurrent use.
type ConcurrencyLimiter struct {
	maxLimit int

	mu sync.Mutex
	// limit is at most maxLimit and at least minConcurrency, or equal to maxLimit if that is lower than minConcurrency.
	limit        float64
	running      int
	lastDecrease time.Time
}

// NewConcurrencyLimiter returns a limiter whose limit never exceeds maxLimit.
func NewConcurrencyLimiter(maxLimit int) *ConcurrencyLimiter {
	return &ConcurrencyLimiter{
		maxLimit: maxLimit,
		limit:    float64(min(InitialConcurrency, maxLimit)),
	}
}

// TryAcquire reports whether a query is admitted. If it is, the caller must call Release when the query has ended.
func (l *ConcurrencyLimiter) TryAcquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running >= int(l.limit) {
		return false
	}
	l.running++
	return true
}

// Release records the end of a query at now. clean means that the query was answered in full, congested that queues refused some
// of its sub-requests.
func (l *ConcurrencyLimiter) Release(now time.Time, clean, congested bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	nearLimit := float64(l.running+1) >= minIncreaseUtilization*l.limit
	l.running--
	switch {
	case congested && now.Sub(l.lastDecrease) >= minDecreaseInterval:
		l.limit = max(l.limit*decreaseFactor, min(minConcurrency, float64(l.maxLimit)))
		l.lastDecrease = now
	case clean && nearLimit:
		l.limit = min(l.limit+1/l.limit, float64(l.maxLimit))
	}
}

// Limit returns the number of queries that may run concurrently at the moment.
func (l *ConcurrencyLimiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}
