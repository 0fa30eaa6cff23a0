package benchmarker

import (
	"fmt"
	"os"
	"time"

	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

// session is a running deployment with a caller that sends queries to it.
type session struct {
	*launcher.Cluster
	caller *launcher.Caller
	vms    []*launcher.VM
}

// openSession starts a deployment and a caller and sends queries until every VM answers in full. The caller keeps at most maxIdle
// idle connections to each VM.
func (b *benchmark) openSession(o launcher.Options, maxIdle int, application, route string) (*session, error) {
	c, err := b.startCluster(o)
	if err != nil {
		return nil, err
	}
	s := &session{
		Cluster: c,
		caller:  launcher.NewCaller(maxIdle),
		vms:     c.VMs(),
	}
	if err := s.warmUp(application, route); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// openDeployment opens a session with an example deployment, which runs with the configuration in set.
func (b *benchmark) openDeployment(d deploymentCase, set parser.Set) (*session, error) {
	return b.openSession(d.launcherOptions(set), maxOutstanding, d.application, d.route)
}

func (s *session) close() {
	s.caller.Close()
	s.Stop()
}

// search sends query number n. The queries are distributed over the VMs by round robin.
func (s *session) search(n int, q launcher.Query) (launcher.Response, error) {
	return s.caller.Search(s.vms[n%len(s.vms)], q)
}

// startCluster starts a deployment with its logs in a new directory in OutDir, publishes its set and waits until all VMs are
// ready.
func (b *benchmark) startCluster(o launcher.Options) (*launcher.Cluster, error) {
	dir, err := os.MkdirTemp(b.OutDir, "logs-")
	if err != nil {
		return nil, fmt.Errorf("creating a log directory: %w", err)
	}
	o.BinDir, o.LogDir, o.Snapshot = b.BinDir, dir, snapshot
	c, err := launcher.Start(o)
	if err != nil {
		return nil, err
	}
	if err := c.ApplyAndWait(readyTimeout); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// warmUp sends queries to all VMs until each has answered in full in the same round.
func (s *session) warmUp(application, route string) error {
	n := 0
	return launcher.WaitFor(readyTimeout, "every VM answers in full", func() bool {
		for _, v := range s.vms {
			n++
			resp, err := s.caller.Search(v, launcher.Query{
				Application: application,
				Route:       route,
				Body:        fmt.Sprintf("warm %d", n),
				Limit:       hitLimit,
				Deadline:    time.Second,
			})
			if err != nil || resp.Coverage.Fraction < 1 {
				return false
			}
		}
		return true
	})
}
