package events

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Bounded loggers write at most maxLinesPerInterval lines of each message in each
// samplingInterval, so that data written by other programs cannot flood the log.
const (
	maxLinesPerInterval = 20
	samplingInterval    = 10 * time.Second
)

// RateLimited returns a logger for events whose number depends on input from other programs.
// Lines over the bound are dropped, so events that matter must also be counted elsewhere.
func RateLimited(logger *zap.Logger) *zap.Logger {
	return logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, samplingInterval, maxLinesPerInterval, 0)
	}))
}
