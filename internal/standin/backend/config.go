package backend

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/anvildyke/anvildyke/internal/connector"
)

// CrashExitCode is the exit code of a backend server that a request has crashed.
const CrashExitCode = 70

// Config are the settings of a backend server.
type Config struct {
	Address netip.AddrPort
	// ControlAddress listens for GET /counters and POST /switch; its connections do not count.
	ControlAddress netip.AddrPort
	// HeldShards is what ParseHeld reads.
	HeldShards string
	// Slots is the number of requests that run at the same time; Queue more wait up to QueueTime.
	Slots        int
	QueueLength  int
	QueueTimeout time.Duration
	// MaxConnections is the greatest number of open connections; further ones are closed at once.
	MaxConnections int
	// ConnectDelay passes on a new connection before its first request is read.
	ConnectDelay time.Duration
	Seed         uint64
	// CrashMarker in the body of a request ends the process.
	CrashMarker string
	// Journal, unless it is empty, is a file to which a line with the operation ID is appended for each operation that runs. It
	// outlives the process, and several servers may share it.
	OperationLog string
	// OnCrash ends the process; nil stands for os.Exit(CrashCode).
	OnCrash  func()
	Switches Switches
}

// Switches are the behaviours that can be changed while the server runs, by the names of the fields.
type Switches struct {
	ServiceTime time.Duration
	// StraggleShare of the requests take up to StraggleTime longer.
	StraggleShare float64
	StraggleTime  time.Duration
	// Cold makes the server cold; it becomes warm by itself. A cold server bears one request at a time, one more for every
	// ColdWork answers and, unless it is 0, for every ColdTime passed, until it bears all its slots.
	Cold     bool
	ColdWork int
	ColdTime time.Duration
	// ColdSlow delays requests beyond what a cold server bears; with 0 they are shed.
	ColdSlow time.Duration
	// Draining is stated in answers and statuses; new requests are refused DrainGrace later.
	Draining   bool
	DrainGrace time.Duration
	// Frozen holds back all answers until it is false again.
	Frozen bool
	// ReportLag is the age that the reported state reaches before it is renewed. Mislead reports a cold or draining server as
	// warm and idle.
	ReportLag time.Duration
	Mislead   bool
	// Searched of corpus.Parts parts of the shard are searched.
	Searched int
	// Late, Crossed, Duplicated and Reset are the numbers of requests still to come whose answer comes after the deadline,
	// is the one that the request before got, with its ID, comes twice, or is replaced by a reset of the connection.
	Late       int
	Crossed    int
	Duplicated int
	Reset      int
	// Substituted is the number of searches still to come that are answered from another held snapshot than the asked one.
	Substituted int
	// FailRoute and SlowRoute name the route, or "*" for all, to which FailShare and SlowTime apply.
	FailRoute string
	FailShare float64
	SlowRoute string
	SlowTime  time.Duration
	// FailAbove, unless it is 0, is the number of running requests above which requests fail.
	FailAbove int
	// CrashShare of the requests end the process while they run.
	CrashShare float64
	// Hold and Drop add and remove what ParseHeld reads.
	Hold string
	Drop string
}

// Counters are what a backend server has counted since its start.
type Counters struct {
	Incarnation string
	// Operations is how often each operation ID ran.
	Operations map[string]int
	// Requests counts arrived searches and operations, Searches the searches that ran, Statuses the status requests.
	Requests int
	Searches int
	Statuses int
	Shed     int
	// Cancelled counts requests whose connection closed while they waited or ran.
	Cancelled int
	// Present is the number of requests that wait or run now.
	Present int
	// MaxConcurrency is the peak of Present. An excess over the slots counts when the same requests were present together for
	// overlapGrace: the server sees a cancelled request for a moment after its client has sent the next one, and two looks at
	// the number alone can meet two such moments. Requests that run shorter than overlapGrace therefore show no excess.
	MaxConcurrency int
	// ColdExcess counts requests that arrived beyond what the cold server bears.
	ColdExcess int
	// AfterDrain counts requests that arrived later than DrainGrace after Draining was set.
	AfterDrain     int
	Connections    int
	MaxConnections int
	// RefusedConnections counts those closed at once.
	RefusedConnections int
	// Cold is the true state.
	Cold bool
}

// ParseHeldShards reads a list of "snapshot:shard:of", separated by commas.
func ParseHeldShards(text string) ([]connector.HeldSnapshot, error) {
	var list []connector.HeldSnapshot
	for _, item := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		fields := strings.Split(item, ":")
		if len(fields) != 3 {
			return nil, fmt.Errorf("%q is not snapshot:shard:of", item)
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
			return nil, fmt.Errorf("%q names no shard of the partition", item)
		}
		list = append(list, h)
	}
	return list, nil
}
