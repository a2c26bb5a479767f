package settings

import (
	"io"
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ringstream.example/ringstream/internal/asynclog"
)

// NewAsyncLogger makes a logger that never blocks on its reader; close writes
// what is queued.
func NewAsyncLogger(config Log) (logger *zap.Logger, close func(), err error) {
	var to io.Writer = os.Stderr
	if config.Output == LogStdout {
		to = os.Stdout
	}
	production, err := loggerConfig(config)
	if err != nil {
		return nil, nil, err
	}
	writer := asynclog.New(to)
	encoder := zapcore.NewJSONEncoder(production.EncoderConfig)
	if config.Format == LogConsole {
		encoder = zapcore.NewConsoleEncoder(production.EncoderConfig)
	}
	return zap.New(zapcore.NewCore(encoder, writer, production.Level)), writer.Close, nil
}

// NewLogger makes the process's logger.
func NewLogger(config Log) (*zap.Logger, error) {
	production, err := loggerConfig(config)
	if err != nil {
		return nil, err
	}
	return production.Build()
}

func loggerConfig(config Log) (zap.Config, error) {
	level, err := zapcore.ParseLevel(config.Level)
	if err != nil {
		return zap.Config{}, err
	}
	production := zap.NewProductionConfig()
	production.Level = zap.NewAtomicLevelAt(level)
	production.Sampling = nil // each event counts
	production.DisableStacktrace = true
	production.DisableCaller = true // the event's number names the call site
	production.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	production.EncoderConfig.EncodeDuration = zapcore.StringDurationEncoder
	if config.Format == LogConsole {
		production.Encoding = "console"
	}
	production.OutputPaths = []string{config.Output}
	return production, nil
}
