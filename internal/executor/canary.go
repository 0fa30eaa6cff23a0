package executor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvildyke/anvildyke/internal/classifier"
)

// MaxCanaryWaiters is the maximum number of requests that wait for one canary.
const MaxCanaryWaiters = 256

// MinCanaryRuntime is how long a canary has to run without a broken connection before its request is considered harmless; if
// SoftWait is longer, it applies instead. On a busy machine a crash was detected after up to 38 ms, and with a limit of 30 ms a
// fan-out crashed six more servers.
const MinCanaryRuntime = 60 * time.Millisecond

// canary is a running canary request. Requests with the same fingerprint wait for its result.
type canary struct {
	done      chan struct{}
	execution *execution
	// code is the result of the canary. It may be read only after done is closed.
	code classifier.Code
	// waiting is the number of waiting requests, at most MaxCanaryWaiters. It is protected by the mutex of the table.
	waiting int
}

// canaryTable contains the running canaries by fingerprint. MaxBatches limits its size.
type canaryTable struct {
	mu      sync.Mutex
	running map[uint64]*canary
}

// provedHarmless reports whether the canary has run for at least collectWait and MinCanaryRuntime without a broken connection.
func (c *canary) provedHarmless(now time.Time, collectWait time.Duration) bool {
	if c == nil || c.execution.connBroken.Load() {
		return false
	}
	sent := c.execution.sentAt.Load()
	return sent != 0 && now.Sub(time.Unix(0, sent)) >= max(collectWait, MinCanaryRuntime)
}

// join returns a new canary, which the caller has to run as ex and pass to finish, or nil when an equal request was answered
// while the caller waited. It stores the running canary in current. The error is Crashed when the equal request crashed its
// server, ExpiredInQueue when the context ended first, and QueueFull when too many requests are waiting already.
func (t *canaryTable) join(ctx context.Context, fingerprint uint64, ex *execution, current *atomic.Pointer[canary]) (*canary, error) {
	for {
		t.mu.Lock()
		c := t.running[fingerprint]
		if c == nil {
			c = &canary{
				done:      make(chan struct{}),
				execution: ex,
			}
			t.running[fingerprint] = c
			t.mu.Unlock()
			current.Store(c)
			return c, nil
		}
		if c.waiting >= MaxCanaryWaiters {
			t.mu.Unlock()
			return nil, classifier.Errorf(classifier.QueueFull, "%d equal requests are already waiting for the canary", MaxCanaryWaiters)
		}
		c.waiting++
		t.mu.Unlock()
		current.Store(c)
		select {
		case <-c.done:
		case <-ctx.Done():
			t.mu.Lock()
			c.waiting--
			t.mu.Unlock()
			return nil, classifier.Errorf(classifier.ExpiredInQueue, "the request ended while an equal request was still running: %w", context.Cause(ctx))
		}
		switch {
		case c.code == classifier.Crashed:
			return nil, classifier.Errorf(classifier.Crashed, "an equal request crashed its backend server")
		case c.code.Answered():
			return nil, nil
		}
	}
}

func (t *canaryTable) finish(fingerprint uint64, c *canary, code classifier.Code) {
	t.mu.Lock()
	delete(t.running, fingerprint)
	t.mu.Unlock()
	c.code = code
	close(c.done)
}
