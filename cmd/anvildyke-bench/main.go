// Command anvildyke-bench runs benchmarks on deployments of real processes on this machine and prints tables that compare the
// results with baselines.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/anvildyke/anvildyke/internal/configurer"
	"github.com/anvildyke/anvildyke/internal/standin/benchmarker"
)

func main() {
	opts := benchmarker.Options{
		Out: os.Stdout,
	}
	names := strings.Join(benchmarker.Names(), ", ")
	fs := flag.NewFlagSet("anvildyke-bench", flag.ExitOnError)
	fs.StringVar(&opts.BinDir, "bin", "bin", "directory with the programs anvildyked and anvildyke-standin")
	fs.StringVar(&opts.OutDir, "out", "out", "directory for bench.json, plots and logs")
	fs.DurationVar(&opts.LoadDuration, "length", 3*time.Second, "duration of each load")
	measurements := fs.String("parts", "", "comma-separated list of measurements to run; if empty, all run: "+names)
	_ = fs.Parse(os.Args[1:]) // A flag set with ExitOnError returns no error.
	opts.Measurements = strings.FieldsFunc(*measurements, func(r rune) bool { return r == ',' })
	if fs.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "the argument %q is not expected\n", fs.Arg(0))
		os.Exit(configurer.InvalidSettingsExitCode)
	}
	if err := benchmarker.Run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
