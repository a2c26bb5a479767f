package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/schollz/progressbar/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ringstream.example/ringstream/internal/bench/runner"
)

// progressLine shows the progress of a run, as a bar on a terminal and as
// occasional plain lines elsewhere.
type progressLine struct {
	out         io.Writer
	isTerminal  bool
	phase       string
	bar         *progressbar.ProgressBar
	lastPrinted time.Time
}

// plainLineInterval is the shortest time between two plain progress lines.
const plainLineInterval = 5 * time.Second

func newProgressLine(out io.Writer) *progressLine {
	line := &progressLine{out: out}
	if file, ok := out.(*os.File); ok {
		if info, err := file.Stat(); err == nil {
			line.isTerminal = info.Mode()&os.ModeCharDevice != 0
		}
	}
	return line
}

// show updates the progress. It is not safe for concurrent use.
func (p *progressLine) show(progress runner.Progress) {
	text := fmt.Sprintf("%s: %d online requests and %d jobs ended", progress.Phase, progress.Counts.Requests, progress.Counts.Jobs)
	if progress.Elapsed > progress.Duration {
		text += ", waiting for accepted work"
	}
	if !p.isTerminal {
		if time.Since(p.lastPrinted) >= plainLineInterval {
			p.lastPrinted = time.Now()
			_, _ = fmt.Fprintf(p.out, "%3.0f s %s\n", progress.Elapsed.Seconds(), text)
		}
		return
	}
	if p.bar == nil || p.phase != progress.Phase {
		p.end()
		p.phase = progress.Phase
		p.bar = progressbar.NewOptions64(int64(progress.Duration),
			progressbar.OptionSetWriter(p.out), progressbar.OptionSetWidth(24),
			progressbar.OptionClearOnFinish(), progressbar.OptionSetPredictTime(false))
	}
	p.bar.Describe(text)
	_ = p.bar.Set64(int64(min(progress.Elapsed, progress.Duration-1))) // a failure to draw the bar does not affect the run
}

func (p *progressLine) end() {
	if p.bar != nil {
		_ = p.bar.Clear()
		p.bar = nil
	}
}

// benchLogger returns a logger for the nodes that writes entries of the given
// level and above to standard error.
func benchLogger(level string) (*zap.Logger, error) {
	minimumLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("--log-level: %w", err)
	}
	encoder := zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(os.Stderr), minimumLevel)), nil
}
