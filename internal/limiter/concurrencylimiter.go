package limiter

import (
	"sync"
	"time"
)

const (
	// InitialConcurrency is the number of queries of an application that an entry VM first runs at the same time.
	InitialConcurrency = 32
	// admissionMin keeps a few queries running, so that the end of an overload shows.
	admissionMin = 2
	// admissionCut is what a congested answer leaves of the limit, at most once in cutPeriod: the answers of one moment tell of
	// the same queues.
	admissionCut = 0.8
	cutPeriod    = 200 * time.Millisecond
	// admissionUse is the used part of the limit above which clean answers raise it. A limit that grows unused would let
	// the first moments of an overload through.
	admissionUse = 0.75
)

// ConcurrencyLimiter bounds the queries of an application that an entry VM runs at the same time. The bound falls by a factor when
// backend servers' queues refuse sub-requests and grows by one for each round of clean answers (additive increase,
// multiplicative decrease; Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion avoidance in
// computer networks", Computer Networks and ISDN Systems 17(1), 1989). Without it every query of an overload gets a part of
// its shards and none gets all. Its methods are safe for concurrent use.
type ConcurrencyLimiter struct {
	ceiling int

	mu sync.Mutex
	// limit is at least admissionMin and at most ceiling, unless that is lower.
	limit   float64
	running int
	lastCut time.Time
}

// NewConcurrencyLimiter returns an admission whose bound never exceeds ceiling.
func NewConcurrencyLimiter(ceiling int) *ConcurrencyLimiter {
	return &ConcurrencyLimiter{
		ceiling: ceiling,
		limit:   float64(min(InitialConcurrency, ceiling)),
	}
}

// TryAcquire admits a query, which must call Leave, or returns false.
func (a *ConcurrencyLimiter) TryAcquire() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running >= int(a.limit) {
		return false
	}
	a.running++
	return true
}

// Release ends a query. Clean says that it was answered in full, congested that queues refused parts of it.
func (a *ConcurrencyLimiter) Release(now time.Time, clean, congested bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	used := float64(a.running+1) >= admissionUse*a.limit
	a.running--
	switch {
	case congested && now.Sub(a.lastCut) >= cutPeriod:
		a.limit = max(a.limit*admissionCut, min(admissionMin, float64(a.ceiling)))
		a.lastCut = now
	case clean && used:
		a.limit = min(a.limit+1/a.limit, float64(a.ceiling))
	}
}

// Limit returns the current bound.
func (a *ConcurrencyLimiter) Limit() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.limit)
}
