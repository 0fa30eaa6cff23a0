// Package demonstrator runs the demonstration: it starts the Oso Perdido deployment as processes, sends searches while one
// backend server stalls and another one is killed, and shuts everything down.
package demonstrator

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/anvildyke/anvildyke/examples"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/standin/corpus"
	"github.com/anvildyke/anvildyke/internal/standin/launcher"
)

const (
	snapshot    = 7
	readyLimit  = 20 * time.Second
	warmLimit   = 15 * time.Second
	searchLimit = 5
	deadline    = 250 * time.Millisecond
	regionDelay = 8 * time.Millisecond
	rounds      = 4

	stalled = "buscador-03-litoral-a"
	killed  = "buscador-07-capital-a"
)

// Options say where the programs are and where the report goes.
type Options struct {
	BinDir string
	Out    io.Writer
}

// demonstration is one run.
type demonstration struct {
	Options
	cluster *launcher.Cluster
	caller  *launcher.Caller
	// queries numbers the searches, so that every one has a body of its own.
	queries int
}

// Run shows the main job and stops every process that it started. The error names the step that failed.
func Run(o Options) error {
	set, err := parser.Decode("oso-perdido.yaml", examples.OsoPerdido)
	if err != nil {
		return fmt.Errorf("reading the example: %w", err)
	}
	dir, err := os.MkdirTemp("", "anvildyke-demo-")
	if err != nil {
		return fmt.Errorf("making a directory for logs: %w", err)
	}
	fmt.Fprintf(o.Out, "Starting a platform, backend servers and entry VMs in three zones; logs in %s.\n", dir)
	c, err := launcher.Start(launcher.Options{
		BinDir: o.BinDir,
		LogDir: dir,
		Set:    set,
		VMsPerZone: map[string]int{
			"litoral-a": 3,
			"capital-a": 2,
			"este-a":    2,
		},
		Snapshot:    snapshot,
		ZoneLatency: regionDelay,
	})
	if err != nil {
		return fmt.Errorf("starting the deployment: %w", err)
	}
	defer c.Stop()
	d := &demonstration{
		Options: o,
		cluster: c,
		caller:  launcher.NewCaller(1),
	}
	defer d.caller.Close()
	return d.run()
}

func (d *demonstration) run() error {
	start := time.Now()
	if err := d.cluster.ApplyAndWait(readyLimit); err != nil {
		return fmt.Errorf("publishing the set: %w", err)
	}
	fmt.Fprintf(d.Out, "Published the set; all %d VMs are ready after %s.\n", len(d.cluster.VMs()), time.Since(start).Round(time.Millisecond))
	if err := launcher.WaitFor(warmLimit, "a search covers the whole snapshot", d.covers); err != nil {
		return err
	}
	for _, step := range []struct {
		title  string
		before func() error
	}{
		{"All backend servers answer.", func() error { return nil }},
		{"The backend server " + stalled + " stalls.", d.stall},
		{"The backend server " + killed + " is killed as well.", d.kill},
	} {
		fmt.Fprintln(d.Out, step.title)
		if err := step.before(); err != nil {
			return fmt.Errorf("%s %w", step.title, err)
		}
		if err := d.searches(); err != nil {
			return fmt.Errorf("%s %w", step.title, err)
		}
	}
	fmt.Fprintln(d.Out, "Stopping everything.")
	return nil
}

func (d *demonstration) stall() error {
	b, err := d.server(stalled)
	if err != nil {
		return err
	}
	return d.cluster.SetSwitches(b, "Frozen=true")
}

func (d *demonstration) kill() error {
	b, err := d.server(killed)
	if err != nil {
		return err
	}
	b.Kill()
	return nil
}

func (d *demonstration) server(name string) (*launcher.Backend, error) {
	if b := d.cluster.Backend(name); b != nil {
		return b, nil
	}
	return nil, fmt.Errorf("the example has no backend server %s", name)
}

func (d *demonstration) next() launcher.Query {
	d.queries++
	return launcher.Query{
		Application: "buscador",
		Route:       "lost",
		Body:        fmt.Sprintf("brown bear %d", d.queries),
		Limit:       searchLimit,
		Deadline:    deadline,
	}
}

func (d *demonstration) covers() bool {
	for _, v := range d.cluster.VMs() {
		a, err := d.caller.Search(v, d.next())
		if err != nil || a.Coverage.Fraction < 1 {
			return false
		}
	}
	return true
}

// searches sends a few searches to each VM, prints the last answer of each and checks all of them.
func (d *demonstration) searches() error {
	for _, v := range d.cluster.VMs() {
		for n := range rounds {
			q := d.next()
			a, err := d.caller.Search(v, q)
			if err != nil {
				return err
			}
			if n == rounds-1 {
				d.print(v, q, a)
			}
			if err := check(q, a); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *demonstration) print(v *launcher.VM, q launcher.Query, a launcher.Response) {
	fmt.Fprintf(d.Out, "  %-12s %q: %s, snapshot %d, coverage %d of %d, best hit %s, %s\n", v.Name, q.Body, a.CodeName, a.Snapshot,
		a.Coverage.Answered, a.Coverage.Of, bestOf(a), a.Latency.Round(100*time.Microsecond))
	for _, m := range a.Coverage.Missing {
		fmt.Fprintf(d.Out, "               shard %d is missing: %s\n", m.Shard, m.Reason)
	}
}

func bestOf(a launcher.Response) string {
	if len(a.Hits) == 0 {
		return "none"
	}
	return a.Hits[0].ID
}

// check compares a full answer with the corpus that the backend servers hold.
func check(q launcher.Query, a launcher.Response) error {
	if !a.Code.Answered() {
		return fmt.Errorf("the search %q was not answered: %s %s", q.Body, a.CodeName, a.Message)
	}
	if a.Coverage.Fraction < 1 {
		return nil
	}
	for i, want := range corpus.TopHits(snapshot, []byte(q.Body), searchLimit) {
		if i >= len(a.Hits) || a.Hits[i].ID != want.ID {
			return fmt.Errorf("the search %q has wrong hits", q.Body)
		}
	}
	return nil
}
