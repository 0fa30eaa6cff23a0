package executor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvildyke/anvildyke/internal/classifier"
)

// MaxCanaryWaiters bounds the requests that wait for one canary.
const MaxCanaryWaiters = 256

// MinCanaryRuntime is how long a canary has to run without a sign of a crash before it proves its request harmless, or the soft wait if
// that is longer. On a busy machine a crash showed after up to 38 ms, and a proof after 30 ms let a fan-out crash six more servers.
const MinCanaryRuntime = 60 * time.Millisecond

// canary is a running canary request, for whose outcome equal ones wait.
type canary struct {
	done chan struct{}
	// run is the run of the canary.
	run *run
	// code may be read after done is closed.
	code classifier.Code
	// waiting is at most MaxCanaryWaiters. The lock of the table protects it.
	waiting int
}

// canaryTable holds the running canaries by fingerprint. Its size is bounded by MaxBatches.
type canaryTable struct {
	mu      sync.Mutex
	running map[uint64]*canary
}

// proved reports whether the canary has run for at least d, and CanaryProof, without a sign of a crash.
func (c *canary) proved(now time.Time, d time.Duration) bool {
	if c == nil || c.run.broken.Load() {
		return false
	}
	sent := c.run.sent.Load()
	return sent != 0 && now.Sub(time.Unix(0, sent)) >= max(d, MinCanaryRuntime)
}

// enter returns a canary that the caller has to run as e and pass to leave, or nil when an equal request was answered while the
// caller waited. It stores in seen the canary that runs. The error is Crashed when the equal request crashed its server,
// ExpiredInQueue when the context ended first, QueueFull when too many wait already.
func (t *canaryTable) enter(ctx context.Context, fingerprint uint64, e *run, seen *atomic.Pointer[canary]) (*canary, error) {
	for {
		t.mu.Lock()
		c := t.running[fingerprint]
		if c == nil {
			c = &canary{
				done: make(chan struct{}),
				run:  e,
			}
			t.running[fingerprint] = c
			t.mu.Unlock()
			seen.Store(c)
			return c, nil
		}
		if c.waiting >= MaxCanaryWaiters {
			t.mu.Unlock()
			return nil, classifier.Errorf(classifier.QueueFull, "%d equal requests wait already", MaxCanaryWaiters)
		}
		c.waiting++
		t.mu.Unlock()
		seen.Store(c)
		select {
		case <-c.done:
		case <-ctx.Done():
			t.mu.Lock()
			c.waiting--
			t.mu.Unlock()
			return nil, classifier.Errorf(classifier.ExpiredInQueue, "an equal request still ran: %w", context.Cause(ctx))
		}
		switch {
		case c.code == classifier.Crashed:
			return nil, classifier.Errorf(classifier.Crashed, "an equal request crashed its backend server")
		case c.code.Answered():
			return nil, nil
		}
	}
}

func (t *canaryTable) leave(fingerprint uint64, c *canary, code classifier.Code) {
	t.mu.Lock()
	delete(t.running, fingerprint)
	t.mu.Unlock()
	c.code = code
	close(c.done)
}
