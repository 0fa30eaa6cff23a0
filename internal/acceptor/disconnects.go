package acceptor

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/anvildyke/anvildyke/internal/connector"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// leavePeriod is the time between two looks for callers that have closed their connection. The HTTP server reads nothing while a
// request runs and would notice only when it writes the answer.
const leavePeriod = 100 * time.Millisecond

// leaving finds callers that leave while their request runs.
type leaving struct {
	timer *timer.Service

	mu sync.Mutex
	// callers holds a function for each connection with a running request.
	callers map[net.Conn]context.CancelFunc
	// begun gets a value when a request begins while none runs.
	begun chan struct{}
}

func newLeaving(t *timer.Service) *leaving {
	return &leaving{
		timer:   t,
		callers: map[net.Conn]context.CancelFunc{},
		begun:   make(chan struct{}, 1),
	}
}

// watch calls left when the peer closes the connection, until the returned function is called.
func (l *leaving) watch(c net.Conn, left context.CancelFunc) (stop func()) {
	l.mu.Lock()
	if len(l.callers) == 0 {
		select {
		case l.begun <- struct{}{}:
		default:
		}
	}
	l.callers[c] = left
	l.mu.Unlock()
	return func() {
		l.mu.Lock()
		delete(l.callers, c)
		l.mu.Unlock()
	}
}

// Run looks at the connections until ctx ends.
func (l *leaving) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.begun:
		}
		l.timer.Sleep(ctx, leavePeriod)
		for l.check() && ctx.Err() == nil {
			l.timer.Sleep(ctx, leavePeriod)
		}
	}
}

// check looks at the connections, and reports whether there are any.
func (l *leaving) check() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, left := range l.callers {
		if closed(c) {
			left()
		}
	}
	return len(l.callers) > 0
}

// closed reports whether the peer has closed the connection. Bytes of a next request do not count.
func closed(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	err = connector.CheckIdle(raw)
	return err != nil && !errors.Is(err, connector.ErrUnexpectedData)
}
