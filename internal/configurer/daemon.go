package configurer

import (
	"net/netip"
	"time"
)

// DaemonEnvPrefix is the prefix of the daemon's environment variables.
const DaemonEnvPrefix = "ANVILDYKE"

// CLIEnvPrefix is the prefix of the environment variables of the command-line client.
const CLIEnvPrefix = "ANVILDYKE_CLI"

// StandinEnvPrefix is the prefix of the environment variables of the stand-ins.
const StandinEnvPrefix = "ANVILDYKE_STANDIN"

// Daemon contains the settings of anvildyked.
type Daemon struct {
	Name             string
	AvailabilityZone string
	PlatformAddress  netip.AddrPort
	CallerAddress    netip.AddrPort
	OperatorAddress  netip.AddrPort
	MetricsAddress   netip.AddrPort
	PeerAddress      netip.AddrPort
	// PeerAdvertise is the address at which other entry VMs reach this one. The zero value stands for PeerAddress.
	PeerAdvertise netip.AddrPort
	// Peers are peer addresses of other entry VMs, from which this VM can learn the membership while the platform is unavailable.
	Peers []netip.AddrPort
	// BalancerDelay is how long the load balancer may still send requests after the VM reports that it is not ready.
	BalancerDelay time.Duration
	// DrainTimeout limits the wait for running requests at shutdown.
	DrainTimeout time.Duration
	// MaxQueries is the maximum number of concurrent requests of callers.
	MaxQueries int
	LogLevel   string
}

// SettingSet returns the set of settings whose Parse method fills d.
func (d *Daemon) SettingSet() *SettingSet {
	s := NewSettingSet("anvildyked", DaemonEnvPrefix, CLIEnvPrefix+"_", StandinEnvPrefix+"_")
	s.ObjectName(&d.Name, "name", "", "Name of this VM, unique in the deployment.")
	s.ObjectName(&d.AvailabilityZone, "availability-zone", "", "Availability zone of this VM.")
	s.AddrPort(&d.PlatformAddress, "platform", "", "Address of the platform's object API.")
	s.AddrPort(&d.CallerAddress, "caller-address", "127.0.0.1:7100", "Listens for callers (HTTP).")
	s.AddrPort(&d.OperatorAddress, "operator-address", "127.0.0.1:7200", "Listens for operators (HTTP).")
	s.AddrPort(&d.MetricsAddress, "metrics-address", "127.0.0.1:7300", "Listens for metrics and probes (HTTP).")
	s.AddrPort(&d.PeerAddress, "peer-address", "127.0.0.1:7400", "Listens for other entry VMs (net/rpc).")
	s.OptionalAddrPort(&d.PeerAdvertise, "peer-advertise", "Address at which other entry VMs reach this one, if not peer-address.")
	s.AddrPorts(&d.Peers, "peers", "", "Peer addresses of other entry VMs, used besides the platform's list.")
	s.Duration(&d.BalancerDelay, "balancer-delay", 3*time.Second, 0, time.Minute, "Wait between not ready and the stop of the listener.")
	s.Duration(&d.DrainTimeout, "drain-timeout", 20*time.Second, time.Second, 10*time.Minute, "Longest wait for running requests at a stop.")
	s.Int(&d.MaxQueries, "max-queries", 1024, 1, 100000, "Requests of callers that run at the same time.")
	s.Enum(&d.LogLevel, "log-level", "info", "Least severe level that is logged.", "debug", "info", "warn", "error")
	return s
}
