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
	probePeriod = 20 * time.Millisecond
	// probeAge is the greatest age of a successful probe at which the load balancer still sends to a VM.
	probeAge = 100 * time.Millisecond
)

// balancer chooses VMs as the platform's load balancer does: by their readiness probe, in turn.
type balancer struct {
	d     *deployment
	done  chan struct{}
	wg    sync.WaitGroup
	names []string

	mu    sync.Mutex
	ready map[string]time.Time
	next  int
}

func newBalancer(d *deployment) *balancer {
	b := &balancer{
		d:     d,
		done:  make(chan struct{}),
		ready: map[string]time.Time{},
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
	client := launcher.NewClient(probeAge)
	defer client.CloseIdleConnections()
	tick := time.NewTicker(probePeriod)
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
			b.ready[v.Name] = start
			b.mu.Unlock()
		}
	}
}

// pick returns the next VM whose probe succeeded lately, or nil.
func (b *balancer) pick() *launcher.VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for range b.names {
		name := b.names[b.next%len(b.names)]
		b.next++
		if now.Sub(b.ready[name]) <= probeAge {
			return b.d.VM(name)
		}
	}
	return nil
}

// sent is one query with what became of it.
type sent struct {
	at     time.Time
	route  string
	vm     string
	query  launcher.Query
	answer launcher.Response
	err    error
}

// refused reports that the caller got no answer.
func (s sent) refused() bool {
	return s.err != nil || !s.answer.Code.Answered()
}

// harmed reports that the caller got no answer or not the full one.
func (s sent) harmed() bool {
	return s.refused() || s.answer.Code != classifier.OK || s.answer.Coverage.Fraction < 1
}

// traffic sends queries from several callers, in turn on the routes, through the balancer.
type traffic struct {
	b      *balancer
	routes []string
	done   chan struct{}
	wg     sync.WaitGroup

	mu   sync.Mutex
	list []sent
}

// startTraffic sends rate queries a second from several callers with kept-alive connections until the test ends or stop.
func (d *deployment) startTraffic(callers, rate int, routes ...string) *traffic {
	tr := &traffic{
		b:      newBalancer(d),
		routes: routes,
		done:   make(chan struct{}),
	}
	period := time.Second * time.Duration(callers) / time.Duration(rate)
	for n := range callers {
		tr.wg.Go(func() {
			time.Sleep(period * time.Duration(n) / time.Duration(callers))
			tr.call(n, period)
		})
	}
	d.t.Cleanup(tr.stop)
	return tr
}

func (tr *traffic) call(n int, period time.Duration) {
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
		v := tr.b.pick()
		if v == nil {
			continue
		}
		n++
		q := tr.b.d.query()
		q.Route = tr.routes[n%len(tr.routes)]
		s := sent{
			at:    time.Now(),
			route: q.Route,
			vm:    v.Name,
			query: q,
		}
		s.answer, s.err = caller.Search(v, q)
		tr.mu.Lock()
		tr.list = append(tr.list, s)
		tr.mu.Unlock()
	}
}

// stop ends the traffic and waits for the last answers.
func (tr *traffic) stop() {
	select {
	case <-tr.done:
		return
	default:
	}
	close(tr.done)
	tr.wg.Wait()
	tr.b.stop()
}

// between returns the ended queries that were sent in [from, to).
func (tr *traffic) between(from, to time.Time) []sent {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var list []sent
	for _, s := range tr.list {
		if !s.at.Before(from) && s.at.Before(to) {
			list = append(list, s)
		}
	}
	return list
}

func count(list []sent, is func(sent) bool) int {
	n := 0
	for _, s := range list {
		if is(s) {
			n++
		}
	}
	return n
}

// checkAll compares every answer with the corpus and describes a few of those that harmed says.
func checkAll(t *testing.T, list []sent) {
	t.Helper()
	shown := 0
	for _, s := range list {
		if s.err == nil {
			assert.NilError(t, checkAnswer(s.query, s.answer))
		}
		if s.harmed() && shown < 5 {
			shown++
			t.Logf("%s at %s route %s: %v %s %+v", s.at.Format("05.000"), s.vm, s.route, s.err, s.answer.CodeName, s.answer.Coverage)
		}
	}
}

// status returns what a VM knows, or false when it does not answer.
func (d *deployment) status(v *launcher.VM) (administrator.StatusResponse, bool) {
	client := launcher.NewClient(time.Second)
	defer client.CloseIdleConnections()
	var answer administrator.StatusResponse
	resp, err := client.Get("http://" + v.Operator.String() + "/v1/status")
	if err != nil {
		return answer, false
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read
	return answer, json.NewDecoder(resp.Body).Decode(&answer) == nil
}

// moves returns the state of the test's move at each running VM that answers.
func (d *deployment) moves() map[string]administrator.Move {
	var mu sync.Mutex
	var wg sync.WaitGroup
	states := map[string]administrator.Move{}
	for _, v := range d.VMs() {
		if !v.Running() {
			continue
		}
		wg.Go(func() {
			answer, ok := d.status(v)
			i := slices.IndexFunc(answer.Moves, func(m administrator.Move) bool { return m.Name == moveName })
			if ok && i >= 0 {
				mu.Lock()
				states[v.Name] = answer.Moves[i]
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return states
}
