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

// Backend is one backend server stand-in.
type Backend struct {
	*Process
	Server         parser.BackendServer
	ControlAddress netip.AddrPort
	args           []string
	// local is set instead of Process when the server runs inside this process.
	local *backend.Server
}

func (b *Backend) stop() {
	if b.local != nil {
		b.local.Close()
		return
	}
	b.Kill()
}

// startBackends starts the backend servers, several at a time, and writes their addresses into the set.
func (c *Cluster) startBackends() error {
	shards := c.shards()
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallelStarts)
	faults := make([]error, len(c.Set))
	for i, o := range c.Set {
		server, ok := o.(parser.BackendServer)
		if !ok {
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			b, err := c.startBackend(server, shards[server.Service])
			if err != nil {
				faults[i] = err
				return
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.backends[server.Name] = b
			c.Set[i] = b.Server
		})
	}
	wg.Wait()
	return errors.Join(faults...)
}

// shards returns "shard:of" for each service.
func (c *Cluster) shards() map[string]string {
	of := map[string]int{}
	for _, o := range c.Set {
		if s, ok := o.(parser.Service); ok {
			of[s.Application]++
		}
	}
	shards := map[string]string{}
	for _, o := range c.Set {
		if s, ok := o.(parser.Service); ok {
			shards[s.Name] = fmt.Sprintf("%d:%d", s.Shard, of[s.Application])
		}
	}
	return shards
}

func (c *Cluster) startLocalBackend(server parser.BackendServer, shard string) (*Backend, error) {
	s, err := backend.Start(backend.Config{
		Address:        netip.MustParseAddrPort("127.0.0.1:0"),
		ControlAddress: netip.MustParseAddrPort("127.0.0.1:0"),
		HeldShards:     fmt.Sprintf("%d:%s", c.Snapshot, shard),
		Slots:          server.Slots,
		QueueLength:    server.Slots,
		QueueTimeout:   localQueueTime,
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
		local:          s,
	}, nil
}

// seedOf gives each server a random source of its own. With a common one all servers that start together straggle at the same
// request, which no deployment does.
func seedOf(name string) int32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int32(h.Sum32() >> 1)
}

func (c *Cluster) startBackend(server parser.BackendServer, shard string) (*Backend, error) {
	if c.InProcess {
		return c.startLocalBackend(server, shard)
	}
	b := &Backend{
		Server: server,
	}
	args := []string{
		"backend",
		fmt.Sprintf("-held=%d:%s", c.Snapshot, shard),
		fmt.Sprintf("-slots=%d", server.Slots),
		fmt.Sprintf("-connections=%d", server.Connections),
		"-connect-time=" + server.ConnectTime.String(),
		fmt.Sprintf("-seed=%d", seedOf(server.Name)),
	}
	args = append(args, c.BackendArgs...)
	p, err := startProcess(c.LogDir, server.Name, c.program("anvildyke-standin"), args, func(line string) error {
		addresses, err := addressesIn(line)
		b.Server.Address, b.ControlAddress = addresses["Address"], addresses["ControlAddress"]
		return err
	})
	b.Process = p
	b.args = append(args, "-address="+b.Server.Address.String(), "-control-address="+b.ControlAddress.String())
	return b, err
}

// RestartBackend kills a backend server and starts it again at the same address.
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

// Backend returns the backend server with the name.
func (c *Cluster) Backend(name string) *Backend {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.backends[name]
}

// Backends returns all backend servers ordered by name.
func (c *Cluster) Backends() []*Backend {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*Backend
	for _, b := range c.backends {
		list = append(list, b)
	}
	slices.SortFunc(list, func(a, b *Backend) int { return strings.Compare(a.Server.Name, b.Server.Name) })
	return list
}
