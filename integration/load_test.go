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
	// repeated is the number of bodies that callers send again and again, so that queries without a canary occur too.
	repeated = 20
	// leaveOneIn callers leaves before its answer, if the load has leavers.
	leaveOneIn = 20
	// maxFaults bounds the faults that are printed.
	maxFaults = 5
)

// load sends queries from concurrent callers over all running VMs until it is stopped, and checks every answer.
type load struct {
	d       *deployment
	leavers bool
	pause   time.Duration
	// sizes is the number of shards of each snapshot.
	sizes map[uint64]int
	stop  chan struct{}
	wg    sync.WaitGroup

	mu     sync.Mutex
	counts tally
	ids    map[string]bool
	faults []string
}

// tally counts the answers of a load.
type tally struct {
	all, full, partial, left int
	codes                    map[classifier.Code]int
	// missing counts the missing shards by their reasons.
	missing   map[string]int
	snapshots map[uint64]int
}

// minus returns the counts since an earlier tally.
func (t tally) minus(earlier tally) tally {
	return tally{
		all:     t.all - earlier.all,
		full:    t.full - earlier.full,
		partial: t.partial - earlier.partial,
		left:    t.left - earlier.left,
	}
}

func (t tally) String() string {
	return fmt.Sprintf("%d queries, %d full, %d partial, %d left, codes %v, snapshots %v, missing %v", t.all, t.full, t.partial, t.left, t.codes, t.snapshots, t.missing)
}

// start lets callers send queries. The same seed gives each caller the same sequence.
func (d *deployment) start(l *load, callers int, seed uint64) *load {
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

func (l *load) run(rng *rand.Rand) {
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(l.pause):
		}
		vms := l.d.VMs()
		v, q := vms[rng.IntN(len(vms))], l.d.query()
		if rng.IntN(2) == 0 {
			q.Body = fmt.Sprintf("red kite %d", rng.IntN(repeated))
		}
		if l.leavers && rng.IntN(leaveOneIn) == 0 {
			l.leave(v, q, time.Duration(rng.IntN(int(5*time.Millisecond))))
			continue
		}
		a, err := l.d.caller.Search(v, q)
		l.note(q, a, err)
	}
}

// leave sends a query on a connection of its own and closes it after a while without reading.
func (l *load) leave(v *launcher.VM, q launcher.Query, after time.Duration) {
	conn, err := net.Dial("tcp", v.Caller.String())
	if err != nil {
		l.note(q, launcher.Response{}, err)
		return
	}
	defer conn.Close() //nolint:errcheck // nothing is read
	_, err = fmt.Fprintf(conn, "POST /v1/search/%s/%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", q.Application, q.Route, v.Caller, len(q.Body), q.Body)
	if err != nil {
		l.note(q, launcher.Response{}, err)
		return
	}
	time.Sleep(after)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.left++
}

func (l *load) note(q launcher.Query, a launcher.Response, err error) {
	if err == nil {
		err = checkAnswer(q, a)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.all++
	if err == nil && l.ids[a.RequestID] {
		err = fmt.Errorf("the request ID %s has come before", a.RequestID)
	}
	l.ids[a.RequestID] = true
	if err == nil && a.Code == classifier.Internal {
		err = fmt.Errorf("a fault inside anvildyke: %s", a.Message)
	}
	if size := l.sizes[a.Snapshot]; err == nil && a.Code.Answered() && a.Coverage.Of != size {
		err = fmt.Errorf("the coverage counts %d shards of snapshot %d instead of %d", a.Coverage.Of, a.Snapshot, size)
	}
	if err != nil {
		l.faults = append(l.faults, err.Error())
		return
	}
	l.counts.codes[a.Code]++
	for _, m := range a.Coverage.Missing {
		l.counts.missing[m.Code.String()]++
	}
	switch {
	case a.Code == classifier.OK:
		l.counts.full++
		l.counts.snapshots[a.Snapshot]++
	case a.Code.Answered():
		l.counts.partial++
		l.counts.snapshots[a.Snapshot]++
	}
}

// tally returns the counts so far.
func (l *load) tally() tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.counts
	t.codes = maps.Clone(t.codes)
	t.snapshots = maps.Clone(t.snapshots)
	t.missing = maps.Clone(t.missing)
	return t
}

// finish stops the callers, fails the test when any answer was wrong, and returns the counts.
func (l *load) finish() tally {
	l.d.t.Helper()
	close(l.stop)
	l.wg.Wait()
	t := l.tally()
	l.d.t.Log(t)
	if len(l.faults) > 0 {
		l.d.t.Fatalf("%d answers are wrong, the first ones:\n%s", len(l.faults), strings.Join(l.faults[:min(maxFaults, len(l.faults))], "\n"))
	}
	return t
}

// switchAll sets switches of backend servers one after the other with a pause between them. The order depends on the source.
func (d *deployment) switchAll(rng *rand.Rand, pause time.Duration, switches func(b *launcher.Backend) string) {
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

// metric adds up a counter of all running VMs.
func (d *deployment) metric(name string) int {
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
