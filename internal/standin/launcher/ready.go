package launcher

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// waitLive waits until the liveness probes of all VMs succeed. It returns an error that names each VM that has exited.
func (c *Cluster) waitLive() error {
	err := WaitFor(startTimeout, "all VMs are live", func() bool {
		return !slices.ContainsFunc(c.VMs(), func(v *VM) bool {
			return v.Running() && !c.probe(v, "/live")
		})
	})
	for _, v := range c.VMs() {
		if !v.Running() {
			err = errors.Join(err, fmt.Errorf("VM %s has exited; see its log", v.Name))
		}
	}
	return err
}

// WaitReady waits until the readiness probes of all running VMs succeed.
func (c *Cluster) WaitReady(timeout time.Duration) error {
	return WaitFor(timeout, "all VMs are ready", func() bool {
		return !slices.ContainsFunc(c.VMs(), func(v *VM) bool {
			return v.Running() && !c.Ready(v)
		})
	})
}

// Ready reports whether the readiness probe of a VM succeeds.
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

// WaitFor polls until holds returns true. After timeout it returns an error that contains condition, which describes what is
// expected.
func WaitFor(timeout time.Duration, condition string, holds func() bool) error {
	const pollInterval = 20 * time.Millisecond
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("condition not met within %s: %s", timeout, condition)
}
