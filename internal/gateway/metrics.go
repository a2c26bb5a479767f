package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the gateway's metrics. They have no tenant label, so that the number
// of series does not grow with the number of callers.
type metrics struct {
	requests   *prometheus.CounterVec
	firstToken prometheus.Histogram
	nextToken  prometheus.Histogram
	tokens     prometheus.Counter
	running    prometheus.Gauge
	keyed      *prometheus.CounterVec
	forwarded  *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	created := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ringstream_gateway_requests_total",
			Help: "Online requests by form and by how they ended.",
		}, []string{"form", "outcome"}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "ringstream_gateway_first_token_seconds",
			Help: "From the request's arrival to its first token.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
		nextToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "ringstream_gateway_next_token_seconds",
			Help: "From one token of an online answer to the next.", Buckets: prometheus.ExponentialBucketsRange(0.002, 2, 24),
		}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "ringstream_gateway_tokens_total",
			Help: "Output tokens given to online callers.",
		}),
		running: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "ringstream_gateway_running_requests",
			Help: "Online requests now running.",
		}),
	}
	created.keyed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ringstream_gateway_keyed_total",
		Help: "What the records of idempotency keys decided.",
	}, []string{"action"})
	created.forwarded = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ringstream_gateway_forwarded_total",
		Help: "Requests handed to the other site, by what is known of them.",
	}, []string{"result"})
	if registerer != nil {
		registerer.MustRegister(created.requests, created.firstToken, created.nextToken, created.tokens, created.running, created.keyed, created.forwarded)
	}
	return created
}

func (m *metrics) recordEnd(chat bool, label string, tokens int) {
	m.requests.WithLabelValues(formLabel(chat), label).Inc()
	m.tokens.Add(float64(tokens))
}

func formLabel(chat bool) string {
	if chat {
		return "chat"
	}
	return "completion"
}

func (m *metrics) observeFirstToken(elapsed time.Duration) { m.firstToken.Observe(elapsed.Seconds()) }

func (m *metrics) observeNextToken(elapsed time.Duration) { m.nextToken.Observe(elapsed.Seconds()) }
