package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// bufferLines is the number of lines that are buffered for a slow reader of the output before lines are dropped. A line has
	// about 400 bytes.
	bufferLines = 4096
	// maxRequestLinesPerSecond limits the lines that one component logs about requests. An overloaded VM completes more requests
	// per second than that.
	maxRequestLinesPerSecond = 100
)

// DropCounter counts dropped log lines. Its methods are safe for concurrent use.
type DropCounter struct {
	// bufferFull counts lines dropped because the buffer was full, rateLimited those that exceeded the rate limit of a component.
	bufferFull  atomic.Uint64
	rateLimited atomic.Uint64
}

// Total returns the number of lines that were dropped for any reason.
func (d *DropCounter) Total() uint64 {
	return d.bufferFull.Load() + d.rateLimited.Load()
}

// NewNonBlocking returns a logger whose writes never block on w. Lines that do not fit into the buffer are dropped and counted in
// the DropCounter. Closing the io.Closer flushes the buffer.
func NewNonBlocking(w io.Writer, level, vm string) (Logger, *DropCounter, io.Closer, error) {
	d := &DropCounter{}
	out := diode.NewWriter(w, bufferLines, 0, func(missed int) {
		d.bufferFull.Add(uint64(missed))
	})
	l, err := New(out, level, vm)
	if err != nil {
		return Logger{}, nil, nil, err
	}
	return l, d, out, nil
}

// RateLimitedPart returns the logger of a component that logs individual requests. Above maxRequestLinesPerSecond, lines below
// the level Warn are dropped and counted in d.
func (l Logger) RateLimitedPart(name string, d *DropCounter) zerolog.Logger {
	return l.Part(name).Sample(&requestLineSampler{
		dropped: d,
	})
}

// requestLineSampler is a zerolog.Sampler that passes all lines of the level Warn and above, and up to maxRequestLinesPerSecond
// lines per second below it.
type requestLineSampler struct {
	dropped *DropCounter

	mu     sync.Mutex
	second int64
	lines  int
}

// Sample reports whether a line is written, and counts it if it is dropped.
func (s *requestLineSampler) Sample(level zerolog.Level) bool {
	if level >= zerolog.WarnLevel {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second = now
		s.lines = 0
	}
	if s.lines++; s.lines > maxRequestLinesPerSecond {
		s.dropped.rateLimited.Add(1)
		return false
	}
	return true
}
