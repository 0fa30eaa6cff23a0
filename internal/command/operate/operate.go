// Package operate implements the operate command, which sends a non-idempotent operation to the callers' API.
package operate

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/anvildyke/anvildyke/internal/command/factory"
)

// responseTimeout limits the wait for a response. It exceeds the maximum deadline that an application can have.
const responseTimeout = 65 * time.Second

// Options contains the flags and arguments of the command.
type Options struct {
	factory.Target
	Factory *factory.Factory
	// ID is a UUIDv7. A retry must use the ID of the first attempt, so that the operation runs at most once.
	ID   string
	Key  string
	Body string
}

// Response contains the fields of the callers' API response that the command prints.
type Response struct {
	factory.Result
	Body json.RawMessage
}

// NewCommand returns the command that sends a non-idempotent operation.
func NewCommand(f *factory.Factory) *ffcli.Command {
	return newCommand(f, run)
}

func newCommand(f *factory.Factory, run factory.RunFunc[Options]) *ffcli.Command {
	opts := &Options{
		Factory: f,
	}
	fs := f.FlagSet("anvildyke operate")
	fs.StringVar(&opts.ID, "id", "", "ID of the operation, a UUIDv7; a retry must use the same ID")
	fs.StringVar(&opts.Key, "key", "", "key that selects the shard")
	fs.StringVar(&opts.Body, "body", "", "body of the operation")
	return &ffcli.Command{
		Name:       "operate",
		ShortUsage: "anvildyke operate APPLICATION ROUTE -id UUID -key KEY -body TEXT",
		ShortHelp:  "Send a non-idempotent operation, which runs at most once.",
		LongHelp: `Examples:
  anvildyke operate reclamos handover -id 019aeb3c-5a00-7000-8000-000000000001 -key bear-17 -body "to Ana"`,
		FlagSet: fs,
		Exec:    factory.NewExec(f, fs, opts, run, opts.setArgs, "APPLICATION", "ROUTE"),
	}
}

// setArgs stores the positional arguments and validates the flags.
func (o *Options) setArgs(positional []string) error {
	o.Application, o.Route = positional[0], positional[1]
	if id, err := uuid.Parse(o.ID); err != nil || id.Version() != 7 {
		return factory.Usagef("the flag -id is %q; a UUIDv7 is expected", o.ID)
	}
	if o.Key == "" {
		return factory.Usagef("the flag -key is missing")
	}
	return nil
}

func run(ctx context.Context, opts *Options) error {
	f := opts.Factory
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	header := http.Header{}
	header.Set("Anvildyke-Operation-ID", opts.ID)
	header.Set("Anvildyke-Key", opts.Key)
	resp, err := f.SendCallerRequest(ctx, "operations", opts.Target, header, []byte(opts.Body))
	if err != nil {
		return fmt.Errorf("the operation may have run; retry it with the same ID: %w", err)
	}
	var result Response
	err = f.PrintCallerResponse(resp, &result, func(w io.Writer) {
		result.WriteRows(w)
		_, _ = fmt.Fprintf(w, "BODY\t%s\n", result.Body)
	})
	if err != nil {
		return err
	}
	return result.Check("the operation was not answered")
}
