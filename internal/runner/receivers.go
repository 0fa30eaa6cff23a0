package runner

import (
	"github.com/anvildyke/anvildyke/internal/installer"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/recorder"
)

// parts serves Peer.FetchParts. It keeps the other methods of the watcher out of reach.
type parts struct {
	watcher *installer.Installer
}

// FetchParts returns parts of the configuration.
func (p *parts) FetchParts(req *messenger.FetchPartsRequest, reply *messenger.FetchPartsReply) error {
	return p.watcher.FetchParts(req, reply)
}

// events serves Peer.Events.
type events struct {
	recorder *recorder.Recorder
}

// Events returns events of this VM's timeline.
func (e *events) Events(req *messenger.EventsRequest, reply *messenger.EventsReply) error {
	reply.Events = e.recorder.Events(req.Filter)
	return nil
}

// addCounters exports the counters of the request path.
func (r *Daemon) addCounters() {
	c := r.searcher.Counters()
	for _, x := range []struct {
		name string
		help string
		load func() uint64
	}{
		{"queries_total", "Searches of callers.", c.Queries.Load},
		{"answers_total", "Searches answered in full.", c.CompleteAnswers.Load},
		{"partial_answers_total", "Searches answered in part.", c.PartialAnswers.Load},
		{"failures_total", "Searches without an answer, refusals included.", c.Failures.Load},
		{"sub_requests_total", "Sub-requests, extra ones included.", c.SubRequests.Load},
		{"hedges_total", "Hedged sub-requests.", c.Hedges.Load},
		{"hedge_wins_total", "Hedges whose answer counted.", c.HedgeWins.Load},
		{"retries_total", "Retried sub-requests.", c.Retries.Load},
		{"resends_total", "Sub-requests sent again because they reached no backend server.", c.Resends.Load},
		{"restarts_total", "Searches restarted on a newer snapshot.", c.Restarts.Load},
		{"sheds_total", "Searches refused over the concurrency bound.", c.Sheds.Load},
	} {
		r.meter.Counter(x.name, x.help, func() float64 { return float64(x.load()) })
	}
	client, server := &r.pool.Traffic, &r.server.Traffic
	r.meter.Counter("peer_sent_bytes_total", "Bytes sent to other entry VMs.", func() float64 {
		return float64(client.Sent.Load() + server.Sent.Load())
	})
	r.meter.Counter("peer_received_bytes_total", "Bytes received from other entry VMs.", func() float64 {
		return float64(client.Received.Load() + server.Received.Load())
	})
	r.meter.Gauge("queries_running", "Searches that run now.", func() float64 { return float64(c.Running.Load()) })
}
