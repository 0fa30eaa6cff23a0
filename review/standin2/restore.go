package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// copyAge is the age of the copy from which the store comes back, and awayTime how long the store is away.
	copyAge  = 4 * time.Second
	awayTime = time.Second
	// watchedTime is how long requests are sent after a change has to be in force.
	watchedTime = 3 * time.Second
)

// drill is a deployment whose store comes back from a copy that lacks what the gateways wrote as they started. The operator and the
// replicas write nothing between the copy and the drill.
type drill struct {
	d        *deployment
	services []string
}

// begin starts the deployment with version 7, which has a route to ledger-a, and waits until the copy is copyAge old.
func (r *drill) begin() error {
	r.services = []string{"ledger-a", "ledger-b"}
	for i, service := range r.services {
		for j, zone := range []string{"randstad-a", "oost-a"} {
			if _, err := r.d.addReplica(service, "v1", fmt.Sprintf("i-%d%d", i, j), zone); err != nil {
				return err
			}
		}
	}
	r.d.store.put("config", "main", configuration(7, r.services, route("r-desk", "/desk/", "ledger-a")))
	r.d.store.makeCopy()
	copied := time.Now()
	if err := r.d.startGateways(); err != nil {
		return err
	}
	for _, g := range r.d.gateways {
		if a := r.d.get(g, "/desk/2f"); a.status != http.StatusOK || a.body != "ledger-a" {
			return fmt.Errorf("%s does not serve before the disruption: status %d, body %q", g.name, a.status, a.body)
		}
	}
	time.Sleep(time.Until(copied.Add(copyAge)))
	return nil
}

// change writes version 9, which moves the first route to ledger-b and adds another one.
func (r *drill) change() {
	r.d.store.put("config", "main", configuration(9, r.services, route("r-desk", "/desk/", "ledger-b"), route("r-claim", "/claim/", "ledger-b")))
	r.d.rec.add("the store confirms version 9: /desk/ moves to ledger-b, /claim/ is new")
}

// judge sends requests that only an older version than 9 treats as version 7 does, and returns how the rule was broken, or "".
func (r *drill) judge(confirmed time.Time) string {
	later := time.Since(confirmed).Round(time.Second)
	total, old, missing := 0, 0, 0
	for end := time.Now().Add(watchedTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, g := range r.d.gateways {
			total += 2
			if a := r.d.get(g, "/desk/2f"); a.body == "ledger-a" {
				old++
			}
			if a := r.d.get(g, "/claim/2f"); a.status == http.StatusNotFound {
				missing++
			}
		}
	}
	if old+missing == 0 {
		return ""
	}
	return fmt.Sprintf("CONFIG: of %d requests sent later than %s after the confirmation of version 9, %d were run by the old service and %d were refused with 404", total, later, old, missing)
}

// playRestore checks the rule CONFIG for a version that is written when the store has been back for longer than the stability window.
func playRestore(d *deployment, trouble bool) (string, error) {
	r := &drill{
		d: d,
	}
	if err := r.begin(); err != nil {
		return "", err
	}
	if trouble {
		d.store.goAway()
		time.Sleep(awayTime)
		if err := d.store.comeBack(func() {}); err != nil {
			return "", err
		}
	}
	time.Sleep(stabilityWindow + 3*time.Second)
	r.change()
	confirmed := time.Now()
	for _, g := range d.gateways {
		d.get(g, "/desk/2f")
	}
	// The bound would be stretched by maxStretch at most if the store were still unstable.
	time.Sleep(time.Until(confirmed.Add(configApply + maxStretch)))
	return r.judge(confirmed), nil
}

// playReuse checks the rule CONFIG for a version that the operator could not write while the store was away and that is written as soon
// as it is back. Replicas that started meanwhile register after it, so that the revisions before the drill are given out again.
func playReuse(d *deployment, trouble bool) (string, error) {
	r := &drill{
		d: d,
	}
	if err := r.begin(); err != nil {
		return "", err
	}
	var started []*replica
	for i, service := range r.services {
		for j, zone := range []string{"randstad-a", "zuid-a"} {
			replica, err := startReplica(d.rec, service, "v1", fmt.Sprintf("i-%d%d", i, 2+j), zone)
			if err != nil {
				return "", err
			}
			started = append(started, replica)
		}
	}
	d.replicas = append(d.replicas, started...)
	delayed := func() {
		r.change()
		for _, replica := range started {
			d.store.put("servers", replica.id, replica.entry("ready"))
		}
	}
	if trouble {
		d.store.goAway()
		time.Sleep(awayTime)
		if err := d.store.comeBack(delayed); err != nil {
			return "", err
		}
	} else {
		delayed()
	}
	confirmed := time.Now()
	time.Sleep(time.Until(confirmed.Add(stabilityWindow + configApply + maxStretch)))
	return r.judge(confirmed), nil
}
