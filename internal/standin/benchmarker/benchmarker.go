// Package benchmarker runs the benchmarks. They measure latency, coverage, extra load and goodput compared with baselines, the
// service while an availability zone is out of service, version moves, the cost of a sub-request and the idle cost of the control
// plane. The figures are valid only for the machine and the stand-ins with which they were measured.
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
	// snapshot is the index snapshot that all backend servers hold.
	snapshot     = 7
	hitLimit     = 10
	readyTimeout = 60 * time.Second
	// serviceTime is the time that a backend server stand-in takes for a request. The fraction straggleShare of the requests takes
	// up to straggleTime longer.
	serviceTime   = 15 * time.Millisecond
	straggleShare = "0.01"
	straggleTime  = 150 * time.Millisecond
)

// Options selects the measurements and the directories of programs and results.
type Options struct {
	// BinDir is the directory of the programs anvildyked and anvildyke-standin.
	BinDir string
	// OutDir receives bench.json, plots and the logs of the processes; it is created if needed.
	OutDir string
	// Out receives the tables and a progress line for each row.
	Out io.Writer
	// Measurements contains the names of the measurements to run; all run if it is empty.
	Measurements []string
	// LoadDuration is the duration of each load of the service measurement.
	LoadDuration time.Duration
}

// Row contains the results of one case of a measurement.
type Row struct {
	// Part is the name of the measurement.
	Part string
	Case string
	// Values are the figures by name; the name includes the unit.
	Values map[string]float64
}

// benchmark runs measurements and collects their rows.
type benchmark struct {
	Options
	rows []Row
}

// Names returns the names of all measurements in the order in which they run.
func Names() []string {
	var names []string
	for _, m := range measurements {
		names = append(names, m.name)
	}
	return names
}

// column is a column of a printed table; name is the key of its figure in Row.Values.
type column struct {
	name   string
	format string
}

// measurement is a group of cases with a table of its own.
type measurement struct {
	name    string
	columns []column
	run     func(b *benchmark) error
}

var measurements = []measurement{
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
		run: (*benchmark).measureFanout,
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
		run: (*benchmark).measureControl,
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
		run: (*benchmark).measureService,
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
		run: (*benchmark).measureZone,
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
		run: (*benchmark).measureMoves,
	},
}

// Run runs the selected measurements, prints a table after each and finally writes all rows to bench.json in OutDir. It stops at
// the first error.
func Run(o Options) error {
	if err := os.MkdirAll(o.OutDir, 0o755); err != nil {
		return fmt.Errorf("creating the output directory: %w", err)
	}
	b := &benchmark{
		Options: o,
	}
	for _, m := range measurements {
		if len(o.Measurements) > 0 && !slices.Contains(o.Measurements, m.name) {
			continue
		}
		first := len(b.rows)
		if err := m.run(b); err != nil {
			return fmt.Errorf("measuring %s: %w", m.name, err)
		}
		if err := m.print(o.Out, b.rows[first:]); err != nil {
			return err
		}
	}
	return b.writeJSON()
}

func (m measurement) print(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	names := make([]string, 0, len(m.columns))
	for _, c := range m.columns {
		names = append(names, c.name)
	}
	fmt.Fprintf(t, "\n%s\t%s\n", m.name, strings.Join(names, "\t"))
	for _, r := range rows {
		fields := []string{r.Case}
		for _, c := range m.columns {
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

func (b *benchmark) addRow(part, name string, values map[string]float64) {
	b.rows = append(b.rows, Row{
		Part:   part,
		Case:   name,
		Values: values,
	})
	fmt.Fprintf(b.Out, "measured %s: %s\n", part, name)
}

func (b *benchmark) writeJSON() error {
	data, err := json.MarshalIndent(b.rows, "", "  ")
	if err != nil {
		return fmt.Errorf("encoding the rows: %w", err)
	}
	return os.WriteFile(filepath.Join(b.OutDir, "bench.json"), data, 0o644)
}
