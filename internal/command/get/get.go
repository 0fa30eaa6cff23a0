// Package get shows configuration objects that are in force.
package get

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/anvildyke/anvildyke/internal/administrator"
	"github.com/anvildyke/anvildyke/internal/command/factory"
	"github.com/anvildyke/anvildyke/internal/parser"
)

// Options are the settings of the command.
type Options struct {
	Factory *factory.Factory
	Kind    string
	// Name is empty for all objects of the kind.
	Name string
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) *ffcli.Command {
	return newCommand(f, run)
}

func newCommand(f *factory.Factory, run factory.RunFunc[Options]) *ffcli.Command {
	opts := &Options{
		Factory: f,
	}
	fs := f.FlagSet("anvildyke get")
	return &ffcli.Command{
		Name:       "get",
		ShortUsage: "anvildyke get KIND [NAME]",
		ShortHelp:  "Show configuration objects that are in force.",
		LongHelp: `The objects are written in the form that apply reads.

Examples:
  anvildyke get AvailabilityZone
  anvildyke get -json BackendServer buscador-00-litoral-a`,
		FlagSet: fs,
		Exec:    factory.NewExec(f, fs, opts, run, opts.accept, "KIND", "[NAME]"),
	}
}

// accept stores the arguments.
func (o *Options) accept(found []string) error {
	o.Kind = found[0]
	if len(found) > 1 {
		o.Name = found[1]
	}
	return nil
}

func run(ctx context.Context, opts *Options) error {
	f := opts.Factory
	path := "/v1/objects/" + url.PathEscape(opts.Kind)
	if opts.Name != "" {
		path += "/" + url.PathEscape(opts.Name)
	}
	var answer administrator.ObjectsResponse
	if err := f.SendOperatorRequest(ctx, http.MethodGet, path, nil, nil, &answer); err != nil {
		return err
	}
	set, err := parser.Decode("answer", answer.Objects)
	if err != nil {
		return err
	}
	return f.Print(answer, func(w io.Writer) {
		_, _ = w.Write(parser.EncodeYAML(set))
	})
}
