// Command anvildyke is the command-line client of the operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/anvildyke/anvildyke/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Main(ctx, os.Args[1:], os.Environ(), os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
