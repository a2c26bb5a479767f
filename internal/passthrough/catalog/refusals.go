package catalog

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

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

// A flood of bad documents writes at most so many lines of each kind in a tick.
const (
	refusalLines = 20
	refusalTick  = 10 * time.Second
)

// Refusals counts and logs documents that are not used as they stand.
type Refusals struct {
	counter *prometheus.CounterVec
	logger  *zap.Logger
}

// NewRefusals makes and registers the count; registerer may be nil.
func NewRefusals(registerer prometheus.Registerer, logger *zap.Logger) *Refusals {
	bounded := logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, refusalTick, refusalLines, 0)
	}))
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ringstream_pass_documents_refused_total", Help: "Documents of other programs that were not used as they stood, one for each change, by kind and reason.",
	}, []string{"document", "reason"})
	if registerer != nil {
		registerer.MustRegister(counter)
	}
	return &Refusals{counter: counter, logger: bounded}
}

// note counts a refusal, and logs it as an event with the fields given.
func (r *Refusals) note(document documentKind, event events.Event, err error, fields ...zap.Field) {
	reason := passthrough.DocumentReasonOf(err)
	r.counter.WithLabelValues(string(document), reason.String()).Inc()
	event.Log(r.logger, append(fields, zap.Stringer("reason", reason), zap.Error(err))...)
}
