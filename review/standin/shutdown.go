package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The figures of the script "shutdown". The site oso-perdido has partner-drop with up to 1,300 ms of work, a time budget of 6,000 ms
// and a target of 1,000 ms, and an idle limit of 15 s, of which consumers use up to four fifths.
const (
	shutdownWork      = 1200 * time.Millisecond
	shutdownBudget    = 6 * time.Second
	shutdownConsumers = 60
	shutdownPeriod    = 8 * time.Second
	shutdownCalm      = 17 * time.Second
	gracePeriod       = 6 * time.Second
	// sentEarly is how long after SIGTERM a request may be sent for which the excuse of the last sixth of the grace period holds.
	sentEarly = 3 * time.Second
)

// partner is a consumer that keeps one connection and sends a request each shutdownPeriod.
type partner struct {
	number int
	d      *deployment
	conn   *consumerConn
	// target is the gateway to which the platform forwards the next connection.
	target func() string

	mu      sync.Mutex
	answers []answer
}

func (p *partner) run(wg *sync.WaitGroup, first time.Time, until time.Time) {
	defer wg.Done()
	for i, at := 0, first; at.Before(until); i, at = i+1, at.Add(shutdownPeriod) {
		time.Sleep(time.Until(at))
		p.send(fmt.Sprintf("p%02d-%02d", p.number, i))
	}
}

func (p *partner) send(id string) {
	if p.conn != nil && p.conn.closedByPeer() {
		_ = p.conn.conn.Close()
		p.conn = nil
	}
	if p.conn == nil {
		c, err := dialConsumer(p.target())
		if err != nil {
			p.d.rec.add("%s finds no connection: %v", id, err)
			return
		}
		p.conn = c
	}
	from := p.conn.conn.LocalAddr().String()
	to := p.conn.conn.RemoteAddr().String()
	p.d.rec.add("%s sent from %s to %s, connection idle for %s", id, from, to, time.Since(p.conn.idleSince).Round(time.Millisecond))
	a := p.conn.do("POST", "/partner/drop", id, strings.Repeat("x", 300), shutdownBudget)
	if a.complete {
		p.d.rec.addAt(a.ended, "%s answered %d after %s", id, a.status, a.ended.Sub(a.sent).Round(time.Millisecond))
	} else {
		p.d.rec.addAt(a.ended, "%s has no complete answer, its connection ended after %s: %v", id, a.ended.Sub(a.sent).Round(time.Millisecond), a.err)
	}
	if !a.complete || a.closing {
		_ = p.conn.conn.Close()
		p.conn = nil
	}
	p.mu.Lock()
	p.answers = append(p.answers, a)
	p.mu.Unlock()
}

// shutdown stops one of two gateways under a steady load of kept connections.
func shutdown(d *deployment, trouble bool) (int, error) {
	d.store.put("config", "main", configuration("/partner/", "ingesta", "non_idempotent", int(shutdownBudget.Milliseconds()), 1000))
	for i, zone := range []string{"litoral-a", "litoral-a", "litoral-a", "capital-a", "capital-a", "capital-a"} {
		if err := d.addReplica("ingesta", fmt.Sprintf("i-ingesta%d", i), zone, 6, fixedWork(shutdownWork), nil); err != nil {
			return 0, err
		}
	}
	if err := d.startGateways("litoral-a", "capital-a"); err != nil {
		return 0, err
	}
	stopped, other := d.gateways[0], d.gateways[1]
	stopAt := time.Now().Add(shutdownCalm)
	var mu sync.Mutex
	target := stopped.front
	var wg sync.WaitGroup
	partners := make([]*partner, shutdownConsumers)
	first := time.Now()
	for i := range partners {
		partners[i] = &partner{
			number: i,
			d:      d,
			target: func() string {
				mu.Lock()
				defer mu.Unlock()
				return target
			},
		}
		wg.Add(1)
		go partners[i].run(&wg, first.Add(time.Duration(i)*shutdownPeriod/shutdownConsumers), stopAt.Add(gracePeriod+2*time.Second))
	}
	time.Sleep(time.Until(stopAt))
	if trouble {
		stopAt = time.Now()
		d.rec.addAt(stopAt, "SIGTERM to %s", stopped.name)
		if err := stopped.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return 0, err
		}
		// The platform asks each second and stops new connections after two misses in a row.
		go func() {
			for misses := 0; misses < 2; time.Sleep(time.Second) {
				if stopped.answersReady() {
					misses = 0
				} else {
					misses++
				}
			}
			mu.Lock()
			target = other.front
			mu.Unlock()
			d.rec.add("new connections go to %s", other.name)
		}()
		select {
		case <-stopped.exited:
			d.rec.add("%s has ended by itself, %s after SIGTERM", stopped.name, time.Since(stopAt).Round(time.Millisecond))
		case <-time.After(time.Until(stopAt.Add(gracePeriod))):
			d.rec.add("SIGKILL to %s", stopped.name)
			stopped.kill()
		}
	}
	wg.Wait()
	return countLost(d, partners, stopAt), nil
}

// countLost returns the number of requests that break LOST: read, passed on to a replica, and ended without a complete answer from
// the SIGTERM until 1 s after the grace period. Not counted are those that were sent within 3 s of the SIGTERM and at which the
// replica still worked in the last sixth of the grace period, and those whose time budget was over.
func countLost(d *deployment, partners []*partner, stopAt time.Time) int {
	lost := 0
	for _, p := range partners {
		for _, a := range p.answers {
			e := d.find(a.id)
			if a.complete || e == nil || a.ended.Sub(a.sent) >= shutdownBudget {
				continue
			}
			since := a.sent.Sub(stopAt)
			workedLate := e.ended.Sub(stopAt) >= gracePeriod*5/6
			if since <= sentEarly && workedLate || a.ended.Sub(stopAt) > gracePeriod+time.Second {
				d.rec.add("%s is excused", a.id)
				continue
			}
			d.rec.add("LOST: %s, sent %s after the SIGTERM, was passed on to %s, and its connection ended %s after the SIGTERM without an answer",
				a.id, since.Round(time.Millisecond), e.replica, a.ended.Sub(stopAt).Round(time.Millisecond))
			lost++
		}
	}
	return lost
}
