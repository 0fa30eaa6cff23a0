package messenger

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/recorder"
)

// Limits and timeouts of a pool.
const (
	// ConnectionsPerAddress is the maximum number of connections to one VM. net/rpc multiplexes calls on a connection, so a few
	// suffice. The second one keeps small calls from waiting behind a large message.
	ConnectionsPerAddress = 2
	// MaxAddresses is the maximum number of addresses in the pool. The largest deployment has 780 entry VMs.
	MaxAddresses = 4096
	// DialTimeout bounds the opening of a connection. The longest round trip between regions takes about 40 ms.
	DialTimeout = time.Second
	// BackoffMin and BackoffMax are the limits of the exponential backoff after a failed dial.
	BackoffMin = 50 * time.Millisecond
	BackoffMax = time.Second
	// IdleTimeout is the time without a new call after which an idle connection is closed.
	IdleTimeout = time.Minute
	// silenceThreshold is the time without a received response after which a call that times out retires its connection.
	// Otherwise, only the kernel's keep-alive would detect a broken network path.
	silenceThreshold = time.Second
)

var errDialBackoff = errors.New("dialing is in backoff after a failed dial")

// Pool is a Client that keeps up to ConnectionsPerAddress connections per address. It is safe for concurrent use.
type Pool struct {
	// LocalAddr is the local address of the connections. It must be set before the first call. The zero value leaves the choice
	// to the operating system.
	LocalAddr netip.Addr
	// Traffic counts the bytes that are sent and received on all connections.
	Traffic Traffic

	recorder *recorder.Recorder
	log      zerolog.Logger
	codec    wireCodec

	mu     sync.Mutex
	peers  map[netip.AddrPort]*peer
	closed bool
	stop   chan struct{}
}

var _ Client = (*Pool)(nil)

// peer contains the connections to one address. Pool.mu guards its fields.
type peer struct {
	conns   []*clientConn
	dialing int
	backoff time.Duration
	// blockedUntil is the end of the backoff. Only heartbeats dial before it.
	blockedUntil time.Time
	// lastCall is the start of the last call. A peer without connections is removed IdleTimeout after it.
	lastCall time.Time
	// dialDone is closed and replaced after each dial, which wakes the calls that wait for a connection.
	dialDone chan struct{}
}

type clientConn struct {
	client *rpc.Client
	codec  *clientCodec
	// calls is the number of running calls. Pool.mu guards calls, retired and lastCall.
	calls    int
	retired  bool
	lastCall time.Time
}

// NewPool returns an empty pool and starts a goroutine that closes idle connections. Close must be called to stop it.
func NewPool(r *recorder.Recorder, l logger.Logger) *Pool {
	p := &Pool{
		recorder: r,
		log:      l.Part("peerer"),
		codec:    defaultCodec,
		peers:    map[netip.AddrPort]*peer{},
		stop:     make(chan struct{}),
	}
	go p.loop()
	return p
}

// Call implements Client. It does not modify args, and writes reply only if the call succeeds.
func (p *Pool) Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	for attempt := 1; ; attempt++ {
		sent, err := p.callOnce(ctx, addr, method, args, reply)
		// The call was not written if its connection broke while it was idle, so it is repeated on another connection.
		if err == nil || sent || attempt > ConnectionsPerAddress {
			return err
		}
	}
}

// callOnce executes a call on one connection. It reports whether the outcome is final. It is not if the connection had ended
// before the call was written.
func (p *Pool) callOnce(ctx context.Context, addr netip.AddrPort, method string, args, reply any) (bool, error) {
	conn, err := p.acquire(ctx, addr, method == MethodHeartbeat)
	if err != nil {
		return true, err
	}
	started := time.Now()
	out := &outgoingBody{
		body: shallowCopy(args),
	}
	in := newLike(reply)
	call := conn.client.Go(method, out, in, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		p.release(addr, conn, call.Error != nil && !isServerError(call.Error))
		if call.Error != nil {
			return out.writeStarted, classifyError(call.Error, out.writeStarted, method, addr)
		}
		copyValue(reply, in)
		return true, nil
	case <-ctx.Done():
		p.release(addr, conn, conn.codec.silentSince(started))
		return true, classifier.Errorf(classifier.Timeout, "calling %s at %s timed out: %w", method, addr, ctx.Err())
	}
}

