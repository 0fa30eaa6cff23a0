// Package validate implements the validate command, which checks a set of configuration objects without publishing it.
package validate

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/anvildyke/anvildyke/internal/administrator"
	"github.com/anvildyke/anvildyke/internal/command/factory"
)

// Options contains the flags of the command.
type Options struct {
	Factory *factory.Factory
	File    factory.SetFile
}

// NewCommand returns the command that checks a set of configuration objects without publishing it.
func NewCommand(f *factory.Factory) *ffcli.Command {
	return newCommand(f, run)
}

func newCommand(f *factory.Factory, run factory.RunFunc[Options]) *ffcli.Command {
	opts := &Options{
		Factory: f,
	}
	fs := f.FlagSet("anvildyke validate")
	opts.File.RegisterFlag(fs)
	return &ffcli.Command{
		Name:       "validate",
		ShortUsage: "anvildyke validate -f FILE",
		ShortHelp:  "Check a complete set of configuration objects without publishing it.",
		LongHelp: `All faults of an invalid set are listed at once (exit code 3).

Examples:
  anvildyke validate -f examples/tafelrond.yaml
  anvildyke -json validate -f set.json`,
		FlagSet: fs,
		Exec:    factory.NewExec(f, fs, opts, run, func([]string) error { return opts.File.Check() }),
	}
}

func run(ctx context.Context, opts *Options) error {
	f := opts.Factory
	var resp administrator.ValidateResponse
	if err := f.SendSet(ctx, "/v1/validate", opts.File, nil, &resp); err != nil {
		return err
	}
	return f.Print(resp, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "The set has %d objects and no faults.\n", resp.Objects)
	})
}
