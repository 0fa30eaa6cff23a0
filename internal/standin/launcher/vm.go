package launcher

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/anvildyke/anvildyke/internal/standin/proxy"
	"github.com/anvildyke/anvildyke/internal/storeclient"
)

// VM is a running entry VM.
type VM struct {
	*Process
	Zone     string
	Caller   netip.AddrPort
	Operator netip.AddrPort
	Metrics  netip.AddrPort
	// Peer is the proxy in front of the peer listener; other VMs connect to its address.
	Peer *proxy.Proxy
	// args start the VM again under the same name and addresses.
	args []string
}

func (c *Cluster) startVM(zone string, zoneIndex, n int) error {
	name := fmt.Sprintf("%s-%d", zone, n+1)
	addr := c.ip(zoneIndex, n)
	c.Network.AssignZone(addr, zone)
	peer, err := c.Network.StartProxy(zone, netip.AddrPortFrom(addr, peerPort))
	if err != nil {
		return err
	}
	v := &VM{
		Zone:     zone,
		Caller:   netip.AddrPortFrom(addr, callerPort),
		Operator: netip.AddrPortFrom(addr, operatorPort),
		Metrics:  netip.AddrPortFrom(addr, metricsPort),
		Peer:     peer,
	}
	v.args = append([]string{
		"-name=" + name,
		"-availability-zone=" + zone,
		"-platform=" + c.platformProxy.Addr().String(),
		"-caller-address=" + v.Caller.String(),
		"-operator-address=" + v.Operator.String(),
		"-metrics-address=" + v.Metrics.String(),
		"-peer-address=" + netip.AddrPortFrom(addr, peerPort).String(),
		"-peer-advertise=" + peer.Addr().String(),
		"-balancer-delay=300ms",
	}, c.VMArgs...)
	v.Process, err = startProcess(c.LogDir, name, c.program("anvildyked"), v.args, nil)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.vms[name] = v
	c.mu.Unlock()
	return c.RegisterVM(storeclient.VM{
		Name:             name,
		AvailabilityZone: zone,
		Address:          peer.Addr(),
	})
}

// RestartVM kills a VM if it is running and starts it again under the same name and addresses, as the platform does when it
// replaces a VM.
func (c *Cluster) RestartVM(name string) error {
	v := c.VM(name)
	v.Kill()
	p, err := startProcess(c.LogDir, name, c.program("anvildyked"), v.args, nil)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v.Process = p
	return nil
}

// VM returns the VM with the given name, or nil.
func (c *Cluster) VM(name string) *VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms[name]
}

// VMs returns all VMs, ordered by name.
func (c *Cluster) VMs() []*VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	var vms []*VM
	for _, v := range c.vms {
		vms = append(vms, v)
	}
	slices.SortFunc(vms, func(a, b *VM) int { return strings.Compare(a.Name, b.Name) })
	return vms
}
