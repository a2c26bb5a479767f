// Package asynclog writes log lines asynchronously from a queue, so that a slow
// reader of the log never delays a request. When the queue is full, lines are
// shed and counted, and the count is logged once the queue has free slots.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueCapacity is the maximum number of queued lines.
const queueCapacity = 8192

// Writer is a zapcore.WriteSyncer that does not block.
type Writer struct {
	output       io.Writer
	lines        chan []byte
	shed         atomic.Int64
	reportedShed int64
	// notice returns the log line that reports the number of shed lines.
	notice func(shed int64) []byte

	mu     sync.Mutex // guards closed, and sends to lines against its closing
	closed bool
	done   chan struct{}
}

// New starts a writer, which runs until Close.
func New(output io.Writer) *Writer {
	writer := &Writer{
		output: output, lines: make(chan []byte, queueCapacity), done: make(chan struct{}),
		notice: func(shed int64) []byte {
			return fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines shed\",\"event\":8202,\"lines\":%d}\n", shed)
		},
	}
	go writer.run()
	return writer
}

// Write queues a line, or sheds it if the queue is full or the writer is closed. It
// always reports success.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		w.shed.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- copied:
	default:
		w.shed.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, since the queue is written
// continuously.
func (w *Writer) Sync() error { return nil }

// Shed returns the number of lines shed so far.
func (w *Writer) Shed() int64 { return w.shed.Load() }

// Close writes the queued lines and stops the writer.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}

// run writes the queued lines in as few calls as possible, with whole lines in each.
func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for more := true; more; {
			select {
			case next, open := <-w.lines:
				more = open
				batch = w.appendLine(batch, next)
			default:
				more = false
			}
		}
		if shed := w.shed.Load(); shed > w.reportedShed {
			batch = w.appendLine(batch, w.notice(shed-w.reportedShed))
			w.reportedShed = shed
		}
		w.flush(batch)
	}
}

// appendLine appends a line to batch. It flushes batch first if the line does not fit.
func (w *Writer) appendLine(batch, line []byte) []byte {
	if len(batch)+len(line) > maxWriteBytes {
		w.flush(batch)
		batch = batch[:0]
	}
	return append(batch, line...)
}

func (w *Writer) flush(batch []byte) {
	if len(batch) > 0 {
		_, _ = w.output.Write(batch) // an error of the log output cannot be reported
	}
}

// maxWriteBytes limits the size of one write, except for a single longer line.
// Writes to a pipe are atomic up to this size (PIPE_BUF), and a log reader may
// keep no more of one write.
const maxWriteBytes = 4096
