// Package proxy is a fault-injecting TCP proxy for tests. It knows the availability zones of both ends of a connection, so
// that latency and partitions apply to pairs of zones; a proxy that knows only its listener cannot distinguish the sources.
package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// cutPoll is how often a held chunk looks whether its link is open again.
	cutPoll = 5 * time.Millisecond
	// targetPoll is how often a proxy tries a target that refused.
	targetPoll = 20 * time.Millisecond
	// maxChunks bounds the chunks in flight on one direction of a connection.
	maxChunks = 256
	chunkSize = 32 << 10
)

// Link is an ordered pair of zones, or of names that the test chose for single machines.
type Link struct {
	From string
	To   string
}

// Network holds the rules of all proxies of a test. Its methods are safe for concurrent use.
type Network struct {
	mu      sync.Mutex
	zones   map[netip.Addr]string
	latency map[Link]time.Duration
	cut     map[Link]bool
	proxies []*Proxy
}

// NewNetwork returns a network without latency and without cuts.
func NewNetwork() *Network {
	return &Network{
		zones:   map[netip.Addr]string{},
		latency: map[Link]time.Duration{},
		cut:     map[Link]bool{},
	}
}

// AssignZone says in which zone a source address lies.
func (n *Network) AssignZone(source netip.Addr, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[source] = zone
}

// SetLatency delays the bytes of both directions between two zones.
func (n *Network) SetLatency(a, b string, oneWay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency[linkOf(a, b)] = oneWay
	n.latency[linkOf(b, a)] = oneWay
}

// Partition holds all bytes between two zones until Heal. Connections stay open, as they do when packets are lost.
func (n *Network) Partition(a, b string) {
	n.setCut(a, b, true)
}

// Heal ends a cut. Held bytes are delivered.
func (n *Network) Heal(a, b string) {
	n.setCut(a, b, false)
}

func (n *Network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[linkOf(a, b)] = cut
	n.cut[linkOf(b, a)] = cut
}

func linkOf(from, to string) Link {
	return Link{
		From: from,
		To:   to,
	}
}

func (n *Network) delay(l Link) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.latency[l]
}

func (n *Network) isCut(l Link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[l]
}

func (n *Network) zoneOf(addr net.Addr) string {
	ap, err := netip.ParseAddrPort(addr.String())
	if err != nil {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.zones[ap.Addr()]
}

// StartProxy starts a proxy for a target in the named zone and returns the proxy's address.
func (n *Network) StartProxy(zone string, target netip.AddrPort) (*Proxy, error) {
	ln, err := net.Listen("tcp", netip.AddrPortFrom(target.Addr(), 0).String())
	if err != nil {
		return nil, fmt.Errorf("listening for a proxy: %w", err)
	}
	p := &Proxy{
		network:  n,
		zone:     zone,
		target:   target,
		address:  netip.MustParseAddrPort(ln.Addr().String()),
		listener: ln,
		conns:    map[net.Conn]bool{},
	}
	n.mu.Lock()
	n.proxies = append(n.proxies, p)
	n.mu.Unlock()
	go p.run()
	return p, nil
}

// Close ends all proxies.
func (n *Network) Close() {
	n.mu.Lock()
	proxies := n.proxies
	n.proxies = nil
	n.mu.Unlock()
	for _, p := range proxies {
		p.close()
	}
}

// Proxy forwards connections to one target. While the target refuses connections, the proxy refuses them too, because the
// system under test tells an ended process by that.
type Proxy struct {
	network *Network
	zone    string
	target  netip.AddrPort
	address netip.AddrPort

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	closed   bool
}

// Addr returns where the proxy listens.
func (p *Proxy) Addr() netip.AddrPort {
	return p.address
}

// ResetConnections breaks all open connections.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *Proxy) close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.mu.Unlock()
	p.ResetConnections()
}

// run accepts connections; when the listener was closed because the target refused, it waits for the target and listens again.
func (p *Proxy) run() {
	for p.awaitTarget() {
		p.serve()
	}
}

func (p *Proxy) serve() {
	for {
		p.mu.Lock()
		ln := p.listener
		p.mu.Unlock()
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s := &session{
			proxy:  p,
			source: p.network.zoneOf(c.RemoteAddr()),
			client: c,
		}
		go s.run()
	}
}

// awaitTarget returns true when the target accepts connections and the proxy listens, false once the proxy is closed.
func (p *Proxy) awaitTarget() bool {
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
		if err == nil && p.listen() {
			p.mu.Unlock()
			return true
		}
		_ = p.listener.Close()
		p.mu.Unlock()
		time.Sleep(targetPoll)
	}
}

// listen opens the listener again. The caller holds mu.
func (p *Proxy) listen() bool {
	_ = p.listener.Close()
	ln, err := net.Listen("tcp", p.address.String())
	if err != nil {
		return false
	}
	p.listener = ln
	return true
}

// suspend closes the listener because the target refused a connection.
func (p *Proxy) suspend() {
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

// session is one proxied connection.
type session struct {
	proxy  *Proxy
	source string
	client net.Conn
	server net.Conn
}

func (s *session) run() {
	p := s.proxy
	p.track(s.client, true)
	defer p.track(s.client, false)
	defer s.client.Close() //nolint:errcheck // the connection is broken already
	server, err := net.Dial("tcp", p.target.String())
	if err != nil {
		s.refuse()
		p.suspend()
		return
	}
	s.server = server
	p.track(server, true)
	defer p.track(server, false)
	defer server.Close() //nolint:errcheck // the connection is broken already
	forth := newPipe(p.network, linkOf(s.source, p.zone), s.client, server)
	back := newPipe(p.network, linkOf(p.zone, s.source), server, s.client)
	go forth.run()
	go back.run()
	<-forth.done
	<-back.done
}

// refuse resets the connection, so that the dialer sees an error at its first read or write.
func (s *session) refuse() {
	if c, ok := s.client.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
}

// chunk is a piece of data with the time at which it may be delivered.
type chunk struct {
	due  time.Time
	data []byte
}

// pipe carries one direction of a connection.
type pipe struct {
	network *Network
	link    Link
	from    net.Conn
	to      net.Conn
	chunks  chan chunk
	done    chan struct{}
}

func newPipe(n *Network, l Link, from, to net.Conn) *pipe {
	return &pipe{
		network: n,
		link:    l,
		from:    from,
		to:      to,
		chunks:  make(chan chunk, maxChunks),
		done:    make(chan struct{}),
	}
}

// run reads chunks and passes them to loop, which delivers them when they are due.
func (p *pipe) run() {
	go p.loop()
	defer close(p.chunks)
	for {
		buf := make([]byte, chunkSize)
		n, err := p.from.Read(buf)
		if n > 0 {
			p.chunks <- chunk{
				due:  time.Now().Add(p.network.delay(p.link)),
				data: buf[:n],
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *pipe) loop() {
	defer close(p.done)
	defer p.finish()
	for c := range p.chunks {
		time.Sleep(time.Until(c.due))
		for p.network.isCut(p.link) {
			time.Sleep(cutPoll)
		}
		if _, err := p.to.Write(c.data); err != nil {
			_ = p.from.Close()
			for range p.chunks { //nolint:revive // drains what the reader still sends
			}
			return
		}
	}
}

// finish passes the end of the stream on.
func (p *pipe) finish() {
	if c, ok := p.to.(*net.TCPConn); ok {
		if err := c.CloseWrite(); err == nil || errors.Is(err, io.EOF) {
			return
		}
	}
	_ = p.to.Close()
}