// Close closes all connections. Running calls fail. It always returns nil.
func (p *Pool) Close() error {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil
	}
	p.closed = true
	close(p.stop)
	var conns []*clientConn
	for _, peer := range p.peers {
		conns = append(conns, peer.conns...)
	}
	clear(p.peers)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.client.Close()
	}
	return nil
}

// acquire returns a connection with one call added to its count. With ignoreBackoff it dials even during the backoff. Heartbeats
// need this: they detect that a process has ended by a new refusal, and the backoff after failed dials of searches would
// otherwise keep them from dialing.
func (p *Pool) acquire(ctx context.Context, addr netip.AddrPort, ignoreBackoff bool) (*clientConn, error) {
	for {
		conn, wait, err := p.pick(addr, ignoreBackoff)
		switch {
		case err != nil:
			return nil, classifier.Errorf(classifier.NotSent, "calling the VM at %s failed: %w", addr, err)
		case conn != nil:
			return conn, nil
		case wait == nil:
			return p.dial(ctx, addr)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, classifier.Errorf(classifier.NotSent, "waiting for a connection to %s timed out: %w", addr, ctx.Err())
		}
	}
}

// pick returns a connection, a channel that is closed after the next dial, or an error. If all three are nil, it has reserved a
// place for a new connection and acquire must call dial.
func (p *Pool) pick(addr netip.AddrPort, ignoreBackoff bool) (*clientConn, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, net.ErrClosed
	}
	now := time.Now()
	pr := p.peers[addr]
	if pr == nil {
		if len(p.peers) >= MaxAddresses {
			return nil, nil, errors.New("the pool has reached its maximum number of addresses")
		}
		pr = &peer{
			dialDone: make(chan struct{}),
		}
		p.peers[addr] = pr
	}
	pr.lastCall = now
	best := pr.leastBusy()
	full := len(pr.conns)+pr.dialing >= ConnectionsPerAddress
	blocked := now.Before(pr.blockedUntil) && !ignoreBackoff
	if best != nil && (best.calls == 0 || full || blocked) {
		best.calls++
		best.lastCall = now
		return best, nil, nil
	}
	switch {
	case full:
		return nil, pr.dialDone, nil
	case blocked:
		// The error does not wrap the earlier refusal, because another process may be listening at the address by now.
		return nil, nil, errDialBackoff
	}
	pr.dialing++
	return nil, nil, nil
}

func (pr *peer) leastBusy() *clientConn {
	var best *clientConn
	for _, c := range pr.conns {
		if best == nil || c.calls < best.calls {
			best = c
		}
	}
	return best
}

// dial opens a connection for which pick has reserved a place, and adds one call to its count.
func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (*clientConn, error) {
	dialer := net.Dialer{
		Timeout: DialTimeout,
	}
	if p.LocalAddr.IsValid() && !p.LocalAddr.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(p.LocalAddr, 0))
	}
	netConn, err := dialer.DialContext(ctx, "tcp", addr.String())
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := p.peers[addr]
	if pr == nil {
		// Close has cleared the map while the dial was running.
		if err == nil {
			_ = netConn.Close()
		}
		return nil, classifier.Errorf(classifier.NotSent, "the pool is closed: %w", net.ErrClosed)
	}
	pr.dialing--
	close(pr.dialDone)
	pr.dialDone = make(chan struct{})
	if err != nil {
		// An expired context proves nothing about the address and starts no backoff.
		if ctx.Err() == nil {
			pr.backoff = min(max(2*pr.backoff, BackoffMin), BackoffMax)
			pr.blockedUntil = time.Now().Add(pr.backoff)
		}
		return nil, classifier.Errorf(classifier.NotSent, "dialing %s failed: %w", addr, err)
	}
	pr.backoff = 0
	pr.blockedUntil = time.Time{}
	codec := &clientCodec{
		ClientCodec: p.codec.client(&countingConn{
			Conn:    netConn,
			traffic: &p.Traffic,
		}),
		recorder: p.recorder,
	}
	codec.lastReceived.Store(time.Now().UnixNano())
	conn := &clientConn{
		client:   rpc.NewClientWithCodec(codec),
		codec:    codec,
		calls:    1,
		lastCall: time.Now(),
	}
	pr.conns = append(pr.conns, conn)
	return conn, nil
}

