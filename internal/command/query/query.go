// Package query sends a search as a caller does.
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

// maxDeadline is used for the wait without a deadline. It is the greatest deadline of any application.
const maxDeadline = time.Minute

// slack is the time that the answer may take on top of the deadline.
const slack = 5 * time.Second

// Options are the settings of the command.
type Options struct {
	factory.Target
	Factory *factory.Factory
	Body    string
	// BodyFile goes before Body when it is set.
	BodyFile string
	// Limit and Deadline are left to the server when they are 0.
	Limit    int
	Deadline time.Duration
}

// Response is the answer of the callers' API.
type Response struct {
	factory.Result
	Snapshot uint64
	Coverage Coverage
	Hits     []Hit
}

// Coverage says which part of the snapshot was searched.
type Coverage struct {
	Answered float64
	Of       int
	Fraction float64
	Missing  []MissingShard
}

// MissingShard is a shard that was not searched.
type MissingShard struct {
	Shard  int
	Code   classifier.Code
	Reason string
}

// Hit is one document.
type Hit struct {
	ID    string
	Score float64
	Body  json.RawMessage
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) *ffcli.Command {
	return newCommand(f, run)
}

func newCommand(f *factory.Factory, run factory.RunFunc[Options]) *ffcli.Command {
	opts := &Options{
		Factory: f,
	}
	fs := f.FlagSet("anvildyke query")
	fs.StringVar(&opts.Body, "body", "", "body of the request")
	fs.StringVar(&opts.BodyFile, "body-file", "", "file with the body of the request; - reads the input stream")
	fs.IntVar(&opts.Limit, "limit", 0, "greatest number of hits; 0 leaves it to the server")
	fs.DurationVar(&opts.Deadline, "deadline", 0, "time until the answer; 0 takes the default of the application")
	return &ffcli.Command{
		Name:       "query",
		ShortUsage: "anvildyke query APPLICATION ROUTE [-body TEXT | -body-file FILE] [-limit N] [-deadline 130ms]",
		ShortHelp:  "Send a search.",
		LongHelp: `Examples:
  anvildyke query buscador lost -body "brown bear" -limit 5
  anvildyke query boekportaal rooms -body-file request.json -deadline 200ms -json`,
		FlagSet: fs,
		Exec:    factory.NewExec(f, fs, opts, run, opts.accept, "APPLICATION", "ROUTE"),
	}
}

// accept stores the arguments and checks the settings.
func (o *Options) accept(found []string) error {
	o.Application, o.Route = found[0], found[1]
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
	wait := maxDeadline
	if opts.Deadline > 0 {
		header.Set("Anvildyke-Deadline", opts.Deadline.String())
		wait = opts.Deadline
	}
	if opts.Limit > 0 {
		header.Set("Anvildyke-Limit", strconv.Itoa(opts.Limit))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	reply, err := f.SendCallerRequest(ctx, "search", opts.Target, header, body)
	if err != nil {
		return err
	}
	var a Response
	if err := f.PrintCallerResponse(reply, &a, func(w io.Writer) { table(w, a) }); err != nil {
		return err
	}
	return a.Check("the search was not answered")
}

func table(w io.Writer, a Response) {
	a.WriteRows(w)
	if !a.Code.Answered() {
		return
	}
	_, _ = fmt.Fprintf(w, "SNAPSHOT\t%d\nCOVERAGE\t%g of %d shards (%.2f%%)\n", a.Snapshot, a.Coverage.Answered, a.Coverage.Of, 100*a.Coverage.Fraction)
	for _, m := range a.Coverage.Missing {
		_, _ = fmt.Fprintf(w, "MISSING\tshard %d: %s (code %d)\n", m.Shard, m.Reason, m.Code)
	}
	_, _ = fmt.Fprint(w, "\nID\tSCORE\tBODY\n")
	for _, h := range a.Hits {
		_, _ = fmt.Fprintf(w, "%s\t%g\t%s\n", h.ID, h.Score, h.Body)
	}
}
