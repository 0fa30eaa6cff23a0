// Package operate sends a non-idempotent operation as a caller does.
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

// wait bounds the wait for an answer. It is above the greatest deadline of any application.
const wait = 65 * time.Second

// Options are the settings of the command.
type Options struct {
	factory.Target
	Factory *factory.Factory
	// ID is a UUIDv7. An operation that is sent again must have the ID of the first attempt.
	ID   string
	Key  string
	Body string
}

// Response is the part of the answer that the command reads.
type Response struct {
	factory.Result
	Body json.RawMessage
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) *ffcli.Command {
	return newCommand(f, run)
}

func newCommand(f *factory.Factory, run factory.RunFunc[Options]) *ffcli.Command {
	opts := &Options{
		Factory: f,
	}
	fs := f.FlagSet("anvildyke operate")
	fs.StringVar(&opts.ID, "id", "", "ID of the operation, a UUIDv7; the same one when it is sent again")
	fs.StringVar(&opts.Key, "key", "", "key that chooses the shard")
	fs.StringVar(&opts.Body, "body", "", "body of the operation")
	return &ffcli.Command{
		Name:       "operate",
		ShortUsage: "anvildyke operate APPLICATION ROUTE -id UUID -key KEY -body TEXT",
		ShortHelp:  "Send a non-idempotent operation, which runs at most once.",
		LongHelp: `Examples:
  anvildyke operate reclamos handover -id 019aeb3c-5a00-7000-8000-000000000001 -key bear-17 -body "to Ana"`,
		FlagSet: fs,
		Exec:    factory.NewExec(f, fs, opts, run, opts.accept, "APPLICATION", "ROUTE"),
	}
}

// accept stores the arguments and checks the settings.
func (o *Options) accept(found []string) error {
	o.Application, o.Route = found[0], found[1]
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
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	header := http.Header{}
	header.Set("Anvildyke-Operation-ID", opts.ID)
	header.Set("Anvildyke-Key", opts.Key)
	reply, err := f.SendCallerRequest(ctx, "operations", opts.Target, header, []byte(opts.Body))
	if err != nil {
		return fmt.Errorf("the operation may have run; send it again with the same ID: %w", err)
	}
	var a Response
	err = f.PrintCallerResponse(reply, &a, func(w io.Writer) {
		a.WriteRows(w)
		_, _ = fmt.Fprintf(w, "BODY\t%s\n", a.Body)
	})
	if err != nil {
		return err
	}
	return a.Check("the operation has no answer")
}
