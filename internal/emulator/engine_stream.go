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

// streamFaults are the faults injected into one token stream.
type streamFaults struct {
	drop, cross bool
	afterLines  int // number of lines written before the fault
	writeDelay  time.Duration
}

// nextStreamFaults decides the faults of the next token stream and consumes them.
func (f *Faults) nextStreamFaults() streamFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.settings
	faults := streamFaults{afterLines: s.DropStreamAfter, writeDelay: time.Duration(s.WriteDelayMillis) * time.Millisecond}
	faults.drop = consumeOne(&s.DropStreams)
	if !faults.drop {
		faults.cross = consumeOne(&s.MixStreams)
	}
	return faults
}

// progress is the state of a sequence that its stream has to report.
type progress struct {
	outputTokens int
	preemptions  int
	done         bool
	finish       wire.Finish
}

// stream writes an attempt's tokens from an offset until its end. The attempt
// continues when the reader disconnects.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, offset int) {
	watcher := make(chan struct{}, 1)
	stopped := e.watch(s, watcher)
	defer e.unwatch(s, watcher)
	faults := e.Faults.nextStreamFaults()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	if flush.Flush() != nil {
		return
	}
	out := streamWriter{
		request: r, priority: s.priority, halfwayOffset: len(s.request.Kept) + (s.request.MaxTokens-len(s.request.Kept))/2,
		w: w, flush: flush, prefix: wire.AppendPrefix(nil, s.request.Attempt),
		attempt: s.request.Attempt, hash: s.hash, nextOffset: offset, faults: faults,
	}
	for {
		state := e.progress(s)
		if out.pending(state) && !wait.For(r.Context(), faults.writeDelay) {
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
		outputTokens: s.outputTokens, preemptions: s.preemptions, done: s.done,
		finish: wire.Finish{Reason: s.finishReason, PromptTokens: s.promptTokens, OutputTokens: s.outputTokens, CachedTokens: s.cachedTokens},
	}
}

// otherSequence returns the attempt and prompt hash of another running
// sequence, for a line of a wrong attempt.
func (e *Engine) otherSequence(attempt string) (string, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.running {
		if s.request.Attempt != attempt {
			return s.request.Attempt, s.hash
		}
	}
	const otherHash = 0x5ee5
	return "another-attempt", otherHash
}

// streamWriter writes the lines of one stream.
type streamWriter struct {
	request       *http.Request
	priority      backend.Priority
	halfwayOffset int // the offset of OperationHalfway
	w             http.ResponseWriter
	flush         *http.ResponseController
	buffer        []byte
	prefix        []byte
	attempt       string
	hash          uint64
	nextOffset    int // the next offset to write
	lines         int
	preemptions   int
	faults        streamFaults
}

func (o *streamWriter) pending(state progress) bool {
	return state.outputTokens > o.nextOffset || state.done || state.preemptions > o.preemptions
}

// write sends the reader all lines up to the state. It returns false when the
// reader has disconnected.
func (o *streamWriter) write(state progress, e *Engine) bool {
	o.buffer = o.buffer[:0]
	if state.preemptions > o.preemptions {
		o.preemptions = state.preemptions
		o.appendLine(wire.Line{Attempt: o.attempt, Preempted: true})
	}
	for ; o.nextOffset < state.outputTokens; o.nextOffset++ {
		o.notifyProgress(e, state)
		if o.lines == o.faults.afterLines {
			o.injectFault(e)
		}
		o.buffer = wire.AppendToken(o.buffer, o.prefix, o.nextOffset, tokenAt(o.hash, o.nextOffset))
		o.lines++
	}
	if state.done {
		o.callHook(e, OperationFinish)
		if o.lines <= o.faults.afterLines {
			o.injectFault(e)
		}
		o.appendLine(wire.Line{Attempt: o.attempt, Finish: &state.finish})
	}
	if len(o.buffer) == 0 {
		return true
	}
	if _, err := o.w.Write(o.buffer); err != nil {
		return false
	}
	// The last line is flushed with the end of the body.
	return state.done || o.flush.Flush() == nil
}

// notifyProgress calls the hook before the first line and halfway through the output.
func (o *streamWriter) notifyProgress(e *Engine, state progress) {
	switch {
	case o.lines == 0:
		o.callHook(e, OperationFirstToken)
	case o.nextOffset == o.halfwayOffset && !state.done:
		o.callHook(e, OperationHalfway)
	}
}

func (o *streamWriter) callHook(e *Engine, operation string) {
	hook := e.Faults.currentHook()
	if hook == nil {
		return
	}
	from, _ := netip.ParseAddrPort(o.request.RemoteAddr) // zero when there is no valid address
	hook(Call{
		System: e.config.ID, Operation: operation, Phase: BeforeEffect, From: from,
		Subject: o.attempt, Priority: o.priority,
	})
}

// injectFault cuts the stream, or inserts a line of another attempt.
func (o *streamWriter) injectFault(e *Engine) {
	switch {
	case o.faults.drop:
		_, _ = o.w.Write(o.buffer) // the connection is cut anyway
		_ = o.flush.Flush()
		panic(http.ErrAbortHandler)
	case o.faults.cross:
		o.faults.cross = false
		attempt, hash := e.otherSequence(o.attempt)
		o.buffer = wire.AppendToken(o.buffer, wire.AppendPrefix(nil, attempt), o.nextOffset, tokenAt(hash, o.nextOffset))
	}
}

func (o *streamWriter) appendLine(line wire.Line) {
	encoded, err := json.Marshal(line)
	if err != nil {
		panic("cannot encode a stream line: " + err.Error())
	}
	o.buffer = append(append(o.buffer, encoded...), '\n')
}
