package relay

import (
	"io"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/passthrough/memorybudget"
)

const (
	// heldUpAfter is how long a write to the client takes before the engine's answer is read ahead. Engines
	// cut answers that stay unread for some seconds.
	heldUpAfter = 250 * time.Millisecond
	// maxAheadBytes is how far an engine's answer is read ahead of its client.
	maxAheadBytes  = maxBufferedBytes
	readChunkBytes = 16 << 10
)

// deadlineReader is an engine's answer.
type deadlineReader interface {
	io.Reader
	SetReadDeadline(at time.Time)
}

// readAhead reads an engine's answer. While a write to the client is held up, it reads on in a goroutine, so
// that the engine does not wait for the client. Its methods, except for the timer's, are called by one goroutine.
type readAhead struct {
	source   deadlineReader
	budget   *memorybudget.Budget
	deadline func(silence time.Duration) time.Time
	giveUp   func() // ends the write that is held up
	timer    *time.Timer
	// readFromAhead reports that the last Read returned what was read ahead.
	readFromAhead bool

	mu      sync.Mutex // guards the fields below
	changed *sync.Cond // signaled when any of them changes
	silence time.Duration
	writing bool // the client is being written to
	running bool // the goroutine reads
	closed  bool
	ahead   []byte
	err     error // of the last read
}

// newReadAhead returns a reader of source. deadline returns until when a read may take, given the silence timeout.
func newReadAhead(source deadlineReader, budget *memorybudget.Budget, deadline func(silence time.Duration) time.Time, giveUp func()) *readAhead {
	reader := &readAhead{source: source, budget: budget, deadline: deadline, giveUp: giveUp}
	reader.changed = sync.NewCond(&reader.mu)
	reader.timer = time.AfterFunc(time.Hour, reader.start)
	reader.timer.Stop()
	return reader
}

// Read reads what was read ahead, or else from the engine.
func (r *readAhead) Read(into []byte) (int, error) {
	r.mu.Lock()
	r.readFromAhead = r.running || len(r.ahead) > 0
	for len(r.ahead) == 0 && r.err == nil && r.running {
		r.changed.Wait()
	}
	if len(r.ahead) > 0 {
		count := copy(into, r.ahead)
		r.ahead = r.ahead[count:]
		r.budget.ReleaseAhead(int64(count))
		r.mu.Unlock()
		return count, nil
	}
	err := r.err
	r.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return r.source.Read(into)
}

// hasAhead reports whether a part of the answer, or its end, was read ahead.
func (r *readAhead) hasAhead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running || len(r.ahead) > 0 || r.err != nil
}

// beginWrite is called before a write to the client, with the silence timeout of the engine.
func (r *readAhead) beginWrite(silence time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing, r.silence = true, silence
	r.timer.Reset(heldUpAfter)
}

// endWrite is called after a write to the client.
func (r *readAhead) endWrite() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = false
	r.timer.Stop()
}

// start begins to read ahead if a write is still held up.
func (r *readAhead) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.writing || r.running || r.closed || r.err != nil {
		return
	}
	r.running = true
	go r.run()
}

// run reads until the answer has ended or no write is held up any more. It gives the client up when it may
// read no further.
func (r *readAhead) run() {
	chunk := make([]byte, readChunkBytes)
	for r.prepareRead() {
		count, err := r.source.Read(chunk)
		if !r.keep(chunk[:count], err) {
			return
		}
	}
}

// prepareRead sets the deadline of the next read, unless the reader is closed, whose own deadline must
// stay. It reports whether to read.
func (r *readAhead) prepareRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		r.running = false
		r.changed.Broadcast()
		return false
	}
	r.source.SetReadDeadline(r.deadline(r.silence))
	return true
}

// keep adds what was read and reports whether to read on.
func (r *readAhead) keep(content []byte, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.changed.Broadcast()
	fits := len(r.ahead)+len(content) <= maxAheadBytes && r.budget.TryAddAhead(int64(len(content)))
	if fits {
		r.ahead = append(r.ahead, content...)
		r.err = err
	} else {
		r.err = errClientTooFarBehind
		r.giveUp()
	}
	r.running = r.err == nil && r.writing && !r.closed
	return r.running
}

// close ends the goroutine and discards what was read ahead.
func (r *readAhead) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.timer.Stop()
	for r.running {
		r.source.SetReadDeadline(time.Now())
		r.changed.Wait()
	}
	r.budget.ReleaseAhead(int64(len(r.ahead)))
	r.ahead = nil
}
