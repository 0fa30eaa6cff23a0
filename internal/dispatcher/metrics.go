package dispatcher

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the counters of a Dispatcher.
type Metrics struct {
	Refused      prometheus.Counter
	Partial      prometheus.Counter
	Retries      prometheus.Counter
	Hedges       prometheus.Counter
	HedgesDenied prometheus.Counter
}

// NewMetrics returns counters that r serves.
func NewMetrics(r prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "anvildyke",
			Subsystem: "dispatcher",
			Name:      name,
			Help:      help,
		})
		r.MustRegister(c)
		return c
	}
	return &Metrics{
		Refused:      counter("refused_total", "Requests that ended without an answer of a backend server."),
		Partial:      counter("partial_total", "Merged answers that leave shards out."),
		Retries:      counter("retries_total", "Attempts after a failure."),
		Hedges:       counter("hedges_total", "Duplicates of late attempts."),
		HedgesDenied: counter("hedges_denied_total", "Duplicates that the budget did not allow."),
	}
}
