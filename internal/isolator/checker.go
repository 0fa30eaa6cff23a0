package isolator

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// checkTimeout limits a connection attempt to a server whose connection broke.
	checkTimeout = 300 * time.Millisecond
	// recheckDelay is the time until the second attempt. A process that ends closes its listener shortly after its connections.
	recheckDelay = 100 * time.Millisecond
)

// Dialer opens a connection to a server and closes it again.
type Dialer interface {
	Reach(ctx context.Context, addr netip.AddrPort) error
}

// Checker finds out whether a server has crashed after a connection with a running request broke, and reports crashes to an Isolator.
// Its methods are safe for concurrent use.
type Checker struct {
	isolator *Isolator
	dialer   Dialer
	timer    *timer.Service

	mu sync.Mutex
	// pending contains the requests that ran at each server that is being checked.
	pending map[discoverer.Key][]Crash
}

// NewChecker returns a Checker. It starts a goroutine for each server that is checked.
func NewChecker(i *Isolator, d Dialer, t *timer.Service) *Checker {
	return &Checker{
		isolator: i,
		dialer:   d,
		timer:    t,
		pending:  map[discoverer.Key][]Crash{},
	}
}

// ConnectionBroke records that the connection to a server broke at a time while a request with the key ran there since began.
func (c *Checker) ConnectionBroke(s *discoverer.Server, k Key, began, at time.Time) {
	key := s.Key()
	c.mu.Lock()
	defer c.mu.Unlock()
	_, running := c.pending[key]
	c.pending[key] = append(c.pending[key], Crash{
		Key:    k,
		Server: key.Hash(),
		Began:  began,
		At:     at,
	})
	if running {
		return
	}
	check := &check{
		checker: c,
		key:     key,
	}
	go check.run()
}

// check finds out whether one server has crashed.
type check struct {
	checker *Checker
	key     discoverer.Key
}

func (ch *check) run() {
	c := ch.checker
	crashed := ch.refused()
	if !crashed {
		c.timer.Sleep(context.Background(), recheckDelay)
		crashed = ch.refused()
	}
	c.mu.Lock()
	crashes := c.pending[ch.key]
	delete(c.pending, ch.key)
	c.mu.Unlock()
	if !crashed {
		return
	}
	now := c.timer.Now()
	for _, crash := range crashes {
		c.isolator.RecordCrash(crash, now)
	}
}

// refused reports whether no process listens at the server's address. A server that cannot be reached for another reason may still run.
func (ch *check) refused() bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	return errors.Is(ch.checker.dialer.Reach(ctx, ch.key.Address), syscall.ECONNREFUSED)
}
