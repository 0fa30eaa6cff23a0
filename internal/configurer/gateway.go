package configurer

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Gateway are the settings of a gateway.
type Gateway struct {
	// Name is that of the VM, unique in the deployment.
	Name   string
	Zone   string
	Region string
	// Regions maps each zone to its region.
	Regions map[string]string
	// CallerAddress is where callers connect, Probes where the probes and metrics are served, Store the platform.
	CallerAddress   netip.AddrPort
	ProbeAddress    netip.AddrPort
	PlatformAddress netip.AddrPort
	// PeerAddress is where other VMs connect, the zero value if they cannot.
	PeerAddress netip.AddrPort
	// Bootstrap says that the whole deployment starts for the first time.
	Bootstrap bool
	// Seeds are the peer addresses of some VMs, which may be down.
	Seeds []netip.AddrPort
	// DrainTimeout is how long a backend server goes on serving after its entry says that it leaves.
	DrainTimeout time.Duration
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// RetryRatio is the number of extra requests to a service for each first one in RetryWindow; RetryExtra more are allowed for
	// all VMs together.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryExtra  float64
	// ExposureShare is the part of a service's requests during a move between versions that a version which turns out to be bad may get, 0 to
	// 1. MoveExtra more are allowed.
	ExposureShare     float64
	ExposureTolerance float64
}

// Validate returns all faults of the settings, or nil.
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
		{"the time to stop", g.GracePeriod > 0},
		{"the window of the retry budget", g.RetryWindow > 0},
	} {
		if !f.ok {
			faults = append(faults, fmt.Errorf("%s is missing or not positive", f.name))
		}
	}
	if g.RetryRatio < 0 || g.RetryExtra < 0 {
		faults = append(faults, errors.New("the retry budget is negative"))
	}
	if g.ExposureShare < 0 || g.ExposureShare > 1 || g.ExposureTolerance < 0 {
		faults = append(faults, errors.New("the share of a bad version is not between 0 and 1, or its extra requests are negative"))
	}
	return errors.Join(faults...)
}
