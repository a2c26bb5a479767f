package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"ringstream.example/ringstream/internal/core/routing"
)

type metrics struct {
	requests    *prometheus.CounterVec
	attempts    *prometheus.CounterVec
	preemptions prometheus.Counter
	waiting     prometheus.Gauge
}

// newMetrics creates the metrics and registers them unless registerer is nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	const namespace, subsystem = "ringstream", "dispatch"
	created := &metrics{
		requests:    prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: "requests_total", Help: "Requests and batch items ended, by class and outcome."}, []string{"class", "outcome"}),
		attempts:    prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: "attempts_total", Help: "Dispatches to engines, by class and end."}, []string{"class", "end"}),
		preemptions: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: "preemptions_total", Help: "Batch items taken back for online work."}),
		waiting:     prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: "online_waiting", Help: "Online requests that wait for an engine."}),
	}
	if registerer != nil {
		registerer.MustRegister(created.requests, created.attempts, created.preemptions, created.waiting)
	}
	return created
}

func classLabel(class routing.Class) string {
	if class == routing.Online {
		return "online"
	}
	return "batch"
}

func resultLabel(result attemptResult) string {
	if !result.final {
		return "retry"
	}
	return result.outcome.Kind.String()
}
