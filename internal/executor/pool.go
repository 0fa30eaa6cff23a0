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
	// MaxOperationConnIdle is how recently a connection must have been used to carry an operation. An older one may have been closed
	// by the server unnoticed, which would turn the operation into an unknown outcome.
	MaxOperationConnIdle = 250 * time.Millisecond
	// MaxCanaryConnIdle is how recently a connection must have been used for its break to accuse a request. An older one may belong
	// to a server that died before the request. It is above PollEvery, so the polls keep one connection trusted.
	MaxCanaryConnIdle = 1500 * time.Millisecond
)

// link is one connection to a backend server.
type link struct {
	conn connector.Conn
	addr netip.AddrPort
	// epoch is that of the replica when the connection was opened or when its incarnation was last confirmed.
	epoch  uint64
	usedAt time.Time
}

// pool holds the connections to one replica.
type pool struct {
	r *replica

	mu sync.Mutex
	// open counts idle, running, probing and half-open connections. A connection counts until Close has returned.
	open int
	// idle is ordered by usedAt.
	idle []*link
	// freed is closed when a connection was returned or closed.
	freed chan struct{}
	// closed is set when the replica was forgotten.
	closed bool
}

func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// shut makes the pool refuse connections if none is open.
func (p *pool) shut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open > 0 {
		return false
	}
	p.closed = true
	return true
}

// take returns an idle connection, or opens one when that stays within the limit, or waits for one. With a trust above
// 0, an idle connection is taken only if it was used within trust.
func (p *pool) take(ctx context.Context, trust time.Duration) (*link, error) {
	for {
		now := p.r.o.timer.Now()
		all, err := p.r.rights(now)
		if err != nil {
			return nil, err
		}
		l, stale, freed, err := p.reserve(now, all, trust)
		switch {
		case err != nil:
			return nil, err
		case l != nil && l.conn.Usable():
			return l, nil
		case l != nil:
			p.discard(l)
		case stale != nil:
			p.discard(stale)
		case freed == nil:
			return p.dial(ctx, all.address)
		default:
			select {
			case <-freed:
			case <-ctx.Done():
				return nil, classifier.Errorf(classifier.ExpiredInQueue, "no connection became free: %w", context.Cause(ctx))
			}
		}
	}
}

// reserve returns an idle connection, an idle connection to close first, a channel to wait on, or nothing when the caller
// may open a connection, which is counted already.
func (p *pool) reserve(now time.Time, all rights, trust time.Duration) (l, stale *link, freed chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, nil, classifier.Errorf(classifier.NotOwner, "this VM has released replica %s", p.r.name)
	}
	if n := len(p.idle); n > 0 {
		last := p.idle[n-1]
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
		old := trust > 0 && now.Sub(last.usedAt) > trust
		if p.open > all.connections || last.addr != all.address || old {
			return nil, last, nil, nil
		}
		return last, nil, nil, nil
	}
	if p.open < all.connections {
		p.open++
		return nil, nil, nil, nil
	}
	if p.freed == nil {
		p.freed = make(chan struct{})
	}
	return nil, nil, p.freed, nil
}

// dial opens a connection that reserve has counted.
func (p *pool) dial(ctx context.Context, addr netip.AddrPort) (*link, error) {
	p.r.mu.Lock()
	epoch := p.r.epoch
	p.r.mu.Unlock()
	conn, err := p.r.o.backend.Dial(ctx, addr)
	if err == nil {
		return &link{
			conn:  conn,
			addr:  addr,
			epoch: epoch,
		}, nil
	}
	p.release()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		p.r.observe(limiter.ConnectionRefused{})
	case ctx.Err() == nil:
		p.r.observe(limiter.Unreachable{})
	}
	return nil, classifier.Errorf(classifier.NotSent, "no connection to backend server %s: %w", p.r.name, err)
}

// put returns a connection for reuse, or closes it when it is broken, outdated or above the limit.
func (p *pool) put(l *link, now time.Time) {
	all, err := p.r.rights(now)
	p.r.mu.Lock()
	current := l.epoch == p.r.epoch
	p.r.mu.Unlock()
	if err != nil || !current || !l.conn.Usable() {
		p.discard(l)
		return
	}
	l.usedAt = now
	p.mu.Lock()
	keep := p.open <= all.connections
	if keep {
		p.idle = append(p.idle, l)
		p.signal()
	}
	p.mu.Unlock()
	if !keep {
		p.discard(l)
	}
}

// discard closes a connection that is not in the idle list.
func (p *pool) discard(l *link) {
	_ = l.conn.Close()
	p.release()
}

func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.signal()
}

func (p *pool) signal() {
	if p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
}

// prune closes idle connections that are older than IdleTimeout, not current, or above the limit.
func (p *pool) prune(now time.Time, limit int, current func(*link) bool) {
	p.mu.Lock()
	excess := p.open - limit
	var closing []*link
	kept := p.idle[:0]
	for _, l := range p.idle {
		if excess > 0 || now.Sub(l.usedAt) > IdleTimeout || !current(l) {
			closing = append(closing, l)
			excess--
			continue
		}
		kept = append(kept, l)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, l := range closing {
		p.discard(l)
	}
}
