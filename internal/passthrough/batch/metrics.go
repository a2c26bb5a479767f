package batch

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of the service.
type metrics struct {
	jobs  *prometheus.CounterVec
	runs  *prometheus.CounterVec
	store *prometheus.HistogramVec
	owned prometheus.Gauge
	// claims counts this node's attempts to take over a job, by whether they succeeded.
	claims *prometheus.CounterVec
	// denials counts negative answers that the store has confirmed, by what they deny.
	denials *prometheus.CounterVec
}

// The values of the label denied.
const (
	deniedResult = "result" // the job has no further result
	deniedJob    = "job"    // no job has that id, or none of that tenant
)

func newMetrics(registerer prometheus.Registerer) *metrics {
	made := &metrics{
		jobs:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_pass_jobs_total", Help: "Pass-through jobs handed in, by outcome."}, []string{"outcome"}),
		runs:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_pass_item_runs_total", Help: "Runs of items at engines, by outcome."}, []string{"outcome"}),
		store:   prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "ringstream_pass_store_seconds", Help: "Calls to the platform's store.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 12)}, []string{"call", "outcome"}),
		claims:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_pass_job_claims_total", Help: "Jobs that this node tried to take over, by whether it won."}, []string{"won"}),
		denials: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_pass_job_denials_total", Help: "Answers that a job has no further result, or is not there, all on the store's word; by what is denied."}, []string{"denied"}),
		owned:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "ringstream_pass_jobs_owned", Help: "Jobs that this node runs."}),
	}
	if registerer != nil {
		registerer.MustRegister(made.jobs, made.runs, made.store, made.owned, made.claims, made.denials)
	}
	return made
}