// release removes one call from the count of conn. A broken connection is used for no further calls and is closed after its last
// running call.
func (p *Pool) release(addr netip.AddrPort, conn *clientConn, broken bool) {
	p.mu.Lock()
	conn.calls--
	if broken && !conn.retired {
		conn.retired = true
		if pr := p.peers[addr]; pr != nil {
			pr.remove(conn)
		}
	}
	closeNow := conn.retired && conn.calls == 0
	p.mu.Unlock()
	if closeNow {
		_ = conn.client.Close()
	}
}

func (pr *peer) remove(conn *clientConn) {
	for i, c := range pr.conns {
		if c == conn {
			pr.conns = append(pr.conns[:i], pr.conns[i+1:]...)
			return
		}
	}
}

func (p *Pool) loop() {
	tick := time.NewTicker(IdleTimeout / 2)
	defer tick.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-tick.C:
			p.closeIdle(time.Now())
		}
	}
}

func (p *Pool) closeIdle(now time.Time) {
	p.mu.Lock()
	var idle []*clientConn
	for addr, pr := range p.peers {
		for i := len(pr.conns) - 1; i >= 0; i-- {
			c := pr.conns[i]
			if c.calls == 0 && now.Sub(c.lastCall) >= IdleTimeout {
				c.retired = true
				pr.remove(c)
				idle = append(idle, c)
			}
		}
		if len(pr.conns) == 0 && pr.dialing == 0 && now.Sub(pr.lastCall) >= IdleTimeout {
			delete(p.peers, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.client.Close()
	}
}

func isServerError(err error) bool {
	var s rpc.ServerError
	return errors.As(err, &s)
}

func classifyError(err error, writeStarted bool, method string, addr netip.AddrPort) error {
	var s rpc.ServerError
	switch {
	case errors.As(err, &s):
		return classifier.ParseError(string(s))
	case !writeStarted:
		return classifier.Errorf(classifier.NotSent, "sending the call of %s to %s failed: %w", method, addr, err)
	default:
		return classifier.Errorf(classifier.ConnectionReset, "connection broke while calling %s at %s: %w", method, addr, err)
	}
}

// outgoingBody is the request body that net/rpc passes to clientCodec.
type outgoingBody struct {
	body any
	// writeStarted is set when writing of the request begins. net/rpc writes before Go returns, so it is read without a lock.
	writeStarted bool
}

type clientCodec struct {
	rpc.ClientCodec
	recorder *recorder.Recorder
	// lastReceived is the time of the last received response header in nanoseconds since the Unix epoch.
	lastReceived atomic.Int64
}

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	out := body.(*outgoingBody)
	out.writeStarted = true
	stampMessage(c.recorder, out.body)
	return c.ClientCodec.WriteRequest(r, out.body)
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.ClientCodec.ReadResponseHeader(r); err != nil {
		return err
	}
	c.lastReceived.Store(time.Now().UnixNano())
	return nil
}

func (c *clientCodec) ReadResponseBody(body any) error {
	if err := c.ClientCodec.ReadResponseBody(body); err != nil {
		return err
	}
	observeMessage(c.recorder, body)
	return nil
}

// silentSince reports whether started is at least silenceThreshold ago and no response has been received since.
func (c *clientCodec) silentSince(started time.Time) bool {
	return time.Since(started) >= silenceThreshold && c.lastReceived.Load() < started.UnixNano()
}
