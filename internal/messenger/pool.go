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

// Bounds of a pool.
const (
	// ConnectionsPerAddress carry the calls to one VM. net/rpc interleaves calls on a connection, so a few suffice; the second one
	// keeps small calls from waiting behind a large message.
	ConnectionsPerAddress = 2
	// MaxAddresses bounds the map of addresses. The largest deployment has 780 entry VMs.
	MaxAddresses = 4096
	// DialTimeout bounds the opening of a connection; the greatest round trip between regions is about 40 ms.
	DialTimeout = time.Second
	// BackoffMin and BackoffMax bound the time without a new dial after a failed one.
	BackoffMin = 50 * time.Millisecond
	BackoffMax = time.Second
	// IdleTimeout closes connections without calls.
	IdleTimeout = time.Minute
	// silence retires a connection on which a call timed out when nothing was received for so long, because a broken path is
	// otherwise noticed only by the kernel's keep-alive.
	silence = time.Second
)

var errBackoff = errors.New("the last dial failed a moment ago")

// Pool is a Client that keeps a few connections per address.
type Pool struct {
	// LocalAddr is the address from which connections are opened. It is set before the first call; the zero value lets the system
	// choose.
	LocalAddr netip.Addr
	// Traffic counts the bytes of all connections.
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

// peer holds the connections to one address. Pool.mu guards its fields.
type peer struct {
	conns   []*clientConn
	dialing int
	backoff time.Duration
	// blocked is the time until which no dial is tried.
	blocked time.Time
	// lastUse is the time of the last call.
	lastUse time.Time
	// dialed is closed and replaced after each dial.
	dialed chan struct{}
}

type clientConn struct {
	client *rpc.Client
	codec  *clientCodec
	// calls and retired are guarded by Pool.mu.
	calls    int
	retired  bool
	lastUsed time.Time
}

// NewPool returns an empty pool. Close ends it.
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

// Call implements Client. It does not modify args; reply is written only when the call succeeds.
func (p *Pool) Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	for attempt := 1; ; attempt++ {
		sent, err := p.callOnce(ctx, addr, method, args, reply)
		// A connection that broke while it was idle is replaced at once.
		if err == nil || sent || attempt > ConnectionsPerAddress {
			return err
		}
	}
}

// callOnce makes a call on one connection. It reports whether the outcome is final: false stands for a connection that had
// ended before the call was written.
func (p *Pool) callOnce(ctx context.Context, addr netip.AddrPort, method string, args, reply any) (bool, error) {
	conn, err := p.take(ctx, addr, method == MethodHeartbeat)
	if err != nil {
		return true, err
	}
	started := time.Now()
	out := &outgoing{
		body: copyOf(args),
	}
	in := emptyLike(reply)
	call := conn.client.Go(method, out, in, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		p.give(addr, conn, call.Error != nil && !isServerError(call.Error))
		if call.Error != nil {
			return out.started, mapError(call.Error, out.started, method, addr)
		}
		assign(reply, in)
		return true, nil
	case <-ctx.Done():
		p.give(addr, conn, conn.codec.silentSince(started))
		return true, classifier.Errorf(classifier.Timeout, "the call of %s at %s was not answered in time: %w", method, addr, ctx.Err())
	}
}

// Close ends all connections. Running calls fail.
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

// take returns a connection with one call added. An urgent call dials although the last dial failed a moment ago: heartbeats
// tell an ended process by a fresh refusal, and the failed dials of searches would else keep them from dialing.
func (p *Pool) take(ctx context.Context, addr netip.AddrPort, urgent bool) (*clientConn, error) {
	for {
		conn, wait, err := p.pick(addr, urgent)
		switch {
		case err != nil:
			return nil, classifier.Errorf(classifier.NotSent, "the VM at %s was not called: %w", addr, err)
		case conn != nil:
			return conn, nil
		case wait == nil:
			return p.dial(ctx, addr)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, classifier.Errorf(classifier.NotSent, "no connection to %s in time: %w", addr, ctx.Err())
		}
	}
}

