package rows

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the service's counters and histograms.
type metrics struct {
	edits            *prometheus.CounterVec
	changes          *prometheus.CounterVec
	catchUps         prometheus.Counter
	propagationDelay prometheus.Histogram
}

func newMetrics(registerer prometheus.Registerer, s *Service) *metrics {
	m := &metrics{
		edits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ringstream_rows_edits_total", Help: "Edits taken by this node, by how they ended.",
		}, []string{"status"}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ringstream_rows_changes_total", Help: "Changes applied to this node's table, by where they came from.",
		}, []string{"source"}),
		catchUps: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "ringstream_rows_catch_ups_total", Help: "Pauses of this node after which it caught up with the table.",
		}),
		propagationDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "ringstream_rows_in_force_seconds", Help: "Time from an edit's commit to its arrival here, by the two nodes' clocks.",
			Buckets: []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10},
		}),
	}
	if registerer == nil {
		return m
	}
	registerer.MustRegister(m.edits, m.changes, m.catchUps, m.propagationDelay,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "ringstream_rows_revision", Help: "Revision up to which this node holds every change of the table.",
		}, func() float64 { return float64(s.Table().Revision()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "ringstream_rows_ready", Help: "1 when the table is loaded and up to date since the last pause.",
		}, func() float64 {
			if s.Ready() {
				return 1
			}
			return 0
		}))
	return m
}
