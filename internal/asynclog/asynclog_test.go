package asynclog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
)

// blockedWriter is an output that blocks all writes until release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	content bytes.Buffer
	release chan struct{}
}

func (b *blockedWriter) Write(content []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(content)
}

func TestFullQueueShedsLinesAndReportsThem(t *testing.T) {
	output := &blockedWriter{release: make(chan struct{})}
	writer := New(output)
	const lines = 3 * queueCapacity
	for range lines { // must not block although the output does
		if count, err := writer.Write([]byte("line\n")); count != 5 || err != nil {
			t.Fatalf("got count %d and error %v, want 5 and nil", count, err)
		}
	}
	shed := writer.Shed()
	if shed == 0 {
		t.Fatal("nothing was shed")
	}
	close(output.release)
	writer.Close()
	text := output.content.String()
	if got := strings.Count(text, "line\n"); int64(got)+shed != lines {
		t.Errorf("%d lines written and %d shed of %d", got, shed, lines)
	}
	if !strings.Contains(text, `"event":8202`) {
		t.Error("the shed lines are not reported in the log")
	}
	if _, err := writer.Write([]byte("late\n")); err != nil || writer.Shed() != shed+1 {
		t.Error("a line written after Close is not counted as shed")
	}
}

// TestWritesHoldWholeLinesAndAreShort guards against lost log text: with writes of
// 32 KB, log readers dropped the ends of long writes in the middle of a line (seen
// in inc-c18a).
func TestWritesHoldWholeLinesAndAreShort(t *testing.T) {
	sink := &recordingWriter{first: make(chan struct{}), released: make(chan struct{})}
	writer := New(sink)
	var want bytes.Buffer
	for number := range 400 {
		line := fmt.Sprintf("{\"line\":%d,\"text\":%q}\n", number, strings.Repeat("x", number%300))
		if number == 200 {
			line = fmt.Sprintf("{\"line\":%d,\"text\":%q}\n", number, strings.Repeat("y", 2*maxWriteBytes))
		}
		want.WriteString(line)
		if _, err := writer.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
		if number == 0 {
			<-sink.first // the first write blocks, so the rest is queued
		}
	}
	close(sink.released)
	writer.Close()
	var got bytes.Buffer
	for _, content := range sink.writes {
		got.Write(content)
		if !bytes.HasSuffix(content, []byte("\n")) {
			t.Errorf("a write ends in the middle of a line: %q", content)
		}
		if len(content) > maxWriteBytes && bytes.Count(content, []byte("\n")) > 1 {
			t.Errorf("one write of several lines has %d bytes, more than maxWriteBytes", len(content))
		}
	}
	if got.String() != want.String() {
		t.Error("lines are lost or out of order")
	}
}

// recordingWriter records each write, and blocks the first until released is closed.
type recordingWriter struct {
	writes   [][]byte
	first    chan struct{}
	released chan struct{}
}

// Write implements io.Writer.
func (w *recordingWriter) Write(content []byte) (int, error) {
	w.writes = append(w.writes, bytes.Clone(content))
	if len(w.writes) == 1 {
		close(w.first)
		<-w.released
	}
	return len(content), nil
}
