package executor

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/limiter"
)

const (
	// IdleTimeout is how long an unused connection stays open.
	IdleTimeout = 15 * time.Second
	// MaxOperationConnIdle is the longest time that a connection may have been idle to carry an operation. After a longer time
	// the server may have closed it undetected, and the operation would end with an unknown outcome.
	MaxOperationConnIdle = 250 * time.Millisecond
	// MaxCanaryConnIdle is the longest time that a connection may have been idle for its break to count as a crash caused by the
	// request. After a longer time the server may have crashed before the request was sent. It is longer than PollInterval, so
	// that the polls keep one connection recent enough.
	MaxCanaryConnIdle = 1500 * time.Millisecond
)

// pooledConn is one connection to a backend server with its state in the pool.
type pooledConn struct {
	conn connector.Conn
	addr netip.AddrPort
	// epoch is the epoch of the replica when the connection was opened or the server last reported its incarnation on it.
	epoch uint64
	// usedAt is when the connection was last returned to the pool, or zero for a new connection.
	usedAt time.Time
}

// pool is the connection pool of one replica.
type pool struct {
	replica *replica

	mu sync.Mutex
	// open counts the connections that are idle, in use, used for a poll or a crash check, or being opened. A connection counts
	// until Close has returned.
	open int
	// idle contains the unused connections, ordered by usedAt.
	idle []*pooledConn
	// freed is closed when a connection has been returned or closed. It is nil while nobody waits.
	freed chan struct{}
	// closed is set when this VM has released the replica.
	closed bool
}

func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// closeIfUnused closes the pool if no connection is open, and reports whether it did. A closed pool opens no more connections.
func (p *pool) closeIfUnused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open > 0 {
		return false
	}
	p.closed = true
	return true
}

// take returns an idle connection, opens one if the limit allows it, or waits for one. With a maxIdle above 0, it returns an idle
// connection only if it has been idle for at most maxIdle. The errors are those of currentLimits, NotSent when no connection
// could be opened, and ExpiredInQueue when the context ended first.
func (p *pool) take(ctx context.Context, maxIdle time.Duration) (*pooledConn, error) {
	for {
		now := p.replica.executor.timer.Now()
		lim, err := p.replica.currentLimits(now)
		if err != nil {
			return nil, err
		}
		pc, stale, freed, err := p.reserve(now, lim, maxIdle)
		switch {
		case err != nil:
			return nil, err
		case pc != nil && pc.conn.Usable():
			return pc, nil
		case pc != nil:
			p.discard(pc)
		case stale != nil:
			p.discard(stale)
		case freed == nil:
			return p.dial(ctx, lim.address)
		default:
			select {
			case <-freed:
			case <-ctx.Done():
				return nil, classifier.Errorf(classifier.ExpiredInQueue, "the request ended before a connection became available: %w", context.Cause(ctx))
			}
		}
	}
}

// reserve returns one of: an idle connection; a stale connection that the caller has to close before it tries again; a channel to
// wait on; or only nil values, in which case the caller may open a connection, which is already counted in open.
func (p *pool) reserve(now time.Time, lim replicaLimits, maxIdle time.Duration) (pc, stale *pooledConn, freed chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, nil, classifier.Errorf(classifier.NotOwner, "this VM has released replica %s", p.replica.name)
	}
	if n := len(p.idle); n > 0 {
		last := p.idle[n-1]
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
		tooOld := maxIdle > 0 && now.Sub(last.usedAt) > maxIdle
		if p.open > lim.connections || last.addr != lim.address || tooOld {
			return nil, last, nil, nil
		}
		return last, nil, nil, nil
	}
	if p.open < lim.connections {
		p.open++
		return nil, nil, nil, nil
	}
	if p.freed == nil {
		p.freed = make(chan struct{})
	}
	return nil, nil, p.freed, nil
}

// dial opens a connection that reserve has already counted, and subtracts it again when that fails.
func (p *pool) dial(ctx context.Context, addr netip.AddrPort) (*pooledConn, error) {
	p.replica.mu.Lock()
	epoch := p.replica.epoch
	p.replica.mu.Unlock()
	conn, err := p.replica.executor.backend.Dial(ctx, addr)
	if err == nil {
		return &pooledConn{
			conn:  conn,
			addr:  addr,
			epoch: epoch,
		}, nil
	}
	p.decrementOpen()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		p.replica.observe(limiter.ConnectionRefused{})
	case ctx.Err() == nil:
		p.replica.observe(limiter.Unreachable{})
	}
	return nil, classifier.Errorf(classifier.NotSent, "could not connect to backend server %s: %w", p.replica.name, err)
}

// put returns a connection to the pool, or closes it if it is broken, belongs to an earlier epoch or exceeds the limit.
func (p *pool) put(pc *pooledConn, now time.Time) {
	lim, err := p.replica.currentLimits(now)
	p.replica.mu.Lock()
	current := pc.epoch == p.replica.epoch
	p.replica.mu.Unlock()
	if err != nil || !current || !pc.conn.Usable() {
		p.discard(pc)
		return
	}
	pc.usedAt = now
	p.mu.Lock()
	keep := p.open <= lim.connections
	if keep {
		p.idle = append(p.idle, pc)
		p.notifyWaiters()
	}
	p.mu.Unlock()
	if !keep {
		p.discard(pc)
	}
}

// discard closes a connection that is not in the idle list.
func (p *pool) discard(pc *pooledConn) {
	_ = pc.conn.Close()
	p.decrementOpen()
}

func (p *pool) decrementOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.notifyWaiters()
}

func (p *pool) notifyWaiters() {
	if p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
}

// prune closes idle connections that have been unused for longer than IdleTimeout, are not current, or exceed the limit.
func (p *pool) prune(now time.Time, limit int, current func(*pooledConn) bool) {
	p.mu.Lock()
	excess := p.open - limit
	var closing []*pooledConn
	kept := p.idle[:0]
	for _, pc := range p.idle {
		if excess > 0 || now.Sub(pc.usedAt) > IdleTimeout || !current(pc) {
			closing = append(closing, pc)
			excess--
			continue
		}
		kept = append(kept, pc)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, pc := range closing {
		p.discard(pc)
	}
}
