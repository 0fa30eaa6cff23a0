package isolator_test

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/anvildyke/anvildyke/internal/discoverer"
	"github.com/anvildyke/anvildyke/internal/isolator"
	"github.com/anvildyke/anvildyke/internal/timer"
)

// scriptedDialer gives the result of each attempt: listens, refused or timeout. The last one is repeated.
type scriptedDialer struct {
	mu      sync.Mutex
	results []string
}

func (d *scriptedDialer) Reach(context.Context, netip.AddrPort) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	result := d.results[0]
	if len(d.results) > 1 {
		d.results = d.results[1:]
	}
	switch result {
	case "refused":
		return syscall.ECONNREFUSED
	case "timeout":
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// Guards against a crash that is not seen because the first attempts to reach the server take too long, as on a VM with little processor
// time, against a process that is started again so soon that it is taken for the one that crashed, and against a server that is held for crashed although it listens or cannot be reached (issue 43).
func TestChecksFindCrashes(t *testing.T) {
	for results, want := range map[string]string{
		"refused":                         "crashed",
		"listens refused":                 "crashed",
		"timeout timeout refused":         "crashed",
		"timeout timeout timeout refused": "crashed",
		"listens listens":                 "alive",
		"timeout listens refused":         "alive",
		"timeout":                         "unknown",
		"listens/replaced":                "crashed",
		"timeout/replaced":                "crashed",
	} {
		t.Run(results, func(t *testing.T) {
			t.Parallel()
			i := isolator.New(nil, zerolog.Nop())
			began := time.Now()
			dials, replaced, _ := strings.Cut(results, "/")
			c := isolator.NewChecker(isolator.CheckerOptions{
				Isolator: i,
				Dialer: &scriptedDialer{
					results: strings.Fields(dials),
				},
				IsReplaced: func(discoverer.Key) bool {
					return replaced != "" && time.Since(began) > time.Second
				},
				Timer: timer.NewWall(),
				Log:   zerolog.Nop(),
			})
			now := time.Now()
			c.ConnectionBroke(&discoverer.Server{
				ID: "i-1",
			}, isolator.Crash{
				Subject: subject("a"),
				Began:   now,
				At:      now,
			})
			counts := map[string]func() uint64{
				"crashed": i.Crashes,
				"alive":   c.Alive,
				"unknown": c.Unknown,
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				for _, count := range counts {
					if count() > 0 {
						return poll.Success()
					}
				}
				return poll.Continue("the check has not ended")
			}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
			assert.Equal(t, counts[want](), uint64(1))
		})
	}
}
