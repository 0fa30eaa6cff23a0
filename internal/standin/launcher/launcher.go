// Package launcher runs a complete deployment as processes on loopback addresses: a platform stand-in, backend server stand-ins
// and entry VMs, with a fault-injecting proxy in front of the platform and of each VM's peer listener. The demonstration, the
// integration tests and the benchmarks use it.
package launcher

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/standin/proxy"
)

// PlatformZone is the zone name of the platform in latencies and partitions of the network.
const PlatformZone = "platform"

const (
	callerPort   = 7100
	operatorPort = 7200
	metricsPort  = 7300
	peerPort     = 7400
	// stopTimeout limits the graceful shutdown of a VM, after which it is killed.
	stopTimeout = 30 * time.Second
	// maxConcurrentStarts is the number of backend servers that may start at the same time.
	maxConcurrentStarts   = 16
	controlTimeout        = 5 * time.Second
	inProcessQueueTimeout = 20 * time.Millisecond
)

// Options describes the processes of a deployment and the network between them.
type Options struct {
	// BinDir is the directory of the programs anvildyked and anvildyke-standin.
	BinDir string
	// LogDir receives one log file per process; it is created if needed.
	LogDir string
	// Set is the configuration. Start works on a copy, in which it replaces the addresses of the backend servers.
	Set parser.Set
	// VMsPerZone is the number of entry VMs in each zone.
	VMsPerZone map[string]int
	// Snapshot is the index snapshot that all backend servers initially hold.
	Snapshot uint64
	// BackendArgs and VMArgs are appended to the command lines of the backend servers and VMs.
	BackendArgs []string
	VMArgs      []string
	// InProcess runs the backend servers inside this process, for deployments that have too many of them to start a process for
	// each. They cannot be killed or restarted.
	InProcess bool
	// ServiceTime is the time that a backend server takes for a request if InProcess is set.
	ServiceTime time.Duration
	// ZoneLatency is the one-way network latency between any two availability zones.
	ZoneLatency time.Duration
}

// Cluster is a running deployment.
type Cluster struct {
	Options
	// Network injects latency and partitions between zones.
	Network  *proxy.Network
	Platform *Process
	// PlatformAddress is the address of the platform itself; VMs connect to it through a proxy.
	PlatformAddress netip.AddrPort

	// index is the number of this cluster within the process; it selects a range of addresses within the block.
	index        int32
	addressBlock addressBlock
	// mu protects vms and backends.
	mu            sync.Mutex
	vms           map[string]*VM
	backends      map[string]*Backend
	client        *http.Client
	platformProxy *proxy.Proxy
}

// Start starts the platform, the backend servers and the VMs, and waits until the liveness probe of every VM succeeds. It
// publishes no configuration. If it fails, it stops what it has started.
func Start(o Options) (*Cluster, error) {
	block, err := reserveBlock()
	if err != nil {
		return nil, err
	}
	o.Set = slices.Clone(o.Set)
	c := &Cluster{
		addressBlock: block,
		Options:      o,
		index:        clusterCount.Add(1),
		Network:      proxy.NewNetwork(),
		vms:          map[string]*VM{},
		backends:     map[string]*Backend{},
		client:       NewClient(controlTimeout),
	}
	if err := c.start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	if err := os.MkdirAll(c.LogDir, 0o755); err != nil {
		return fmt.Errorf("creating the log directory: %w", err)
	}
	c.setLatencies()
	if err := c.startPlatform(); err != nil {
		return err
	}
	if err := c.startBackends(); err != nil {
		return err
	}
	for i, zone := range c.ZoneNames() {
		for n := range c.VMsPerZone[zone] {
			if err := c.startVM(zone, i, n); err != nil {
				return err
			}
		}
	}
	return c.waitLive()
}

// ZoneNames returns the names of the availability zones in the order of the set.
func (c *Cluster) ZoneNames() []string {
	var names []string
	for _, o := range c.Set {
		if z, ok := o.(parser.AvailabilityZone); ok {
			names = append(names, z.Name)
		}
	}
	return names
}

func (c *Cluster) setLatencies() {
	zones := c.ZoneNames()
	for i, a := range zones {
		for _, b := range zones[i+1:] {
			c.Network.SetLatency(a, b, c.ZoneLatency)
		}
	}
}

func (c *Cluster) startPlatform() error {
	args := []string{"platform", "-address=" + netip.AddrPortFrom(c.ip(-1, 0), 0).String()}
	p, err := startProcess(c.LogDir, "platform", c.program("anvildyke-standin"), args, func(line string) error {
		addresses, err := parseAddresses(line)
		c.PlatformAddress = addresses["Address"]
		return err
	})
	c.Platform = p
	if err != nil {
		return err
	}
	c.platformProxy, err = c.Network.StartProxy(PlatformZone, c.PlatformAddress)
	return err
}

func (c *Cluster) program(name string) string {
	return filepath.Join(c.BinDir, name)
}

// Stop stops all processes: it shuts the VMs down gracefully and kills the stand-ins.
func (c *Cluster) Stop() {
	var wg sync.WaitGroup
	for _, v := range c.VMs() {
		wg.Go(func() {
			_ = v.Resume()
			if _, err := v.Terminate(stopTimeout); err != nil {
				v.Kill()
			}
		})
	}
	wg.Wait()
	for _, b := range c.Backends() {
		b.stop()
	}
	if c.Platform != nil {
		c.Platform.Kill()
	}
	c.Network.Close()
	c.client.CloseIdleConnections()
}
