// Command anvildyke-bench measures deployments of real processes on this machine and prints tables with baselines.
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
	o := benchmarker.Options{
		Out: os.Stdout,
	}
	names := strings.Join(benchmarker.Names(), ", ")
	fs := flag.NewFlagSet("anvildyke-bench", flag.ExitOnError)
	fs.StringVar(&o.BinDir, "bin", "bin", "directory of the programs anvildyked and anvildyke-standin")
	fs.StringVar(&o.OutDir, "out", "out", "directory for bench.json, plots and logs")
	fs.DurationVar(&o.LoadDuration, "length", 3*time.Second, "how long each load runs")
	only := fs.String("parts", "", "measurements to run, separated by commas; all when empty: "+names)
	_ = fs.Parse(os.Args[1:]) // ExitOnError
	o.Measurements = strings.FieldsFunc(*only, func(r rune) bool { return r == ',' })
	if fs.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "the argument %q is not expected\n", fs.Arg(0))
		os.Exit(configurer.InvalidSettingsExitCode)
	}
	if err := benchmarker.Run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
