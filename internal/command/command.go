// Package command builds the command-line client of the operators. Each command is implemented in a package of its own.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/anvildyke/anvildyke/internal/command/apply"
	"github.com/anvildyke/anvildyke/internal/command/factory"
	"github.com/anvildyke/anvildyke/internal/command/gateway"
	"github.com/anvildyke/anvildyke/internal/command/get"
	"github.com/anvildyke/anvildyke/internal/command/move"
	"github.com/anvildyke/anvildyke/internal/command/operate"
	"github.com/anvildyke/anvildyke/internal/command/query"
	"github.com/anvildyke/anvildyke/internal/command/status"
	"github.com/anvildyke/anvildyke/internal/command/timeline"
	"github.com/anvildyke/anvildyke/internal/command/validate"
	"github.com/anvildyke/anvildyke/internal/configurer"
)

// newRoot returns the root command with all subcommands. Their flags and arguments are stored in f and in their own options.
func newRoot(f *factory.Factory) *ffcli.Command {
	return &ffcli.Command{
		Name:       "anvildyke",
		ShortUsage: "anvildyke [-operator ADDRESS] [-caller ADDRESS] [-json] <command>",
		ShortHelp:  "Manage an anvildyke deployment.",
		LongHelp: `The common flags can also be set by the environment variables ANVILDYKE_CLI_OPERATOR, ANVILDYKE_CLI_CALLER and
ANVILDYKE_CLI_JSON; the flag takes precedence.

Exit codes: 0 success, 1 failure, 2 usage error, 3 invalid set or settings file; "move watch": 4 rolled back, 5 outcome unknown.`,
		FlagSet: f.FlagSet("anvildyke"),
		Options: []ff.Option{ff.WithEnvVarPrefix(configurer.CLIEnvPrefix)},
		Subcommands: []*ffcli.Command{
			apply.NewCommand(f),
			validate.NewCommand(f),
			get.NewCommand(f),
			status.NewCommand(f),
			query.NewCommand(f),
			operate.NewCommand(f),
			timeline.NewCommand(f),
			move.NewCommand(f),
			gateway.NewCommand(f),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return factory.Usagef("the command %q is unknown; -h lists the commands", args[0])
			}
			return factory.Usagef("a command is missing; -h lists the commands")
		},
	}
}

// Main runs the command line and returns the exit code. The format of environ is that of os.Environ.
func Main(ctx context.Context, args, environ []string, stdin io.Reader, stdout, stderr io.Writer) int {
	f := factory.New(stdin, stdout, stderr)
	return run(ctx, f, args, environ)
}

func run(ctx context.Context, f *factory.Factory, args, environ []string) int {
	root := newRoot(f)
	if err := checkEnv(root.FlagSet, environ); err != nil {
		_, _ = fmt.Fprintln(f.Err, err)
		return factory.ExitUsage
	}
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return factory.ExitOK
		}
		_, _ = fmt.Fprintln(f.Err, err)
		return factory.ExitUsage
	}
	err := root.Run(ctx)
	var exitErr *factory.ExitError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return factory.ExitOK
	case errors.As(err, &exitErr):
		_, _ = fmt.Fprintln(f.Err, err)
		return exitErr.Code
	default:
		_, _ = fmt.Fprintln(f.Err, err)
		return factory.ExitFailure
	}
}

// checkEnv returns an error that lists all environment variables with the client's prefix that match no flag, or nil.
func checkEnv(fs *flag.FlagSet, environ []string) error {
	var errs []error
	for _, pair := range environ {
		name, _, _ := strings.Cut(pair, "=")
		setting, ok := strings.CutPrefix(name, configurer.CLIEnvPrefix+"_")
		if ok && fs.Lookup(strings.ToLower(setting)) == nil {
			errs = append(errs, fmt.Errorf("the environment variable %s is unknown", name))
		}
	}
	return errors.Join(errs...)
}
