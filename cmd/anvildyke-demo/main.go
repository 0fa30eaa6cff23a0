// Command anvildyke-demo starts a complete deployment and shows searches while one backend server stalls and another one is
// killed.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/anvildyke/anvildyke/internal/configurer"
	"github.com/anvildyke/anvildyke/internal/standin/demonstrator"
)

func main() {
	var opts demonstrator.Options
	fs := flag.NewFlagSet("anvildyke-demo", flag.ExitOnError)
	fs.StringVar(&opts.BinDir, "bin", "bin", "directory with the programs anvildyked and anvildyke-standin")
	_ = fs.Parse(os.Args[1:]) // A flag set with ExitOnError returns no error.
	if fs.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "the argument %q is not expected\n", fs.Arg(0))
		os.Exit(configurer.InvalidSettingsExitCode)
	}
	opts.Out = os.Stdout
	if err := demonstrator.Run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
