package runner

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	attempts *prometheus.CounterVec
	commits  *prometheus.CounterVec
	items    prometheus.Counter
	objects  prometheus.Counter
	jobs     prometheus.Counter
	atRisk   prometheus.Counter
}

// newMetrics returns the metrics; with a nil registerer it does not register them.
func newMetrics(registerer prometheus.Registerer, r *Runner) *metrics {
	factory := promauto.With(registerer)
	gauge := func(name, help string, value func() float64) {
		factory.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			r.mu.Lock()
			defer r.mu.Unlock()
			return value()
		})
	}
	gauge("ringstream_jobs_shards_held", "Shards of batch jobs that this node holds.", func() float64 { return float64(len(r.shards)) })
	gauge("ringstream_jobs_open", "Open jobs of held shards.", func() float64 { return float64(len(r.jobs)) })
	gauge("ringstream_jobs_items_running", "Batch items that run on engines for this node.", func() float64 { return float64(r.runningItems) })
	gauge("ringstream_jobs_held_result_bytes", "Results in memory that are not committed.", func() float64 { return float64(r.heldResultBytes) })
	return &metrics{
		attempts: factory.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_jobs_attempts_total", Help: "Attempts of batch items by outcome."}, []string{"outcome"}),
		commits:  factory.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_jobs_commits_total", Help: "Transactions of outcomes and intents by status."}, []string{"status"}),
		items:    factory.NewCounter(prometheus.CounterOpts{Name: "ringstream_jobs_items_final_total", Help: "Batch items whose outcome was committed."}),
		objects:  factory.NewCounter(prometheus.CounterOpts{Name: "ringstream_jobs_result_objects_total", Help: "Result objects written."}),
		jobs:     factory.NewCounter(prometheus.CounterOpts{Name: "ringstream_jobs_completed_total", Help: "Jobs whose last item was committed."}),
		atRisk:   factory.NewCounter(prometheus.CounterOpts{Name: "ringstream_jobs_at_risk_total", Help: "Jobs expected to miss their deadline."}),
	}
}
