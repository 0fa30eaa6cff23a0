// Package proxy implements a fault-injecting TCP proxy for tests. It determines the availability zones of both ends of a
// connection, because latency and partitions apply to pairs of zones; the address of the listener alone does not identify the
// source of a connection.
package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// partitionPollInterval is the interval at which a pipe checks whether the partition of its link has ended.
	partitionPollInterval = 5 * time.Millisecond
	// targetRetryInterval is the interval at which a proxy tries to connect to a target that has refused a connection.
	targetRetryInterval = 20 * time.Millisecond
	// maxQueuedChunks is the maximum number of undelivered chunks in one direction of a connection.
	maxQueuedChunks = 256
	maxChunkBytes   = 32 << 10
)

// Link is an ordered pair of availability zones. A test may also use a zone name of its own for a single VM.
type Link struct {
	From string
	To   string
}

// Network holds the latencies and partitions for all proxies of a test. Its methods are safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	sourceZones map[netip.Addr]string
	latency     map[Link]time.Duration
	partitioned map[Link]bool
	proxies     []*Proxy
}

// NewNetwork returns a network without latency and partitions.
func NewNetwork() *Network {
	return &Network{
		sourceZones: map[netip.Addr]string{},
		latency:     map[Link]time.Duration{},
		partitioned: map[Link]bool{},
	}
}

// AssignZone assigns a source address to a zone.
func (n *Network) AssignZone(source netip.Addr, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sourceZones[source] = zone
}

// SetLatency sets the one-way delay of data between two zones, in both directions.
func (n *Network) SetLatency(a, b string, oneWay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency[newLink(a, b)] = oneWay
	n.latency[newLink(b, a)] = oneWay
}

// Partition withholds all data between two zones, in both directions, until Heal. Connections stay open, as they do when packets
// are lost.
func (n *Network) Partition(a, b string) {
	n.setPartitioned(a, b, true)
}

// Heal ends a partition. The withheld data is delivered.
func (n *Network) Heal(a, b string) {
	n.setPartitioned(a, b, false)
}

func (n *Network) setPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[newLink(a, b)] = partitioned
	n.partitioned[newLink(b, a)] = partitioned
}

func newLink(from, to string) Link {
	return Link{
		From: from,
		To:   to,
	}
}

func (n *Network) latencyOf(l Link) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.latency[l]
}

func (n *Network) isPartitioned(l Link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[l]
}

func (n *Network) zoneOf(addr net.Addr) string {
	ap, err := netip.ParseAddrPort(addr.String())
	if err != nil {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sourceZones[ap.Addr()]
}

// StartProxy starts a proxy for a target in the given zone. The proxy listens on a free port of the target's IP address.
func (n *Network) StartProxy(zone string, target netip.AddrPort) (*Proxy, error) {
	ln, err := net.Listen("tcp", netip.AddrPortFrom(target.Addr(), 0).String())
	if err != nil {
		return nil, fmt.Errorf("opening the proxy listener: %w", err)
	}
	p := &Proxy{
		network:  n,
		zone:     zone,
		target:   target,
		address:  netip.MustParseAddrPort(ln.Addr().String()),
		listener: ln,
		conns:    map[net.Conn]bool{},
		sessions: map[*session]bool{},
	}
	n.mu.Lock()
	n.proxies = append(n.proxies, p)
	n.mu.Unlock()
	go p.run()
	return p, nil
}

// Close closes all proxies and their connections.
func (n *Network) Close() {
	n.mu.Lock()
	proxies := n.proxies
	n.proxies = nil
	n.mu.Unlock()
	for _, p := range proxies {
		p.close()
	}
}

// Proxy forwards connections to one target. While the target refuses connections, the proxy refuses them too, because the system
// under test detects by a refused connection that a process has ended.
type Proxy struct {
	network *Network
	zone    string
	target  netip.AddrPort
	address netip.AddrPort

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	closed   bool
	// sessions contains the open connections.
	sessions map[*session]bool
}

// Addr returns the listen address of the proxy, which does not change when the listener is reopened.
func (p *Proxy) Addr() netip.AddrPort {
	return p.address
}

// ResetConnections closes all open connections on both sides of the proxy.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// SilenceConnections makes the proxy discard all further data of the open connections without closing them. New connections work.
func (p *Proxy) SilenceConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		s.silent.Store(true)
	}
}

func (p *Proxy) close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.mu.Unlock()
	p.ResetConnections()
}

// run accepts connections until the proxy is closed. When the listener was closed because the target refused a connection, run
// waits for the target and reopens the listener.
func (p *Proxy) run() {
	for p.waitForTarget() {
		p.acceptConnections()
	}
}

