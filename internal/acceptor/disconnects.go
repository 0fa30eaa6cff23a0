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

// disconnectCheckPeriod is the interval between checks for callers that have closed their connection. The HTTP server does not
// read from a connection while its request runs and would detect the close only when it writes the response.
const disconnectCheckPeriod = 100 * time.Millisecond

// disconnectWatcher cancels running requests whose callers have closed their connection.
type disconnectWatcher struct {
	timer *timer.Service

	mu sync.Mutex
	// cancels maps each connection with a running request to the function that cancels the request.
	cancels map[net.Conn]context.CancelCauseFunc
	// requestStarted receives a value when a request starts while no other request is running.
	requestStarted chan struct{}
}

func newDisconnectWatcher(t *timer.Service) *disconnectWatcher {
	return &disconnectWatcher{
		timer:          t,
		cancels:        map[net.Conn]context.CancelCauseFunc{},
		requestStarted: make(chan struct{}, 1),
	}
}

// watch calls cancel when the peer closes the connection. The returned function ends the watch.
func (w *disconnectWatcher) watch(conn net.Conn, cancel context.CancelCauseFunc) (stop func()) {
	w.mu.Lock()
	if len(w.cancels) == 0 {
		select {
		case w.requestStarted <- struct{}{}:
		default:
		}
	}
	w.cancels[conn] = cancel
	w.mu.Unlock()
	return func() {
		w.mu.Lock()
		delete(w.cancels, conn)
		w.mu.Unlock()
	}
}

// run checks the connections until ctx is done.
func (w *disconnectWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-w.requestStarted:
		}
		w.timer.Sleep(ctx, disconnectCheckPeriod)
		for w.cancelDisconnected() && ctx.Err() == nil {
			w.timer.Sleep(ctx, disconnectCheckPeriod)
		}
	}
}

// cancelDisconnected cancels the requests of closed connections and reports whether any connection is watched.
func (w *disconnectWatcher) cancelDisconnected() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn, cancel := range w.cancels {
		if closedByPeer(conn) {
			cancel(nil)
		}
	}
	return len(w.cancels) > 0
}

// cancelAll cancels all running requests for the given cause and returns their number.
func (w *disconnectWatcher) cancelAll(cause error) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, cancel := range w.cancels {
		cancel(cause)
	}
	return len(w.cancels)
}

// closedByPeer reports whether the peer has closed the connection. Unread bytes of a further request do not count as a close.
func closedByPeer(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
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
