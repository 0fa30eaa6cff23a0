// Package watch waits for the outcome of a version move.
package watch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/anvildyke/anvildyke/internal/administrator"
	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/command/factory"
)

// unknownGrace is how long a move may be unknown: a new set is in force on every VM within 9 s.
const unknownGrace = 15 * time.Second

// Options are the settings of the command.
type Options struct {
	Factory *factory.Factory
	Name    string
	// PollInterval is the pause between two questions, Timeout the longest wait for the outcome.
	PollInterval time.Duration
	Timeout      time.Duration
}

// NewCommand returns the command.
func NewCommand(f *factory.Factory) *ffcli.Command {
	return newCommand(f, run)
}

func newCommand(f *factory.Factory, run factory.RunFunc[Options]) *ffcli.Command {
	opts := &Options{
		Factory: f,
	}
	fs := f.FlagSet("anvildyke move watch")
	fs.DurationVar(&opts.PollInterval, "interval", time.Second, "pause between two questions")
	fs.DurationVar(&opts.Timeout, "timeout", 24*time.Hour, "longest wait for the outcome")
	return &ffcli.Command{
		Name:       "watch",
		ShortUsage: "anvildyke move watch NAME [-timeout 1h]",
		ShortHelp:  "Wait until a version move is done or taken back.",
		LongHelp: `The exit code is 0 when the move is done, 4 when it was taken back, and 5 when it is unknown or the time is over.

Examples:
  anvildyke move watch buscador-to-v2
  anvildyke move watch buscador-to-v2 -timeout 30m -json`,
		FlagSet: fs,
		Exec:    factory.NewExec(f, fs, opts, run, opts.accept, "NAME"),
	}
}

// accept stores the argument and checks the settings.
func (o *Options) accept(found []string) error {
	if o.PollInterval <= 0 || o.Timeout <= 0 {
		return factory.Usagef("-interval and -timeout must be positive")
	}
	o.Name = found[0]
	return nil
}

func unknown(format string, args ...any) error {
	return &factory.ExitError{
		Code: factory.ExitOutcomeUnknown,
		Err:  fmt.Errorf(format, args...),
	}
}

func run(ctx context.Context, opts *Options) error {
	f := opts.Factory
	start := f.Timer.Now()
	var last administrator.Move
	for {
		var m administrator.Move
		err := f.SendOperatorRequest(ctx, http.MethodGet, "/v1/moves/"+url.PathEscape(opts.Name), nil, nil, &m)
		waited := f.Timer.Now().Sub(start)
		var failure *factory.ResponseError
		switch {
		case err == nil && m.Recorded:
			return final(f, m)
		case errors.As(err, &failure) && failure.Response.Code == classifier.NotFound && waited >= unknownGrace:
			return unknown("the move is unknown: %w", err)
		case waited >= opts.Timeout:
			return unknown("the move %q has no recorded outcome after %s", opts.Name, opts.Timeout)
		}
		if err == nil && m != last && !f.JSON {
			_, _ = fmt.Fprintf(f.Err, "The move %s has a share of %.1f%%.\n", m.Name, float64(m.SharePerMille)/10)
			last = m
		}
		if !wait(ctx, f, opts.PollInterval) {
			return unknown("the wait was interrupted")
		}
	}
}

func wait(ctx context.Context, f *factory.Factory, d time.Duration) bool {
	sub := f.Timer.After(d)
	defer sub.Stop()
	select {
	case <-sub.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func final(f *factory.Factory, m administrator.Move) error {
	err := f.Print(m, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "MOVE\tOUTCOME\tREASON\n%s\t%s\t%s\n", m.Name, m.Outcome, m.Reason)
	})
	if err != nil {
		return err
	}
	switch m.Outcome {
	case blackboard.MoveDone:
		return nil
	case blackboard.MoveRolledBack:
		return &factory.ExitError{
			Code: factory.ExitRolledBack,
			Err:  fmt.Errorf("the move %q was taken back: %s", m.Name, m.Reason),
		}
	default:
		return unknown("the outcome %q is unknown", m.Outcome)
	}
}
