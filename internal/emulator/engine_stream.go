package emulator

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/wire"
	"ringstream.example/ringstream/internal/wait"
)

// streamFaults is how one token stream goes wrong.
type streamFaults struct {
	drop, cross bool
	after       int // lines before it does
	late        time.Duration
}

// takeStream decides how the next token stream goes wrong.
func (f *Faults) takeStream() streamFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.settings
	faults := streamFaults{after: s.DropStreamAfter, late: time.Duration(s.LateMillis) * time.Millisecond}
	faults.drop = takeOne(&s.DropStreams)
	if !faults.drop {
		faults.cross = takeOne(&s.CrossStreams)
	}
	return faults
}

// progress is what a stream has to write next.
type progress struct {
	made        int
	preemptions int
	done        bool
	finish      wire.Finish
}

// stream writes an attempt's tokens from an offset until its end. When the
// reader goes away the attempt runs on.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, offset int) {
	watcher := make(chan struct{}, 1)
	stopped := e.watch(s, watcher)
	defer e.unwatch(s, watcher)
	faults := e.Faults.takeStream()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	if flush.Flush() != nil {
		return
	}
	out := streamWriter{
		request: r, priority: s.priority, half: len(s.request.Kept) + (s.request.MaxTokens-len(s.request.Kept))/2,
		w: w, flush: flush, prefix: wire.AppendPrefix(nil, s.request.Attempt),
		attempt: s.request.Attempt, hash: s.hash, next: offset, faults: faults,
	}
	for {
		state := e.progress(s)
		if out.pending(state) && !wait.For(r.Context(), faults.late) {
			return
		}
		if !out.write(state, e) || state.done {
			return
		}
		select {
		case <-watcher:
		case <-r.Context().Done():
			return
		case <-stopped:
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) watch(s *sequence, watcher chan struct{}) (stopped chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.watchers[watcher] = struct{}{}
	return e.stopped
}

func (e *Engine) unwatch(s *sequence, watcher chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(s.watchers, watcher)
}

func (e *Engine) progress(s *sequence) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{
		made: s.made, preemptions: s.preemptions, done: s.done,
		finish: wire.Finish{Reason: s.end, PromptTokens: s.promptTokens, OutputTokens: s.made, CachedTokens: s.cached},
	}
}

// another gives the attempt and hash of some other sequence, for a line that
// comes crossed.
func (e *Engine) another(attempt string) (string, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.running {
		if s.request.Attempt != attempt {
			return s.request.Attempt, s.hash
		}
	}
	const strangerHash = 0x5ee5
	return "another-attempt", strangerHash
}

// streamWriter writes the lines of one stream.
type streamWriter struct {
	request     *http.Request
	priority    backend.Priority
	half        int // the offset that counts as halfway
	w           http.ResponseWriter
	flush       *http.ResponseController
	buffer      []byte
	prefix      []byte
	attempt     string
	hash        uint64
	next        int // the next offset to write
	lines       int
	preemptions int
	faults      streamFaults
}

func (o *streamWriter) pending(state progress) bool {
	return state.made > o.next || state.done || state.preemptions > o.preemptions
}

// write brings the reader up to the state; false when the reader has gone.
func (o *streamWriter) write(state progress, e *Engine) bool {
	o.buffer = o.buffer[:0]
	if state.preemptions > o.preemptions {
		o.preemptions = state.preemptions
		o.special(wire.Line{Attempt: o.attempt, Preempted: true})
	}
	for ; o.next < state.made; o.next++ {
		o.tell(e, state)
		if o.lines == o.faults.after {
			o.goWrong(e)
		}
		o.buffer = wire.AppendToken(o.buffer, o.prefix, o.next, tokenAt(o.hash, o.next))
		o.lines++
	}
	if state.done {
		o.notify(e, OperationFinish)
		if o.lines <= o.faults.after {
			o.goWrong(e)
		}
		o.special(wire.Line{Attempt: o.attempt, Finish: &state.finish})
	}
	if len(o.buffer) == 0 {
		return true
	}
	if _, err := o.w.Write(o.buffer); err != nil {
		return false
	}
	// The last line goes out with the end of the body.
	return state.done || o.flush.Flush() == nil
}

// tell has the hook called at the points of the stream that it can wait for.
func (o *streamWriter) tell(e *Engine, state progress) {
	switch {
	case o.lines == 0:
		o.notify(e, OperationFirstToken)
	case o.next == o.half && !state.done:
		o.notify(e, OperationHalfway)
	}
}

func (o *streamWriter) notify(e *Engine, operation string) {
	hook := e.Faults.hooked()
	if hook == nil {
		return
	}
	from, _ := netip.ParseAddrPort(o.request.RemoteAddr) // zero when there is none
	hook(Call{
		System: e.config.ID, Operation: operation, Phase: BeforeEffect, From: from,
		Subject: o.attempt, Priority: o.priority,
	})
}

// goWrong cuts the stream, or puts a line of another attempt into it.
func (o *streamWriter) goWrong(e *Engine) {
	switch {
	case o.faults.drop:
		_, _ = o.w.Write(o.buffer) // the connection is cut anyway
		_ = o.flush.Flush()
		panic(http.ErrAbortHandler)
	case o.faults.cross:
		o.faults.cross = false
		attempt, hash := e.another(o.attempt)
		o.buffer = wire.AppendToken(o.buffer, wire.AppendPrefix(nil, attempt), o.next, tokenAt(hash, o.next))
	}
}

func (o *streamWriter) special(line wire.Line) {
	encoded, err := json.Marshal(line)
	if err != nil {
		panic("stream line does not encode: " + err.Error())
	}
	o.buffer = append(append(o.buffer, encoded...), '\n')
}
