package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, with the time since the start in seconds.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		start: time.Now(),
		file:  f,
	}, nil
}

func (r *record) add(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line)
}
