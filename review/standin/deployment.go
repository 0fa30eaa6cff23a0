package main

import (
	"os"
	"sync"
	"time"
)

// startLimit bounds the start of all gateways.
const startLimit = 20 * time.Second

// heartbeat is the time between two writes of a replica's entry.
const heartbeat = 1200 * time.Millisecond

// deployment is a small deployment: the store, the replicas and the gateways.
type deployment struct {
	binary string
	dir    string
	rec    *record
	store  *store

	gateways []*gateway

	mu       sync.Mutex
	replicas []*replica
	done     chan struct{}
}

func newDeployment(binary, recordPath string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	d := &deployment{
		binary: binary,
		dir:    dir,
		rec:    rec,
		store:  s,
		done:   make(chan struct{}),
	}
	go d.loop()
	return d, nil
}

// loop writes the entries of the replicas, as the replicas do.
func (d *deployment) loop() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for sequence := 2; ; sequence++ {
		select {
		case <-d.done:
			return
		case <-tick.C:
			d.beat(sequence)
		}
	}
}

func (d *deployment) beat(sequence int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.replicas {
		if !r.crashed() {
			d.store.put("servers", r.id, r.entry(sequence))
		}
	}
}

// addReplica starts a replica and registers it.
func (d *deployment) addReplica(service, id, zone string, slots int, work func() time.Duration, begins func(*replica, string, string) bool) error {
	r, err := startReplica(d.rec, service, id, zone, slots, work, begins)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replicas = append(d.replicas, r)
	d.store.put("servers", id, r.entry(1))
	return nil
}

// find returns the run of a request at any replica, or nil.
func (d *deployment) find(id string) *run {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.replicas {
		if e := r.find(id); e != nil {
			return e
		}
	}
	return nil
}

// startGateways starts one gateway in each of the zones and waits until they are ready.
func (d *deployment) startGateways(zones ...string) error {
	for _, zone := range zones {
		g, err := newGateway("frontend-" + zone + "-1")
		if err != nil {
			return err
		}
		d.gateways = append(d.gateways, g)
	}
	for i, g := range d.gateways {
		if err := g.start(d.binary, d.dir, zones[i], d.gateways[0].control, d.store.address()); err != nil {
			return err
		}
		d.rec.add("%s starts, process %d, frontend %s", g.name, g.cmd.Process.Pid, g.front)
	}
	for _, g := range d.gateways {
		if err := g.waitReady(startLimit); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes their settings and logs.
func (d *deployment) close() {
	close(d.done)
	for _, g := range d.gateways {
		g.kill()
	}
	_ = d.store.server.Close()
	for _, r := range d.replicas {
		_ = r.server.Close()
	}
	_ = os.RemoveAll(d.dir)
	_ = d.rec.file.Close()
}

// configuration returns the object config/main with one route to one service.
func configuration(route, service string, kind string, timeoutMs, targetMs int) map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{
				"name":              "r-" + service,
				"host":              consumerHost,
				"path-prefix":       route,
				"route-type":        kind,
				"timeout-ms":        timeoutMs,
				"target-latency-ms": targetMs,
				"priority":          2,
				"service":           service,
				"max-attempts":      2,
				"allowed-regions":   []string{},
			},
		},
		"services": []map[string]any{
			{
				"name":              service,
				"health-check-path": "/health",
				"max-connections":   100,
				"protocol":          "h1",
				"tls":               false,
				"cold-start-s":      3.0,
				"cold-per-s":        0.0,
			},
		},
		"limits": map[string]any{
			"max-header-bytes":  16384,
			"max-body-bytes":    262144,
			"header-timeout-ms": 3000,
			"idle-timeout-ms":   15000,
		},
	}
}
