package dispatcher

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the counters of the outcomes and extra attempts of a Dispatcher.
type Metrics struct {
	Refused      prometheus.Counter
	Partial      prometheus.Counter
	Retries      prometheus.Counter
	Hedges       prometheus.Counter
	HedgesDenied prometheus.Counter
}

// NewMetrics registers the metrics with r. It panics if r already has metrics with the same names.
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
		Refused:      counter("refused_total", "Requests that failed without an answer from a backend server."),
		Partial:      counter("partial_total", "Merged answers that do not include all shards."),
		Retries:      counter("retries_total", "Retries after a failed attempt."),
		Hedges:       counter("hedges_total", "Hedges sent for late attempts."),
		HedgesDenied: counter("hedges_denied_total", "Hedges that the retry budget did not allow."),
	}
}
