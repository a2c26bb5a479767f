package limits

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the service's counters.
type metrics struct {
	admitted, asks, unanswered prometheus.Counter
	refused                    *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer, s *Service) *metrics {
	m := &metrics{
		admitted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "ringstream_limits_admitted_total", Help: "Requests admitted under a limit.",
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ringstream_limits_refused_total", Help: "Requests refused, by the limit that refused.",
		}, []string{"limit"}),
		asks: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "ringstream_limits_asks_total", Help: "Asks sent to the owners of limits.",
		}),
		unanswered: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "ringstream_limits_unanswered_total", Help: "Asks that no owner answered in time.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.admitted, m.refused, m.asks, m.unanswered,
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "ringstream_limits_in_use", Help: "Sets of limits that this node holds a share of.",
			}, func() float64 {
				s.mu.Lock()
				defer s.mu.Unlock()
				return float64(len(s.meters))
			}))
	}
	return m
}
