package main

import (
	"fmt"
	"sync"
	"time"
)

const ordinaryPath = "/partner/drop"

// sender sends requests to one gateway, each on a new connection.
type sender struct {
	d       *deployment
	gateway *gateway
	prefix  string
	period  time.Duration
	// budget is how long the consumer waits for an answer.
	budget time.Duration
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
	a := c.do("GET", path, id, "", s.budget)
	_ = c.conn.Close()
	s.d.rec.addAt(a.ended, "%s answered %d after %s, error %v", id, a.status, a.ended.Sub(a.sent).Round(time.Millisecond), a.err)
}
