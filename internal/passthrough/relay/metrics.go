package relay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts calls by route and outcome, and measures their latencies.
type Metrics struct {
	outcomes   *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	firstEvent *prometheus.HistogramVec
}

// latencyBuckets are the upper bounds in seconds, from 2 ms to about 24 s.
var latencyBuckets = prometheus.ExponentialBuckets(0.002, 1.8, 17)

// NewMetrics creates and registers the metrics. The registerer may be nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		outcomes:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_pass_requests_total", Help: "Pass-through requests by route and outcome."}, []string{"route", "outcome"}),
		duration:   prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "ringstream_pass_request_seconds", Help: "Time from a request's arrival to its end.", Buckets: latencyBuckets}, []string{"route"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "ringstream_pass_first_event_seconds", Help: "Time from a request's arrival to its first event.", Buckets: latencyBuckets}, []string{"route"}),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.outcomes, metrics.duration, metrics.firstEvent)
	}
	return metrics
}

func (m *Metrics) record(route string, outcome Outcome, elapsed, firstEvent time.Duration) {
	m.outcomes.WithLabelValues(route, outcome.String()).Inc()
	m.duration.WithLabelValues(route).Observe(elapsed.Seconds())
	if firstEvent > 0 {
		m.firstEvent.WithLabelValues(route).Observe(firstEvent.Seconds())
	}
}
