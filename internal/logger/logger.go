// Package logger creates the structured loggers of the daemon's parts.
package logger

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"
)

// Logger writes short sentences under the fixed prefix of a part, its name in the field Part. It never receives request bodies.
type Logger struct {
	base zerolog.Logger
}

// New returns a logger that writes JSON lines at the level or above. The error names an unknown level.
func New(w io.Writer, level, vm string) (Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return Logger{}, fmt.Errorf("the log level %q is unknown: %w", level, err)
	}
	return Logger{
		base: zerolog.New(w).Level(l).With().Timestamp().Str("VM", vm).Logger(),
	}, nil
}

// Discard returns a logger that writes nothing.
func Discard() Logger {
	return Logger{
		base: zerolog.Nop(),
	}
}

// DiscardHTTP is the logger of an HTTP server whose messages are dropped, because they may quote parts of requests.
type DiscardHTTP struct{}

// Printf does nothing.
func (DiscardHTTP) Printf(string, ...any) {}

// Part returns the logger of a part, whose name stands in the field Part of every line.
func (l Logger) Part(name string) zerolog.Logger {
	return l.base.With().Str("Part", name).Logger()
}
