package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of the script "duplicate". The site oso-perdido has 9 replicas of ingesta with 6 slots, partner-drop with a mean of 220 ms
// of work, a spread of 0.5 and at most 1,300 ms, a time budget of 6,000 ms and a target of 1,000 ms.
const (
	meanWork      = 220 * time.Millisecond
	maxWork       = 1300 * time.Millisecond
	workSpread    = 0.5
	slowFactor    = 12
	slowFor       = 16 * time.Second
	partnerBudget = 6 * time.Second
	drainTimeout  = 3 * time.Second
	// requestPeriod is the time between two requests to one gateway.
	requestPeriod = 130 * time.Millisecond
	calm          = 8 * time.Second
	// The replicas that leave report that they are draining from firstDrain after the start of the slow time, drainPeriod apart.
	firstDrain   = 6800 * time.Millisecond
	drainPeriod  = 200 * time.Millisecond
	drainedCount = 5
	watchedFor   = 20 * time.Second
	ordinaryPath = "/partner/drop"
)

// duplicate lets replicas leave while all replicas are slow, and counts the requests that reach one later than the drain timeout.
func duplicate(d *deployment, trouble bool) (int, error) {
	var slow atomic.Bool
	work := func() time.Duration {
		w := min(float64(meanWork)*math.Exp(workSpread*rand.NormFloat64()-workSpread*workSpread/2), float64(maxWork))
		if slow.Load() {
			w *= slowFactor
		}
		return time.Duration(w)
	}
	d.store.put("config", "main", configuration("/partner/", "ingesta", "idempotent", int(partnerBudget.Milliseconds()), 1000))
	for i := range 9 {
		zone := []string{"litoral-a", "capital-a", "este-a"}
		if err := d.addReplica("ingesta", fmt.Sprintf("i-ingesta%d", i), zone[i%len(zone)], 6, work, nil); err != nil {
			return 0, err
		}
	}
	if err := d.startGateways("litoral-a", "capital-a"); err != nil {
		return 0, err
	}
	start := time.Now()
	slowAt := start.Add(calm)
	var wg sync.WaitGroup
	for i, g := range d.gateways {
		s := &sender{
			d:       d,
			gateway: g,
			prefix:  fmt.Sprintf("g%d", i),
			period:  requestPeriod,
		}
		wg.Add(1)
		go s.run(&wg, start, slowAt.Add(watchedFor))
	}
	time.Sleep(time.Until(slowAt))
	if trouble {
		slow.Store(true)
		d.rec.add("all replicas are %d times as slow from now on, for %s", slowFactor, slowFor)
	}
	drained := map[*replica]time.Time{}
	for i := range drainedCount {
		time.Sleep(time.Until(slowAt.Add(firstDrain + time.Duration(i)*drainPeriod)))
		r := d.replicas[i]
		drained[r] = d.drain(r)
		d.rec.addAt(drained[r], "the store has accepted that %s is draining", r.id)
	}
	time.Sleep(time.Until(slowAt.Add(slowFor)))
	slow.Store(false)
	wg.Wait()
	return countLate(d, drained), nil
}

// sender sends requests to one gateway, each on a new connection.
type sender struct {
	d       *deployment
	gateway *gateway
	prefix  string
	period  time.Duration
}

func (s *sender) run(wg *sync.WaitGroup, start, until time.Time) {
	defer wg.Done()
	var requests sync.WaitGroup
	for i, at := 0, start; at.Before(until); i, at = i+1, at.Add(s.period) {
		time.Sleep(time.Until(at))
		id := fmt.Sprintf("%s-%04d", s.prefix, i)
		requests.Go(func() {
			s.send(id, ordinaryPath)
		})
	}
	requests.Wait()
}

func (s *sender) send(id, path string) {
	c, err := dialConsumer(s.gateway.front)
	if err != nil {
		s.d.rec.add("%s finds no connection: %v", id, err)
		return
	}
	s.d.rec.add("%s sent to %s", id, s.gateway.name)
	a := c.do("GET", path, id, "", partnerBudget)
	_ = c.conn.Close()
	s.d.rec.addAt(a.ended, "%s answered %d after %s, error %v", id, a.status, a.ended.Sub(a.sent).Round(time.Millisecond), a.err)
}

// countLate returns the number of requests that reached a replica, and were run there, later than the drain timeout after the store had
// accepted that it was draining.
func countLate(d *deployment, drained map[*replica]time.Time) int {
	late := 0
	for r, at := range drained {
		r.mu.Lock()
		for _, e := range r.runs {
			if after := e.arrived.Sub(at); after > drainTimeout {
				d.rec.add("DRAIN: %s reached %s %s after the store had accepted that it was draining", e.id, r.id, after.Round(time.Millisecond))
				late++
			}
		}
		r.mu.Unlock()
	}
	return late
}
