package acceptor

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/anvildyke/anvildyke/internal/dispatcher"
	"github.com/anvildyke/anvildyke/internal/router"
)

// Metrics records the latency of requests by destination type and outcome. Route names are not used as labels, because each
// configuration may add and remove routes.
type Metrics struct {
	latency *prometheus.HistogramVec
}

// NewMetrics registers the metrics with r. It panics if r already has metrics with the same names.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "anvildyke",
			Subsystem: "gateway",
			Name:      "request_seconds",
			Help:      "Time from the arrival of a request to its outcome.",
			Buckets:   prometheus.ExponentialBuckets(0.005, 2, 11),
		}, []string{"destination", "outcome"}),
	}
	r.MustRegister(m.latency)
	return m
}

func (m *Metrics) observe(r *router.Route, out dispatcher.Outcome, d time.Duration) {
	destination := "single"
	if _, ok := r.Destination.(router.Fanout); ok {
		destination = "fanout"
	}
	outcome := "answered"
	switch o := out.(type) {
	case dispatcher.MergedAnswer:
		if o.MissingShards > 0 {
			outcome = "partial"
		}
	case dispatcher.Failure:
		outcome = o.Code.String()
	}
	m.latency.WithLabelValues(destination, outcome).Observe(d.Seconds())
}
