// Package query implements the query command, which sends a search to the callers' API.
package query

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/command/factory"
)

// maxDeadline is the maximum deadline that an application can have. It limits the wait if no deadline is set.
const maxDeadline = time.Minute

// deadlineMargin is how long the command waits for the response beyond the deadline.
const deadlineMargin = 5 * time.Second

// Options contains the flags and arguments of the command.
type Options struct {
	factory.Target
	Factory *factory.Factory
	Body    string
	// BodyFile takes precedence over Body if it is set.
	BodyFile string
	// Limit and Deadline are not sent if they are 0; the server then uses its defaults.
	Limit    int
	Deadline time.Duration
}

// Response is the response of the callers' API to a search.
type Response struct {
	factory.Result
	Snapshot uint64
	Coverage Coverage
	Hits     []Hit
}

// Coverage describes which part of the snapshot was searched.
type Coverage struct {
	Answered float64
	Of       int
	Fraction float64
	Missing  []MissingShard
}

// MissingShard is a shard that was not searched in full, with the reason.
type MissingShard struct {
	Shard  int
	Code   classifier.Code
	Reason string
}

// Hit is one matching document.
type Hit struct {
	ID    string
	Score float64
	Body  json.RawMessage
}

// NewCommand returns the command that sends a search.
func NewCommand(f *factory.Factory) *ffcli.Command {
	return newCommand(f, run)
}

func newCommand(f *factory.Factory, run factory.RunFunc[Options]) *ffcli.Command {
	opts := &Options{
		Factory: f,
	}
	fs := f.FlagSet("anvildyke query")
	fs.StringVar(&opts.Body, "body", "", "body of the request")
	fs.StringVar(&opts.BodyFile, "body-file", "", "file with the body of the request; - reads standard input")
	fs.IntVar(&opts.Limit, "limit", 0, "maximum number of hits; 0 uses the default of the server")
	fs.DurationVar(&opts.Deadline, "deadline", 0, "deadline of the request; 0 uses the default of the application")
	return &ffcli.Command{
		Name:       "query",
		ShortUsage: "anvildyke query APPLICATION ROUTE [-body TEXT | -body-file FILE] [-limit N] [-deadline 130ms]",
		ShortHelp:  "Send a search.",
		LongHelp: `Examples:
  anvildyke query buscador lost -body "brown bear" -limit 5
  anvildyke query boekportaal rooms -body-file request.json -deadline 200ms -json`,
		FlagSet: fs,
		Exec:    factory.NewExec(f, fs, opts, run, opts.setArgs, "APPLICATION", "ROUTE"),
	}
}

// setArgs stores the positional arguments and validates the flags.
func (o *Options) setArgs(positional []string) error {
	o.Application, o.Route = positional[0], positional[1]
	if o.Limit < 0 || o.Deadline < 0 {
		return factory.Usagef("-limit and -deadline must not be negative")
	}
	return nil
}

func run(ctx context.Context, opts *Options) error {
	f := opts.Factory
	body := []byte(opts.Body)
	if opts.BodyFile != "" {
		var err error
		if body, err = f.ReadFile(opts.BodyFile); err != nil {
			return err
		}
	}
	header := http.Header{}
	timeout := maxDeadline
	if opts.Deadline > 0 {
		header.Set("Anvildyke-Deadline", opts.Deadline.String())
		timeout = opts.Deadline
	}
	if opts.Limit > 0 {
		header.Set("Anvildyke-Limit", strconv.Itoa(opts.Limit))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+deadlineMargin)
	defer cancel()
	resp, err := f.SendCallerRequest(ctx, "search", opts.Target, header, body)
	if err != nil {
		return err
	}
	var result Response
	if err := f.PrintCallerResponse(resp, &result, func(w io.Writer) { writeTable(w, result) }); err != nil {
		return err
	}
	return result.Check("the search was not answered")
}

func writeTable(w io.Writer, result Response) {
	result.WriteRows(w)
	if !result.Code.Answered() {
		return
	}
	_, _ = fmt.Fprintf(w, "SNAPSHOT\t%d\nCOVERAGE\t%g of %d shards (%.2f%%)\n", result.Snapshot, result.Coverage.Answered, result.Coverage.Of, 100*result.Coverage.Fraction)
	for _, m := range result.Coverage.Missing {
		_, _ = fmt.Fprintf(w, "MISSING\tshard %d: %s (code %d)\n", m.Shard, m.Reason, m.Code)
	}
	_, _ = fmt.Fprint(w, "\nID\tSCORE\tBODY\n")
	for _, h := range result.Hits {
		_, _ = fmt.Fprintf(w, "%s\t%g\t%s\n", h.ID, h.Score, h.Body)
	}
}
