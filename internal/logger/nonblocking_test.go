package logger_test

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/logger"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against requests that block on a slow reader of the logs, and against lines that are dropped without being counted.
func TestLoggingDoesNotBlockOnSlowReader(t *testing.T) {
	w := &blockedWriter{
		release: make(chan struct{}),
	}
	l, dropped, _, err := logger.NewNonBlocking(w, "info", "vm-1")
	assert.NilError(t, err)
	log := l.Part("test")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20000 {
			log.Info().Msg("A line.")
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("logging blocks on a slow reader")
	}
	close(w.release)
	for range 1000 {
		log.Info().Msg("Another line.")
		if dropped.Total() > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("dropped lines are not counted")
}

// Guards against an overload that floods the logs: lines about requests have to be rate-limited, and dropped lines counted.
func TestRequestLogLinesAreRateLimited(t *testing.T) {
	var out bytes.Buffer
	l, err := logger.New(&out, "info", "vm-1")
	assert.NilError(t, err)
	d := &logger.DropCounter{}
	log := l.RateLimitedPart("dispatcher", d)
	for range 5000 {
		log.Info().Msg("A line.")
	}
	lines := uint64(bytes.Count(out.Bytes(), []byte("\n")))
	assert.Equal(t, lines+d.Total(), uint64(5000))
	assert.Assert(t, d.Total() > 4000)
}
