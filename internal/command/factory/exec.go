package factory

import (
	"context"
	"flag"
)

// RunFunc runs a command with its settings. Tests replace it.
type RunFunc[O any] func(ctx context.Context, opts *O) error

// NewExec returns a function that reads the arguments of a command and calls run with opts. The arguments have the names as in
// Arguments. Accept stores the arguments that were found and checks the settings; nil means that there is nothing to do.
func NewExec[O any](f *Factory, fs *flag.FlagSet, opts *O, run RunFunc[O], accept func(found []string) error, names ...string) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		found, err := f.ParseArguments(fs, args, names...)
		if err != nil {
			return err
		}
		if accept != nil {
			if err := accept(found); err != nil {
				return err
			}
		}
		return run(ctx, opts)
	}
}
