// Package pooler implements the gateway's pool of connections to backend servers.
package pooler

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/discoverer"
)

const (
	// maxIdleTime limits the idle time of a connection if the server states a longer idle timeout or none.
	maxIdleTime = 15 * time.Second
	// idleMargin is subtracted from the idle timeout of the server, because the server starts its timer earlier than the pool.
	idleMargin = 500 * time.Millisecond
	// maxFreshIdle is the maximum idle time of a connection that is used for requests which must not run twice. The server may
	// close a connection that has been idle longer while the request is in transit, and then it is unknown whether the request
	// has run.
	maxFreshIdle = 500 * time.Millisecond
)

// Dialer opens connections.
type Dialer interface {
	DialHTTP(ctx context.Context, addr netip.AddrPort) (*connector.HTTPConn, error)
}

type idleConn struct {
	conn      *connector.HTTPConn
	idleSince time.Time
	expiresAt time.Time
}

// Pooler holds idle connections. It does not limit the number of connections in use, which is up to the caller. Its methods are
// safe for concurrent use.
type Pooler struct {
	dialer Dialer

	mu sync.Mutex
	// idle contains the connections to each server, the most recently used one last.
	idle map[discoverer.Key][]idleConn
	// opened is the number of connections opened so far.
	opened uint64
}

// New returns a Pooler that opens its connections with d.
func New(d Dialer) *Pooler {
	return &Pooler{
		dialer: d,
		idle:   map[discoverer.Key][]idleConn{},
	}
}

// Get returns the most recently used idle connection to the server, or opens a new one within dialTimeout. If freshOnly is set,
// an idle connection is reused only if it was used within maxFreshIdle.
func (p *Pooler) Get(ctx context.Context, s *discoverer.Server, freshOnly bool, dialTimeout time.Duration, now time.Time) (conn *connector.HTTPConn, reused bool, err error) {
	if c := p.takeIdle(s.Key(), freshOnly, now); c != nil {
		return c, true, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := p.open(dialCtx, s.Address)
	return c, false, err
}

// open opens a connection and counts it.
func (p *Pooler) open(ctx context.Context, addr netip.AddrPort) (*connector.HTTPConn, error) {
	c, err := p.dialer.DialHTTP(ctx, addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return c, nil
}

// Reach opens a connection to the address and closes it again. The error wraps that of the operating system.
func (p *Pooler) Reach(ctx context.Context, addr netip.AddrPort) error {
	c, err := p.open(ctx, addr)
	if err != nil {
		return err
	}
	return c.Close()
}

func (p *Pooler) takeIdle(k discoverer.Key, freshOnly bool, now time.Time) *connector.HTTPConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[k]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[k] = list
		if freshOnly && now.Sub(c.idleSince) > maxFreshIdle {
			// The connection is closed because a new one replaces it, so that the number of connections stays the same.
			_ = c.conn.Close()
			return nil
		}
		if now.Before(c.expiresAt) && c.conn.Usable() {
			return c.conn
		}
		_ = c.conn.Close()
	}
	return nil
}

// Put returns a connection to the pool if it is still usable, and closes it otherwise. idleTimeout is the idle timeout of the
// server, or 0 if the server does not state it.
func (p *Pooler) Put(s *discoverer.Server, conn *connector.HTTPConn, idleTimeout time.Duration, now time.Time) {
	if !conn.Usable() {
		_ = conn.Close()
		return
	}
	idleTime := maxIdleTime
	if idleTimeout > 0 {
		idleTime = min(idleTime, max(0, idleTimeout-idleMargin))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	k := s.Key()
	p.idle[k] = append(p.idle[k], idleConn{
		conn:      conn,
		idleSince: now,
		expiresAt: now.Add(idleTime),
	})
}

// Trim closes expired connections and the connections to servers for which keep returns false.
func (p *Pooler) Trim(now time.Time, keep func(discoverer.Key) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(k) && now.Before(c.expiresAt) {
				kept = append(kept, c)
				continue
			}
			_ = c.conn.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, k)
			continue
		}
		p.idle[k] = kept
	}
}

// Opened returns the number of connections opened so far.
func (p *Pooler) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}
