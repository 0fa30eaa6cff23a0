package launcher

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// awaitLive waits until all VMs answer their liveness probe.
func (c *Cluster) awaitLive() error {
	err := WaitFor(startTimeout, "all VMs are live", func() bool {
		return !slices.ContainsFunc(c.VMs(), func(v *VM) bool {
			return v.Running() && !c.probe(v, "/live")
		})
	})
	for _, v := range c.VMs() {
		if !v.Running() {
			err = errors.Join(err, fmt.Errorf("the VM %s has ended; see its log", v.Name))
		}
	}
	return err
}

// WaitReady waits until all running VMs answer their readiness probe.
func (c *Cluster) WaitReady(limit time.Duration) error {
	return WaitFor(limit, "all VMs are ready", func() bool {
		return !slices.ContainsFunc(c.VMs(), func(v *VM) bool {
			return v.Running() && !c.Ready(v)
		})
	})
}

// Ready reports whether a VM answers its readiness probe.
func (c *Cluster) Ready(v *VM) bool {
	return c.probe(v, "/ready")
}

func (c *Cluster) probe(v *VM, path string) bool {
	resp, err := c.client.Get("http://" + v.Metrics.String() + path)
	if err != nil {
		return false
	}
	defer resp.Body.Close() //nolint:errcheck // only the status matters
	return resp.StatusCode == http.StatusOK
}

// WaitFor polls until the condition holds, or returns an error that names it after limit.
func WaitFor(limit time.Duration, condition string, holds func() bool) error {
	const poll = 20 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(poll) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("after %s it does not hold that %s", limit, condition)
}
