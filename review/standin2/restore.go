package main

import (
	"errors"
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

// playRestore checks the rule CONFIG after the store came back from a copy that lacks what the gateways wrote as they started. The
// operator and the replicas write nothing between the copy and the return.
func playRestore(d *deployment, trouble bool) (string, error) {
	services := []string{"ledger-a", "ledger-b"}
	for i, service := range services {
		for j, zone := range []string{"randstad-a", "oost-a"} {
			if _, err := d.addReplica(service, "v1", fmt.Sprintf("i-%d%d", i, j), zone); err != nil {
				return "", err
			}
		}
	}
	d.store.put("config", "main", configuration(7, services, route("r-desk", "/desk/", "ledger-a")))
	d.store.makeCopy()
	copied := time.Now()
	if err := d.startGateways(); err != nil {
		return "", err
	}
	for _, g := range d.gateways {
		if a := d.get(g, "/desk/2f"); a.status != http.StatusOK || a.body != "ledger-a" {
			return "", errors.New("the deployment does not serve before the disruption")
		}
	}
	time.Sleep(time.Until(copied.Add(copyAge)))
	if trouble {
		d.store.goAway()
		time.Sleep(awayTime)
		if err := d.store.comeBack(); err != nil {
			return "", err
		}
	}
	// Afterwards the store has been calm for longer than the stability window.
	time.Sleep(stabilityWindow + 3*time.Second)
	d.store.put("config", "main", configuration(9, services, route("r-desk", "/desk/", "ledger-b"), route("r-claim", "/claim/", "ledger-b")))
	confirmed := time.Now()
	d.rec.add("the store confirms version 9: /desk/ moves to ledger-b, /claim/ is new")
	for _, g := range d.gateways {
		d.get(g, "/desk/2f")
	}
	// The bound would be stretched by maxStretch at most if the store were still unstable.
	time.Sleep(time.Until(confirmed.Add(configApply + maxStretch)))
	total, old, missing := 0, 0, 0
	for end := time.Now().Add(watchedTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, g := range d.gateways {
			total += 2
			if a := d.get(g, "/desk/2f"); a.body == "ledger-a" {
				old++
			}
			if a := d.get(g, "/claim/2f"); a.status == http.StatusNotFound {
				missing++
			}
		}
	}
	if old+missing == 0 {
		return "", nil
	}
	return fmt.Sprintf("CONFIG: of %d requests sent later than %s after the confirmation of version 9, %d were run by the old service and %d were refused with 404", total, configApply+maxStretch, old, missing), nil
}
