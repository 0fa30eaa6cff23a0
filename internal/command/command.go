// Package command builds the operators' command line. Each command has a package of its own.
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

// newRoot returns the root command.
func newRoot(f *factory.Factory) *ffcli.Command {
	return &ffcli.Command{
		Name:       "anvildyke",
		ShortUsage: "anvildyke [-operator ADDRESS] [-caller ADDRESS] [-json] <command>",
		ShortHelp:  "Control a deployment of anvildyke.",
		LongHelp: `The settings can be given by the variables ANVILDYKE_CLI_OPERATOR, ANVILDYKE_CLI_CALLER and ANVILDYKE_CLI_JSON; a flag goes
first.

Exit codes: 0 fine, 1 failure, 2 wrong use, 3 refused set; "move watch": 4 taken back, 5 unknown or time over.`,
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

// Main runs the command line and returns the exit code. Environ is as of os.Environ.
func Main(ctx context.Context, args, environ []string, in io.Reader, out, errs io.Writer) int {
	f := factory.New(in, out, errs)
	return run(ctx, f, args, environ)
}

func run(ctx context.Context, f *factory.Factory, args, environ []string) int {
	root := newRoot(f)
	if err := checkVariables(root.FlagSet, environ); err != nil {
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
	var exit *factory.ExitError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return factory.ExitOK
	case errors.As(err, &exit):
		_, _ = fmt.Fprintln(f.Err, err)
		return exit.Code
	default:
		_, _ = fmt.Fprintln(f.Err, err)
		return factory.ExitFailure
	}
}

// checkVariables reports all variables with the prefix that are no setting.
func checkVariables(fs *flag.FlagSet, environ []string) error {
	var faults []error
	for _, pair := range environ {
		name, _, _ := strings.Cut(pair, "=")
		setting, ok := strings.CutPrefix(name, configurer.CLIEnvPrefix+"_")
		if ok && fs.Lookup(strings.ToLower(setting)) == nil {
			faults = append(faults, fmt.Errorf("the variable %s is unknown", name))
		}
	}
	return errors.Join(faults...)
}
