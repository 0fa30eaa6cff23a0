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
	// CrashCheckTimeout bounds the check whether a server with a broken connection has crashed.
	CrashCheckTimeout = 500 * time.Millisecond
	// inquiryPause is the time between the attempts of a check. A dying process may still accept connections for a moment,
	// since the system closes its sockets in any order.
	inquiryPause = 20 * time.Millisecond
	// MaxCrashFingerprints bounds the fingerprints whose crashes this VM counts; the oldest is dropped.
	MaxCrashFingerprints = 4096
	// CrashRetention is how long this VM remembers a crash by itself, besides what gossip tells it.
	CrashRetention = time.Hour
)

// inquiry is a check whether a server has crashed, which all runs with broken connections share.
type inquiry struct {
	done chan struct{}
	// crashed may be read after done is closed.
	crashed bool
}

// broke closes a connection that broke while a run was on it, and reports whether the server crashed.
func (r *replica) broke(l *link, e *run) bool {
	e.broken.Store(true)
	_ = l.conn.Close()
	r.mu.Lock()
	if e.epoch < r.epoch {
		suspects := r.suspectsLocked()
		r.mu.Unlock()
		r.pool.release()
		r.o.accuse(r.name, suspects)
		return true
	}
	q := r.inquiry
	if q != nil {
		r.mu.Unlock()
		r.pool.release()
		<-q.done
		return q.crashed
	}
	q = &inquiry{
		done: make(chan struct{}),
	}
	r.inquiry = q
	known := r.incarnation
	r.mu.Unlock()

	q.crashed = r.inquire(l, known)
	if q.crashed {
		r.crash()
	}
	r.mu.Lock()
	r.inquiry = nil
	r.mu.Unlock()
	close(q.done)
	return q.crashed
}

// inquire dials again in the place of the broken connection. The server has crashed when it refuses or is another process.
func (r *replica) inquire(l *link, known string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), CrashCheckTimeout)
	defer cancel()
	for ctx.Err() == nil {
		conn, err := r.o.backend.Dial(ctx, l.addr)
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.pool.release()
			return true
		}
		if err == nil {
			status, err := conn.Status(ctx)
			if err == nil {
				return r.compare(&link{
					conn:  conn,
					addr:  l.addr,
					epoch: l.epoch,
				}, known, status.Report.Incarnation)
			}
			_ = conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(inquiryPause):
		}
	}
	r.pool.release()
	r.observe(limiter.Unreachable{})
	return false
}

// compare reports whether the process behind a new connection is another one than the known one.
func (r *replica) compare(l *link, known, now string) bool {
	if known != "" && now != "" && now != known {
		r.pool.discard(l)
		return true
	}
	r.pool.put(l, r.o.timer.Now())
	r.observe(limiter.RequestFailed{})
	return false
}

// crash ends the epoch of the server process, suspects all that ran on it and marks the replica Down.
func (r *replica) crash() {
	r.mu.Lock()
	r.epoch++
	r.incarnation = ""
	r.held = nil
	suspects := r.suspectsLocked()
	r.mu.Unlock()
	r.o.accuse(r.name, suspects)
	r.closeIdle(0)
	r.observe(limiter.Crashed{})
}

// suspectsLocked returns the fingerprints of the runs of earlier epochs, each run once and each fingerprint once. The value
// says whether the request was untried.
func (r *replica) suspectsLocked() map[uint64]bool {
	suspects := map[uint64]bool{}
	for e := range r.active {
		if e.counted || e.doubtful || e.epoch >= r.epoch {
			continue
		}
		e.counted = true
		suspects[e.fingerprint] = suspects[e.fingerprint] || e.untried
	}
	return suspects
}

// crashCount is the number of crashes with one fingerprint that this VM has seen.
type crashCount struct {
	crashes int
	at      time.Time
	// until is the end of the pause.
	until time.Time
}

type crashTable struct {
	// size is the number of counts. It spares requests the lock while there is none.
	size atomic.Int64
	mu   sync.Mutex
	// counts has at most MaxSuspects entries.
	counts map[uint64]*crashCount
}

func (t *crashTable) add(fingerprint uint64, now time.Time, pause time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts[fingerprint]
	if c == nil || now.Sub(c.at) > CrashRetention {
		c = &crashCount{}
		t.counts[fingerprint] = c
	}
	c.crashes++
	c.at = now
	c.until = now.Add(pause)
	if len(t.counts) > MaxCrashFingerprints {
		t.dropOldest()
	}
	t.size.Store(int64(len(t.counts)))
	return c.crashes
}

func (t *crashTable) dropOldest() {
	var oldest uint64
	var at time.Time
	for f, c := range t.counts {
		if at.IsZero() || c.at.Before(at) {
			oldest, at = f, c.at
		}
	}
	delete(t.counts, oldest)
}

// read returns the crashes with a fingerprint, and whether it is paused.
func (t *crashTable) read(fingerprint uint64, now time.Time) (crashes int, paused bool) {
	if t.size.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts[fingerprint]
	if c == nil || now.Sub(c.at) > CrashRetention {
		return 0, false
	}
	return c.crashes, now.Before(c.until)
}

func (t *crashTable) clear(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.counts, fingerprint)
	t.size.Store(int64(len(t.counts)))
}

// checkQuarantine refuses convicted fingerprints, and paused ones unless equal requests have succeeded at the entry VM, and reports
// whether the fingerprint is a suspect. This VM's own count is ahead of gossip.
func (o *Executor) checkQuarantine(fingerprint uint64, succeeded bool) (suspect bool, err error) {
	now := o.timer.Now()
	q := o.board.Quarantine.Read()
	n, paused := o.crashes.read(fingerprint, now)
	n = max(n, q.Crashes[fingerprint])
	paused = !succeeded && (paused || q.InCooldown(fingerprint, now))
	if n >= blackboard.CrashLimit || paused {
		return true, classifier.Errorf(classifier.Quarantined, "equal requests crashed backend servers %d times", n)
	}
	return n > 0, nil
}

// accuse counts a crash for each fingerprint and publishes the counts.
func (o *Executor) accuse(replica string, fingerprints map[uint64]bool) {
	now := o.timer.Now()
	for f, untried := range fingerprints {
		pause := time.Duration(0)
		if untried {
			pause = blackboard.CrashCooldown
		}
		n := o.crashes.add(f, now, pause)
		o.publishCrashes(f, n, untried)
		o.log.Warn().Str("Replica", replica).Str("Fingerprint", fmt.Sprintf("%016x", f)).Int("Crashes", n).Msg("A backend server crashed while the request ran.")
		o.recorder.Record(partName, "Crash", replica, fmt.Sprintf("fingerprint %016x, crash %d seen by this VM", f, n))
	}
}

// acquit clears a suspect that ran alone without a crash.
func (o *Executor) acquit(fingerprint uint64) {
	o.crashes.clear(fingerprint)
	o.publishCrashes(fingerprint, 0, false)
	o.recorder.Record(partName, "SuspectCleared", fmt.Sprintf("%016x", fingerprint), "")
}

func (o *Executor) publishCrashes(fingerprint uint64, n int, untried bool) {
	err := o.publisher.Publish(messenger.RecordCrash, fmt.Sprintf("%016x/%s", fingerprint, o.self), messenger.CrashRecord{
		Fingerprint: fingerprint,
		Crashes:     n,
		Untried:     untried,
	})
	if err != nil {
		o.log.Error().Err(err).Msg("A crash record could not be published.")
	}
}
