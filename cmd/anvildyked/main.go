// Command anvildyked is the daemon that runs on every entry VM.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/anvildyke/anvildyke/internal/configurer"
	"github.com/anvildyke/anvildyke/internal/runner"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == gatewayCommand {
		os.Exit(runGateway())
	}
	os.Exit(run())
}

func run() int {
	var cfg configurer.Daemon
	settings := cfg.SettingSet()
	err := settings.Parse(os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		fmt.Print(settings.Help())
		return 0
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return configurer.InvalidSettingsExitCode
	}
	// The signal handler stays registered until the process exits, so that a second SIGTERM does not abort running requests.
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	r, err := runner.New(cfg, os.Stderr)
	if err == nil {
		err = r.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
