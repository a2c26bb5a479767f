package asynclog

import (
	"bytes"
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
