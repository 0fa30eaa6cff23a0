// Package demonstrator runs the demonstration: it starts the example deployment of Oso Perdido as processes, sends searches first
// with all backend servers available, then while one stalls and then while another one is killed, and shuts everything down.
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
	// snapshot is the index snapshot that all backend servers hold.
	snapshot      = 7
	readyTimeout  = 20 * time.Second
	warmupTimeout = 15 * time.Second
	hitLimit      = 5
	deadline      = 250 * time.Millisecond
	zoneLatency   = 8 * time.Millisecond
	searchesPerVM = 4

	// stalledServer and killedServer belong to different shards, so that a replica of each shard remains available.
	stalledServer = "buscador-03-litoral-a"
	killedServer  = "buscador-07-capital-a"
)

// Options contains the programs that the demonstration starts and the destination of its report.
type Options struct {
	// BinDir is the directory of the programs anvildyked and anvildyke-standin.
	BinDir string
	// Out receives the report.
	Out io.Writer
}

// demonstration is the state of one run.
type demonstration struct {
	Options
	cluster *launcher.Cluster
	caller  *launcher.Caller
	// queryCount is the number of searches sent, which makes the body of each search unique.
	queryCount int
}

// Run runs the demonstration and stops every process that it started. An error contains the step that failed.
func Run(o Options) error {
	set, err := parser.Decode("oso-perdido.yaml", examples.OsoPerdido)
	if err != nil {
		return fmt.Errorf("decoding the example configuration: %w", err)
	}
	dir, err := os.MkdirTemp("", "anvildyke-demo-")
	if err != nil {
		return fmt.Errorf("creating a log directory: %w", err)
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
		ZoneLatency: zoneLatency,
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
	if err := d.cluster.ApplyAndWait(readyTimeout); err != nil {
		return fmt.Errorf("publishing the configuration: %w", err)
	}
	fmt.Fprintf(d.Out, "Published the set; all %d VMs are ready after %s.\n", len(d.cluster.VMs()), time.Since(start).Round(time.Millisecond))
	if err := launcher.WaitFor(warmupTimeout, "a search of every VM covers all shards", d.allCovered); err != nil {
		return err
	}
	for _, step := range []struct {
		title  string
		before func() error
	}{
		{"All backend servers answer.", func() error { return nil }},
		{"The backend server " + stalledServer + " stalls.", d.stall},
		{"The backend server " + killedServer + " is killed as well.", d.kill},
	} {
		fmt.Fprintln(d.Out, step.title)
		if err := step.before(); err != nil {
			return fmt.Errorf("%s %w", step.title, err)
		}
		if err := d.searchAllVMs(); err != nil {
			return fmt.Errorf("%s %w", step.title, err)
		}
	}
	fmt.Fprintln(d.Out, "Stopping everything.")
	return nil
}

func (d *demonstration) stall() error {
	b, err := d.findServer(stalledServer)
	if err != nil {
		return err
	}
	return d.cluster.SetSwitches(b, "Frozen=true")
}

func (d *demonstration) kill() error {
	b, err := d.findServer(killedServer)
	if err != nil {
		return err
	}
	b.Kill()
	return nil
}

func (d *demonstration) findServer(name string) (*launcher.Backend, error) {
	if b := d.cluster.Backend(name); b != nil {
		return b, nil
	}
	return nil, fmt.Errorf("the example configuration contains no backend server %s", name)
}

func (d *demonstration) nextQuery() launcher.Query {
	d.queryCount++
	return launcher.Query{
		Application: "buscador",
		Route:       "lost",
		Body:        fmt.Sprintf("brown bear %d", d.queryCount),
		Limit:       hitLimit,
		Deadline:    deadline,
	}
}

func (d *demonstration) allCovered() bool {
	for _, v := range d.cluster.VMs() {
		r, err := d.caller.Search(v, d.nextQuery())
		if err != nil || r.Coverage.Fraction < 1 {
			return false
		}
	}
	return true
}

// searchAllVMs sends searchesPerVM searches to each VM, checks every response and prints the last one of each VM.
func (d *demonstration) searchAllVMs() error {
	for _, v := range d.cluster.VMs() {
		for n := range searchesPerVM {
			q := d.nextQuery()
			r, err := d.caller.Search(v, q)
			if err != nil {
				return err
			}
			if n == searchesPerVM-1 {
				d.print(v, q, r)
			}
			if err := checkResponse(q, r); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *demonstration) print(v *launcher.VM, q launcher.Query, r launcher.Response) {
	fmt.Fprintf(d.Out, "  %-12s %q: %s, snapshot %d, coverage %d of %d, best hit %s, %s\n", v.Name, q.Body, r.CodeName, r.Snapshot,
		r.Coverage.Answered, r.Coverage.Of, bestHit(r), r.Latency.Round(100*time.Microsecond))
	for _, m := range r.Coverage.Missing {
		fmt.Fprintf(d.Out, "               shard %d is missing: %s\n", m.Shard, m.Reason)
	}
}

func bestHit(r launcher.Response) string {
	if len(r.Hits) == 0 {
		return "none"
	}
	return r.Hits[0].ID
}

// checkResponse returns an error if the search was not answered, or if the hits of a response with full coverage are not the best
// ones of the snapshot.
func checkResponse(q launcher.Query, r launcher.Response) error {
	if !r.Code.Answered() {
		return fmt.Errorf("search %q failed: %s %s", q.Body, r.CodeName, r.Message)
	}
	if r.Coverage.Fraction < 1 {
		return nil
	}
	for i, want := range corpus.TopHits(snapshot, []byte(q.Body), hitLimit) {
		if i >= len(r.Hits) || r.Hits[i].ID != want.ID {
			return fmt.Errorf("search %q returned wrong hits", q.Body)
		}
	}
	return nil
}
