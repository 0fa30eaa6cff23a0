// Package launcher starts a whole deployment as processes on loopback: a platform stand-in, backend server stand-ins and
// entry VMs, with a fault-injecting proxy in front of the platform and of each VM's peer listener. The demonstration, the
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

// PlatformZone is the name under which the platform takes part in cuts of the network.
const PlatformZone = "platform"

const (
	callerPort   = 7100
	operatorPort = 7200
	metricsPort  = 7300
	peerPort     = 7400
	// stopLimit bounds the wait for one process to stop.
	stopLimit = 30 * time.Second
	// parallelStarts bounds the processes that start at the same time.
	parallelStarts = 16
	controlTimeout = 5 * time.Second
	localQueueTime = 20 * time.Millisecond
)

// Options describe a deployment.
type Options struct {
	// BinDir holds the programs anvildyked and anvildyke-standin.
	BinDir string
	// LogDir receives the logs.
	LogDir string
	// Set is the configuration; the addresses of its backend servers are replaced.
	Set parser.Set
	// VMsPerZone is the number of entry VMs in each zone.
	VMsPerZone map[string]int
	// Snapshot is the index snapshot that all backend servers hold at the start.
	Snapshot uint64
	// BackendArgs and VMArgs are appended to the arguments of the programs.
	BackendArgs []string
	VMArgs      []string
	// InProcess runs the backend servers inside this process, for sizes at which a process each would be too many. They cannot be
	// killed or restarted.
	InProcess bool
	// ServiceTime is the time that a local backend server takes for a request.
	ServiceTime time.Duration
	// ZoneLatency is the one-way latency between zones of different regions.
	ZoneLatency time.Duration
}

// Cluster is a running deployment.
type Cluster struct {
	Options
	Network  *proxy.Network
	Platform *Process
	// PlatformAddress is the platform itself; VMs reach it through a proxy.
	PlatformAddress netip.AddrPort

	number   int32
	block    block
	mu       sync.Mutex
	vms      map[string]*VM
	backends map[string]*Backend
	client   *http.Client
	proxy    *proxy.Proxy
}

// Start starts the platform, the backend servers and the VMs, and waits until every VM answers its liveness probe. Nothing is
// published. On an error everything is stopped.
func Start(o Options) (*Cluster, error) {
	b, err := reserve()
	if err != nil {
		return nil, err
	}
	o.Set = slices.Clone(o.Set)
	c := &Cluster{
		block:    b,
		Options:  o,
		number:   clusters.Add(1),
		Network:  proxy.NewNetwork(),
		vms:      map[string]*VM{},
		backends: map[string]*Backend{},
		client:   NewClient(controlTimeout),
	}
	if err := c.start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	if err := os.MkdirAll(c.LogDir, 0o755); err != nil {
		return fmt.Errorf("making the log directory: %w", err)
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
	return c.awaitLive()
}

// ZoneNames returns the availability zones of the set in their order.
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
		addresses, err := addressesIn(line)
		c.PlatformAddress = addresses["Address"]
		return err
	})
	c.Platform = p
	if err != nil {
		return err
	}
	c.proxy, err = c.Network.StartProxy(PlatformZone, c.PlatformAddress)
	return err
}

func (c *Cluster) program(name string) string {
	return filepath.Join(c.BinDir, name)
}

// Stop ends all processes: the VMs gracefully, the stand-ins at once.
func (c *Cluster) Stop() {
	var wg sync.WaitGroup
	for _, v := range c.VMs() {
		wg.Go(func() {
			_ = v.Resume()
			if _, err := v.Terminate(stopLimit); err != nil {
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
