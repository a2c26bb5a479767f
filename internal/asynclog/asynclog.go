// Package asynclog writes log lines from a queue of its own, so that a slow
// reader of the log never holds a request up. A full queue sheds lines, counts
// them, and says so once there is room.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is how many lines wait at most.
const queueLines = 8192

// Writer is a zapcore.WriteSyncer that does not block.
type Writer struct {
	to    io.Writer
	lines chan []byte
	shed  atomic.Int64
	said  int64
	// notice makes the line that tells of shed ones.
	notice func(shed int64) []byte

	mu     sync.Mutex // guards closed against writes to lines
	closed bool
	done   chan struct{}
}

// New starts a writer; Close ends it.
func New(to io.Writer) *Writer {
	writer := &Writer{
		to: to, lines: make(chan []byte, queueLines), done: make(chan struct{}),
		notice: func(shed int64) []byte {
			return fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines shed\",\"event\":8202,\"lines\":%d}\n", shed)
		},
	}
	go writer.run()
	return writer
}

// Write queues a line, or sheds it.
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

// Sync implements zapcore.WriteSyncer; lines are on their way already.
func (w *Writer) Sync() error { return nil }

// Shed counts the lines shed so far.
func (w *Writer) Shed() int64 { return w.shed.Load() }

// Close writes what is queued and ends the writer.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}

// run writes the queue in as few calls as it can, whole lines in each.
func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for more := true; more; {
			select {
			case next, open := <-w.lines:
				more = open
				batch = w.add(batch, next)
			default:
				more = false
			}
		}
		if shed := w.shed.Load(); shed > w.said {
			batch = w.add(batch, w.notice(shed-w.said))
			w.said = shed
		}
		w.flush(batch)
	}
}

// add puts a line behind others, which are written before when it does not fit.
func (w *Writer) add(batch, line []byte) []byte {
	if len(batch)+len(line) > maxBatch {
		w.flush(batch)
		batch = batch[:0]
	}
	return append(batch, line...)
}

func (w *Writer) flush(batch []byte) {
	if len(batch) > 0 {
		_, _ = w.to.Write(batch) // nowhere left to report to
	}
}

// maxBatch is the most bytes of one write, but for a longer line: a pipe takes
// so many at once or not at all (PIPE_BUF), and whoever reads logs may keep no
// more of one write.
const maxBatch = 4096
