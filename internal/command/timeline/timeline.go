// Package timeline shows what happened on all entry VMs in causal order.
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

// Options are the settings of the command. Empty filters select all events.
type Options struct {
	Factory *factory.Factory
	Part    string
	Object  string
	Since   time.Duration
	Limit   int
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) *ffcli.Command {
	return newCommand(f, run)
}

func newCommand(f *factory.Factory, run factory.RunFunc[Options]) *ffcli.Command {
	opts := &Options{
		Factory: f,
	}
	fs := f.FlagSet("anvildyke timeline")
	fs.StringVar(&opts.Part, "part", "", "only events of this part, for example watcher")
	fs.StringVar(&opts.Object, "object", "", "only events about objects that contain this text")
	fs.DurationVar(&opts.Since, "since", 0, "only events of this last period, for example 10m")
	fs.IntVar(&opts.Limit, "limit", 200, "greatest number of events, the latest ones")
	return &ffcli.Command{
		Name:       "timeline",
		ShortUsage: "anvildyke timeline [-part PART] [-object TEXT] [-since 10m] [-limit N]",
		ShortHelp:  "Show the events of all entry VMs in causal order.",
		LongHelp: `VMs that do not answer are named on the error stream.

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
	for key, text := range map[string]string{"Part": opts.Part, "Object": opts.Object} {
		if text != "" {
			query.Set(key, text)
		}
	}
	if opts.Since > 0 {
		query.Set("Since", opts.Since.String())
	}
	var answer administrator.TimelineResponse
	if err := f.SendOperatorRequest(ctx, http.MethodGet, "/v1/timeline", query, nil, &answer); err != nil {
		return err
	}
	if len(answer.Missing) > 0 {
		_, _ = fmt.Fprintf(f.Err, "These VMs did not answer: %s.\n", strings.Join(answer.Missing, ", "))
	}
	return f.Print(answer, func(w io.Writer) {
		_, _ = fmt.Fprint(w, "TIME\tVM\tPART\tKIND\tOBJECT\tDETAIL\n")
		for _, e := range answer.Events {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", e.Time.Format("2006-01-02T15:04:05.000000Z07:00"), e.VM, e.Part, e.Kind, e.Object, e.Detail)
		}
	})
}
