package benchmarker

import (
	"fmt"
	"os"
	"time"

	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

// session is a running deployment with a caller.
type session struct {
	*launcher.Cluster
	caller *launcher.Caller
	vms    []*launcher.VM
}

// open starts a deployment and a caller, which keeps at most idle unused connections to each VM, and sends queries until every VM
// answers in full.
func (m *measurement) open(o launcher.Options, idle int, application, route string) (*session, error) {
	c, err := m.start(o)
	if err != nil {
		return nil, err
	}
	s := &session{
		Cluster: c,
		caller:  launcher.NewCaller(idle),
		vms:     c.VMs(),
	}
	if err := s.warm(application, route); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// openCase opens a session with one of the users' deployments. Set is its configuration.
func (m *measurement) openCase(d deploymentCase, set parser.Set) (*session, error) {
	return m.open(d.options(set), maxOutstanding, d.application, d.route)
}

func (s *session) close() {
	s.caller.Close()
	s.Stop()
}

// search sends a query to the VM whose turn it is.
func (s *session) search(n int, q launcher.Query) (launcher.Response, error) {
	return s.caller.Search(s.vms[n%len(s.vms)], q)
}

// start starts a deployment whose logs go below OutDir.
func (m *measurement) start(o launcher.Options) (*launcher.Cluster, error) {
	dir, err := os.MkdirTemp(m.OutDir, "logs-")
	if err != nil {
		return nil, fmt.Errorf("making a directory for logs: %w", err)
	}
	o.BinDir, o.LogDir, o.Snapshot = m.BinDir, dir, snapshot
	c, err := launcher.Start(o)
	if err != nil {
		return nil, err
	}
	if err := c.ApplyAndWait(readyLimit); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// warm sends queries until every VM answers in full.
func (s *session) warm(application, route string) error {
	n := 0
	return launcher.WaitFor(readyLimit, "every VM answers in full", func() bool {
		for _, v := range s.vms {
			n++
			a, err := s.caller.Search(v, launcher.Query{
				Application: application,
				Route:       route,
				Body:        fmt.Sprintf("warm %d", n),
				Limit:       hitLimit,
				Deadline:    time.Second,
			})
			if err != nil || a.Coverage.Fraction < 1 {
				return false
			}
		}
		return true
	})
}
