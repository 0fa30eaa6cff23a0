package integration_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/administrator"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

const (
	probeInterval = 20 * time.Millisecond
	// maxProbeAge is the maximum age of a successful probe for which the balancer still sends queries to a VM.
	maxProbeAge = 100 * time.Millisecond
)

// balancer selects VMs as the platform's load balancer does: round-robin among those whose readiness probe succeeded recently.
type balancer struct {
	d     *deployment
	done  chan struct{}
	wg    sync.WaitGroup
	names []string

	mu        sync.Mutex
	lastReady map[string]time.Time
	next      int
}

func newBalancer(d *deployment) *balancer {
	b := &balancer{
		d:         d,
		done:      make(chan struct{}),
		lastReady: map[string]time.Time{},
	}
	for _, v := range d.VMs() {
		b.names = append(b.names, v.Name)
		b.wg.Go(func() { b.probe(v) })
	}
	return b
}

func (b *balancer) stop() {
	close(b.done)
	b.wg.Wait()
}

func (b *balancer) probe(v *launcher.VM) {
	client := launcher.NewClient(maxProbeAge)
	defer client.CloseIdleConnections()
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-b.done:
			return
		case <-tick.C:
		}
		start := time.Now()
		resp, err := client.Get("http://" + v.Metrics.String() + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			b.mu.Lock()
			b.lastReady[v.Name] = start
			b.mu.Unlock()
		}
	}
}

// pick returns the next VM whose probe succeeded within maxProbeAge, or nil.
func (b *balancer) pick() *launcher.VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for range b.names {
		name := b.names[b.next%len(b.names)]
		b.next++
		if now.Sub(b.lastReady[name]) <= maxProbeAge {
			return b.d.VM(name)
		}
	}
	return nil
}

type queryRecord struct {
	sentAt   time.Time
	route    string
	vm       string
	query    launcher.Query
	response launcher.Response
	err      error
}

// failed reports whether the caller received no answer.
func (rec queryRecord) failed() bool {
	return rec.err != nil || !rec.response.Code.Answered()
}

// degraded reports whether the caller received no answer or one without full coverage.
func (rec queryRecord) degraded() bool {
	return rec.failed() || rec.response.Code != classifier.OK || rec.response.Coverage.Fraction < 1
}

// traffic sends queries from several callers through the balancer, alternating between the routes.
type traffic struct {
	balancer *balancer
	routes   []string
	done     chan struct{}
	wg       sync.WaitGroup

	mu      sync.Mutex
	records []queryRecord
}

// startTraffic sends rate queries per second from several callers with persistent connections until stop is called or the test
// ends.
func (d *deployment) startTraffic(callers, rate int, routes ...string) *traffic {
	tr := &traffic{
		balancer: newBalancer(d),
		routes:   routes,
		done:     make(chan struct{}),
	}
	period := time.Second * time.Duration(callers) / time.Duration(rate)
	for n := range callers {
		tr.wg.Go(func() {
			time.Sleep(period * time.Duration(n) / time.Duration(callers))
			tr.run(n, period)
		})
	}
	d.t.Cleanup(tr.stop)
	return tr
}

func (tr *traffic) run(n int, period time.Duration) {
	caller := launcher.NewCaller(4)
	defer caller.Close()
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-tr.done:
			return
		case <-tick.C:
		}
		v := tr.balancer.pick()
		if v == nil {
			continue
		}
		n++
		q := tr.balancer.d.query()
		q.Route = tr.routes[n%len(tr.routes)]
		rec := queryRecord{
			sentAt: time.Now(),
			route:  q.Route,
			vm:     v.Name,
			query:  q,
		}
		rec.response, rec.err = caller.Search(v, q)
		tr.mu.Lock()
		tr.records = append(tr.records, rec)
		tr.mu.Unlock()
	}
}

// stop ends the traffic and waits for outstanding queries.
func (tr *traffic) stop() {
	select {
	case <-tr.done:
		return
	default:
	}
	close(tr.done)
	tr.wg.Wait()
	tr.balancer.stop()
}

// between returns the completed queries that were sent in [from, to).
func (tr *traffic) between(from, to time.Time) []queryRecord {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var list []queryRecord
	for _, rec := range tr.records {
		if !rec.sentAt.Before(from) && rec.sentAt.Before(to) {
			list = append(list, rec)
		}
	}
	return list
}

func count(list []queryRecord, matches func(queryRecord) bool) int {
	n := 0
	for _, rec := range list {
		if matches(rec) {
			n++
		}
	}
	return n
}

// checkResponses verifies every response against the corpus and logs the first few degraded ones.
func checkResponses(t *testing.T, list []queryRecord) {
	t.Helper()
	shown := 0
	for _, rec := range list {
		if rec.err == nil {
			assert.NilError(t, checkResponse(rec.query, rec.response))
		}
		if rec.degraded() && shown < 5 {
			shown++
			t.Logf("%s at %s route %s: %v %s %+v", rec.sentAt.Format("05.000"), rec.vm, rec.route, rec.err, rec.response.CodeName, rec.response.Coverage)
		}
	}
}

// status returns the status that a VM reports, or false if it does not respond.
func (d *deployment) status(v *launcher.VM) (administrator.StatusResponse, bool) {
	client := launcher.NewClient(time.Second)
	defer client.CloseIdleConnections()
	var status administrator.StatusResponse
	resp, err := client.Get("http://" + v.Operator.String() + "/v1/status")
	if err != nil {
		return status, false
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read
	return status, json.NewDecoder(resp.Body).Decode(&status) == nil
}

// moves returns the state of the test's move by VM name, from each running VM that responds.
func (d *deployment) moves() map[string]administrator.Move {
	var mu sync.Mutex
	var wg sync.WaitGroup
	states := map[string]administrator.Move{}
	for _, v := range d.VMs() {
		if !v.Running() {
			continue
		}
		wg.Go(func() {
			status, ok := d.status(v)
			i := slices.IndexFunc(status.Moves, func(m administrator.Move) bool { return m.Name == moveName })
			if ok && i >= 0 {
				mu.Lock()
				states[v.Name] = status.Moves[i]
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return states
}
