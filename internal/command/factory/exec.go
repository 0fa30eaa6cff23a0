package factory

import (
	"context"
	"flag"
)

// RunFunc runs a command with its options. Tests can replace it.
type RunFunc[O any] func(ctx context.Context, opts *O) error

// NewExec returns a function that parses the arguments of a command with ParseArguments and calls run with opts. The function
// setArgs stores the positional arguments in opts and validates the flags; it may be nil.
func NewExec[O any](f *Factory, fs *flag.FlagSet, opts *O, run RunFunc[O], setArgs func(positional []string) error, names ...string) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		positional, err := f.ParseArguments(fs, args, names...)
		if err != nil {
			return err
		}
		if setArgs != nil {
			if err := setArgs(positional); err != nil {
				return err
			}
		}
		return run(ctx, opts)
	}
}
