package catalog

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
)

// documentKind is a kind of document that other programs write.
type documentKind string

// The documents that a node follows.
const (
	engineDocument documentKind = "engine"
	routesDocument documentKind = "routes"
)

// Refusals counts and logs documents that are not used as they stand.
type Refusals struct {
	counter *prometheus.CounterVec
	logger  *zap.Logger
}

// NewRefusals creates and registers the counter. registerer may be nil.
func NewRefusals(registerer prometheus.Registerer, logger *zap.Logger) *Refusals {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ringstream_pass_documents_refused_total", Help: "Documents of other programs that were not used as they stood, one for each change, by kind and reason.",
	}, []string{"document", "reason"})
	if registerer != nil {
		registerer.MustRegister(counter)
	}
	return &Refusals{counter: counter, logger: events.RateLimited(logger)}
}

// note counts a refusal and logs it as the given event with the given fields.
func (r *Refusals) note(document documentKind, event events.Event, err error, fields ...zap.Field) {
	reason := passthrough.DocumentReasonOf(err)
	r.counter.WithLabelValues(string(document), reason.String()).Inc()
	event.Log(r.logger, append(fields, zap.Stringer("reason", reason), zap.Error(err))...)
}
