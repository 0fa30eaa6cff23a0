package launcher

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// clusterCount is the number of clusters that this process has started.
var clusterCount atomic.Int32

// addressBlock is the range 127.octet.0.0/16 of loopback addresses, which one process has to itself.
type addressBlock struct {
	octet byte
	// reservation stays open until the process exits.
	reservation net.Listener
}

// reserveBlock reserves a block for this process by listening on a port of its first address. An octet derived from the process
// ID would not be unique: VMs of two processes got the same addresses, and a test sent requests to the VMs of another process.
var reserveBlock = sync.OnceValues(func() (addressBlock, error) {
	const (
		first = 220
		last  = 254
		port  = 7099
	)
	for octet := first; octet <= last; octet++ {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(octet), 0, 1}), port)
		if l, err := net.Listen("tcp", addr.String()); err == nil {
			return addressBlock{
				octet:       byte(octet),
				reservation: l,
			}, nil
		}
	}
	return addressBlock{}, errors.New("all blocks of loopback addresses are reserved by other processes")
})

// ip returns the loopback address of the nth process in a zone; zone index -1 is the platform's. No two clusters on the machine
// use the same address, as long as at most maxClusters of one process run at the same time.
func (c *Cluster) ip(zoneIndex, n int) netip.Addr {
	const (
		zonesPerCluster = 8
		maxClusters     = 32
	)
	thirdOctet := int(c.index)%maxClusters*zonesPerCluster + zoneIndex + 1
	return netip.AddrFrom4([4]byte{127, c.addressBlock.octet, byte(thirdOctet), byte(n + 1)})
}
