package isolator

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/timer"
)

const (
	// checkTimeout limits a connection attempt to a server whose connection broke.
	checkTimeout = 300 * time.Millisecond
	// replacementWait is how long the list of servers is watched for a process that has taken the place of one that ended and was started
	// again before the first attempt. It covers a report of the server and its way to this VM.
	replacementWait = 4 * time.Second
	replacementPoll = 500 * time.Millisecond
)

// recheckDelays are the times between the attempts. The second one is always made unless the first is refused, because a process that ends
// closes its listener shortly after its connections; the others only after an attempt that shows nothing.
var recheckDelays = []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second}

// Dialer opens a connection to a server and closes it again.
type Dialer interface {
	Reach(ctx context.Context, addr netip.AddrPort) error
}

// CheckerOptions are the dependencies of a Checker.
type CheckerOptions struct {
	Isolator *Isolator
	Dialer   Dialer
	// IsReplaced reports whether the list of servers has a later process at the address of the server.
	IsReplaced func(k discoverer.Key) bool
	Timer      *timer.Service
	Log        zerolog.Logger
}

// Checker finds out whether a server has crashed after a connection with a running request broke, and reports crashes to an Isolator.
// Its methods are safe for concurrent use.
type Checker struct {
	o CheckerOptions
	// alive and unknown count the checks that found a listening process, or could not find out whether there is one.
	alive   atomic.Uint64
	unknown atomic.Uint64

	mu sync.Mutex
	// pending contains the requests that ran at each server that is being checked.
	pending map[discoverer.Key][]Crash
}

// NewChecker returns a Checker. It starts a goroutine for each server that is checked.
func NewChecker(o CheckerOptions) *Checker {
	return &Checker{
		o:       o,
		pending: map[discoverer.Key][]Crash{},
	}
}

// ConnectionBroke checks the server after a connection to it broke while a request ran there. It sets the server of c.
func (c *Checker) ConnectionBroke(s *discoverer.Server, crash Crash) {
	key := s.Key()
	crash.Server = key.Hash()
	c.mu.Lock()
	defer c.mu.Unlock()
	_, running := c.pending[key]
	c.pending[key] = append(c.pending[key], crash)
	if running {
		return
	}
	check := &check{
		checker: c,
		key:     key,
	}
	go check.run()
}

// Alive returns the number of servers that were found to listen after a connection with a running request broke, and Unknown the number
// of those that neither accepted nor refused a connection.
func (c *Checker) Alive() uint64 { return c.alive.Load() }

// Unknown is described at Alive.
func (c *Checker) Unknown() uint64 { return c.unknown.Load() }

// check finds out whether one server has crashed.
type check struct {
	checker *Checker
	key     discoverer.Key
}

func (ch *check) run() {
	c := ch.checker
	err := ch.dial()
	for n, delay := range recheckDelays {
		if errors.Is(err, syscall.ECONNREFUSED) || err == nil && n > 0 {
			break
		}
		c.o.Timer.Sleep(context.Background(), delay)
		err = ch.dial()
	}
	c.mu.Lock()
	crashes := c.pending[ch.key]
	delete(c.pending, ch.key)
	c.mu.Unlock()
	if !errors.Is(err, syscall.ECONNREFUSED) && !ch.isReplaced() {
		ch.reportNoCrash(crashes, err)
		return
	}
	now := c.o.Timer.Now()
	for _, crash := range crashes {
		c.o.Isolator.RecordCrash(crash, now)
	}
}

// isReplaced waits for the list of servers to show whether a process that listens at the server's address is another one.
func (ch *check) isReplaced() bool {
	c := ch.checker
	for waited := time.Duration(0); waited < replacementWait; waited += replacementPoll {
		if c.o.IsReplaced(ch.key) {
			return true
		}
		c.o.Timer.Sleep(context.Background(), replacementPoll)
	}
	return c.o.IsReplaced(ch.key)
}

// reportNoCrash reports that the server is not known to have crashed. A server that cannot be reached may still run.
func (ch *check) reportNoCrash(crashes []Crash, err error) {
	c := ch.checker
	if err == nil {
		c.alive.Add(1)
	} else {
		c.unknown.Add(1)
	}
	for _, crash := range crashes {
		c.o.Log.Info().Str("Request", crash.Request).Uint64("Key", uint64(crash.Key)).Str("Server", ch.key.ID).Bool("Listens", err == nil).Err(err).Msg("The connection to a backend server broke while a request ran, but the server is not known to have crashed.")
	}
}

// dial tries to open a connection to the server. It is refused if no process listens there.
func (ch *check) dial() error {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	return ch.checker.o.Dialer.Reach(ctx, ch.key.Address)
}