func (p *Proxy) acceptConnections() {
	for {
		p.mu.Lock()
		ln := p.listener
		p.mu.Unlock()
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s := &session{
			proxy:      p,
			sourceZone: p.network.zoneOf(c.RemoteAddr()),
			client:     c,
		}
		go s.run()
	}
}

// waitForTarget waits until the target accepts connections and the proxy listens. It returns false if the proxy is closed.
func (p *Proxy) waitForTarget() bool {
	for {
		c, err := net.Dial("tcp", p.target.String())
		if err == nil {
			_ = c.Close()
		}
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return false
		}
		if err == nil && p.reopenListener() {
			p.mu.Unlock()
			return true
		}
		_ = p.listener.Close()
		p.mu.Unlock()
		time.Sleep(targetRetryInterval)
	}
}

// reopenListener replaces the listener with a new one on the same address and reports whether it succeeded. The caller holds
// p.mu.
func (p *Proxy) reopenListener() bool {
	_ = p.listener.Close()
	ln, err := net.Listen("tcp", p.address.String())
	if err != nil {
		return false
	}
	p.listener = ln
	return true
}

// closeListener closes the listener after the target refused a connection. It makes run wait for the target.
func (p *Proxy) closeListener() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
}

func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

// session is a proxied connection.
type session struct {
	proxy      *Proxy
	sourceZone string
	client     net.Conn
	server     net.Conn
	// silent is set if the data of both directions is discarded.
	silent atomic.Bool
}

func (p *Proxy) trackSession(s *session, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.sessions[s] = true
	} else {
		delete(p.sessions, s)
	}
}

func (s *session) run() {
	p := s.proxy
	p.track(s.client, true)
	defer p.track(s.client, false)
	p.trackSession(s, true)
	defer p.trackSession(s, false)
	defer s.client.Close() //nolint:errcheck // the connection has already ended
	server, err := net.Dial("tcp", p.target.String())
	if err != nil {
		s.resetOnClose()
		p.closeListener()
		return
	}
	s.server = server
	p.track(server, true)
	defer p.track(server, false)
	defer server.Close() //nolint:errcheck // the connection has already ended
	toServer := newPipe(p.network, &s.silent, newLink(s.sourceZone, p.zone), s.client, server)
	toClient := newPipe(p.network, &s.silent, newLink(p.zone, s.sourceZone), server, s.client)
	go toServer.run()
	go toClient.run()
	<-toServer.done
	<-toClient.done
}

// resetOnClose makes the client connection end with a TCP reset when it is closed, so that the first read or write of the client
// fails.
func (s *session) resetOnClose() {
	if c, ok := s.client.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
}

// chunk is a piece of data and the earliest time of its delivery.
type chunk struct {
	deliverAt time.Time
	data      []byte
}

// pipe forwards one direction of a connection.
type pipe struct {
	network *Network
	silent  *atomic.Bool
	link    Link
	src     net.Conn
	dst     net.Conn
	chunks  chan chunk
	done    chan struct{}
}

func newPipe(n *Network, silent *atomic.Bool, l Link, src, dst net.Conn) *pipe {
	return &pipe{
		network: n,
		silent:  silent,
		link:    l,
		src:     src,
		dst:     dst,
		chunks:  make(chan chunk, maxQueuedChunks),
		done:    make(chan struct{}),
	}
}

// run reads chunks and queues them for loop, which writes each at its delivery time.
func (p *pipe) run() {
	go p.loop()
	defer close(p.chunks)
	for {
		buf := make([]byte, maxChunkBytes)
		n, err := p.src.Read(buf)
		if n > 0 {
			p.chunks <- chunk{
				deliverAt: time.Now().Add(p.network.latencyOf(p.link)),
				data:      buf[:n],
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *pipe) loop() {
	defer close(p.done)
	defer p.closeWrite()
	for c := range p.chunks {
		time.Sleep(time.Until(c.deliverAt))
		for p.network.isPartitioned(p.link) {
			time.Sleep(partitionPollInterval)
		}
		if p.silent.Load() {
			continue
		}
		if _, err := p.dst.Write(c.data); err != nil {
			_ = p.src.Close()
			for range p.chunks { //nolint:revive // discards the chunks that run still queues
			}
			return
		}
	}
}

// closeWrite propagates the end of the stream to dst.
func (p *pipe) closeWrite() {
	if c, ok := p.dst.(*net.TCPConn); ok {
		if err := c.CloseWrite(); err == nil || errors.Is(err, io.EOF) {
			return
		}
	}
	_ = p.dst.Close()
}
