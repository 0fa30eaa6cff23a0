// Package watch implements the "move watch" command, which waits for the outcome of a version move.
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

// notFoundGrace is the time after which a "not found" response is final. A VM may not know a move that has just been published:
// it takes up to 9 s until a new set is in force on every VM.
const notFoundGrace = 15 * time.Second

// Options contains the flags and the argument of the command.
type Options struct {
	Factory *factory.Factory
	Name    string
	// PollInterval is the time between two requests for the state of the move, Timeout the maximum wait for its outcome.
	PollInterval time.Duration
	Timeout      time.Duration
}

// NewCommand returns the command that waits for the outcome of a version move.
func NewCommand(f *factory.Factory) *ffcli.Command {
	return newCommand(f, run)
}

func newCommand(f *factory.Factory, run factory.RunFunc[Options]) *ffcli.Command {
	opts := &Options{
		Factory: f,
	}
	fs := f.FlagSet("anvildyke move watch")
	fs.DurationVar(&opts.PollInterval, "interval", time.Second, "time between two requests for the state of the move")
	fs.DurationVar(&opts.Timeout, "timeout", 24*time.Hour, "maximum time to wait for the outcome")
	return &ffcli.Command{
		Name:       "watch",
		ShortUsage: "anvildyke move watch NAME [-timeout 1h]",
		ShortHelp:  "Wait until a version move is done or rolled back.",
		LongHelp: `The exit code is 0 if the move is done, 4 if it was rolled back, and 5 if its outcome is unknown, for example after the timeout.

Examples:
  anvildyke move watch buscador-to-v2
  anvildyke move watch buscador-to-v2 -timeout 30m -json`,
		FlagSet: fs,
		Exec:    factory.NewExec(f, fs, opts, run, opts.setArgs, "NAME"),
	}
}

// setArgs validates the flags and stores the positional argument.
func (o *Options) setArgs(positional []string) error {
	if o.PollInterval <= 0 || o.Timeout <= 0 {
		return factory.Usagef("-interval and -timeout must be positive")
	}
	o.Name = positional[0]
	return nil
}

// outcomeUnknownf returns an *ExitError with the code ExitOutcomeUnknown.
func outcomeUnknownf(format string, args ...any) error {
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
		elapsed := f.Timer.Now().Sub(start)
		var respErr *factory.ResponseError
		switch {
		case err == nil && m.Recorded:
			return printOutcome(f, m)
		case errors.As(err, &respErr) && respErr.Response.Code == classifier.NotFound && elapsed >= notFoundGrace:
			return outcomeUnknownf("the move was not found: %w", err)
		case elapsed >= opts.Timeout:
			return outcomeUnknownf("the move %q has no recorded outcome after %s", opts.Name, opts.Timeout)
		}
		if err == nil && m != last && !f.JSON {
			_, _ = fmt.Fprintf(f.Err, "The move %s has a share of %.1f%%.\n", m.Name, float64(m.SharePerMille)/10)
			last = m
		}
		if !sleep(ctx, f, opts.PollInterval) {
			return outcomeUnknownf("the wait was interrupted")
		}
	}
}

// sleep waits for d and returns false if ctx is done earlier.
func sleep(ctx context.Context, f *factory.Factory, d time.Duration) bool {
	sub := f.Timer.After(d)
	defer sub.Stop()
	select {
	case <-sub.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// printOutcome prints a recorded outcome and returns the error with its exit code, or nil for a move that is done.
func printOutcome(f *factory.Factory, m administrator.Move) error {
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
			Err:  fmt.Errorf("the move %q was rolled back: %s", m.Name, m.Reason),
		}
	default:
		return outcomeUnknownf("the outcome %q is unknown", m.Outcome)
	}
}
