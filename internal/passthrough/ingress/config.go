package ingress

import (
	"github.com/prometheus/client_golang/prometheus"

	"ringstream.example/ringstream/internal/configcheck"
)

// Config says how the front door judges requests.
type Config struct {
	Keys KeysConfig
}

// Validate checks the parts.
func (c Config) Validate() error { return configcheck.Under("keys", c.Keys.Validate()) }

type metrics struct {
	keys *prometheus.CounterVec
}

// newMetrics makes and registers the metrics; registerer may be nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	made := &metrics{
		keys: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ringstream_pass_keys_total", Help: "Requests by what their key lets them do."}, []string{"verdict"}),
	}
	if registerer != nil {
		registerer.MustRegister(made.keys)
	}
	return made
}
