package launcher

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/standin/backend"
	"github.com/anvildyke/anvildyke/internal/standin/corpus"
)

// Backend is a running backend server stand-in.
type Backend struct {
	*Process
	Server         parser.BackendServer
	ControlAddress netip.AddrPort
	// args start the server again at the same addresses.
	args []string
	// inProcess is set instead of Process when the server runs inside this process.
	inProcess *backend.Server
}

func (b *Backend) stop() {
	if b.inProcess != nil {
		b.inProcess.Close()
		return
	}
	b.Kill()
}

// startBackends starts the backend servers, at most maxConcurrentStarts at a time, and replaces their addresses in the set.
func (c *Cluster) startBackends() error {
	specs := c.shardSpecs()
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxConcurrentStarts)
	errs := make([]error, len(c.Set))
	for i, o := range c.Set {
		server, ok := o.(parser.BackendServer)
		if !ok {
			continue
		}
		wg.Go(func() {
			sem <- struct{}{}
			defer func() { <-sem }()
			b, err := c.startBackend(server, specs[server.Service])
			if err != nil {
				errs[i] = err
				return
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.backends[server.Name] = b
			c.Set[i] = b.Server
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// shardSpecs returns the shard of each service, by name, in the form "shard:of", where of is the number of shards.
func (c *Cluster) shardSpecs() map[string]string {
	shardCounts := map[string]int{}
	for _, o := range c.Set {
		if s, ok := o.(parser.Service); ok {
			shardCounts[s.Application]++
		}
	}
	specs := map[string]string{}
	for _, o := range c.Set {
		if s, ok := o.(parser.Service); ok {
			specs[s.Name] = fmt.Sprintf("%d:%d", s.Shard, shardCounts[s.Application])
		}
	}
	return specs
}

func (c *Cluster) startInProcessBackend(server parser.BackendServer, shardSpec string) (*Backend, error) {
	s, err := backend.Start(backend.Config{
		Address:        netip.MustParseAddrPort("127.0.0.1:0"),
		ControlAddress: netip.MustParseAddrPort("127.0.0.1:0"),
		HeldShards:     fmt.Sprintf("%d:%s", c.Snapshot, shardSpec),
		Slots:          server.Slots,
		QueueLength:    server.Slots,
		QueueTimeout:   inProcessQueueTimeout,
		MaxConnections: server.Connections,
		ConnectDelay:   server.ConnectTime,
		Switches: backend.Switches{
			ServiceTime: c.ServiceTime,
			ColdWork:    1,
			Searched:    corpus.PartsPerShard,
		},
	})
	if err != nil {
		return nil, err
	}
	server.Address = s.Addr()
	return &Backend{
		Server:         server,
		ControlAddress: s.ControlAddr(),
		inProcess:      s,
	}, nil
}

// seedOf derives a random seed from the name of a server. With a common seed, all servers that start together would delay the
// same request, which does not happen in a real deployment.
func seedOf(name string) int32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int32(h.Sum32() >> 1)
}

func (c *Cluster) startBackend(server parser.BackendServer, shardSpec string) (*Backend, error) {
	if c.InProcess {
		return c.startInProcessBackend(server, shardSpec)
	}
	b := &Backend{
		Server: server,
	}
	args := []string{
		"backend",
		fmt.Sprintf("-held=%d:%s", c.Snapshot, shardSpec),
		fmt.Sprintf("-slots=%d", server.Slots),
		fmt.Sprintf("-connections=%d", server.Connections),
		"-connect-time=" + server.ConnectTime.String(),
		fmt.Sprintf("-seed=%d", seedOf(server.Name)),
	}
	args = append(args, c.BackendArgs...)
	p, err := startProcess(c.LogDir, server.Name, c.program("anvildyke-standin"), args, func(line string) error {
		addresses, err := parseAddresses(line)
		b.Server.Address, b.ControlAddress = addresses["Address"], addresses["ControlAddress"]
		return err
	})
	b.Process = p
	b.args = append(args, "-address="+b.Server.Address.String(), "-control-address="+b.ControlAddress.String())
	return b, err
}

// RestartBackend kills a backend server and starts it again at the same addresses.
func (c *Cluster) RestartBackend(name string) error {
	b := c.Backend(name)
	b.Kill()
	p, err := startProcess(c.LogDir, name, c.program("anvildyke-standin"), b.args, func(string) error { return nil })
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	b.Process = p
	return nil
}

// Backend returns the backend server with the given name, or nil.
func (c *Cluster) Backend(name string) *Backend {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.backends[name]
}

// Backends returns all backend servers, ordered by name.
func (c *Cluster) Backends() []*Backend {
	c.mu.Lock()
	defer c.mu.Unlock()
	var backends []*Backend
	for _, b := range c.backends {
		backends = append(backends, b)
	}
	slices.SortFunc(backends, func(a, b *Backend) int { return strings.Compare(a.Server.Name, b.Server.Name) })
	return backends
}
