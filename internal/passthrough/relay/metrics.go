package relay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ringstream.example/ringstream/internal/passthrough/tenantseries"
)

// Metrics counts calls by route and outcome, and measures their latencies.
type Metrics struct {
	outcomes   *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	firstEvent *prometheus.HistogramVec

	tenants     *tenantseries.Labels
	tenantEnds  *prometheus.CounterVec
	tenantSlots *prometheus.CounterVec
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
	metrics.tenantEnds = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_pass_tenant_requests_total", Help: "Pass-through requests by tenant and result: in_time, late, refused, failed. Tenants with few requests are in one series."}, []string{"tenant", "result"})
	metrics.tenantSlots = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_pass_tenant_slot_seconds_total", Help: "Time for which requests of a tenant held slots at engines."}, []string{"tenant"})
	metrics.tenants = tenantseries.New(func(tenant string) {
		metrics.tenantEnds.DeletePartialMatch(prometheus.Labels{"tenant": tenant})
		metrics.tenantSlots.DeleteLabelValues(tenant)
	})
	if registerer != nil {
		registerer.MustRegister(metrics.outcomes, metrics.duration, metrics.firstEvent, metrics.tenantEnds, metrics.tenantSlots)
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

// recordTenant counts a call that has ended for its tenant.
func (m *Metrics) recordTenant(call *exchange, outcome Outcome, now time.Time) {
	if call.call.Tenant == nil {
		return
	}
	tenant := m.tenants.Record(call.call.TenantName(), now)
	m.tenantEnds.WithLabelValues(tenant, call.resultName(outcome, now)).Inc()
	m.tenantSlots.WithLabelValues(tenant).Add(call.slotTime.Seconds())
}

// resultName returns how a call ended, as the metrics by tenant name it.
func (e *exchange) resultName(outcome Outcome, now time.Time) string {
	first := e.firstEvent
	if first == 0 {
		first = now.Sub(e.call.Received) // an answer without events
	}
	switch {
	case outcome == NotRun:
		return "refused"
	case outcome != Completed:
		return "failed"
	case e.call.Route.Objective > 0 && first > e.call.Route.Objective:
		return "late"
	default:
		return "in_time"
	}
}
