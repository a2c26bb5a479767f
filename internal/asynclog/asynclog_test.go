package asynclog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
)

// blocked is an output whose reader takes nothing until it is let go.
type blocked struct {
	mu      sync.Mutex
	content bytes.Buffer
	let     chan struct{}
}

func (b *blocked) Write(content []byte) (int, error) {
	<-b.let
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(content)
}

func TestFullQueueShedsAndSaysSo(t *testing.T) {
	output := &blocked{let: make(chan struct{})}
	writer := New(output)
	const lines = 3 * queueLines
	for range lines { // must not block, though nobody reads
		if count, err := writer.Write([]byte("line\n")); count != 5 || err != nil {
			t.Fatalf("%d %v", count, err)
		}
	}
	shed := writer.Shed()
	if shed == 0 {
		t.Fatal("nothing was shed")
	}
	close(output.let)
	writer.Close()
	text := output.content.String()
	if got := strings.Count(text, "line\n"); int64(got)+shed != lines {
		t.Errorf("%d lines written and %d shed of %d", got, shed, lines)
	}
	if !strings.Contains(text, `"event":8202`) {
		t.Error("the loss is not told")
	}
	if _, err := writer.Write([]byte("late\n")); err != nil || writer.Shed() != shed+1 {
		t.Error("a line after the end is not counted")
	}
}

// TestWritesHoldWholeLinesAndAreShort: with writes of 32 KB readers of the log
// lost the ends of long ones, in the middle of a line (seen in inc-c18a).
func TestWritesHoldWholeLinesAndAreShort(t *testing.T) {
	sink := &writes{first: make(chan struct{}), released: make(chan struct{})}
	writer := New(sink)
	var want bytes.Buffer
	for number := range 400 {
		line := fmt.Sprintf("{\"line\":%d,\"text\":%q}\n", number, strings.Repeat("x", number%300))
		if number == 200 {
			line = fmt.Sprintf("{\"line\":%d,\"text\":%q}\n", number, strings.Repeat("y", 2*maxBatch))
		}
		want.WriteString(line)
		if _, err := writer.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
		if number == 0 {
			<-sink.first // the rest is queued behind it
		}
	}
	close(sink.released)
	writer.Close()
	var got bytes.Buffer
	for _, content := range sink.all {
		got.Write(content)
		if !bytes.HasSuffix(content, []byte("\n")) {
			t.Errorf("a write ends inside of a line: %q", content)
		}
		if len(content) > maxBatch && bytes.Count(content, []byte("\n")) > 1 {
			t.Errorf("%d bytes in one write", len(content))
		}
	}
	if got.String() != want.String() {
		t.Error("lines are lost or out of order")
	}
}

// writes keeps each write, and holds the first until it may go on.
type writes struct {
	all      [][]byte
	first    chan struct{}
	released chan struct{}
}

// Write implements io.Writer.
func (w *writes) Write(content []byte) (int, error) {
	w.all = append(w.all, bytes.Clone(content))
	if len(w.all) == 1 {
		close(w.first)
		<-w.released
	}
	return len(content), nil
}
