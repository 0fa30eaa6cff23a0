// Package gateway implements the gateway commands, which show the status of gateways on the users' platform and check their
// settings files.
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

// StatusOptions contains the flags of "gateway status".
type StatusOptions struct {
	Factory *factory.Factory
	// ShowServers adds a table with one row per backend server.
	ShowServers bool
}

// ValidateOptions contains the flags of "gateway validate".
type ValidateOptions struct {
	Factory *factory.Factory
	File    string
}

// NewCommand returns the gateway command with its subcommands status and validate.
func NewCommand(f *factory.Factory) *ffcli.Command {
	return newCommand(f, runStatus, runValidate)
}

func newCommand(f *factory.Factory, status factory.RunFunc[StatusOptions], validate factory.RunFunc[ValidateOptions]) *ffcli.Command {
	return &ffcli.Command{
		Name:       "gateway",
		ShortUsage: "anvildyke gateway <status|validate>",
		ShortHelp:  "Show the status of gateways on the users' platform and check their settings.",
		FlagSet:    f.FlagSet("anvildyke gateway"),
		Subcommands: []*ffcli.Command{
			newStatus(f, status),
			newValidate(f, validate),
		},
		Exec: func(context.Context, []string) error {
			return factory.Usagef("a subcommand is missing: status or validate")
		},
	}
}

func newStatus(f *factory.Factory, run factory.RunFunc[StatusOptions]) *ffcli.Command {
	opts := &StatusOptions{
		Factory: f,
	}
	fs := f.FlagSet("anvildyke gateway status")
	fs.BoolVar(&opts.ShowServers, "servers", false, "show a table of all backend servers")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "anvildyke gateway status -operator PROBE-ADDRESS [-servers]",
		ShortHelp:  "Show the configuration, servers, budgets and dependencies of a gateway.",
		LongHelp: `PROBE-ADDRESS is the address at which the gateway serves its health probes and metrics.

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
		writeTable(w, s)
		if opts.ShowServers {
			writeServers(w, s)
		}
	})
}

func writeTable(w io.Writer, s reporter.Status) {
	_, _ = fmt.Fprintf(w, "VM %s in %s is %s with version %d (%d routes) and list %d.\n", s.VM, s.Zone, s.Phase, s.Version, s.Routes, s.List)
	platformState := "answers"
	if !s.Answers {
		platformState = "does not answer"
	}
	_, _ = fmt.Fprintf(w, "Objects come from %s, %s ago; the platform %s. %d VMs are listed.\n", s.Source, s.SourceAge.Round(time.Millisecond), platformState, s.VMs)
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
	for _, svc := range s.Services {
		var lapsedServers, held, cold, running int
		for _, srv := range svc.Servers {
			lapsedServers += boolToInt(srv.Lapsed)
			held += boolToInt(srv.Held)
			cold += boolToInt(srv.Cold)
			running += srv.Running
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f of %.1f\n", svc.Name, len(svc.Servers), lapsedServers, held, cold, running, svc.ExtraSpent, svc.ExtraAllowed)
	}
}

const percent = 100

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func writeServers(w io.Writer, s reporter.Status) {
	_, _ = fmt.Fprint(w, "\nSERVER\tSERVICE\tZONE\tLAPSED\tHELD\tCOLD\tRUNNING\tSLOWNESS\tFAILURES\tAGE\n")
	for _, svc := range s.Services {
		for _, srv := range svc.Servers {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\t%t\t%d\t%.1f\t%.2f\t%s\n", srv.ID, svc.Name, srv.Zone, srv.Lapsed, srv.Held, srv.Cold, srv.Running,
				srv.Slowness, srv.Failures, srv.Age.Round(time.Millisecond))
		}
	}
}

func newValidate(f *factory.Factory, run factory.RunFunc[ValidateOptions]) *ffcli.Command {
	opts := &ValidateOptions{
		Factory: f,
	}
	fs := f.FlagSet("anvildyke gateway validate")
	fs.StringVar(&opts.File, "f", "", "settings file of the gateway")
	return &ffcli.Command{
		Name:       "validate",
		ShortUsage: "anvildyke gateway validate -f FILE",
		ShortHelp:  "Check a settings file of a gateway.",
		LongHelp: `All faults of an invalid file are listed at once (exit code 3).

Examples:
  anvildyke gateway validate -f /etc/anvildyke/boot.toml`,
		FlagSet: fs,
		Exec: factory.NewExec(f, fs, opts, run, func([]string) error {
			if opts.File == "" {
				return factory.Usagef("the flag -f is missing")
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
