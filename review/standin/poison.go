package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// The figures of the script "poison". The site oso-perdido has 9 replicas of ingesta with 6 slots, partner-drop with 220 ms of work and
// a time budget of 6,000 ms, and a stability window of 4,000 ms.
const (
	meanWork      = 220 * time.Millisecond
	partnerBudget = 6 * time.Second
	poisonPath    = "/partner/list-77"
	// poisonPeriod is the time after which the request that crashes replicas comes again.
	poisonPeriod    = 2 * time.Second
	poisonCount     = 12
	stabilityWindow = 4 * time.Second
	// A crashed replica is back after restartDelay. The store removes its entry after three heartbeats of silence.
	restartDelay = 4 * time.Second
	entryLapse   = 3 * heartbeat
	// allowedRetries is the number of retries that may still reach replicas.
	allowedRetries = 3
	// loadPeriod is the time between two ordinary requests to one gateway.
	loadPeriod = 90 * time.Millisecond
)

// poisonLog is what has happened to the request that crashes replicas.
type poisonLog struct {
	d       *deployment
	crashes bool

	mu      sync.Mutex
	crashed []time.Time
	// reached maps the IDs of the attempts to the times at which they first reached a replica.
	reached map[string]time.Time
	next    int
}

// begin is called when a replica begins to work on a request. It reports whether the replica crashes.
func (p *poisonLog) begin(r *replica, id, path string) bool {
	if path != poisonPath {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.reached[id]; !ok {
		p.reached[id] = time.Now()
	}
	if !p.crashes || r.crashed() {
		return p.crashes
	}
	p.crashed = append(p.crashed, time.Now())
	p.next++
	p.d.rec.add("replica %s crashes, %s is the cause, %d other requests run there", r.id, id, len(r.free)-1)
	r.markCrashed()
	go p.restart(r, fmt.Sprintf("i-restarted%d", p.next))
	return true
}

// restart ends a replica, and starts it again later as a new incarnation with a new ID.
func (p *poisonLog) restart(r *replica, id string) {
	_ = r.server.Close()
	time.Sleep(entryLapse)
	p.d.store.remove("servers", r.id)
	time.Sleep(restartDelay - entryLapse)
	if err := p.d.addReplica(r.service, id, r.zone, r.slots, r.work, p.begin); err != nil {
		p.d.rec.add("%s cannot start: %v", id, err)
		return
	}
	p.d.rec.add("replica %s is back as %s", r.id, id)
}

// poison sends a request that crashes each replica that begins to run it, again and again.
func poison(d *deployment, trouble bool) (int, error) {
	p := &poisonLog{
		d:       d,
		crashes: trouble,
		reached: map[string]time.Time{},
	}
	d.store.put("config", "main", configuration("/partner/", "ingesta", "idempotent", int(partnerBudget.Milliseconds()), 1000))
	for i := range 9 {
		zone := []string{"litoral-a", "capital-a", "este-a"}[i%3]
		if err := d.addReplica("ingesta", fmt.Sprintf("i-ingesta%d", i), zone, 6, fixedWork(meanWork), p.begin); err != nil {
			return 0, err
		}
	}
	if err := d.startGateways("litoral-a", "capital-a"); err != nil {
		return 0, err
	}
	time.Sleep(stabilityWindow + time.Second)
	start := time.Now()
	var wg sync.WaitGroup
	for i, g := range d.gateways {
		s := &sender{
			d:       d,
			gateway: g,
			prefix:  fmt.Sprintf("g%d", i),
			period:  loadPeriod,
			budget:  partnerBudget,
		}
		wg.Add(1)
		go s.run(&wg, start, start.Add(poisonCount*poisonPeriod))
	}
	for i := range poisonCount {
		s := &sender{
			d:       d,
			gateway: d.gateways[i%len(d.gateways)],
			budget:  partnerBudget,
		}
		time.Sleep(time.Until(start.Add(time.Duration(i) * poisonPeriod)))
		id := fmt.Sprintf("poison-%02d", i)
		wg.Go(func() {
			s.send(id, poisonPath)
		})
	}
	wg.Wait()
	return p.count(), nil
}

// count returns the number of attempts that reached a replica later than the stability window after the crash of the third replica,
// 0 if that is at most allowedRetries.
func (p *poisonLog) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashed) < 3 {
		p.d.rec.add("%d replicas crashed", len(p.crashed))
		return 0
	}
	third := p.crashed[2]
	p.d.rec.addAt(third, "the third replica had crashed, %d in all until the end", len(p.crashed))
	late := []string{}
	for id, at := range p.reached {
		if at.Sub(third) > stabilityWindow {
			late = append(late, id)
		}
	}
	if len(late) <= allowedRetries {
		return 0
	}
	p.d.rec.add("BUDGET: %d retries reached replicas later than %s after that: %s", len(late), stabilityWindow, strings.Join(late, " "))
	return len(late)
}
