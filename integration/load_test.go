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
	// repeatedBodies is the number of bodies that callers send again and again, so that queries without a canary occur too.
	repeatedBodies = 20
	// disconnectOneIn callers leaves before its answer, if the load has leavers.
	disconnectOneIn = 20
	// maxPrintedErrors bounds the faults that are printed.
	maxPrintedErrors = 5
)

// randomLoad sends queries from concurrent callers over all running VMs until it is stopped, and checks every answer.
type randomLoad struct {
	d           *deployment
	disconnects bool
	pause       time.Duration
	// shardCounts is the number of shards of each snapshot.
	shardCounts map[uint64]int
	stop        chan struct{}
	wg          sync.WaitGroup

	mu     sync.Mutex
	counts tally
	ids    map[string]bool
	errs   []string
}

// tally counts the answers of a load.
type tally struct {
	total, full, partial, disconnected int
	codes                              map[classifier.Code]int
	// missing counts the missing shards by their reasons.
	missing   map[string]int
	snapshots map[uint64]int
}

// minus returns the counts since an earlier tally.
func (t tally) minus(earlier tally) tally {
	return tally{
		total:        t.total - earlier.total,
		full:         t.full - earlier.full,
		partial:      t.partial - earlier.partial,
		disconnected: t.disconnected - earlier.disconnected,
	}
}

func (t tally) String() string {
	return fmt.Sprintf("%d queries, %d full, %d partial, %d left, codes %v, snapshots %v, missing %v", t.total, t.full, t.partial, t.disconnected, t.codes, t.snapshots, t.missing)
}

// startRandomLoad lets callers send queries. The same seed gives each caller the same sequence.
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

// sendAndDisconnect sends a query on a connection of its own and closes it after a while without reading.
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
	l.counts.total++
	if err == nil && l.ids[resp.RequestID] {
		err = fmt.Errorf("the request ID %s has come before", resp.RequestID)
	}
	l.ids[resp.RequestID] = true
	if err == nil && resp.Code == classifier.Internal {
		err = fmt.Errorf("a fault inside anvildyke: %s", resp.Message)
	}
	if size := l.shardCounts[resp.Snapshot]; err == nil && resp.Code.Answered() && resp.Coverage.Of != size {
		err = fmt.Errorf("the coverage counts %d shards of snapshot %d instead of %d", resp.Coverage.Of, resp.Snapshot, size)
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

// tally returns the counts so far.
func (l *randomLoad) tally() tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.counts
	t.codes = maps.Clone(t.codes)
	t.snapshots = maps.Clone(t.snapshots)
	t.missing = maps.Clone(t.missing)
	return t
}

// finish stops the callers, fails the test when any answer was wrong, and returns the counts.
func (l *randomLoad) finish() tally {
	l.d.t.Helper()
	close(l.stop)
	l.wg.Wait()
	t := l.tally()
	l.d.t.Log(t)
	if len(l.errs) > 0 {
		l.d.t.Fatalf("%d answers are wrong, the first ones:\n%s", len(l.errs), strings.Join(l.errs[:min(maxPrintedErrors, len(l.errs))], "\n"))
	}
	return t
}

// setSwitchesInTurn sets switches of backend servers one after the other with a pause between them. The order depends on the source.
func (d *deployment) setSwitchesInTurn(rng *rand.Rand, pause time.Duration, switches func(b *launcher.Backend) string) {
	d.t.Helper()
	list := d.Backends()
	for _, i := range rng.Perm(len(list)) {
		assert.NilError(d.t, d.SetSwitches(list[i], switches(list[i])))
		time.Sleep(pause)
	}
}

// shardOf returns the shard of the service that a backend server belongs to.
func (d *deployment) shardOf(b *launcher.Backend) int {
	var shard int
	_, err := fmt.Sscanf(b.Server.Service, application+"-%d", &shard)
	assert.NilError(d.t, err)
	return shard
}

// sumMetric adds up a counter of all running VMs.
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

// joinHeld returns the list that the switches Hold and Drop take.
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
