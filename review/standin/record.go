package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file to which a script writes what was sent, answered and run. Its times are seconds since its creation.
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
	r.addAt(time.Now(), format, args...)
}

func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", r.seconds(at), fmt.Sprintf(format, args...))
}

// seconds returns the time since the start of the record.
func (r *record) seconds(at time.Time) float64 {
	return at.Sub(r.start).Seconds()
}
