package configurer

import (
	"net/netip"
	"time"
)

// DaemonEnvPrefix begins the names of the daemon's variables.
const DaemonEnvPrefix = "ANVILDYKE"

// CLIEnvPrefix begins the names of the variables of the command-line client.
const CLIEnvPrefix = "ANVILDYKE_CLI"

// StandinEnvPrefix begins the names of the variables of the stand-ins.
const StandinEnvPrefix = "ANVILDYKE_STANDIN"

// Daemon holds the settings of anvildyked.
type Daemon struct {
	Name             string
	AvailabilityZone string
	PlatformAddress  netip.AddrPort
	CallerAddress    netip.AddrPort
	OperatorAddress  netip.AddrPort
	MetricsAddress   netip.AddrPort
	PeerAddress      netip.AddrPort
	// PeerAdvertise is where other entry VMs reach this one. It equals PeerAddress when nothing is set.
	PeerAdvertise netip.AddrPort
	// Peers are asked for the membership when the platform cannot be reached.
	Peers []netip.AddrPort
	// BalancerDelay is how long the balancer may go on sending after the VM reports that it is not ready.
	BalancerDelay time.Duration
	// DrainTimeout bounds the wait for running requests at a stop.
	DrainTimeout time.Duration
	// MaxQueries bounds the requests of callers that run at the same time.
	MaxQueries int
	LogLevel   string
}

// SettingSet returns the table that fills d.
func (d *Daemon) SettingSet() *SettingSet {
	t := NewSettingSet("anvildyked", DaemonEnvPrefix, CLIEnvPrefix+"_", StandinEnvPrefix+"_")
	t.ObjectName(&d.Name, "name", "", "Name of this VM, unique in the deployment.")
	t.ObjectName(&d.AvailabilityZone, "availability-zone", "", "Availability zone of this VM.")
	t.AddrPort(&d.PlatformAddress, "platform", "", "Address of the platform's object API.")
	t.AddrPort(&d.CallerAddress, "caller-address", "127.0.0.1:7100", "Listens for callers (HTTP).")
	t.AddrPort(&d.OperatorAddress, "operator-address", "127.0.0.1:7200", "Listens for operators (HTTP).")
	t.AddrPort(&d.MetricsAddress, "metrics-address", "127.0.0.1:7300", "Listens for metrics and probes (HTTP).")
	t.AddrPort(&d.PeerAddress, "peer-address", "127.0.0.1:7400", "Listens for other entry VMs (net/rpc).")
	t.OptionalAddrPort(&d.PeerAdvertise, "peer-advertise", "Address at which other entry VMs reach this one, if not peer-address.")
	t.AddrPorts(&d.Peers, "peers", "", "Peer addresses of other entry VMs, used besides the platform's list.")
	t.Duration(&d.BalancerDelay, "balancer-delay", 3*time.Second, 0, time.Minute, "Wait between not ready and the stop of the listener.")
	t.Duration(&d.DrainTimeout, "drain-timeout", 20*time.Second, time.Second, 10*time.Minute, "Longest wait for running requests at a stop.")
	t.Int(&d.MaxQueries, "max-queries", 1024, 1, 100000, "Requests of callers that run at the same time.")
	t.Enum(&d.LogLevel, "log-level", "info", "Least severe level that is logged.", "debug", "info", "warn", "error")
	return t
}
