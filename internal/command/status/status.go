// Package status implements the status command, which shows the state of the deployment as known to one entry VM.
package status

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/anvildyke/anvildyke/internal/administrator"
	"github.com/anvildyke/anvildyke/internal/command/factory"
)

// Options contains the dependencies of the command, which has no flags of its own.
type Options struct {
	Factory *factory.Factory
}

// NewCommand returns the command that shows the VMs, replicas and version moves known to one entry VM.
func NewCommand(f *factory.Factory) *ffcli.Command {
	return newCommand(f, run)
}

func newCommand(f *factory.Factory, run factory.RunFunc[Options]) *ffcli.Command {
	opts := &Options{
		Factory: f,
	}
	fs := f.FlagSet("anvildyke status")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "anvildyke status",
		ShortHelp:  "Show the VMs, replicas and version moves known to one entry VM.",
		LongHelp: `Examples:
  anvildyke status
  anvildyke status -json -operator 127.0.0.1:7201`,
		FlagSet: fs,
		Exec:    factory.NewExec(f, fs, opts, run, nil),
	}
}

func run(ctx context.Context, opts *Options) error {
	f := opts.Factory
	var s administrator.StatusResponse
	if err := f.SendOperatorRequest(ctx, http.MethodGet, "/v1/status", nil, nil, &s); err != nil {
		return err
	}
	return f.Print(s, func(w io.Writer) { writeTable(w, s) })
}

func writeTable(w io.Writer, s administrator.StatusResponse) {
	_, _ = fmt.Fprintf(w, "VM %s is %s with generation %d.\n", s.VM, s.Phase, s.Generation)
	_, _ = fmt.Fprint(w, "\nVM\tZONE\tADDRESS\tSTATE\tGENERATION\n")
	for _, m := range s.Members {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", m.Name, m.AvailabilityZone, m.Address, m.State, m.Generation)
	}
	_, _ = fmt.Fprint(w, "\nREPLICA\tVERSION\tZONE\tSTATE\tOWNER\tALLOWANCE\tLOAD\tLEAVING\n")
	for _, r := range s.Replicas {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%t\n", r.Name, r.Version, r.AvailabilityZone, r.State, r.Owner, r.Allowance, r.Load, r.Leaving)
	}
	_, _ = fmt.Fprint(w, "\nMOVE\tAPPLICATION\tFROM\tTO\tSHARE\tOUTCOME\tREASON\n")
	for _, m := range s.Moves {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1f%%\t%s\t%s\n", m.Name, m.Application, m.From, m.To, float64(m.SharePerMille)/10, m.Outcome, m.Reason)
	}
}
