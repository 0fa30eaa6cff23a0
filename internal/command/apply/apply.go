// Package apply implements the apply command, which publishes a set of configuration objects.
package apply

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/anvildyke/anvildyke/internal/administrator"
	"github.com/anvildyke/anvildyke/internal/command/factory"
)

// Options contains the flags of the command.
type Options struct {
	Factory *factory.Factory
	File    factory.SetFile
	// Base is the generation that must be in force for the set to be published; 0 disables the check.
	Base uint64
}

// NewCommand returns the command that publishes a complete set of configuration objects.
func NewCommand(f *factory.Factory) *ffcli.Command {
	return newCommand(f, run)
}

func newCommand(f *factory.Factory, run factory.RunFunc[Options]) *ffcli.Command {
	opts := &Options{
		Factory: f,
	}
	fs := f.FlagSet("anvildyke apply")
	opts.File.RegisterFlag(fs)
	fs.Uint64Var(&opts.Base, "base", 0, "publish only if this generation is in force; 0 disables the check")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "anvildyke apply -f FILE [-base GENERATION]",
		ShortHelp:  "Publish a complete set of configuration objects.",
		LongHelp: `The set replaces the one in force. It is validated as a whole; a set with faults is not published (exit code 3).

Examples:
  anvildyke apply -f examples/oso-perdido.yaml
  anvildyke apply -f - -base 41 < set.yaml`,
		FlagSet: fs,
		Exec:    factory.NewExec(f, fs, opts, run, func([]string) error { return opts.File.Check() }),
	}
}

func run(ctx context.Context, opts *Options) error {
	f := opts.Factory
	query := url.Values{}
	if opts.Base > 0 {
		query.Set("Base", strconv.FormatUint(opts.Base, 10))
	}
	var resp administrator.ApplyResponse
	if err := f.SendSet(ctx, "/v1/apply", opts.File, query, &resp); err != nil {
		return err
	}
	return f.Print(resp, func(w io.Writer) {
		if resp.Unchanged {
			_, _ = fmt.Fprintf(w, "Generation %d holds this set already.\n", resp.Generation)
			return
		}
		_, _ = fmt.Fprintf(w, "Published generation %d.\n", resp.Generation)
		for _, object := range resp.Objects {
			_, _ = fmt.Fprintf(w, "changed\t%s\n", object)
		}
	})
}
