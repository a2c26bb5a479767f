package emulator

import (
	"slices"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/wire"
)

// sequence is one attempt on an engine, guarded by the engine's lock.
type sequence struct {
	request  wire.GenerateRequest
	priority backend.Priority
	hash     uint64
	entry    *LedgerEntry

	promptTokens int
	cached       int // prompt tokens found in the cache when last started
	prefill      int // tokens to prefill before the next output token
	made         int // output tokens, kept ones included
	preemptions  int
	done         bool
	end          string
	endedAt      time.Time
	watchers     map[chan struct{}]struct{}
}

func newSequence(request wire.GenerateRequest, now time.Time) *sequence {
	s := &sequence{
		request: request, priority: backend.Priority(request.Priority),
		hash:         PromptHash(request.Model, request.Prompt),
		promptTokens: backend.PromptTokens(request.Prompt), made: len(request.Kept),
		watchers: map[chan struct{}]struct{}{},
	}
	s.entry = &LedgerEntry{
		Attempt: request.Attempt, Model: request.Model, PromptHash: s.hash, Priority: s.priority,
		Kept: len(request.Kept), MaxTokens: request.MaxTokens, OfferedAt: now,
	}
	return s
}

// held is the KV memory that a running sequence holds, in tokens.
func (s *sequence) held() int { return s.promptTokens + s.made }

func (s *sequence) notify() {
	for watcher := range s.watchers {
		select {
		case watcher <- struct{}{}:
		default:
		}
	}
}

// step is the engine's step under way.
type step struct {
	length   time.Duration
	decoding []*sequence // get one token each at the end
	last     time.Duration
}

// beginStep starts what fits and plans a step; zero when there is nothing to do.
func (e *Engine) beginStep() time.Duration {
	if e.Faults.Settings().Stall {
		const look = 10 * time.Millisecond
		return look // an empty step: see again whether the stall is over
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.start()
	if len(e.running) == 0 {
		return 0
	}
	budget := e.config.PrefillChunk
	prefilled := 0
	e.step.decoding = e.step.decoding[:0]
	for _, priority := range []backend.Priority{backend.PriorityOnline, backend.PriorityBatch} {
		for _, s := range e.running {
			if s.priority != priority {
				continue
			}
			part := min(s.prefill, budget)
			s.prefill -= part
			budget -= part
			prefilled += part
			if s.prefill == 0 {
				e.step.decoding = append(e.step.decoding, s)
			}
		}
	}
	scaled := time.Duration(float64(len(e.running))*float64(e.config.StepPerSequence)/e.config.Capacity) +
		time.Duration(float64(prefilled)*float64(e.config.StepPerPrefill)/e.config.Capacity)
	e.step.length = e.config.StepBase + scaled
	e.step.last = e.step.length
	return e.step.length
}

// start moves waiting sequences into the batch: online first, and online in
// place of batch when there is no room.
func (e *Engine) start() {
	for len(e.online) > 0 {
		s := e.online[0]
		for !e.fits(s) && e.preempt() {
		}
		if !e.fits(s) {
			return
		}
		e.online = e.online[1:]
		e.run(s)
	}
	for len(e.batch) > 0 && e.fits(e.batch[0]) {
		s := e.batch[0]
		e.batch = e.batch[1:]
		e.run(s)
	}
}

// growth is the KV memory kept free for a sequence's next tokens.
const growth = 64

func (e *Engine) fits(s *sequence) bool {
	return len(e.running) < e.config.MaxRunning && e.kvUsed+s.held()+growth <= e.config.KVTokens
}

// run puts a waiting sequence into the batch.
func (e *Engine) run(s *sequence) {
	hashes := prefixHashes(s)
	s.cached = min(e.cache.match(hashes)*blockTokens, s.promptTokens)
	// Tokens made before a preemption, or kept by the caller, are prefilled again.
	s.prefill = s.held() - s.cached
	e.cache.store(hashes, time.Now())
	e.kvUsed += s.held()
	e.running = append(e.running, s)
	if s.entry.StartedAt.IsZero() {
		s.entry.StartedAt = time.Now()
	}
}

// preempt sets the batch sequence that started last back to the head of its
// queue; false when none runs. Only its stream is told.
func (e *Engine) preempt() bool {
	for _, s := range slices.Backward(e.running) {
		if s.priority == backend.PriorityBatch {
			e.setBack(s)
			return true
		}
	}
	return false
}

func (e *Engine) setBack(s *sequence) {
	e.drop(s)
	s.preemptions++
	s.entry.Preemptions++
	if s.priority == backend.PriorityOnline {
		e.online = append([]*sequence{s}, e.online...)
	} else {
		e.batch = append([]*sequence{s}, e.batch...)
	}
	s.notify()
}

// drop takes a sequence out of the batch and the queues.
func (e *Engine) drop(s *sequence) {
	if i := slices.Index(e.running, s); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.kvUsed -= s.held()
	}
	if i := slices.Index(e.online, s); i >= 0 {
		e.online = slices.Delete(e.online, i, i+1)
	}
	if i := slices.Index(e.batch, s); i >= 0 {
		e.batch = slices.Delete(e.batch, i, i+1)
	}
	if i := slices.Index(e.step.decoding, s); i >= 0 {
		e.step.decoding = slices.Delete(e.step.decoding, i, i+1)
	}
}

