// Package move implements the move command, which groups the commands for version moves.
package move

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/anvildyke/anvildyke/internal/command/factory"
	"github.com/anvildyke/anvildyke/internal/command/move/watch"
)

// NewCommand returns the move command with its subcommand watch.
func NewCommand(f *factory.Factory) *ffcli.Command {
	return &ffcli.Command{
		Name:        "move",
		ShortUsage:  "anvildyke move <subcommand>",
		ShortHelp:   "Monitor version moves.",
		FlagSet:     f.FlagSet("anvildyke move"),
		Subcommands: []*ffcli.Command{watch.NewCommand(f)},
		Exec: func(context.Context, []string) error {
			return factory.Usagef("a subcommand is missing: watch")
		},
	}
}
