package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
)

// stopListener is called when the load balancer's delay has passed. The listener stays open until the connections are closed,
// because a request that arrives late is still answered.
func (r *Daemon) stopListener() {
	r.log.Info().Msg("The load balancer's delay has passed.")
}

func (r *Daemon) publishDeparture(ctx context.Context) {
	r.gossiper.AnnounceDeparture(ctx, blackboard.MemberLeaving)
}

func (r *Daemon) waitRequests(ctx context.Context) error {
	tick := time.NewTicker(waitPoll)
	defer tick.Stop()
	for r.responder.ActiveRequests() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d requests still ran at the end of the drain timeout", r.responder.ActiveRequests())
		case <-tick.C:
		}
	}
	return nil
}

func (r *Daemon) closeConnections(ctx context.Context) {
	for name, stop := range map[string]func(context.Context) error{
		"callers":   r.responder.Shutdown,
		"operators": r.administrator.Shutdown,
		"metrics":   r.meter.Shutdown,
	} {
		if err := stop(ctx); err != nil {
			r.log.Warn().Err(err).Str("Listener", name).Msg("A listener did not close in time.")
		}
	}
	r.gossiper.AnnounceDeparture(ctx, blackboard.MemberGone)
}
