// Package timeline implements the timeline command, which shows the events of all entry VMs in causal order.
package timeline

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/anvildyke/anvildyke/internal/administrator"
	"github.com/anvildyke/anvildyke/internal/command/factory"
)

// Options contains the flags of the command. Filters with the zero value match all events.
type Options struct {
	Factory *factory.Factory
	Part    string
	Object  string
	Since   time.Duration
	Limit   int
}

// NewCommand returns the command that shows the events of all entry VMs.
func NewCommand(f *factory.Factory) *ffcli.Command {
	return newCommand(f, run)
}

func newCommand(f *factory.Factory, run factory.RunFunc[Options]) *ffcli.Command {
	opts := &Options{
		Factory: f,
	}
	fs := f.FlagSet("anvildyke timeline")
	fs.StringVar(&opts.Part, "part", "", "only events recorded by this part of the daemon, for example watcher")
	fs.StringVar(&opts.Object, "object", "", "only events whose object name contains this text")
	fs.DurationVar(&opts.Since, "since", 0, "only events of this period before now, for example 10m")
	fs.IntVar(&opts.Limit, "limit", 200, "maximum number of events; earlier events are omitted")
	return &ffcli.Command{
		Name:       "timeline",
		ShortUsage: "anvildyke timeline [-part PART] [-object TEXT] [-since 10m] [-limit N]",
		ShortHelp:  "Show the events of all entry VMs in causal order.",
		LongHelp: `VMs that do not answer are listed on standard error.

Examples:
  anvildyke timeline -since 10m
  anvildyke timeline -part mover -object buscador-to-v2 -limit 50`,
		FlagSet: fs,
		Exec:    factory.NewExec(f, fs, opts, run, nil),
	}
}

func run(ctx context.Context, opts *Options) error {
	f := opts.Factory
	query := url.Values{}
	query.Set("Limit", strconv.Itoa(opts.Limit))
	for key, value := range map[string]string{"Part": opts.Part, "Object": opts.Object} {
		if value != "" {
			query.Set(key, value)
		}
	}
	if opts.Since > 0 {
		query.Set("Since", opts.Since.String())
	}
	var resp administrator.TimelineResponse
	if err := f.SendOperatorRequest(ctx, http.MethodGet, "/v1/timeline", query, nil, &resp); err != nil {
		return err
	}
	if len(resp.Missing) > 0 {
		_, _ = fmt.Fprintf(f.Err, "These VMs did not answer: %s.\n", strings.Join(resp.Missing, ", "))
	}
	return f.Print(resp, func(w io.Writer) {
		_, _ = fmt.Fprint(w, "TIME\tVM\tPART\tKIND\tOBJECT\tDETAIL\n")
		for _, e := range resp.Events {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", e.Time.Format("2006-01-02T15:04:05.000000Z07:00"), e.VM, e.Part, e.Kind, e.Object, e.Detail)
		}
	})
}
