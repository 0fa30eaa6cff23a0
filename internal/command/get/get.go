// Package get implements the get command, which shows the configuration objects that are in force.
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

// Options contains the arguments of the command.
type Options struct {
	Factory *factory.Factory
	Kind    string
	// Name selects one object; if it is empty, all objects of the kind are shown.
	Name string
}

// NewCommand returns the command that shows configuration objects in force.
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
		LongHelp: `The objects are printed in the YAML format that apply reads, or as JSON with their generation.

Examples:
  anvildyke get AvailabilityZone
  anvildyke get -json BackendServer buscador-00-litoral-a`,
		FlagSet: fs,
		Exec:    factory.NewExec(f, fs, opts, run, opts.setArgs, "KIND", "[NAME]"),
	}
}

func (o *Options) setArgs(positional []string) error {
	o.Kind = positional[0]
	if len(positional) > 1 {
		o.Name = positional[1]
	}
	return nil
}

func run(ctx context.Context, opts *Options) error {
	f := opts.Factory
	path := "/v1/objects/" + url.PathEscape(opts.Kind)
	if opts.Name != "" {
		path += "/" + url.PathEscape(opts.Name)
	}
	var resp administrator.ObjectsResponse
	if err := f.SendOperatorRequest(ctx, http.MethodGet, path, nil, nil, &resp); err != nil {
		return err
	}
	set, err := parser.Decode("answer", resp.Objects)
	if err != nil {
		return err
	}
	return f.Print(resp, func(w io.Writer) {
		_, _ = w.Write(parser.EncodeYAML(set))
	})
}
