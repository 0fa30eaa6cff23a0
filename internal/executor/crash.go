package executor

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/limiter"
	"github.com/anvildyke/anvildyke/internal/messenger"
)

const (
	// CrashCheckTimeout is the maximum duration of the check whether a server with a broken connection has crashed.
	CrashCheckTimeout = 500 * time.Millisecond
	// crashCheckInterval is the time between the connection attempts of a check. A terminating process may still accept
	// connections for a moment, because the operating system closes its sockets in no particular order.
	crashCheckInterval = 20 * time.Millisecond
	// MaxCrashFingerprints is the maximum number of fingerprints whose crashes this VM counts; above it, the one with the oldest
	// crash is removed, quarantined ones last.
	MaxCrashFingerprints = 4096
	// CrashRetention is how long this VM keeps its own count of crashes with a fingerprint, which it uses in addition to the
	// counts from gossip.
	CrashRetention = time.Hour
)

// crashCheck is a running check whether a server has crashed. All requests whose connections to the server broke share it.
type crashCheck struct {
	done chan struct{}
	// crashed is the result. It may be read only after done is closed.
	crashed bool
}

// handleBrokenConn closes a connection that broke while a request ran on it, and reports whether the server crashed.
func (r *replica) handleBrokenConn(pc *pooledConn, ex *execution) bool {
	ex.connBroken.Store(true)
	_ = pc.conn.Close()
	r.mu.Lock()
	if ex.epoch < r.epoch {
		suspects := r.takeSuspectsLocked()
		r.mu.Unlock()
		r.pool.decrementOpen()
		r.executor.recordCrashes(r.name, suspects)
		return true
	}
	check := r.crashCheck
	if check != nil {
		r.mu.Unlock()
		r.pool.decrementOpen()
		<-check.done
		return check.crashed
	}
	check = &crashCheck{
		done: make(chan struct{}),
	}
	r.crashCheck = check
	incarnation := r.incarnation
	r.mu.Unlock()

	check.crashed = r.checkCrash(pc, incarnation)
	if check.crashed {
		r.handleCrash()
	}
	r.mu.Lock()
	r.crashCheck = nil
	r.mu.Unlock()
	close(check.done)
	return check.crashed
}

// checkCrash opens a connection in place of the broken one and reports whether the server crashed: it refuses the connection, or
// its incarnation has changed. Without an answer within CrashCheckTimeout the server counts as unreachable, not as crashed.
func (r *replica) checkCrash(pc *pooledConn, incarnation string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), CrashCheckTimeout)
	defer cancel()
	for ctx.Err() == nil {
		conn, err := r.executor.backend.Dial(ctx, pc.addr)
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.pool.decrementOpen()
			return true
		}
		if err == nil {
			status, err := conn.Status(ctx)
			if err == nil {
				return r.finishCrashCheck(&pooledConn{
					conn:  conn,
					addr:  pc.addr,
					epoch: pc.epoch,
				}, incarnation, status.Report.Incarnation)
			}
			_ = conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(crashCheckInterval):
		}
	}
	r.pool.decrementOpen()
	r.observe(limiter.Unreachable{})
	return false
}

// finishCrashCheck reports whether the server has been restarted, which is the case if both incarnations are known and differ. It
// keeps the new connection unless the server has been restarted.
func (r *replica) finishCrashCheck(pc *pooledConn, oldIncarnation, newIncarnation string) bool {
	if oldIncarnation != "" && newIncarnation != "" && newIncarnation != oldIncarnation {
		r.pool.discard(pc)
		return true
	}
	r.pool.put(pc, r.executor.timer.Now())
	r.observe(limiter.RequestFailed{})
	return false
}

// handleCrash starts a new epoch of the replica, counts the crash for the requests that ran in the earlier one and marks the
// replica as Down.
func (r *replica) handleCrash() {
	r.mu.Lock()
	r.epoch++
	r.incarnation = ""
	r.held = nil
	suspects := r.takeSuspectsLocked()
	r.mu.Unlock()
	r.executor.recordCrashes(r.name, suspects)
	r.closeIdle(0)
	r.observe(limiter.Crashed{})
}

// takeSuspectsLocked returns the fingerprints of the requests in flight that belong to earlier epochs. The value of a fingerprint
// is true if one of its requests ran as a canary. The requests are marked, so that the crash is counted once for each. Requests
// on a connection that had been idle for longer than MaxCanaryConnIdle are left out, because the server may have crashed before
// they were sent. The caller holds r.mu.
func (r *replica) takeSuspectsLocked() map[uint64]bool {
	suspects := map[uint64]bool{}
	for ex := range r.inFlight {
		if ex.crashCounted || ex.staleConn || ex.epoch >= r.epoch {
			continue
		}
		ex.crashCounted = true
		suspects[ex.fingerprint] = suspects[ex.fingerprint] || ex.untried
	}
	return suspects
}

