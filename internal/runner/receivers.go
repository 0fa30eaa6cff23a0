package runner

import (
	"github.com/anvildyke/anvildyke/internal/installer"
	"github.com/anvildyke/anvildyke/internal/messenger"
	"github.com/anvildyke/anvildyke/internal/recorder"
)

// partsReceiver serves Peer.FetchParts. It wraps the installer, so that its other methods cannot be called over net/rpc.
type partsReceiver struct {
	installer *installer.Installer
}

// FetchParts returns those of the requested parts of a configuration that this VM has.
func (p *partsReceiver) FetchParts(req *messenger.FetchPartsRequest, reply *messenger.FetchPartsReply) (err error) {
	defer messenger.RecoverCall(&err)
	p.installer.FetchParts(req, reply)
	return nil
}

// eventsReceiver serves Peer.Events.
type eventsReceiver struct {
	recorder *recorder.Recorder
}

// Events returns the events of this VM's timeline that match the filter of the request.
func (e *eventsReceiver) Events(req *messenger.EventsRequest, reply *messenger.EventsReply) (err error) {
	defer messenger.RecoverCall(&err)
	reply.Events = e.recorder.Events(req.Filter)
	return nil
}

// addCounters registers the metrics of searches and of traffic between entry VMs.
func (d *Daemon) addCounters() {
	c := d.searcher.Counters()
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
		d.exporter.Counter(x.name, x.help, func() float64 { return float64(x.load()) })
	}
	clientTraffic, serverTraffic := &d.pool.Traffic, &d.peerServer.Traffic
	d.exporter.Counter("peer_sent_bytes_total", "Bytes sent to other entry VMs.", func() float64 {
		return float64(clientTraffic.Sent.Load() + serverTraffic.Sent.Load())
	})
	d.exporter.Counter("peer_received_bytes_total", "Bytes received from other entry VMs.", func() float64 {
		return float64(clientTraffic.Received.Load() + serverTraffic.Received.Load())
	})
	d.exporter.Gauge("queries_running", "Searches that run now.", func() float64 { return float64(c.Running.Load()) })
}
