package acceptor

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/anvildyke/anvildyke/internal/dispatcher"
	"github.com/anvildyke/anvildyke/internal/router"
)

// Metrics are the metrics of requests by kind of route and outcome. Routes come and go with configurations, so their names are
// no labels.
type Metrics struct {
	latency *prometheus.HistogramVec
}

// NewMetrics returns metrics that r serves.
func NewMetrics(r prometheus.Registerer) *Metrics {
	c := &Metrics{
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "anvildyke",
			Subsystem: "gateway",
			Name:      "request_seconds",
			Help:      "Time from the arrival of a request to its outcome.",
			Buckets:   prometheus.ExponentialBuckets(0.005, 2, 11),
		}, []string{"destination", "outcome"}),
	}
	r.MustRegister(c.latency)
	return c
}

func (c *Metrics) observe(r *router.Route, out dispatcher.Outcome, d time.Duration) {
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
	c.latency.WithLabelValues(destination, outcome).Observe(d.Seconds())
}