// pick returns a connection, a channel to wait on, an error, or nothing, in which case the caller dials.
func (p *Pool) pick(addr netip.AddrPort, urgent bool) (*clientConn, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, net.ErrClosed
	}
	now := time.Now()
	pr := p.peers[addr]
	if pr == nil {
		if len(p.peers) >= MaxAddresses {
			return nil, nil, errors.New("the pool holds the greatest number of addresses")
		}
		pr = &peer{
			dialed: make(chan struct{}),
		}
		p.peers[addr] = pr
	}
	pr.lastUse = now
	best := pr.leastBusy()
	full := len(pr.conns)+pr.dialing >= ConnectionsPerAddress
	blocked := now.Before(pr.blocked) && !urgent
	if best != nil && (best.calls == 0 || full || blocked) {
		best.calls++
		best.lastUsed = now
		return best, nil, nil
	}
	switch {
	case full:
		return nil, pr.dialed, nil
	case blocked:
		// The error does not wrap the earlier refusal: another process may listen at the address by now.
		return nil, nil, errBackoff
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

// dial opens a connection for which pick has reserved a place.
func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (*clientConn, error) {
	dialer := net.Dialer{
		Timeout: DialTimeout,
	}
	if p.LocalAddr.IsValid() && !p.LocalAddr.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(p.LocalAddr, 0))
	}
	raw, err := dialer.DialContext(ctx, "tcp", addr.String())
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := p.peers[addr]
	if pr == nil {
		// Close has emptied the map.
		if err == nil {
			_ = raw.Close()
		}
		return nil, classifier.Errorf(classifier.NotSent, "the pool is closed: %w", net.ErrClosed)
	}
	pr.dialing--
	close(pr.dialed)
	pr.dialed = make(chan struct{})
	if err != nil {
		// A caller that ran out of time says nothing about the address.
		if ctx.Err() == nil {
			pr.backoff = min(max(2*pr.backoff, BackoffMin), BackoffMax)
			pr.blocked = time.Now().Add(pr.backoff)
		}
		return nil, classifier.Errorf(classifier.NotSent, "no connection to %s: %w", addr, err)
	}
	pr.backoff = 0
	pr.blocked = time.Time{}
	codec := &clientCodec{
		ClientCodec: p.codec.client(&countedConn{
			Conn:    raw,
			traffic: &p.Traffic,
		}),
		recorder: p.recorder,
	}
	codec.received.Store(time.Now().UnixNano())
	conn := &clientConn{
		client:   rpc.NewClientWithCodec(codec),
		codec:    codec,
		calls:    1,
		lastUsed: time.Now(),
	}
	pr.conns = append(pr.conns, conn)
	return conn, nil
}

// give ends a call on conn. A broken connection takes no further calls and is closed after its last one.
func (p *Pool) give(addr netip.AddrPort, conn *clientConn, broken bool) {
	p.mu.Lock()
	conn.calls--
	if broken && !conn.retired {
		conn.retired = true
		if pr := p.peers[addr]; pr != nil {
			pr.remove(conn)
		}
	}
	end := conn.retired && conn.calls == 0
	p.mu.Unlock()
	if end {
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
			if c.calls == 0 && now.Sub(c.lastUsed) >= IdleTimeout {
				c.retired = true
				pr.remove(c)
				idle = append(idle, c)
			}
		}
		if len(pr.conns) == 0 && pr.dialing == 0 && now.Sub(pr.lastUse) >= IdleTimeout {
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

func mapError(err error, started bool, method string, addr netip.AddrPort) error {
	var s rpc.ServerError
	switch {
	case errors.As(err, &s):
		return classifier.ParseError(string(s))
	case !started:
		return classifier.Errorf(classifier.NotSent, "the call of %s at %s was not sent: %w", method, addr, err)
	default:
		return classifier.Errorf(classifier.ConnectionReset, "the connection broke during the call of %s at %s: %w", method, addr, err)
	}
}

// outgoing is the body that net/rpc hands to clientCodec.
type outgoing struct {
	body any
	// started says that writing has begun. net/rpc writes before Go returns, so it is read without a lock.
	started bool
}

type clientCodec struct {
	rpc.ClientCodec
	recorder *recorder.Recorder
	// received is the time of the last received header in nanoseconds since the Unix epoch.
	received atomic.Int64
}

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	out := body.(*outgoing)
	out.started = true
	stampMessage(c.recorder, out.body)
	return c.ClientCodec.WriteRequest(r, out.body)
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.ClientCodec.ReadResponseHeader(r); err != nil {
		return err
	}
	c.received.Store(time.Now().UnixNano())
	return nil
}

func (c *clientCodec) ReadResponseBody(body any) error {
	if err := c.ClientCodec.ReadResponseBody(body); err != nil {
		return err
	}
	observeMessage(c.recorder, body)
	return nil
}

// silentSince reports whether nothing was received since a call started at least silence ago.
func (c *clientCodec) silentSince(started time.Time) bool {
	return time.Since(started) >= silence && c.received.Load() < started.UnixNano()
}
