package drainer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvildyke/anvildyke/internal/blackboard"
	"github.com/anvildyke/anvildyke/internal/logger"
	"github.com/anvildyke/anvildyke/internal/parser"
	"github.com/anvildyke/anvildyke/internal/recorder"
	"github.com/anvildyke/anvildyke/internal/timer"
)

func awaitPhase(t *testing.T, board *blackboard.Board, p blackboard.Phase) {
	end := time.After(20 * time.Second)
	for {
		changed := board.Lifecycle.Changed()
		if board.Lifecycle.Read().Phase == p {
			return
		}
		select {
		case <-changed:
		case <-end:
			t.Fatalf("the phase is %s, not %s", board.Lifecycle.Read().Phase, p)
		}
	}
}

func installZoneState(board *blackboard.Board, s parser.ZoneState) {
	board.Config.Write(blackboard.NewConfig(board.Config.Read().Generation+1, parser.Set{parser.AvailabilityZone{
		Name:  "zone",
		State: s,
	}}))
}

// Guards against a VM that reports ready before its startup is complete, accepts requests in a zone that is out of service, or
// leaves the phase Stopped; and against shutdown steps that run in the wrong order or twice, and interrupted requests without an
// error.
func TestLifecycle(t *testing.T) {
	board := &blackboard.Board{}
	clock := timer.NewWall()
	errInterrupted := errors.New("one request was interrupted")
	var exchanged atomic.Bool
	var steps []string
	recordStep := func(name string) func(context.Context) {
		return func(context.Context) {
			steps = append(steps, name+" in "+string(board.Lifecycle.Read().Phase))
		}
	}
	d := New(Options{
		AvailabilityZone:    "zone",
		DrainTimeout:        time.Millisecond,
		Board:               board,
		Timer:               clock,
		Recorder:            recorder.New("a", clock),
		Logger:              logger.Discard(),
		InitialExchangeDone: exchanged.Load,
		StopListener: func() {
			recordStep("listener")(context.Background())
		},
		ReleaseReplicas:  recordStep("release"),
		PublishDeparture: recordStep("departure"),
		WaitRequests: func(ctx context.Context) error {
			<-ctx.Done()
			return errInterrupted
		},
		CloseConnections: recordStep("close"),
	})
	var wg sync.WaitGroup
	wg.Go(func() {
		assert.Check(t, d.Run(context.Background()))
	})
	exchanged.Store(true)
	time.Sleep(2 * StartCheckPeriod)
	assert.Equal(t, board.Lifecycle.Read().Phase, blackboard.PhaseStarting)
	for _, s := range []parser.ZoneState{parser.ZoneInService, parser.ZoneOutOfService, parser.ZoneInService} {
		installZoneState(board, s)
		want := blackboard.PhaseReady
		if s == parser.ZoneOutOfService {
			want = blackboard.PhaseZoneOut
		}
		awaitPhase(t, board, want)
	}
	for range 3 {
		wg.Go(func() {
			assert.Check(t, errors.Is(d.Shutdown(context.Background()), errInterrupted))
		})
	}
	wg.Wait()
	assert.DeepEqual(t, steps, []string{
		"listener in Draining", "release in Draining", "departure in Draining", "close in Draining",
	})
	d.updatePhase()
	assert.Equal(t, board.Lifecycle.Read().Phase, blackboard.PhaseStopped)
}
