package configurer

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Gateway contains the settings of a gateway.
type Gateway struct {
	// Name is the name of the VM and is unique in the deployment.
	Name   string
	Zone   string
	Region string
	// Regions maps each zone to its region.
	Regions map[string]string
	// CallerAddress is the address at which callers connect, ProbeAddress the one that serves the health probes and metrics, and
	// PlatformAddress that of the platform's API.
	CallerAddress   netip.AddrPort
	ProbeAddress    netip.AddrPort
	PlatformAddress netip.AddrPort
	// PeerAddress is the address at which other VMs connect. With the zero value, the VM accepts no such connections.
	PeerAddress netip.AddrPort
	// Bootstrap is true if the whole deployment starts for the first time.
	Bootstrap bool
	// Seeds are the peer addresses of some VMs; these VMs may be down.
	Seeds []netip.AddrPort
	// DrainTimeout is how long a backend server continues to serve after its entry is marked as draining.
	DrainTimeout time.Duration
	// HeartbeatInterval is the interval at which backend servers renew their entries, 0 if the settings do not state it.
	HeartbeatInterval time.Duration
	// GracePeriod is the time between SIGTERM and SIGKILL when the VM is stopped.
	GracePeriod time.Duration
	// RetryRatio is the number of retries and hedges to a service that are allowed for each first attempt in RetryWindow.
	// RetryExtra is the number that all VMs together may send in addition in each window.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryExtra  float64
	// ExposureShare is the maximum share (0 to 1) of a service's requests during a rollout that a new version may receive if it
	// turns out to be bad. ExposureTolerance is the number of requests allowed beyond that share.
	ExposureShare     float64
	ExposureTolerance float64
	// MemoryBytes is the memory that the process may use, 0 if it is not limited.
	MemoryBytes int64
	// Descriptors is the number of file descriptors that the process may use according to the settings, 0 if they do not state it.
	Descriptors int
	// MaxCallerConnections limits the open connections of callers. 0 means half of the descriptors, so that the rest is free for
	// connections to backend servers, the platform and other VMs.
	MaxCallerConnections int
}

// Validate returns an error that lists all invalid settings, or nil.
func (g *Gateway) Validate() error {
	var faults []error
	for _, f := range []struct {
		name string
		ok   bool
	}{
		{"the name of the VM", g.Name != ""},
		{"the zone", g.Zone != ""},
		{"the region", g.Region != ""},
		{"the list of zones", len(g.Regions) > 0},
		{"the drain timeout", g.DrainTimeout > 0},
		{"the grace period", g.GracePeriod > 0},
		{"the window of the retry budget", g.RetryWindow > 0},
	} {
		if !f.ok {
			faults = append(faults, fmt.Errorf("%s is missing or not positive", f.name))
		}
	}
	if g.HeartbeatInterval < 0 || g.HeartbeatInterval > time.Hour {
		faults = append(faults, errors.New("the heartbeat interval is negative or longer than an hour"))
	}
	if g.MemoryBytes < 0 {
		faults = append(faults, errors.New("the memory limit is negative"))
	}
	if g.Descriptors < 0 || g.MaxCallerConnections < 0 || g.Descriptors > 0 && g.MaxCallerConnections > g.Descriptors {
		faults = append(faults, errors.New("the number of file descriptors or of connections of callers is negative, or there are more connections than descriptors"))
	}
	if g.RetryRatio < 0 || g.RetryExtra < 0 {
		faults = append(faults, errors.New("the ratio or the number of extra requests of the retry budget is negative"))
	}
	if g.ExposureShare < 0 || g.ExposureShare > 1 || g.ExposureTolerance < 0 {
		faults = append(faults, errors.New("the share of a bad version is not between 0 and 1, or the exposure tolerance is negative"))
	}
	return errors.Join(faults...)
}
