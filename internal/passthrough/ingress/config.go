package ingress

import (
	"github.com/prometheus/client_golang/prometheus"

	"ringstream.example/ringstream/internal/configcheck"
	"ringstream.example/ringstream/internal/passthrough/memorybudget"
)

// Config holds the settings of the ingress server.
type Config struct {
	Keys KeysConfig
}

// Validate checks the settings of all parts.
func (c Config) Validate() error { return configcheck.Under("keys", c.Keys.Validate()) }

type metrics struct {
	keys   *prometheus.CounterVec
	unread prometheus.Counter
}

// newMetrics creates and registers the metrics. The registerer may be nil.
func newMetrics(registerer prometheus.Registerer, held *memorybudget.Budget) *metrics {
	created := &metrics{
		keys:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_pass_keys_total", Help: "Requests by what their key lets them do."}, []string{"verdict"}),
		unread: prometheus.NewCounter(prometheus.CounterOpts{Name: "ringstream_pass_unread_answers_total", Help: "Answers that were cut because the client did not read them in time."}),
	}
	if registerer != nil {
		registerer.MustRegister(created.keys, created.unread, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "ringstream_pass_held_bytes", Help: "Bytes held for clients: bodies of requests in flight, and answers that are not read yet.",
		}, func() float64 { return float64(held.Held()) }))
	}
	return created
}
