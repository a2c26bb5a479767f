package relay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts calls by route and outcome, and measures their times.
type Metrics struct {
	outcomes *prometheus.CounterVec
	whole    *prometheus.HistogramVec
	first    *prometheus.HistogramVec
}

// latencyBuckets reach from a millisecond to half a minute, in seconds.
var latencyBuckets = prometheus.ExponentialBuckets(0.002, 1.8, 17)

// NewMetrics makes and registers the metrics; registerer may be nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_pass_requests_total", Help: "Pass-through requests by route and outcome."}, []string{"route", "outcome"}),
		whole:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "ringstream_pass_request_seconds", Help: "Time from a request's arrival to its end.", Buckets: latencyBuckets}, []string{"route"}),
		first:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "ringstream_pass_first_event_seconds", Help: "Time from a request's arrival to its first event.", Buckets: latencyBuckets}, []string{"route"}),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.outcomes, metrics.whole, metrics.first)
	}
	return metrics
}

func (m *Metrics) ended(route string, outcome Outcome, whole, first time.Duration) {
	m.outcomes.WithLabelValues(route, outcome.String()).Inc()
	m.whole.WithLabelValues(route).Observe(whole.Seconds())
	if first > 0 {
		m.first.WithLabelValues(route).Observe(first.Seconds())
	}
}
