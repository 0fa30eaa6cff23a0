// Package logger creates the structured loggers of the components of a process.
package logger

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"
)

// Logger creates the loggers of the components. Each line contains the name of the VM in the field VM. Request bodies must not be
// logged.
type Logger struct {
	base zerolog.Logger
}

// New returns a logger that writes lines of the given level and above to w as JSON. It returns an error if the level is unknown.
func New(w io.Writer, level, vm string) (Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return Logger{}, fmt.Errorf("unknown log level %q: %w", level, err)
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

// DiscardHTTP is a logger for HTTP servers that discards all messages, because they may quote parts of requests.
type DiscardHTTP struct{}

// Printf discards the message.
func (DiscardHTTP) Printf(string, ...any) {}

// Part returns the logger of a component. Each line contains the name of the component in the field Part.
func (l Logger) Part(name string) zerolog.Logger {
	return l.base.With().Str("Part", name).Logger()
}
