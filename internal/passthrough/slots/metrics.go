package slots

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ringstream.example/ringstream/internal/core/grant"
)

// Metrics counts how requests got their slots.
type Metrics struct {
	grants *prometheus.CounterVec
	waited *prometheus.HistogramVec
	slow   *prometheus.GaugeVec
	// slowest is the slowness of the slowest engine.
	slowest  prometheus.Gauge
	overload overloadMetrics
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
		slow:      prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "ringstream_slots_slow_engines", Help: "Engines, of the lanes that this node dispatches, at which work takes at least as many times the usual time as the label says."}, []string{"times"}),
		slowest:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "ringstream_slots_slowest_engine_ratio", Help: "Time that work takes at the slowest engine of the lanes that this node dispatches, relative to the usual time; 1 if no engine is slow."}),
		overload:  newOverloadMetrics(),
		limitUses: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_slots_limit_uses_total", Help: "Messages about the use of tenants' limits, by whether they were sent, received, or received after a newer one."}, []string{"direction"}),
		overLimit: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_slots_over_limit_total", Help: "Requests refused because their tenant's limit is used up, by whether the dispatcher knew the use before it began to count."}, []string{"start"}),
	}
	if registerer != nil {
		registerer.MustRegister(append(metrics.overload.collectors(), metrics.grants, metrics.waited, metrics.slow, metrics.slowest, metrics.limitUses, metrics.overLimit)...)
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

// setSlowness sets the metrics of slow engines.
func (m *Metrics) setSlowness(slowness []float64) {
	const slow, verySlow = 1.5, 3
	counts := map[float64]int{slow: 0, verySlow: 0}
	slowest := 1.0
	for _, ratio := range slowness {
		slowest = max(slowest, ratio)
		for bound := range counts {
			if ratio >= bound {
				counts[bound]++
			}
		}
	}
	for bound, count := range counts {
		m.slow.WithLabelValues(strconv.FormatFloat(bound, 'g', -1, 64)).Set(float64(count))
	}
	m.slowest.Set(slowest)
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
