package events

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// What other programs write cannot flood the log: of each kind of line, at most so many
// are written in a tick.
const (
	boundedLines = 20
	boundedTick  = 10 * time.Second
)

// Bounded gives a logger for lines whose number others determine. Lines over the bound are
// dropped, so what they tell of is counted elsewhere where it matters.
func Bounded(logger *zap.Logger) *zap.Logger {
	return logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, boundedTick, boundedLines, 0)
	}))
}
