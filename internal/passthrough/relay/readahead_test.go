package relay

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"ringstream.example/ringstream/internal/passthrough/memorybudget"
)

// pipeSource is an engine's answer over a pipe.
type pipeSource struct{ net.Conn }

// SetReadDeadline implements deadlineReader.
func (s pipeSource) SetReadDeadline(at time.Time) { _ = s.Conn.SetReadDeadline(at) }

// TestCloseDoesNotWaitForASilentEngine closes the reader while its goroutine sets the deadline of a read
// from an engine that sends nothing.
func TestCloseDoesNotWaitForASilentEngine(t *testing.T) {
	answer, engine := net.Pipe()
	defer engine.Close()
	defer answer.Close()
	closed := make(chan struct{})
	var reader *readAhead
	deadline := func(silence time.Duration) time.Time {
		go func() {
			reader.close()
			close(closed)
		}()
		time.Sleep(50 * time.Millisecond) // close may get ahead
		return time.Now().Add(silence)
	}
	reader = newReadAhead(pipeSource{answer}, memorybudget.New(0), deadline, func() {})
	reader.beginWrite(time.Hour)
	reader.start()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Error("close waits for a silent engine")
	}
}

// TestAnswerThatHasEndedFitsAFullBudget ends an answer while the node holds more than it may.
func TestAnswerThatHasEndedFitsAFullBudget(t *testing.T) {
	budget := memorybudget.New(10)
	budget.Add(20)
	reader := newReadAhead(nil, budget, nil, func() { t.Error("the client is given up") })
	defer reader.close()
	if reader.keep(nil, io.EOF); !errors.Is(reader.err, io.EOF) {
		t.Errorf("the answer ended with %v", reader.err)
	}
}
