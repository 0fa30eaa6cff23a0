// Package benchmarker runs the benchmarks: latency, coverage, extra load and goodput compared with baselines, service while
// an availability zone leaves and returns, version moves, cost of a sub-request and cost of control. Its figures hold only
// for the machine and the stand-ins that it runs on.
package benchmarker

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	snapshot   = 7
	hitLimit   = 10
	readyLimit = 60 * time.Second
	// serviceTime is the time that a backend server stand-in takes for a request; straggleShare of them take up to
	// straggleTime longer.
	serviceTime   = 15 * time.Millisecond
	straggleShare = "0.01"
	straggleTime  = 150 * time.Millisecond
)

// Options say where programs are and results go, and which parts run.
type Options struct {
	BinDir string
	OutDir string
	Out    io.Writer
	// Measurements names the measurements that run; all run when it is empty.
	Measurements []string
	// LoadDuration is how long each load runs.
	LoadDuration time.Duration
}

// Row is one measured case.
type Row struct {
	Part string
	Case string
	// Values are named figures with their unit in the name.
	Values map[string]float64
}

// measurement collects the rows of one run.
type measurement struct {
	Options
	rows []Row
}

// Names returns the measurements in their order.
func Names() []string {
	var names []string
	for _, p := range parts {
		names = append(names, p.name)
	}
	return names
}

// column is one column of a printed table.
type column struct {
	name   string
	format string
}

type part struct {
	name    string
	columns []column
	run     func(m *measurement) error
}

var parts = []part{
	{
		name: "fanout",
		columns: []column{
			{"FanOut", "%.0f"},
			{"MicrosPerSub", "%.1f"},
			{"MicrosPerQuery", "%.0f"},
			{"AllocsPerSub", "%.1f"},
			{"BytesPerSub", "%.0f"},
			{"PeerBytesPerSub", "%.0f"},
		},
		run: (*measurement).fanout,
	},
	{
		name: "control",
		columns: []column{
			{"VMs", "%.0f"},
			{"Replicas", "%.0f"},
			{"CorePercent", "%.2f"},
			{"MemoryMB", "%.1f"},
			{"HeapMB", "%.1f"},
			{"SentKBPerSecond", "%.2f"},
			{"ReceivedKBPerSecond", "%.2f"},
			{"PlatformReadsPerSecond", "%.2f"},
			{"PlatformWatches", "%.0f"},
		},
		run: (*measurement).control,
	},
	{
		name: "service",
		columns: []column{
			{"P50ms", "%.1f"},
			{"P99ms", "%.1f"},
			{"P999ms", "%.1f"},
			{"AnsweredPercent", "%.2f"},
			{"FullPercent", "%.2f"},
			{"CoveragePercent", "%.3f"},
			{"ExtraPercent", "%.2f"},
			{"GoodputPerSecond", "%.0f"},
		},
		run: (*measurement).service,
	},
	{
		name: "zone",
		columns: []column{
			{"Second", "%.0f"},
			{"Sent", "%.0f"},
			{"Answered", "%.0f"},
			{"Full", "%.0f"},
			{"Late", "%.0f"},
		},
		run: (*measurement).zone,
	},
	{
		name: "moves",
		columns: []column{
			{"Seconds", "%.1f"},
			{"Queries", "%.0f"},
			{"Harmed", "%.0f"},
			{"HarmedPercent", "%.2f"},
			{"Done", "%.0f"},
		},
		run: (*measurement).moves,
	},
}

// Run runs the measurements, prints a table of each and writes all rows as JSON to OutDir.
func Run(o Options) error {
	if err := os.MkdirAll(o.OutDir, 0o755); err != nil {
		return fmt.Errorf("making the output directory: %w", err)
	}
	m := &measurement{
		Options: o,
	}
	for _, p := range parts {
		if len(o.Measurements) > 0 && !slices.Contains(o.Measurements, p.name) {
			continue
		}
		first := len(m.rows)
		if err := p.run(m); err != nil {
			return fmt.Errorf("measuring %s: %w", p.name, err)
		}
		if err := p.print(o.Out, m.rows[first:]); err != nil {
			return err
		}
	}
	return m.write()
}

func (p part) print(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	names := make([]string, 0, len(p.columns))
	for _, c := range p.columns {
		names = append(names, c.name)
	}
	fmt.Fprintf(t, "\n%s\t%s\n", p.name, strings.Join(names, "\t"))
	for _, r := range rows {
		fields := []string{r.Case}
		for _, c := range p.columns {
			if v, ok := r.Values[c.name]; ok {
				fields = append(fields, fmt.Sprintf(c.format, v))
				continue
			}
			fields = append(fields, "-")
		}
		fmt.Fprintln(t, strings.Join(fields, "\t"))
	}
	return t.Flush()
}

func (m *measurement) add(part, name string, values map[string]float64) {
	m.rows = append(m.rows, Row{
		Part:   part,
		Case:   name,
		Values: values,
	})
	fmt.Fprintf(m.Out, "measured %s: %s\n", part, name)
}

func (m *measurement) write() error {
	data, err := json.MarshalIndent(m.rows, "", "  ")
	if err != nil {
		return fmt.Errorf("encoding the rows: %w", err)
	}
	return os.WriteFile(filepath.Join(m.OutDir, "bench.json"), data, 0o644)
}
