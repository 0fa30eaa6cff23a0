// Package gateway shows the status of gateways on the users' platform and checks their settings files.
package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/anvildyke/anvildyke/internal/command/factory"
	"github.com/anvildyke/anvildyke/internal/reporter"
	"github.com/anvildyke/anvildyke/platform"
)

// StatusOptions are the settings of "gateway status".
type StatusOptions struct {
	Factory *factory.Factory
	// ShowServers asks for a line for each backend server.
	ShowServers bool
}

// ValidateOptions are the settings of "gateway validate".
type ValidateOptions struct {
	Factory *factory.Factory
	File    string
}

// NewCommand returns the command with its subcommands.
func NewCommand(f *factory.Factory) *ffcli.Command {
	return newCommand(f, runStatus, runValidate)
}

func newCommand(f *factory.Factory, status factory.RunFunc[StatusOptions], validate factory.RunFunc[ValidateOptions]) *ffcli.Command {
	return &ffcli.Command{
		Name:       "gateway",
		ShortUsage: "anvildyke gateway <status|validate>",
		ShortHelp:  "Show and check gateways on the users' platform.",
		FlagSet:    f.FlagSet("anvildyke gateway"),
		Subcommands: []*ffcli.Command{
			newStatus(f, status),
			newValidate(f, validate),
		},
		Exec: func(context.Context, []string) error {
			return factory.Usagef("a command is missing: status or validate")
		},
	}
}

func newStatus(f *factory.Factory, run factory.RunFunc[StatusOptions]) *ffcli.Command {
	opts := &StatusOptions{
		Factory: f,
	}
	fs := f.FlagSet("anvildyke gateway status")
	fs.BoolVar(&opts.ShowServers, "servers", false, "show every backend server")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "anvildyke gateway status -operator PROBE-ADDRESS [-servers]",
		ShortHelp:  "Show the configuration, servers, budgets and dependencies of a gateway.",
		LongHelp: `The address is that of the probes and metrics.

Examples:
  anvildyke gateway status -operator 10.1.0.9:8108
  anvildyke gateway status -operator 10.1.0.9:8108 -servers
  anvildyke -json gateway status -operator 10.1.0.9:8108`,
		FlagSet: fs,
		Exec:    factory.NewExec(f, fs, opts, run, nil),
	}
}

func runStatus(ctx context.Context, opts *StatusOptions) error {
	f := opts.Factory
	var s reporter.Status
	if err := f.SendOperatorRequest(ctx, http.MethodGet, reporter.StatusPath, nil, nil, &s); err != nil {
		return err
	}
	return f.Print(s, func(w io.Writer) {
		table(w, s)
		if opts.ShowServers {
			servers(w, s)
		}
	})
}

func table(w io.Writer, s reporter.Status) {
	_, _ = fmt.Fprintf(w, "VM %s in %s is %s with version %d (%d routes) and list %d.\n", s.VM, s.Zone, s.Phase, s.Version, s.Routes, s.List)
	answers := "answers"
	if !s.Answers {
		answers = "does not answer"
	}
	_, _ = fmt.Fprintf(w, "Objects come from %s, %s ago; the platform %s. %d VMs are listed.\n", s.Source, s.SourceAge.Round(time.Millisecond), answers, s.VMs)
	if len(s.Evacuated) > 0 {
		_, _ = fmt.Fprintf(w, "Zones without new requests: %s.\n", strings.Join(s.Evacuated, ", "))
	}
	for _, m := range s.Moves {
		_, _ = fmt.Fprintf(w, "%s moves to version %s: step %s, %.1f%% of the requests.\n", m.Service, m.To, m.Step, percent*m.Share)
	}
	if s.LogsDropped > 0 {
		_, _ = fmt.Fprintf(w, "%d log lines were dropped.\n", s.LogsDropped)
	}
	_, _ = fmt.Fprint(w, "\nSERVICE\tSERVERS\tLAPSED\tHELD\tCOLD\tRUNNING\tEXTRA REQUESTS\n")
	for _, x := range s.Services {
		var lapsed, held, cold, running int
		for _, y := range x.Servers {
			lapsed += count(y.Lapsed)
			held += count(y.Held)
			cold += count(y.Cold)
			running += y.Running
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f of %.1f\n", x.Name, len(x.Servers), lapsed, held, cold, running, x.ExtraSpent, x.ExtraAllowed)
	}
}

const percent = 100

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

func servers(w io.Writer, s reporter.Status) {
	_, _ = fmt.Fprint(w, "\nSERVER\tSERVICE\tZONE\tLAPSED\tHELD\tCOLD\tRUNNING\tSLOWNESS\tFAILURES\tAGE\n")
	for _, x := range s.Services {
		for _, y := range x.Servers {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\t%t\t%d\t%.1f\t%.2f\t%s\n", y.ID, x.Name, y.Zone, y.Lapsed, y.Held, y.Cold, y.Running,
				y.Slowness, y.Failures, y.Age.Round(time.Millisecond))
		}
	}
}

func newValidate(f *factory.Factory, run factory.RunFunc[ValidateOptions]) *ffcli.Command {
	opts := &ValidateOptions{
		Factory: f,
	}
	fs := f.FlagSet("anvildyke gateway validate")
	fs.StringVar(&opts.File, "f", "", "the settings file")
	return &ffcli.Command{
		Name:       "validate",
		ShortUsage: "anvildyke gateway validate -f FILE",
		ShortHelp:  "Check a settings file of a gateway.",
		LongHelp: `All faults are listed at once (exit code 3).

Examples:
  anvildyke gateway validate -f /etc/anvildyke/boot.toml`,
		FlagSet: fs,
		Exec: factory.NewExec(f, fs, opts, run, func([]string) error {
			if opts.File == "" {
				return factory.Usagef("-f is missing")
			}
			return nil
		}),
	}
}

func runValidate(_ context.Context, opts *ValidateOptions) error {
	cfg, err := platform.ReadSettings(opts.File)
	if err != nil {
		return &factory.ExitError{
			Code: factory.ExitInvalidSet,
			Err:  err,
		}
	}
	return opts.Factory.Print(cfg, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "The settings of %s in %s have no faults.\n", cfg.Name, cfg.Zone)
	})
}
