package slots

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts how requests got their slots.
type Metrics struct {
	grants   *prometheus.CounterVec
	waited   *prometheus.HistogramVec
	overload overloadMetrics
}

// grantBuckets range from 0.5 ms to 4 s, in seconds.
var grantBuckets = prometheus.ExponentialBuckets(0.0005, 2, 14)

// NewMetrics returns the metrics. It registers them unless registerer is nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		grants:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_slots_granted_total", Help: "Slots at engines, by who chose the engine, kind of work, and whether a slot was free, a batch run made room, or neither."}, []string{"source", "work", "kind"}),
		waited:   prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "ringstream_slots_wait_seconds", Help: "Time from asking for a slot to having one.", Buckets: grantBuckets}, []string{"source", "kind"}),
		overload: newOverloadMetrics(),
	}
	if registerer != nil {
		registerer.MustRegister(append(metrics.overload.collectors(), metrics.grants, metrics.waited)...)
	}
	return metrics
}

func (m *Metrics) granted(decision Decision) {
	work, kind := "online", "free"
	if decision.Slot.counted.Batch {
		work = "batch"
	}
	switch {
	case decision.Choice.Preempts:
		kind = "preempts"
	case !decision.Choice.HasSlot():
		kind = "full"
	}
	m.grants.WithLabelValues(decision.Source.String(), work, kind).Inc()
	m.waited.WithLabelValues(decision.Source.String(), kind).Observe(max(decision.Waited, time.Duration(0)).Seconds())
}
