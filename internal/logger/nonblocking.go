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
	// bufferLines is how many lines wait for a slow reader of the output before lines are dropped. A line has about 400 bytes.
	bufferLines = 4096
	// partLines is how many lines a second a part writes about requests; an overload of a VM ends more requests than that.
	partLines = 100
)

// DropCounter counts the lines that were dropped.
type DropCounter struct {
	slow    atomic.Uint64
	sampled atomic.Uint64
}

// Total returns the number of dropped lines.
func (d *DropCounter) Total() uint64 {
	return d.slow.Load() + d.sampled.Load()
}

// NewNonBlocking returns a logger whose writes never wait for w. Lines that find the buffer full are counted in Dropped. The closer
// writes what is in the buffer.
func NewNonBlocking(w io.Writer, level, vm string) (Logger, *DropCounter, io.Closer, error) {
	d := &DropCounter{}
	out := diode.NewWriter(w, bufferLines, 0, func(missed int) {
		d.slow.Add(uint64(missed))
	})
	l, err := New(out, level, vm)
	if err != nil {
		return Logger{}, nil, nil, err
	}
	return l, d, out, nil
}

// RateLimitedPart returns the logger of a part that writes lines about requests. It drops lines below the level Warn beyond partLines a
// second, and counts them.
func (l Logger) RateLimitedPart(name string, d *DropCounter) zerolog.Logger {
	return l.Part(name).Sample(&lineLimit{
		dropped: d,
	})
}

// lineLimit is a zerolog.Sampler that passes partLines a second.
type lineLimit struct {
	dropped *DropCounter

	mu     sync.Mutex
	second int64
	lines  int
}

// Sample reports whether a line is written.
func (s *lineLimit) Sample(level zerolog.Level) bool {
	if level >= zerolog.WarnLevel {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second = now
		s.lines = 0
	}
	if s.lines++; s.lines > partLines {
		s.dropped.sampled.Add(1)
		return false
	}
	return true
}
