package guard

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts engines that ended during requests, and requests that were refused for that
// reason.
type Metrics struct {
	crashes prometheus.Counter
	refused *prometheus.CounterVec
}

// NewMetrics returns the metrics. It registers them unless registerer is nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		crashes: prometheus.NewCounter(prometheus.CounterOpts{Name: "ringstream_pass_engine_crashes_total", Help: "Runs of requests under which an engine ended that was not leaving."}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_pass_requests_blocked_total", Help: "Requests refused since engines ended under their content, by route."}, []string{"route"}),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.crashes, metrics.refused)
	}
	return metrics
}

func (m *Metrics) crashed() { m.crashes.Inc() }

// Refused counts a refused request of a route.
func (m *Metrics) Refused(route string) { m.refused.WithLabelValues(route).Inc() }
