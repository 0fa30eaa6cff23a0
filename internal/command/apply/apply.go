// Package apply publishes a set of configuration objects.
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

// Options are the settings of the command.
type Options struct {
	Factory *factory.Factory
	File    factory.SetFile
	// Base is the generation that the set must replace, or 0.
	Base uint64
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) *ffcli.Command {
	return newCommand(f, run)
}

func newCommand(f *factory.Factory, run factory.RunFunc[Options]) *ffcli.Command {
	opts := &Options{
		Factory: f,
	}
	fs := f.FlagSet("anvildyke apply")
	opts.File.RegisterFlag(fs)
	fs.Uint64Var(&opts.Base, "base", 0, "publish only on top of this generation")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "anvildyke apply -f FILE [-base GENERATION]",
		ShortHelp:  "Publish a whole set of configuration objects.",
		LongHelp: `The set replaces the one in force. It is checked as a whole; a set with faults changes nothing (exit code 3).

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
	var answer administrator.ApplyResponse
	if err := f.SendSet(ctx, "/v1/apply", opts.File, query, &answer); err != nil {
		return err
	}
	return f.Print(answer, func(w io.Writer) {
		if answer.Unchanged {
			_, _ = fmt.Fprintf(w, "Generation %d holds this set already.\n", answer.Generation)
			return
		}
		_, _ = fmt.Fprintf(w, "Published generation %d.\n", answer.Generation)
		for _, object := range answer.Objects {
			_, _ = fmt.Fprintf(w, "changed\t%s\n", object)
		}
	})
}