// crashCount is the number of crashes with one fingerprint that this VM has detected.
type crashCount struct {
	crashes   int
	lastCrash time.Time
	// cooldownUntil is the time before which requests with the fingerprint are refused.
	cooldownUntil time.Time
}

type crashTable struct {
	// size is the number of counts. While it is 0, requests do not have to lock the mutex.
	size atomic.Int64
	mu   sync.Mutex
	// counts has at most MaxCrashFingerprints entries by fingerprint.
	counts map[uint64]*crashCount
}

func (t *crashTable) add(fingerprint uint64, now time.Time, cooldown time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts[fingerprint]
	if c == nil || now.Sub(c.lastCrash) > CrashRetention {
		c = &crashCount{}
		t.counts[fingerprint] = c
	}
	c.crashes++
	c.lastCrash = now
	c.cooldownUntil = now.Add(cooldown)
	if len(t.counts) > MaxCrashFingerprints {
		t.dropOldest()
	}
	t.size.Store(int64(len(t.counts)))
	return c.crashes
}

// dropOldest drops the count whose last crash is the oldest. Counts that quarantine a fingerprint are dropped only if there are no others.
func (t *crashTable) dropOldest() {
	var victim uint64
	var least *crashCount
	for f, c := range t.counts {
		if least == nil || c.quarantines() != least.quarantines() && least.quarantines() || c.quarantines() == least.quarantines() && c.lastCrash.Before(least.lastCrash) {
			victim, least = f, c
		}
	}
	delete(t.counts, victim)
}

func (c *crashCount) quarantines() bool {
	return c.crashes >= blackboard.CrashLimit
}

// lookup returns the number of crashes with a fingerprint, and whether its cooldown is running.
func (t *crashTable) lookup(fingerprint uint64, now time.Time) (crashes int, inCooldown bool) {
	if t.size.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts[fingerprint]
	if c == nil || now.Sub(c.lastCrash) > CrashRetention {
		return 0, false
	}
	return c.crashes, now.Before(c.cooldownUntil)
}

func (t *crashTable) clear(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.counts, fingerprint)
	t.size.Store(int64(len(t.counts)))
}

// checkQuarantine returns a Quarantined error for a fingerprint with at least blackboard.CrashLimit crashes, and for one in its
// cooldown unless equal requests have succeeded at the entry VM. It reports whether the fingerprint is a suspect, that is, has
// crashed a server. It also uses the count of this VM, which is more recent than the counts from gossip.
func (e *Executor) checkQuarantine(fingerprint uint64, succeeded bool) (suspect bool, err error) {
	now := e.timer.Now()
	q := e.board.Quarantine.Read()
	n, inCooldown := e.crashes.lookup(fingerprint, now)
	n = max(n, q.Crashes[fingerprint])
	inCooldown = !succeeded && (inCooldown || q.InCooldown(fingerprint, now))
	if n >= blackboard.CrashLimit || inCooldown {
		return true, classifier.Errorf(classifier.Quarantined, "equal requests crashed backend servers %d times", n)
	}
	return n > 0, nil
}

// recordCrashes counts one crash for each fingerprint and publishes the counts. The value of a fingerprint is true if a request
// with it ran as a canary, which starts a cooldown.
func (e *Executor) recordCrashes(replica string, fingerprints map[uint64]bool) {
	now := e.timer.Now()
	for f, untried := range fingerprints {
		cooldown := time.Duration(0)
		if untried {
			cooldown = blackboard.CrashCooldown
		}
		n := e.crashes.add(f, now, cooldown)
		e.publishCrashes(f, n, untried)
		e.log.Warn().Str("Replica", replica).Str("Fingerprint", fmt.Sprintf("%016x", f)).Int("Crashes", n).Msg("A backend server crashed while it ran a request with this fingerprint.")
		e.recorder.Record(partName, "Crash", replica, fmt.Sprintf("fingerprint %016x, crash %d seen by this VM", f, n))
	}
}

// clearSuspect resets the crash count of a fingerprint after a request with it ran alone on a replica without a crash.
func (e *Executor) clearSuspect(fingerprint uint64) {
	e.crashes.clear(fingerprint)
	e.publishCrashes(fingerprint, 0, false)
	e.recorder.Record(partName, "SuspectCleared", fmt.Sprintf("%016x", fingerprint), "")
}

func (e *Executor) publishCrashes(fingerprint uint64, n int, untried bool) {
	err := e.publisher.Publish(messenger.RecordCrash, fmt.Sprintf("%016x/%s", fingerprint, e.vmName), messenger.CrashRecord{
		Fingerprint: fingerprint,
		Crashes:     n,
		Untried:     untried,
	})
	if err != nil {
		e.log.Error().Err(err).Msg("A crash record could not be published.")
	}
}
