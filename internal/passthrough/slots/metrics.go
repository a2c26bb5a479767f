package slots

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ringstream.example/ringstream/internal/core/grant"
)

// Metrics counts how requests got their slots.
type Metrics struct {
	grants *prometheus.CounterVec
	waited *prometheus.HistogramVec
	// limitUses counts messages about the use of tenants' limits.
	limitUses *prometheus.CounterVec
	// overLimit counts requests that a limit did not admit, by whether their dispatcher knew the
	// use before it began to count.
	overLimit *prometheus.CounterVec
}

// grantBuckets range from 0.5 ms to 4 s, in seconds.
var grantBuckets = prometheus.ExponentialBuckets(0.0005, 2, 14)

// NewMetrics returns the metrics. It registers them unless registerer is nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		grants:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_slots_granted_total", Help: "Slots at engines, by who chose the engine, kind of work, and whether a slot was free, a batch run made room, or neither."}, []string{"source", "work", "kind"}),
		waited:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "ringstream_slots_wait_seconds", Help: "Time from asking for a slot to having one.", Buckets: grantBuckets}, []string{"source", "kind"}),
		limitUses: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_slots_limit_uses_total", Help: "Messages about the use of tenants' limits, by whether they were sent, received, or received after a newer one."}, []string{"direction"}),
		overLimit: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_slots_over_limit_total", Help: "Requests refused because their tenant's limit is used up, by whether the dispatcher knew the use before it began to count."}, []string{"start"}),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.grants, metrics.waited, metrics.limitUses, metrics.overLimit)
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

// refused records a request that a dispatcher refused.
func (m *Metrics) refused(refusal grant.Refusal) {
	if refusal.Reason != grant.RefusedByLimit || refusal.Verdict.Share == 0 {
		return
	}
	start := "unknown"
	if refusal.Start.Known {
		start = "known"
	}
	m.overLimit.WithLabelValues(start).Inc()
}
