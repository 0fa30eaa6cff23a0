package limiter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/classifier"
)

// MaxQueueLength is the greatest number of requests that wait at one replica. At 6 slots and 20 ms per request the last of 64
// waits about 200 ms, which is above the deadlines that callers use, so a longer queue would hold only lost requests.
const MaxQueueLength = 64

// queuePart is the part of a request's remaining time that it waits at most. A request that waits longer would be answered too
// late, and its caller learns of the queue while another replica can still be tried.
const queuePart = 3

// LimitFunc returns the number of requests that may run now, or the error with which all that wait are refused. It is called with
// the gate locked, so it must neither block nor call the gate.
type LimitFunc func() (int, error)

// Semaphore admits requests to one replica in the order of their arrival. Its methods are safe for concurrent use.
type Semaphore struct {
	limit LimitFunc

	mu      sync.Mutex
	running int
	// alone is set while an exclusive request runs; running is 1 then.
	alone bool
	// queue holds at most QueueBound waiters, and more only by those of Reenter, which the callers bound.
	queue []*waiter
}

type waiter struct {
	exclusive bool
	// ready is closed when the waiter has left the queue; err is nil when it was admitted.
	ready chan struct{}
	err   error
}

// NewSemaphore returns a gate whose slots are read from limit at every admission.
func NewSemaphore(limit LimitFunc) *Semaphore {
	return &Semaphore{
		limit: limit,
	}
}

// Acquire waits for a slot. An exclusive request is admitted when nothing else runs, and nothing else is admitted while it runs.
// The errors are that of the limit, QueueFull when too many wait or the wait takes too long, and ExpiredInQueue when the context
// ended first. After nil the caller must call
// Leave once, unless Confirm has taken the slot back.
func (g *Semaphore) Acquire(ctx context.Context, exclusive bool) error {
	return g.enter(ctx, exclusive, false)
}

// AcquireFirst is Enter for a request that waits before all others: one whose slot Confirm has taken back, or one for whose outcome
// other requests wait.
func (g *Semaphore) AcquireFirst(ctx context.Context, exclusive bool) error {
	return g.enter(ctx, exclusive, true)
}

func (g *Semaphore) enter(ctx context.Context, exclusive, front bool) error {
	w, err := g.join(exclusive, front)
	if err != nil || w == nil {
		return err
	}
	patience, stop := patienceOf(ctx, exclusive)
	defer stop()
	select {
	case <-w.ready:
		return w.err
	case <-patience:
		if g.abandon(w) {
			return classifier.Errorf(classifier.QueueFull, "the queue of the replica did not move in time")
		}
		<-w.ready
		return w.err
	case <-ctx.Done():
	}
	if g.abandon(w) {
		return classifier.Errorf(classifier.ExpiredInQueue, "the request ended in the queue: %w", context.Cause(ctx))
	}
	if w.err == nil {
		g.Release()
	}
	return classifier.Errorf(classifier.ExpiredInQueue, "the request ended when its turn came: %w", context.Cause(ctx))
}

// patienceOf returns a channel that delivers when a request has waited for its part of the remaining time. An exclusive
// request waits until its deadline, because it needs the replica for itself.
func patienceOf(ctx context.Context, exclusive bool) (<-chan time.Time, func()) {
	deadline, ok := ctx.Deadline()
	if !ok || exclusive {
		return nil, func() {}
	}
	t := time.NewTimer(time.Until(deadline) / queuePart)
	return t.C, func() { t.Stop() }
}

// join admits the request at once, in which case the waiter is nil, or puts it into the queue.
func (g *Semaphore) join(exclusive, front bool) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	slots, err := g.limit()
	if err != nil {
		g.refuse(err)
		return nil, err
	}
	if (front || len(g.queue) == 0) && g.fits(slots, exclusive) {
		g.admit(exclusive)
		return nil, nil
	}
	if !front && len(g.queue) >= MaxQueueLength {
		return nil, classifier.Errorf(classifier.QueueFull, "%d requests wait for the replica already", len(g.queue))
	}
	w := &waiter{
		exclusive: exclusive,
		ready:     make(chan struct{}),
	}
	if front {
		g.queue = slices.Insert(g.queue, 0, w)
	} else {
		g.queue = append(g.queue, w)
	}
	g.advance(slots)
	return w, nil
}

func (g *Semaphore) fits(slots int, exclusive bool) bool {
	if g.alone || g.running >= slots {
		return false
	}
	return !exclusive || g.running == 0
}

func (g *Semaphore) admit(exclusive bool) {
	g.running++
	g.alone = exclusive
}

// advance admits from the head of the queue. An exclusive request at the head holds back those behind it, or it would starve.
func (g *Semaphore) advance(slots int) {
	for len(g.queue) > 0 && g.fits(slots, g.queue[0].exclusive) {
		w := g.queue[0]
		g.queue = slices.Delete(g.queue, 0, 1)
		g.admit(w.exclusive)
		close(w.ready)
	}
}

func (g *Semaphore) refuse(err error) {
	for _, w := range g.queue {
		w.err = err
		close(w.ready)
	}
	g.queue = nil
}

// abandon removes a waiter and reports whether it was still in the queue.
func (g *Semaphore) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.Index(g.queue, w)
	if i < 0 {
		return false
	}
	g.queue = slices.Delete(g.queue, i, i+1)
	g.wake()
	return true
}

// Revalidate checks an admitted request against the limit of this moment, just before it is sent. If it no longer fits, its slot
// is taken back: the error is that of the limit, or nil with false when the request may wait again by Reenter.
func (g *Semaphore) Revalidate() (bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	slots, err := g.limit()
	if err == nil && g.running <= slots {
		return true, nil
	}
	g.running--
	g.alone = false
	if err != nil {
		g.refuse(err)
	}
	return false, err
}

// Release returns the slot of an admitted request.
func (g *Semaphore) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.alone = false
	g.wake()
}

// LimitChanged admits or refuses waiters after the limit has changed.
func (g *Semaphore) LimitChanged() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake()
}

func (g *Semaphore) wake() {
	if len(g.queue) == 0 {
		return
	}
	slots, err := g.limit()
	if err != nil {
		g.refuse(err)
		return
	}
	g.advance(slots)
}

// Load returns the number of running and of waiting requests.
func (g *Semaphore) Load() (running, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, len(g.queue)
}
