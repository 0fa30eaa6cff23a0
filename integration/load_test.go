package integration_test

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

const (
	// repeatedBodies is the number of query bodies that callers send repeatedly, so that the load also contains queries that need no
	// canary.
	repeatedBodies = 20
	// disconnectOneIn is the average number of queries per query whose caller disconnects before the response, if disconnects is
	// set.
	disconnectOneIn = 20
	// maxPrintedErrors limits the number of wrong responses that are printed.
	maxPrintedErrors = 5
)

// randomLoad sends queries from concurrent callers to random VMs until it is stopped, and verifies every response.
type randomLoad struct {
	d           *deployment
	disconnects bool
	pause       time.Duration
	// shardCounts contains the number of shards of each snapshot.
	shardCounts map[uint64]int
	stop        chan struct{}
	wg          sync.WaitGroup

	mu     sync.Mutex
	counts tally
	ids    map[string]bool
	errs   []string
}

// tally counts the results of a random load.
type tally struct {
	queries, full, partial, disconnected int
	codes                                map[classifier.Code]int
	// missing contains the number of missing shards by result code.
	missing   map[string]int
	snapshots map[uint64]int
}

// minus returns the query counts since an earlier tally. Its maps are nil.
func (t tally) minus(earlier tally) tally {
	return tally{
		queries:      t.queries - earlier.queries,
		full:         t.full - earlier.full,
		partial:      t.partial - earlier.partial,
		disconnected: t.disconnected - earlier.disconnected,
	}
}

func (t tally) String() string {
	return fmt.Sprintf("%d queries, %d full, %d partial, %d disconnected, codes %v, snapshots %v, missing %v", t.queries, t.full, t.partial, t.disconnected, t.codes, t.snapshots, t.missing)
}

// startRandomLoad starts the callers. The same seed gives each caller the same sequence of random choices.
func (d *deployment) startRandomLoad(l *randomLoad, callers int, seed uint64) *randomLoad {
	l.d = d
	l.stop = make(chan struct{})
	l.ids = map[string]bool{}
	l.counts.codes = map[classifier.Code]int{}
	l.counts.snapshots = map[uint64]int{}
	l.counts.missing = map[string]int{}
	for n := range callers {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		l.wg.Go(func() { l.run(rng) })
	}
	return l
}

func (l *randomLoad) run(rng *rand.Rand) {
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(l.pause):
		}
		vms := l.d.VMs()
		v, q := vms[rng.IntN(len(vms))], l.d.query()
		if rng.IntN(2) == 0 {
			q.Body = fmt.Sprintf("red kite %d", rng.IntN(repeatedBodies))
		}
		if l.disconnects && rng.IntN(disconnectOneIn) == 0 {
			l.sendAndDisconnect(v, q, time.Duration(rng.IntN(int(5*time.Millisecond))))
			continue
		}
		resp, err := l.d.caller.Search(v, q)
		l.record(q, resp, err)
	}
}

// sendAndDisconnect sends a query on a new connection and closes the connection after a delay without reading the response.
func (l *randomLoad) sendAndDisconnect(v *launcher.VM, q launcher.Query, after time.Duration) {
	conn, err := net.Dial("tcp", v.Caller.String())
	if err != nil {
		l.record(q, launcher.Response{}, err)
		return
	}
	defer conn.Close() //nolint:errcheck // nothing is read
	_, err = fmt.Fprintf(conn, "POST /v1/search/%s/%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", q.Application, q.Route, v.Caller, len(q.Body), q.Body)
	if err != nil {
		l.record(q, launcher.Response{}, err)
		return
	}
	time.Sleep(after)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.disconnected++
}

func (l *randomLoad) record(q launcher.Query, resp launcher.Response, err error) {
	if err == nil {
		err = checkResponse(q, resp)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.queries++
	if err == nil && l.ids[resp.RequestID] {
		err = fmt.Errorf("request ID %s was used twice", resp.RequestID)
	}
	l.ids[resp.RequestID] = true
	if err == nil && resp.Code == classifier.Internal {
		err = fmt.Errorf("internal error: %s", resp.Message)
	}
	if size := l.shardCounts[resp.Snapshot]; err == nil && resp.Code.Answered() && resp.Coverage.Of != size {
		err = fmt.Errorf("coverage reports %d shards of snapshot %d, want %d", resp.Coverage.Of, resp.Snapshot, size)
	}
	if err != nil {
		l.errs = append(l.errs, err.Error())
		return
	}
	l.counts.codes[resp.Code]++
	for _, m := range resp.Coverage.Missing {
		l.counts.missing[m.Code.String()]++
	}
	switch {
	case resp.Code == classifier.OK:
		l.counts.full++
		l.counts.snapshots[resp.Snapshot]++
	case resp.Code.Answered():
		l.counts.partial++
		l.counts.snapshots[resp.Snapshot]++
	}
}

// tally returns a copy of the current counts.
func (l *randomLoad) tally() tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.counts
	t.codes = maps.Clone(t.codes)
	t.snapshots = maps.Clone(t.snapshots)
	t.missing = maps.Clone(t.missing)
	return t
}

// finish stops the callers, fails the test if any response was wrong, and returns the final counts.
func (l *randomLoad) finish() tally {
	l.d.t.Helper()
	close(l.stop)
	l.wg.Wait()
	t := l.tally()
	l.d.t.Log(t)
	if len(l.errs) > 0 {
		l.d.t.Fatalf("%d responses are wrong; the first ones:\n%s", len(l.errs), strings.Join(l.errs[:min(maxPrintedErrors, len(l.errs))], "\n"))
	}
	return t
}

// setSwitchesInTurn sets fault switches of all backend servers one by one in random order, with a pause after each.
func (d *deployment) setSwitchesInTurn(rng *rand.Rand, pause time.Duration, switches func(b *launcher.Backend) string) {
	d.t.Helper()
	list := d.Backends()
	for _, i := range rng.Perm(len(list)) {
		assert.NilError(d.t, d.SetSwitches(list[i], switches(list[i])))
		time.Sleep(pause)
	}
}

func (d *deployment) shardOf(b *launcher.Backend) int {
	var shard int
	_, err := fmt.Sscanf(b.Server.Service, application+"-%d", &shard)
	assert.NilError(d.t, err)
	return shard
}

// sumMetric returns the sum of a counter over all running VMs.
func (d *deployment) sumMetric(name string) int {
	d.t.Helper()
	sum := 0
	for _, v := range d.VMs() {
		if v.Running() {
			sum += scrape(d.t, v, "anvildyke_"+name)
		}
	}
	return sum
}

// joinHeld formats the argument of the switches Hold and Drop.
func joinHeld(items ...string) string {
	return strings.Join(slices.Compact(items), ",")
}

func scrape(t *testing.T, v *launcher.VM, name string) int {
	t.Helper()
	resp, err := http.Get("http://" + v.Metrics.String() + "/metrics")
	assert.NilError(t, err)
	defer resp.Body.Close() //nolint:errcheck // the body has been read
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	for line := range strings.Lines(string(body)) {
		if text, ok := strings.CutPrefix(line, name+" "); ok {
			n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			assert.NilError(t, err)
			return int(n)
		}
	}
	t.Fatalf("%s has no metric %s", v.Name, name)
	return 0
}
