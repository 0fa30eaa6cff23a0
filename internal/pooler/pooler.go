// Package pooler is the gateway's connection pool: it keeps connections to backend servers open between requests.
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
	// maxIdle is the age at which an unused connection is closed if the server states no time.
	maxIdle = 15 * time.Second
	// idleMargin is taken off the server's own idle timeout, which it counts from an earlier moment.
	idleMargin = 500 * time.Millisecond
	// freshFor is the longest time without use of a connection that carries requests which must not run twice. A longer unused
	// one may be closed by the server while the request is on its way, which leaves the outcome open.
	freshFor = 500 * time.Millisecond
)

// Dialer opens connections.
type Dialer interface {
	DialHTTP(ctx context.Context, addr netip.AddrPort) (*connector.HTTPConn, error)
}

// idle is a kept connection.
type idle struct {
	link  *connector.HTTPConn
	since time.Time
	until time.Time
}

// Pooler holds the idle connections. The caller bounds how many are in use. Its methods are safe for concurrent use.
type Pooler struct {
	dialer Dialer

	mu sync.Mutex
	// idle holds the connections of each server, the one that was used last at the end.
	idle map[discoverer.Key][]idle
	// opened counts the connections that were opened.
	opened uint64
}

// New returns an empty Pooler.
func New(d Dialer) *Pooler {
	return &Pooler{
		dialer: d,
		idle:   map[discoverer.Key][]idle{},
	}
}

// Get returns a connection to the server: the last used one, or a new one, whose opening takes at most limit. With once set, only a
// connection in recent use is taken.
func (p *Pooler) Get(ctx context.Context, s *discoverer.Server, once bool, limit time.Duration, now time.Time) (link *connector.HTTPConn, reused bool, err error) {
	if l := p.take(s.Key(), once, now); l != nil {
		return l, true, nil
	}
	dial, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	l, err := p.dialer.DialHTTP(dial, s.Address)
	if err != nil {
		return nil, false, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return l, false, nil
}

func (p *Pooler) take(k discoverer.Key, once bool, now time.Time) *connector.HTTPConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[k]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[k] = list
		if once && now.Sub(c.since) > freshFor {
			// The new connection takes the place of this one, so that their number stays the same.
			_ = c.link.Close()
			return nil
		}
		if now.Before(c.until) && c.link.Usable() {
			return c.link
		}
		_ = c.link.Close()
	}
	return nil
}

// Put keeps a connection for later if it is usable. The server closes it after timeout without use; 0 means that it did not say.
func (p *Pooler) Put(s *discoverer.Server, l *connector.HTTPConn, timeout time.Duration, now time.Time) {
	if !l.Usable() {
		_ = l.Close()
		return
	}
	keep := maxIdle
	if timeout > 0 {
		keep = min(keep, max(0, timeout-idleMargin))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	k := s.Key()
	p.idle[k] = append(p.idle[k], idle{
		link:  l,
		since: now,
		until: now.Add(keep),
	})
}

// Trim closes the connections whose time is over and those of servers that keep denies.
func (p *Pooler) Trim(now time.Time, keep func(discoverer.Key) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(k) && now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			_ = c.link.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, k)
			continue
		}
		p.idle[k] = kept
	}
}

// Opened returns how many connections were opened.
func (p *Pooler) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}
