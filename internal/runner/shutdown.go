package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/anvildyke/anvildyke/internal/blackboard"
)

// stopListener is called when the load balancer delay has elapsed. It leaves the listener open until the connections are closed,
// because requests that arrive late are still answered.
func (d *Daemon) stopListener() {
	d.log.Info().Msg("The load balancer delay has elapsed.")
}

func (d *Daemon) publishDeparture(ctx context.Context) {
	d.gossiper.AnnounceDeparture(ctx, blackboard.MemberLeaving)
}

func (d *Daemon) waitRequests(ctx context.Context) error {
	tick := time.NewTicker(daemonDrainPollPeriod)
	defer tick.Stop()
	for d.responder.ActiveRequests() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d requests were still running when the drain timeout expired", d.responder.ActiveRequests())
		case <-tick.C:
		}
	}
	return nil
}

func (d *Daemon) closeConnections(ctx context.Context) {
	for name, shutdown := range map[string]func(context.Context) error{
		"callers":   d.responder.Shutdown,
		"operators": d.administrator.Shutdown,
		"metrics":   d.exporter.Shutdown,
	} {
		if err := shutdown(ctx); err != nil {
			d.log.Warn().Err(err).Str("Listener", name).Msg("A server did not shut down before the deadline.")
		}
	}
	d.gossiper.AnnounceDeparture(ctx, blackboard.MemberGone)
}
