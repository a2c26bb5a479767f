package settings

import (
	"io"
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ringstream.example/ringstream/internal/asynclog"
)

// NewAsyncLogger returns a logger that never blocks on a slow reader of its
// output. The returned close function writes the queued lines.
func NewAsyncLogger(config Log) (logger *zap.Logger, close func(), err error) {
	var output io.Writer = os.Stderr
	if config.Output == LogStdout {
		output = os.Stdout
	}
	zapConfig, err := loggerConfig(config)
	if err != nil {
		return nil, nil, err
	}
	writer := asynclog.New(output)
	encoder := zapcore.NewJSONEncoder(zapConfig.EncoderConfig)
	if config.Format == LogConsole {
		encoder = zapcore.NewConsoleEncoder(zapConfig.EncoderConfig)
	}
	return zap.New(zapcore.NewCore(encoder, writer, zapConfig.Level)), writer.Close, nil
}

// NewLogger returns a logger that writes synchronously to the configured output.
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
	zapConfig := zap.NewProductionConfig()
	zapConfig.Level = zap.NewAtomicLevelAt(level)
	zapConfig.Sampling = nil // no event may be dropped
	zapConfig.DisableStacktrace = true
	zapConfig.DisableCaller = true // the event number identifies the call site
	zapConfig.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	zapConfig.EncoderConfig.EncodeDuration = zapcore.StringDurationEncoder
	if config.Format == LogConsole {
		zapConfig.Encoding = "console"
	}
	zapConfig.OutputPaths = []string{config.Output}
	return zapConfig, nil
}
