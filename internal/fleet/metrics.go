package fleet

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	engines      prometheus.Gauge
	polls        prometheus.Counter
	pollFailures prometheus.Counter
	ejections    prometheus.Counter
}

// newMetrics creates the metrics and registers them if registerer is not nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "ringstream", Subsystem: "fleet", Name: name, Help: help})
	}
	made := &metrics{
		engines:      prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "ringstream", Subsystem: "fleet", Name: "engines", Help: "Engines that this node dispatches to."}),
		polls:        counter("load_reports_total", "Load reports read."),
		pollFailures: counter("load_report_failures_total", "Load reports that did not come."),
		ejections:    counter("ejections_total", "Engines ejected because they did not answer or gave no tokens."),
	}
	if registerer != nil {
		registerer.MustRegister(made.engines, made.polls, made.pollFailures, made.ejections)
	}
	return made
}
