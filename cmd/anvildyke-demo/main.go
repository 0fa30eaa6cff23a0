// Command anvildyke-demo shows searches of a whole deployment while backend servers stall and end.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/anvildyke/anvildyke/internal/configurer"
	"github.com/anvildyke/anvildyke/internal/standin/demonstrator"
)

func main() {
	var o demonstrator.Options
	fs := flag.NewFlagSet("anvildyke-demo", flag.ExitOnError)
	fs.StringVar(&o.BinDir, "bin", "bin", "directory of the programs anvildyked and anvildyke-standin")
	_ = fs.Parse(os.Args[1:]) // ExitOnError
	if fs.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "the argument %q is not expected\n", fs.Arg(0))
		os.Exit(configurer.InvalidSettingsExitCode)
	}
	o.Out = os.Stdout
	if err := demonstrator.Run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
