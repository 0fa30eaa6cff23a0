package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// moveDuration is the time within which the roll-out is to be completed.
	moveDuration = 12 * time.Second
	// expiryTime is the time after which the store removes the entry of a replica that has ended: three status report intervals.
	expiryTime = 3600 * time.Millisecond
	// judgedRequests is the number of requests on each route by which the rule is checked.
	judgedRequests = 60
)

// traffic sends requests to a gateway until it is stopped.
type traffic struct {
	d       *deployment
	gateway *gateway
	path    string
	done    chan struct{}
}

func (t *traffic) run() {
	tick := time.NewTicker(40 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-t.done:
			return
		case <-tick.C:
			t.d.get(t.gateway, t.path)
		}
	}
}

// waitStatus waits until the status of the roll-out contains a state.
func (d *deployment) waitStatus(state string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if strings.Contains(d.store.status("rollouts", "ledger-b"), state) {
			return true
		}
	}
	return false
}

// move is a roll-out of the service ledger-b from v1 to v2.
type move struct {
	d         *deployment
	old, next []*replica
}

// play checks the rule CONFIG (routes that were added later) after the store came back from a copy that was made just before the
// roll-out was completed.
func (m *move) play(trouble bool) (string, error) {
	done := make(chan struct{})
	defer close(done)
	if err := m.begin(done); err != nil {
		return "", err
	}
	ordered := time.Now()
	m.d.store.put("rollouts", "ledger-b", map[string]any{
		"service":        "ledger-b",
		"target-version": "v2",
		"duration-s":     moveDuration.Seconds(),
	})
	time.Sleep(8 * time.Second)
	m.d.store.makeCopy()
	if !m.d.waitStatus("completed", time.Until(ordered.Add(moveDuration))) {
		return "", errors.New("the roll-out is not completed without a disruption")
	}
	m.d.rec.add("the roll-out is completed %s after the order; the old replicas stop", time.Since(ordered))
	m.stop(m.old)
	time.Sleep(time.Until(ordered.Add(11 * time.Second)))
	if trouble {
		m.d.store.goAway()
		time.Sleep(awayTime)
		if err := m.d.store.comeBack(func() {}); err != nil {
			return "", err
		}
	}
	// The entries of the old replicas, which the copy contains, expire again.
	time.Sleep(expiryTime)
	m.stop(m.old)
	m.configure(9)
	time.Sleep(time.Second)
	m.configure(10)
	if m.d.waitStatus("rolled_back", 10*time.Second) {
		m.drain()
	}
	// Afterwards the store has been calm for longer than the stability window.
	time.Sleep(stabilityWindow + 3*time.Second)
	return m.judge(), nil
}

// begin starts the replicas of both versions, the gateways and the traffic, which ends when done is closed.
func (m *move) begin(done chan struct{}) error {
	if err := m.addReplicas("ledger-a", "v1", "i-a", nil); err != nil {
		return err
	}
	if err := m.addReplicas("ledger-b", "v1", "i-b", &m.old); err != nil {
		return err
	}
	m.d.store.put("config", "main", configuration(7, moveServices, route("r-desk", "/desk/", "ledger-a")))
	if err := m.d.startGateways(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	m.configure(8)
	time.Sleep(2 * time.Second)
	for _, g := range m.d.gateways {
		t := &traffic{
			d:       m.d,
			gateway: g,
			path:    "/claim/2f",
			done:    done,
		}
		go t.run()
	}
	if err := m.addReplicas("ledger-b", "v2", "i-c", &m.next); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// moveServices are the services of the configurations.
var moveServices = []string{"ledger-a", "ledger-b"}

// addReplicas starts two replicas and appends them to list unless it is nil.
func (m *move) addReplicas(service, version, id string, list *[]*replica) error {
	for i, zone := range []string{"randstad-a", "oost-a"} {
		r, err := m.d.addReplica(service, version, fmt.Sprintf("%s%d", id, i), zone)
		if err != nil {
			return err
		}
		if list != nil {
			*list = append(*list, r)
		}
	}
	return nil
}

// configure writes a version of the configuration that contains the route that was added later.
func (m *move) configure(version int) {
	m.d.store.put("config", "main", configuration(version, moveServices, route("r-desk", "/desk/", "ledger-a"), route("r-claim", "/claim/", "ledger-b")))
}

// stop ends replicas and removes their entries.
func (m *move) stop(replicas []*replica) {
	for _, r := range replicas {
		_ = r.server.Close()
		m.d.store.remove("servers", r.id)
	}
}

// drain takes the new replicas away, as the platform does after a roll-back.
func (m *move) drain() {
	m.d.rec.add("the status of the completed roll-out is rolled_back; the new replicas drain some seconds later")
	time.Sleep(3 * time.Second)
	for _, r := range m.next {
		m.d.store.put("servers", r.id, r.entry("draining"))
	}
	time.Sleep(drainTimeout + time.Second)
	m.stop(m.next)
}

// judge sends requests on both routes and returns how the rule was broken, or "".
func (m *move) judge() string {
	first, later := 0, 0
	for i := range judgedRequests {
		g := m.d.gateways[i%len(m.d.gateways)]
		if m.d.get(g, "/desk/2f").status == http.StatusOK {
			first++
		}
		if m.d.get(g, "/claim/2f").status == http.StatusOK {
			later++
		}
		time.Sleep(50 * time.Millisecond)
	}
	m.d.rec.add("served: %d of %d on the first route, %d of %d on the route that was added later", first, judgedRequests, later, judgedRequests)
	if 4*later >= first {
		return ""
	}
	return fmt.Sprintf("CONFIG: in steady state, of %d requests on each route, %d were served on the first one and %d on the one that was added later", judgedRequests, first, later)
}

func playRollback(d *deployment, trouble bool) (string, error) {
	m := &move{
		d: d,
	}
	return m.play(trouble)
}
