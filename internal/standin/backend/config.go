package backend

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/anvildyke/anvildyke/internal/connector"
)

// CrashExitCode is the process exit code when a request crashes the server.
const CrashExitCode = 70

// Config contains the addresses, the limits and the simulated faults of a Server.
type Config struct {
	Address netip.AddrPort
	// ControlAddress is the listen address for GET /counters and POST /switch. Its connections are not counted.
	ControlAddress netip.AddrPort
	// HeldShards lists the shards that the server holds, in the format of ParseHeldShards.
	HeldShards string
	// Slots is the number of requests that run at the same time. Up to QueueLength more wait for a slot, for at most QueueTimeout.
	Slots        int
	QueueLength  int
	QueueTimeout time.Duration
	// MaxConnections is the maximum number of open connections. The server closes a further one if the excess lasts for
	// excessGrace.
	MaxConnections int
	// ConnectDelay is the time that the server waits before it reads the first request of a new connection.
	ConnectDelay time.Duration
	// Seed initializes the random numbers for StraggleShare, FailShare and CrashShare.
	Seed uint64
	// CrashMarker, if not empty, crashes the server when a running request contains it in the body.
	CrashMarker string
	// OperationLog, if not empty, is the path of a file to which the server appends one line with the operation ID for each
	// operation that it runs. The file outlives the process, and several servers may share it.
	OperationLog string
	// OnCrash is called to crash the server. If it is nil, the server calls os.Exit(CrashExitCode).
	OnCrash  func()
	Switches Switches
}

// Switches are the settings that can be changed while the server runs. POST /switch sets them by field name.
type Switches struct {
	// ServiceTime is the processing time of each request.
	ServiceTime time.Duration
	// StraggleShare is the share of requests (0 to 1) that take longer by a random time below StraggleTime.
	StraggleShare float64
	StraggleTime  time.Duration
	// Cold makes the server cold. A cold server accepts one request at a time. The limit rises by one after every ColdWork
	// successful answers and, unless ColdTime is 0, after every ColdTime. The server becomes warm when the limit reaches Slots.
	Cold     bool
	ColdWork int
	ColdTime time.Duration
	// ColdSlow is the delay added to requests beyond the limit of a cold server. If it is 0, the server sheds them.
	ColdSlow time.Duration
	// Draining is reported in answers and statuses. The server refuses requests that would start to run later than DrainGrace
	// after Draining was set.
	Draining   bool
	DrainGrace time.Duration
	// Frozen withholds all responses until it is reset.
	Frozen bool
	// ReportLag is the age at which the reported state is refreshed. Mislead makes the server report that it is warm, idle and
	// not draining, whatever its state.
	ReportLag time.Duration
	Mislead   bool
	// Searched is the number of parts of a shard that a search covers, out of corpus.PartsPerShard.
	Searched int
	// Late, Crossed, Duplicated and Reset each apply to that number of upcoming responses. A late response is sent after the
	// deadline of its request. A crossed one is the response to the previous request, with the ID of that request; if there is
	// none, only the ID is wrong. A duplicated one is sent twice. Reset aborts the connection instead of sending a response.
	Late       int
	Crossed    int
	Duplicated int
	Reset      int
	// Substituted is the number of upcoming searches that are answered from a held snapshot other than the requested one.
	Substituted int
	// FailShare, a share of requests from 0 to 1, applies to FailRoute, and the added delay SlowTime to SlowRoute. A route is a
	// name, or "*" for all routes.
	FailRoute string
	FailShare float64
	SlowRoute string
	SlowTime  time.Duration
	// FailAbove, if not 0, makes a request fail when more than this number of requests, including itself, run as it starts.
	FailAbove int
	// CrashShare is the share of running requests (0 to 1) that crash the server.
	CrashShare float64
	// Hold and Drop list shards to add to and remove from the held ones, in the format of ParseHeldShards.
	Hold string
	Drop string
}

// Counters counts events since the start of a Server and reports its current state.
type Counters struct {
	// Incarnation identifies this start of the server.
	Incarnation string
	// Operations maps each operation ID to the number of times that it ran.
	Operations map[string]int
	// Requests counts searches and operations received, Searches the searches that ran, and Statuses the status requests.
	Requests int
	Searches int
	Statuses int
	// Shed counts requests refused because the queue was full, the wait for a slot ended or a cold server was at its limit.
	Shed int
	// Cancelled counts requests whose connection closed while they waited or ran.
	Cancelled int
	// Present is the number of requests that wait or run at present.
	Present int
	// MaxConcurrency is the peak of Present. A value above Slots is recorded only if the same requests stayed present together
	// for excessGrace. The server still counts a cancelled request for a moment after its client has sent the next one, and two
	// readings of Present alone could both fall into such moments. Requests shorter than excessGrace therefore show no excess.
	MaxConcurrency int
	// ColdExcess counts requests received beyond the limit of the cold server.
	ColdExcess int
	// AfterDrain counts requests received later than DrainGrace after Draining was set.
	AfterDrain int
	// Connections is the number of open connections, and MaxConnections its peak, including refused connections.
	Connections    int
	MaxConnections int
	// RefusedConnections counts connections closed because they exceeded Config.MaxConnections.
	RefusedConnections int
	// Cold is the actual state, which Switches.Mislead does not affect.
	Cold bool
}

// ParseHeldShards parses a comma-separated list of held shards in the form "snapshot:shard:of", where of is the number of shards
// and shard counts from 0.
func ParseHeldShards(text string) ([]connector.HeldSnapshot, error) {
	var list []connector.HeldSnapshot
	for _, item := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		fields := strings.Split(item, ":")
		if len(fields) != 3 {
			return nil, fmt.Errorf("held shard %q does not have the form snapshot:shard:of", item)
		}
		var h connector.HeldSnapshot
		var err error
		if h.Snapshot, err = strconv.ParseUint(fields[0], 10, 64); err != nil {
			return nil, err
		}
		if h.Shard, err = strconv.Atoi(fields[1]); err != nil {
			return nil, err
		}
		if h.Of, err = strconv.Atoi(fields[2]); err != nil {
			return nil, err
		}
		if h.Shard < 0 || h.Of <= h.Shard {
			return nil, fmt.Errorf("held shard %q has a shard number outside its number of shards", item)
		}
		list = append(list, h)
	}
	return list, nil
}
