package main

import (
	"os"
	"sync/atomic"
	"time"
)

const (
	// host is the host of all routes.
	host = "pupu76.example"
	// startLimit bounds the start of a gateway.
	startLimit = 20 * time.Second
	// stabilityWindow, configApply, maxStretch and drainTimeout are the bounds of the settings.
	stabilityWindow = 5 * time.Second
	configApply     = 4 * time.Second
	maxStretch      = 15 * time.Second
	drainTimeout    = 4 * time.Second
)

// deployment is a small deployment: the store, replicas and one gateway in each of three zones.
type deployment struct {
	rec      *record
	dir      string
	store    *store
	replicas []*replica
	gateways []*gateway
	// requests is the number of requests that were sent.
	requests atomic.Int64
}

func newDeployment(recordPath string) (*deployment, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := startStore(rec)
	if err != nil {
		return nil, err
	}
	return &deployment{
		rec:   rec,
		dir:   dir,
		store: s,
	}, nil
}

// addReplica starts a replica and registers it.
func (d *deployment) addReplica(service, version, id, zone string) (*replica, error) {
	r, err := startReplica(d.rec, service, version, id, zone)
	if err != nil {
		return nil, err
	}
	d.replicas = append(d.replicas, r)
	d.store.put("servers", id, r.entry("ready"))
	return r, nil
}

// startGateways starts a gateway in each zone and waits until all are ready.
func (d *deployment) startGateways() error {
	taken := map[string]bool{}
	for _, zone := range []string{"randstad-a", "oost-a", "zuid-a"} {
		g, err := newGateway(zone, taken)
		if err != nil {
			return err
		}
		d.gateways = append(d.gateways, g)
	}
	for _, g := range d.gateways {
		if err := g.start(d.dir, d.gateways[0].control, d.store.address); err != nil {
			return err
		}
		d.rec.add("%s starts, process %d", g.name, g.cmd.Process.Pid)
	}
	for _, g := range d.gateways {
		if err := g.waitReady(startLimit); err != nil {
			return err
		}
	}
	d.rec.add("all gateways are ready")
	return nil
}

// close ends all processes and removes their files, except the logs if KEEP_LOGS names a folder.
func (d *deployment) close() {
	for _, g := range d.gateways {
		g.kill()
	}
	_ = d.store.server.Close()
	for _, r := range d.replicas {
		_ = r.server.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(d.dir, keep)
	}
	_ = os.RemoveAll(d.dir)
}

// route is a route to one service in a configuration.
func route(name, prefix, service string) map[string]any {
	return map[string]any{
		"name":              name,
		"host":              host,
		"path-prefix":       prefix,
		"route-type":        "idempotent",
		"timeout-ms":        3000,
		"target-latency-ms": 300,
		"priority":          2,
		"service":           service,
		"max-attempts":      2,
		"allowed-regions":   []string{},
	}
}

// configuration is the object config/main.
func configuration(version int, services []string, routes ...map[string]any) map[string]any {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{
			"name":              name,
			"health-check-path": "/health",
			"max-connections":   40,
			"protocol":          "h1",
			"tls":               false,
			"cold-start-s":      3.0,
			"cold-per-s":        0.0,
		})
	}
	return map[string]any{
		"version":  version,
		"routes":   routes,
		"services": list,
		"limits": map[string]any{
			"max-header-bytes":  16384,
			"max-body-bytes":    262144,
			"header-timeout-ms": 3000,
			"idle-timeout-ms":   15000,
		},
	}
}