// endStep gives each decoding sequence its token.
func (e *Engine) endStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account()
	decoding := e.step.decoding
	e.step = step{last: e.step.last}
	for _, s := range decoding {
		s.made++
		e.kvUsed++
		if s.entry.Tokens == 0 {
			s.entry.FirstTokenAt = now
		}
		s.entry.Tokens++
		if s.made >= s.request.MaxTokens {
			e.drop(s)
			e.end(s, endLength, now)
		}
		s.notify()
	}
	for e.kvUsed > e.config.KVTokens && len(e.running) > 1 {
		if !e.preempt() {
			e.setBack(e.running[len(e.running)-1])
		}
	}
}

// account adds the step that ends to the totals.
func (e *Engine) account() {
	seconds := e.step.length.Seconds()
	if seconds == 0 {
		return
	}
	e.usage.Steps++
	e.usage.BusySeconds += seconds
	for _, s := range e.running {
		if s.priority == backend.PriorityOnline {
			e.usage.OnlineSequenceSeconds += seconds
		} else {
			e.usage.BatchSequenceSeconds += seconds
		}
	}
	for _, s := range e.step.decoding {
		if s.priority == backend.PriorityOnline {
			e.usage.OnlineTokens++
		} else {
			e.usage.BatchTokens++
		}
	}
}

// end closes a sequence; it can be resumed for a while.
func (e *Engine) end(s *sequence, reason string, now time.Time) {
	s.done = true
	s.end = reason
	s.endedAt = now
	s.entry.EndedAt = now
	s.entry.End = reason
	e.ended = append(e.ended, s)
	s.notify()
}

// publish measures the load, and forgets what was kept long enough.
func (e *Engine) publish(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settleLoads(now)
	e.reports = append(e.reports, e.measure(now))
	visible := now.Add(-e.config.ReportLag)
	for len(e.reports) > 1 && !e.reports[1].ReportedAt.After(visible) {
		e.reports = e.reports[1:]
	}
	forget := now.Add(-e.config.KeepFinished)
	for len(e.ended) > 0 && e.ended[0].endedAt.Before(forget) {
		delete(e.attempts, e.ended[0].request.Attempt)
		e.ended = e.ended[1:]
	}
}

// measure reads the load as it is now.
func (e *Engine) measure(now time.Time) wire.Load {
	load := wire.Load{
		Engine: e.config.ID, ReportedAt: now,
		Waiting: len(e.online) + len(e.batch), MaxRunning: e.config.MaxRunning,
		KVUsed: e.kvUsed, KVCapacity: e.config.KVTokens,
		StepMillis: float64(e.step.last) / float64(time.Millisecond),
		Role:       e.role, Leaving: !e.leaving.IsZero(),
		Incarnation: e.incarnation(),
	}
	load.RunningOnline, load.RunningBatch = e.runningByClass()
	for _, model := range cloneModels(e.models) {
		load.Models = append(load.Models, wire.LoadedModel(model))
	}
	return load
}

// runningByClass counts the sequences in the batch.
func (e *Engine) runningByClass() (online, batch int) {
	for _, s := range e.running {
		if s.priority == backend.PriorityOnline {
			online++
		} else {
			batch++
		}
	}
	return online, batch
}

// published gives the newest report that the lag lets through.
func (e *Engine) published(now time.Time) wire.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	visible := now.Add(-e.config.ReportLag)
	report := e.reports[0]
	for _, later := range e.reports {
		if !later.ReportedAt.After(visible) {
			report = later
		}
	}
	return report
}
