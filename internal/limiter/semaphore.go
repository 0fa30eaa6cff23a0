package limiter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/classifier"
)

// MaxQueueLength is the greatest number of requests that wait for one replica. At 6 slots and 20 ms per request the last of 64
// requests waits about 200 ms. That exceeds the deadlines that callers use, so a longer queue would only hold requests that
// expire.
const MaxQueueLength = 64

// maxWaitDivisor limits the wait of a request to 1/maxWaitDivisor of its remaining time. After a longer wait the answer would
// come too late; with the limit, the request is refused while another replica can still be tried.
const maxWaitDivisor = 3

// LimitFunc returns the number of requests that may run now, or the error with which all waiting requests are refused. It is
// called with the semaphore locked, so it must neither block nor call the semaphore.
type LimitFunc func() (int, error)

// Semaphore admits requests to one replica in the order of their arrival. Its methods are safe for concurrent use.
type Semaphore struct {
	limit LimitFunc

	mu      sync.Mutex
	running int
	// exclusiveRunning is true while an exclusive request runs; running is 1 then.
	exclusiveRunning bool
	// queue contains at most MaxQueueLength waiters, not counting those of AcquireFirst, whose number its callers bound.
	queue []*waiter
}

type waiter struct {
	exclusive bool
	// ready is closed when the waiter has been admitted, in which case err is nil, or refused with err.
	ready chan struct{}
	err   error
}

// NewSemaphore returns a semaphore that calls limit for the number of slots at every admission.
func NewSemaphore(limit LimitFunc) *Semaphore {
	return &Semaphore{
		limit: limit,
	}
}

// Acquire waits for a slot. An exclusive request is admitted when nothing else runs, and nothing else is admitted while it runs.
// It returns the error of the LimitFunc, QueueFull when too many requests wait or the wait takes too long, or ExpiredInQueue when
// the context ends first. After a nil error the caller must call Release once, unless Revalidate has taken the slot back.
func (s *Semaphore) Acquire(ctx context.Context, exclusive bool) error {
	return s.acquire(ctx, exclusive, false)
}

// AcquireFirst is like Acquire for a request that goes to the head of the queue, whatever the length of the queue: one whose slot
// Revalidate has taken back, or one for whose outcome other requests wait.
func (s *Semaphore) AcquireFirst(ctx context.Context, exclusive bool) error {
	return s.acquire(ctx, exclusive, true)
}

func (s *Semaphore) acquire(ctx context.Context, exclusive, front bool) error {
	w, err := s.admitOrEnqueue(exclusive, front)
	if err != nil || w == nil {
		return err
	}
	timeout, stop := waitTimer(ctx, exclusive)
	defer stop()
	select {
	case <-w.ready:
		return w.err
	case <-timeout:
		if s.removeWaiter(w) {
			return classifier.Errorf(classifier.QueueFull, "the request waited too long in the queue of the replica")
		}
		<-w.ready
		return w.err
	case <-ctx.Done():
	}
	if s.removeWaiter(w) {
		return classifier.Errorf(classifier.ExpiredInQueue, "the request ended while it waited for a slot: %w", context.Cause(ctx))
	}
	if w.err == nil {
		s.Release()
	}
	return classifier.Errorf(classifier.ExpiredInQueue, "the request ended as it was admitted: %w", context.Cause(ctx))
}

// waitTimer returns a channel that receives a value when a request has waited for its part of the remaining time, and a function
// that stops the timer. An exclusive request may wait until its deadline, because it has to wait until the replica is idle.
func waitTimer(ctx context.Context, exclusive bool) (<-chan time.Time, func()) {
	deadline, ok := ctx.Deadline()
	if !ok || exclusive {
		return nil, func() {}
	}
	t := time.NewTimer(time.Until(deadline) / maxWaitDivisor)
	return t.C, func() { t.Stop() }
}

// admitOrEnqueue admits the request at once, in which case the waiter is nil, or adds it to the queue.
func (s *Semaphore) admitOrEnqueue(exclusive, front bool) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots, err := s.limit()
	if err != nil {
		s.refuseWaiters(err)
		return nil, err
	}
	if (front || len(s.queue) == 0) && s.fits(slots, exclusive) {
		s.admit(exclusive)
		return nil, nil
	}
	if !front && len(s.queue) >= MaxQueueLength {
		return nil, classifier.Errorf(classifier.QueueFull, "the queue of the replica is full: %d requests are waiting", len(s.queue))
	}
	w := &waiter{
		exclusive: exclusive,
		ready:     make(chan struct{}),
	}
	if front {
		s.queue = slices.Insert(s.queue, 0, w)
	} else {
		s.queue = append(s.queue, w)
	}
	s.admitWaiters(slots)
	return w, nil
}

func (s *Semaphore) fits(slots int, exclusive bool) bool {
	if s.exclusiveRunning || s.running >= slots {
		return false
	}
	return !exclusive || s.running == 0
}

func (s *Semaphore) admit(exclusive bool) {
	s.running++
	s.exclusiveRunning = exclusive
}

// admitWaiters admits requests from the head of the queue as long as they fit. An exclusive request at the head blocks those
// behind it, because it would starve otherwise.
func (s *Semaphore) admitWaiters(slots int) {
	for len(s.queue) > 0 && s.fits(slots, s.queue[0].exclusive) {
		w := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		s.admit(w.exclusive)
		close(w.ready)
	}
}

func (s *Semaphore) refuseWaiters(err error) {
	for _, w := range s.queue {
		w.err = err
		close(w.ready)
	}
	s.queue = nil
}

// removeWaiter removes a waiter and reports whether it was still in the queue.
func (s *Semaphore) removeWaiter(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.queue, w)
	if i < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, i, i+1)
	s.recheckWaiters()
	return true
}

// Revalidate checks an admitted request against the current limit just before the request is sent, and reports whether it still
// fits. If not, its slot is taken back. The error is that of the LimitFunc; with false and nil the request may wait again by
// AcquireFirst.
func (s *Semaphore) Revalidate() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots, err := s.limit()
	if err == nil && s.running <= slots {
		return true, nil
	}
	s.running--
	s.exclusiveRunning = false
	if err != nil {
		s.refuseWaiters(err)
	}
	return false, err
}

// Release frees the slot of an admitted request.
func (s *Semaphore) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.exclusiveRunning = false
	s.recheckWaiters()
}

// LimitChanged admits or refuses waiting requests. It must be called when the result of the LimitFunc has changed.
func (s *Semaphore) LimitChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recheckWaiters()
}

func (s *Semaphore) recheckWaiters() {
	if len(s.queue) == 0 {
		return
	}
	slots, err := s.limit()
	if err != nil {
		s.refuseWaiters(err)
		return
	}
	s.admitWaiters(slots)
}

// Load returns the number of running and of waiting requests.
func (s *Semaphore) Load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.queue)
}
